//! Enforces customers' quotas and exchanges usage reports with other entry VMs.
//!
//! Each VM that callers may be sent to receives what every other VM admits, in datagrams without a
//! connection: sent when something differs from the last report, and at least twice a second. Shares
//! of customers go to the VMs and within the budget that [`share_reports`] decides.
//!
//! [`share_reports`]: crate::decisions::share_reports

use std::collections;
use std::io;
use std::net;
use std::time;

use metrics::counter;
use tokio::net::UdpSocket;

use super::{Gateway, facts, shares, stopping};
use crate::decisions::{affinity, entry_selection, policy, quota, retry_delay};
use crate::id;
use crate::metrics as metric_names;
use crate::protocol::{customers, usage};
use crate::transport::callers;

/// Interval of checks for usage to report.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval of checks while no customer sends requests.
const IDLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Longest time between two reports, which also show the other VMs that this one serves.
const MAX_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Interval of full reports, for VMs that missed a datagram.
const FULL_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(2000);

/// How many VMs of a region beyond the advertised ones get reports: as many as are advertised,
/// since all of those may become busy at once.
const STANDBY_COUNT: usize = entry_selection::DEFAULT_VM_COUNT;

/// Datagrams per report; customers far from their limits are left out beyond that.
const MAX_DATAGRAMS_PER_REPORT: usize = 8;

/// A request counted against its customer's quota until it is known not to have run.
#[derive(Debug)]
pub(super) struct Charge {
    customer: quota::NameHash,
    limit: quota::Limit,
    at: policy::Moment,
}

/// When this VM sent its last report and its last full report of quota usage.
#[derive(Clone, Copy, Debug, Default)]
struct LastReports {
    last: Option<policy::Moment>,
    full: Option<policy::Moment>,
}

/// The VMs that get reports.
type Recipients = Vec<(quota::NameHash, net::SocketAddr)>;

/// The position of another VM's latest datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(super) struct SequenceNumber {
    start: u64,
    number: u64,
}

pub(super) fn limit_of(customer: &customers::Customer) -> Option<quota::Limit> {
    customer.quota.map(|quota| quota::Limit {
        rate: quota.rate,
        burst: quota.burst,
    })
}

pub(super) fn quota_name(customer: &customers::Customer) -> quota::NameHash {
    affinity::hash(customer.name.as_str().as_bytes())
}

impl Gateway {
    /// Counts a request against its customer's quota; `None` if the customer has none. Near its limit,
    /// more urgent requests go first.
    pub(super) fn charge(
        &self,
        customer: Option<&customers::Customer>,
        rank: u32,
    ) -> Result<Option<Charge>, quota::Refused> {
        let Some((customer, limit)) = customer.and_then(|c| Some((quota_name(c), limit_of(c)?)))
        else {
            return Ok(None);
        };
        let at = self.now();
        self.update_expected_vms();
        let mut quotas = self.quotas.borrow_mut();
        if !quotas.is_active() {
            self.customer_active.notify_one();
        }
        quotas.admit_ranked(at, customer, limit, self.jitter(), rank)?;
        Ok(Some(Charge {
            customer,
            limit,
            at,
        }))
    }

    /// Counts a resend. Returns whether the quota allows it.
    pub(super) fn charge_resend(&self, charge: &mut Charge) -> bool {
        let at = self.now();
        let mut quotas = self.quotas.borrow_mut();
        let taken = quotas.admit_resend(at, charge.customer, charge.limit, self.jitter());
        charge.at = at;
        taken.is_ok()
    }

    /// Refunds the charge of a request that has not run.
    pub(super) fn refund(&self, charge: &Charge) {
        let mut quotas = self.quotas.borrow_mut();
        quotas.give_back(self.now(), charge.customer, charge.at);
    }

    /// Sends and receives usage reports until the process ends.
    pub async fn share_quotas(self, socket: UdpSocket) {
        let mut buf = vec![0; usage::MAX_DATAGRAM_BYTES];
        let mut next = tokio::time::Instant::now();
        let mut last_reports = LastReports::default();
        let mut stop = self.subscribe_stop();
        loop {
            tokio::select! {
                received = socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.receive_usage(&buf[..len], from),
                    // Another machine refused an earlier datagram; later ones may arrive.
                    Err(err) => slog::debug!(self.log, "cannot receive usage reports"; "error" => %err),
                },
                // Usage after an idle period is reported as soon as during steady use.
                () = self.customer_active.notified() => next = next.min(tokio::time::Instant::now() + CHECK_INTERVAL),
                // Other VMs that list this one learn now that its reports remain valid without a
                // registration.
                Ok(()) = stop.changed() => {
                    self.report_usage(&socket, &mut LastReports::default()).await;
                }
                () = tokio::time::sleep_until(next) => {
                    let idle = !self.report_usage(&socket, &mut last_reports).await;
                    let pause = if idle { IDLE_CHECK_INTERVAL } else { CHECK_INTERVAL };
                    next = tokio::time::Instant::now() + pause;
                }
            }
        }
    }

    /// Sends usage that the other VMs do not know yet. Returns whether any customer is active.
    async fn report_usage(&self, socket: &UdpSocket, last_reports: &mut LastReports) -> bool {
        let now = self.now();
        let has_elapsed =
            |at: Option<policy::Moment>, span| at.is_none_or(|at| now.saturating_sub(at) >= span);
        let (is_report_due, whole) = (
            has_elapsed(last_reports.last, MAX_REPORT_INTERVAL),
            has_elapsed(last_reports.full, FULL_REPORT_INTERVAL),
        );
        if is_report_due {
            self.update_expected_vms();
            self.forget_departed_vms(now);
            self.clean_up_shares(now);
            let is_registered = self.is_registered();
            self.quotas.borrow_mut().set_registered(is_registered);
        }
        if !self.may_be_listed() {
            return self.quotas.borrow().is_active();
        }
        let (rows, active, whole) = {
            let mut quotas = self.quotas.borrow_mut();
            let whole = quotas.take_full_report_due() || whole;
            let rows = quotas.due_reports(now, whole, MAX_DATAGRAMS_PER_REPORT * usage::MAX_ROWS);
            (rows, quotas.is_active(), whole)
        };
        let short = self.reports_shares();
        let may_report = active || short || self.expects_customers();
        let sends_usage = !rows.is_empty() || is_report_due;
        if !may_report || !(sends_usage || short) {
            return active || short;
        }
        let to = self.report_recipients();
        if sends_usage {
            last_reports.last = Some(now);
            if whole {
                last_reports.full = Some(now);
            }
            for datagram in self.datagrams(&rows, whole) {
                self.count_usage_sent((datagram.len() + usage::PACKET_BYTES) * to.len());
                for (_, addr) in &to {
                    self.send_usage(socket, &datagram, *addr).await;
                }
            }
        }
        if short {
            for (addr, datagram) in self.share_datagrams(&to) {
                self.send_usage(socket, &datagram, addr).await;
            }
        }
        active || short
    }

    /// Whether other VMs may accept this one's reports. They reject those of a VM that they do not list,
    /// such as one that has just been restarted, unless it is in a planned stop. While the store is
    /// away its list proves nothing.
    fn may_be_listed(&self) -> bool {
        !self.knows_list()
            || self.is_stopping()
            || self.entries.borrow().get(&self.cfg.vm).is_some()
    }

    /// Whether the other VMs list this one, as far as the store answers.
    fn is_registered(&self) -> bool {
        self.knows_list() && self.entries.borrow().get(&self.cfg.vm).is_some()
    }

    /// Whether the list of VMs is fresh.
    fn knows_list(&self) -> bool {
        /// A reader hears the store at least once a second.
        const MAX_LIST_AGE: time::Duration = time::Duration::from_secs(2);
        self.store_age().is_some_and(|age| age < MAX_LIST_AGE)
    }

    /// Whether customers' callers are sent here. Other VMs reserve a share of the quotas for such a
    /// VM until it reports that it admits nothing.
    fn expects_customers(&self) -> bool {
        let customers = self
            .table()
            .is_some_and(|table| !table.customers.is_empty());
        customers
            && self
                .advertised_hashes(self.region.as_ref())
                .contains(&self.own_hash)
    }

    /// Customers that have nearly used their quotas, for this VM's registration, which outlives it.
    pub fn near_limits(&self) -> Vec<quota::NameHash> {
        self.quotas.borrow_mut().near_limits(self.now())
    }

    fn datagrams(
        &self,
        rows: &[(quota::NameHash, quota::UsageReport)],
        whole: bool,
    ) -> Vec<Vec<u8>> {
        // The count of one customer in a window at a large VM stays far below `u32::MAX`.
        let count = |n: f64| n.round() as u32;
        let row = |(customer, reported): &(quota::NameHash, quota::UsageReport)| usage::Row {
            customer: *customer,
            used: count(reported.used),
            pace: count(reported.admitted_per_s),
            asked: count(reported.demand),
        };
        let mut parts: Vec<Vec<usage::Row>> = rows
            .chunks(usage::MAX_ROWS)
            .map(|part| part.iter().map(row).collect())
            .collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        // Only a datagram with all rows can say that there are no others.
        let whole = whole && parts.len() == 1;
        let encoded = parts.into_iter();
        encoded
            .filter_map(|rows| self.datagram(rows, whole, shares::Report::default()))
            .collect()
    }

    /// Datagrams with shares, each for one VM. They are apart from those with quota usage: together
    /// they would exceed the maximum length.
    fn share_datagrams(&self, to: &Recipients) -> Vec<(net::SocketAddr, Vec<u8>)> {
        let vms: Vec<quota::NameHash> = to.iter().map(|(vm, _)| *vm).collect();
        let due = self.due_shares(&vms);
        let encoded = due.iter().filter_map(|datagram| {
            let (_, addr) = to.iter().find(|(vm, _)| *vm == datagram.to)?;
            let report = self.share_report(datagram, to.len());
            Some((*addr, self.datagram(Vec::new(), false, report)?))
        });
        encoded.collect()
    }

    fn datagram(
        &self,
        rows: Vec<usage::Row>,
        whole: bool,
        report: shares::Report,
    ) -> Option<Vec<u8>> {
        // Of the datagrams without rows, full reports suffice to compare clocks.
        let is_timed = whole || !rows.is_empty() || !report.shares.is_empty();
        let ends_at = self.closes_at.get();
        let ends_at = ends_at.filter(|_| report.shares.is_empty());
        let number = self.usage_sent.get() + 1;
        self.usage_sent.set(number);
        let encoded = usage::encode(&usage::Usage {
            vm: self.cfg.vm.clone(),
            start: self.started_ms,
            number,
            rows,
            whole,
            shares: report.shares,
            sent_ms: match is_timed && self.divides_by_shares() {
                true => self.now().as_millis() as u64,
                false => 0,
            },
            lifetime_ms: report.lifetime_ms,
            share_rate: report.share_rate,
            ends_in_ms: ends_at.map(|at| at.saturating_sub(self.now()).as_millis() as u32),
        });
        match encoded {
            Ok(datagram) => Some(datagram),
            Err(err) => {
                slog::error!(self.log, "cannot encode a usage report"; "error" => %err);
                None
            }
        }
    }

    async fn send_usage(&self, socket: &UdpSocket, datagram: &[u8], to: net::SocketAddr) {
        match socket.send_to(datagram, to).await {
            Ok(len) => {
                counter!(metric_names::PEER_BYTES, "direction" => "out").increment(len as u64)
            }
            Err(err) => self.log_send_failure(to, &err),
        }
    }

    fn log_send_failure(&self, to: net::SocketAddr, err: &io::Error) {
        if let Some(left_out) = self.log_limiter.admit("usage unsent", self.now()) {
            slog::info!(self.log, "cannot send a usage report"; "to" => %to, "error" => %err, "left_out" => left_out);
        }
    }

    /// The VMs that need this VM's usage: those advertised to callers, those that reported recently,
    /// and those in a planned stop.
    fn report_recipients(&self) -> Recipients {
        let Some(own_addr) = self.cfg.usage_addr else {
            return Vec::new();
        };
        let now = self.now();
        let quotas = self.quotas.borrow();
        let entries = self.entries.borrow();
        let mut ips: Vec<(net::IpAddr, quota::NameHash)> = entries
            .iter()
            .filter(|(vm, hash, _)| **vm != self.cfg.vm && quotas.needs_reports(now, *hash))
            .map(|(_, hash, entry)| (entry.caller_addr.ip(), hash))
            .collect();
        let ending = self.ending_vms.borrow();
        let still_admit = ending.iter().filter(|(_, (_, until))| now <= *until);
        ips.extend(still_admit.map(|(vm, (ip, _))| (*ip, *vm)));
        ips.sort_unstable();
        ips.dedup_by_key(|(ip, _)| *ip);
        ips.into_iter()
            .map(|(ip, hash)| (hash, net::SocketAddr::new(ip, own_addr.port())))
            .collect()
    }

    /// Updates the VMs that callers are sent to, if the list has changed. A VM that admits requests
    /// before it knows the other VMs would take all that is left of a quota, and so would each of
    /// them.
    fn update_expected_vms(&self) {
        let version = Some(self.entries.borrow().version());
        if self.expected_version.replace(version) == version {
            return;
        }
        let mut regions: Vec<Option<&id::RegionId>> = self.cfg.regions.values().map(Some).collect();
        regions.sort_unstable();
        regions.dedup();
        let advertised = regions.iter().map(|region| self.advertised_hashes(*region));
        let advertised: Vec<u64> = advertised.flat_map(|hashes| hashes.to_vec()).collect();
        let gets_callers = advertised.contains(&self.own_hash);
        let advertised = self.distinct_others(advertised.into_iter());
        let next = regions
            .iter()
            .map(|region| self.selection_hashes(*region, STANDBY_COUNT));
        let next = self.distinct_others(next.flatten());
        let vms = self.entries.borrow().len();
        let mut quotas = self.quotas.borrow_mut();
        quotas.set_peers(advertised, next, vms);
        quotas.set_gets_callers(gets_callers);
    }

    /// The VMs without this one and without duplicates.
    fn distinct_others(&self, vms: impl Iterator<Item = quota::NameHash>) -> Vec<quota::NameHash> {
        let mut distinct: Vec<quota::NameHash> =
            vms.filter(|hash| *hash != self.own_hash).collect();
        distinct.sort_unstable();
        distinct.dedup();
        distinct
    }

    /// Forgets the usage of VMs that are no longer registered.
    fn forget_departed_vms(&self, now: policy::Moment) {
        let entries = self.entries.borrow();
        let serving: collections::HashSet<u64> = entries.iter().map(|(_, h, _)| h).collect();
        let mut quotas = self.quotas.borrow_mut();
        quotas.remove_departed(now, |vm| serving.contains(&vm));
    }

    /// Handles a usage report. It must come from a listed VM's own address: otherwise anybody could
    /// have a customer refused everywhere.
    fn receive_usage(&self, bytes: &[u8], from: net::SocketAddr) {
        counter!(metric_names::PEER_BYTES, "direction" => "in").increment(bytes.len() as u64);
        let why = match usage::decode(bytes) {
            Ok(usage) if self.is_listed(&usage.vm, from) => {
                self.count_usage_received(&usage, bytes.len() + usage::PACKET_BYTES);
                return self.apply_usage(usage, from);
            }
            Ok(_) => "the sender is not a listed entry VM".to_owned(),
            Err(err) => err.to_string(),
        };
        counter!(metric_names::PEER_REFUSED).increment(1);
        if let Some(left_out) = self.log_limiter.admit_rarely("usage", self.now()) {
            slog::info!(self.log, "usage report rejected"; "from" => %from, "why" => why, "left_out" => left_out);
        }
    }

    fn is_listed(&self, vm: &id::VmId, from: net::SocketAddr) -> bool {
        let entries = self.entries.borrow();
        entries
            .get(vm)
            .is_some_and(|entry| entry.caller_addr.ip() == from.ip())
            || self.is_ending(vm, from)
    }

    /// Whether a VM in a planned stop still admits requests; its registration has ended before.
    fn is_ending(&self, vm: &id::VmId, from: net::SocketAddr) -> bool {
        let vm = affinity::hash(vm.as_str().as_bytes());
        let ending = self.ending_vms.borrow();
        ending
            .get(&vm)
            .is_some_and(|(ip, until)| *ip == from.ip() && self.now() <= *until)
    }

    /// Applies the end of a VM's planned stop.
    fn end_peer(&self, vm: quota::NameHash, from: net::SocketAddr, left: time::Duration) {
        let now = self.now();
        let mut ending = self.ending_vms.borrow_mut();
        ending.retain(|_, (_, until)| now <= *until);
        let until = now + left.min(stopping::ACCEPT_PERIOD) + MAX_REPORT_INTERVAL;
        ending.entry(vm).or_insert((from.ip(), until));
        let left = left.min(stopping::ACCEPT_PERIOD);
        self.quotas.borrow_mut().end_peer(now, vm, left);
    }

    fn apply_usage(&self, usage: usage::Usage, from: net::SocketAddr) {
        let vm = affinity::hash(usage.vm.as_str().as_bytes());
        let sequence = SequenceNumber {
            start: usage.start,
            number: usage.number,
        };
        let mut sequences = self.peer_usage.borrow_mut();
        let before = sequences.entry(vm).or_default();
        if *before >= sequence {
            return;
        }
        *before = sequence;
        let rows = usage.rows.iter().map(|row| {
            let reported = quota::UsageReport {
                used: f64::from(row.used),
                admitted_per_s: f64::from(row.pace),
                demand: f64::from(row.asked),
            };
            (row.customer, reported)
        });
        let mut quotas = self.quotas.borrow_mut();
        quotas.apply_report(self.now(), vm, usage.start, rows, usage.whole);
        drop(quotas);
        if let Some(ms) = usage.ends_in_ms {
            self.end_peer(vm, from, time::Duration::from_millis(u64::from(ms)));
        }
        self.apply_shares(&usage);
    }

    pub(super) fn beyond_quota(
        &self,
        facts: &facts::Facts,
        refused: &quota::Refused,
        left: time::Duration,
    ) -> callers::Answer {
        self.record_beyond_quota(facts, refused);
        let after = retry_delay::after(refused.retry_after, left, self.jitter());
        let mut answer = self.gateway_answer(429, Some(&facts.id));
        facts::put_retry_after(&mut answer.fields, after);
        answer
    }
}
