//! Enforces customers' quotas and exchanges usage reports with other entry VMs.
//!
//! Each VM that callers may be sent to receives what every other VM admits, in datagrams without a
//! connection: sent when something differs from the last report, and at least twice a second.

use std::collections;
use std::io;
use std::net;
use std::time;

use metrics::counter;
use tokio::net::UdpSocket;

use super::{Gateway, facts};
use crate::decisions::{affinity, comeback, nearby, policy, quota};
use crate::id;
use crate::metrics as known;
use crate::protocol::{customers, usage};
use crate::transport::callers;

/// Interval of checks for usage to report.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// Interval of checks while no customer sends requests.
const LOOK_IDLE: time::Duration = time::Duration::from_millis(500);

/// Longest time between two reports, which also show the other VMs that this one serves.
const SPEAK: time::Duration = time::Duration::from_millis(500);

/// Interval of full reports, for VMs that missed a datagram.
const WHOLE: time::Duration = time::Duration::from_millis(2000);

/// How many VMs of a region beyond the advertised ones get reports: as many as are advertised,
/// since all of those may become busy at once.
const NEXT: usize = nearby::LEAST;

/// Datagrams per report; customers far from their limits are left out beyond that.
const DATAGRAMS: usize = 8;

/// A request counted against its customer's quota until it is known not to have run.
#[derive(Debug)]
pub(super) struct Charge {
    customer: quota::Name,
    limit: quota::Limit,
    at: policy::Moment,
}

/// When this VM sent its last report, and its last full report.
#[derive(Clone, Copy, Debug, Default)]
struct Spoken {
    last: Option<policy::Moment>,
    whole: Option<policy::Moment>,
}

/// The position of another VM's latest datagram.
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

fn name_of(customer: &customers::Customer) -> quota::Name {
    affinity::hash(customer.name.as_str().as_bytes())
}

impl Gateway {
    /// Counts a request against its customer's quota; `None` if the customer has none.
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
        quotas.ask(at, customer, limit, self.jitter())?;
        Ok(Some(Charge {
            customer,
            limit,
            at,
        }))
    }

    /// Counts a resend. Returns whether the quota allows it.
    pub(super) fn charge_again(&self, charge: &mut Charge) -> bool {
        let at = self.now();
        let mut quotas = self.quotas.borrow_mut();
        let taken = quotas.take(at, charge.customer, charge.limit, self.jitter());
        charge.at = at;
        taken.is_ok()
    }

    /// Refunds the charge of a request that has not run.
    pub(super) fn give_back(&self, charge: &Charge) {
        let mut quotas = self.quotas.borrow_mut();
        quotas.give_back(self.now(), charge.customer, charge.at);
    }

    /// Sends and receives usage reports until the process ends.
    pub async fn share_quotas(self, socket: UdpSocket) {
        let mut buf = vec![0; usage::LONGEST];
        let mut next = tokio::time::Instant::now();
        let mut spoken = Spoken::default();
        loop {
            tokio::select! {
                received = socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.hear_usage(&buf[..len], from),
                    // Another machine refused an earlier datagram; later ones may arrive.
                    Err(err) => slog::debug!(self.log, "cannot receive usage reports"; "error" => %err),
                },
                // Usage after an idle period is reported as soon as during steady use.
                () = self.asked.notified() => next = next.min(tokio::time::Instant::now() + LOOK),
                () = tokio::time::sleep_until(next) => {
                    let idle = !self.tell_usage(&socket, &mut spoken).await;
                    let pause = if idle { LOOK_IDLE } else { LOOK };
                    next = tokio::time::Instant::now() + pause;
                }
            }
        }
    }

    /// Sends usage that the other VMs do not know yet. Returns whether any customer is active.
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
            let whole = quotas.owes_whole() || whole;
            let rows = quotas.news(now, whole, DATAGRAMS * usage::ROWS);
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

    /// Whether customers' callers are sent here. Other VMs reserve a share of the quotas for such a
    /// VM until it reports that it admits nothing.
    fn awaits_customers(&self) -> bool {
        let customers = self
            .table()
            .is_some_and(|table| !table.customers.is_empty());
        customers && self.told_in(self.region.as_ref()).contains(&self.own_hash)
    }

    /// Customers that have nearly used their quotas, for this VM's registration, which outlives it.
    pub fn near_limits(&self) -> Vec<quota::Name> {
        self.quotas.borrow_mut().near_limits(self.now())
    }

    fn datagrams(&self, rows: &[(quota::Name, quota::Told)], whole: bool) -> Vec<Vec<u8>> {
        // The count of one customer in a window at a large VM stays far below `u32::MAX`.
        let count = |n: f64| n.round() as u32;
        let row = |(customer, told): &(quota::Name, quota::Told)| usage::Row {
            customer: *customer,
            used: count(told.used),
            pace: count(told.pace),
            asked: count(told.asked),
        };
        let mut parts: Vec<Vec<usage::Row>> = rows
            .chunks(usage::ROWS)
            .map(|part| part.iter().map(row).collect())
            .collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        // Only a datagram with all rows can say that there are no others.
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
                    slog::error!(self.log, "cannot encode a usage report"; "error" => %err);
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
            slog::info!(self.log, "cannot send a usage report"; "to" => %to, "error" => %err, "left_out" => left_out);
        }
    }

    /// The VMs that need this VM's usage: those advertised to callers, and those that reported
    /// recently.
    fn audience(&self) -> Vec<net::SocketAddr> {
        let Some(own) = self.cfg.usage else {
            return Vec::new();
        };
        let now = self.now();
        let quotas = self.quotas.borrow();
        let entries = self.entries.borrow();
        let mut ips: Vec<net::IpAddr> = entries
            .iter()
            .filter(|(vm, hash, _)| **vm != self.cfg.vm && quotas.concerns(now, *hash))
            .map(|(_, _, entry)| entry.front.ip())
            .collect();
        ips.sort_unstable();
        ips.dedup();
        ips.into_iter()
            .map(|ip| net::SocketAddr::new(ip, own.port()))
            .collect()
    }

    /// Updates the VMs that callers are sent to, if the list has changed. A VM that admits requests
    /// before it knows the other VMs would take all that is left of a quota, and so would each of
    /// them.
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
        self.quotas.borrow_mut().expect(told, next, vms);
    }

    /// The VMs without this one and without duplicates.
    fn others(&self, vms: impl Iterator<Item = quota::Name>) -> Vec<quota::Name> {
        let mut others: Vec<quota::Name> = vms.filter(|hash| *hash != self.own_hash).collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Forgets the usage of VMs that are no longer registered.
    fn forget_others(&self, now: policy::Moment) {
        let entries = self.entries.borrow();
        let serving: collections::HashSet<u64> = entries.iter().map(|(_, h, _)| h).collect();
        let mut quotas = self.quotas.borrow_mut();
        quotas.forget(now, |vm| serving.contains(&vm));
    }

    /// Handles a usage report. It must come from a listed VM's own address: otherwise anybody could
    /// have a customer refused everywhere.
    fn hear_usage(&self, bytes: &[u8], from: net::SocketAddr) {
        counter!(known::PEER_BYTES, "direction" => "in").increment(bytes.len() as u64);
        let why = match usage::decode(bytes) {
            Ok(usage) if self.is_listed(&usage.vm, from) => return self.take_usage(usage),
            Ok(_) => "the sender is not a listed entry VM".to_owned(),
            Err(err) => err.to_string(),
        };
        counter!(known::PEER_REFUSED).increment(1);
        if let Some(left_out) = self.lines.admit("usage", self.now()) {
            slog::info!(self.log, "usage report rejected"; "from" => %from, "why" => why, "left_out" => left_out);
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
            let told = quota::Told {
                used: f64::from(row.used),
                pace: f64::from(row.pace),
                asked: f64::from(row.asked),
            };
            (row.customer, told)
        });
        let mut quotas = self.quotas.borrow_mut();
        quotas.heard(self.now(), vm, usage.start, rows, usage.whole);
    }

    /// Refuses a request that exceeds its customer's quota.
    pub(super) fn beyond_quota(
        &self,
        facts: &facts::Facts,
        refused: &quota::Refused,
        left: time::Duration,
    ) -> callers::Answer {
        self.record_beyond(facts, refused);
        let after = comeback::after(refused.after, left, self.jitter());
        let mut answer = self.own_answer(429, Some(&facts.id));
        facts::put_retry_after(&mut answer.fields, after);
        answer
    }
}
