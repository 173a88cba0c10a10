//! Which backend server gets a request.
//!
//! Load pattern: one slow backend server, and any steady load. In turn, each backend server gets
//! the same number of requests whatever it can do, and a slow one collects a queue. One notices
//! it as a tail of latency that one backend server causes alone.
//!
//! The least loaded of a few picks gets the request, where load is what this VM has in flight
//! there, as a share of the slots, times how long answers take there. What others have in flight
//! shows in how long answers take. Reports are not used: they lag by ten times the length of a
//! request, and with them a steady load was spread worse than in turn.
//!
//! A backend server that takes several times as long as the best is held in reserve: it gets the
//! least worthy reads, once the queue is longer than the time that waiting for a better one costs.

use rand::RngExt;

use super::{ejection, members, policy, ramp, range};
use crate::id;

/// Thresholds of placement.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How many backend servers are compared. Today's availability zones have 2 to 4.
    pub picks: usize,
    /// How many times the best one's time makes a backend server slow. Cold starts and work that
    /// varies stay below 3 on average.
    pub slow: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            picks: 4,
            slow: 3.0,
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("placement.picks", self.picks as f64, 1.0..=64.0)?;
        range::check("placement.slow", self.slow, 1.1..=100.0)
    }
}

/// What placement looks at.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    cfg: &'a super::dispatch::Config,
    now: policy::Moment,
    members: &'a [members::Member],
    ramping: Option<&'a ramp::Config>,
    best: f64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Where it has failed already.
    pub avoid: &'a [id::VmId],
}

impl<'a> View<'a> {
    /// The backend servers as they are now.
    pub fn new(
        cfg: &'a super::dispatch::Config,
        now: policy::Moment,
        members: &'a [members::Member],
    ) -> Self {
        let warm = members.iter().filter(|m| m.ramp.warm()).count();
        let sound = members.iter().filter(|m| m.sound(&cfg.members, now));
        let best = sound.map(|m| m.pace).reduce(f64::min);
        // Where none is sound, those on trial are compared with one another.
        let best = best.or_else(|| members.iter().map(|m| m.pace).reduce(f64::min));
        Self {
            cfg,
            now,
            members,
            ramping: ramp::applies(&cfg.ramp, members.len(), warm).then_some(&cfg.ramp),
            best: best.unwrap_or(1.0).max(1.0),
        }
    }

    /// The time that the best sound backend server takes, as a multiple of the usual.
    pub fn best_pace(&self) -> f64 {
        self.best
    }

    /// Whether a backend server is held in reserve.
    pub fn slow(&self, member: &members::Member) -> bool {
        member.pace > self.best * self.cfg.placement.slow
    }

    /// Seconds of usual work that this VM's share of the slots gets through in each second.
    pub fn rate(&self) -> f64 {
        let fast = self.sound().filter(|m| !self.slow(m));
        fast.map(|m| m.cap(self.now, self.ramping) as f64 / m.pace.max(1.0))
            .sum()
    }

    /// The backend servers that are in and do not leave.
    pub fn sound(&self) -> impl Iterator<Item = &'a members::Member> {
        let (cfg, now) = (&self.cfg.members, self.now);
        self.members.iter().filter(move |m| m.sound(cfg, now))
    }

    /// The backend server that a request goes to now, if one has room.
    pub fn pick(&self, rng: &mut rand_chacha::ChaCha8Rng, need: &Need<'_>) -> Option<usize> {
        let fits = |i: &usize| {
            let member = &self.members[*i];
            self.has_room(member) && self.trusted(member) && !self.slow(member)
        };
        self.least_loaded(rng, need, fits)
    }

    /// The backend server on trial that a read could go to now.
    pub fn pick_trial(&self, rng: &mut rand_chacha::ChaCha8Rng, need: &Need<'_>) -> Option<usize> {
        let fits = |i: &usize| {
            let member = &self.members[*i];
            self.has_room(member) && member.health.state() == ejection::State::Trial
        };
        self.least_loaded(rng, need, fits)
    }

    /// The backend server in reserve that a request could go to now.
    pub fn pick_slow(&self, rng: &mut rand_chacha::ChaCha8Rng, need: &Need<'_>) -> Option<usize> {
        let fits = |i: &usize| {
            let member = &self.members[*i];
            self.has_room(member) && self.trusted(member) && self.slow(member)
        };
        self.least_loaded(rng, need, fits)
    }

    fn least_loaded(
        &self,
        rng: &mut rand_chacha::ChaCha8Rng,
        need: &Need<'_>,
        fits: impl Fn(&usize) -> bool,
    ) -> Option<usize> {
        let n = self.members.len();
        if n == 0 {
            return None;
        }
        let start = rng.random_range(0..n);
        let avoided = |i: usize| need.avoid.contains(&self.members[i].id);
        let candidates = (0..n).map(|i| (start + i) % n).filter(fits);
        candidates
            .take(self.cfg.placement.picks)
            .map(|i| (avoided(i), self.load(&self.members[i]), i))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, i)| i)
    }

    fn has_room(&self, member: &members::Member) -> bool {
        let room = member.out.len() < member.cap(self.now, self.ramping);
        room && member.alone.is_none() && !member.leaving(&self.cfg.members, self.now)
    }

    /// One on trial gets reads by [`Self::pick_trial`], and other work only where none is sound.
    fn trusted(&self, member: &members::Member) -> bool {
        member.health.state() != ejection::State::Trial || self.sound().next().is_none()
    }

    /// What a request adds itself to, as the time it would take.
    fn load(&self, member: &members::Member) -> f64 {
        let own = member.out.len() as f64;
        member.pace * (1.0 + own / f64::from(member.slots.max(1)))
    }
}
