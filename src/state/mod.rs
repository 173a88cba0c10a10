//! State shared between the threads of an entry VM, with one lock order.
//!
//! Lock order: first the per-service state (its policy and outstanding requests), then
//! [`keys::Keys`]. A thread that holds the lock of [`keys::Keys`] never takes the per-service lock.
//! All other shared state is replaced as a whole through an `ArcSwap` and needs no lock.

pub mod backends;
pub mod directory;
pub mod entries;
pub mod explain;
pub mod fleet;
pub mod keys;
pub mod lookup;
pub mod totals;
