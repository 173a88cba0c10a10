//! Customers' quotas: what this VM lets in, and what it tells the others and hears of them.
//!
//! Each VM that callers may be sent to hears what every other lets in, without a link that has to be
//! kept: datagrams, sent when something differs from what was told, and twice a second at
//! least.

use std::collections;
use std::io;
use std::net;
use std::time;

use metrics::counter;
use tokio::net::UdpSocket;

use super::{Gateway, facts};
use crate::decisions::{affinity, entry_selection, policy, quota, retry_delay};
use crate::id;
use crate::metrics as known;
use crate::protocol::{customers, usage};
use crate::transport::callers;

/// How often this VM looks whether there is something to tell.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// How often it looks where no customer asks for anything.
const LOOK_IDLE: time::Duration = time::Duration::from_millis(500);

/// How often it speaks at the least, so that the others know that it serves.
const SPEAK: time::Duration = time::Duration::from_millis(500);

/// How often it tells everything, for those that missed a message.
const WHOLE: time::Duration = time::Duration::from_millis(2000);

/// How many VMs of a region that are next in line hear what is let in: as many as callers are told, which
/// may all become busy at once.
const NEXT: usize = entry_selection::DEFAULT_VM_COUNT;

/// Datagrams of one time, at the most: customers far from their limits are left out beyond it.
const DATAGRAMS: usize = 8;

/// A request that counts against its customer's quota until it is known not to have run.
#[derive(Debug)]
pub(super) struct Charge {
    customer: quota::NameHash,
    limit: quota::Limit,
    at: policy::Moment,
}

/// When this VM spoke last, and when it told everything.
#[derive(Clone, Copy, Debug, Default)]
struct Spoken {
    last: Option<policy::Moment>,
    whole: Option<policy::Moment>,
}

/// What this VM has heard of another's datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(super) struct Latest {
    start: u64,
    number: u64,
}

fn limit_of(customer: &customers::Customer) -> Option<quota::Limit> {
    customer.quota.map(|quota| quota::Limit {
        rate: quota.rate,
        burst: quota.burst,
    })
}

fn name_of(customer: &customers::Customer) -> quota::NameHash {
    affinity::hash(customer.name.as_str().as_bytes())
}

impl Gateway {
    /// Counts a request against its customer's quota; `None`: it has none.
    pub(super) fn charge(
        &self,
        customer: Option<&customers::Customer>,
    ) -> Result<Option<Charge>, quota::Refused> {
        let Some((customer, limit)) = customer.and_then(|c| Some((name_of(c), limit_of(c)?)))
        else {
            return Ok(None);
        };
        let at = self.now();
        self.expect_others();
        let mut quotas = self.quotas.borrow_mut();
        if !quotas.is_active() {
            self.asked.notify_one();
        }
        quotas.admit(at, customer, limit, self.jitter())?;
        Ok(Some(Charge {
            customer,
            limit,
            at,
        }))
    }

    /// Counts one more send of a request. Returns whether the quota leaves one.
    pub(super) fn charge_again(&self, charge: &mut Charge) -> bool {
        let at = self.now();
        let mut quotas = self.quotas.borrow_mut();
        let taken = quotas.admit_resend(at, charge.customer, charge.limit, self.jitter());
        charge.at = at;
        taken.is_ok()
    }

    /// A request that was counted has not run.
    pub(super) fn give_back(&self, charge: &Charge) {
        let mut quotas = self.quotas.borrow_mut();
        quotas.give_back(self.now(), charge.customer, charge.at);
    }

    /// Tells the other VMs what this one lets in, and hears them, until the process ends.
    pub async fn share_quotas(self, socket: UdpSocket) {
        let mut buf = vec![0; usage::LONGEST];
        let mut next = tokio::time::Instant::now();
        let mut spoken = Spoken::default();
        loop {
            tokio::select! {
                received = socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.hear_usage(&buf[..len], from),
                    // A datagram that somebody's machine refused; the next ones may arrive.
                    Err(err) => slog::debug!(self.log, "usage not heard"; "error" => %err),
                },
                // What is let in after a rest is told as soon as what is let in amid work.
                () = self.asked.notified() => next = next.min(tokio::time::Instant::now() + LOOK),
                () = tokio::time::sleep_until(next) => {
                    let idle = !self.tell_usage(&socket, &mut spoken).await;
                    let pause = if idle { LOOK_IDLE } else { LOOK };
                    next = tokio::time::Instant::now() + pause;
                }
            }
        }
    }

    /// Tells the others what they do not know yet. Returns whether any customer asked for anything.
    async fn tell_usage(&self, socket: &UdpSocket, spoken: &mut Spoken) -> bool {
        let now = self.now();
        let over =
            |at: Option<policy::Moment>, span| at.is_none_or(|at| now.saturating_sub(at) >= span);
        let (speak, whole) = (over(spoken.last, SPEAK), over(spoken.whole, WHOLE));
        if speak {
            self.expect_others();
            self.forget_others(now);
        }
        let (rows, active, whole) = {
            let mut quotas = self.quotas.borrow_mut();
            let whole = quotas.take_full_report_due() || whole;
            let rows = quotas.due_reports(now, whole, DATAGRAMS * usage::ROWS);
            (rows, quotas.is_active(), whole)
        };
        let speaks = active || self.awaits_customers();
        if !speaks || (rows.is_empty() && !speak) {
            return active;
        }
        spoken.last = Some(now);
        if whole {
            spoken.whole = Some(now);
        }
        let to = self.audience();
        for datagram in self.datagrams(&rows, whole) {
            for addr in &to {
                self.send_usage(socket, &datagram, *addr).await;
            }
        }
        active
    }

    /// Whether customers' callers are sent here. Others count on what such a VM may let in, until it
    /// says that it lets in nothing.
    fn awaits_customers(&self) -> bool {
        let customers = self
            .table()
            .is_some_and(|table| !table.customers.is_empty());
        customers && self.told_in(self.region.as_ref()).contains(&self.own_hash)
    }

    /// Customers that have nearly used their quotas, which outlive this process where it registers.
    pub fn near_limits(&self) -> Vec<quota::NameHash> {
        self.quotas.borrow_mut().near_limits(self.now())
    }

    fn datagrams(
        &self,
        rows: &[(quota::NameHash, quota::UsageReport)],
        whole: bool,
    ) -> Vec<Vec<u8>> {
        // What a large VM let in of one customer in a window stays far below the type's bound.
        let count = |n: f64| n.round() as u32;
        let row = |(customer, told): &(quota::NameHash, quota::UsageReport)| usage::Row {
            customer: *customer,
            used: count(told.used),
            pace: count(told.rate_per_s),
            asked: count(told.demand),
        };
        let mut parts: Vec<Vec<usage::Row>> = rows
            .chunks(usage::ROWS)
            .map(|part| part.iter().map(row).collect())
            .collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        // Only one that holds everything says that there is nothing else.
        let whole = whole && parts.len() == 1;
        let encoded = parts.into_iter().map(|rows| {
            let number = self.told_usage.get() + 1;
            self.told_usage.set(number);
            usage::encode(&usage::Usage {
                vm: self.cfg.vm.clone(),
                start: self.started_ms,
                number,
                rows,
                whole,
            })
        });
        encoded
            .filter_map(|datagram| match datagram {
                Ok(datagram) => Some(datagram),
                Err(err) => {
                    slog::error!(self.log, "usage not told"; "error" => %err);
                    None
                }
            })
            .collect()
    }

    async fn send_usage(&self, socket: &UdpSocket, datagram: &[u8], to: net::SocketAddr) {
        match socket.send_to(datagram, to).await {
            Ok(len) => counter!(known::PEER_BYTES, "direction" => "out").increment(len as u64),
            Err(err) => self.usage_unsent(to, &err),
        }
    }

    fn usage_unsent(&self, to: net::SocketAddr, err: &io::Error) {
        if let Some(left_out) = self.lines.admit("usage unsent", self.now()) {
            slog::info!(self.log, "usage not told"; "to" => %to, "error" => %err, "left_out" => left_out);
        }
    }

    /// The VMs that must know what this one lets in: those that callers are told, and those that spoke
    /// lately.
    fn audience(&self) -> Vec<net::SocketAddr> {
        let Some(own) = self.cfg.usage else {
            return Vec::new();
        };
        let now = self.now();
        let quotas = self.quotas.borrow();
        let entries = self.entries.borrow();
        let mut ips: Vec<net::IpAddr> = entries
            .iter()
            .filter(|(vm, hash, _)| **vm != self.cfg.vm && quotas.needs_reports(now, *hash))
            .map(|(_, _, entry)| entry.front.ip())
            .collect();
        ips.sort_unstable();
        ips.dedup();
        ips.into_iter()
            .map(|ip| net::SocketAddr::new(ip, own.port()))
            .collect()
    }

    /// Takes in which VMs callers are sent to, where that has changed. A VM that has just started and
    /// let requests in before it knew of the others would take all that is left for itself, as each of
    /// them would.
    fn expect_others(&self) {
        let version = Some(self.entries.borrow().version());
        if self.expected_by.replace(version) == version {
            return;
        }
        let mut regions: Vec<Option<&id::RegionId>> = self.cfg.regions.values().map(Some).collect();
        regions.sort_unstable();
        regions.dedup();
        let told = regions.iter().map(|region| self.told_in(*region));
        let told = self.others(told.flat_map(|hashes| hashes.to_vec()));
        let next = regions.iter().map(|region| self.hashes_in(*region, NEXT));
        let next = self.others(next.flatten());
        let vms = self.entries.borrow().len();
        self.quotas.borrow_mut().set_peers(told, next, vms);
    }

    /// Each of these VMs once, but for this one.
    fn others(&self, vms: impl Iterator<Item = quota::NameHash>) -> Vec<quota::NameHash> {
        let mut others: Vec<quota::NameHash> = vms.filter(|hash| *hash != self.own_hash).collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Forgets VMs that are gone.
    fn forget_others(&self, now: policy::Moment) {
        let entries = self.entries.borrow();
        let serving: collections::HashSet<u64> = entries.iter().map(|(_, h, _)| h).collect();
        let mut quotas = self.quotas.borrow_mut();
        quotas.remove_departed(now, |vm| serving.contains(&vm));
    }

    /// Hears what another VM lets in. Only one that is listed, and from its own address: anybody else
    /// could have a customer refused everywhere.
    fn hear_usage(&self, bytes: &[u8], from: net::SocketAddr) {
        counter!(known::PEER_BYTES, "direction" => "in").increment(bytes.len() as u64);
        let why = match usage::decode(bytes) {
            Ok(usage) if self.is_listed(&usage.vm, from) => return self.take_usage(usage),
            Ok(_) => "it is of no entry VM that is listed".to_owned(),
            Err(err) => err.to_string(),
        };
        counter!(known::PEER_REFUSED).increment(1);
        if let Some(left_out) = self.lines.admit("usage", self.now()) {
            slog::info!(self.log, "usage not taken"; "from" => %from, "why" => why, "left_out" => left_out);
        }
    }

    fn is_listed(&self, vm: &id::VmId, from: net::SocketAddr) -> bool {
        let entries = self.entries.borrow();
        entries
            .get(vm)
            .is_some_and(|entry| entry.front.ip() == from.ip())
    }

    fn take_usage(&self, usage: usage::Usage) {
        let vm = affinity::hash(usage.vm.as_str().as_bytes());
        let latest = Latest {
            start: usage.start,
            number: usage.number,
        };
        let mut heard = self.heard_usage.borrow_mut();
        let before = heard.entry(vm).or_default();
        if *before >= latest {
            return;
        }
        *before = latest;
        let rows = usage.rows.iter().map(|row| {
            let told = quota::UsageReport {
                used: f64::from(row.used),
                rate_per_s: f64::from(row.pace),
                demand: f64::from(row.asked),
            };
            (row.customer, told)
        });
        let mut quotas = self.quotas.borrow_mut();
        quotas.apply_report(self.now(), vm, usage.start, rows, usage.whole);
    }

    /// Refuses a request that is beyond its customer's quota.
    pub(super) fn beyond_quota(
        &self,
        facts: &facts::Facts,
        refused: &quota::Refused,
        left: time::Duration,
    ) -> callers::Answer {
        self.record_beyond(facts, refused);
        let after = retry_delay::after(refused.retry_after, left, self.jitter());
        let mut answer = self.own_answer(429, Some(&facts.id));
        facts::put_retry_after(&mut answer.fields, after);
        answer
    }
}
