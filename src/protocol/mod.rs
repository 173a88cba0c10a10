//! Messages and headers, their checks and their codecs.

pub mod hello;
pub mod operators;
pub mod peer;
