//! Decides which requests are admitted, and after what time refused callers may retry.
//!
//! Load pattern: saturation, or a few callers that cause most of the load. Without admission
//! control the queue grows until every request in it misses its deadline, and callers get their
//! refusal only at the deadline. Symptoms: latency close to the callers' timeout, and backend
//! servers that work on answers whose callers have left.
//!
//! A request is refused at once when its estimated wait exceeds a share of the time to its
//! deadline, so that its caller still has time to retry. While requests of the same worth or more
//! are queued, a caller with far more outstanding requests than the mean is refused first.

use std::collections;
use std::time;

use super::{policy, range};

/// Thresholds of admission.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The largest share of the time to its deadline that a request may spend in the queue. Half
    /// tolerates an estimate that is wrong by a factor of two.
    pub patience: f64,
    /// How long an early departure of a caller reduces the accepted wait.
    pub leaving_memory: time::Duration,
    /// Outstanding requests that each caller is always allowed.
    pub caller_least: u32,
    /// Outstanding requests that a caller may have while others wait, as a multiple of the mean.
    pub caller_share: f64,
    /// The shortest time after which a refused caller may retry.
    pub back_least: time::Duration,
    /// The longest time after which a refused caller may retry.
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
    /// Checks that each threshold is in its range.
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

    /// The time after which a refused caller may retry: about half the current wait, but early
    /// enough for an answer before the deadline, which is `left` away. `spread` lies between 0 and
    /// 1; it keeps callers that were refused together from retrying together.
    pub fn back(&self, wait: time::Duration, left: time::Duration, spread: f64) -> time::Duration {
        let back = wait.mul_f64(0.5).min(left.mul_f64(BACK_SHARE));
        let back = back.clamp(self.back_least, self.back_most);
        back.mul_f64(0.75 + 0.5 * spread)
    }
}

/// The retry delay of a refused caller is at most this share of the time to its deadline.
const BACK_SHARE: f64 = 0.4;

/// Whether a request can be admitted whose deadline is `left` away, that may spend the share
/// `patience` of that time in the queue, waits for `wait`, and then runs for `work`.
pub fn in_time(
    left: time::Duration,
    patience: f64,
    wait: time::Duration,
    work: time::Duration,
) -> bool {
    wait <= left.mul_f64(patience) && wait + work <= left
}

/// How long callers wait before they leave, as a share of the time to their deadline.
///
/// Some callers leave and retry long before the deadline. If the wait is longer than that, most
/// requests are served just after their callers have left.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leaving {
    share: f64,
    last: Option<policy::Moment>,
}

impl Leaving {
    /// Records that a caller left after `waited`, with its deadline `patience` after its arrival.
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

    /// The largest share of the time to its deadline that a request may spend in the queue.
    pub fn patience(&self, cfg: &Config, now: policy::Moment) -> f64 {
        match self.last {
            Some(last) if now < last + cfg.leaving_memory => cfg.patience * self.share,
            _ => cfg.patience,
        }
    }
}

/// Weight of one departure in the moving average.
const LEAVING_STEP: f64 = 0.1;

/// Outstanding requests of each caller.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    in_hand: collections::HashMap<policy::CallerId, u32>,
    total: u32,
}

impl Shares {
    /// Whether a caller may have one more outstanding request while others wait.
    pub fn fair(&self, cfg: &Config, caller: policy::CallerId) -> bool {
        let own = self.in_hand.get(&caller).copied().unwrap_or(0);
        if own < cfg.caller_least {
            return true;
        }
        let mean = f64::from(self.total) / self.in_hand.len() as f64;
        f64::from(own) < mean * cfg.caller_share
    }

    /// Counts a new request.
    pub fn add(&mut self, caller: policy::CallerId) {
        *self.in_hand.entry(caller).or_default() += 1;
        self.total += 1;
    }

    /// Removes a settled request.
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

    /// Callers leave and retry after a tenth of the time to their deadline. If the queue allowed a
    /// longer wait, each request would be served just after its caller left.
    #[test]
    fn callers_that_leave_early_make_the_queue_shorter() {
        let (mut leaving, cfg) = (Leaving::default(), Config::default());
        assert_eq!(leaving.patience(&cfg, SECOND), 0.5);
        (0..100).for_each(|_| leaving.left(&cfg, SECOND, SECOND / 10, SECOND));
        assert!((leaving.patience(&cfg, SECOND) - 0.05).abs() < 1e-9);
        assert_eq!(leaving.patience(&cfg, SECOND + cfg.leaving_memory), 0.5);
    }

    /// One caller has ten outstanding requests, each other caller has one.
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
