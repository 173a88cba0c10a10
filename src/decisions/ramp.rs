//! Slow start: limits the requests in flight at a backend server that has just started.
//!
//! Load pattern: a cold start, or the restart of a crashed backend server. Its cache is cold and
//! its first requests take several times as long, but it has no load, so it would get more than its
//! share of requests. Symptom: a peak in latency after each restart.
//!
//! It starts with one request at a time and gets one slot after the other as it answers. Progress
//! is counted in answers and not in seconds, because requests fill the cache. When most backend
//! servers are cold, too few warm ones are left for the load, so all get their full share at once.

use super::range;

/// Thresholds of slow start.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Answers to this VM until a backend server gets its full share. Most of the extra time of a
    /// cold start is gone after about 150 answers to all entry VMs of the zone together.
    pub warm_up_answers: u32,
    /// Slow start is off when a smaller share of the backend servers is warm.
    pub min_warm_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            warm_up_answers: 60,
            min_warm_share: 0.5,
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check(
            "ramp.answers",
            f64::from(self.warm_up_answers),
            1.0..=100_000.0,
        )?;
        range::check("ramp.min_warm", self.min_warm_share, 0.0..=1.0)
    }
}

/// Slow-start progress of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    answers_left: u32,
}

impl Ramp {
    /// The state of a backend server that has just started.
    pub fn cold(cfg: &Config) -> Self {
        Self {
            answers_left: cfg.warm_up_answers,
        }
    }

    /// Whether slow start is complete.
    pub fn warm(&self) -> bool {
        self.answers_left == 0
    }

    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.answers_left = self.answers_left.saturating_sub(1);
    }

    /// The largest number of requests in flight at a backend server with this many slots.
    pub fn max_in_flight(&self, cfg: &Config, slots: u32) -> usize {
        let progress = 1.0 - f64::from(self.answers_left) / f64::from(cfg.warm_up_answers.max(1));
        1 + ((f64::from(slots) - 1.0) * progress).floor() as usize
    }
}

/// Whether enough backend servers are warm to limit the cold ones.
pub fn applies(cfg: &Config, members: usize, warm: usize) -> bool {
    warm > 0 && warm as f64 >= members as f64 * cfg.min_warm_share
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slots_are_added_one_at_a_time() {
        let cfg = Config {
            warm_up_answers: 4,
            ..Config::default()
        };
        let mut ramp = Ramp::cold(&cfg);
        let limits: Vec<_> = (0..5)
            .map(|_| {
                let limit = ramp.max_in_flight(&cfg, 3);
                ramp.record_answer();
                limit
            })
            .collect();
        assert_eq!(limits, [1, 1, 2, 2, 3]);
        assert!(ramp.warm());
    }

    /// All backend servers have restarted. If each were limited to one request at a time, two
    /// thirds of the slots would be idle while callers wait.
    #[test]
    fn a_cold_fleet_does_not_ramp() {
        let cfg = Config::default();
        assert!(!applies(&cfg, 4, 0) && !applies(&cfg, 4, 1) && applies(&cfg, 4, 2));
    }
}
