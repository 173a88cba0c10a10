//! The entry VMs that take callers' requests, as they registered themselves.

use std::collections;
use std::net;

use crate::decisions::affinity;
use crate::id;

/// An entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Where it takes callers' requests.
    pub front: net::SocketAddr,
    /// Its availability zone.
    pub az: id::AzId,
}

/// The entry VMs by name.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    by_vm: collections::BTreeMap<id::VmId, Entry>,
}

impl Entries {
    /// Takes one in.
    pub fn put(&mut self, vm: id::VmId, entry: Entry) {
        self.by_vm.insert(vm, entry);
    }

    /// Takes one out.
    pub fn remove(&mut self, vm: &id::VmId) {
        self.by_vm.remove(vm);
    }

    /// Keeps those that `keep` wants.
    pub fn retain(&mut self, keep: impl Fn(&id::VmId) -> bool) {
        self.by_vm.retain(|vm, _| keep(vm));
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&id::VmId, &Entry)> {
        self.by_vm.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }

    /// The hashes of the names of those in one availability zone.
    pub fn hashes_in(&self, az: &id::AzId) -> Vec<u64> {
        self.by_vm
            .iter()
            .filter(|(_, entry)| entry.az == *az)
            .map(|(vm, _)| affinity::hash(vm.as_str().as_bytes()))
            .collect()
    }
}
