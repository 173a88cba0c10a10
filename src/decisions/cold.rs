//! Limits the rate of requests to a cold backend server.
//!
//! Load pattern: one backend server, or all of an availability zone, returns cold. A cold backend
//! server handles a few requests per second and crashes well above that, yet its low load attracts
//! the most requests. The symptom is backend servers that crash again right after a start.
//!
//! The limit covers all entry VMs together. Of the VMs advertised to the region's callers, only
//! the owners, those that rank first in the backend server's rendezvous order, may send, each at
//! an evenly paced part of the rate. Two VMs whose lists of advertised VMs differ can at worst
//! double the rate for a moment; the margin above the rate covers that.

use std::time;

use super::{affinity, policy};

/// Owners of one cold backend server. A single owner sends nothing while it has no request for
/// that backend server; each further owner raises the excess rate when VMs disagree on the owners.
pub const OWNER_COUNT: usize = 1;

/// Whether the VM `this_vm` is an owner. `vms` holds the hashes of the eligible VMs.
pub fn owns(backend: u64, this_vm: u64, vms: &[u64]) -> bool {
    if !vms.contains(&this_vm) {
        return false;
    }
    let own_score = affinity::rank(backend, this_vm, 1.0);
    let higher_ranked = vms
        .iter()
        .filter(|vm| **vm != this_vm && affinity::rank(backend, **vm, 1.0) > own_score)
        .count();
    higher_ranked < OWNER_COUNT
}

/// The pacing of one VM's requests to one cold backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    next_send: policy::Moment,
}

impl Pace {
    /// Whether a request may be sent now.
    pub fn ready(&self, now: policy::Moment) -> bool {
        now >= self.next_send
    }

    /// Records a sent request, where all owners together may send `rate` requests per second.
    pub fn sent(&mut self, now: policy::Moment, rate: f64) {
        let own_rate = (rate / OWNER_COUNT as f64).max(0.1);
        self.next_send = now + time::Duration::from_secs_f64(1.0 / own_rate);
    }
}
