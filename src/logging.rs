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

/// How many bytes of lines wait for a slow reader. What does not fit is dropped and counted: 256
/// KB are about a thousand lines, more than a process writes in a second.
const WAITING: usize = 256 << 10;

/// How long lines are gathered before they are written. One write for many costs the processor
/// far less than one write each.
const GATHER: time::Duration = time::Duration::from_millis(200);

#[derive(Debug, Default)]
struct Lines {
    text: Vec<u8>,
    dropped: u64,
}

/// Takes lines into memory; a thread of its own writes them out.
#[derive(Clone, Debug, Default)]
struct Gathered(sync::Arc<(parking_lot::Mutex<Lines>, parking_lot::Condvar)>);

impl io::Write for Gathered {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (lines, filled) = &*self.0;
        let mut lines = lines.lock();
        if lines.text.len() + buf.len() > WAITING {
            lines.dropped += 1;
            return Ok(buf.len());
        }
        lines.text.extend_from_slice(buf);
        filled.notify_one();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Gathered {
    /// Writes lines out as they come, for good.
    fn write_out(&self, mut to: impl io::Write) {
        let (lines, filled) = &*self.0;
        loop {
            let taken = {
                let mut lines = lines.lock();
                while lines.text.is_empty() {
                    filled.wait(&mut lines);
                }
                std::mem::take(&mut *lines)
            };
            // With nobody to read them, lines have no use; the process goes on.
            let _ = to.write_all(&taken.text);
            if taken.dropped > 0 {
                let _ = writeln!(
                    to,
                    "{{\"msg\":\"log lines dropped\",\"lines\":{}}}",
                    taken.dropped
                );
            }
            std::thread::sleep(GATHER);
        }
    }
}

/// Builds the root logger of a process whose lines go to standard output. A reader that stops
/// holds up nothing but the lines.
pub fn buffered(process: &str) -> slog::Logger {
    let gathered = Gathered::default();
    let writer = gathered.clone();
    std::thread::spawn(move || writer.write_out(io::stdout()));
    // Lines are put together whole before they are taken, so that none is dropped in part.
    let json = slog_json::Json::new(io::LineWriter::with_capacity(8 << 10, gathered))
        .add_default_keys()
        .build();
    let drain = sync::Mutex::new(json).fuse();
    slog::Logger::root(drain, slog::o!("process" => process.to_owned()))
}

/// A logger that writes nothing, for tests.
pub fn silent() -> slog::Logger {
    slog::Logger::root(sync::Arc::new(slog::Discard), slog::o!())
}

/// How many lines of one event are written.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// In a row, before the limit counts.
    pub burst: f64,
    /// A second, once the burst is used up.
    pub a_second: f64,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            burst: 20.0,
            a_second: 5.0,
        }
    }
}

/// Holds back lines that come too often. When a region fails, each refused request would write a
/// line; the log would take the processor that callers need, and the first line, which tells the
/// cause, would scroll away.
#[derive(Debug, Default)]
pub struct Limiter {
    rate: Rate,
    events: parking_lot::Mutex<collections::BTreeMap<&'static str, Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    left: f64,
    filled: time::Duration,
    held_back: u64,
}

impl Limiter {
    /// A limiter that lets so many lines of each event pass.
    pub fn new(rate: Rate) -> Self {
        Self {
            rate,
            ..Self::default()
        }
    }

    /// Whether a line of this event may be written now, and then how many were held back before
    /// it.
    pub fn admit(&self, event: &'static str, now: time::Duration) -> Option<u64> {
        let mut events = self.events.lock();
        let bucket = events.entry(event).or_insert(Bucket {
            left: self.rate.burst,
            filled: now,
            held_back: 0,
        });
        let passed = now.saturating_sub(bucket.filled).as_secs_f64();
        bucket.left = (bucket.left + passed * self.rate.a_second).min(self.rate.burst);
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
