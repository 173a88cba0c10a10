//! What callers ask and when, and what fails: the same for every policy that is compared.

use std::time;

use rand::{RngExt, SeedableRng};

use super::Deployment;
use crate::decisions::policy::Moment;

/// A stretch of time with a steady rate of calls.
#[derive(Clone, Debug)]
pub struct Phase {
    /// How long it lasts.
    pub lasts: time::Duration,
    /// The rate in each region, as a share of what that region's slots can bear.
    pub load: Vec<f64>,
}

/// Something that goes wrong, or is planned.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A backend server takes this many times as long.
    Slow(usize, f64),
    /// A backend server answers each request at once with a failure.
    FailFast(usize),
    /// A backend server is as it was before [`Fault::Slow`] or [`Fault::FailFast`].
    Mend(usize),
    /// Every backend server starts cold.
    ColdFleet,
    /// Reports stay as they are now.
    FreezeReports,
    /// A backend server reports that it is idle, whatever it does.
    Lie(usize),
    /// A backend server is about to go; it says so, and the list of VMs says so a little later.
    Leave(usize),
    /// A region's VMs and backend servers die.
    RegionDown(usize),
    /// They are back, with empty memories.
    RegionUp(usize),
}

/// How callers behave.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// How many there are.
    pub count: u64,
    /// The share of calls that come from [`Callers::HOT`] of them.
    pub hot_share: f64,
    /// They ask again once this share of their patience has passed without an answer. 1 is
    /// never.
    pub impatience: f64,
    /// The share of calls that crash the backend server that runs them.
    pub killers: f64,
    /// How often a caller asks again.
    pub resends: u32,
    /// Bytes of one request and its answer.
    pub bytes: u64,
}

impl Callers {
    /// How many callers the hot share comes from.
    pub const HOT: u64 = 5;
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            count: 5_000,
            hot_share: 0.0,
            impatience: 1.0,
            killers: 0.0,
            resends: 3,
            bytes: 2_000,
        }
    }
}

/// One load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Its name in tables.
    pub name: &'static str,
    /// The seed of its calls.
    pub seed: u64,
    /// The rates, one after the other.
    pub phases: Vec<Phase>,
    /// What goes wrong, in the order of time.
    pub faults: Vec<(Moment, Fault)>,
    /// How callers behave.
    pub callers: Callers,
}

impl Pattern {
    /// A steady load in all regions for `lasts`.
    pub fn steady(name: &'static str, regions: usize, load: f64, lasts: time::Duration) -> Self {
        Self {
            name,
            seed: 1,
            phases: vec![Phase {
                lasts,
                load: vec![load; regions],
            }],
            faults: Vec::new(),
            callers: Callers::default(),
        }
    }

    /// How long calls come in.
    pub fn lasts(&self) -> time::Duration {
        self.phases.iter().map(|phase| phase.lasts).sum()
    }
}

/// One thing that one caller wants.
#[derive(Clone, Debug)]
pub struct Call {
    /// When the caller first asks.
    pub at: Moment,
    /// When the caller stops waiting for good.
    pub deadline: Moment,
    /// The index of what it asks for.
    pub op: usize,
    /// The region that is nearest to the caller.
    pub region: usize,
    /// Who asks.
    pub caller: u64,
    /// The time that a warm, sound backend server works on it.
    pub work: time::Duration,
    /// It crashes the backend server that runs it.
    pub killer: bool,
    /// Picks one of the entry VMs.
    pub pick: usize,
}

/// All calls of a pattern, in the order of time.
pub fn calls(dep: &Deployment, pattern: &Pattern) -> Vec<Call> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(pattern.seed);
    let mut calls = Vec::new();
    for region in 0..dep.regions {
        let mut start = Moment::ZERO;
        for phase in &pattern.phases {
            let rate = phase.load[region] * dep.capacity() / dep.regions as f64;
            let end = start + phase.lasts;
            let mut at = start + gap(&mut rng, rate);
            while at < end {
                calls.push(call(&mut rng, dep, pattern, region, at));
                at += gap(&mut rng, rate);
            }
            start = end;
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn gap(rng: &mut rand_chacha::ChaCha8Rng, rate: f64) -> time::Duration {
    if rate <= 0.0 {
        return time::Duration::from_secs(1 << 20);
    }
    time::Duration::from_secs_f64(exponential(rng) / rate)
}

fn exponential(rng: &mut rand_chacha::ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// The part of the work that every request needs; the rest is drawn.
const FIXED_WORK: f64 = 0.7;

fn call(
    rng: &mut rand_chacha::ChaCha8Rng,
    dep: &Deployment,
    pattern: &Pattern,
    region: usize,
    at: Moment,
) -> Call {
    let mut draw = rng.random::<f64>();
    let op = dep
        .ops
        .iter()
        .position(|op| {
            draw -= op.share;
            draw < 0.0
        })
        .unwrap_or(dep.ops.len() - 1);
    let callers = &pattern.callers;
    let hot = rng.random::<f64>() < callers.hot_share;
    let caller = match hot {
        true => rng.random_range(0..Callers::HOT),
        false => rng.random_range(Callers::HOT..callers.count),
    };
    let factor = FIXED_WORK + (1.0 - FIXED_WORK) * exponential(rng);
    Call {
        at,
        deadline: at + dep.ops[op].patience,
        op,
        region,
        caller,
        work: dep.ops[op].typical.mul_f64(factor),
        killer: rng.random::<f64>() < callers.killers,
        pick: rng.random::<u32>() as usize,
    }
}
