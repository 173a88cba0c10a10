//! What the request path needs of a backend server's wire. An adapter is one file that implements
//! [`Wire`].

use std::time;

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};

use crate::decisions::policy;

/// A request on its way to a backend server.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The number of the attempt.
    pub attempt: u64,
    /// The method.
    pub method: Method,
    /// The path under the service, with its query.
    pub path: String,
    /// The caller's headers, without those of its connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the answer is waited for.
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

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// How the attempt ended.
    pub how: policy::AttemptOutcome,
    /// What the backend server said of itself.
    pub report: Option<policy::Report>,
}

/// The wire of backend servers.
pub trait Wire: Send + Sync + 'static {
    /// The request to send.
    fn encode(&self, forward: Forward) -> hyper::Request<Bytes>;

    /// The request that asks how a backend server is.
    fn probe(&self) -> hyper::Request<Bytes>;

    /// Reads an answer to `attempt`. `None`: it is not the answer to it.
    fn read(&self, attempt: u64, answer: &Answer) -> Option<Reading>;
}
