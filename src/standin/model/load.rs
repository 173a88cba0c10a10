//! Load patterns: seeded arrivals of calls, and faults. All compared policies get the same ones.

use std::time;

use rand::{RngExt, SeedableRng};

use super::Deployment;
use crate::decisions::policy::Moment;

/// A period with a constant call rate.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Length of the phase.
    pub duration: time::Duration,
    /// Call rate in each region, as a share of the capacity of the region's slots.
    pub load: Vec<f64>,
}

/// A failure or a planned event.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A backend server's processing time is multiplied by this factor.
    Slow(usize, f64),
    /// A backend server immediately answers each request with a failure.
    FailFast(usize),
    /// A backend server recovers from [`Fault::Slow`] or [`Fault::FailFast`].
    Recover(usize),
    /// Every backend server has cold caches.
    ColdFleet,
    /// Load reports are no longer refreshed.
    FreezeReports,
    /// A backend server always reports that it is idle.
    FalseReports(usize),
    /// A backend server announces a planned stop in its reports. The VM list follows after a delay.
    Leave(usize),
    /// All entry VMs and backend servers of a region fail.
    RegionDown(usize),
    /// All entry VMs and backend servers of a region restart without their previous state.
    RegionUp(usize),
}

/// Behavior of the callers.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// Number of callers.
    pub count: u64,
    /// Share of calls that come from the [`Callers::HOT_COUNT`] most active callers.
    pub hot_share: f64,
    /// Share of its timeout after which a caller without an answer resends the request. At 1 it
    /// never resends for lack of an answer.
    pub resend_after_share: f64,
    /// Share of calls that crash the backend server that runs them.
    pub crash_share: f64,
    /// Maximum number of resends of one call.
    pub max_resends: u32,
    /// Size of one request and its answer, in bytes.
    pub bytes: u64,
}

impl Callers {
    /// Number of callers that send the hot share.
    pub const HOT_COUNT: u64 = 5;
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            count: 5_000,
            hot_share: 0.0,
            resend_after_share: 1.0,
            crash_share: 0.0,
            max_resends: 3,
            bytes: 2_000,
        }
    }
}

/// A load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Name in result tables.
    pub name: &'static str,
    /// Seed from which the calls are drawn.
    pub seed: u64,
    /// Consecutive phases of the load.
    pub phases: Vec<Phase>,
    /// Faults, ordered by time.
    pub faults: Vec<(Moment, Fault)>,
    /// Behavior of the callers.
    pub callers: Callers,
}

impl Pattern {
    /// A pattern with the same constant load in all regions for `duration`.
    pub fn steady(name: &'static str, regions: usize, load: f64, duration: time::Duration) -> Self {
        Self {
            name,
            seed: 1,
            phases: vec![Phase {
                duration,
                load: vec![load; regions],
            }],
            faults: Vec::new(),
            callers: Callers::default(),
        }
    }

    /// Total length of the phases, during which calls arrive.
    pub fn duration(&self) -> time::Duration {
        self.phases.iter().map(|phase| phase.duration).sum()
    }
}

/// One call: an operation that a caller requests, including its resends.
#[derive(Clone, Debug)]
pub struct Call {
    /// When the caller sends the first request.
    pub at: Moment,
    /// When the caller abandons the call.
    pub deadline: Moment,
    /// Index of the operation.
    pub op: usize,
    /// Index of the region nearest to the caller.
    pub region: usize,
    /// Number of the caller.
    pub caller: u64,
    /// Processing time on a warm, healthy backend server.
    pub work: time::Duration,
    /// Whether it crashes the backend server that runs it.
    pub crashes_backend: bool,
    /// Random number that selects one of the entry VMs.
    pub vm_pick: usize,
}

/// Draws all calls of a pattern, ordered by arrival time.
pub fn calls(dep: &Deployment, pattern: &Pattern) -> Vec<Call> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(pattern.seed);
    let mut calls = Vec::new();
    for region in 0..dep.regions {
        let mut start = Moment::ZERO;
        for phase in &pattern.phases {
            let rate = phase.load[region] * dep.capacity() / dep.regions as f64;
            let end = start + phase.duration;
            let mut at = start + draw_gap(&mut rng, rate);
            while at < end {
                calls.push(draw_call(&mut rng, dep, pattern, region, at));
                at += draw_gap(&mut rng, rate);
            }
            start = end;
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn draw_gap(rng: &mut rand_chacha::ChaCha8Rng, rate: f64) -> time::Duration {
    if rate <= 0.0 {
        return time::Duration::from_secs(1 << 20);
    }
    time::Duration::from_secs_f64(draw_exponential(rng) / rate)
}

fn draw_exponential(rng: &mut rand_chacha::ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Constant share of the mean work of a request. The rest is drawn from an exponential law.
const FIXED_WORK_SHARE: f64 = 0.7;

fn draw_call(
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
        true => rng.random_range(0..Callers::HOT_COUNT),
        false => rng.random_range(Callers::HOT_COUNT..callers.count),
    };
    let factor = FIXED_WORK_SHARE + (1.0 - FIXED_WORK_SHARE) * draw_exponential(rng);
    Call {
        at,
        deadline: at + dep.ops[op].timeout,
        op,
        region,
        caller,
        work: dep.ops[op].typical.mul_f64(factor),
        crashes_backend: rng.random::<f64>() < callers.crash_share,
        vm_pick: rng.random::<u32>() as usize,
    }
}
