//! Results of the naive policy and of [`dispatch::Dispatch`] on the same calls of each pattern.

use std::time;

use super::{Deployment, best, load, patterns, run, tally};
use crate::decisions::{cross_az, dispatch, naive};

/// The results of both policies for one pattern on one deployment.
#[derive(Clone, Debug)]
pub struct Row {
    /// Pattern and deployment.
    pub case: patterns::Case,
    /// Upper bound on the worth that the slots can answer.
    pub best: f64,
    /// Results of the naive policy.
    pub naive: tally::Tally,
    /// Results of [`dispatch::Dispatch`].
    pub dispatch: tally::Tally,
}

/// Runs one pattern with both policies.
pub fn play(case: patterns::Case) -> Row {
    let calls = load::calls(&case.dep, &case.pattern);
    let slots = case.dep.total_slots();
    let make_naive = |_: &run::Site| naive::Naive::default();
    let make_dispatch = |site: &run::Site| dispatch_policy(&case.dep, site);
    let naive = run::run(&case.dep, &case.pattern, &calls, make_naive, |_, _| {});
    let dispatch = run::run(&case.dep, &case.pattern, &calls, make_dispatch, |_, _| {});
    Row {
        best: best::worth(&case.dep, &calls, |_| slots),
        naive,
        dispatch,
        case,
    }
}

/// Creates the policy that an entry VM runs in production.
pub fn dispatch_policy(dep: &Deployment, site: &run::Site) -> dispatch::Dispatch {
    let cfg = dispatch::Config {
        seed: site.index as u64,
        ..dispatch::Config::default()
    };
    let az = dep.azs[site.az].id.clone();
    dispatch::Dispatch::new(
        cfg,
        cross_az::CrossAzRouter::new(cross_az::Config::default(), az),
    )
}

impl Row {
    /// Worth answered as a share of the upper bound, by the naive policy and by `Dispatch`.
    pub fn shares(&self) -> (f64, f64) {
        let share = |t: &tally::Tally| t.worth as f64 / self.best;
        (share(&self.naive), share(&self.dispatch))
    }

    /// Worth answered by `Dispatch`, divided by that of the naive policy.
    pub fn worth_ratio(&self) -> f64 {
        self.dispatch.worth as f64 / self.naive.worth as f64
    }

    /// 99th percentile latency of `Dispatch`, divided by that of the naive policy.
    pub fn p99_ratio(&self) -> f64 {
        self.dispatch.quantile_ms(0.99) / self.naive.quantile_ms(0.99)
    }
}

/// Last line of the table: the smallest worth ratio at twice the capacity, the largest p99 ratio
/// with a slow backend server, and the number of invariants that `Dispatch` violated.
pub fn summary(rows: &[Row]) -> String {
    let worth = rows
        .iter()
        .filter(|r| r.case.saturated)
        .map(Row::worth_ratio);
    let p99 = rows.iter().filter(|r| r.case.slow).map(Row::p99_ratio);
    let violations: u64 = rows.iter().map(|r| r.dispatch.violations()).sum();
    format!(
        "policy: worth ratio {:.2}, p99 ratio {:.2}, violations {violations}",
        worth.fold(f64::INFINITY, f64::min),
        p99.fold(0.0, f64::max),
    )
}

/// How long calls arrive in each pattern of the printed table.
pub const PATTERN_DURATION: time::Duration = time::Duration::from_secs(30);
