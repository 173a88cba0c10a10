//! Compares protocols that decide whether a key chosen by a caller is new.
//!
//! A time-stepped model sends bookings through six entry VMs in three availability zones during a
//! fault. One answer in five is lost, and the booking is sent again with the same key.
//! `cargo test --test own_keys -- --nocapture` prints the counts that
//! docs/design/at-most-once.md contains.

use std::collections;

use rand::{RngExt, SeedableRng};

/// Simulated time and the interval of the fault, in milliseconds.
const END: u64 = 60_000;
const FAULT: std::ops::Range<u64> = 20_000..40_000;

/// Time until the platform's VM list and leases reflect a lost VM.
const LEASE: u64 = 5_000;

/// Interval between attempts of one booking, and lifetime of a cached look-up.
const RESEND: u64 = 2_000;
const CACHED: u64 = 5_000;

const VMS: usize = 6;
const SENDS: u64 = 8;

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
enum Way {
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
enum Told {
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
    way: Way,
    now: u64,
    /// The keys in the memory of each VM; lost on a restart.
    seen: Vec<collections::HashSet<u64>>,
    /// The owner of each slot, according to the store.
    owners: Vec<usize>,
    runs: collections::HashMap<u64, u64>,
}

impl World {
    fn faulty(&self) -> bool {
        FAULT.contains(&self.now)
    }

    fn hit(&self, vm: usize) -> bool {
        let dead = matches!(self.fault, Fault::VmDies | Fault::StoreOutAndVmDies);
        (dead || self.fault == Fault::OwnerPaused) && vm == 0 && self.faulty()
    }

    fn dead(&self, vm: usize) -> bool {
        self.hit(vm) && self.fault != Fault::OwnerPaused
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        let cut_off = |vm: usize| vm / 2 == 0;
        self.fault == Fault::AzCutOff && self.faulty() && cut_off(from) != cut_off(to)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.hit(to) && !self.cut(from, to)
    }

    fn store_up(&self) -> bool {
        let out = matches!(self.fault, Fault::StoreOut | Fault::StoreOutAndVmDies);
        !out || !self.faulty()
    }

    /// Moves the slots of VMs with expired leases, if the store is available.
    fn step(&mut self) {
        if self.now == FAULT.start && self.dead(0) {
            self.seen[0].clear();
        }
        let noticed = self.now >= FAULT.start + LEASE && self.faulty();
        let lapsed = |vm: usize| match self.fault {
            Fault::AzCutOff => vm / 2 == 0,
            _ => self.hit(vm),
        };
        if !noticed || !self.store_up() {
            return;
        }
        let moved: Vec<_> = self.owners.iter().map(|owner| lapsed(*owner)).collect();
        for (slot, moved) in moved.into_iter().enumerate() {
            if moved {
                self.owners[slot] = backup(self.owners[slot]);
            }
        }
    }

    fn run_once(&mut self, at: usize, key: u64) -> Told {
        if self.seen[at].insert(key) {
            *self.runs.entry(key).or_default() += 1;
        }
        Told::Answered
    }

    fn send(&mut self, vm: usize, key: u64, home: usize, issued: u64) -> Told {
        if self.dead(vm) {
            return Told::Refused;
        }
        if self.hit(vm) {
            // A paused VM accepts the request but runs nothing before the deadline.
            return Told::Unknown;
        }
        match self.way {
            Way::AskAll => self.ask_all(vm, key),
            Way::HashedHome | Way::CopyFirst => self.hashed(vm, key),
            Way::UnderTicket => self.under_ticket(vm, key, home, issued),
        }
    }

    fn ask_all(&mut self, vm: usize, key: u64) -> Told {
        let noticed = self.now >= FAULT.start + LEASE && self.store_up();
        let listed = |w: &Self, other: usize| !(w.hit(other) && noticed);
        let others: Vec<_> = (0..VMS).filter(|o| *o != vm && listed(self, *o)).collect();
        if others.iter().any(|other| !self.reaches(vm, *other)) {
            // The request may have run at the VM that does not answer.
            return Told::Unknown;
        }
        if others.iter().any(|other| self.seen[*other].contains(&key)) {
            return Told::Answered;
        }
        self.run_once(vm, key)
    }

    fn hashed(&mut self, vm: usize, key: u64) -> Told {
        let owner = self.owners[key as usize % self.owners.len()];
        if vm != owner && !self.reaches(vm, owner) {
            return Told::Unknown;
        }
        if self.way == Way::HashedHome || self.seen[owner].contains(&key) {
            return self.run_once(owner, key);
        }
        let copy = backup(owner);
        if !self.reaches(owner, copy) {
            return Told::NotRun;
        }
        let told = self.run_once(owner, key);
        self.seen[copy].insert(key);
        told
    }

    fn under_ticket(&mut self, vm: usize, key: u64, home: usize, issued: u64) -> Told {
        let restarted = matches!(self.fault, Fault::VmDies | Fault::StoreOutAndVmDies)
            && home == 0
            && issued < FAULT.end
            && self.now >= FAULT.start;
        if restarted || vm != home && !self.reaches(vm, home) {
            return Told::Unknown;
        }
        self.run_once(home, key)
    }
}

/// The backup VM, in the next availability zone.
fn backup(vm: usize) -> usize {
    (vm + 2) % VMS
}

struct Booking {
    key: u64,
    caller_az: usize,
    home: usize,
    issued: u64,
    sends: u64,
    next: u64,
    maybe: bool,
}

fn play(way: Way, fault: Fault) -> Counts {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut world = World {
        fault,
        way,
        now: 0,
        seen: vec![collections::HashSet::new(); VMS],
        owners: (0..VMS * 4).map(|slot| slot % VMS).collect(),
        runs: collections::HashMap::new(),
    };
    let mut open: Vec<Booking> = Vec::new();
    let mut counts = Counts::default();
    while world.now < END {
        world.step();
        if world.now < END - SENDS * RESEND {
            let caller_az = rng.random_range(0..3);
            let home = caller_az * 2 + rng.random_range(0..2);
            open.push(Booking {
                key: world.now,
                caller_az,
                home,
                // The look-up is cached; its VM answered at that time.
                issued: world.now.saturating_sub(rng.random_range(0..CACHED)),
                sends: 0,
                next: world.now,
                maybe: false,
            });
            counts.bookings += 1;
        }
        let due: Vec<_> = open.extract_if(.., |b| b.next <= world.now).collect();
        for mut booking in due {
            let lost = rng.random_range(0..5) == 0;
            if !settle(&mut world, &mut booking, lost, &mut counts) {
                open.push(booking);
            }
        }
        world.now += 10;
    }
    counts.second_runs = world.runs.values().map(|runs| runs - 1).sum();
    counts
}

/// Sends one attempt of a booking. Returns whether the booking is finished.
fn settle(world: &mut World, booking: &mut Booking, lost: bool, counts: &mut Counts) -> bool {
    let vm = booking.caller_az * 2 + (booking.home + booking.sends as usize) % 2;
    let told = world.send(vm, booking.key, booking.home, booking.issued);
    booking.sends += 1;
    booking.next = world.now + RESEND;
    match told {
        // Nothing was sent, so the caller repeats the look-up.
        Told::Refused if !booking.maybe => {
            booking.home = vm ^ 1;
            booking.issued = world.now;
        }
        Told::Answered if !lost => {
            counts.answered += 1;
            return true;
        }
        Told::NotRun if !booking.maybe => {
            counts.false_notruns += u64::from(world.runs.contains_key(&booking.key));
        }
        _ => booking.maybe = true,
    }
    if booking.sends < SENDS {
        return false;
    }
    if booking.maybe {
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
fn only_keys_under_tickets_never_run_twice_and_need_nothing_agreed() {
    let faults = [
        Fault::None,
        Fault::VmDies,
        Fault::AzCutOff,
        Fault::StoreOut,
        Fault::StoreOutAndVmDies,
        Fault::OwnerPaused,
    ];
    let ways = [
        Way::HashedHome,
        Way::AskAll,
        Way::CopyFirst,
        Way::UnderTicket,
    ];
    for way in ways {
        for fault in faults {
            let counts = play(way, fault);
            println!("{way:?} {fault:?}: {counts:?}");
            assert_eq!(counts.false_notruns, 0, "{way:?} {fault:?}");
            if way == Way::UnderTicket {
                assert_eq!(counts.second_runs, 0, "{fault:?}");
                let lost = counts.not_booked + counts.unknown;
                assert!(lost * 20 < counts.bookings, "{fault:?}: {counts:?}");
            }
        }
    }
    // Checks that the model detects a protocol that loses keys.
    assert!(play(Way::HashedHome, Fault::VmDies).second_runs > 0);
}
