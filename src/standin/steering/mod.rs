//! A virtual-time model of traffic between availability zones, to compare steering variants.
//!
//! The model drives the real [`cross_az`], [`grants`] and [`plan`] modules with fixed arrivals. An
//! availability zone is a pool of slots behind one queue. Messages have fixed delays, load reports
//! are sent twice per second, and callers cache a look-up for five seconds. The model reads no
//! clock and seeds all randomness, so every run gives the same results.

mod callers;
mod places;
mod play;
pub mod scenarios;
mod tally;
mod upkeep;

use std::path;
use std::time;

use crate::decisions::{cross_az, grants, plan, policy};
use crate::{id, settings};

pub use play::play;
pub use tally::Tally;

/// Rule by which traffic may move between availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Excess traffic goes to the next nearest availability zone, without a limit.
    Naive,
    /// Only the weights of the plan move traffic.
    PlanOnly,
    /// The plan, and each sender moves its own fraction to zones whose stale reports show capacity.
    OwnFraction,
    /// The plan, and spillover under grants.
    Grants,
    /// Spillover under grants while no plan can be written.
    GrantsOnly,
}

impl Variant {
    /// All variants, starting with the naive one.
    pub const ALL: [Self; 5] = [
        Self::Naive,
        Self::PlanOnly,
        Self::OwnFraction,
        Self::GrantsOnly,
        Self::Grants,
    ];

    /// Name in result tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::PlanOnly => "plan only",
            Self::OwnFraction => "plan + own fraction",
            Self::GrantsOnly => "grants, no plan",
            Self::Grants => "plan + grants",
        }
    }

    fn plans(self) -> bool {
        matches!(self, Self::PlanOnly | Self::OwnFraction | Self::Grants)
    }

    fn grants(self) -> bool {
        matches!(self, Self::GrantsOnly | Self::Grants)
    }
}

/// A failure or its end. Regions are numbered from 0 in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All backend servers of a region fail; its entry VMs keep running.
    BackendsDown(usize),
    /// All backend servers and entry VMs of a region fail.
    RegionDown(usize),
    /// A region is partitioned from the other regions and the store.
    Cut(usize),
    /// The partition ends.
    Heal(usize),
}

/// A load with faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in result tables.
    pub name: &'static str,
    /// Length of the scenario.
    pub duration: time::Duration,
    /// Load of each region as a share of its slots, from the given time on.
    pub loads: Vec<(policy::Moment, Vec<f64>)>,
    /// Faults and their times.
    pub faults: Vec<(policy::Moment, Fault)>,
    /// A drain. Its times are in seconds from the start of the scenario.
    pub drain: Option<settings::Drain>,
    /// Size of one request and its answer, in bytes.
    pub bytes: u64,
}

/// The modelled service of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Settings of the deployment.
    pub settings: settings::Settings,
    /// Settings of the service.
    pub service: settings::Service,
    /// Number of slots in each availability zone.
    pub slots: u32,
    /// Share of the requests of each operation.
    pub shares: Vec<f64>,
}

impl Deployment {
    /// The booking ledger of the `cooperative` example. `root` is the package directory.
    pub fn ledger(root: &path::Path) -> Result<Self, settings::Error> {
        let settings = settings::Settings::read(&root.join("examples/cooperative"))?;
        let service = settings.service("ledger");
        let service = service.expect("the example declares it").clone();
        Ok(Self {
            slots: 2 * service.slots,
            settings,
            service,
            shares: vec![0.2, 0.1, 0.7],
        })
    }

    /// Mean processing time of a request.
    pub fn mean_work(&self) -> time::Duration {
        let ops = self.service.operations.iter().zip(&self.shares);
        let ms: f64 = ops.map(|(op, share)| op.typical_ms * share).sum();
        time::Duration::from_secs_f64(ms / 1e3)
    }

    fn one_way(&self, a: &id::AzId, b: &id::AzId) -> time::Duration {
        let region = |az| &self.settings.region_of(az).expect("it is declared").name;
        let (from, to) = (region(a), region(b));
        if from == to {
            return time::Duration::from_millis(1);
        }
        let mut links = self.settings.links();
        let link = links.find(|link| link.from == *from && link.to == *to);
        time::Duration::from_secs_f64(link.expect("it is declared").one_way_ms / 1e3)
    }

    fn routes(&self, from: &id::AzId) -> Vec<cross_az::Route> {
        let local_region = &self.settings.region_of(from).expect("it is declared").name;
        let others = self.service.azs.iter().filter(|az| *az != from);
        others
            .map(|az| {
                let region = &self.settings.region_of(az).expect("it is declared").name;
                cross_az::Route {
                    az: az.clone(),
                    region: (region != local_region).then(|| region.clone()),
                    one_way: self.one_way(from, az),
                }
            })
            .collect()
    }
}

/// A practically unlimited grant, for the variant without grants.
fn unlimited_grant(service: &id::ServiceId, az: &id::AzId) -> grants::Grant {
    grants::Grant {
        id: grants::GrantId {
            incarnation: id::Incarnation(0),
            number: 0,
        },
        service: service.clone(),
        az: az.clone(),
        vm: "any".into(),
        slots: 1_000,
        per_s: 1e6,
        ttl: time::Duration::from_secs(1),
    }
}

/// The plan that applies before any load report.
fn initial_plan(dep: &Deployment) -> plan::Plan {
    let weights = plan::initial_weights(&dep.settings, &dep.service);
    plan::Plan {
        version: 1,
        services: [(dep.service.name.clone(), weights)].into(),
    }
}
