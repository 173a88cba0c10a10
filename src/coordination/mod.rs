//! What entry processes agree on with one another and with the platform.

pub mod budget;
pub mod grants;
pub mod loads;
pub mod peers;
pub mod plan_writer;
pub mod reader;
pub mod store;
pub mod store_http;
