//! The gateway process on an entry VM: accepts callers' requests and forwards each to a backend
//! server according to the routes.
//!
//! All work runs on one thread: with a fraction of a core, a hand-over between threads costs more
//! than the work itself. The reader of the store reports routes, backend servers and entry VMs to
//! [`Gateway`]; requests arrive through [`front`]; [`crate::decisions`] holds the decision logic.

mod advertising;
pub mod attempt;
mod carriers;
pub mod cluster_state;
pub mod connecting;
mod crash_detection;
mod facts;
mod fanout;
pub mod front;
mod liveness;
mod long_answers;
mod merge;
pub mod mirror;
pub mod pace;
pub mod placement;
pub mod pool;
mod quotas;
mod reading;
mod record;
pub mod registering;
mod relaying;
pub mod request;
mod resending;
mod returns;
mod shares;
mod shedding;
mod split_routes;
mod stated;
mod stopping;
pub mod thresholds;
mod tunnels;
mod waiting;

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use rand::RngExt;
use tokio::sync::{self, watch};

use crate::coordination::removal_guard;
use crate::decisions::{
    affinity, crashes, declines, departures, ejection, entry_selection, pace as work_pace,
    planned_stop, policy, precedence, quota, reachability, regions, resend,
    returns as return_schedule, split, usual_time, waiting as queueing, warming,
};
use crate::protocol::{names, routes};
use crate::state::{backends, entries};
use crate::transport::memory;
use crate::{id, logging, metrics};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this VM.
    pub vm: id::VmId,
    /// Its availability zone.
    pub az: id::AzId,
    /// The region of each availability zone.
    pub regions: collections::BTreeMap<id::AzId, id::RegionId>,
    /// The address that callers connect to.
    pub front: net::SocketAddr,
    /// Source address of connections to backend servers; `None`: the system chooses.
    pub backend_source: Option<net::IpAddr>,
    /// Capacity of this VM's processor and link.
    pub capacity: entry_selection::Capacity,
    /// The limit of file descriptors that the settings name; that of the process holds too.
    pub max_descriptors: Option<u64>,
    /// The limit of memory that the settings name, in bytes.
    pub max_memory: Option<usize>,
    /// Names of the header fields of requests and answers.
    pub names: names::Names,
    /// Bound on resends, summed over all entry VMs.
    pub resend: resend::Bound,
    /// Largest share of a region's requests that may run in a different region than 2 s earlier.
    pub max_region_shift_share: f64,
    /// Bound on a customer's requests, summed over all entry VMs.
    pub quota: quota::Bound,
    /// Address for usage reports between entry VMs; `None` disables them. The port is the same on
    /// all VMs.
    pub usage_addr: Option<net::SocketAddr>,
    /// Thresholds of request decisions.
    pub thresholds: thresholds::Thresholds,
    /// Maximum duration of a planned stop.
    pub grace: time::Duration,
    /// Whether all VMs start for the first time, so that none is registered yet.
    pub first_start: bool,
    /// Whether callers are expected to ask for more than the backend servers have room for. Parts
    /// whose mode is [`crate::decisions::mode::Mode::Auto`] are in use only then.
    pub contended: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            vm: "vm".into(),
            az: "az".into(),
            regions: collections::BTreeMap::new(),
            front: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            backend_source: None,
            capacity: entry_selection::Capacity::default(),
            max_descriptors: None,
            max_memory: None,
            names: names::Names::default(),
            resend: resend::Bound::default(),
            max_region_shift_share: 0.15,
            quota: quota::Bound::default(),
            usage_addr: None,
            thresholds: thresholds::Thresholds::default(),
            grace: time::Duration::from_secs(6),
            first_start: false,
            contended: false,
        }
    }
}

/// Per-service state.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Counts of requests and resends.
    pub resends: resend::ResendBudget,
    /// The share of requests that other regions serve.
    pub remote_share: regions::Share,
    /// Decides when less urgent requests yield to more urgent ones.
    pub precedence: precedence::Precedence,
    /// The retries of refused requests that this VM promised.
    pub returns: return_schedule::Schedule,
    /// Decides which requests try ejected backend servers.
    pub trials: ejection::Trials,
    /// How often backend servers decline requests although they have free slots.
    pub declines: declines::Declines,
    /// How often answers for objects that are new to the chosen backend server are late.
    pub cold_lateness: warming::LateRatio,
    /// Whether answers state a pace.
    pub pace_stated: work_pace::Stating,
    /// Decaying count of requests, for updates of the remote share.
    pub traffic: f64,
    /// Mean time from send to answer, in seconds.
    pub mean_latency_s: f64,
    /// The rate at which requests are served, if they may wait here.
    pub throughput: queueing::Throughput,
}

impl ServiceState {
    /// How long a refused caller should wait: running requests must end first, unless the backend
    /// servers decline although they have free slots.
    pub fn expected_wait(&self) -> time::Duration {
        match self.declines.is_service_wide() {
            true => time::Duration::ZERO,
            false => time::Duration::from_secs_f64(self.mean_latency_s),
        }
    }

    /// Updates the mean latency with that of one answer.
    pub fn record_latency(&mut self, elapsed: time::Duration) {
        /// Weight of one answer: the mean covers about the last 20.
        const SAMPLE_WEIGHT: f64 = 0.05;
        let elapsed = elapsed.as_secs_f64();
        self.mean_latency_s = match self.mean_latency_s {
            0.0 => elapsed,
            old => old + (elapsed - old) * SAMPLE_WEIGHT,
        };
    }
}

/// The state shared by all tasks of the process.
#[derive(Debug)]
pub struct Cx {
    /// Settings of the process.
    pub cfg: Config,
    /// The region of this VM.
    pub region: Option<id::RegionId>,
    /// Logger of the process.
    pub log: slog::Logger,
    start: time::Instant,
    own_hash: u64,
    table: cell::RefCell<Option<rc::Rc<routes::Table>>>,
    backends: cell::RefCell<backends::Backends>,
    evacuated: cell::RefCell<collections::BTreeSet<id::AzId>>,
    entries: cell::RefCell<entries::Entries>,
    traffic_counts: cell::Cell<advertising::TrafficCounts>,
    advertised: cell::RefCell<advertising::AdvertisedCache>,
    /// What the bound on second sends needs to know of the advertised VMs.
    fleet_view: cell::Cell<resend::FleetView>,
    busy: cell::Cell<entry_selection::Busy>,
    /// Whether this is the only entry VM advertised to the callers of its region.
    is_sole_entry: cell::Cell<bool>,
    removal_guard: cell::RefCell<removal_guard::RemovalGuard>,
    services: cell::RefCell<collections::HashMap<id::ServiceId, ServiceState>>,
    /// The times that first attempts state, by the hash of the route's name.
    usual_times: cell::RefCell<collections::HashMap<u64, usual_time::UsualTimes>>,
    splits: cell::RefCell<collections::HashMap<split_routes::RequestGroup, split::Split>>,
    pool: cell::RefCell<pool::Pool>,
    reachability: cell::RefCell<reachability::Reachability>,
    /// Whether a check of the links to backend servers is running.
    checking_links: cell::Cell<bool>,
    /// Notified when connections to all backend servers hang.
    links_hang: sync::Notify,
    /// VMs that carry requests of this one.
    carriers: cell::RefCell<carriers::Carriers>,
    /// Other VMs that are not asked for connections to backend servers at the moment.
    skipped_peers: cell::RefCell<tunnels::SkippedPeers>,
    /// Number of tunnels that this VM carries for others.
    tunnels: cell::Cell<usize>,
    /// Requests admitted here for each customer, and the usage that other VMs reported.
    quotas: cell::RefCell<quota::Ledger<quota::ByDemand>>,
    /// The version of the entry VM list from which the ledger's expected VMs were last set.
    expected_version: cell::Cell<Option<u64>>,
    /// The division of capacity among customers.
    fair_shares: shares::State,
    /// Sequence number of the latest datagram from each other VM, and the count of those sent.
    peer_usage: cell::RefCell<collections::HashMap<quota::NameHash, quotas::SequenceNumber>>,
    /// VMs in a planned stop, their addresses, and until when their reports are accepted.
    ending_vms: cell::RefCell<collections::HashMap<quota::NameHash, (net::IpAddr, policy::Moment)>>,
    usage_sent: cell::Cell<u64>,
    /// When the process started, in milliseconds since the Unix epoch. It orders this process's
    /// reports after those of its predecessor.
    started_ms: u64,
    /// When this VM last learnt that the store had returned from an older copy.
    store_restored_at: cell::Cell<Option<policy::Moment>>,
    departures: cell::RefCell<departures::Departures>,
    crashes: cell::RefCell<crashes::Crashes>,
    /// Crashes seen here and not yet reported to other entry VMs.
    pending_crashes: cell::RefCell<Vec<cluster_state::Crash>>,
    /// Hashes of the store's keys whose records were rejected and logged.
    rejected_keys: cell::RefCell<collections::HashSet<u64>>,
    pub(crate) log_limiter: logging::Limiter,
    labels: metrics::BoundedLabel,
    stop: watch::Sender<planned_stop::Phase>,
    /// Notified when the first routes or backend servers are known.
    data_arrived: sync::Notify,
    /// Notified when a customer sends a request after an idle period.
    customer_active: sync::Notify,
    /// When a planned stop stops accepting requests.
    closes_at: cell::Cell<Option<policy::Moment>>,
    in_progress: cell::Cell<usize>,
    /// The account of the memory that callers make this process hold.
    pub(crate) memory: memory::Account,
    /// Memory for long answers.
    long_answers: long_answers::Budget,
    /// Requests whose bodies are streamed, by service.
    uploads: cell::RefCell<Vec<shedding::Upload>>,
    reading: reading::Reading,
    /// Requests that wait for room at backend servers.
    waiting: waiting::Waiting,
}

/// A reference-counted handle to the process's state.
#[derive(Clone, Debug)]
pub struct Gateway(rc::Rc<Cx>);

impl std::ops::Deref for Gateway {
    type Target = Cx;

    fn deref(&self) -> &Cx {
        &self.0
    }
}

fn started_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    // With a clock before 1970 other VMs cannot order the reports and ignore them as old.
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Gateway {
    /// A gateway without routes, backend servers or entry VMs.
    pub fn new(cfg: Config, log: slog::Logger) -> Self {
        let region = cfg.regions.get(&cfg.az).cloned();
        let known = backends::Backends::new(region.clone());
        let own_hash = affinity::hash(cfg.vm.as_str().as_bytes());
        let quota = cfg.quota;
        let started_ms = started_ms();
        let may_wait = cfg.thresholds.queue.mode.is_on(cfg.contended);
        let fair_shares = shares::State::new(cfg.thresholds.shares, &cfg.vm);
        let reading = reading::Reading::new(&cfg);
        let memory = memory::Account::new(cfg.thresholds.memory.limits(cfg.max_memory));
        Self(rc::Rc::new(Cx {
            cfg,
            region,
            log,
            start: time::Instant::now(),
            own_hash,
            table: cell::RefCell::default(),
            backends: cell::RefCell::new(known),
            evacuated: cell::RefCell::default(),
            entries: cell::RefCell::default(),
            traffic_counts: cell::Cell::default(),
            advertised: cell::RefCell::default(),
            fleet_view: cell::Cell::default(),
            busy: cell::Cell::default(),
            is_sole_entry: cell::Cell::default(),
            removal_guard: cell::RefCell::default(),
            services: cell::RefCell::default(),
            usual_times: cell::RefCell::default(),
            splits: cell::RefCell::default(),
            pool: cell::RefCell::default(),
            reachability: cell::RefCell::default(),
            checking_links: cell::Cell::default(),
            links_hang: sync::Notify::new(),
            carriers: cell::RefCell::default(),
            skipped_peers: cell::RefCell::default(),
            tunnels: cell::Cell::default(),
            quotas: cell::RefCell::new(quota::Ledger::new(quota, policy::Moment::ZERO, started_ms)),
            expected_version: cell::Cell::default(),
            fair_shares,
            peer_usage: cell::RefCell::default(),
            ending_vms: cell::RefCell::default(),
            usage_sent: cell::Cell::default(),
            started_ms,
            store_restored_at: cell::Cell::default(),
            departures: cell::RefCell::default(),
            crashes: cell::RefCell::default(),
            pending_crashes: cell::RefCell::default(),
            rejected_keys: cell::RefCell::default(),
            log_limiter: logging::Limiter::new(record::LOG_RATE),
            labels: metrics::BoundedLabel::default(),
            stop: watch::channel(planned_stop::Phase::Serving).0,
            data_arrived: sync::Notify::new(),
            customer_active: sync::Notify::new(),
            closes_at: cell::Cell::new(None),
            in_progress: cell::Cell::new(0),
            memory,
            long_answers: long_answers::Budget::default(),
            uploads: cell::RefCell::default(),
            reading,
            waiting: waiting::Waiting::new(may_wait),
        }))
    }
}

impl Cx {
    /// The time since the process started.
    pub fn now(&self) -> policy::Moment {
        self.start.elapsed()
    }

    /// Converts an instant to the process's clock.
    pub fn moment(&self, at: time::Instant) -> policy::Moment {
        at.saturating_duration_since(self.start)
    }

    /// Converts a moment to an instant to sleep until.
    fn instant(&self, at: policy::Moment) -> tokio::time::Instant {
        (self.start + at).into()
    }

    /// The routes in force.
    pub fn table(&self) -> Option<rc::Rc<routes::Table>> {
        self.table.borrow().clone()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.borrow().is_stopping()
    }

    /// Whether callers can be served: routes and backend servers are known, and no stop has begun.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.borrow().is_some() && !self.backends.borrow().is_empty()
    }

    /// Waits until the first routes or the first backend server are known.
    pub async fn wait_for_data(&self) {
        self.data_arrived.notified().await;
    }

    /// Number of tunnels that this VM carries for others.
    pub fn carried_tunnels(&self) -> usize {
        self.tunnels.get()
    }

    /// Subscribes to the course of a planned stop.
    pub fn subscribe_stop(&self) -> watch::Receiver<planned_stop::Phase> {
        self.stop.subscribe()
    }

    /// Number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// A random number in `0.0..1.0` that spreads simultaneous events.
    fn jitter(&self) -> f64 {
        rand::rng().random()
    }

    /// Calls a function on a service's state, which is created on first use.
    fn with_service<T>(
        &self,
        service: &id::ServiceId,
        f: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        if let Some(state) = services.get_mut(service) {
            return f(state);
        }
        f(services.entry(service.clone()).or_default())
    }
}
