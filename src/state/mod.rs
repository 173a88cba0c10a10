//! Shared tables with one stated lock order.
//!
//! The order: the desk of a service (its policy and its requests in hand), then [`keys::Keys`].
//! A thread that holds the second never takes the first. Everything else that is shared is
//! replaced whole through an `ArcSwap` and needs no lock.

pub mod backends;
pub mod directory;
pub mod entries;
pub mod explain;
pub mod fleet;
pub mod keys;
pub mod lookup;
pub mod totals;
