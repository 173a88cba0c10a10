//! What the report says, worked out from the entry VMs' answers and the settings.

use std::collections;

use crate::protocol::history;
use crate::state::totals;
use crate::{id, settings};

/// Burn over both 5 minutes and 1 hour that raises an alert.
pub const FAST_BURN: f64 = 14.4;

/// Burn over both 1 hour and 6 hours that raises an alert.
pub const SLOW_BURN: f64 = 6.0;

/// Requests in the shorter window without which no alert is raised: below it one failed request
/// is already a fast burn.
const FEWEST: u64 = 20;

/// A place that got no request for so long is empty, in seconds.
const QUIET_S: u64 = 5;

data! {
    /// The whole report.
    pub struct Report {
        /// When it was made, in seconds since 1970.
        pub at_s: u64,
        /// Entry VMs that answered.
        pub entries: usize,
        /// Those that did not, and why.
        pub silent: Vec<String>,
        /// Each service.
        pub services: Vec<Service>,
        /// Each drain in force.
        pub drains: Vec<Drain>,
    }

    /// One service.
    pub struct Service {
        /// Its name.
        pub name: id::ServiceId,
        /// What its owners promise.
        pub objective: settings::Objective,
        /// Burn over each window, shortest first.
        pub windows: Vec<Window>,
        /// What burns too fast, for people.
        pub alerts: Vec<String>,
        /// Each region's load.
        pub regions: Vec<Region>,
        /// The past in equal parts, oldest first.
        pub points: Vec<Point>,
    }

    /// Burn over one window.
    pub struct Window {
        /// How long the window is, in seconds.
        pub asked_s: u64,
        /// Entry VMs whose memory reaches as far back.
        pub full: usize,
        /// Entry VMs that know the service.
        pub of: usize,
        /// How far back the shortest memory reaches, in seconds.
        pub shortest_s: u64,
        /// All requests.
        pub requests: u64,
        /// The share of requests that were not answered.
        pub unanswered: f64,
        /// That share over the share that the objective allows. 1 uses the budget up exactly.
        pub answered_burn: f64,
        /// The share of answers that came too late.
        pub late: f64,
        /// That share over the share that the objective allows.
        pub in_time_burn: f64,
        /// Half of the answers came within this, in seconds.
        pub p50_s: Option<f64>,
        /// 99% of the answers came within this, in seconds.
        pub p99_s: Option<f64>,
        /// Worth answered.
        pub worth_answered: u64,
        /// Worth lost: not run, failed, or of unknown fate.
        pub worth_lost: u64,
        /// Requests of unknown fate.
        pub unknown: u64,
    }

    /// A region's load by a service.
    pub struct Region {
        /// Its name.
        pub name: id::RegionId,
        /// Slots of its backend servers.
        pub slots: u64,
        /// Requests in flight and waiting.
        pub in_hand: u64,
        /// The load that no steering decision may exceed.
        pub max_load: f64,
    }

    /// One stretch of the past.
    pub struct Point {
        /// When it ended, in seconds before the report.
        pub ago_s: u64,
        /// All requests.
        pub requests: u64,
        /// The share that was not answered.
        pub unanswered: f64,
        /// The share of answers that came too late.
        pub late: f64,
        /// 99% of the answers came within this, in seconds.
        pub p99_s: Option<f64>,
        /// The most requests in hand, over the slots.
        pub peak_load: f64,
    }

    /// How a drain goes.
    pub struct Drain {
        /// The place.
        pub target: String,
        /// When it began, in seconds since 1970.
        pub start_s: u64,
        /// How long traffic still went there, in seconds since the start.
        pub took_s: u64,
        /// Whether nothing goes there any more.
        pub empty: bool,
        /// Requests that it still works on.
        pub in_flight: u64,
    }
}

impl Service {
    /// Whether any window has requests.
    pub fn is_used(&self) -> bool {
        self.windows.iter().any(|window| window.requests > 0)
    }
}

impl Region {
    /// In hand over slots.
    pub fn load(&self) -> f64 {
        share(self.in_hand, self.slots)
    }
}

impl Report {
    /// Adds up what entry VMs told.
    pub fn make(
        settings: &settings::Settings,
        told: &[history::History],
        silent: Vec<String>,
        at_s: u64,
    ) -> Self {
        let services = settings.services().map(|service| {
            let found: Vec<_> = told
                .iter()
                .filter_map(|vm| Some((vm.az.as_str(), vm.services.get(&service.name)?)))
                .collect();
            of_service(settings, service, &found)
        });
        Self {
            at_s,
            entries: told.len(),
            silent,
            services: services.collect(),
            drains: drains(told),
        }
    }
}

type Found<'a> = [(&'a str, &'a history::Service)];

fn of_service(
    settings: &settings::Settings,
    service: &settings::Service,
    found: &Found<'_>,
) -> Service {
    let windows: Vec<Window> = history::DEFAULT_WINDOWS_S
        .iter()
        .map(|asked_s| window(service, found, *asked_s))
        .collect();
    let regions = regions(settings, found);
    let slots = regions.iter().map(|region| region.slots).sum();
    Service {
        name: service.name.clone(),
        objective: service.objective.clone(),
        alerts: alerts(&windows),
        windows,
        points: points(found, slots),
        regions,
    }
}

fn window(service: &settings::Service, found: &Found<'_>, asked_s: u64) -> Window {
    let mut all = totals::Totals::default();
    let (mut full, mut of, mut shortest_s) = (0, 0, asked_s);
    for (_, told) in found {
        let Some(window) = told.windows.iter().find(|w| w.asked_s == asked_s) else {
            continue;
        };
        all.add(&window.totals);
        of += 1;
        full += usize::from(window.covers_s >= asked_s);
        shortest_s = shortest_s.min(window.covers_s);
    }
    let bad = all.requests() - all.answered;
    let unanswered = share(bad, all.requests());
    let late = share(all.answered - all.in_time.min(all.answered), all.answered);
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

/// Reads one objective's burn off a window.
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
            if short.requests >= FEWEST && burn(short) > limit && burn(long) > limit {
                found.push(format!(
                    "objective `{name}` burns {:.1} times too fast over {} and {:.1} times over {}; {limit} is the most",
                    burn(short),
                    span(short.asked_s),
                    burn(long),
                    span(long.asked_s),
                ));
            }
        }
    }
    found
}

/// Slots of an availability zone count once, however many entry VMs see them.
fn regions(settings: &settings::Settings, found: &Found<'_>) -> Vec<Region> {
    let mut azs = collections::BTreeMap::<&str, (u64, u64)>::new();
    for (az, told) in found {
        let sum = azs.entry(az).or_default();
        sum.0 = sum.0.max(told.slots);
        sum.1 += told.in_hand;
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

/// Adds the VMs' stretches up on one grid, as coarse as the coarsest of them.
fn points(found: &Found<'_>, slots: u64) -> Vec<Point> {
    let stretches = || found.iter().flat_map(|(_, told)| &told.stretches);
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
        unanswered: share(all.requests() - all.answered, all.requests()),
        late: share(all.answered - all.in_time.min(all.answered), all.answered),
        p99_s: all.quantile(0.99),
        peak_load: share(peak, slots),
    };
    grid.into_iter().rev().map(point).collect()
}

fn drains(told: &[history::History]) -> Vec<Drain> {
    let mut found = collections::BTreeMap::<(&str, u64), Drain>::new();
    for drain in told.iter().flat_map(|vm| &vm.drains) {
        let key = (drain.target.as_str(), drain.start_s);
        let sum = found.entry(key).or_insert_with(|| Drain {
            target: drain.target.clone(),
            start_s: drain.start_s,
            took_s: 0,
            empty: true,
            in_flight: 0,
        });
        sum.took_s = sum.took_s.max(drain.last_sent_s.unwrap_or(0));
        sum.empty &= drain.quiet_s >= QUIET_S && drain.in_flight == 0;
        sum.in_flight += drain.in_flight;
    }
    found.into_values().collect()
}

/// A part of a whole, 0 of nothing.
fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// A window's length for people.
pub fn span(s: u64) -> String {
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

    fn ledger(told: &[history::History]) -> Service {
        let report = Report::make(&settings(), told, Vec::new(), 0);
        let ledger = |service: &Service| service.name.as_str() == "ledger";
        report.services.into_iter().find(ledger).unwrap()
    }

    /// A region's backend servers fail and bookings are turned away on one VM of two.
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

    /// One VM was replaced ten minutes ago and has forgotten what was before.
    #[test]
    fn a_window_says_how_many_vms_reach_back() {
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
