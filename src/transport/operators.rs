//! The operators' listener: metrics, health, readiness and status over HTTP.
//!
//! It has a separate address and separate threads. On the callers' listener, an overload would
//! block operators when they need the data most, and callers could read internal data. The
//! listener is read-only: no request to it changes the process.

use std::net;

use bytes::Bytes;
use hyper::{Method, StatusCode, Uri, header};

use super::{pool, server};
use crate::protocol::operators;
use crate::{error, metrics};

/// Threads for operators' requests. A long history must not delay the health check.
const THREAD_COUNT: usize = 3;

/// Requests that wait for a thread. Further requests are refused.
const MAX_QUEUED_REQUESTS: usize = 64;

/// Concurrent connections.
const MAX_CONNECTIONS: usize = 256;

/// The maximum bytes of a request body, which no operator request needs.
const MAX_BODY_BYTES: usize = 1024;

/// The content type of JSON answers.
const JSON_TYPE: &str = "application/json";

/// The content type of the metrics, in the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// The source of the listener's data.
pub trait Source: Send + Sync + 'static {
    /// The status of the process.
    fn status(&self) -> operators::Status;

    /// Request counts over past windows, as JSON. `query` selects the windows.
    fn history(&self, query: &str) -> String;

    /// The decisions about a request, as JSON.
    fn explain(&self, request: u64) -> String;

    /// Updates the gauges. Called before metrics are rendered.
    fn refresh(&self) {}
}

/// Handles operators' requests with data from a source.
struct Operators<S>(S);

impl<S: Source> pool::Handler for Operators<S> {
    fn handle(&self, req: server::Request) {
        let answer = answer(&req.method, &req.uri, &self.0);
        req.reply.send(answer);
    }

    fn fault(&self, fault: server::Fault) -> server::Answer {
        match fault {
            server::Fault::Busy => {
                let busy = "too many concurrent requests; retry in a second\n";
                text(StatusCode::SERVICE_UNAVAILABLE, busy)
            }
            server::Fault::Dropped => {
                let failed = "the request failed; see the log for the reason\n";
                text(StatusCode::INTERNAL_SERVER_ERROR, failed)
            }
            server::Fault::TooLarge(_) | server::Fault::Incomplete => {
                let unread = "the request cannot be read; send a GET without a body\n";
                text(StatusCode::BAD_REQUEST, unread)
            }
        }
    }
}

/// Serves operators on `addr` until the returned pool is dropped.
pub fn serve<S: Source>(addr: net::SocketAddr, source: S) -> Result<pool::Pool, error::Error> {
    let cfg = pool::Config {
        threads: THREAD_COUNT,
        max_queued: MAX_QUEUED_REQUESTS,
        limits: server::Limits {
            connections: MAX_CONNECTIONS,
            body_bytes: MAX_BODY_BYTES,
            ..server::Limits::default()
        },
    };
    pool::serve(addr, cfg, Operators(source)).map_err(|err| error::Error::Bind {
        addr: addr.to_string(),
        setting: "operators_listen",
        reason: err.to_string(),
    })
}

fn answer<S: Source>(method: &Method, uri: &Uri, source: &S) -> server::Answer {
    if *method != Method::GET {
        let only_get = "method not allowed; send a GET\n";
        return text(StatusCode::METHOD_NOT_ALLOWED, only_get);
    }
    let query = uri.query().unwrap_or_default();
    match uri.path() {
        "/health" => text(StatusCode::OK, "ok\n"),
        "/ready" => ready(&source.status().not_ready),
        "/metrics" => {
            source.refresh();
            typed(METRICS_TYPE, metrics::exporter().render())
        }
        "/status" => {
            let status = serde_json::to_string(&source.status());
            typed(
                JSON_TYPE,
                status.expect("a status has only values that JSON can represent"),
            )
        }
        "/history" => typed(JSON_TYPE, source.history(query)),
        "/explain" => explain(query, source),
        _ => text(
            StatusCode::NOT_FOUND,
            "not found; use /metrics, /health, /ready, /status, /history or /explain?request=ID\n",
        ),
    }
}

/// Explains a request, given by the id in its answer's header or by its number alone.
fn explain<S: Source>(query: &str, source: &S) -> server::Answer {
    let name = query.strip_prefix("request=").unwrap_or_default();
    match name.rsplit('-').next().unwrap_or_default().parse() {
        Ok(request) => typed(JSON_TYPE, source.explain(request)),
        Err(_) => text(
            StatusCode::BAD_REQUEST,
            "give the request's id: /explain?request=ID\n",
        ),
    }
}

fn ready(not_ready: &[String]) -> server::Answer {
    if not_ready.is_empty() {
        return text(StatusCode::OK, "ready\n");
    }
    let why = format!("{}\n", not_ready.join("\n"));
    text(StatusCode::SERVICE_UNAVAILABLE, why)
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> server::Answer {
    server::Answer {
        status,
        body: body.into(),
        ..server::Answer::default()
    }
}

fn typed(content_type: &'static str, body: String) -> server::Answer {
    let mut answer = text(StatusCode::OK, body);
    let value = header::HeaderValue::from_static(content_type);
    answer.headers.insert(header::CONTENT_TYPE, value);
    answer
}

#[cfg(test)]
mod tests {
    use std::sync;
    use std::thread;

    use super::*;

    struct Starting;

    impl Source for Starting {
        fn status(&self) -> operators::Status {
            operators::Status {
                vm: "e1".to_owned(),
                not_ready: vec!["no settings yet".to_owned()],
                ..operators::Status::default()
            }
        }

        fn history(&self, query: &str) -> String {
            format!("{query:?}")
        }

        fn explain(&self, request: u64) -> String {
            request.to_string()
        }
    }

    fn get(server: &pool::Pool, path: &str) -> (u16, String) {
        let res = attohttpc::get(format!("http://{}{path}", server.addr())).send();
        let res = res.unwrap();
        (res.status().as_u16(), res.text().unwrap())
    }

    #[test]
    fn health_and_readiness_differ() {
        let server = serve("127.0.0.1:0".parse().unwrap(), Starting).unwrap();
        assert_eq!(get(&server, "/health"), (200, "ok\n".to_owned()));
        assert_eq!(
            get(&server, "/ready"),
            (503, "no settings yet\n".to_owned())
        );
        assert_eq!(get(&server, "/nowhere").0, 404);
        assert_eq!(get(&server, "/history?w=1").1, "\"w=1\"");
        let status: operators::Status = serde_json::from_str(&get(&server, "/status").1).unwrap();
        assert_eq!(status.vm, "e1");
        assert!(get(&server, "/metrics").0 == 200);
        assert_eq!(get(&server, "/explain?request=e1-af3-17").1, "17");
        assert_eq!(get(&server, "/explain?request=none").0, 400);
    }

    /// Several tools keep connections open while others send requests. A health check that waited
    /// for such a connection to close would time out, and a healthy VM would be replaced.
    #[test]
    fn concurrent_requests_are_all_answered() {
        let server = serve("127.0.0.1:0".parse().unwrap(), Starting).unwrap();
        let addr = server.addr();
        let start = sync::Barrier::new(40);
        thread::scope(|scope| {
            for _ in 0..40 {
                scope.spawn(|| {
                    let agent = ureq::Agent::new_with_defaults();
                    start.wait();
                    let result = agent.get(format!("http://{addr}/health")).call();
                    start.wait();
                    assert_eq!(result.unwrap().status(), 200);
                });
            }
        });
    }

    /// A POST to the operators' listener must not change the process.
    #[test]
    fn the_listener_is_read_only() {
        let server = serve("127.0.0.1:0".parse().unwrap(), Starting).unwrap();
        let res = attohttpc::post(format!("http://{}/status", server.addr())).send();
        assert_eq!(res.unwrap().status().as_u16(), 405);
    }
}
