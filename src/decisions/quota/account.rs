//! Counters of one customer on this VM.

use std::time;

use super::{Bound, Limit, PeerUsage, UsageReport};
use crate::decisions::{policy, spread, window};

/// Counters of one customer on this VM.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) limit: Limit,
    pub(super) used: window::Counts,
    pub(super) demand: window::Counts,
    /// Number of requests that may be admitted until the next cap, and when the cap was computed.
    pub(super) cap: f64,
    pub(super) cap_set_at: Option<policy::Moment>,
    /// Whether the customer was near its limit at the last check.
    pub(super) near_limit: bool,
    /// How the remaining quota is spread over the window.
    pub(super) spread: spread::Spread,
    /// Last report sent to peers.
    pub(super) report: UsageReport,
    /// This VM's share of the target by demand, as the peers compute it, and when it was computed.
    pub(super) share: f64,
    pub(super) share_set_at: Option<policy::Moment>,
    /// Since when peers have received reports of the customer.
    pub(super) reported_since: Option<policy::Moment>,
    /// When the admission rate was last read, and requests admitted since then.
    pub(super) rate_read_at: policy::Moment,
    pub(super) admitted_since: f64,
}

impl Account {
    pub(super) fn new(bound: &Bound, limit: Limit) -> Self {
        Self {
            limit,
            used: window::Counts::new(bound.window),
            demand: window::Counts::new(bound.window),
            cap: 0.0,
            cap_set_at: None,
            near_limit: false,
            spread: spread::Spread::default(),
            report: UsageReport::default(),
            share: 0.0,
            share_set_at: None,
            reported_since: None,
            rate_read_at: policy::Moment::ZERO,
            admitted_since: 0.0,
        }
    }

    /// Counts an admitted request.
    pub(super) fn count_admitted(&mut self, now: policy::Moment) {
        self.used.add(now, 1.0);
        self.admitted_since += 1.0;
    }

    /// Requests admitted per second since the previous call, without those that chance alone
    /// explains. Resets the measurement.
    pub(super) fn take_admitted_per_s(&mut self, now: policy::Moment) -> f64 {
        /// Minimum span in seconds; a shorter one gives no meaningful rate.
        const MIN_RATE_SPAN_S: f64 = 0.05;
        /// Number of requests that may arrive close together by chance.
        const CHANCE_REQUEST_COUNT: f64 = 2.0;
        let span = now.saturating_sub(self.rate_read_at).as_secs_f64();
        let admitted_since = std::mem::take(&mut self.admitted_since);
        self.rate_read_at = now;
        (admitted_since - CHANCE_REQUEST_COUNT).max(0.0) / span.max(MIN_RATE_SPAN_S)
    }
}

/// Recent admissions of this VM during a surge. A peer whose reports are late may have been
/// partitioned when the surge began, so its admissions are assumed to rise as on this VM.
#[derive(Debug)]
pub(super) struct Surge {
    pub(super) used: window::Counts,
    pub(super) now: policy::Moment,
}

impl Surge {
    pub(super) fn of(account: &Account, now: policy::Moment) -> Self {
        Self {
            used: account.used.clone(),
            now,
        }
    }

    /// Estimated usage of a peer if its admissions rise as on this VM; 0 if this VM has no surge.
    pub(super) fn estimated_used(
        &mut self,
        row: &PeerUsage,
        age: time::Duration,
        window: time::Duration,
    ) -> f64 {
        /// Ratio of recent to average admissions above which there is a surge.
        const SURGE_RATIO: f64 = 1.5;
        /// Maximum ratio of a peer's estimated admissions to those of this VM.
        const MAX_DEMAND_RATIO: f64 = 2.0;
        let part = (age.as_secs_f64() / window.as_secs_f64()).min(1.0);
        let steps = (part * window::STEPS as f64).ceil();
        let recent = self.used.last(self.now, steps as usize);
        let usual = self.used.sum(self.now) * steps / window::STEPS as f64;
        if recent <= usual * SURGE_RATIO {
            return 0.0;
        }
        row.report.used * (1.0 - part) + recent * row.ratio.min(MAX_DEMAND_RATIO)
    }
}
