//! What is let in, and when the rest is asked to come back.
//!
//! Load pattern: saturation, and few callers that take most of the load. Without admission the
//! queue grows until every request in it is late, and callers learn only at their deadline that
//! they were not served. One notices it as a latency close to the callers' patience, and as slots
//! that work on answers nobody awaits.
//!
//! A request is refused at once when its estimated wait exceeds a share of its patience, so that
//! the refusal reaches the caller while there is time to come back. A caller with much more in
//! hand than others is refused first, while others wait for work of the same worth.

use std::collections;
use std::time;

use super::{policy, range};

/// Thresholds of admission.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The share of the time left that a request may spend waiting. Half leaves room for an
    /// estimate that is wrong by a factor of two.
    pub patience: f64,
    /// How long callers that left early make the queue shorter.
    pub leaving_memory: time::Duration,
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
            leaving_memory: time::Duration::from_secs(2),
            caller_least: 2,
            caller_share: 2.0,
            back_least: time::Duration::from_millis(100),
            back_most: time::Duration::from_secs(2),
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("admission.patience", self.patience, 0.01..=1.0)?;
        let leaving = self.leaving_memory.as_secs_f64();
        range::check("admission.leaving_memory", leaving, 0.1..=600.0)?;
        let least = f64::from(self.caller_least);
        range::check("admission.caller_least", least, 1.0..=1e6)?;
        range::check("admission.caller_share", self.caller_share, 1.0..=1e6)?;
        let back = self.back_least.as_secs_f64();
        range::check("admission.back_least", back, 0.001..=60.0)?;
        let back = self.back_most.as_secs_f64();
        range::check("admission.back_most", back, 0.001..=3_600.0)
    }

    /// When a refused caller is asked to come back: once about half of what waits now is done, and
    /// while it has time left for an answer. `spread` lies between 0 and 1 and keeps those refused
    /// together from coming back together.
    pub fn back(&self, wait: time::Duration, left: time::Duration, spread: f64) -> time::Duration {
        let back = wait.mul_f64(0.5).min(left.mul_f64(BACK_SHARE));
        let back = back.clamp(self.back_least, self.back_most);
        back.mul_f64(0.75 + 0.5 * spread)
    }
}

/// The share of its time left after which a refused caller should have come back.
const BACK_SHARE: f64 = 0.4;

/// Whether a request can be let in that may spend the share `patience` of its time `left` waiting,
/// would wait `wait`, and then takes `work`.
pub fn in_time(
    left: time::Duration,
    patience: f64,
    wait: time::Duration,
    work: time::Duration,
) -> bool {
    wait <= left.mul_f64(patience) && wait + work <= left
}

/// How long callers wait before they leave, as a share of the time that they could wait.
///
/// Some ask again long before their deadline. A queue that is longer than that serves mostly
/// requests whose callers have just left.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leaving {
    share: f64,
    last: Option<policy::Moment>,
}

impl Leaving {
    /// A caller left after `waited`, of the `patience` that it had.
    pub fn left(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        waited: time::Duration,
        patience: time::Duration,
    ) {
        let share = waited.as_secs_f64() / patience.as_secs_f64().max(1e-6);
        if share >= 1.0 {
            return;
        }
        self.share = match self.last {
            Some(last) if now < last + cfg.leaving_memory => {
                self.share + (share - self.share) * LEAVING_STEP
            }
            _ => share,
        };
        self.last = Some(now);
    }

    /// The share of the time left that a request may spend waiting.
    pub fn patience(&self, cfg: &Config, now: policy::Moment) -> f64 {
        match self.last {
            Some(last) if now < last + cfg.leaving_memory => cfg.patience * self.share,
            _ => cfg.patience,
        }
    }
}

/// What one caller that leaves counts in the mean.
const LEAVING_STEP: f64 = 0.1;

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
        let work = time::Duration::from_millis(10);
        assert!(in_time(SECOND, 0.5, SECOND / 2, work));
        assert!(!in_time(SECOND, 0.5, SECOND.mul_f64(0.6), work));
        assert!(!in_time(SECOND, 0.5, time::Duration::ZERO, SECOND * 2));
    }

    /// Callers on wet ladders ask again after a tenth of their patience. The queue has to be
    /// shorter than that, or each request reaches its turn when its caller has just left.
    #[test]
    fn callers_that_leave_early_make_the_queue_shorter() {
        let (mut leaving, cfg) = (Leaving::default(), Config::default());
        assert_eq!(leaving.patience(&cfg, SECOND), 0.5);
        (0..100).for_each(|_| leaving.left(&cfg, SECOND, SECOND / 10, SECOND));
        assert!((leaving.patience(&cfg, SECOND) - 0.05).abs() < 1e-9);
        assert_eq!(leaving.patience(&cfg, SECOND + cfg.leaving_memory), 0.5);
    }

    /// One caller has ten requests in hand while the others have one each.
    #[test]
    fn a_caller_with_most_in_hand_is_refused_first() {
        let (mut shares, cfg) = (Shares::default(), Config::default());
        (0..10).for_each(|_| shares.add(policy::CallerId(0)));
        (1..50).for_each(|i| shares.add(policy::CallerId(i)));
        assert!(!shares.fair(&cfg, policy::CallerId(0)));
        assert!(shares.fair(&cfg, policy::CallerId(1)));
        (0..9).for_each(|_| shares.remove(policy::CallerId(0)));
        assert!(shares.fair(&cfg, policy::CallerId(0)));
    }

    #[test]
    fn callers_are_asked_back_within_bounds() {
        let cfg = Config::default();
        let back = |wait, left| cfg.back(wait, left, 0.5);
        assert_eq!(back(time::Duration::ZERO, SECOND), cfg.back_least);
        assert_eq!(back(SECOND * 100, SECOND * 100), cfg.back_most);
        assert_eq!(back(SECOND * 100, SECOND), SECOND.mul_f64(BACK_SHARE));
    }
}
