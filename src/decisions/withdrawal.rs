//! Stops sending to a backend server that says in an answer that it leaves, or that it wants no
//! requests for a time.
//!
//! Load pattern: a backend server shuts down while the platform's store, which would list that, is
//! away or cut off from this VM. The symptom is requests that its end cuts off. Its answers say
//! that it leaves, so a VM that got one needs neither the store nor another VM. An entry that still
//! lists it as ready may be older than the answer and changes nothing.
//!
//! A backend server that gets no requests cannot answer that it stays after all, so the statement
//! expires: much later than a shutdown ends, and soon enough that one which stays is used again.
//!
//! Load pattern: a backend server in overload turns requests away and says how long it wants none of
//! this VM. Each request in that time costs it work, and a resend from the budget that all VMs
//! share. The symptom is a backend server that gets more requests the longer it turns all away.
//! The pause holds whatever others do: that a whole service turns requests away is no reason to go
//! on sending.

use std::time;

use super::policy;

/// How long after its last answer that says so a backend server counts as leaving.
const LEAVING_HOLD: time::Duration = time::Duration::from_secs(60);

/// Longest pause that is kept. A longer one is more likely a mistake, and no answer could end it.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(60);

/// What a backend server's answers have said about requests that it does not want.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Withdrawal {
    leaving_until: policy::Moment,
    paused_until: policy::Moment,
}

impl Withdrawal {
    /// Records an answer that says that the backend server leaves. Returns whether it was not known.
    pub fn leaves(&mut self, now: policy::Moment) -> bool {
        let was_leaving = self.is_leaving(now);
        self.leaving_until = now + LEAVING_HOLD;
        !was_leaving
    }

    /// Whether the backend server counts as leaving.
    pub fn is_leaving(&self, now: policy::Moment) -> bool {
        now < self.leaving_until
    }

    /// Records an answer that asks for a pause of this many seconds. An earlier, longer one holds on.
    /// Returns the pause that is kept.
    pub fn asks_for_pause(&mut self, now: policy::Moment, seconds: f64) -> time::Duration {
        let asked = time::Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PAUSE);
        let pause = asked.min(MAX_PAUSE);
        self.paused_until = self.paused_until.max(now + pause);
        pause
    }

    /// How long the backend server still wants no requests of this VM.
    pub fn pause_left(&self, now: policy::Moment) -> time::Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Whether anything that was said still holds.
    pub fn is_in_force(&self, now: policy::Moment) -> bool {
        self.is_leaving(now) || !self.pause_left(now).is_zero()
    }
}
