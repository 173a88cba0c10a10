//! Decides when less urgent requests leave capacity to more urgent ones of the same service.
//!
//! Load pattern: an overloaded service with many reads and a few bookings. Refused at the same load,
//! bookings are refused as often as reads: payments fail while photo lists are still served.
//! Reserving a part of each backend server for bookings at all times would refuse reads needlessly
//! whenever there are no bookings.
//!
//! So capacity is reserved only for [`RESERVATION_TIME`] after a more urgent request was refused.

use std::time;

use super::policy;

/// Duration of the reservation after the refusal of a more urgent request. A refused caller retries
/// within a fraction of a second, and an overload lasts for some seconds.
pub const RESERVATION_TIME: time::Duration = time::Duration::from_secs(1);

/// Reservation state of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Precedence {
    reserved_until: policy::Moment,
}

impl Precedence {
    /// Records that one of the most urgent requests found no capacity.
    pub fn urgent_refused(&mut self, now: policy::Moment) {
        self.reserved_until = now + RESERVATION_TIME;
    }

    /// Whether less urgent requests leave capacity at `now`.
    pub fn yields(&self, now: policy::Moment) -> bool {
        now < self.reserved_until
    }
}
