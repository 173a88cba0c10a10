//! Messages and headers, their checks and their codecs.

pub mod operators;
