//! Counters of one run of the model.

use std::collections;
use std::time;

use crate::decisions::policy;

/// Results for callers and activity of the system over one run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Total worth of all calls.
    pub offered: u64,
    /// Total worth of the calls that were answered before their deadline.
    pub worth: u64,
    /// Numbers of calls and of answered calls, by operation.
    pub per_op: Vec<(u64, u64)>,
    /// Numbers of calls and of answered calls, excluding the most active callers.
    pub ordinary: (u64, u64),
    /// Latencies from the first request of a call to its answer, in microseconds, sorted.
    pub latencies_us: Vec<u32>,
    /// Longest time from a request to its refusal, in microseconds.
    pub slowest_refusal_us: u32,
    /// Refusals, by reason.
    pub refused: collections::BTreeMap<&'static str, u64>,
    /// Requests that were reported to the caller as having an unknown outcome.
    pub unknown: u64,
    /// Non-idempotent calls that ran more than once.
    pub second_runs: u64,
    /// Requests that were reported as not run although they ran.
    pub false_not_runs: u64,
    /// Requests that were settled never or more than once.
    pub unsettled: u64,
    /// Attempts that reached a backend server after the grace period of its planned stop.
    pub late_to_leaving: u64,
    /// Crashes of backend servers.
    pub crashes: u64,
    /// Attempts sent to backend servers.
    pub attempts: u64,
    /// Probes sent to backend servers.
    pub probes: u64,
    /// Total processing time of each backend server.
    pub busy: Vec<time::Duration>,
    /// Number of runs started on each backend server.
    pub runs: Vec<u64>,
    /// Peak share of each region's slots that were in use over one sampling window.
    pub peak_load: Vec<f64>,
    /// Requests sent between regions, by (from, to, step).
    pub shifted: collections::BTreeMap<(usize, usize, u64), u64>,
    /// Bytes sent between regions, by (from, to, second).
    pub link_bytes: collections::BTreeMap<(usize, usize, u64), u64>,
    /// Requests from callers, by (region, step).
    pub entered: collections::BTreeMap<(usize, u64), u64>,
}

impl Tally {
    /// Latency quantile of the answers, in milliseconds. `q` is from 0 to 1.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        if self.latencies_us.is_empty() {
            return 0.0;
        }
        let last = self.latencies_us.len() - 1;
        let at = (last as f64 * q).round() as usize;
        f64::from(self.latencies_us[at]) / 1e3
    }

    /// Runs of the busiest backend server, divided by the mean of all backend servers.
    pub fn max_run_ratio(&self) -> f64 {
        let total: u64 = self.runs.iter().sum();
        let max_runs = self.runs.iter().max().copied().unwrap_or(0);
        max_runs as f64 * self.runs.len() as f64 / (total.max(1) as f64)
    }

    /// Violated invariants: repeated runs, false "not run" outcomes, requests without exactly one
    /// settlement, and new work for backend servers after the grace period of their planned stop.
    pub fn violations(&self) -> u64 {
        self.second_runs + self.false_not_runs + self.unsettled + self.late_to_leaving
    }

    pub(super) fn refuse(&mut self, why: policy::Refusal) {
        let name = match why {
            policy::Refusal::Overload => "overload",
            policy::Refusal::Deadline => "deadline",
            policy::Refusal::CallerShare => "caller_share",
            policy::Refusal::NoBackend => "no_backend",
            policy::Refusal::Quarantined => "quarantined",
            policy::Refusal::Shed => "shed",
            policy::Refusal::CallerGone => "caller_gone",
            policy::Refusal::Stopping => "stopping",
        };
        *self.refused.entry(name).or_default() += 1;
    }
}
