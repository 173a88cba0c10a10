//! Memory for long answers of pipelined requests.
//!
//! Load pattern: callers send further requests before the first is answered, and a faulty backend server
//! breaks off a long answer. What was passed on of it cannot be taken back, so its connection ends, and
//! with it the requests behind, which other backend servers have run. An answer that is buffered until it
//! is complete can be replaced by another backend server's.
//!
//! An answer is buffered beyond the usual length only if other requests are pending on its connection, and
//! within a bound over all callers. Beyond that it is passed on while it is received.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The longest answer that is buffered. On a narrow link a longer one would reach its caller late.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// The bytes that such answers of all callers may take. A small VM has about ten times as much.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// The bytes that are held by long answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Budget(Arc<AtomicUsize>);

impl Budget {
    /// Begins to hold an answer.
    pub(super) fn hold(&self) -> Held {
        Held {
            total: self.0.clone(),
            bytes: 0,
        }
    }

    /// The bytes held.
    pub(super) fn used(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// The share of one answer, returned when it is dropped.
#[derive(Debug)]
pub(super) struct Held {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl Held {
    /// Raises the share to this many bytes. Returns whether the bounds allow it.
    pub(super) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let total = self.total.load(Ordering::Relaxed);
        if bytes > MAX_ANSWER_BYTES || total + more > MAX_TOTAL_BYTES {
            return false;
        }
        self.total.store(total + more, Ordering::Relaxed);
        self.bytes += more;
        true
    }

    /// A body that holds the share until it is written.
    pub(super) fn guard(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Guarded { body, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Guarded {
    body: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Guarded {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

#[cfg(test)]
mod tests;
