//! Runs one seed: sets up the gateways' environment, checks the phases without faults and reports
//! violations.

use std::cell;
use std::collections;
use std::fmt;
use std::fs;
use std::net;
use std::path;
use std::rc;
use std::time;

use bulrushwind::decisions::crashes;
use bulrushwind::platform::{decode, names};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::task;

use super::support::{backend, cut, process, proxy, store};
use super::{callers, competition, crowds, cuts, faults, restores, shares, stops};

/// Parameters of one seed's run.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) seed: u64,
    pub(crate) vms: usize,
    pub(crate) backends: usize,
    pub(crate) callers: usize,
    pub(crate) fault_duration: time::Duration,
    pub(crate) log_dir: Option<path::PathBuf>,
}

impl Config {
    /// Whether the VMs' settings expect demand above capacity: for every second seed.
    pub(crate) fn is_contended(&self) -> bool {
        self.seed.is_multiple_of(2)
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 6,
            backends: 9,
            callers: 24,
            fault_duration: time::Duration::from_secs(8),
            log_dir: None,
        }
    }
}

/// Time within which all VMs must serve again after the last fault.
const RECOVERY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time that a backend server takes for a request.
pub(crate) const SERVICE_TIME: time::Duration = time::Duration::from_millis(20);

/// A route whose requests may take longer than a planned stop, and its timeout.
pub(crate) const LONG_ROUTE: &str = "/long/";
pub(crate) const LONG_TIMEOUT: time::Duration = time::Duration::from_secs(8);

pub(crate) const AZS: [&str; 3] = ["az-a", "az-b", "az-c"];

/// An entry VM with its process and fault state.
pub(crate) struct Vm {
    pub(crate) options: process::GatewayOptions,
    pub(crate) gateway: cell::RefCell<Option<process::Gateway>>,
    pub(crate) store_proxy: proxy::Proxy,
    /// Time at which the process was last killed, paused, restarted or resumed.
    pub(crate) disturbed_at: cell::Cell<Option<time::Instant>>,
    /// Number of pauses in progress, and when the last one ended.
    pub(crate) pauses: cell::Cell<u32>,
    pub(crate) resumed_at: cell::Cell<Option<time::Instant>>,
    /// Whether a stop or kill is in progress and the process is yet to restart.
    pub(crate) restarting: cell::Cell<bool>,
    /// Number of times that the process was started, and when it last was.
    pub(crate) start_count: cell::Cell<u64>,
    pub(crate) started_at: cell::Cell<Option<time::Instant>>,
    /// The cut of its links to all backend servers, and when it began.
    pub(crate) cut: cell::Cell<Option<(cut::Cut, time::Instant)>>,
    /// When the last cut ended.
    pub(crate) restored_at: cell::Cell<Option<time::Instant>>,
}

impl Vm {
    pub(crate) fn spawn(&self) {
        self.start_count.set(self.start_count.get() + 1);
        self.started_at.set(Some(time::Instant::now()));
        match self.options.spawn() {
            Ok(gateway) => *self.gateway.borrow_mut() = Some(gateway),
            Err(err) => eprintln!("{} does not start: {err}", self.options.node),
        }
    }

    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        if let Some(gateway) = &*self.gateway.borrow() {
            gateway.signal(signal);
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        let mut gateway = self.gateway.borrow_mut();
        gateway.as_mut().is_none_or(process::Gateway::has_ended)
    }

    /// Whether the process has run undisturbed since a moment.
    pub(crate) fn is_calm_since(&self, since: time::Instant) -> bool {
        let is_running = self.started_at.get().is_some_and(|at| at < since);
        is_running && !self.restarting.get() && !self.was_disturbed_since(since)
    }

    pub(crate) fn was_paused_since(&self, since: time::Instant) -> bool {
        self.pauses.get() > 0 || self.resumed_at.get().is_some_and(|at| at >= since)
    }

    pub(crate) fn was_disturbed_since(&self, since: time::Instant) -> bool {
        self.disturbed_at.get().is_some_and(|at| at >= since)
    }
}

/// State shared by all tasks of a seed.
pub(crate) struct Scene {
    pub(crate) cfg: Config,
    pub(crate) store: store::Store,
    pub(crate) vms: Vec<Vm>,
    pub(crate) backends: cell::RefCell<Vec<backend::Backend>>,
    /// Backend servers of the other service of the split route.
    pub(crate) alternates: cell::RefCell<Vec<backend::Backend>>,
    /// Backend servers that leave and still serve.
    pub(crate) leaving: cell::RefCell<Vec<backend::Backend>>,
    pub(crate) log: rc::Rc<cell::RefCell<backend::Log>>,
    pub(crate) version: cell::Cell<u64>,
    pub(crate) violations: cell::RefCell<Vec<String>>,
    pub(crate) counts: cell::RefCell<Counts>,
    /// First tries at VMs that were cut off and at the others meanwhile.
    pub(crate) first_tries: cell::RefCell<cuts::FirstTries>,
    /// Time of the last backend server fault: lost answers or a closed server.
    pub(crate) backend_fault: cell::Cell<Option<time::Instant>>,
    /// What customers within their shares and one above its share got.
    pub(crate) competition: cell::Cell<(competition::Tally, competition::Tally)>,
}

/// Counts of requests by result, of faults and of store calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) faults: u64,
    /// Number of times that the store returned from an older copy.
    pub(crate) restores: u64,
    /// Number of times that VMs were cut off from all backend servers.
    pub(crate) cuts: u64,
    /// Number of calls to the store.
    pub(crate) calls: usize,
    /// The most crashes of backend servers that VMs hold against one request.
    pub(crate) crashes: usize,
    /// Requests of callers that read slowly or pipeline across planned stops, and answers to them.
    pub(crate) stop_requests: u64,
    pub(crate) stop_answered: u64,
    /// Long bodies that callers sent across planned stops to their end, and answers to them.
    pub(crate) uploads: u64,
    pub(crate) uploads_answered: u64,
}

/// Result of one seed's run.
#[derive(Debug)]
pub(crate) struct Report {
    seed: u64,
    counts: Counts,
    first_tries: cuts::FirstTries,
    competition: (competition::Tally, competition::Tally),
    pub(crate) violations: Vec<String>,
    /// Where the processes' logs are kept.
    log_dir: Option<path::PathBuf>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        write!(
            f,
            "seed {}: {} faults, {} restores, {} cuts, sent {} answered {} refused {} unknown {}, first tries {}, store calls {}, crash records of one request {}, across planned stops answered {} of {}, uploads {} of {}",
            self.seed,
            counts.faults,
            counts.restores,
            counts.cuts,
            counts.sent,
            counts.answered,
            counts.refused,
            counts.unknown,
            self.first_tries,
            counts.calls,
            counts.crashes,
            counts.stop_answered,
            counts.stop_requests,
            counts.uploads_answered,
            counts.uploads
        )?;
        let (steady, surging) = &self.competition;
        if surging.sent > 0 {
            write!(
                f,
                ", customers within their shares refused {} of {}, one above {} of {}",
                steady.refused, steady.sent, surging.refused, surging.sent
            )?;
        }
        for line in &self.violations {
            write!(f, "\n  BROKEN {line}")?;
        }
        match &self.log_dir {
            Some(dir) => write!(f, "\n  logs in {}", dir.display()),
            None => Ok(()),
        }
    }
}

/// The configuration of a version: four permanent routes, of which one is split with weights of the
/// version, and one that exists only in this version.
pub(crate) fn config(version: u64) -> Value {
    let route = |prefix: String, kind: &str| {
        json!({"name": prefix, "host": "example.test", "prefix": prefix, "kind": kind,
            "timeout_s": 3.0, "target_latency_s": 0.5, "priority": 1, "service": "svc",
            "attempts": 2, "sticky": true})
    };
    let mut long = route(LONG_ROUTE.into(), "safe");
    long["timeout_s"] = json!(LONG_TIMEOUT.as_secs_f64());
    let mut split = route(shares::ROUTE.into(), "safe");
    let weights = shares::weights(version).into_iter();
    split["split"] = weights
        .map(|(service, weight)| json!({"service": service, "weight": weight}))
        .collect();
    if let Some(fields) = split.as_object_mut() {
        fields.remove("service");
    }
    let service = |name: &str| json!({"name": name, "health_path": "/health", "max_conns": 330, "cold_s": 1.0, "cold_per_s": 5.0});
    json!({
        "version": format!("{version:08x}"),
        "routes": [route("/read/".into(), "safe"), route("/book/".into(), "unsafe"),
            route(format!("/v{version}/"), "safe"), split, long],
        "services": [service("svc"), service(shares::SERVICE)],
        "limits": {"header_bytes": 16384, "body_bytes": 1048576, "header_timeout_s": 3, "idle_timeout_s": 15},
    })
}

impl Scene {
    fn new(cfg: Config, dir: &path::Path) -> Self {
        let store = store::Store::start();
        store.write("op/config", &config(1));
        let program = gateway_program();
        let ports: Vec<process::Ports> = (0..cfg.vms).map(|_| process::Ports::free()).collect();
        let seeds: Vec<net::SocketAddr> = ports.iter().take(3).map(|p| p.control).collect();
        let vms = ports
            .into_iter()
            .enumerate()
            .map(|(n, ports)| {
                let store_proxy = proxy::Proxy::start(store.addr);
                Vm {
                    options: process::GatewayOptions {
                        bootstrap: false,
                        contended: cfg.is_contended(),
                        source_ip: net::Ipv4Addr::new(127, 0, 1, n as u8 + 1),
                        max_fds: None,
                        memory_mb: Some(crowds::MEMORY_MB),
                        program: program.clone(),
                        dir: dir.to_owned(),
                        node: format!("vm-{n}"),
                        zone: AZS[n % AZS.len()],
                        ports,
                        store: store_proxy.addr,
                        seeds: seeds.clone(),
                    },
                    gateway: cell::RefCell::default(),
                    store_proxy,
                    disturbed_at: cell::Cell::default(),
                    pauses: cell::Cell::default(),
                    resumed_at: cell::Cell::default(),
                    restarting: cell::Cell::default(),
                    start_count: cell::Cell::default(),
                    started_at: cell::Cell::default(),
                    cut: cell::Cell::default(),
                    restored_at: cell::Cell::default(),
                }
            })
            .collect();
        Self {
            store,
            vms,
            backends: cell::RefCell::default(),
            alternates: cell::RefCell::default(),
            leaving: cell::RefCell::default(),
            log: rc::Rc::default(),
            version: cell::Cell::new(1),
            violations: cell::RefCell::default(),
            counts: cell::RefCell::default(),
            first_tries: cell::RefCell::default(),
            backend_fault: cell::Cell::default(),
            competition: cell::Cell::default(),
            cfg,
        }
    }

    pub(crate) fn add_backend(&self, n: usize) {
        let added = self.start_backend(&format!("i-{n}"), "svc", n);
        self.backends.borrow_mut().push(added);
    }

    fn add_alternate(&self, n: usize) {
        let added = self.start_backend(&format!("alt-{n}"), shares::SERVICE, n);
        self.alternates.borrow_mut().push(added);
    }

    fn start_backend(&self, id: &str, service: &'static str, n: usize) -> backend::Backend {
        let zone = AZS[n % AZS.len()];
        let added = backend::Backend::start(id, service, zone, SERVICE_TIME, self.log.clone());
        for vm in &self.vms {
            if let Some((way, _)) = vm.cut.get() {
                let mut sources = added.sources.borrow_mut();
                sources.cut(vm.options.source_ip, way);
            }
        }
        added.register(&self.store, "ready");
        added
    }

    /// All backend servers that run, also those that leave.
    pub(crate) fn running_backends(&self) -> Vec<backend::Backend> {
        let (backends, leaving) = (self.backends.borrow(), self.leaving.borrow());
        let alternates = self.alternates.borrow();
        let all = backends.iter().chain(leaving.iter());
        all.chain(alternates.iter()).cloned().collect()
    }

    pub(crate) fn add_violation(&self, what: String) {
        /// Limits the report: further violations add no information.
        const MAX_VIOLATIONS: usize = 8;
        let mut violations = self.violations.borrow_mut();
        if violations.len() < MAX_VIOLATIONS {
            violations.push(what);
        }
    }

    pub(crate) fn publish_config(&self) {
        self.version.set(self.version.get() + 1);
        self.store.write("op/config", &config(self.version.get()));
    }

    /// Checks that all entry VMs serve the newest version within the recovery time.
    pub(crate) async fn check_all_serve(&self) {
        self.check_all_serve_with(None).await;
    }

    /// The same for requests with a customer's key.
    pub(crate) async fn check_all_serve_with(&self, key: Option<&str>) {
        let started_at = time::Instant::now();
        for vm in &self.vms {
            let path = format!("/v{}/x", self.version.get());
            while callers::status(vm.options.ports.front, &path, "recovery", key).await != Some(200)
            {
                if started_at.elapsed() > RECOVERY_TIMEOUT {
                    self.add_violation(format!(
                        "{} does not serve version {} again",
                        vm.options.node,
                        self.version.get()
                    ));
                    break;
                }
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        }
    }

    fn registered(&self) -> usize {
        self.store.keys("bulrushwind/entry/").len()
    }

    /// Waits until VMs that have just started are registered, at most for the recovery time.
    async fn wait_until_registered(&self) {
        let started_at = time::Instant::now();
        while self.registered() != self.vms.len() && started_at.elapsed() < RECOVERY_TIMEOUT {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }

    fn check_registrations(&self) {
        let registered = self.registered();
        if registered != self.vms.len() {
            self.add_violation(format!(
                "{registered} entry VMs are registered, not {}",
                self.vms.len()
            ));
        }
    }

    /// Checks that no process ended by itself.
    pub(crate) fn check_no_exits(&self) {
        for vm in self.vms.iter().filter(|vm| !vm.restarting.get()) {
            if vm.has_ended() {
                self.add_violation(format!("{} ended by itself", vm.options.node));
            }
        }
    }

    /// Checks that no request is refused as one that crashes backend servers: none crashes any.
    fn check_crash_records(&self) {
        let mut records: collections::BTreeMap<u64, usize> = collections::BTreeMap::new();
        for key in self.store.keys(names::CRASH_PREFIX) {
            let crash = key
                .strip_prefix(names::CRASH_PREFIX)
                .and_then(decode::crash);
            if let Some(crash) = crash {
                *records.entry(crash.fingerprint).or_default() += 1;
            }
        }
        let most = records.into_values().max().unwrap_or_default();
        self.counts.borrow_mut().crashes = most;
        if most >= crashes::BAN_CRASH_COUNT {
            self.add_violation(format!(
                "a request is refused since {most} backend servers crashed by it, and none did"
            ));
        }
    }

    fn check_answered(&self, counts: &Counts) {
        if counts.answered < counts.sent / 4 {
            self.add_violation(format!(
                "only {} of {} requests were answered",
                counts.answered, counts.sent
            ));
        }
    }

    /// Checks that a draining backend server gets no requests after its grace period.
    async fn check_drain(&self) {
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let Some(leaving) = self.backends.borrow().first().cloned() else {
            return;
        };
        leaving.register(&self.store, "draining");
        tokio::time::sleep(backend::DRAIN_GRACE + time::Duration::from_secs(1)).await;
        for id in &self.log.borrow().late_requests {
            self.add_violation(format!(
                "request {id} reached a backend server that had left"
            ));
        }
    }
}

/// Path of the gateway program, which is built into the parent of this example's directory.
fn gateway_program() -> path::PathBuf {
    let example = std::env::current_exe().expect("this program has a path");
    let target_dir = example
        .parent()
        .and_then(path::Path::parent)
        .expect("the example lies two levels below the target directory");
    target_dir.join("bulrushwind-gateway")
}

/// Runs one seed.
pub(crate) async fn run(cfg: Config) -> Report {
    let log_dir = cfg.log_dir.clone();
    let temporary = tempfile::tempdir().expect("the log directory can be created");
    let dir = log_dir.as_deref().unwrap_or(temporary.path());
    fs::create_dir_all(dir).expect("the log directory can be created");
    let seed = cfg.seed;
    let scene = rc::Rc::new(Scene::new(cfg, dir));
    (0..scene.cfg.backends).for_each(|n| scene.add_backend(n));
    (0..shares::BACKENDS).for_each(|n| scene.add_alternate(n));
    scene.vms.iter().for_each(Vm::spawn);
    scene.check_all_serve().await;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let tasks: Vec<task::JoinHandle<()>> = (0..scene.cfg.callers)
        .map(|n| task::spawn_local(callers::run_caller(scene.clone(), seed * 1000 + n as u64)))
        .chain(
            (0..scene.vms.len())
                .map(|n| task::spawn_local(callers::watch_versions(scene.clone(), n))),
        )
        .collect();
    // Draws of its own, so that a seed's faults stay the same.
    let mut statement_rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut cut_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16) ^ u64::MAX);
    let mut share_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(48) ^ 1);
    let mut stop_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8) ^ 2);
    let mut upload_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24) ^ 3);
    let mut crowd_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(40) ^ 4);
    let mut restore_rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32) | 1);
    tokio::join!(
        faults::inject(&scene, &mut rng),
        faults::state_values(&scene, &mut statement_rng),
        restores::inject(&scene, &mut restore_rng),
        cuts::inject(&scene, &mut cut_rng),
    );
    cuts::check_first_tries(&scene);
    scene.check_no_exits();
    scene.check_all_serve().await;
    shares::check_series(&scene, &mut share_rng).await;
    scene.log.borrow_mut().late_requests.clear();
    scene.check_drain().await;
    scene.log.borrow_mut().late_requests.clear();
    restores::check_removal_after_a_return(&scene).await;
    restores::check_leaving_is_kept(&scene).await;
    tasks.iter().for_each(task::JoinHandle::abort);
    scene.check_registrations();
    stops::check(&scene, &mut stop_rng, &mut upload_rng).await;
    crowds::check(&scene, &mut crowd_rng).await;
    // In the competition most requests are to be refused.
    let before_competition = *scene.counts.borrow();
    scene.check_answered(&before_competition);
    if scene.cfg.is_contended() {
        competition::check(&scene).await;
    }
    scene.wait_until_registered().await;
    scene.check_registrations();
    scene.check_crash_records();
    let counts = Counts {
        calls: scene.store.calls(),
        crashes: scene.counts.borrow().crashes,
        ..before_competition
    };
    let violations = scene.violations.take();
    let first_tries = *scene.first_tries.borrow();
    // Many failures depend on timing, so the logs of a failed play are all there is to trace it from.
    let kept_dir = || Some(temporary.keep()).filter(|_| !violations.is_empty());
    Report {
        seed,
        counts,
        first_tries,
        competition: scene.competition.get(),
        log_dir: log_dir.or_else(kept_dir),
        violations,
    }
}
