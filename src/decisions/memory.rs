//! Divides the process's memory between callers and everything else, and selects the callers that are
//! disconnected when it is short.
//!
//! Load pattern: many callers send requests of legal size at once and stop before their end, or do not read
//! their answers. A limit for each connection does not help, since their number is limited by file
//! descriptors only. The symptom is a process that runs out of memory.
//!
//! Everything that callers can make the process hold counts against one limit. A quarter of it is reserved
//! for those that hold little, so that ordinary requests find memory while long bodies and answers do not.
//! When the rest is used up, callers that have made no progress for a second are disconnected, the slowest
//! first.

use std::cmp;
use std::time;

use super::range;

/// Memory that the process is expected to have if the settings name no limit, in MB.
const DEFAULT_MEMORY_MB: f64 = 256.0;

/// The part of the limit that is reserved for those that hold little.
const RESERVE_SHARE: f64 = 0.25;

/// Bytes that a connection or an answer may hold to be one of those: the longest usual head, with its
/// buffer.
const SMALL_BYTES: usize = 32 << 10;

/// The part of the limit down to which callers are disconnected, so that this is not done for each new one.
const TARGET_SHARE: f64 = 0.5;

/// How long a caller must make no progress to be disconnected. Callers in calm pause for longer, but then
/// nothing is short.
pub const MIN_SLOW: time::Duration = time::Duration::from_secs(1);

/// Bytes that count as progress, read from a caller or taken by it. With fewer in [`MIN_SLOW`], a megabyte
/// would take more than four minutes.
pub const PROGRESS_BYTES: usize = 4 << 10;

/// The part of the requests in flight at a service that may wait for bodies whose callers make no progress
/// when there is no room for others.
const STALLED_SHARE: f64 = 0.25;

/// The limit of memory that settings name, in bytes; `None` for 0. Fails if it is no possible limit.
pub fn named_limit(memory_mb: f64) -> Result<Option<usize>, String> {
    /// One petabyte.
    const MAX: f64 = 1e9;
    match (0.0..=MAX).contains(&memory_mb) {
        true => Ok((memory_mb > 0.0).then_some((memory_mb * 1e6) as usize)),
        false => Err(format!(
            "`limits.memory_mb` is {memory_mb}; expected a number from 0 to {MAX}"
        )),
    }
}

/// Thresholds of memory.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The share of the process's memory that callers may use.
    pub share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self { share: 0.4 }
    }
}

impl Config {
    /// Returns an error if the share is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("memory.share", self.share, 0.05..=0.9)
    }

    /// The limits of a process with this much memory, in bytes; `None`: unknown.
    pub fn limits(&self, named: Option<usize>) -> Limits {
        let all = named.map_or(DEFAULT_MEMORY_MB * 1e6, |bytes| bytes as f64);
        let total = all * self.share;
        Limits {
            total: total as usize,
            large: (total * (1.0 - RESERVE_SHARE)) as usize,
            target: (total * TARGET_SHARE) as usize,
        }
    }
}

/// Limits on the memory that callers hold, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// All of it.
    total: usize,
    /// What is in use when no long body or answer gets more, and callers are disconnected.
    large: usize,
    /// What remains in use when callers are disconnected.
    target: usize,
}

impl Limits {
    /// No limits.
    pub const NONE: Self = Self {
        total: usize::MAX,
        large: usize::MAX,
        target: usize::MAX,
    };

    /// Whether one that holds `held` bytes may hold `more`, while `used` bytes are in use in total.
    pub fn admits(&self, used: usize, held: usize, more: usize) -> bool {
        let limit = match held + more <= SMALL_BYTES {
            true => self.total,
            false => self.large,
        };
        used.saturating_add(more) <= limit
    }

    /// Whether long bodies and answers get no more.
    pub fn is_short(&self, used: usize) -> bool {
        used >= self.large
    }

    /// Bytes to be released by disconnecting callers.
    pub fn excess(&self, used: usize) -> usize {
        match self.is_short(used) {
            true => used.saturating_sub(self.target),
            false => 0,
        }
    }
}

/// A caller that is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slow<T> {
    /// How long it has made no progress.
    pub slow_for: time::Duration,
    /// Bytes that would be released.
    pub held: usize,
    /// Its connection.
    pub connection: T,
}

/// Selects the callers to disconnect so that `excess` bytes are released: the slowest first.
pub fn select_slowest<T>(mut slow: Vec<Slow<T>>, excess: usize) -> Vec<T> {
    slow.retain(|one| one.slow_for >= MIN_SLOW);
    slow.sort_by_key(|one| cmp::Reverse(one.slow_for));
    let mut released = 0;
    let selected = slow.into_iter().take_while(|one| {
        let is_needed = released < excess;
        released += one.held;
        is_needed
    });
    selected.map(|one| one.connection).collect()
}

/// Selects the requests to end when there is no room for others at a service: those of callers that have
/// made no progress with their bodies, the slowest first, beyond a quarter of the requests in flight.
pub fn select_stalled<T>(
    mut uploads: Vec<(time::Duration, T)>,
    in_flight: usize,
) -> impl Iterator<Item = T> {
    uploads.retain(|(slow_for, _)| *slow_for >= MIN_SLOW);
    uploads.sort_by_key(|(slow_for, _)| cmp::Reverse(*slow_for));
    let allowed = (in_flight as f64 * STALLED_SHARE) as usize;
    let excess = uploads.len().saturating_sub(allowed);
    uploads.into_iter().take(excess).map(|(_, upload)| upload)
}
