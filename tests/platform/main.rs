//! The platform's adapter: its settings, its store's records, and processes that live on it.

#[path = "../support/mod.rs"]
mod support;

mod decoding;
mod entries;
mod explaining;
mod processes;
