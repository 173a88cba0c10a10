//! A gateway with misbehaving backend servers, over loopback sockets.

mod answers;
mod at_most_once;
mod bodies;
mod bookings_only;
mod callers;
mod customers;
mod cut_off;
mod declines;
mod endless;
mod following;
mod harness;
mod leaving;
mod linked_vms;
mod pace;
mod pauses;
mod rate_limits;
mod restart;
mod restored;
mod returns;
mod scripted_backend;
mod stalled;
mod statuses;
mod stop;
#[path = "../support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform's adapter")]
mod support;
mod thresholds;
mod through_tunnels;
mod usage;
mod waiting;
