//! Bounds how many waiting requests an event tries to send.
//!
//! Load pattern: many requests for cold objects come first in order, and none of them finds room. A
//! search that tries all requests costs more the longer the queue is; one that gives up after some
//! never reaches those behind. The symptom is requests that starve while their backend servers have
//! room.
//!
//! So a search tries the first requests in order, and then goes on where the searches before it
//! ended, until one of them reaches the end of the queue.

use std::ops;

/// A set of backend servers by hash, as a bit for each. It may seem to contain others as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendSet(u64);

impl BackendSet {
    /// All backend servers.
    pub const ALL: Self = Self(u64::MAX);

    /// One backend server.
    pub fn one(hash: u64) -> Self {
        Self(1 << (hash % u64::from(u64::BITS)))
    }

    /// The part of all backend servers that a tick looks at; 16 ticks look at all.
    pub fn part(tick: u64) -> Self {
        Self(0xf << (tick % 16 * 4))
    }

    /// Whether no backend server is in the set.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The backend servers of either set.
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }
}

/// Different objects that find no room before a search ends. It bounds the cost of an event.
pub(super) const MAX_FAILED_GROUPS: usize = 16;

/// Those of them at the front of the queue. More are left for the rest if fewer fail there; with fewer
/// here, less urgent requests overtake more urgent ones.
const MAX_FAILED_IN_FRONT: usize = MAX_FAILED_GROUPS * 3 / 4;

/// The part of the queue that a search is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Front,
    Rest,
    Over,
}

/// A search for waiting requests that find room after an event.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    freed: BackendSet,
    failed: [u64; MAX_FAILED_GROUPS],
    failed_len: usize,
    stage: Stage,
}

impl Search {
    /// A search among the requests that these backend servers may get.
    pub fn new(freed: BackendSet) -> Self {
        Self {
            freed,
            failed: [0; MAX_FAILED_GROUPS],
            failed_len: 0,
            stage: Stage::Front,
        }
    }

    pub(super) fn is_in_front(&self) -> bool {
        self.stage == Stage::Front
    }

    /// Ends the search of the front of the queue.
    pub(super) fn leave_front<T>(&mut self, rest: &mut Rest<T>) {
        self.stage = Stage::Rest;
        if self.failed_len >= MAX_FAILED_IN_FRONT {
            rest.freed = rest.freed.union(self.freed);
            rest.freed_again = rest.freed_again.union(self.freed);
        }
        if rest.freed.is_empty() {
            self.stage = Stage::Over;
        }
    }

    /// Ends the search of the rest of the queue.
    pub(super) fn leave_rest<T>(&mut self, rest: &mut Rest<T>) {
        self.stage = Stage::Over;
        if self.failed_len < MAX_FAILED_GROUPS {
            rest.after = None;
            rest.freed = std::mem::take(&mut rest.freed_again);
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.stage == Stage::Over
    }

    /// Tries a request if these backend servers may have room for it. Breaks with true if it was
    /// sent, and with false if the search of this part of the queue ends.
    pub(super) fn visit(
        &mut self,
        backends: BackendSet,
        group: u64,
        rest_freed: BackendSet,
        try_send: impl FnOnce() -> bool,
    ) -> ops::ControlFlow<bool> {
        let (freed, max_failed) = match self.stage {
            Stage::Front => (self.freed, MAX_FAILED_IN_FRONT),
            Stage::Rest | Stage::Over => (rest_freed, MAX_FAILED_GROUPS),
        };
        let has_failed = self.failed[..self.failed_len].contains(&group);
        if has_failed || !backends.intersects(freed) {
            return ops::ControlFlow::Continue(());
        }
        if try_send() {
            return ops::ControlFlow::Break(true);
        }
        self.failed[self.failed_len] = group;
        self.failed_len += 1;
        match self.failed_len < max_failed {
            true => ops::ControlFlow::Continue(()),
            false => ops::ControlFlow::Break(false),
        }
    }
}

/// What earlier searches of a queue have not reached.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rest<T> {
    /// The last request that was tried; `None` for the start of the queue.
    pub(super) after: Option<T>,
    /// Backend servers that got room for which the requests behind it have not been tried.
    pub(super) freed: BackendSet,
    /// Those for which the requests before it have not been tried.
    freed_again: BackendSet,
}

impl<T> Default for Rest<T> {
    fn default() -> Self {
        Self {
            after: None,
            freed: BackendSet::default(),
            freed_again: BackendSet::default(),
        }
    }
}
