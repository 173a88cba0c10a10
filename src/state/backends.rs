//! The backend servers that the platform lists, and what this VM knows of each.
//!
//! One thread owns the table. What the list says is replaced with each update; what was seen here
//! (requests in flight, load that answers carried, failures) stays with the incarnation.

use std::collections;
use std::net;
use std::rc;

use tokio::sync;

use crate::decisions::{affinity, cold, ejection, limit, orders, policy, warming};
use crate::id;

/// What the platform's list says of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The service that it runs.
    pub service: id::ServiceId,
    /// Where it takes requests.
    pub addr: net::SocketAddr,
    /// Its availability zone.
    pub az: id::AzId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to go and takes no new work.
    pub leaving: bool,
    /// Until when it is cold, on this process's clock.
    pub cold_until: policy::Moment,
    /// Which start of it this is; `None` where it does not say. A later start is larger.
    pub start: Option<id::Incarnation>,
}

impl Listed {
    /// Whether this is a later start of the same backend server.
    pub fn started_after(&self, other: &Self) -> bool {
        matches!((self.start, other.start), (Some(this), Some(other)) if this > other)
    }
}

/// The load that an answer carried.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    /// What runs or waits there for other VMs.
    others: f64,
    at: policy::Moment,
}

/// For how long a reported load counts in full. Warm work takes 0.15 to 0.6 s, so after half a
/// second about half of what ran then has ended.
const FRESH: f64 = 0.5;

/// After how long a reported load no longer counts, in seconds.
const STALE: f64 = 1.5;

/// Backend servers that are drawn for a request without an object. The least loaded of sixteen is
/// nearly the least loaded of all, and more would cost more with each one.
const DRAWN: usize = 16;

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its incarnation's name.
    pub id: id::VmId,
    /// The hash of that name.
    pub hash: u64,
    /// What the list says.
    pub listed: Listed,
    /// Its region, where known.
    pub region: Option<id::RegionId>,
    /// Requests of this VM that it has.
    pub in_flight: u32,
    /// Its failures.
    pub health: ejection::Health,
    /// How many requests of this VM it may have.
    pub limit: limit::Limit,
    /// How it is paced while cold.
    pub pace: cold::Pace,
    /// The objects that this VM has sent to it.
    pub warming: warming::SentObjects,
    report: Report,
    ended: rc::Rc<sync::Notify>,
}

impl Backend {
    /// Its name with its start, which tells one run of it from the next.
    pub fn run_name(&self) -> String {
        match self.listed.start {
            Some(start) => format!("{}@{start}", self.id),
            None => self.id.to_string(),
        }
    }

    /// Tells when this run of it is known to be over.
    pub fn ended(&self) -> &rc::Rc<sync::Notify> {
        &self.ended
    }

    /// Requests that run or wait there, as far as known.
    pub fn load(&self, now: policy::Moment) -> f64 {
        let age = now.saturating_sub(self.report.at).as_secs_f64();
        let fresh = ((STALE - age) / (STALE - FRESH)).clamp(0.0, 1.0);
        f64::from(self.in_flight) + self.report.others * fresh
    }

    /// An answer said how many requests run and wait there, those of this VM included.
    pub fn reported(&mut self, now: policy::Moment, running: u32, waiting: u32) {
        let others = f64::from(running + waiting) - f64::from(self.in_flight.saturating_sub(1));
        self.report = Report {
            others: others.max(0.0),
            at: now,
        };
    }

    /// How old the load is that an answer carried last; `None` before the first.
    pub fn report_age(&self, now: policy::Moment) -> Option<std::time::Duration> {
        (self.report.at > policy::Moment::ZERO).then(|| now.saturating_sub(self.report.at))
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: policy::Moment) -> bool {
        now < self.listed.cold_until
    }
}

/// Which backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side<'a> {
    /// Those of the own region.
    Near,
    /// Those of other regions.
    Far,
    /// Those of one other region.
    In(&'a id::RegionId),
}

impl Side<'_> {
    fn holds(self, own: &Option<id::RegionId>, region: &Option<id::RegionId>) -> bool {
        match self {
            Side::Near => own == region,
            Side::Far => own != region,
            Side::In(one) => region.as_ref() == Some(one),
        }
    }
}

/// The backend servers of one service.
#[derive(Debug, Default)]
struct Group {
    names: Vec<id::VmId>,
    near: orders::PreferenceOrders<id::VmId>,
    far: orders::PreferenceOrders<id::VmId>,
    /// Those of `far` by region.
    regions: collections::HashMap<id::RegionId, orders::PreferenceOrders<id::VmId>>,
}

impl Group {
    fn side(&self, side: Side<'_>) -> Option<&orders::PreferenceOrders<id::VmId>> {
        match side {
            Side::Near => Some(&self.near),
            Side::Far => Some(&self.far),
            Side::In(region) => self.regions.get(region),
        }
    }

    fn side_mut(&mut self, side: Side<'_>) -> Option<&mut orders::PreferenceOrders<id::VmId>> {
        match side {
            Side::Near => Some(&mut self.near),
            Side::Far => Some(&mut self.far),
            Side::In(region) => self.regions.get_mut(region),
        }
    }

    /// The orders in which those of a region stand.
    fn orders_of(
        &mut self,
        near: bool,
        region: &Option<id::RegionId>,
    ) -> impl Iterator<Item = &mut orders::PreferenceOrders<id::VmId>> {
        let (all, one) = match (near, region) {
            (true, _) => (&mut self.near, None),
            (false, None) => (&mut self.far, None),
            (false, Some(region)) => {
                let one = self.regions.entry(region.clone()).or_default();
                (&mut self.far, Some(one))
            }
        };
        std::iter::once(all).chain(one)
    }
}

/// All backend servers by name and by service.
#[derive(Debug, Default)]
pub struct Backends {
    own: Option<id::RegionId>,
    by_id: collections::HashMap<id::VmId, Backend>,
    by_service: collections::HashMap<id::ServiceId, Group>,
}

impl Backends {
    /// None yet, seen from this region.
    pub fn new(own: Option<id::RegionId>) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Takes what the list says. Returns whether the backend server is new.
    pub fn put(&mut self, name: &id::VmId, listed: Listed, region: Option<id::RegionId>) -> bool {
        let known = self.by_id.get(name);
        if known.is_some_and(|known| known.listed.service == listed.service) {
            self.update(name, listed, region);
            return false;
        }
        self.remove(name);
        let hash = affinity::hash(name.as_str().as_bytes());
        let near = self.own == region;
        let group = self.by_service.entry(listed.service.clone()).or_default();
        group.names.push(name.clone());
        for order in group.orders_of(near, &region) {
            order.add(name, hash, f64::from(listed.slots));
        }
        let backend = Backend {
            id: name.clone(),
            hash,
            limit: limit::Limit::new(listed.slots),
            listed,
            region,
            in_flight: 0,
            health: ejection::Health::default(),
            pace: cold::Pace::default(),
            warming: warming::SentObjects::default(),
            report: Report::default(),
            ended: rc::Rc::default(),
        };
        self.by_id.insert(name.clone(), backend);
        true
    }

    /// Takes what the list says anew of one that runs the same service.
    fn update(&mut self, name: &id::VmId, listed: Listed, region: Option<id::RegionId>) {
        let Some(known) = self.by_id.get_mut(name) else {
            return;
        };
        if (&known.region, known.listed.slots) != (&region, listed.slots)
            && let Some(group) = self.by_service.get_mut(&listed.service)
        {
            for order in group.orders_of(self.own == known.region, &known.region) {
                order.remove(name);
            }
            for order in group.orders_of(self.own == region, &region) {
                order.add(name, known.hash, f64::from(listed.slots));
            }
        }
        known.region = region;
        known.listed = listed;
    }

    /// Takes one out.
    pub fn remove(&mut self, name: &id::VmId) -> Option<Backend> {
        let gone = self.by_id.remove(name)?;
        if let Some(group) = self.by_service.get_mut(&gone.listed.service) {
            group.names.retain(|n| n != name);
            for order in group.orders_of(self.own == gone.region, &gone.region) {
                order.remove(name);
            }
        }
        Some(gone)
    }

    /// The first of an object's order of a service's backend servers on one side, see
    /// [`orders::PreferenceOrders::first`].
    pub fn first(&mut self, service: &id::ServiceId, side: Side<'_>, key: u64) -> Vec<id::VmId> {
        let group = self.by_service.get_mut(service);
        match group.and_then(|group| group.side_mut(side)) {
            Some(order) => order.first(key).cloned().collect(),
            None => Vec::new(),
        }
    }

    /// Some of a service's backend servers on one side, see [`orders::PreferenceOrders::sample`].
    pub fn some(&self, service: &id::ServiceId, side: Side<'_>, tie: u64) -> Vec<id::VmId> {
        match self.order(service, side) {
            Some(order) => order.sample(tie, DRAWN).cloned().collect(),
            None => Vec::new(),
        }
    }

    fn order(
        &self,
        service: &id::ServiceId,
        side: Side<'_>,
    ) -> Option<&orders::PreferenceOrders<id::VmId>> {
        self.by_service.get(service)?.side(side)
    }

    /// How many a service has on one side.
    pub fn count_on(&self, service: &id::ServiceId, side: Side<'_>) -> usize {
        self.order(service, side).map_or(0, |order| order.len())
    }

    /// Those of a service on one side.
    pub fn on<'a>(
        &'a self,
        service: &id::ServiceId,
        side: Side<'a>,
    ) -> impl Iterator<Item = &'a Backend> {
        self.of(service)
            .filter(move |b| side.holds(&self.own, &b.region))
    }

    /// One of them.
    pub fn get(&self, name: &id::VmId) -> Option<&Backend> {
        self.by_id.get(name)
    }

    /// One of them, to change.
    pub fn get_mut(&mut self, name: &id::VmId) -> Option<&mut Backend> {
        self.by_id.get_mut(name)
    }

    /// Those of a service.
    pub fn of<'a>(&'a self, service: &id::ServiceId) -> impl Iterator<Item = &'a Backend> {
        self.by_service
            .get(service)
            .into_iter()
            .flat_map(|group| &group.names)
            .filter_map(|name| self.by_id.get(name))
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.by_id.values()
    }

    /// All of them, to change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.by_id.values_mut()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
