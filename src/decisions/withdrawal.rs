//! Stops sending to a backend server that says in an answer that it leaves.
//!
//! Load pattern: a backend server shuts down while the platform's store, which would list that, is
//! away or cut off from this VM. The symptom is requests that its end cuts off. Its answers say
//! that it leaves, so a VM that got one needs neither the store nor another VM. An entry that still
//! lists it as ready may be older than the answer and changes nothing.
//!
//! A backend server that gets no requests cannot take its words back, so they hold for a time: much
//! longer than a shutdown takes, and short enough that one which stays is used again.

use std::time;

use super::policy;

/// How long after its last answer that says so a backend server counts as leaving.
const LEAVING_HOLD: time::Duration = time::Duration::from_secs(60);

/// What a backend server's answers have said about requests that it does not want.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Withdrawal {
    leaving_until: policy::Moment,
}

impl Withdrawal {
    /// Records an answer that says that the backend server leaves. Returns whether this is news.
    pub fn leaves(&mut self, now: policy::Moment) -> bool {
        let was_leaving = self.is_leaving(now);
        self.leaving_until = now + LEAVING_HOLD;
        !was_leaving
    }

    /// Whether the backend server counts as leaving.
    pub fn is_leaving(&self, now: policy::Moment) -> bool {
        now < self.leaving_until
    }

    /// Whether anything that was said still holds.
    pub fn is_in_force(&self, now: policy::Moment) -> bool {
        self.is_leaving(now)
    }
}
