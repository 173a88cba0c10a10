//! Chooses the backend server for a request.
//!
//! Load pattern: one slow backend server, or any steady load. Round robin gives each backend server
//! the same number of requests regardless of its speed, so a slow one builds a queue. Symptom: tail
//! latency caused by one backend server alone.
//!
//! The request goes to the least loaded of a few candidates. The load is the number of requests
//! that this VM has in flight there, relative to the slots, times the relative duration of its
//! answers, which also reflects the requests of other VMs. Load reports are not used: they lag by
//! ten times the duration of a request and spread a steady load worse than round robin.
//!
//! A backend server several times slower than the best one is held back: it gets only reads of the
//! queue's lowest class, when the wait for a faster one exceeds the extra time that it takes.

use rand::RngExt;

use super::{ejection, members, policy, ramp, range};
use crate::id;

/// Thresholds of placement.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of candidates that are compared. Availability zones have 2 to 4 backend servers.
    pub max_candidates: usize,
    /// A backend server is slow when its answers take this many times as long as the best one's.
    /// Cold starts and variable work stay below 3 on average.
    pub slow_ratio: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_candidates: 4,
            slow_ratio: 3.0,
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("placement.picks", self.max_candidates as f64, 1.0..=64.0)?;
        range::check("placement.slow", self.slow_ratio, 1.1..=100.0)
    }
}

/// The state of the backend servers at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    cfg: &'a super::dispatch::Config,
    now: policy::Moment,
    members: &'a [members::Member],
    ramping: Option<&'a ramp::Config>,
    best_slowdown: f64,
}

/// Constraints on the backend server for a request.
#[derive(Clone, Copy, Debug)]
pub struct Constraints<'a> {
    /// Backend servers that are chosen only if no other one fits, because an attempt failed there.
    pub avoid: &'a [id::VmId],
}

impl<'a> View<'a> {
    /// Creates a view of the backend servers at `now`.
    pub fn new(
        cfg: &'a super::dispatch::Config,
        now: policy::Moment,
        members: &'a [members::Member],
    ) -> Self {
        let warm = members.iter().filter(|m| m.ramp.warm()).count();
        let healthy = members.iter().filter(|m| m.healthy(&cfg.members, now));
        let best_slowdown = healthy.map(|m| m.slowdown).reduce(f64::min);
        // If none is healthy, the others are compared with one another.
        let best_slowdown =
            best_slowdown.or_else(|| members.iter().map(|m| m.slowdown).reduce(f64::min));
        Self {
            cfg,
            now,
            members,
            ramping: ramp::applies(&cfg.ramp, members.len(), warm).then_some(&cfg.ramp),
            best_slowdown: best_slowdown.unwrap_or(1.0).max(1.0),
        }
    }

    /// Answer time of the best healthy backend server, as a multiple of the usual duration.
    pub fn best_slowdown(&self) -> f64 {
        self.best_slowdown
    }

    /// Whether a backend server is slow and held back.
    pub fn is_slow(&self, member: &members::Member) -> bool {
        member.slowdown > self.best_slowdown * self.cfg.placement.slow_ratio
    }

    /// Seconds of usual work per second that this VM's share of the slots completes.
    pub fn service_rate(&self) -> f64 {
        let fast = self.healthy().filter(|m| !self.is_slow(m));
        fast.map(|m| m.max_in_flight(self.now, self.ramping) as f64 / m.slowdown.max(1.0))
            .sum()
    }

    /// The healthy backend servers.
    pub fn healthy(&self) -> impl Iterator<Item = &'a members::Member> {
        let (cfg, now) = (&self.cfg.members, self.now);
        self.members.iter().filter(move |m| m.healthy(cfg, now))
    }

    /// Chooses a backend server for a request, if one has room.
    pub fn pick(
        &self,
        rng: &mut rand_chacha::ChaCha8Rng,
        constraints: &Constraints<'_>,
    ) -> Option<usize> {
        let fits = |i: &usize| {
            let member = &self.members[*i];
            self.has_room(member) && self.takes_regular_work(member) && !self.is_slow(member)
        };
        self.least_loaded(rng, constraints, fits)
    }

    /// Chooses a backend server on trial for a read.
    pub fn pick_trial(
        &self,
        rng: &mut rand_chacha::ChaCha8Rng,
        constraints: &Constraints<'_>,
    ) -> Option<usize> {
        let fits = |i: &usize| {
            let member = &self.members[*i];
            self.has_room(member) && member.health.state() == ejection::State::Trial
        };
        self.least_loaded(rng, constraints, fits)
    }

    /// Chooses a slow backend server for a read.
    pub fn pick_slow(
        &self,
        rng: &mut rand_chacha::ChaCha8Rng,
        constraints: &Constraints<'_>,
    ) -> Option<usize> {
        let fits = |i: &usize| {
            let member = &self.members[*i];
            self.has_room(member) && self.takes_regular_work(member) && self.is_slow(member)
        };
        self.least_loaded(rng, constraints, fits)
    }

    fn least_loaded(
        &self,
        rng: &mut rand_chacha::ChaCha8Rng,
        constraints: &Constraints<'_>,
        fits: impl Fn(&usize) -> bool,
    ) -> Option<usize> {
        let n = self.members.len();
        if n == 0 {
            return None;
        }
        let start = rng.random_range(0..n);
        let avoided = |i: usize| constraints.avoid.contains(&self.members[i].id);
        let candidates = (0..n).map(|i| (start + i) % n).filter(fits);
        candidates
            .take(self.cfg.placement.max_candidates)
            .map(|i| (avoided(i), self.expected_slowdown(&self.members[i]), i))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, i)| i)
    }

    fn has_room(&self, member: &members::Member) -> bool {
        let room = member.in_flight.len() < member.max_in_flight(self.now, self.ramping);
        room && member.reserved_for.is_none() && !member.leaving(&self.cfg.members, self.now)
    }

    /// Whether a backend server gets regular requests; on trial, only if none is healthy.
    fn takes_regular_work(&self, member: &members::Member) -> bool {
        member.health.state() != ejection::State::Trial || self.healthy().next().is_none()
    }

    /// Expected relative duration of one more request, given the requests in flight.
    fn expected_slowdown(&self, member: &members::Member) -> f64 {
        let in_flight = member.in_flight.len() as f64;
        member.slowdown * (1.0 + in_flight / f64::from(member.slots.max(1)))
    }
}
