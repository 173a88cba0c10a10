//! The load patterns under which policies are compared.
//!
//! Each lasts a few seconds: long enough for queues to fill and for outliers to be detected, and
//! short enough to run in a test.

use std::time;

use super::load::{Callers, Fault, Pattern, Phase};
use super::{Deployment, Op};

/// Load of normal operation, as a share of capacity.
const NORMAL_LOAD: f64 = 0.6;

/// Load that an availability zone can serve with one of its two backend servers.
const LIGHT_LOAD: f64 = 0.4;

/// Constant load for patterns that measure how evenly requests are distributed.
const STEADY_LOAD: f64 = 0.5;

const fn s(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// A load pattern and the deployment that it applies to.
#[derive(Clone, Debug)]
pub struct Case {
    /// Deployment, with the operations of the pattern.
    pub dep: Deployment,
    /// Load and faults.
    pub pattern: Pattern,
    /// Whether the case measures how evenly a constant load is distributed.
    pub steady: bool,
    /// Whether the load is twice the capacity.
    pub saturated: bool,
    /// Whether one backend server is slow.
    pub slow: bool,
}

impl Case {
    fn new(dep: &Deployment, pattern: Pattern) -> Self {
        Self {
            dep: dep.clone(),
            pattern,
            steady: false,
            saturated: false,
            slow: false,
        }
    }
}

/// All patterns without traffic between availability zones. Calls arrive for `duration` in each.
pub fn local(dep: &Deployment, duration: time::Duration) -> Vec<Case> {
    let regions = dep.regions;
    let calm = |name| Pattern::steady(name, regions, NORMAL_LOAD, duration);
    let early = duration / 8;
    vec![
        Case {
            steady: true,
            ..Case::new(
                dep,
                Pattern::steady("steady", regions, STEADY_LOAD, duration),
            )
        },
        Case::new(dep, burst(regions, duration)),
        Case::new(dep, hot_callers(regions, duration)),
        slow(dep, calm("slow backend server"), early),
        slow(
            dep,
            Pattern::steady("slow backend server, light", regions, LIGHT_LOAD, duration),
            early,
        ),
        Case::new(
            dep,
            with_faults(
                calm("fast-failing backend server"),
                early,
                vec![Fault::FailFast(0)],
            ),
        ),
        Case::new(
            &with_long_operation(dep),
            Pattern::steady("long among short", regions, 1.2, duration),
        ),
        Case::new(
            dep,
            Pattern::steady("saturation 1.2", regions, 1.2, duration),
        ),
        Case {
            saturated: true,
            ..Case::new(dep, Pattern::steady("saturation 2", regions, 2.0, duration))
        },
        Case::new(dep, crashing_requests(regions, duration)),
        Case::new(
            dep,
            with_faults(calm("reports frozen"), early, vec![Fault::FreezeReports]),
        ),
        Case::new(
            dep,
            with_faults(
                calm("reports lie"),
                early,
                vec![Fault::FalseReports(0), Fault::Slow(0, 4.0)],
            ),
        ),
        Case::new(
            dep,
            with_faults(
                calm("cold fleet"),
                time::Duration::ZERO,
                vec![Fault::ColdFleet],
            ),
        ),
        Case::new(dep, retry_storm(regions, duration)),
        Case::new(
            dep,
            with_faults(calm("backend server leaves"), early, vec![Fault::Leave(0)]),
        ),
    ]
}

fn slow(dep: &Deployment, pattern: Pattern, at: time::Duration) -> Case {
    Case {
        slow: true,
        ..Case::new(dep, with_faults(pattern, at, vec![Fault::Slow(0, 10.0)]))
    }
}

fn with_faults(mut pattern: Pattern, at: time::Duration, faults: Vec<Fault>) -> Pattern {
    pattern.faults = faults.into_iter().map(|fault| (at, fault)).collect();
    pattern
}

fn phases(regions: usize, loads: &[(time::Duration, f64)]) -> Vec<Phase> {
    let phase = |(duration, load): &(time::Duration, f64)| Phase {
        duration: *duration,
        load: vec![*load; regions],
    };
    loads.iter().map(phase).collect()
}

fn burst(regions: usize, duration: time::Duration) -> Pattern {
    let (calm, peak) = (duration.mul_f64(0.4), duration.mul_f64(0.2));
    Pattern {
        phases: phases(
            regions,
            &[(calm, NORMAL_LOAD), (peak, 4.0), (calm, NORMAL_LOAD)],
        ),
        ..Pattern::steady("burst", regions, NORMAL_LOAD, duration)
    }
}

/// A few callers send most of a load that exceeds the capacity.
fn hot_callers(regions: usize, duration: time::Duration) -> Pattern {
    let callers = Callers {
        hot_share: 0.7,
        ..Callers::default()
    };
    Pattern {
        callers,
        ..Pattern::steady("few callers", regions, 1.5, duration)
    }
}

/// A small share of the requests crashes the backend server that runs them.
fn crashing_requests(regions: usize, duration: time::Duration) -> Pattern {
    let callers = Callers {
        crash_share: 0.0002,
        ..Callers::default()
    };
    Pattern {
        callers,
        ..Pattern::steady("crashing request", regions, NORMAL_LOAD, duration)
    }
}

/// Callers resend requests long before their timeout, while the load exceeds the capacity.
fn retry_storm(regions: usize, duration: time::Duration) -> Pattern {
    let callers = Callers {
        resend_after_share: 0.1,
        max_resends: 8,
        ..Callers::default()
    };
    let (calm, peak) = (duration.mul_f64(0.3), duration.mul_f64(0.3));
    Pattern {
        callers,
        phases: phases(
            regions,
            &[
                (calm, NORMAL_LOAD),
                (peak, 2.0),
                (calm, NORMAL_LOAD),
                (duration - calm - peak - calm, NORMAL_LOAD),
            ],
        ),
        ..Pattern::steady("retry storm", regions, NORMAL_LOAD, duration)
    }
}

/// Adds a long-running operation that uses half of the slots' time on the same backend servers.
fn with_long_operation(dep: &Deployment) -> Deployment {
    let short: f64 = dep
        .ops
        .iter()
        .map(|op| op.share * op.typical.as_secs_f64())
        .sum();
    let long = Op {
        idempotent: true,
        worth: 1,
        typical: ms(120),
        timeout: s(10),
        share: 0.0,
    };
    let share = short / (short + long.typical.as_secs_f64());
    let mut dep = dep.clone();
    dep.ops.iter_mut().for_each(|op| op.share *= 1.0 - share);
    dep.ops.push(Op { share, ..long });
    dep
}
