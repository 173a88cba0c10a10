//! Divides the capacity of a service that is short of it among customers, over all entry VMs.

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::time;

use metrics::gauge;

use super::{Gateway, facts, quotas};
use crate::decisions::{affinity, policy, quota, share_reports, shares};
use crate::id;
use crate::metrics::{self as metric_names, BoundedLabel};
use crate::protocol::{customers, routes, usage};
use crate::state::entries;

/// Most requests a second that a VM of unknown capacity may report.
const DEFAULT_MAX_PER_S: f64 = 20_000.0;

/// Factor on a VM's registered capacity, which is stated in requests of the usual size.
const CAPACITY_FACTOR: f64 = 4.0;

/// The labels of one series of the gauges: service and customer.
type Series = (sync::Arc<str>, sync::Arc<str>);

/// The part of a usage report that concerns shares.
#[derive(Debug, Default)]
pub(super) struct Report {
    pub(super) shares: Vec<usage::Share>,
    pub(super) lifetime_ms: u32,
    pub(super) share_rate: u32,
}

/// The demand of customers for services, and what was last shown of it.
#[derive(Debug)]
pub(super) struct State {
    /// Whether capacity is divided by customers. If not, nothing is counted.
    is_on: cell::Cell<bool>,
    shares: cell::RefCell<shares::Shares>,
    sender: cell::RefCell<share_reports::Sender>,
    /// Customers as metric labels, apart from those of services, which they would crowd out.
    labels: BoundedLabel,
    shown: cell::RefCell<collections::BTreeSet<Series>>,
}

impl State {
    pub(super) fn new(cfg: shares::Config, vm: &id::VmId) -> Self {
        let own = affinity::hash(vm.as_str().as_bytes());
        let sender = share_reports::Sender::new(&cfg, own, usage::share_header_bytes(vm));
        Self {
            sender: cell::RefCell::new(sender),
            is_on: cell::Cell::new(false),
            shares: cell::RefCell::new(shares::Shares::new(cfg)),
            labels: BoundedLabel::default(),
            shown: cell::RefCell::default(),
        }
    }
}

fn region_hash(region: Option<&id::RegionId>) -> u64 {
    region.map_or(0, |region| affinity::hash(region.as_str().as_bytes()))
}

fn pool_hash(service: &str, region: Option<&id::RegionId>) -> shares::PoolHash {
    let service = affinity::hash(service.as_bytes());
    affinity::mix(service, region_hash(region))
}

fn count(n: f64) -> u32 {
    n.round() as u32
}

impl Gateway {
    /// Whether capacity is divided by customers.
    pub(super) fn divides_by_shares(&self) -> bool {
        self.fair_shares.is_on.get()
    }

    /// Takes the customers and their weights from a new version of the routes.
    pub(super) fn set_share_weights(&self, table: &routes::Table) {
        let customers = &table.customers;
        let mode = self.cfg.thresholds.shares.mode;
        let is_on = mode.is_on(self.cfg.contended && customers.has_quotas());
        self.fair_shares.is_on.set(is_on);
        let spread = self.cfg.thresholds.shares.spread.is_on(true);
        self.quotas.borrow_mut().set_spread(is_on && spread);
        let owner = |customer: &customers::Customer| shares::Customer {
            weight: customers.weight(customer),
            max: quotas::limit_of(customer)
                .map_or(f64::INFINITY, |limit| self.cfg.quota.max_admitted(&limit)),
        };
        let all = customers.iter().filter(|_| is_on);
        let owners = all.map(|c| (quotas::quota_name(c), owner(c)));
        self.fair_shares.shares.borrow_mut().set_customers(owners);
    }

    /// The pool in which a request competes: that of this region, or that of the first one where it
    /// may run. Requests without homes that other regions serve count here too: those regions take
    /// them only with capacity that nobody there asks for.
    fn pool(&self, service: &str, facts: &facts::Facts) -> shares::PoolHash {
        let homes = facts.homes();
        let own = self.region.as_ref();
        if homes.includes(own) {
            return pool_hash(service, own);
        }
        let mut named = homes.route.iter().chain(homes.customer);
        pool_hash(service, named.find(|region| homes.includes(Some(region))))
    }

    /// Calls a function with the pool and the customer of a request; `None` if it has no customer or
    /// the part is off.
    fn with_share<T>(
        &self,
        service: &str,
        facts: &facts::Facts,
        f: impl FnOnce(&mut shares::Shares, policy::Moment, shares::PoolHash, quota::NameHash) -> T,
    ) -> Option<T> {
        if !self.divides_by_shares() {
            return None;
        }
        let customer = quotas::quota_name(facts.customer()?);
        let pool = self.pool(service, facts);
        let mut shares = self.fair_shares.shares.borrow_mut();
        Some(f(&mut shares, self.now(), pool, customer))
    }

    /// Whether the customer of a request is within its fair share of a service's capacity.
    pub(super) fn is_within_share(&self, service: &id::ServiceId, facts: &facts::Facts) -> bool {
        self.with_share(service.as_str(), facts, shares::Shares::is_within)
            .unwrap_or(true)
    }

    /// The standing of a request's customer while the service is short of capacity.
    pub(super) fn share_standing(
        &self,
        service: &str,
        facts: &facts::Facts,
    ) -> Option<shares::Standing> {
        self.with_share(service, facts, shares::Shares::standing)?
    }

    /// Counts an admitted request that asks for capacity.
    pub(super) fn count_asked(&self, service: &id::ServiceId, facts: &facts::Facts) {
        self.with_share(service.as_str(), facts, shares::Shares::asked);
    }

    /// Counts a request for which a backend server was reserved.
    pub(super) fn count_got(&self, service: &id::ServiceId, facts: &facts::Facts) {
        self.with_share(service.as_str(), facts, shares::Shares::got);
    }

    /// Records that a request was refused or queued for lack of capacity.
    pub(super) fn count_found_none(&self, service: &id::ServiceId, facts: &facts::Facts) {
        if self.divides_by_shares() {
            let pool = self.pool(service.as_str(), facts);
            let mut shares = self.fair_shares.shares.borrow_mut();
            shares.found_none(self.now(), pool);
        }
    }

    /// Whether a service is short of capacity here or at another VM, so that demand is reported.
    pub(super) fn reports_shares(&self) -> bool {
        self.divides_by_shares() && self.fair_shares.shares.borrow().any_short(self.now())
    }

    /// Removes what customers that no longer ask left behind.
    pub(super) fn clean_up_shares(&self, now: policy::Moment) {
        if self.divides_by_shares() {
            self.fair_shares.shares.borrow_mut().clean_up(now);
        }
    }

    /// The demand to report now, of the VMs that get reports.
    pub(super) fn due_shares(&self, receivers: &[quota::NameHash]) -> Vec<share_reports::Datagram> {
        let now = self.now();
        let rows = self.fair_shares.shares.borrow_mut().reports(now);
        let handling = self.handling_vms();
        let handles = |vm, pool| handling.get(&pool).is_some_and(|vms| vms.contains(&vm));
        let mut sender = self.fair_shares.sender.borrow_mut();
        sender.clean_up(now, receivers);
        sender.due(now, &rows, receivers, handles)
    }

    /// The VMs that callers of each pool's region are sent to.
    fn handling_vms(&self) -> collections::HashMap<shares::PoolHash, rc::Rc<[quota::NameHash]>> {
        let Some(table) = self.table() else {
            return collections::HashMap::new();
        };
        let mut regions: Vec<Option<&id::RegionId>> = self.cfg.regions.values().map(Some).collect();
        regions.push(self.region.as_ref());
        regions.sort_unstable();
        regions.dedup();
        let mut handling = collections::HashMap::new();
        for region in regions {
            let vms = self.advertised_hashes(region);
            let pools = table.services.keys();
            let pools = pools.map(|service| pool_hash(service.as_str(), region));
            handling.extend(pools.map(|pool| (pool, vms.clone())));
        }
        handling
    }

    /// A datagram with shares to one of `receiver_count` VMs.
    pub(super) fn share_report(
        &self,
        datagram: &share_reports::Datagram,
        receiver_count: usize,
    ) -> Report {
        let share = |row: &shares::Row| usage::Share {
            pool: row.pool,
            customer: row.customer,
            got: count(row.demand.got),
            asked: count(row.demand.asked),
        };
        let mut sender = self.fair_shares.sender.borrow_mut();
        Report {
            shares: datagram.rows.iter().map(share).collect(),
            lifetime_ms: datagram.lifetime.as_millis() as u32,
            share_rate: count(sender.stated(self.now(), receiver_count)),
        }
    }

    /// Counts bytes of quota usage that were sent, against the budget of reports.
    pub(super) fn count_usage_sent(&self, bytes: usize) {
        if self.divides_by_shares() {
            let mut sender = self.fair_shares.sender.borrow_mut();
            sender.count_quota_sent(self.now(), bytes);
        }
    }

    /// Counts a received report, and records which pools its VM handles.
    pub(super) fn count_usage_received(&self, usage: &usage::Usage, bytes: usize) {
        if !self.divides_by_shares() {
            return;
        }
        let mut sender = self.fair_shares.sender.borrow_mut();
        if usage.shares.is_empty() {
            sender.count_quota_received(self.now(), bytes);
            return;
        }
        let vm = affinity::hash(usage.vm.as_str().as_bytes());
        let pools = usage.shares.iter().map(|share| share.pool);
        sender.received(self.now(), vm, pools, usage.share_rate.into());
    }

    /// Applies the demand that another VM reports.
    pub(super) fn apply_shares(&self, usage: &usage::Usage) {
        if usage.sent_ms == 0 || !self.divides_by_shares() {
            return;
        }
        let vm = &usage.vm;
        let row = |share: &usage::Share| shares::Row {
            pool: share.pool,
            customer: share.customer,
            demand: shares::Demand {
                got: f64::from(share.got),
                asked: f64::from(share.asked),
            },
        };
        let rows: Vec<shares::Row> = usage.shares.iter().map(row).collect();
        let max_per_s = max_per_s(self.entries.borrow().get(vm));
        let report = shares::Report {
            vm: affinity::hash(vm.as_str().as_bytes()),
            start_ms: usage.start,
            sent_at: policy::Moment::from_millis(usage.sent_ms),
            lifetime: match usage.lifetime_ms {
                0 => shares::MAX_REPORT_AGE,
                ms => time::Duration::from_millis(ms.into()).min(share_reports::MAX_LIFETIME),
            },
            rows: &rows,
        };
        let mut state = self.fair_shares.shares.borrow_mut();
        let Err(err) = state.apply(self.now(), &report, max_per_s) else {
            return;
        };
        metrics::counter!(metric_names::PEER_REFUSED).increment(1);
        if let Some(left_out) = self.log_limiter.admit_rarely("shares", self.now()) {
            slog::warn!(self.log, "shares in a usage report ignored"; "vm" => %vm, "error" => %err, "left_out" => left_out);
        }
    }

    /// Sets the gauges of shares and use. Customers beyond the bound on labels are summed.
    pub(super) fn set_share_gauges(&self) {
        if !self.divides_by_shares() && self.fair_shares.shown.borrow().is_empty() {
            return;
        }
        let mut values: collections::BTreeMap<Series, (f64, f64)> = collections::BTreeMap::new();
        let mut shown = self.fair_shares.shown.borrow_mut();
        // A customer that no longer competes shows zeros rather than its last values.
        for series in std::mem::take(&mut *shown) {
            values.insert(series, (0.0, 0.0));
        }
        if let Some(table) = self.table() {
            self.add_standings(&table, &mut values);
        }
        for ((service, customer), (share, used)) in values {
            gauge!(metric_names::CUSTOMER_SHARE, "service" => service.clone(), "customer" => customer.clone()).set(share);
            gauge!(metric_names::CUSTOMER_USE, "service" => service.clone(), "customer" => customer.clone()).set(used);
            if used > 0.0 {
                shown.insert((service, customer));
            }
        }
    }

    fn add_standings(
        &self,
        table: &routes::Table,
        values: &mut collections::BTreeMap<Series, (f64, f64)>,
    ) {
        let now = self.now();
        let mut shares = self.fair_shares.shares.borrow_mut();
        for service in table.services.keys() {
            let pool = pool_hash(service.as_str(), self.region.as_ref());
            if !shares.is_short(now, pool) {
                continue;
            }
            for customer in table.customers.iter() {
                let name = quotas::quota_name(customer);
                let Some(standing) = shares.standing(now, pool, name) else {
                    continue;
                };
                let series = (
                    self.labels.label(service.as_str()),
                    self.fair_shares.labels.label(customer.name.as_str()),
                );
                let (share, used) = values.entry(series).or_default();
                *share += standing.share;
                *used += standing.used;
            }
        }
    }
}

/// The most requests a second that a report of an entry VM may claim.
fn max_per_s(entry: Option<&entries::Entry>) -> f64 {
    match entry.map_or(0, |entry| entry.requests_per_s) {
        0 => DEFAULT_MAX_PER_S,
        capacity => f64::from(capacity) * CAPACITY_FACTOR,
    }
}
