//! Which entry process of an availability zone reads the store for all of them.
//!
//! The reader holds the watches and passes on what they bring, so that the store's load grows with
//! the number of availability zones and not with the number of VMs. Two readers at a time cost
//! calls and harm nothing; none at all holds settings back, and so does a reader whose messages
//! do not arrive or that cannot reach the store itself.
//!
//! Two ways stand behind [`Election`], and docs/design/reader.md measures them. [`Lowest`] takes
//! the lowest name among those heard lately. [`Accused`] is after Aguilera, Delporte-Gallet,
//! Fauconnier and Toueg, "On implementing Omega with weak reliability and synchrony assumptions",
//! figures 2 and 3: only the reader sends heartbeats; whoever misses them accuses it; each process
//! counts the accusations against itself and tells the count in its heartbeats; the lowest
//! (count, name) reads. A phase number keeps a process from being accused for the silence that
//! follows from giving the role up, and whoever prefers another reader tells a contender so.
//! Beyond the paper, a process that starts listens first and joins with a count above the
//! reader's, so that a VM that keeps restarting does not take the role each time; a reader that
//! cannot reach the store counts that against itself; and timeouts grow up to a bound.

use std::collections;
use std::time;

use crate::decisions::policy;
use crate::id;
use crate::protocol::peer;

data! {
    /// How often heartbeats go and how long they may stay out.
    #[derive(Copy, Eq)]
    pub struct Timing {
        /// Between two heartbeats.
        pub every: time::Duration,
        /// The first timeout: three heartbeats.
        pub timeout: time::Duration,
        /// What each timeout that ran out adds to the next.
        pub step: time::Duration,
        /// The longest timeout. It bounds how long an availability zone is without a reader.
        pub max_timeout: time::Duration,
    }

    /// A message that an election wants sent inside the availability zone.
    pub enum Out {
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

/// A way to pick the reader. Each process runs one; they need not agree at every moment.
pub trait Election {
    /// Starts listening.
    fn new(
        own: id::VmId,
        incarnation: id::Incarnation,
        timing: Timing,
        now: policy::Moment,
    ) -> Self;

    /// Time has passed.
    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Out>);

    /// A heartbeat came from `from`, its own or one that it passed on. True: it is the first
    /// copy, to be passed on where not all are linked.
    fn alive(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        alive: &peer::Alive,
        out: &mut Vec<Out>,
    ) -> bool;

    /// An accusation came. True: it is the first copy, to be passed on where not all are linked.
    fn accuse(&mut self, now: policy::Moment, accuse: &peer::Accuse, out: &mut Vec<Out>) -> bool;

    /// This process cannot reach the store.
    fn store_lost(&mut self, now: policy::Moment);

    /// The reader as this process sees it. None: it has just started and listens.
    fn reader(&self) -> Option<&id::VmId>;
}

/// Picks the lowest name among the processes that were heard lately. All send heartbeats.
#[derive(Debug)]
pub struct Lowest {
    own: id::VmId,
    pulse: Pulse,
    heard: collections::BTreeMap<id::VmId, (u64, policy::Moment)>,
    reader: Option<id::VmId>,
}

impl Election for Lowest {
    fn new(
        own: id::VmId,
        incarnation: id::Incarnation,
        timing: Timing,
        now: policy::Moment,
    ) -> Self {
        Self {
            pulse: Pulse::new(&own, incarnation, timing, now),
            own,
            heard: collections::BTreeMap::new(),
            reader: None,
        }
    }

    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Out>) {
        self.pulse.send_due(now, out);
        let timeout = self.pulse.timing.timeout;
        self.heard.retain(|_, (_, at)| now <= *at + timeout);
        if !self.pulse.has_listened(now) {
            return;
        }
        let lowest = self.heard.keys().next().unwrap_or(&self.own);
        let reader = lowest.min(&self.own);
        if self.reader.as_ref() != Some(reader) {
            self.reader = Some(reader.clone());
        }
    }

    fn alive(
        &mut self,
        now: policy::Moment,
        _from: &id::VmId,
        alive: &peer::Alive,
        _out: &mut Vec<Out>,
    ) -> bool {
        let known = self.heard.get(&alive.vm).map(|(seq, _)| *seq);
        let first = alive.vm != self.own && known.is_none_or(|seq| seq < alive.seq);
        if first {
            self.heard.insert(alive.vm.clone(), (alive.seq, now));
        }
        first
    }

    fn accuse(
        &mut self,
        _now: policy::Moment,
        _accuse: &peer::Accuse,
        _out: &mut Vec<Out>,
    ) -> bool {
        false
    }

    fn store_lost(&mut self, _now: policy::Moment) {}

    fn reader(&self) -> Option<&id::VmId> {
        self.reader.as_ref()
    }
}

/// Picks the process with the fewest accusations. Only the reader sends heartbeats.
#[derive(Debug)]
pub struct Accused {
    own: id::VmId,
    pulse: Pulse,
    counted: Option<policy::Moment>,
    contenders: collections::BTreeMap<id::VmId, Contender>,
    timeouts: collections::BTreeMap<id::VmId, time::Duration>,
    /// The last heartbeat of each, also of those that fell silent: one that a peer passes on must
    /// not bring a dead reader back.
    seen: collections::BTreeMap<id::VmId, (id::Incarnation, u64)>,
    /// The last accusation of each, and when it came.
    accusations: collections::BTreeMap<id::VmId, ((id::Incarnation, u64), policy::Moment)>,
    reader: Option<id::VmId>,
}

#[derive(Debug)]
struct Contender {
    beat: peer::Alive,
    until: policy::Moment,
}

impl Election for Accused {
    fn new(
        own: id::VmId,
        incarnation: id::Incarnation,
        timing: Timing,
        now: policy::Moment,
    ) -> Self {
        Self {
            pulse: Pulse::new(&own, incarnation, timing, now),
            own,
            counted: None,
            contenders: collections::BTreeMap::new(),
            timeouts: collections::BTreeMap::new(),
            seen: collections::BTreeMap::new(),
            accusations: collections::BTreeMap::new(),
            reader: None,
        }
    }

    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Out>) {
        self.expire(now, out);
        if self.reader.is_none() && self.pulse.has_listened(now) {
            self.join();
        }
        self.update();
        if self.is_reader() {
            self.pulse.send_due(now, out);
        }
    }

    fn alive(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        alive: &peer::Alive,
        out: &mut Vec<Out>,
    ) -> bool {
        if alive.vm == self.own || self.is_old(alive) {
            return false;
        }
        self.seen
            .insert(alive.vm.clone(), (alive.incarnation, alive.seq));
        let until = now + self.timeout(&alive.vm);
        let beat = alive.clone();
        self.contenders
            .insert(alive.vm.clone(), Contender { beat, until });
        self.update();
        self.check(from, alive, out);
        true
    }

    fn accuse(&mut self, now: policy::Moment, accuse: &peer::Accuse, out: &mut Vec<Out>) -> bool {
        if accuse.vm == self.own {
            let ours = (accuse.incarnation, accuse.phase);
            if ours == (self.pulse.beat.incarnation, self.pulse.beat.phase) {
                self.count(now);
            }
            return false;
        }
        let first = self.is_first(now, accuse);
        if first {
            let message = peer::Message::Accuse(accuse.clone());
            out.push(Out::One(accuse.vm.clone(), message));
        }
        first
    }

    fn store_lost(&mut self, now: policy::Moment) {
        if self.is_reader() {
            self.count(now);
        }
    }

    fn reader(&self) -> Option<&id::VmId> {
        self.reader.as_ref()
    }
}

impl Accused {
    fn is_reader(&self) -> bool {
        self.reader.as_ref() == Some(&self.own)
    }

    /// Those whose heartbeats stayed out are accused. Others may reach them where we cannot, so
    /// everybody hears the accusation and passes it on.
    fn expire(&mut self, now: policy::Moment, out: &mut Vec<Out>) {
        let expired: Vec<_> = self
            .contenders
            .iter()
            .filter(|(_, c)| now > c.until)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired {
            let Some(contender) = self.contenders.remove(&vm) else {
                continue;
            };
            let longer = self.timeout(&vm) + self.pulse.timing.step;
            self.timeouts
                .insert(vm.clone(), longer.min(self.pulse.timing.max_timeout));
            out.push(Out::All(peer::Message::Accuse(peer::Accuse {
                vm,
                incarnation: contender.beat.incarnation,
                phase: contender.beat.phase,
            })));
        }
    }

    /// A process that joins stands behind the reader it finds.
    fn join(&mut self) {
        let counters = self.contenders.values().map(|c| c.beat.counter);
        self.pulse.beat.counter = counters.min().map_or(0, |counter| counter + 1);
        self.reader = Some(self.own.clone());
    }

    fn update(&mut self) {
        if self.reader.is_none() {
            return;
        }
        let own = (self.pulse.beat.counter, &self.own);
        let others = self.contenders.iter().map(|(vm, c)| (c.beat.counter, vm));
        let (_, first) = others.fold(own, Ord::min);
        if self.reader.as_ref() == Some(first) {
            return;
        }
        let gives_up = self.is_reader();
        self.reader = Some(first.clone());
        if gives_up {
            // Our silence from now on is no fault.
            self.pulse.beat.phase += 1;
        }
    }

    /// Tells a contender of the reader that we prefer: the two may not hear each other.
    fn check(&self, from: &id::VmId, alive: &peer::Alive, out: &mut Vec<Out>) {
        let Some(reader) = self.reader.as_ref().filter(|r| **r != alive.vm) else {
            return;
        };
        if let Some(preferred) = self.contenders.get(reader).filter(|_| *from == alive.vm) {
            let message = peer::Message::Alive(preferred.beat.clone());
            out.push(Out::One(alive.vm.clone(), message));
        }
    }

    /// Counts one accusation; those of several peers over one silence count once.
    fn count(&mut self, now: policy::Moment) {
        let recent = self
            .counted
            .is_some_and(|at| now < at + self.pulse.timing.timeout);
        if recent {
            return;
        }
        self.counted = Some(now);
        self.pulse.beat.counter += 1;
        self.update();
    }

    /// Whether an accusation over the same silence was not passed on yet.
    fn is_first(&mut self, now: policy::Moment, accuse: &peer::Accuse) -> bool {
        let timeout = self.pulse.timing.timeout;
        let said = (accuse.incarnation, accuse.phase);
        let before = self.accusations.insert(accuse.vm.clone(), (said, now));
        before.is_none_or(|(what, at)| what != said || now >= at + timeout)
    }

    fn is_old(&self, alive: &peer::Alive) -> bool {
        let seen = self.seen.get(&alive.vm);
        seen.is_some_and(|seen| (alive.incarnation, alive.seq) <= *seen)
    }

    fn timeout(&self, vm: &id::VmId) -> time::Duration {
        let known = self.timeouts.get(vm).copied();
        known.unwrap_or(self.pulse.timing.timeout)
    }
}

fn beat(own: &id::VmId, incarnation: id::Incarnation) -> peer::Alive {
    peer::Alive {
        vm: own.clone(),
        incarnation,
        counter: 0,
        phase: 0,
        seq: 0,
        list: 0,
        store_up: false,
    }
}

/// A process's own heartbeats: the last one, and when the next is due.
#[derive(Debug)]
struct Pulse {
    beat: peer::Alive,
    timing: Timing,
    started: policy::Moment,
    next: policy::Moment,
}

impl Pulse {
    fn new(
        own: &id::VmId,
        incarnation: id::Incarnation,
        timing: Timing,
        now: policy::Moment,
    ) -> Self {
        Self {
            beat: beat(own, incarnation),
            timing,
            started: now,
            next: now,
        }
    }

    /// Sends the next heartbeat, if it is due.
    fn send_due(&mut self, now: policy::Moment, out: &mut Vec<Out>) {
        if now < self.next {
            return;
        }
        self.next = now + self.timing.every;
        self.beat.seq += 1;
        out.push(Out::All(peer::Message::Alive(self.beat.clone())));
    }

    /// Whether the process has listened for so long that it would have heard a reader.
    fn has_listened(&self, now: policy::Moment) -> bool {
        now >= self.started + self.timing.timeout
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> policy::Moment {
        policy::Moment::from_millis(ms)
    }

    fn elect<E: Election>(vm: &str) -> E {
        E::new(vm.into(), id::Incarnation(1), Timing::default(), ms(0))
    }

    fn heartbeat(vm: &str, counter: u64, seq: u64) -> peer::Alive {
        peer::Alive {
            counter,
            seq,
            ..beat(&vm.into(), id::Incarnation(1))
        }
    }

    /// The VM with the lowest name keeps restarting. If it took the role back each time, the
    /// availability zone would lose its watch as often and see settings late.
    #[test]
    fn a_restarted_process_does_not_take_the_role() {
        let mut a: Accused = elect("a");
        let mut out = Vec::new();
        a.tick(ms(0), &mut out);
        assert_eq!(a.reader(), None);
        a.alive(ms(400), &"b".into(), &heartbeat("b", 3, 9), &mut out);
        a.tick(ms(1_500), &mut out);
        assert_eq!(a.reader(), Some(&"b".into()));
        assert!(out.is_empty(), "a listener sends nothing: {out:?}");
    }

    /// The reader's way to the store is cut and its heartbeats still arrive. Without giving the
    /// role up, its availability zone would have no settings until somebody looked.
    #[test]
    fn a_reader_without_the_store_gives_up() {
        let mut a: Accused = elect("a");
        let mut out = Vec::new();
        a.tick(ms(2_000), &mut out);
        assert_eq!(a.reader(), Some(&"a".into()));
        a.alive(ms(2_100), &"b".into(), &heartbeat("b", 0, 1), &mut out);
        assert_eq!(a.reader(), Some(&"a".into()));
        a.store_lost(ms(2_200));
        assert_eq!(a.reader(), Some(&"b".into()));
    }

    /// A reader dies and one that did not notice yet passes its last heartbeat on. If that
    /// brought it back, the availability zone would follow a dead reader over and over.
    #[test]
    fn a_dead_reader_is_not_brought_back() {
        let mut b: Accused = elect("b");
        let mut out = Vec::new();
        b.tick(ms(1_500), &mut out);
        let last = heartbeat("a", 0, 7);
        b.alive(ms(1_600), &"a".into(), &last, &mut out);
        b.tick(ms(4_000), &mut out);
        b.alive(ms(4_000), &"c".into(), &last, &mut out);
        assert_eq!(b.reader(), Some(&"b".into()));
    }

    /// A reader gives the role up and falls silent; its peers time out and accuse it. Counting
    /// that would push the role around for no fault.
    #[test]
    fn silence_after_giving_up_is_not_counted() {
        let mut b: Accused = elect("b");
        let mut out = Vec::new();
        b.tick(ms(2_000), &mut out);
        b.alive(ms(2_100), &"a".into(), &heartbeat("a", 0, 1), &mut out);
        let accuse = peer::Accuse {
            vm: "b".into(),
            incarnation: id::Incarnation(1),
            phase: 0,
        };
        b.accuse(ms(4_000), &accuse, &mut out);
        assert_eq!(b.pulse.beat.counter, 0);
    }
}
