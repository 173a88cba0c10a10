//! Traffic between availability zones in virtual time: what question 2 of the design is measured
//! with.
//!
//! It drives the real [`cross_az`], [`grants`] and [`plan`] with fixed arrivals. An availability
//! zone is a pool of slots with one queue; messages take a fixed time, loads are told twice a
//! second, callers keep a look-up for five seconds. Nothing reads a clock, all randomness is seeded.

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

/// How traffic may move between places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// To the next nearest place, as much as wants to.
    Naive,
    /// By the plan's weights alone.
    PlanOnly,
    /// By the plan, and each sender its own fraction to where a lagging report shows room.
    OwnFraction,
    /// By the plan, and under grants.
    Grants,
    /// Under grants, while no plan can be written.
    GrantsOnly,
}

impl Way {
    /// All ways, the naive one first.
    pub const ALL: [Self; 5] = [
        Self::Naive,
        Self::PlanOnly,
        Self::OwnFraction,
        Self::GrantsOnly,
        Self::Grants,
    ];

    /// Its name in tables.
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

/// Something that goes wrong. Regions are counted from 0 in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A region's backend servers die; its entry VMs run on.
    BackendsDown(usize),
    /// A region's backend servers and entry VMs die.
    RegionDown(usize),
    /// A region and the others, and the store, lose each other.
    Cut(usize),
    /// They find each other again.
    Heal(usize),
}

/// A load and what goes wrong in it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name in tables.
    pub name: &'static str,
    /// How long it lasts.
    pub lasts: time::Duration,
    /// From when on each region has which load, as a share of its slots.
    pub loads: Vec<(policy::Moment, Vec<f64>)>,
    /// What goes wrong when.
    pub faults: Vec<(policy::Moment, Fault)>,
    /// A drain, dated in seconds of the scenario.
    pub drain: Option<settings::Drain>,
    /// Bytes of one request and its answer.
    pub bytes: u64,
}

/// One service of a deployment as it is played.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings.
    pub settings: settings::Settings,
    /// The service.
    pub service: settings::Service,
    /// Slots in each availability zone.
    pub slots: u32,
    /// Each operation's share of the requests.
    pub shares: Vec<f64>,
}

impl Deployment {
    /// The booking ledger of the cooperative. `root` is the directory of the package.
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

    /// The mean time that a request takes.
    pub fn mean(&self) -> time::Duration {
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
        let own = &self.settings.region_of(from).expect("it is declared").name;
        let others = self.service.azs.iter().filter(|az| *az != from);
        others
            .map(|az| {
                let region = &self.settings.region_of(az).expect("it is declared").name;
                cross_az::Route {
                    az: az.clone(),
                    region: (region != own).then(|| region.clone()),
                    one_way: self.one_way(from, az),
                }
            })
            .collect()
    }
}

/// A grant that any number of requests fits, for the way without grants.
fn blank(service: &id::ServiceId, az: &id::AzId) -> grants::Grant {
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

/// The weights before anything is measured.
fn initial(dep: &Deployment) -> plan::Plan {
    let weights = plan::initial_weights(&dep.settings, &dep.service);
    plan::Plan {
        version: 1,
        services: [(dep.service.name.clone(), weights)].into(),
    }
}
