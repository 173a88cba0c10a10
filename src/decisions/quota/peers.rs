//! What this VM knows of its peers.

use std::collections;
use std::time;

use super::{JOINT_RESTART_SPREAD_MS, NameHash};
use crate::decisions::policy;

/// Wall-clock start time of a process, in milliseconds.
pub type StartMs = u64;

/// Time without a report after which a peer counts as silent. Each VM reports at least twice per
/// second, and one message may be lost.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(1300);

/// Time after which a peer that reports again has reported all customers, also if they do not fit into
/// one datagram. It does so when it receives a report of this VM again, and every two seconds.
const FULL_REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// Usual upper bound on the propagation delay of a report.
pub(super) const REPORT_PROPAGATION_DELAY: time::Duration = time::Duration::from_millis(100);

/// Usage of one customer as reported by one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageReport {
    /// Requests admitted in the window that ends with the report.
    pub used: f64,
    /// Requests admitted per second since the previous report.
    pub admitted_per_s: f64,
    /// Requests in the last fifth of the window, admitted or refused.
    pub demand: f64,
}

/// Last report of one peer on one customer.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerUsage {
    pub(super) report: UsageReport,
    /// The peer's share of the target by demand at the last report, in addition to its equal part.
    pub(super) share: f64,
    /// The peer's demand divided by this VM's demand at the last report.
    pub(super) ratio: f64,
    /// Since when the peer has reported the customer.
    pub(super) since: policy::Moment,
}

impl Default for PeerUsage {
    /// A peer that has reported nothing may have the same demand as this VM.
    fn default() -> Self {
        Self {
            report: UsageReport::default(),
            share: 0.0,
            ratio: 1.0,
            since: policy::Moment::ZERO,
        }
    }
}

/// State of one peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) reported_at: policy::Moment,
    /// Identifies the process; a later process of the same VM has a larger value.
    pub(super) start_ms: StartMs,
    pub(super) rows: collections::HashMap<NameHash, PeerUsage>,
    /// Usage of the peer's previous process, and the time until which it may have admitted requests.
    pub(super) previous_usage: collections::HashMap<NameHash, f64>,
    pub(super) previous_end: policy::Moment,
    /// From when on the peer admits nothing, because its process is in a planned stop.
    pub(super) ends_at: Option<policy::Moment>,
    /// When a peer reported again after more than a window without reports, until it has
    /// reported all customers.
    pub(super) returned_at: Option<policy::Moment>,
    /// Whether callers were sent to the peer when it last reported.
    pub(super) gets_callers: bool,
}

impl Peer {
    pub(super) fn has_ended(&self, now: policy::Moment) -> bool {
        self.ends_at.is_some_and(|at| at <= now)
    }

    /// Whether the peer's process started too long before one that started at `start_ms` for both to
    /// have been killed together.
    pub(super) fn started_before(&self, start_ms: StartMs) -> bool {
        self.start_ms.saturating_add(JOINT_RESTART_SPREAD_MS) < start_ms
    }

    /// Whether the peer may have admitted requests that it has not reported.
    pub(super) fn is_silent(&self, now: policy::Moment) -> bool {
        let reports_in_part = self
            .returned_at
            .is_some_and(|at| now.saturating_sub(at) <= FULL_REPORT_TIMEOUT);
        let is_silent = now.saturating_sub(self.reported_at) > SILENCE_TIMEOUT;
        !self.has_ended(now) && (is_silent || reports_in_part)
    }

    /// Usage of the previous process, as far as it still counts.
    pub(super) fn previous_used(
        &self,
        now: policy::Moment,
        customer: NameHash,
        window: time::Duration,
    ) -> f64 {
        let left = left_part(now, self.previous_end, window);
        self.previous_usage
            .get(&customer)
            .map_or(0.0, |used| used * left)
    }
}

/// Part of the usage of a process that ended at `end` that still counts in the window. A customer
/// above its quota is admitted in bursts, so all of it counts for half of the window; then it falls
/// evenly.
pub(super) fn left_part(now: policy::Moment, end: policy::Moment, window: time::Duration) -> f64 {
    let age = now.saturating_sub(end).as_secs_f64();
    (2.0 * (1.0 - age / window.as_secs_f64())).clamp(0.0, 1.0)
}

impl UsageReport {
    /// Weight by which the target is split while VMs are partitioned. Usage counts because the
    /// demand of a small customer in the last fifth of a window is mostly chance.
    pub(super) fn weight(&self) -> f64 {
        /// Added for each VM with demand: differences of a few requests are chance.
        const CHANCE_REQUEST_COUNT: f64 = 4.0;
        match self.used + self.demand {
            count if count > 0.0 => count + CHANCE_REQUEST_COUNT,
            _ => 0.0,
        }
    }
}

impl PeerUsage {
    /// Estimated current usage of the peer, extrapolated at its last reported rate.
    pub(super) fn extrapolated_used(&self, age: time::Duration, window: time::Duration) -> f64 {
        let leaves = self.report.used / window.as_secs_f64();
        let grows = (self.report.admitted_per_s - leaves).max(0.0);
        self.report.used + grows * (age + REPORT_PROPAGATION_DELAY).as_secs_f64()
    }
}
