//! The last decisions about single requests, so that each can be explained by its request id.
//!
//! Under failure the log holds lines back, and the very request that a caller asks about may be
//! among them. This ring keeps every decision for a while, whatever the log does.

use std::collections;
use std::time;

/// Decisions that are kept. At some 150 bytes each they stay under 1 MB.
const KEPT: usize = 4096;

data! {
    /// One decision about one request.
    #[derive(Eq)]
    pub struct Decision {
        /// The request's number in this process.
        pub request: u64,
        /// When, since the process started, in milliseconds.
        pub at_ms: u64,
        /// What was decided, as in the log's `event`.
        pub event: String,
        /// The service.
        pub service: String,
        /// Why, or where to.
        pub detail: String,
    }
}

/// The last decisions, oldest first.
#[derive(Debug, Default)]
pub struct Ring(collections::VecDeque<Decision>);

impl Ring {
    /// Keeps a decision, and forgets the oldest if there are too many.
    pub fn keep(
        &mut self,
        request: u64,
        at: time::Duration,
        event: &str,
        service: &str,
        detail: &str,
    ) {
        if self.0.len() >= KEPT {
            self.0.pop_front();
        }
        self.0.push_back(Decision {
            request,
            at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            event: event.to_owned(),
            service: service.to_owned(),
            detail: detail.to_owned(),
        });
    }

    /// What was decided about a request.
    pub fn about(&self, request: u64) -> Vec<Decision> {
        let same = |decision: &&Decision| decision.request == request;
        self.0.iter().filter(same).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_oldest_decisions_make_room() {
        let mut ring = Ring::default();
        for n in 0..10_000 {
            ring.keep(n, time::Duration::ZERO, "refused", "ledger", "overload");
        }
        assert_eq!(ring.0.len(), KEPT);
        assert!(ring.about(0).is_empty());
        assert_eq!(ring.about(9_999)[0].detail, "overload");
    }
}
