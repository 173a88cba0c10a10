//! Compares protocols that decide whether a key chosen by a caller is new.
//!
//! A time-stepped model sends bookings through six entry VMs in three availability zones during a
//! fault. One answer in five is lost, and the booking is sent again with the same key.
//! `cargo test --test own_keys -- --nocapture` prints the counts that
//! docs/design/at-most-once.md contains.

use std::collections;

use rand::{RngExt, SeedableRng};

/// Simulated time and the interval of the fault, in milliseconds.
const END_MS: u64 = 60_000;
const FAULT_MS: std::ops::Range<u64> = 20_000..40_000;

/// Time until the platform's VM list and leases reflect a lost VM.
const LEASE_MS: u64 = 5_000;

/// Interval between attempts of one booking, and lifetime of a cached look-up.
const RESEND_INTERVAL_MS: u64 = 2_000;
const LOOKUP_TTL_MS: u64 = 5_000;

const VM_COUNT: usize = 6;
const MAX_ATTEMPTS: u64 = 8;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    VmDies,
    AzCutOff,
    StoreOut,
    StoreOutAndVmDies,
    OwnerPaused,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    /// Hashing assigns each key to an owner through a slot table in the store. The table is changed
    /// by compare-and-swap when a lease has expired.
    HashedHome,
    /// The VM that receives the key queries all others.
    AskAll,
    /// As `HashedHome`, but the owner replicates the key to another availability zone first.
    CopyFirst,
    /// The key is prefixed with a ticket of the VM that the look-up returned.
    UnderTicket,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Reply {
    Answered,
    NotRun,
    Unknown,
    /// The connection was refused, so nothing was sent.
    Refused,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Counts {
    bookings: u64,
    answered: u64,
    not_booked: u64,
    unknown: u64,
    second_runs: u64,
    false_notruns: u64,
}

struct World {
    fault: Fault,
    protocol: Protocol,
    now_ms: u64,
    /// The keys in the memory of each VM; lost on a restart.
    known_keys: Vec<collections::HashSet<u64>>,
    /// The owner of each slot, according to the store.
    owners: Vec<usize>,
    runs: collections::HashMap<u64, u64>,
}

impl World {
    fn in_fault(&self) -> bool {
        FAULT_MS.contains(&self.now_ms)
    }

    fn is_down(&self, vm: usize) -> bool {
        let is_dead = matches!(self.fault, Fault::VmDies | Fault::StoreOutAndVmDies);
        (is_dead || self.fault == Fault::OwnerPaused) && vm == 0 && self.in_fault()
    }

    fn is_dead(&self, vm: usize) -> bool {
        self.is_down(vm) && self.fault != Fault::OwnerPaused
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let cut_off = |vm: usize| vm / 2 == 0;
        self.fault == Fault::AzCutOff && self.in_fault() && cut_off(from) != cut_off(to)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.is_down(to) && !self.is_partitioned(from, to)
    }

    fn store_up(&self) -> bool {
        let store_fails = matches!(self.fault, Fault::StoreOut | Fault::StoreOutAndVmDies);
        !store_fails || !self.in_fault()
    }

    /// Moves the slots of VMs with expired leases, if the store is available.
    fn step(&mut self) {
        if self.now_ms == FAULT_MS.start && self.is_dead(0) {
            self.known_keys[0].clear();
        }
        let detected = self.now_ms >= FAULT_MS.start + LEASE_MS && self.in_fault();
        let has_expired = |vm: usize| match self.fault {
            Fault::AzCutOff => vm / 2 == 0,
            _ => self.is_down(vm),
        };
        if !detected || !self.store_up() {
            return;
        }
        let expired: Vec<_> = self
            .owners
            .iter()
            .map(|owner| has_expired(*owner))
            .collect();
        for (slot, expired) in expired.into_iter().enumerate() {
            if expired {
                self.owners[slot] = backup(self.owners[slot]);
            }
        }
    }

    fn run_if_new(&mut self, at: usize, key: u64) -> Reply {
        if self.known_keys[at].insert(key) {
            *self.runs.entry(key).or_default() += 1;
        }
        Reply::Answered
    }

    fn send(&mut self, vm: usize, key: u64, issuer: usize, issued_ms: u64) -> Reply {
        if self.is_dead(vm) {
            return Reply::Refused;
        }
        if self.is_down(vm) {
            // A paused VM accepts the request but runs nothing before the deadline.
            return Reply::Unknown;
        }
        match self.protocol {
            Protocol::AskAll => self.query_all(vm, key),
            Protocol::HashedHome | Protocol::CopyFirst => self.send_to_owner(vm, key),
            Protocol::UnderTicket => self.send_to_issuer(vm, key, issuer, issued_ms),
        }
    }

    fn query_all(&mut self, vm: usize, key: u64) -> Reply {
        let detected = self.now_ms >= FAULT_MS.start + LEASE_MS && self.store_up();
        let listed = |w: &Self, other: usize| !(w.is_down(other) && detected);
        let others: Vec<_> = (0..VM_COUNT)
            .filter(|o| *o != vm && listed(self, *o))
            .collect();
        if others.iter().any(|other| !self.reaches(vm, *other)) {
            // The request may have run at the VM that does not answer.
            return Reply::Unknown;
        }
        if others
            .iter()
            .any(|other| self.known_keys[*other].contains(&key))
        {
            return Reply::Answered;
        }
        self.run_if_new(vm, key)
    }

    fn send_to_owner(&mut self, vm: usize, key: u64) -> Reply {
        let owner = self.owners[key as usize % self.owners.len()];
        if vm != owner && !self.reaches(vm, owner) {
            return Reply::Unknown;
        }
        if self.protocol == Protocol::HashedHome || self.known_keys[owner].contains(&key) {
            return self.run_if_new(owner, key);
        }
        let copy = backup(owner);
        if !self.reaches(owner, copy) {
            return Reply::NotRun;
        }
        let reply = self.run_if_new(owner, key);
        self.known_keys[copy].insert(key);
        reply
    }

    fn send_to_issuer(&mut self, vm: usize, key: u64, issuer: usize, issued_ms: u64) -> Reply {
        let restarted = matches!(self.fault, Fault::VmDies | Fault::StoreOutAndVmDies)
            && issuer == 0
            && issued_ms < FAULT_MS.end
            && self.now_ms >= FAULT_MS.start;
        if restarted || vm != issuer && !self.reaches(vm, issuer) {
            return Reply::Unknown;
        }
        self.run_if_new(issuer, key)
    }
}

/// The backup VM, in the next availability zone.
fn backup(vm: usize) -> usize {
    (vm + 2) % VM_COUNT
}

struct Booking {
    key: u64,
    caller_az: usize,
    issuer: usize,
    issued_ms: u64,
    attempts: u64,
    next_ms: u64,
    may_have_run: bool,
}

fn simulate(protocol: Protocol, fault: Fault) -> Counts {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut world = World {
        fault,
        protocol,
        now_ms: 0,
        known_keys: vec![collections::HashSet::new(); VM_COUNT],
        owners: (0..VM_COUNT * 4).map(|slot| slot % VM_COUNT).collect(),
        runs: collections::HashMap::new(),
    };
    let mut open: Vec<Booking> = Vec::new();
    let mut counts = Counts::default();
    while world.now_ms < END_MS {
        world.step();
        if world.now_ms < END_MS - MAX_ATTEMPTS * RESEND_INTERVAL_MS {
            let caller_az = rng.random_range(0..3);
            let issuer = caller_az * 2 + rng.random_range(0..2);
            open.push(Booking {
                key: world.now_ms,
                caller_az,
                issuer,
                // The look-up is cached; its VM answered at that time.
                issued_ms: world
                    .now_ms
                    .saturating_sub(rng.random_range(0..LOOKUP_TTL_MS)),
                attempts: 0,
                next_ms: world.now_ms,
                may_have_run: false,
            });
            counts.bookings += 1;
        }
        let due: Vec<_> = open.extract_if(.., |b| b.next_ms <= world.now_ms).collect();
        for mut booking in due {
            let lost = rng.random_range(0..5) == 0;
            if !attempt(&mut world, &mut booking, lost, &mut counts) {
                open.push(booking);
            }
        }
        world.now_ms += 10;
    }
    counts.second_runs = world.runs.values().map(|runs| runs - 1).sum();
    counts
}

/// Sends one attempt of a booking. Returns whether the booking is finished.
fn attempt(world: &mut World, booking: &mut Booking, lost: bool, counts: &mut Counts) -> bool {
    let vm = booking.caller_az * 2 + (booking.issuer + booking.attempts as usize) % 2;
    let reply = world.send(vm, booking.key, booking.issuer, booking.issued_ms);
    booking.attempts += 1;
    booking.next_ms = world.now_ms + RESEND_INTERVAL_MS;
    match reply {
        // Nothing was sent, so the caller repeats the look-up.
        Reply::Refused if !booking.may_have_run => {
            booking.issuer = vm ^ 1;
            booking.issued_ms = world.now_ms;
        }
        Reply::Answered if !lost => {
            counts.answered += 1;
            return true;
        }
        Reply::NotRun if !booking.may_have_run => {
            counts.false_notruns += u64::from(world.runs.contains_key(&booking.key));
        }
        _ => booking.may_have_run = true,
    }
    if booking.attempts < MAX_ATTEMPTS {
        return false;
    }
    if booking.may_have_run {
        counts.unknown += 1;
    } else {
        counts.not_booked += 1;
    }
    true
}

/// Callers repeat bookings with the same key while a VM dies, an availability zone is partitioned,
/// the store is out, or the deciding VM is paused. A protocol that loses keys runs a booking twice,
/// and a bay is billed to two members.
#[test]
fn only_ticket_keys_never_run_twice_and_need_no_consensus() {
    let faults = [
        Fault::None,
        Fault::VmDies,
        Fault::AzCutOff,
        Fault::StoreOut,
        Fault::StoreOutAndVmDies,
        Fault::OwnerPaused,
    ];
    let protocols = [
        Protocol::HashedHome,
        Protocol::AskAll,
        Protocol::CopyFirst,
        Protocol::UnderTicket,
    ];
    for protocol in protocols {
        for fault in faults {
            let counts = simulate(protocol, fault);
            println!("{protocol:?} {fault:?}: {counts:?}");
            assert_eq!(counts.false_notruns, 0, "{protocol:?} {fault:?}");
            if protocol == Protocol::UnderTicket {
                assert_eq!(counts.second_runs, 0, "{fault:?}");
                let lost = counts.not_booked + counts.unknown;
                assert!(lost * 20 < counts.bookings, "{fault:?}: {counts:?}");
            }
        }
    }
    // Checks that the model detects a protocol that loses keys.
    assert!(simulate(Protocol::HashedHome, Fault::VmDies).second_runs > 0);
}
