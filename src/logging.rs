//! Structured logs: one JSON object a line, on standard error.

use std::collections;
use std::io;
use std::sync;
use std::time;

use slog::Drain;

/// Builds the root logger of a process. Lines that cannot be queued are counted and dropped, so
/// that a slow reader of the log never holds up a request.
pub fn root(process: &str) -> slog::Logger {
    // One write a line: pieces of lines of several processes would mix on a shared terminal.
    let json = slog_json::Json::new(io::LineWriter::new(io::stderr()))
        .add_default_keys()
        .build()
        .fuse();
    let drain = slog_async::Async::new(json).chan_size(4096).build().fuse();
    slog::Logger::root(drain, slog::o!("process" => process.to_owned()))
}

/// A logger that writes nothing, for tests.
pub fn silent() -> slog::Logger {
    slog::Logger::root(sync::Arc::new(slog::Discard), slog::o!())
}

/// Lines of one event that are written in a row before the limit counts.
const BURST: f64 = 20.0;

/// Lines of one event that are written a second once the burst is used up.
const A_SECOND: f64 = 5.0;

/// Holds back lines that come too often. When a region fails, each refused request would write a
/// line; the log would take the processor that callers need, and the first line, which tells the
/// cause, would scroll away.
#[derive(Debug, Default)]
pub struct Limiter {
    events: parking_lot::Mutex<collections::BTreeMap<&'static str, Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    left: f64,
    filled: time::Duration,
    held_back: u64,
}

impl Limiter {
    /// Whether a line of this event may be written now, and then how many were held back before
    /// it.
    pub fn admit(&self, event: &'static str, now: time::Duration) -> Option<u64> {
        let mut events = self.events.lock();
        let bucket = events.entry(event).or_insert(Bucket {
            left: BURST,
            filled: now,
            held_back: 0,
        });
        let passed = now.saturating_sub(bucket.filled).as_secs_f64();
        bucket.left = (bucket.left + passed * A_SECOND).min(BURST);
        bucket.filled = now;
        if bucket.left < 1.0 {
            bucket.held_back += 1;
            return None;
        }
        bucket.left -= 1.0;
        Some(std::mem::take(&mut bucket.held_back))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A region fails and each refused request would write a line.
    #[test]
    fn a_flood_of_alike_lines_is_held_back_and_counted() {
        let limiter = Limiter::default();
        let at = time::Duration::from_secs;
        let flood = (0..1000).filter(|_| limiter.admit("refused", at(1)).is_some());
        assert_eq!(flood.count(), 20);
        assert_eq!(limiter.admit("spilled", at(1)), Some(0));
        assert_eq!(limiter.admit("refused", at(2)), Some(980));
        assert_eq!(limiter.admit("refused", at(2)), Some(0));
    }
}
