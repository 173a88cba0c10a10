//! A stand-in caller that looks up entry VMs, sends requests and parses the responses.

use std::io;
use std::net;
use std::time;

use crate::protocol::{headers, lookup, outcome};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, which begins with the service's name, and the query.
    pub path: &'a str,
    /// The idempotency key, if any.
    pub key: Option<&'a str>,
    /// The body; empty for none.
    pub body: &'a str,
    /// Time after which the caller gives up.
    pub timeout: time::Duration,
    /// The timeout sent in the request's header, if any.
    pub stated_timeout: Option<time::Duration>,
}

impl Default for Request<'_> {
    fn default() -> Self {
        Self {
            method: "GET",
            path: "/",
            key: None,
            body: "",
            timeout: time::Duration::from_secs(20),
            stated_timeout: None,
        }
    }
}

/// The response to a request.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The outcome stated in the header, if any.
    pub outcome: Option<outcome::Outcome>,
    /// The body.
    pub body: String,
    /// Delay after which to retry, if stated.
    pub retry_after: Option<time::Duration>,
}

impl Response {
    /// The error body of a response that an entry VM generated.
    pub fn error_body(&self) -> Option<outcome::Body> {
        serde_json::from_str(&self.body).ok()
    }
}

/// A caller that reuses its connections.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: ureq::Agent,
}

impl Default for Caller {
    fn default() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
        }
    }
}

impl Caller {
    /// Looks a service up at an entry VM.
    pub fn look_up(&self, entry: net::SocketAddr, service: &str) -> io::Result<lookup::Lookup> {
        let path = format!("/lookup/{service}");
        let response = self.send(
            entry,
            &Request {
                path: &path,
                ..Request::default()
            },
        )?;
        serde_json::from_str(&response.body).map_err(|_| io::Error::other(response.body))
    }

    /// Sends a request. Returns an error if no complete response arrived.
    pub fn send(&self, entry: net::SocketAddr, request: &Request<'_>) -> io::Result<Response> {
        let mut req = ureq::http::Request::builder()
            .method(request.method)
            .uri(format!("http://{entry}{}", request.path));
        if let Some(key) = request.key {
            req = req.header(headers::KEY, key);
        }
        if let Some(stated_timeout) = request.stated_timeout {
            req = req.header(headers::TIMEOUT, stated_timeout.as_millis().to_string());
        }
        let timeout = Some(request.timeout);
        let res = if request.body.is_empty() {
            let req = req.body(()).map_err(io::Error::other)?;
            let req = self.agent.configure_request(req);
            self.agent.run(req.timeout_global(timeout).build())
        } else {
            let req = req.body(request.body).map_err(io::Error::other)?;
            let req = self.agent.configure_request(req);
            self.agent.run(req.timeout_global(timeout).build())
        };
        let mut res = res.map_err(io::Error::other)?;
        let body = res
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_string()
            .map_err(io::Error::other)?;
        let header = |name: &str| res.headers().get(name)?.to_str().ok();
        let outcome = header(headers::OUTCOME);
        Ok(Response {
            status: res.status().as_u16(),
            outcome: outcome.and_then(|outcome| serde_json::from_value(outcome.into()).ok()),
            retry_after: header("retry-after")
                .and_then(|after| after.parse().ok())
                .map(time::Duration::from_secs),
            body,
        })
    }
}
