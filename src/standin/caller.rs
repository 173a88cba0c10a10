//! A caller as the users' clients are: it looks up, sends, and reads what it is told.

use std::io;
use std::net;
use std::time;

use crate::protocol::{headers, lookup, outcome};

/// The most bytes of an answer that it reads.
const MAX_BYTES: u64 = 8 << 20;

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The method.
    pub method: &'a str,
    /// The path with the service's name, and the query.
    pub path: &'a str,
    /// The key, if any.
    pub key: Option<&'a str>,
    /// The body; empty for none.
    pub body: &'a str,
    /// How long it waits.
    pub timeout: time::Duration,
    /// What it states as its patience.
    pub patience: Option<time::Duration>,
}

impl Default for Ask<'_> {
    fn default() -> Self {
        Self {
            method: "GET",
            path: "/",
            key: None,
            body: "",
            timeout: time::Duration::from_secs(20),
            patience: None,
        }
    }
}

/// What a caller is told.
#[derive(Clone, Debug)]
pub struct Told {
    /// The status.
    pub status: u16,
    /// What became of the request.
    pub outcome: Option<outcome::Outcome>,
    /// The body.
    pub body: String,
    /// When to come back.
    pub retry_after: Option<time::Duration>,
}

impl Told {
    /// The body of an answer that no backend server gave.
    pub fn problem(&self) -> Option<outcome::Body> {
        serde_json::from_str(&self.body).ok()
    }
}

/// A caller. Connections are kept and used again.
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
    /// Looks a service up.
    pub fn look_up(&self, entry: net::SocketAddr, service: &str) -> io::Result<lookup::Lookup> {
        let path = format!("/lookup/{service}");
        let told = self.ask(
            entry,
            &Ask {
                path: &path,
                ..Ask::default()
            },
        )?;
        serde_json::from_str(&told.body).map_err(|_| io::Error::other(told.body))
    }

    /// Sends a request. An error: no complete answer came.
    pub fn ask(&self, entry: net::SocketAddr, ask: &Ask<'_>) -> io::Result<Told> {
        let mut req = ureq::http::Request::builder()
            .method(ask.method)
            .uri(format!("http://{entry}{}", ask.path));
        if let Some(key) = ask.key {
            req = req.header(headers::KEY, key);
        }
        if let Some(patience) = ask.patience {
            req = req.header(headers::TIMEOUT, patience.as_millis().to_string());
        }
        let timeout = Some(ask.timeout);
        let res = if ask.body.is_empty() {
            let req = req.body(()).map_err(io::Error::other)?;
            let req = self.agent.configure_request(req);
            self.agent.run(req.timeout_global(timeout).build())
        } else {
            let req = req.body(ask.body).map_err(io::Error::other)?;
            let req = self.agent.configure_request(req);
            self.agent.run(req.timeout_global(timeout).build())
        };
        let mut res = res.map_err(io::Error::other)?;
        let body = res
            .body_mut()
            .with_config()
            .limit(MAX_BYTES)
            .read_to_string()
            .map_err(io::Error::other)?;
        let header = |name: &str| res.headers().get(name)?.to_str().ok();
        let word = header(headers::OUTCOME);
        Ok(Told {
            status: res.status().as_u16(),
            outcome: word.and_then(|word| serde_json::from_value(word.into()).ok()),
            retry_after: header("retry-after")
                .and_then(|after| after.parse().ok())
                .map(time::Duration::from_secs),
            body,
        })
    }
}
