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
use policy::Ended;

/// Thresholds of retries and hedges.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries per request in the long run. A tenth limits extra load to a tenth, whatever fails.
    pub share: f64,
    /// Capacity of the budget: retries that may occur at once after a period without any.
    pub burst: f64,
    /// Attempts after the first for one request.
    pub most: u32,
    /// A read is hedged after this many times its usual duration. Durations vary by about a half,
    /// and 99 of 100 answers take less than four times the usual duration.
    pub hedge_after: f64,
    /// Shortest delay before a hedge, because ticks are 10 ms apart.
    pub hedge_least: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            share: 0.1,
            burst: 20.0,
            most: 3,
            hedge_after: 4.0,
            hedge_least: time::Duration::from_millis(20),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("retry.share", self.share, 0.0..=0.5)?;
        range::check("retry.burst", self.burst, 0.0..=10_000.0)?;
        range::check("retry.most", f64::from(self.most), 0.0..=10.0)?;
        range::check("retry.hedge_after", self.hedge_after, 1.0..=1_000.0)?;
        let least = self.hedge_least.as_secs_f64();
        range::check("retry.hedge_least", least, 0.0..=60.0)
    }
}

/// The token bucket for retries and hedges.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(cfg: &Config) -> Self {
        Self { left: cfg.burst }
    }

    /// Adds the tokens of one arriving request.
    pub fn fill(&mut self, cfg: &Config) {
        self.left = (self.left + cfg.share).min(cfg.burst);
    }

    /// Takes a token for a retry or hedge. Returns whether there was one.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Whether a request may have run when its attempt ended this way.
pub fn may_have_run(how: Ended) -> bool {
    !matches!(how, Ended::Shed | Ended::NotSent)
}

/// Whether a request may be sent again when its attempt ended this way.
pub fn allowed(idempotent: bool, how: Ended) -> bool {
    match how {
        Ended::Shed | Ended::NotSent => true,
        Ended::Failed | Ended::Lost => idempotent,
        Ended::Answered | Ended::TimedOut | Ended::Cancelled => false,
    }
}

/// When to hedge a read that was sent at `sent`.
pub fn hedge_at(
    cfg: &Config,
    sent: policy::Moment,
    typical: time::Duration,
    pace: f64,
) -> policy::Moment {
    let wait = typical.mul_f64(cfg.hedge_after * pace.max(1.0));
    sent + wait.max(cfg.hedge_least)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A backend server crashes during a booking. A retry could run the booking twice.
    #[test]
    fn a_booking_that_may_have_run_is_not_sent_again() {
        for how in [
            Ended::Failed,
            Ended::Lost,
            Ended::TimedOut,
            Ended::Cancelled,
        ] {
            assert!(!allowed(false, how), "{how:?}");
        }
        assert!(allowed(false, Ended::Shed) && allowed(false, Ended::NotSent));
    }

    #[test]
    fn the_budget_is_a_share_of_first_attempts() {
        let cfg = Config {
            burst: 5.0,
            ..Config::default()
        };
        let mut budget = Budget::new(&cfg);
        let mut taken = 0;
        for _ in 0..1_000 {
            budget.fill(&cfg);
            taken += u32::from(budget.take());
        }
        assert!((100..=105).contains(&taken), "{taken}");
    }
}
