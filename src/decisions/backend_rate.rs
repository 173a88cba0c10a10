//! Limits the rate of requests to a backend server, summed over all entry VMs.
//!
//! Load pattern: one backend server, or all of an availability zone, returns cold. A cold backend
//! server handles a few requests per second and crashes well above that, yet its low load attracts
//! the most requests. The symptom is backend servers that crash again right after a start.
//!
//! Load pattern: a backend server in need states in its answers how many requests per second it
//! accepts from all VMs together. If each VM kept to that rate on its own, the sum would be a
//! multiple of it. The symptom is a backend server that gets more than it states, although each VM
//! sends little.
//!
//! No messages are needed: all VMs compute the same owners of a backend server, those that rank
//! first in its rendezvous order among the VMs advertised to its region's callers. Each owner sends
//! at an even pace. To a cold backend server only the owner sends. Of a stated rate a part is left
//! to all other VMs, since a VM that sends nothing would not learn that the limit has ended. Two
//! VMs whose lists of advertised VMs differ can double the rate for a moment; the margin of cold
//! rates and of stated limits covers that.

use std::time;

use super::{affinity, policy};

/// Owners of one cold backend server. A single owner sends nothing while it has no request for
/// that backend server; each further owner raises the excess rate when VMs disagree on the owners.
const COLD_OWNER_COUNT: usize = 1;

/// Lowest rate to a cold backend server, in requests per second.
const MIN_COLD_RATE_PER_S: f64 = 0.1;

/// Lowest rate to a backend server that states a limit, in requests per second: without any request
/// nobody would learn that the limit has ended.
const MIN_STATED_RATE_PER_S: f64 = 0.25;

/// Share of a stated rate that its owners use; other VMs use the rest.
const OWNERS_SHARE: f64 = 0.75;

/// Owners for each request per second of a stated rate. With more, each would send too seldom to
/// learn soon that the limit has ended.
const OWNERS_PER_RATE: f64 = 2.0;

/// How long a stated limit outlasts its last valid statement while answers state invalid ones.
const INVALID_HOLD: time::Duration = time::Duration::from_secs(10);

/// A limit on the requests per second to one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// The rate that it handles while it is cold.
    Cold(f64),
    /// The rate that its answers state.
    Stated(f64),
}

/// The entry VMs that have requests for a backend server, and this VM among them.
#[derive(Clone, Copy, Debug)]
pub struct Senders<'a> {
    /// Hash of this VM.
    pub this_vm: u64,
    /// Hashes of the VMs advertised to the callers of the backend server's region.
    pub local: &'a [u64],
    /// Number of VMs advertised to the callers of any region.
    pub total: usize,
}

impl Senders<'_> {
    /// Whether this VM is one of the first `owners` in the backend server's order.
    fn owns(&self, backend: u64, owners: usize) -> bool {
        if !self.local.contains(&self.this_vm) {
            return false;
        }
        let own_score = affinity::rank(backend, self.this_vm, 1.0);
        let higher_ranked = self
            .local
            .iter()
            .filter(|vm| **vm != self.this_vm && affinity::rank(backend, **vm, 1.0) > own_score)
            .count();
        higher_ranked < owners
    }
}

/// How often one VM may send to a backend server; a later variant or a longer time is stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Frequency {
    /// At any time.
    Unlimited,
    /// Once in this time.
    Every(time::Duration),
    /// Not at all.
    Never,
}

impl Limit {
    /// How often this VM may send to a backend server, given its hash.
    pub fn frequency(self, backend: u64, senders: &Senders<'_>) -> Frequency {
        let own_rate = match self {
            Self::Cold(_) if !senders.owns(backend, COLD_OWNER_COUNT) => return Frequency::Never,
            Self::Cold(rate) => (rate / COLD_OWNER_COUNT as f64).max(MIN_COLD_RATE_PER_S),
            Self::Stated(rate) => own_stated_rate(rate, backend, senders),
        };
        Frequency::Every(time::Duration::from_secs_f64(1.0 / own_rate))
    }
}

/// This VM's part of a stated rate. More VMs own a larger rate, since one alone may have too few
/// requests to use it.
fn own_stated_rate(rate: f64, backend: u64, senders: &Senders<'_>) -> f64 {
    let rate = rate.max(MIN_STATED_RATE_PER_S);
    let owners = (rate * OWNERS_PER_RATE) as usize;
    let owners = owners.clamp(1, senders.local.len().max(1));
    let others = senders.total.saturating_sub(owners);
    let owned = if others == 0 { 1.0 } else { OWNERS_SHARE };
    match senders.owns(backend, owners) {
        true => rate * owned / owners as f64,
        false => rate * (1.0 - OWNERS_SHARE) / others.max(1) as f64,
    }
}

/// The rate that a backend server's answers state, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedLimit {
    per_s: Option<f64>,
    valid_at: policy::Moment,
}

impl StatedLimit {
    /// The rate, if the last valid answer stated one.
    pub fn get(&self) -> Option<f64> {
        self.per_s
    }

    /// Whether the rate is so low that requests serve only to detect the end of the limit.
    pub fn is_near_zero(&self) -> bool {
        self.per_s.is_some_and(|rate| rate < MIN_STATED_RATE_PER_S)
    }

    /// Records an answer that states a rate, or none.
    pub fn stated(&mut self, now: policy::Moment, per_s: Option<f64>) {
        self.per_s = per_s;
        self.valid_at = now;
    }

    /// Records an answer that states an invalid rate. An earlier rate holds for a while longer.
    pub fn invalid(&mut self, now: policy::Moment) {
        if now.saturating_sub(self.valid_at) >= INVALID_HOLD {
            self.per_s = None;
        }
    }
}

/// The pacing of one VM's requests to one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    started: Option<Start>,
}

/// The start of a wait until the next request.
#[derive(Clone, Copy, Debug)]
struct Start {
    at: policy::Moment,
    /// Share of the time between two requests to wait.
    part: f64,
}

impl Pace {
    /// Whether a request may be sent now.
    pub fn ready(&self, now: policy::Moment, frequency: Frequency) -> bool {
        self.wait(now, frequency).is_some_and(|wait| wait.is_zero())
    }

    /// The time until a request may be sent; `None` if this VM may not send any.
    pub fn wait(&self, now: policy::Moment, frequency: Frequency) -> Option<time::Duration> {
        let next = |start: Start, span: time::Duration| start.at + span.mul_f64(start.part);
        match frequency {
            Frequency::Unlimited => Some(time::Duration::ZERO),
            Frequency::Every(span) => {
                let next = self.started.map_or(now, |start| next(start, span));
                Some(next.saturating_sub(now))
            }
            Frequency::Never => None,
        }
    }

    /// Records a sent request.
    pub fn sent(&mut self, now: policy::Moment) {
        self.begin(now, 1.0);
    }

    /// Starts the pacing: the next request may be sent after a part of the time between two, from
    /// 0 to 1. With a random part, VMs that learn of a limit together do not send together.
    pub fn begin(&mut self, now: policy::Moment, part: f64) {
        self.started = Some(Start { at: now, part });
    }
}
