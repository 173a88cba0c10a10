//! Tests of the platform adapter: settings, store records and gateway processes.

#[path = "../support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests of the gateway")]
mod support;

mod decoding;
mod entries;
mod explaining;
mod foreign_entries;
mod processes;
mod read_late;
mod restored_store;
mod silent_store;
mod split_routes;
