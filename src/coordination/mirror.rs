//! Chooses the entry VMs that read the platform's store, and keeps a copy of the store's records.
//!
//! Every call to the store costs money, and every entry VM needs the records. If each VM read the
//! store, calls would grow with the fleet. So in each region only the first registered entry VM
//! reads it. All VMs compute the same order; wider links come first, since readers also serve
//! followers. The first VM of every other availability zone follows the reader, and the other VMs
//! of a zone form a tree, so that a list crosses to each zone once. A VM without a leader reads the
//! store itself; a second reader only costs calls, so no agreement is needed. Each VM follows only
//! VMs before it in the order, which rules out cycles.
//!
//! Load: hundreds of VMs of a zone start at once and each needs the whole list. Sent by one VM, it
//! would fill that VM's link for seconds. So each VM serves only as many followers as its link has
//! bandwidth for, and the other VMs follow these.
//!
//! A follower that loses its leader asks the next one for the delta since its own revision, so the
//! death of a leader does not resend the whole list to every follower.
//!
//! The store may return from an older copy of its contents. It then gives out revisions again, so a
//! revision says nothing without the epoch of the history that it belongs to. A copy of an earlier
//! epoch is brought up to date by a whole list, never by a delta.

use std::cmp;
use std::collections;
use std::net;
use std::time;

use bytes::Bytes;

use crate::decisions::policy;
use crate::id;
use crate::protocol::mirror;

/// How many VMs of its own availability zone a VM tries before one outside it. Two, because a VM
/// that has ended stays registered for some seconds.
pub const MAX_LEADERS_IN_AZ: usize = 2;

/// How long a VM that did not answer is skipped.
pub const UNRESPONSIVE_SKIP_TIME: time::Duration = time::Duration::from_secs(3);

/// How long a VM is skipped that does not read the store or has just started. Such a VM starts to
/// read the store at that moment and has the records soon after.
pub const LEADER_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// How long a VM reads the store before it looks for a leader again. When all VMs start at once,
/// each reads first; within this time all have registered.
pub const LEADER_RECHECK_DELAY: time::Duration = time::Duration::from_millis(700);

/// Longest time between messages of a reader. It sends a message after each answer of the store: every 0.6 s
/// plus a round trip, or every 0.9 s with a slow store. With a read of the store on top, a change
/// is in force within the required 2.5 s.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(1200);

/// The greatest staleness at which a VM accepts new followers. A VM that has just lost the store
/// has not noticed yet; a new follower would wait for another [`SILENCE_TIMEOUT`] and apply the
/// changes of that time late.
pub const MAX_LEADER_STALENESS: time::Duration = time::Duration::from_millis(1000);

/// Extra silence allowed per hop to the reader. A leader whose own leader fails needs this long to
/// read the store itself. If its followers left it at the same moment, the whole zone would read
/// the store.
pub const SILENCE_TIMEOUT_PER_HOP: time::Duration = time::Duration::from_millis(300);

/// The bandwidth reserved for each follower, in Mbit/s. It carries a compressed list of ten
/// thousand backend servers in less than a second.
const FOLLOWER_MBPS: u32 = 5;

/// The least number of followers that a VM serves.
const MIN_FOLLOWER_COUNT: usize = 4;

/// How many removals are kept for followers that reconnect.
const MAX_KEPT_REMOVALS: usize = 4096;

/// A value and the revision of its last update.
#[derive(Clone, Debug)]
struct VersionedValue {
    value: Bytes,
    revision: u64,
}

/// A copy of the store's records.
#[derive(Clone, Debug, Default)]
pub struct Records {
    values: collections::BTreeMap<String, VersionedValue>,
    /// Removed keys and the revision of each removal.
    removed: collections::BTreeMap<String, u64>,
    /// The revision from which all removals are kept; 0: none are.
    complete_from: u64,
    position: mirror::Position,
    version: u64,
}

impl Records {
    /// The point in the store's history that this copy shows; revision 0: the copy is empty.
    pub fn position(&self) -> mirror::Position {
        self.position
    }

    /// A counter that grows with each record applied. Data derived from the records stays valid
    /// until it changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Raises the revision to at least that of a position. The first position sets the epoch.
    pub fn advance_to(&mut self, position: mirror::Position) {
        if self.position.revision == 0 {
            self.position.epoch = position.epoch;
        }
        self.position.revision = self.position.revision.max(position.revision);
    }

    /// Continues at a position in another history of the store. Revisions of the earlier history
    /// mean nothing in this one, so all records held count as written there. Returns the keys known
    /// as removed.
    pub fn rebase(&mut self, position: mirror::Position) -> collections::BTreeSet<String> {
        let values = self.values.values_mut();
        values.for_each(|versioned| versioned.revision = position.revision);
        let removed = std::mem::take(&mut self.removed);
        self.complete_from = position.revision;
        self.position = position;
        self.version += 1;
        removed.into_keys().collect()
    }

    /// Marks the copy as complete: all records of `revision` are applied.
    pub fn mark_complete(&mut self, revision: u64) {
        if !self.is_complete() {
            self.complete_from = revision;
        }
    }

    /// Whether all records of some revision are applied.
    pub fn is_complete(&self) -> bool {
        self.complete_from != 0
    }

    /// Applies a record of this revision.
    pub fn put(&mut self, record: &mirror::Record, revision: u64) {
        self.version += 1;
        match &record.value {
            Some(value) => {
                let value = value.clone();
                self.removed.remove(&record.key);
                let versioned = VersionedValue { value, revision };
                self.values.insert(record.key.clone(), versioned);
            }
            None => {
                self.values.remove(&record.key);
                self.removed.insert(record.key.clone(), revision);
                self.trim_removals(revision);
            }
        }
    }

    /// Notes that the store has a held value at this revision, also if it was written again unchanged. A
    /// VM that has read the store may hold an older value from before that.
    pub fn confirm(&mut self, key: &str, revision: u64) {
        if let Some(versioned) = self.values.get_mut(key) {
            versioned.revision = versioned.revision.max(revision);
        }
    }

    fn trim_removals(&mut self, revision: u64) {
        if self.removed.len() > MAX_KEPT_REMOVALS {
            self.removed.clear();
            self.complete_from = revision;
        }
    }

    /// Whether the copy already holds this record.
    pub fn contains(&self, record: &mirror::Record) -> bool {
        self.values
            .get(&record.key)
            .map(|versioned| &versioned.value)
            == record.value.as_ref()
    }

    /// Removals of all held keys that `records` lacks.
    pub fn removals_missing_from(&self, records: &[mirror::Record]) -> Vec<mirror::Record> {
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

    /// A message with all records, and those that are not in force yet.
    pub fn snapshot(&self, unconfirmed: Vec<mirror::Record>) -> mirror::Message {
        let records = self.values.iter().map(|(key, versioned)| mirror::Record {
            key: key.clone(),
            value: Some(versioned.value.clone()),
        });
        mirror::Message::Snapshot {
            records: records.collect(),
            revision: self.position.revision,
            epoch: self.position.epoch,
            unconfirmed,
        }
    }

    /// A message with the changes after `since`, and those that are not in force yet. `None` if
    /// they are no longer known.
    pub fn delta_since(
        &self,
        since: mirror::Position,
        unconfirmed: &[mirror::Record],
    ) -> Option<mirror::Message> {
        let revision = since.revision;
        let is_other_history = since.epoch != self.position.epoch;
        if !self.is_complete() || is_other_history || revision < self.complete_from {
            return None;
        }
        let values = self
            .values
            .iter()
            .filter(|(_, versioned)| versioned.revision > revision);
        let values = values.map(|(key, versioned)| mirror::Record {
            key: key.clone(),
            value: Some(versioned.value.clone()),
        });
        let removed = self.removed.iter().filter(|(_, at)| **at > revision);
        let removed = removed.map(|(key, _)| mirror::Record {
            key: key.clone(),
            value: None,
        });
        Some(mirror::Message::Delta {
            records: values.chain(removed).collect(),
            revision: self.position.revision,
            epoch: self.position.epoch,
            unconfirmed: unconfirmed.to_vec(),
        })
    }
}

/// Selects the leaders to try.
#[derive(Clone, Debug, Default)]
pub struct LeaderOrder {
    skipped: collections::BTreeMap<id::VmId, policy::Moment>,
}

impl LeaderOrder {
    /// Skips a VM for `span` because it could not be followed.
    pub fn skip(&mut self, now: policy::Moment, vm: &id::VmId, span: time::Duration) {
        self.skipped.insert(vm.clone(), now + span);
    }

    /// This VM's rank: how many VMs precede it in the order, including those that are skipped.
    pub fn rank(local: &Candidate, region_vms: &[Candidate]) -> usize {
        region_vms
            .iter()
            .filter(|vm| vm.cmp_rank(local).is_lt())
            .count()
    }

    /// The leaders to try, best first; empty if this VM must read the store itself. `region_vms`
    /// holds the registered entry VMs of the region.
    pub fn leaders(
        &mut self,
        now: policy::Moment,
        local: &Candidate,
        region_vms: &[Candidate],
    ) -> Vec<Candidate> {
        self.skipped.retain(|_, until| *until > now);
        let mut preceding: Vec<&Candidate> = region_vms
            .iter()
            .filter(|vm| vm.cmp_rank(local).is_lt())
            .filter(|vm| !self.skipped.contains_key(&vm.vm))
            .collect();
        preceding.sort_by(|a, b| a.cmp_rank(b));
        let (zone, outside): (Vec<&Candidate>, Vec<&Candidate>) =
            preceding.into_iter().partition(|vm| vm.az == local.az);
        let ancestors = ancestors(&zone);
        // If the tree is flat, the next VM in the order replaces the first as the second choice.
        let others = zone.iter().enumerate().map(|(rank, _)| rank);
        let others = others.filter(|rank| !ancestors.contains(rank));
        let chosen: Vec<usize> = ancestors
            .iter()
            .copied()
            .chain(others)
            .take(MAX_LEADERS_IN_AZ)
            .collect();
        let in_zone = chosen.into_iter().map(|rank| zone[rank]);
        in_zone
            .chain(outside.into_iter().take(1))
            .cloned()
            .collect()
    }

    /// The number of hops from a VM to the first VM of its availability zone.
    pub fn depth(vm: &Candidate, region_vms: &[Candidate]) -> u32 {
        let mut zone: Vec<&Candidate> = region_vms
            .iter()
            .filter(|other| other.az == vm.az && other.cmp_rank(vm).is_lt())
            .collect();
        zone.sort_by(|a, b| a.cmp_rank(b));
        ancestors(&zone).len() as u32
    }
}

/// The ranks of a VM's leader, its leader's leader and so on. `zone` holds the VMs of its
/// availability zone that precede it.
fn ancestors(zone: &[&Candidate]) -> Vec<usize> {
    let mut ancestors = Vec::new();
    let mut rank = zone.len();
    while rank > 0 {
        rank = leader(zone, rank);
        ancestors.push(rank);
    }
    ancestors
}

/// The rank of the leader for the VM at this rank of its availability zone: each VM serves the next
/// ones that no earlier VM serves.
fn leader(zone: &[&Candidate], rank: usize) -> usize {
    let mut served = 0;
    for (leader, vm) in zone.iter().enumerate() {
        served += vm.max_followers();
        if rank <= served {
            return leader;
        }
    }
    zone.len().saturating_sub(1)
}

/// An entry VM with the properties that decide its rank.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The hash of its name.
    pub hash: u64,
    /// Its name.
    pub vm: id::VmId,
    /// Its availability zone.
    pub az: id::AzId,
    /// The address for followers.
    pub peers: Option<net::SocketAddr>,
    /// The bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
}

impl Candidate {
    /// The number of followers that it serves.
    fn max_followers(&self) -> usize {
        MIN_FOLLOWER_COUNT.max((self.link_mbps / FOLLOWER_MBPS) as usize)
    }

    /// Compares ranks. VMs with wider links come first, since they serve more followers.
    pub fn cmp_rank(&self, other: &Self) -> cmp::Ordering {
        let wider = other.link_mbps.cmp(&self.link_mbps);
        wider.then_with(|| (self.hash, &self.vm).cmp(&(other.hash, &other.vm)))
    }
}
