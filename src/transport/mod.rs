//! Sockets: HTTP servers for callers and operators, clients for backend servers, links to peers.

pub mod callers;
pub mod client;
pub mod descriptors;
pub mod idle;
pub mod memory;
pub mod mirror;
pub mod operators;
mod outgoing;
pub mod peer;
pub mod pool;
pub mod server;
pub mod socket;
pub mod upstream;
mod window;
