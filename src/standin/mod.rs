//! Small stand-ins for what the users run: the platform's store and backend servers.
//!
//! They exist for the tests, the benchmarks and the example; no product code uses them.

pub mod altered;
pub mod backend;
pub mod caller;
pub mod control;
pub mod deployment;
pub mod elections;
pub mod fabric;
pub mod model;
pub mod nodes;
pub mod operator;
pub mod processes;
pub mod run;
pub mod steering;
pub mod store;
