//! Aggregates the load of each availability zone and exchanges it with the other ones.
//!
//! Each entry VM sends its load to the others in its availability zone. The one with the lowest
//! name among those with a recent message is the reporter: it sends the sum to the other
//! availability zones, so that messages between them do not grow with the number of VMs. Two
//! reporters at a time send the same sum twice, which is harmless. Each report from another
//! availability zone is relayed once inside this one; sequence numbers identify copies.
//!
//! Loads lag by [`REPORT_INTERVAL`] and the network delay. Each summary contains its age.

use std::collections;
use std::time;

use crate::decisions::{plan, policy};
use crate::id;
use crate::protocol::peer;

/// Interval at which loads are sent. At twice a second the plan detects a surge within a second,
/// and a row of some 200 bytes for each service stays far below 10 KB/s.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Age after which the last load of an entry VM is ignored.
pub const LOAD_EXPIRY: time::Duration = time::Duration::from_secs(3);

#[derive(Debug)]
struct ReceivedWork {
    at: policy::Moment,
    work: peer::Work,
}

#[derive(Debug)]
struct ReceivedLoads {
    at: policy::Moment,
    loads: peer::Loads,
}

/// The loads that this entry VM has received, and its own.
#[derive(Debug)]
pub struct LoadTable {
    this_vm: id::VmId,
    az: id::AzId,
    incarnation: id::Incarnation,
    seq: u64,
    own_work: peer::Work,
    work_by_vm: collections::BTreeMap<id::VmId, ReceivedWork>,
    loads_by_az: collections::BTreeMap<id::AzId, ReceivedLoads>,
}

impl LoadTable {
    /// Creates a table without loads.
    pub fn new(this_vm: id::VmId, az: id::AzId, incarnation: id::Incarnation) -> Self {
        Self {
            this_vm,
            az,
            incarnation,
            seq: 0,
            own_work: peer::Work { rows: Vec::new() },
            work_by_vm: collections::BTreeMap::new(),
            loads_by_az: collections::BTreeMap::new(),
        }
    }

    /// Sets this VM's load and removes expired loads.
    pub fn set_own_work(&mut self, now: policy::Moment, work: peer::Work) {
        self.own_work = work;
        self.work_by_vm
            .retain(|_, received| now < received.at + LOAD_EXPIRY);
    }

    /// Records the load of another entry VM of this availability zone.
    pub fn receive_work(&mut self, now: policy::Moment, from: id::VmId, work: peer::Work) {
        if from != self.this_vm {
            self.work_by_vm.insert(from, ReceivedWork { at: now, work });
        }
    }

    /// Records the load of another availability zone. True: it is new and must be relayed to the
    /// other entry VMs of this availability zone.
    pub fn receive_loads(&mut self, now: policy::Moment, loads: &peer::Loads) -> bool {
        if loads.az == self.az {
            return false;
        }
        let known = self.loads_by_az.get(&loads.az);
        let old = known.is_some_and(|received| {
            let known = &received.loads;
            let stale = loads.by == known.by
                && (loads.incarnation, loads.seq) <= (known.incarnation, known.seq);
            // Ignores a second reporter while the first one's last report is recent.
            let other_reporter = loads.by > known.by && now < received.at + LOAD_EXPIRY;
            stale || other_reporter
        });
        if old {
            return false;
        }
        let loads = loads.clone();
        self.loads_by_az
            .insert(loads.az.clone(), ReceivedLoads { at: now, loads });
        true
    }

    /// The number of entry VMs of this availability zone with a current load, including this one.
    pub fn members(&self) -> u32 {
        self.work_by_vm.len() as u32 + 1
    }

    /// Requests of a service that are in flight or queued in this availability zone.
    pub fn az_in_flight(&self, service: &id::ServiceId) -> u32 {
        self.rows(service).map(|row| row.in_hand).sum()
    }

    /// Whether this VM is the reporter of its availability zone.
    pub fn is_reporter(&self) -> bool {
        self.work_by_vm.keys().all(|vm| *vm > self.this_vm)
    }

    /// The load of this availability zone to report, if this VM is the reporter.
    pub fn next_report(&mut self) -> Option<peer::Loads> {
        if !self.is_reporter() {
            return None;
        }
        self.seq += 1;
        Some(peer::Loads {
            az: self.az.clone(),
            by: self.this_vm.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            rows: self.sum(),
        })
    }

    /// Summaries of all known loads, for the plan.
    pub fn summaries(&self, now: policy::Moment) -> Vec<plan::Summary> {
        let mut all = Vec::new();
        for row in self.sum() {
            all.push(summary(&self.az, row, time::Duration::ZERO));
        }
        for (az, received) in &self.loads_by_az {
            let age = now.saturating_sub(received.at);
            let rows = received.loads.rows.iter();
            all.extend(rows.map(|row| summary(az, row.clone(), age)));
        }
        all
    }

    fn rows<'a>(&'a self, service: &'a id::ServiceId) -> impl Iterator<Item = &'a peer::WorkRow> {
        let work_by_vm = self
            .work_by_vm
            .values()
            .flat_map(|received| &received.work.rows);
        let all = self.own_work.rows.iter().chain(work_by_vm);
        all.filter(move |row| row.service == *service)
    }

    fn sum(&self) -> Vec<peer::WorkRow> {
        let work_by_vm = self
            .work_by_vm
            .values()
            .flat_map(|received| &received.work.rows);
        let mut sums: collections::BTreeMap<_, peer::WorkRow> = collections::BTreeMap::new();
        for row in self.own_work.rows.iter().chain(work_by_vm) {
            let Some(sum) = sums.get_mut(&row.service) else {
                sums.insert(row.service.clone(), row.clone());
                continue;
            };
            // All VMs list the same backend servers; a VM with fewer may be more current.
            sum.slots = sum.slots.min(row.slots);
            sum.in_use = sum.in_use.max(row.in_use);
            sum.in_hand += row.in_hand;
            for (region, work) in &row.demand {
                *sum.demand.entry(region.clone()).or_default() += work;
            }
        }
        sums.into_values().collect()
    }
}

fn summary(az: &id::AzId, row: peer::WorkRow, age: time::Duration) -> plan::Summary {
    plan::Summary {
        az: az.clone(),
        service: row.service,
        slots: row.slots,
        in_use: row.in_use,
        demand: row.demand,
        age,
    }
}

/// The demand of callers in slots, by their region, smoothed over the last windows.
#[derive(Debug, Default)]
pub struct Demand {
    window_start: policy::Moment,
    window_work: collections::BTreeMap<(id::ServiceId, id::RegionId), f64>,
    rates: collections::BTreeMap<(id::ServiceId, id::RegionId), f64>,
    mean_service_times: collections::BTreeMap<id::ServiceId, f64>,
}

/// Smoothing factor of a request's mean service time: an average over about 64 requests.
const SERVICE_TIME_SMOOTHING_FACTOR: f64 = 1.0 / 64.0;

impl Demand {
    /// Smoothing factor of the rates: each window of [`REPORT_INTERVAL`] contributes half.
    const RATE_SMOOTHING_FACTOR: f64 = 0.5;

    /// Records a request with its expected service time, `work`.
    /// `region` is that of the caller's address. With `None` the request adds no demand.
    pub fn record(
        &mut self,
        service: &id::ServiceId,
        region: Option<&id::RegionId>,
        work: time::Duration,
    ) {
        let work = work.as_secs_f64();
        let mean = self
            .mean_service_times
            .entry(service.clone())
            .or_insert(work);
        *mean += SERVICE_TIME_SMOOTHING_FACTOR * (work - *mean);
        if let Some(region) = region {
            let key = (service.clone(), region.clone());
            *self.window_work.entry(key).or_default() += work;
        }
    }

    /// The mean service time of a request.
    pub fn mean_service_time(&self, service: &id::ServiceId) -> time::Duration {
        let mean = self.mean_service_times.get(service).copied().unwrap_or(0.0);
        time::Duration::from_secs_f64(mean)
    }

    /// Ends a window and updates the rates.
    pub fn end_window(&mut self, now: policy::Moment) {
        let passed = now.saturating_sub(self.window_start).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.window_start = now;
        let window_work = std::mem::take(&mut self.window_work);
        for key in window_work.keys() {
            self.rates.entry(key.clone()).or_default();
        }
        for (key, rate) in &mut self.rates {
            let current = window_work.get(key).copied().unwrap_or(0.0) / passed;
            *rate += Self::RATE_SMOOTHING_FACTOR * (current - *rate);
        }
        self.rates.retain(|_, rate| *rate > 1e-6);
    }

    /// The demand for a service, in slots, by the callers' region.
    pub fn by_region(&self, service: &id::ServiceId) -> collections::BTreeMap<id::RegionId, f64> {
        let of_service = self.rates.iter().filter(|((of, _), _)| of == service);
        of_service
            .map(|((_, region), rate)| (region.clone(), *rate))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: policy::Moment = policy::Moment::from_secs(1);

    fn work(in_hand: u32) -> peer::Work {
        peer::Work {
            rows: vec![peer::WorkRow {
                service: "s".into(),
                slots: 12,
                in_hand,
                in_use: 1.0,
                demand: [("r".into(), 2.0)].into(),
            }],
        }
    }

    fn table(this_vm: &str, az: &str) -> LoadTable {
        LoadTable::new(this_vm.into(), az.into(), id::Incarnation(1))
    }

    #[test]
    fn the_lowest_name_reports_the_sum() {
        let (mut low, mut high) = (table("a1", "a"), table("a2", "a"));
        for table in [&mut low, &mut high] {
            table.set_own_work(S, work(3));
        }
        low.receive_work(S, "a2".into(), work(4));
        high.receive_work(S, "a1".into(), work(3));
        assert_eq!(high.next_report(), None);
        let loads = low.next_report().unwrap();
        assert_eq!((loads.rows[0].slots, loads.rows[0].in_hand), (12, 7));
        assert_eq!(loads.rows[0].demand["r"], 4.0);
        // The reporter crashes; the other takes over once its load has expired.
        high.set_own_work(S * 5, work(3));
        assert!(high.next_report().is_some());
    }

    /// Messages are duplicated and reordered. An older load that replaced a newer one would show
    /// capacity that is already in use; a load relayed twice would circulate forever.
    #[test]
    fn an_older_load_is_ignored() {
        let mut remote = table("a1", "a");
        remote.set_own_work(S, work(1));
        let (first, second) = (remote.next_report().unwrap(), remote.next_report().unwrap());
        let mut local = table("b1", "b");
        assert!(local.receive_loads(S, &second));
        assert!(!local.receive_loads(S, &first));
        assert!(!local.receive_loads(S, &second));
        let ages: Vec<_> = local.summaries(S * 4).iter().map(|s| s.age).collect();
        assert_eq!(ages, [S * 3]);
    }

    #[test]
    fn demand_follows_the_callers_work() {
        let mut demand = Demand::default();
        for window in 1..20 {
            for _ in 0..100 {
                demand.record(&"s".into(), Some(&"r".into()), S / 50);
            }
            demand.end_window(S * window);
        }
        assert!((demand.by_region(&"s".into())["r"] - 2.0).abs() < 0.01);
    }
}
