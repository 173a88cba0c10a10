//! Recent decisions about single requests, so that each can be explained by its request id.
//!
//! During failures the log is rate-limited and may omit the request that an operator looks for.
//! This ring buffer keeps every recent decision independently of the log.

use std::collections;
use std::time;

/// Decisions kept in the ring buffer. At about 150 bytes each they take less than 1 MB.
const MAX_DECISIONS: usize = 4096;

data! {
    /// One decision about one request.
    #[derive(Eq)]
    pub struct Decision {
        /// The request's number in this process.
        pub request: u64,
        /// The time of the decision, in milliseconds since the start of the process.
        pub at_ms: u64,
        /// The decision, as in the log's `event`.
        pub event: String,
        /// The service.
        pub service: String,
        /// The reason for the decision or its target.
        pub detail: String,
    }
}

/// The ring buffer of recent decisions, oldest first.
#[derive(Debug, Default)]
pub struct DecisionRing(collections::VecDeque<Decision>);

impl DecisionRing {
    /// Adds a decision and evicts the oldest one if the buffer is full.
    pub fn record(
        &mut self,
        request: u64,
        at: time::Duration,
        event: &str,
        service: &str,
        detail: &str,
    ) {
        if self.0.len() >= MAX_DECISIONS {
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

    /// The decisions about a request, oldest first.
    pub fn about(&self, request: u64) -> Vec<Decision> {
        let same = |decision: &&Decision| decision.request == request;
        self.0.iter().filter(same).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_full_buffer_evicts_the_oldest_decisions() {
        let mut ring = DecisionRing::default();
        for n in 0..10_000 {
            ring.record(n, time::Duration::ZERO, "refused", "ledger", "overload");
        }
        assert_eq!(ring.0.len(), MAX_DECISIONS);
        assert!(ring.about(0).is_empty());
        assert_eq!(ring.about(9_999)[0].detail, "overload");
    }
}
