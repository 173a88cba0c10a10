//! Recognises retries by the remaining time that requests state, without state per caller.
//!
//! Load pattern: callers that were refused return with what is left of their time, to any entry VM.
//! Treated as first attempts, they are refused again behind newer requests, and their latency is
//! measured from the retry.
//!
//! First attempts on a route state one of a few configured times; a retry states less. The usual
//! times are the most frequent ones of the route's recent requests, not the maximum: a single caller
//! that states an hour would make all others look like retries until the maximum is forgotten.
//! Requests that look like retries count little, so that retries after equal delays do not become a
//! usual time, while callers with a new configuration do.
//!
//! A shorter time is that of a retry only if the route refused requests recently, and only within
//! `MAX_USED_SHARE`. Otherwise callers that state odd times would go before others. Where two
//! usual times are close, a retry with the longer one may look like a first attempt with the
//! shorter one; it is then treated as today.

use std::time;

use super::policy;

/// Number of stated times that are counted per route. A few are usual; the rest hold odd ones.
const COUNTED: usize = 8;

/// Total weight at which all weights are halved: old times are forgotten within a few hundred
/// requests.
const MAX_WEIGHT: f32 = 128.0;

/// Share of the weight from which a time is usual.
const MIN_USUAL_SHARE: f32 = 0.125;

/// Weight from which a time is usual. One caller's first requests do not make it one.
const MIN_USUAL_WEIGHT: f32 = 4.0;

/// Weight of a request that looks like a retry. With two retries in three requests and all of them
/// after the same delay, that time stays below [`MIN_USUAL_SHARE`].
const RETRY_WEIGHT: f32 = 1.0 / 16.0;

/// Relative difference up to which two stated times are the same: callers subtract the time to
/// connect.
const SAME: f64 = 0.01;

/// Smallest share of the usual time that a retry has used, and the smallest time. Callers wait at
/// least 80 ms; network jitter is below these.
const MIN_USED_SHARE: f64 = 0.02;
const MIN_USED: time::Duration = time::Duration::from_millis(40);

/// Largest share of the usual time that a retry has used: callers wait for at most a third, after
/// their refused request waited in a queue.
const MAX_USED_SHARE: f64 = 0.6;

/// How long after a refusal retries are expected: callers with half a minute wait for a third of it.
const RETRIES_EXPECTED: time::Duration = time::Duration::from_secs(10);

/// A stated time and its decaying count.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    stated: time::Duration,
    weight: f32,
}

/// The times that first attempts on one route state.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualTimes {
    counted: [Counted; COUNTED],
    refused_at: Option<policy::Moment>,
}

fn are_same(a: time::Duration, b: time::Duration) -> bool {
    a.abs_diff(b) <= a.max(b).mul_f64(SAME)
}

impl UsualTimes {
    /// Records that a request was refused for lack of capacity.
    pub fn refused(&mut self, now: policy::Moment) {
        self.refused_at = Some(now);
    }

    /// Counts a request by the time that it states. Returns how much of its time the caller had used
    /// before; zero for a first attempt.
    pub fn used(&mut self, now: policy::Moment, stated: time::Duration) -> time::Duration {
        let used = self.missing(now, stated);
        let weight = if used.is_zero() { 1.0 } else { RETRY_WEIGHT };
        self.count(stated, weight);
        used
    }

    fn missing(&self, now: policy::Moment, stated: time::Duration) -> time::Duration {
        let refuses = self
            .refused_at
            .is_some_and(|at| now.saturating_sub(at) < RETRIES_EXPECTED);
        if !refuses {
            return time::Duration::ZERO;
        }
        let total: f32 = self.counted.iter().map(|c| c.weight).sum();
        let least = MIN_USUAL_WEIGHT.max(total * MIN_USUAL_SHARE);
        let usual = self.counted.iter().filter(|c| c.weight >= least);
        let mut longer = None;
        for usual in usual.map(|c| c.stated) {
            if are_same(usual, stated) {
                return time::Duration::ZERO;
            }
            if usual > stated && longer.is_none_or(|longer| usual < longer) {
                longer = Some(usual);
            }
        }
        let Some(longer) = longer else {
            return time::Duration::ZERO;
        };
        let used = longer - stated;
        let plausible =
            MIN_USED.max(longer.mul_f64(MIN_USED_SHARE))..=longer.mul_f64(MAX_USED_SHARE);
        match plausible.contains(&used) {
            true => used,
            false => time::Duration::ZERO,
        }
    }

    fn count(&mut self, stated: time::Duration, weight: f32) {
        let known = self
            .counted
            .iter()
            .position(|c| c.weight > 0.0 && are_same(c.stated, stated));
        if let Some(i) = known {
            self.counted[i].weight += weight;
        } else if let Some(least) = self
            .counted
            .iter_mut()
            .min_by(|a, b| a.weight.total_cmp(&b.weight))
        {
            *least = Counted { stated, weight };
        }
        if self.counted.iter().map(|c| c.weight).sum::<f32>() >= MAX_WEIGHT {
            self.counted.iter_mut().for_each(|c| c.weight /= 2.0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: policy::Moment = time::Duration::from_secs(60);

    fn ms(n: u64) -> time::Duration {
        time::Duration::from_millis(n)
    }

    fn times(refuses: bool) -> UsualTimes {
        let mut times = UsualTimes::default();
        for n in 0..200 {
            times.used(NOW, ms(if n % 3 == 0 { 8000 } else { 2500 }));
        }
        if refuses {
            times.refused(NOW);
        }
        times
    }

    /// A retry that is taken for a first attempt is refused again behind newer requests.
    #[test]
    fn a_retry_is_recognised_by_the_nearest_longer_usual_time() {
        let mut times = times(true);
        for (stated, used) in [(2500, 0), (2488, 0), (1800, 700), (6000, 2000), (8000, 0)] {
            assert_eq!(times.used(NOW, ms(stated)), ms(used), "{stated}");
        }
    }

    /// One caller states an hour. With a maximum, all others would look like retries.
    #[test]
    fn a_single_absurd_time_makes_no_other_request_a_retry() {
        let mut times = times(true);
        times.used(NOW, time::Duration::from_secs(3600));
        assert_eq!(times.used(NOW, ms(8000)), time::Duration::ZERO);
        assert_eq!(times.used(NOW, ms(200)), time::Duration::ZERO);
    }

    /// Callers that state odd times must not go before others where nothing was refused.
    #[test]
    fn without_refusals_no_request_is_a_retry() {
        assert_eq!(times(false).used(NOW, ms(1800)), time::Duration::ZERO);
        let later = NOW + time::Duration::from_secs(11);
        assert_eq!(times(true).used(later, ms(1800)), time::Duration::ZERO);
    }

    /// Callers get a shorter time. They must not go before others for ever.
    #[test]
    fn a_new_usual_time_is_learnt() {
        let mut times = times(true);
        let new = (0..400).map(|_| times.used(NOW, ms(2000)));
        assert_eq!(new.last(), Some(time::Duration::ZERO));
    }
}
