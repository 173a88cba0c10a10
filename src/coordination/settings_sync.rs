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

use super::{action, book, budget, store};
use crate::decisions::policy;
use crate::id;
use crate::protocol::peer;
use crate::settings::keys;
use action::{Action, Note, PREFIXES, Prefix};
use book::Taken;

/// Interval at which a process sends its digest to its peers.
const DIGEST_EVERY: time::Duration = time::Duration::from_secs(2);

/// Shortest interval between two key-by-key comparisons with one peer. It limits the traffic of
/// peers that can never agree because one holds settings signed by a key revoked since.
const COMPARE_EVERY: time::Duration = time::Duration::from_secs(1);

/// Time to wait for a requested value before requesting it from another peer.
const WANT_EVERY: time::Duration = time::Duration::from_secs(1);

/// Shortest interval between full reads, which a reader makes in addition to its watch. If a store
/// is restored and written to before the watch reconnects, its revisions pass that of the watch,
/// which then misses the writes in between. The interval grows with the stored bytes, so that full
/// reads cost at most [`FULL_READ_BYTES_PER_S`].
const MIN_FULL_READ_EVERY: time::Duration = time::Duration::from_secs(3);

/// Longest interval between two full reads.
const MAX_FULL_READ_EVERY: time::Duration = time::Duration::from_secs(300);

/// Bandwidth for full reads, out of the 10 KB/s that a reader may use for control traffic.
const FULL_READ_BYTES_PER_S: f64 = 3_000.0;

/// Longest random delay before a reader rewrites an outdated value in the store. The readers of
/// all availability zones draw different delays, so that usually only the first one writes.
const HEAL_WITHIN: time::Duration = time::Duration::from_secs(1);

/// Bytes of values after which the answer to one message ends. The next digest brings the rest.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// Keys listed in one message.
const MAX_KEYS: usize = 10_000;

/// Refusals remembered so that each is logged once.
const MAX_REFUSALS: usize = 256;

#[derive(Debug, Default)]
struct Stream {
    after: Option<store::Revision>,
    watching: bool,
    listing: bool,
    next_full: policy::Moment,
}

#[derive(Debug)]
struct Heal {
    expect: store::Revision,
    due: policy::Moment,
    /// A read after `due` still returned the older value.
    confirmed: bool,
}

/// Keeps the settings of one process in sync with the store and its peers.
#[derive(Debug)]
pub struct Sync {
    book: book::Book,
    reads: bool,
    streams: collections::BTreeMap<Prefix, Stream>,
    heals: collections::BTreeMap<String, Heal>,
    writing: bool,
    compared: collections::BTreeMap<id::VmId, policy::Moment>,
    wanted: collections::BTreeMap<String, policy::Moment>,
    refusals: collections::BTreeSet<(String, String)>,
    next_digest: policy::Moment,
    rng: rand_chacha::ChaCha8Rng,
}

impl Sync {
    /// Creates an empty instance. `seed` seeds the jitter and must differ between processes.
    pub fn new(roots: Vec<keys::PublicKey>, seed: u64) -> Self {
        Self {
            book: book::Book::new(roots),
            reads: false,
            streams: PREFIXES.map(|p| (p, Stream::default())).into(),
            heals: collections::BTreeMap::new(),
            writing: false,
            compared: collections::BTreeMap::new(),
            wanted: collections::BTreeMap::new(),
            refusals: collections::BTreeSet::new(),
            next_digest: policy::Moment::ZERO,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The signed values that this process holds.
    pub fn book(&self) -> &book::Book {
        &self.book
    }

    /// Starts or stops reading the store. Reading starts with a full read, since the revisions
    /// from an earlier read may predate a restore of the store.
    pub fn set_reads(&mut self, reads: bool) {
        if reads != self.reads {
            self.reads = reads;
            self.read_again();
            self.heals.clear();
        }
    }

    /// Schedules full reads instead of continuing from the last revisions.
    fn read_again(&mut self) {
        for stream in self.streams.values_mut() {
            stream.after = None;
            stream.next_full = policy::Moment::ZERO;
        }
    }

    /// Sends the digest to a newly linked peer, so that it need not wait for the next interval.
    pub fn greet(&self, peer: &id::VmId, out: &mut Vec<Action>) {
        let message = peer::Message::Digest(self.book.digest());
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
            self.next_digest = now + DIGEST_EVERY;
            let message = peer::Message::Digest(self.book.digest());
            out.push(Action::ToAll {
                except: None,
                message,
            });
        }
        if self.reads {
            self.read(now, budget, out);
            self.heal(now, budget, out);
        }
    }

    /// Handles the end of a full read.
    pub fn listed(
        &mut self,
        now: policy::Moment,
        prefix: Prefix,
        result: Result<store::Snapshot, store::Error>,
        out: &mut Vec<Action>,
    ) {
        let stream = self.streams.entry(prefix).or_default();
        stream.listing = false;
        let Ok(snapshot) = result else { return };
        if !stream.watching {
            stream.after = Some(snapshot.revision);
        }
        stream.next_full =
            now + full_read_every(&snapshot).mul_f64(0.75 + self.rng.random::<f64>() / 2.0);
        let stored: collections::BTreeSet<_> =
            snapshot.entries.iter().map(|e| e.key.clone()).collect();
        for entry in &snapshot.entries {
            self.offer(now, entry, out);
        }
        for held in self.book.held() {
            let here = held.key.starts_with(prefix.as_str());
            if here && !stored.contains(&held.key) {
                self.plan_heal(now, &held.key, store::Revision(0), 0, out);
            }
        }
        self.put_in_force(out);
    }

    /// Handles the end of a watch.
    pub fn watched(
        &mut self,
        now: policy::Moment,
        prefix: Prefix,
        result: Result<store::Watch, store::Error>,
        out: &mut Vec<Action>,
    ) {
        let stream = self.streams.entry(prefix).or_default();
        stream.watching = false;
        match result {
            Ok(store::Watch::Gap) => stream.next_full = now,
            Ok(store::Watch::Events { revision, entries }) => {
                stream.after = Some(revision);
                for entry in &entries {
                    self.offer(now, entry, out);
                }
                self.put_in_force(out);
            }
            // The store may have been restored during an outage.
            Err(_) => stream.next_full = now,
        }
    }

    /// Handles the end of a write. After an error a full read shows what the store holds.
    pub fn wrote(&mut self, key: &str, result: &Result<store::Revision, store::Error>) {
        self.writing = false;
        self.heals.remove(key);
        if result.is_err()
            && let Some(stream) = Prefix::of(key).and_then(|p| self.streams.get_mut(&p))
        {
            stream.next_full = policy::Moment::ZERO;
        }
    }

    /// Handles a peer's message about settings. Ignores other messages.
    pub fn message(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        message: &peer::Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            peer::Message::Signed(signed) => {
                let taken = self.book.take(&signed.key, &signed.text);
                self.pass_on(&signed.key, Some(from), taken, out);
                self.put_in_force(out);
            }
            peer::Message::Digest(theirs) => self.compare(now, from, *theirs, out),
            peer::Message::Held(theirs) => self.ask(now, from, theirs, out),
            peer::Message::Want(keys) => self.hand_over(from, keys, out),
            _ => {}
        }
    }

    fn read(&mut self, now: policy::Moment, budget: &mut budget::Budget, out: &mut Vec<Action>) {
        for (prefix, stream) in &mut self.streams {
            if stream.listing {
                continue;
            }
            let due = stream.after.is_none() || now >= stream.next_full;
            if due && budget.take(now) {
                stream.listing = true;
                out.push(Action::List(*prefix));
            }
            if let Some(after) = stream.after.filter(|_| !due && !stream.watching)
                && budget.take(now)
            {
                stream.watching = true;
                out.push(Action::Watch(*prefix, after));
            }
        }
    }

    fn heal(&mut self, now: policy::Moment, budget: &mut budget::Budget, out: &mut Vec<Action>) {
        if self.writing {
            return;
        }
        let due = self.heals.iter().find(|(_, heal)| heal.confirmed);
        let Some((key, heal)) = due else { return };
        let Some(value) = self.book.text(key) else {
            return;
        };
        if budget.take(now) {
            self.writing = true;
            out.push(Action::Write {
                key: key.clone(),
                expect: heal.expect,
                value,
            });
        }
    }

    fn offer(&mut self, now: policy::Moment, entry: &store::Entry, out: &mut Vec<Action>) {
        if entry.value.is_empty() {
            // Deletions are unsigned and are undone. A team is removed by applying empty settings.
            self.plan_heal(now, &entry.key, store::Revision(0), 0, out);
            return;
        }
        let Ok(text) = std::str::from_utf8(&entry.value) else {
            let why = "the value is not UTF-8; write it again with `bulrushwind apply`".to_owned();
            self.refuse(&entry.key, why, out);
            return;
        };
        let taken = self.book.take(&entry.key, &text.into());
        if let Taken::Older { offered, .. } = taken {
            self.plan_heal(now, &entry.key, entry.revision, offered, out);
        } else {
            self.heals.remove(&entry.key);
        }
        self.pass_on(&entry.key, None, taken, out);
    }

    /// Schedules a write of the held value to a store that has an older value or none. Values that
    /// this process cannot read stay: a newer software version may have written them.
    ///
    /// A restored store reuses revision numbers, so a write based on an old read could overwrite
    /// a different value of the same revision. The value is therefore read again before the write.
    fn plan_heal(
        &mut self,
        now: policy::Moment,
        key: &str,
        expect: store::Revision,
        stored: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(rank) = self.book.rank(key) else {
            return;
        };
        if let Some(heal) = self.heals.get_mut(key) {
            heal.expect = expect;
            heal.confirmed = now >= heal.due;
            return;
        }
        let due = now + HEAL_WITHIN.mul_f64(self.rng.random());
        let heal = Heal {
            expect,
            due,
            confirmed: false,
        };
        self.heals.insert(key.to_owned(), heal);
        if let Some(stream) = Prefix::of(key).and_then(|p| self.streams.get_mut(&p)) {
            stream.next_full = stream.next_full.min(due);
        }
        out.push(Action::Log(Note::StoreBehind {
            key: key.to_owned(),
            stored,
            held: rank.version,
        }));
    }

    fn pass_on(&mut self, key: &str, from: Option<&id::VmId>, taken: Taken, out: &mut Vec<Action>) {
        match taken {
            Taken::New(keys) => {
                for key in keys {
                    self.wanted.remove(&key);
                    let Some(text) = self.book.text(&key) else {
                        continue;
                    };
                    let message = peer::Message::Signed(peer::Signed { key, text });
                    let except = from.cloned();
                    out.push(Action::ToAll { except, message });
                }
            }
            Taken::Refused(why) => self.refuse(key, why, out),
            Taken::Known | Taken::Older { .. } | Taken::Waiting => {}
        }
    }

    fn refuse(&mut self, key: &str, why: String, out: &mut Vec<Action>) {
        metrics::counter!(crate::metrics::SETTINGS_REFUSED).increment(1);
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.clear();
        }
        if self.refusals.insert((key.to_owned(), why.clone())) {
            let key = key.to_owned();
            out.push(Action::Log(Note::Refused { key, why }));
        }
    }

    fn put_in_force(&mut self, out: &mut Vec<Action>) {
        let settings = self.book.settle();
        out.extend(self.book.notes().into_iter().map(Action::Log));
        out.extend(settings.map(Action::InForce));
    }

    fn compare(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        theirs: peer::Digest,
        out: &mut Vec<Action>,
    ) {
        let recent = self.compared.get(from);
        if theirs == self.book.digest() || recent.is_some_and(|at| now < *at + COMPARE_EVERY) {
            return;
        }
        self.compared.retain(|_, at| now < *at + COMPARE_EVERY);
        self.compared.insert(from.clone(), now);
        let mut held = self.book.held();
        held.truncate(MAX_KEYS);
        out.push(Action::Send(from.clone(), peer::Message::Held(held)));
    }

    fn ask(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        theirs: &[peer::Held],
        out: &mut Vec<Action>,
    ) {
        self.wanted.retain(|_, at| now < *at + WANT_EVERY);
        let mut want = Vec::new();
        for held in theirs.iter().take(MAX_KEYS) {
            let rank = book::Rank {
                version: held.version,
                hash: held.hash,
            };
            let higher = self.book.rank(&held.key).is_none_or(|own| own < rank);
            if higher && !self.wanted.contains_key(&held.key) {
                self.wanted.insert(held.key.clone(), now);
                want.push(held.key.clone());
            }
        }
        if !want.is_empty() {
            out.push(Action::Send(from.clone(), peer::Message::Want(want)));
        }
    }

    fn hand_over(&self, to: &id::VmId, keys: &[String], out: &mut Vec<Action>) {
        let mut bytes = 0;
        for key in keys.iter().take(MAX_KEYS) {
            let Some(text) = self.book.text(key) else {
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

fn full_read_every(snapshot: &store::Snapshot) -> time::Duration {
    let bytes: usize = snapshot.entries.iter().map(|e| e.value.len()).sum();
    #[expect(
        clippy::cast_precision_loss,
        reason = "a store is far below 2^52 bytes"
    )]
    let seconds = bytes as f64 / FULL_READ_BYTES_PER_S;
    time::Duration::from_secs_f64(seconds).clamp(MIN_FULL_READ_EVERY, MAX_FULL_READ_EVERY)
}
