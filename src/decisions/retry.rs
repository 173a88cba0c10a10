//! Decides which requests may be sent again, and limits the number of retries and hedges.
//!
//! Load pattern: overload or failing backend servers. Without a budget each failure causes several
//! attempts, these cause more failures, and a short peak becomes a lasting overload. Symptom:
//! attempts outnumber requests several times.
//!
//! A non-idempotent request may have run once it was sent, unless the receiver reports that it
//! refused it or no byte reached the receiver; otherwise it is not sent again. Retries and hedges
//! share one token bucket, which arriving requests fill.

use std::time;

use super::{policy, range};
use policy::AttemptOutcome;

/// Thresholds of retries and hedges.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries per request in the long run. A tenth limits extra load to a tenth, whatever fails.
    pub budget_ratio: f64,
    /// Capacity of the budget: retries that may occur at once after a period without any.
    pub burst: f64,
    /// Attempts after the first for one request.
    pub max_retries: u32,
    /// A read is hedged after this many times its usual duration. Durations vary by about a half,
    /// and 99 of 100 answers take less than four times the usual duration.
    pub hedge_after_ratio: f64,
    /// Shortest delay before a hedge, because ticks are 10 ms apart.
    pub min_hedge_delay: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            budget_ratio: 0.1,
            burst: 20.0,
            max_retries: 3,
            hedge_after_ratio: 4.0,
            min_hedge_delay: time::Duration::from_millis(20),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("retry.share", self.budget_ratio, 0.0..=0.5)?;
        range::check("retry.burst", self.burst, 0.0..=10_000.0)?;
        range::check("retry.most", f64::from(self.max_retries), 0.0..=10.0)?;
        range::check("retry.hedge_after", self.hedge_after_ratio, 1.0..=1_000.0)?;
        let min_delay = self.min_hedge_delay.as_secs_f64();
        range::check("retry.hedge_least", min_delay, 0.0..=60.0)
    }
}

/// The token bucket for retries and hedges.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(cfg: &Config) -> Self {
        Self { tokens: cfg.burst }
    }

    /// Adds the tokens of one arriving request.
    pub fn refill(&mut self, cfg: &Config) {
        self.tokens = (self.tokens + cfg.budget_ratio).min(cfg.burst);
    }

    /// Takes a token for a retry or hedge. Returns whether there was one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Whether a request may have run when its attempt ended this way.
pub fn may_have_run(how: AttemptOutcome) -> bool {
    !matches!(how, AttemptOutcome::Shed | AttemptOutcome::NotSent)
}

/// Whether a request may be sent again when its attempt ended this way.
pub fn may_retry(idempotent: bool, how: AttemptOutcome) -> bool {
    match how {
        AttemptOutcome::Shed | AttemptOutcome::NotSent => true,
        AttemptOutcome::Failed | AttemptOutcome::Lost => idempotent,
        AttemptOutcome::Answered | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => false,
    }
}

/// When to hedge a read that was sent at `sent_at`.
pub fn hedge_at(
    cfg: &Config,
    sent_at: policy::Moment,
    typical: time::Duration,
    slowdown: f64,
) -> policy::Moment {
    let delay = typical.mul_f64(cfg.hedge_after_ratio * slowdown.max(1.0));
    sent_at + delay.max(cfg.min_hedge_delay)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A backend server crashes during a booking. A retry could run the booking twice.
    #[test]
    fn a_booking_that_may_have_run_is_not_sent_again() {
        for how in [
            AttemptOutcome::Failed,
            AttemptOutcome::Lost,
            AttemptOutcome::TimedOut,
            AttemptOutcome::Cancelled,
        ] {
            assert!(!may_retry(false, how), "{how:?}");
        }
        assert!(
            may_retry(false, AttemptOutcome::Shed) && may_retry(false, AttemptOutcome::NotSent)
        );
    }

    #[test]
    fn retries_are_limited_to_a_share_of_requests() {
        let cfg = Config {
            burst: 5.0,
            ..Config::default()
        };
        let mut budget = Budget::new(&cfg);
        let mut taken = 0;
        for _ in 0..1_000 {
            budget.refill(&cfg);
            taken += u32::from(budget.take());
        }
        assert!((100..=105).contains(&taken), "{taken}");
    }
}
