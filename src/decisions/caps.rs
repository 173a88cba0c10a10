//! Shift caps that hold without agreement.
//!
//! Load pattern: a place is lost or overfull, and all of its traffic wants to move at once.
//! Without a cap it lands on cold caches elsewhere, which then fail too; one notices a second
//! region's latency rising seconds after the first one's failure.
//!
//! Each sender moves at most its own part of its own traffic. The sum over all senders then keeps
//! the service's cap whatever the partition and however many senders there are, because a part of
//! each is a part of the whole. No sender has to know of another.
//!
//! - Borders of steps: there are none. Moves are counted over at least the last whole step and
//!   arrivals over at most the last whole step, so that the full cap at the end of one step and
//!   again at the start of the next cannot happen. Leave to move is earned by arrivals and at
//!   most two requests of it are kept, so that a quiet minute does not buy a burst.
//! - Low traffic: a sender whose part is less than one request of a step moves nothing. Twelve
//!   senders that each round up to one request could move all of a quiet service.
//! - Restarts: a fresh sender has seen no arrivals, so it may move nothing yet. A sender that
//!   restarts again and again never earns leave.
//! - Versions of the plan: [`Config::plan_part`] of the cap is kept for them, and the rest for
//!   what senders move themselves. One sender's look-ups may concern callers that use another
//!   sender, so the two cannot be set off against each other on one VM; a fixed split is safe.

use std::collections;
use std::time;

use super::policy;
use crate::settings;

/// Parts that a step is counted in. More would be more exact and cost more memory; with 8 at most
/// an eighth of the cap is lost to counting moves over longer than arrivals.
const BUCKETS: u32 = 8;

/// Leave that is kept at most, in requests. One is for work that counts less than the usual; the
/// second is kept for work that counts more.
const BURST: f64 = 2.0;

/// How fast the usual worth follows: over about 32 requests.
const WORTH_GAIN: f64 = 1.0 / 32.0;

/// A service's cap.
#[derive(Clone, Debug)]
pub struct Config {
    /// The share of the service's traffic that may move in one step, above 0 and at most 1.
    pub cap: f64,
    /// One step, from 100 ms to an hour.
    pub step: time::Duration,
    /// The part of the cap that is kept for versions of the plan, from 0 to 1. Three quarters: the
    /// plan goes on from step to step and a sender's own part does not, so that a lost or overfull
    /// region is left faster and more is answered (`cargo bench --bench steering`).
    pub plan_part: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            cap: 0.2,
            step: time::Duration::from_secs(10),
            plan_part: 0.75,
        }
    }
}

impl Config {
    /// The cap that a service declares.
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
        if !(0.0..=1.0).contains(&self.plan_part) {
            return Err("plan_part is out of range; give a share from 0 to 1");
        }
        if self.step < time::Duration::from_millis(100) {
            return Err("step is too short; give at least 100 ms");
        }
        Ok(())
    }

    /// The share of its own traffic that a sender may have moved in any one step.
    pub fn sender_share(&self) -> f64 {
        self.cap * (1.0 - self.plan_part)
    }

    /// How many of the callers one version of the plan may move. Half of the plan's part: two
    /// adjoining steps can show three versions, so that two changes may count as one shift.
    pub fn version_share(&self) -> f64 {
        self.cap * self.plan_part / 2.0
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    arrived: u32,
    moved: u32,
}

/// What one sender moved of its own traffic of one service.
#[derive(Debug)]
pub struct Caps {
    cfg: Config,
    buckets: collections::VecDeque<Bucket>,
    leave: f64,
    usual_worth: f64,
}

impl Caps {
    /// A sender that has seen no traffic yet, and so may move none.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            buckets: collections::VecDeque::new(),
            leave: 0.0,
            usual_worth: 0.0,
        }
    }

    /// Changes the cap. What was moved before still counts.
    pub fn set_config(&mut self, cfg: Config) {
        if cfg.step != self.cfg.step {
            // Old counts are of another length; starting over is the safe side.
            self.buckets.clear();
            self.leave = 0.0;
        }
        self.cfg = cfg;
    }

    /// A caller brought a request to this VM.
    pub fn arrived(&mut self, now: policy::Moment) {
        self.bucket(now).arrived += 1;
        self.leave = (self.leave + self.cfg.sender_share()).min(BURST);
    }

    /// Whether a request of worth `worth` may move now.
    pub fn allows(&mut self, now: policy::Moment, worth: u32) -> bool {
        self.usual_worth += WORTH_GAIN * (f64::from(worth) - self.usual_worth);
        let needed = if f64::from(worth) < self.usual_worth {
            BURST
        } else {
            1.0
        };
        let number = self.bucket(now).number;
        let (mut arrived, mut moved) = (0u64, 0u64);
        for bucket in &self.buckets {
            moved += u64::from(bucket.moved);
            if bucket.number + u64::from(BUCKETS) > number {
                arrived += u64::from(bucket.arrived);
            }
        }
        // Enough leave may be missing by a rounding error of the additions.
        let earned = self.leave + 1e-9 >= needed;
        earned && (moved + 1) as f64 <= self.cfg.sender_share() * arrived as f64 + 1e-9
    }

    /// Counts a request that moves.
    pub fn moved(&mut self, now: policy::Moment) {
        self.bucket(now).moved += 1;
        self.leave -= 1.0;
    }

    /// When asking again makes sense for a request that may not move now.
    pub fn retry_after(&self) -> time::Duration {
        self.cfg.step
    }

    fn bucket(&mut self, now: policy::Moment) -> &mut Bucket {
        let len = (self.cfg.step / BUCKETS).as_nanos().max(1);
        let number = (now.as_nanos() / len) as u64;
        let last = self.buckets.back().map_or(0, |b| b.number);
        if self.buckets.is_empty() || number > last {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        // One more than a step is kept, so that moves are counted over a whole step at least.
        let keep_from = number.max(last).saturating_sub(u64::from(BUCKETS));
        while self.buckets.front().is_some_and(|b| b.number < keep_from) {
            self.buckets.pop_front();
        }
        self.buckets.back_mut().expect("one was pushed above")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: policy::Moment = policy::Moment::from_millis(1);

    fn caps() -> Caps {
        Caps::new(Config {
            plan_part: 0.5,
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

    /// A sender process dies and is replaced every few seconds while its place is overfull. If
    /// each start had the cap anew, callers' traffic would move many times as fast as declared.
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
    fn saturation_moves_the_senders_part_and_no_more() {
        let mut caps = caps();
        let mut moved = 0;
        for i in 0..10_000 {
            caps.arrived(MS * i);
            moved += u32::from(try_move(&mut caps, MS * i, 1));
        }
        assert!((900..=1_000).contains(&moved), "{moved}");
    }

    /// A quiet minute goes before a burst. Leave saved up in it would let the burst move whole,
    /// onto cold caches.
    #[test]
    fn a_quiet_time_buys_no_burst() {
        let mut caps = caps();
        for i in 0..5_000 {
            caps.arrived(MS * i);
        }
        let burst = (0..1_000)
            .filter(|_| try_move(&mut caps, MS * 5_000, 1))
            .count();
        assert!(burst <= 2, "{burst}");
    }

    /// Reads and bookings both want to move and there is leave for one in ten. A booking that
    /// stays behind reads leaves an aircraft outside.
    #[test]
    fn what_counts_more_moves_first() {
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
