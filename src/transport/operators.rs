//! The operators' listener: metrics, health, readiness and status over HTTP.
//!
//! It has an address and threads of its own. On the callers' listener a flood of requests would
//! hide what operators need to see most just then, and callers could read what is none of their
//! business. It only reads: nothing that it answers changes the process.

use std::net;

use bytes::Bytes;
use hyper::{Method, StatusCode, Uri, header};

use super::{pool, server};
use crate::protocol::operators;
use crate::{error, metrics};

/// Threads that answer operators. A long history must not hold up the health check.
const THREADS: usize = 3;

/// Questions that wait for one of them. More are turned away.
const WAITING: usize = 64;

/// Connections at a time.
const CONNECTIONS: usize = 256;

/// The bytes of a body, which nothing here has a use for.
const BODY_BYTES: usize = 1024;

/// What the answers are that are no metrics.
const JSON_TYPE: &str = "application/json";

/// What the text of metrics is, to those who scrape it.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Where the listener's answers come from.
pub trait Source: Send + Sync + 'static {
    /// How the process is.
    fn status(&self) -> operators::Status;

    /// Changes of the metrics over past windows, as JSON. `query` names the windows.
    fn history(&self, query: &str) -> String;

    /// What was decided about a request, as JSON.
    fn explain(&self, request: u64) -> String;

    /// Called before metrics are rendered, so that gauges show the present.
    fn refresh(&self) {}
}

/// Answers from a source.
struct Operators<S>(S);

impl<S: Source> pool::Handler for Operators<S> {
    fn handle(&self, req: server::Request) {
        let told = answer(&req.method, &req.uri, &self.0);
        req.reply.send(told);
    }

    fn fault(&self, fault: server::Fault) -> server::Answer {
        match fault {
            server::Fault::Busy => {
                let busy = "too many questions at once; ask again in a second\n";
                text(StatusCode::SERVICE_UNAVAILABLE, busy)
            }
            server::Fault::Dropped => {
                let failed = "the answer failed; the log says why\n";
                text(StatusCode::INTERNAL_SERVER_ERROR, failed)
            }
            server::Fault::TooLarge(_) | server::Fault::Incomplete => {
                let unread = "the request was not understood; send a GET without a body\n";
                text(StatusCode::BAD_REQUEST, unread)
            }
        }
    }
}

/// Answers operators on `addr` until the listener is dropped.
pub fn serve<S: Source>(addr: net::SocketAddr, source: S) -> Result<pool::Pool, error::Error> {
    let cfg = pool::Config {
        threads: THREADS,
        waiting: WAITING,
        limits: server::Limits {
            connections: CONNECTIONS,
            body_bytes: BODY_BYTES,
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
        let only_get = "only GET is answered here\n";
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
                status.expect("a status has only values that JSON can hold"),
            )
        }
        "/history" => typed(JSON_TYPE, source.history(query)),
        "/explain" => explain(query, source),
        _ => text(
            StatusCode::NOT_FOUND,
            "ask for /metrics, /health, /ready, /status, /history or /explain?request=ID\n",
        ),
    }
}

/// A request is named as in its answer's header, or by its number alone.
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
    let mut told = text(StatusCode::OK, body);
    let value = header::HeaderValue::from_static(content_type);
    told.headers.insert(header::CONTENT_TYPE, value);
    told
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

    /// Several tools keep their connections open and others ask at once. A health check that waits
    /// for one of those connections to close would have a sound VM replaced.
    #[test]
    fn questions_that_come_at_once_are_all_answered() {
        let server = serve("127.0.0.1:0".parse().unwrap(), Starting).unwrap();
        let addr = server.addr();
        let start = sync::Barrier::new(40);
        thread::scope(|scope| {
            for _ in 0..40 {
                scope.spawn(|| {
                    let agent = ureq::Agent::new_with_defaults();
                    start.wait();
                    let asked = agent.get(format!("http://{addr}/health")).call();
                    start.wait();
                    assert_eq!(asked.unwrap().status(), 200);
                });
            }
        });
    }

    /// A script posts to the operators' listener. Nothing there may change the process.
    #[test]
    fn nothing_can_be_written() {
        let server = serve("127.0.0.1:0".parse().unwrap(), Starting).unwrap();
        let res = attohttpc::post(format!("http://{}/status", server.addr())).send();
        assert_eq!(res.unwrap().status().as_u16(), 405);
    }
}
