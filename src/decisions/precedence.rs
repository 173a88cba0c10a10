//! Decides when other requests leave capacity to preferred ones of the same service: the most urgent
//! ones, or those of customers within their shares ([`super::shares`]).
//!
//! Load pattern: an overloaded service with many reads and a few bookings. Refused at the same load,
//! bookings are refused as often as reads: payments fail while photo lists are still served.
//! Reserving a part of each backend server for bookings at all times would refuse reads needlessly
//! whenever there are no bookings.
//!
//! So capacity is reserved only for [`RESERVATION_TIME`] after a preferred request was refused.
//!
//! Load pattern: callers that were refused return while new requests take all capacity. A second
//! refusal is the last one, since they retry once. So while promised retries are due, requests with
//! a later [`Claim`] leave a part of the same capacity to them; the later the claim, the more.

use std::time;

use super::policy;

/// Duration of the reservation after the refusal of a preferred request. A refused caller retries
/// within a fraction of a second, and an overload lasts for some seconds.
pub const RESERVATION_TIME: time::Duration = time::Duration::from_secs(1);

/// The claim of a request to capacity. The lower goes first: retries before first attempts of their
/// class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claim {
    class: usize,
    first_attempt: bool,
}

impl Claim {
    /// The claim of a request of a class, where 0 is the most urgent.
    pub fn new(class: usize, is_retry: bool) -> Self {
        Self {
            class,
            first_attempt: !is_retry,
        }
    }

    /// The claim of a retry.
    pub fn retry(class: usize) -> Self {
        Self::new(class, true)
    }
}

/// The share of the reserved capacity that a less urgent retry leaves to more urgent requests. Its
/// class's first attempts leave all.
const LESS_URGENT_RETRY_SHARE: f64 = 0.5;

/// The share that the most urgent first attempts leave to retries of their class; less than a less
/// urgent retry leaves to them.
const URGENT_FIRST_SHARE: f64 = 0.25;

/// The share of the reserved capacity that a request of a customer above its share leaves to those
/// within theirs. The most urgent of several ranks leave half, so that urgency still counts among
/// customers. Where all are equally urgent, half would let one customer fill what the others need.
pub fn reserved_by_excess(low_priority: bool, has_several_ranks: bool) -> f64 {
    const URGENT_SHARE: f64 = 0.5;
    match !low_priority && has_several_ranks {
        true => URGENT_SHARE,
        false => 1.0,
    }
}

/// Reservation state of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Precedence {
    reserved_until: policy::Moment,
}

impl Precedence {
    /// Records that a preferred request found no capacity.
    pub fn refused(&mut self, now: policy::Moment) {
        self.reserved_until = now + RESERVATION_TIME;
    }

    /// The share of the reserved capacity that a request leaves free at `now`. `expected` is the
    /// first claim among the promised retries that are due.
    pub fn reserved_share(&self, now: policy::Moment, own: Claim, expected: Option<Claim>) -> f64 {
        let is_before = |expected: Claim| expected.class < own.class;
        let behind_urgent = own.class > 0 && (self.yields(now) || expected.is_some_and(is_before));
        let behind_retry = expected.is_some_and(|expected| expected < own);
        match (behind_urgent, own.first_attempt) {
            (true, false) => LESS_URGENT_RETRY_SHARE,
            (false, true) if own.class == 0 && behind_retry => URGENT_FIRST_SHARE,
            (behind_urgent, _) if behind_urgent || behind_retry => 1.0,
            _ => 0.0,
        }
    }

    /// Whether other requests leave capacity at `now`.
    pub fn yields(&self, now: policy::Moment) -> bool {
        now < self.reserved_until
    }
}
