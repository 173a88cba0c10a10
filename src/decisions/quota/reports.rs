//! Reports between VMs.

use std::collections;
use std::time;

use super::{
    DEMAND_WINDOW_STEPS, DEPARTED_PEER_TIMEOUT, JOINT_RESTART_SPREAD_MS, Ledger, Limit, NameHash,
    Peer, PeerUsage, SILENCE_TIMEOUT, Sharing, StartMs, UsageReport,
};
use crate::decisions::policy;

impl<S: Sharing> Ledger<S> {
    /// Returns and clears whether a report of all customers is due because a peer has none yet.
    /// Without it, a VM to which callers are sent during a surge would admit again what its peers
    /// have already used.
    pub fn take_full_report_due(&mut self) -> bool {
        std::mem::take(&mut self.full_report_due)
    }

    /// Whether a peer needs this VM's reports: callers are sent there, will be sent there if others
    /// are busy, or the peer has itself reported recently.
    pub fn needs_reports(&self, now: policy::Moment, vm: NameHash) -> bool {
        let reports = |peer: &Peer| now.saturating_sub(peer.reported_at) <= SILENCE_TIMEOUT;
        let gets_callers = self.expected_peers.contains(&vm) || self.standby_peers.contains(&vm);
        gets_callers || self.peers.get(&vm).is_some_and(reports)
    }

    /// Applies a peer's report. `rows` replace its earlier usage of these customers; if `whole`, its
    /// usage of all other customers is zero.
    pub fn apply_report(
        &mut self,
        now: policy::Moment,
        vm: NameHash,
        start_ms: StartMs,
        rows: impl IntoIterator<Item = (NameHash, UsageReport)>,
        whole: bool,
    ) {
        let peer = self.peers.entry(vm).or_insert_with(|| Peer {
            reported_at: now,
            start_ms,
            rows: collections::HashMap::new(),
            previous_usage: collections::HashMap::new(),
            previous_end: now,
            ends_at: None,
            returned_at: None,
            gets_callers: false,
        });
        if peer.start_ms != start_ms {
            self.replace_process(now, vm, start_ms);
        }
        let Some(peer) = self.peers.get_mut(&vm) else {
            return;
        };
        if peer.gets_callers && now.saturating_sub(peer.reported_at) > self.bound.window {
            peer.returned_at = Some(now);
            self.full_report_due = true;
        }
        if whole {
            peer.returned_at = None;
        }
        peer.reported_at = now;
        peer.gets_callers = self.expected_peers.contains(&vm);
        self.received_at = Some(now);
        let before = match whole {
            true => std::mem::take(&mut peer.rows),
            false => collections::HashMap::new(),
        };
        let rows: Vec<(NameHash, UsageReport)> = rows.into_iter().collect();
        let accounts = &self.accounts;
        let ratio = |customer: NameHash, report: &UsageReport| {
            let own_demand = accounts
                .get(&customer)
                .map_or(0.0, |account| account.report.demand);
            report.demand / own_demand.max(1.0)
        };
        for (customer, report) in &rows {
            let known = peer.rows.get(customer).or(before.get(customer));
            let row = PeerUsage {
                report: *report,
                share: 0.0,
                ratio: ratio(*customer, report),
                since: known.map_or(now, |row| row.since),
            };
            peer.rows.insert(*customer, row);
        }
        for (customer, report) in rows {
            let share = self.share_by_demand(now, customer, &report);
            let peer = self.peers.get_mut(&vm);
            if let Some(row) = peer.and_then(|peer| peer.rows.get_mut(&customer)) {
                row.share = share;
            }
        }
    }

    /// Starts the row of a peer's next process. The usage of the previous one is kept as long as it
    /// may lie in the window.
    fn replace_process(&mut self, now: policy::Moment, vm: NameHash, start_ms: StartMs) {
        let Some(mut peer) = self.peers.remove(&vm) else {
            return;
        };
        let silent = peer.is_silent(now);
        let used = |(customer, row): (&NameHash, &PeerUsage)| {
            let target = self
                .accounts
                .get(customer)
                .map_or(0.0, |a| self.bound.target(&a.limit));
            let used = match peer.ends_at {
                Some(_) => self.ended_used(now, vm, &peer, *customer, target),
                None if silent => {
                    let share = self.share_of(now, vm, &peer, *customer) * target;
                    self.silent_used(now, &peer, *customer, share)
                }
                None => row.report.used,
            };
            (*customer, used)
        };
        peer.previous_usage = peer.rows.iter().map(used).collect();
        if silent {
            // It may have admitted requests of customers that it had not reported.
            for (customer, account) in &self.accounts {
                let share = self.share_of(now, vm, &peer, *customer);
                let most = share * self.bound.target(&account.limit);
                peer.previous_usage.entry(*customer).or_insert(most);
            }
        }
        peer.previous_end = match peer.ends_at {
            Some(at) => at.min(now),
            None if silent => self.process_start(now, start_ms).max(peer.reported_at),
            None => peer.reported_at,
        };
        peer.rows.clear();
        peer.start_ms = start_ms;
        peer.ends_at = None;
        peer.returned_at = None;
        self.full_report_due = true;
        self.peers.insert(vm, peer);
    }

    /// Latest time at which a process with this start time started, which its predecessor did not
    /// outlive. Clocks of VMs may differ.
    fn process_start(&self, now: policy::Moment, start_ms: StartMs) -> policy::Moment {
        let later_ms = start_ms
            .saturating_sub(self.start_ms)
            .saturating_add(JOINT_RESTART_SPREAD_MS);
        now.min(self.started_at + time::Duration::from_millis(later_ms))
    }

    /// A peer in a planned stop admits nothing after `left`.
    pub fn end_peer(&mut self, now: policy::Moment, vm: NameHash, left: time::Duration) {
        if let Some(peer) = self.peers.get_mut(&vm) {
            peer.ends_at = Some(now + left);
        }
    }

    /// Removes peers that have long been silent and no longer serve, and unused accounts.
    pub fn remove_departed(&mut self, now: policy::Moment, serves: impl Fn(NameHash) -> bool) {
        self.peers.retain(|vm, peer| {
            now.saturating_sub(peer.reported_at) <= DEPARTED_PEER_TIMEOUT || serves(*vm)
        });
        let bound = self.bound;
        self.accounts.retain(|_, account| {
            account.demand.sum(now) + account.used.sum(now) > 0.0 || bound.is_recent(account, now)
        });
    }

    /// Returns the reports due, customers closest to their limit first, at most `max_rows`: with
    /// `whole`, all usage; otherwise usage that differs from the last report by more than a part of
    /// the remaining quota.
    pub fn due_reports(
        &mut self,
        now: policy::Moment,
        whole: bool,
        max_rows: usize,
    ) -> Vec<(NameHash, UsageReport)> {
        let customers: Vec<(NameHash, Limit)> = self
            .accounts
            .iter()
            .map(|(name, account)| (*name, account.limit))
            .collect();
        let mut due: Vec<(f64, NameHash, UsageReport)> = customers
            .into_iter()
            .filter_map(|(name, limit)| self.due_report(now, name, limit, whole))
            .collect();
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        due.truncate(max_rows);
        for (_, name, report) in &due {
            if let Some(account) = self.accounts.get_mut(name) {
                account.report = *report;
                account.reported_since.get_or_insert(now);
            }
        }
        due.into_iter()
            .map(|(_, name, report)| (name, report))
            .collect()
    }

    fn due_report(
        &mut self,
        now: policy::Moment,
        name: NameHash,
        limit: Limit,
        whole: bool,
    ) -> Option<(f64, NameHash, UsageReport)> {
        /// Share of the remaining quota that all VMs together may admit unreported.
        const MAX_UNREPORTED_SHARE: f64 = 0.25;
        /// Number of requests not worth a message, unless many VMs leave as many unreported.
        const MAX_UNREPORTED_COUNT: f64 = 1.5;
        /// Share of the slack that all VMs together may leave unreported.
        const MAX_UNREPORTED_SLACK_SHARE: f64 = 0.5;
        let state = self.state(now, name, limit);
        let account = self.accounts.get_mut(&name)?;
        let report = UsageReport {
            used: state.own_used,
            admitted_per_s: account.take_admitted_per_s(now),
            demand: account.demand.last(now, DEMAND_WINDOW_STEPS),
        };
        let used_share = (state.own_used + state.peers_used) / state.target.max(1.0);
        let remaining = (state.target * (1.0 - used_share)).max(0.0);
        let admitting_vms = (self.peers.len() + 1) as f64;
        let tolerated = (self.bound.slack * MAX_UNREPORTED_SLACK_SHARE / admitting_vms)
            .min(MAX_UNREPORTED_COUNT);
        let difference = (report.used - account.report.used).abs();
        let is_due = match whole {
            true => report.used > 0.0 || report.demand > 0.0,
            // Peers extrapolate with the last reported rate until they receive another one.
            false => {
                difference > f64::max(remaining * MAX_UNREPORTED_SHARE / admitting_vms, tolerated)
                    || account.report.admitted_per_s > 0.0
            }
        };
        is_due.then_some((used_share, name, report))
    }
}
