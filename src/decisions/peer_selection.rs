//! Selects the entry VMs that are asked to carry connections to a backend server.
//!
//! Load pattern: a zone or half of all VMs lose their links to the backend servers at once, and each
//! asks another VM to carry its connections. If all asked the same VM, or any at random, one would
//! be overrun or requests would cross the network twice more. The symptom is late answers at the
//! VMs that still work.
//!
//! VMs on the way to the backend server come first, since a detour costs latency and traffic between
//! zones. Among equals, each VM has an order of its own by rendezvous hashing, so that the load
//! spreads without messages. Busy VMs come last.

use super::affinity;

/// Where a VM is, relative to the asking VM and the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the asking VM's region, and in the availability zone of either end.
    OnTheWay,
    /// Elsewhere in the asking VM's region.
    SameRegion,
    /// In the backend server's region.
    BackendRegion,
    /// In a third region.
    Elsewhere,
}

/// An entry VM that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<T> {
    /// Where it is.
    pub distance: Distance,
    /// Whether it has little capacity left.
    pub busy: bool,
    /// Hash of its name.
    pub hash: u64,
    /// The value that the selection returns for it.
    pub value: T,
}

/// Selects up to `count` VMs, the first to ask first. `order` selects an order of equals: the hash of
/// the asking VM's name for a lasting one.
pub fn select<T>(
    order: u64,
    count: usize,
    candidates: impl Iterator<Item = Candidate<T>>,
) -> Vec<T> {
    let mut first: Vec<((bool, Distance, u64), T)> = Vec::with_capacity(count + 1);
    for candidate in candidates {
        let own_order = affinity::mix(order, candidate.hash);
        let key = (candidate.busy, candidate.distance, own_order);
        let at = first.partition_point(|(other, _)| *other < key);
        if at < count {
            first.insert(at, (key, candidate.value));
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, value)| value).collect()
}
