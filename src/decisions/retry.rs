//! Second attempts: who may have one, and how many there are.
//!
//! Load pattern: overload and failing backend servers. Without a budget each failure becomes
//! several attempts, the attempts cause more failures, and a short peak turns into one that does
//! not end. One notices it as attempts that are a multiple of requests.
//!
//! A non-idempotent request may have run as soon as it was sent, unless the other side says that
//! it refused it or no byte reached it; after that it is never sent again. All second attempts,
//! hedges included, draw on one budget that first attempts fill.

use std::time;

use super::{policy, range};
use policy::Ended;

/// Thresholds of second attempts.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Second attempts for each first one, in the long run. A tenth bounds the extra load to a
    /// tenth, whatever fails.
    pub share: f64,
    /// Second attempts that may come at once, after a calm time.
    pub burst: f64,
    /// Attempts after the first for one request.
    pub most: u32,
    /// A read is tried elsewhere as well once it has taken this many times its usual time.
    /// Work varies by about a half, and four times it is beyond 99 of 100 answers.
    pub hedge_after: f64,
    /// It is not tried elsewhere sooner than this, because ticks are 10 ms apart.
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
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("retry.share", self.share, 0.0..=0.5)?;
        range::check("retry.burst", self.burst, 0.0..=10_000.0)?;
        range::check("retry.most", f64::from(self.most), 0.0..=10.0)?;
        range::check("retry.hedge_after", self.hedge_after, 1.0..=1_000.0)?;
        let least = self.hedge_least.as_secs_f64();
        range::check("retry.hedge_least", least, 0.0..=60.0)
    }
}

/// What is left for second attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// A full budget.
    pub fn new(cfg: &Config) -> Self {
        Self { left: cfg.burst }
    }

    /// A first attempt was made.
    pub fn fill(&mut self, cfg: &Config) {
        self.left = (self.left + cfg.share).min(cfg.burst);
    }

    /// Takes one second attempt, if there is one left.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Whether a request whose attempt ended so may have run.
pub fn may_have_run(how: Ended) -> bool {
    !matches!(how, Ended::Shed | Ended::NotSent)
}

/// Whether a request may be sent again after an attempt that ended so.
pub fn allowed(idempotent: bool, how: Ended) -> bool {
    match how {
        Ended::Shed | Ended::NotSent => true,
        Ended::Failed | Ended::Lost => idempotent,
        Ended::Answered | Ended::TimedOut | Ended::Cancelled => false,
    }
}

/// When a read that was sent at `sent` is tried elsewhere as well.
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

    /// A backend server dies in the middle of a booking. Sent again, the booking could run twice.
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
