//! What the desks do from time to time, and what is read off them.
//!
//! A request that is still in hand well after its deadline has been forgotten by a fault of ours:
//! a policy that never settled it, or a worker that failed in the middle. Its caller would wait
//! until its own timeout, and a planned stop for ever. [`end_overdue`] ends it as unknown, which
//! is true whatever became of it; one notices the fault in the log.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use super::{Desk, Known, Pending, RETRY_AFTER, settle, step};
use crate::coordination::store;
use crate::decisions::policy;
use crate::entry::{Core, Desks, MakePolicy, Named};
use crate::protocol::operators;
use crate::state::{directory, fleet};
use crate::{id, settings};
use policy::{Destination, Policy, RequestOutcome};

/// How long after its deadline a request is taken for forgotten. Attempts end at the deadline and
/// a tick settles what waits, so that seconds are far more than either needs.
const OVERDUE: time::Duration = time::Duration::from_secs(5);

/// Ends requests that should have ended long ago.
pub(in crate::entry) fn end_overdue<M: MakePolicy>(core: &sync::Arc<Core<M>>) {
    let now = core.now();
    for desk in core.desks.load().values() {
        let mut inner = desk.inner.lock();
        let overdue = inner
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline + OVERDUE <= now);
        let overdue: Vec<_> = overdue.map(|(id, _)| *id).collect();
        for req in overdue {
            slog::crit!(core.log, "a request was forgotten; its caller is told that it may have run";
                "service" => desk.service.as_str(), "request" => req.0);
            let fate = RequestOutcome::Unknown {
                retry_after: RETRY_AFTER,
            };
            settle(core, desk, &mut inner, req, fate);
        }
    }
}

/// Brings the desks in line with the settings, the list of VMs and what backend servers said.
pub(in crate::entry) fn refresh<M: MakePolicy>(core: &sync::Arc<Core<M>>) {
    let settings = core.shared.settings.load_full();
    let fleet = core.shared.fleet.load_full();
    let old = core.desks.load_full();
    let mut desks = Desks::with_capacity(old.len());
    for service in settings.services() {
        let desk = old.get(&service.name).cloned().unwrap_or_else(|| {
            let policy = core.make.make(&core.cfg, &settings, service);
            sync::Arc::new(Desk::new(service, policy))
        });
        desk.body_bytes
            .store(service.max_body_bytes, atomic::Ordering::Relaxed);
        set_backends(core, &desk, service, &settings, &fleet);
        desks.insert(service.name.clone(), desk);
    }
    // A service that was taken out ends what it has in hand first.
    for (name, desk) in old.iter() {
        if !desks.contains_key(name) && !desk.inner.lock().pending.is_empty() {
            desks.insert(name.clone(), desk.clone());
        }
    }
    name_entries(core, settings, fleet);
    if desks.len() != old.len() || desks.keys().any(|name| !old.contains_key(name)) {
        core.desks.store(sync::Arc::new(desks));
    }
}

/// Works out anew which entry VMs look-ups name, if anything that decides it may have changed.
fn name_entries<M: MakePolicy>(
    core: &Core<M>,
    settings: sync::Arc<settings::Settings>,
    fleet: sync::Arc<fleet::Fleet>,
) {
    let old = core.named.load();
    let same_fleet = sync::Arc::ptr_eq(&old.fleet, &fleet);
    if !same_fleet {
        // VMs are replaced all day long; connections to those that went would pile up.
        let addrs = fleet.addrs();
        core.client.retain(|addr| addrs.contains(addr));
    }
    let same = same_fleet && sync::Arc::ptr_eq(&old.settings, &settings);
    // A drain begins and ends by the clock, without any change.
    if same && settings.drains().next().is_none() {
        return;
    }
    let directory = directory::Directory::build(&settings, &fleet, wall_clock_s());
    core.named.store(sync::Arc::new(Named {
        settings,
        fleet,
        directory,
    }));
}

fn set_backends<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &sync::Arc<Desk<M::Policy>>,
    service: &settings::Service,
    settings: &settings::Settings,
    fleet: &fleet::Fleet,
) {
    let now_s = wall_clock_s();
    let mut inner = desk.inner.lock();
    let mut backends = collections::BTreeMap::new();
    let mut shown = Vec::new();
    for vm in fleet.backends(&service.name, &core.cfg.az) {
        let known = inner.backends.remove(&vm.id);
        let known = known.filter(|known| known.addr == vm.addr);
        let known = known.unwrap_or_else(|| Known {
            addr: vm.addr,
            wire: sync::Arc::default(),
            said_leaving: false,
        });
        shown.push(policy::Backend {
            id: vm.id.clone(),
            slots: service.slots,
            leaving: vm.state == store::VmState::Leaving
                || known.said_leaving
                || fleet::drained(vm, settings, now_s),
        });
        backends.insert(vm.id.clone(), known);
    }
    inner.backends = backends;
    if inner.shown.as_ref() == Some(&shown) {
        return;
    }
    let now = core.now();
    step(core, desk, &mut inner, |policy, out| {
        policy.set_backends(now, &shown, out);
    });
    inner.shown = Some(shown);
}

/// Collects what operators see of each service.
pub(in crate::entry) fn observe<M: MakePolicy>(core: &sync::Arc<Core<M>>) {
    let now = core.now();
    for (name, desk) in core.desks.load().iter() {
        let (notes, in_hand) = {
            let mut inner = desk.inner.lock();
            (inner.policy.notes(), inner.pending.len())
        };
        for note in notes {
            core.observer.noted(now, name, &note);
        }
        core.observer.in_hand(name, in_hand as u64);
    }
    core.observer.tick(now);
}

/// Each service's slots and requests in hand.
pub(in crate::entry) fn all_in_hand<M: MakePolicy>(
    core: &Core<M>,
) -> collections::BTreeMap<id::ServiceId, operators::Service> {
    let desks = core.desks.load();
    let of_desk = |desk: &Desk<M::Policy>| {
        let inner = desk.inner.lock();
        let working = |pending: &&Pending| !pending.attempts.is_empty();
        let in_flight = inner.pending.values().filter(working).count() as u64;
        let shown = inner.shown.iter().flatten().filter(|b| !b.leaving);
        operators::Service {
            slots: shown.map(|backend| u64::from(backend.slots)).sum(),
            in_flight,
            queued: inner.pending.len() as u64 - in_flight,
        }
    };
    desks
        .iter()
        .map(|(name, desk)| (name.clone(), of_desk(desk)))
        .collect()
}

/// Requests of this VM that an availability zone works on.
pub(in crate::entry) fn in_flight_at<M: MakePolicy>(core: &Core<M>, az: &id::AzId) -> u64 {
    let there = |place: &Destination| match place {
        Destination::Backend(_) => *az == core.cfg.az,
        Destination::Az(to) => to == az,
    };
    let desks = core.desks.load();
    let count = |desk: &sync::Arc<Desk<M::Policy>>| {
        let inner = desk.inner.lock();
        let attempts = inner.pending.values().flat_map(|pending| &pending.attempts);
        attempts.filter(|(place, _)| there(place)).count() as u64
    };
    desks.values().map(count).sum()
}

/// Seconds since 1970, for drains that operators dated.
pub(in crate::entry) fn wall_clock_s() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
