//! Limits how fast the share of requests that must run in another region may grow.
//!
//! Load pattern: a large customer whose home is another region suddenly sends several times its usual
//! load. Within a second, a large share of this region's requests runs in the home region. Links and
//! caches there cannot take such a shift, which is why operators cap it; the symptom is high latency
//! for all callers of the home region.
//!
//! The share therefore grows by at most a part of the cap per span. Requests beyond it are refused at
//! once and retried by their callers, and the share reaches the demand within some spans.

use std::time;

use super::{policy, window};

/// Time span to which the operators' cap on the change of the share applies.
const SHARE_SPAN: time::Duration = time::Duration::from_secs(2);

/// Window steps per span; the window holds two spans.
const STEPS_PER_SPAN: usize = window::STEPS / 2;

/// Window steps of the last part of a span.
const RECENT_STEPS: usize = STEPS_PER_SPAN / 4;

/// Share of the cap that is used. The rest covers objects that move meanwhile, and VMs that receive a
/// different mix of the region's callers.
const USED_CAP_SHARE: f64 = 0.67;

/// Requests per span that may leave at any share: of few requests, one is already a large share.
const ALWAYS_ALLOWED_COUNT: f64 = 3.0;

/// Minimum number of requests in a span for its share to be meaningful.
const MIN_SHARE_SAMPLE_COUNT: f64 = 20.0;

/// Recent requests of one region's callers, and those of them that run in another region.
#[derive(Clone, Debug)]
pub struct Departures {
    all: window::Counts,
    leaving: window::Counts,
}

impl Default for Departures {
    fn default() -> Self {
        Self {
            all: window::Counts::new(SHARE_SPAN * 2),
            leaving: window::Counts::new(SHARE_SPAN * 2),
        }
    }
}

impl Departures {
    /// Counts an admitted request.
    pub fn count(&mut self, now: policy::Moment, leaves: bool) {
        self.all.add(now, 1.0);
        self.leaving.add(now, f64::from(u8::from(leaves)));
    }

    /// Uncounts a request that was admitted at `admitted_at` but never ran. Otherwise requests
    /// refused by a full home region would count towards a share that never ran there, and all of it
    /// could run at once as soon as there is room.
    pub fn take_back(&mut self, now: policy::Moment, admitted_at: policy::Moment, leaves: bool) {
        self.all.take_back(now, admitted_at);
        if leaves {
            self.leaving.take_back(now, admitted_at);
        }
    }

    /// Whether one more request may leave. `cap` is the maximum change of the share per span.
    pub fn may_leave(&mut self, now: policy::Moment, cap: f64) -> bool {
        let (all, leaving) = (
            self.all.last(now, STEPS_PER_SPAN),
            self.leaving.last(now, STEPS_PER_SPAN),
        );
        let all_before = self.all.sum(now) - all;
        if all_before < MIN_SHARE_SAMPLE_COUNT {
            return true;
        }
        let share = (self.leaving.sum(now) - leaving) / all_before;
        let max_share = share + cap * USED_CAP_SHARE;
        let (all_recent, leaving_recent) = (
            self.all.last(now, RECENT_STEPS),
            self.leaving.last(now, RECENT_STEPS),
        );
        let always_allowed_recent =
            ALWAYS_ALLOWED_COUNT * RECENT_STEPS as f64 / STEPS_PER_SPAN as f64;
        // The second limit keeps earlier requests of idle customers from making room for others.
        leaving + 1.0 <= max_share * (all + 1.0) + ALWAYS_ALLOWED_COUNT
            && leaving_recent + 1.0
                <= (max_share * (all_recent + 1.0) + always_allowed_recent).max(1.0)
    }
}
