//! What callers' connections are doing. A connection is in use from its accept to its end, except
//! while it waits between two requests. Those that wait can be closed where file descriptors are
//! short; a planned stop waits for the others. Where descriptors or memory are short, connections of
//! callers that do not go on with their requests, or do not read, can be shed as well.

use std::cell;
use std::rc;
use std::time;

use tokio::sync;

use crate::decisions::memory;

/// Callers' connections, to find those that are idle.
#[derive(Debug, Default)]
pub struct Connections {
    slots: cell::RefCell<Vec<rc::Weak<Slot>>>,
    /// The number of slots at which those of closed connections are removed.
    prune_at: cell::Cell<usize>,
}

/// A connection's place among the connections that may be closed.
#[derive(Debug, Default)]
pub struct Slot {
    /// Since when the connection has been between two requests; `None` if it is not.
    idle_since: cell::Cell<Option<time::Instant>>,
    /// Whether it is being closed to make room for others.
    closing: cell::Cell<bool>,
    /// Whether its last answer is written and it waits for the caller to close.
    lingering: cell::Cell<bool>,
    close: sync::Notify,
    /// Since when its caller has made no progress; `None` while it is not waited for.
    slow_since: cell::Cell<Option<time::Instant>>,
    /// Bytes since then, too few for progress.
    slow_bytes: cell::Cell<usize>,
    /// Bytes of memory that it holds.
    held: cell::Cell<usize>,
    /// Whether it is shed.
    shedding: cell::Cell<bool>,
    shed: sync::Notify,
}

/// Numbers of connections that are not between two requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InUse {
    /// Those with a request that is read, runs, or has an answer that is not written yet.
    pub active: usize,
    /// Those whose last answer is written and whose caller has not closed yet.
    pub lingering: usize,
}

impl Connections {
    /// Adds a connection, which is removed some time after its end.
    pub fn add(&self) -> rc::Rc<Slot> {
        /// Fewer slots are not worth a search for closed connections.
        const MIN_PRUNED: usize = 64;
        let mut slots = self.slots.borrow_mut();
        if slots.len() >= self.prune_at.get() {
            slots.retain(|slot| slot.strong_count() > 0);
            self.prune_at.set((slots.len() * 2).max(MIN_PRUNED));
        }
        let slot = rc::Rc::default();
        slots.push(rc::Rc::downgrade(&slot));
        slot
    }

    /// The connections that are not between two requests.
    pub fn in_use(&self) -> InUse {
        let slots = self.slots.borrow();
        let open = slots.iter().filter_map(rc::Weak::upgrade);
        let in_use = open.filter(|slot| slot.idle_since.get().is_none());
        let (lingering, active) = in_use.fold((0, 0), |(lingering, active), slot| {
            match slot.lingering.get() {
                true => (lingering + 1, active),
                false => (lingering, active + 1),
            }
        });
        InUse { active, lingering }
    }

    /// Number of connections that are being closed to make room for others.
    pub fn closing(&self) -> usize {
        let slots = self.slots.borrow();
        let open = slots.iter().filter_map(rc::Weak::upgrade);
        open.filter(|slot| slot.is_closing() || slot.shedding.get())
            .count()
    }

    /// The connections whose callers are waited for and that are not being shed.
    pub fn slow(&self, now: time::Instant) -> Vec<memory::Slow<rc::Rc<Slot>>> {
        let slots = self.slots.borrow();
        let open = slots.iter().filter_map(rc::Weak::upgrade);
        let kept = open.filter(|slot| !slot.shedding.get());
        kept.filter_map(|slot| {
            Some(memory::Slow {
                slow_for: now.saturating_duration_since(slot.slow_since.get()?),
                held: slot.held.get(),
                connection: slot,
            })
        })
        .collect()
    }

    /// The connections that are between two requests and not being closed, with the time that each
    /// has been idle.
    pub fn idle(&self, now: time::Instant) -> Vec<(time::Duration, rc::Rc<Slot>)> {
        let slots = self.slots.borrow();
        let open = slots.iter().filter_map(rc::Weak::upgrade);
        let kept = open.filter(|slot| !slot.is_closing());
        kept.filter_map(|slot| {
            let since = slot.idle_since.get()?;
            Some((now.saturating_duration_since(since), slot))
        })
        .collect()
    }
}

impl Slot {
    /// Begins to wait for bytes; `since` is when the last request ended, `None` if one is in progress.
    pub(super) fn set_idle(&self, since: Option<time::Instant>) {
        self.idle_since.set(since);
    }

    /// Ends the wait.
    pub(super) fn leave(&self, closing: bool) {
        self.idle_since.set(None);
        self.closing.set(closing);
    }

    /// Begins to wait for progress of the caller, or goes on with it.
    pub(super) fn await_progress(&self, now: time::Instant) {
        if self.slow_since.get().is_none() {
            self.slow_since.set(Some(now));
            self.slow_bytes.set(0);
        }
    }

    /// Counts bytes that were read from the caller, or that it has taken.
    pub(super) fn progress(&self, now: time::Instant, bytes: usize) {
        let bytes = self.slow_bytes.get() + bytes;
        if bytes < memory::PROGRESS_BYTES {
            self.slow_bytes.set(bytes);
        } else if self.slow_since.get().is_some() {
            self.slow_since.set(Some(now));
            self.slow_bytes.set(0);
        }
    }

    /// Ends the wait for the caller.
    pub(super) fn end_wait(&self) {
        self.slow_since.set(None);
    }

    /// Since when the caller has made no progress; `None` while it is not waited for.
    pub(super) fn slow_since(&self) -> Option<time::Instant> {
        self.slow_since.get()
    }

    /// Notes the bytes of memory that the connection holds.
    pub(super) fn set_held(&self, bytes: usize) {
        self.held.set(bytes);
    }

    /// Ends the connection, whatever it does: its caller makes no progress.
    pub fn shed(&self) {
        self.shedding.set(true);
        self.shed.notify_one();
    }

    /// Waits until the connection is shed.
    pub(super) async fn wait_shed(&self) {
        self.shed.notified().await;
    }

    /// Notes that the last answer is written.
    pub(super) fn set_lingering(&self) {
        self.lingering.set(true);
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn wait_closed(&self) {
        self.close.notified().await;
    }

    /// Whether the connection is being closed to make room for others.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Closes the connection if it is still idle.
    pub fn close(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against connections accepted in one pass that count on the place of the same idle one.
    #[test]
    fn a_connection_that_is_being_closed_is_not_closed_for_another_one() {
        let connections = Connections::default();
        let now = time::Instant::now();
        let slots = [connections.add(), connections.add()];
        slots.iter().for_each(|slot| slot.set_idle(Some(now)));
        slots[0].close();
        assert_eq!(connections.idle(now).len(), 1);
        assert_eq!(connections.closing(), 1);
    }
}
