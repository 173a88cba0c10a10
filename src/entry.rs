//! The entry process: assembles the layers and runs until SIGTERM or SIGINT.
//!
//! Connections run on a small Tokio runtime. Complete requests and ended attempts are events on a
//! channel to a pool of workers, which use the shared tables and never block on a socket. A request
//! that waits for a slot is an entry in its service's executor and occupies no thread.

mod answers;
pub mod args;
mod executor;
mod feed;
mod observe;
mod operator_source;
mod route;
mod steering;

use std::collections;
use std::io::Write;
use std::net;
use std::panic;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crossbeam::channel;
use parking_lot::Mutex;
use rand::RngExt;

use crate::coordination::{driver, store, store_http};
use crate::decisions::{cross_az, dispatch, naive, policy};
use crate::state::{directory, fleet, keys, lookup};
use crate::transport::{client, operators, pool, server};
use crate::{config, error, id, metrics, protocol, settings};
use policy::Policy;

/// Interval at which policies receive a tick.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Interval at which scheduled drains and leave reports of backend servers are re-evaluated.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Threads for socket input and output. All other work runs on the workers.
const SOCKET_THREAD_COUNT: usize = 4;

/// Builds the policy of each service.
pub trait MakePolicy: Send + Sync + 'static {
    /// The policy type.
    type Policy: Policy + 'static;

    /// Builds the policy of a service.
    fn make(
        &self,
        cfg: &config::Config,
        settings: &settings::Settings,
        service: &settings::Service,
    ) -> Self::Policy;
}

/// Builds the naive policy.
#[derive(Clone, Copy, Debug, Default)]
pub struct MakeNaive;

impl MakePolicy for MakeNaive {
    type Policy = naive::Naive;

    fn make(
        &self,
        _cfg: &config::Config,
        _settings: &settings::Settings,
        _service: &settings::Service,
    ) -> Self::Policy {
        naive::Naive::new(naive::Config::default())
    }
}

/// Builds the production policy, which decides within and across availability zones.
#[derive(Clone, Copy, Debug, Default)]
pub struct MakeDispatch;

impl MakePolicy for MakeDispatch {
    type Policy = dispatch::Dispatch;

    fn make(
        &self,
        cfg: &config::Config,
        _settings: &settings::Settings,
        _service: &settings::Service,
    ) -> Self::Policy {
        let decisions = dispatch::Config {
            seed: rand::rng().random(),
            ..dispatch::Config::default()
        };
        let cross_az = cross_az::CrossAzRouter::new(cross_az::Config::default(), cfg.az.clone());
        dispatch::Dispatch::new(decisions, cross_az)
    }
}

/// Tables that coordination updates and the request path reads. Each is replaced atomically.
#[derive(Debug, Default)]
pub struct SharedTables {
    settings: arc_swap::ArcSwap<settings::Settings>,
    regions: arc_swap::ArcSwap<lookup::Regions>,
    /// The platform's list of VMs.
    pub fleet: arc_swap::ArcSwap<fleet::Fleet>,
    /// State of the connections to the platform's store and the peers, for operators.
    pub coordination_status: arc_swap::ArcSwap<CoordinationStatus>,
}

/// State of an entry process's connections to the platform's store and its peers.
#[derive(Clone, Debug, Default)]
pub struct CoordinationStatus {
    /// The version of each team's settings in force.
    pub versions: collections::BTreeMap<id::TeamId, u64>,
    /// Whether the last call to the platform's store was answered.
    pub store_up: bool,
    /// Live peer entry VMs.
    pub peers: u64,
}

impl SharedTables {
    /// The settings in force.
    pub fn settings(&self) -> sync::Arc<settings::Settings> {
        self.settings.load_full()
    }

    /// Applies new settings and rebuilds the table from caller addresses to regions.
    ///
    /// # Errors
    ///
    /// The settings name more regions than the table can number. The previous settings stay.
    pub fn apply_settings(&self, settings: settings::Settings) -> Result<(), lookup::Error> {
        let regions = lookup::Regions::build(&settings)?;
        self.regions.store(sync::Arc::new(regions));
        self.settings.store(sync::Arc::new(settings));
        Ok(())
    }
}

/// An event on the workers' channel.
enum Event<P> {
    /// A complete request arrived.
    Request(server::Request),
    /// The caller of a request disconnected.
    CallerDisconnected(policy::RequestId),
    /// An attempt ended.
    AttemptEnded(sync::Arc<executor::Executor<P>>, executor::AttemptEnd),
    /// A probe ended.
    ProbeEnded(
        sync::Arc<executor::Executor<P>>,
        id::VmId,
        Result<server::Answer, client::Failure>,
    ),
    /// The home VM of a key answered or failed to answer.
    HomeAnswered(
        route::ForwardedRequest,
        Result<server::Answer, client::Failure>,
    ),
}

type Executors<P> = collections::HashMap<id::ServiceId, sync::Arc<executor::Executor<P>>>;

/// The entry VMs that look-ups return, with the settings and VM list used to compute them.
#[derive(Default)]
struct CachedDirectory {
    settings: sync::Arc<settings::Settings>,
    fleet: sync::Arc<fleet::Fleet>,
    directory: directory::Directory,
}

/// State shared by the workers and the listeners.
struct Core<M: MakePolicy> {
    cfg: config::Config,
    make: M,
    log: slog::Logger,
    observer: observe::Observer,
    steering: steering::Steering,
    incarnation: id::Incarnation,
    started: time::Instant,
    shared: sync::Arc<SharedTables>,
    executors: arc_swap::ArcSwap<Executors<M::Policy>>,
    cached_directory: arc_swap::ArcSwap<CachedDirectory>,
    keys: Mutex<keys::Keys<server::Reply>>,
    client: client::Client,
    events: channel::Sender<Event<M::Policy>>,
    stopping: atomic::AtomicBool,
}

impl<M: MakePolicy> Core<M> {
    fn now(&self) -> policy::Moment {
        self.started.elapsed()
    }

    /// The request's fleet-wide unique id.
    fn request_id(&self, id: u64) -> Option<hyper::header::HeaderValue> {
        let name = format!("{}-{}-{id}", self.cfg.vm, self.incarnation);
        name.parse().ok()
    }

    fn handle(self: &sync::Arc<Self>, event: Event<M::Policy>) {
        match event {
            Event::Request(req) => route::request(self, req),
            Event::CallerDisconnected(req) => executor::handle_caller_disconnected(self, req),
            Event::AttemptEnded(executor, end) => executor::attempt_ended(self, &executor, end),
            Event::ProbeEnded(executor, vm, result) => {
                executor::probe_ended(self, &executor, &vm, result)
            }
            Event::HomeAnswered(forwarded, result) => route::home_answered(self, forwarded, result),
        }
    }
}

struct Sink<M: MakePolicy>(sync::Arc<Core<M>>);

impl<M: MakePolicy> Clone for Sink<M> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<M: MakePolicy> server::Sink for Sink<M> {
    fn request(&self, req: server::Request) {
        let _ = self.0.events.send(Event::Request(req));
    }

    fn caller_disconnected(&self, id: u64) {
        let _ = self
            .0
            .events
            .send(Event::CallerDisconnected(policy::RequestId(id)));
    }

    fn fault(&self, id: u64, fault: server::Fault) -> server::Answer {
        let problem = answers::fault(fault);
        let core = &self.0;
        core.observer.record_refusal(core.now(), id, "", &problem);
        answers::problem(&problem)
    }

    fn request_id(&self, id: u64) -> Option<hyper::header::HeaderValue> {
        self.0.request_id(id)
    }
}

/// A running entry process.
pub struct Entry<M: MakePolicy> {
    core: sync::Arc<Core<M>>,
    server: server::Server,
    driver: Option<driver::Driver>,
    operators: pool::Pool,
    /// Declared last so that it is dropped last: every connection runs on it.
    _runtime: tokio::runtime::Runtime,
}

impl<M: MakePolicy> Entry<M> {
    /// Starts an entry process that reads settings and VMs from `platform`.
    pub fn start<S: store::Store>(
        cfg: config::Config,
        make: M,
        platform: S,
        log: slog::Logger,
    ) -> Result<Self, error::Error> {
        let shared = sync::Arc::new(SharedTables::default());
        let mut entry = Self::start_without_coordination(cfg, make, shared, log)?;
        let platform = sync::Arc::new(platform);
        let driver = feed::start(&entry.core, platform.clone())?;
        let (links, inbox) = (driver.peers().cloned(), driver.inbox().clone());
        steering::start(&entry.core, links, inbox, platform);
        entry.driver = Some(driver);
        Ok(entry)
    }

    /// Starts an entry process without coordination; the caller updates `shared`.
    pub fn start_without_coordination(
        cfg: config::Config,
        make: M,
        shared: sync::Arc<SharedTables>,
        log: slog::Logger,
    ) -> Result<Self, error::Error> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(SOCKET_THREAD_COUNT)
            .thread_name("sockets")
            .enable_all()
            .build()
            .map_err(|err| error::Error::Config(format!("cannot start threads: {err}")))?;
        let (events, rx) = channel::unbounded();
        let (workers, listen) = (cfg.workers, cfg.listen);
        let key_limits = keys::Limits {
            ttl: time::Duration::from_millis(cfg.ticket_ttl_ms),
            ..keys::Limits::default()
        };
        let incarnation = new_incarnation();
        let core = sync::Arc::new(Core {
            steering: steering::Steering::new(&cfg.vm, &cfg.az, incarnation),
            cfg,
            make,
            observer: observe::Observer::new(&log),
            log,
            incarnation,
            started: time::Instant::now(),
            shared,
            executors: arc_swap::ArcSwap::default(),
            cached_directory: arc_swap::ArcSwap::default(),
            keys: Mutex::new(keys::Keys::new(key_limits)),
            client: client::Client::new(runtime.handle().clone(), client::Config::default()),
            events,
            stopping: atomic::AtomicBool::new(false),
        });
        // Settings that `shared` already holds apply from the first request.
        executor::refresh(&core);
        let server = server::start(
            runtime.handle(),
            listen,
            server::Limits::default(),
            Sink(core.clone()),
        )
        .map_err(|err| error::Error::Bind {
            addr: listen.to_string(),
            setting: "listen",
            reason: err.to_string(),
        })?;
        for _ in 0..workers {
            let (core, rx) = (sync::Arc::downgrade(&core), rx.clone());
            thread::spawn(move || run_worker(&core, &rx));
        }
        let source = operator_source::Source(sync::Arc::downgrade(&core));
        let operators = operators::serve(core.cfg.operators_listen, source)?;
        let weak = sync::Arc::downgrade(&core);
        thread::spawn(move || run_ticker(&weak));
        Ok(Self {
            core,
            server,
            driver: None,
            operators,
            _runtime: runtime,
        })
    }

    /// Address of the listener for callers.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Address of the listener for other entry VMs; `None` without peer links.
    pub fn peers_addr(&self) -> Option<net::SocketAddr> {
        let links = self.driver.as_ref()?.peers()?;
        Some(links.addr())
    }

    /// Answers a look-up for a caller at the given address. `None`: unknown service.
    pub fn look_up(&self, caller: net::IpAddr, service: &str) -> Option<protocol::lookup::Lookup> {
        route::build_lookup(&self.core, caller, service)
    }

    /// Address of the listener for operators.
    pub fn operators_addr(&self) -> net::SocketAddr {
        self.operators.addr()
    }

    /// Shuts down gracefully: look-ups no longer return this VM and new requests are refused as
    /// `stopping`. Waits for in-flight requests, and serves stored answers until the last ticket
    /// has expired.
    pub fn stop(self) {
        self.core.stopping.store(true, atomic::Ordering::SeqCst);
        self.server.close_after_answers();
        if let Some(driver) = &self.driver {
            driver.announce_stop();
        }
        let ttl = self.core.cfg.lookup_ttl_ms.max(self.core.cfg.ticket_ttl_ms);
        let deadline = time::Instant::now() + time::Duration::from_millis(ttl);
        while time::Instant::now() < deadline || executor::pending_count(&self.core) > 0 {
            thread::sleep(TICK_INTERVAL);
        }
        self.server.stop();
        while self.server.open_connections() > 0 && time::Instant::now() < deadline + FLUSH_TIMEOUT
        {
            thread::sleep(TICK_INTERVAL);
        }
    }
}

/// Maximum time for sending the last answers after all requests have ended.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_secs(10);

fn run_worker<M: MakePolicy>(core: &sync::Weak<Core<M>>, rx: &channel::Receiver<Event<M::Policy>>) {
    while let Ok(event) = rx.recv() {
        let Some(core) = core.upgrade() else {
            return;
        };
        catch_panics(&core.log, || core.handle(event));
    }
}

/// Catches a panic of `handler`, so that the thread goes on. Without this, each panic would end one
/// worker, and a retried request could end them all: the process would accept connections and
/// answer nothing. The request that panicked ends as unknown because its reply is dropped.
fn catch_panics(log: &slog::Logger, handler: impl FnOnce()) {
    if panic::catch_unwind(panic::AssertUnwindSafe(handler)).is_err() {
        slog::crit!(
            log,
            "handling an event panicked; its request ends as unknown and the process goes on; please report the panic message above"
        );
    }
}

fn run_ticker<M: MakePolicy>(core: &sync::Weak<Core<M>>) {
    let mut refreshed_at = None;
    while let Some(core) = core.upgrade() {
        if refreshed_at.is_none_or(|at: time::Instant| at.elapsed() >= REFRESH_INTERVAL) {
            catch_panics(&core.log, || {
                executor::refresh(&core);
                executor::end_overdue(&core);
                executor::observe(&core);
                metrics::exporter().upkeep();
            });
            refreshed_at = Some(time::Instant::now());
        }
        for executor in core.executors.load().values() {
            catch_panics(&core.log, || executor::tick(&core, executor));
        }
        for req in core.steering.take_waiting() {
            let _ = core.events.send(Event::Request(req));
        }
        drop(core);
        thread::sleep(TICK_INTERVAL);
    }
}

/// Returns an incarnation that grows with each restart as long as the wall clock does not go back.
/// Its random part distinguishes two starts even if the clock does.
fn new_incarnation() -> id::Incarnation {
    let ms = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let ms = u64::try_from(ms).unwrap_or(0);
    id::Incarnation((ms << 16) | u64::from(rand::rng().random::<u16>()))
}

/// Runs an entry process until SIGTERM or SIGINT. Once it listens, prints the addresses for callers
/// and for operators, one line each.
pub fn run(cfg: config::Config, log: slog::Logger) -> Result<(), error::Error> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .map_err(|err| error::Error::Config(format!("cannot install signal handlers: {err}")))?;
    let platform = store_http::Client::new(cfg.store);
    let entry = Entry::start(cfg, MakeDispatch, platform, log)?;
    println!("listening {}", entry.addr());
    println!("operators {}", entry.operators_addr());
    let _ = std::io::stdout().flush();
    slog::info!(entry.core.log, "listening"; "addr" => entry.addr().to_string());
    signals.forever().next();
    slog::info!(
        entry.core.log,
        "shutting down; look-ups no longer return this VM"
    );
    entry.stop();
    Ok(())
}
