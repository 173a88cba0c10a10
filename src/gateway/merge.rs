//! Merges what the store or a followed VM reports into the records, and passes on what changed.
//! A store that returned from an older copy changes only what its writers have written again.

use std::collections;

use super::cluster_state::Effect;
use super::mirror::{Mirror, Source};
use crate::metrics as metric_names;
use crate::protocol::mirror;

impl Mirror {
    /// Whether the store has exactly this record, as far as this VM knows.
    pub fn confirms(&self, record: &mirror::Record) -> bool {
        self.records.borrow().contains(record) && !self.unconfirmed.borrow().contains(&record.key)
    }

    /// The store's epoch that the records belong to.
    pub fn epoch(&self) -> u64 {
        self.records.borrow().position().epoch
    }

    /// A counter that grows with each change of a snapshot's contents.
    pub(super) fn snapshot_version(&self) -> u64 {
        self.records.borrow().version() + self.unconfirmed.borrow().version()
    }

    /// Moves the records to another history of the store, if `position` belongs to one. Returns the
    /// keys that were known as removed.
    pub(super) fn enter_epoch(
        &self,
        position: mirror::Position,
    ) -> Option<collections::BTreeSet<String>> {
        let stored = self.records.borrow();
        let is_other = stored.is_complete() && position.epoch != stored.position().epoch;
        drop(stored);
        is_other.then(|| self.rebase(position))
    }

    /// Moves the records to another history of the store. Returns the keys that were known as removed.
    pub(super) fn rebase(&self, position: mirror::Position) -> collections::BTreeSet<String> {
        let mut stored = self.records.borrow_mut();
        let own = stored.position();
        slog::warn!(self.cx.log, "store returned from an older copy"; "epoch" => position.epoch, "revision" => position.revision, "own_epoch" => own.epoch, "own_revision" => own.revision);
        self.unconfirmed.borrow_mut().begin_epoch(self.cx.now());
        self.cx.record_restored_store();
        stored.rebase(position)
    }

    /// Lets the differences to a restored store that a followed VM reports wait here too.
    pub(super) fn await_confirmation<S: Source>(&self, source: &S, records: Vec<mirror::Record>) {
        let now = self.cx.now();
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        for record in records {
            if !unconfirmed.contains(&record.key) {
                let hold = source.hold(&record.key);
                unconfirmed.wait(now, record, hold);
            }
        }
    }

    /// Applies the differences to a restored store whose writers had time to write again.
    pub(super) fn apply_due<S: Source>(&self, source: &S) {
        let due = self.unconfirmed.borrow_mut().take_due(self.cx.now());
        if due.is_empty() {
            return;
        }
        slog::info!(self.cx.log, "records not written again; taking over the restored store's"; "records" => due.len());
        let position = self.records.borrow().position();
        let updates = self.apply_changes(source, &due, position);
        self.publish(updates, position);
    }

    /// The changes without removals that may only show that the restored store does not know of the
    /// last renewals of a lease. These wait.
    pub(super) fn without_unknown_leases<S: Source>(
        &self,
        source: &S,
        mut records: Vec<mirror::Record>,
    ) -> Vec<mirror::Record> {
        let now = self.cx.now();
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        records.retain(|record| {
            record.value.is_some()
                || unconfirmed.admits_removal(now, &record.key, source.hold(&record.key))
        });
        records
    }

    /// Applies changed records. Returns those that followers need. A follower may lack a value that this VM
    /// has held since before the store returned from an older copy and that is written again.
    pub(super) fn apply_changes<S: Source>(
        &self,
        source: &S,
        records: &[mirror::Record],
        position: mirror::Position,
    ) -> Vec<mirror::Record> {
        let needed = records.iter().filter(|record| {
            let is_repeated = record.value.is_some() && self.records.borrow().contains(record);
            self.apply_record(source, record, position) || is_repeated
        });
        let updates = needed.cloned().collect();
        self.records.borrow_mut().advance_to(position);
        updates
    }

    /// Applies and stores a record, unless it is older than what is in force. Returns whether
    /// followers need it.
    fn apply_record<S: Source>(
        &self,
        source: &S,
        record: &mirror::Record,
        position: mirror::Position,
    ) -> bool {
        let waited = self.unconfirmed.borrow_mut().confirm(&record.key);
        let effect = source.apply(record);
        let mut stored = self.records.borrow_mut();
        match stored.contains(record) {
            true => stored.confirm(&record.key, position.revision),
            false if effect == Effect::Rejected => {}
            false => stored.put(record, position.revision),
        }
        waited || effect == Effect::Changed
    }

    /// Replaces all records. `restored` holds the keys known as removed if this is the first list of
    /// an epoch. Returns the changes for followers; a VM without records has none.
    pub(super) fn replace_all<S: Source>(
        &self,
        source: &S,
        records: &[mirror::Record],
        position: mirror::Position,
        restored: Option<&collections::BTreeSet<String>>,
    ) -> Vec<mirror::Record> {
        let was_incomplete = !self.records.borrow().is_complete();
        let missing = self.records.borrow().removals_missing_from(records);
        let mut updates = self.forget_withheld(records);
        let now = self.cx.now();
        let is_back = |key: &str| restored.is_some_and(|removed| removed.contains(key));
        for record in records {
            let key = record.key.as_str();
            let hold = source.hold(key);
            let mut unconfirmed = self.unconfirmed.borrow_mut();
            let is_back = is_back(key) || (restored.is_some() && unconfirmed.withholds(key));
            let admitted = unconfirmed.admits(now, record, is_back, hold);
            drop(unconfirmed);
            if admitted && self.apply_record(source, record, position) {
                updates.push(record.clone());
            }
        }
        for removal in missing {
            let key = removal.key.as_str();
            let (hold, is_restored) = (source.hold(key), restored.is_some());
            let mut unconfirmed = self.unconfirmed.borrow_mut();
            let admitted = unconfirmed.admits_absence(now, key, is_restored, hold);
            drop(unconfirmed);
            if admitted && self.apply_record(source, &removal, position) {
                updates.push(removal);
            }
        }
        let mut stored = self.records.borrow_mut();
        stored.mark_complete(position.revision);
        stored.advance_to(position);
        drop(stored);
        if was_incomplete {
            slog::info!(self.cx.log, "list taken"; "records" => records.len(), "revision" => position.revision);
            updates.clear();
        }
        updates
    }

    /// Forgets records that were not in force yet and that the store no longer has. Returns their
    /// removals for followers.
    fn forget_withheld(&self, listed: &[mirror::Record]) -> Vec<mirror::Record> {
        let mut gone = self.unconfirmed.borrow().withheld();
        gone.retain(|key| listed.iter().all(|record| record.key != *key));
        for key in &gone {
            self.unconfirmed.borrow_mut().confirm(key);
        }
        let removal = |key| mirror::Record { key, value: None };
        gone.into_iter().map(removal).collect()
    }

    /// Sends changes, also none, to the followers.
    pub(super) fn publish(&self, records: Vec<mirror::Record>, position: mirror::Position) {
        let mut snapshot = self.snapshot.borrow_mut();
        if snapshot.0 != self.snapshot_version() {
            // The cached snapshot is outdated and may be large.
            *snapshot = Default::default();
        }
        drop(snapshot);
        metrics::gauge!(metric_names::FOLLOWERS).set(self.updates.receiver_count() as f64);
        let delta = mirror::Message::Delta {
            records,
            revision: position.revision,
            epoch: position.epoch,
            unconfirmed: self.unconfirmed.borrow_mut().take_untold(),
        };
        match mirror::encode(&delta) {
            // Sending fails if there is no follower.
            Ok(message) => drop(self.updates.send(message.into())),
            Err(err) => {
                slog::error!(self.cx.log, "cannot encode changes for followers"; "error" => %err)
            }
        }
    }
}
