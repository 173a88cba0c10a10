//! Who reads the platform's store, and what is known of it.
//!
//! Each call to the store is paid for, and the list of backend servers changes with each of their
//! heartbeats. If each entry VM read it, calls would grow with the VMs: at 85 VMs they cost more
//! than all processors. So in each region the first of the registered entry VMs reads, in an order
//! that all work out alike, and the others follow it. Nothing is agreed on: one that finds nobody
//! to follow reads by itself, and two readers cost calls and nothing else.

use std::collections;
use std::time;

use bytes::Bytes;

use crate::decisions::policy;
use crate::id;
use crate::protocol::mirror;

/// How many of the order are asked before one reads by itself. Two: a VM that dies is still
/// registered for some seconds, and the second then reads.
pub const ASKED: usize = 2;

/// For how long one that could not be followed is left alone.
pub const AVOID: time::Duration = time::Duration::from_secs(3);

/// How long one reads by itself before it looks for somebody to follow again.
pub const RECHECK: time::Duration = time::Duration::from_secs(2);

/// How long a reader may be silent. It speaks with each answer of the store, twice a second;
/// together with a turn to the store this stays within the two and a half seconds in which a
/// change must be in force.
pub const SILENCE: time::Duration = time::Duration::from_millis(1500);

/// What is known of the store.
#[derive(Clone, Debug, Default)]
pub struct Records {
    values: collections::BTreeMap<String, Bytes>,
    revision: u64,
}

impl Records {
    /// The store's revision that this shows; 0: nothing is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes note of a revision.
    pub fn reached(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.values.contains_key(key)
    }

    /// Takes a record.
    pub fn put(&mut self, record: &mirror::Record) {
        match &record.value {
            Some(value) => self.values.insert(record.key.clone(), value.clone()),
            None => self.values.remove(&record.key),
        };
    }

    /// Removals of all keys that are not among these.
    pub fn missing(&self, records: &[mirror::Record]) -> Vec<mirror::Record> {
        let listed: collections::BTreeSet<&str> = records.iter().map(|r| r.key.as_str()).collect();
        self.values
            .keys()
            .filter(|key| !listed.contains(key.as_str()))
            .map(|key| mirror::Record {
                key: key.clone(),
                value: None,
            })
            .collect()
    }

    /// Everything.
    pub fn whole(&self) -> mirror::Message {
        let records = self.values.iter().map(|(key, value)| mirror::Record {
            key: key.clone(),
            value: Some(value.clone()),
        });
        mirror::Message::Whole {
            records: records.collect(),
            revision: self.revision,
        }
    }
}

/// Whom to follow.
#[derive(Clone, Debug, Default)]
pub struct Order {
    avoided: collections::BTreeMap<id::VmId, policy::Moment>,
}

impl Order {
    /// One could not be followed.
    pub fn avoid(&mut self, now: policy::Moment, vm: &id::VmId) {
        self.avoided.insert(vm.clone(), now + AVOID);
    }

    /// Those to ask, the first first; none where this VM is to read by itself. `near` are the
    /// registered entry VMs of the region with the hashes of their names.
    pub fn ask(
        &mut self,
        now: policy::Moment,
        own: &id::VmId,
        near: &[(u64, id::VmId)],
    ) -> Vec<id::VmId> {
        self.avoided.retain(|_, until| *until > now);
        let mut order: Vec<&(u64, id::VmId)> = near.iter().collect();
        order.sort();
        order
            .into_iter()
            .map(|(_, vm)| vm)
            .take_while(|vm| *vm != own)
            .filter(|vm| !self.avoided.contains_key(*vm))
            .take(ASKED)
            .cloned()
            .collect()
    }
}
