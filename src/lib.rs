//! Global traffic steering: every caller's request reaches a backend server that can answer it.
//!
//! The crate is laid out in layers. [`transport`] knows sockets, bytes and deadlines;
//! [`protocol`] knows messages and headers; [`coordination`] agrees with other processes and with
//! the platform's store; [`state`] holds the shared tables. [`decisions`] stands beside them: it
//! takes inputs and a time and returns a decision, and touches neither the network nor a clock.
//!
//! Data flows one way on the request path: request, transport, protocol, decisions over state,
//! transport. Settings and measurements flow in from coordination to state.

#[macro_use]
mod macros;

pub mod burn;
pub mod cli;
pub mod config;
pub mod coordination;
pub mod decisions;
pub mod entry;
pub mod error;
pub mod exit_codes;
pub mod gateway;
pub mod id;
pub mod logging;
pub mod metrics;
pub mod nearest;
pub mod platform;
pub mod protocol;
pub mod settings;
pub mod standin;
pub mod state;
pub mod transport;
