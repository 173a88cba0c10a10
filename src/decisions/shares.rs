//! Decides which customers are within their fair share of a service that is short of capacity.
//!
//! Load pattern: a service has less capacity than is requested, and one customer sends several times
//! its usual demand. Served in the order of arrival, each customer is refused in proportion to what
//! it asks for, so customers that keep to their usual demand are refused nearly as often as the one
//! that causes the shortage.
//!
//! Capacity is divided by weighted max-min fairness ([`level`]): what a customer does not ask for
//! goes to the others, in proportion to their weights. The inputs are the requests of the last second
//! that asked for and got capacity, here and on other VMs as far as they report. A customer whose
//! demand fits into its share is within it. One that asks for more is above it from
//! [`Config::margin`] of the share on: it gets what the others leave, but nothing that they need. At
//! the whole share it would compete with them for the last slots, since its share is measured by what
//! it got.
//!
//! A pool is the capacity of one service in one region. A customer with homes asks only in the pools
//! of these regions, so it competes only there.
//!
//! Reports may be wrong. One that claims more than its VM can handle is ignored, a customer counts
//! with at most what its quota lets in and what a VM handles of its pool, and whatever the reports
//! say, each VM counts a customer as within its share until it got its weight's part of what this VM
//! itself gave out. The sum of these parts over all VMs never exceeds the customer's share. On a small
//! VM this part is less than one request a second, so that it is saved up over seconds (`MAX_SAVED`).

use std::collections;
use std::time;

use super::{mode, policy, precedence, quota, range, window};

/// Thresholds.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Whether capacity is divided by customers.
    pub mode: mode::Mode,
    /// The part of its share that a customer which asks for more gets before the others.
    pub margin: f64,
    /// Whether the remaining quota of a customer near its limit is spread over the quota's window,
    /// where the part is in use. Not by default: spread requests are refused more often, and no more
    /// are served.
    pub spread: mode::Mode,
    /// The most bytes per second that a VM sends, and that it receives, in usage reports. Usage of
    /// quotas is sent whatever its volume; shares get what it leaves.
    pub max_report_bytes_per_s: f64,
    /// The part of it that shares get where usage of quotas leaves less, in bytes per second.
    pub min_report_bytes_per_s: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            mode: mode::Mode::Auto,
            margin: 0.9,
            spread: mode::Mode::Off,
            max_report_bytes_per_s: 9000.0,
            min_report_bytes_per_s: 1500.0,
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("shares.margin", self.margin, 0.1..=1.0)?;
        range::check(
            "shares.max_report_bytes_per_s",
            self.max_report_bytes_per_s,
            0.0..=1e7,
        )?;
        range::check(
            "shares.min_report_bytes_per_s",
            self.min_report_bytes_per_s,
            0.0..=1e7,
        )
    }
}

/// Identifies a pool: hash of the service and the region.
pub type PoolHash = u64;

/// In the place of a customer: the sum of all customers that a VM does not list.
pub const REST: quota::NameHash = 0;

/// Span over which requests are counted. Shorter spans hold too few requests of small customers.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Age from which a report of another VM is ignored if it states no longer lifetime.
pub const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1500);

/// How long computed shares are used: counts of a second change little within a tenth of it.
const SHARE_LIFETIME: time::Duration = time::Duration::from_millis(100);

/// Requests that a customer may ask for above its share by chance.
const CHANCE_REQUEST_COUNT: f64 = 2.0;

/// Requests of a customer's part of what a VM gives out that it may use later. Arrivals vary by one or
/// two.
const MAX_SAVED: f64 = 2.0;

/// How many times the mean of all VMs one of them may handle. Callers are spread evenly, apart from
/// chance and from customers with few callers. It takes effect where more VMs than that handle a pool.
const MAX_PART: f64 = 4.0;

/// The longest time for which a part is saved at once, as its rate may have changed since.
const MAX_SAVED_SPAN: time::Duration = time::Duration::from_secs(2);

/// Period of the comparison of clocks: longer than an overload of some seconds that delays reports.
const CLOCK_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Interval at which counters of customers without requests are removed.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// A customer as an owner of shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Customer {
    /// Its weight.
    pub weight: f64,
    /// The most requests that its quota lets in within a second.
    pub max: f64,
}

/// Requests of one customer in the last second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that got capacity.
    pub got: f64,
    /// Requests that asked for it.
    pub asked: f64,
}

/// Demand of one customer in one pool, as one VM reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The pool.
    pub pool: PoolHash,
    /// The customer.
    pub customer: quota::NameHash,
    /// Its requests on the reporting VM.
    pub demand: Demand,
}

/// What one VM reports.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// The reporting VM, and the start of its process, which sets its clock to zero.
    pub vm: quota::NameHash,
    /// See [`Report::vm`].
    pub start_ms: quota::StartMs,
    /// When it sent the report, by its own clock.
    pub sent_at: policy::Moment,
    /// How long its rows count.
    pub lifetime: time::Duration,
    /// The demand that it knows.
    pub rows: &'a [Row],
}

/// How far the clock of another VM is behind this one's, in seconds, by the report that took the
/// shortest time in this period and the one before. Older ones do not count: clocks differ in rate,
/// and that of a suspended VM stands still.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    start_ms: quota::StartMs,
    least: [f64; 2],
    period: u64,
}

/// A report that claims more than its VM can handle, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error(
    "it claims {claimed:.0} requests a second, and its VM handles at most {max:.0}; its shares are ignored"
)]
pub struct Absurd {
    /// What it claims.
    pub claimed: f64,
    /// The maximum.
    pub max: f64,
}

/// A customer's share of a pool that is short of capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Its fair share, in requests per second; infinite if all demand fits.
    pub share: f64,
    /// Its requests of the last second that got capacity on any VM.
    pub used: f64,
    /// Whether it is above its share.
    pub is_above: bool,
}

/// What one customer asks for, and its weight.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Its weight, above zero.
    pub weight: f64,
    /// Its demand.
    pub demand: f64,
}

/// Divides `room` by weighted max-min fairness. Returns the level: a claim's share is its weight
/// times the level. It is infinite if all demand fits. Sorts the claims.
pub fn level(room: f64, claims: &mut [Claim]) -> f64 {
    if claims.iter().map(|claim| claim.demand).sum::<f64>() <= room {
        return f64::INFINITY;
    }
    claims.sort_unstable_by(|a, b| (a.demand / a.weight).total_cmp(&(b.demand / b.weight)));
    let mut left = room;
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        let level = (left / weights).max(0.0);
        if claim.demand > level * claim.weight {
            return level;
        }
        left -= claim.demand;
        weights -= claim.weight;
    }
    f64::INFINITY
}

/// Whether a request of a customer above its share leaves the rest of this VM's limit on requests in
/// flight at a backend server to others. It uses a `part` of the limit, or all of it while slots are
/// free: two VMs at their limits fill a backend server before its load keeps such requests out.
pub fn leaves_rest(in_flight: usize, limit: usize, part: f64, load_per_slot: f64) -> bool {
    load_per_slot >= 1.0 && in_flight as f64 + 1.0 > limit as f64 * part
}

/// Last report of one VM on one customer.
#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    vm: quota::NameHash,
    until: policy::Moment,
    demand: Demand,
}

/// Sum of what the peers report, each at most `max`.
fn peers_total(peers: &mut Vec<PeerDemand>, now: policy::Moment, max: f64) -> Demand {
    peers.retain(|peer| now <= peer.until);
    let mut total = Demand::default();
    for peer in peers {
        total.got += peer.demand.got.min(max);
        total.asked += peer.demand.asked.min(max);
    }
    total
}

/// The requests in sums of peers that got nothing. Each counts at most a multiple of the mean of the
/// rest, so that one wrong sum takes nothing from the shares of others.
fn unmet(rests: &[PeerDemand]) -> f64 {
    let each = rests
        .iter()
        .map(|r| (r.demand.asked - r.demand.got).max(0.0));
    let sum: f64 = each.clone().sum();
    let largest = each.clone().fold(0.0, f64::max);
    // This VM's own are not among them, but it is one of the rest.
    let max = MAX_PART * (sum - largest) / rests.len().max(1) as f64;
    each.map(|n| n.min(max)).sum()
}

fn replace(peers: &mut Vec<PeerDemand>, new: PeerDemand) {
    peers.retain(|peer| peer.vm != new.vm);
    peers.push(new);
}

/// Counters of one customer in one pool.
#[derive(Clone, Debug)]
struct Account {
    asked: window::Counts,
    got: window::Counts,
    peers: Vec<PeerDemand>,
    /// Sums of the peers' reports, and of all requests that asked, when shares were last computed.
    peers_got: f64,
    asked_total: f64,
    share: f64,
    /// Whether the customer asks for more than its share.
    exceeds: bool,
    /// Its weight's part of what this VM gave out.
    own_part: f64,
    /// Requests of this part that it has not used; below zero if it used more, by at most the part
    /// of a second.
    saved: f64,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            asked: window::Counts::new(WINDOW),
            got: window::Counts::new(WINDOW),
            peers: Vec::new(),
            peers_got: 0.0,
            asked_total: 0.0,
            share: f64::INFINITY,
            exceeds: false,
            own_part: 0.0,
            saved: MAX_SAVED,
        }
    }
}

impl Account {
    fn own(&mut self, now: policy::Moment) -> Demand {
        Demand {
            got: self.got.sum(now),
            asked: self.asked.sum(now),
        }
    }

    /// The demand on all VMs whose reports are recent.
    fn total(&mut self, now: policy::Moment, max_row: f64) -> Demand {
        let peers = peers_total(&mut self.peers, now, max_row);
        self.peers_got = peers.got;
        let mut total = self.own(now);
        total.asked += peers.asked;
        total.got += peers.got;
        // A queued request may have asked before the window.
        total.asked = total.asked.max(total.got);
        self.asked_total = total.asked;
        total
    }

    fn is_used(&mut self, now: policy::Moment) -> bool {
        self.peers.retain(|peer| now <= peer.until);
        !self.peers.is_empty() || self.own(now) != Demand::default()
    }

    fn standing(&mut self, now: policy::Moment, margin: f64) -> Standing {
        let own = self.got.sum(now);
        let used = own + self.peers_got;
        let has_own_part = own + 1.0 > self.own_part * margin && self.saved < 1.0;
        Standing {
            share: self.share,
            used,
            is_above: self.exceeds && used >= self.share * margin && has_own_part,
        }
    }
}

/// The demand for one pool.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// Set by requests that found no capacity here.
    short: precedence::Precedence,
    /// Until when a report of another VM says that its requests found none.
    peers_short_until: policy::Moment,
    computed_at: Option<policy::Moment>,
    accounts: collections::HashMap<quota::NameHash, Account>,
    /// What other VMs report as the sum of customers that they do not list.
    rests: Vec<PeerDemand>,
}

impl Pool {
    /// The most requests of one customer that a VM's report counts for: a multiple of the mean of
    /// all VMs that handle the pool.
    fn max_row(&mut self, now: policy::Moment) -> f64 {
        let mut vms: collections::HashSet<quota::NameHash> = collections::HashSet::new();
        let mut total = 0.0;
        for account in self.accounts.values_mut() {
            total += account.own(now).asked;
            let peers = account.peers.iter().filter(|peer| now <= peer.until);
            for peer in peers {
                vms.insert(peer.vm);
                total += peer.demand.asked;
            }
        }
        for peer in self.rests.iter().filter(|peer| now <= peer.until) {
            vms.insert(peer.vm);
            total += peer.demand.asked;
        }
        MAX_PART * total / (vms.len() + 1) as f64
    }

    fn is_short(&self, now: policy::Moment) -> bool {
        self.short.yields(now) || now < self.peers_short_until
    }
}

/// The demand of all customers for all pools, here and as other VMs report it.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    cfg: Config,
    customers: collections::HashMap<quota::NameHash, Customer>,
    pools: collections::HashMap<PoolHash, Pool>,
    claims: Vec<Claim>,
    clocks: collections::HashMap<quota::NameHash, ClockOffset>,
    cleaned_up_at: policy::Moment,
}

impl Shares {
    /// Creates an empty state.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Sets the customers. The counters of others are dropped.
    pub fn set_customers(
        &mut self,
        customers: impl IntoIterator<Item = (quota::NameHash, Customer)>,
    ) {
        /// A quota may be zero; without any weight its customer would starve.
        const MIN_WEIGHT: f64 = 1e-3;
        let customers = customers.into_iter().map(|(name, customer)| {
            let weight = customer.weight.max(MIN_WEIGHT);
            (name, Customer { weight, ..customer })
        });
        self.customers = customers.collect();
        for pool in self.pools.values_mut() {
            let known = |customer: &quota::NameHash| self.customers.contains_key(customer);
            pool.accounts.retain(|customer, _| known(customer));
            pool.computed_at = None;
        }
    }

    /// Counts a request that asks for capacity.
    pub fn asked(&mut self, now: policy::Moment, pool: PoolHash, customer: quota::NameHash) {
        if !self.customers.contains_key(&customer) {
            return;
        }
        let pool = self.pools.entry(pool).or_default();
        let account = pool.accounts.entry(customer).or_default();
        account.asked.add(now, 1.0);
    }

    /// Counts a request that got capacity.
    pub fn got(&mut self, now: policy::Moment, pool: PoolHash, customer: quota::NameHash) {
        if let Some(account) = self.account(pool, customer) {
            account.got.add(now, 1.0);
            account.saved = (account.saved - 1.0).max(-account.own_part);
        }
    }

    /// Records that a request found no capacity, and was refused or queued.
    pub fn found_none(&mut self, now: policy::Moment, pool: PoolHash) {
        self.pools.entry(pool).or_default().short.refused(now);
    }

    fn account(&mut self, pool: PoolHash, customer: quota::NameHash) -> Option<&mut Account> {
        self.pools.get_mut(&pool)?.accounts.get_mut(&customer)
    }

    /// Whether requests found no capacity in the last second, here or at another VM.
    pub fn is_short(&self, now: policy::Moment, pool: PoolHash) -> bool {
        self.pools.get(&pool).is_some_and(|pool| pool.is_short(now))
    }

    /// Whether any pool is short of capacity.
    pub fn any_short(&self, now: policy::Moment) -> bool {
        self.pools.values().any(|pool| pool.is_short(now))
    }

    /// Whether a customer is within its share of a pool. All are while it is not short of capacity.
    pub fn is_within(
        &mut self,
        now: policy::Moment,
        pool: PoolHash,
        customer: quota::NameHash,
    ) -> bool {
        let standing = self.standing(now, pool, customer);
        standing.is_none_or(|standing| !standing.is_above)
    }

    /// A customer's share of a pool; `None` while it is not short of capacity.
    pub fn standing(
        &mut self,
        now: policy::Moment,
        pool: PoolHash,
        customer: quota::NameHash,
    ) -> Option<Standing> {
        let margin = self.cfg.margin;
        let known = self.pools.get_mut(&pool)?;
        if !known.is_short(now) {
            return None;
        }
        let is_old = |at| now.saturating_sub(at) >= SHARE_LIFETIME;
        if known.computed_at.is_none_or(is_old) {
            self.compute(now, pool);
        }
        Some(self.account(pool, customer)?.standing(now, margin))
    }

    /// Computes the shares of all customers of a pool.
    fn compute(&mut self, now: policy::Moment, pool: PoolHash) {
        let Some(pool) = self.pools.get_mut(&pool) else {
            return;
        };
        let computed_at = pool.computed_at.replace(now).unwrap_or(now);
        let span = now.saturating_sub(computed_at).min(MAX_SAVED_SPAN);
        self.claims.clear();
        let weight =
            |customer: &quota::NameHash| self.customers.get(customer).map_or(0.0, |c| c.weight);
        let max_row = pool.max_row(now);
        let (mut room, mut own_room, mut weights) = (0.0, 0.0, 0.0);
        for (customer, account) in &mut pool.accounts {
            let total = account.total(now, max_row);
            if total.asked <= 0.0 {
                continue;
            }
            room += total.got;
            own_room += account.got.sum(now);
            weights += weight(customer);
            self.claims.push(Claim {
                weight: weight(customer),
                demand: total.asked,
            });
        }
        // The customers that others sum up are not known here, so that all of them divide the sum.
        let rest = peers_total(&mut pool.rests, now, f64::INFINITY);
        if rest.got > 0.0 {
            weights = self.customers.values().map(|c| c.weight).sum();
            room += rest.got;
            self.claims.push(Claim {
                weight: weights,
                demand: rest.got + unmet(&pool.rests),
            });
        }
        let level = level(room, &mut self.claims);
        for (customer, account) in &mut pool.accounts {
            account.share = weight(customer) * level;
            account.exceeds = account.asked_total > account.share + CHANCE_REQUEST_COUNT;
            account.own_part = weight(customer) / f64::max(weights, f64::MIN_POSITIVE) * own_room;
            let saved = account.own_part * self.cfg.margin * span.as_secs_f64();
            account.saved = (account.saved + saved).min(MAX_SAVED);
        }
    }

    /// The demand on this VM in pools that are short of capacity, the largest first.
    pub fn reports(&mut self, now: policy::Moment) -> Vec<Row> {
        self.clean_up(now);
        let mut rows = Vec::new();
        for (pool, known) in &mut self.pools {
            if !known.is_short(now) {
                continue;
            }
            let accounts = known.accounts.iter_mut();
            rows.extend(accounts.map(|(customer, account)| Row {
                pool: *pool,
                customer: *customer,
                demand: account.own(now),
            }));
        }
        rows.retain(|row| row.demand.asked > 0.0 || row.demand.got > 0.0);
        rows.sort_unstable_by(|a, b| {
            let by_demand = b.demand.asked.total_cmp(&a.demand.asked);
            by_demand.then_with(|| (a.pool, a.customer).cmp(&(b.pool, b.customer)))
        });
        rows
    }

    /// When a report was sent, by this VM's clock. A VM that was paused, or whose link was congested,
    /// receives reports late, and would take them for recent ones.
    fn sent_at(&mut self, now: policy::Moment, report: &Report<'_>) -> policy::Moment {
        let behind_s = now.as_secs_f64() - report.sent_at.as_secs_f64();
        let period = now.as_secs() / CLOCK_PERIOD.as_secs();
        let known = self.clocks.get(&report.vm).copied();
        let least = match known.filter(|clock| clock.start_ms == report.start_ms) {
            Some(clock) if clock.period == period => [clock.least[0].min(behind_s), clock.least[1]],
            Some(clock) if clock.period + 1 == period => [behind_s, clock.least[0]],
            _ => [behind_s; 2],
        };
        let clock = ClockOffset {
            start_ms: report.start_ms,
            least,
            period,
        };
        self.clocks.insert(report.vm, clock);
        let least_s = least[0].min(least[1]);
        let late = time::Duration::from_secs_f64(behind_s - least_s);
        now.saturating_sub(late)
    }

    /// Applies another VM's report. `max_per_s` is the most that it can handle. Rows of unknown
    /// customers, and of pools in which this VM has no requests, are left out.
    pub fn apply(
        &mut self,
        now: policy::Moment,
        report: &Report<'_>,
        max_per_s: f64,
    ) -> Result<(), Absurd> {
        let (vm, rows) = (report.vm, report.rows);
        let sent_at = self.sent_at(now, report);
        let got: f64 = rows.iter().map(|row| row.demand.got).sum();
        let asked = rows.iter().map(|row| row.demand.asked);
        let claimed = asked.fold(got, f64::max);
        if claimed > max_per_s {
            return Err(Absurd {
                claimed,
                max: max_per_s,
            });
        }
        for row in rows {
            let Some(pool) = self.pools.get_mut(&row.pool) else {
                continue;
            };
            let customer = self.customers.get(&row.customer);
            let max = match customer {
                Some(customer) => customer.max,
                None if row.customer == REST => f64::INFINITY,
                None => continue,
            };
            if row.demand.asked > row.demand.got {
                pool.peers_short_until = pool.peers_short_until.max(sent_at + MAX_REPORT_AGE);
            }
            let reported = PeerDemand {
                vm,
                until: sent_at + report.lifetime,
                demand: Demand {
                    got: row.demand.got.min(max),
                    asked: row.demand.asked.min(max),
                },
            };
            match customer {
                Some(_) => {
                    let account = pool.accounts.entry(row.customer).or_default();
                    replace(&mut account.peers, reported);
                }
                None => replace(&mut pool.rests, reported),
            }
        }
        Ok(())
    }

    /// Removes the counters of customers without recent requests.
    pub fn clean_up(&mut self, now: policy::Moment) {
        if now.saturating_sub(self.cleaned_up_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_up_at = now;
        let period = now.as_secs() / CLOCK_PERIOD.as_secs();
        let clocks = &mut self.clocks;
        clocks.retain(|_, clock| clock.period + 1 >= period);
        for pool in self.pools.values_mut() {
            let is_short = pool.is_short(now);
            pool.accounts.retain(|_, account| {
                account.is_used(now) || (is_short && account.saved < MAX_SAVED)
            });
        }
        self.pools
            .retain(|_, pool| !pool.accounts.is_empty() || pool.is_short(now));
    }
}
