//! Tests of the platform adapter: settings, store records and gateway processes.

#[path = "../support/mod.rs"]
mod support;

mod decoding;
mod entries;
mod explaining;
mod processes;
mod restored_store;
