//! Decides what becomes of records on which a restored store and this VM differ.
//!
//! The store may return from a copy of its contents that is some seconds old. Records written since
//! are gone, removed ones are back, and leases are as old as the copy, so those of live writers may
//! end at once. The writers write again within seconds. If a VM followed the store meanwhile, it
//! would send requests to an availability zone under evacuation, drop live backend servers, and
//! forget most entry VMs; without these, hundreds of VMs would each read the whole list.
//!
//! So what was in force stays in force until it is written again, or for as long as its writer would
//! need. Records that only the restored store has wait likewise. Followers learn which records wait,
//! since each may have to decide without its leader.

use std::collections;
use std::time;

use bytes::Bytes;

use crate::decisions::policy;
use crate::protocol::mirror;

/// The longest time between two answers of the store that counts as time to write again. Readers get
/// one every 0.6 s, or every 0.9 s if it is slow.
const MAX_ANSWER_GAP: time::Duration = time::Duration::from_millis(1000);

/// The longest wait of a record that is back in the store. It may also have been written again, and an
/// evacuation must be in force within five seconds.
const MAX_WITHHELD: time::Duration = time::Duration::from_secs(3);

/// How records of one kind behave when the store returns from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hold {
    /// Time within which a live writer writes again.
    pub lasts: time::Duration,
    /// Whether a record is removed when its writer's lease ends.
    pub leased: bool,
}

/// A change that is not in force yet.
#[derive(Clone, Debug)]
struct Waiting {
    /// The value in the store; `None` if the store has none.
    value: Option<Bytes>,
    until: policy::Moment,
}

/// The records on which the store and this VM differ.
#[derive(Clone, Debug, Default)]
pub struct Unconfirmed {
    /// When this VM learnt of the store's present epoch; `None` while it has known only one.
    epoch_began: Option<policy::Moment>,
    waiting: collections::BTreeMap<String, Waiting>,
    /// When the store last answered.
    answered_at: Option<policy::Moment>,
    /// Changes that wait and have not been sent to followers.
    unsent: Vec<mirror::Record>,
    version: u64,
}

impl Unconfirmed {
    /// Begins an epoch of the store.
    pub fn begin_epoch(&mut self, now: policy::Moment) {
        self.epoch_began = Some(now);
        self.answered_at = Some(now);
    }

    /// A counter that grows with each change of the records that wait.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether no record waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a record waits.
    pub fn contains(&self, key: &str) -> bool {
        self.waiting.contains_key(key)
    }

    /// Whether the store has a record that is not in force.
    pub fn withholds(&self, key: &str) -> bool {
        self.waiting.get(key).is_some_and(|w| w.value.is_some())
    }

    /// Keys of records that the store has and that are not in force.
    pub fn withheld(&self) -> Vec<String> {
        let withheld = self.waiting.iter().filter(|(_, w)| w.value.is_some());
        withheld.map(|(key, _)| key.clone()).collect()
    }

    /// Whether a record of the store's list takes effect now. `is_back` says that this VM knew it as
    /// removed and has read the list of a new epoch.
    pub fn admits(
        &mut self,
        now: policy::Moment,
        record: &mirror::Record,
        is_back: bool,
        hold: Hold,
    ) -> bool {
        if is_back {
            self.wait(now, record.clone(), hold);
        }
        let waits_on = self
            .waiting
            .get(&record.key)
            .is_some_and(|waiting| waiting.value.is_some() && waiting.value == record.value);
        !waits_on
    }

    /// Whether a record that the store's list lacks is removed now. `is_restored` says that the list
    /// is the first of a new epoch.
    pub fn admits_absence(
        &mut self,
        now: policy::Moment,
        key: &str,
        is_restored: bool,
        hold: Hold,
    ) -> bool {
        let waits = self.contains(key);
        if is_restored || (!waits && self.is_lease_unknown(now, hold)) {
            self.wait_for_removal(now, key, hold);
            return false;
        }
        !waits
    }

    /// Whether a removal that the store reports takes effect now.
    pub fn admits_removal(&mut self, now: policy::Moment, key: &str, hold: Hold) -> bool {
        if self.withholds(key) || !self.is_lease_unknown(now, hold) {
            return true;
        }
        if !self.contains(key) {
            self.wait_for_removal(now, key, hold);
        }
        false
    }

    /// Whether the end of a lease says nothing yet: a restored store does not know of the last
    /// renewals before its return.
    fn is_lease_unknown(&self, now: policy::Moment, hold: Hold) -> bool {
        let is_recent = |began: policy::Moment| now < began + hold.lasts;
        hold.leased && self.epoch_began.is_some_and(is_recent)
    }

    fn wait_for_removal(&mut self, now: policy::Moment, key: &str, hold: Hold) {
        let removal = mirror::Record {
            key: key.to_owned(),
            value: None,
        };
        self.wait(now, removal, hold);
    }

    /// Lets a change wait until writers had time to write again since the store's return.
    pub fn wait(&mut self, now: policy::Moment, record: mirror::Record, hold: Hold) {
        self.version += 1;
        self.unsent.push(record.clone());
        let lasts = match record.value {
            Some(_) => hold.lasts.min(MAX_WITHHELD),
            None => hold.lasts,
        };
        let waiting = Waiting {
            value: record.value,
            until: self.epoch_began.unwrap_or(now) + lasts,
        };
        self.waiting.insert(record.key, waiting);
    }

    /// Records that a key was written or removed in the present epoch. Returns whether it waited.
    pub fn confirm(&mut self, key: &str) -> bool {
        let waited = self.waiting.remove(key).is_some();
        self.version += u64::from(waited);
        waited
    }

    /// Takes the changes whose time is over. Called with each answer of the store: its writers cannot
    /// write while it is away.
    pub fn take_due(&mut self, now: policy::Moment) -> Vec<mirror::Record> {
        self.skip_silence(now);
        let due = self.waiting.iter().filter(|(_, w)| now >= w.until);
        let due: Vec<mirror::Record> = due
            .map(|(key, waiting)| mirror::Record {
                key: key.clone(),
                value: waiting.value.clone(),
            })
            .collect();
        for record in &due {
            self.confirm(&record.key);
        }
        due
    }

    /// Extends all waits by a time in which the store did not answer.
    fn skip_silence(&mut self, now: policy::Moment) {
        let answered_at = self.answered_at.replace(now).unwrap_or(now);
        let silence = now.saturating_sub(answered_at);
        if silence <= MAX_ANSWER_GAP {
            return;
        }
        if let Some(began) = &mut self.epoch_began {
            *began += silence;
        }
        for waiting in self.waiting.values_mut() {
            waiting.until += silence;
        }
    }

    /// All changes that wait.
    pub fn records(&self) -> Vec<mirror::Record> {
        let records = self.waiting.iter().map(|(key, waiting)| mirror::Record {
            key: key.clone(),
            value: waiting.value.clone(),
        });
        records.collect()
    }

    /// Takes the changes that have begun to wait since the last call.
    pub fn take_untold(&mut self) -> Vec<mirror::Record> {
        let unsent = std::mem::take(&mut self.unsent);
        let still_waits = |record: &mirror::Record| self.waiting.contains_key(&record.key);
        unsent.into_iter().filter(still_waits).collect()
    }
}
