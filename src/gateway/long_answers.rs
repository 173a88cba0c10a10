//! Memory for long answers of pipelined requests.
//!
//! Load pattern: callers pipeline requests, and a faulty backend server truncates a long answer. Once a part
//! of it was relayed, another backend server cannot replace it. The caller's connection must close, which
//! loses the answers to later requests that have already run. An answer that is buffered completely before
//! it is written can be replaced.
//!
//! Long answers are buffered only if other requests are pending on their connection, within a limit for all
//! callers. Others are relayed while they are received.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The longest answer that is buffered. Buffering longer ones would delay them on slow links.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// The memory for such answers of all callers, about a tenth of that of a small VM.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// The memory reserved for long answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Budget(Arc<AtomicUsize>);

impl Budget {
    /// Creates an empty reservation.
    pub(super) fn hold(&self) -> Held {
        Held {
            total: self.0.clone(),
            bytes: 0,
        }
    }

    /// The reserved bytes.
    pub(super) fn used(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// The reservation for one answer, released on drop.
#[derive(Debug)]
pub(super) struct Held {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl Held {
    /// Grows the reservation to this many bytes. Returns whether the limits allow it.
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

    /// A body that keeps the reservation until it is dropped.
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
