//! Shared tables with one stated lock order.
