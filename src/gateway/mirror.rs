//! Reading the platform's store, or following another entry VM that reads it.

use std::cell;
use std::net;
use std::rc;
use std::time;

use bytes::Bytes;
use tokio::sync::broadcast;

use super::Gateway;
use crate::coordination::mirror as order;
use crate::coordination::read_schedule;
use crate::decisions::policy;
use crate::id;
use crate::metrics as known;
use crate::protocol::mirror;
use crate::state::entries;
use crate::transport;

/// How long a watch waits for a change. Each answer is also the heartbeat for followers, so it must
/// come well within [`order::SILENCE_TIMEOUT`].
const WAIT: time::Duration = time::Duration::from_millis(600);

/// The pause after changes came. When many come in a row, as in a release, taken one by one each
/// would cost a call; a backend server that leaves bears work for two seconds more.
const PACE: time::Duration = time::Duration::from_millis(400);

/// Messages that may wait for a slow follower before it is cut off and begins anew.
const BEHIND: usize = 64;

/// Why the store could not be read.
#[derive(Debug)]
pub enum ReadError<E> {
    /// The history asked for is gone.
    Gap,
    /// The call failed.
    Failed(E),
}

/// Where records come from, and what they mean.
pub trait Source {
    /// Why a call fails.
    type Error: std::fmt::Display;

    /// All records, and the revision from which to watch. An old view will do where `stale`.
    fn read(
        &mut self,
        stale: bool,
    ) -> impl Future<Output = Result<(Vec<mirror::Record>, u64), Self::Error>>;

    /// The entry VMs that are registered in the own availability zone, in a view that may be old.
    fn read_zone(&mut self) -> impl Future<Output = Result<Vec<mirror::Record>, Self::Error>>;

    /// What changed after a revision, waiting so long for it.
    fn watch(
        &mut self,
        after: u64,
        wait: time::Duration,
    ) -> impl Future<Output = Result<(Vec<mirror::Record>, u64), ReadError<Self::Error>>>;

    /// Tells the gateway what a record says. Returns whether that was news.
    fn apply(&self, record: &mirror::Record) -> bool;
}

/// How long a VM waits for one that it follows.
#[derive(Clone, Copy, Debug)]
struct Patience {
    /// For the link.
    open: time::Duration,
    /// For the first message, beyond the silence: for so long the other may be reading the store.
    wait: time::Duration,
    /// Between two messages.
    silence: time::Duration,
}

/// How following one entry VM ended.
struct Ended {
    /// Whether it had told anything.
    told: bool,
    /// Whether it fell silent, as a machine without power does.
    silent: bool,
}

/// What is known of the store, shared by the tasks of one process: a follower or the reader of its region.
#[derive(Clone, Debug)]
pub struct Mirror {
    pub(super) cx: Gateway,
    pub(super) records: rc::Rc<cell::RefCell<order::Records>>,
    pub(super) news: broadcast::Sender<Bytes>,
    /// Whether what is known comes from the store, by itself or by one that is followed.
    pub(super) current: rc::Rc<cell::Cell<bool>>,
    /// The entry VMs of the region, and the version of all that they were taken from.
    near: rc::Rc<cell::RefCell<(u64, rc::Rc<[order::Candidate]>)>>,
    /// An encoded snapshot, and the version of the records that it shows.
    pub(super) snapshot: rc::Rc<cell::RefCell<(u64, Bytes)>>,
}

impl Mirror {
    /// Knows nothing yet.
    pub fn new(cx: Gateway) -> Self {
        Self {
            cx,
            records: rc::Rc::default(),
            news: broadcast::channel(BEHIND).0,
            current: rc::Rc::default(),
            near: rc::Rc::new(cell::RefCell::new((0, rc::Rc::from([])))),
            snapshot: rc::Rc::default(),
        }
    }

    /// Whether a key is in the store.
    pub fn has(&self, key: &str) -> bool {
        self.records.borrow().has(key)
    }

    /// Keeps up with the store for good.
    pub async fn run<S: Source>(self, mut source: S, seeds: Vec<net::SocketAddr>) {
        let mut order = order::LeaderOrder::default();
        let begun = self.cx.now();
        let zone = source.read_zone().await;
        let mut schedule =
            read_schedule::ReadSchedule::at_start(self.cx.now().saturating_sub(begun));
        match zone {
            // Those that were killed together are still registered, and of these all but the first
            // wait for these.
            Ok(records) => {
                drop(self.take(&source, &records, 0));
                self.meet(&mut source).await;
            }
            Err(err) => {
                slog::warn!(self.cx.log, "store does not serve"; "error" => %err);
                self.cx.lost_store();
                self.learn_from_any(&source, &seeds).await;
            }
        }
        loop {
            let wait = schedule.remaining_delay(self.cx.now(), self.place());
            let own_turn = self.cx.now() + wait;
            // One that knows nothing and is at the front does not wait for others that may be dead.
            let at_once = wait.is_zero() && self.records.borrow().revision() == 0;
            if !at_once && self.follow_any(&source, &mut order, own_turn).await {
                schedule.reset();
                continue;
            }
            let wait = schedule.remaining_delay(self.cx.now(), self.place());
            if wait.is_zero() {
                self.read(&mut source, &mut order, &mut schedule).await;
                if self.records.borrow().revision() == 0 {
                    // Those that may know it may have started later, or have been too slow.
                    self.learn_from_any(&source, &seeds).await;
                }
            } else {
                tokio::time::sleep(order::LEADER_RETRY_DELAY.min(wait)).await;
            }
        }
    }

    /// Waits for the others of the availability zone where all start for the first time. Each would take
    /// itself for the first else, and all would read the whole list from the store at once.
    async fn meet<S: Source>(&self, source: &mut S) {
        /// How long registering takes all of them, and how often this looks.
        const MEET: time::Duration = time::Duration::from_millis(600);
        const LOOKS: usize = 4;
        let is_listed = || self.cx.entries.borrow().get(&self.cx.cfg.vm).is_some();
        let looks = if self.cx.cfg.first_start { LOOKS } else { 0 };
        for _ in 0..looks {
            if is_listed() {
                return;
            }
            tokio::time::sleep(MEET).await;
            match source.read_zone().await {
                Ok(records) => drop(self.take(source, &records, 0)),
                Err(err) => {
                    slog::info!(self.cx.log, "others not met"; "error" => %err);
                    return;
                }
            }
        }
    }

    /// How many of the registered entry VMs of the region stand before this one.
    fn place(&self) -> usize {
        order::LeaderOrder::rank(&self.own(), &self.near())
    }

    /// Follows the first that can be followed, for as long as it goes. Returns whether one could.
    /// Until this VM turns to the store itself, each is given time to have read it.
    async fn follow_any<S: Source>(
        &self,
        source: &S,
        order: &mut order::LeaderOrder,
        own_turn: policy::Moment,
    ) -> bool {
        for first in order.leaders(self.cx.now(), &self.own(), &self.near()) {
            let Some(addr) = first.peers else {
                continue;
            };
            let (hops, open) = match first.az == self.cx.cfg.az {
                true => (
                    1 + order::LeaderOrder::depth(&first, &self.near()),
                    transport::mirror::OPEN_NEAR,
                ),
                false => (0, transport::mirror::OPEN),
            };
            let silence = order::SILENCE_TIMEOUT + order::SILENCE_TIMEOUT_PER_HOP * hops;
            let wait = own_turn.saturating_sub(self.cx.now());
            let patience = Patience {
                open,
                wait,
                silence,
            };
            let ended = self.follow(source, &first.vm, addr, patience).await;
            if ended.told {
                self.current.set(false);
            }
            let left_alone = match ended.silent {
                true => order::UNRESPONSIVE_SKIP_TIME,
                false => order::LEADER_RETRY_DELAY,
            };
            order.skip(self.cx.now(), &first.vm, left_alone);
            if ended.told {
                return true;
            }
        }
        false
    }

    fn own(&self) -> order::Candidate {
        order::Candidate {
            hash: self.cx.own_hash,
            vm: self.cx.cfg.vm.clone(),
            az: self.cx.cfg.az.clone(),
            peers: None,
            link_mbps: self.cx.cfg.capacity.link_mbps as u32,
        }
    }

    /// The registered entry VMs of the own region, worked out anew when the registered ones change.
    fn near(&self) -> rc::Rc<[order::Candidate]> {
        let entries = self.cx.entries.borrow();
        let mut near = self.near.borrow_mut();
        if near.0 != entries.version() {
            *near = (entries.version(), self.places(&entries));
        }
        near.1.clone()
    }

    fn places(&self, entries: &entries::Entries) -> rc::Rc<[order::Candidate]> {
        let region = self.cx.region.as_ref();
        entries
            .iter()
            .filter(|(_, _, entry)| self.cx.cfg.regions.get(&entry.az) == region)
            .map(|(vm, hash, entry)| order::Candidate {
                hash,
                vm: vm.clone(),
                az: entry.az.clone(),
                peers: entry.peers,
                link_mbps: entry.link_mbps,
            })
            .collect()
    }

    /// Follows one entry VM until it falls silent or says that it does not read.
    async fn follow<S: Source>(
        &self,
        source: &S,
        vm: &id::VmId,
        addr: net::SocketAddr,
        patience: Patience,
    ) -> Ended {
        let mut told = false;
        let ended = self
            .follow_link(source, vm, addr, patience, &mut told)
            .await;
        let silent = matches!(ended, Err(transport::mirror::Error::Timeout));
        let why = match ended {
            Ok(()) => "it does not read the store".to_owned(),
            Err(err) => err.to_string(),
        };
        slog::info!(self.cx.log, "not following"; "vm" => %vm, "why" => why, "followed" => told);
        Ended { told, silent }
    }

    async fn follow_link<S: Source>(
        &self,
        source: &S,
        vm: &id::VmId,
        addr: net::SocketAddr,
        patience: Patience,
        told: &mut bool,
    ) -> Result<(), transport::mirror::Error> {
        let mut link = transport::mirror::Link::open(addr, patience.open).await?;
        let ask = mirror::Ask {
            fresh: true,
            wait_ms: patience.wait.as_millis() as u64,
            since: self.records.borrow().revision(),
        };
        link.send(mirror::encode(&ask)?.into()).await?;
        let mut limit = patience.wait + patience.silence;
        loop {
            let bytes = link.receive_bytes(limit).await?;
            limit = patience.silence;
            let message: mirror::Message = mirror::decode(&bytes)?;
            let whole = matches!(message, mirror::Message::Whole { .. });
            let len = bytes.len();
            let (news, revision) = match message {
                mirror::Message::NotReading => return Ok(()),
                mirror::Message::Whole { records, revision } => {
                    let news = self.replace(source, &records, revision);
                    // Passed on as it came, a long list need not be encoded at each hop.
                    *self.snapshot.borrow_mut() = (self.records.borrow().version(), bytes);
                    (news, revision)
                }
                mirror::Message::Changes { records, revision } => {
                    (self.take(source, &records, revision), revision)
                }
            };
            if !std::mem::replace(told, true) {
                slog::info!(self.cx.log, "following"; "vm" => %vm, "revision" => revision, "whole" => whole, "bytes" => len);
            }
            self.current.set(true);
            self.cx.heard_store();
            self.publish(news, revision);
        }
    }

    /// Reads the store until a call fails, or until there may be somebody to follow.
    async fn read<S: Source>(
        &self,
        source: &mut S,
        order: &mut order::LeaderOrder,
        schedule: &mut read_schedule::ReadSchedule,
    ) {
        let until = self.cx.now() + order::LEADER_RECHECK_DELAY;
        let mut pause = time::Duration::ZERO;
        slog::debug!(self.cx.log, "reading the store"; "revision" => self.records.borrow().revision());
        loop {
            let begun = self.cx.now();
            // What was paused is not waited again, so that answers come at a steady pace. Followers wait
            // until what was read from an old view is current.
            let wait = match self.current.get() {
                true => WAIT.saturating_sub(pause),
                false => time::Duration::ZERO,
            };
            match self.read_once(source, wait).await {
                Ok(next) => pause = next,
                Err(err) => {
                    self.current.set(false);
                    if self.cx.lost_store() {
                        slog::warn!(self.cx.log, "store does not serve"; "error" => %err);
                    }
                    schedule.record_failure(begun, self.place());
                    return;
                }
            }
            schedule.reset();
            tokio::time::sleep(pause).await;
            let may_follow = !order
                .leaders(self.cx.now(), &self.own(), &self.near())
                .is_empty();
            if may_follow && self.cx.now() >= until {
                // It still tells others what it has read: were it to say that it does not read, all
                // that look at the same moment would find nobody to follow, again and again.
                schedule.read_now(self.cx.now());
                return;
            }
        }
    }

    /// One call to the store. Returns the pause before the next.
    async fn read_once<S: Source>(
        &self,
        source: &mut S,
        wait: time::Duration,
    ) -> Result<time::Duration, S::Error> {
        let revision = self.records.borrow().revision();
        if revision == 0 {
            self.read_all(source, true).await?;
            // Where nobody was registered others start too, and by then there may be somebody to follow.
            return Ok(match self.near().len() {
                0 => order::LEADER_RECHECK_DELAY,
                _ => time::Duration::ZERO,
            });
        }
        match source.watch(revision, wait).await {
            Ok((records, revision)) => {
                let pause = match records.is_empty() {
                    true => time::Duration::ZERO,
                    false => PACE,
                };
                self.cx.heard_store();
                self.current.set(true);
                let news = self.take(source, &records, revision);
                self.publish(news, revision);
                Ok(pause)
            }
            Err(ReadError::Gap) => {
                slog::info!(self.cx.log, "history of the store is gone"; "revision" => revision);
                self.read_all(source, false).await?;
                Ok(time::Duration::ZERO)
            }
            Err(ReadError::Failed(err)) => Err(err),
        }
    }

    async fn read_all<S: Source>(&self, source: &mut S, stale: bool) -> Result<(), S::Error> {
        let (records, revision) = source.read(stale).await?;
        self.cx.heard_store();
        let news = self.replace(source, &records, revision);
        self.publish(news, revision);
        Ok(())
    }

    /// Takes records that changed. Returns those that said something new.
    fn take<S: Source>(
        &self,
        source: &S,
        records: &[mirror::Record],
        revision: u64,
    ) -> Vec<mirror::Record> {
        let mut known = self.records.borrow_mut();
        records
            .iter()
            .for_each(|record| known.put(record, revision));
        known.advance_to(revision);
        drop(known);
        self.apply(source, records)
    }

    /// Tells the gateway what records say. Returns those that said something new.
    fn apply<S: Source>(&self, source: &S, records: &[mirror::Record]) -> Vec<mirror::Record> {
        let news = records.iter().filter(|record| source.apply(record));
        news.cloned().collect()
    }

    /// Takes all records; what is not among them is gone. Returns what followers are to be told: nobody
    /// follows one that knew nothing.
    fn replace<S: Source>(
        &self,
        source: &S,
        records: &[mirror::Record],
        revision: u64,
    ) -> Vec<mirror::Record> {
        let gone = self.records.borrow().removals_missing_from(records);
        let mut known = self.records.borrow_mut();
        let knew_nothing = !known.is_complete();
        for record in records {
            if !known.contains(record) {
                known.put(record, revision);
            }
        }
        known.mark_complete(revision);
        known.advance_to(revision);
        drop(known);
        if knew_nothing {
            slog::info!(self.cx.log, "list taken"; "records" => records.len(), "revision" => revision);
        }
        let mut news = self.apply(source, records);
        news.extend(self.take(source, &gone, revision));
        if knew_nothing {
            news.clear();
        }
        news
    }

    fn publish(&self, records: Vec<mirror::Record>, revision: u64) {
        let mut snapshot = self.snapshot.borrow_mut();
        if snapshot.0 != self.records.borrow().version() {
            // It may be long, and shows what has changed since.
            *snapshot = Default::default();
        }
        drop(snapshot);
        metrics::gauge!(known::FOLLOWERS).set(self.news.receiver_count() as f64);
        match mirror::encode(&mirror::Message::Changes { records, revision }) {
            // There may be no follower.
            Ok(message) => drop(self.news.send(message.into())),
            Err(err) => slog::error!(self.cx.log, "followers not fed"; "error" => %err),
        }
    }

    /// Takes what any of the given entry VMs knows, however old, while the store is away.
    async fn learn_from_any<S: Source>(&self, source: &S, seeds: &[net::SocketAddr]) {
        for seed in seeds {
            match self.learn_from(source, *seed).await {
                Ok(0) => {}
                Ok(known) => {
                    slog::info!(self.cx.log, "learnt from an entry VM"; "addr" => %seed, "records" => known);
                    return;
                }
                Err(err) => {
                    slog::info!(self.cx.log, "nothing learnt"; "addr" => %seed, "why" => %err);
                }
            }
        }
    }

    async fn learn_from<S: Source>(
        &self,
        source: &S,
        addr: net::SocketAddr,
    ) -> Result<usize, transport::mirror::Error> {
        let mut link = transport::mirror::Link::open(addr, transport::mirror::OPEN).await?;
        let ask = mirror::Ask {
            fresh: false,
            wait_ms: 0,
            since: 0,
        };
        link.send(mirror::encode(&ask)?.into()).await?;
        match link.receive(order::SILENCE_TIMEOUT).await? {
            mirror::Message::Whole { records, revision } => {
                self.replace(source, &records, revision);
                Ok(records.len())
            }
            mirror::Message::Changes { .. } | mirror::Message::NotReading => Ok(0),
        }
    }
}
