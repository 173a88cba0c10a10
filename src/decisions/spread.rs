//! Decides how the remaining quota of a customer near its limit is spread over the quota's window.
//!
//! Load pattern: a customer sends several times its quota. Spent first come, first served, its quota
//! admits it completely for part of a window and refuses it completely for the rest, urgent requests
//! as well as others.
//!
//! While the demand would exceed the quota, requests are admitted at the rate at which the remaining
//! quota, with the usage that leaves the window, lasts for the window. The quota's burst stays usable:
//! spreading begins when part of the quota is used, and ends with the demand.

use std::time;

use super::policy;

/// Multiple of the quota that a customer's demand reaches before its remaining quota is spread. Lower
/// ones are reached by chance, and spreading would refuse customers that keep to their quota.
const MIN_DEMAND_RATIO: f64 = 1.5;

/// Share of the quota that remains when spreading begins.
const MAX_REMAINING_SHARE: f64 = 0.5;

/// Span whose requests may be admitted at once.
const CREDIT_SPAN: time::Duration = time::Duration::from_millis(250);

/// Minimum of these requests; with less than two, no rank would go before another.
const MIN_CREDIT: f64 = 2.0;

/// A customer's demand and its quota on one VM.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// The demand on all VMs, as a multiple of the quota.
    pub demand_ratio: f64,
    /// Part of the quota that remains.
    pub remaining_share: f64,
    /// Requests per second that would use this VM's part of the whole quota.
    pub quota_per_s: f64,
    /// Requests of this VM that leave the window within the next second.
    pub leaving_per_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Credit {
    requests: f64,
    at: policy::Moment,
    per_s: f64,
    most: f64,
}

/// The spreading of one customer's quota on one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread(Option<Credit>);

impl Spread {
    /// Updates the rate from recent usage, and begins or ends spreading.
    pub fn update(&mut self, now: policy::Moment, usage: &Usage) {
        let begins = usage.remaining_share < MAX_REMAINING_SHARE;
        if usage.demand_ratio <= MIN_DEMAND_RATIO || (self.0.is_none() && !begins) {
            self.0 = None;
            return;
        }
        let remaining_per_s = usage.quota_per_s * usage.remaining_share.max(0.0);
        let per_s = remaining_per_s + usage.leaving_per_s.min(usage.quota_per_s);
        self.gain(now);
        let (requests, at) = self.0.map_or((1.0, now), |c| (c.requests, c.at));
        self.0 = Some(Credit {
            requests,
            at,
            per_s,
            most: (per_s * CREDIT_SPAN.as_secs_f64()).max(MIN_CREDIT),
        });
    }

    fn gain(&mut self, now: policy::Moment) {
        if let Some(credit) = &mut self.0 {
            let span = now.saturating_sub(credit.at).as_secs_f64();
            credit.requests = (credit.requests + credit.per_s * span).min(credit.most);
            credit.at = now;
        }
    }

    /// Whether a request may be admitted. Each rank leaves a part of the credit to those before it;
    /// 0 goes first.
    pub fn admits(&mut self, now: policy::Moment, rank: u32) -> bool {
        self.gain(now);
        let rank = f64::from(rank);
        self.0
            .is_none_or(|credit| credit.requests >= 1.0 + (credit.most - 1.0) * rank / (rank + 1.0))
    }

    /// Whether the remaining quota is spread now.
    pub fn is_active(&self) -> bool {
        self.0.is_some()
    }

    /// Counts an admitted request.
    pub fn spend(&mut self) {
        if let Some(credit) = &mut self.0 {
            credit.requests -= 1.0;
        }
    }
}
