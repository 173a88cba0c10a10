//! Limits how long an idle connection to a backend server may be reused.
//!
//! Load pattern: hundreds of backend servers, each of which gets a request from one VM every few
//! seconds. If idle connections are closed too early, every third request opens a new one, and
//! answers from other regions are late by a round trip: 0.11 s, half of what remains of a latency
//! objective of 0.4 s. If they are reused too late, the backend server has closed or dropped them,
//! and the request fails when it is sent, and is lost or sent twice.
//!
//! A connection is therefore reused up to the idle timeout that the backend server states, less a
//! margin. If reused connections break at once much more often than new ones, the limit drops for all
//! backend servers, because they tend to drop connections alike. Breaks alone don't lower it: backend
//! servers that lose answers break new and reused connections alike, and opening more connections
//! makes that worse.

use std::time;

/// Idle limit for a backend server that states no idle timeout.
const UNSTATED_IDLE_LIMIT: time::Duration = time::Duration::from_secs(4);

/// Margin before the stated timeout: the longest time that a request takes to reach the server.
const EXPIRY_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Maximum idle limit, in force until a connection breaks.
const MAX_IDLE_LIMIT: time::Duration = time::Duration::from_millis(9500);

/// Minimum idle limit: a connection is still open for a request that follows directly.
const MIN_IDLE_LIMIT: time::Duration = time::Duration::from_millis(50);

/// Time within which a send on a closed or dropped connection fails: this many round trips, plus an
/// allowance for a busy machine.
const BREAK_ROUND_TRIPS: f64 = 1.5;
const BREAK_ALLOWANCE: time::Duration = time::Duration::from_millis(10);

/// Weight of one send in the moving averages, which cover about the last 20 sends.
const BREAK_SHARE_WEIGHT: f64 = 0.05;

/// Excess of the break share of reused connections over that of new ones at which the limit drops. If
/// half of the backend servers lose 0.05 of their answers, 2,000 sends never reach this excess.
const MIN_EXCESS_BREAK_SHARE: f64 = 0.3;

/// Factor by which a successful reuse after a long idle time raises the limit. Ten of them double it.
const LIMIT_RAISE_FACTOR: f64 = 1.07;

/// Adaptive idle limit of this VM.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimit {
    limit: time::Duration,
    /// Shares of sends that break at once, on reused and on new connections.
    reused_break_share: f64,
    new_break_share: f64,
}

impl Default for IdleLimit {
    fn default() -> Self {
        Self {
            limit: MAX_IDLE_LIMIT,
            reused_break_share: 0.0,
            new_break_share: 0.0,
        }
    }
}

/// Whether a break so soon after the send means that the connection was closed or dropped before it.
pub fn was_stale(after: time::Duration, round_trip: time::Duration) -> bool {
    after <= round_trip.mul_f64(BREAK_ROUND_TRIPS) + BREAK_ALLOWANCE
}

fn update_share(share: &mut f64, broke: bool) {
    *share += (f64::from(u8::from(broke)) - *share) * BREAK_SHARE_WEIGHT;
}

impl IdleLimit {
    /// Idle limit for a connection to a backend server that states this idle timeout.
    pub fn limit(&self, stated: Option<time::Duration>) -> time::Duration {
        let allowed = stated.map_or(UNSTATED_IDLE_LIMIT, |stated| {
            stated.saturating_sub(EXPIRY_MARGIN)
        });
        allowed.min(self.limit)
    }

    /// Records a send on a new connection, and whether it broke at once.
    pub fn record_new(&mut self, broke: bool) {
        update_share(&mut self.new_break_share, broke);
    }

    /// Records a send on a connection that was idle for `idle_time` and did not break at once. After
    /// more than half of the limit, this raises the limit.
    pub fn record_reuse(&mut self, idle_time: time::Duration) {
        update_share(&mut self.reused_break_share, false);
        if idle_time > self.limit / 2 {
            self.limit = self.limit.mul_f64(LIMIT_RAISE_FACTOR).min(MAX_IDLE_LIMIT);
        }
    }

    /// Records that a connection that was idle for `idle_time` broke at once. Returns whether the
    /// limit has dropped, which is to a quarter of `idle_time` at most.
    pub fn record_break(&mut self, idle_time: time::Duration) -> bool {
        update_share(&mut self.reused_break_share, true);
        let is_excess = self.reused_break_share > self.new_break_share + MIN_EXCESS_BREAK_SHARE;
        if is_excess {
            self.limit = (idle_time / 4).max(MIN_IDLE_LIMIT).min(self.limit);
            self.reused_break_share = self.new_break_share;
        }
        is_excess
    }
}
