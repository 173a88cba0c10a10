//! What is let in, and when the rest is asked to come back.
//!
//! Load pattern: saturation, and few callers that take most of the load. Without admission the
//! queue grows until every request in it is late, and callers learn only at their deadline that
//! they were not served. One notices it as a latency close to the callers' patience, and as slots
//! that work on answers nobody awaits.
//!
//! A request is refused at once when its estimated wait exceeds a share of its patience, so that
//! the refusal reaches the caller while there is time to come back. A caller with much more in
//! hand than others is refused first, while others wait.

use std::collections;
use std::time;

use super::{policy, range};

/// Thresholds of admission.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The share of the time left that a request may spend waiting. Half leaves room for an
    /// estimate that is wrong by a factor of two.
    pub patience: f64,
    /// Requests that a caller may always have in hand.
    pub caller_least: u32,
    /// How many times the mean in hand a caller may have while others wait.
    pub caller_share: f64,
    /// The shortest time after which a refused caller is asked to come back.
    pub back_least: time::Duration,
    /// The longest.
    pub back_most: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            patience: 0.5,
            caller_least: 4,
            caller_share: 4.0,
            back_least: time::Duration::from_millis(100),
            back_most: time::Duration::from_secs(2),
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("admission.patience", self.patience, 0.01..=1.0)?;
        let least = f64::from(self.caller_least);
        range::check("admission.caller_least", least, 1.0..=1e6)?;
        range::check("admission.caller_share", self.caller_share, 1.0..=1e6)?;
        let back = self.back_least.as_secs_f64();
        range::check("admission.back_least", back, 0.001..=60.0)?;
        let back = self.back_most.as_secs_f64();
        range::check("admission.back_most", back, 0.001..=3_600.0)
    }

    /// Whether a request that would wait so long, and then take `work`, can be let in.
    pub fn in_time(
        &self,
        now: policy::Moment,
        deadline: policy::Moment,
        wait: time::Duration,
        work: time::Duration,
    ) -> bool {
        let left = deadline.saturating_sub(now);
        wait <= left.mul_f64(self.patience) && wait + work <= left
    }

    /// When a refused caller is asked to come back: once about half of what waits now is done.
    /// `spread` lies between 0 and 1 and keeps those refused together from coming back together.
    pub fn back(&self, wait: time::Duration, spread: f64) -> time::Duration {
        let back = wait.mul_f64(0.5).clamp(self.back_least, self.back_most);
        back.mul_f64(0.75 + 0.5 * spread)
    }
}

/// What each caller has in hand.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    in_hand: collections::HashMap<policy::CallerId, u32>,
    total: u32,
}

impl Shares {
    /// Whether a caller may have one more while others wait.
    pub fn fair(&self, cfg: &Config, caller: policy::CallerId) -> bool {
        let own = self.in_hand.get(&caller).copied().unwrap_or(0);
        if own < cfg.caller_least {
            return true;
        }
        let mean = f64::from(self.total) / self.in_hand.len() as f64;
        f64::from(own) < mean * cfg.caller_share
    }

    /// A request was let in.
    pub fn add(&mut self, caller: policy::CallerId) {
        *self.in_hand.entry(caller).or_default() += 1;
        self.total += 1;
    }

    /// A request was settled.
    pub fn remove(&mut self, caller: policy::CallerId) {
        let Some(own) = self.in_hand.get_mut(&caller) else {
            return;
        };
        *own -= 1;
        self.total -= 1;
        if *own == 0 {
            self.in_hand.remove(&caller);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: time::Duration = time::Duration::from_secs(1);

    #[test]
    fn what_would_be_late_is_refused_at_once() {
        let cfg = Config::default();
        let work = time::Duration::from_millis(10);
        assert!(cfg.in_time(SECOND, SECOND * 2, SECOND / 2, work));
        assert!(!cfg.in_time(SECOND, SECOND * 2, SECOND.mul_f64(0.6), work));
        assert!(!cfg.in_time(SECOND, SECOND * 2, time::Duration::ZERO, SECOND * 2));
    }

    /// One caller has ten requests in hand while the others have one each.
    #[test]
    fn a_caller_with_most_in_hand_is_refused_first() {
        let (mut shares, cfg) = (Shares::default(), Config::default());
        (0..10).for_each(|_| shares.add(policy::CallerId(0)));
        (1..50).for_each(|i| shares.add(policy::CallerId(i)));
        assert!(!shares.fair(&cfg, policy::CallerId(0)));
        assert!(shares.fair(&cfg, policy::CallerId(1)));
        (0..7).for_each(|_| shares.remove(policy::CallerId(0)));
        assert!(shares.fair(&cfg, policy::CallerId(0)));
    }

    #[test]
    fn callers_are_asked_back_within_bounds() {
        let cfg = Config::default();
        assert_eq!(cfg.back(time::Duration::ZERO, 0.5), cfg.back_least);
        assert_eq!(cfg.back(SECOND * 100, 0.5), cfg.back_most);
    }
}
