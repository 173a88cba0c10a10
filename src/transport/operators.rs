//! The operators' listener: metrics, health, readiness and status over HTTP.
//!
//! It has an address and threads of its own. On the callers' listener a flood of requests would
//! hide what operators need to see most just then, and callers could read what is none of their
//! business. It only reads: nothing that it answers changes the process.

use std::net;
use std::sync;
use std::thread;

use crate::protocol::operators;
use crate::{error, metrics};

/// Threads that answer operators. One slow reader must not hold up the health check.
const THREADS: usize = 3;

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

/// The listener, until it is dropped.
pub struct Server {
    http: sync::Arc<tiny_http::Server>,
    addr: net::SocketAddr,
}

impl Server {
    /// Where it listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        for _ in 0..THREADS {
            self.http.unblock();
        }
    }
}

/// Answers operators on `addr`.
pub fn serve<S: Source>(addr: net::SocketAddr, source: S) -> Result<Server, error::Error> {
    let http = tiny_http::Server::http(addr).map_err(|err| error::Error::Bind {
        addr: addr.to_string(),
        setting: "operators_listen",
        reason: err.to_string(),
    })?;
    let addr = http.server_addr().to_ip().unwrap_or(addr);
    let http = sync::Arc::new(http);
    let source = sync::Arc::new(source);
    for _ in 0..THREADS {
        let (http, source) = (http.clone(), source.clone());
        thread::spawn(move || {
            while let Ok(req) = http.recv() {
                let res = answer(&req, &*source);
                // Whoever asked and went away needs no answer.
                let _ = req.respond(res);
            }
        });
    }
    Ok(Server { http, addr })
}

type Answer = tiny_http::Response<std::io::Cursor<Vec<u8>>>;

fn answer<S: Source>(req: &tiny_http::Request, source: &S) -> Answer {
    if *req.method() != tiny_http::Method::Get {
        return text(405, "only GET is answered here\n".to_owned());
    }
    let (path, query) = req.url().split_once('?').unwrap_or((req.url(), ""));
    match path {
        "/health" => text(200, "ok\n".to_owned()),
        "/ready" => ready(&source.status().not_ready),
        "/metrics" => {
            source.refresh();
            text(200, metrics::exporter().render()).with_header(header(METRICS_TYPE))
        }
        "/status" => {
            let status = serde_json::to_string(&source.status());
            json(status.expect("a status has only values that JSON can hold"))
        }
        "/history" => json(source.history(query)),
        "/explain" => explain(query, source),
        _ => text(
            404,
            "ask for /metrics, /health, /ready, /status, /history or /explain?request=ID\n"
                .to_owned(),
        ),
    }
}

/// A request is named as in its answer's header, or by its number alone.
fn explain<S: Source>(query: &str, source: &S) -> Answer {
    let name = query.strip_prefix("request=").unwrap_or_default();
    match name.rsplit('-').next().unwrap_or_default().parse() {
        Ok(request) => json(source.explain(request)),
        Err(_) => text(
            400,
            "give the request's id: /explain?request=ID\n".to_owned(),
        ),
    }
}

fn ready(not_ready: &[String]) -> Answer {
    if not_ready.is_empty() {
        return text(200, "ready\n".to_owned());
    }
    text(503, format!("{}\n", not_ready.join("\n")))
}

fn json(body: String) -> Answer {
    text(200, body).with_header(header("application/json"))
}

fn text(status: u16, body: String) -> Answer {
    tiny_http::Response::from_string(body).with_status_code(status)
}

fn header(value: &str) -> tiny_http::Header {
    tiny_http::Header::from_bytes("Content-Type", value).expect("our own values are sound")
}

#[cfg(test)]
mod tests {
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

    fn get(server: &Server, path: &str) -> (u16, String) {
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

    /// A script posts to the operators' listener. Nothing there may change the process.
    #[test]
    fn nothing_can_be_written() {
        let server = serve("127.0.0.1:0".parse().unwrap(), Starting).unwrap();
        let res = attohttpc::post(format!("http://{}/status", server.addr())).send();
        assert_eq!(res.unwrap().status().as_u16(), 405);
    }
}
