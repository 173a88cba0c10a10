//! Bounds how many requests all entry VMs together send a second time.
//!
//! Load pattern: backend servers that fail or refuse under load. Retries that each VM limits only for
//! itself add load when capacity is lowest, multiplied by the number of VMs. The symptom is that a
//! service receives a multiple of its callers' requests.
//!
//! The operators' bound: in any window of length W, all VMs together send at most
//! `share` x R + `extra` second sends. R is the number of requests in that window or in the one before
//! it, whichever has more. Each VM keeps its part without messages:
//!
//! - A bucket of tokens. Each request of a caller adds `INFLOW` x `share`. The bucket holds at most
//!   `BACKLOG` x `share` x (requests in the last W), plus a floor f. A new process starts with f.
//! - Sends for which the bucket has no token come from the extra: at most x in any W.
//! - f + x = e, the VM's part of the extra (`FleetView::extra`).
//!
//! Why the bound holds, for a window that begins at `a`. p and c are a VM's requests in the window
//! before `a` and in the one after it.
//!
//! - At the VM's first event after `a`, the bucket holds at most BACKLOG x share x p + f. Until the end
//!   of the window it gets INFLOW x share x c. So the VM sends at most
//!   share x (BACKLOG x p + INFLOW x c) + f + x a second time.
//! - Summed over all VMs, with P and C their requests: share x (BACKLOG x P + INFLOW x C) + the sum
//!   of e. As BACKLOG + INFLOW = 1, the first term is at most share x max(P, C), wherever demand moves
//!   and however it falls. So nearly all of `share` x requests is used, and no margin is needed for it.
//! - Parts of the extra: a *settled* VM has seen itself advertised to callers without interruption for
//!   more than W, in a current view of the list, and divides `used_share` x `extra` by the largest
//!   number n of advertised VMs that it saw in that time. All settled VMs that send in the window were
//!   thus advertised together at `a`, and n is no less than their number. Their parts sum up to at most
//!   `used_share` x `extra`, even if the list changes completely within the window.
//! - Other advertised VMs (just started, just listed, or with an old view of the list) divide
//!   `UNSETTLED_PART` of the margin by n. Their sum is within the margin as long as at most 2.5 n such
//!   processes send in one window: each advertised VM may start again, or lose the store, once.
//! - VMs that are not advertised divide `UNADVERTISED_PART` by the number of all VMs, and get at
//!   most `MAX_UNADVERTISED`. Callers leave them within seconds, so few of these parts are used.
//! - The rest of the margin is for lists that differ among VMs: with the defaults, and without
//!   unsettled VMs, n may be too low by a quarter on all of them.
//!
//! With few requests, the extra alone counts and sends are drawn from f and x. A single VM has n = 1.
//! Counts are kept in steps of W / 20: requests in 20 steps, which are at most W, and sends from the
//! extra in 21 steps, which are at least W.

use std::time;

use super::{policy, resend_priority};

/// Fleet-wide bound on second sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Second sends per request.
    pub share: f64,
    /// Additional second sends of all VMs together per window.
    pub extra: f64,
    /// Length of the window.
    pub window: time::Duration,
    /// The part of `extra` that VMs with a settled view divide. The rest is a margin for VMs that
    /// have just joined or left, which others miscount for a few seconds. With 0, nothing is sent a
    /// second time.
    pub used_share: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            share: 0.1,
            extra: 20.0,
            window: time::Duration::from_secs(10),
            used_share: 0.75,
        }
    }
}

/// The part of `share` that a request adds to the bucket.
const INFLOW: f64 = 0.75;

/// The part of `share` x requests of the last window that the bucket holds. It covers the first
/// second after a failure, when all sends to the failed backend servers are repeated at once.
const BACKLOG: f64 = 1.0 - INFLOW;

/// The part of the margin that advertised VMs without a settled view divide. When a VM starts again,
/// there are two of them: itself, and the one that is advertised in its place meanwhile.
const UNSETTLED_PART: f64 = 0.4;

/// The part of the margin that VMs which are not advertised divide.
const UNADVERTISED_PART: f64 = 0.8;

/// The most of a VM's extra that the bucket holds: one send, so that a few requests add up to one.
const MAX_FLOOR: f64 = 1.0;

/// The most second sends from the extra in a window of a VM that is not advertised.
const MAX_UNADVERTISED: f64 = 1.0;

/// How much longer than a window a VM must have been advertised: changes of the list reach all VMs,
/// and their [`FleetView`], within this time.
const VIEW_LAG: time::Duration = time::Duration::from_secs(4);

/// How old a [`FleetView`] may become while no second send is asked for. Selecting the advertised VMs of
/// all regions costs milliseconds with thousands of VMs.
const MAX_FLEET_VIEW_AGE: time::Duration = time::Duration::from_secs(2);

/// Number of steps in which the window advances.
const WINDOW_STEPS: usize = 20;

/// Whether callers are sent to this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advertised {
    /// They are.
    Yes,
    /// They are by a list that may be out of date.
    ByOldView,
    /// They are not.
    No,
}

/// What this VM knows of the VMs that callers are sent to.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetView {
    /// Since when this VM has been advertised; `None`: it is not.
    advertised_since: Option<policy::Moment>,
    /// The largest number of advertised VMs in this period and in the one before it.
    most: [usize; 2],
    period: u128,
    /// The number of all VMs.
    listed: usize,
    updated_at: policy::Moment,
}

impl FleetView {
    /// Records the current list of advertised VMs: whether it has this one, and the number of VMs in
    /// it and of all VMs. While the list may be out of date, others may divide the extra by a smaller
    /// number, so this VM counts as advertised only since the last such moment.
    pub fn update(
        &mut self,
        bound: &Bound,
        now: policy::Moment,
        is_advertised: Advertised,
        advertised: usize,
        listed: usize,
    ) {
        self.listed = listed;
        self.updated_at = now;
        self.advertised_since = match is_advertised {
            Advertised::Yes => self.advertised_since.or(Some(now)),
            Advertised::ByOldView => Some(now),
            Advertised::No => None,
        };
        let period = now.as_nanos() / (bound.window + VIEW_LAG).as_nanos();
        let [current, before] = self.most;
        self.most = match period - self.period {
            0 => [current.max(advertised), before],
            // Without updates in between, the list was as in the last one.
            _ => [advertised, current],
        };
        self.period = period;
    }

    /// Whether the list must be recorded again, although no second send is asked for.
    pub fn is_due(&self, now: policy::Moment) -> bool {
        now.saturating_sub(self.updated_at) >= MAX_FLEET_VIEW_AGE
    }

    /// This VM's part of the extra. `is_view_current`: whether the list is known to be current.
    pub fn extra(&self, bound: &Bound, now: policy::Moment, is_view_current: bool) -> f64 {
        let vms = self.most[0].max(self.most[1]).max(1);
        // Operators who allow a small part mean it for all VMs.
        let margin = (1.0 - bound.used_share).min(bound.used_share / 3.0);
        let margin = bound.extra * margin;
        let Some(since) = self.advertised_since else {
            let part = margin * UNADVERTISED_PART / self.listed.max(vms) as f64;
            return part.min(MAX_UNADVERTISED);
        };
        let seen_for = now.saturating_sub(since);
        let part = match is_view_current && seen_for > bound.window + VIEW_LAG {
            true => bound.extra * bound.used_share,
            false => margin * UNSETTLED_PART,
        };
        part / vms as f64
    }
}

/// Counts of the last `N` steps, and their sum.
#[derive(Clone, Copy, Debug)]
struct Steps<const N: usize> {
    counts: [f64; N],
    sum: f64,
    step: usize,
}

impl<const N: usize> Default for Steps<N> {
    fn default() -> Self {
        Self {
            counts: [0.0; N],
            sum: 0.0,
            step: 0,
        }
    }
}

impl<const N: usize> Steps<N> {
    fn advance(&mut self, step: usize) {
        if step <= self.step {
            return;
        }
        for passed in self.step + 1..=step.min(self.step + N) {
            self.counts[passed % N] = 0.0;
        }
        self.step = step;
        self.sum = self.counts.iter().sum();
    }

    fn add(&mut self, count: f64) {
        self.counts[self.step % N] += count;
        self.sum += count;
    }
}

/// Requests and second sends of one service on this VM.
#[derive(Clone, Debug, Default)]
pub struct ResendBudget {
    requests: Steps<WINDOW_STEPS>,
    from_extra: Steps<{ WINDOW_STEPS + 1 }>,
    tokens: f64,
    /// The tokens that the bucket holds beyond its part for requests; `None` until the first ask.
    floor: Option<f64>,
    priorities: resend_priority::Priorities,
}

impl ResendBudget {
    fn advance(&mut self, bound: &Bound, now: policy::Moment) {
        let width = (bound.window / WINDOW_STEPS as u32).max(time::Duration::from_millis(1));
        let step = (now.as_nanos() / width.as_nanos()) as usize;
        self.requests.advance(step);
        self.from_extra.advance(step);
        self.tokens = self.tokens.min(self.most_tokens(bound));
    }

    /// The most tokens that the bucket may hold.
    fn most_tokens(&self, bound: &Bound) -> f64 {
        BACKLOG * bound.share * self.requests.sum + self.floor.unwrap_or_default()
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, bound: &Bound, now: policy::Moment) {
        self.advance(bound, now);
        self.requests.add(1.0);
        self.tokens += INFLOW * bound.share;
    }

    /// Whether the budget allows a second send. `extra` is this VM's part of the extra.
    fn allows(
        &mut self,
        bound: &Bound,
        now: policy::Moment,
        extra: f64,
        ask: resend_priority::Ask,
    ) -> bool {
        let floor = extra.min(MAX_FLOOR);
        if self.floor.replace(floor).is_none() {
            self.tokens += floor;
        }
        self.advance(bound, now);
        let rest = extra - floor;
        if bound.used_share <= 0.0 {
            return false;
        }
        let left = self.tokens + (rest - self.from_extra.sum).max(0.0);
        let capacity = self.most_tokens(bound) + rest;
        let leaves = (self.priorities).must_leave(bound.window, now, ask, capacity);
        left >= 1.0 + leaves
    }

    /// Whether the budget allows a second send, without counting one. `extra` is this VM's part of the
    /// extra. A request that is refused counts as one that asked.
    pub fn allows_or_refuses(
        &mut self,
        bound: &Bound,
        now: policy::Moment,
        extra: f64,
        ask: resend_priority::Ask,
    ) -> bool {
        let allowed = self.allows(bound, now, extra, ask);
        if !allowed {
            self.priorities.refused(bound.window, now, ask);
        }
        allowed
    }

    /// Counts a second send and returns `true` if the budget allows one.
    pub fn take(
        &mut self,
        bound: &Bound,
        now: policy::Moment,
        extra: f64,
        ask: resend_priority::Ask,
    ) -> bool {
        if !self.allows_or_refuses(bound, now, extra, ask) {
            return false;
        }
        let from_tokens = self.tokens.min(1.0);
        self.tokens -= from_tokens;
        self.from_extra.add(1.0 - from_tokens);
        self.priorities.granted(bound.window, now, ask);
        true
    }
}
