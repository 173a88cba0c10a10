//! Limits the share of a service's traffic that one sender moves to other availability zones.
//!
//! Load pattern: a region is lost or overloaded, and all of its traffic moves at once. Without a
//! cap it reaches cold caches in another region, whose latency rises seconds later until it fails
//! too.
//!
//! Each sender moves at most a fixed share of its own traffic. The sum over all senders then stays
//! within the service's cap without coordination, for any number of senders and any partition.
//!
//! - Sliding window: moves are counted over at least the last full step and arrivals over at most
//!   the last full step. A sender therefore cannot use the full cap at the end of one step and
//!   again at the start of the next. A token bucket, filled by arrivals, holds at most two
//!   requests, so that a period without moves does not permit a burst.
//! - Low traffic: a sender whose share is less than one request per step moves nothing. Twelve
//!   senders that each round up to one request could move all traffic of a quiet service.
//! - Restarts: a new sender has counted no arrivals, so it moves nothing yet. A sender that
//!   restarts repeatedly never collects a token.
//! - Plan versions: [`Config::plan_share`] of the cap is reserved for them and the rest for
//!   requests that senders move. A look-up on one sender may concern a caller that uses another
//!   sender, so one VM cannot offset the two against each other; a fixed split is safe.

use std::collections;
use std::time;

use super::policy;
use crate::settings;

/// Buckets per step. More buckets are more exact and cost more memory; with 8, at most an eighth of
/// the cap is lost because moves are counted over a longer time than arrivals.
const BUCKETS_PER_STEP: u32 = 8;

/// Capacity of the token bucket, in requests. A request below the average worth needs a full
/// bucket, so that one token stays for a request of higher worth.
const MAX_TOKENS: f64 = 2.0;

/// Gain of the moving average of the requests' worth: over about 32 requests.
const WORTH_GAIN: f64 = 1.0 / 32.0;

/// A service's shift cap.
#[derive(Clone, Debug)]
pub struct Config {
    /// The share of the service's traffic that may move in one step; above 0 and at most 1.
    pub cap: f64,
    /// The length of one step, from 100 ms to an hour.
    pub step: time::Duration,
    /// The share of the cap reserved for plan versions, from 0 to 1. Three quarters: the plan's
    /// moves accumulate from step to step and a sender's moves do not, so that traffic leaves a
    /// lost or overloaded region sooner and more requests are answered.
    pub plan_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            cap: 0.2,
            step: time::Duration::from_secs(10),
            plan_share: 0.75,
        }
    }
}

impl Config {
    /// The cap declared in a service's settings.
    pub fn of(service: &settings::Service) -> Self {
        Self {
            cap: service.shift_cap,
            step: time::Duration::from_millis(service.shift_step_ms),
            ..Self::default()
        }
    }

    /// Checks that the values are in range.
    pub fn check(&self) -> Result<(), &'static str> {
        if !(self.cap > 0.0 && self.cap <= 1.0) {
            return Err("cap is out of range; give a share above 0 and at most 1");
        }
        if !(0.0..=1.0).contains(&self.plan_share) {
            return Err("plan_share is out of range; give a share from 0 to 1");
        }
        if self.step < time::Duration::from_millis(100) {
            return Err("step is too short; give at least 100 ms");
        }
        Ok(())
    }

    /// The share of its own traffic that a sender may move in one step.
    pub fn sender_share(&self) -> f64 {
        self.cap * (1.0 - self.plan_share)
    }

    /// The share of callers that one plan version may move. Half of the plan's share: three
    /// versions can be in force within one step length, so that two changes count as one shift.
    pub fn version_share(&self) -> f64 {
        self.cap * self.plan_share / 2.0
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    arrived: u32,
    moved: u32,
}

/// Counts the arrived and the moved requests of one service on one sender.
#[derive(Debug)]
pub struct Caps {
    cfg: Config,
    buckets: collections::VecDeque<Bucket>,
    tokens: f64,
    avg_worth: f64,
}

impl Caps {
    /// Creates a sender that has counted no arrivals and so may move nothing yet.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            buckets: collections::VecDeque::new(),
            tokens: 0.0,
            avg_worth: 0.0,
        }
    }

    /// Replaces the configuration. Earlier moves still count unless the step length changes.
    pub fn set_config(&mut self, cfg: Config) {
        if cfg.step != self.cfg.step {
            // The old buckets have another length. Without them the sender moves less, not more.
            self.buckets.clear();
            self.tokens = 0.0;
        }
        self.cfg = cfg;
    }

    /// Counts a request that a caller sent to this VM.
    pub fn arrived(&mut self, now: policy::Moment) {
        self.bucket(now).arrived += 1;
        self.tokens = (self.tokens + self.cfg.sender_share()).min(MAX_TOKENS);
    }

    /// Whether a request of worth `worth` may move now.
    pub fn allows(&mut self, now: policy::Moment, worth: u32) -> bool {
        self.avg_worth += WORTH_GAIN * (f64::from(worth) - self.avg_worth);
        let needed = if f64::from(worth) < self.avg_worth {
            MAX_TOKENS
        } else {
            1.0
        };
        let number = self.bucket(now).number;
        let (mut arrived, mut moved) = (0u64, 0u64);
        for bucket in &self.buckets {
            moved += u64::from(bucket.moved);
            if bucket.number + u64::from(BUCKETS_PER_STEP) > number {
                arrived += u64::from(bucket.arrived);
            }
        }
        // The added tokens may fall short of `needed` by a rounding error.
        let has_tokens = self.tokens + 1e-9 >= needed;
        has_tokens && (moved + 1) as f64 <= self.cfg.sender_share() * arrived as f64 + 1e-9
    }

    /// Counts a request that moves.
    pub fn moved(&mut self, now: policy::Moment) {
        self.bucket(now).moved += 1;
        self.tokens -= 1.0;
    }

    /// How long to wait before retrying a request that may not move now.
    pub fn retry_after(&self) -> time::Duration {
        self.cfg.step
    }

    fn bucket(&mut self, now: policy::Moment) -> &mut Bucket {
        let bucket_ns = (self.cfg.step / BUCKETS_PER_STEP).as_nanos().max(1);
        let number = (now.as_nanos() / bucket_ns) as u64;
        let last = self.buckets.back().map_or(0, |b| b.number);
        if self.buckets.is_empty() || number > last {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        // Keeps one bucket more than a step, so that moves are counted over at least a full step.
        let keep_from = number.max(last).saturating_sub(u64::from(BUCKETS_PER_STEP));
        while self.buckets.front().is_some_and(|b| b.number < keep_from) {
            self.buckets.pop_front();
        }
        self.buckets
            .back_mut()
            .expect("a bucket exists: one was pushed if there was none")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: policy::Moment = policy::Moment::from_millis(1);

    fn caps() -> Caps {
        Caps::new(Config {
            plan_share: 0.5,
            ..Config::default()
        })
    }

    fn try_move(caps: &mut Caps, now: policy::Moment, worth: u32) -> bool {
        let allowed = caps.allows(now, worth);
        if allowed {
            caps.moved(now);
        }
        allowed
    }

    /// Guards against a crash loop under overload: a fresh cap per restart would move traffic many
    /// times as fast as declared.
    #[test]
    fn a_fresh_sender_may_move_nothing() {
        let mut moved = 0;
        for start in 0..50 {
            let mut caps = caps();
            for i in 0..9 {
                let now = MS * (start * 100 + i);
                caps.arrived(now);
                moved += u32::from(try_move(&mut caps, now, 1));
            }
        }
        assert_eq!(moved, 0);
    }

    #[test]
    fn saturation_moves_no_more_than_the_senders_share() {
        let mut caps = caps();
        let mut moved = 0;
        for i in 0..10_000 {
            caps.arrived(MS * i);
            moved += u32::from(try_move(&mut caps, MS * i, 1));
        }
        assert!((900..=1_000).contains(&moved), "{moved}");
    }

    /// Guards against tokens collected during a time without moves: they would let a whole burst
    /// move to cold caches.
    #[test]
    fn idle_time_allows_no_burst() {
        let mut caps = caps();
        for i in 0..5_000 {
            caps.arrived(MS * i);
        }
        let burst = (0..1_000)
            .filter(|_| try_move(&mut caps, MS * 5_000, 1))
            .count();
        assert!(burst <= 2, "{burst}");
    }

    /// Guards against reads that use up the cap, which allows one request in ten, before bookings
    /// of higher worth.
    #[test]
    fn requests_of_higher_worth_move_first() {
        let mut caps = caps();
        let (mut reads, mut bookings) = (0, 0);
        for i in 0..10_000 {
            caps.arrived(MS * i);
            if i % 10 == 0 {
                bookings += u32::from(try_move(&mut caps, MS * i, 10));
            } else {
                reads += u32::from(try_move(&mut caps, MS * i, 1));
            }
        }
        assert!(bookings > 850, "{bookings} bookings, {reads} reads");
        assert!(reads < 150, "{bookings} bookings, {reads} reads");
    }
}
