//! Grants other availability zones a share of the local headroom for a short time.
//!
//! Load pattern: several availability zones are overloaded and one has free slots. If all senders
//! act on the same lagging load report (a thundering herd), they overload that AZ within a second
//! and then the next one.
//!
//! Therefore the receiver decides. Each of its entry VMs issues short-lived grants from its share
//! of the headroom. A sender needs a live grant for each request. The receiver refuses requests
//! that exceed a grant's lifetime or slots, and it refuses any request under a grant, as not run,
//! once local callers need the slot.
//!
//! - Several entry VMs grant slots of the same backend servers. Each one grants at most an equal
//!   share of the limit and of the headroom that load reports show. The highest recent member count
//!   determines the share. A new process grants nothing until the other members have had time to
//!   count it, and a VM that does not know the member count grants nothing at all.
//! - Caches are cold: the granted slots grow only while used, doubling each [`Config::ttl`].
//! - A restarted receiver refuses the grants of its previous process. The requests that still run
//!   under them end before [`Config::startup_delay`] is over.

use std::collections;
use std::time;

use super::{links, policy};
use crate::id;

/// A sender's rate under a grant, as a share of the slots' throughput. Service times vary; at the
/// full throughput, about every other request would find no free slot.
const SENDER_RATE_SHARE: f64 = 0.8;

/// Lower bound of the assumed service time, which bounds the rate granted per slot.
const MIN_SERVICE_TIME: time::Duration = time::Duration::from_millis(1);

/// Time constant of the load averages from which headroom is computed. With few slots, the load at
/// one moment is random; one second covers some hundred requests.
const LOAD_AVERAGING_TIME: time::Duration = time::Duration::from_secs(1);

key! {
    /// Identifies a grant by the process that issued it and its number in that process.
    pub struct GrantId {
        /// The incarnation of the issuing process. A later incarnation refuses the grant.
        pub incarnation: id::Incarnation,
        /// Its number within the incarnation.
        pub number: u64,
    }
}

data! {
    /// Permits requests of one service from another availability zone for a short time.
    pub struct Grant {
        /// Its id.
        pub id: GrantId,
        /// The service.
        pub service: id::ServiceId,
        /// The receiving availability zone.
        pub az: id::AzId,
        /// The entry VM that issued it; only this VM accepts requests under it.
        pub vm: id::VmId,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum rate of the sender, in requests per second.
        pub per_s: f64,
        /// Lifetime of the grant.
        pub ttl: time::Duration,
    }

    /// Why a request under a grant was refused without running.
    #[derive(Copy, Eq, Hash)]
    pub enum Refused {
        /// The grant has expired, or this process did not issue it to this sender.
        NoGrant,
        /// All slots of the grant are in use.
        Full,
        /// Local callers need the slots.
        OwnFirst,
    }
}

/// Thresholds of a [`Granter`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Lifetime of a grant, from 100 ms to 30 s. Two seconds: several round trips between regions,
    /// and less than a surge takes to build up a queue that delays callers noticeably.
    pub ttl: time::Duration,
    /// The share of the limit that is never granted, from 0 to below 1, because load reports lag. A
    /// tenth: about the growth of load during the delay of a report.
    pub margin: f64,
    /// The share of the limit that is granted at first; above 0 and at most 1.
    pub initial_share: f64,
    /// How long a new process grants nothing. Longer than `ttl` and the delay of the VM list.
    pub startup_delay: time::Duration,
    /// How long a VM still counts as a member after it is no longer seen.
    pub member_retention: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ttl: time::Duration::from_secs(2),
            margin: 0.1,
            initial_share: 0.1,
            startup_delay: time::Duration::from_secs(5),
            member_retention: time::Duration::from_secs(30),
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
        let initial_share = self.initial_share > 0.0 && self.initial_share <= 1.0;
        if !(0.0..1.0).contains(&self.margin) || !initial_share {
            return Err("margin or initial_share is out of range; give shares from 0 to 1");
        }
        if self.startup_delay <= self.ttl {
            return Err("startup_delay is too short; give more than ttl");
        }
        Ok(())
    }
}

/// Load of the receiving availability zone as one of its entry VMs sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Slots of all live backend servers of the service in the availability zone.
    pub slots: u32,
    /// The region's load limit, as a share of slots.
    pub max_load: f64,
    /// Entry VMs of the availability zone, including this one. 0: unknown, nothing is granted.
    pub members: u32,
    /// Requests of local callers on this VM, queued or in flight.
    pub local_requests: u32,
    /// Requests in flight in the whole availability zone: the highest value in any report.
    pub az_in_flight: u32,
    /// Average service time of a backend server.
    pub service_time: time::Duration,
}

#[derive(Debug)]
struct IssuedGrant {
    sender: id::VmId,
    slots: u32,
    expires_at: policy::Moment,
    in_flight: u32,
}

/// Issues grants for one service on one entry VM, and admits requests under them.
#[derive(Debug)]
pub struct Granter {
    cfg: Config,
    service: id::ServiceId,
    az: id::AzId,
    vm: id::VmId,
    incarnation: id::Incarnation,
    started: policy::Moment,
    next_number: u64,
    load: Load,
    load_updated_at: policy::Moment,
    avg_local: f64,
    avg_az_in_flight: f64,
    member_counts: links::RecentMax,
    member_count: u32,
    issued: collections::BTreeMap<u64, IssuedGrant>,
    requested_at: collections::BTreeMap<id::VmId, policy::Moment>,
    warmup_limit: f64,
    peak_in_flight: u32,
    warmup_updated_at: policy::Moment,
}

/// Identifies the issuer of grants.
#[derive(Clone, Debug)]
pub struct Issuer {
    /// The service.
    pub service: id::ServiceId,
    /// The availability zone.
    pub az: id::AzId,
    /// The entry VM.
    pub vm: id::VmId,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
}

impl Granter {
    /// Creates a granter without grants. `now` is the start time of the process.
    pub fn new(cfg: Config, now: policy::Moment, issuer: Issuer) -> Self {
        Self {
            cfg,
            service: issuer.service,
            az: issuer.az,
            vm: issuer.vm,
            incarnation: issuer.incarnation,
            started: now,
            next_number: 1,
            load: Load::default(),
            load_updated_at: now,
            avg_local: 0.0,
            avg_az_in_flight: 0.0,
            member_counts: links::RecentMax::default(),
            member_count: 0,
            issued: collections::BTreeMap::new(),
            requested_at: collections::BTreeMap::new(),
            warmup_limit: 0.0,
            peak_in_flight: 0,
            warmup_updated_at: now,
        }
    }

    /// Updates the load of the availability zone and the member count.
    pub fn set_load(&mut self, now: policy::Moment, load: Load) {
        let passed = now.saturating_sub(self.load_updated_at).as_secs_f64();
        let gain = 1.0 - (-passed / LOAD_AVERAGING_TIME.as_secs_f64()).exp();
        self.avg_local += gain * (f64::from(load.local_requests) - self.avg_local);
        self.avg_az_in_flight += gain * (f64::from(load.az_in_flight) - self.avg_az_in_flight);
        self.load_updated_at = self.load_updated_at.max(now);
        self.load = load;
        self.member_count = match load.members {
            0 => 0,
            members => self
                .member_counts
                .record(now, members, self.cfg.member_retention),
        };
    }

    /// Issues or renews the grant of a sender that requests `per_s` requests per second. Returns
    /// `None` if less than one slot can be granted or the process has just started.
    pub fn request_grant(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        per_s: f64,
    ) -> Option<Grant> {
        self.tick(now);
        self.requested_at.insert(from.clone(), now);
        if now < self.started + self.cfg.startup_delay {
            return None;
        }
        let service_s = self.load.service_time.max(MIN_SERVICE_TIME).as_secs_f64();
        let wanted_slots = (per_s.max(0.0) * service_s / SENDER_RATE_SHARE).ceil();
        let fair_share = (self.grantable() / self.requested_at.len() as f64)
            .floor()
            .max(1.0);
        let remaining = (self.grantable() - self.slots_of_others(from)).floor();
        let slots = wanted_slots.min(fair_share).min(remaining);
        if slots < 1.0 {
            return None;
        }
        let slots = slots as u32;
        let number = self.number_for(from);
        let issued = self.issued.entry(number).or_insert_with(|| IssuedGrant {
            sender: from.clone(),
            slots: 0,
            expires_at: now,
            in_flight: 0,
        });
        issued.slots = slots;
        issued.expires_at = now + self.cfg.ttl;
        Some(Grant {
            id: GrantId {
                incarnation: self.incarnation,
                number,
            },
            service: self.service.clone(),
            az: self.az.clone(),
            vm: self.vm.clone(),
            slots,
            per_s: SENDER_RATE_SHARE * f64::from(slots) / service_s,
            ttl: self.cfg.ttl,
        })
    }

    /// Admits a request under a grant. Each `Ok` must be followed by one [`Self::done`].
    pub fn admit(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        grant: GrantId,
    ) -> Result<(), Refused> {
        if grant.incarnation != self.incarnation {
            return Err(Refused::NoGrant);
        }
        let available = self.available_now();
        let in_flight = self.in_flight();
        let issued = self.issued.get_mut(&grant.number).ok_or(Refused::NoGrant)?;
        if issued.sender != *from || now >= issued.expires_at {
            return Err(Refused::NoGrant);
        }
        if issued.in_flight >= issued.slots {
            return Err(Refused::Full);
        }
        if f64::from(in_flight + 1) > available {
            return Err(Refused::OwnFirst);
        }
        issued.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(in_flight + 1);
        Ok(())
    }

    /// Releases the slot of a request that [`Self::admit`] admitted.
    pub fn done(&mut self, grant: GrantId) {
        if let Some(issued) = self.issued.get_mut(&grant.number) {
            issued.in_flight = issued.in_flight.saturating_sub(1);
        }
    }

    /// Drops expired grants and updates the warm-up limit once per [`Config::ttl`].
    pub fn tick(&mut self, now: policy::Moment) {
        self.issued
            .retain(|_, issued| now < issued.expires_at || issued.in_flight > 0);
        let retention = self.cfg.ttl;
        self.requested_at
            .retain(|_, requested_at| now < *requested_at + retention);
        if now >= self.warmup_updated_at + self.cfg.ttl {
            self.warmup_updated_at = now;
            self.warmup_limit = self.next_warmup_limit();
            self.peak_in_flight = self.in_flight();
        }
    }

    /// Requests currently admitted under grants.
    pub fn in_flight(&self) -> u32 {
        self.issued.values().map(|issued| issued.in_flight).sum()
    }

    /// Slots that are granted, or still in use after their grant expired.
    pub fn granted_slots(&self) -> u32 {
        let held = |issued: &IssuedGrant| issued.slots.max(issued.in_flight);
        self.issued.values().map(held).sum()
    }

    /// Slots that this VM may grant: its share of the limit, less the average load and the margin.
    pub fn headroom(&self) -> f64 {
        self.available(self.avg_local, self.avg_az_in_flight)
    }

    fn limit(&self) -> f64 {
        f64::from(self.load.slots) * self.load.max_load
    }

    /// Slots available for requests under grants: the smaller of the values computed from this VM's
    /// own counts and from load reports. The counts miss the other members' requests, and the
    /// reports lag. The margin lets the load of local callers grow until a report shows it.
    fn available(&self, local: f64, in_flight: f64) -> f64 {
        if self.member_count == 0 {
            return 0.0;
        }
        let member_count = f64::from(self.member_count);
        let by_local = self.limit() / member_count - local;
        let by_reports = (self.limit() - in_flight) / member_count + f64::from(self.in_flight());
        let margin = self.cfg.margin * self.limit() / member_count;
        (by_local.min(by_reports) - margin).max(0.0)
    }

    fn available_now(&self) -> f64 {
        let load = &self.load;
        self.available(f64::from(load.local_requests), f64::from(load.az_in_flight))
    }

    fn grantable(&self) -> f64 {
        let floor = 1.0f64.max(self.cfg.initial_share * self.limit());
        self.headroom().min(self.warmup_limit.max(floor))
    }

    fn slots_of_others(&self, sender: &id::VmId) -> f64 {
        let others = self
            .issued
            .values()
            .filter(|issued| issued.sender != *sender);
        others.map(|l| f64::from(l.slots.max(l.in_flight))).sum()
    }

    fn number_for(&mut self, sender: &id::VmId) -> u64 {
        let known = self
            .issued
            .iter()
            .find(|(_, issued)| issued.sender == *sender);
        if let Some((number, _)) = known {
            return *number;
        }
        self.next_number += 1;
        self.next_number - 1
    }

    fn next_warmup_limit(&self) -> f64 {
        let floor = 1.0f64.max(self.cfg.initial_share * self.limit());
        let warmup_limit = self.warmup_limit.max(floor);
        let used = f64::from(self.peak_in_flight);
        if used >= 0.5 * warmup_limit.floor() {
            (2.0 * warmup_limit).min(self.limit().max(floor))
        } else if used < 0.25 * warmup_limit {
            (0.5 * warmup_limit).max(floor)
        } else {
            warmup_limit
        }
    }
}

/// A grant held by its sender, with the token bucket of its rate.
#[derive(Clone, Debug)]
struct Held {
    grant: Grant,
    expires_at: policy::Moment,
    tokens: f64,
    refilled_at: policy::Moment,
}

/// The grants that a sender holds, at most one per availability zone.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants {
    held: collections::BTreeMap<id::AzId, Held>,
}

impl HeldGrants {
    /// Stores a grant. Its lifetime counts from `requested_at`, when this VM requested it, so that
    /// the sender never uses it after it has expired at the receiver.
    pub fn insert(&mut self, requested_at: policy::Moment, grant: Grant) {
        let expires_at = requested_at + grant.ttl;
        let old = self.held.get(&grant.az);
        if old.is_some_and(|old| old.expires_at > expires_at) {
            return;
        }
        let (tokens, refilled_at) =
            old.map_or((1.0, requested_at), |old| (old.tokens, old.refilled_at));
        let az = grant.az.clone();
        let held = Held {
            grant,
            expires_at,
            tokens,
            refilled_at,
        };
        self.held.insert(az, held);
    }

    /// The live grant for an availability zone.
    pub fn live(&self, now: policy::Moment, az: &id::AzId) -> Option<&Grant> {
        let held = self.held.get(az)?;
        (now < held.expires_at).then_some(&held.grant)
    }

    /// Whether the grant's rate, multiplied by `trust`, permits one more request.
    pub fn allows(&mut self, now: policy::Moment, az: &id::AzId, trust: f64) -> bool {
        let Some(held) = self.held.get_mut(az) else {
            return false;
        };
        let passed = now.saturating_sub(held.refilled_at).as_secs_f64();
        held.refilled_at = held.refilled_at.max(now);
        let max_tokens = (f64::from(held.grant.slots) / 2.0).max(1.0);
        held.tokens = (held.tokens + passed * held.grant.per_s * trust).min(max_tokens);
        now < held.expires_at && held.tokens >= 1.0
    }

    /// Takes one token for a request sent under the grant.
    pub fn take(&mut self, az: &id::AzId) {
        if let Some(held) = self.held.get_mut(az) {
            held.tokens -= 1.0;
        }
    }

    /// Drops expired grants.
    pub fn tick(&mut self, now: policy::Moment) {
        self.held.retain(|_, held| now < held.expires_at);
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
            local_requests: 4,
            az_in_flight: 8,
            service_time: MS * 20,
        }
    }

    fn issuer(incarnation: u64) -> Issuer {
        Issuer {
            service: "s".into(),
            az: "a".into(),
            vm: "a1".into(),
            incarnation: id::Incarnation(incarnation),
        }
    }

    fn granter() -> Granter {
        let mut granter = Granter::new(Config::default(), policy::Moment::ZERO, issuer(1));
        granter.set_load(START, load());
        granter
    }

    /// Guards against a thundering herd: three overloaded regions see the same headroom in a fourth
    /// one, whose local callers would be answered late if each region got all of it.
    #[test]
    fn senders_share_the_headroom() {
        let mut granter = granter();
        for round in 0..40 {
            let now = START + MS * 500 * round;
            for sender in ["b1", "b2", "c1", "c2", "d1"] {
                let grant = granter.request_grant(now, &sender.into(), 10_000.0);
                if let Some(grant) = grant {
                    for _ in 0..grant.slots {
                        let _ = granter.admit(now, &sender.into(), grant.id);
                    }
                }
            }
            assert!(f64::from(granter.granted_slots()) <= granter.headroom());
        }
        assert!(granter.granted_slots() >= 9, "{}", granter.granted_slots());
    }

    /// Guards against a queue in front of cold caches, which answer slowly at first.
    #[test]
    fn granted_slots_start_small_and_grow_with_use() {
        let mut granter = granter();
        let mut slots = Vec::new();
        for round in 0..5 {
            let now = START + MS * 2_100 * round;
            let grant = granter.request_grant(now, &"b1".into(), 10_000.0).unwrap();
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
    fn local_callers_have_priority() {
        let mut granter = granter();
        let grant = granter.request_grant(START, &"b1".into(), 100.0).unwrap();
        let local_requests = 18;
        granter.set_load(
            START,
            Load {
                local_requests,
                ..load()
            },
        );
        let refused = granter.admit(START, &"b1".into(), grant.id);
        assert_eq!(refused, Err(Refused::OwnFirst));
    }

    /// Guards against requests that a partition delays until their grant has expired and others use
    /// its slots.
    #[test]
    fn an_expired_grant_is_refused() {
        let mut granter = granter();
        let grant = granter.request_grant(START, &"b1".into(), 100.0).unwrap();
        let late = START + grant.ttl;
        assert_eq!(
            granter.admit(late, &"b1".into(), grant.id),
            Err(Refused::NoGrant)
        );
    }

    /// Guards against granting the headroom twice after a restart while senders hold old grants.
    #[test]
    fn a_restarted_receiver_refuses_older_grants_and_delays_new_ones() {
        let old = granter().request_grant(START, &"b1".into(), 100.0).unwrap();
        let mut new = Granter::new(Config::default(), START, issuer(2));
        new.set_load(START, load());
        assert_eq!(
            new.admit(START, &"b1".into(), old.id),
            Err(Refused::NoGrant)
        );
        assert_eq!(new.request_grant(START, &"b1".into(), 100.0), None);
    }

    /// Guards against granting the headroom twice: two entry VMs that a partition separates each
    /// see only themselves.
    #[test]
    fn a_member_that_is_not_seen_keeps_its_share() {
        let mut granter = granter();
        let alone = Load {
            members: 1,
            ..load()
        };
        granter.set_load(START + MS * 1_000, alone);
        let before = granter.headroom();
        granter.set_load(START + MS * 30_000, alone);
        // The load averages still change by up to a thousandth of a slot.
        assert!((granter.headroom() - before).abs() < 1e-3);
        let none = Load {
            members: 0,
            ..load()
        };
        granter.set_load(START + MS * 30_000, none);
        assert_eq!(
            granter.request_grant(START + MS * 30_000, &"b1".into(), 1.0),
            None
        );
    }

    #[test]
    fn a_sender_stops_before_the_receiver_does() {
        let mut granter = granter();
        let (requested_at, given) = (START, START + MS * 55);
        let grant = granter.request_grant(given, &"b1".into(), 1_000.0).unwrap();
        let mut held_grants = HeldGrants::default();
        held_grants.insert(requested_at, grant.clone());
        let last = requested_at + grant.ttl - MS;
        assert!(held_grants.allows(last, &"a".into(), 1.0));
        assert_eq!(
            granter.admit(last + MS * 55, &"b1".into(), grant.id),
            Ok(())
        );
        assert!(!held_grants.allows(last + MS, &"a".into(), 1.0));
    }

    #[test]
    fn a_sender_keeps_the_rate() {
        let mut granter = granter();
        let grant = granter
            .request_grant(START, &"b1".into(), 10_000.0)
            .unwrap();
        let mut held_grants = HeldGrants::default();
        held_grants.insert(START, grant.clone());
        let mut sent = 0;
        for i in 0..1_000 {
            if held_grants.allows(START + MS * i, &"a".into(), 1.0) {
                held_grants.take(&"a".into());
                sent += 1;
            }
        }
        assert!(f64::from(sent) <= grant.per_s + 2.0, "{sent}");
        assert!(f64::from(sent) >= 0.9 * grant.per_s, "{sent}");
    }
}
