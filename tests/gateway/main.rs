//! A gateway with misbehaving backend servers, over loopback sockets.

mod again;
mod answers;
mod bodies;
mod callers;
mod customers;
mod following;
mod once;
mod stage;
mod stop;
#[path = "../support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform's adapter")]
mod support;
mod thresholds;
