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
const UNSTATED: time::Duration = time::Duration::from_secs(4);

/// Margin before the stated timeout, for the longest time that a request takes to the backend server.
const MARGIN: time::Duration = time::Duration::from_millis(500);

/// Maximum idle limit, in force until a connection breaks.
const LONGEST: time::Duration = time::Duration::from_millis(9500);

/// Minimum idle limit: a connection is still open for a request that follows directly.
const SHORTEST: time::Duration = time::Duration::from_millis(50);

/// Time within which a send on a closed or dropped connection fails: this many round trips, plus an
/// allowance for a busy machine.
const ROUND_TRIPS: f64 = 1.5;
const BUSY: time::Duration = time::Duration::from_millis(10);

/// Weight of one send in the moving averages, which cover about the last 20 sends.
const NEW: f64 = 0.05;

/// Excess of the break share of reused connections over that of new ones at which the limit drops. If
/// half of the backend servers lose 0.05 of their answers, 2,000 sends never reach this excess.
const MORE: f64 = 0.3;

/// Factor by which a successful reuse after a long idle time raises the limit. Ten of them double it.
const RAISE: f64 = 1.07;

/// Adaptive idle limit of this VM.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    limit: time::Duration,
    /// Shares of sends that break at once, on reused and on new connections.
    rested_break: f64,
    new_break: f64,
}

impl Default for Rest {
    fn default() -> Self {
        Self {
            limit: LONGEST,
            rested_break: 0.0,
            new_break: 0.0,
        }
    }
}

/// Whether a break so soon after the send means that the connection was closed or dropped before it.
pub fn at_once(after: time::Duration, round_trip: time::Duration) -> bool {
    after <= round_trip.mul_f64(ROUND_TRIPS) + BUSY
}

fn count(share: &mut f64, broke: bool) {
    *share += (f64::from(u8::from(broke)) - *share) * NEW;
}

impl Rest {
    /// Idle limit for a connection to a backend server that states this idle timeout.
    pub fn limit(&self, stated: Option<time::Duration>) -> time::Duration {
        let allowed = stated.map_or(UNSTATED, |stated| stated.saturating_sub(MARGIN));
        allowed.min(self.limit)
    }

    /// Records a send on a new connection, and whether it broke at once.
    pub fn dialled(&mut self, broke: bool) {
        count(&mut self.new_break, broke);
    }

    /// Records a send on a connection that was idle for `rested` and did not break at once. After
    /// more than half of the limit, this raises the limit.
    pub fn held(&mut self, rested: time::Duration) {
        count(&mut self.rested_break, false);
        if rested > self.limit / 2 {
            self.limit = self.limit.mul_f64(RAISE).min(LONGEST);
        }
    }

    /// Records that a connection that was idle for `rested` broke at once. Returns whether the limit
    /// has dropped, which is to a quarter of `rested` at most.
    pub fn broke(&mut self, rested: time::Duration) -> bool {
        count(&mut self.rested_break, true);
        let more = self.rested_break > self.new_break + MORE;
        if more {
            self.limit = (rested / 4).max(SHORTEST).min(self.limit);
            self.rested_break = self.new_break;
        }
        more
    }
}
