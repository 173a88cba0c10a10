//! Data source of the operators' listener: status, history, decisions and gauges.

use std::collections;
use std::fs;
use std::sync;
use std::time;

use super::{Core, MakePolicy, executor};
use crate::protocol::{history, operators as messages};
use crate::transport::operators;
use crate::{id, metrics as metric_names, settings};

/// Reads the entry process's shared state.
pub(super) struct Source<M: MakePolicy>(pub(super) sync::Weak<Core<M>>);

impl<M: MakePolicy> operators::Source for Source<M> {
    fn status(&self) -> messages::Status {
        let Some(core) = self.0.upgrade() else {
            return messages::Status {
                not_ready: vec!["stopped".to_owned()],
                ..messages::Status::default()
            };
        };
        let settings = core.shared.settings();
        let coordination_status = core.shared.coordination_status.load();
        let drains = drains(&core).into_iter().map(|drain| messages::Drain {
            remaining: remaining_share(&drain),
            target: drain.target,
            start_s: drain.start_s,
        });
        messages::Status {
            vm: core.cfg.vm.to_string(),
            az: core.cfg.az.to_string(),
            incarnation: core.incarnation.0,
            uptime_s: core.now().as_secs(),
            not_ready: not_ready(&core, &settings),
            settings: coordination_status.versions.clone(),
            store_up: coordination_status.store_up,
            peers: coordination_status.peers,
            services: executor::service_loads(&core),
            drains: drains.collect(),
        }
    }

    fn history(&self, query: &str) -> String {
        let answer = self.0.upgrade().map(|core| build_history(&core, query));
        serde_json::to_string(&answer.unwrap_or_default())
            .expect("all values of a history are representable in JSON")
    }

    fn explain(&self, request: u64) -> String {
        let answer = self
            .0
            .upgrade()
            .map(|core| core.observer.decisions_on(request));
        serde_json::to_string(&answer.unwrap_or_default())
            .expect("all values of decisions are representable in JSON")
    }

    fn refresh(&self) {
        let Some(core) = self.0.upgrade() else {
            return;
        };
        for (name, service) in executor::service_loads(&core) {
            let label = core.observer.label(&name);
            metrics::gauge!(metric_names::IN_FLIGHT, "service" => label.clone())
                .set(service.in_flight as f64);
            metrics::gauge!(metric_names::QUEUED, "service" => label.clone())
                .set(service.queued as f64);
            metrics::gauge!(metric_names::SLOTS, "service" => label).set(service.slots as f64);
        }
        for drain in drains(&core) {
            let az = drain.target.clone();
            metrics::gauge!(metric_names::DRAIN_REMAINING, "az" => az.clone())
                .set(remaining_share(&drain));
            let duration_s = drain.last_sent_s.unwrap_or(0);
            metrics::gauge!(metric_names::DRAIN_SECONDS, "az" => az).set(duration_s as f64);
        }
        let coordination_status = core.shared.coordination_status.load();
        for (team, version) in &coordination_status.versions {
            let team = team.to_string();
            metrics::gauge!(metric_names::SETTINGS_VERSION, "team" => team).set(*version as f64);
        }
        metrics::gauge!(metric_names::STORE_UP)
            .set(f64::from(u8::from(coordination_status.store_up)));
        metrics::gauge!(metric_names::PEERS).set(coordination_status.peers as f64);
        metrics::gauge!(metric_names::UPTIME_SECONDS).set(core.now().as_secs_f64());
        record_process_metrics();
    }
}

fn not_ready<M: MakePolicy>(core: &Core<M>, settings: &settings::Settings) -> Vec<String> {
    let mut reasons = Vec::new();
    if core.stopping.load(sync::atomic::Ordering::SeqCst) {
        reasons.push("stopping".to_owned());
    }
    if settings.services().next().is_none() {
        reasons.push("no settings yet".to_owned());
    }
    reasons
}

fn build_history<M: MakePolicy>(core: &Core<M>, query: &str) -> history::History {
    let windows = history::windows(query);
    let loads = executor::service_loads(core);
    let now = core.now();
    let of_service = |totals: &crate::state::totals::History, name: &id::ServiceId| {
        let load = loads.get(name).copied().unwrap_or_default();
        history::Service {
            slots: load.slots,
            in_hand: load.in_flight + load.queued,
            windows: windows
                .iter()
                .map(|s| totals.window(name, now, *s))
                .collect(),
            stretches: totals.stretches(name, now, history::PLOT_POINT_COUNT),
        }
    };
    let services = core.observer.with_history(|totals| {
        let service_names = loads.keys().chain(totals.services());
        service_names
            .map(|name| (name.clone(), of_service(totals, name)))
            .collect::<collections::BTreeMap<_, _>>()
    });
    history::History {
        vm: core.cfg.vm.to_string(),
        az: core.cfg.az.to_string(),
        uptime_s: now.as_secs(),
        services,
        drains: drains(core),
    }
}

/// Progress of each active drain, based on this VM's own requests.
fn drains<M: MakePolicy>(core: &Core<M>) -> Vec<history::Drain> {
    let settings = core.shared.settings();
    let now_s = executor::wall_clock_s();
    let active = settings
        .drains()
        .filter(|d| d.start_s <= now_s && d.end_s.is_none_or(|end_s| now_s < end_s));
    active
        .map(|drain| drain_progress(core, &settings, drain, now_s))
        .collect()
}

fn drain_progress<M: MakePolicy>(
    core: &Core<M>,
    settings: &settings::Settings,
    drain: &settings::Drain,
    now_s: u64,
) -> history::Drain {
    let azs = crate::decisions::drain::target_azs(settings, &drain.target);
    let last_sent = azs
        .iter()
        .filter_map(|az| core.observer.last_sent(az))
        .max();
    let quiet = last_sent.map(|last_sent| core.now().saturating_sub(last_sent));
    let quiet_s = quiet.map_or(u64::MAX, |quiet| quiet.as_secs());
    let last_s = now_s.saturating_sub(quiet_s);
    history::Drain {
        target: target(&drain.target),
        start_s: drain.start_s,
        last_sent_s: (last_s > drain.start_s).then(|| last_s - drain.start_s),
        quiet_s,
        in_flight: azs
            .iter()
            .map(|az| executor::in_flight_in_az(core, az))
            .sum(),
    }
}

/// Remaining share of traffic, 0 or 1: one VM's requests alone do not show a finer share.
fn remaining_share(drain: &history::Drain) -> f64 {
    let quiet = drain.quiet_s >= DRAIN_QUIET_PERIOD.as_secs() && drain.in_flight == 0;
    if quiet { 0.0 } else { 1.0 }
}

/// Time without requests from this VM after which a drained target counts as empty.
const DRAIN_QUIET_PERIOD: time::Duration = time::Duration::from_secs(5);

fn target(target: &settings::DrainTarget) -> String {
    match target {
        settings::DrainTarget::Region(name) => format!("region/{name}"),
        settings::DrainTarget::Az(name) => format!("az/{name}"),
        settings::DrainTarget::Vm(name) => format!("vm/{name}"),
    }
}

/// Ticks of processor time per second in Linux's `/proc/self/stat`.
const CPU_TICKS_PER_S: f64 = 100.0;

/// Page size on the Linux VMs that run the entry process.
const PAGE_BYTES: f64 = 4096.0;

/// Updates the gauges of the process's processor time and memory, where `/proc` exists.
fn record_process_metrics() {
    let read = |path| fs::read_to_string(path).unwrap_or_default();
    // The process's name is in parentheses and may contain spaces.
    let stat = read("/proc/self/stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    if let (Some(user), Some(system)) = (ticks(11), ticks(12)) {
        metrics::gauge!(metric_names::CPU_SECONDS).set((user + system) / CPU_TICKS_PER_S);
    }
    let statm = read("/proc/self/statm");
    let resident = statm.split_whitespace().nth(1);
    if let Some(pages) = resident.and_then(|f| f.parse::<f64>().ok()) {
        metrics::gauge!(metric_names::RESIDENT_BYTES).set(pages * PAGE_BYTES);
    }
}
