//! Detects requests that crash backend servers, across all entry VMs.
//!
//! Load pattern: a request crashes each backend server that begins to run it, and its caller retries
//! it through any entry VM. Counted separately on each of eight VMs, it would crash sixteen backend
//! servers before all VMs refuse it. The symptom is crashes that each follow the same request by
//! milliseconds.
//!
//! Answers also get lost in the network, so a broken connection counts only if the backend server
//! then refuses connections or has restarted. Requests in flight at a crash are reported to all VMs,
//! and one in flight at [`BAN_CRASH_COUNT`] crashes is refused; innocent requests are in flight at
//! one, seldom at two. A backend server may restart under the same name and crash again, so crashes
//! are counted per run of its process.

use std::collections;
use std::time;

use super::policy;

/// Number of crashes after which a request is refused on all VMs.
pub const BAN_CRASH_COUNT: usize = 3;

/// Time after a broken connection until a new one is tried, which shows whether the backend server has
/// crashed. By then a crashed process has closed its listener.
pub const CONFIRM_AFTER: time::Duration = time::Duration::from_millis(150);

/// Time after a broken connection within which a refused connection proves a crash. A restart takes
/// seconds.
const REFUSAL_CONFIRMS_WITHIN: time::Duration = time::Duration::from_millis(1500);

/// Time after a broken connection within which a restart proves that the previous run crashed: the
/// restart takes some seconds, and the list of backend servers shows it up to 2 s later.
const RESTART_CONFIRMS_WITHIN: time::Duration = time::Duration::from_secs(8);

/// Maximum number of requests with a broken connection that are kept to be matched with a crash.
const MAX_BROKEN_REQUESTS: usize = 256;

#[derive(Clone, Debug)]
struct BrokenRequest {
    broke_at: policy::Moment,
    fingerprint: u64,
    run: String,
}

/// Crashes of backend servers and the requests in flight at each.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    broken: collections::VecDeque<BrokenRequest>,
    crashes_by_request: collections::HashMap<u64, collections::BTreeSet<String>>,
}

impl Crashes {
    /// Records that a request's connection to a run of a backend server broke.
    pub fn connection_broke(&mut self, now: policy::Moment, fingerprint: u64, run: &str) {
        if self.broken.len() >= MAX_BROKEN_REQUESTS {
            self.broken.pop_front();
        }
        self.broken.push_back(BrokenRequest {
            broke_at: now,
            fingerprint,
            run: run.to_owned(),
        });
    }

    /// Forgets connections that broke since a moment, for other reasons than crashes.
    pub fn forget_broken(&mut self, since: policy::Moment) {
        self.broken.retain(|request| request.broke_at < since);
    }

    /// Whether a connection to this run broke since a moment, and nothing has shown that it crashed.
    pub fn broke_since(&self, since: policy::Moment, run: &str) -> bool {
        let mut broken = self.broken.iter();
        broken.any(|request| request.run == run && request.broke_at >= since)
    }

    /// Records that a backend server refused a connection. Returns the requests that were in flight
    /// when it crashed, for the report to all VMs.
    pub fn connection_refused(&mut self, now: policy::Moment, run: &str) -> Vec<u64> {
        self.take_in_flight(now, run, REFUSAL_CONFIRMS_WITHIN)
    }

    /// Records that a backend server has restarted and that this run of it has ended. Returns the
    /// requests that were in flight when it crashed, for the report to all VMs.
    pub fn restarted(&mut self, now: policy::Moment, run: &str) -> Vec<u64> {
        self.take_in_flight(now, run, RESTART_CONFIRMS_WITHIN)
    }

    fn take_in_flight(
        &mut self,
        now: policy::Moment,
        run: &str,
        within: time::Duration,
    ) -> Vec<u64> {
        self.broken
            .retain(|request| now <= request.broke_at + RESTART_CONFIRMS_WITHIN);
        let (crashed, others): (collections::VecDeque<_>, _) = std::mem::take(&mut self.broken)
            .into_iter()
            .partition(|request| request.run == run);
        self.broken = others;
        crashed
            .into_iter()
            .filter(|request| now <= request.broke_at + within)
            .map(|request| request.fingerprint)
            .collect()
    }

    /// Adds a crash, seen here or on another VM, to a request's record. Returns whether it is new.
    pub fn add_crash(&mut self, fingerprint: u64, run: &str) -> bool {
        let crashes = self.crashes_by_request.entry(fingerprint).or_default();
        crashes.insert(run.to_owned())
    }

    /// Removes an expired crash from a request's record. Returns whether the record held it.
    pub fn remove_crash(&mut self, fingerprint: u64, run: &str) -> bool {
        let Some(crashes) = self.crashes_by_request.get_mut(&fingerprint) else {
            return false;
        };
        let removed = crashes.remove(run);
        if crashes.is_empty() {
            self.crashes_by_request.remove(&fingerprint);
        }
        removed
    }

    /// Whether a request is refused.
    pub fn is_banned(&self, fingerprint: u64) -> bool {
        self.crashes_by_request
            .get(&fingerprint)
            .is_some_and(|crashes| crashes.len() >= BAN_CRASH_COUNT)
    }
}
