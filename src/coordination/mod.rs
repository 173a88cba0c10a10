//! What entry processes agree on with one another and with the platform.

pub mod peers;
pub mod store;
pub mod store_http;
