//! Coordination of the entry processes with one another and with the platform's store.

pub mod action;
pub mod budget;
pub mod driver;
pub mod grants;
pub mod list_ranges;
pub mod loads;
pub mod membership;
pub mod mirror;
pub mod node;
pub mod peers;
pub mod plan_writer;
pub mod read_schedule;
pub mod reader;
pub mod registration;
pub mod removal_guard;
pub mod settings_sync;
pub mod signed_values;
pub mod store;
pub mod store_http;
pub mod unconfirmed;
