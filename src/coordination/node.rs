//! One entry process's part in agreement, without threads, sockets or a clock.
//!
//! A [`Node`] combines the settings ([`super::settings_sync`]), the view of the VMs
//! ([`super::membership`]), the election of the reader ([`super::reader`]) and the budget of store
//! calls ([`super::budget`]). The driver passes in [`Event`]s with the time and carries out the
//! returned actions; tests do the same in virtual time.

use std::collections;
use std::time;

use super::{action, budget, membership, peers, reader, settings_sync, store};
use crate::decisions::policy;
use crate::id;
use crate::protocol::peer;
use crate::settings::keys;
use action::{Action, Note, Prefix};
use reader::Election;

/// Interval at which the reader reads the platform's list of VMs. A backend server that is leaving
/// gets no new requests after at most this interval plus the lag of the list.
const VMS_EVERY: time::Duration = time::Duration::from_secs(1);

/// How long a reader's calls may fail before it counts the outage as an accusation.
const STORE_PATIENCE: time::Duration = time::Duration::from_secs(3);

/// Shortest interval between two requests of a process for the reader's list of VMs.
const WANT_VMS_EVERY: time::Duration = time::Duration::from_secs(1);

/// How long a process without a list of VMs waits for links before it connects to its seeds.
const SEEDS_AFTER: time::Duration = time::Duration::from_secs(1);

/// A node's identity and startup settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub vm: id::VmId,
    /// Its availability zone.
    pub az: id::AzId,
    /// Identifies this run of the process.
    pub incarnation: id::Incarnation,
    /// The public root keys, which sign the teams' key rings.
    pub roots: Vec<keys::PublicKey>,
    /// Addresses of entry VMs that have the list of VMs, for a start without the store.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Seeds the jitter and must differ between processes.
    pub seed: u64,
    /// The limits of store calls.
    pub limits: budget::Limits,
    /// The timing of the readers' heartbeats.
    pub timing: reader::Timing,
}

/// Whether a node handles this message. All others are for other parts of the process.
pub fn takes(message: &peer::Message) -> bool {
    matches!(
        message,
        peer::Message::Alive(_)
            | peer::Message::Accuse(_)
            | peer::Message::Signed(_)
            | peer::Message::Digest(_)
            | peer::Message::Held(_)
            | peer::Message::Want(_)
            | peer::Message::Vms(_)
            | peer::Message::WantVms
            | peer::Message::Leaving(_)
    )
}

/// An input of a node.
#[derive(Debug)]
pub enum Event {
    /// A full read ended.
    Listed(Prefix, Result<store::Snapshot, store::Error>),
    /// A watch ended.
    Watched(Prefix, Result<store::Watch, store::Error>),
    /// A write ended.
    Wrote(String, Result<store::Revision, store::Error>),
    /// A read of the list of VMs ended.
    Vms(Result<Vec<store::Vm>, store::Error>),
    /// A peer sent a message.
    Message(id::VmId, peer::Message),
    /// The current links.
    Links(Vec<peers::Linked>),
    /// Time has passed.
    Tick,
    /// This process is about to make a planned stop.
    Stopping,
}

/// Coordinates one process with its peers and the store.
#[derive(Debug)]
pub struct Node<E = reader::Accused> {
    cfg: Config,
    sync: settings_sync::Sync,
    view: membership::View,
    election: E,
    budget: budget::Budget,
    reader: Option<id::VmId>,
    next_vms: policy::Moment,
    reading_vms: bool,
    wanted_vms: Option<policy::Moment>,
    store_up: bool,
    store_lost: Option<policy::Moment>,
    started: policy::Moment,
    seeded: bool,
    linked: collections::BTreeSet<(id::VmId, id::Incarnation)>,
}

impl<E: Election> Node<E> {
    /// Creates the node of a process that has just started.
    pub fn new(cfg: Config, now: policy::Moment) -> Self {
        Self {
            sync: settings_sync::Sync::new(cfg.roots.clone(), cfg.seed),
            view: membership::View::new(cfg.vm.clone(), cfg.az.clone()),
            election: E::new(cfg.vm.clone(), cfg.incarnation, cfg.timing, now),
            budget: budget::Budget::new(cfg.limits, cfg.seed),
            reader: None,
            next_vms: now,
            reading_vms: false,
            wanted_vms: None,
            store_up: false,
            store_lost: None,
            started: now,
            seeded: false,
            linked: collections::BTreeSet::new(),
            cfg,
        }
    }

    /// The settings of this process.
    pub fn sync(&self) -> &settings_sync::Sync {
        &self.sync
    }

    /// This process's view of the VMs.
    pub fn view(&self) -> &membership::View {
        &self.view
    }

    /// The reader of this availability zone that this process has elected.
    pub fn reader(&self) -> Option<&id::VmId> {
        self.reader.as_ref()
    }

    /// Whether the store answered the last call of this availability zone's reader.
    pub fn store_is_up(&self) -> bool {
        self.store_up
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: policy::Moment, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Listed(prefix, result) => {
                self.ended(now, &result);
                self.sync.listed(now, prefix, result, out);
            }
            Event::Watched(prefix, result) => {
                self.ended(now, &result);
                self.sync.watched(now, prefix, result, out);
            }
            Event::Wrote(key, result) => {
                self.ended(now, &result);
                self.sync.wrote(&key, &result);
            }
            Event::Vms(result) => self.vms(now, result, out),
            Event::Message(from, message) => self.message(now, &from, message, out),
            Event::Links(links) => self.links(now, &links, out),
            Event::Tick => self.tick(now, out),
            Event::Stopping => self.leave(out),
        }
    }

    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Action>) {
        let mut sends = Vec::new();
        self.watch_store(now);
        self.election.tick(now, &mut sends);
        self.emit(sends, out);
        self.follow_reader(out);
        let fleet = if self.view.is_alone() {
            self.view.entries()
        } else {
            0
        };
        self.budget.set_fleet(fleet);
        self.sync.tick(now, &mut self.budget, out);
        if self.is_reader() && !self.reading_vms && now >= self.next_vms && self.budget.take(now) {
            self.reading_vms = true;
            out.push(Action::ReadVms);
        }
        self.use_seeds(now, out);
    }

    fn message(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        message: peer::Message,
        out: &mut Vec<Action>,
    ) {
        let mut sends = Vec::new();
        match &message {
            peer::Message::Alive(alive) => {
                let before = self.election.reader().cloned();
                let first = self.election.alive(now, from, alive, &mut sends);
                self.relay(first, from, &message, out);
                let leads = before.as_ref() == Some(&alive.vm);
                if leads {
                    self.store_up = alive.store_up;
                }
                if leads || self.view.list_hash() == 0 {
                    self.want_vms(now, from, alive.list, out);
                }
            }
            peer::Message::Accuse(accuse) => {
                let first = self.election.accuse(now, accuse, &mut sends);
                self.relay(first, from, &message, out);
            }
            peer::Message::Vms(list) => {
                let leads = self.election.reader() == Some(&list.reader);
                if (leads || self.view.list_hash() == 0) && self.view.listed(list.rows.clone()) {
                    self.relay(true, from, &message, out);
                    self.list_changed(out);
                }
            }
            peer::Message::WantVms => self.hand_vms(from, out),
            peer::Message::Leaving(leaving) => {
                if self.view.left(&leaving.vm, leaving.incarnation) {
                    self.relay(true, from, &message, out);
                    out.push(Action::Vms(self.view.vms()));
                }
            }
            _ => self.sync.message(now, from, &message, out),
        }
        self.emit(sends, out);
        self.follow_reader(out);
    }

    fn links(&mut self, now: policy::Moment, links: &[peers::Linked], out: &mut Vec<Action>) {
        if self.view.linked(now, links) {
            out.push(Action::Vms(self.view.vms()));
        }
        let starts = links.iter().map(|l| (l.vm.clone(), l.incarnation));
        let before = std::mem::replace(&mut self.linked, starts.collect());
        for (vm, _) in self.linked.difference(&before) {
            self.sync.greet(vm, out);
        }
        if let Some(link) = links.first().filter(|_| self.view.list_hash() == 0) {
            self.want_vms(now, &link.vm, u64::MAX, out);
        }
    }

    fn vms(
        &mut self,
        now: policy::Moment,
        result: Result<Vec<store::Vm>, store::Error>,
        out: &mut Vec<Action>,
    ) {
        self.ended(now, &result);
        self.reading_vms = false;
        self.next_vms = now + VMS_EVERY;
        let Ok(rows) = result else { return };
        if self.view.listed(rows) {
            let message = self.list_message();
            out.push(Action::ToOwnAz {
                except: None,
                message,
            });
            self.list_changed(out);
        }
    }

    /// Records the end of a store call. Any answer, also a refusal, shows that the store is up.
    fn ended<T>(&mut self, now: policy::Moment, result: &Result<T, store::Error>) {
        let failed = matches!(
            result,
            Err(store::Error::Unavailable(_) | store::Error::Unknown(_))
        );
        self.budget.ended(now, !failed);
        self.store_up = !failed;
    }

    fn list_changed(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Targets(self.view.targets()));
        out.push(Action::Vms(self.view.vms()));
    }

    fn list_message(&self) -> peer::Message {
        peer::Message::Vms(peer::VmList {
            reader: self.cfg.vm.clone(),
            rows: self.view.list().to_vec(),
        })
    }

    fn want_vms(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        theirs: u64,
        out: &mut Vec<Action>,
    ) {
        let recent = self.wanted_vms.is_some_and(|at| now < at + WANT_VMS_EVERY);
        if theirs != 0 && theirs != self.view.list_hash() && !recent {
            self.wanted_vms = Some(now);
            out.push(Action::Send(from.clone(), peer::Message::WantVms));
        }
    }

    /// Sends this process's list of VMs. It carries the reader's name, since the receiver accepts
    /// only a list by its reader.
    fn hand_vms(&self, to: &id::VmId, out: &mut Vec<Action>) {
        if self.view.list_hash() == 0 {
            return;
        }
        let reader = self.reader.clone().unwrap_or_else(|| self.cfg.vm.clone());
        let rows = self.view.list().to_vec();
        let message = peer::Message::Vms(peer::VmList { reader, rows });
        out.push(Action::Send(to.clone(), message));
    }

    fn follow_reader(&mut self, out: &mut Vec<Action>) {
        if self.reader.as_ref() == self.election.reader() {
            return;
        }
        self.reader = self.election.reader().cloned();
        self.sync.set_reads(self.is_reader());
        self.store_lost = None;
        out.extend(self.reader.clone().map(|vm| Action::Log(Note::Reader(vm))));
    }

    /// Counts a store outage against a reader that gets no answers, so that another VM takes over.
    fn watch_store(&mut self, now: policy::Moment) {
        if !self.is_reader() || !self.budget.is_open() {
            self.store_lost = None;
            return;
        }
        let since = *self.store_lost.get_or_insert(now);
        if now >= since + STORE_PATIENCE {
            self.election.store_lost(now);
            self.store_lost = None;
        }
    }

    /// Connects to the seeds: a process that starts during a store outage has no list of VMs.
    fn use_seeds(&mut self, now: policy::Moment, out: &mut Vec<Action>) {
        let waits = now < self.started + SEEDS_AFTER || self.view.list_hash() != 0;
        if self.seeded || waits || self.cfg.seeds.is_empty() {
            return;
        }
        self.seeded = true;
        let seeds = self.cfg.seeds.iter();
        out.push(Action::Targets(
            seeds
                .map(|addr| peers::Target {
                    vm: None,
                    addr: *addr,
                })
                .collect(),
        ));
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        let message = peer::Message::Leaving(peer::Leaving {
            vm: self.cfg.vm.clone(),
            incarnation: self.cfg.incarnation,
        });
        out.push(Action::ToAll {
            except: None,
            message,
        });
    }

    fn is_reader(&self) -> bool {
        self.reader.as_ref() == Some(&self.cfg.vm)
    }

    fn relay(&self, first: bool, from: &id::VmId, message: &peer::Message, out: &mut Vec<Action>) {
        if first && self.view.relays() {
            out.push(Action::ToOwnAz {
                except: Some(from.clone()),
                message: message.clone(),
            });
        }
    }

    fn emit(&self, sends: Vec<reader::Out>, out: &mut Vec<Action>) {
        for send in sends {
            match send {
                reader::Out::All(mut message) => {
                    if let peer::Message::Alive(alive) = &mut message {
                        alive.list = self.view.list_hash();
                        alive.store_up = self.store_up;
                    }
                    out.push(Action::ToOwnAz {
                        except: None,
                        message,
                    });
                }
                reader::Out::One(to, message) => out.push(Action::Send(to, message)),
            }
        }
    }
}
