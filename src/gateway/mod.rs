//! The process on an entry VM that brings requests to backend servers by routes.
//!
//! One thread does everything: on a VM with a part of a core, a hand-over between threads costs
//! more than the work handed over. What is believed (routes, backend servers, entry VMs) is told
//! to [`Gateway`] by whoever reads the platform; requests come in through [`front`]; decisions are
//! made in [`crate::decisions`].

pub mod attempt;
pub mod beliefs;
mod carried;
mod facts;
mod fanout;
pub mod front;
pub mod mirror;
pub mod place;
pub mod pool;
mod quotas;
mod record;
pub mod request;
pub mod thresholds;

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use rand::RngExt;
use tokio::sync::{self, watch};

use crate::coordination::removal_guard;
use crate::decisions::{
    affinity, crashes, declines, departures, entry_selection, policy, precedence, quota, regions,
    resend, split, warming,
};
use crate::protocol::{names, routes};
use crate::state::{backends, entries};
use crate::{id, logging, metrics};

/// How long a planned stop goes on taking requests: callers learn within the time that an answer
/// about where to connect is kept, and until then some still come here.
const LEAVING: time::Duration = time::Duration::from_millis(2500);

/// What a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this VM.
    pub vm: id::VmId,
    /// Its availability zone.
    pub az: id::AzId,
    /// The region of each availability zone.
    pub regions: collections::BTreeMap<id::AzId, id::RegionId>,
    /// Where callers connect.
    pub front: net::SocketAddr,
    /// What it can carry.
    pub capacity: entry_selection::Capacity,
    /// The names of the fields of requests and answers.
    pub names: names::Names,
    /// The bound on second sends over all entry VMs.
    pub resend: resend::Bound,
    /// The largest part of a region's requests that may run in another region than two seconds before.
    pub shift_most: f64,
    /// The bound on a customer's requests over all entry VMs.
    pub quota: quota::Bound,
    /// Where entry VMs tell one another what they let in; `None`: they do not. The port is the same on
    /// all.
    pub usage: Option<net::SocketAddr>,
    /// Thresholds of decisions about requests.
    pub thresholds: thresholds::Thresholds,
    /// How long a planned stop may take.
    pub grace: time::Duration,
    /// Whether all VMs start for the first time, so that none is registered yet.
    pub first_start: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            vm: "vm".into(),
            az: "az".into(),
            regions: collections::BTreeMap::new(),
            front: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            capacity: entry_selection::Capacity::default(),
            names: names::Names::default(),
            resend: resend::Bound::default(),
            shift_most: 0.15,
            quota: quota::Bound::default(),
            usage: None,
            thresholds: thresholds::Thresholds::default(),
            grace: time::Duration::from_secs(6),
            first_start: false,
        }
    }
}

/// What is kept for one service.
#[derive(Debug, Default)]
pub struct Desk {
    /// Its requests and second sends.
    pub resends: resend::ResendBudget,
    /// The share that other regions serve.
    pub share: regions::Share,
    /// What its less urgent requests leave to the more urgent.
    pub precedence: precedence::Precedence,
    /// How often its backend servers refuse though they have room.
    pub declines: declines::Declines,
    /// How often answers for objects that are new to this VM are late.
    pub late: warming::LateRatio,
    /// Requests since the last step of that share, decaying.
    pub traffic: f64,
    /// How long answers take, in seconds.
    pub work: f64,
}

impl Desk {
    /// How long until there is room for those that are refused now: what is worked on must end first,
    /// unless there is room already.
    pub fn backlog(&self) -> time::Duration {
        match self.declines.is_service_wide() {
            true => time::Duration::ZERO,
            false => time::Duration::from_secs_f64(self.work),
        }
    }

    /// An answer took so long.
    pub fn took(&mut self, took: time::Duration) {
        /// What one answer counts: the mean is over about the last 20.
        const NEW: f64 = 0.05;
        let took = took.as_secs_f64();
        self.work = match self.work {
            0.0 => took,
            old => old + (took - old) * NEW,
        };
    }
}

/// What the process shares.
#[derive(Debug)]
pub struct Cx {
    /// What it was told at its start.
    pub cfg: Config,
    /// Its own region.
    pub region: Option<id::RegionId>,
    /// Where its lines go.
    pub log: slog::Logger,
    start: time::Instant,
    own_hash: u64,
    table: cell::RefCell<Option<rc::Rc<routes::Table>>>,
    backends: cell::RefCell<backends::Backends>,
    evacuated: cell::RefCell<collections::BTreeSet<id::AzId>>,
    entries: cell::RefCell<entries::Entries>,
    carried: cell::Cell<carried::Carried>,
    told: cell::RefCell<carried::Told>,
    busy: cell::Cell<entry_selection::Busy>,
    /// Whether the callers of its region are told this VM and no other.
    alone: cell::Cell<bool>,
    removal_guard: cell::RefCell<removal_guard::RemovalGuard>,
    desks: cell::RefCell<collections::HashMap<id::ServiceId, Desk>>,
    splits: cell::RefCell<collections::HashMap<String, split::Split>>,
    pool: cell::RefCell<pool::Pool>,
    /// What this VM lets in of each customer, and what it knows of the others.
    quotas: cell::RefCell<quota::Ledger<quota::ByDemand>>,
    /// The version of the entry VMs from which those were taken that callers are sent to.
    expected_by: cell::Cell<Option<u64>>,
    /// The latest datagram of each other VM, and how many this one has sent.
    heard_usage: cell::RefCell<collections::HashMap<quota::NameHash, quotas::Latest>>,
    told_usage: cell::Cell<u64>,
    /// When the process started, in milliseconds of the time of day, so that what it tells is later than
    /// what the process before it told.
    started_ms: u64,
    departures: cell::RefCell<departures::Departures>,
    crashes: cell::RefCell<crashes::Crashes>,
    /// Crashes seen here that others have not been told of.
    untold: cell::RefCell<Vec<beliefs::Crash>>,
    lines: logging::Limiter,
    labels: metrics::Bounded,
    stop: watch::Sender<bool>,
    /// Told when the first routes or backend servers are known.
    came: sync::Notify,
    /// Told when a customer asks for something after a rest.
    asked: sync::Notify,
    /// From when on a planned stop takes no further request.
    closed: cell::Cell<Option<policy::Moment>>,
    in_hand: cell::Cell<usize>,
}

/// A handle on the process's state.
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
    // A clock before 1970 tells nothing; others then take what comes for what came before.
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(cfg: Config, log: slog::Logger) -> Self {
        let region = cfg.regions.get(&cfg.az).cloned();
        let known = backends::Backends::new(region.clone());
        let own_hash = affinity::hash(cfg.vm.as_str().as_bytes());
        let quota = cfg.quota;
        let started_ms = started_ms();
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
            carried: cell::Cell::default(),
            told: cell::RefCell::default(),
            busy: cell::Cell::default(),
            alone: cell::Cell::default(),
            removal_guard: cell::RefCell::default(),
            desks: cell::RefCell::default(),
            splits: cell::RefCell::default(),
            pool: cell::RefCell::default(),
            quotas: cell::RefCell::new(quota::Ledger::new(quota, policy::Moment::ZERO, started_ms)),
            expected_by: cell::Cell::default(),
            heard_usage: cell::RefCell::default(),
            told_usage: cell::Cell::default(),
            started_ms,
            departures: cell::RefCell::default(),
            crashes: cell::RefCell::default(),
            untold: cell::RefCell::default(),
            lines: logging::Limiter::new(record::RATE),
            labels: metrics::Bounded::default(),
            stop: watch::channel(false).0,
            came: sync::Notify::new(),
            asked: sync::Notify::new(),
            closed: cell::Cell::new(None),
            in_hand: cell::Cell::new(0),
        }))
    }
}

impl Cx {
    /// The time on this process's clock.
    pub fn now(&self) -> policy::Moment {
        self.start.elapsed()
    }

    /// An instant on this process's clock.
    pub fn moment(&self, at: time::Instant) -> policy::Moment {
        at.saturating_duration_since(self.start)
    }

    /// A moment as an instant to sleep until.
    fn instant(&self, at: policy::Moment) -> tokio::time::Instant {
        (self.start + at).into()
    }

    /// The routes in force.
    pub fn table(&self) -> Option<rc::Rc<routes::Table>> {
        self.table.borrow().clone()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// Whether callers may come: there are routes and backend servers, and no stop has begun.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.borrow().is_some() && !self.backends.borrow().is_empty()
    }

    /// Waits until something came without which callers could not be served.
    pub async fn came(&self) {
        self.came.notified().await;
    }

    /// Begins a planned stop: callers are told to go elsewhere, and what is in hand ends.
    pub fn stop(&self) {
        self.closed.set(Some(self.now() + LEAVING));
        self.stop.send_replace(true);
    }

    /// Whether a planned stop takes no further request. Taken later, one could still be worked on
    /// when the grace time ends, and would be cut.
    pub fn is_closed(&self) -> bool {
        self.closed.get().is_some_and(|at| self.now() >= at)
    }

    /// Whether a planned stop is done: callers know, and nothing is in hand.
    pub fn is_done(&self) -> bool {
        self.is_closed() && self.in_hand.get() == 0
    }

    /// Tells when a planned stop begins.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// Requests that are worked on.
    pub fn in_hand(&self) -> usize {
        self.in_hand.get()
    }

    /// A number between 0 and 1, to spread what would happen at once.
    fn jitter(&self) -> f64 {
        rand::rng().random()
    }

    /// Uses a service's desk.
    fn with_desk<T>(&self, service: &id::ServiceId, f: impl FnOnce(&mut Desk) -> T) -> T {
        let mut desks = self.desks.borrow_mut();
        if let Some(desk) = desks.get_mut(service) {
            return f(desk);
        }
        f(desks.entry(service.clone()).or_default())
    }
}
