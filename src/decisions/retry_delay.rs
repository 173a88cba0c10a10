//! Computes the retry delay given to a refused caller.
//!
//! Load pattern: a burst larger than the capacity. Callers that are refused together with the same
//! delay retry together, as the next burst. The symptom is refusals in waves.
//!
//! The delay is therefore the expected time to drain the queue, spread by half in both directions,
//! and at most a third of the caller's remaining time, because callers do not wait longer than that.
//!
//! [`super::returns`] replaces it where a schedule of retries is in use and the rate of the service
//! is known.

use std::time;

/// Minimum delay before the spread. A shorter one is no better than queueing the request.
pub const MIN_DELAY: time::Duration = time::Duration::from_millis(80);

/// Maximum delay as a share of the caller's remaining time.
pub const MAX_DELAY_SHARE: f64 = 0.3;

/// Returns the retry delay. `backlog` is the expected time to drain the queue, `left` the caller's
/// remaining time, and `jitter` lies between 0 and 1.
pub fn after(backlog: time::Duration, left: time::Duration, jitter: f64) -> time::Duration {
    let delay = backlog.max(MIN_DELAY).mul_f64(0.5 + jitter);
    delay.min(left.mul_f64(MAX_DELAY_SHARE))
}

/// Spreads a fixed delay by up to half. It only grows, since a caller that returns too early has no
/// attempt left.
pub fn spread(delay: time::Duration, jitter: f64) -> time::Duration {
    delay.mul_f64(1.0 + jitter / 2.0)
}
