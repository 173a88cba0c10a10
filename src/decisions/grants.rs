//! Headroom that a receiving availability zone lends to senders.
//!
//! Load pattern: several places are overfull at once and one has room. If each sender acts on the
//! same lagging report of room, all of them send there together, and one notices the place with
//! room fall over a second after the first ones, then the next: a herd.
//!
//! So the receiver decides. Each of its entry VMs lends slices of its own share of the headroom
//! for a short time. Nothing is sent without a live grant, the receiver honours none beyond its
//! time or its slots, and its own callers go first: a request under a grant is refused as not run
//! as soon as own work needs the room.
//!
//! - Several entry VMs lend from the same backend servers. Each lends from an equal share, counted
//!   by the most members seen lately, and from what reports leave over, divided alike. A fresh one
//!   lends nothing until the others have had time to learn of it, and one that knows of no members
//!   lends nothing at all.
//! - Caches are cold: what is lent grows only while it is used, doubling each [`Config::ttl`].
//! - A restarted receiver knows none of its predecessor's grants and refuses them. What still runs
//!   under them has ended before [`Config::settle`] is over.

use std::collections;
use std::time;

use super::{links, policy};
use crate::id;

/// A sender's pace under its grant, as a share of what the slots could do. Service times vary; at
/// the whole pace about every other request would find its slot taken.
const PACE: f64 = 0.8;

/// The service time that is assumed at least. A lower one would turn a slot into any rate.
const SHORTEST: time::Duration = time::Duration::from_millis(1);

/// Over how long a load is averaged before headroom is lent from it. With a handful of slots the
/// load of one moment is a matter of chance; a second holds some hundred requests.
const USUAL: time::Duration = time::Duration::from_secs(1);

key! {
    /// One grant: the process that gave it and its number there.
    pub struct GrantId {
        /// The start of the process that gave it. A later start knows nothing of it.
        pub incarnation: id::Incarnation,
        /// Its number in that process.
        pub number: u64,
    }
}

data! {
    /// Leave to send work of one service across, short and on the receiver's terms.
    pub struct Grant {
        /// Its name.
        pub id: GrantId,
        /// The service it is for.
        pub service: id::ServiceId,
        /// The availability zone that lends.
        pub az: id::AzId,
        /// The entry VM that lends, which alone honours it.
        pub vm: id::VmId,
        /// Requests that may be in hand there at a time.
        pub slots: u32,
        /// Requests a second that may be sent.
        pub per_s: f64,
        /// How long it lasts.
        pub ttl: time::Duration,
    }

    /// Why a request under a grant was refused. It has not run.
    #[derive(Copy, Eq, Hash)]
    pub enum Refused {
        /// This process did not give the grant, or it is over.
        NoGrant,
        /// All slots of the grant are in use.
        Full,
        /// Own work needs the room.
        OwnFirst,
    }
}

/// How a receiver lends.
#[derive(Clone, Debug)]
pub struct Config {
    /// How long a grant lasts, from 100 ms to 30 s. Two seconds: several round trips between
    /// regions, and shorter than a surge takes to fill a queue that callers notice.
    pub ttl: time::Duration,
    /// The share of the limit that is never lent, from 0 to 1, for loads that lag. A tenth: about
    /// what load grows by in the time that a report takes.
    pub margin: f64,
    /// The share of the limit that is lent at first, above 0 and at most 1.
    pub first: f64,
    /// How long a fresh process lends nothing. Longer than `ttl` and than the list of VMs lags.
    pub settle: time::Duration,
    /// How long a VM that has gone counts on as a member.
    pub hold: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ttl: time::Duration::from_secs(2),
            margin: 0.1,
            first: 0.1,
            settle: time::Duration::from_secs(5),
            hold: time::Duration::from_secs(30),
        }
    }
}

impl Config {
    /// Checks that the values are in range.
    pub fn check(&self) -> Result<(), &'static str> {
        let ttl = time::Duration::from_millis(100)..=time::Duration::from_secs(30);
        if !ttl.contains(&self.ttl) {
            return Err("ttl is out of range; give 100 ms to 30 s");
        }
        let first = self.first > 0.0 && self.first <= 1.0;
        if !(0.0..1.0).contains(&self.margin) || !first {
            return Err("margin or first is out of range; give shares from 0 to 1");
        }
        if self.settle <= self.ttl {
            return Err("settle is too short; give more than ttl");
        }
        Ok(())
    }
}

/// The state of the receiving availability zone, as one of its entry VMs sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Slots of all its live backend servers of the service.
    pub slots: u32,
    /// The region's limit, as a share of slots.
    pub max_load: f64,
    /// Entry VMs of the availability zone, this one among them. 0: not known, lend nothing.
    pub members: u32,
    /// Own callers' requests in hand on this VM, waiting or sent.
    pub own: u32,
    /// Requests in flight in the whole availability zone: the most that any report says.
    pub az_in_flight: u32,
    /// How long a backend server works on a request, on average.
    pub service_time: time::Duration,
}

#[derive(Debug)]
struct Lent {
    to: id::VmId,
    slots: u32,
    until: policy::Moment,
    in_hand: u32,
}

/// The lending side of one service on one entry VM.
#[derive(Debug)]
pub struct Granter {
    cfg: Config,
    service: id::ServiceId,
    az: id::AzId,
    vm: id::VmId,
    incarnation: id::Incarnation,
    started: policy::Moment,
    next: u64,
    load: Load,
    loaded: policy::Moment,
    usual_own: f64,
    usual_in_flight: f64,
    members: links::MostSeen,
    sharers: u32,
    lent: collections::BTreeMap<u64, Lent>,
    asked: collections::BTreeMap<id::VmId, policy::Moment>,
    warm: f64,
    peak: u32,
    warmed: policy::Moment,
}

/// Who lends.
#[derive(Clone, Debug)]
pub struct Lender {
    /// The service.
    pub service: id::ServiceId,
    /// The availability zone.
    pub az: id::AzId,
    /// The entry VM.
    pub vm: id::VmId,
    /// This start of its process.
    pub incarnation: id::Incarnation,
}

impl Granter {
    /// A granter that has lent nothing. `now` is the start of the process.
    pub fn new(cfg: Config, now: policy::Moment, lender: Lender) -> Self {
        Self {
            cfg,
            service: lender.service,
            az: lender.az,
            vm: lender.vm,
            incarnation: lender.incarnation,
            started: now,
            next: 1,
            load: Load::default(),
            loaded: now,
            usual_own: 0.0,
            usual_in_flight: 0.0,
            members: links::MostSeen::default(),
            sharers: 0,
            lent: collections::BTreeMap::new(),
            asked: collections::BTreeMap::new(),
            warm: 0.0,
            peak: 0,
            warmed: now,
        }
    }

    /// Takes in the state of the availability zone.
    pub fn set_load(&mut self, now: policy::Moment, load: Load) {
        let passed = now.saturating_sub(self.loaded).as_secs_f64();
        let gain = 1.0 - (-passed / USUAL.as_secs_f64()).exp();
        self.usual_own += gain * (f64::from(load.own) - self.usual_own);
        self.usual_in_flight += gain * (f64::from(load.az_in_flight) - self.usual_in_flight);
        self.loaded = self.loaded.max(now);
        self.load = load;
        self.sharers = match load.members {
            0 => 0,
            members => self.members.note(now, members, self.cfg.hold),
        };
    }

    /// Answers a sender that wants to send `per_s` requests a second.
    pub fn ask(&mut self, now: policy::Moment, from: &id::VmId, per_s: f64) -> Option<Grant> {
        self.tick(now);
        self.asked.insert(from.clone(), now);
        if now < self.started + self.cfg.settle {
            return None;
        }
        let service_s = self.load.service_time.max(SHORTEST).as_secs_f64();
        let wanted = (per_s.max(0.0) * service_s / PACE).ceil();
        let fair = (self.lendable() / self.asked.len() as f64).floor().max(1.0);
        let left = (self.lendable() - self.others(from)).floor();
        let slots = wanted.min(fair).min(left);
        if slots < 1.0 {
            return None;
        }
        let slots = slots as u32;
        let number = self.number_of(from);
        let lent = self.lent.entry(number).or_insert_with(|| Lent {
            to: from.clone(),
            slots: 0,
            until: now,
            in_hand: 0,
        });
        lent.slots = slots;
        lent.until = now + self.cfg.ttl;
        Some(Grant {
            id: GrantId {
                incarnation: self.incarnation,
                number,
            },
            service: self.service.clone(),
            az: self.az.clone(),
            vm: self.vm.clone(),
            slots,
            per_s: PACE * f64::from(slots) / service_s,
            ttl: self.cfg.ttl,
        })
    }

    /// Lets a request in that came under a grant. Each `Ok` is ended by one [`Self::done`].
    pub fn admit(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        grant: GrantId,
    ) -> Result<(), Refused> {
        if grant.incarnation != self.incarnation {
            return Err(Refused::NoGrant);
        }
        let room = self.room_now();
        let in_hand = self.in_hand();
        let lent = self.lent.get_mut(&grant.number).ok_or(Refused::NoGrant)?;
        if lent.to != *from || now >= lent.until {
            return Err(Refused::NoGrant);
        }
        if lent.in_hand >= lent.slots {
            return Err(Refused::Full);
        }
        if f64::from(in_hand + 1) > room {
            return Err(Refused::OwnFirst);
        }
        lent.in_hand += 1;
        self.peak = self.peak.max(in_hand + 1);
        Ok(())
    }

    /// A request that [`Self::admit`] let in is answered or given up.
    pub fn done(&mut self, grant: GrantId) {
        if let Some(lent) = self.lent.get_mut(&grant.number) {
            lent.in_hand = lent.in_hand.saturating_sub(1);
        }
    }

    /// Time passed.
    pub fn tick(&mut self, now: policy::Moment) {
        self.lent
            .retain(|_, lent| now < lent.until || lent.in_hand > 0);
        let forget = self.cfg.ttl;
        self.asked.retain(|_, asked| now < *asked + forget);
        if now >= self.warmed + self.cfg.ttl {
            self.warmed = now;
            self.warm = self.next_warm();
            self.peak = self.in_hand();
        }
    }

    /// Requests in hand under grants.
    pub fn in_hand(&self) -> u32 {
        self.lent.values().map(|lent| lent.in_hand).sum()
    }

    /// Slots that are lent, or still in use after their grant.
    pub fn lent_slots(&self) -> u32 {
        let held = |lent: &Lent| lent.slots.max(lent.in_hand);
        self.lent.values().map(held).sum()
    }

    /// What this VM may lend: its share of the limit, less usual own work and the margin, in slots.
    pub fn headroom(&self) -> f64 {
        self.room(self.usual_own, self.usual_in_flight)
    }

    fn limit(&self) -> f64 {
        f64::from(self.load.slots) * self.load.max_load
    }

    /// Slots that work under grants may use, beside own work and what is in flight in the whole
    /// availability zone. Both count, whichever leaves less: own counts miss what other members do,
    /// and reports lag. The margin is kept so that own callers can grow until a report tells of it.
    fn room(&self, own: f64, in_flight: f64) -> f64 {
        if self.sharers == 0 {
            return 0.0;
        }
        let sharers = f64::from(self.sharers);
        let by_own = self.limit() / sharers - own;
        let by_reports = (self.limit() - in_flight) / sharers + f64::from(self.in_hand());
        let margin = self.cfg.margin * self.limit() / sharers;
        (by_own.min(by_reports) - margin).max(0.0)
    }

    fn room_now(&self) -> f64 {
        let load = &self.load;
        self.room(f64::from(load.own), f64::from(load.az_in_flight))
    }

    fn lendable(&self) -> f64 {
        let floor = 1.0f64.max(self.cfg.first * self.limit());
        self.headroom().min(self.warm.max(floor))
    }

    fn others(&self, than: &id::VmId) -> f64 {
        let others = self.lent.values().filter(|lent| lent.to != *than);
        others.map(|l| f64::from(l.slots.max(l.in_hand))).sum()
    }

    fn number_of(&mut self, sender: &id::VmId) -> u64 {
        let known = self.lent.iter().find(|(_, lent)| lent.to == *sender);
        if let Some((number, _)) = known {
            return *number;
        }
        self.next += 1;
        self.next - 1
    }

    fn next_warm(&self) -> f64 {
        let floor = 1.0f64.max(self.cfg.first * self.limit());
        let warm = self.warm.max(floor);
        let used = f64::from(self.peak);
        if used >= 0.5 * warm.floor() {
            (2.0 * warm).min(self.limit().max(floor))
        } else if used < 0.25 * warm {
            (0.5 * warm).max(floor)
        } else {
            warm
        }
    }
}

/// A grant at its sender.
#[derive(Clone, Debug)]
struct Held {
    grant: Grant,
    until: policy::Moment,
    saved: f64,
    filled: policy::Moment,
}

/// The grants that a sender holds, one for each availability zone.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    held: collections::BTreeMap<id::AzId, Held>,
}

impl Wallet {
    /// Takes a grant in. `asked` is when this VM asked for it: the time is counted from there, so
    /// that the sender never uses it longer than the receiver honours it.
    pub fn put(&mut self, asked: policy::Moment, grant: Grant) {
        let until = asked + grant.ttl;
        let old = self.held.get(&grant.az);
        if old.is_some_and(|old| old.until > until) {
            return;
        }
        let (saved, filled) = old.map_or((1.0, asked), |old| (old.saved, old.filled));
        let az = grant.az.clone();
        let held = Held {
            grant,
            until,
            saved,
            filled,
        };
        self.held.insert(az, held);
    }

    /// The live grant for an availability zone.
    pub fn live(&self, now: policy::Moment, az: &id::AzId) -> Option<&Grant> {
        let held = self.held.get(az)?;
        (now < held.until).then_some(&held.grant)
    }

    /// Whether the grant's pace, times `trust`, has room for one request.
    pub fn allows(&mut self, now: policy::Moment, az: &id::AzId, trust: f64) -> bool {
        let Some(held) = self.held.get_mut(az) else {
            return false;
        };
        let passed = now.saturating_sub(held.filled).as_secs_f64();
        held.filled = held.filled.max(now);
        let most = (f64::from(held.grant.slots) / 2.0).max(1.0);
        held.saved = (held.saved + passed * held.grant.per_s * trust).min(most);
        now < held.until && held.saved >= 1.0
    }

    /// Counts a request that goes under the grant.
    pub fn take(&mut self, az: &id::AzId) {
        if let Some(held) = self.held.get_mut(az) {
            held.saved -= 1.0;
        }
    }

    /// Drops what has expired.
    pub fn tick(&mut self, now: policy::Moment) {
        self.held.retain(|_, held| now < held.until);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: policy::Moment = policy::Moment::from_millis(1);
    const START: policy::Moment = policy::Moment::from_secs(10);

    fn load() -> Load {
        Load {
            slots: 40,
            max_load: 0.9,
            members: 2,
            own: 4,
            az_in_flight: 8,
            service_time: MS * 20,
        }
    }

    fn lender(incarnation: u64) -> Lender {
        Lender {
            service: "s".into(),
            az: "a".into(),
            vm: "a1".into(),
            incarnation: id::Incarnation(incarnation),
        }
    }

    fn granter() -> Granter {
        let mut granter = Granter::new(Config::default(), policy::Moment::ZERO, lender(1));
        granter.set_load(START, load());
        granter
    }

    /// Three regions are overfull and see the same room in a fourth. Were each given the whole of
    /// it, its own callers would be answered late as well.
    #[test]
    fn a_herd_shares_the_headroom() {
        let mut granter = granter();
        for round in 0..40 {
            let now = START + MS * 500 * round;
            for sender in ["b1", "b2", "c1", "c2", "d1"] {
                let grant = granter.ask(now, &sender.into(), 10_000.0);
                if let Some(grant) = grant {
                    for _ in 0..grant.slots {
                        let _ = granter.admit(now, &sender.into(), grant.id);
                    }
                }
            }
            assert!(f64::from(granter.lent_slots()) <= granter.headroom());
        }
        assert!(granter.lent_slots() >= 9, "{}", granter.lent_slots());
    }

    /// Cold caches answer slowly at first. Callers sent there all at once would wait in a queue.
    #[test]
    fn lending_starts_small_and_grows_with_use() {
        let mut granter = granter();
        let mut slots = Vec::new();
        for round in 0..5 {
            let now = START + MS * 2_100 * round;
            let grant = granter.ask(now, &"b1".into(), 10_000.0).unwrap();
            for _ in 0..grant.slots {
                granter.admit(now, &"b1".into(), grant.id).unwrap();
            }
            for _ in 0..grant.slots {
                granter.done(grant.id);
            }
            slots.push(grant.slots);
        }
        assert_eq!(slots, [3, 7, 12, 12, 12], "doubles up to the headroom");
    }

    #[test]
    fn own_callers_go_first() {
        let mut granter = granter();
        let grant = granter.ask(START, &"b1".into(), 100.0).unwrap();
        let own = 18;
        granter.set_load(START, Load { own, ..load() });
        let refused = granter.admit(START, &"b1".into(), grant.id);
        assert_eq!(refused, Err(Refused::OwnFirst));
    }

    /// A partition holds requests back on their way. When they come out, the room they were sent
    /// for is long used by others.
    #[test]
    fn an_expired_grant_is_refused() {
        let mut granter = granter();
        let grant = granter.ask(START, &"b1".into(), 100.0).unwrap();
        let late = START + grant.ttl;
        assert_eq!(
            granter.admit(late, &"b1".into(), grant.id),
            Err(Refused::NoGrant)
        );
    }

    /// The receiver's process is replaced while senders hold its grants. Were the old grants
    /// honoured beside new ones, the headroom would be lent twice.
    #[test]
    fn a_restarted_receiver_honours_no_older_grant_and_lends_late() {
        let old = granter().ask(START, &"b1".into(), 100.0).unwrap();
        let mut new = Granter::new(Config::default(), START, lender(2));
        new.set_load(START, load());
        assert_eq!(
            new.admit(START, &"b1".into(), old.id),
            Err(Refused::NoGrant)
        );
        assert_eq!(new.ask(START, &"b1".into(), 100.0), None);
    }

    /// Two entry VMs of a place cannot see each other for a while and each takes itself for the
    /// only one. Both would lend the whole headroom.
    #[test]
    fn a_member_that_went_unseen_keeps_its_share() {
        let mut granter = granter();
        let alone = Load {
            members: 1,
            ..load()
        };
        granter.set_load(START + MS * 1_000, alone);
        let before = granter.headroom();
        granter.set_load(START + MS * 30_000, alone);
        // Averages still settle by a thousandth of a slot.
        assert!((granter.headroom() - before).abs() < 1e-3);
        let none = Load {
            members: 0,
            ..load()
        };
        granter.set_load(START + MS * 30_000, none);
        assert_eq!(granter.ask(START + MS * 30_000, &"b1".into(), 1.0), None);
    }

    #[test]
    fn a_sender_stops_before_the_receiver_does() {
        let mut granter = granter();
        let (asked, given) = (START, START + MS * 55);
        let grant = granter.ask(given, &"b1".into(), 1_000.0).unwrap();
        let mut wallet = Wallet::default();
        wallet.put(asked, grant.clone());
        let last = asked + grant.ttl - MS;
        assert!(wallet.allows(last, &"a".into(), 1.0));
        assert_eq!(
            granter.admit(last + MS * 55, &"b1".into(), grant.id),
            Ok(())
        );
        assert!(!wallet.allows(last + MS, &"a".into(), 1.0));
    }

    #[test]
    fn a_sender_keeps_the_pace() {
        let mut granter = granter();
        let grant = granter.ask(START, &"b1".into(), 10_000.0).unwrap();
        let mut wallet = Wallet::default();
        wallet.put(START, grant.clone());
        let mut sent = 0;
        for i in 0..1_000 {
            if wallet.allows(START + MS * i, &"a".into(), 1.0) {
                wallet.take(&"a".into());
                sent += 1;
            }
        }
        assert!(f64::from(sent) <= grant.per_s + 2.0, "{sent}");
        assert!(f64::from(sent) >= 0.9 * grant.per_s, "{sent}");
    }
}
