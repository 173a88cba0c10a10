//! Computes the course of scheduled drains of regions, availability zones and VMs.
//!
//! Load pattern: a region or availability zone is emptied for maintenance. If all of its traffic
//! moves at once, it reaches cold caches and latency at the destinations jumps. Moving traffic by
//! weights cuts no request in flight, but a shift cap lower than the operator assumed makes the
//! drain last longer than its maintenance window.
//!
//! A drain reduces the capacity of its target linearly over its ramp, and the plan follows within
//! the caps. [`estimate`] computes the plan steps, so that an operator knows in advance when the
//! target will be empty.

use std::collections;
use std::time;

use super::{caps, plan};
use crate::{id, settings};
use settings::{Drain, DrainTarget, Settings};

/// How long requests in flight can keep a drained VM busy: the longest request timeout that the
/// settings allow. A drained availability zone needs the same time after its last step.
pub const MAX_REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// Upper bound on counted plan steps. The smallest cap in practical use needs some thousands.
const MAX_PLAN_STEPS: u32 = 100_000;

data! {
    /// The estimated course of a drain for one service.
    pub struct Estimate {
        /// The service.
        pub service: id::ServiceId,
        /// The share of a region's callers that moves; the highest value of all regions.
        pub share: f64,
        /// The number of steps that the shift cap requires.
        pub steps: u32,
        /// When the last callers move to another availability zone, in seconds since 1970.
        pub moved_s: u64,
        /// No other availability zone runs the service, so the target cannot become empty.
        pub stuck: bool,
    }
}

/// The availability zones that a drain empties; none if its target is a VM.
pub fn target_azs(settings: &Settings, target: &DrainTarget) -> Vec<id::AzId> {
    match target {
        DrainTarget::Region(name) => settings
            .regions()
            .filter(|region| region.name == *name)
            .flat_map(|region| region.azs.clone())
            .collect(),
        DrainTarget::Az(az) => vec![az.clone()],
        DrainTarget::Vm(_) => Vec::new(),
    }
}

/// Whether a drain by name reduces this VM's capacity at `now_s`, in seconds since 1970.
pub fn drains_vm(settings: &Settings, vm: &id::VmId, now_s: f64) -> bool {
    let targets_vm = |drain: &&Drain| drain.target == DrainTarget::Vm(vm.clone());
    settings
        .drains()
        .filter(targets_vm)
        .any(|drain| remaining_share(drain, now_s) < 1.0)
}

/// The share of its target's capacity that a drain leaves at `now_s`, in seconds since 1970. It
/// falls from 1 to 0 over the ramp.
pub fn remaining_share(drain: &Drain, now_s: f64) -> f64 {
    let start = drain.start_s as f64;
    let ramp = (drain.ramp_s as f64).max(1.0);
    let ramp_down = 1.0 - ((now_s - start) / ramp).clamp(0.0, 1.0);
    match drain.end_s {
        // Caches are cold after a drain, so the capacity returns over a ramp of the same length.
        Some(end) if now_s >= end as f64 => {
            let share_at_end = 1.0 - ((end as f64 - start) / ramp).clamp(0.0, 1.0);
            (share_at_end + (now_s - end as f64) / ramp).min(1.0)
        }
        _ => ramp_down,
    }
}

/// The share of capacity that drains leave of each availability zone; omits those at full capacity.
pub fn remaining_share_by_az(
    settings: &Settings,
    now_s: f64,
) -> collections::BTreeMap<id::AzId, f64> {
    let mut all = collections::BTreeMap::new();
    for drain in settings.drains() {
        let share = remaining_share(drain, now_s);
        if share >= 1.0 {
            continue;
        }
        for az in target_azs(settings, &drain.target) {
            let min_share = all.entry(az).or_insert(1.0f64);
            *min_share = min_share.min(share);
        }
    }
    all
}

/// Estimates a drain for each affected service, starting from the weights in force.
pub fn estimate(
    settings: &Settings,
    drain: &Drain,
    in_force: &collections::BTreeMap<id::ServiceId, plan::WeightsByRegion>,
) -> Vec<Estimate> {
    let emptied = target_azs(settings, &drain.target);
    settings
        .services()
        .filter(|service| service.azs.iter().any(|az| emptied.contains(az)))
        .map(|service| {
            let now = in_force.get(&service.name).cloned();
            let now = now.unwrap_or_else(|| plan::initial_weights(settings, service));
            estimate_service(drain, service, now, &emptied)
        })
        .collect()
}

fn estimate_service(
    drain: &Drain,
    service: &settings::Service,
    now: plan::WeightsByRegion,
    emptied: &[id::AzId],
) -> Estimate {
    let max_share = caps::Config::of(service).version_share();
    let target: plan::WeightsByRegion = now
        .iter()
        .map(|(region, weights)| (region.clone(), without_azs(weights, service, emptied)))
        .collect();
    let shares = target
        .iter()
        .map(|(region, to)| plan::churn(&now[region], to));
    let share = shares.fold(0.0, f64::max);
    let stuck = service.azs.iter().all(|az| emptied.contains(az));
    let steps = if stuck {
        0
    } else {
        count_steps(now, &target, max_share)
    };
    let by_cap_ms = u64::from(steps) * service.shift_step_ms;
    Estimate {
        service: service.name.clone(),
        share,
        steps,
        moved_s: drain.start_s + by_cap_ms.div_ceil(1_000).max(drain.ramp_s),
        stuck,
    }
}

/// The number of plan versions from the weights `now` to `target`, each of which moves at most the
/// share `max_share` of any region's callers.
pub fn count_steps(
    mut now: plan::WeightsByRegion,
    target: &plan::WeightsByRegion,
    max_share: f64,
) -> u32 {
    let mut steps = 0;
    while now != *target && steps < MAX_PLAN_STEPS {
        for (region, to) in target {
            let from = now.get(region).unwrap_or(to);
            let next = plan::step_towards(from, to, max_share);
            now.insert(region.clone(), next);
        }
        steps += 1;
    }
    steps
}

/// The weights without the emptied AZs. If no other AZ has a weight, all others get equal ones.
fn without_azs(
    weights: &plan::Weights,
    service: &settings::Service,
    emptied: &[id::AzId],
) -> plan::Weights {
    let mut rest = weights.clone();
    rest.retain(|az, _| !emptied.contains(az));
    if rest.is_empty() {
        let others = service.azs.iter().filter(|az| !emptied.contains(az));
        rest = others.map(|az| (az.clone(), 1.0)).collect();
    }
    let sum: f64 = rest.values().sum();
    rest.values_mut().for_each(|weight| *weight /= sum);
    rest
}

#[cfg(test)]
mod tests {
    use super::*;

    use std::path;

    fn cooperative() -> Settings {
        Settings::read(path::Path::new("examples/cooperative")).unwrap()
    }

    fn drain(target: DrainTarget) -> Drain {
        Drain {
            target,
            start_s: 1_000,
            ramp_s: 60,
            end_s: Some(2_000),
        }
    }

    #[test]
    fn a_drain_reduces_capacity_linearly_and_restores_it() {
        let drain = drain(DrainTarget::Az("khovd-a".into()));
        for (at, share) in [
            (999.0, 1.0),
            (1_030.0, 0.5),
            (1_060.0, 0.0),
            (1_999.0, 0.0),
            (2_030.0, 0.5),
            (2_060.0, 1.0),
        ] {
            assert!(
                (remaining_share(&drain, at) - share).abs() < 1e-9,
                "at {at}"
            );
        }
    }

    /// Guards against an estimate that shows only the ramp although the shift cap makes the drain
    /// last longer: servers would be switched off while callers still use them.
    #[test]
    fn an_estimate_shows_when_the_cap_is_slower_than_the_ramp() {
        let settings = cooperative();
        let drain = drain(DrainTarget::Az("khovd-a".into()));
        let estimates = estimate(&settings, &drain, &collections::BTreeMap::new());
        assert_eq!(estimates.len(), 3);
        for estimate in estimates {
            assert!((estimate.share - 0.5).abs() < 1e-9);
            let service = settings.service(estimate.service.as_str()).unwrap();
            let max_share = caps::Config::of(service).version_share();
            assert!(f64::from(estimate.steps) >= 0.5 / max_share);
            let by_cap = u64::from(estimate.steps) * service.shift_step_ms / 1_000;
            assert_eq!(estimate.moved_s, 1_000 + by_cap.max(60));
        }
    }

    #[test]
    fn the_whole_fleet_cannot_be_drained() {
        let mut settings = cooperative();
        let ledger = settings.teams.values_mut().flat_map(|t| &mut t.services);
        for service in ledger {
            service.azs.retain(|az| az.as_str().starts_with("khovd"));
        }
        let drain = drain(DrainTarget::Region("khovd".into()));
        let estimates = estimate(&settings, &drain, &collections::BTreeMap::new());
        assert!(estimates.iter().all(|estimate| estimate.stuck));
    }
}
