//! Sockets: an HTTP server for callers and operators, a pooled client for backend servers, links to peers.

pub mod callers;
pub mod client;
pub mod mirror;
pub mod operators;
pub mod peer;
pub mod pool;
pub mod server;
pub mod socket;
pub mod upstream;
