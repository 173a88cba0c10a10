//! Decides which requests are admitted, and after what time refused callers may retry.
//!
//! Load pattern: saturation, or a few callers that cause most of the load. Without admission
//! control the queue grows until every request in it misses its deadline, and callers get their
//! refusal only at the deadline. Symptoms: latency close to the callers' timeout, and backend
//! servers that work on answers whose callers have left.
//!
//! A request is refused at once when its estimated wait exceeds a share of the time to its
//! deadline, so that its caller still has time to retry. While requests of the same or a better
//! queue class wait, a caller with far more outstanding requests than the mean is refused first.

use std::collections;
use std::time;

use super::{policy, range};

/// Thresholds of admission.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The largest share of the time to its deadline that a request may spend in the queue. Half
    /// tolerates an estimate that is wrong by a factor of two.
    pub max_wait_share: f64,
    /// How long an early departure of a caller reduces the accepted wait.
    pub departure_ttl: time::Duration,
    /// Outstanding requests that each caller is always allowed.
    pub caller_min_outstanding: u32,
    /// Outstanding requests that a caller may have while others wait, as a multiple of the mean.
    pub caller_max_mean_ratio: f64,
    /// The shortest time after which a refused caller may retry.
    pub min_retry_after: time::Duration,
    /// The longest time after which a refused caller may retry.
    pub max_retry_after: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_wait_share: 0.5,
            departure_ttl: time::Duration::from_secs(2),
            caller_min_outstanding: 2,
            caller_max_mean_ratio: 2.0,
            min_retry_after: time::Duration::from_millis(100),
            max_retry_after: time::Duration::from_secs(2),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("admission.patience", self.max_wait_share, 0.01..=1.0)?;
        let ttl = self.departure_ttl.as_secs_f64();
        range::check("admission.leaving_memory", ttl, 0.1..=600.0)?;
        let min_outstanding = f64::from(self.caller_min_outstanding);
        range::check("admission.caller_least", min_outstanding, 1.0..=1e6)?;
        range::check(
            "admission.caller_share",
            self.caller_max_mean_ratio,
            1.0..=1e6,
        )?;
        let retry_after = self.min_retry_after.as_secs_f64();
        range::check("admission.back_least", retry_after, 0.001..=60.0)?;
        let retry_after = self.max_retry_after.as_secs_f64();
        range::check("admission.back_most", retry_after, 0.001..=3_600.0)
    }

    /// The time after which a refused caller may retry: about half the current wait, but early
    /// enough for an answer before the deadline, which is `time_left` away. `spread` lies between 0
    /// and 1; it prevents callers that were refused together from retrying together.
    pub fn retry_after(
        &self,
        wait: time::Duration,
        time_left: time::Duration,
        spread: f64,
    ) -> time::Duration {
        let retry_after = wait
            .mul_f64(0.5)
            .min(time_left.mul_f64(MAX_RETRY_AFTER_SHARE));
        let retry_after = retry_after.clamp(self.min_retry_after, self.max_retry_after);
        retry_after.mul_f64(0.75 + 0.5 * spread)
    }
}

/// The retry delay of a refused caller is at most this share of the time to its deadline.
const MAX_RETRY_AFTER_SHARE: f64 = 0.4;

/// Whether a request can be admitted with its deadline `time_left` away, where it may spend the
/// share `max_wait_share` of that time in the queue, waits for `wait`, and then runs for `work`.
pub fn in_time(
    time_left: time::Duration,
    max_wait_share: f64,
    wait: time::Duration,
    work: time::Duration,
) -> bool {
    wait <= time_left.mul_f64(max_wait_share) && wait + work <= time_left
}

/// How long callers wait before they leave, as a share of the time to their deadline.
///
/// Some callers leave and retry long before the deadline. If the wait is longer than that, most
/// requests are served just after their callers have left.
#[derive(Clone, Copy, Debug, Default)]
pub struct EarlyDepartures {
    wait_share: f64,
    last_departure: Option<policy::Moment>,
}

impl EarlyDepartures {
    /// Records that a caller with `timeout` until its deadline left after `waited`.
    pub fn record(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        waited: time::Duration,
        timeout: time::Duration,
    ) {
        let wait_share = waited.as_secs_f64() / timeout.as_secs_f64().max(1e-6);
        if wait_share >= 1.0 {
            return;
        }
        self.wait_share = match self.last_departure {
            Some(last_departure) if now < last_departure + cfg.departure_ttl => {
                self.wait_share + (wait_share - self.wait_share) * DEPARTURE_WEIGHT
            }
            _ => wait_share,
        };
        self.last_departure = Some(now);
    }

    /// The largest share of the time to its deadline that a request may spend in the queue.
    pub fn max_wait_share(&self, cfg: &Config, now: policy::Moment) -> f64 {
        match self.last_departure {
            Some(last_departure) if now < last_departure + cfg.departure_ttl => {
                cfg.max_wait_share * self.wait_share
            }
            _ => cfg.max_wait_share,
        }
    }
}

/// Weight of one departure in the moving average.
const DEPARTURE_WEIGHT: f64 = 0.1;

/// Outstanding requests of each caller.
#[derive(Clone, Debug, Default)]
pub struct OutstandingByCaller {
    counts: collections::HashMap<policy::CallerId, u32>,
    total: u32,
}

impl OutstandingByCaller {
    /// Whether a caller may have one more outstanding request while others wait.
    pub fn within_share(&self, cfg: &Config, caller: policy::CallerId) -> bool {
        let count = self.counts.get(&caller).copied().unwrap_or(0);
        if count < cfg.caller_min_outstanding {
            return true;
        }
        let mean = f64::from(self.total) / self.counts.len() as f64;
        f64::from(count) < mean * cfg.caller_max_mean_ratio
    }

    /// Counts a new request.
    pub fn add(&mut self, caller: policy::CallerId) {
        *self.counts.entry(caller).or_default() += 1;
        self.total += 1;
    }

    /// Removes a settled request.
    pub fn remove(&mut self, caller: policy::CallerId) {
        let Some(count) = self.counts.get_mut(&caller) else {
            return;
        };
        *count -= 1;
        self.total -= 1;
        if *count == 0 {
            self.counts.remove(&caller);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: time::Duration = time::Duration::from_secs(1);

    #[test]
    fn requests_that_would_be_late_are_refused() {
        let work = time::Duration::from_millis(10);
        assert!(in_time(SECOND, 0.5, SECOND / 2, work));
        assert!(!in_time(SECOND, 0.5, SECOND.mul_f64(0.6), work));
        assert!(!in_time(SECOND, 0.5, time::Duration::ZERO, SECOND * 2));
    }

    /// Callers leave and retry after a tenth of the time to their deadline. If the queue allowed a
    /// longer wait, each request would be served just after its caller left.
    #[test]
    fn early_departures_reduce_the_accepted_wait() {
        let (mut departures, cfg) = (EarlyDepartures::default(), Config::default());
        assert_eq!(departures.max_wait_share(&cfg, SECOND), 0.5);
        (0..100).for_each(|_| departures.record(&cfg, SECOND, SECOND / 10, SECOND));
        assert!((departures.max_wait_share(&cfg, SECOND) - 0.05).abs() < 1e-9);
        assert_eq!(
            departures.max_wait_share(&cfg, SECOND + cfg.departure_ttl),
            0.5
        );
    }

    /// One caller has ten outstanding requests, each other caller has one.
    #[test]
    fn a_caller_with_far_more_outstanding_requests_is_refused_first() {
        let (mut outstanding, cfg) = (OutstandingByCaller::default(), Config::default());
        (0..10).for_each(|_| outstanding.add(policy::CallerId(0)));
        (1..50).for_each(|i| outstanding.add(policy::CallerId(i)));
        assert!(!outstanding.within_share(&cfg, policy::CallerId(0)));
        assert!(outstanding.within_share(&cfg, policy::CallerId(1)));
        (0..9).for_each(|_| outstanding.remove(policy::CallerId(0)));
        assert!(outstanding.within_share(&cfg, policy::CallerId(0)));
    }

    #[test]
    fn retry_after_stays_within_bounds() {
        let cfg = Config::default();
        let retry_after = |wait, time_left| cfg.retry_after(wait, time_left, 0.5);
        assert_eq!(
            retry_after(time::Duration::ZERO, SECOND),
            cfg.min_retry_after
        );
        assert_eq!(retry_after(SECOND * 100, SECOND * 100), cfg.max_retry_after);
        assert_eq!(
            retry_after(SECOND * 100, SECOND),
            SECOND.mul_f64(MAX_RETRY_AFTER_SHARE)
        );
    }
}
