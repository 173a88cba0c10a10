//! Decides whether this VM is cut off from all backend servers.
//!
//! Load pattern: the links of one or several VMs to all backend servers fail, while callers, the
//! store and the other VMs still reach them. A VM that takes each failed connection for the failure
//! of that backend server ejects one after the other and refuses all its callers, although other
//! VMs could open connections for them. The symptom is a VM that ejects every backend server while
//! the others eject none.
//!
//! A failed connection does not show which side has failed, so the VM samples several backend
//! servers at once. It is cut off if it can connect to none of them while another VM can connect to
//! at least one. If no other VM can either, the backend servers are down or full. Answers on open
//! connections do not count against a cut, since these may work while new ones are refused; a new
//! connection ends it.

use std::time;

use super::policy;

/// Backend servers that are sampled at once. Three, because a crash of one or two is common.
pub const SAMPLE_SIZE: usize = 3;

/// How long requests may be in progress without a sign of life from any backend server before the
/// links are checked. A VM under load gets several answers in this time.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(750);

/// How long requests may wait for answers through another VM without any before that VM is checked.
/// A check costs one round trip.
pub const MAX_CARRIER_SILENCE: time::Duration = time::Duration::from_millis(300);

/// How recent a sign of life must be for a request that is not idempotent to be sent on an idle
/// connection. If the links have begun to hang since, its outcome is unknown; a new connection that
/// is not opened shows that the request has not run.
const MAX_CONTACT_AGE: time::Duration = time::Duration::from_millis(300);

/// How recent a new connection must be to show, after another one has failed, that the links work.
const MAX_CONNECTION_AGE: time::Duration = time::Duration::from_secs(1);

/// What a sample of backend servers has shown.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the connections were begun.
    pub started: policy::Moment,
    /// Backend servers to which this VM could connect.
    pub connected: usize,
    /// Those of the others to which another VM could connect.
    pub reached_by_peers: usize,
    /// Whether all connections timed out rather than being refused.
    pub timed_out: bool,
}

/// How long after the beginning of a cut other VMs of the region may be cut off too without knowing it.
/// Each finds out with its first failed connections and a sample.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);

/// The beginning of a cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cut {
    /// Since when failures may have been this VM's own.
    pub since: policy::Moment,
    /// Since when no new connection could be opened.
    pub unconnected_since: policy::Moment,
    /// The start of the first connection attempt that failed since the last successful one. It is earlier
    /// than `since` if open connections still receive answers.
    pub failing_since: policy::Moment,
    /// Whether connections hang rather than being refused.
    pub hangs: bool,
}

/// Signs of life from the backend servers, and the cut that follows from their absence.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    connected_at: policy::Moment,
    answered_at: policy::Moment,
    /// The start of the first connection attempt that failed since the last successful one.
    failing_since: Option<policy::Moment>,
    cut: Option<Cut>,
}

impl Reachability {
    /// Whether this VM is cut off from all backend servers.
    pub fn is_cut_off(&self) -> bool {
        self.cut.is_some()
    }

    /// Whether a connection that fails now is no evidence against its backend server: it may have been
    /// begun before the cut was found, or be refused by VMs that have not yet found theirs.
    pub fn explains_failure(&self, now: policy::Moment) -> bool {
        self.cut
            .is_some_and(|cut| now.saturating_sub(cut.unconnected_since) < SETTLE_TIME)
    }

    /// Records an answer on a connection of this VM's own.
    pub fn answered(&mut self, now: policy::Moment) {
        self.answered_at = self.answered_at.max(now);
    }

    /// Records a new connection of this VM's own. Returns the cut that it ends.
    pub fn connected(&mut self, now: policy::Moment) -> Option<Cut> {
        self.connected_at = self.connected_at.max(now);
        self.failing_since = None;
        self.cut.take()
    }

    /// Records a failed direct connection attempt.
    pub fn not_connected(&mut self, started: policy::Moment) {
        self.failing_since.get_or_insert(started);
    }

    /// Whether this VM has opened a connection since a moment.
    pub fn connected_since(&self, at: policy::Moment) -> bool {
        self.connected_at > at
    }

    /// Whether a backend server has given a sign of life since a moment.
    pub fn contact_since(&self, at: policy::Moment) -> bool {
        self.connected_since(at) || self.answered_at > at
    }

    /// Whether the links are to be checked, while `in_progress` requests wait for answers.
    pub fn needs_check(&self, now: policy::Moment, in_progress: usize) -> bool {
        self.is_cut_off()
            || (in_progress > 0 && !self.contact_since(now.saturating_sub(MAX_SILENCE)))
    }

    /// Whether a recent sign of life shows that idle connections work.
    pub fn has_recent_contact(&self, now: policy::Moment) -> bool {
        self.contact_since(now.saturating_sub(MAX_CONTACT_AGE))
    }

    /// Whether the links are to be checked after a connection has failed.
    pub fn needs_check_after_failure(&self, now: policy::Moment) -> bool {
        !self.connected_since(now.saturating_sub(MAX_CONNECTION_AGE))
    }

    /// Evaluates a sample. Returns the cut if it begins with this.
    pub fn sampled(&mut self, sample: &Sample) -> Option<Cut> {
        let is_cut = sample.connected == 0
            && sample.reached_by_peers > 0
            && !self.connected_since(sample.started);
        if !is_cut || self.is_cut_off() {
            return None;
        }
        let failing_since = self.failing_since.unwrap_or(sample.started);
        let cut = Cut {
            since: self.answered_at.max(self.connected_at).min(sample.started),
            unconnected_since: sample.started,
            failing_since: failing_since.min(sample.started),
            hangs: sample.timed_out,
        };
        self.cut = Some(cut);
        self.cut
    }
}
