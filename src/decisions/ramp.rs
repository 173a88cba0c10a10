//! How fast a backend server that has just come gets its share of the work.
//!
//! Load pattern: a cold start, or the return of a crashed backend server. Its cache is cold, its
//! first requests take several times as long, and it looks idle, so it would draw more than its
//! share just when it can do least. One notices it as a peak in latency after each restart.
//!
//! It begins with one request at a time and gets its slots one after the other as it answers.
//! Counting answers and not seconds fits what warms it: the work itself. When most of the backend
//! servers are cold there is no warm one to protect callers with, and all get their share at once.

use super::range;

/// Thresholds of the ramp.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Answers until it gets its full share. Most of a cold start's extra time is gone after
    /// about 150 requests; it shares them with the other entry VMs of its availability zone.
    pub answers: u32,
    /// The share of warm backend servers below which nobody ramps.
    pub min_warm: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            answers: 60,
            min_warm: 0.5,
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("ramp.answers", f64::from(self.answers), 1.0..=100_000.0)?;
        range::check("ramp.min_warm", self.min_warm, 0.0..=1.0)
    }
}

/// How far one backend server is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    left: u32,
}

impl Ramp {
    /// It has just come.
    pub fn cold(cfg: &Config) -> Self {
        Self { left: cfg.answers }
    }

    /// Whether it has its full share.
    pub fn warm(&self) -> bool {
        self.left == 0
    }

    /// It answered.
    pub fn answered(&mut self) {
        self.left = self.left.saturating_sub(1);
    }

    /// Requests at a time, of `slots`.
    pub fn cap(&self, cfg: &Config, slots: u32) -> usize {
        let done = 1.0 - f64::from(self.left) / f64::from(cfg.answers.max(1));
        1 + ((f64::from(slots) - 1.0) * done).floor() as usize
    }
}

/// Whether there are enough warm backend servers for the cold ones to ramp.
pub fn applies(cfg: &Config, members: usize, warm: usize) -> bool {
    warm > 0 && warm as f64 >= members as f64 * cfg.min_warm
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_gets_its_slots_one_after_the_other() {
        let cfg = Config {
            answers: 4,
            ..Config::default()
        };
        let mut ramp = Ramp::cold(&cfg);
        let caps: Vec<_> = (0..5)
            .map(|_| {
                let cap = ramp.cap(&cfg, 3);
                ramp.answered();
                cap
            })
            .collect();
        assert_eq!(caps, [1, 1, 2, 2, 3]);
        assert!(ramp.warm());
    }

    /// A whole fleet has restarted. Were all of it held to one request at a time, two thirds of
    /// the slots would idle while callers wait.
    #[test]
    fn a_cold_fleet_does_not_ramp() {
        let cfg = Config::default();
        assert!(!applies(&cfg, 4, 0) && !applies(&cfg, 4, 1) && applies(&cfg, 4, 2));
    }
}
