//! What one run counts.

use std::collections;
use std::time;

use crate::decisions::policy;

/// What callers got and what the system did, over one run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The worth of all calls.
    pub offered: u64,
    /// The worth of the calls that were answered in time.
    pub worth: u64,
    /// Calls and answered calls of each operation.
    pub per_op: Vec<(u64, u64)>,
    /// Calls and answered calls of callers outside the few that ask most.
    pub ordinary: (u64, u64),
    /// From a caller's first asking to its answer, in microseconds, sorted.
    pub latencies_us: Vec<u32>,
    /// From asking to a refusal, in microseconds: the longest.
    pub slowest_refusal_us: u32,
    /// Refusals by cause.
    pub refused: collections::BTreeMap<&'static str, u64>,
    /// Requests whose fate the caller was told is unknown.
    pub unknown: u64,
    /// Calls of non-idempotent operations that ran more than once.
    pub second_runs: u64,
    /// Requests that were called not run, but ran.
    pub false_not_runs: u64,
    /// Requests that got no settlement, or two.
    pub unsettled: u64,
    /// Work sent to a backend server that had been leaving for longer than it may.
    pub late_to_leaving: u64,
    /// Crashes of backend servers.
    pub crashes: u64,
    /// Attempts that were sent to backend servers.
    pub attempts: u64,
    /// Probes.
    pub probes: u64,
    /// Time that each backend server worked.
    pub busy: Vec<time::Duration>,
    /// Runs that each backend server began.
    pub runs: Vec<u64>,
    /// The peak number of jobs in each region's slots from other regions, and in all, as shares
    /// of its slots, over one sampling window.
    pub peak_load: Vec<f64>,
    /// Requests between regions by (from, to, step).
    pub shifted: collections::BTreeMap<(usize, usize, u64), u64>,
    /// Bytes between regions by (from, to, second).
    pub link_bytes: collections::BTreeMap<(usize, usize, u64), u64>,
    /// Requests that entered by (region, step).
    pub entered: collections::BTreeMap<(usize, u64), u64>,
}

impl Tally {
    /// The latency that this share of the answers stayed within, in milliseconds.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        if self.latencies_us.is_empty() {
            return 0.0;
        }
        let last = self.latencies_us.len() - 1;
        let at = (last as f64 * q).round() as usize;
        f64::from(self.latencies_us[at]) / 1e3
    }

    /// Runs of the hottest backend server against the mean.
    pub fn hottest(&self) -> f64 {
        let total: u64 = self.runs.iter().sum();
        let most = self.runs.iter().max().copied().unwrap_or(0);
        most as f64 * self.runs.len() as f64 / (total.max(1) as f64)
    }

    /// Broken promises: second runs, false refusals, requests without exactly one settlement, and
    /// new work for backend servers that leave.
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
