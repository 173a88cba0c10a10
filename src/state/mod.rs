//! Shared tables with one stated lock order.

pub mod lookup;
