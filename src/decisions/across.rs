//! What a sender may send to other availability zones, for one service on one entry VM.
//!
//! Load pattern: the own availability zone is saturated, cold or gone, while others have room.
//! Sent nowhere, callers are refused though they could be answered; sent freely, the surge runs
//! from place to place, which one notices by regions going over their limit one after the other.
//!
//! [`Across`] is owned by the policy of the service and asked only when the own availability zone
//! cannot take a request in time. A request goes to the nearest place that all of these let it go
//! to: the service's shift cap, a live grant, the link's limit, the request's own deadline. Without
//! a live grant nothing is sent across.
//!
//! A grant says that there is room; answers say whether it is true. Each answer that the other
//! side did not run it, or that did not come, halves the pace there; each answer wins a part of it
//! back. So a place whose reports are frozen or wrong loses its work within a few requests.
//!
//! The policy calls [`Across::arrived`] for each request that a caller brought to this VM: the
//! caps are a share of these. For each `Some` of [`Across::choose`] it calls [`Across::ended`]
//! once.

use std::collections;
use std::sync;
use std::time;

use super::{caps, grants, links, policy};
use crate::id;
use policy::Ended;

/// What remains of a place's pace at least. At a sixteenth a place that mends is found out within
/// some twenty requests.
const LEAST_TRUST: f64 = 1.0 / 16.0;

/// What one answer wins back. Eight answers make up for one refusal from full trust.
const TRUST_GAIN: f64 = 1.0 / 16.0;

/// The share of own slots in use from which a small grant is asked for ahead, so that the first
/// requests of a surge need not wait for a round trip.
const ASK_AHEAD: f64 = 0.8;

/// What is kept free below the limit when displaced callers are taken: their caches are cold here,
/// and the plan sends callers here too.
const MARGIN: f64 = 0.1;

/// Over how long the own load is averaged for that.
const USUAL: time::Duration = time::Duration::from_secs(1);

/// How long demand is counted before the next asking.
const DEMAND_WINDOW: time::Duration = time::Duration::from_millis(500);

/// How long a receiver lets a request under a live grant wait for room. A refusal costs a round trip
/// between regions, and room comes and goes within a few service times.
pub const ROOM_WAIT: time::Duration = time::Duration::from_millis(100);

/// Thresholds of one sender.
#[derive(Clone, Debug)]
pub struct Config {
    /// The service's cap.
    pub caps: caps::Config,
    /// The load of the own availability zone from which displaced callers are not taken, as a
    /// share of its slots: the region's limit.
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

/// Another availability zone that runs the service and may take its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The availability zone.
    pub az: id::AzId,
    /// The other region it lies in; `None` in the own region, where no link is counted.
    pub region: Option<id::RegionId>,
    /// One-way delay.
    pub one_way: time::Duration,
}

/// A wish for a grant.
#[derive(Clone, Debug, PartialEq)]
pub struct Wish {
    /// The availability zone to ask.
    pub az: id::AzId,
    /// Requests a second.
    pub per_s: f64,
}

/// The shares of links of one entry VM, which all of its services use.
pub type SharedLinks = sync::Arc<parking_lot::Mutex<links::Links>>;

#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    since: policy::Moment,
    asked: u32,
    arrived: u32,
    asked_per_s: f64,
    arrived_per_s: f64,
}

/// One sender's view of the other availability zones.
#[derive(Debug)]
pub struct Across {
    cfg: Config,
    own: id::AzId,
    caps: caps::Caps,
    wallet: grants::Wallet,
    // A leaf lock: nothing else is locked while it is held.
    links: SharedLinks,
    routes: Vec<Route>,
    trust: collections::BTreeMap<id::AzId, f64>,
    demand: Demand,
    load: Own,
    loaded: policy::Moment,
    usual_used: f64,
}

/// The own availability zone as this VM sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Own {
    /// Slots that take work.
    pub slots: u32,
    /// Requests that backend servers work on or have queued.
    pub in_flight: u32,
    /// Requests that wait on this VM.
    pub queued: u32,
    /// Slots in use, on average over the last second.
    pub in_use: f64,
}

impl Own {
    /// The share of slots that is in use; 1 where there are none.
    fn used(&self) -> f64 {
        match self.slots {
            0 => 1.0,
            slots => (f64::from(self.in_flight) + f64::from(self.queued)) / f64::from(slots),
        }
    }
}

impl Across {
    /// A sender in the availability zone `own`, without routes and grants yet.
    pub fn new(cfg: Config, own: id::AzId) -> Self {
        Self {
            caps: caps::Caps::new(cfg.caps.clone()),
            cfg,
            own,
            wallet: grants::Wallet::default(),
            links: SharedLinks::default(),
            routes: Vec::new(),
            trust: collections::BTreeMap::new(),
            demand: Demand::default(),
            load: Own::default(),
            loaded: policy::Moment::ZERO,
            usual_used: 0.0,
        }
    }

    /// Shares the links with the other services of this VM.
    pub fn set_links(&mut self, links: SharedLinks) {
        self.links = links;
    }

    /// Changes the cap. What was moved before still counts.
    pub fn set_config(&mut self, cfg: Config) {
        self.caps.set_config(cfg.caps.clone());
        self.cfg = cfg;
    }

    /// The places that may take the service's callers. Those that a drain empties are left out.
    pub fn set_routes(&mut self, mut routes: Vec<Route>) {
        routes.retain(|route| route.az != self.own);
        routes.sort_by(|a, b| (a.one_way, &a.az).cmp(&(b.one_way, &b.az)));
        self.routes = routes;
    }

    /// A caller brought a request to this VM.
    pub fn arrived(&mut self, now: policy::Moment) {
        self.caps.arrived(now);
        self.demand.arrived += 1;
    }

    /// Whether a request may be served here whose caller belongs to another place by the plan. It
    /// is a shift like any other and counts against the cap; own callers go first.
    pub fn takes_displaced(&mut self, now: policy::Moment, worth: u32) -> bool {
        let room = self.usual_used < self.cfg.max_load - MARGIN;
        let allowed = room && self.caps.allows(now, worth);
        if allowed {
            self.caps.moved(now);
        }
        allowed
    }

    /// Picks the availability zone that takes a request that the own one cannot, and counts the
    /// attempt. `None`: nowhere; the request waits or is refused.
    pub fn choose(
        &mut self,
        now: policy::Moment,
        worth: u32,
        bytes: u64,
        deadline: policy::Moment,
    ) -> Option<id::AzId> {
        self.demand.asked += 1;
        if !self.caps.allows(now, worth) {
            return None;
        }
        let mut links = self.links.lock();
        for route in &self.routes {
            let trust = self.trust.get(&route.az).copied().unwrap_or(1.0);
            let in_time = now + 2 * route.one_way < deadline;
            let fits = |links: &mut links::Links| match &route.region {
                Some(region) => links.allows(now, region, bytes),
                None => true,
            };
            if !in_time || !self.wallet.allows(now, &route.az, trust) || !fits(&mut links) {
                continue;
            }
            if let Some(region) = &route.region {
                links.take(now, region, bytes);
            }
            self.wallet.take(&route.az);
            self.caps.moved(now);
            return Some(route.az.clone());
        }
        None
    }

    /// An attempt that [`Self::choose`] counted ended.
    pub fn ended(&mut self, _now: policy::Moment, az: &id::AzId, how: Ended, _bytes: u64) {
        let trust = self.trust.entry(az.clone()).or_insert(1.0);
        *trust = match how {
            Ended::Answered | Ended::Failed => (*trust + TRUST_GAIN).min(1.0),
            Ended::Shed | Ended::NotSent | Ended::Lost | Ended::TimedOut => {
                (*trust / 2.0).max(LEAST_TRUST)
            }
            Ended::Cancelled => *trust,
        };
    }

    /// Time passed.
    pub fn tick(&mut self, now: policy::Moment) {
        self.wallet.tick(now);
        let passed = now.saturating_sub(self.demand.since);
        if passed < DEMAND_WINDOW {
            return;
        }
        let per_s = |count: u32| f64::from(count) / passed.as_secs_f64();
        self.demand = Demand {
            since: now,
            asked_per_s: per_s(self.demand.asked),
            arrived_per_s: per_s(self.demand.arrived),
            ..Demand::default()
        };
    }

    /// The state of the own availability zone as this VM sees it.
    pub fn own_load(&mut self, now: policy::Moment, slots: u32, in_flight: u32, queued: u32) {
        let passed = now.saturating_sub(self.loaded).as_secs_f64();
        let gain = 1.0 - (-passed / USUAL.as_secs_f64()).exp();
        self.loaded = self.loaded.max(now);
        self.load = Own {
            slots,
            in_flight,
            queued,
            in_use: self.load.in_use,
        };
        let in_use = f64::from(in_flight.min(slots));
        self.load.in_use += gain * (in_use - self.load.in_use);
        self.usual_used += gain * (self.load.used() - self.usual_used);
    }

    /// The own availability zone as it was last told.
    pub fn own(&self) -> Own {
        self.load
    }

    /// The grants that this VM should ask for, nearest place first. Each takes over what the ones
    /// before it leave, so that a surge asks one place for all and the next for the rest.
    pub fn wishes(&self, now: policy::Moment) -> Vec<Wish> {
        let most = self.cfg.caps.sender_share() * self.demand.arrived_per_s;
        let ahead = if self.load.used() >= ASK_AHEAD {
            1.0
        } else {
            0.0
        };
        let mut left = self.demand.asked_per_s.min(most).max(ahead);
        let mut wishes = Vec::new();
        for route in &self.routes {
            if left <= 0.0 {
                break;
            }
            wishes.push(Wish {
                az: route.az.clone(),
                per_s: left,
            });
            left -= match self.wallet.live(now, &route.az) {
                Some(grant) => grant.per_s,
                None => 0.0,
            };
        }
        wishes
    }

    /// A grant came in. `asked` is when this VM asked for it.
    pub fn set_grant(&mut self, asked: policy::Moment, grant: grants::Grant) {
        self.wallet.put(asked, grant);
    }

    /// The live grant for an availability zone, which a request sent there has to name.
    pub fn grant(&self, now: policy::Moment, az: &id::AzId) -> Option<&grants::Grant> {
        self.wallet.live(now, az)
    }

    /// When a caller that was refused should come back.
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

    fn across() -> Across {
        let cfg = Config {
            caps: caps::Config {
                plan_part: 0.5,
                ..caps::Config::default()
            },
            ..Config::default()
        };
        let mut across = Across::new(cfg, "a".into());
        let route = |az: &str, region: Option<&str>, ms: u32| Route {
            az: az.into(),
            region: region.map(Into::into),
            one_way: MS * ms,
        };
        across.set_routes(vec![
            route("far", Some("r2"), 55),
            route("near", None, 1),
            route("a", None, 0),
        ]);
        across
    }

    /// Sends at each of `n` milliseconds from `from` and returns how many went where.
    fn surge(
        across: &mut Across,
        from: u32,
        n: u32,
        bytes: u64,
    ) -> collections::BTreeMap<String, u32> {
        let mut went = collections::BTreeMap::new();
        for i in from..from + n {
            let now = MS * i;
            across.arrived(now);
            if let Some(az) = across.choose(now, 1, bytes, now + MS * 500) {
                *went.entry(az.to_string()).or_default() += 1;
            }
            across.tick(now);
        }
        went
    }

    #[test]
    fn nothing_goes_across_without_a_grant() {
        let mut across = across();
        assert!(surge(&mut across, 0, 5_000, 100).is_empty());
        let wishes = across.wishes(MS * 5_000);
        assert_eq!(wishes[0].az, "near".into());
        assert!((90.0..=101.0).contains(&wishes[0].per_s), "{wishes:?}");
    }

    #[test]
    fn the_tightest_of_cap_grant_and_link_rules() {
        let mut across = across();
        surge(&mut across, 0, 1_000, 100);
        across.set_grant(MS * 1_000, grant("near", 20.0));
        across.set_grant(MS * 1_000, grant("far", 10_000.0));
        let went = surge(&mut across, 1_000, 1_000, 100);
        assert_eq!(went.get("far"), None, "no link is declared");
        assert!((15..=23).contains(&went["near"]), "{went:?}");

        across.links.lock().set(MS * 2_000, &"r2".into(), 10_000, 1);
        across.set_grant(MS * 2_000, grant("near", 20.0));
        across.set_grant(MS * 2_000, grant("far", 10_000.0));
        let went = surge(&mut across, 2_000, 1_000, 1_000);
        assert!((5..=10).contains(&went["far"]), "the link: {went:?}");

        across
            .links
            .lock()
            .set(MS * 3_000, &"r2".into(), u64::MAX, 1);
        across.set_grant(MS * 3_000, grant("far", 10_000.0));
        let went = surge(&mut across, 3_000, 2_000, 1_000);
        let all: u32 = went.values().sum();
        assert!((180..=201).contains(&all), "the cap: {went:?}");
    }

    /// A place lends on reports that froze before its backend servers died. Callers sent there
    /// come back refused, some of them too late to be answered elsewhere.
    #[test]
    fn a_place_that_lends_and_refuses_loses_its_work() {
        let mut across = across();
        surge(&mut across, 0, 1_000, 100);
        across.set_grant(MS * 1_000, grant("near", 80.0));
        let mut sent = 0;
        for i in 1_000..2_900 {
            let now = MS * i;
            across.arrived(now);
            if let Some(az) = across.choose(now, 1, 100, now + MS * 500) {
                across.ended(now + MS, &az, Ended::Shed, 100);
                sent += 1;
            }
        }
        assert!(sent <= 16, "{sent} of 152 at the grant's pace");
    }

    /// A caller has 100 ms left and the next region is 55 ms away. Sent there, it would get its
    /// answer too late and the slot there would be wasted.
    #[test]
    fn what_cannot_come_back_in_time_stays() {
        let mut across = across();
        across
            .links
            .lock()
            .set(policy::Moment::ZERO, &"r2".into(), u64::MAX, 1);
        surge(&mut across, 0, 1_000, 100);
        across.set_grant(MS * 1_000, grant("far", 80.0));
        let now = MS * 1_000;
        assert_eq!(across.choose(now, 1, 100, now + MS * 100), None);
        assert!(across.choose(now, 1, 100, now + MS * 200).is_some());
    }
}
