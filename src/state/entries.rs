//! The entry VMs that take callers' requests, as they registered themselves.

use std::collections;
use std::net;

use crate::decisions::{affinity, nearby};
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
}

/// The entry VMs by name.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    by_vm: collections::BTreeMap<id::VmId, Entry>,
}

impl Entries {
    /// Takes one in. Returns whether that changed anything.
    pub fn put(&mut self, vm: id::VmId, entry: Entry) -> bool {
        self.by_vm.insert(vm, entry.clone()) != Some(entry)
    }

    /// Takes one out. Returns whether it was there.
    pub fn remove(&mut self, vm: &id::VmId) -> bool {
        self.by_vm.remove(vm).is_some()
    }

    /// One of them.
    pub fn get(&self, vm: &id::VmId) -> Option<&Entry> {
        self.by_vm.get(vm)
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

    /// All of them as callers may be told of them, with what `told` says of each. `near` says
    /// whether an availability zone is in the caller's region.
    pub fn to_tell<'a, T: 'a>(
        &'a self,
        near: impl Fn(&id::AzId) -> bool + 'a,
        told: impl Fn(&id::VmId, &Entry) -> T + 'a,
    ) -> impl Iterator<Item = nearby::Entry<'a, T>> {
        self.by_vm.iter().map(move |(vm, entry)| nearby::Entry {
            near: near(&entry.az),
            az: &entry.az,
            requests: entry.requests,
            busy: entry.busy,
            hash: affinity::hash(vm.as_str().as_bytes()),
            told: told(vm, entry),
        })
    }
}
