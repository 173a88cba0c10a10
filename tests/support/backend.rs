//! Simulated backend servers that follow the platform's protocol and record the requests that they run.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use bulrushwind::decisions::planned_stop;
use bulrushwind::platform::names::FIELDS;
use bulrushwind::protocol::{http1, routes};
use bulrushwind::transport::{callers, upstream};
use bytes::{Bytes, BytesMut};
use serde_json::json;
use tokio::sync::{mpsc, watch};
use tokio::task;

use super::{body, cut, store};

/// Requests recorded by all backend servers.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Number of runs of each request, by request id.
    pub(crate) runs: collections::BTreeMap<String, u32>,
    /// Length of the whole body of each request that has one, by request id.
    pub(crate) bodies: collections::BTreeMap<String, usize>,
    /// Requests that arrived later than [`DRAIN_GRACE`] after their backend server began to drain.
    pub(crate) late_requests: Vec<String>,
    /// Requests in the order in which they arrived, also those that were turned away.
    pub(crate) arrivals: Vec<Arrival>,
}

impl Log {
    /// The services of the requests that arrived since for targets with a prefix, in order of
    /// arrival. Further sends of a request are left out.
    pub(crate) fn services_since(&self, prefix: &str, since: time::Instant) -> Vec<&'static str> {
        let mut seen = collections::BTreeSet::new();
        self.arrivals
            .iter()
            .filter(|a| a.at >= since && a.target.starts_with(prefix) && seen.insert(&a.id))
            .map(|a| a.service)
            .collect()
    }
}

/// A request that arrived at a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: time::Instant,
    pub(crate) id: String,
    pub(crate) target: String,
    pub(crate) service: &'static str,
}

/// A backend server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) addr: net::SocketAddr,
    service_time: rc::Rc<cell::Cell<time::Duration>>,
    running: rc::Rc<cell::Cell<u32>>,
    log: rc::Rc<cell::RefCell<Log>>,
    /// When draining began.
    pub(crate) drain_started: rc::Rc<cell::Cell<Option<time::Instant>>>,
    /// Whether responses are dropped.
    pub(crate) drops_responses: rc::Rc<cell::Cell<bool>>,
    /// What it states in all answers.
    statement: rc::Rc<cell::RefCell<Statement>>,
    /// Number of requests that it ran.
    run_count: rc::Rc<cell::Cell<u32>>,
    accept_task: rc::Rc<cell::RefCell<Option<task::JoinHandle<()>>>>,
    /// Its connections by source.
    pub(crate) sources: rc::Rc<cell::RefCell<cut::Sources>>,
}

/// What a backend server states in all answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Statement {
    /// Name and value of the field.
    pub(crate) field: Option<(&'static str, &'static str)>,
    /// Whether it turns all requests away.
    pub(crate) sheds: bool,
}

/// Concurrent requests and queued requests per backend server.
const SLOTS: u32 = 3;
const QUEUE_LENGTH: u32 = 9;

/// How long after its draining state was written a backend server may still receive requests.
pub(crate) const DRAIN_GRACE: time::Duration = time::Duration::from_millis(2500);

/// The body of the answer to a request, of this length if the request asks for one.
pub(crate) fn answer_to(id: &str, bytes: Option<usize>) -> Bytes {
    let text = format!("answer to {id}");
    match bytes {
        Some(bytes) => text.bytes().cycle().take(bytes).collect(),
        None => text.into(),
    }
}

/// Query parameters that control how the body is handled.
const EARLY: &str = "early";
const LATE: &str = "late";
const PAUSE: &str = "pause_ms";

/// A number in a target's query.
fn parameter(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

impl Backend {
    pub(crate) fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        service_time: time::Duration,
        log: rc::Rc<cell::RefCell<Log>>,
    ) -> Self {
        let listener = super::listen();
        let backend = Self {
            id: id.to_owned(),
            service,
            zone,
            addr: listener.local_addr().unwrap(),
            service_time: rc::Rc::new(cell::Cell::new(service_time)),
            running: rc::Rc::default(),
            log,
            drain_started: rc::Rc::default(),
            drops_responses: rc::Rc::default(),
            statement: rc::Rc::default(),
            run_count: rc::Rc::default(),
            accept_task: rc::Rc::default(),
            sources: rc::Rc::new(cell::RefCell::new(cut::Sources::listen(&listener))),
        };
        let served = backend.clone();
        let accept_task = task::spawn_local(async move {
            let (_stop, stop) = watch::channel(planned_stop::Phase::Serving);
            while let Ok((stream, from)) = listener.accept().await {
                let id = served.sources.borrow_mut().add(from.ip(), &stream);
                let (server, stop) = (served.clone(), stop.clone());
                let serving = task::spawn_local(async move {
                    callers::serve(stream, server.clone(), stop).await;
                    server.sources.borrow_mut().remove(id);
                });
                let mut sources = served.sources.borrow_mut();
                sources.set_serving(id, serving.abort_handle());
            }
        });
        *backend.accept_task.borrow_mut() = Some(accept_task);
        backend
    }

    /// Key of the server's record in the store.
    pub(crate) fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes the server's record with a state to the store.
    pub(crate) fn register(&self, store: &store::Store, state: &str) {
        let entry = json!({
            "service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1",
            "slots": SLOTS, "state": state, "cold_left_s": 0.0, "seq": 1,
        });
        store.write(&self.key(), &entry);
        if state != "ready" && self.drain_started.get().is_none() {
            self.drain_started.set(Some(time::Instant::now()));
        }
    }

    /// Sets how long each further request runs.
    pub(crate) fn set_service_time(&self, service_time: time::Duration) {
        self.service_time.set(service_time);
    }

    /// Number of requests that the server ran.
    pub(crate) fn runs(&self) -> u32 {
        self.run_count.get()
    }

    /// Sets what the server states in all further answers.
    pub(crate) fn state(&self, statement: Statement) {
        *self.statement.borrow_mut() = statement;
    }

    /// Stops accepting connections.
    pub(crate) fn close(&self) {
        if let Some(accept_task) = self.accept_task.borrow_mut().take() {
            accept_task.abort();
        }
        self.sources.borrow_mut().close();
    }

    async fn reply(self, mut req: callers::Request) -> callers::Answer {
        let fields = &req.head.fields;
        let id = fields.text(FIELDS.id).unwrap_or_default().to_owned();
        if fields.text(FIELDS.instance).is_some_and(|i| i != self.id) {
            return self.not_run(421, &id);
        }
        self.log.borrow_mut().arrivals.push(Arrival {
            at: time::Instant::now(),
            id: id.clone(),
            target: req.head.target().to_owned(),
            service: self.service,
        });
        if self.statement.borrow().sheds || self.running.get() >= SLOTS + QUEUE_LENGTH {
            return self.not_run(503, &id);
        }
        if self
            .drain_started
            .get()
            .is_some_and(|at| at.elapsed() > DRAIN_GRACE)
        {
            let late_request = format!("{id} {}", req.head.target());
            self.log.borrow_mut().late_requests.push(late_request);
        }
        *self.log.borrow_mut().runs.entry(id.clone()).or_default() += 1;
        self.run_count.set(self.run_count.get() + 1);
        let running = RunningGuard::new(&self.running);
        if parameter(req.head.target(), LATE).is_some() {
            return self.reply_late(req, id, running);
        }
        self.run(&mut req, &id).await
    }

    /// Runs a request.
    async fn run(&self, req: &mut callers::Request, id: &str) -> callers::Answer {
        let target = req.head.target();
        if let Some(pause) = parameter(target, PAUSE) {
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
        if parameter(target, EARLY).is_none() {
            let (len, is_whole) = body::read(&mut req.payload).await;
            if is_whole && len > 0 {
                self.log.borrow_mut().bodies.insert(id.to_owned(), len);
            }
        }
        let work = parameter(target, "work_ms").map(time::Duration::from_millis);
        tokio::time::sleep(work.unwrap_or(self.service_time.get())).await;
        if self.drops_responses.get() {
            return std::future::pending().await;
        }
        let mut answer = callers::Answer::empty(200);
        self.put_id_and_load(&mut answer, id);
        http1::put_field(
            &mut answer.fields,
            FIELDS.proof.as_bytes(),
            self.id.as_bytes(),
        );
        let bytes = parameter(target, "bytes").and_then(|n| usize::try_from(n).ok());
        answer.body = callers::Body::Whole(answer_to(id, bytes));
        answer
    }

    /// Runs a request; sends a late answer to another request first.
    fn reply_late(
        self,
        mut req: callers::Request,
        id: String,
        running: RunningGuard,
    ) -> callers::Answer {
        const OTHER: Bytes = Bytes::from_static(b"other");
        let mut late = callers::Answer::empty(200);
        self.put_id_and_load(&mut late, "other");
        let (tx, rx) = mpsc::channel(1);
        task::spawn_local(async move {
            let _running = running;
            // The gateway may close the connection first.
            let _ = tx.send(upstream::Piece::Data(OTHER)).await;
            let answer = self.run(&mut req, &id).await;
            let callers::Body::Whole(body) = answer.body else {
                return;
            };
            let mut out = BytesMut::new();
            http1::put_status(&mut out, answer.status);
            out.extend_from_slice(&answer.fields);
            http1::put_number(&mut out, "Content-Length", body.len() as u64);
            out.extend_from_slice(b"\r\n");
            out.extend_from_slice(&body);
            let _ = tx.send(upstream::Piece::Data(out.freeze())).await;
            let _ = tx.send(upstream::Piece::End).await;
        });
        callers::Answer {
            body: callers::Body::Pieces {
                length: Some(OTHER.len() as u64),
                rx,
            },
            ..late
        }
    }

    fn not_run(&self, status: u16, id: &str) -> callers::Answer {
        let mut answer = callers::Answer::empty(status);
        self.put_id_and_load(&mut answer, id);
        http1::put_field(&mut answer.fields, FIELDS.not_run.as_bytes(), b"1");
        answer
    }

    fn put_id_and_load(&self, answer: &mut callers::Answer, id: &str) {
        http1::put_field(&mut answer.fields, FIELDS.id.as_bytes(), id.as_bytes());
        let load = format!("{},0,{SLOTS}", self.running.get());
        http1::put_field(&mut answer.fields, FIELDS.load.as_bytes(), load.as_bytes());
        if let Some((name, value)) = self.statement.borrow().field {
            http1::put_field(&mut answer.fields, name.as_bytes(), value.as_bytes());
        }
    }
}

impl callers::Handler for Backend {
    fn limits(&self) -> routes::Limits {
        routes::Limits::default()
    }

    fn answer(&self, req: callers::Request) -> impl Future<Output = callers::Answer> + 'static {
        self.clone().reply(req)
    }
}

struct RunningGuard(rc::Rc<cell::Cell<u32>>);

impl RunningGuard {
    fn new(count: &rc::Rc<cell::Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
