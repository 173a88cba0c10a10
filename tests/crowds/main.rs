//! Crowds of callers that send requests of legal size and stop short of their end, or do not read.
//!
//! Each test starts processes with low limits in their settings and plays one crowd in three ways: held
//! open, closed at once, and in waves. The limits are the bounds: the process lives, its memory and its
//! descriptors stay within them, and an ordinary request is answered afterwards.

#[path = "../support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests of the gateway")]
mod support;

mod kinds;
mod scene;
