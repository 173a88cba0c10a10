//! Requests that crash the backend servers that run them, counted over all entry VMs.
//!
//! Load pattern: now and then one request crashes each backend server that begins to run it, and
//! its caller sends it again, through any entry VM. A count on each VM by itself comes too late:
//! with eight VMs sixteen backend servers are gone before all of them know. One notices it as
//! backend servers that crash one after the other, each a few milliseconds after the same request.
//!
//! A broken connection alone says little: answers get lost on the way too. So a request counts only
//! where its backend server then takes no connection, or is known to have started again. What was in
//! flight at a crash is told to all, and what was in flight at [`BANNED`] different crashes is
//! refused: innocent requests are in flight at one, seldom at two. A backend server that starts
//! again under its name crashes anew, so runs are counted and not names.

use std::collections;
use std::time;

use super::policy;

/// Crashes after which a request is refused everywhere.
pub const BANNED: usize = 3;

/// How long after a connection broke a refused one shows that its backend server crashed. A
/// restart takes seconds, and other requests for it come within a part of one.
const CONFIRMED: time::Duration = time::Duration::from_millis(1500);

/// How long after a connection broke a new start of its backend server shows that the run before
/// crashed: the start takes some seconds, and the list tells of it up to two later.
const STARTED: time::Duration = time::Duration::from_secs(8);

/// Requests that are remembered until it shows whether their backend server crashed.
const REMEMBERED: usize = 256;

#[derive(Clone, Debug)]
struct Lost {
    at: policy::Moment,
    fingerprint: u64,
    run: String,
}

/// What is known of crashes.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    lost: collections::VecDeque<Lost>,
    by_request: collections::HashMap<u64, collections::BTreeSet<String>>,
}

impl Crashes {
    /// A request's connection broke at a run of a backend server.
    pub fn lost(&mut self, now: policy::Moment, fingerprint: u64, run: &str) {
        if self.lost.len() >= REMEMBERED {
            self.lost.pop_front();
        }
        self.lost.push_back(Lost {
            at: now,
            fingerprint,
            run: run.to_owned(),
        });
    }

    /// A backend server takes no connection. Returns the requests that were in flight when it
    /// crashed, to be told to all.
    pub fn refused(&mut self, now: policy::Moment, run: &str) -> Vec<u64> {
        self.over(now, run, CONFIRMED)
    }

    /// A backend server has started again, so that this run of it is over. Returns the requests
    /// that were in flight when it crashed, to be told to all.
    pub fn started_again(&mut self, now: policy::Moment, run: &str) -> Vec<u64> {
        self.over(now, run, STARTED)
    }

    fn over(&mut self, now: policy::Moment, run: &str, within: time::Duration) -> Vec<u64> {
        self.lost.retain(|lost| now <= lost.at + STARTED);
        let (crashed, others): (collections::VecDeque<_>, _) = std::mem::take(&mut self.lost)
            .into_iter()
            .partition(|lost| lost.run == run);
        self.lost = others;
        crashed
            .into_iter()
            .filter(|lost| now <= lost.at + within)
            .map(|lost| lost.fingerprint)
            .collect()
    }

    /// A request was in flight at a crash of a backend server, here or elsewhere. Returns whether
    /// that is news.
    pub fn learn(&mut self, fingerprint: u64, run: &str) -> bool {
        let crashes = self.by_request.entry(fingerprint).or_default();
        crashes.insert(run.to_owned())
    }

    /// A crash is so long ago that it no longer counts. Returns whether it had counted.
    pub fn forget(&mut self, fingerprint: u64, run: &str) -> bool {
        let Some(crashes) = self.by_request.get_mut(&fingerprint) else {
            return false;
        };
        let news = crashes.remove(run);
        if crashes.is_empty() {
            self.by_request.remove(&fingerprint);
        }
        news
    }

    /// Whether a request is refused.
    pub fn is_banned(&self, fingerprint: u64) -> bool {
        self.by_request
            .get(&fingerprint)
            .is_some_and(|crashes| crashes.len() >= BANNED)
    }
}
