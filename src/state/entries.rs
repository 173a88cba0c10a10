//! Table of the entry VMs that accept callers' requests, as they registered themselves.

use std::collections;
use std::net;

use crate::decisions::{affinity, entry_selection};
use crate::id;

/// An entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The address on which it accepts callers' requests.
    pub caller_addr: net::SocketAddr,
    /// The address for other entry VMs, if it accepts their connections.
    pub peer_addr: Option<net::SocketAddr>,
    /// Its availability zone.
    pub az: id::AzId,
    /// The bandwidth of its link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Its capacity in requests of the usual size per second; 0 if unknown.
    pub requests_per_s: u32,
    /// Whether it has little capacity left for more callers.
    pub busy: bool,
    /// Hashes of the names of customers that it counts as close to their quotas.
    pub near_limits: Vec<u64>,
}

/// The entry VMs by id.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    by_vm: collections::BTreeMap<id::VmId, HashedEntry>,
    version: u64,
}

/// An entry VM with the precomputed hash of its id.
#[derive(Clone, Debug)]
struct HashedEntry {
    hash: u64,
    entry: Entry,
}

impl Entries {
    /// Inserts or updates an entry VM. Returns whether the table changed.
    pub fn put(&mut self, vm: id::VmId, entry: Entry) -> bool {
        if self.get(&vm) == Some(&entry) {
            return false;
        }
        let hash = affinity::hash(vm.as_str().as_bytes());
        self.by_vm.insert(vm, HashedEntry { hash, entry });
        self.version += 1;
        true
    }

    /// Removes an entry VM. Returns whether it was present.
    pub fn remove(&mut self, vm: &id::VmId) -> bool {
        let removed = self.by_vm.remove(vm).is_some();
        self.version += u64::from(removed);
        removed
    }

    /// Looks up an entry VM.
    pub fn get(&self, vm: &id::VmId) -> Option<&Entry> {
        self.by_vm.get(vm).map(|hashed| &hashed.entry)
    }

    /// A counter of changes, for invalidating results computed from the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over all entry VMs, with the hashes of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&id::VmId, u64, &Entry)> {
        self.by_vm
            .iter()
            .map(|(vm, hashed)| (vm, hashed.hash, &hashed.entry))
    }

    /// The number of entry VMs.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }

    /// All entry VMs as candidates for callers, each with its `value`. `in_region` returns whether
    /// an availability zone is in the caller's region.
    pub fn candidates<'a, T: 'a>(
        &'a self,
        in_region: impl Fn(&id::AzId) -> bool + 'a,
        value: impl Fn(&id::VmId, u64, &Entry) -> T + 'a,
    ) -> impl Iterator<Item = entry_selection::Candidate<'a, T>> {
        self.iter()
            .map(move |(vm, hash, entry)| entry_selection::Candidate {
                in_region: in_region(&entry.az),
                az: &entry.az,
                requests_per_s: entry.requests_per_s,
                busy: entry.busy,
                hash,
                value: value(vm, hash, entry),
            })
    }
}
