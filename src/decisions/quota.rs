//! Enforces each customer's quota as one bound over all entry VMs.
//!
//! Load pattern: one customer sends a multiple of its quota through several entry VMs at once.
//! Admitted, it would take slots that other customers pay for, and their requests are refused or
//! late. An equal part of the quota per VM refuses customers that keep to their quota, because their
//! callers use only a few of the VMs.
//!
//! The fleet admits at most [`Bound::most`] requests of a customer in any window. Each VM reports
//! what it admits to its peers ([`Ledger::news`]). The remaining quota is split by recent demand, and
//! each VM admits at most its share until the next reports, so the total keeps the bound despite
//! propagation delay, and nothing is refused while quota remains. The rules for peers that are
//! partitioned, new or killed are stated at the functions that apply them.

use std::collections;
use std::marker;
use std::time;

use super::{policy, window};

/// Fleet-wide bound on the admitted requests of one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Length of the sliding window.
    pub window: time::Duration,
    /// Requests admitted above the quota, as a share of the quota.
    pub over: f64,
    /// Fixed number of requests admitted on top of that.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(5),
            over: 0.1,
            slack: 20.0,
        }
    }
}

/// Quota of one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Additional requests at one moment.
    pub burst: f64,
}

impl Bound {
    /// Number of requests per window that a customer within its limit sends at most.
    pub fn allowed(&self, limit: &Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Maximum number of requests that the fleet admits in one window.
    pub fn most(&self, limit: &Limit) -> f64 {
        self.allowed(limit) * (1.0 + self.over) + self.slack
    }

    /// Target for the admitted requests per window. The margin below the bound covers requests that
    /// are admitted but not yet reported: a share of the bound in a surge, and single requests on
    /// many VMs for a small limit.
    fn target(&self, limit: &Limit) -> f64 {
        const UNTOLD: f64 = 0.09;
        const SINGLE: f64 = 0.5;
        let most = self.most(limit);
        let left = f64::max(most * UNTOLD, self.slack * SINGLE);
        (most - left).max(self.allowed(limit).min(most))
    }
}

/// Hash of the name of a customer or an entry VM.
pub type Name = u64;

/// Wall-clock start time of a process, in milliseconds.
pub type Start = u64;

/// VMs whose start times differ by more than this were not killed together.
const TOGETHER_MS: Start = 2000;

/// Time without a report after which a peer counts as silent. Each VM reports at least twice per
/// second, and one message may be lost.
pub const SILENT: time::Duration = time::Duration::from_millis(1300);

/// Time without a report after which a VM that no longer serves is assumed to admit nothing.
pub const GONE: time::Duration = time::Duration::from_secs(10);

/// Age from which a report is late. During a surge, each VM reports every 100 ms.
const LATE: time::Duration = time::Duration::from_millis(250);

/// Ratio by which the target is lowered while peers are silent.
const IN_A_CUT: f64 = 0.9;

/// Usual upper bound on the propagation delay of a report.
const WAY: time::Duration = time::Duration::from_millis(100);

/// How long a VM uses a computed cap before it computes the next one.
const PLAN: time::Duration = time::Duration::from_millis(100);

/// Number of window steps over which demand is measured: one second of a window of five.
const LATELY: usize = 4;

/// Minimum downtime of a restart: the process exits, starts and reads the current settings.
const DOWN: time::Duration = time::Duration::from_millis(500);

/// Usage of one customer as reported by one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told {
    /// Requests admitted in the window that ends with the report.
    pub used: f64,
    /// Requests admitted per second since the previous report.
    pub pace: f64,
    /// Recent requests, whether admitted or refused.
    pub asked: f64,
}

/// Last report of one peer on one customer.
#[derive(Clone, Copy, Debug)]
struct Row {
    told: Told,
    /// The peer's share of the fleet's demand at the last report.
    share: f64,
    /// The peer's demand divided by this VM's demand at the last report.
    ratio: f64,
}

/// State of one peer.
#[derive(Clone, Debug)]
struct Other {
    heard: policy::Moment,
    /// Identifies the process; a later process of the same VM has a larger value.
    start: Start,
    rows: collections::HashMap<Name, Row>,
    /// Usage of the peer's previous process, and the end of that usage.
    before: collections::HashMap<Name, f64>,
    before_at: policy::Moment,
}

impl Other {
    /// Usage of the previous process that still lies in the window, assuming an even rate.
    fn before(&self, now: policy::Moment, customer: Name, window: time::Duration) -> f64 {
        let age = now.saturating_sub(self.before_at).as_secs_f64();
        let left = (1.0 - age / window.as_secs_f64()).max(0.0);
        self.before.get(&customer).map_or(0.0, |used| used * left)
    }
}

/// A customer's quota and usage as known to this VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Fleet-wide target for the admitted requests per window.
    pub target: f64,
    /// Requests that this VM admitted in the current window.
    pub own: f64,
    /// Requests that peers admitted in the window, as reported or estimated.
    pub others: f64,
    /// This VM's share of the fleet's demand.
    pub share: f64,
    /// Number of VMs that admit requests, including this one.
    pub speakers: usize,
    /// Number of entry VMs.
    pub vms: usize,
}

impl Standing {
    /// Requests that the fleet may still admit.
    fn room(&self) -> f64 {
        self.target - self.own - self.others
    }

    /// Whether the remaining quota outlasts the propagation delay of reports even in a surge.
    fn is_roomy(&self) -> bool {
        const PART: f64 = 0.2;
        self.room() >= self.target * PART
    }
}

/// Policy that splits a customer's quota among VMs.
pub trait Sharing {
    /// Whether the policy depends on reports of peers.
    const TOLD: bool = true;

    /// Number of requests that this VM may admit in the current window.
    fn cap(standing: &Standing) -> f64;
}

/// Splits the remaining quota by recent demand, on top of what the VM has already admitted.
#[derive(Clone, Copy, Debug)]
pub struct ByDemand;

impl Sharing for ByDemand {
    fn cap(s: &Standing) -> f64 {
        /// Share of the remaining quota admitted per cap. Peers' concurrent admissions become known
        /// only two or three caps later.
        const AT_ONCE: f64 = 0.4;
        /// Number of caps until the peers' concurrent admissions are known.
        const PLANS: f64 = 2.0;
        let room = s.room();
        if room <= 0.0 {
            return s.own + room * s.share;
        }
        // A VM without recent demand may use its equal part of what the fleet can admit until reports
        // arrive, in whole requests: requests of small customers arrive irregularly.
        let least = (room / PLANS / s.speakers as f64).floor();
        s.own + f64::max(room * s.share * AT_ONCE, least)
    }
}

/// Gives each VM the whole remaining quota that it knows of.
#[derive(Clone, Copy, Debug)]
pub struct UntilFull;

impl Sharing for UntilFull {
    fn cap(s: &Standing) -> f64 {
        s.target - s.others
    }
}

/// Gives each VM the same part of the quota regardless of demand. Needs no reports.
#[derive(Clone, Copy, Debug)]
pub struct Evenly;

impl Sharing for Evenly {
    const TOLD: bool = false;

    fn cap(s: &Standing) -> f64 {
        s.target / s.vms.max(1) as f64
    }
}

/// Counters of one customer on this VM.
#[derive(Clone, Debug)]
struct Account {
    limit: Limit,
    used: window::Counts,
    asked: window::Counts,
    /// Number of requests that may be admitted until the next cap, and when the cap was computed.
    cap: f64,
    planned: Option<policy::Moment>,
    /// Whether the customer was near its limit at the last check.
    near: bool,
    /// Last report sent to peers.
    told: Told,
    /// When the admission rate was last read, and requests admitted since then.
    looked: policy::Moment,
    since: f64,
}

impl Account {
    fn new(bound: &Bound, limit: Limit) -> Self {
        Self {
            limit,
            used: window::Counts::new(bound.window),
            asked: window::Counts::new(bound.window),
            cap: 0.0,
            planned: None,
            near: false,
            told: Told::default(),
            looked: policy::Moment::ZERO,
            since: 0.0,
        }
    }

    /// Counts an admitted request.
    fn let_in(&mut self, now: policy::Moment) {
        self.used.add(now, 1.0);
        self.since += 1.0;
    }

    /// Requests admitted per second since the previous call, without those that chance alone
    /// explains. Resets the measurement.
    fn pace(&mut self, now: policy::Moment) -> f64 {
        /// Minimum span in seconds; a shorter one gives no meaningful rate.
        const SHORT: f64 = 0.05;
        /// Number of requests that may arrive close together by chance.
        const CHANCE: f64 = 2.0;
        let span = now.saturating_sub(self.looked).as_secs_f64();
        let since = std::mem::take(&mut self.since);
        self.looked = now;
        (since - CHANCE).max(0.0) / span.max(SHORT)
    }
}

/// Recent admissions of this VM during a surge. A peer whose reports are late may have been
/// partitioned when the surge began, so its admissions are assumed to rise as on this VM.
#[derive(Debug)]
struct Surge {
    used: window::Counts,
    now: policy::Moment,
}

impl Surge {
    fn of(account: &Account, now: policy::Moment) -> Self {
        Self {
            used: account.used.clone(),
            now,
        }
    }

    /// Estimated usage of a peer if its admissions rise as on this VM; 0 if this VM has no surge.
    fn expected(&mut self, row: &Row, age: time::Duration, window: time::Duration) -> f64 {
        /// Ratio of recent to average admissions above which there is a surge.
        const TIMES: f64 = 1.5;
        /// Maximum ratio of a peer's estimated admissions to those of this VM.
        const MOST: f64 = 2.0;
        let part = (age.as_secs_f64() / window.as_secs_f64()).min(1.0);
        let steps = (part * window::STEPS as f64).ceil();
        let recent = self.used.last(self.now, steps as usize);
        let usual = self.used.sum(self.now) * steps / window::STEPS as f64;
        if recent <= usual * TIMES {
            return 0.0;
        }
        row.told.used * (1.0 - part) + recent * row.ratio.min(MOST)
    }
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Time until the recently refused requests would find quota, at the rate at which it is freed.
    pub after: time::Duration,
    /// The customer's quota and usage on this VM.
    pub standing: Standing,
    /// Largest age of a peer's last report; `None` if there are no peers.
    pub heard: Option<time::Duration>,
}

/// Usage of all customers on this VM, and the reports of its peers.
#[derive(Clone, Debug)]
pub struct Ledger<S> {
    bound: Bound,
    started: policy::Moment,
    start: Start,
    /// Customers that were near their limit when this VM started.
    inherited: collections::HashSet<Name>,
    accounts: collections::HashMap<Name, Account>,
    others: collections::HashMap<Name, Other>,
    /// Other VMs to which callers are sent.
    expected: Vec<Name>,
    /// Other VMs to which callers are sent if the expected ones are busy.
    next: Vec<Name>,
    /// Whether a peer still lacks a report of all customers from this VM.
    owes_whole: bool,
    vms: usize,
    sharing: marker::PhantomData<S>,
}

impl<S: Sharing> Ledger<S> {
    /// Creates an empty ledger. `started` is the process start on the monotonic clock, `start` in
    /// wall-clock time.
    pub fn new(bound: Bound, started: policy::Moment, start: Start) -> Self {
        Self {
            bound,
            started,
            start,
            inherited: collections::HashSet::new(),
            accounts: collections::HashMap::new(),
            others: collections::HashMap::new(),
            expected: Vec::new(),
            next: Vec::new(),
            owes_whole: false,
            vms: 1,
            sharing: marker::PhantomData,
        }
    }

    /// Sets the VMs to which callers are sent, those to which they are sent if these are busy, and
    /// the number of entry VMs.
    pub fn expect(&mut self, expected: Vec<Name>, next: Vec<Name>, vms: usize) {
        let mut all = expected.iter().chain(&next);
        self.owes_whole |= all.any(|vm| !self.expected.contains(vm) && !self.next.contains(vm));
        self.expected = expected;
        self.next = next;
        self.vms = vms;
    }

    /// Returns and clears whether a report of all customers is due because a peer has none yet.
    /// Without it, a VM to which callers are sent during a surge would admit again what its peers
    /// have already used.
    pub fn owes_whole(&mut self) -> bool {
        std::mem::take(&mut self.owes_whole)
    }

    /// Admits and counts a request, or refuses it. `tie` lies between 0 and 1 and rounds a fractional
    /// cap up or down.
    pub fn ask(
        &mut self,
        now: policy::Moment,
        customer: Name,
        limit: Limit,
        tie: f64,
    ) -> Result<(), Refused> {
        self.account(customer, limit).asked.add(now, 1.0);
        self.take(now, customer, limit, tie)
    }

    /// Admits a further send of an admitted request; it adds no demand.
    pub fn take(
        &mut self,
        now: policy::Moment,
        customer: Name,
        limit: Limit,
        tie: f64,
    ) -> Result<(), Refused> {
        let account = self.account(customer, limit);
        if account.planned.is_none_or(|at| now >= at + PLAN) {
            self.plan(now, customer, limit, tie);
        }
        let account = self.account(customer, limit);
        let own = account.used.sum(now);
        if own + 1.0 <= account.cap {
            account.let_in(now);
            return Ok(());
        }
        let standing = self.standing(now, customer, limit);
        if S::TOLD && standing.is_roomy() {
            self.account(customer, limit).let_in(now);
            return Ok(());
        }
        let after = self.room_after(now, customer, &standing);
        let heard = self.others.values().map(|other| other.heard).min();
        Err(Refused {
            after,
            standing,
            heard: heard.map(|at| now.saturating_sub(at)),
        })
    }

    /// Computes how many requests of a customer may be admitted until the next cap.
    fn plan(&mut self, now: policy::Moment, customer: Name, limit: Limit, tie: f64) {
        let standing = self.standing(now, customer, limit);
        let cap = S::cap(&standing);
        let account = self.account(customer, limit);
        account.cap = cap.floor() + f64::from(u8::from(cap - cap.floor() > tie));
        account.planned = Some(now);
    }

    /// Whether any customer has recent requests.
    pub fn is_active(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Whether a peer needs this VM's reports: callers are sent there, will be sent there if others
    /// are busy, or the peer has itself reported recently.
    pub fn concerns(&self, now: policy::Moment, vm: Name) -> bool {
        let speaks = |other: &Other| now.saturating_sub(other.heard) <= SILENT;
        let sent = self.expected.contains(&vm) || self.next.contains(&vm);
        sent || self.others.get(&vm).is_some_and(speaks)
    }

    /// Uncounts a request that was admitted at `then` but never ran.
    pub fn give_back(&mut self, now: policy::Moment, customer: Name, then: policy::Moment) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.used.take_back(now, then);
        }
    }

    fn account(&mut self, customer: Name, limit: Limit) -> &mut Account {
        let bound = &self.bound;
        let account = self
            .accounts
            .entry(customer)
            .or_insert_with(|| Account::new(bound, limit));
        if account.limit != limit {
            account.limit = limit;
            account.planned = None;
        }
        account
    }

    /// Computes a customer's quota and usage on this VM.
    fn standing(&mut self, now: policy::Moment, customer: Name, limit: Limit) -> Standing {
        let account = self.account(customer, limit);
        let used = account.used.sum(now);
        let lately = account.asked.last(now, LATELY);
        let mut surge = Surge::of(account, now);
        let mut target = self.bound.target(&limit);
        if self.has_silent(now, customer) {
            // Messages in transit make the two sides of a partition differ in what they know of each
            // other.
            target *= IN_A_CUT;
        }
        let strangers = self.strangers();
        let alone = self.is_alone(now);
        // Demand on all reporting peers, plus an estimate for those that have never reported.
        let mut asked = lately * (1 + strangers) as f64;
        let mut others = 0.0;
        let mut remembered = 0.0;
        for other in self.others.values() {
            others += other.before(now, customer, self.bound.window);
            let Some(row) = other.rows.get(&customer) else {
                continue;
            };
            let age = now.saturating_sub(other.heard);
            if age > SILENT {
                others += row.used(true, target);
                continue;
            }
            asked += row.told.asked;
            let expected = row.expected(age, self.bound.window);
            others += match age > LATE {
                true => expected.max(surge.expected(row, age, self.bound.window)),
                false => expected,
            };
            if other.start + TOGETHER_MS < self.start {
                remembered += row.told.used;
            }
        }
        let forgotten = self.forgotten(now, customer, &limit, remembered);
        let share = match (alone, asked > 0.0) {
            (true, _) => 1.0 / self.vms.max(1) as f64,
            (false, true) => (lately / asked).min(1.0),
            (false, false) => 1.0 / self.speakers() as f64,
        };
        Standing {
            target,
            own: used,
            others: others + used * strangers as f64 + forgotten,
            share,
            speakers: self.speakers(),
            vms: self.vms,
        }
    }

    /// Upper bound on the requests in the current window that were admitted by VMs killed together
    /// with this one: the limit minus what the surviving peers report, used at an even rate. Applies
    /// only to customers near their limit before the restart; for all customers it would refuse many
    /// that keep to their quota, just when their callers retry.
    fn forgotten(
        &self,
        now: policy::Moment,
        customer: Name,
        limit: &Limit,
        remembered: f64,
    ) -> f64 {
        if !self.inherited.contains(&customer) {
            return 0.0;
        }
        let up = (now.saturating_sub(self.started) + DOWN).as_secs_f64();
        let left = 1.0 - up / self.bound.window.as_secs_f64();
        (self.bound.allowed(limit) - remembered).max(0.0) * left.max(0.0)
    }

    /// Returns the customers near their limit. Stored outside the process, they bound the usage that
    /// nobody remembers after all VMs were killed.
    pub fn near_limits(&mut self, now: policy::Moment) -> Vec<Name> {
        /// Share of the target from which a customer is near its limit, and the lower share down to
        /// which it stays so. A customer below that can hardly use up the remaining quota and a full
        /// quota again within one window.
        const NEAR: f64 = 0.9;
        const STAYS: f64 = 0.7;
        let known: Vec<(Name, Limit, bool)> = self
            .accounts
            .iter()
            .map(|(name, account)| (*name, account.limit, account.near))
            .collect();
        let mut near = Vec::new();
        for (name, limit, was) in known {
            let standing = self.standing(now, name, limit);
            let part = 1.0 - standing.room() / standing.target;
            let is = part >= if was { STAYS } else { NEAR };
            self.account(name, limit).near = is;
            if is {
                near.push(name);
            }
        }
        near.sort_unstable();
        near
    }

    /// Restores the customers near their limit, as stored by VMs that may have been killed since.
    /// Ignored later than one window after the start.
    pub fn inherit(&mut self, now: policy::Moment, near: &[Name]) {
        if now.saturating_sub(self.started) < self.bound.window {
            self.inherited.extend(near);
        }
    }

    /// Number of VMs known or expected to admit requests.
    fn speakers(&self) -> usize {
        1 + self.strangers() + self.others.len()
    }

    /// Whether a peer that has reported usage of the customer is silent.
    fn has_silent(&self, now: policy::Moment, customer: Name) -> bool {
        let is_silent = |other: &Other| now.saturating_sub(other.heard) > SILENT;
        let mut silent = self.others.values().filter(|other| is_silent(other));
        silent.any(|other| other.rows.contains_key(&customer))
    }

    /// Number of expected peers without any report. Each is assumed to have this VM's demand and
    /// usage.
    fn strangers(&self) -> usize {
        let unheard = |vm: &&Name| !self.others.contains_key(vm);
        self.expected.iter().filter(unheard).count()
    }

    /// Whether all known peers have long been silent. Their callers, and this VM's, may have moved to
    /// other VMs by then.
    fn is_alone(&self, now: policy::Moment) -> bool {
        let long = |other: &Other| now.saturating_sub(other.heard) > GONE;
        !self.others.is_empty() && self.others.values().all(long)
    }

    /// Time until the recently refused requests would have found quota, at the rate at which it is
    /// freed.
    fn room_after(
        &mut self,
        now: policy::Moment,
        customer: Name,
        standing: &Standing,
    ) -> time::Duration {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return time::Duration::ZERO;
        };
        let window = self.bound.window.as_secs_f64();
        let pace = (standing.target * standing.share / window).max(0.1);
        let asked = account.asked.last(now, LATELY);
        let refused = (asked - account.used.last(now, LATELY)).max(1.0);
        time::Duration::from_secs_f64((refused / pace).min(window))
    }

    /// Applies a peer's report. `rows` replace its earlier usage of these customers; if `whole`, its
    /// usage of all other customers is zero.
    pub fn heard(
        &mut self,
        now: policy::Moment,
        vm: Name,
        start: Start,
        rows: impl IntoIterator<Item = (Name, Told)>,
        whole: bool,
    ) {
        let other = self.others.entry(vm).or_insert_with(|| Other {
            heard: now,
            start,
            rows: collections::HashMap::new(),
            before: collections::HashMap::new(),
            before_at: now,
        });
        if other.start != start {
            let silent = now.saturating_sub(other.heard) > SILENT;
            let limit_of = |customer: &Name| self.accounts.get(customer).map(|a| a.limit);
            let used = |(customer, row): (&Name, &Row)| {
                let target = limit_of(customer).map_or(0.0, |limit| self.bound.target(&limit));
                (*customer, row.used(silent, target))
            };
            other.before = other.rows.iter().map(used).collect();
            other.before_at = if silent { now } else { other.heard };
            other.rows.clear();
            other.start = start;
            self.owes_whole = true;
        }
        other.heard = now;
        if whole {
            other.rows.clear();
        }
        let rows: Vec<(Name, Told)> = rows.into_iter().collect();
        let accounts = &self.accounts;
        let ratio = |customer: Name, told: &Told| {
            let own = accounts.get(&customer).map_or(0.0, |own| own.told.asked);
            told.asked / own.max(1.0)
        };
        for (customer, told) in &rows {
            let row = Row {
                told: *told,
                share: 0.0,
                ratio: ratio(*customer, told),
            };
            other.rows.insert(*customer, row);
        }
        for (customer, told) in rows {
            let share = told.asked / self.asked_of_all(now, customer).max(1.0);
            let other = self.others.get_mut(&vm);
            if let Some(row) = other.and_then(|other| other.rows.get_mut(&customer)) {
                row.share = share;
            }
        }
    }

    /// Fleet-wide demand of a customer as all VMs know it: it includes this VM's last reported
    /// demand, not its current one. During a partition, both sides use the shares computed from it.
    fn asked_of_all(&self, now: policy::Moment, customer: Name) -> f64 {
        let own = self
            .accounts
            .get(&customer)
            .map(|account| account.told.asked);
        let others = self
            .others
            .values()
            .filter(|other| now.saturating_sub(other.heard) <= SILENT)
            .filter_map(|other| Some(other.rows.get(&customer)?.told.asked));
        own.unwrap_or_default() + others.sum::<f64>()
    }

    /// Removes peers that have long been silent and no longer serve, and unused accounts.
    pub fn forget(&mut self, now: policy::Moment, serves: impl Fn(Name) -> bool) {
        self.others
            .retain(|vm, other| now.saturating_sub(other.heard) <= GONE || serves(*vm));
        let bound = self.bound;
        self.accounts.retain(|_, account| {
            account.asked.sum(now) + account.used.sum(now) > 0.0 || bound.is_recent(account, now)
        });
    }

    /// Returns the reports due, customers closest to their limit first, at most `most`: with `whole`,
    /// all usage; otherwise usage that differs from the last report by more than a part of the
    /// remaining quota.
    pub fn news(&mut self, now: policy::Moment, whole: bool, most: usize) -> Vec<(Name, Told)> {
        let customers: Vec<(Name, Limit)> = self
            .accounts
            .iter()
            .map(|(name, account)| (*name, account.limit))
            .collect();
        let mut news: Vec<(f64, Name, Told)> = customers
            .into_iter()
            .filter_map(|(name, limit)| self.news_of(now, name, limit, whole))
            .collect();
        news.sort_by(|a, b| b.0.total_cmp(&a.0));
        news.truncate(most);
        for (_, name, told) in &news {
            if let Some(account) = self.accounts.get_mut(name) {
                account.told = *told;
            }
        }
        news.into_iter()
            .map(|(_, name, told)| (name, told))
            .collect()
    }

    fn news_of(
        &mut self,
        now: policy::Moment,
        name: Name,
        limit: Limit,
        whole: bool,
    ) -> Option<(f64, Name, Told)> {
        /// Share of the remaining quota that all VMs together may admit unreported.
        const UNTOLD: f64 = 0.25;
        /// Number of requests not worth a message, unless many VMs leave as many unreported.
        const FEW: f64 = 1.5;
        /// Share of the slack that all VMs together may leave unreported.
        const KEPT: f64 = 0.5;
        let standing = self.standing(now, name, limit);
        let account = self.accounts.get_mut(&name)?;
        let told = Told {
            used: standing.own,
            pace: account.pace(now),
            asked: account.asked.last(now, LATELY),
        };
        let taken = (standing.own + standing.others) / standing.target.max(1.0);
        let left = (standing.target * (1.0 - taken)).max(0.0);
        let speakers = (self.others.len() + 1) as f64;
        let few = (self.bound.slack * KEPT / speakers).min(FEW);
        let off = (told.used - account.told.used).abs();
        let due = match whole {
            true => told.used > 0.0 || told.asked > 0.0,
            // Peers extrapolate with the last reported rate until they receive another one.
            false => off > f64::max(left * UNTOLD / speakers, few) || account.told.pace > 0.0,
        };
        due.then_some((taken, name, told))
    }
}

impl Bound {
    /// Whether the account's cap was computed within the last window.
    fn is_recent(&self, account: &Account, now: policy::Moment) -> bool {
        account
            .planned
            .is_some_and(|at| now.saturating_sub(at) < self.window)
    }
}

impl Row {
    /// Usage of the peer: as reported or, if it is silent, its full share if that is larger. A silent
    /// peer may go on with its share, so both sides of a partition keep the bound without messages.
    fn used(&self, silent: bool, target: f64) -> f64 {
        match silent {
            true => self.told.used.max(self.share * target),
            false => self.told.used,
        }
    }

    /// Estimated current usage of the peer, extrapolated at its last reported rate.
    fn expected(&self, age: time::Duration, window: time::Duration) -> f64 {
        let leaves = self.told.used / window.as_secs_f64();
        let grows = (self.told.pace - leaves).max(0.0);
        self.told.used + grows * (age + WAY).as_secs_f64()
    }
}
