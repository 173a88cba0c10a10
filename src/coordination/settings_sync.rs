//! Distributes accepted settings to every entry process and prevents reverts to older versions.
//!
//! The reader of an availability zone lists and watches the store. Each process forwards new
//! values to its peers at once. Digests repair message loss: every 2 s a process sends its peers a
//! hash of all values it holds; two peers whose hashes differ compare key by key and request the
//! newer values. So a VM that starts while the store is down gets its settings from peers, and the
//! readers rewrite a store that was restored to an older state before an operator builds on it.
//!
//! Without the reader each VM would hold two watches: 8,800 concurrent calls for 4,400 VMs.
//! Without digests a lost message would leave a VM on old settings until the next change;
//! `bulrushwind status` would list that VM as lagging.
//!
//! Nothing here blocks or reads a clock: inputs are events and the time, outputs are
//! [`action::Action`]s.

use std::collections;
use std::time;

use rand::RngExt;
use rand::SeedableRng;

use super::{action, budget, signed_values, store};
use crate::decisions::policy;
use crate::id;
use crate::protocol::peer;
use crate::settings::keys;
use action::{Action, Note, PREFIXES, Prefix};
use signed_values::OfferOutcome;

/// Interval at which a process sends its digest to its peers.
const DIGEST_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Shortest interval between two key-by-key comparisons with one peer. It limits the traffic of
/// peers that can never agree because one holds settings signed by a key revoked since.
const MIN_COMPARE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time to wait for a requested value before requesting it from another peer.
const REQUEST_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Shortest interval between full reads, which a reader makes in addition to its watch: if a store
/// is restored and written to before the watch reconnects, its revisions pass the watch's revision
/// and the watch misses the writes in between. The interval grows with the stored bytes, so that
/// full reads cost at most [`FULL_READ_BYTES_PER_S`].
const MIN_FULL_READ_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// Longest interval between two full reads.
const MAX_FULL_READ_INTERVAL: time::Duration = time::Duration::from_secs(300);

/// Bandwidth for full reads, out of the 10 KB/s that a reader may use for control traffic.
const FULL_READ_BYTES_PER_S: f64 = 3_000.0;

/// Longest random delay before a reader rewrites an outdated value in the store. The readers of
/// all availability zones draw different delays, so that usually only the first one writes.
const MAX_REPAIR_DELAY: time::Duration = time::Duration::from_secs(1);

/// Bytes of values after which the answer to one message ends. The next digest brings the rest.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// Keys listed in one message.
const MAX_KEYS_PER_MESSAGE: usize = 10_000;

/// Refusals remembered so that each is logged once.
const MAX_LOGGED_REFUSALS: usize = 256;

#[derive(Debug, Default)]
struct PrefixReads {
    last_revision: Option<store::Revision>,
    watching: bool,
    listing: bool,
    next_full_read: policy::Moment,
}

#[derive(Debug)]
struct Repair {
    expect: store::Revision,
    due: policy::Moment,
    /// A read after `due` still returned the older value.
    confirmed: bool,
}

/// Keeps the settings of one process in sync with the store and its peers.
#[derive(Debug)]
pub struct SettingsSync {
    values: signed_values::SignedValues,
    is_reader: bool,
    reads_by_prefix: collections::BTreeMap<Prefix, PrefixReads>,
    repairs: collections::BTreeMap<String, Repair>,
    writing: bool,
    last_compared: collections::BTreeMap<id::VmId, policy::Moment>,
    requested: collections::BTreeMap<String, policy::Moment>,
    logged_refusals: collections::BTreeSet<(String, String)>,
    next_digest: policy::Moment,
    rng: rand_chacha::ChaCha8Rng,
}

impl SettingsSync {
    /// Creates an empty instance. `seed` seeds the jitter and must differ between processes.
    pub fn new(roots: Vec<keys::PublicKey>, seed: u64) -> Self {
        Self {
            values: signed_values::SignedValues::new(roots),
            is_reader: false,
            reads_by_prefix: PREFIXES.map(|p| (p, PrefixReads::default())).into(),
            repairs: collections::BTreeMap::new(),
            writing: false,
            last_compared: collections::BTreeMap::new(),
            requested: collections::BTreeMap::new(),
            logged_refusals: collections::BTreeSet::new(),
            next_digest: policy::Moment::ZERO,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The signed values that this process holds.
    pub fn held(&self) -> &signed_values::SignedValues {
        &self.values
    }

    /// Starts or stops reading the store. Reading starts with a full read, since the revisions
    /// from an earlier read may predate a restore of the store.
    pub fn set_reader(&mut self, is_reader: bool) {
        if is_reader != self.is_reader {
            self.is_reader = is_reader;
            self.restart_reads();
            self.repairs.clear();
        }
    }

    /// Schedules full reads instead of continuing from the last revisions.
    fn restart_reads(&mut self) {
        for prefix_reads in self.reads_by_prefix.values_mut() {
            prefix_reads.last_revision = None;
            prefix_reads.next_full_read = policy::Moment::ZERO;
        }
    }

    /// Sends the digest to a newly linked peer, so that it need not wait for the next interval.
    pub fn send_digest(&self, peer: &id::VmId, out: &mut Vec<Action>) {
        let message = peer::Message::Digest(self.values.digest());
        out.push(Action::Send(peer.clone(), message));
    }

    /// Sends the digest, and starts store reads and writes, if they are due.
    pub fn tick(
        &mut self,
        now: policy::Moment,
        budget: &mut budget::Budget,
        out: &mut Vec<Action>,
    ) {
        if now >= self.next_digest {
            self.next_digest = now + DIGEST_INTERVAL;
            let message = peer::Message::Digest(self.values.digest());
            out.push(Action::ToAll {
                except: None,
                message,
            });
        }
        if self.is_reader {
            self.start_reads(now, budget, out);
            self.start_repair(now, budget, out);
        }
    }

    /// Handles the end of a full read.
    pub fn full_read_ended(
        &mut self,
        now: policy::Moment,
        prefix: Prefix,
        result: Result<store::Snapshot, store::Error>,
        out: &mut Vec<Action>,
    ) {
        let prefix_reads = self.reads_by_prefix.entry(prefix).or_default();
        prefix_reads.listing = false;
        let Ok(snapshot) = result else { return };
        if !prefix_reads.watching {
            prefix_reads.last_revision = Some(snapshot.revision);
        }
        prefix_reads.next_full_read =
            now + full_read_interval(&snapshot).mul_f64(0.75 + self.rng.random::<f64>() / 2.0);
        let stored: collections::BTreeSet<_> =
            snapshot.entries.iter().map(|e| e.key.clone()).collect();
        for entry in &snapshot.entries {
            self.offer_stored(now, entry, out);
        }
        for held in self.values.held() {
            let in_prefix = held.key.starts_with(prefix.as_str());
            if in_prefix && !stored.contains(&held.key) {
                self.schedule_repair(now, &held.key, store::Revision(0), 0, out);
            }
        }
        self.update_in_force(out);
    }

    /// Handles the end of a watch.
    pub fn watch_ended(
        &mut self,
        now: policy::Moment,
        prefix: Prefix,
        result: Result<store::Watch, store::Error>,
        out: &mut Vec<Action>,
    ) {
        let prefix_reads = self.reads_by_prefix.entry(prefix).or_default();
        prefix_reads.watching = false;
        match result {
            Ok(store::Watch::Gap) => prefix_reads.next_full_read = now,
            Ok(store::Watch::Events { revision, entries }) => {
                prefix_reads.last_revision = Some(revision);
                for entry in &entries {
                    self.offer_stored(now, entry, out);
                }
                self.update_in_force(out);
            }
            // The store may have been restored during an outage.
            Err(_) => prefix_reads.next_full_read = now,
        }
    }

    /// Handles the end of a write. After an error a full read shows what the store holds.
    pub fn write_ended(&mut self, key: &str, result: &Result<store::Revision, store::Error>) {
        self.writing = false;
        self.repairs.remove(key);
        if result.is_err()
            && let Some(prefix_reads) =
                Prefix::of(key).and_then(|p| self.reads_by_prefix.get_mut(&p))
        {
            prefix_reads.next_full_read = policy::Moment::ZERO;
        }
    }

    /// Handles a peer's message about settings. Ignores other messages.
    pub fn handle_message(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        message: &peer::Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            peer::Message::Signed(signed) => {
                let outcome = self.values.offer(&signed.key, &signed.text);
                self.forward(&signed.key, Some(from), outcome, out);
                self.update_in_force(out);
            }
            peer::Message::Digest(theirs) => self.compare_digest(now, from, *theirs, out),
            peer::Message::Held(theirs) => self.request_newer(now, from, theirs, out),
            peer::Message::Want(keys) => self.send_values(from, keys, out),
            _ => {}
        }
    }

    fn start_reads(
        &mut self,
        now: policy::Moment,
        budget: &mut budget::Budget,
        out: &mut Vec<Action>,
    ) {
        for (prefix, prefix_reads) in &mut self.reads_by_prefix {
            if prefix_reads.listing {
                continue;
            }
            let due = prefix_reads.last_revision.is_none() || now >= prefix_reads.next_full_read;
            if due && budget.try_take(now) {
                prefix_reads.listing = true;
                out.push(Action::List(*prefix));
            }
            if let Some(revision) = prefix_reads
                .last_revision
                .filter(|_| !due && !prefix_reads.watching)
                && budget.try_take(now)
            {
                prefix_reads.watching = true;
                out.push(Action::Watch(*prefix, revision));
            }
        }
    }

    fn start_repair(
        &mut self,
        now: policy::Moment,
        budget: &mut budget::Budget,
        out: &mut Vec<Action>,
    ) {
        if self.writing {
            return;
        }
        let due = self.repairs.iter().find(|(_, repair)| repair.confirmed);
        let Some((key, repair)) = due else { return };
        let Some(value) = self.values.text(key) else {
            return;
        };
        if budget.try_take(now) {
            self.writing = true;
            out.push(Action::Write {
                key: key.clone(),
                expect: repair.expect,
                value,
            });
        }
    }

    fn offer_stored(&mut self, now: policy::Moment, entry: &store::Entry, out: &mut Vec<Action>) {
        if entry.value.is_empty() {
            // Deletions are unsigned and are undone. A team is removed by applying empty settings.
            self.schedule_repair(now, &entry.key, store::Revision(0), 0, out);
            return;
        }
        let Ok(text) = std::str::from_utf8(&entry.value) else {
            let why = "the value is not UTF-8; write it again with `bulrushwind apply`".to_owned();
            self.report_refusal(&entry.key, why, out);
            return;
        };
        let outcome = self.values.offer(&entry.key, &text.into());
        if let OfferOutcome::Older { offered, .. } = outcome {
            self.schedule_repair(now, &entry.key, entry.revision, offered, out);
        } else {
            self.repairs.remove(&entry.key);
        }
        self.forward(&entry.key, None, outcome, out);
    }

    /// Schedules a write of the held value to a store that has an older value or none. Values that
    /// this process cannot read stay: a newer software version may have written them.
    ///
    /// A restored store reuses revision numbers, so a write based on an old read could overwrite
    /// a different value of the same revision. The value is therefore read again before the write.
    fn schedule_repair(
        &mut self,
        now: policy::Moment,
        key: &str,
        expect: store::Revision,
        stored: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(rank) = self.values.rank(key) else {
            return;
        };
        if let Some(repair) = self.repairs.get_mut(key) {
            repair.expect = expect;
            repair.confirmed = now >= repair.due;
            return;
        }
        let due = now + MAX_REPAIR_DELAY.mul_f64(self.rng.random());
        let repair = Repair {
            expect,
            due,
            confirmed: false,
        };
        self.repairs.insert(key.to_owned(), repair);
        if let Some(prefix_reads) = Prefix::of(key).and_then(|p| self.reads_by_prefix.get_mut(&p)) {
            prefix_reads.next_full_read = prefix_reads.next_full_read.min(due);
        }
        out.push(Action::Log(Note::StoreBehind {
            key: key.to_owned(),
            stored,
            held: rank.version,
        }));
    }

    fn forward(
        &mut self,
        key: &str,
        from: Option<&id::VmId>,
        outcome: OfferOutcome,
        out: &mut Vec<Action>,
    ) {
        match outcome {
            OfferOutcome::Accepted(keys) => {
                for key in keys {
                    self.requested.remove(&key);
                    let Some(text) = self.values.text(&key) else {
                        continue;
                    };
                    let message = peer::Message::Signed(peer::Signed { key, text });
                    let except = from.cloned();
                    out.push(Action::ToAll { except, message });
                }
            }
            OfferOutcome::Refused(why) => self.report_refusal(key, why, out),
            OfferOutcome::Known | OfferOutcome::Older { .. } | OfferOutcome::Waiting => {}
        }
    }

    fn report_refusal(&mut self, key: &str, why: String, out: &mut Vec<Action>) {
        metrics::counter!(crate::metrics::SETTINGS_REFUSED).increment(1);
        if self.logged_refusals.len() >= MAX_LOGGED_REFUSALS {
            self.logged_refusals.clear();
        }
        if self.logged_refusals.insert((key.to_owned(), why.clone())) {
            let key = key.to_owned();
            out.push(Action::Log(Note::Refused { key, why }));
        }
    }

    fn update_in_force(&mut self, out: &mut Vec<Action>) {
        let settings = self.values.update_in_force();
        out.extend(self.values.take_notes().into_iter().map(Action::Log));
        out.extend(settings.map(Action::InForce));
    }

    fn compare_digest(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        theirs: peer::Digest,
        out: &mut Vec<Action>,
    ) {
        let recent = self.last_compared.get(from);
        if theirs == self.values.digest()
            || recent.is_some_and(|at| now < *at + MIN_COMPARE_INTERVAL)
        {
            return;
        }
        self.last_compared
            .retain(|_, at| now < *at + MIN_COMPARE_INTERVAL);
        self.last_compared.insert(from.clone(), now);
        let mut held = self.values.held();
        held.truncate(MAX_KEYS_PER_MESSAGE);
        out.push(Action::Send(from.clone(), peer::Message::Held(held)));
    }

    fn request_newer(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        theirs: &[peer::Held],
        out: &mut Vec<Action>,
    ) {
        self.requested
            .retain(|_, at| now < *at + REQUEST_RETRY_DELAY);
        let mut missing = Vec::new();
        for held in theirs.iter().take(MAX_KEYS_PER_MESSAGE) {
            let rank = signed_values::Rank {
                version: held.version,
                hash: held.hash,
            };
            let higher = self
                .values
                .rank(&held.key)
                .is_none_or(|held_rank| held_rank < rank);
            if higher && !self.requested.contains_key(&held.key) {
                self.requested.insert(held.key.clone(), now);
                missing.push(held.key.clone());
            }
        }
        if !missing.is_empty() {
            out.push(Action::Send(from.clone(), peer::Message::Want(missing)));
        }
    }

    fn send_values(&self, to: &id::VmId, keys: &[String], out: &mut Vec<Action>) {
        let mut bytes = 0;
        for key in keys.iter().take(MAX_KEYS_PER_MESSAGE) {
            let Some(text) = self.values.text(key) else {
                continue;
            };
            bytes += text.len();
            let key = key.clone();
            let message = peer::Message::Signed(peer::Signed { key, text });
            out.push(Action::Send(to.clone(), message));
            if bytes >= MAX_ANSWER_BYTES {
                return;
            }
        }
    }
}

fn full_read_interval(snapshot: &store::Snapshot) -> time::Duration {
    let bytes: usize = snapshot.entries.iter().map(|e| e.value.len()).sum();
    #[expect(
        clippy::cast_precision_loss,
        reason = "a store is far below 2^52 bytes"
    )]
    let seconds = bytes as f64 / FULL_READ_BYTES_PER_S;
    time::Duration::from_secs_f64(seconds).clamp(MIN_FULL_READ_INTERVAL, MAX_FULL_READ_INTERVAL)
}
