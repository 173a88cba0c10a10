//! Decides which rows of fair shares a VM sends to which others, within a budget of bytes.
//!
//! Load pattern: a service is short of capacity in a fleet with many VMs and customers. If each VM
//! repeats the demand of each customer to all others, the volume grows with the product of customers
//! and VMs.
//!
//! Four rules keep it within [`shares::Config::max_report_bytes_per_s`], sent and received each:
//! - Usage of quotas is sent first and without delay; shares get what it leaves. Where it takes the
//!   whole budget, which it does with many customers near their quotas, they get
//!   [`shares::Config::min_report_bytes_per_s`]: without any rows, each VM would compute shares from its own
//!   demand only.
//! - The rows of a pool go to the VMs that handle it: those that callers of its region are sent to,
//!   and those that reported rows of it. One other receiver in turn gets all rows, so that VMs that
//!   handle a pool from elsewhere find each other.
//! - Rows are sent when they changed, or to renew them before they expire. The largest go first, and
//!   one row per pool holds the sum of those that are not listed ([`shares::REST`]).
//! - Each VM states how much it takes from each sender. As long as a sender does not know this, it
//!   uses its part of the half that receivers reserve for such senders.

use std::collections;
use std::time;

use super::{affinity, policy, quota, shares, window};

/// Maximum length of a datagram with rows, with its headers.
const MAX_BYTES: f64 = 1228.0;

/// Maximum number of rows in a datagram.
const MAX_ROWS: usize = 32;

/// Length of an encoded row with counts of three digits.
const ROW_BYTES: f64 = 25.0;

/// Rows that are worth the headers of a datagram.
const MIN_ROWS_PER_DATAGRAM: f64 = 6.0;

/// Rows in the first datagram to a VM. The sooner all VMs know the largest customer, the better.
const FIRST_ROWS: f64 = 1.0;

/// Shortest interval of datagrams to one VM. Within it, several VMs may give the same room to one
/// customer.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How often the VM that gets all rows changes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// Longest lifetime of a row. A VM that has ended is counted for as long.
pub const MAX_LIFETIME: time::Duration = time::Duration::from_secs(6);

/// A row is renewed this often within its lifetime, so that it outlives the loss of a datagram.
const RENEWALS: u32 = 3;

/// Change of a row that is worth sending, as a part of it and in requests. The counts of small
/// customers change by a request or two at any time.
const MIN_CHANGE_RATIO: f64 = 0.1;
const MIN_CHANGE_COUNT: f64 = 2.0;

/// Window over which the volume of quota usage is measured.
const QUOTA_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Unused budget that may be used later. The budget is a mean over seconds.
const BURST: time::Duration = time::Duration::from_millis(500);

/// The longest time for which quota usage beyond the budget keeps shares from being sent.
const MAX_DEBT: time::Duration = time::Duration::from_secs(2);

/// Rows for one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The receiver.
    pub to: quota::NameHash,
    /// The rows.
    pub rows: Vec<shares::Row>,
    /// How long they count.
    pub lifetime: time::Duration,
}

type Key = (shares::PoolHash, quota::NameHash);

/// A row as last sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    demand: shares::Demand,
    at: policy::Moment,
    until: policy::Moment,
}

/// What is known of another VM.
#[derive(Clone, Debug, Default)]
struct Peer {
    credit: f64,
    credited_at: Option<policy::Moment>,
    sent_at: Option<policy::Moment>,
    sent: collections::BTreeMap<Key, Sent>,
    received_at: Option<policy::Moment>,
    /// Bytes per second that it takes from this VM.
    stated: f64,
    /// The pools of which it reported rows, and when.
    pools: collections::HashMap<shares::PoolHash, policy::Moment>,
}

fn is_recent(now: policy::Moment, at: Option<policy::Moment>) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) <= MAX_LIFETIME)
}

/// Rows are renewed several times in their lifetime, and a datagram has at least some rows.
fn lifetime(rate: f64, min_bytes: f64) -> time::Duration {
    let s = min_bytes * f64::from(RENEWALS + 1) / rate.max(1.0);
    let s = s.min(MAX_LIFETIME.as_secs_f64());
    time::Duration::from_secs_f64(s).max(shares::MAX_REPORT_AGE)
}

impl Peer {
    fn fill(&mut self, now: policy::Moment, rate: f64, start: f64, min_bytes: f64) {
        let max = rate.clamp(min_bytes, MAX_BYTES);
        let elapsed = self.credited_at.map(|at| now.saturating_sub(at));
        self.credit = match elapsed {
            Some(elapsed) => (self.credit + rate * elapsed.as_secs_f64()).min(max),
            None => start,
        };
        self.credited_at = Some(now);
    }

    fn handles(&self, now: policy::Moment, pool: shares::PoolHash) -> bool {
        is_recent(now, self.pools.get(&pool).copied())
    }

    fn is_due(&self, now: policy::Moment, row: &shares::Row, renewal: time::Duration) -> bool {
        let Some(sent) = self.sent.get(&(row.pool, row.customer)) else {
            return true;
        };
        let changed = |new: f64, old: f64| {
            (new - old).abs() > f64::max(old * MIN_CHANGE_RATIO, MIN_CHANGE_COUNT)
        };
        now.saturating_sub(sent.at) >= renewal
            || changed(row.demand.asked, sent.demand.asked)
            || changed(row.demand.got, sent.demand.got)
    }

    fn record(&mut self, at: policy::Moment, until: policy::Moment, row: &shares::Row) {
        let sent = Sent {
            demand: row.demand,
            at,
            until,
        };
        self.sent.insert((row.pool, row.customer), sent);
    }

    /// Rows of these pools that the peer counts although their customers no longer ask.
    fn ended(&self, rows: &[&shares::Row], pools: &[shares::PoolHash]) -> Vec<shares::Row> {
        let known: collections::HashSet<Key> =
            rows.iter().map(|row| (row.pool, row.customer)).collect();
        let ended = self.sent.iter().filter(|(key, sent)| {
            key.1 != shares::REST
                && pools.contains(&key.0)
                && !known.contains(*key)
                && sent.demand.asked > MIN_CHANGE_COUNT
        });
        ended
            .map(|(key, _)| shares::Row {
                pool: key.0,
                customer: key.1,
                demand: shares::Demand::default(),
            })
            .collect()
    }

    /// The sums of the rows that the peer does not know one by one.
    fn rests(&self, rows: &[&shares::Row]) -> Vec<shares::Row> {
        let mut rests: collections::BTreeMap<shares::PoolHash, shares::Demand> =
            collections::BTreeMap::new();
        for row in rows {
            let rest = rests.entry(row.pool).or_default();
            if !self.sent.contains_key(&(row.pool, row.customer)) {
                rest.got += row.demand.got;
                rest.asked += row.demand.asked;
            }
        }
        let rests = rests.into_iter().map(|(pool, demand)| shares::Row {
            pool,
            customer: shares::REST,
            demand,
        });
        rests
            .filter(|row| {
                row.demand.asked > 0.0 || self.sent.contains_key(&(row.pool, row.customer))
            })
            .collect()
    }
}

/// Sends rows within the budget, and states how much others may send here.
#[derive(Clone, Debug)]
pub struct Sender {
    own: quota::NameHash,
    /// Budget of all reports, and what shares get at least.
    bytes_per_s: f64,
    min_bytes_per_s: f64,
    /// Length of a datagram without rows, with its headers.
    header_bytes: f64,
    credit: f64,
    min_credit: f64,
    credited_at: Option<policy::Moment>,
    quota_sent: window::Counts,
    quota_received: window::Counts,
    peers: collections::HashMap<quota::NameHash, Peer>,
}

impl Sender {
    /// Creates the state of a VM. `header_bytes` is the length of a datagram without rows, with the
    /// headers of its packet.
    pub fn new(cfg: &shares::Config, own: quota::NameHash, header_bytes: usize) -> Self {
        Self {
            own,
            bytes_per_s: cfg.max_report_bytes_per_s,
            min_bytes_per_s: cfg.min_report_bytes_per_s.min(cfg.max_report_bytes_per_s),
            header_bytes: header_bytes as f64,
            credit: 0.0,
            min_credit: 0.0,
            credited_at: None,
            quota_sent: window::Counts::new(QUOTA_WINDOW),
            quota_received: window::Counts::new(QUOTA_WINDOW),
            peers: collections::HashMap::new(),
        }
    }

    /// Counts bytes of quota usage that were sent.
    pub fn count_quota_sent(&mut self, now: policy::Moment, bytes: usize) {
        self.quota_sent.add(now, bytes as f64);
        let min = -self.bytes_per_s * MAX_DEBT.as_secs_f64();
        self.credit = (self.credit - bytes as f64).max(min);
    }

    /// Counts bytes of quota usage that were received.
    pub fn count_quota_received(&mut self, now: policy::Moment, bytes: usize) {
        self.quota_received.add(now, bytes as f64);
    }

    /// Forgets VMs that neither get reports nor sent any lately.
    pub fn clean_up(&mut self, now: policy::Moment, receivers: &[quota::NameHash]) {
        let is_receiver = |vm: &quota::NameHash| receivers.contains(vm);
        self.peers
            .retain(|vm, peer| is_receiver(vm) || is_recent(now, peer.received_at));
    }

    /// Records rows that another VM sent, and the bytes per second that it takes from this one; 0 if
    /// it does not say.
    pub fn received(
        &mut self,
        now: policy::Moment,
        vm: quota::NameHash,
        pools: impl IntoIterator<Item = shares::PoolHash>,
        stated: f64,
    ) {
        let peer = self.peers.entry(vm).or_default();
        peer.received_at = Some(now);
        peer.stated = stated;
        peer.pools.extend(pools.into_iter().map(|pool| (pool, now)));
    }

    /// What shares may use of each direction, in bytes per second.
    fn left(&mut self, now: policy::Moment) -> (f64, f64) {
        let span = QUOTA_WINDOW.as_secs_f64();
        let sent = self.quota_sent.sum(now) / span;
        let received = self.quota_received.sum(now) / span;
        let left = |used: f64| (self.bytes_per_s - used).max(self.min_bytes_per_s);
        (left(sent), left(received))
    }

    /// Bytes per second that this VM takes from each VM that sent it rows, at least 1. Of
    /// `receiver_count` possible senders, those that have not sent any may use half.
    pub fn stated(&mut self, now: policy::Moment, receiver_count: usize) -> f64 {
        let (_, left) = self.left(now);
        let senders = self
            .peers
            .values()
            .filter(|p| is_recent(now, p.received_at));
        let senders = senders.count().max(1) as f64;
        let all = f64::max(receiver_count as f64, senders);
        (left * (1.0 - (all - senders) / all / 2.0) / senders).max(1.0)
    }

    /// Bytes per second for one VM, of `receiver_count` that get reports and of `handling` that get
    /// rows from here.
    fn rate(
        &mut self,
        now: policy::Moment,
        vm: quota::NameHash,
        receiver_count: usize,
        handling: usize,
    ) -> f64 {
        let (sendable, receivable) = self.left(now);
        let peer = self.peers.get(&vm);
        let stated = peer.filter(|p| is_recent(now, p.received_at) && p.stated > 0.0);
        // A VM that has not said how much it takes receives about as much of quotas as this one.
        let allowed = stated.map_or(receivable / 2.0 / receiver_count as f64, |p| p.stated);
        allowed.min(sendable / handling.max(1) as f64)
    }

    /// Chooses what to send now of `rows`, the largest first, to which of the VMs that get reports.
    /// `handles` returns whether callers of a pool's region are sent to a VM.
    pub fn due(
        &mut self,
        now: policy::Moment,
        rows: &[shares::Row],
        receivers: &[quota::NameHash],
        handles: impl Fn(quota::NameHash, shares::PoolHash) -> bool,
    ) -> Vec<Datagram> {
        self.fill(now);
        if self.credit.max(self.min_credit) < self.header_bytes + ROW_BYTES {
            return Vec::new();
        }
        let turn = now.as_millis() / PROBE_INTERVAL.as_millis();
        let probed = receivers
            .get(turn as usize % receivers.len().max(1))
            .copied();
        let mut pools: Vec<shares::PoolHash> = rows.iter().map(|row| row.pool).collect();
        pools.sort_unstable();
        pools.dedup();
        let (mut wanted, mut handling) = (Vec::new(), 0);
        for vm in receivers {
            let peer = self.peers.entry(*vm).or_default();
            let gets = |pool: &shares::PoolHash| {
                Some(*vm) == probed || handles(*vm, *pool) || peer.handles(now, *pool)
            };
            let pools: Vec<shares::PoolHash> = pools.iter().copied().filter(gets).collect();
            handling += usize::from(!pools.is_empty());
            let is_early = |at| now.saturating_sub(at) < MIN_INTERVAL;
            if !pools.is_empty() && !peer.sent_at.is_some_and(is_early) {
                wanted.push((peer.sent_at, *vm, pools));
            }
        }
        // Those that wait longest go first where the budget does not suffice for all.
        // Among equals the order differs by sender: the first one would receive from all at once.
        let own = self.own;
        wanted.sort_by_key(|(sent_at, vm, _)| (*sent_at, affinity::mix(own, *vm)));
        let mut datagrams = Vec::new();
        for (_, vm, pools) in wanted {
            let rate = self.rate(now, vm, receivers.len(), handling);
            let rows = rows.iter().filter(|row| pools.contains(&row.pool));
            let rows: Vec<&shares::Row> = rows.collect();
            datagrams.extend(self.datagram(now, vm, &rows, &pools, rate));
        }
        datagrams
    }

    fn fill(&mut self, now: policy::Moment) {
        let elapsed = self.credited_at.map_or(BURST, |at| now.saturating_sub(at));
        let fill = |credit: f64, rate: f64| {
            let max = rate * BURST.as_secs_f64();
            (credit + rate * elapsed.as_secs_f64()).min(max)
        };
        self.credit = fill(self.credit, self.bytes_per_s);
        self.min_credit = fill(self.min_credit, self.min_bytes_per_s);
        self.credited_at = Some(now);
    }

    fn datagram(
        &mut self,
        now: policy::Moment,
        vm: quota::NameHash,
        rows: &[&shares::Row],
        pools: &[shares::PoolHash],
        rate: f64,
    ) -> Option<Datagram> {
        let rest_count = pools.len().min(MAX_ROWS / 2);
        let fixed = self.header_bytes + rest_count as f64 * ROW_BYTES;
        let min_bytes = fixed + MIN_ROWS_PER_DATAGRAM * ROW_BYTES;
        let peer = self.peers.get_mut(&vm)?;
        // The first datagram goes out at once with the largest row: it also says how much this VM
        // takes.
        peer.fill(now, rate, fixed + FIRST_ROWS * ROW_BYTES, min_bytes);
        let lifetime = lifetime(rate, min_bytes);
        let renewal = lifetime / RENEWALS;
        let is_old = |span| peer.sent_at.is_none_or(|at| now.saturating_sub(at) >= span);
        let available = peer
            .credit
            .min(self.credit.max(self.min_credit))
            .min(MAX_BYTES);
        let room = ((available - fixed) / ROW_BYTES).max(0.0) as usize;
        if room == 0 {
            return None;
        }
        peer.sent.retain(|_, sent| now <= sent.until);
        let mut due = peer.ended(rows, pools);
        let listed = rows.iter().copied().copied();
        due.extend(listed.filter(|row| peer.is_due(now, row, renewal)));
        if due.is_empty() && !is_old(renewal) {
            return None;
        }
        let room = room.min(MAX_ROWS - rest_count);
        let is_first = peer.sent_at.is_none();
        if room < due.len() && !is_first && available < min_bytes {
            return None;
        }
        due.truncate(room);
        let until = now + lifetime;
        for row in &due {
            peer.record(now, until, row);
        }
        let mut rests = peer.rests(rows);
        rests.truncate(rest_count);
        for row in &rests {
            peer.record(now, until, row);
        }
        due.append(&mut rests);
        let bytes = self.header_bytes + due.len() as f64 * ROW_BYTES;
        peer.credit -= bytes;
        peer.sent_at = Some(now);
        self.credit -= bytes;
        self.min_credit = (self.min_credit - bytes).max(0.0);
        Some(Datagram {
            to: vm,
            rows: due,
            lifetime,
        })
    }
}
