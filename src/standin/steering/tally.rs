//! Results for callers in one run, and the observed peaks against their limits.

use std::collections;

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Total worth of all requests.
    pub offered: u64,
    /// Total worth of the requests that were answered before their deadline.
    pub worth: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Requests that were sent to another availability zone.
    pub spilled: u64,
    /// Requests that another availability zone refused.
    pub bounced: u64,
    /// Requests that were lost with a VM, a backend server or a connection.
    pub lost: u64,
    /// Largest increase per step of the share of traffic that other regions serve.
    pub largest_shift: f64,
    /// Limit on `largest_shift`.
    pub cap: f64,
    /// Highest load of a region, over the seconds in which it served callers of other regions.
    pub peak_load: f64,
    /// Limit on `peak_load`.
    pub max_load: f64,
    /// Seconds in which a region exceeded `max_load` while it served callers of other regions.
    pub seconds_over: u64,
    /// Share of the first region's requests that it served itself in the last complete step.
    pub home_at_end: f64,
    /// Highest share of a link's capacity that was used in one second.
    pub peak_link: f64,
    pub(super) latencies_us: Vec<u32>,
    pub(super) served: collections::BTreeMap<u64, collections::BTreeMap<(usize, usize), u64>>,
    pub(super) requests: collections::BTreeMap<u64, u64>,
    pub(super) busy_us: collections::BTreeMap<(u64, usize), f64>,
    pub(super) foreign: collections::BTreeMap<(u64, usize), u64>,
    pub(super) link_bytes: collections::BTreeMap<(u64, usize, usize), u64>,
}

/// Amount by which the load of one second may exceed the limit, because arrivals are random: 0.02
/// of a region's twelve slots is a quarter of a slot.
const LOAD_TOLERANCE_SHARE: f64 = 0.02;

impl Tally {
    /// Latency quantile of the answers, in milliseconds. `share` is from 0 to 1.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * share) as usize;
        sorted
            .get(at.min(sorted.len().saturating_sub(1)))
            .map_or(0.0, |us| f64::from(*us) / 1e3)
    }

    /// Number of violated limits, out of those on shifts, region load and link load.
    pub fn violations(&self) -> u64 {
        let over = |bad: bool| u64::from(bad);
        over(self.largest_shift > self.cap)
            + over(self.peak_load > self.max_load + LOAD_TOLERANCE_SHARE)
            + over(self.peak_link > 1.0)
    }

    /// Computes the results from the counters by step and by second.
    pub(super) fn finish(&mut self, region_slots: f64, link_bytes_per_s: f64) {
        self.largest_shift = self.shifts();
        self.home_at_end = self.home_at_end();
        for (at, us) in &self.busy_us {
            let load = us / 1e6 / region_slots;
            let foreign = self.foreign.get(at).copied().unwrap_or(0);
            if foreign > 0 {
                self.peak_load = self.peak_load.max(load);
                self.seconds_over += u64::from(load > self.max_load + LOAD_TOLERANCE_SHARE);
            }
        }
        let peak_bytes = self.link_bytes.values().max().copied().unwrap_or(0);
        self.peak_link = peak_bytes as f64 / link_bytes_per_s;
    }

    fn home_at_end(&self) -> f64 {
        let Some(served) = self.served.values().rev().nth(1) else {
            return 0.0;
        };
        let of_first = served.iter().filter(|((from, _), _)| *from == 0);
        let all: u64 = of_first.map(|(_, n)| n).sum();
        let home = served.get(&(0, 0)).copied().unwrap_or(0);
        home as f64 / all.max(1) as f64
    }

    fn shifts(&self) -> f64 {
        let mut largest = 0.0f64;
        let mut before = collections::BTreeMap::new();
        for (step, requests) in &self.requests {
            let empty = collections::BTreeMap::new();
            let served = self.served.get(step).unwrap_or(&empty);
            let away = |cells: &collections::BTreeMap<(usize, usize), u64>| {
                let away = cells.iter().filter(|((from, to), _)| from != to);
                away.map(|(cell, n)| (*cell, *n as f64 / *requests as f64))
                    .collect::<collections::BTreeMap<_, _>>()
            };
            let now = away(served);
            let grown = now.iter().map(|(cell, share)| {
                let old = before.get(cell).copied().unwrap_or(0.0);
                (share - old).max(0.0f64)
            });
            largest = largest.max(grown.sum());
            before = now;
        }
        largest
    }
}
