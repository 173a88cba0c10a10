//! Request outcomes counted per service, and a bounded history of one snapshot per minute.
//!
//! VMs keep no data on disk, and the burn report needs windows of up to six hours. Each entry
//! process therefore keeps the counts of the last six hours in memory and reports how far back
//! they reach. The history of a replaced VM starts with its process; the burn report shows the
//! missing time instead of counting it as good.

use std::collections;
use std::time;

use crate::{id, metrics};

/// The interval between snapshots.
const SNAPSHOT_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Snapshots in the history: six hours and the one at their start.
const MAX_SNAPSHOTS: usize = 361;

/// Services with a history. A snapshot of one service takes about 300 bytes, so the whole history
/// takes about 7 MB.
const MAX_SERVICES: usize = metrics::MAX_LABEL_VALUES;

/// Latency buckets: those of the metrics, and one for all higher latencies.
const LATENCY_BUCKET_COUNT: usize = metrics::LATENCY_BUCKETS.len() + 1;

data! {
    /// Counts of one service's requests by outcome.
    #[derive(Eq)]
    pub struct Totals {
        /// Requests that a backend server answered with success.
        pub answered: u64,
        /// Requests that a backend server answered with a failure.
        pub failed: u64,
        /// Requests that did not run.
        pub not_run: u64,
        /// Requests that may have run.
        pub unknown: u64,
        /// Answers within the objective's latency.
        pub in_time: u64,
        /// Total worth of the answered requests.
        pub worth_answered: u64,
        /// Total worth of all other requests.
        pub worth_lost: u64,
        /// Answers per latency bucket of the metrics, not cumulative.
        pub latency: Vec<u64>,
    }

    /// The request counts of a window.
    pub struct Window {
        /// The requested length of the window, in seconds.
        pub asked_s: u64,
        /// The length that the history covers, in seconds.
        pub covers_s: u64,
        /// The counts.
        pub totals: Totals,
        /// The highest observed number of requests in flight and waiting.
        pub peak_in_hand: u64,
    }

    /// The request counts of one past interval, for a plot.
    pub struct Stretch {
        /// The end of the interval, in seconds before now.
        pub ago_s: u64,
        /// The length of the interval, in seconds.
        pub lasted_s: u64,
        /// The counts.
        pub totals: Totals,
        /// The highest observed number of requests in flight and waiting.
        pub peak_in_hand: u64,
    }
}

impl Default for Totals {
    fn default() -> Self {
        Self {
            answered: 0,
            failed: 0,
            not_run: 0,
            unknown: 0,
            in_time: 0,
            worth_answered: 0,
            worth_lost: 0,
            latency: vec![0; LATENCY_BUCKET_COUNT],
        }
    }
}

impl Totals {
    /// The number of all requests.
    pub fn requests(&self) -> u64 {
        self.answered + self.failed + self.not_run + self.unknown
    }

    /// Counts an answer in its latency bucket.
    pub fn count_latency(&mut self, latency: time::Duration) {
        let s = latency.as_secs_f64();
        let bucket = metrics::LATENCY_BUCKETS.partition_point(|upper| *upper < s);
        self.latency[bucket] += 1;
    }

    /// Adds the counts of another VM or interval.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u64::saturating_add);
    }

    /// The counts since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut diff = self.clone();
        diff.combine(earlier, u64::saturating_sub);
        diff
    }

    fn combine(&mut self, other: &Self, op: fn(u64, u64) -> u64) {
        for (value, other_value) in [
            (&mut self.answered, other.answered),
            (&mut self.failed, other.failed),
            (&mut self.not_run, other.not_run),
            (&mut self.unknown, other.unknown),
            (&mut self.in_time, other.in_time),
            (&mut self.worth_answered, other.worth_answered),
            (&mut self.worth_lost, other.worth_lost),
        ] {
            *value = op(*value, other_value);
        }
        for (value, other_value) in self.latency.iter_mut().zip(&other.latency) {
            *value = op(*value, *other_value);
        }
    }

    /// The latency quantile for `share`, in seconds; `None` without answers. The value is the upper
    /// bound of a bucket, so it is never too small, but may be up to twice the true value, and up
    /// to three times above 2 s.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let all: u64 = self.latency.iter().sum();
        if all == 0 {
            return None;
        }
        let mut remaining = (share * all as f64).ceil() as u64;
        for (n, count) in self.latency.iter().enumerate() {
            if remaining <= *count {
                let upper = metrics::LATENCY_BUCKETS.get(n).copied();
                return Some(upper.unwrap_or(f64::INFINITY));
            }
            remaining -= count;
        }
        Some(f64::INFINITY)
    }
}

#[derive(Debug)]
struct Snapshot {
    at: time::Duration,
    services: collections::BTreeMap<id::ServiceId, Totals>,
    peaks: collections::BTreeMap<id::ServiceId, u64>,
}

/// The current counts of each service and their past snapshots.
#[derive(Debug, Default)]
pub struct History {
    current: collections::BTreeMap<id::ServiceId, Totals>,
    peaks: collections::BTreeMap<id::ServiceId, u64>,
    snapshots: collections::VecDeque<Snapshot>,
}

impl History {
    /// The current counts of a service for modification; `None` if there are too many services.
    pub fn totals(&mut self, service: &id::ServiceId) -> Option<&mut Totals> {
        if !self.current.contains_key(service) {
            if self.current.len() >= MAX_SERVICES {
                return None;
            }
            self.current.insert(service.clone(), Totals::default());
        }
        self.current.get_mut(service)
    }

    /// The services with counts.
    pub fn services(&self) -> impl Iterator<Item = &id::ServiceId> {
        self.current.keys()
    }

    /// Records the current number of a service's requests in flight and waiting.
    pub fn record_in_flight(&mut self, service: &id::ServiceId, count: u64) {
        if self.totals(service).is_some() {
            let peak = self.peaks.entry(service.clone()).or_default();
            *peak = (*peak).max(count);
        }
    }

    /// Takes a snapshot if one is due. The first one, at the process start, is empty.
    pub fn tick(&mut self, at: time::Duration) {
        let due = self
            .snapshots
            .back()
            .is_none_or(|last| at >= last.at + SNAPSHOT_INTERVAL);
        if !due {
            return;
        }
        if self.snapshots.len() >= MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(Snapshot {
            at,
            services: self.current.clone(),
            peaks: std::mem::take(&mut self.peaks),
        });
    }

    /// A service's request counts of the last `asked_s` seconds, or of the whole history if that is
    /// shorter.
    pub fn window(&self, service: &id::ServiceId, at: time::Duration, asked_s: u64) -> Window {
        let from = at.saturating_sub(time::Duration::from_secs(asked_s));
        let older = self
            .snapshots
            .iter()
            .rev()
            .find(|snapshot| snapshot.at <= from);
        let start = older.or(self.snapshots.front());
        let now = self.current.get(service).cloned().unwrap_or_default();
        let Some(start) = start else {
            return Window {
                asked_s,
                covers_s: 0,
                totals: now,
                peak_in_hand: 0,
            };
        };
        let inside = self
            .snapshots
            .iter()
            .filter(|snapshot| snapshot.at > start.at);
        let peaks = inside.filter_map(|snapshot| snapshot.peaks.get(service));
        let latest = self.peaks.get(service);
        Window {
            asked_s,
            covers_s: (at - start.at).as_secs().min(asked_s),
            totals: start
                .services
                .get(service)
                .map_or(now.clone(), |before| now.since(before)),
            peak_in_hand: peaks.chain(latest).max().copied().unwrap_or(0),
        }
    }

    /// A service's history in at most `max_count` intervals, oldest first.
    pub fn stretches(
        &self,
        service: &id::ServiceId,
        at: time::Duration,
        max_count: usize,
    ) -> Vec<Stretch> {
        let step = self.snapshots.len().div_ceil(max_count.max(1)).max(1);
        let none = Totals::default();
        let service_totals =
            |snapshot: &Snapshot| snapshot.services.get(service).unwrap_or(&none).clone();
        let bounds: Vec<usize> = (0..self.snapshots.len()).step_by(step).collect();
        let mut intervals = Vec::new();
        for pair in bounds.windows(2) {
            let (from, to) = (&self.snapshots[pair[0]], &self.snapshots[pair[1]]);
            let inside = self.snapshots.range(pair[0] + 1..=pair[1]);
            intervals.push(Stretch {
                ago_s: at.saturating_sub(to.at).as_secs(),
                lasted_s: (to.at - from.at).as_secs(),
                totals: service_totals(to).since(&service_totals(from)),
                peak_in_hand: inside
                    .filter_map(|snapshot| snapshot.peaks.get(service))
                    .max()
                    .copied()
                    .unwrap_or(0),
            });
        }
        intervals
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn minute(n: u64) -> time::Duration {
        SNAPSHOT_INTERVAL * u32::try_from(n).unwrap()
    }

    fn run(minutes: u64) -> History {
        let mut history = History::default();
        let service = id::ServiceId::from("ledger");
        for n in 0..minutes {
            history.tick(minute(n));
            let totals = history.totals(&service).unwrap();
            totals.answered += 10;
            totals.count_latency(time::Duration::from_millis(4));
        }
        history
    }

    #[test]
    fn a_window_counts_only_its_own_requests() {
        let history = run(20);
        let window = history.window(&"ledger".into(), minute(20), 300);
        assert_eq!((window.covers_s, window.totals.answered), (300, 50));
        assert_eq!(window.totals.quantile(0.99), Some(0.005));
    }

    /// The history of a VM that started ten minutes ago covers only ten minutes of six hours.
    #[test]
    fn a_window_reports_the_time_that_it_covers() {
        let window = run(10).window(&"ledger".into(), minute(10), 21_600);
        assert_eq!((window.covers_s, window.totals.answered), (600, 100));
    }

    #[test]
    fn history_is_bounded_in_time_and_services() {
        let mut history = run(1000);
        assert_eq!(history.snapshots.len(), MAX_SNAPSHOTS);
        let window = history.window(&"ledger".into(), minute(1000), 21_600);
        assert_eq!(window.covers_s, 21_600);
        assert!(history.stretches(&"ledger".into(), minute(1000), 60).len() <= 60);
        for n in 0..1000 {
            let _ = history.totals(&format!("service-{n}").as_str().into());
        }
        assert_eq!(history.services().count(), MAX_SERVICES);
    }
}
