//! Decides which requests of one service an entry VM sends to other availability zones.
//!
//! Load pattern: the local availability zone is saturated, cold or lost while others have free
//! slots. Without cross-AZ routing, callers are refused although they could be answered. Without
//! limits, the surge overloads one region after the other.
//!
//! The policy of the service calls [`CrossAzRouter`] only when the local availability zone cannot
//! serve a request in time. The request goes to the nearest availability zone that the service's
//! shift cap, a live grant, the link's limit and the request's deadline all allow.
//!
//! Each refusal or missing answer halves the send rate to an availability zone, and each answer
//! restores a part. Therefore an AZ with frozen or wrong load reports loses its traffic within a
//! few requests.
//!
//! The policy calls [`CrossAzRouter::arrived`] for each request that a caller sent to this VM,
//! because the caps are a share of these requests. It calls [`CrossAzRouter::ended`] once for each
//! `Some` that [`CrossAzRouter::choose`] returns.

use std::collections;
use std::sync;
use std::time;

use super::{caps, grants, links, policy};
use crate::id;
use policy::AttemptOutcome;

/// Lower bound of the trust in an availability zone, which scales its granted rate. At a sixteenth,
/// a recovery is detected within about twenty requests.
const MIN_TRUST: f64 = 1.0 / 16.0;

/// Trust that one answer restores. Eight answers compensate for one refusal at full trust.
const TRUST_GAIN_PER_ANSWER: f64 = 1.0 / 16.0;

/// Share of local slots in use from which a small grant is requested in advance, so that the first
/// requests of a surge do not wait for a round trip.
const PREFETCH_LOAD_SHARE: f64 = 0.8;

/// Share of slots kept free below the limit when callers that the plan assigns elsewhere are
/// accepted: their data is not cached here, and the plan may assign more callers here.
const DISPLACED_MARGIN_SHARE: f64 = 0.1;

/// Time constant of the moving averages of the local load.
const LOAD_AVERAGING_TIME: time::Duration = time::Duration::from_secs(1);

/// How long demand is counted before the rates are updated.
const DEMAND_WINDOW: time::Duration = time::Duration::from_millis(500);

/// How long a receiver lets a request under a live grant wait for a free slot. A refusal costs a
/// round trip between regions, while slots become free within a few service times.
pub const MAX_SLOT_WAIT: time::Duration = time::Duration::from_millis(100);

/// Thresholds of one sender.
#[derive(Clone, Debug)]
pub struct Config {
    /// The service's shift cap.
    pub caps: caps::Config,
    /// The region's load limit, as a share of slots. Callers that the plan assigns elsewhere are
    /// accepted only while the local load is below it by a margin.
    pub max_load: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            caps: caps::Config::default(),
            max_load: 0.9,
        }
    }
}

/// Another availability zone that runs the service and may serve its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The availability zone.
    pub az: id::AzId,
    /// Its region; `None` if this is the local region, where no link is counted.
    pub region: Option<id::RegionId>,
    /// One-way delay.
    pub one_way: time::Duration,
}

/// A grant that this VM should request.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRequest {
    /// The availability zone that should grant it.
    pub az: id::AzId,
    /// Requested rate, in requests per second.
    pub per_s: f64,
}

/// The link shares of one entry VM, used by all of its services.
pub type SharedLinks = sync::Arc<parking_lot::Mutex<links::Links>>;

#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    since: policy::Moment,
    overflow: u32,
    arrived: u32,
    overflow_per_s: f64,
    arrived_per_s: f64,
}

/// Routes requests of one service to other availability zones.
#[derive(Debug)]
pub struct CrossAzRouter {
    cfg: Config,
    local_az: id::AzId,
    caps: caps::Caps,
    held_grants: grants::HeldGrants,
    // A leaf lock: no other lock is taken while it is held.
    links: SharedLinks,
    routes: Vec<Route>,
    trust: collections::BTreeMap<id::AzId, f64>,
    demand: Demand,
    local_load: LocalLoad,
    load_updated_at: policy::Moment,
    avg_load_share: f64,
}

/// Load of the local availability zone as this VM sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalLoad {
    /// Slots of the backend servers that accept requests.
    pub slots: u32,
    /// Requests running or queued at backend servers.
    pub in_flight: u32,
    /// Requests queued on this VM.
    pub queued: u32,
    /// Slots in use, averaged over the last second.
    pub in_use: f64,
}

impl LocalLoad {
    /// Running and queued requests as a share of slots; 1 without slots.
    fn load_share(&self) -> f64 {
        match self.slots {
            0 => 1.0,
            slots => (f64::from(self.in_flight) + f64::from(self.queued)) / f64::from(slots),
        }
    }
}

impl CrossAzRouter {
    /// Creates a sender in availability zone `local_az` without routes and grants.
    pub fn new(cfg: Config, local_az: id::AzId) -> Self {
        Self {
            caps: caps::Caps::new(cfg.caps.clone()),
            cfg,
            local_az,
            held_grants: grants::HeldGrants::default(),
            links: SharedLinks::default(),
            routes: Vec::new(),
            trust: collections::BTreeMap::new(),
            demand: Demand::default(),
            local_load: LocalLoad::default(),
            load_updated_at: policy::Moment::ZERO,
            avg_load_share: 0.0,
        }
    }

    /// Sets the link shares that all services of this VM use.
    pub fn set_links(&mut self, links: SharedLinks) {
        self.links = links;
    }

    /// Replaces the configuration. Earlier moves still count unless the step length changes.
    pub fn set_config(&mut self, cfg: Config) {
        self.caps.set_config(cfg.caps.clone());
        self.cfg = cfg;
    }

    /// Sets the availability zones that may serve callers. `routes` must omit those being drained.
    pub fn set_routes(&mut self, mut routes: Vec<Route>) {
        routes.retain(|route| route.az != self.local_az);
        routes.sort_by(|a, b| (a.one_way, &a.az).cmp(&(b.one_way, &b.az)));
        self.routes = routes;
    }

    /// Counts a request that a caller sent to this VM.
    pub fn arrived(&mut self, now: policy::Moment) {
        self.caps.arrived(now);
        self.demand.arrived += 1;
    }

    /// Decides whether to serve a caller that the plan assigns to another availability zone. An
    /// accepted request counts against the shift cap; local callers have priority.
    pub fn admit_displaced(&mut self, now: policy::Moment, worth: u32) -> bool {
        let has_headroom = self.avg_load_share < self.cfg.max_load - DISPLACED_MARGIN_SHARE;
        let allowed = has_headroom && self.caps.allows(now, worth);
        if allowed {
            self.caps.moved(now);
        }
        allowed
    }

    /// Picks the availability zone for a request that the local one cannot serve, and counts the
    /// attempt. Returns `None` if no AZ may serve it; the request then waits or is refused.
    pub fn choose(
        &mut self,
        now: policy::Moment,
        worth: u32,
        bytes: u64,
        deadline: policy::Moment,
    ) -> Option<id::AzId> {
        self.demand.overflow += 1;
        if !self.caps.allows(now, worth) {
            return None;
        }
        let mut links = self.links.lock();
        for route in &self.routes {
            let trust = self.trust.get(&route.az).copied().unwrap_or(1.0);
            let in_time = now + 2 * route.one_way < deadline;
            let link_allows = |links: &mut links::Links| match &route.region {
                Some(region) => links.allows(now, region, bytes),
                None => true,
            };
            if !in_time
                || !self.held_grants.allows(now, &route.az, trust)
                || !link_allows(&mut links)
            {
                continue;
            }
            if let Some(region) = &route.region {
                links.take(now, region, bytes);
            }
            self.held_grants.take(&route.az);
            self.caps.moved(now);
            return Some(route.az.clone());
        }
        None
    }

    /// Updates the trust in `az` after an attempt that [`Self::choose`] counted.
    pub fn ended(&mut self, _now: policy::Moment, az: &id::AzId, how: AttemptOutcome, _bytes: u64) {
        let trust = self.trust.entry(az.clone()).or_insert(1.0);
        *trust = match how {
            AttemptOutcome::Answered | AttemptOutcome::Failed => {
                (*trust + TRUST_GAIN_PER_ANSWER).min(1.0)
            }
            AttemptOutcome::Shed
            | AttemptOutcome::NotSent
            | AttemptOutcome::Lost
            | AttemptOutcome::TimedOut => (*trust / 2.0).max(MIN_TRUST),
            AttemptOutcome::Cancelled => *trust,
        };
    }

    /// Drops expired grants and updates the demand rates once per demand window.
    pub fn tick(&mut self, now: policy::Moment) {
        self.held_grants.tick(now);
        let passed = now.saturating_sub(self.demand.since);
        if passed < DEMAND_WINDOW {
            return;
        }
        let per_s = |count: u32| f64::from(count) / passed.as_secs_f64();
        self.demand = Demand {
            since: now,
            overflow_per_s: per_s(self.demand.overflow),
            arrived_per_s: per_s(self.demand.arrived),
            ..Demand::default()
        };
    }

    /// Updates the load of the local availability zone.
    pub fn set_local_load(&mut self, now: policy::Moment, slots: u32, in_flight: u32, queued: u32) {
        let passed = now.saturating_sub(self.load_updated_at).as_secs_f64();
        let gain = 1.0 - (-passed / LOAD_AVERAGING_TIME.as_secs_f64()).exp();
        self.load_updated_at = self.load_updated_at.max(now);
        self.local_load = LocalLoad {
            slots,
            in_flight,
            queued,
            in_use: self.local_load.in_use,
        };
        let in_use = f64::from(in_flight.min(slots));
        self.local_load.in_use += gain * (in_use - self.local_load.in_use);
        self.avg_load_share += gain * (self.local_load.load_share() - self.avg_load_share);
    }

    /// The last load given to [`Self::set_local_load`].
    pub fn local_load(&self) -> LocalLoad {
        self.local_load
    }

    /// The grants that this VM should request, nearest availability zone first. Each request covers
    /// the demand that the live grants of nearer AZs do not cover.
    pub fn grant_requests(&self, now: policy::Moment) -> Vec<GrantRequest> {
        let max_per_s = self.cfg.caps.sender_share() * self.demand.arrived_per_s;
        let prefetch_per_s = if self.local_load.load_share() >= PREFETCH_LOAD_SHARE {
            1.0
        } else {
            0.0
        };
        let mut uncovered_per_s = self
            .demand
            .overflow_per_s
            .min(max_per_s)
            .max(prefetch_per_s);
        let mut requests = Vec::new();
        for route in &self.routes {
            if uncovered_per_s <= 0.0 {
                break;
            }
            requests.push(GrantRequest {
                az: route.az.clone(),
                per_s: uncovered_per_s,
            });
            uncovered_per_s -= match self.held_grants.live(now, &route.az) {
                Some(grant) => grant.per_s,
                None => 0.0,
            };
        }
        requests
    }

    /// Stores a received grant. `requested_at` is the time at which this VM requested it.
    pub fn set_grant(&mut self, requested_at: policy::Moment, grant: grants::Grant) {
        self.held_grants.insert(requested_at, grant);
    }

    /// The live grant of an availability zone. Each request sent there must carry its id.
    pub fn grant(&self, now: policy::Moment, az: &id::AzId) -> Option<&grants::Grant> {
        self.held_grants.live(now, az)
    }

    /// How long a refused caller should wait before it retries.
    pub fn retry_after(&self) -> time::Duration {
        self.caps.retry_after()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: policy::Moment = policy::Moment::from_millis(1);

    fn grant(az: &str, per_s: f64) -> grants::Grant {
        grants::Grant {
            id: grants::GrantId {
                incarnation: id::Incarnation(1),
                number: 1,
            },
            service: "s".into(),
            az: az.into(),
            vm: "b1".into(),
            slots: 4,
            per_s,
            ttl: MS * 2_000,
        }
    }

    fn cross_az() -> CrossAzRouter {
        let cfg = Config {
            caps: caps::Config {
                plan_share: 0.5,
                ..caps::Config::default()
            },
            ..Config::default()
        };
        let mut cross_az = CrossAzRouter::new(cfg, "a".into());
        let route = |az: &str, region: Option<&str>, ms: u32| Route {
            az: az.into(),
            region: region.map(Into::into),
            one_way: MS * ms,
        };
        cross_az.set_routes(vec![
            route("far", Some("r2"), 55),
            route("near", None, 1),
            route("a", None, 0),
        ]);
        cross_az
    }

    /// Offers one request per millisecond, `n` from `from` on; returns counts by availability zone.
    fn surge(
        cross_az: &mut CrossAzRouter,
        from: u32,
        n: u32,
        bytes: u64,
    ) -> collections::BTreeMap<String, u32> {
        let mut sent_by_az = collections::BTreeMap::new();
        for i in from..from + n {
            let now = MS * i;
            cross_az.arrived(now);
            if let Some(az) = cross_az.choose(now, 1, bytes, now + MS * 500) {
                *sent_by_az.entry(az.to_string()).or_default() += 1;
            }
            cross_az.tick(now);
        }
        sent_by_az
    }

    #[test]
    fn nothing_is_sent_to_another_az_without_a_grant() {
        let mut cross_az = cross_az();
        assert!(surge(&mut cross_az, 0, 5_000, 100).is_empty());
        let requests = cross_az.grant_requests(MS * 5_000);
        assert_eq!(requests[0].az, "near".into());
        assert!((90.0..=101.0).contains(&requests[0].per_s), "{requests:?}");
    }

    #[test]
    fn the_tightest_of_cap_grant_and_link_applies() {
        let mut cross_az = cross_az();
        surge(&mut cross_az, 0, 1_000, 100);
        cross_az.set_grant(MS * 1_000, grant("near", 20.0));
        cross_az.set_grant(MS * 1_000, grant("far", 10_000.0));
        let sent_by_az = surge(&mut cross_az, 1_000, 1_000, 100);
        assert_eq!(sent_by_az.get("far"), None, "no link is declared");
        assert!((15..=23).contains(&sent_by_az["near"]), "{sent_by_az:?}");

        cross_az
            .links
            .lock()
            .set(MS * 2_000, &"r2".into(), 10_000, 1);
        cross_az.set_grant(MS * 2_000, grant("near", 20.0));
        cross_az.set_grant(MS * 2_000, grant("far", 10_000.0));
        let sent_by_az = surge(&mut cross_az, 2_000, 1_000, 1_000);
        assert!(
            (5..=10).contains(&sent_by_az["far"]),
            "the link: {sent_by_az:?}"
        );

        cross_az
            .links
            .lock()
            .set(MS * 3_000, &"r2".into(), u64::MAX, 1);
        cross_az.set_grant(MS * 3_000, grant("far", 10_000.0));
        let sent_by_az = surge(&mut cross_az, 3_000, 2_000, 1_000);
        let all: u32 = sent_by_az.values().sum();
        assert!((180..=201).contains(&all), "the cap: {sent_by_az:?}");
    }

    /// Guards against an availability zone that grants slots on frozen load reports after its
    /// backend servers ended and then refuses each request sent to it.
    #[test]
    fn an_az_that_grants_and_refuses_loses_its_traffic() {
        let mut cross_az = cross_az();
        surge(&mut cross_az, 0, 1_000, 100);
        cross_az.set_grant(MS * 1_000, grant("near", 80.0));
        let mut sent = 0;
        for i in 1_000..2_900 {
            let now = MS * i;
            cross_az.arrived(now);
            if let Some(az) = cross_az.choose(now, 1, 100, now + MS * 500) {
                cross_az.ended(now + MS, &az, AttemptOutcome::Shed, 100);
                sent += 1;
            }
        }
        assert!(sent <= 16, "{sent} of 152 at the grant's pace");
    }

    /// Guards against wasted slots: with 100 ms to the deadline and a one-way delay of 55 ms, the
    /// answer would arrive too late.
    #[test]
    fn a_request_that_would_miss_its_deadline_is_not_sent() {
        let mut cross_az = cross_az();
        cross_az
            .links
            .lock()
            .set(policy::Moment::ZERO, &"r2".into(), u64::MAX, 1);
        surge(&mut cross_az, 0, 1_000, 100);
        cross_az.set_grant(MS * 1_000, grant("far", 80.0));
        let now = MS * 1_000;
        assert_eq!(cross_az.choose(now, 1, 100, now + MS * 100), None);
        assert!(cross_az.choose(now, 1, 100, now + MS * 200).is_some());
    }
}
