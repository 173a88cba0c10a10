//! Periodic maintenance of the executors, and their statistics for operators.
//!
//! A request still pending well after its deadline was lost through a defect of this process: its
//! policy never settled it, or a worker panicked while handling it. Its caller would wait until its
//! own timeout, and a graceful shutdown would never end. [`end_overdue`] ends such a request as
//! unknown, which is correct whether or not it ran, and logs the defect.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use super::{BackendEndpoint, Executor, PendingRequest, RETRY_AFTER, settle, step};
use crate::coordination::store;
use crate::decisions::policy;
use crate::entry::{CachedDirectory, Core, Executors, MakePolicy};
use crate::protocol::operators;
use crate::state::{directory, fleet};
use crate::{id, settings};
use policy::{Destination, Policy, RequestOutcome};

/// Time after its deadline when a pending request counts as lost. Attempts end at the deadline and
/// the next tick settles waiting requests, so a few seconds are ample for both.
const OVERDUE_GRACE: time::Duration = time::Duration::from_secs(5);

/// Ends lost requests as unknown.
pub(in crate::entry) fn end_overdue<M: MakePolicy>(core: &sync::Arc<Core<M>>) {
    let now = core.now();
    for executor in core.executors.load().values() {
        let mut inner = executor.inner.lock();
        let overdue = inner
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline + OVERDUE_GRACE <= now);
        let overdue: Vec<_> = overdue.map(|(id, _)| *id).collect();
        for req in overdue {
            slog::crit!(core.log, "request is still pending long after its deadline; ending it as unknown";
                "service" => executor.service.as_str(), "request" => req.0);
            let fate = RequestOutcome::Unknown {
                retry_after: RETRY_AFTER,
            };
            settle(core, executor, &mut inner, req, fate);
        }
    }
}

/// Updates the executors from the settings, the VM list and the leave reports of backend servers.
pub(in crate::entry) fn refresh<M: MakePolicy>(core: &sync::Arc<Core<M>>) {
    let settings = core.shared.settings.load_full();
    let fleet = core.shared.fleet.load_full();
    let old = core.executors.load_full();
    let mut executors = Executors::with_capacity(old.len());
    for service in settings.services() {
        let executor = old.get(&service.name).cloned().unwrap_or_else(|| {
            let policy = core.make.make(&core.cfg, &settings, service);
            sync::Arc::new(Executor::new(service, policy))
        });
        executor
            .body_bytes
            .store(service.max_body_bytes, atomic::Ordering::Relaxed);
        set_backends(core, &executor, service, &settings, &fleet);
        executors.insert(service.name.clone(), executor);
    }
    // The executor of a removed service stays until its pending requests have ended.
    for (name, executor) in old.iter() {
        if !executors.contains_key(name) && !executor.inner.lock().pending.is_empty() {
            executors.insert(name.clone(), executor.clone());
        }
    }
    refresh_directory(core, settings, fleet);
    if executors.len() != old.len() || executors.keys().any(|name| !old.contains_key(name)) {
        core.executors.store(sync::Arc::new(executors));
    }
}

/// Recomputes the entry VMs that look-ups return, if their inputs may have changed.
fn refresh_directory<M: MakePolicy>(
    core: &Core<M>,
    settings: sync::Arc<settings::Settings>,
    fleet: sync::Arc<fleet::Fleet>,
) {
    let cached = core.cached_directory.load();
    let same_fleet = sync::Arc::ptr_eq(&cached.fleet, &fleet);
    if !same_fleet {
        // VMs are replaced frequently; connections to removed VMs would accumulate.
        let addrs = fleet.addrs();
        core.client.retain(|addr| addrs.contains(addr));
    }
    let same = same_fleet && sync::Arc::ptr_eq(&cached.settings, &settings);
    // Drains start and end by the clock, without a change of settings or VM list.
    if same && settings.drains().next().is_none() {
        return;
    }
    let directory = directory::Directory::build(&settings, &fleet, wall_clock_s());
    core.cached_directory.store(sync::Arc::new(CachedDirectory {
        settings,
        fleet,
        directory,
    }));
}

fn set_backends<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
    service: &settings::Service,
    settings: &settings::Settings,
    fleet: &fleet::Fleet,
) {
    let now_s = wall_clock_s();
    let mut inner = executor.inner.lock();
    let mut backends = collections::BTreeMap::new();
    let mut policy_backends = Vec::new();
    for vm in fleet.backends(&service.name, &core.cfg.az) {
        let endpoint = inner.backends.remove(&vm.id);
        let endpoint = endpoint.filter(|endpoint| endpoint.addr == vm.addr);
        let endpoint = endpoint.unwrap_or_else(|| BackendEndpoint {
            addr: vm.addr,
            wire: sync::Arc::default(),
            reports_leaving: false,
        });
        policy_backends.push(policy::Backend {
            id: vm.id.clone(),
            slots: service.slots,
            leaving: vm.state == store::VmState::Leaving
                || endpoint.reports_leaving
                || fleet::drained(vm, settings, now_s),
        });
        backends.insert(vm.id.clone(), endpoint);
    }
    inner.backends = backends;
    if inner.policy_backends.as_ref() == Some(&policy_backends) {
        return;
    }
    let now = core.now();
    step(core, executor, &mut inner, |policy, out| {
        policy.set_backends(now, &policy_backends, out);
    });
    inner.policy_backends = Some(policy_backends);
}

/// Records each service's policy notes and number of pending requests.
pub(in crate::entry) fn observe<M: MakePolicy>(core: &sync::Arc<Core<M>>) {
    let now = core.now();
    for (name, executor) in core.executors.load().iter() {
        let (notes, pending) = {
            let mut inner = executor.inner.lock();
            (inner.policy.notes(), inner.pending.len())
        };
        for note in notes {
            core.observer.record_note(now, name, &note);
        }
        core.observer.record_pending(name, pending as u64);
    }
    core.observer.tick(now);
}

/// Each service's slots, requests in flight and queued requests.
pub(in crate::entry) fn service_loads<M: MakePolicy>(
    core: &Core<M>,
) -> collections::BTreeMap<id::ServiceId, operators::Service> {
    let executors = core.executors.load();
    let load_of = |executor: &Executor<M::Policy>| {
        let inner = executor.inner.lock();
        let has_attempt = |pending: &&PendingRequest| !pending.attempts.is_empty();
        let in_flight = inner.pending.values().filter(has_attempt).count() as u64;
        let policy_backends = inner
            .policy_backends
            .iter()
            .flatten()
            .filter(|b| !b.leaving);
        operators::Service {
            slots: policy_backends
                .map(|backend| u64::from(backend.slots))
                .sum(),
            in_flight,
            queued: inner.pending.len() as u64 - in_flight,
        }
    };
    executors
        .iter()
        .map(|(name, executor)| (name.clone(), load_of(executor)))
        .collect()
}

/// Number of this VM's attempts in flight in an availability zone.
pub(in crate::entry) fn in_flight_in_az<M: MakePolicy>(core: &Core<M>, az: &id::AzId) -> u64 {
    let is_in_az = |destination: &Destination| match destination {
        Destination::Backend(_) => *az == core.cfg.az,
        Destination::Az(to) => to == az,
    };
    let executors = core.executors.load();
    let count = |executor: &sync::Arc<Executor<M::Policy>>| {
        let inner = executor.inner.lock();
        let attempts = inner.pending.values().flat_map(|pending| &pending.attempts);
        attempts
            .filter(|(destination, _)| is_in_az(destination))
            .count() as u64
    };
    executors.values().map(count).sum()
}

/// Seconds since the Unix epoch, the time base of scheduled drains.
pub(in crate::entry) fn wall_clock_s() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
