//! When a read that has no answer is sent to another backend server as well.
//!
//! Load pattern: now and then a backend server hangs, or its answer is lost on the way, and the
//! caller would wait to its deadline. Sent twice too early, in a queue or on a cold object, a read
//! costs two slots just when there is least room, and is no sooner. One notices the first as reads
//! that end at their deadline while all backend servers are quick, the second as arrivals that grow
//! with the queue.

use std::time;

use super::range;

/// Thresholds of second sends of a read beside the first.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// After how many times the usual time of an answer at the earliest. Work varies by a sixth and
    /// queues by two or three times the work; beyond four times something is wrong.
    pub usual: f64,
    /// After how many times the route's aim at the earliest. Work on a cold object takes 1.2 to 1.6
    /// times the aim.
    pub aim: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            usual: 4.0,
            aim: 1.5,
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("hedge.usual", self.usual, 1.0..=1000.0)?;
        range::check("hedge.aim", self.aim, 0.1..=1000.0)
    }

    /// After how long a read is sent elsewhere too, where answers usually take so long.
    pub fn after(&self, usual: time::Duration, aim: time::Duration) -> time::Duration {
        usual.mul_f64(self.usual).max(aim.mul_f64(self.aim))
    }
}
