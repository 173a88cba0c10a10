//! Simulates coordination between entry VMs in virtual time: real [`node::Node`]s over a network
//! and a store with faults, reproducible from one seed.
//!
//! Only the environment of a node is simulated: links that connect, break and are detected late,
//! and store calls that take time. The store can be down, slow, unreachable for some processes,
//! restored to an older state or read from a stale replica.

use std::collections;
use std::net;
use std::sync;
use std::time;

use super::{fabric, store as memory};
use crate::coordination::{action, budget, node, peers, reader, signed_values, store};
use crate::decisions::policy;
use crate::protocol::peer;
use crate::settings::keys;
use crate::{id, settings};
use action::{Action, Note, Prefix};
use store::Store;

/// Duration of one simulation step.
pub const TIME_STEP: time::Duration = time::Duration::from_millis(50);

/// Time after which a watch without events returns.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(25);

/// Time to detect and close a link that loses all messages in either direction.
const LINK_FAILURE_DELAY: time::Duration = time::Duration::from_secs(10);

/// Time to establish a link once both ends are running and can exchange messages.
const LINK_SETUP_DELAY: time::Duration = time::Duration::from_millis(150);

/// A process with its node, location and resource counters.
pub struct Process {
    /// The node, or none while the process is not running.
    pub node: Option<node::Node>,
    /// The VM's name.
    pub vm: id::VmId,
    /// Index of the availability zone.
    pub az: usize,
    /// The process is paused and handles no events.
    pub paused: bool,
    /// The process cannot reach the store.
    pub store_unreachable: bool,
    /// The settings in force.
    pub settings: sync::Arc<settings::Settings>,
    /// Number of calls to the store.
    pub calls: u64,
    /// Bytes received from the store.
    pub store_bytes: u64,
    /// Number of messages sent to peers.
    pub messages: u64,
    /// Bytes sent to peers.
    pub peer_bytes: u64,
    /// Notes logged for operators.
    pub notes: Vec<Note>,
    start_count: u64,
    targets: collections::BTreeSet<usize>,
    pending_events: Vec<node::Event>,
    versions: collections::BTreeMap<id::TeamId, signed_values::Rank>,
}

/// A pending store call.
struct Call {
    process: usize,
    start_count: u64,
    request: Request,
    deadline: policy::Moment,
}

enum Request {
    List(Prefix),
    Watch(Prefix, store::Revision),
    Write(String, store::Revision, sync::Arc<str>),
    Vms,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of availability zones.
    pub azs: usize,
    /// Number of entry VMs in each availability zone.
    pub per_az: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Default faults and delays of a link.
    pub link: fabric::Link,
    /// Public root keys that the nodes trust.
    pub roots: Vec<keys::PublicKey>,
    /// Time that a store call takes.
    pub store_delay: time::Duration,
    /// Whether each process has the other processes' addresses in its configuration.
    pub seeds: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            azs: 3,
            per_az: 2,
            seed: 1,
            link: fabric::Link::default(),
            roots: Vec::new(),
            store_delay: time::Duration::from_millis(5),
            seeds: true,
        }
    }
}

/// A simulation of processes with their network and their store.
pub struct Nodes {
    /// The processes.
    pub processes: Vec<Process>,
    /// The network between them.
    pub fabric: fabric::Fabric<sync::Arc<peer::Message>>,
    /// The store.
    pub store: memory::Memory,
    /// All store calls fail.
    pub store_down: bool,
    /// Snapshot that full reads return instead of the store's current entries.
    pub stale_snapshot: Option<store::Snapshot>,
    /// Time that a store call takes.
    pub store_delay: time::Duration,
    cfg: Config,
    now: policy::Moment,
    pending_calls: collections::BTreeMap<(policy::Moment, u64), Call>,
    last_call_number: u64,
    links: collections::BTreeMap<(usize, usize), LinkState>,
    adjacent: Vec<Vec<usize>>,
}

#[derive(Default)]
struct LinkState {
    connected: bool,
    since: policy::Moment,
    usable: bool,
}

impl Nodes {
    /// Creates the simulation and starts all processes.
    pub fn new(cfg: Config) -> Self {
        let count = cfg.azs * cfg.per_az;
        let mut nodes = Self {
            processes: (0..count).map(|i| Process::new(i, cfg.per_az)).collect(),
            fabric: fabric::Fabric::new(cfg.seed, cfg.link),
            store: memory::Memory::default(),
            store_down: false,
            stale_snapshot: None,
            store_delay: cfg.store_delay,
            now: policy::Moment::ZERO,
            pending_calls: collections::BTreeMap::new(),
            last_call_number: 0,
            links: collections::BTreeMap::new(),
            adjacent: vec![Vec::new(); count],
            cfg,
        };
        for i in 0..count {
            nodes.store.put_vm(row(i, nodes.cfg.per_az));
            nodes.start(i);
        }
        nodes
    }

    /// The current virtual time.
    pub fn now(&self) -> policy::Moment {
        self.now
    }

    /// Starts or restarts a process without stored state.
    pub fn start(&mut self, i: usize) {
        let process = &mut self.processes[i];
        process.start_count += 1;
        process.pending_events.clear();
        process.targets.clear();
        process.versions.clear();
        process.settings = sync::Arc::default();
        let seeds = (0..self.cfg.azs * self.cfg.per_az).map(addr);
        let cfg = node::Config {
            vm: process.vm.clone(),
            az: az_id(process.az),
            incarnation: id::Incarnation(process.start_count),
            roots: self.cfg.roots.clone(),
            seeds: seeds.filter(|_| self.cfg.seeds).collect(),
            seed: self.cfg.seed ^ ((i as u64) << 32) ^ process.start_count,
            limits: budget::Limits::default(),
            timing: reader::Timing::default(),
        };
        process.node = Some(node::Node::new(cfg, self.now));
    }

    /// Kills a process.
    pub fn kill(&mut self, i: usize) {
        self.processes[i].node = None;
        self.links.retain(|(a, b), _| *a != i && *b != i);
    }

    /// Advances the simulation by `span`.
    pub fn run(&mut self, span: time::Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Advances the simulation by at most `span` until `condition` holds. Returns the time taken,
    /// or none if the condition did not hold.
    pub fn run_until<F: Fn(&Self) -> bool>(
        &mut self,
        span: time::Duration,
        condition: F,
    ) -> Option<time::Duration> {
        let from = self.now;
        while self.now < from + span {
            if condition(self) {
                return Some(self.now - from);
            }
            self.step();
        }
        None
    }

    /// Advances the simulation by one [`TIME_STEP`].
    ///
    /// # Panics
    ///
    /// If a running process replaces a team's settings by an older version.
    pub fn step(&mut self) {
        self.now += TIME_STEP;
        self.move_links();
        for arrived in self.fabric.arrived(self.now) {
            let linked = self.is_linked(arrived.from, arrived.to);
            let from = self.processes[arrived.from].vm.clone();
            let to = &mut self.processes[arrived.to];
            if to.node.is_some() && linked {
                let message = (*arrived.message).clone();
                to.pending_events.push(node::Event::Message(from, message));
            }
        }
        self.answer_calls();
        for i in 0..self.processes.len() {
            self.run_process(i);
        }
    }

    /// Whether a version of a team's settings is in force on all running processes.
    pub fn all_have_version(&self, team: &str, version: u64) -> bool {
        let running = self.processes.iter().filter(|p| p.node.is_some());
        running
            .into_iter()
            .all(|p| p.version(team) == Some(version))
    }

    /// The highest rank of a key among the running processes.
    pub fn highest_rank(&self, key: &str) -> Option<signed_values::Rank> {
        let nodes = self.processes.iter().filter_map(|p| p.node.as_ref());
        nodes.filter_map(|node| node.sync().held().rank(key)).max()
    }

    /// Sets the links from one group of processes to another, and back if `both`.
    pub fn set_links(&mut self, from: &[usize], to: &[usize], both: bool, link: fabric::Link) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))) {
            if a != b {
                self.fabric.set(a, b, link);
                if both {
                    self.fabric.set(b, a, link);
                }
            }
        }
    }

    /// Indexes of the processes inside and outside one availability zone.
    pub fn split_by_az(&self, az: usize) -> (Vec<usize>, Vec<usize>) {
        (0..self.processes.len()).partition(|i| self.processes[*i].az == az)
    }

    fn run_process(&mut self, i: usize) {
        let linked = self.linked_peers(i);
        let now = self.now;
        let process = &mut self.processes[i];
        if process.paused {
            return;
        }
        let mut events = std::mem::take(&mut process.pending_events);
        events.push(node::Event::Links(linked));
        events.push(node::Event::Tick);
        let Some(node) = &mut process.node else {
            return;
        };
        let mut out = Vec::new();
        for event in events {
            node.step(now, event, &mut out);
        }
        process.check_versions();
        for action in out {
            self.perform(i, action);
        }
    }

    fn perform(&mut self, i: usize, action: Action) {
        let process = &mut self.processes[i];
        match action {
            Action::List(prefix) => self.call(i, Request::List(prefix)),
            Action::Watch(prefix, after) => self.call(i, Request::Watch(prefix, after)),
            Action::Write { key, expect, value } => {
                self.call(i, Request::Write(key, expect, value))
            }
            Action::ReadVms => self.call(i, Request::Vms),
            Action::InForce(settings) => process.settings = settings,
            Action::Vms(_) => {}
            Action::Log(note) => process.notes.push(note),
            Action::Targets(targets) => {
                let indexes = targets.iter().map(|t| usize::from(t.addr.port()) - 1);
                process.targets = indexes.collect();
            }
            Action::Send(to, message) => {
                let to = self.processes.iter().position(|p| p.vm == to);
                self.send(i, to.into_iter().collect(), message);
            }
            Action::ToAll { except, message } => {
                let to = self.peers_of(i, except.as_ref(), false);
                self.send(i, to, message);
            }
            Action::ToOwnAz { except, message } => {
                let to = self.peers_of(i, except.as_ref(), true);
                self.send(i, to, message);
            }
        }
    }

    fn send(&mut self, i: usize, to: Vec<usize>, message: peer::Message) {
        let bytes = peer::encode(&message).len() as u64;
        let message = sync::Arc::new(message);
        for to in to {
            if self.is_linked(i, to) {
                self.processes[i].messages += 1;
                self.processes[i].peer_bytes += bytes;
                self.fabric.send(self.now, i, to, message.clone());
            }
        }
    }

    fn peers_of(&self, i: usize, except: Option<&id::VmId>, own_az: bool) -> Vec<usize> {
        let az = self.processes[i].az;
        self.neighbours(i)
            .filter(|j| Some(&self.processes[*j].vm) != except)
            .filter(|j| !own_az || self.processes[*j].az == az)
            .collect()
    }

    fn neighbours(&self, i: usize) -> impl Iterator<Item = usize> {
        self.adjacent[i].iter().copied()
    }

    fn linked_peers(&self, i: usize) -> Vec<peers::Linked> {
        self.neighbours(i)
            .map(|j| peers::Linked {
                vm: self.processes[j].vm.clone(),
                az: az_id(self.processes[j].az),
                incarnation: id::Incarnation(self.processes[j].start_count),
            })
            .collect()
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        let pair = self.links.get(&(a.min(b), a.max(b)));
        pair.is_some_and(|pair| pair.connected)
    }

    fn move_links(&mut self) {
        let mut wanted = collections::BTreeSet::new();
        for (i, process) in self.processes.iter().enumerate() {
            for j in process.targets.iter().filter(|j| **j != i) {
                let running = process.node.is_some() && self.processes[*j].node.is_some();
                if running {
                    wanted.insert((i.min(*j), i.max(*j)));
                }
            }
        }
        self.links.retain(|pair, _| wanted.contains(pair));
        for (a, b) in wanted {
            let usable = self.fabric.link(a, b).loss < 1.0 && self.fabric.link(b, a).loss < 1.0;
            let now = self.now;
            let pair = self.links.entry((a, b)).or_insert(LinkState {
                connected: false,
                since: now,
                usable,
            });
            if pair.usable != usable {
                pair.usable = usable;
                pair.since = now;
            }
            let delay = if usable {
                LINK_SETUP_DELAY
            } else {
                LINK_FAILURE_DELAY
            };
            if now >= pair.since + delay {
                pair.connected = usable;
            }
        }
        self.adjacent.iter_mut().for_each(Vec::clear);
        for (a, b) in self
            .links
            .iter()
            .filter(|(_, p)| p.connected)
            .map(|(ab, _)| ab)
        {
            self.adjacent[*a].push(*b);
            self.adjacent[*b].push(*a);
        }
    }

    fn call(&mut self, i: usize, request: Request) {
        self.processes[i].calls += 1;
        self.last_call_number += 1;
        let call = Call {
            process: i,
            start_count: self.processes[i].start_count,
            request,
            deadline: self.now + WATCH_TIMEOUT,
        };
        let due = self.now + self.store_delay;
        self.pending_calls
            .insert((due, self.last_call_number), call);
    }

    fn answer_calls(&mut self) {
        let later = self.pending_calls.split_off(&(self.now, u64::MAX));
        for ((_, number), call) in std::mem::replace(&mut self.pending_calls, later) {
            let process = &self.processes[call.process];
            if process.node.is_none() || process.start_count != call.start_count {
                continue;
            }
            let unreachable = self.store_down || process.store_unreachable;
            match self.answer(&call, unreachable) {
                Some((event, bytes)) => {
                    let process = &mut self.processes[call.process];
                    process.store_bytes += bytes;
                    process.pending_events.push(event);
                }
                None => {
                    self.pending_calls
                        .insert((self.now + TIME_STEP, number), call);
                }
            }
        }
    }

    fn answer(&self, call: &Call, unreachable: bool) -> Option<(node::Event, u64)> {
        let store = &self.store;
        let unavailable = || store::Error::Unavailable("out of reach".to_owned());
        Some(match &call.request {
            Request::List(prefix) => {
                let result = if unreachable {
                    Err(unavailable())
                } else {
                    self.list(*prefix)
                };
                let bytes = result.as_ref().map_or(0, |s| entries_bytes(&s.entries));
                (node::Event::Listed(*prefix, result), bytes)
            }
            Request::Watch(prefix, after) => {
                let zero = time::Duration::ZERO;
                let result = if unreachable {
                    Err(unavailable())
                } else {
                    store.watch(prefix.as_str(), *after, zero)
                };
                let bytes = match &result {
                    Ok(store::Watch::Events { entries, .. }) => {
                        if entries.is_empty() && self.now < call.deadline {
                            return None;
                        }
                        entries_bytes(entries)
                    }
                    _ => 0,
                };
                (node::Event::Watched(*prefix, result), bytes)
            }
            Request::Write(key, expect, value) => {
                let result = if unreachable {
                    Err(unavailable())
                } else {
                    store.compare_and_swap(key, *expect, value.as_bytes(), None)
                };
                (node::Event::Wrote(key.clone(), result), 0)
            }
            Request::Vms => {
                let result = if unreachable {
                    Err(unavailable())
                } else {
                    store.vms()
                };
                let bytes = result.as_ref().map_or(0, json_bytes);
                (node::Event::Vms(result), bytes)
            }
        })
    }

    fn list(&self, prefix: Prefix) -> Result<store::Snapshot, store::Error> {
        let mut snapshot = match &self.stale_snapshot {
            Some(stale) => stale.clone(),
            None => self.store.list(prefix.as_str())?,
        };
        snapshot
            .entries
            .retain(|e| e.key.starts_with(prefix.as_str()));
        Ok(snapshot)
    }
}

impl Process {
    fn new(i: usize, per_az: usize) -> Self {
        let row = row(i, per_az);
        Self {
            node: None,
            vm: row.id,
            az: i / per_az,
            paused: false,
            store_unreachable: false,
            settings: sync::Arc::default(),
            calls: 0,
            store_bytes: 0,
            messages: 0,
            peer_bytes: 0,
            notes: Vec::new(),
            start_count: 0,
            targets: collections::BTreeSet::new(),
            pending_events: Vec::new(),
            versions: collections::BTreeMap::new(),
        }
    }

    /// The version of a team's settings in force, if any.
    pub fn version(&self, team: &str) -> Option<u64> {
        self.versions.get(team).map(|rank| rank.version)
    }

    /// Whether this process considers itself the reader.
    pub fn is_reader(&self) -> bool {
        let node = self.node.as_ref();
        node.is_some_and(|node| node.reader() == Some(&self.vm))
    }

    /// Asserts that no team's settings were replaced by an older version since the last check.
    fn check_versions(&mut self) {
        let Some(node) = &self.node else { return };
        let versions = node.sync().held().versions();
        for (team, before) in &self.versions {
            let now = versions.get(team);
            assert!(
                now.is_some_and(|now| now >= before),
                "{}: team {team} went back from {before:?} to {now:?}",
                self.vm
            );
        }
        self.versions.clone_from(versions);
    }
}

fn row(i: usize, per_az: usize) -> store::Vm {
    store::Vm {
        id: format!("entry-{i:04}").as_str().into(),
        az: az_id(i / per_az),
        addr: addr(i),
        role: store::VmRole::Entry { peers: addr(i) },
        state: store::VmState::Live,
    }
}

fn az_id(az: usize) -> id::AzId {
    format!("az-{az:02}").as_str().into()
}

/// The address of process `i`: the port encodes the index.
fn addr(i: usize) -> net::SocketAddr {
    let port = u16::try_from(i + 1).expect("simulations have at most 65,535 processes");
    (net::Ipv4Addr::LOCALHOST, port).into()
}

fn entries_bytes(entries: &[store::Entry]) -> u64 {
    let bytes = entries.iter().map(|e| e.key.len() + e.value.len() + 32);
    bytes.sum::<usize>() as u64
}

fn json_bytes<T: serde::Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}
