//! How long a connection to a backend server may rest before a request is sent on it again.
//!
//! Load pattern: hundreds of backend servers, each of which gets a request from one VM every few
//! seconds. Where connections are given up sooner, every third request dials anew, which costs a round
//! trip: 0.11 s to another region, half of what is left of an aim of 0.4 s. Where they are used too late,
//! the backend server has closed or forgotten them, and the request is lost or sent twice. One notices
//! the first as answers of another region that are late by a tenth of a second, the second as requests
//! that break in the moment at which they are sent.
//!
//! So a connection rests as long as the backend server says that it keeps it, less a margin. When one
//! breaks at once after a rest, none rests longer than half of that from then on, at any backend
//! server, since they forget alike; each that works after more than half of the limit raises it again.

use std::time;

/// How long one rests whose backend server does not say.
const UNSTATED: time::Duration = time::Duration::from_secs(4);

/// How long before the stated end a connection is no longer used: the way there at most.
const MARGIN: time::Duration = time::Duration::from_millis(500);

/// The longest rest, and so the limit while none has broken. With 9.5 s instead of 4 mean worth rose
/// from 0.6380 to 0.6418 on 95 VMs (five days); what those backend servers state is 10.
const LONGEST: time::Duration = time::Duration::from_millis(9500);

/// The limit sinks no further: a request right after another has its connection still open.
const SHORTEST: time::Duration = time::Duration::from_millis(50);

/// Within which time of a send a connection breaks that was closed or forgotten while it rested: two
/// round trips across the widest link. Later it is the backend server that broke.
const AT_ONCE: time::Duration = time::Duration::from_millis(250);

/// What one use after a long rest adds to the limit. It doubles after ten.
const RAISE: f64 = 1.07;

/// The limit that this VM has learnt.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    limit: time::Duration,
}

impl Default for Rest {
    fn default() -> Self {
        Self { limit: LONGEST }
    }
}

impl Rest {
    /// How long a connection may rest whose backend server states this.
    pub fn limit(&self, stated: Option<time::Duration>) -> time::Duration {
        let allowed = stated.map_or(UNSTATED, |stated| stated.saturating_sub(MARGIN));
        allowed.min(self.limit)
    }

    /// A request was answered on a connection that had rested so long.
    pub fn held(&mut self, rested: time::Duration) {
        if rested > self.limit / 2 {
            self.limit = self.limit.mul_f64(RAISE).min(LONGEST);
        }
    }

    /// A connection that had rested broke so long after a request was sent on it. Returns whether
    /// that was for its rest.
    pub fn broke(&mut self, rested: time::Duration, after: time::Duration) -> bool {
        let at_rest = after <= AT_ONCE && rested >= SHORTEST;
        if at_rest {
            self.limit = (rested / 2).max(SHORTEST).min(self.limit);
        }
        at_rest
    }
}
