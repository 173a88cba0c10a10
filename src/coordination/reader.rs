//! Elects the entry process of an availability zone that reads the store for the whole zone.
//!
//! The reader holds the watches and forwards their events, so that the store's load grows with
//! the number of availability zones and not with the number of VMs. Two readers at a time only
//! cost calls. A missing or unreachable reader, or one without the store, delays settings.
//!
//! [`Election`] has two implementations, compared in docs/design/reader.md. [`LowestName`] picks
//! the lowest name among the processes with a recent heartbeat. [`FewestAccusations`] follows
//! Aguilera, Delporte-Gallet, Fauconnier and Toueg, "On implementing Omega with weak reliability
//! and synchrony assumptions", figures 2 and 3: only the reader sends heartbeats; processes that
//! miss them accuse it; each process counts the accusations against itself and sends the count in
//! its heartbeats; the lowest (count, name) is the reader. A phase number keeps a process from
//! being accused for not sending after it gave up the role. A process that receives a heartbeat of
//! a contender sends the contender the heartbeat of the reader that it prefers. Beyond the paper, a
//! new process listens first and joins with a count above the reader's, so that a VM that keeps
//! restarting does not take the role each time; a reader that cannot reach the store counts that
//! as an accusation; and timeouts grow up to a bound.

use std::collections;
use std::time;

use crate::decisions::policy;
use crate::id;
use crate::protocol::peer;

data! {
    /// The intervals and timeouts of heartbeats.
    #[derive(Copy, Eq)]
    pub struct Timing {
        /// The interval between two heartbeats.
        pub every: time::Duration,
        /// The first timeout: three heartbeat intervals.
        pub timeout: time::Duration,
        /// The increase of a process's timeout each time that it expires.
        pub step: time::Duration,
        /// The longest timeout. It bounds the time an availability zone is without a reader.
        pub max_timeout: time::Duration,
    }

    /// A message to send inside the availability zone.
    pub enum Outgoing {
        /// To every peer of the availability zone.
        All(peer::Message),
        /// To one peer.
        One(id::VmId, peer::Message),
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            every: time::Duration::from_millis(500),
            timeout: time::Duration::from_millis(1_500),
            step: time::Duration::from_millis(250),
            max_timeout: time::Duration::from_secs(3),
        }
    }
}

/// An election algorithm. Each process runs an instance; their results may differ temporarily.
pub trait Election {
    /// Creates an instance that listens before it elects a reader.
    fn new(
        this_vm: id::VmId,
        incarnation: id::Incarnation,
        timing: Timing,
        now: policy::Moment,
    ) -> Self;

    /// Handles expired timeouts and sends due heartbeats.
    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Outgoing>);

    /// Handles a heartbeat that `from` sent or relayed. True: it is the first copy, to be relayed
    /// where not all processes are linked.
    fn handle_heartbeat(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        alive: &peer::Alive,
        out: &mut Vec<Outgoing>,
    ) -> bool;

    /// Handles an accusation. True: it is the first copy, to be relayed.
    fn handle_accusation(
        &mut self,
        now: policy::Moment,
        accuse: &peer::Accuse,
        out: &mut Vec<Outgoing>,
    ) -> bool;

    /// Handles a lasting failure of this process's store calls.
    fn handle_store_loss(&mut self, now: policy::Moment);

    /// The reader that this process has elected. None while it listens after its start.
    fn reader(&self) -> Option<&id::VmId>;
}

/// Elects the lowest name among the processes with a recent heartbeat. All send heartbeats.
#[derive(Debug)]
pub struct LowestName {
    this_vm: id::VmId,
    heartbeats: Heartbeats,
    last_heartbeats: collections::BTreeMap<id::VmId, (u64, policy::Moment)>,
    reader: Option<id::VmId>,
}

impl Election for LowestName {
    fn new(
        this_vm: id::VmId,
        incarnation: id::Incarnation,
        timing: Timing,
        now: policy::Moment,
    ) -> Self {
        Self {
            heartbeats: Heartbeats::new(&this_vm, incarnation, timing, now),
            this_vm,
            last_heartbeats: collections::BTreeMap::new(),
            reader: None,
        }
    }

    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Outgoing>) {
        self.heartbeats.send_due(now, out);
        let timeout = self.heartbeats.timing.timeout;
        self.last_heartbeats
            .retain(|_, (_, at)| now <= *at + timeout);
        if !self.heartbeats.has_listened_enough(now) {
            return;
        }
        let lowest = self.last_heartbeats.keys().next().unwrap_or(&self.this_vm);
        let reader = lowest.min(&self.this_vm);
        if self.reader.as_ref() != Some(reader) {
            self.reader = Some(reader.clone());
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: policy::Moment,
        _from: &id::VmId,
        alive: &peer::Alive,
        _out: &mut Vec<Outgoing>,
    ) -> bool {
        let known = self.last_heartbeats.get(&alive.vm).map(|(seq, _)| *seq);
        let first = alive.vm != self.this_vm && known.is_none_or(|seq| seq < alive.seq);
        if first {
            self.last_heartbeats
                .insert(alive.vm.clone(), (alive.seq, now));
        }
        first
    }

    fn handle_accusation(
        &mut self,
        _now: policy::Moment,
        _accuse: &peer::Accuse,
        _out: &mut Vec<Outgoing>,
    ) -> bool {
        false
    }

    fn handle_store_loss(&mut self, _now: policy::Moment) {}

    fn reader(&self) -> Option<&id::VmId> {
        self.reader.as_ref()
    }
}

/// Elects the process with the fewest accusations. Only the reader sends heartbeats.
#[derive(Debug)]
pub struct FewestAccusations {
    this_vm: id::VmId,
    heartbeats: Heartbeats,
    last_counted: Option<policy::Moment>,
    contenders: collections::BTreeMap<id::VmId, Contender>,
    timeouts: collections::BTreeMap<id::VmId, time::Duration>,
    /// The last heartbeat of each process, kept after its timeout: a relayed copy must not make a
    /// dead process the reader again.
    last_seen: collections::BTreeMap<id::VmId, (id::Incarnation, u64)>,
    /// The last accusation against each process, and when it was received.
    accusations: collections::BTreeMap<id::VmId, ((id::Incarnation, u64), policy::Moment)>,
    reader: Option<id::VmId>,
}

#[derive(Debug)]
struct Contender {
    heartbeat: peer::Alive,
    expires: policy::Moment,
}

impl Election for FewestAccusations {
    fn new(
        this_vm: id::VmId,
        incarnation: id::Incarnation,
        timing: Timing,
        now: policy::Moment,
    ) -> Self {
        Self {
            heartbeats: Heartbeats::new(&this_vm, incarnation, timing, now),
            this_vm,
            last_counted: None,
            contenders: collections::BTreeMap::new(),
            timeouts: collections::BTreeMap::new(),
            last_seen: collections::BTreeMap::new(),
            accusations: collections::BTreeMap::new(),
            reader: None,
        }
    }

    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Outgoing>) {
        self.accuse_expired(now, out);
        if self.reader.is_none() && self.heartbeats.has_listened_enough(now) {
            self.join();
        }
        self.update_reader();
        if self.is_reader() {
            self.heartbeats.send_due(now, out);
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        alive: &peer::Alive,
        out: &mut Vec<Outgoing>,
    ) -> bool {
        if alive.vm == self.this_vm || self.is_outdated(alive) {
            return false;
        }
        self.last_seen
            .insert(alive.vm.clone(), (alive.incarnation, alive.seq));
        let expires = now + self.timeout(&alive.vm);
        let heartbeat = alive.clone();
        self.contenders
            .insert(alive.vm.clone(), Contender { heartbeat, expires });
        self.update_reader();
        self.send_preferred(from, alive, out);
        true
    }

    fn handle_accusation(
        &mut self,
        now: policy::Moment,
        accuse: &peer::Accuse,
        out: &mut Vec<Outgoing>,
    ) -> bool {
        if accuse.vm == self.this_vm {
            let current = (accuse.incarnation, accuse.phase);
            if current
                == (
                    self.heartbeats.latest.incarnation,
                    self.heartbeats.latest.phase,
                )
            {
                self.count_accusation(now);
            }
            return false;
        }
        let first = self.is_new_accusation(now, accuse);
        if first {
            let message = peer::Message::Accuse(accuse.clone());
            out.push(Outgoing::One(accuse.vm.clone(), message));
        }
        first
    }

    fn handle_store_loss(&mut self, now: policy::Moment) {
        if self.is_reader() {
            self.count_accusation(now);
        }
    }

    fn reader(&self) -> Option<&id::VmId> {
        self.reader.as_ref()
    }
}

impl FewestAccusations {
    fn is_reader(&self) -> bool {
        self.reader.as_ref() == Some(&self.this_vm)
    }

    /// Accuses contenders whose heartbeats timed out. The accusation goes to all peers, which
    /// relay it, since some of them may reach the contender when this process cannot.
    fn accuse_expired(&mut self, now: policy::Moment, out: &mut Vec<Outgoing>) {
        let expired: Vec<_> = self
            .contenders
            .iter()
            .filter(|(_, c)| now > c.expires)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired {
            let Some(contender) = self.contenders.remove(&vm) else {
                continue;
            };
            let increased = self.timeout(&vm) + self.heartbeats.timing.step;
            self.timeouts.insert(
                vm.clone(),
                increased.min(self.heartbeats.timing.max_timeout),
            );
            out.push(Outgoing::All(peer::Message::Accuse(peer::Accuse {
                vm,
                incarnation: contender.heartbeat.incarnation,
                phase: contender.heartbeat.phase,
            })));
        }
    }

    /// Joins with a count above the current reader's, so that the reader keeps the role.
    fn join(&mut self) {
        let counters = self.contenders.values().map(|c| c.heartbeat.counter);
        self.heartbeats.latest.counter = counters.min().map_or(0, |counter| counter + 1);
        self.reader = Some(self.this_vm.clone());
    }

    fn update_reader(&mut self) {
        if self.reader.is_none() {
            return;
        }
        let this_process = (self.heartbeats.latest.counter, &self.this_vm);
        let others = self
            .contenders
            .iter()
            .map(|(vm, c)| (c.heartbeat.counter, vm));
        let (_, preferred) = others.fold(this_process, Ord::min);
        if self.reader.as_ref() == Some(preferred) {
            return;
        }
        let was_reader = self.is_reader();
        self.reader = Some(preferred.clone());
        if was_reader {
            // From now on missing heartbeats of this process are expected.
            self.heartbeats.latest.phase += 1;
        }
    }

    /// Sends a contender the preferred reader's heartbeat: the two may not be linked.
    fn send_preferred(&self, from: &id::VmId, alive: &peer::Alive, out: &mut Vec<Outgoing>) {
        let Some(reader) = self.reader.as_ref().filter(|r| **r != alive.vm) else {
            return;
        };
        if let Some(preferred) = self.contenders.get(reader).filter(|_| *from == alive.vm) {
            let message = peer::Message::Alive(preferred.heartbeat.clone());
            out.push(Outgoing::One(alive.vm.clone(), message));
        }
    }

    /// Counts an accusation. Those of several peers for the same missed heartbeats count once.
    fn count_accusation(&mut self, now: policy::Moment) {
        let recent = self
            .last_counted
            .is_some_and(|at| now < at + self.heartbeats.timing.timeout);
        if recent {
            return;
        }
        self.last_counted = Some(now);
        self.heartbeats.latest.counter += 1;
        self.update_reader();
    }

    /// Whether no accusation for the same missed heartbeats was relayed yet.
    fn is_new_accusation(&mut self, now: policy::Moment, accuse: &peer::Accuse) -> bool {
        let timeout = self.heartbeats.timing.timeout;
        let accusation = (accuse.incarnation, accuse.phase);
        let before = self
            .accusations
            .insert(accuse.vm.clone(), (accusation, now));
        before.is_none_or(|(previous, at)| previous != accusation || now >= at + timeout)
    }

    fn is_outdated(&self, alive: &peer::Alive) -> bool {
        let last_seen = self.last_seen.get(&alive.vm);
        last_seen.is_some_and(|last_seen| (alive.incarnation, alive.seq) <= *last_seen)
    }

    fn timeout(&self, vm: &id::VmId) -> time::Duration {
        let known = self.timeouts.get(vm).copied();
        known.unwrap_or(self.heartbeats.timing.timeout)
    }
}

fn initial_heartbeat(this_vm: &id::VmId, incarnation: id::Incarnation) -> peer::Alive {
    peer::Alive {
        vm: this_vm.clone(),
        incarnation,
        counter: 0,
        phase: 0,
        seq: 0,
        list: 0,
        store_up: false,
    }
}

/// The heartbeats of this process: the last one, and when the next is due.
#[derive(Debug)]
struct Heartbeats {
    latest: peer::Alive,
    timing: Timing,
    started: policy::Moment,
    next_due: policy::Moment,
}

impl Heartbeats {
    fn new(
        this_vm: &id::VmId,
        incarnation: id::Incarnation,
        timing: Timing,
        now: policy::Moment,
    ) -> Self {
        Self {
            latest: initial_heartbeat(this_vm, incarnation),
            timing,
            started: now,
            next_due: now,
        }
    }

    /// Sends the next heartbeat, if it is due.
    fn send_due(&mut self, now: policy::Moment, out: &mut Vec<Outgoing>) {
        if now < self.next_due {
            return;
        }
        self.next_due = now + self.timing.every;
        self.latest.seq += 1;
        out.push(Outgoing::All(peer::Message::Alive(self.latest.clone())));
    }

    /// Whether the process has listened long enough to receive a reader's heartbeat.
    fn has_listened_enough(&self, now: policy::Moment) -> bool {
        now >= self.started + self.timing.timeout
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> policy::Moment {
        policy::Moment::from_millis(ms)
    }

    fn new_election<E: Election>(vm: &str) -> E {
        E::new(vm.into(), id::Incarnation(1), Timing::default(), ms(0))
    }

    fn heartbeat(vm: &str, counter: u64, seq: u64) -> peer::Alive {
        peer::Alive {
            counter,
            seq,
            ..initial_heartbeat(&vm.into(), id::Incarnation(1))
        }
    }

    /// The VM with the lowest name keeps restarting. If it took the role each time, the
    /// availability zone would lose its watch each time and get settings late.
    #[test]
    fn a_restarted_process_does_not_take_the_role() {
        let mut a: FewestAccusations = new_election("a");
        let mut out = Vec::new();
        a.tick(ms(0), &mut out);
        assert_eq!(a.reader(), None);
        a.handle_heartbeat(ms(400), &"b".into(), &heartbeat("b", 3, 9), &mut out);
        a.tick(ms(1_500), &mut out);
        assert_eq!(a.reader(), Some(&"b".into()));
        assert!(out.is_empty(), "messages sent while listening: {out:?}");
    }

    /// The reader cannot reach the store, but its heartbeats still arrive. If it kept the role, its
    /// availability zone would get no settings until an operator intervened.
    #[test]
    fn a_reader_without_the_store_gives_up() {
        let mut a: FewestAccusations = new_election("a");
        let mut out = Vec::new();
        a.tick(ms(2_000), &mut out);
        assert_eq!(a.reader(), Some(&"a".into()));
        a.handle_heartbeat(ms(2_100), &"b".into(), &heartbeat("b", 0, 1), &mut out);
        assert_eq!(a.reader(), Some(&"a".into()));
        a.handle_store_loss(ms(2_200));
        assert_eq!(a.reader(), Some(&"b".into()));
    }

    /// A reader crashes and a peer relays its last heartbeat late. If that restored its role, the
    /// availability zone would follow a dead reader again and again.
    #[test]
    fn a_dead_reader_is_not_brought_back() {
        let mut b: FewestAccusations = new_election("b");
        let mut out = Vec::new();
        b.tick(ms(1_500), &mut out);
        let last = heartbeat("a", 0, 7);
        b.handle_heartbeat(ms(1_600), &"a".into(), &last, &mut out);
        b.tick(ms(4_000), &mut out);
        b.handle_heartbeat(ms(4_000), &"c".into(), &last, &mut out);
        assert_eq!(b.reader(), Some(&"b".into()));
    }

    /// A reader gives up the role and stops sending heartbeats; its peers time out and accuse it.
    /// Counting that would move the role without a fault.
    #[test]
    fn missed_heartbeats_after_giving_up_are_not_counted() {
        let mut b: FewestAccusations = new_election("b");
        let mut out = Vec::new();
        b.tick(ms(2_000), &mut out);
        b.handle_heartbeat(ms(2_100), &"a".into(), &heartbeat("a", 0, 1), &mut out);
        let accuse = peer::Accuse {
            vm: "b".into(),
            incarnation: id::Incarnation(1),
            phase: 0,
        };
        b.handle_accusation(ms(4_000), &accuse, &mut out);
        assert_eq!(b.heartbeats.latest.counter, 0);
    }
}
