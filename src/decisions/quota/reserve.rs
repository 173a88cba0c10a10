//! What VMs reserve for peers that are silent, and for those killed together with them.

use std::time;

use super::{Ledger, Limit, NameHash, Peer, SILENCE_TIMEOUT, Sharing, UsageReport, peers};
use crate::decisions::policy;

/// Time without a report after which a peer's share is kept as it is. A peer that is cut off does not
/// learn of a surge, and a share that shrinks with others' demand would be less than what it uses.
pub(super) const SHARE_KEPT_AFTER: time::Duration = time::Duration::from_millis(600);

/// Part of the target that is split equally among the VMs that callers are sent to while peers are
/// silent. The rest is split by demand.
const EQUAL_SHARE: f64 = 0.25;

/// Minimum downtime of a restart: the process exits, starts and reads the current settings.
const RESTART_MIN_DOWNTIME: time::Duration = time::Duration::from_millis(500);

impl<S: Sharing> Ledger<S> {
    /// Upper bound on the requests in the current window that were admitted by VMs killed together
    /// with this one: the limit minus what the surviving peers report. If all VMs that callers are
    /// sent to report and started earlier, only the usage of this VM's previous process is missing,
    /// and its part of the limit by demand, at least an equal one, is an upper bound. Otherwise the
    /// usage of all is assumed to leave the window at an even rate. Applies only to customers near
    /// their limit before the restart; for all customers it would refuse many that keep to their
    /// quota, just when their callers retry.
    pub(super) fn lost_usage(
        &self,
        now: policy::Moment,
        customer: NameHash,
        limit: &Limit,
        reported_used: f64,
        own_share: f64,
    ) -> f64 {
        if !self.restored_near_limits.contains(&customer) {
            return 0.0;
        }
        let allowed = self.bound.allowed(limit);
        let killed_alone = self.expected_peers.iter().all(|vm| {
            self.peers
                .get(vm)
                .is_some_and(|peer| peer.started_before(self.start_ms))
        });
        if killed_alone {
            let ended_at = self.started_at.saturating_sub(RESTART_MIN_DOWNTIME);
            let left = peers::left_part(now, ended_at, self.bound.window);
            let most = allowed * own_share.max(1.0 / self.admitting_vms() as f64);
            return (allowed - reported_used).clamp(0.0, most) * left;
        }
        let uptime = (now.saturating_sub(self.started_at) + RESTART_MIN_DOWNTIME).as_secs_f64();
        let left = (1.0 - uptime / self.bound.window.as_secs_f64()).max(0.0);
        (allowed - reported_used).max(0.0) * left
    }

    /// Number of VMs that callers are sent to.
    fn caller_vms(&self) -> usize {
        self.expected_peers.len() + usize::from(self.gets_callers)
    }

    /// Part of the target that each VM that callers are sent to may use regardless of demand.
    fn equal_part(&self) -> f64 {
        EQUAL_SHARE / self.caller_vms().max(1) as f64
    }

    /// A peer's share of the target before scaling: its equal part and its share by demand.
    pub(super) fn share_of(
        &self,
        now: policy::Moment,
        vm: NameHash,
        peer: &Peer,
        customer: NameHash,
    ) -> f64 {
        let gets_callers = self.gets_callers_now(vm, peer);
        let equal_part = if gets_callers { self.equal_part() } else { 0.0 };
        equal_part + self.demand_share(now, vm, peer, customer)
    }

    /// Whether callers are sent to a peer, and were when it last reported. A VM that callers were not
    /// sent to does not report, so its silence proves nothing.
    fn gets_callers_now(&self, vm: NameHash, peer: &Peer) -> bool {
        peer.gets_callers && self.expected_peers.contains(&vm)
    }

    /// A peer's share by demand. A peer that fell silent before there was any demand takes an equal
    /// share, since it knows of no other VM's demand.
    fn demand_share(
        &self,
        now: policy::Moment,
        vm: NameHash,
        peer: &Peer,
        customer: NameHash,
    ) -> f64 {
        match peer.rows.get(&customer) {
            Some(row) => row.share,
            None if self.is_late(now, peer)
                && self.gets_callers_now(vm, peer)
                && self.was_idle(peer.reported_at, customer) =>
            {
                self.idle_share()
            }
            None => 0.0,
        }
    }

    /// Share by demand of a VM that callers are sent to, if no VM has demand.
    fn idle_share(&self) -> f64 {
        (1.0 - EQUAL_SHARE) / self.caller_vms().max(1) as f64
    }

    /// This VM's share by demand.
    fn own_demand_share(&self, customer: NameHash) -> f64 {
        let received_at = self.received_at.unwrap_or_default();
        match self.accounts.get(&customer) {
            Some(account) if account.share > 0.0 => account.share,
            _ if self.gets_callers && self.was_idle(received_at, customer) => self.idle_share(),
            _ => 0.0,
        }
    }

    /// Whether a peer's share is kept as it is, because the peer may have fallen silent.
    fn is_late(&self, now: policy::Moment, peer: &Peer) -> bool {
        !peer.has_ended(now) && now.saturating_sub(peer.reported_at) > SHARE_KEPT_AFTER
    }

    /// Whether no VM had reported demand for the customer shortly before `at`.
    fn was_idle(&self, at: policy::Moment, customer: NameHash) -> bool {
        let own = self
            .accounts
            .get(&customer)
            .and_then(|account| account.reported_since);
        let rows = self
            .peers
            .values()
            .filter_map(|peer| peer.rows.get(&customer));
        let first = rows.map(|row| row.since).chain(own).min();
        first.is_none_or(|first| at < first + SHARE_KEPT_AFTER)
    }

    /// Sums of the shares of all VMs, by which they are scaled, and of the silent ones. Each VM's share
    /// is computed when it reports, so that the sum is not exactly 1.
    pub(super) fn sum_shares(&self, now: policy::Moment, customer: NameHash) -> (f64, f64) {
        if !self.peers.values().any(|peer| peer.is_silent(now)) {
            return (1.0, 0.0);
        }
        let own_part = if self.gets_callers {
            self.equal_part()
        } else {
            0.0
        };
        let own_share = own_part + self.own_demand_share(customer);
        // A VM that callers reach although none are sent to it gets the share of one more such VM.
        let mut all = match own_share > 0.0 {
            true => own_share,
            false => 1.0 / (self.caller_vms() + 1) as f64,
        };
        let mut silent = 0.0;
        let peers = self.peers.iter().filter(|(_, peer)| !peer.has_ended(now));
        for (vm, peer) in peers {
            let share = self.share_of(now, *vm, peer, customer);
            all += share;
            if peer.is_silent(now) {
                silent += share;
            }
        }
        (all, silent)
    }

    /// Computes this VM's share as the peers do, if a report has arrived since the last time: a VM
    /// that is cut off keeps the share that the others know.
    pub(super) fn update_own_share(
        &mut self,
        now: policy::Moment,
        customer: NameHash,
        limit: Limit,
    ) {
        let received_at = self.received_at;
        let account = self.account(customer, limit);
        if account.share_set_at >= received_at {
            return;
        }
        let report = account.report;
        let share = self.share_by_demand(now, customer, &report);
        let account = self.account(customer, limit);
        (account.share, account.share_set_at) = (share, received_at);
    }

    /// Requests that a silent peer has admitted or may admit in the window: what it reported, as
    /// long as that may lie in the window, or its share if that is larger.
    pub(super) fn silent_used(
        &self,
        now: policy::Moment,
        peer: &Peer,
        customer: NameHash,
        share: f64,
    ) -> f64 {
        let is_recent = now.saturating_sub(peer.reported_at) <= self.bound.window;
        let row = peer.rows.get(&customer).filter(|_| is_recent);
        row.map_or(share, |row| row.report.used.max(share))
    }

    /// Requests that a process in a planned stop has admitted when it ends: as reported or, if it
    /// could not report for long before, its share if that is larger.
    pub(super) fn ended_used(
        &self,
        now: policy::Moment,
        vm: NameHash,
        peer: &Peer,
        customer: NameHash,
        target: f64,
    ) -> f64 {
        let unreported = peer.ends_at.unwrap_or(now).saturating_sub(peer.reported_at);
        let share = match unreported > SILENCE_TIMEOUT {
            true => self.share_of(now, vm, peer, customer) * target,
            false => 0.0,
        };
        let row = peer.rows.get(&customer);
        row.map_or(share, |row| {
            let used = row.extrapolated_used(unreported, self.bound.window);
            used.min(target).max(share)
        })
    }

    /// A reporting peer's share of the target by demand: its part of what the silent peers' shares
    /// and the equal parts leave. All VMs know the same reports, so both sides of a partition compute
    /// the same shares.
    pub(super) fn share_by_demand(
        &self,
        now: policy::Moment,
        customer: NameHash,
        report: &UsageReport,
    ) -> f64 {
        let own = self
            .accounts
            .get(&customer)
            .map(|account| account.report.weight());
        let mut silent_share = 0.0;
        let mut weight = own.unwrap_or_default();
        for (vm, peer) in &self.peers {
            if self.is_late(now, peer) {
                silent_share += self.demand_share(now, *vm, peer, customer);
            } else if let Some(row) = peer.rows.get(&customer).filter(|_| !peer.has_ended(now)) {
                weight += row.report.weight();
            }
        }
        let left = (1.0 - EQUAL_SHARE - silent_share).max(0.0);
        left * report.weight() / weight.max(1.0)
    }
}
