//! Estimates how long work takes at a backend server now, and places requests by it.
//!
//! Load pattern: each backend server is 2.5 times slower for 0.15 of the time, 600 ms at a time.
//! Placement by load sees it only after requests have piled up there. The symptom is answers that
//! are late while other backend servers have free slots.
//!
//! The pace is the current duration of work relative to the usual: 1 as usual, 2.5 when slow. Some
//! services state it in their answers. A slow phase lasts 600 ms and a report falls anywhere in
//! it, so the probability that it still holds falls linearly with the report's age; the pace
//! fades to 1 in the same way.
//!
//! For other services it is estimated from response times. One request in 33 takes seven times as
//! long, so the estimate is the median of the last five: three of five are that long in one case
//! of four thousand, whereas a mean would call a fifth of the backend servers slow.
//!
//! A short slow phase never sends an object to a backend server that doesn't have it cached: cold
//! work takes 3 times as long, evicts another object, and is still running when the slow phase ends.

use std::time;

use super::{affinity, mode, policy, range};

/// How placement uses the pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Variant {
    /// The expected completion time is multiplied by the pace.
    #[default]
    Cost,
    /// Slow backend servers are left out while another warm one is not slow.
    Avoid,
}

/// Thresholds.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Whether placement follows the pace of backend servers.
    pub mode: mode::Mode,
    /// How placement uses the pace.
    pub variant: Variant,
    /// The age at which a pace no longer counts: the length of a slow phase.
    #[serde(with = "range::seconds")]
    pub fade: time::Duration,
    /// The pace above which a backend server is slow. Work varies by a sixth; a pace of 2.5 stays
    /// above 1.5 for two thirds of [`Self::fade`].
    pub slow: f64,
    /// Expected completion times that differ by up to this share are equal. The load that a VM
    /// knows of differs by more between two reports.
    pub tie: f64,
    /// The delay before a read at a backend server that became slow is hedged, as a multiple of the
    /// typical answer time: an answer takes that long unless the read is queued or slow.
    pub hedge: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            mode: mode::Mode::default(),
            variant: Variant::default(),
            fade: time::Duration::from_millis(600),
            slow: 1.5,
            tie: 0.05,
            hedge: 1.0,
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("pace.fade", self.fade.as_secs_f64(), 0.05..=10.0)?;
        range::check("pace.slow", self.slow, 1.05..=100.0)?;
        range::check("pace.tie", self.tie, 0.0..=1.0)?;
        range::check("pace.hedge", self.hedge, 0.1..=1000.0)
    }

    /// Whether a pace is slow.
    pub fn is_slow(&self, pace: f64) -> bool {
        pace > self.slow
    }
}

/// Response times from which the pace is estimated.
const SAMPLES: usize = 5;

/// Response times within [`Config::fade`] that an estimate needs. Two of three are long by chance
/// in one case of 360.
const MIN_SAMPLES: usize = 3;

/// The pace of one run of a backend server, and its recent answers.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    value: f64,
    at: Option<policy::Moment>,
    /// Response times relative to the usual, and when each was observed.
    samples: [(policy::Moment, f64); SAMPLES],
    sampled: usize,
    answered_at: Option<policy::Moment>,
    answers_since_hang: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            value: 1.0,
            at: None,
            samples: [(policy::Moment::ZERO, 1.0); SAMPLES],
            sampled: 0,
            answered_at: None,
            answers_since_hang: Self::ANSWERS_BETWEEN_HANGS,
        }
    }
}

impl Pace {
    /// Answers after which one more hang is taken for long work. A backend server that hangs more
    /// often than once in four requests fails.
    const ANSWERS_BETWEEN_HANGS: u32 = 3;

    /// Records the pace that an answer stated.
    pub fn stated(&mut self, now: policy::Moment, pace: f64) {
        self.value = pace;
        self.at = Some(now);
    }

    /// Records how long warm work took, as a multiple of the usual, and estimates the pace from
    /// it. Below the usual the estimate stays at 1: the usual time contains queueing and cold work.
    pub fn worked(&mut self, cfg: &Config, now: policy::Moment, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        self.samples[self.sampled % SAMPLES] = (now, ratio);
        self.sampled += 1;
        let mut recent = [0.0; SAMPLES];
        let mut count = 0;
        for (at, ratio) in self.samples.iter().take(self.sampled) {
            if now.saturating_sub(*at) < cfg.fade {
                recent[count] = *ratio;
                count += 1;
            }
        }
        if count < MIN_SAMPLES {
            return;
        }
        recent[..count].sort_unstable_by(f64::total_cmp);
        // The lower one of two: a false slow phase diverts requests, a missed one only delays some.
        self.stated(now, recent[(count - 1) / 2].max(1.0));
    }

    /// The pace now; 1 without a recent one.
    pub fn get(&self, cfg: &Config, now: policy::Moment) -> f64 {
        let Some(at) = self.at else {
            return 1.0;
        };
        let age = now.saturating_sub(at).as_secs_f64() / cfg.fade.as_secs_f64();
        match age < 1.0 {
            true => 1.0 + (self.value - 1.0) * (1.0 - age),
            false => 1.0,
        }
    }

    /// Whether it is slow by what was learnt after `since`.
    pub fn became_slow(&self, cfg: &Config, since: policy::Moment, now: policy::Moment) -> bool {
        self.at.is_some_and(|at| at > since) && cfg.is_slow(self.get(cfg, now))
    }

    /// Records that the backend server answered a request.
    pub fn answered(&mut self, now: policy::Moment) {
        self.answered_at = Some(now);
        self.answers_since_hang = self.answers_since_hang.saturating_add(1);
    }

    /// Records that a request sent at `sent` has no answer yet. Returns whether the backend server
    /// works otherwise: it answered others meanwhile, and this is the only one of the last few.
    pub fn hung(&mut self, sent: policy::Moment) -> bool {
        let alone = self.answers_since_hang >= Self::ANSWERS_BETWEEN_HANGS;
        self.answers_since_hang = 0;
        alone && self.answered_at.is_some_and(|at| at > sent)
    }
}

/// Whether a service's answers state a pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stating(Option<policy::Moment>);

impl Stating {
    /// How long one answer counts. Under load each VM gets answers many times a second.
    const RETENTION: time::Duration = time::Duration::from_secs(10);

    /// Records an answer that stated a pace.
    pub fn record(&mut self, now: policy::Moment) {
        self.0 = Some(now);
    }

    /// Whether answers did recently.
    pub fn is_recent(&self, now: policy::Moment) -> bool {
        self.0.is_some_and(|at| now < at + Self::RETENTION)
    }
}

/// The load at which all slots are in use, in requests per slot.
const ALL_SLOTS: f64 = 1.0;

/// The usual duration of cold work, relative to warm work.
pub const COLD_FACTOR: f64 = 3.0;

/// The expected time until a request completes, if work usually takes `usual_s` seconds.
pub fn expected_s(usual_s: f64, ahead_per_slot: f64, cold: bool, pace: f64) -> f64 {
    let work = if cold { COLD_FACTOR } else { 1.0 };
    usual_s * pace * (ahead_per_slot.max(0.0) + work)
}

/// How long an answer took as a multiple of the usual, without the time that it was expected to
/// queue behind `ahead` others; `None` if the usual time is not known.
pub fn work_ratio(took_s: f64, usual_s: f64, ahead: f64, slots: f64) -> Option<f64> {
    let rounds = ((ahead + 1.0) / slots.max(1.0)).max(1.0);
    (usual_s > 0.0).then(|| took_s / (usual_s * rounds))
}

/// A backend server that has room for a request.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// Its index among the candidates.
    pub index: usize,
    /// The hash of its name.
    pub hash: u64,
    /// Requests ahead per slot, and the extra time of cold work as a multiple of the usual.
    pub cost: f64,
    /// Its pace.
    pub pace: f64,
    /// Whether it is expected to have the request's object cached.
    pub warm: bool,
    /// Whether it handles so few objects that one more evicts none.
    pub few_objects: bool,
}

impl Choice {
    /// The expected completion time as a multiple of the usual.
    fn completion(&self) -> f64 {
        (self.cost + 1.0) * self.pace
    }
}

/// Returns the index of the choice that a request is sent to; `tie` decides near ties.
pub fn choose(cfg: &Config, choices: &[Choice], tie: u64) -> Option<usize> {
    let usual = choices.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    // While the usual one is warm and has a free slot, no other handles it cold.
    let takes_new = |c: &Choice| !usual.warm || (usual.cost >= ALL_SLOTS && c.few_objects);
    let fits = choices.iter().filter(|c| c.warm || takes_new(c));
    match cfg.variant {
        Variant::Cost => nearly_least(cfg, fits, tie, Choice::completion),
        Variant::Avoid => {
            let some_usual = choices.iter().any(|c| c.warm && !cfg.is_slow(c.pace));
            let fits = fits.filter(|c| !some_usual || !cfg.is_slow(c.pace));
            nearly_least(cfg, fits, tie, |c| c.cost + 1.0)
        }
    }
}

/// A pseudo-random one of those that cost nearly the least.
fn nearly_least<'a>(
    cfg: &Config,
    choices: impl Iterator<Item = &'a Choice> + Clone,
    tie: u64,
    cost: impl Fn(&Choice) -> f64,
) -> Option<usize> {
    let least = choices.clone().map(&cost).min_by(f64::total_cmp)?;
    let near = choices.filter(|c| cost(c) <= least * (1.0 + cfg.tie));
    near.max_by_key(|c| affinity::mix(tie, c.hash))
        .map(|c| c.index)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: policy::Moment = policy::Moment::from_millis(1);

    /// An old report must not keep requests away from a backend server that recovered since.
    #[test]
    fn a_pace_fades_within_the_length_of_a_slow_phase() {
        let (cfg, mut pace) = (Config::default(), Pace::default());
        assert_eq!(pace.get(&cfg, MS), 1.0);
        pace.stated(1000 * MS, 2.5);
        let at = |ms: u32| pace.get(&cfg, ms * MS);
        assert_eq!((at(1000), at(1600), at(9000)), (2.5, 1.0, 1.0));
        assert!((at(1300) - 1.75).abs() < 1e-9);
        assert!(pace.became_slow(&cfg, 900 * MS, 1100 * MS));
        assert!(!pace.became_slow(&cfg, 1000 * MS, 1100 * MS));
    }

    /// Without a stated pace, single long work must not count as slowness, lasting slowness must.
    #[test]
    fn the_estimate_ignores_single_long_work() {
        let (cfg, mut pace) = (Config::default(), Pace::default());
        for n in 0..200 {
            let ratio = if n % 5 == 0 { 7.0 } else { 1.0 };
            pace.worked(&cfg, n * 30 * MS, ratio);
            assert_eq!(pace.get(&cfg, n * 30 * MS), 1.0);
        }
        (200..205).for_each(|n| pace.worked(&cfg, n * 30 * MS, 2.5));
        assert_eq!(pace.get(&cfg, 204 * 30 * MS), 2.5);
        assert_eq!(work_ratio(0.5, 0.0, 3.0, 0.0), None);
    }

    /// A backend server that hangs for every request, or for half of them, fails.
    #[test]
    fn only_a_single_hang_beside_answers_is_long_work() {
        let mut pace = Pace::default();
        assert!(!pace.hung(10 * MS));
        for n in 1..9 {
            pace.answered(n * 100 * MS);
            assert!(!pace.hung((n * 100 - 50) * MS), "{n}");
        }
        (0..3).for_each(|_| pace.answered(2000 * MS));
        assert!(pace.hung(1500 * MS) && !pace.hung(1500 * MS));
    }
}
