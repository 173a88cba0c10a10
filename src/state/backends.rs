//! Table of the backend servers that the platform lists, with this VM's own data on each.
//!
//! One thread owns the table. Listed properties are replaced with each update. Locally observed
//! data (requests in flight, load reported in answers, failures) is kept per incarnation.

use std::collections;
use std::net;
use std::rc;
use std::time;

use tokio::sync;

use crate::decisions::{
    affinity, backend_rate, ejection, limit, orders, pace, policy, warming, withdrawal,
};
use crate::id;

/// The properties of a backend server in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The service that the backend server runs.
    pub service: id::ServiceId,
    /// The address on which it accepts requests.
    pub addr: net::SocketAddr,
    /// Its availability zone.
    pub az: id::AzId,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// The end of its cold phase, in which it handles few requests, on this process's clock.
    pub cold_until: policy::Moment,
    /// Its incarnation, which grows with each start; `None` if the list has no incarnation.
    pub incarnation: Option<id::Incarnation>,
}

impl Listed {
    /// Whether `self` is a later incarnation than `other` of the same backend server.
    pub fn started_after(&self, other: &Self) -> bool {
        matches!((self.incarnation, other.incarnation), (Some(this), Some(other)) if this > other)
    }
}

/// The load reported in an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    /// Requests of other VMs that run or wait on the backend server.
    others: f64,
    at: policy::Moment,
}

/// The report age up to which a reported load counts in full. A request on a warm backend server
/// takes 0.15 to 0.6 s, so about half of the reported requests have ended after 0.5 s.
const FULL_WEIGHT_AGE_S: f64 = 0.5;

/// The report age from which a reported load no longer counts.
const ZERO_WEIGHT_AGE_S: f64 = 1.5;

/// Backend servers sampled for a request without an object. The least loaded of 16 is nearly the
/// least loaded of all, and the cost grows with each sampled server.
const SAMPLE_SIZE: usize = 16;

/// What a backend server has stated in its answers, and the pacing that follows from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stated {
    /// The rate that it accepts from all entry VMs together.
    pub rate_limit: backend_rate::StatedLimit,
    /// The requests that it does not want.
    pub withdrawal: withdrawal::Withdrawal,
    /// The pacing of this VM's requests to it.
    pub pace: backend_rate::Pace,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its VM id.
    pub id: id::VmId,
    /// The hash of its VM id.
    pub hash: u64,
    /// Its properties in the platform's list.
    pub listed: Listed,
    /// Its region, if known.
    pub region: Option<id::RegionId>,
    /// Requests of this VM that are in flight to it.
    pub in_flight: u32,
    /// Its recent failures.
    pub health: ejection::Health,
    /// The limit on this VM's requests in flight to it.
    pub limit: limit::Limit,
    /// Whether it declined the latest send that it answered or declined.
    pub declined: bool,
    /// What it has stated in its answers.
    pub stated: Stated,
    /// The objects that this VM has sent to it.
    pub warming: warming::SentObjects,
    /// How long work takes there now.
    pub work_pace: pace::Pace,
    report: Report,
    ended: rc::Rc<sync::Notify>,
}

impl Backend {
    /// Its VM id with its incarnation; unique for each start of the backend server.
    pub fn incarnation_name(&self) -> String {
        incarnation_name(&self.id, &self.listed)
    }

    /// Notified when this incarnation is known to have ended.
    pub fn ended(&self) -> &rc::Rc<sync::Notify> {
        &self.ended
    }

    /// The estimated number of requests that run or wait on it.
    pub fn load(&self, now: policy::Moment) -> f64 {
        let age = now.saturating_sub(self.report.at).as_secs_f64();
        let weight =
            ((ZERO_WEIGHT_AGE_S - age) / (ZERO_WEIGHT_AGE_S - FULL_WEIGHT_AGE_S)).clamp(0.0, 1.0);
        f64::from(self.in_flight) + self.report.others * weight
    }

    /// Records the running and waiting requests that an answer reported, including this VM's.
    pub fn record_load_report(&mut self, now: policy::Moment, running: u32, waiting: u32) {
        let others =
            f64::from(running) + f64::from(waiting) - f64::from(self.in_flight.saturating_sub(1));
        self.report = Report {
            others: others.max(0.0),
            at: now,
        };
    }

    /// The age of the last load report; `None` before the first report.
    pub fn report_age(&self, now: policy::Moment) -> Option<time::Duration> {
        (self.report.at > policy::Moment::ZERO).then(|| now.saturating_sub(self.report.at))
    }

    /// The slots that requests can use, if each takes `latency_s` seconds (0 if unknown): with a
    /// rate limit these may be fewer than it has.
    pub fn usable_slots(&self, latency_s: f64) -> f64 {
        let slots = f64::from(self.listed.slots);
        let limit = self.stated.rate_limit.get().filter(|_| latency_s > 0.0);
        limit.map_or(slots, |rate| slots.min(rate * latency_s))
    }

    /// Whether it is shutting down, by its entry or by its own answers.
    pub fn is_leaving(&self, now: policy::Moment) -> bool {
        self.listed.leaving || self.stated.withdrawal.is_leaving(now)
    }

    /// Whether the backend server is in its cold phase.
    pub fn is_cold(&self, now: policy::Moment) -> bool {
        now < self.listed.cold_until
    }
}

fn incarnation_name(id: &id::VmId, listed: &Listed) -> String {
    match listed.incarnation {
        Some(incarnation) => format!("{id}@{incarnation}"),
        None => id.to_string(),
    }
}

/// A selection of a service's backend servers by region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionScope<'a> {
    /// Backend servers in this VM's region.
    Local,
    /// Backend servers in all other regions.
    Remote,
    /// Backend servers in one other region.
    Only(&'a id::RegionId),
}

impl RegionScope<'_> {
    fn contains(self, local: &Option<id::RegionId>, region: &Option<id::RegionId>) -> bool {
        match self {
            RegionScope::Local => local == region,
            RegionScope::Remote => local != region,
            RegionScope::Only(one) => region.as_ref() == Some(one),
        }
    }
}

/// The backend servers of one service.
#[derive(Debug, Default)]
struct Group {
    ids: Vec<id::VmId>,
    local: orders::PreferenceOrders<id::VmId>,
    remote: orders::PreferenceOrders<id::VmId>,
    /// The backend servers of `remote` by region.
    regions: collections::HashMap<id::RegionId, orders::PreferenceOrders<id::VmId>>,
}

impl Group {
    fn scope(&self, scope: RegionScope<'_>) -> Option<&orders::PreferenceOrders<id::VmId>> {
        match scope {
            RegionScope::Local => Some(&self.local),
            RegionScope::Remote => Some(&self.remote),
            RegionScope::Only(region) => self.regions.get(region),
        }
    }

    fn scope_mut(
        &mut self,
        scope: RegionScope<'_>,
    ) -> Option<&mut orders::PreferenceOrders<id::VmId>> {
        match scope {
            RegionScope::Local => Some(&mut self.local),
            RegionScope::Remote => Some(&mut self.remote),
            RegionScope::Only(region) => self.regions.get_mut(region),
        }
    }

    /// The preference orders that contain a region's backend servers.
    fn orders_of(
        &mut self,
        is_local: bool,
        region: &Option<id::RegionId>,
    ) -> impl Iterator<Item = &mut orders::PreferenceOrders<id::VmId>> {
        let (all, one) = match (is_local, region) {
            (true, _) => (&mut self.local, None),
            (false, None) => (&mut self.remote, None),
            (false, Some(region)) => {
                let one = self.regions.entry(region.clone()).or_default();
                (&mut self.remote, Some(one))
            }
        };
        std::iter::once(all).chain(one)
    }
}

/// How long what a backend server stated is kept after its entry is removed.
const UNLISTED_TTL: time::Duration = time::Duration::from_secs(60);

/// What an incarnation without an entry stated. Its entry may return while it still runs.
#[derive(Clone, Debug)]
struct Unlisted {
    since: policy::Moment,
    incarnation_name: String,
    stated: Stated,
}

/// All backend servers by VM id and by service.
#[derive(Debug, Default)]
pub struct Backends {
    local_region: Option<id::RegionId>,
    by_id: collections::HashMap<id::VmId, Backend>,
    by_service: collections::HashMap<id::ServiceId, Group>,
    unlisted: collections::HashMap<id::VmId, Unlisted>,
}

impl Backends {
    /// An empty table for a VM in `local_region`.
    pub fn new(local_region: Option<id::RegionId>) -> Self {
        Self {
            local_region,
            ..Self::default()
        }
    }

    /// Inserts or updates a listed backend server. Returns whether it is new.
    pub fn put(&mut self, name: &id::VmId, listed: Listed, region: Option<id::RegionId>) -> bool {
        let known = self.by_id.get(name);
        if known.is_some_and(|known| known.listed.service == listed.service) {
            self.update_listed(name, listed, region);
            return false;
        }
        self.remove(name);
        let kept = self.unlisted.remove(name);
        let kept = kept.filter(|kept| kept.incarnation_name == incarnation_name(name, &listed));
        let hash = affinity::hash(name.as_str().as_bytes());
        let is_local = self.local_region == region;
        let group = self.by_service.entry(listed.service.clone()).or_default();
        group.ids.push(name.clone());
        for order in group.orders_of(is_local, &region) {
            order.add(name, hash, f64::from(listed.slots));
        }
        let backend = Backend {
            id: name.clone(),
            hash,
            limit: limit::Limit::new(listed.slots),
            declined: false,
            listed,
            region,
            in_flight: 0,
            health: ejection::Health::default(),
            stated: kept.map(|kept| kept.stated).unwrap_or_default(),
            warming: warming::SentObjects::default(),
            work_pace: pace::Pace::default(),
            report: Report::default(),
            ended: rc::Rc::default(),
        };
        self.by_id.insert(name.clone(), backend);
        true
    }

    /// Updates the properties of a backend server whose service is unchanged.
    fn update_listed(&mut self, name: &id::VmId, listed: Listed, region: Option<id::RegionId>) {
        let Some(known) = self.by_id.get_mut(name) else {
            return;
        };
        if (&known.region, known.listed.slots) != (&region, listed.slots)
            && let Some(group) = self.by_service.get_mut(&listed.service)
        {
            for order in group.orders_of(self.local_region == known.region, &known.region) {
                order.remove(name);
            }
            for order in group.orders_of(self.local_region == region, &region) {
                order.add(name, known.hash, f64::from(listed.slots));
            }
        }
        known.region = region;
        known.listed = listed;
    }

    /// Removes a backend server and returns it.
    pub fn remove(&mut self, name: &id::VmId) -> Option<Backend> {
        let removed = self.by_id.remove(name)?;
        if let Some(group) = self.by_service.get_mut(&removed.listed.service) {
            group.ids.retain(|n| n != name);
            for order in group.orders_of(self.local_region == removed.region, &removed.region) {
                order.remove(name);
            }
        }
        Some(removed)
    }

    /// Removes a backend server whose entry is gone or invalid, and keeps what it stated in case
    /// the entry returns. Returns whether it was known.
    pub fn remove_unlisted(&mut self, name: &id::VmId, now: policy::Moment) -> bool {
        self.unlisted
            .retain(|_, kept| now.saturating_sub(kept.since) < UNLISTED_TTL);
        let Some(backend) = self.remove(name) else {
            return false;
        };
        let stated = backend.stated;
        if stated.rate_limit.get().is_some() || stated.withdrawal.is_in_force(now) {
            let kept = Unlisted {
                since: now,
                incarnation_name: backend.incarnation_name(),
                stated,
            };
            self.unlisted.insert(name.clone(), kept);
        }
        true
    }

    /// What an incarnation of a backend server has stated, for an update from its answer; `None` if
    /// a later incarnation is known. The answer may arrive after the entry was removed.
    pub fn stated_mut(
        &mut self,
        id: &id::VmId,
        incarnation_name: &str,
        now: policy::Moment,
    ) -> Option<&mut Stated> {
        if self.by_id.contains_key(id) {
            let backend = self.by_id.get_mut(id)?;
            return (backend.incarnation_name() == incarnation_name).then_some(&mut backend.stated);
        }
        let kept = self.unlisted.entry(id.clone()).or_insert_with(|| Unlisted {
            since: now,
            incarnation_name: incarnation_name.to_owned(),
            stated: Stated::default(),
        });
        (kept.incarnation_name == incarnation_name).then_some(&mut kept.stated)
    }

    /// The head of an object's preference order within `scope`, see
    /// [`orders::PreferenceOrders::first`].
    pub fn preferred(
        &mut self,
        service: &id::ServiceId,
        scope: RegionScope<'_>,
        key: u64,
    ) -> Vec<id::VmId> {
        let group = self.by_service.get_mut(service);
        match group.and_then(|group| group.scope_mut(scope)) {
            Some(order) => order.first(key).cloned().collect(),
            None => Vec::new(),
        }
    }

    /// A sample of the backend servers within `scope`, see [`orders::PreferenceOrders::sample`].
    pub fn sample(
        &self,
        service: &id::ServiceId,
        scope: RegionScope<'_>,
        tie: u64,
    ) -> Vec<id::VmId> {
        match self.order(service, scope) {
            Some(order) => order.sample(tie, SAMPLE_SIZE).cloned().collect(),
            None => Vec::new(),
        }
    }

    fn order(
        &self,
        service: &id::ServiceId,
        scope: RegionScope<'_>,
    ) -> Option<&orders::PreferenceOrders<id::VmId>> {
        self.by_service.get(service)?.scope(scope)
    }

    /// The number of a service's backend servers within `scope`.
    pub fn count_in_scope(&self, service: &id::ServiceId, scope: RegionScope<'_>) -> usize {
        self.order(service, scope).map_or(0, |order| order.len())
    }

    /// A service's backend servers within `scope`.
    pub fn in_scope<'a>(
        &'a self,
        service: &id::ServiceId,
        scope: RegionScope<'a>,
    ) -> impl Iterator<Item = &'a Backend> {
        self.of_service(service)
            .filter(move |b| scope.contains(&self.local_region, &b.region))
    }

    /// Looks up a backend server.
    pub fn get(&self, name: &id::VmId) -> Option<&Backend> {
        self.by_id.get(name)
    }

    /// Looks up a backend server for modification.
    pub fn get_mut(&mut self, name: &id::VmId) -> Option<&mut Backend> {
        self.by_id.get_mut(name)
    }

    /// A service's backend servers.
    pub fn of_service<'a>(&'a self, service: &id::ServiceId) -> impl Iterator<Item = &'a Backend> {
        self.by_service
            .get(service)
            .into_iter()
            .flat_map(|group| &group.ids)
            .filter_map(|name| self.by_id.get(name))
    }

    /// Iterates over all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.by_id.values()
    }

    /// Iterates over all backend servers for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.by_id.values_mut()
    }

    /// The number of backend servers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
