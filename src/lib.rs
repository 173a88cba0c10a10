//! Global traffic steering: routes each caller's request to a backend server that can answer it.
//!
//! The crate has layers. [`transport`] handles sockets, bytes and deadlines; [`protocol`] defines
//! messages and headers; [`coordination`] synchronises with other processes and with the platform's
//! store; [`state`] holds the shared tables. [`decisions`] is separate from the layers: it takes
//! inputs and a time and returns a decision, and uses neither the network nor a clock.
//!
//! A request passes through transport, protocol, decisions (which read state) and transport again.
//! Settings and measurements flow from coordination to state.

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
