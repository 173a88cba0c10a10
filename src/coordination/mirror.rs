//! Who reads the platform's store, and what is known of it.
//!
//! Each call to the store is paid for, and each entry VM needs what stands there. If each read it,
//! calls would grow with the VMs: at 85 VMs they cost more than all processors. So in each region
//! the first of the registered entry VMs reads, in an order that all work out alike: those with the
//! widest links first, since whoever reads also passes on. The first of
//! each other availability zone follows it and passes on what it hears to those of its zone, so
//! that a list crosses to a zone once. One that finds nobody to follow reads by itself; two readers
//! cost calls and nothing else, so nothing has to be agreed on. Each follows only one that stands
//! before it in the order, so that no two follow one another and hear nothing.

use std::cmp;
use std::collections;
use std::net;
use std::time;

use bytes::Bytes;

use crate::decisions::policy;
use crate::id;
use crate::protocol::mirror;

/// How many of its availability zone a VM asks before it looks farther. Two: a VM that dies is
/// still registered for some seconds.
pub const ASKED: usize = 2;

/// For how long one that did not answer is left alone.
pub const AVOID: time::Duration = time::Duration::from_secs(3);

/// For how long one is left alone that said that it does not read, or has just started: it turns to
/// the store at that moment, and has read it soon.
pub const AGAIN: time::Duration = time::Duration::from_millis(300);

/// How long one reads by itself before it looks for somebody to follow again. When all start at once
/// each reads by itself first, and within this all have registered: with 2 s instead, 95 VMs made 437
/// calls in their first seconds, a third of a calm day's.
pub const RECHECK: time::Duration = time::Duration::from_millis(700);

/// How long a reader may be silent. It speaks with each answer of the store, which come every 0.6 s
/// and a round trip, or 0.9 s from a slow store; together with a turn to the store this stays
/// within the two and a half seconds in which a change must be in force.
pub const SILENCE: time::Duration = time::Duration::from_millis(1200);

/// How old what a VM heard last may be for others to begin to follow it. One that has just lost
/// the store does not know it yet; whoever begins to follow it then waits for [`SILENCE`] once
/// more and is late with what has changed meanwhile.
pub const FRESH: time::Duration = time::Duration::from_millis(1000);

/// How much longer one may be silent that passes on what it hears. When its own reader falls
/// silent it takes this long to turn to the store; were it left at the same moment, all of its
/// zone would turn to the store too.
pub const TURN: time::Duration = time::Duration::from_millis(300);

/// What is known of the store.
#[derive(Clone, Debug, Default)]
pub struct Records {
    values: collections::BTreeMap<String, Bytes>,
    revision: u64,
    /// Grows with each record that is taken.
    version: u64,
}

impl Records {
    /// The store's revision that this shows; 0: nothing is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Grows with each record that is taken, so that what was made of them can be kept until the
    /// next.
    pub fn version(&self) -> u64 {
        self.version
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
        self.version += 1;
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
    /// One could not be followed and is left alone for so long.
    pub fn avoid(&mut self, now: policy::Moment, vm: &id::VmId, span: time::Duration) {
        self.avoided.insert(vm.clone(), now + span);
    }

    /// How many stand before this VM, whether they can be followed or not.
    pub fn place(own: &Place, near: &[Place]) -> usize {
        near.iter().filter(|vm| vm.order(own).is_lt()).count()
    }

    /// Those to ask, the first first; none where this VM is to read by itself. `near` are the
    /// registered entry VMs of the region.
    pub fn ask(&mut self, now: policy::Moment, own: &Place, near: &[Place]) -> Vec<Place> {
        self.avoided.retain(|_, until| *until > now);
        let mut before: Vec<&Place> = near
            .iter()
            .filter(|vm| vm.order(own).is_lt())
            .filter(|vm| !self.avoided.contains_key(&vm.vm))
            .collect();
        before.sort_by(|a, b| a.order(b));
        let (zone, beyond): (Vec<&Place>, Vec<&Place>) =
            before.into_iter().partition(|vm| vm.az == own.az);
        zone.into_iter()
            .take(ASKED)
            .chain(beyond.into_iter().take(1))
            .cloned()
            .collect()
    }
}

/// An entry VM's place in the order.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The hash of its name.
    pub hash: u64,
    /// Its name.
    pub vm: id::VmId,
    /// Its availability zone.
    pub az: id::AzId,
    /// Where it can be asked.
    pub peers: Option<net::SocketAddr>,
    /// The bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
}

impl Place {
    /// Whether it stands before another.
    ///
    /// A list of 1,900 routes that a VM with a link of 10 Mbit/s passed on to ten others took the
    /// last of them over a second; VMs with 200 Mbit/s stand beside it in the same region.
    pub fn order(&self, other: &Self) -> cmp::Ordering {
        let wider = other.link_mbps.cmp(&self.link_mbps);
        wider.then_with(|| (self.hash, &self.vm).cmp(&(other.hash, &other.vm)))
    }
}
