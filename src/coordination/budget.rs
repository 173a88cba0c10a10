//! Limits how often this process calls the platform's store.
//!
//! The store answers about 2,000 reads a second for the whole fleet, and a waiting watch counts as
//! one. Without a budget, thousands of processes that retry every few milliseconds after an outage
//! would overload the store and prolong the outage beyond its cause. A [`Budget`] limits the call
//! rate (token bucket), waits longer after each failure with jitter (backoff), and after several
//! consecutive failures permits one call at a time until one is answered (circuit breaker).
//!
//! A reader normally makes about 1.8 calls a second (two watches of 25 s, two full reads every 3 s,
//! a list of VMs every second), so [`Limits::per_s`] permits about twice that. The longest backoff
//! bounds how soon settings are distributed again after an outage and must stay well under the
//! required 5 s, so [`Limits::max_backoff`] is 2 s. That suffices while each availability zone has
//! one reader. A process without linked peers may be one of thousands that all read the store, so
//! its backoff grows with the fleet to keep their sum under 1,000 calls a second.

use std::time;

use rand::RngExt;
use rand::SeedableRng;

use crate::decisions::policy;

/// Calls a second by the whole fleet during recovery from an outage: half of the store's capacity.
const MAX_FLEET_CALLS_PER_S: f64 = 1_000.0;

/// Calls that one process needs to catch up: two full reads, two watches, the list of VMs.
const CATCH_UP_CALL_COUNT: f64 = 5.0;

data! {
    /// The limits of one process's store calls.
    #[derive(Copy)]
    pub struct Limits {
        /// Sustained calls a second.
        pub per_s: f64,
        /// Calls permitted at once after a time without calls.
        pub burst: f64,
        /// The backoff after the first failure.
        pub min_backoff: time::Duration,
        /// The longest backoff.
        pub max_backoff: time::Duration,
        /// Consecutive failures that open the circuit.
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
    refilled: policy::Moment,
    failures: u32,
    not_before: policy::Moment,
    in_flight: u32,
    other_readers: usize,
    rng: rand_chacha::ChaCha8Rng,
}

impl Budget {
    /// Creates a full budget. `seed` seeds the jitter and must differ between processes.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            tokens: limits.burst,
            refilled: policy::Moment::ZERO,
            failures: 0,
            not_before: policy::Moment::ZERO,
            in_flight: 0,
            other_readers: 0,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes a token for one call. False: the call must wait.
    pub fn try_take(&mut self, now: policy::Moment) -> bool {
        self.refill(now);
        let probe_in_flight = self.is_open() && self.in_flight > 0;
        if now < self.not_before || probe_in_flight || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        true
    }

    /// Records the end of a permitted call. `answered`: the store answered, even with a refusal.
    pub fn call_ended(&mut self, now: policy::Moment, answered: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if answered {
            if self.is_open() {
                // Many processes detect the store's recovery at the same time.
                self.tokens = self.tokens.min(1.0);
                self.refilled = now;
            }
            self.failures = 0;
            self.not_before = self.not_before.min(now);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.not_before = self.not_before.max(now + self.backoff());
    }

    /// Sets how many other processes may be reading the store on their own: 0 while a reader reads
    /// for the availability zone.
    pub fn set_other_readers(&mut self, processes: usize) {
        self.other_readers = processes;
    }

    /// Whether the circuit is open: the store is presumed unreachable.
    pub fn is_open(&self) -> bool {
        self.failures >= self.limits.failures
    }

    fn backoff(&mut self) -> time::Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        let wait = self.limits.min_backoff * 2_u32.pow(doublings);
        let longest_wait = self.longest_backoff();
        let wait = if self.is_open() {
            wait.max(longest_wait / 2).min(longest_wait)
        } else {
            wait.min(longest_wait)
        };
        // Half is random, so that processes that failed together do not retry together.
        wait / 2 + (wait / 2).mul_f64(self.rng.random())
    }

    fn longest_backoff(&self) -> time::Duration {
        #[expect(clippy::cast_precision_loss, reason = "fleets are far below 2^52")]
        let other_readers = self.other_readers as f64;
        let catch_up_s = other_readers * CATCH_UP_CALL_COUNT / MAX_FLEET_CALLS_PER_S;
        self.limits.max_backoff + time::Duration::from_secs_f64(catch_up_s)
    }

    fn refill(&mut self, now: policy::Moment) {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.limits.per_s).min(self.limits.burst);
        self.refilled = self.refilled.max(now);
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
            if budget.try_take(ms(at * 100)) {
                budget.call_ended(ms(at * 100), true);
                taken += 1;
            }
        }
        assert!((240..=248).contains(&taken), "{taken} calls in a minute");
    }

    /// The store is down for a minute while 4,400 processes without links to peers try to read.
    /// If their calls overloaded it again on its recovery, the outage would outlast its cause.
    #[test]
    fn recovery_from_an_outage_does_not_overload_the_store() {
        let fleet = 4_400;
        let mut budgets: Vec<_> = (0..fleet)
            .map(|seed| {
                let mut budget = Budget::new(Limits::default(), seed);
                budget.set_other_readers(4_400);
                budget
            })
            .collect();
        let mut needed = vec![5; budgets.len()];
        let mut max_calls_in_second = 0;
        let mut calls_in_second = 0;
        let mut caught_up = 0;
        for at in 0..1_200 {
            let now = ms(at * 100);
            let up = at >= 600;
            if at % 10 == 0 {
                calls_in_second = 0;
            }
            for (budget, needed) in budgets.iter_mut().zip(&mut needed) {
                if *needed > 0 && budget.try_take(now) {
                    budget.call_ended(now, up);
                    if up {
                        calls_in_second += 1;
                        *needed -= 1;
                        caught_up = at;
                    }
                }
            }
            max_calls_in_second = max_calls_in_second.max(calls_in_second);
        }
        assert!(
            max_calls_in_second <= 2_000,
            "{max_calls_in_second} calls in the worst second"
        );
        assert!(
            needed.iter().all(|n| *n == 0),
            "all caught up at {caught_up}"
        );
    }

    /// A call is lost and the next one is answered. A long backoff after one loss would delay
    /// settings needlessly.
    #[test]
    fn one_failure_costs_little_and_many_open_the_circuit() {
        let mut budget = Budget::new(Limits::default(), 1);
        assert!(budget.try_take(ms(0)));
        budget.call_ended(ms(0), false);
        assert!(budget.try_take(ms(100)));
        for at in 0..3 {
            budget.call_ended(ms(100 + at), false);
        }
        assert!(budget.is_open() && !budget.try_take(ms(500)));
        assert!(budget.try_take(ms(2_200)));
        assert!(!budget.try_take(ms(2_300)), "one call at a time");
        budget.call_ended(ms(2_300), true);
        assert!(!budget.is_open());
    }
}
