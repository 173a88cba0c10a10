//! The bound over all entry VMs, and the quotas that it is computed from.

use std::time;

use super::Account;
use crate::decisions::policy;

/// Fleet-wide bound on the admitted requests of one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Length of the sliding window.
    pub window: time::Duration,
    /// Requests admitted above the quota, as a share of the quota.
    pub overshoot_ratio: f64,
    /// Fixed number of requests admitted on top of that.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(5),
            overshoot_ratio: 0.1,
            slack: 20.0,
        }
    }
}

/// Quota of one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Additional requests at one moment.
    pub burst: f64,
}

impl Bound {
    /// Number of requests per window that a customer within its limit sends at most.
    pub fn allowed(&self, limit: &Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Maximum number of requests that the fleet admits in one window.
    pub fn max_admitted(&self, limit: &Limit) -> f64 {
        self.allowed(limit) * (1.0 + self.overshoot_ratio) + self.slack
    }

    /// Target for the admitted requests per window. The margin below the bound covers requests that
    /// are admitted but not yet reported: a share of the bound in a surge, and single requests on
    /// many VMs for a small limit.
    pub(super) fn target(&self, limit: &Limit) -> f64 {
        const SURGE_MARGIN_RATIO: f64 = 0.09;
        const SLACK_MARGIN_RATIO: f64 = 0.5;
        let max_admitted = self.max_admitted(limit);
        let margin = f64::max(
            max_admitted * SURGE_MARGIN_RATIO,
            self.slack * SLACK_MARGIN_RATIO,
        );
        (max_admitted - margin).max(self.allowed(limit).min(max_admitted))
    }
}

impl Bound {
    /// Whether the account's cap was computed within the last window.
    pub(super) fn is_recent(&self, account: &Account, now: policy::Moment) -> bool {
        account
            .cap_set_at
            .is_some_and(|at| now.saturating_sub(at) < self.window)
    }
}
