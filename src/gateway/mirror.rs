//! Reading the platform's store, or following another entry VM that reads it.

use std::cell;
use std::net;
use std::rc;
use std::time;

use tokio::net::TcpListener;
use tokio::sync::broadcast;
use tokio::task;

use super::Gateway;
use crate::coordination::mirror as order;
use crate::id;
use crate::protocol::mirror;
use crate::state::entries;
use crate::transport;

/// How long a watch waits for a change. Each answer is also the sign to the followers that this
/// VM reads, so it must come well within [`order::SILENCE`].
const WAIT: time::Duration = time::Duration::from_millis(600);

/// The pause after changes came. When many come in a row, as in a release, taken one by one each
/// would cost a call; a backend server that leaves bears work for two seconds more.
const PACE: time::Duration = time::Duration::from_millis(400);

/// The pause after a call that failed, and up to which it grows while calls go on failing: a store
/// that is overloaded is not helped by being asked more often.
const RETRY: time::Duration = time::Duration::from_millis(250);
const LONGEST_RETRY: time::Duration = time::Duration::from_millis(500);

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

    /// What changed after a revision, waiting so long for it.
    fn watch(
        &mut self,
        after: u64,
        wait: time::Duration,
    ) -> impl Future<Output = Result<(Vec<mirror::Record>, u64), ReadError<Self::Error>>>;

    /// Tells the gateway what a record says. Returns whether that was news.
    fn apply(&self, record: &mirror::Record) -> bool;
}

/// What is known of the store, shared by the tasks of one process.
#[derive(Clone, Debug)]
pub struct Mirror {
    cx: Gateway,
    records: rc::Rc<cell::RefCell<order::Records>>,
    news: broadcast::Sender<rc::Rc<Vec<u8>>>,
    /// Whether what is known comes from the store, by itself or by one that is followed.
    current: rc::Rc<cell::Cell<bool>>,
    /// The entry VMs of the region, and the version of all that they were taken from.
    near: rc::Rc<cell::RefCell<(u64, rc::Rc<[order::Place]>)>>,
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
        }
    }

    /// Whether a key is in the store.
    pub fn has(&self, key: &str) -> bool {
        self.records.borrow().has(key)
    }

    /// Keeps up with the store for good.
    pub async fn run<S: Source>(self, mut source: S, seeds: Vec<net::SocketAddr>) {
        let mut order = order::Order::default();
        if let Err(err) = self.read_all(&mut source, true).await {
            slog::warn!(self.cx.log, "store does not serve"; "error" => %err);
            self.cx.lost_store();
            self.learn_from_any(&source, &seeds).await;
        }
        loop {
            if !self.follow_any(&source, &mut order).await {
                self.read(&mut source, &mut order).await;
            }
        }
    }

    /// Follows the first that can be followed, for as long as it goes. Returns whether one could.
    async fn follow_any<S: Source>(&self, source: &S, order: &mut order::Order) -> bool {
        for first in order.ask(self.cx.now(), &self.own(), &self.near()) {
            let Some(addr) = first.peers else {
                continue;
            };
            let silence = match first.az == self.cx.cfg.az {
                true => order::SILENCE + order::TURN,
                false => order::SILENCE,
            };
            let followed = self.follow(source, &first.vm, addr, silence).await;
            self.current.set(false);
            order.avoid(self.cx.now(), &first.vm);
            if followed {
                return true;
            }
        }
        false
    }

    fn own(&self) -> order::Place {
        order::Place {
            hash: self.cx.own_hash,
            vm: self.cx.cfg.vm.clone(),
            az: self.cx.cfg.az.clone(),
            peers: None,
            link_mbps: self.cx.cfg.capacity.link_mbps as u32,
        }
    }

    /// The registered entry VMs of the own region, worked out anew when the registered ones change.
    fn near(&self) -> rc::Rc<[order::Place]> {
        let entries = self.cx.entries.borrow();
        let mut near = self.near.borrow_mut();
        if near.0 != entries.version() {
            *near = (entries.version(), self.places(&entries));
        }
        near.1.clone()
    }

    fn places(&self, entries: &entries::Entries) -> rc::Rc<[order::Place]> {
        let region = self.cx.region.as_ref();
        entries
            .iter()
            .filter(|(_, _, entry)| self.cx.cfg.regions.get(&entry.az) == region)
            .map(|(vm, hash, entry)| order::Place {
                hash,
                vm: vm.clone(),
                az: entry.az.clone(),
                peers: entry.peers,
                link_mbps: entry.link_mbps,
            })
            .collect()
    }

    /// Follows one entry VM until it falls silent. Returns whether it had told anything.
    async fn follow<S: Source>(
        &self,
        source: &S,
        vm: &id::VmId,
        addr: net::SocketAddr,
        silence: time::Duration,
    ) -> bool {
        let mut told = false;
        let why = match self.follow_link(source, vm, addr, silence, &mut told).await {
            Ok(()) => "it does not read the store".to_owned(),
            Err(err) => err.to_string(),
        };
        slog::info!(self.cx.log, "not following"; "vm" => %vm, "why" => why, "followed" => told);
        told
    }

    async fn follow_link<S: Source>(
        &self,
        source: &S,
        vm: &id::VmId,
        addr: net::SocketAddr,
        silence: time::Duration,
        told: &mut bool,
    ) -> Result<(), transport::mirror::Error> {
        let mut link = transport::mirror::Link::open(addr).await?;
        link.send(&mirror::encode(&mirror::Ask { fresh: true })?)
            .await?;
        loop {
            let (news, revision) = match link.receive(silence).await? {
                mirror::Message::NotReading => return Ok(()),
                mirror::Message::Whole { records, revision } => {
                    slog::info!(self.cx.log, "following"; "vm" => %vm, "revision" => revision);
                    (self.replace(source, &records, revision), revision)
                }
                mirror::Message::Changes { records, revision } => {
                    (self.take(source, &records, revision), revision)
                }
            };
            *told = true;
            self.current.set(true);
            self.cx.heard_store();
            self.tell(news, revision);
        }
    }

    /// Reads the store until there may be somebody to follow.
    async fn read<S: Source>(&self, source: &mut S, order: &mut order::Order) {
        let until = self.cx.now() + order::RECHECK;
        let mut retry = RETRY;
        let mut pause = time::Duration::ZERO;
        slog::debug!(self.cx.log, "reading the store"; "revision" => self.records.borrow().revision());
        loop {
            let may_follow = !order
                .ask(self.cx.now(), &self.own(), &self.near())
                .is_empty();
            if may_follow && self.cx.now() >= until {
                self.current.set(false);
                return;
            }
            // What was paused is not waited again, so that answers come at a steady pace.
            match self.read_once(source, WAIT - pause).await {
                Ok(next) => {
                    pause = next;
                    retry = RETRY;
                    tokio::time::sleep(pause).await;
                }
                Err(err) => {
                    self.current.set(false);
                    if self.cx.lost_store() {
                        slog::warn!(self.cx.log, "store does not serve"; "error" => %err);
                    }
                    tokio::time::sleep(retry).await;
                    retry = (retry * 2).min(LONGEST_RETRY);
                }
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
            return Ok(time::Duration::ZERO);
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
                self.tell(news, revision);
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
        self.tell(news, revision);
        Ok(())
    }

    /// Takes records. Returns those that said something new.
    fn take<S: Source>(
        &self,
        source: &S,
        records: &[mirror::Record],
        revision: u64,
    ) -> Vec<mirror::Record> {
        let mut news = Vec::new();
        for record in records {
            if source.apply(record) {
                news.push(record.clone());
            }
            self.records.borrow_mut().put(record);
        }
        self.records.borrow_mut().reached(revision);
        news
    }

    /// Takes all records; what is not among them is gone.
    fn replace<S: Source>(
        &self,
        source: &S,
        records: &[mirror::Record],
        revision: u64,
    ) -> Vec<mirror::Record> {
        let gone = self.records.borrow().missing(records);
        let mut news = self.take(source, records, revision);
        news.extend(self.take(source, &gone, revision));
        news
    }

    fn tell(&self, records: Vec<mirror::Record>, revision: u64) {
        match mirror::encode(&mirror::Message::Changes { records, revision }) {
            // Without followers there is nobody to tell.
            Ok(message) => drop(self.news.send(rc::Rc::new(message))),
            Err(err) => slog::error!(self.cx.log, "followers not told"; "error" => %err),
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
        let mut link = transport::mirror::Link::open(addr).await?;
        link.send(&mirror::encode(&mirror::Ask { fresh: false })?)
            .await?;
        match link.receive(order::SILENCE).await? {
            mirror::Message::Whole { records, revision } => {
                self.replace(source, &records, revision);
                Ok(records.len())
            }
            mirror::Message::Changes { .. } | mirror::Message::NotReading => Ok(0),
        }
    }

    /// Tells others what is known, until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let mirror = self.clone();
                    task::spawn_local(async move {
                        // A follower that leaves or is too slow dials again, or another VM.
                        if let Err(err) = mirror.tell_one(stream).await {
                            slog::debug!(mirror.cx.log, "follower lost"; "why" => %err);
                        }
                    });
                }
                Err(err) => {
                    slog::warn!(self.cx.log, "cannot accept a connection"; "error" => %err);
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    fn is_fresh(&self) -> bool {
        let age = self.cx.store_age();
        self.current.get() && age.is_some_and(|age| age <= order::FRESH)
    }

    async fn tell_one(
        &self,
        stream: tokio::net::TcpStream,
    ) -> Result<(), transport::mirror::Error> {
        let mut link = transport::mirror::Link::accept(stream).await?;
        let ask: mirror::Ask = link.receive(order::SILENCE).await?;
        let mut news = self.news.subscribe();
        let whole = match self.is_fresh() || !ask.fresh {
            true => self.records.borrow().whole(),
            false => mirror::Message::NotReading,
        };
        link.send(&mirror::encode(&whole)?).await?;
        if !ask.fresh || whole == mirror::Message::NotReading {
            link.closed().await;
            return Ok(());
        }
        loop {
            let message = tokio::select! {
                message = news.recv() => message,
                () = link.closed() => return Ok(()),
            };
            let Ok(message) = message else {
                return Err(transport::mirror::Error::Timeout);
            };
            link.send(&message).await?;
        }
    }
}
