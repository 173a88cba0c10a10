//! When a refused caller is asked to come back.
//!
//! Load pattern: a burst larger than what can be served. All who are refused at once and told the
//! same time come back at once, as the next burst. One notices it as refusals in waves.
//!
//! So the time is what the queue will take by then, spread by half to both sides, and no later
//! than a third of what the caller has left, since beyond that callers do not wait for us.

use std::time;

/// The least time to come back after. Below it, coming back is the same as waiting.
const LEAST: time::Duration = time::Duration::from_millis(80);

/// The part of the caller's time left that it is asked to wait at most.
const PART: f64 = 0.3;

/// The time to come back after. `backlog` is how long what waits will take, `jitter` lies between
/// 0 and 1.
pub fn after(backlog: time::Duration, left: time::Duration, jitter: f64) -> time::Duration {
    let spread = backlog.max(LEAST).mul_f64(0.5 + jitter);
    spread.min(left.mul_f64(PART))
}
