//! Which backend servers count as gone when the platform's list loses them.
//!
//! The list is kept by leases in the store. When the store was away, the leases of sound backend
//! servers may have ended meanwhile; the list comes back empty or nearly so, and fills again
//! within about two seconds. Taken at its word it leaves nothing to send to, which one notices as
//! refusals right after the store's return. So for [`HOLD`] after a return, what is missing stays.
//!
//! Where only this VM had been cut off, the store went on, and what is missing has left. Kept
//! then, a backend server that is about to end would get requests which its end cuts. The two are
//! told apart by how much is missing: leases that ended while the store was away ended for nearly
//! all, and a few that have left are few.

use std::collections;
use std::time;

use crate::decisions::policy;
use crate::id;

/// How long after the store's return a missing backend server is kept: backend servers register
/// again within two seconds.
pub const HOLD: time::Duration = time::Duration::from_millis(2200);

/// How long after the store's return what is missing is counted. The first answers after a return
/// come within this.
const COUNT: time::Duration = time::Duration::from_millis(300);

/// The part of the list that must be missing for the leases to have ended by the store's absence.
/// A release or a lost availability zone takes a sixth or so.
const MASS: f64 = 0.4;

/// How long the store must have been silent for its return to count as one. A shorter gap ends
/// no lease.
const AWAY: time::Duration = time::Duration::from_millis(900);

/// What was missed, and since when the store is back.
#[derive(Debug, Default)]
pub struct Listing {
    heard: Option<policy::Moment>,
    failing: bool,
    back: Option<policy::Moment>,
    missing: collections::BTreeSet<id::VmId>,
}

impl Listing {
    /// A call to the store failed. Returns whether it is the first since the last that did not.
    pub fn failed(&mut self) -> bool {
        !std::mem::replace(&mut self.failing, true)
    }

    /// The store answered. Returns for how long it had been away, where it had.
    pub fn heard(&mut self, now: policy::Moment) -> Option<time::Duration> {
        let gap = now.saturating_sub(self.heard.unwrap_or(now));
        self.heard = Some(now);
        if !std::mem::take(&mut self.failing) || gap < AWAY {
            return None;
        }
        self.back = Some(now);
        Some(gap)
    }

    /// How long ago the store answered last; `None` if it never did.
    pub fn age(&self, now: policy::Moment) -> Option<time::Duration> {
        Some(now.saturating_sub(self.heard?))
    }

    /// The list no longer has this one. Returns whether it is gone at once.
    pub fn lost(&mut self, now: policy::Moment, name: &id::VmId) -> bool {
        let holding = self.back.is_some_and(|back| now < back + HOLD);
        if holding {
            self.missing.insert(name.clone());
        }
        !holding
    }

    /// The list has this one.
    pub fn found(&mut self, name: &id::VmId) {
        self.missing.remove(name);
    }

    /// Those that are gone by now, of `known` backend servers in all.
    pub fn overdue(&mut self, now: policy::Moment, known: usize) -> Vec<id::VmId> {
        let mass = self.missing.len() as f64 >= known as f64 * MASS;
        let wait = match mass {
            true => HOLD,
            false => COUNT,
        };
        if self.back.is_some_and(|back| now < back + wait) {
            return Vec::new();
        }
        std::mem::take(&mut self.missing).into_iter().collect()
    }
}
