//! Messages and headers exchanged with other processes: types, validation, encoding, decoding.

pub mod backend;
pub mod backend_http;
pub mod customers;
pub mod headers;
pub mod hello;
pub mod history;
pub mod http1;
pub mod lookup;
pub mod mirror;
pub mod names;
pub mod operators;
pub mod outcome;
pub mod peer;
pub mod relay;
pub mod routes;
pub mod stated;
pub mod target;
pub mod ticket;
pub mod usage;
