//! How many requests a cold backend server gets.
//!
//! Load pattern: backend servers that come back cold, one or a whole zone of them. They bear a
//! few requests a second and crash well above that, and they look idle, so they would draw the
//! most. One notices it as backend servers that crash again right after their start.
//!
//! The bound is a sum over all entry VMs, so a few owners share it: of the VMs that callers of its
//! region are told, those that stand first in the backend server's own order. Each paces its part
//! evenly. Nobody else sends. Two VMs that disagree for a moment on who is told at worst double the
//! rate for that moment, which the margin above the rate bears.

use std::time;

use super::{affinity, policy};

/// VMs that share one cold backend server. One would leave it without work while that VM has
/// no request for it; each more makes the doubling larger when VMs disagree.
pub const OWNERS: usize = 1;

/// Whether a VM is among the owners. `vms` are the hashes of the VMs that may be.
pub fn owns(backend: u64, own: u64, vms: &[u64]) -> bool {
    if !vms.contains(&own) {
        return false;
    }
    let mine = affinity::rank(backend, own, 1.0);
    let ahead = vms
        .iter()
        .filter(|vm| **vm != own && affinity::rank(backend, **vm, 1.0) > mine)
        .count();
    ahead < OWNERS
}

/// The pace of one VM at one cold backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    next: policy::Moment,
}

impl Pace {
    /// Whether one may be sent now.
    pub fn ready(&self, now: policy::Moment) -> bool {
        now >= self.next
    }

    /// One was sent; the backend server bears `rate` a second from all owners.
    pub fn sent(&mut self, now: policy::Moment, rate: f64) {
        let own = (rate / OWNERS as f64).max(0.1);
        self.next = now + time::Duration::from_secs_f64(1.0 / own);
    }
}
