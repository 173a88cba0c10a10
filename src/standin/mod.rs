//! Stand-ins for external systems: the platform's store, backend servers, callers and operators.
//!
//! Used only by tests, benchmarks and examples; no product code depends on them.

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
