//! What the entry process answers on its operators' listener.

use std::collections;
use std::fs;
use std::sync;
use std::time;

use super::{Core, MakePolicy, desk};
use crate::protocol::{history, operators as told};
use crate::transport::operators;
use crate::{id, metrics as names, settings};

/// Answers from the entry process's shared tables.
pub(super) struct Source<M: MakePolicy>(pub(super) sync::Weak<Core<M>>);

impl<M: MakePolicy> operators::Source for Source<M> {
    fn status(&self) -> told::Status {
        let Some(core) = self.0.upgrade() else {
            return told::Status {
                not_ready: vec!["stopped".to_owned()],
                ..told::Status::default()
            };
        };
        let settings = core.shared.settings();
        let links = core.shared.links.load();
        let drains = drains(&core).into_iter().map(|drain| told::Drain {
            remaining: remaining(&drain),
            target: drain.target,
            start_s: drain.start_s,
        });
        told::Status {
            vm: core.cfg.vm.to_string(),
            az: core.cfg.az.to_string(),
            incarnation: core.incarnation.0,
            uptime_s: core.now().as_secs(),
            not_ready: not_ready(&core, &settings),
            settings: links.versions.clone(),
            store_up: links.store_up,
            peers: links.peers,
            services: desk::all_in_hand(&core),
            drains: drains.collect(),
        }
    }

    fn history(&self, query: &str) -> String {
        let answer = self.0.upgrade().map(|core| past(&core, query));
        serde_json::to_string(&answer.unwrap_or_default())
            .expect("a history has only values that JSON can hold")
    }

    fn explain(&self, request: u64) -> String {
        let answer = self.0.upgrade().map(|core| core.observer.about(request));
        serde_json::to_string(&answer.unwrap_or_default())
            .expect("decisions have only values that JSON can hold")
    }

    fn refresh(&self) {
        let Some(core) = self.0.upgrade() else {
            return;
        };
        for (name, service) in desk::all_in_hand(&core) {
            let label = core.observer.label(&name);
            metrics::gauge!(names::IN_FLIGHT, "service" => label.clone())
                .set(service.in_flight as f64);
            metrics::gauge!(names::QUEUED, "service" => label.clone()).set(service.queued as f64);
            metrics::gauge!(names::SLOTS, "service" => label).set(service.slots as f64);
        }
        for drain in drains(&core) {
            let az = drain.target.clone();
            metrics::gauge!(names::DRAIN_REMAINING, "az" => az.clone()).set(remaining(&drain));
            let took = drain.last_sent_s.unwrap_or(0);
            metrics::gauge!(names::DRAIN_SECONDS, "az" => az).set(took as f64);
        }
        let links = core.shared.links.load();
        for (team, version) in &links.versions {
            let team = team.to_string();
            metrics::gauge!(names::SETTINGS_VERSION, "team" => team).set(*version as f64);
        }
        metrics::gauge!(names::STORE_UP).set(f64::from(u8::from(links.store_up)));
        metrics::gauge!(names::PEERS).set(links.peers as f64);
        metrics::gauge!(names::UPTIME_SECONDS).set(core.now().as_secs_f64());
        process();
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

fn past<M: MakePolicy>(core: &Core<M>, query: &str) -> history::History {
    let windows = history::windows(query);
    let in_hand = desk::all_in_hand(core);
    let now = core.now();
    let of_service = |kept: &crate::state::totals::History, name: &id::ServiceId| {
        let hand = in_hand.get(name).copied().unwrap_or_default();
        history::Service {
            slots: hand.slots,
            in_hand: hand.in_flight + hand.queued,
            windows: windows.iter().map(|s| kept.window(name, now, *s)).collect(),
            stretches: kept.stretches(name, now, history::PLOT_POINT_COUNT),
        }
    };
    let services = core.observer.with_history(|kept| {
        let names = in_hand.keys().chain(kept.services());
        names
            .map(|name| (name.clone(), of_service(kept, name)))
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

/// How each drain that has begun goes, as far as this VM's own requests tell.
fn drains<M: MakePolicy>(core: &Core<M>) -> Vec<history::Drain> {
    let settings = core.shared.settings();
    let now_s = desk::wall_clock_s();
    let begun = settings
        .drains()
        .filter(|d| d.start_s <= now_s && d.end_s.is_none_or(|end_s| now_s < end_s));
    begun
        .map(|drain| how_it_goes(core, &settings, drain, now_s))
        .collect()
}

fn how_it_goes<M: MakePolicy>(
    core: &Core<M>,
    settings: &settings::Settings,
    drain: &settings::Drain,
    now_s: u64,
) -> history::Drain {
    let azs = crate::decisions::drain::target_azs(settings, &drain.target);
    let sent = azs
        .iter()
        .filter_map(|az| core.observer.last_sent(az))
        .max();
    let quiet = sent.map(|sent| core.now().saturating_sub(sent));
    let quiet_s = quiet.map_or(u64::MAX, |quiet| quiet.as_secs());
    let last_s = now_s.saturating_sub(quiet_s);
    history::Drain {
        target: target(&drain.target),
        start_s: drain.start_s,
        last_sent_s: (last_s > drain.start_s).then(|| last_s - drain.start_s),
        quiet_s,
        in_flight: azs.iter().map(|az| desk::in_flight_at(core, az)).sum(),
    }
}

/// A share cannot be told from one VM's requests alone: all or nothing is left.
fn remaining(drain: &history::Drain) -> f64 {
    let quiet = drain.quiet_s >= QUIET.as_secs() && drain.in_flight == 0;
    if quiet { 0.0 } else { 1.0 }
}

/// A place that got no request for so long is empty for this VM.
const QUIET: time::Duration = time::Duration::from_secs(5);

fn target(target: &settings::DrainTarget) -> String {
    match target {
        settings::DrainTarget::Region(name) => format!("region/{name}"),
        settings::DrainTarget::Az(name) => format!("az/{name}"),
        settings::DrainTarget::Vm(name) => format!("vm/{name}"),
    }
}

/// Ticks of processor time a second, as Linux counts them for processes.
const TICKS_A_SECOND: f64 = 100.0;

/// Bytes of a page, as Linux on our machines has them.
const PAGE_BYTES: f64 = 4096.0;

/// The process's own cost, where the system tells it.
fn process() {
    let read = |path| fs::read_to_string(path).unwrap_or_default();
    // The process's name stands in parentheses and may hold spaces.
    let stat = read("/proc/self/stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    if let (Some(user), Some(system)) = (ticks(11), ticks(12)) {
        metrics::gauge!(names::CPU_SECONDS).set((user + system) / TICKS_A_SECOND);
    }
    let statm = read("/proc/self/statm");
    let resident = statm.split_whitespace().nth(1);
    if let Some(pages) = resident.and_then(|f| f.parse::<f64>().ok()) {
        metrics::gauge!(names::RESIDENT_BYTES).set(pages * PAGE_BYTES);
    }
}
