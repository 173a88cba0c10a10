//! A stand-in backend server with slots, a bounded queue, load reports, drain, cold start,
//! load shedding, cancellation and deadlines. It logs the requests that it ran.

use std::collections;
use std::fs;
use std::io;
use std::io::Write;
use std::net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bytes::Bytes;
use crossbeam::channel;
use hyper::{Method, StatusCode, header};
use parking_lot::Mutex;

use crate::decisions::policy;
use crate::protocol::{backend_http, headers, outcome};
use crate::transport::server;

/// Path that sets the behaviour from the JSON [`Behaviour`] in the body.
pub const BEHAVIOUR_PATH: &str = "/_behaviour";
/// Path that returns the JSON [`Log`].
pub const LOG_PATH: &str = "/_log";
/// A request with this text in its query makes the server process exit.
pub const CRASH_QUERY: &str = "crash=1";

/// Interval at which a running job checks for cancellation.
const CANCEL_POLL_INTERVAL: time::Duration = time::Duration::from_millis(1);

data! {
    /// Configurable behaviour of a backend server.
    #[serde(default)]
    pub struct Behaviour {
        /// Number of requests processed concurrently. Read at startup only.
        pub slots: usize,
        /// Maximum number of queued requests; further requests are shed.
        pub queue: usize,
        /// Processing time of one request, in milliseconds.
        pub work_ms: u64,
        /// Time after startup during which requests take three times as long, in milliseconds.
        pub cold_ms: u64,
        /// Load reports announce that the server is about to leave.
        pub leaving: bool,
        /// Requests are accepted and never answered.
        pub stuck: bool,
        /// Health probes succeed, but all requests fail.
        pub failing: bool,
        /// All requests are refused as not run.
        pub shedding: bool,
    }

    /// Counts of the requests that a backend server has processed.
    #[derive(Default)]
    pub struct Log {
        /// Number of runs of each idempotency key.
        pub runs: collections::BTreeMap<String, u32>,
        /// Requests that were started.
        pub started: u64,
        /// Requests that were cancelled.
        pub cancelled: u64,
        /// Requests whose deadline passed before they were started.
        pub late: u64,
        /// Requests that were shed.
        pub shed: u64,
        /// Start of the last request, in milliseconds after the server announced that it leaves.
        pub started_after_leaving_ms: Option<u64>,
    }

    /// The body of an answer: a copy of the request, so that a caller can verify the answer.
    pub struct Echo {
        /// The path and the query.
        pub path: String,
        /// The idempotency key, if any.
        pub key: Option<String>,
        /// The request's body.
        pub body: String,
    }
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 3,
            queue: 16,
            work_ms: 5,
            cold_ms: 0,
            leaving: false,
            stuck: false,
            failing: false,
            shedding: false,
        }
    }
}

struct Job {
    req: server::Request,
    deadline: time::Instant,
    cancelled: sync::Arc<atomic::AtomicBool>,
}

struct Shared {
    behaviour: Mutex<Behaviour>,
    log: Mutex<Log>,
    started: time::Instant,
    leaving_since: Mutex<Option<time::Instant>>,
    in_flight: atomic::AtomicU32,
    queued: atomic::AtomicU32,
    cancels: Mutex<collections::HashMap<u64, sync::Arc<atomic::AtomicBool>>>,
    jobs: channel::Sender<Job>,
    journal: Option<Mutex<fs::File>>,
}

/// A running backend server. All its connections close when it is dropped.
pub struct Backend {
    shared: sync::Arc<Shared>,
    server: server::Server,
    _runtime: tokio::runtime::Runtime,
}

impl Backend {
    /// Starts a backend server on `addr`. The key of each request that runs is appended to
    /// `journal` as a line, which survives a crash of the process.
    pub fn start(
        addr: net::SocketAddr,
        behaviour: Behaviour,
        journal: Option<fs::File>,
    ) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let (jobs, rx) = channel::unbounded();
        let slots = behaviour.slots;
        let shared = sync::Arc::new(Shared {
            behaviour: Mutex::new(Behaviour::default()),
            log: Mutex::default(),
            started: time::Instant::now(),
            leaving_since: Mutex::default(),
            in_flight: atomic::AtomicU32::new(0),
            queued: atomic::AtomicU32::new(0),
            cancels: Mutex::default(),
            jobs,
            journal: journal.map(Mutex::new),
        });
        shared.set_behaviour(behaviour);
        for _ in 0..slots {
            let (shared, rx) = (sync::Arc::downgrade(&shared), rx.clone());
            thread::spawn(move || {
                while let Ok(job) = rx.recv() {
                    let Some(shared) = shared.upgrade() else {
                        return;
                    };
                    run_job(&shared, job);
                }
            });
        }
        let limits = server::Limits::default();
        let sink = Sink(shared.clone());
        let server = server::start(runtime.handle(), addr, limits, sink)?;
        Ok(Self {
            shared,
            server,
            _runtime: runtime,
        })
    }

    /// The address on which the server listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// A copy of the log.
    pub fn log(&self) -> Log {
        self.shared.log.lock().clone()
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.server.open_connections()
    }
}

impl Shared {
    fn set_behaviour(&self, behaviour: Behaviour) {
        let mut since = self.leaving_since.lock();
        *since = match (behaviour.leaving, *since) {
            (true, None) => Some(time::Instant::now()),
            (true, since) => since,
            (false, _) => None,
        };
        *self.behaviour.lock() = behaviour;
    }

    fn report(&self) -> policy::Report {
        policy::Report {
            in_flight: self.in_flight.load(atomic::Ordering::SeqCst),
            queued: self.queued.load(atomic::Ordering::SeqCst),
            leaving: self.behaviour.lock().leaving,
        }
    }

    fn answer(
        &self,
        status: StatusCode,
        outcome: outcome::Outcome,
        body: Vec<u8>,
    ) -> server::Answer {
        let mut answer = server::Answer {
            status,
            body: Bytes::from(body),
            ..server::Answer::default()
        };
        let load = backend_http::format_load(&self.report());
        if let (Ok(load), Ok(outcome)) = (load.parse(), outcome.as_str().parse()) {
            answer.headers.insert(headers::LOAD, load);
            answer.headers.insert(headers::OUTCOME, outcome);
        }
        answer
    }

    fn respond(
        &self,
        req: server::Request,
        status: StatusCode,
        outcome: outcome::Outcome,
        body: Vec<u8>,
    ) {
        let mut answer = self.answer(status, outcome, body);
        if let Some(attempt) = req.headers.get(headers::REQUEST) {
            answer.headers.insert(headers::REQUEST, attempt.clone());
        }
        req.reply.send(answer);
    }
}

#[derive(Clone)]
struct Sink(sync::Arc<Shared>);

impl server::Sink for Sink {
    fn request(&self, req: server::Request) {
        let shared = &self.0;
        match req.uri.path() {
            backend_http::PROBE_PATH => {
                shared.respond(req, StatusCode::OK, outcome::Outcome::Answered, Vec::new());
            }
            LOG_PATH => {
                let log = serde_json::to_vec(&*shared.log.lock()).unwrap_or_default();
                shared.respond(req, StatusCode::OK, outcome::Outcome::Answered, log);
            }
            BEHAVIOUR_PATH => {
                let status = match serde_json::from_slice(&req.body) {
                    Ok(behaviour) => {
                        shared.set_behaviour(behaviour);
                        StatusCode::OK
                    }
                    Err(_) => StatusCode::BAD_REQUEST,
                };
                shared.respond(req, status, outcome::Outcome::Answered, Vec::new());
            }
            _ => admit(shared, req),
        }
    }

    fn caller_disconnected(&self, id: u64) {
        if let Some(cancelled) = self.0.cancels.lock().get(&id) {
            cancelled.store(true, atomic::Ordering::SeqCst);
        }
    }

    fn fault(&self, _id: u64, _fault: server::Fault) -> server::Answer {
        let status = StatusCode::BAD_REQUEST;
        self.0.answer(status, outcome::Outcome::NotRun, Vec::new())
    }
}

fn admit(shared: &sync::Arc<Shared>, req: server::Request) {
    let (queue, shedding) = {
        let behaviour = shared.behaviour.lock();
        (behaviour.queue, behaviour.shedding)
    };
    let queued = shared.queued.load(atomic::Ordering::SeqCst) as usize;
    if shedding || queued >= queue {
        shared.log.lock().shed += 1;
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return shared.respond(req, status, outcome::Outcome::NotRun, Vec::new());
    }
    let timeout = headers::timeout(&req.headers).ok().flatten();
    let cancelled = sync::Arc::new(atomic::AtomicBool::new(false));
    shared.cancels.lock().insert(req.id, cancelled.clone());
    shared.queued.fetch_add(1, atomic::Ordering::SeqCst);
    let job = Job {
        deadline: time::Instant::now() + timeout.unwrap_or(headers::MAX_TIMEOUT),
        req,
        cancelled,
    };
    let _ = shared.jobs.send(job);
}

fn run_job(shared: &Shared, job: Job) {
    shared.queued.fetch_sub(1, atomic::Ordering::SeqCst);
    shared.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
    let id = job.req.id;
    process_job(shared, job);
    shared.cancels.lock().remove(&id);
    shared.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
}

fn process_job(shared: &Shared, job: Job) {
    if job.cancelled.load(atomic::Ordering::SeqCst) {
        shared.log.lock().cancelled += 1;
        return;
    }
    if time::Instant::now() >= job.deadline {
        shared.log.lock().late += 1;
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return shared.respond(job.req, status, outcome::Outcome::NotRun, Vec::new());
    }
    let key = headers::text(&job.req.headers, headers::KEY).map(str::to_owned);
    log_run(shared, key.as_deref());
    if job
        .req
        .uri
        .query()
        .is_some_and(|query| query.contains(CRASH_QUERY))
    {
        process::exit(70);
    }
    if !execute(shared, &job) {
        shared.log.lock().cancelled += 1;
        return;
    }
    send_answer(shared, job.req, key);
}

fn log_run(shared: &Shared, key: Option<&str>) {
    if let (Some(journal), Some(key)) = (&shared.journal, key) {
        let written = journal.lock().write_all(format!("{key}\n").as_bytes());
        written.expect("the journal must record each run, or a duplicate run stays hidden");
    }
    let leaving = shared.leaving_since.lock().map(|since| since.elapsed());
    let mut log = shared.log.lock();
    log.started += 1;
    if let Some(key) = key {
        *log.runs.entry(key.to_owned()).or_default() += 1;
    }
    if let Some(leaving) = leaving {
        log.started_after_leaving_ms = u64::try_from(leaving.as_millis()).ok();
    }
}

/// Waits for the processing time of a request. Returns false if the request was cancelled, which
/// only a GET can be: it has no side effects.
fn execute(shared: &Shared, job: &Job) -> bool {
    let started_at = time::Instant::now();
    let is_cancellable = job.req.method == Method::GET;
    loop {
        let behaviour = shared.behaviour.lock().clone();
        let cold = shared.started.elapsed() < time::Duration::from_millis(behaviour.cold_ms);
        let work_ms = behaviour.work_ms * if cold { 3 } else { 1 };
        let remaining = time::Duration::from_millis(work_ms).saturating_sub(started_at.elapsed());
        if remaining.is_zero() && !behaviour.stuck {
            return true;
        }
        if is_cancellable && job.cancelled.load(atomic::Ordering::SeqCst) {
            return false;
        }
        thread::sleep(if behaviour.stuck {
            CANCEL_POLL_INTERVAL
        } else {
            remaining.min(CANCEL_POLL_INTERVAL)
        });
    }
}

fn send_answer(shared: &Shared, req: server::Request, key: Option<String>) {
    if shared.behaviour.lock().failing {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return shared.respond(req, status, outcome::Outcome::Answered, Vec::new());
    }
    let echo = Echo {
        path: req.uri.to_string(),
        key,
        body: String::from_utf8_lossy(&req.body).into_owned(),
    };
    let body = serde_json::to_vec(&echo).expect("an echo can be serialised as JSON");
    shared.respond(req, StatusCode::OK, outcome::Outcome::Answered, body);
}

/// Sets the behaviour of the backend server at `addr`.
pub fn set_behaviour(addr: net::SocketAddr, behaviour: &Behaviour) -> io::Result<()> {
    attohttpc::post(format!("http://{addr}{BEHAVIOUR_PATH}"))
        .header(header::CONTENT_TYPE.as_str(), "application/json")
        .text(serde_json::to_string(behaviour)?)
        .send()
        .and_then(attohttpc::Response::error_for_status)
        .map_err(io::Error::other)?;
    Ok(())
}

/// Reads the log of the backend server at `addr`.
pub fn read_log(addr: net::SocketAddr) -> io::Result<Log> {
    let res = attohttpc::get(format!("http://{addr}{LOG_PATH}"))
        .send()
        .map_err(io::Error::other)?;
    let text = res.bytes().map_err(io::Error::other)?;
    Ok(serde_json::from_slice(&text)?)
}
