//! The entry process: it assembles the layers and runs until it is told to stop.
//!
//! Connections live on a small runtime; whole requests and ended attempts come as events over
//! a channel to a pool of workers, which work on the shared tables and never block on a socket. A
//! request that waits for a slot is a row in its service's desk and holds no thread.

mod answers;
pub mod args;
mod desk;
mod feed;
mod observe;
mod operate;
mod route;
mod steer;

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

/// How often time passes for the policies.
const TICK: time::Duration = time::Duration::from_millis(5);

/// How often dated drains and the words of backend servers are looked at again.
const REFRESH: time::Duration = time::Duration::from_millis(250);

/// Threads that move bytes. They hand everything else to the workers.
const SOCKET_THREADS: usize = 4;

/// Builds and updates the policies of services.
pub trait MakePolicy: Send + Sync + 'static {
    /// What it builds.
    type Policy: Policy + 'static;

    /// The policy of a service.
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

/// Builds the decisions of this VM: inside its availability zone, and across.
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

/// What the request path reads and coordination feeds. Both parts are replaced whole.
#[derive(Debug, Default)]
pub struct Shared {
    settings: arc_swap::ArcSwap<settings::Settings>,
    regions: arc_swap::ArcSwap<lookup::Regions>,
    /// The platform's list of VMs.
    pub fleet: arc_swap::ArcSwap<fleet::Fleet>,
    /// How it goes with the platform and the peers, for operators.
    pub links: arc_swap::ArcSwap<Links>,
}

/// How an entry process stands with the platform and its peers.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// The version of each team's settings in force.
    pub versions: collections::BTreeMap<id::TeamId, u64>,
    /// Whether the last call to the platform's store was answered.
    pub store_up: bool,
    /// Entry VMs that this one hears from.
    pub peers: u64,
}

impl Shared {
    /// The settings in force.
    pub fn settings(&self) -> sync::Arc<settings::Settings> {
        self.settings.load_full()
    }

    /// Puts settings in force, and the table of callers' addresses that goes with them.
    ///
    /// # Errors
    ///
    /// The settings name more regions than the table can number. Those before stay in force.
    pub fn put_in_force(&self, settings: settings::Settings) -> Result<(), lookup::Error> {
        let regions = lookup::Regions::build(&settings)?;
        self.regions.store(sync::Arc::new(regions));
        self.settings.store(sync::Arc::new(settings));
        Ok(())
    }
}

/// What the workers take from their channel.
enum Event<P> {
    /// A whole request came in.
    Request(server::Request),
    /// The caller of a request went away.
    Gone(policy::RequestId),
    /// An attempt ended.
    Ended(sync::Arc<desk::Desk<P>>, desk::AttemptEnd),
    /// A probe ended.
    Probed(
        sync::Arc<desk::Desk<P>>,
        id::VmId,
        Result<server::Answer, client::Failure>,
    ),
    /// The home of a key answered, or did not.
    Home(route::Home, Result<server::Answer, client::Failure>),
}

type Desks<P> = collections::HashMap<id::ServiceId, sync::Arc<desk::Desk<P>>>;

/// The entry VMs that look-ups name, and what they were worked out from.
#[derive(Default)]
struct Named {
    settings: sync::Arc<settings::Settings>,
    fleet: sync::Arc<fleet::Fleet>,
    directory: directory::Directory,
}

/// Everything that the workers share.
struct Core<M: MakePolicy> {
    cfg: config::Config,
    make: M,
    log: slog::Logger,
    observer: observe::Observer,
    steer: steer::Steer,
    incarnation: id::Incarnation,
    started: time::Instant,
    shared: sync::Arc<Shared>,
    desks: arc_swap::ArcSwap<Desks<M::Policy>>,
    named: arc_swap::ArcSwap<Named>,
    keys: Mutex<keys::Keys<server::Reply>>,
    client: client::Client,
    events: channel::Sender<Event<M::Policy>>,
    stopping: atomic::AtomicBool,
}

impl<M: MakePolicy> Core<M> {
    fn now(&self) -> policy::Moment {
        self.started.elapsed()
    }

    /// The name of a request, unique in the fleet.
    fn request_id(&self, id: u64) -> Option<hyper::header::HeaderValue> {
        let name = format!("{}-{}-{id}", self.cfg.vm, self.incarnation);
        name.parse().ok()
    }

    fn handle(self: &sync::Arc<Self>, event: Event<M::Policy>) {
        match event {
            Event::Request(req) => route::request(self, req),
            Event::Gone(req) => desk::gone(self, req),
            Event::Ended(desk, end) => desk::ended(self, &desk, end),
            Event::Probed(desk, vm, result) => desk::probed(self, &desk, &vm, result),
            Event::Home(home, result) => route::home_answered(self, home, result),
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
        let _ = self.0.events.send(Event::Gone(policy::RequestId(id)));
    }

    fn fault(&self, id: u64, fault: server::Fault) -> server::Answer {
        let problem = answers::fault(fault);
        let core = &self.0;
        core.observer.turned_away(core.now(), id, "", &problem);
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
    /// Dropped last: every connection lives on it.
    _runtime: tokio::runtime::Runtime,
}

impl<M: MakePolicy> Entry<M> {
    /// Starts an entry process, which watches settings and VMs in `platform`.
    pub fn start<S: store::Store>(
        cfg: config::Config,
        make: M,
        platform: S,
        log: slog::Logger,
    ) -> Result<Self, error::Error> {
        let shared = sync::Arc::new(Shared::default());
        let mut entry = Self::start_with(cfg, make, shared, log)?;
        let platform = sync::Arc::new(platform);
        let driver = feed::start(&entry.core, platform.clone())?;
        let (links, inbox) = (driver.peers().cloned(), driver.inbox().clone());
        steer::start(&entry.core, links, inbox, platform);
        entry.driver = Some(driver);
        Ok(entry)
    }

    /// Starts an entry process that something else feeds.
    pub fn start_with(
        cfg: config::Config,
        make: M,
        shared: sync::Arc<Shared>,
        log: slog::Logger,
    ) -> Result<Self, error::Error> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(SOCKET_THREADS)
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
            steer: steer::Steer::new(&cfg.vm, &cfg.az, incarnation),
            cfg,
            make,
            observer: observe::Observer::new(&log),
            log,
            incarnation,
            started: time::Instant::now(),
            shared,
            desks: arc_swap::ArcSwap::default(),
            named: arc_swap::ArcSwap::default(),
            keys: Mutex::new(keys::Keys::new(key_limits)),
            client: client::Client::new(runtime.handle().clone(), client::Config::default()),
            events,
            stopping: atomic::AtomicBool::new(false),
        });
        // What is known already counts from the first request on.
        desk::refresh(&core);
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
            thread::spawn(move || work(&core, &rx));
        }
        let source = operate::Source(sync::Arc::downgrade(&core));
        let operators = operators::serve(core.cfg.operators_listen, source)?;
        let ticking = sync::Arc::downgrade(&core);
        thread::spawn(move || tick(&ticking));
        Ok(Self {
            core,
            server,
            driver: None,
            operators,
            _runtime: runtime,
        })
    }

    /// Where callers connect.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Where other entry VMs connect; `None` where there are no links to them.
    pub fn peers_addr(&self) -> Option<net::SocketAddr> {
        let links = self.driver.as_ref()?.peers()?;
        Some(links.addr())
    }

    /// Answers a look-up as a caller at that address gets it. `None`: no such service.
    pub fn look_up(&self, caller: net::IpAddr, service: &str) -> Option<protocol::lookup::Lookup> {
        route::find(&self.core, caller, service)
    }

    /// Where operators connect.
    pub fn operators_addr(&self) -> net::SocketAddr {
        self.operators.addr()
    }

    /// Stops as planned: look-ups stop naming this VM and new requests are told where to go, while
    /// what is in flight ends and kept answers stay within reach until the last ticket expired.
    pub fn stop(self) {
        self.core.stopping.store(true, atomic::Ordering::SeqCst);
        self.server.close_after_answers();
        if let Some(driver) = &self.driver {
            driver.announce_stop();
        }
        let ttl = self.core.cfg.lookup_ttl_ms.max(self.core.cfg.ticket_ttl_ms);
        let until = time::Instant::now() + time::Duration::from_millis(ttl);
        while time::Instant::now() < until || desk::in_hand(&self.core) > 0 {
            thread::sleep(TICK);
        }
        self.server.stop();
        while self.server.open_connections() > 0 && time::Instant::now() < until + LAST_BYTES {
            thread::sleep(TICK);
        }
    }
}

/// How long the last answers may take to leave after everything else has ended.
const LAST_BYTES: time::Duration = time::Duration::from_secs(10);

fn work<M: MakePolicy>(core: &sync::Weak<Core<M>>, rx: &channel::Receiver<Event<M::Policy>>) {
    while let Ok(event) = rx.recv() {
        let Some(core) = core.upgrade() else {
            return;
        };
        survive(&core.log, || core.handle(event));
    }
}

/// Goes on after a panic. A fault in the handling of one request would otherwise end a worker for
/// good, and a request that is sent again would end them all; one would notice an entry process
/// that takes connections and answers nothing. The request at fault ends as unknown, since its
/// reply is dropped.
fn survive(log: &slog::Logger, work: impl FnOnce()) {
    if panic::catch_unwind(panic::AssertUnwindSafe(work)).is_err() {
        slog::crit!(
            log,
            "the handling of an event failed; please report the message before this"
        );
    }
}

fn tick<M: MakePolicy>(core: &sync::Weak<Core<M>>) {
    let mut refreshed = None;
    while let Some(core) = core.upgrade() {
        if refreshed.is_none_or(|at: time::Instant| at.elapsed() >= REFRESH) {
            survive(&core.log, || {
                desk::refresh(&core);
                desk::end_overdue(&core);
                desk::observe(&core);
                metrics::exporter().upkeep();
            });
            refreshed = Some(time::Instant::now());
        }
        for desk in core.desks.load().values() {
            survive(&core.log, || desk::tick(&core, desk));
        }
        for req in core.steer.release() {
            let _ = core.events.send(Event::Request(req));
        }
        drop(core);
        thread::sleep(TICK);
    }
}

/// A restart gets a larger number as long as the wall clock does not go back; the random part
/// keeps two starts apart even then.
fn new_incarnation() -> id::Incarnation {
    let ms = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let ms = u64::try_from(ms).unwrap_or(0);
    id::Incarnation((ms << 16) | u64::from(rand::rng().random::<u16>()))
}

/// Runs an entry process until it is told to stop by SIGTERM or SIGINT. Prints one line with the
/// address for callers once it listens.
pub fn run(cfg: config::Config, log: slog::Logger) -> Result<(), error::Error> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .map_err(|err| error::Error::Config(format!("cannot wait for signals: {err}")))?;
    let platform = store_http::Client::new(cfg.store);
    let entry = Entry::start(cfg, MakeDispatch, platform, log)?;
    println!("listening {}", entry.addr());
    println!("operators {}", entry.operators_addr());
    let _ = std::io::stdout().flush();
    slog::info!(entry.core.log, "listening"; "addr" => entry.addr().to_string());
    signals.forever().next();
    slog::info!(entry.core.log, "stopping; look-ups no longer name this VM");
    entry.stop();
    Ok(())
}
