//! HTTP endpoints that the gateway answers itself instead of routing to a backend server: readiness
//! (`/ready`), entry VM addresses (`/resolve`) and metrics (`/metrics`).

use bytes::Bytes;

use crate::protocol::{http1, routes, target};
use crate::transport::{callers, memory};
use crate::{gateway, metrics};

/// The longest body of a request. None is needed.
const MAX_BODY_BYTES: u64 = 16 << 10;

/// Handler for these endpoints.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The gateway, for its readiness and its list of entry VMs.
    pub cx: gateway::Gateway,
    /// How long callers may cache a `/resolve` response, in seconds.
    pub ttl_s: f64,
}

#[derive(serde::Serialize)]
struct ResolveResponse<'a> {
    addrs: &'a [std::net::SocketAddr],
    ttl_s: f64,
}

impl callers::Handler for Endpoints {
    fn limits(&self) -> routes::Limits {
        routes::Limits {
            max_body_bytes: MAX_BODY_BYTES,
            ..routes::Limits::default()
        }
    }

    fn memory(&self) -> memory::Account {
        self.cx.memory.clone()
    }

    fn answer(&self, req: callers::Request) -> impl Future<Output = callers::Answer> + 'static {
        let mut answer = self.reply(&req.head);
        if let callers::Body::Whole(body) = &mut answer.body {
            *body = self
                .cx
                .memory
                .guard(memory::Owner::Answers, std::mem::take(body));
        }
        async move { answer }
    }
}

impl Endpoints {
    fn reply(&self, head: &http1::RequestHead) -> callers::Answer {
        match head.path() {
            "/ready" => self.ready(),
            "/resolve" => self.resolve(head.target()),
            "/metrics" => text(metrics::exporter().render()),
            _ => callers::Answer::empty(404),
        }
    }

    fn ready(&self) -> callers::Answer {
        callers::Answer::empty(match self.cx.is_ready() {
            true => 200,
            false => 503,
        })
    }

    fn resolve(&self, asked: &str) -> callers::Answer {
        let region = target::parameter(asked, "region");
        let addrs = self.cx.entries_for(region.as_deref());
        if addrs.is_empty() {
            return callers::Answer::empty(503);
        }
        json(&ResolveResponse {
            addrs: &addrs,
            ttl_s: self.ttl_s,
        })
    }
}

fn json<T: serde::Serialize>(value: &T) -> callers::Answer {
    match serde_json::to_vec(value) {
        Ok(body) => with_body("application/json", body.into()),
        // Not expected, since these types always serialize; the caller can use another entry VM.
        Err(_) => callers::Answer::empty(500),
    }
}

fn text(body: String) -> callers::Answer {
    with_body("text/plain", body.into())
}

fn with_body(kind: &str, body: Bytes) -> callers::Answer {
    let mut answer = callers::Answer::empty(200);
    http1::put_field(&mut answer.fields, b"Content-Type", kind.as_bytes());
    answer.body = callers::Body::Whole(body);
    answer
}
