//! Simulates the election of a store reader over faulty links, in virtual time.
//!
//! All VMs are in one availability zone and each pair is linked. A reader counts as useful if it is
//! running, considers itself the reader and reaches the store, and if at least half of the running
//! VMs consider it the reader.

use std::time;

use super::fabric;
use crate::coordination::reader;
use crate::decisions::policy;
use crate::id;
use crate::protocol::peer;
use reader::Election;

/// Duration of one simulation step.
const TIME_STEP: time::Duration = time::Duration::from_millis(20);

/// Duration of failed store calls after which a reader reports the store as lost.
const STORE_LOSS_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The fault to simulate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// Every link loses this share of its messages.
    Loss(f64),
    /// Every link delays messages by up to this many milliseconds.
    Delay(u64),
    /// All messages from the VM with the lowest name are lost, but those sent to it arrive.
    LowestUnheard,
    /// Half of the VMs receive nothing from the lowest-named VM.
    LowestHalfHeard,
    /// This share of the lowest-named VM's messages is lost.
    LowestLossy(f64),
    /// The lowest-named VM pauses for 4 s every 10 s.
    LowestPauses,
    /// The lowest-named VM restarts every 10 s and is down for 3 s each time.
    LowestRestarts,
    /// The lowest-named VM cannot reach the store.
    LowestWithoutStore,
    /// The current reader is killed every 60 s and is down for 20 s.
    ReaderKilled,
    /// The VMs are partitioned into two halves for 20 s every 60 s.
    Split,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Changes from one known reader to another, per VM and hour.
    pub changes: f64,
    /// Messages sent, per VM and minute.
    pub messages: f64,
    /// Share of time without a useful reader.
    pub no_reader_share: f64,
    /// Longest period without a useful reader, in seconds.
    pub longest_gap_s: f64,
    /// Share of time with two or more readers.
    pub multiple_reader_share: f64,
}

struct Vm<E> {
    name: id::VmId,
    election: E,
    starts: u64,
    down: bool,
    paused: bool,
    inbox: Vec<fabric::Arrived<peer::Message>>,
    known_reader: Option<id::VmId>,
    store_lost_since: Option<policy::Moment>,
}

struct Simulation<E> {
    vms: Vec<Vm<E>>,
    fabric: fabric::Fabric<peer::Message>,
    fault: Fault,
    killed_reader: Option<(usize, policy::Moment)>,
    changes: u64,
}

/// Simulates `vms` VMs for `span` of virtual time.
pub fn simulate<E: Election>(fault: Fault, vms: usize, span: time::Duration, seed: u64) -> Report {
    let mut simulation = Simulation::<E>::new(fault, vms, seed);
    let (mut steps, mut without, mut doubled) = (0_u64, 0_u64, 0_u64);
    let (mut gap, mut longest) = (0_u64, 0_u64);
    let mut now = policy::Moment::ZERO;
    while now < span {
        simulation.step(now);
        steps += 1;
        gap = if simulation.has_useful() { 0 } else { gap + 1 };
        longest = longest.max(gap);
        without += u64::from(gap > 0);
        doubled += u64::from(simulation.readers() > 1);
        now += TIME_STEP;
    }
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let (share, per_vm) = (
        |part: u64| part as f64 / steps as f64,
        |count: u64| count as f64 / vms as f64,
    );
    Report {
        changes: per_vm(simulation.changes) / span.as_secs_f64() * 3_600.0,
        messages: per_vm(simulation.fabric.sent()) / span.as_secs_f64() * 60.0,
        no_reader_share: share(without),
        longest_gap_s: share(longest) * span.as_secs_f64(),
        multiple_reader_share: share(doubled),
    }
}

impl<E: Election> Simulation<E> {
    fn new(fault: Fault, vms: usize, seed: u64) -> Self {
        let default = match fault {
            Fault::Loss(loss) => fabric::Link {
                loss,
                ..fabric::Link::default()
            },
            Fault::Delay(ms) => fabric::Link {
                max_delay: time::Duration::from_millis(ms),
                ..fabric::Link::default()
            },
            _ => fabric::Link::default(),
        };
        let mut fabric = fabric::Fabric::new(seed, default);
        for to in 1..vms {
            let link = match fault {
                Fault::LowestUnheard => fabric::Link::cut(),
                Fault::LowestHalfHeard if to % 2 == 0 => fabric::Link::cut(),
                Fault::LowestLossy(loss) => fabric::Link {
                    loss,
                    ..fabric::Link::default()
                },
                _ => default,
            };
            fabric.set(0, to, link);
        }
        Self {
            vms: (0..vms).map(Vm::new).collect(),
            fabric,
            fault,
            killed_reader: None,
            changes: 0,
        }
    }

    fn step(&mut self, now: policy::Moment) {
        self.inject_faults(now);
        for arrived in self.fabric.arrived(now) {
            let vm = &mut self.vms[arrived.to];
            if vm.down {
                continue;
            }
            vm.inbox.push(arrived);
        }
        for i in 0..self.vms.len() {
            self.run_vm(now, i);
        }
    }

    fn run_vm(&mut self, now: policy::Moment, i: usize) {
        let store_reachable = self.reaches_store(i);
        let names: Vec<_> = self.vms.iter().map(|vm| vm.name.clone()).collect();
        let vm = &mut self.vms[i];
        if vm.down || vm.paused {
            return;
        }
        let mut out = Vec::new();
        for arrived in vm.inbox.drain(..) {
            let from = &names[arrived.from];
            match arrived.message {
                peer::Message::Alive(alive) => {
                    vm.election.handle_heartbeat(now, from, &alive, &mut out);
                }
                peer::Message::Accuse(accuse) => {
                    vm.election.handle_accusation(now, &accuse, &mut out);
                }
                _ => {}
            }
        }
        vm.election.tick(now, &mut out);
        vm.watch_store(now, store_reachable);
        let known_reader = vm.election.reader().cloned();
        if known_reader != vm.known_reader {
            self.changes += u64::from(vm.known_reader.is_some() && known_reader.is_some());
            vm.known_reader = known_reader;
        }
        for message in out {
            self.send(now, i, &names, message);
        }
    }

    fn send(
        &mut self,
        now: policy::Moment,
        from: usize,
        names: &[id::VmId],
        out: reader::Outgoing,
    ) {
        match out {
            reader::Outgoing::All(message) => {
                for to in (0..names.len()).filter(|to| *to != from) {
                    self.fabric.send(now, from, to, message.clone());
                }
            }
            reader::Outgoing::One(vm, message) => {
                if let Some(to) = names.iter().position(|name| *name == vm) {
                    self.fabric.send(now, from, to, message);
                }
            }
        }
    }

    fn inject_faults(&mut self, now: policy::Moment) {
        let second = now.as_secs();
        match self.fault {
            Fault::LowestPauses => self.vms[0].paused = second % 10 >= 6,
            Fault::LowestRestarts => self.set_down(now, 0, second % 10 >= 7),
            Fault::ReaderKilled => self.kill_reader(now),
            Fault::Split => self.split(second % 60 >= 40),
            _ => {}
        }
    }

    fn kill_reader(&mut self, now: policy::Moment) {
        if now.as_secs() % 60 == 40 && self.killed_reader.is_none() {
            let reader = (0..self.vms.len()).find(|i| self.is_reader(*i));
            if let Some(i) = reader {
                self.killed_reader = Some((i, now));
                self.set_down(now, i, true);
            }
        }
        if let Some((i, at)) = self.killed_reader
            && now >= at + time::Duration::from_secs(20)
        {
            self.killed_reader = None;
            self.set_down(now, i, false);
        }
    }

    fn split(&mut self, partitioned: bool) {
        let half = self.vms.len() / 2;
        self.fabric.heal();
        for a in 0..half {
            for b in half..self.vms.len() {
                if partitioned {
                    self.fabric.set(a, b, fabric::Link::cut());
                    self.fabric.set(b, a, fabric::Link::cut());
                }
            }
        }
    }

    fn set_down(&mut self, now: policy::Moment, i: usize, down: bool) {
        let vm = &mut self.vms[i];
        if vm.down && !down {
            vm.starts += 1;
            let incarnation = id::Incarnation(vm.starts);
            let timing = reader::Timing::default();
            vm.election = E::new(vm.name.clone(), incarnation, timing, now);
            vm.known_reader = None;
        }
        if down {
            vm.inbox.clear();
        }
        vm.down = down;
    }

    fn reaches_store(&self, i: usize) -> bool {
        !(self.fault == Fault::LowestWithoutStore && i == 0)
    }

    fn is_reader(&self, i: usize) -> bool {
        let vm = &self.vms[i];
        !vm.down && !vm.paused && vm.election.reader() == Some(&vm.name)
    }

    fn readers(&self) -> usize {
        (0..self.vms.len()).filter(|i| self.is_reader(*i)).count()
    }

    fn has_useful(&self) -> bool {
        let up: Vec<_> = self.vms.iter().filter(|vm| !vm.down).collect();
        (0..self.vms.len()).any(|i| {
            let name = &self.vms[i].name;
            let followers = up.iter().filter(|vm| vm.election.reader() == Some(name));
            self.is_reader(i) && self.reaches_store(i) && 2 * followers.count() >= up.len()
        })
    }
}

impl<E: Election> Vm<E> {
    fn new(i: usize) -> Self {
        let name = id::VmId::from(format!("entry-{i:02}").as_str());
        let timing = reader::Timing::default();
        Self {
            election: E::new(
                name.clone(),
                id::Incarnation(1),
                timing,
                policy::Moment::ZERO,
            ),
            name,
            starts: 1,
            down: false,
            paused: false,
            inbox: Vec::new(),
            known_reader: None,
            store_lost_since: None,
        }
    }

    fn watch_store(&mut self, now: policy::Moment, store_reachable: bool) {
        if store_reachable || self.election.reader() != Some(&self.name) {
            self.store_lost_since = None;
            return;
        }
        let since = *self.store_lost_since.get_or_insert(now);
        if now >= since + STORE_LOSS_TIMEOUT {
            self.election.handle_store_loss(now);
            self.store_lost_since = None;
        }
    }
}
