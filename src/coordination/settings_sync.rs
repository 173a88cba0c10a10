//! Brings accepted settings to every entry process, and keeps them from going back.
//!
//! The reader of an availability zone lists and watches the store; whatever is new to a process
//! goes on to its peers at once. What got lost on the way heals by digests: every 2 s a process
//! tells its peers one number over all that it holds, and where two numbers differ they compare
//! key by key and ask each other for what is newer. So a VM that starts while the store is down
//! learns its settings from peers, and a store that was put back to an older state is written
//! again by the readers before an operator builds on it.
//!
//! Without the reader each VM would hold two watches, 8,800 calls at a time for 4,400 VMs. Without
//! the digests a message lost between two peers would leave a VM on old settings until the next
//! change: one would notice by `bulrushwind status`, which lists the VMs that lag.
//!
//! Nothing here blocks or reads a clock: events and the time go in, [`action::Action`]s come out.

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

/// How often a process tells its peers what it holds.
const DIGEST_EVERY: time::Duration = time::Duration::from_secs(2);

/// How often two peers compare key by key. Two that can never agree, because one of them holds
/// settings by a key that was revoked since, must not talk about it all the time.
const COMPARE_EVERY: time::Duration = time::Duration::from_secs(1);

/// How long a value that was asked for may take before another peer is asked.
const WANT_EVERY: time::Duration = time::Duration::from_secs(1);

/// How often a reader reads everything again beside its watch: when a store is put back and
/// written to before the watch comes back, its revisions run on past the watch's, which then says
/// nothing of what lies between. The interval grows with what there is to read, so that reading
/// costs at most [`FULL_READ_BYTES_PER_S`].
const MIN_FULL_READ_EVERY: time::Duration = time::Duration::from_secs(3);

/// The longest time between two full reads.
const MAX_FULL_READ_EVERY: time::Duration = time::Duration::from_secs(300);

/// Bytes a second that full reads may take of a reader, from the 10 KB/s that it has for control.
const FULL_READ_BYTES_PER_S: f64 = 3_000.0;

/// Within this time the readers of all availability zones write an old store again, each at a
/// time of its own: the first one's write spares the others theirs.
const HEAL_WITHIN: time::Duration = time::Duration::from_secs(1);

/// Bytes of values that one message may be answered with. The next digest brings the rest.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// Keys that one message may list.
const MAX_KEYS: usize = 10_000;

/// Refusals that are remembered, so that each is told once.
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
    /// A read after `due` still showed the older value.
    confirmed: bool,
}

/// The settings of one process.
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
    /// Holds nothing yet. `seed` sets the jitter, and must differ between processes.
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

    /// What this process holds.
    pub fn book(&self) -> &book::Book {
        &self.book
    }

    /// Makes this process read the store, or stop. It begins with a full read: what it knew of
    /// the store's revisions may be from before a restore.
    pub fn set_reads(&mut self, reads: bool) {
        if reads != self.reads {
            self.reads = reads;
            self.read_again();
            self.heals.clear();
        }
    }

    /// Reads everything again instead of going on from the last revision.
    fn read_again(&mut self) {
        for stream in self.streams.values_mut() {
            stream.after = None;
            stream.next_full = policy::Moment::ZERO;
        }
    }

    /// A peer is linked: it learns what we hold, and we what it holds, without waiting a round.
    pub fn greet(&self, peer: &id::VmId, out: &mut Vec<Action>) {
        let message = peer::Message::Digest(self.book.digest());
        out.push(Action::Send(peer.clone(), message));
    }

    /// Time has passed.
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

    /// A full read has ended.
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

    /// A watch has ended.
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
            // The store may have been put back while it was away.
            Err(_) => stream.next_full = now,
        }
    }

    /// A write of ours has ended. Whatever came of it, the store says best what it holds now.
    pub fn wrote(&mut self, key: &str, result: &Result<store::Revision, store::Error>) {
        self.writing = false;
        self.heals.remove(key);
        if result.is_err()
            && let Some(stream) = Prefix::of(key).and_then(|p| self.streams.get_mut(&p))
        {
            stream.next_full = policy::Moment::ZERO;
        }
    }

    /// A peer sent something. Messages about other things are left alone.
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
            // Nobody signs a deletion; a team that goes applies empty settings.
            self.plan_heal(now, &entry.key, store::Revision(0), 0, out);
            return;
        }
        let Ok(text) = std::str::from_utf8(&entry.value) else {
            let why = "it is not text; write it again with `bulrushwind apply`".to_owned();
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

    /// Writes what is held to the store where that has less. What the store holds and we cannot
    /// read stays: it may be from a version of ours that knows more.
    ///
    /// A store that was put back counts its revisions anew, so that a write on an old read could
    /// hit another value of the same revision. So the value is read again right before.
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
