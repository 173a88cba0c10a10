//! Decides when a VM without a leader reads the platform's store itself.
//!
//! Load pattern: the store fails for a second or two, or its reader fails, and all VMs of a region
//! lose their leader at the same moment. If all then read the store, a fleet of hundreds requests
//! the whole list at once. The symptoms are waves of calls, a store whose link is saturated for
//! seconds, and VMs without data long after their start.
//!
//! So the first VMs of the order read immediately. The others wait longer the higher their rank,
//! and meanwhile keep trying to follow the VMs before them. While the store fails, they also call
//! it less often. All VMs know the same order, so no message is needed; a disagreement costs one
//! call.
//!
//! When all VMs start at once, the first ones need a full read of a long list before they can serve
//! others, from another region over many round trips. The other VMs scale their wait by that time,
//! and wait longer: a VM that has just started holds no data that could become stale.

use std::time;

use crate::decisions::policy;

/// How many VMs read the store immediately: one may be dead or cut off yet still registered.
pub const IMMEDIATE_READER_COUNT: usize = 2;

/// The extra wait per doubling of the rank. Reading a long list from the most distant region takes
/// most of a second; a list of a few hundred entries arrives within one step.
const READ_DELAY_STEP: time::Duration = time::Duration::from_millis(400);

/// The longest wait. With the silence timeout (1.5 s) and a read of the store (0.3 s) on top, a
/// change is in force within the four seconds required in large fleets. A fleet with four VMs a
/// region waits a single step.
const MAX_READ_DELAY: time::Duration = time::Duration::from_millis(2000);

/// How many times longer a full read and its transfer to followers take than the first call after a
/// start, which opens a connection.
const FULL_READ_CALL_RATIO: u32 = 4;

/// The longest wait of a VM that has just started.
const MAX_INITIAL_READ_DELAY: time::Duration = time::Duration::from_secs(6);

/// The first and the longest backoff of the VMs that read immediately. It doubles after each failed
/// call: more calls do not help an overloaded store, yet its changes must be known soon after it
/// recovers.
const IMMEDIATE_READER_BACKOFF: [time::Duration; 2] = [
    time::Duration::from_millis(250),
    time::Duration::from_millis(500),
];

/// The same for the other VMs, which get the changes from those before them.
const DELAYED_READER_BACKOFF: [time::Duration; 2] = [
    time::Duration::from_millis(1000),
    time::Duration::from_millis(2000),
];

/// How long a VM of this rank waits before it reads the store.
pub fn read_delay(rank: usize) -> time::Duration {
    (READ_DELAY_STEP * doublings(rank)).min(MAX_READ_DELAY)
}

/// The same for a VM whose first call to the store after its start took `call`. Only the first VM
/// reads immediately: when all VMs start, full lists fill the store's link.
pub fn initial_read_delay(rank: usize, call: time::Duration) -> time::Duration {
    let step = READ_DELAY_STEP.max(call * FULL_READ_CALL_RATIO);
    (step * doublings(rank + 1)).min(MAX_INITIAL_READ_DELAY)
}

fn doublings(rank: usize) -> u32 {
    (rank / IMMEDIATE_READER_COUNT)
        .checked_ilog2()
        .map_or(0, |n| n + 1)
}

/// When a VM reads the store next.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadSchedule {
    /// The earliest time of the next read; `None` while the VM has a leader.
    next_read: Option<policy::Moment>,
    /// The number of consecutive failed calls.
    failed_calls: u32,
    /// The duration of the first call, until the VM has a leader.
    first_call: Option<time::Duration>,
}

impl ReadSchedule {
    /// The schedule after a start, where `call` is the duration of the first call to the store.
    pub fn at_start(call: time::Duration) -> Self {
        Self {
            first_call: Some(call),
            ..Self::default()
        }
    }

    /// Resets the schedule, because the VM has a leader or its read succeeded.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns how long a VM of this rank, which has no leader, still waits before it reads the
    /// store.
    pub fn remaining_delay(&mut self, now: policy::Moment, rank: usize) -> time::Duration {
        let delay = match self.first_call {
            Some(call) => initial_read_delay(rank, call),
            None => read_delay(rank),
        };
        let next_read = *self.next_read.get_or_insert(now + delay);
        next_read.saturating_sub(now)
    }

    /// Schedules the next read for now. It takes place unless the VM finds a leader first.
    pub fn read_now(&mut self, now: policy::Moment) {
        self.next_read = Some(now);
    }

    /// Schedules a full read for this rank's turn, after the store has lost the history that this VM
    /// watched. All VMs that read the store learn that at the same moment.
    pub fn await_turn(&mut self, now: policy::Moment, rank: usize) {
        self.next_read = Some(now + read_delay(rank));
    }

    /// Records a failed call that began at `begun`. The backoff runs from then, so it includes the
    /// call: a full backoff after each call that hung delayed changes by up to half a second after
    /// an outage, and requests went to backend servers that had left.
    pub fn record_failure(&mut self, begun: policy::Moment, rank: usize) {
        let [first, longest] = match rank < IMMEDIATE_READER_COUNT {
            true => IMMEDIATE_READER_BACKOFF,
            false => DELAYED_READER_BACKOFF,
        };
        let backoff = first * 2_u32.pow(self.failed_calls.min(8));
        self.failed_calls += 1;
        self.next_read = Some(begun + backoff.min(longest));
    }
}
