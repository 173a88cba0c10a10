//! The entry VMs that take callers' requests, as they registered themselves.

use std::collections;
use std::net;

use crate::decisions::{affinity, entry_selection};
use crate::id;

/// An entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Where it takes callers' requests.
    pub front: net::SocketAddr,
    /// Where other entry VMs ask it, if it can be asked.
    pub peers: Option<net::SocketAddr>,
    /// Its availability zone.
    pub az: id::AzId,
    /// The bandwidth of its link, in Mbit/s; 0 where it does not say.
    pub link_mbps: u32,
    /// The usual requests a second that it can carry; 0 where it does not say.
    pub requests: u32,
    /// Whether it has little room for more callers.
    pub busy: bool,
    /// Customers, by the hashes of their names, that have nearly used their quotas as far as it knows.
    pub near_limits: Vec<u64>,
}

/// The entry VMs by name.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    by_vm: collections::BTreeMap<id::VmId, Known>,
    version: u64,
}

/// An entry VM with the hash of its name, worked out once.
#[derive(Clone, Debug)]
struct Known {
    hash: u64,
    entry: Entry,
}

impl Entries {
    /// Takes one in. Returns whether that changed anything.
    pub fn put(&mut self, vm: id::VmId, entry: Entry) -> bool {
        if self.get(&vm) == Some(&entry) {
            return false;
        }
        let hash = affinity::hash(vm.as_str().as_bytes());
        self.by_vm.insert(vm, Known { hash, entry });
        self.version += 1;
        true
    }

    /// Takes one out. Returns whether it was there.
    pub fn remove(&mut self, vm: &id::VmId) -> bool {
        let known = self.by_vm.remove(vm).is_some();
        self.version += u64::from(known);
        known
    }

    /// One of them.
    pub fn get(&self, vm: &id::VmId) -> Option<&Entry> {
        self.by_vm.get(vm).map(|known| &known.entry)
    }

    /// Grows with each change, so that what was worked out from them can be kept until the next.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All of them, with the hashes of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&id::VmId, u64, &Entry)> {
        self.by_vm
            .iter()
            .map(|(vm, known)| (vm, known.hash, &known.entry))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }

    /// All of them as callers may be told of them, with what `told` says of each. `near` says
    /// whether an availability zone is in the caller's region.
    pub fn to_tell<'a, T: 'a>(
        &'a self,
        near: impl Fn(&id::AzId) -> bool + 'a,
        told: impl Fn(&id::VmId, u64, &Entry) -> T + 'a,
    ) -> impl Iterator<Item = entry_selection::Candidate<'a, T>> {
        self.iter()
            .map(move |(vm, hash, entry)| entry_selection::Candidate {
                in_region: near(&entry.az),
                az: &entry.az,
                requests_per_s: entry.requests,
                busy: entry.busy,
                hash,
                value: told(vm, hash, entry),
            })
    }
}
