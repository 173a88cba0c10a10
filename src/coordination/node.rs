//! Coordinates one entry process with its peers and the store, without threads, sockets or a clock.
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
const VM_LIST_READ_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// How long a reader's calls may fail before it counts the outage as an accusation.
const MAX_STORE_OUTAGE: time::Duration = time::Duration::from_secs(3);

/// Shortest interval between two requests of a process for the reader's list of VMs.
const MIN_VM_LIST_REQUEST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// How long a process without a list of VMs waits for links before it connects to its seeds.
const SEED_FALLBACK_DELAY: time::Duration = time::Duration::from_secs(1);

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
pub fn handles(message: &peer::Message) -> bool {
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

/// The coordination state of one process.
#[derive(Debug)]
pub struct Node<E = reader::FewestAccusations> {
    cfg: Config,
    sync: settings_sync::SettingsSync,
    view: membership::View,
    election: E,
    budget: budget::Budget,
    reader: Option<id::VmId>,
    next_vm_list_read: policy::Moment,
    reading_vm_list: bool,
    vm_list_requested: Option<policy::Moment>,
    store_up: bool,
    store_lost_since: Option<policy::Moment>,
    started: policy::Moment,
    seeds_used: bool,
    linked: collections::BTreeSet<(id::VmId, id::Incarnation)>,
}

impl<E: Election> Node<E> {
    /// Creates the node of a process that has just started.
    pub fn new(cfg: Config, now: policy::Moment) -> Self {
        Self {
            sync: settings_sync::SettingsSync::new(cfg.roots.clone(), cfg.seed),
            view: membership::View::new(cfg.vm.clone(), cfg.az.clone()),
            election: E::new(cfg.vm.clone(), cfg.incarnation, cfg.timing, now),
            budget: budget::Budget::new(cfg.limits, cfg.seed),
            reader: None,
            next_vm_list_read: now,
            reading_vm_list: false,
            vm_list_requested: None,
            store_up: false,
            store_lost_since: None,
            started: now,
            seeds_used: false,
            linked: collections::BTreeSet::new(),
            cfg,
        }
    }

    /// The settings of this process.
    pub fn sync(&self) -> &settings_sync::SettingsSync {
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
                self.store_call_ended(now, &result);
                self.sync.full_read_ended(now, prefix, result, out);
            }
            Event::Watched(prefix, result) => {
                self.store_call_ended(now, &result);
                self.sync.watch_ended(now, prefix, result, out);
            }
            Event::Wrote(key, result) => {
                self.store_call_ended(now, &result);
                self.sync.write_ended(&key, &result);
            }
            Event::Vms(result) => self.vm_list_read(now, result, out),
            Event::Message(from, message) => self.handle_message(now, &from, message, out),
            Event::Links(links) => self.handle_links(now, &links, out),
            Event::Tick => self.tick(now, out),
            Event::Stopping => self.announce_leaving(out),
        }
    }

    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Action>) {
        let mut outgoing = Vec::new();
        self.check_store(now);
        self.election.tick(now, &mut outgoing);
        self.send_election_messages(outgoing, out);
        self.update_reader(out);
        let other_readers = if self.view.is_isolated() {
            self.view.entry_count()
        } else {
            0
        };
        self.budget.set_other_readers(other_readers);
        self.sync.tick(now, &mut self.budget, out);
        if self.is_reader()
            && !self.reading_vm_list
            && now >= self.next_vm_list_read
            && self.budget.try_take(now)
        {
            self.reading_vm_list = true;
            out.push(Action::ReadVms);
        }
        self.connect_to_seeds(now, out);
    }

    fn handle_message(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        message: peer::Message,
        out: &mut Vec<Action>,
    ) {
        let mut outgoing = Vec::new();
        match &message {
            peer::Message::Alive(alive) => {
                let before = self.election.reader().cloned();
                let first = self
                    .election
                    .handle_heartbeat(now, from, alive, &mut outgoing);
                self.relay(first, from, &message, out);
                let from_reader = before.as_ref() == Some(&alive.vm);
                if from_reader {
                    self.store_up = alive.store_up;
                }
                if from_reader || self.view.list_hash() == 0 {
                    self.request_vm_list(now, from, alive.list, out);
                }
            }
            peer::Message::Accuse(accuse) => {
                let first = self.election.handle_accusation(now, accuse, &mut outgoing);
                self.relay(first, from, &message, out);
            }
            peer::Message::Vms(list) => {
                let from_reader = self.election.reader() == Some(&list.reader);
                if (from_reader || self.view.list_hash() == 0)
                    && self.view.set_list(list.rows.clone())
                {
                    self.relay(true, from, &message, out);
                    self.vm_list_changed(out);
                }
            }
            peer::Message::WantVms => self.send_vm_list(from, out),
            peer::Message::Leaving(leaving) => {
                if self.view.mark_leaving(&leaving.vm, leaving.incarnation) {
                    self.relay(true, from, &message, out);
                    out.push(Action::Vms(self.view.vms()));
                }
            }
            _ => self.sync.handle_message(now, from, &message, out),
        }
        self.send_election_messages(outgoing, out);
        self.update_reader(out);
    }

    fn handle_links(
        &mut self,
        now: policy::Moment,
        links: &[peers::Linked],
        out: &mut Vec<Action>,
    ) {
        if self.view.set_links(now, links) {
            out.push(Action::Vms(self.view.vms()));
        }
        let processes = links.iter().map(|l| (l.vm.clone(), l.incarnation));
        let before = std::mem::replace(&mut self.linked, processes.collect());
        for (vm, _) in self.linked.difference(&before) {
            self.sync.send_digest(vm, out);
        }
        if let Some(link) = links.first().filter(|_| self.view.list_hash() == 0) {
            self.request_vm_list(now, &link.vm, u64::MAX, out);
        }
    }

    fn vm_list_read(
        &mut self,
        now: policy::Moment,
        result: Result<Vec<store::Vm>, store::Error>,
        out: &mut Vec<Action>,
    ) {
        self.store_call_ended(now, &result);
        self.reading_vm_list = false;
        self.next_vm_list_read = now + VM_LIST_READ_INTERVAL;
        let Ok(rows) = result else { return };
        if self.view.set_list(rows) {
            let message = self.vm_list_message();
            out.push(Action::ToOwnAz {
                except: None,
                message,
            });
            self.vm_list_changed(out);
        }
    }

    /// Records the end of a store call. Any answer, also a refusal, shows that the store is up.
    fn store_call_ended<T>(&mut self, now: policy::Moment, result: &Result<T, store::Error>) {
        let failed = matches!(
            result,
            Err(store::Error::Unavailable(_) | store::Error::Unknown(_))
        );
        self.budget.call_ended(now, !failed);
        self.store_up = !failed;
    }

    fn vm_list_changed(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Targets(self.view.targets()));
        out.push(Action::Vms(self.view.vms()));
    }

    fn vm_list_message(&self) -> peer::Message {
        peer::Message::Vms(peer::VmList {
            reader: self.cfg.vm.clone(),
            rows: self.view.list().to_vec(),
        })
    }

    fn request_vm_list(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        their_list_hash: u64,
        out: &mut Vec<Action>,
    ) {
        let recent = self
            .vm_list_requested
            .is_some_and(|at| now < at + MIN_VM_LIST_REQUEST_INTERVAL);
        if their_list_hash != 0 && their_list_hash != self.view.list_hash() && !recent {
            self.vm_list_requested = Some(now);
            out.push(Action::Send(from.clone(), peer::Message::WantVms));
        }
    }

    /// Sends this process's list of VMs. It carries the reader's name, since the receiver accepts
    /// only a list by its reader.
    fn send_vm_list(&self, to: &id::VmId, out: &mut Vec<Action>) {
        if self.view.list_hash() == 0 {
            return;
        }
        let reader = self.reader.clone().unwrap_or_else(|| self.cfg.vm.clone());
        let rows = self.view.list().to_vec();
        let message = peer::Message::Vms(peer::VmList { reader, rows });
        out.push(Action::Send(to.clone(), message));
    }

    fn update_reader(&mut self, out: &mut Vec<Action>) {
        if self.reader.as_ref() == self.election.reader() {
            return;
        }
        self.reader = self.election.reader().cloned();
        self.sync.set_reader(self.is_reader());
        self.store_lost_since = None;
        out.extend(self.reader.clone().map(|vm| Action::Log(Note::Reader(vm))));
    }

    /// Counts a store outage against a reader that gets no answers, so that another VM takes over.
    fn check_store(&mut self, now: policy::Moment) {
        if !self.is_reader() || !self.budget.is_open() {
            self.store_lost_since = None;
            return;
        }
        let since = *self.store_lost_since.get_or_insert(now);
        if now >= since + MAX_STORE_OUTAGE {
            self.election.handle_store_loss(now);
            self.store_lost_since = None;
        }
    }

    /// Connects to the seeds: a process that starts during a store outage has no list of VMs.
    fn connect_to_seeds(&mut self, now: policy::Moment, out: &mut Vec<Action>) {
        let not_due = now < self.started + SEED_FALLBACK_DELAY || self.view.list_hash() != 0;
        if self.seeds_used || not_due || self.cfg.seeds.is_empty() {
            return;
        }
        self.seeds_used = true;
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

    fn announce_leaving(&mut self, out: &mut Vec<Action>) {
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
        if first && self.view.needs_relay() {
            out.push(Action::ToOwnAz {
                except: Some(from.clone()),
                message: message.clone(),
            });
        }
    }

    fn send_election_messages(&self, outgoing: Vec<reader::Outgoing>, out: &mut Vec<Action>) {
        for election_message in outgoing {
            match election_message {
                reader::Outgoing::All(mut message) => {
                    if let peer::Message::Alive(alive) = &mut message {
                        alive.list = self.view.list_hash();
                        alive.store_up = self.store_up;
                    }
                    out.push(Action::ToOwnAz {
                        except: None,
                        message,
                    });
                }
                reader::Outgoing::One(to, message) => out.push(Action::Send(to, message)),
            }
        }
    }
}
