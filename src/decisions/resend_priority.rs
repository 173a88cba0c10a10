//! Orders second sends by urgency while their budget is short.
//!
//! Load pattern: idle backend servers decline a part of all requests, so that more second sends are
//! asked for than the budget allows. First come, first served, urgent requests are refused as often
//! as others.
//!
//! So a second send leaves a part of the budget to more urgent ones: a third of it, times their
//! measured share of the second sends asked for. While more than a third is left, none waits for
//! another. Urgency is the rank, and within a rank requests that can still meet their latency target
//! come first. So that no rank is excluded, each rank that is refused earns a tenth of what is granted
//! to others, and gets one send after half a window without any.

use std::time;

use super::policy;

/// Number of ranks that are distinguished. Less urgent ones count as the last.
const RANKS: usize = 4;

/// The part of the budget below which it is short.
const SHORT_PART: f64 = 1.0 / 3.0;

/// What a refused rank earns with each send granted to another one: a tenth of all.
const EARNED_PER_SEND: f64 = 1.0 / 9.0;

/// The most that a rank can earn ahead.
const MAX_EARNED: f64 = 2.0;

/// The part of the window after which a rank without a second send gets one.
const LONGEST_WAIT_PART: f64 = 0.5;

/// A request that asks for a second send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Its rank; 0 is the most urgent.
    pub rank: u32,
    /// Whether it can still meet its latency target.
    pub in_time: bool,
    /// Whether backend servers across the service decline requests. The order applies only then.
    pub is_ordered: bool,
}

impl Ask {
    fn rank(self) -> usize {
        (self.rank as usize).min(RANKS - 1)
    }

    /// Its place in the order of urgency.
    fn place(self) -> usize {
        self.rank() * 2 + usize::from(!self.in_time)
    }
}

/// What a rank has got lately.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// When it was first refused since its latest second send.
    refused_since: Option<policy::Moment>,
    last_refused: policy::Moment,
    earned: f64,
}

impl Standing {
    /// Whether its next second send goes before all others.
    fn is_due(&self, window: time::Duration, now: policy::Moment) -> bool {
        let longest = window.mul_f64(LONGEST_WAIT_PART);
        let Some(since) = self.refused_since else {
            return false;
        };
        // A rank that asks no more must not keep others waiting.
        let still_asks = now.saturating_sub(self.last_refused) < longest;
        still_asks && (self.earned >= 1.0 || now.saturating_sub(since) >= longest)
    }
}

/// The second sends of one service that this VM was asked for.
#[derive(Clone, Debug, Default)]
pub struct Priorities {
    /// Decaying counts by place in the order of urgency.
    asked: [f64; RANKS * 2],
    counted_at: policy::Moment,
    ranks: [Standing; RANKS],
}

impl Priorities {
    /// The number of second sends that a request must leave to others, of a budget of `capacity`.
    pub fn must_leave(
        &self,
        window: time::Duration,
        now: policy::Moment,
        ask: Ask,
        capacity: f64,
    ) -> f64 {
        if !ask.is_ordered || self.ranks[ask.rank()].is_due(window, now) {
            return 0.0;
        }
        let others = self.ranks.iter().filter(|rank| rank.is_due(window, now));
        let total: f64 = self.asked.iter().sum();
        let more_urgent: f64 = self.asked[..ask.place()].iter().sum();
        let share = more_urgent / total.max(f64::MIN_POSITIVE);
        others.count() as f64 + share * capacity * SHORT_PART
    }

    /// Counts a request that asks for a second send.
    fn count(&mut self, window: time::Duration, now: policy::Moment, ask: Ask) {
        let since = now.saturating_sub(self.counted_at);
        let kept = (-since.as_secs_f64() / window.as_secs_f64().max(0.001)).exp();
        self.asked.iter_mut().for_each(|count| *count *= kept);
        self.counted_at = now;
        self.asked[ask.place()] += 1.0;
    }

    /// Records a second send.
    pub fn granted(&mut self, window: time::Duration, now: policy::Moment, ask: Ask) {
        self.count(window, now, ask);
        let own = ask.rank();
        if self.ranks[own].is_due(window, now) {
            self.ranks[own].earned = (self.ranks[own].earned - 1.0).max(0.0);
        }
        self.ranks[own].refused_since = None;
        for rank in &mut self.ranks {
            if rank.refused_since.is_some() {
                rank.earned = (rank.earned + EARNED_PER_SEND).min(MAX_EARNED);
            }
        }
    }

    /// Records a request that got no second send.
    pub fn refused(&mut self, window: time::Duration, now: policy::Moment, ask: Ask) {
        self.count(window, now, ask);
        let rank = &mut self.ranks[ask.rank()];
        rank.refused_since.get_or_insert(now);
        rank.last_refused = now;
    }
}
