//! Simulation of entry VMs that admit one customer's requests and exchange usage reports.

use std::collections;
use std::time;

use bulrushwind::decisions::quota::{self, Ledger, Sharing};
use rand::{RngExt, SeedableRng};

/// The customer of all requests.
pub(crate) const CUSTOMER: quota::Name = 7;

/// How often a VM checks for due reports, and how often it sends one at least.
const TICK_MS: u64 = 100;
const SPEAK_MS: u64 = 500;
const WHOLE_MS: u64 = 2000;

/// How often it checks while no customer sends requests.
const IDLE_MS: u64 = 500;

/// Downtime of a restart.
const DOWN_MS: u64 = 1000;

/// Propagation delay of a message.
const WAY_MS: u64 = 60;

/// An event during a run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The customer's load changes to this multiple of its limit.
    Load(f64),
    /// VMs below this number and the others no longer receive each other's messages.
    Cut(usize),
    /// The partition ends.
    Heal,
    /// All VMs are killed and restart a second later without their state.
    RestartAll,
    /// Callers use only the VMs from this number on.
    Move(usize),
    /// The limit changes to this share of the original one.
    Limit(f64),
    /// The number of VMs that callers use changes.
    Carriers(usize),
}

/// Parameters of a run.
pub(crate) struct Day<'a> {
    /// Number of VMs, and number of VMs that callers use.
    pub(crate) vms: usize,
    pub(crate) carriers: usize,
    pub(crate) limit: quota::Limit,
    pub(crate) load: f64,
    /// Events with their times in milliseconds.
    pub(crate) events: &'a [(u64, Event)],
    pub(crate) length_ms: u64,
    /// Share of messages that are lost.
    pub(crate) lost: f64,
    pub(crate) seed: u64,
}

/// Result of a run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Times at which requests were admitted, in milliseconds.
    pub(crate) admitted: Vec<u64>,
    /// Times at which requests were refused.
    pub(crate) refused: Vec<u64>,
    pub(crate) messages: usize,
}

impl Outcome {
    /// Maximum number of requests admitted in any window that begins at or after `from_ms`.
    pub(crate) fn busiest(&self, bound: &quota::Bound, from_ms: u64) -> usize {
        let width = bound.window.as_millis() as u64;
        let all: Vec<u64> = self
            .admitted
            .iter()
            .copied()
            .filter(|at| *at >= from_ms)
            .collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in all.iter().enumerate() {
            while all[first] + width <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Share of requests refused although the customer kept to its limit in the window before.
    pub(crate) fn wrongly_refused(&self, bound: &quota::Bound, limit: &quota::Limit) -> f64 {
        let width = bound.window.as_millis() as u64;
        let mut asked: Vec<u64> = [&self.admitted[..], &self.refused[..]].concat();
        asked.sort_unstable();
        let within = |at: &&u64| {
            let upto = asked.partition_point(|a| a <= *at);
            let before = asked.partition_point(|a| a + width <= **at);
            (upto - before) as f64 <= bound.allowed(limit)
        };
        self.refused.iter().filter(within).count() as f64 / asked.len().max(1) as f64
    }

    /// Share of requests refused from `from_ms` on.
    pub(crate) fn refused_from(&self, from_ms: u64) -> f64 {
        let count = |all: &[u64]| all.iter().filter(|at| **at >= from_ms).count() as f64;
        let (refused, admitted) = (count(&self.refused), count(&self.admitted));
        refused / (refused + admitted).max(1.0)
    }
}

struct Message {
    at: u64,
    to: usize,
    from: usize,
    start: quota::Start,
    rows: Vec<(quota::Name, quota::Told)>,
    whole: bool,
}

struct Play<'a, S> {
    day: &'a Day<'a>,
    carriers: usize,
    looks: Vec<u64>,
    ledgers: Vec<Ledger<S>>,
    spoke: Vec<u64>,
    told_all: Vec<u64>,
    under_way: collections::VecDeque<Message>,
    load: f64,
    limit: quota::Limit,
    cut: usize,
    first_carrier: usize,
    up_at: u64,
    start: quota::Start,
    rng: rand_chacha::ChaCha8Rng,
    outcome: Outcome,
}

fn moment(ms: u64) -> time::Duration {
    // VMs started long before the run.
    time::Duration::from_millis(ms + 60_000)
}

/// The first `among` VMs without `vm`.
fn others(among: usize, vm: usize) -> Vec<quota::Name> {
    let others = (0..among).filter(|other| *other != vm);
    others.map(|other| other as quota::Name).collect()
}

/// Callers use the first `carriers` VMs, and as many more are on standby.
fn expect<S: Sharing>(ledger: &mut Ledger<S>, carriers: usize, vm: usize, vms: usize) {
    let next = others(carriers * 2, vm);
    ledger.expect(others(carriers, vm), next, vms);
}

impl<S: Sharing> Play<'_, S> {
    fn happen(&mut self, now: u64, event: Event) {
        match event {
            Event::Load(load) => self.load = load,
            Event::Cut(below) => self.cut = below,
            Event::Heal => self.cut = 0,
            Event::Move(to) => self.first_carrier = to,
            Event::Limit(part) => {
                self.limit = quota::Limit {
                    rate: self.day.limit.rate * part,
                    burst: self.day.limit.burst * part,
                };
            }
            Event::RestartAll => {
                self.under_way.clear();
                self.up_at = now + DOWN_MS;
                self.start = now + 1;
                self.spoke.fill(0);
                self.told_all.fill(0);
                for (vm, ledger) in self.ledgers.iter_mut().enumerate() {
                    let near = ledger.near_limits(moment(now));
                    *ledger = Ledger::new(quota::Bound::default(), moment(self.up_at), now + 1);
                    ledger.inherit(moment(self.up_at), &near);
                    expect(ledger, self.carriers, vm, self.day.vms);
                }
            }
            Event::Carriers(carriers) => {
                self.carriers = carriers;
                for (vm, ledger) in self.ledgers.iter_mut().enumerate() {
                    expect(ledger, carriers, vm, self.day.vms);
                }
            }
        }
    }

    fn callers(&mut self, now: u64) {
        let mean = self.day.limit.rate * self.load / 1000.0;
        let whole = mean.floor();
        let more = u64::from(self.rng.random_bool(mean - whole));
        for _ in 0..whole as u64 + more {
            let vm = self.rng.random_range(self.first_carrier..self.carriers);
            let tie = self.rng.random();
            if !self.ledgers[vm].is_active() {
                self.looks[vm] = self.looks[vm].min(now + TICK_MS);
            }
            match self.ledgers[vm].ask(moment(now), CUSTOMER, self.limit, tie) {
                Ok(()) => self.outcome.admitted.push(now),
                Err(_) => self.outcome.refused.push(now),
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        while self.under_way.front().is_some_and(|m| m.at <= now) {
            let Some(message) = self.under_way.pop_front() else {
                return;
            };
            let apart = (message.to < self.cut) != (message.from < self.cut);
            if apart || self.rng.random_bool(self.day.lost) {
                continue;
            }
            let from = message.from as quota::Name;
            let start = message.start;
            self.ledgers[message.to].heard(moment(now), from, start, message.rows, message.whole);
        }
    }

    fn tell(&mut self, now: u64) {
        for vm in 0..self.ledgers.len() {
            if now < self.looks[vm] {
                continue;
            }
            let active = self.ledgers[vm].is_active();
            self.looks[vm] = now + if active { TICK_MS } else { IDLE_MS };
            let speak = now >= self.spoke[vm] + SPEAK_MS;
            let whole = self.ledgers[vm].owes_whole() || now >= self.told_all[vm] + WHOLE_MS;
            let rows = self.ledgers[vm].news(moment(now), whole, 64);
            let speaks = active || vm < self.carriers;
            if !speaks || (rows.is_empty() && !speak) {
                continue;
            }
            self.spoke[vm] = now;
            if whole {
                self.told_all[vm] = now;
            }
            for to in (0..self.ledgers.len()).filter(|to| *to != vm) {
                if !self.ledgers[vm].concerns(moment(now), to as quota::Name) {
                    continue;
                }
                self.outcome.messages += 1;
                self.under_way.push_back(Message {
                    at: now + WAY_MS,
                    to,
                    from: vm,
                    start: self.start,
                    rows: rows.clone(),
                    whole,
                });
            }
        }
    }
}

/// Runs the simulation.
pub(crate) fn play<S: Sharing>(day: &Day<'_>) -> Outcome {
    let ledger = |vm: usize| {
        let mut ledger = Ledger::<S>::new(quota::Bound::default(), time::Duration::ZERO, 0);
        expect(&mut ledger, day.carriers, vm, day.vms);
        ledger
    };
    let later = day.events.iter().filter_map(|(_, event)| match event {
        Event::Carriers(carriers) => Some(*carriers),
        _ => None,
    });
    let carriers = later.fold(day.carriers, usize::max);
    let mut play = Play {
        day,
        carriers: day.carriers,
        // Staggers the checks of the VMs.
        looks: (0..carriers as u64).map(|vm| vm * 37 % IDLE_MS).collect(),
        ledgers: (0..carriers).map(ledger).collect(),
        spoke: vec![0; carriers],
        told_all: vec![0; carriers],
        under_way: collections::VecDeque::new(),
        load: day.load,
        limit: day.limit,
        cut: 0,
        first_carrier: 0,
        up_at: 0,
        start: 0,
        rng: rand_chacha::ChaCha8Rng::seed_from_u64(day.seed),
        outcome: Outcome::default(),
    };
    for now in 0..day.length_ms {
        for (_, event) in day.events.iter().filter(|(at, _)| *at == now) {
            play.happen(now, *event);
        }
        if now >= play.up_at {
            play.deliver(now);
            play.callers(now);
            play.tell(now);
        }
    }
    play.outcome
}
