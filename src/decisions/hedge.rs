//! Decides when a read without an answer is also sent to a second backend server (hedging).
//!
//! Load pattern: occasionally a backend server hangs or its answer is lost, and the caller would
//! wait until its deadline. A hedge sent too early, while the read is queued or works on a cold
//! object, uses two slots when fewest are free, and gives no earlier answer. The symptom of too
//! little hedging is reads that run into their deadline while all backend servers are fast; that of
//! too much is a request rate that grows with the queue.

use std::time;

use super::{policy, range};

/// Thresholds of hedging.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The minimum delay of a hedge as a multiple of the typical answer time. Service time varies
    /// by a sixth, and queueing adds two or three service times; beyond four, something is wrong.
    #[serde(rename = "usual")]
    pub typical_multiple: f64,
    /// The minimum delay of a hedge as a multiple of the route's target latency. Work on a cold
    /// object takes 1.2 to 1.6 times the target.
    #[serde(rename = "aim")]
    pub target_multiple: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            typical_multiple: 4.0,
            target_multiple: 1.5,
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("hedge.usual", self.typical_multiple, 1.0..=1000.0)?;
        range::check("hedge.aim", self.target_multiple, 0.1..=1000.0)
    }

    /// The delay before a read is hedged, given the typical answer time and the target latency.
    pub fn after(&self, typical: time::Duration, target: time::Duration) -> time::Duration {
        typical
            .mul_f64(self.typical_multiple)
            .max(target.mul_f64(self.target_multiple))
    }
}

/// When a read in flight is looked at next: at its hedge delay or, where its backend server's pace
/// is known, after each `step` of the delay before. A `step` of zero is not known yet.
pub fn next_check(
    now: policy::Moment,
    hedge_at: policy::Moment,
    step: Option<time::Duration>,
) -> policy::Moment {
    /// Checks are not more frequent than this, also where answers take a millisecond.
    const MIN_STEP: time::Duration = time::Duration::from_millis(20);
    match step {
        Some(step) if !step.is_zero() => hedge_at.min(now + step.max(MIN_STEP)),
        _ => hedge_at,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Checks must not take more processor time than the read, nor replace the usual hedge.
    #[test]
    fn reads_are_checked_at_bounded_intervals_until_their_hedge() {
        let ms = policy::Moment::from_millis;
        let next = |now, step| next_check(ms(now), ms(900), step);
        assert_eq!(next(100, None), ms(900));
        assert_eq!(next(100, Some(ms(0))), ms(900));
        assert_eq!(next(100, Some(ms(1))), ms(120));
        assert_eq!(next(100, Some(ms(300))), ms(400));
        assert_eq!(next(700, Some(ms(300))), ms(900));
    }
}
