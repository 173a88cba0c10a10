//! How often this process may call the platform's store.
//!
//! The store answers about 2,000 reads a second for the whole fleet, and a waiting watch counts as
//! one. After an outage every process wants to read at once: without a budget some thousand
//! processes that try again every few milliseconds would hold the store down, which one would
//! notice as an outage that outlasts its cause. So a [`Budget`] spaces the calls (a token bucket),
//! waits longer after each failure with jitter (backoff), and after several failures in a row lets
//! one call at a time through (circuit breaker) until one of them is answered.
//!
//! Thresholds. A reader in its ordinary state makes about 1.8 calls a second (two watches of 25 s,
//! two full reads every 3 s, a list of VMs every second), so [`Limits::per_s`] leaves it twice that. The longest wait
//! decides how soon settings move again after an outage and has to stay well under the 5 s, so
//! [`Limits::max_backoff`] is 2 s. That is enough while each availability zone has one reader. A
//! process that hears no peers may be one of thousands that all read for themselves: its wait
//! grows with the fleet so that all of them together stay under 1,000 calls a second.

use std::time;

use rand::RngExt;
use rand::SeedableRng;

use crate::decisions::policy;

/// Calls a second that the whole fleet may make while it comes back from an outage: half of what
/// the store answers.
const FLEET_CALLS_PER_S: f64 = 1_000.0;

/// Calls that one process needs until it is up to date: two lists, two watches, the VMs.
const CALLS_TO_CATCH_UP: f64 = 5.0;

data! {
    /// The limits of one process's calls.
    #[derive(Copy)]
    pub struct Limits {
        /// Calls a second, in the long run.
        pub per_s: f64,
        /// Calls that may be made at once after a quiet time.
        pub burst: f64,
        /// The wait after a first failure.
        pub min_backoff: time::Duration,
        /// The longest wait after failures.
        pub max_backoff: time::Duration,
        /// Failures in a row that open the circuit.
        pub failures: u32,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            per_s: 4.0,
            burst: 8.0,
            min_backoff: time::Duration::from_millis(100),
            max_backoff: time::Duration::from_secs(2),
            failures: 3,
        }
    }
}

/// One process's budget of store calls.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    tokens: f64,
    filled: policy::Moment,
    failures: u32,
    not_before: policy::Moment,
    waiting: u32,
    fleet: usize,
    rng: rand_chacha::ChaCha8Rng,
}

impl Budget {
    /// A full budget. `seed` sets the jitter, and must differ between processes.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            tokens: limits.burst,
            filled: policy::Moment::ZERO,
            failures: 0,
            not_before: policy::Moment::ZERO,
            waiting: 0,
            fleet: 0,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes one call from the budget. False: not now.
    pub fn take(&mut self, now: policy::Moment) -> bool {
        self.fill(now);
        let probing = self.is_open() && self.waiting > 0;
        if now < self.not_before || probing || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.waiting += 1;
        true
    }

    /// A call that was taken has ended. `answered`: the store answered, be it with a refusal.
    pub fn ended(&mut self, now: policy::Moment, answered: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        if answered {
            if self.is_open() {
                // Many processes learn at this moment that the store is back.
                self.tokens = self.tokens.min(1.0);
                self.filled = now;
            }
            self.failures = 0;
            self.not_before = self.not_before.min(now);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.not_before = self.not_before.max(now + self.backoff());
    }

    /// How many processes may be reading for themselves beside this one: 0 when a reader of its
    /// own availability zone does it for all.
    pub fn set_fleet(&mut self, processes: usize) {
        self.fleet = processes;
    }

    /// Whether the store is taken to be out of reach.
    pub fn is_open(&self) -> bool {
        self.failures >= self.limits.failures
    }

    fn backoff(&mut self) -> time::Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        let wait = self.limits.min_backoff * 2_u32.pow(doublings);
        let longest = self.longest();
        let wait = if self.is_open() {
            wait.max(longest / 2).min(longest)
        } else {
            wait.min(longest)
        };
        // Half fixed, half drawn: processes that failed together do not come back together.
        wait / 2 + (wait / 2).mul_f64(self.rng.random())
    }

    fn longest(&self) -> time::Duration {
        #[expect(clippy::cast_precision_loss, reason = "fleets are far below 2^52")]
        let fleet = self.fleet as f64;
        let catch_up = fleet * CALLS_TO_CATCH_UP / FLEET_CALLS_PER_S;
        self.limits.max_backoff + time::Duration::from_secs_f64(catch_up)
    }

    fn fill(&mut self, now: policy::Moment) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.limits.per_s).min(self.limits.burst);
        self.filled = self.filled.max(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> policy::Moment {
        policy::Moment::from_millis(ms)
    }

    #[test]
    fn calls_are_spaced() {
        let mut budget = Budget::new(Limits::default(), 1);
        let mut taken = 0;
        for at in 0..600 {
            if budget.take(ms(at * 100)) {
                budget.ended(ms(at * 100), true);
                taken += 1;
            }
        }
        assert!((240..=248).contains(&taken), "{taken} calls in a minute");
    }

    /// The store is down for a minute while 4,400 processes, cut off from their peers, all try to
    /// read. When it comes back they must not take it down again, or the operators' next change
    /// waits on an outage that has no cause any more.
    #[test]
    fn an_outage_ends_without_a_stampede() {
        let fleet = 4_400;
        let mut budgets: Vec<_> = (0..fleet)
            .map(|seed| {
                let mut budget = Budget::new(Limits::default(), seed);
                budget.set_fleet(4_400);
                budget
            })
            .collect();
        let mut needed = vec![5; budgets.len()];
        let mut worst = 0;
        let mut in_second = 0;
        let mut caught_up = 0;
        for at in 0..1_200 {
            let now = ms(at * 100);
            let up = at >= 600;
            if at % 10 == 0 {
                in_second = 0;
            }
            for (budget, needed) in budgets.iter_mut().zip(&mut needed) {
                if *needed > 0 && budget.take(now) {
                    budget.ended(now, up);
                    if up {
                        in_second += 1;
                        *needed -= 1;
                        caught_up = at;
                    }
                }
            }
            worst = worst.max(in_second);
        }
        assert!(worst <= 2_000, "{worst} calls in the worst second");
        assert!(
            needed.iter().all(|n| *n == 0),
            "all caught up at {caught_up}"
        );
    }

    /// A call is lost and the next one is answered. Waiting long after one loss would hold back
    /// settings for nothing.
    #[test]
    fn one_failure_costs_little_and_many_open_the_circuit() {
        let mut budget = Budget::new(Limits::default(), 1);
        assert!(budget.take(ms(0)));
        budget.ended(ms(0), false);
        assert!(budget.take(ms(100)));
        for at in 0..3 {
            budget.ended(ms(100 + at), false);
        }
        assert!(budget.is_open() && !budget.take(ms(500)));
        assert!(budget.take(ms(2_200)));
        assert!(!budget.take(ms(2_300)), "one call at a time");
        budget.ended(ms(2_300), true);
        assert!(!budget.is_open());
    }
}
