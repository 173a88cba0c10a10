//! Structured logs, one JSON object per line, and a rate limiter for repeated events. Lines that do
//! not fit in a buffer are dropped and counted, so that a slow log reader never blocks a request.

use std::collections;
use std::io;
use std::sync;
use std::time;

use slog::Drain;

/// Builds a process's root logger to standard error. Lines that do not fit in the queue are dropped
/// and counted, so that a slow log reader never blocks a request.
pub fn root(process: &str) -> slog::Logger {
    // One write per line; otherwise lines of several processes would interleave on a terminal.
    let json = slog_json::Json::new(io::LineWriter::new(io::stderr()))
        .add_default_keys()
        .build()
        .fuse();
    let drain = slog_async::Async::new(json).chan_size(4096).build().fuse();
    slog::Logger::root(drain, slog::o!("process" => process.to_owned()))
}

/// Buffer size for lines that a slow reader has not taken. Further lines are dropped and counted.
/// 256 KB are about a thousand lines, more than a process writes in a second.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Interval between writes of buffered lines. One write for many lines costs far less processor
/// time than one write per line.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(200);

#[derive(Debug, Default)]
struct BufferedLines {
    text: Vec<u8>,
    dropped: u64,
}

/// In-memory buffer of lines, which a dedicated thread writes out.
#[derive(Clone, Debug, Default)]
struct LineBuffer(sync::Arc<(parking_lot::Mutex<BufferedLines>, parking_lot::Condvar)>);

impl io::Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (lines, has_lines) = &*self.0;
        let mut lines = lines.lock();
        if lines.text.len() + buf.len() > MAX_BUFFERED_BYTES {
            lines.dropped += 1;
            return Ok(buf.len());
        }
        lines.text.extend_from_slice(buf);
        has_lines.notify_one();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LineBuffer {
    /// Writes buffered lines to `to` forever.
    fn write_forever(&self, mut to: impl io::Write) {
        let (lines, has_lines) = &*self.0;
        loop {
            let batch = {
                let mut lines = lines.lock();
                while lines.text.is_empty() {
                    has_lines.wait(&mut lines);
                }
                std::mem::take(&mut *lines)
            };
            // Without a reader the lines are lost; the process continues.
            let _ = to.write_all(&batch.text);
            if batch.dropped > 0 {
                let _ = writeln!(
                    to,
                    "{{\"msg\":\"log lines dropped\",\"lines\":{}}}",
                    batch.dropped
                );
            }
            std::thread::sleep(WRITE_INTERVAL);
        }
    }
}

/// Builds a process's root logger to standard output. A reader that stalls delays only the lines.
pub fn buffered(process: &str) -> slog::Logger {
    let buffer = LineBuffer::default();
    let writer = buffer.clone();
    std::thread::spawn(move || writer.write_forever(io::stdout()));
    // Each line reaches the buffer in one write, so that no partial line is dropped.
    let json = slog_json::Json::new(io::LineWriter::with_capacity(8 << 10, buffer))
        .add_default_keys()
        .build();
    let drain = sync::Mutex::new(json).fuse();
    slog::Logger::root(drain, slog::o!("process" => process.to_owned()))
}

/// Builds a logger that discards all lines, for tests.
pub fn silent() -> slog::Logger {
    slog::Logger::root(sync::Arc::new(slog::Discard), slog::o!())
}

/// Rate limit for the lines of one event (token bucket).
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Bucket size: lines that pass at once.
    pub burst: f64,
    /// Refill rate, in lines per second.
    pub per_s: f64,
}

/// One line at once, and one in ten seconds.
const RARE: Rate = Rate {
    burst: 1.0,
    per_s: 0.1,
};

impl Default for Rate {
    fn default() -> Self {
        Self {
            burst: 20.0,
            per_s: 5.0,
        }
    }
}

/// Rate limiter for log lines, per event. When a region fails, a line per refused request would
/// consume processor time that requests need and bury the first line, which shows the cause.
#[derive(Debug, Default)]
pub struct Limiter {
    rate: Rate,
    events: parking_lot::Mutex<collections::BTreeMap<&'static str, Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: time::Duration,
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter with `rate` for each event.
    pub fn new(rate: Rate) -> Self {
        Self {
            rate,
            ..Self::default()
        }
    }

    /// Returns the number of lines suppressed since the last admitted one, or `None` if this line
    /// is suppressed too.
    pub fn admit(&self, event: &'static str, now: time::Duration) -> Option<u64> {
        self.admit_at(self.rate, event, now)
    }

    /// Like [`Limiter::admit`], for events that go on for as long as their cause and need one line
    /// now and then.
    pub fn admit_rarely(&self, event: &'static str, now: time::Duration) -> Option<u64> {
        self.admit_at(RARE, event, now)
    }

    fn admit_at(&self, rate: Rate, event: &'static str, now: time::Duration) -> Option<u64> {
        let mut events = self.events.lock();
        let bucket = events.entry(event).or_insert(Bucket {
            tokens: rate.burst,
            refilled_at: now,
            suppressed: 0,
        });
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate.per_s).min(rate.burst);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a line per refused request when a region fails.
    #[test]
    fn repeated_lines_are_suppressed_and_counted() {
        let limiter = Limiter::default();
        let at = time::Duration::from_secs;
        let admitted = (0..1000).filter(|_| limiter.admit("refused", at(1)).is_some());
        assert_eq!(admitted.count(), 20);
        assert_eq!(limiter.admit("spilled", at(1)), Some(0));
        assert_eq!(limiter.admit("refused", at(2)), Some(980));
        assert_eq!(limiter.admit("refused", at(2)), Some(0));
    }
}
