//! Decides when a backend server that is missing from the platform's list is removed.
//!
//! The list is backed by leases in the store. During a store outage the leases of healthy backend
//! servers may expire; afterwards the list is empty or nearly so, and fills again within about two
//! seconds. Applying that list would leave no backend server to send to, and callers would be
//! refused right after the outage. So for [`REMOVAL_HOLD`] after an outage, missing backend servers
//! are kept.
//!
//! If only this VM was cut off from the store, the missing backend servers have really stopped.
//! Keeping one that is shutting down would send it requests that its shutdown then aborts. The
//! share of missing servers tells the two cases apart: an outage expires nearly all leases, whereas
//! few servers stop at a time.

use std::collections;
use std::time;

use crate::decisions::policy;
use crate::id;

/// How long after an outage a missing backend server is kept. Backend servers register again within
/// two seconds.
pub const REMOVAL_HOLD: time::Duration = time::Duration::from_millis(2200);

/// How long after an outage missing backend servers are counted. The first answers after an outage
/// arrive within this time.
const MISSING_COUNT_WINDOW: time::Duration = time::Duration::from_millis(300);

/// The share of the list that must be missing for an outage to be the cause. A release or the loss
/// of an availability zone removes about a sixth.
const OUTAGE_MIN_MISSING_SHARE: f64 = 0.4;

/// The shortest gap between two answers that counts as an outage. A shorter gap expires no lease.
const OUTAGE_MIN_DURATION: time::Duration = time::Duration::from_millis(900);

/// The state of the store and the backend servers that are held.
#[derive(Debug, Default)]
pub struct RemovalGuard {
    last_answer: Option<policy::Moment>,
    failing: bool,
    outage_ended: Option<policy::Moment>,
    held: collections::BTreeSet<id::VmId>,
}

impl RemovalGuard {
    /// Records a failed call. Returns whether it is the first since the last answer.
    pub fn record_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.failing, true)
    }

    /// Records an answer of the store. Returns the length of the outage if one has just ended.
    pub fn record_answer(&mut self, now: policy::Moment) -> Option<time::Duration> {
        let gap = now.saturating_sub(self.last_answer.unwrap_or(now));
        self.last_answer = Some(now);
        if !std::mem::take(&mut self.failing) || gap < OUTAGE_MIN_DURATION {
            return None;
        }
        self.outage_ended = Some(now);
        Some(gap)
    }

    /// The time since the store's last answer; `None` if it has not answered yet.
    pub fn answer_age(&self, now: policy::Moment) -> Option<time::Duration> {
        Some(now.saturating_sub(self.last_answer?))
    }

    /// Records that the list lacks a backend server. Returns whether to remove it at once.
    pub fn record_missing(&mut self, now: policy::Moment, vm: &id::VmId) -> bool {
        let holds = self
            .outage_ended
            .is_some_and(|ended| now < ended + REMOVAL_HOLD);
        if holds {
            self.held.insert(vm.clone());
        }
        !holds
    }

    /// Records that the list contains a backend server.
    pub fn record_present(&mut self, vm: &id::VmId) {
        self.held.remove(vm);
    }

    /// Returns the held backend servers to remove now, given `known` backend servers in total.
    pub fn take_overdue(&mut self, now: policy::Moment, known: usize) -> Vec<id::VmId> {
        let likely_outage = self.held.len() as f64 >= known as f64 * OUTAGE_MIN_MISSING_SHARE;
        let wait = match likely_outage {
            true => REMOVAL_HOLD,
            false => MISSING_COUNT_WINDOW,
        };
        if self.outage_ended.is_some_and(|ended| now < ended + wait) {
            return Vec::new();
        }
        std::mem::take(&mut self.held).into_iter().collect()
    }
}
