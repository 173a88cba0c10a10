//! Computes the traffic that a change moves; checks it against shift caps and the regions' limits.
//!
//! Settings that remove an availability zone from a service move its callers at once, so their
//! share must not exceed the cap: the zone has to be drained first. A drain moves callers in steps;
//! [`drain`] simulates the steps that entry VMs will take, and a drain with a shorter ramp is
//! refused. Shares refer to the region where most callers move; the caps apply to each region's
//! callers.
//!
//! The smaller of the old and the new cap applies, so that a change cannot raise a cap and use it.

use std::collections;

use crate::decisions::{caps, drain, plan};
use crate::{id, settings};

/// Tolerance for comparing shares, since sums of floats are inexact.
const EPSILON: f64 = 1e-9;

data! {
    /// Cause of a shift.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", tag = "cause")]
    pub enum Cause {
        /// Availability zones are removed from the service.
        Settings,
        /// A drain starts.
        Drain {
            /// Time, in seconds since the Unix epoch.
            start_s: u64,
        },
        /// A drain is removed and its traffic returns.
        Return {
            /// Time, in seconds since the Unix epoch.
            at_s: u64,
        },
    }

    /// Traffic of one service that moves because of a change.
    pub struct Shift {
        /// The service.
        pub service: id::ServiceId,
        /// The cause.
        pub cause: Cause,
        /// Availability zones that traffic leaves.
        pub leaves: Vec<id::AzId>,
        /// Share of a region's callers that moves, in the region where most do.
        pub share: f64,
        /// Largest share that may move at once.
        pub cap: f64,
        /// Part of the cap that one step may move.
        pub a_step: f64,
        /// Number of steps.
        pub steps: u64,
        /// Total duration, in milliseconds.
        pub takes_ms: u64,
        /// Current load of the service as a share of its slots, if known.
        pub load: Option<f64>,
        /// Load on the remaining availability zones as a share of their slots, if known.
        pub load_after: Option<f64>,
        /// Highest current load that the remaining availability zones can take over.
        pub fits_below: f64,
    }

    /// A limit that a change would exceed.
    pub struct Excess {
        /// The service.
        pub service: id::ServiceId,
        /// The limit, the excess and the remedy.
        pub what: String,
    }
}

/// Known loads by service, as shares of their slots.
pub type Loads = collections::BTreeMap<id::ServiceId, f64>;

/// All shifts caused by changing `from` to `to` at `now_s`, and the limits that they exceed.
pub fn shifts_between(
    from: &settings::Settings,
    to: &settings::Settings,
    now_s: u64,
    loads: &Loads,
) -> (Vec<Shift>, Vec<Excess>) {
    let (mut shifts, mut excesses) = (Vec::new(), Vec::new());
    for service in to.services() {
        let before = from.service(service.name.as_str());
        let load = loads.get(&service.name).copied();
        let found = service_shifts(before, service, from, to, now_s, load);
        for shift in found {
            excesses.extend(find_excesses(&shift, to));
            shifts.push(shift);
        }
    }
    (shifts, excesses)
}

fn service_shifts(
    before: Option<&settings::Service>,
    after: &settings::Service,
    from: &settings::Settings,
    to: &settings::Settings,
    now_s: u64,
    load: Option<f64>,
) -> Vec<Shift> {
    let cap = before.map_or(after.shift_cap, |b| b.shift_cap.min(after.shift_cap));
    let capped = settings::Service {
        shift_cap: cap,
        ..after.clone()
    };
    let mut found = Vec::new();
    let mut add = |cause, old: &Placement<'_>, new: &Placement<'_>| {
        found.extend(shift(&capped, cause, old, new, load));
    };
    if let Some(before) = before {
        // Availability zones that are already drained have no traffic that could move at once.
        let kept = with_azs_of(before, after);
        let old = Placement::new(before, from, now_s);
        let new = Placement::new(&kept, from, now_s);
        add(Cause::Settings, &old, &new);
    }
    let is_new = |drain: &&settings::Drain| !from.drains().any(|old| old == *drain);
    for drain in to.drains().filter(is_new) {
        let start_s = drain.start_s.max(now_s);
        if drain.end_s.is_some_and(|end_s| end_s <= now_s) {
            continue;
        }
        let without = without_drain(to, drain);
        let old = Placement::new(&capped, &without, start_s);
        let new = Placement::new(&capped, to, start_s);
        add(Cause::Drain { start_s }, &old, &new);
    }
    for removed in from.drains() {
        let in_force = is_in_force(removed, now_s);
        if in_force && !to.drains().any(|drain| drain == removed) {
            let old = Placement::new(&capped, from, now_s);
            let new = Placement::new(&capped, to, now_s);
            add(Cause::Return { at_s: now_s }, &old, &new);
        }
    }
    found
}

fn with_azs_of(before: &settings::Service, after: &settings::Service) -> settings::Service {
    let keep = |az: &&id::AzId| after.azs.contains(az);
    settings::Service {
        azs: before.azs.iter().filter(keep).cloned().collect(),
        ..before.clone()
    }
}

fn without_drain(all: &settings::Settings, drain: &settings::Drain) -> settings::Settings {
    let mut all = all.clone();
    for team in all.teams.values_mut() {
        team.drains.retain(|other| other != drain);
    }
    all
}

/// Availability zones open to a service at one time, and the weights of each region's callers.
struct Placement<'a> {
    open: Vec<id::AzId>,
    weights: plan::WeightsByRegion,
    all: &'a settings::Settings,
}

impl<'a> Placement<'a> {
    fn new(service: &settings::Service, all: &'a settings::Settings, at_s: u64) -> Self {
        let closed = |az: &id::AzId| {
            all.drains()
                .any(|d| is_in_force(d, at_s) && covers(d, az, all))
        };
        let open: Vec<id::AzId> = service
            .azs
            .iter()
            .filter(|az| !closed(az))
            .cloned()
            .collect();
        let running = settings::Service {
            azs: open.clone(),
            ..service.clone()
        };
        Self {
            weights: plan::initial_weights(all, &running),
            open,
            all,
        }
    }

    /// Usable capacity of the open availability zones, in units of one zone's slots.
    fn capacity(&self) -> f64 {
        let limit = |az: &id::AzId| self.all.region_of(az).map_or(0.0, |region| region.max_load);
        self.open.iter().map(limit).sum()
    }
}

fn is_in_force(drain: &settings::Drain, at_s: u64) -> bool {
    drain.start_s <= at_s && drain.end_s.is_none_or(|end_s| at_s < end_s)
}

fn covers(drain: &settings::Drain, az: &id::AzId, all: &settings::Settings) -> bool {
    match &drain.target {
        settings::DrainTarget::Az(target) => target == az,
        settings::DrainTarget::Region(region) => {
            all.region_of(az).is_some_and(|of| of.name == *region)
        }
        settings::DrainTarget::Vm(_) => false,
    }
}

fn shift(
    service: &settings::Service,
    cause: Cause,
    old: &Placement<'_>,
    new: &Placement<'_>,
    load: Option<f64>,
) -> Option<Shift> {
    let moved = |(region, from): (&id::RegionId, &plan::Weights)| {
        new.weights
            .get(region)
            .map_or(0.0, |to| plan::churn(from, to))
    };
    let share = old.weights.iter().map(moved).fold(0.0, f64::max);
    if share <= EPSILON {
        return None;
    }
    let a_step = caps::Config::of(service).version_share();
    let steps = match cause {
        Cause::Settings => 1,
        Cause::Drain { .. } | Cause::Return { .. } => u64::from(drain::count_steps(
            old.weights.clone(),
            &new.weights,
            a_step,
        )),
    };
    let leaves = old.open.iter().filter(|az| !new.open.contains(az));
    let remaining_share = new.open.len() as f64 / old.open.len().max(1) as f64;
    Some(Shift {
        service: service.name.clone(),
        cause,
        leaves: leaves.cloned().collect(),
        share,
        cap: service.shift_cap,
        a_step,
        steps,
        takes_ms: steps * service.shift_step_ms,
        load,
        load_after: load.map(|load| load / remaining_share.max(EPSILON)),
        fits_below: new.capacity() / service.azs.len().max(1) as f64,
    })
}

fn find_excesses(shift: &Shift, all: &settings::Settings) -> Vec<Excess> {
    let mut found = Vec::new();
    let mut add = |what: String| {
        found.push(Excess {
            service: shift.service.clone(),
            what,
        });
    };
    let percent = |share: f64| format!("{:.1}%", share * 100.0);
    if shift.fits_below <= EPSILON {
        add("no availability zone is left to run it; keep at least one open".to_owned());
        return found;
    }
    if shift.cause == Cause::Settings && shift.share > shift.cap + EPSILON {
        add(format!(
            "taking {} out moves {} of a region's callers at once, {} more than the cap of {}; drain first with `bulrushwind drain`",
            format_names(&shift.leaves),
            percent(shift.share),
            percent(shift.share - shift.cap),
            percent(shift.cap),
        ));
    }
    if let Cause::Drain { start_s } = shift.cause {
        for drain in all.drains().filter(|d| d.start_s.max(start_s) == start_s) {
            let ramp_ms = drain.ramp_s * 1000;
            if shift.takes_ms > ramp_ms && drain_covers_shift(drain, shift, all) {
                let step_ms = shift.takes_ms / shift.steps.max(1);
                let steps = (ramp_ms / step_ms.max(1)).max(1);
                let needed = shift.share / steps as f64;
                add(format!(
                    "a ramp of {} s moves {} of a region's callers in each step, {} more than the {} that the cap leaves to one; give ramp_s = {} or more",
                    drain.ramp_s,
                    percent(needed),
                    percent(needed - shift.a_step),
                    percent(shift.a_step),
                    shift.takes_ms.div_ceil(1000),
                ));
            }
        }
    }
    if let Some(load) = shift.load
        && load > shift.fits_below + EPSILON
    {
        add(format!(
            "a load of {} leaves no room: without {} the regions' limits hold {}, {} less; wait for a quieter hour or add backend servers",
            percent(load),
            format_names(&shift.leaves),
            percent(shift.fits_below),
            percent(load - shift.fits_below),
        ));
    }
    found
}

fn drain_covers_shift(drain: &settings::Drain, shift: &Shift, all: &settings::Settings) -> bool {
    shift.leaves.iter().any(|az| covers(drain, az, all))
}

fn format_names(azs: &[id::AzId]) -> String {
    let names = azs.iter().map(|az| format!("`{az}`"));
    names.collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests {
    use std::path;

    use super::*;

    const NOW_S: u64 = 1_000_000;

    fn cooperative() -> settings::Settings {
        settings::Settings::read(path::Path::new("examples/cooperative")).unwrap()
    }

    fn drained(target: settings::DrainTarget, ramp_s: u64) -> settings::Settings {
        let mut all = cooperative();
        all.teams
            .get_mut("places")
            .unwrap()
            .drains
            .push(settings::Drain {
                target,
                start_s: NOW_S + 60,
                ramp_s,
                end_s: None,
            });
        all
    }

    /// Share of a region's ledger callers that one step may move.
    fn a_step() -> f64 {
        caps::Config::of(cooperative().service("ledger").unwrap()).version_share()
    }

    fn ledger(shifts: &[Shift]) -> &Shift {
        let ledger = |shift: &&Shift| shift.service.as_str() == "ledger";
        shifts.iter().find(ledger).unwrap()
    }

    #[test]
    fn a_drain_takes_the_steps_of_the_plan() {
        let target = settings::DrainTarget::Az("ub-a".into());
        let to = drained(target, 200);
        let (shifts, excesses) = shifts_between(&cooperative(), &to, NOW_S, &Loads::new());
        let shift = ledger(&shifts);
        // Half of Ulaanbaatar's callers move, part of the cap in each step.
        assert!((shift.share - 0.5).abs() < EPSILON);
        let steps = (0.5 / a_step() - EPSILON).ceil() as u64;
        assert_eq!((shift.steps, shift.takes_ms), (steps, steps * 10_000));
        assert_eq!(excesses, []);
    }

    /// A drain shorter than the caps allow would send a region's traffic to cold caches at once.
    #[test]
    fn a_too_short_ramp_is_refused_with_the_required_one() {
        let to = drained(settings::DrainTarget::Region("khovd".into()), 10);
        let (_, excesses) = shifts_between(&cooperative(), &to, NOW_S, &Loads::new());
        let what = &excesses
            .iter()
            .find(|e| e.service.as_str() == "ledger")
            .unwrap()
            .what;
        let more = format!(
            "{:.1}% more than the {:.1}%",
            100.0 - a_step() * 100.0,
            a_step() * 100.0
        );
        assert!(what.contains(&more), "{what}");
        let ramp_s = (1.0 / a_step() - EPSILON).ceil() * 10.0;
        assert!(what.contains(&format!("ramp_s = {ramp_s} ")), "{what}");
    }

    /// A change removes an availability zone without a drain and raises the cap to make that fit.
    #[test]
    fn a_change_cannot_use_the_cap_that_it_raises() {
        let mut to = cooperative();
        let ledger = &mut to.teams.get_mut("bays").unwrap().services[1];
        ledger.azs.pop();
        ledger.shift_cap = 1.0;
        let (_, excesses) = shifts_between(&cooperative(), &to, NOW_S, &Loads::new());
        assert!(
            excesses[0]
                .what
                .contains("40.0% more than the cap of 10.0%"),
            "{excesses:?}"
        );
    }

    /// The plan must agree with the estimate that the tests of the entry VMs' steps use.
    #[test]
    fn the_steps_are_those_of_the_estimate() {
        let from = cooperative();
        let to = drained(settings::DrainTarget::Az("ub-a".into()), 1000);
        let (shifts, _) = shifts_between(&from, &to, NOW_S, &Loads::new());
        let scheduled = to.drains().next().unwrap();
        let estimates = drain::estimate(&from, scheduled, &collections::BTreeMap::new());
        assert_eq!(estimates.len(), shifts.len());
        for estimate in estimates {
            let same = |shift: &&Shift| shift.service == estimate.service;
            let shift = shifts.iter().find(same).unwrap();
            assert_eq!(shift.steps, u64::from(estimate.steps));
            assert!((shift.share - estimate.share).abs() < EPSILON);
        }
    }

    #[test]
    fn a_drained_az_can_be_removed() {
        let from = drained(settings::DrainTarget::Az("dornod-b".into()), 60);
        let mut to = from.clone();
        to.teams.get_mut("bays").unwrap().services[1].azs.pop();
        let (_, excesses) = shifts_between(&from, &to, NOW_S + 600, &Loads::new());
        assert_eq!(excesses, []);
    }

    /// A region is drained under high load, and the other two lack the capacity for its traffic.
    #[test]
    fn a_drain_beyond_the_remaining_capacity_is_refused() {
        let to = drained(settings::DrainTarget::Region("khovd".into()), 400);
        let loads = Loads::from([("ledger".into(), 0.7)]);
        let (shifts, excesses) = shifts_between(&cooperative(), &to, NOW_S, &loads);
        assert!((ledger(&shifts).fits_below - 0.6).abs() < EPSILON);
        assert!(
            excesses[0].what.contains("hold 60.0%, 10.0% less"),
            "{excesses:?}"
        );
        let loads = Loads::from([("ledger".into(), 0.5)]);
        assert_eq!(shifts_between(&cooperative(), &to, NOW_S, &loads).1, []);
    }
}
