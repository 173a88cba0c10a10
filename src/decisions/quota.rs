//! Enforces each customer's quota as one bound over all entry VMs.
//!
//! Load pattern: one customer sends a multiple of its quota through several entry VMs at once.
//! Admitted, it would take slots that other customers pay for, and their requests are refused or
//! late. An equal part of the quota per VM refuses customers that keep to their quota, because their
//! callers use only a few of the VMs.
//!
//! The fleet admits at most [`Bound::max_admitted`] requests of a customer in any window. Each VM
//! reports what it admits to its peers ([`Ledger::due_reports`]). The remaining quota is split by
//! recent demand, and each VM admits at most its share until the next reports, so the total keeps the
//! bound despite propagation delay, and nothing is refused while quota remains. The rules for peers
//! that are partitioned, new or killed are stated at the functions that apply them.
//!
//! While peers do not report, the target (less a margin for reports in transit) is divided among all VMs:
//! a fixed part equally among those that callers are sent to, the rest by demand. All VMs compute a
//! VM's share from the same reports and keep it as it was at its last one; the shares of the others
//! divide what it leaves. The shares thus sum to at most 1 in every view, and a VM that is cut off
//! admits at most the share that all others reserve for it. Why the total keeps the bound in each
//! case:
//! - Peers stop reporting one after the other: later shares divide only what the earlier ones leave.
//! - No demand was known when a VM was cut off: all VMs that callers are sent to get equal shares.
//! - A peer had used more than its share: its reported usage counts for one window, after which it
//!   has left the window, and the peer itself admits nothing beyond its share in the meantime.
//! - A planned stop: the process states until when it admits requests; from then on it can add
//!   nothing, and only its usage within the window counts.
//! - A restart: peers count the usage of the previous process within the window. The new process,
//!   which does not know that usage, counts a bound on it; if all its peers are older processes that
//!   report, only its own part of the quota can be missing.
//! - A cut of more than a window ends: a peer counts as not reporting until its first full report.
//!
//! Not covered: a VM restarts after a customer that was far from its limit began to send a multiple
//! of it, so that its new process does not know what the previous one admitted; and VMs that receive
//! different sets of the others, which compute different shares.

mod account;
mod bound;
mod peers;
mod reports;
mod reserve;
mod sharing;

use std::collections;
use std::marker;
use std::time;

use super::{policy, spread};
use account::{Account, Surge};
pub use bound::{Bound, Limit};
use peers::{Peer, PeerUsage};
pub use peers::{SILENCE_TIMEOUT, StartMs, UsageReport};
pub use sharing::{ByDemand, Evenly, QuotaState, Sharing, UntilFull};

/// Hash of the name of a customer or an entry VM.
pub type NameHash = u64;

/// VMs whose start times differ by more than this were not killed together.
const JOINT_RESTART_SPREAD_MS: StartMs = 2000;

/// Time without a report after which a VM that no longer serves is assumed to admit nothing.
pub const DEPARTED_PEER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Age from which a report is late. During a surge, each VM reports every 100 ms.
const REPORT_LATE_AFTER: time::Duration = time::Duration::from_millis(250);

/// Factor applied to the target while peers are silent; the margin covers reports in transit.
const PARTITION_TARGET_RATIO: f64 = 0.9;

/// How long a VM uses a computed cap before it computes the next one.
const CAP_LIFETIME: time::Duration = time::Duration::from_millis(100);

/// Number of window steps over which demand is measured: one second of a window of five.
const DEMAND_WINDOW_STEPS: usize = 4;

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Time until the recently refused requests would find quota, at the rate at which it is freed.
    pub retry_after: time::Duration,
    /// The customer's quota and usage on this VM.
    pub state: QuotaState,
    /// Whether the remaining quota is spread over the window, so that not all of it may be used yet.
    pub is_spread: bool,
    /// Largest age of a peer's last report; `None` if there are no peers.
    pub oldest_report_age: Option<time::Duration>,
}

/// Usage of all customers on this VM, and the reports of its peers.
#[derive(Clone, Debug)]
pub struct Ledger<S> {
    bound: Bound,
    started_at: policy::Moment,
    start_ms: StartMs,
    /// Customers that were near their limit when this VM started.
    restored_near_limits: collections::HashSet<NameHash>,
    accounts: collections::HashMap<NameHash, Account>,
    peers: collections::HashMap<NameHash, Peer>,
    /// Other VMs to which callers are sent.
    expected_peers: Vec<NameHash>,
    /// Whether callers are sent to this VM.
    gets_callers: bool,
    /// Whether this VM is known to be registered, so that its peers keep a share for it.
    is_registered: bool,
    /// When the last report of any peer arrived.
    received_at: Option<policy::Moment>,
    /// Other VMs to which callers are sent if the expected ones are busy.
    standby_peers: Vec<NameHash>,
    /// Whether a peer still lacks a report of all customers from this VM.
    full_report_due: bool,
    vm_count: usize,
    /// Whether the remaining quota of a customer near its limit is spread over the window.
    spread: bool,
    sharing: marker::PhantomData<S>,
}

impl<S: Sharing> Ledger<S> {
    /// Creates an empty ledger. `started_at` is the process start on the monotonic clock, `start_ms`
    /// in wall-clock time.
    pub fn new(bound: Bound, started_at: policy::Moment, start_ms: StartMs) -> Self {
        Self {
            bound,
            started_at,
            start_ms,
            restored_near_limits: collections::HashSet::new(),
            accounts: collections::HashMap::new(),
            peers: collections::HashMap::new(),
            expected_peers: Vec::new(),
            gets_callers: true,
            is_registered: true,
            received_at: None,
            standby_peers: Vec::new(),
            full_report_due: false,
            vm_count: 1,
            spread: false,
            sharing: marker::PhantomData,
        }
    }

    /// Sets the VMs to which callers are sent, those to which they are sent if these are busy, and
    /// the number of entry VMs.
    pub fn set_peers(
        &mut self,
        expected_peers: Vec<NameHash>,
        standby_peers: Vec<NameHash>,
        vm_count: usize,
    ) {
        let mut all = expected_peers.iter().chain(&standby_peers);
        self.full_report_due |=
            all.any(|vm| !self.expected_peers.contains(vm) && !self.standby_peers.contains(vm));
        self.expected_peers = expected_peers;
        self.standby_peers = standby_peers;
        self.vm_count = vm_count;
    }

    /// Sets whether callers are sent to this VM, so that its peers keep an equal part for it.
    pub fn set_gets_callers(&mut self, gets_callers: bool) {
        self.gets_callers = gets_callers;
    }

    /// Sets whether this VM is known to be registered. Its peers keep a share for it as long as it is.
    pub fn set_registered(&mut self, is_registered: bool) {
        self.is_registered = is_registered;
    }

    /// Sets whether the remaining quota of a customer near its limit is spread over the window.
    pub fn set_spread(&mut self, spread: bool) {
        if std::mem::replace(&mut self.spread, spread) == spread {
            return;
        }
        let accounts = self.accounts.values_mut();
        accounts.for_each(|account| account.spread = spread::Spread::default());
    }

    /// Like [`Ledger::admit`]. While the remaining quota is spread, more urgent requests go first;
    /// `rank` 0 is the most urgent.
    pub fn admit_ranked(
        &mut self,
        now: policy::Moment,
        customer: NameHash,
        limit: Limit,
        tie: f64,
        rank: u32,
    ) -> Result<(), Refused> {
        self.account(customer, limit).demand.add(now, 1.0);
        self.refresh_cap(now, customer, limit, tie);
        if !self.account(customer, limit).spread.admits(now, rank) {
            let state = self.state(now, customer, limit);
            return Err(self.refused(now, customer, state));
        }
        self.admit_resend(now, customer, limit, tie)?;
        self.account(customer, limit).spread.spend();
        Ok(())
    }

    /// Admits and counts a request, or refuses it. `tie` lies between 0 and 1 and rounds a fractional
    /// cap up or down.
    pub fn admit(
        &mut self,
        now: policy::Moment,
        customer: NameHash,
        limit: Limit,
        tie: f64,
    ) -> Result<(), Refused> {
        self.account(customer, limit).demand.add(now, 1.0);
        self.admit_resend(now, customer, limit, tie)
    }

    /// Admits a further send of an admitted request; it adds no demand.
    pub fn admit_resend(
        &mut self,
        now: policy::Moment,
        customer: NameHash,
        limit: Limit,
        tie: f64,
    ) -> Result<(), Refused> {
        self.refresh_cap(now, customer, limit, tie);
        let account = self.account(customer, limit);
        let used = account.used.sum(now);
        if used + 1.0 <= account.cap {
            account.count_admitted(now);
            return Ok(());
        }
        let state = self.state(now, customer, limit);
        if S::USES_REPORTS && state.is_ample() {
            self.account(customer, limit).count_admitted(now);
            return Ok(());
        }
        Err(self.refused(now, customer, state))
    }

    fn refused(&mut self, now: policy::Moment, customer: NameHash, state: QuotaState) -> Refused {
        let oldest = self.peers.values().map(|peer| peer.reported_at).min();
        Refused {
            retry_after: self.retry_delay(now, customer, &state),
            is_spread: self
                .accounts
                .get(&customer)
                .is_some_and(|account| account.spread.is_active()),
            state,
            oldest_report_age: oldest.map(|at| now.saturating_sub(at)),
        }
    }

    /// Computes how many requests of a customer may be admitted until the next cap, if the last one
    /// has expired.
    fn refresh_cap(&mut self, now: policy::Moment, customer: NameHash, limit: Limit, tie: f64) {
        let account = self.account(customer, limit);
        if account.cap_set_at.is_some_and(|at| now < at + CAP_LIFETIME) {
            return;
        }
        let state = self.state(now, customer, limit);
        if self.spread {
            self.update_spread(now, customer, limit, &state);
        }
        let cap = S::cap(&state);
        let account = self.account(customer, limit);
        account.cap = cap.floor() + f64::from(u8::from(cap - cap.floor() > tie));
        account.cap_set_at = Some(now);
    }

    fn update_spread(
        &mut self,
        now: policy::Moment,
        customer: NameHash,
        limit: Limit,
        state: &QuotaState,
    ) {
        let window_s = self.bound.window.as_secs_f64();
        let allowed_per_s = self.bound.allowed(&limit) / window_s;
        let account = self.account(customer, limit);
        let demand = account.demand.last(now, DEMAND_WINDOW_STEPS);
        let usage = spread::Usage {
            demand_ratio: demand / (allowed_per_s * state.share).max(f64::MIN_POSITIVE),
            remaining_share: state.remaining() / state.target.max(f64::MIN_POSITIVE),
            quota_per_s: state.target * state.share / window_s,
            leaving_per_s: account.used.first(now, DEMAND_WINDOW_STEPS),
        };
        account.spread.update(now, &usage);
    }

    /// Whether any customer has recent requests.
    pub fn is_active(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Uncounts a request that was admitted at `admitted_at` but never ran.
    pub fn give_back(
        &mut self,
        now: policy::Moment,
        customer: NameHash,
        admitted_at: policy::Moment,
    ) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.used.take_back(now, admitted_at);
        }
    }

    fn account(&mut self, customer: NameHash, limit: Limit) -> &mut Account {
        let bound = &self.bound;
        let account = self
            .accounts
            .entry(customer)
            .or_insert_with(|| Account::new(bound, limit));
        if account.limit != limit {
            account.limit = limit;
            account.cap_set_at = None;
        }
        account
    }

    /// Computes a customer's quota and usage on this VM.
    fn state(&mut self, now: policy::Moment, customer: NameHash, limit: Limit) -> QuotaState {
        self.update_own_share(now, customer, limit);
        let account = self.account(customer, limit);
        let used = account.used.sum(now);
        let own_demand = account.demand.last(now, DEMAND_WINDOW_STEPS);
        let mut surge = Surge::of(account, now);
        let mut target = self.bound.target(&limit);
        let (all_shares, silent_shares) = self.sum_shares(now, customer);
        if silent_shares > 0.0 {
            // The two sides of a partition know different usage: reports were in transit.
            target *= PARTITION_TARGET_RATIO;
        }
        let unseen_peers = self.unseen_peers();
        let isolated = self.is_isolated(now);
        // Demand on all reporting peers, plus an estimate for those that have never reported.
        let mut demand = own_demand * (1 + unseen_peers) as f64;
        let mut peers_used = 0.0;
        let mut reported_used = 0.0;
        for (vm, peer) in &self.peers {
            peers_used += peer.previous_used(now, customer, self.bound.window);
            let age = now.saturating_sub(peer.reported_at);
            if peer.is_silent(now) {
                let share =
                    self.share_of(now, *vm, peer, customer) / all_shares.max(f64::MIN_POSITIVE);
                peers_used += self.silent_used(now, peer, customer, share * target);
                continue;
            }
            let Some(row) = peer.rows.get(&customer) else {
                if age > reserve::SHARE_KEPT_AFTER && peer.gets_callers && !peer.has_ended(now) {
                    let estimated =
                        surge.estimated_used(&PeerUsage::default(), age, self.bound.window);
                    let share = self.share_of(now, *vm, peer, customer);
                    peers_used += estimated.min(share * target);
                }
                continue;
            };
            if peer.has_ended(now) {
                let ended_at = peer.ends_at.unwrap_or(now);
                peers_used += self.ended_used(now, *vm, peer, customer, target)
                    * peers::left_part(now, ended_at, self.bound.window);
                continue;
            }
            demand += row.report.demand;
            let extrapolated = row.extrapolated_used(age, self.bound.window);
            peers_used += match age > REPORT_LATE_AFTER {
                true => extrapolated.max(surge.estimated_used(row, age, self.bound.window)),
                false => extrapolated,
            };
            if peer.started_before(self.start_ms) {
                reported_used += row.report.used;
            }
        }
        let lost_usage = self.lost_usage(
            now,
            customer,
            &limit,
            reported_used,
            own_demand / demand.max(1.0),
        );
        let share = match (isolated, demand > 0.0) {
            (true, _) => 1.0 / self.vm_count.max(1) as f64,
            (false, true) => (own_demand / demand).min(1.0),
            (false, false) => 1.0 / self.admitting_vms() as f64,
        };
        QuotaState {
            target,
            own_used: used,
            peers_used: peers_used + used * unseen_peers as f64 + lost_usage,
            share,
            admitting_vms: self.admitting_vms(),
            vm_count: self.vm_count,
        }
    }

    /// Returns the customers near their limit. Stored outside the process, they bound the usage that
    /// nobody remembers after all VMs were killed.
    pub fn near_limits(&mut self, now: policy::Moment) -> Vec<NameHash> {
        /// Share of the target from which a customer is near its limit, and the lower share down to
        /// which it stays so. A customer below that can hardly use up the remaining quota and a full
        /// quota again within one window.
        const NEAR_LIMIT_SHARE: f64 = 0.9;
        const NEAR_LIMIT_EXIT_SHARE: f64 = 0.7;
        let customers: Vec<(NameHash, Limit, bool)> = self
            .accounts
            .iter()
            .map(|(name, account)| (*name, account.limit, account.near_limit))
            .collect();
        let mut near = Vec::new();
        for (name, limit, was_near) in customers {
            let state = self.state(now, name, limit);
            let used_share = 1.0 - state.remaining() / state.target;
            let is_near = used_share
                >= if was_near {
                    NEAR_LIMIT_EXIT_SHARE
                } else {
                    NEAR_LIMIT_SHARE
                };
            self.account(name, limit).near_limit = is_near;
            if is_near {
                near.push(name);
            }
        }
        near.sort_unstable();
        near
    }

    /// Restores the customers near their limit, as stored by VMs that may have been killed since.
    /// Ignored later than one window after the start.
    pub fn restore_near_limits(&mut self, now: policy::Moment, near: &[NameHash]) {
        if now.saturating_sub(self.started_at) < self.bound.window {
            self.restored_near_limits.extend(near);
        }
    }

    /// Number of VMs known or expected to admit requests.
    fn admitting_vms(&self) -> usize {
        1 + self.unseen_peers() + self.peers.len()
    }

    /// Number of expected peers without any report. Each is assumed to have this VM's demand and
    /// usage.
    fn unseen_peers(&self) -> usize {
        let unseen = |vm: &&NameHash| !self.peers.contains_key(vm);
        self.expected_peers.iter().filter(unseen).count()
    }

    /// Whether all known peers have not reported for long and may have removed this VM, since it is not
    /// known to be registered. Their callers, and this VM's, may have moved to other VMs by then.
    fn is_isolated(&self, now: policy::Moment) -> bool {
        let long_silent =
            |peer: &Peer| now.saturating_sub(peer.reported_at) > DEPARTED_PEER_TIMEOUT;
        !self.is_registered && !self.peers.is_empty() && self.peers.values().all(long_silent)
    }

    /// Time until the recently refused requests would have found quota, at the rate at which it is
    /// freed.
    fn retry_delay(
        &mut self,
        now: policy::Moment,
        customer: NameHash,
        state: &QuotaState,
    ) -> time::Duration {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return time::Duration::ZERO;
        };
        let window = self.bound.window.as_secs_f64();
        let share_per_s = (state.target * state.share / window).max(0.1);
        let demand = account.demand.last(now, DEMAND_WINDOW_STEPS);
        let refused = (demand - account.used.last(now, DEMAND_WINDOW_STEPS)).max(1.0);
        time::Duration::from_secs_f64((refused / share_per_s).min(window))
    }
}
