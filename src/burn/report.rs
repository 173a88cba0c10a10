//! Computes the burn report from the entry VMs' histories and the settings.

use std::collections;

use crate::protocol::history;
use crate::state::totals;
use crate::{id, settings};

/// Burn over both 5 minutes and 1 hour that raises an alert.
pub const FAST_BURN: f64 = 14.4;

/// Burn over both 1 hour and 6 hours that raises an alert.
pub const SLOW_BURN: f64 = 6.0;

/// Minimum requests in the shorter window for an alert; below it, one failure is a fast burn.
const MIN_ALERT_REQUESTS: u64 = 20;

/// Time without a request after which a drained target counts as empty.
const MIN_IDLE_S: u64 = 5;

data! {
    /// The burn report.
    pub struct Report {
        /// Time of the report, in seconds since the Unix epoch.
        pub at_s: u64,
        /// Number of entry VMs that answered.
        pub entries: usize,
        /// Errors of the entry VMs that did not answer.
        pub silent: Vec<String>,
        /// Burn by service.
        pub services: Vec<Service>,
        /// Drains in force.
        pub drains: Vec<Drain>,
    }

    /// Burn of one service.
    pub struct Service {
        /// Its name.
        pub name: id::ServiceId,
        /// Service-level objective.
        pub objective: settings::Objective,
        /// Burn over each window, shortest first.
        pub windows: Vec<Window>,
        /// Alert messages for objectives that burn too fast.
        pub alerts: Vec<String>,
        /// Load by region.
        pub regions: Vec<Region>,
        /// History in equal intervals, oldest first.
        pub points: Vec<Point>,
    }

    /// Burn over one window.
    pub struct Window {
        /// Length of the window, in seconds.
        pub asked_s: u64,
        /// Entry VMs whose history covers the entire window.
        pub full: usize,
        /// Entry VMs that report the service.
        pub of: usize,
        /// Length of the shortest history, in seconds.
        pub shortest_s: u64,
        /// Number of requests.
        pub requests: u64,
        /// Share of requests that were not answered.
        pub unanswered: f64,
        /// `unanswered` divided by the share that the objective allows; 1 uses up the budget.
        pub answered_burn: f64,
        /// Share of answers that exceeded the latency objective.
        pub late: f64,
        /// `late` divided by the share that the objective allows.
        pub in_time_burn: f64,
        /// Median latency of answers, in seconds.
        pub p50_s: Option<f64>,
        /// 99th percentile of the answers' latency, in seconds.
        pub p99_s: Option<f64>,
        /// Total worth of answered requests.
        pub worth_answered: u64,
        /// Total worth of requests that were not run, failed or had an unknown outcome.
        pub worth_lost: u64,
        /// Requests with an unknown outcome.
        pub unknown: u64,
    }

    /// Load of one service in one region.
    pub struct Region {
        /// Its name.
        pub name: id::RegionId,
        /// Slots of its backend servers.
        pub slots: u64,
        /// Requests in flight and queued.
        pub in_hand: u64,
        /// Load that no steering decision may exceed.
        pub max_load: f64,
    }

    /// One interval of the history.
    pub struct Point {
        /// Age of the interval's end, in seconds before the report.
        pub ago_s: u64,
        /// Number of requests.
        pub requests: u64,
        /// Share of requests that were not answered.
        pub unanswered: f64,
        /// Share of answers that exceeded the latency objective.
        pub late: f64,
        /// 99th percentile of the answers' latency, in seconds.
        pub p99_s: Option<f64>,
        /// Peak of in-flight and queued requests, divided by the slots.
        pub peak_load: f64,
    }

    /// Progress of a drain.
    pub struct Drain {
        /// The drained target.
        pub target: String,
        /// Start time, in seconds since the Unix epoch.
        pub start_s: u64,
        /// Time from the start to the last request to the target, in seconds.
        pub took_s: u64,
        /// Whether the target has neither traffic nor requests in flight.
        pub empty: bool,
        /// Requests in flight on the target.
        pub in_flight: u64,
    }
}

impl Service {
    /// Whether the service had requests in any window.
    pub fn is_used(&self) -> bool {
        self.windows.iter().any(|window| window.requests > 0)
    }
}

impl Region {
    /// In-flight and queued requests divided by the slots.
    pub fn load(&self) -> f64 {
        ratio(self.in_hand, self.slots)
    }
}

impl Report {
    /// Aggregates the entry VMs' histories.
    pub fn build(
        settings: &settings::Settings,
        histories: &[history::History],
        silent: Vec<String>,
        at_s: u64,
    ) -> Self {
        let services = settings.services().map(|service| {
            let vm_services: Vec<_> = histories
                .iter()
                .filter_map(|vm| Some((vm.az.as_str(), vm.services.get(&service.name)?)))
                .collect();
            service_report(settings, service, &vm_services)
        });
        Self {
            at_s,
            entries: histories.len(),
            silent,
            services: services.collect(),
            drains: drains(histories),
        }
    }
}

type VmServices<'a> = [(&'a str, &'a history::Service)];

fn service_report(
    settings: &settings::Settings,
    service: &settings::Service,
    vm_services: &VmServices<'_>,
) -> Service {
    let windows: Vec<Window> = history::DEFAULT_WINDOWS_S
        .iter()
        .map(|asked_s| window(service, vm_services, *asked_s))
        .collect();
    let regions = regions(settings, vm_services);
    let slots = regions.iter().map(|region| region.slots).sum();
    Service {
        name: service.name.clone(),
        objective: service.objective.clone(),
        alerts: alerts(&windows),
        windows,
        points: points(vm_services, slots),
        regions,
    }
}

fn window(service: &settings::Service, vm_services: &VmServices<'_>, asked_s: u64) -> Window {
    let mut all = totals::Totals::default();
    let (mut full, mut of, mut shortest_s) = (0, 0, asked_s);
    for (_, vm_service) in vm_services {
        let Some(window) = vm_service.windows.iter().find(|w| w.asked_s == asked_s) else {
            continue;
        };
        all.add(&window.totals);
        of += 1;
        full += usize::from(window.covers_s >= asked_s);
        shortest_s = shortest_s.min(window.covers_s);
    }
    let bad = all.requests() - all.answered;
    let unanswered = ratio(bad, all.requests());
    let late = ratio(all.answered - all.in_time.min(all.answered), all.answered);
    Window {
        asked_s,
        full,
        of,
        shortest_s: if of == 0 { 0 } else { shortest_s },
        requests: all.requests(),
        unanswered,
        answered_burn: unanswered / (1.0 - service.objective.answered),
        late,
        in_time_burn: late / (1.0 - service.objective.in_time),
        p50_s: all.quantile(0.5),
        p99_s: all.quantile(0.99),
        worth_answered: all.worth_answered,
        worth_lost: all.worth_lost,
        unknown: all.unknown,
    }
}

/// Returns one objective's burn in a window.
type Burn = fn(&Window) -> f64;

fn alerts(windows: &[Window]) -> Vec<String> {
    let mut found = Vec::new();
    let pairs = [(0, 1, FAST_BURN), (1, 2, SLOW_BURN)];
    let objectives: [(&str, Burn); 2] = [
        ("answered", |window| window.answered_burn),
        ("in_time", |window| window.in_time_burn),
    ];
    for (name, burn) in objectives {
        for (short, long, limit) in pairs {
            let (Some(short), Some(long)) = (windows.get(short), windows.get(long)) else {
                continue;
            };
            if short.requests >= MIN_ALERT_REQUESTS && burn(short) > limit && burn(long) > limit {
                found.push(format!(
                    "objective `{name}` burns {:.1} times too fast over {} and {:.1} times over {}; {limit} is the most",
                    burn(short),
                    format_window(short.asked_s),
                    burn(long),
                    format_window(long.asked_s),
                ));
            }
        }
    }
    found
}

/// Load by region. An availability zone's slots count once, although each of its VMs reports them.
fn regions(settings: &settings::Settings, vm_services: &VmServices<'_>) -> Vec<Region> {
    let mut azs = collections::BTreeMap::<&str, (u64, u64)>::new();
    for (az, vm_service) in vm_services {
        let sum = azs.entry(az).or_default();
        sum.0 = sum.0.max(vm_service.slots);
        sum.1 += vm_service.in_hand;
    }
    let of_region = |region: &settings::Region| {
        let mut sum = Region {
            name: region.name.clone(),
            slots: 0,
            in_hand: 0,
            max_load: region.max_load,
        };
        for az in &region.azs {
            let (slots, in_hand) = azs.get(az.as_str()).copied().unwrap_or_default();
            sum.slots += slots;
            sum.in_hand += in_hand;
        }
        sum
    };
    settings
        .regions()
        .map(of_region)
        .filter(|region| region.slots > 0)
        .collect()
}

/// Aggregates the VMs' intervals, using the longest interval as the common resolution.
fn points(vm_services: &VmServices<'_>, slots: u64) -> Vec<Point> {
    let stretches = || {
        vm_services
            .iter()
            .flat_map(|(_, vm_service)| &vm_service.stretches)
    };
    let step_s = stretches().map(|s| s.lasted_s).max().unwrap_or(60).max(60);
    let mut grid = collections::BTreeMap::<u64, (totals::Totals, u64)>::new();
    for stretch in stretches() {
        let cell = grid.entry(stretch.ago_s / step_s).or_default();
        cell.0.add(&stretch.totals);
        cell.1 += stretch.peak_in_hand;
    }
    let point = |(cell, (all, peak)): (u64, (totals::Totals, u64))| Point {
        ago_s: cell * step_s,
        requests: all.requests(),
        unanswered: ratio(all.requests() - all.answered, all.requests()),
        late: ratio(all.answered - all.in_time.min(all.answered), all.answered),
        p99_s: all.quantile(0.99),
        peak_load: ratio(peak, slots),
    };
    grid.into_iter().rev().map(point).collect()
}

fn drains(histories: &[history::History]) -> Vec<Drain> {
    let mut by_target = collections::BTreeMap::<(&str, u64), Drain>::new();
    for drain in histories.iter().flat_map(|vm| &vm.drains) {
        let key = (drain.target.as_str(), drain.start_s);
        let sum = by_target.entry(key).or_insert_with(|| Drain {
            target: drain.target.clone(),
            start_s: drain.start_s,
            took_s: 0,
            empty: true,
            in_flight: 0,
        });
        sum.took_s = sum.took_s.max(drain.last_sent_s.unwrap_or(0));
        sum.empty &= drain.quiet_s >= MIN_IDLE_S && drain.in_flight == 0;
        sum.in_flight += drain.in_flight;
    }
    by_target.into_values().collect()
}

/// Divides `part` by `whole`; 0 if `whole` is 0.
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// Formats a window's length in the largest unit that divides it.
pub fn format_window(s: u64) -> String {
    match s {
        s if s % 3600 == 0 => format!("{} h", s / 3600),
        s if s % 60 == 0 => format!("{} min", s / 60),
        s => format!("{s} s"),
    }
}

#[cfg(test)]
mod tests {
    use std::path;

    use super::*;

    fn settings() -> settings::Settings {
        settings::Settings::read(path::Path::new("examples/cooperative")).unwrap()
    }

    fn vm(az: &str, covers_s: u64, answered: u64, not_run: u64) -> history::History {
        let totals = totals::Totals {
            answered,
            in_time: answered,
            not_run,
            ..totals::Totals::default()
        };
        let windows = history::DEFAULT_WINDOWS_S
            .iter()
            .map(|asked_s| totals::Window {
                asked_s: *asked_s,
                covers_s: covers_s.min(*asked_s),
                totals: totals.clone(),
                peak_in_hand: 0,
            });
        let service = history::Service {
            slots: 6,
            in_hand: 2,
            windows: windows.collect(),
            stretches: Vec::new(),
        };
        history::History {
            az: az.to_owned(),
            services: [("ledger".into(), service)].into(),
            ..history::History::default()
        }
    }

    fn ledger(histories: &[history::History]) -> Service {
        let report = Report::build(&settings(), histories, Vec::new(), 0);
        let ledger = |service: &Service| service.name.as_str() == "ledger";
        report.services.into_iter().find(ledger).unwrap()
    }

    /// Backend servers fail in a region, and one of two VMs refuses bookings.
    #[test]
    fn refusals_burn_the_budget_and_raise_an_alert() {
        let service = ledger(&[vm("ub-a", 21_600, 990, 0), vm("ub-b", 21_600, 990, 20)]);
        let window = &service.windows[0];
        assert_eq!(window.requests, 2000);
        // 1% unanswered, and the objective allows 0.05%.
        assert!((window.answered_burn - 20.0).abs() < 1e-6);
        assert_eq!(service.alerts.len(), 2, "{:?}", service.alerts);
        assert!(ledger(&[vm("ub-a", 21_600, 990, 0)]).alerts.is_empty());
    }

    /// One VM was replaced ten minutes ago, so its history is shorter than the windows.
    #[test]
    fn a_window_counts_the_vms_that_cover_it() {
        let service = ledger(&[vm("ub-a", 21_600, 10, 0), vm("ub-b", 600, 10, 0)]);
        let reach: Vec<_> = service
            .windows
            .iter()
            .map(|w| (w.full, w.of, w.shortest_s))
            .collect();
        assert_eq!(reach, [(2, 2, 300), (1, 2, 600), (1, 2, 600)]);
    }

    #[test]
    fn the_slots_of_an_availability_zone_count_once() {
        let service = ledger(&[
            vm("ub-a", 60, 1, 0),
            vm("ub-a", 60, 1, 0),
            vm("ub-b", 60, 1, 0),
        ]);
        let region = &service.regions[0];
        assert_eq!((region.slots, region.in_hand), (12, 6));
        assert_eq!(region.load(), 0.5);
    }
}
