//! Interface between the request path and the protocol of backend servers. An adapter implements
//! [`Adapter`]: it encodes requests and probes and interprets answers.

use std::time;

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};

use crate::decisions::policy;

/// A request to be sent to a backend server.
#[derive(Clone, Debug)]
pub struct Forward {
    /// Number of the attempt.
    pub attempt: u64,
    /// The method.
    pub method: Method,
    /// The path below the service name, including the query.
    pub path: String,
    /// The caller's end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Maximum time to wait for the answer.
    pub timeout: time::Duration,
}

/// A complete answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Interpretation of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub attempt_outcome: policy::AttemptOutcome,
    /// The load that the backend server reported, if any.
    pub report: Option<policy::Report>,
}

/// Encodes requests to a backend server and interprets its answers.
pub trait Adapter: Send + Sync + 'static {
    /// Encodes a request.
    fn encode(&self, forward: Forward) -> hyper::Request<Bytes>;

    /// Returns the request that probes a backend server's health and load.
    fn probe(&self) -> hyper::Request<Bytes>;

    /// Interprets an answer. Returns `None` if it belongs to another attempt.
    fn interpret(&self, attempt: u64, answer: &Answer) -> Option<AttemptResult>;
}
