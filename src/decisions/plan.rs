//! Computes the plan: each availability zone's share of each region's callers, per service.
//!
//! Load pattern: a region exceeds its limit, or an availability zone is lost or drained, for longer
//! than routing single requests to other AZs is meant for. Every request would first be refused or
//! forwarded by the overloaded AZ for hours while slots elsewhere are idle.
//!
//! [`target`] computes the weights from settings, lagging summaries and drains: the local callers
//! of a region first, then callers of other regions, nearest region first, never above a region's
//! limit. Demand that fits nowhere stays in its home region. [`step`] moves the weights towards the
//! target by a bounded share per version. Each node applies versions within the same bound
//! ([`AppliedPlan`]), so that neither a node that missed versions nor two writers that both assume
//! they hold the lease move callers faster than one writer.
//!
//! A caller's hash determines its availability zones ([`rank_azs`]), so that most callers stay
//! where their data is cached; [`churn`] computes the exact share of callers that a change moves.
//!
//! Summaries lag. An availability zone with a summary older than [`Config::fresh_max_age`] gets no
//! more callers of other regions; beyond [`Config::lost_after`] it counts as lost.

use std::collections;
use std::sync;
use std::time;

use super::policy;
use crate::{id, settings};

/// Share of callers per availability zone; the sum is 1.
pub type Weights = collections::BTreeMap<id::AzId, f64>;

/// The weights of one service, by the callers' region.
pub type WeightsByRegion = collections::BTreeMap<id::RegionId, Weights>;

/// Shares below this are rounding errors.
const SHARE_EPSILON: f64 = 1e-9;

/// Bisection steps to find the largest change within the bound, accurate to [`SHARE_EPSILON`].
const BISECTION_STEPS: u32 = 40;

data! {
    /// One version of the plan.
    #[derive(Default)]
    pub struct Plan {
        /// Increases by one with each version.
        pub version: u64,
        /// The weights of each service.
        pub services: collections::BTreeMap<id::ServiceId, WeightsByRegion>,
    }

    /// The last load report of an availability zone for one service.
    pub struct Summary {
        /// The availability zone that reports the load.
        pub az: id::AzId,
        /// The service that the load belongs to.
        pub service: id::ServiceId,
        /// Slots of its backend servers that accept requests.
        pub slots: u32,
        /// Slots in use, averaged over about one second.
        pub in_use: f64,
        /// Slots that the offered load needs, answered or not, by the callers' region.
        pub demand: collections::BTreeMap<id::RegionId, f64>,
        /// Age of the summary.
        pub age: time::Duration,
    }
}

/// Thresholds of the plan.
#[derive(Clone, Debug)]
pub struct Config {
    /// Maximum age at which a summary counts fully. Three seconds: two may be lost.
    pub fresh_max_age: time::Duration,
    /// Summary age from which the availability zone counts as lost. Ten seconds: longer than a
    /// restart of its reader, shorter than two lifetimes of callers' cached look-up answers.
    pub lost_after: time::Duration,
    /// The smallest share of callers that a change must move to be written as a version.
    pub min_change_share: f64,
    /// The share of capacity kept free when an availability zone serves callers of other regions.
    /// Three twentieths: at a tenth, random arrivals and cold caches take regions of a dozen slots
    /// over their limit for a few seconds.
    pub margin: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            fresh_max_age: time::Duration::from_secs(3),
            lost_after: time::Duration::from_secs(10),
            min_change_share: 0.005,
            margin: 0.15,
        }
    }
}

impl Config {
    /// Checks that the values are in range.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.fresh_max_age > self.lost_after {
            return Err("fresh_max_age is above lost_after; give an age that is not above it");
        }
        if !(0.0..0.5).contains(&self.min_change_share) || !(0.0..0.5).contains(&self.margin) {
            return Err("min_change_share or margin is out of range; give shares from 0 to 0.5");
        }
        Ok(())
    }
}

/// Inputs of the plan of one service.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The settings in force.
    pub settings: &'a settings::Settings,
    /// The service that the plan is for.
    pub service: &'a settings::Service,
    /// The latest summary of each availability zone.
    pub summaries: &'a [Summary],
    /// The share of capacity that drains leave of each availability zone, from 0 to 1; default 1.
    pub capacity_shares: &'a collections::BTreeMap<id::AzId, f64>,
    /// The weights in force.
    pub current: &'a WeightsByRegion,
}

/// Capacity of one availability zone while a plan is computed, in slots.
#[derive(Clone, Debug)]
struct AzState {
    region: id::RegionId,
    capacity: f64,
    free: f64,
    accepts_remote: bool,
}

type AzStates = collections::BTreeMap<id::AzId, AzState>;

/// The weights that the plan approaches, without a bound on the share of callers that moves.
pub fn target(cfg: &Config, inputs: &Inputs<'_>) -> WeightsByRegion {
    let demand = demand(cfg, inputs);
    let mut az_states = az_states(cfg, inputs);
    let mut placed = collections::BTreeMap::new();
    for region in inputs.settings.regions() {
        let wanted = demand.get(&region.name).copied().unwrap_or(0.0);
        let assigned = assign(&mut az_states, wanted, |state| state.region == region.name);
        placed.insert(region.name.clone(), assigned);
    }
    for (az, state) in &mut az_states {
        state.free = (state.free - cfg.margin * state.capacity).max(0.0);
        state.free = state
            .free
            .min(remote_load_bound(cfg, inputs, &demand, az, state));
    }
    for region in inputs.settings.regions() {
        let wanted = demand.get(&region.name).copied().unwrap_or(0.0);
        let assigned = placed.get_mut(&region.name).expect("inserted above");
        for other in regions_by_delay(inputs.settings, &region.name) {
            let rest = wanted - assigned.values().sum::<f64>();
            if rest <= SHARE_EPSILON * wanted {
                break;
            }
            let more = assign(&mut az_states, rest, |r| {
                r.region == other && r.accepts_remote
            });
            for (az, load) in more {
                *assigned.entry(az).or_default() += load;
            }
        }
    }
    placed
        .into_iter()
        .map(|(region, assigned)| {
            let wanted = demand.get(&region).copied().unwrap_or(0.0);
            let weights = to_weights(&region, wanted, assigned, &az_states, inputs);
            (region, weights)
        })
        .collect()
}

/// The next version's weights, which move at most `max_share` of any region's callers from `now`
/// towards `target`. `None` if every change is below [`Config::min_change_share`].
pub fn step(
    cfg: &Config,
    now: &WeightsByRegion,
    target: &WeightsByRegion,
    max_share: f64,
) -> Option<WeightsByRegion> {
    let mut moved = false;
    let mut next = now.clone();
    for (region, to) in target {
        let Some(from) = now.get(region) else {
            next.insert(region.clone(), to.clone());
            moved = true;
            continue;
        };
        if churn(from, to) < cfg.min_change_share {
            continue;
        }
        next.insert(region.clone(), step_towards(from, to, max_share));
        moved = true;
    }
    moved.then_some(next)
}

/// The weights between `from` and `to` nearest to `to` that move at most `max_share` of callers.
pub fn step_towards(from: &Weights, to: &Weights, max_share: f64) -> Weights {
    if churn(from, to) <= max_share + SHARE_EPSILON {
        return to.clone();
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if churn(from, &blend(from, to, middle)) <= max_share {
            low = middle;
        } else {
            high = middle;
        }
    }
    blend(from, to, low)
}

/// The share of callers whose first availability zone in [`rank_azs`] changes with the weights.
///
/// By weighted rendezvous hashing, a caller draws an exponential time, divided by the weight, for
/// each availability zone, and the smallest time wins. A caller stays at an AZ that wins under both
/// sets of weights. The probability is 1 over the sum, over all AZs, of the larger of both ratios
/// of an AZ's weight to the winner's.
pub fn churn(from: &Weights, to: &Weights) -> f64 {
    let weight = |w: &Weights, az: &id::AzId| w.get(az).copied().unwrap_or(0.0);
    let azs: collections::BTreeSet<_> = from.keys().chain(to.keys()).collect();
    let mut stay = 0.0;
    for az in &azs {
        let (a, b) = (weight(from, az), weight(to, az));
        if a <= 0.0 || b <= 0.0 {
            continue;
        }
        let ratios = azs
            .iter()
            .map(|other| (weight(from, other) / a).max(weight(to, other) / b));
        stay += 1.0 / ratios.sum::<f64>();
    }
    (1.0 - stay).max(0.0)
}

/// The availability zones for one caller, ranked by weighted rendezvous hashing; the first serves
/// it by the plan. AZs without weight are omitted.
pub fn rank_azs(weights: &Weights, caller: u64) -> Vec<id::AzId> {
    let mut drawn: Vec<_> = weights
        .iter()
        .filter(|(_, weight)| **weight > 0.0)
        .map(|(az, weight)| (-draw(caller, az).ln() / weight, az))
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    drawn.into_iter().map(|(_, az)| az.clone()).collect()
}

/// The weights without load data: each region's callers are spread evenly over its availability
/// zones that run the service, or over all of the service's AZs if it has none.
pub fn initial_weights(
    settings: &settings::Settings,
    service: &settings::Service,
) -> WeightsByRegion {
    settings
        .regions()
        .map(|region| {
            (
                region.name.clone(),
                even_weights(&home_azs(region, service)),
            )
        })
        .collect()
}

/// The weights in force on one node, which approach the newest known plan version.
#[derive(Debug, Default)]
pub struct AppliedPlan {
    newest: sync::Arc<Plan>,
    services: collections::BTreeMap<id::ServiceId, InForce>,
}

#[derive(Debug)]
struct InForce {
    weights: WeightsByRegion,
    stepped_at: policy::Moment,
}

impl AppliedPlan {
    /// Stores a plan version. Returns false if it is not newer than the newest known one.
    pub fn offer(&mut self, plan: sync::Arc<Plan>) -> bool {
        if plan.version <= self.newest.version {
            return false;
        }
        self.newest = plan;
        true
    }

    /// The newest known version.
    pub fn newest(&self) -> &sync::Arc<Plan> {
        &self.newest
    }

    /// Moves a service's weights towards the newest version by at most `max_share` per step length,
    /// and returns them. The first call for a service uses the newest version unchanged.
    pub fn advance(
        &mut self,
        now: policy::Moment,
        settings: &settings::Settings,
        service: &settings::Service,
        max_share: f64,
    ) -> &WeightsByRegion {
        let newest = self.newest.services.get(&service.name);
        let known = self.services.entry(service.name.clone());
        let in_force = known.or_insert_with(|| InForce {
            weights: newest
                .cloned()
                .unwrap_or_else(|| initial_weights(settings, service)),
            stepped_at: now,
        });
        let step_len = time::Duration::from_millis(service.shift_step_ms);
        let due = now >= in_force.stepped_at + step_len;
        if let (true, Some(newest)) = (due, newest) {
            for (region, to) in newest {
                let from = in_force.weights.get(region);
                let next =
                    from.map_or_else(|| to.clone(), |from| step_towards(from, to, max_share));
                in_force.weights.insert(region.clone(), next);
            }
            in_force.stepped_at = now;
        }
        &in_force.weights
    }
}

fn demand(cfg: &Config, inputs: &Inputs<'_>) -> collections::BTreeMap<id::RegionId, f64> {
    let mut demand: collections::BTreeMap<_, f64> = collections::BTreeMap::new();
    let known = |s: &&Summary| s.service == inputs.service.name && s.age < cfg.lost_after;
    for summary in inputs.summaries.iter().filter(known) {
        for (region, load) in &summary.demand {
            if load.is_finite() && *load > 0.0 {
                *demand.entry(region.clone()).or_default() += load;
            }
        }
    }
    demand
}

fn az_states(cfg: &Config, inputs: &Inputs<'_>) -> AzStates {
    let mut az_states = AzStates::new();
    for az in &inputs.service.azs {
        let Some(region) = inputs.settings.region_of(az) else {
            continue;
        };
        let of_az = |s: &&Summary| s.az == *az && s.service == inputs.service.name;
        let summary = inputs.summaries.iter().find(of_az);
        let live = summary.filter(|s| s.age < cfg.lost_after);
        let capacity_share = inputs
            .capacity_shares
            .get(az)
            .copied()
            .unwrap_or(1.0)
            .clamp(0.0, 1.0);
        let slots = live.map_or(0.0, |s| f64::from(s.slots));
        let capacity = slots * region.max_load * capacity_share;
        az_states.insert(
            az.clone(),
            AzState {
                region: region.name.clone(),
                capacity,
                free: capacity,
                accepts_remote: live.is_some_and(|s| s.age < cfg.fresh_max_age)
                    && capacity_share >= 1.0,
            },
        );
    }
    az_states
}

/// Upper bound on the load of other regions' callers in an AZ, from its slots in use. Callers with
/// cold caches use more slots than their demand shows. If more slots are in use than the capacity
/// less the margin, the bound is the present load of other regions' callers less the excess.
fn remote_load_bound(
    cfg: &Config,
    inputs: &Inputs<'_>,
    demand: &collections::BTreeMap<id::RegionId, f64>,
    az: &id::AzId,
    state: &AzState,
) -> f64 {
    let of_az = |s: &&Summary| s.az == *az && s.service == inputs.service.name;
    let in_use = inputs
        .summaries
        .iter()
        .find(of_az)
        .map_or(0.0, |s| s.in_use);
    let usable = state.capacity * (1.0 - cfg.margin);
    if in_use <= usable {
        return f64::INFINITY;
    }
    let remote = inputs
        .current
        .iter()
        .filter(|(region, _)| **region != state.region);
    let current: f64 = remote
        .map(|(region, weights)| {
            let load = demand.get(region).copied().unwrap_or(0.0);
            load * weights.get(az).copied().unwrap_or(0.0)
        })
        .sum();
    (current - (in_use - usable)).max(0.0)
}

/// Assigns load to the AZs that `fits` selects, in proportion to their free capacity.
fn assign(az_states: &mut AzStates, wanted: f64, fits: impl Fn(&AzState) -> bool) -> Weights {
    let free: f64 = az_states.values().filter(|r| fits(r)).map(|r| r.free).sum();
    let part = if free > 0.0 {
        (wanted / free).clamp(0.0, 1.0)
    } else {
        0.0
    };
    let mut placed = Weights::new();
    for (az, state) in az_states.iter_mut().filter(|(_, state)| fits(state)) {
        let load = state.free * part;
        if load > 0.0 {
            state.free -= load;
            placed.insert(az.clone(), load);
        }
    }
    placed
}

/// Converts assigned load to shares. Unassigned load stays in its home region.
fn to_weights(
    region: &id::RegionId,
    wanted: f64,
    mut placed: Weights,
    az_states: &AzStates,
    inputs: &Inputs<'_>,
) -> Weights {
    let rest = wanted - placed.values().sum::<f64>();
    if wanted <= 0.0 || rest > SHARE_EPSILON * wanted {
        let home = home_weights(region, az_states, inputs);
        let rest = if wanted <= 0.0 { 1.0 } else { rest };
        for (az, part) in home {
            *placed.entry(az).or_default() += part * rest;
        }
    }
    let sum: f64 = placed.values().sum();
    placed.values_mut().for_each(|load| *load /= sum);
    placed
}

/// Weights of a region's availability zones by capacity, or equal ones if none has capacity. Load
/// that fits nowhere stays here, because the plan must not overload other regions.
fn home_weights(region: &id::RegionId, az_states: &AzStates, inputs: &Inputs<'_>) -> Weights {
    let home = az_states
        .iter()
        .filter(|(_, state)| state.region == *region);
    let sum: f64 = home.clone().map(|(_, state)| state.capacity).sum();
    if sum > 0.0 {
        return home
            .filter(|(_, state)| state.capacity > 0.0)
            .map(|(az, state)| (az.clone(), state.capacity / sum))
            .collect();
    }
    let declared = inputs.settings.regions().find(|r| r.name == *region);
    even_weights(&declared.map_or_else(Vec::new, |r| home_azs(r, inputs.service)))
}

fn home_azs(region: &settings::Region, service: &settings::Service) -> Vec<id::AzId> {
    let runs = |az: &&id::AzId| service.azs.contains(az);
    let home: Vec<_> = region.azs.iter().filter(runs).cloned().collect();
    if home.is_empty() {
        service.azs.clone()
    } else {
        home
    }
}

fn even_weights(azs: &[id::AzId]) -> Weights {
    let part = 1.0 / azs.len().max(1) as f64;
    azs.iter().map(|az| (az.clone(), part)).collect()
}

/// The regions that a link connects to `from`, nearest first.
fn regions_by_delay(settings: &settings::Settings, from: &id::RegionId) -> Vec<id::RegionId> {
    let mut links: Vec<_> = settings.links().filter(|l| l.from == *from).collect();
    links.sort_by(|a, b| {
        let by_delay = a.one_way_ms.total_cmp(&b.one_way_ms);
        by_delay.then_with(|| a.to.cmp(&b.to))
    });
    links.into_iter().map(|link| link.to.clone()).collect()
}

fn blend(from: &Weights, to: &Weights, part: f64) -> Weights {
    let mut mixed = Weights::new();
    for (az, weight) in from {
        *mixed.entry(az.clone()).or_default() += (1.0 - part) * weight;
    }
    for (az, weight) in to {
        *mixed.entry(az.clone()).or_default() += part * weight;
    }
    mixed.retain(|_, weight| *weight > 0.0);
    mixed
}

/// A pseudo-random number above 0 and at most 1 for a caller and an AZ; the same on every node.
fn draw(caller: u64, az: &id::AzId) -> f64 {
    let mut hash = caller ^ 0x9e37_79b9_7f4a_7c15;
    for byte in az.as_str().bytes() {
        hash = mix(hash ^ u64::from(byte));
    }
    ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The finalizer of splitmix64: each input bit affects all output bits.
fn mix(mut hash: u64) -> u64 {
    hash = hash.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    use std::path;

    fn cooperative() -> settings::Settings {
        settings::Settings::read(path::Path::new("examples/cooperative")).unwrap()
    }

    fn summary(az: &str, region: &str, demand: f64) -> Summary {
        Summary {
            az: az.into(),
            service: "ledger".into(),
            slots: 6,
            in_use: demand,
            demand: [(region.into(), demand)].into(),
            age: time::Duration::from_secs(1),
        }
    }

    fn all_summaries(demand: f64) -> Vec<Summary> {
        ["ulaanbaatar", "khovd", "dornod"]
            .iter()
            .flat_map(|region| {
                let short = if *region == "ulaanbaatar" {
                    "ub"
                } else {
                    region
                };
                ["a", "b"].map(|az| summary(&format!("{short}-{az}"), region, demand))
            })
            .collect()
    }

    fn plan(summaries: &[Summary], capacity_shares: &[(&str, f64)]) -> WeightsByRegion {
        let settings = cooperative();
        let service = settings.service("ledger").unwrap();
        let now = initial_weights(&settings, service);
        let capacity_shares = capacity_shares
            .iter()
            .map(|(az, l)| ((*az).into(), *l))
            .collect();
        let inputs = Inputs {
            settings: &settings,
            service,
            summaries,
            capacity_shares: &capacity_shares,
            current: &now,
        };
        let cfg = Config {
            margin: 0.1,
            ..Config::default()
        };
        target(&cfg, &inputs)
    }

    fn weight(plan: &WeightsByRegion, region: &str, az: &str) -> f64 {
        plan[region].get(az).copied().unwrap_or(0.0)
    }

    #[test]
    fn callers_stay_home_without_overload() {
        let plan = plan(&all_summaries(3.0), &[]);
        assert!((weight(&plan, "khovd", "khovd-a") - 0.5).abs() < 1e-9);
        assert_eq!(plan["khovd"].len(), 2);
    }

    /// One region's load doubles; it must not move more than other regions' callers leave free.
    #[test]
    fn a_surge_moves_only_into_free_capacity() {
        let mut summaries = all_summaries(4.0);
        summaries[2].demand.insert("khovd".into(), 9.0);
        let plan = plan(&summaries, &[]);
        let away = 1.0 - weight(&plan, "khovd", "khovd-a") - weight(&plan, "khovd", "khovd-b");
        assert!((away - (13.0 - 10.8) / 13.0).abs() < 1e-6, "{away}");
    }

    /// Guards against a cascade: the callers of a lost region must not overload a second one. Those
    /// that fit nowhere stay at home and are refused there.
    #[test]
    fn a_lost_region_does_not_overload_the_others() {
        let mut summaries = all_summaries(4.0);
        for summary in &mut summaries[2..4] {
            summary.age = time::Duration::from_secs(60);
        }
        summaries[0].demand.insert("khovd".into(), 8.0);
        let plan = plan(&summaries, &[]);
        let to_ub = weight(&plan, "khovd", "ub-a") + weight(&plan, "khovd", "ub-b");
        assert!(8.0 * to_ub + 8.0 <= 10.8, "{to_ub}");
        assert!(to_ub > 0.2, "{to_ub}");
        let home = weight(&plan, "khovd", "khovd-a") + weight(&plan, "khovd", "khovd-b");
        assert!(home > 0.2, "{home}");
    }

    #[test]
    fn a_drained_az_keeps_no_callers() {
        let plan = plan(&all_summaries(2.0), &[("khovd-a", 0.0)]);
        assert_eq!(weight(&plan, "khovd", "khovd-a"), 0.0);
        assert_eq!(weight(&plan, "khovd", "khovd-b"), 1.0);
    }

    /// Guards against using free capacity that only an outdated summary shows.
    #[test]
    fn an_az_with_an_old_summary_gets_no_more_callers() {
        let mut summaries = all_summaries(4.0);
        summaries[2].demand.insert("khovd".into(), 9.0);
        for summary in &mut summaries[4..] {
            summary.age = time::Duration::from_secs(5);
        }
        let plan = plan(&summaries, &[]);
        assert_eq!(weight(&plan, "khovd", "dornod-a"), 0.0);
        assert!(weight(&plan, "khovd", "ub-a") > 0.0);
    }

    #[test]
    fn churn_equals_the_share_of_callers_that_move() {
        let from: Weights = [("a".into(), 0.5), ("b".into(), 0.5)].into();
        let to: Weights = [("a".into(), 0.5), ("b".into(), 0.3), ("c".into(), 0.2)].into();
        let moved = (0..20_000u64)
            .filter(|i| rank_azs(&from, mix(*i))[0] != rank_azs(&to, mix(*i))[0])
            .count();
        let measured = moved as f64 / 20_000.0;
        let computed = churn(&from, &to);
        assert!((measured - computed).abs() < 0.01, "{measured} {computed}");
        assert!((churn(&from, &step_towards(&from, &to, 0.05)) - 0.05).abs() < 1e-4);
    }

    /// Guards against a node that was partitioned during many versions and applies them at once, so
    /// that all of its callers move to cold caches.
    #[test]
    fn a_node_that_missed_versions_keeps_the_bound_per_step() {
        let settings = cooperative();
        let service = settings.service("ledger").unwrap();
        let mut applied = AppliedPlan::default();
        let mut before = applied
            .advance(policy::Moment::ZERO, &settings, service, 0.05)
            .clone();
        let target_weights: Weights = [("dornod-a".into(), 1.0)].into();
        let services = [(
            "ledger".into(),
            [("khovd".into(), target_weights.clone())].into(),
        )]
        .into();
        let plan = sync::Arc::new(Plan {
            version: 40,
            services,
        });
        assert!(applied.offer(plan.clone()));
        assert!(!applied.offer(plan), "the same version again");
        let mut steps = 0;
        for s in 0..1_000 {
            let now = policy::Moment::from_secs(s);
            let next = applied.advance(now, &settings, service, 0.05).clone();
            let moved = churn(&before["khovd"], &next["khovd"]);
            assert!(moved <= 0.05 + 1e-6, "{moved}");
            steps += u32::from(moved > SHARE_EPSILON);
            before = next;
        }
        assert_eq!(before["khovd"], target_weights);
        assert!((20..=21).contains(&steps), "{steps}");
    }
}
