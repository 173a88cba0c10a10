//! The plan: which share of a region's callers belongs to which availability zone, per service.
//!
//! Load pattern: a region stays over its limit, or a place is lost or drained, for longer than a
//! spill is meant for. If each request has to be refused or carried on by the overfull place first,
//! callers pay the detour for hours; one notices a steady rate of spills and refusals beside idle
//! slots elsewhere.
//!
//! [`target`] computes where callers should be from settings, lagging summaries and drains: own
//! callers first, then the nearest regions that have room, never above a region's limit. What fits
//! nowhere stays with its home. [`step`] moves from one version towards it by a bounded share, and
//! each node steps through [`Applied`] within the same bound, so that a node that missed versions
//! does not jump, and so that two writers that both believe they hold the lease cannot move callers
//! faster than one.
//!
//! A caller is placed by its own hash ([`order`]), so that most callers stay where their data is
//! cached; [`churn`] tells exactly which share of them a change of weights moves.
//!
//! Summaries lag. A place whose summary is older than [`Config::fresh`] keeps what it has and is
//! given no more; older than [`Config::gone`] it is taken for lost.

use std::collections;
use std::sync;
use std::time;

use super::policy;
use crate::{id, settings};

/// Shares of callers per availability zone; together 1.
pub type Weights = collections::BTreeMap<id::AzId, f64>;

/// The weights of one service for the callers of each region.
pub type ByRegion = collections::BTreeMap<id::RegionId, Weights>;

/// Shares below this come from rounding.
const NOISE: f64 = 1e-9;

/// Steps of the search for the largest change within the bound; exact to less than [`NOISE`].
const SEARCH: u32 = 40;

data! {
    /// One version of the plan.
    #[derive(Default)]
    pub struct Plan {
        /// Grows by one with each version.
        pub version: u64,
        /// The weights of each service.
        pub services: collections::BTreeMap<id::ServiceId, ByRegion>,
    }

    /// What an availability zone last said of one service.
    pub struct Summary {
        /// The availability zone.
        pub az: id::AzId,
        /// The service.
        pub service: id::ServiceId,
        /// Slots of its backend servers that take work.
        pub slots: u32,
        /// Slots in use, on average over the last second or so.
        pub in_use: f64,
        /// Work that callers bring there, answered or not, in slots, by the callers' region.
        pub demand: collections::BTreeMap<id::RegionId, f64>,
        /// How old this is.
        pub age: time::Duration,
    }
}

/// How the plan trusts summaries.
#[derive(Clone, Debug)]
pub struct Config {
    /// Up to this age a summary counts fully. Three seconds: two may be lost on their way.
    pub fresh: time::Duration,
    /// From this age on the place counts as lost. Ten seconds: longer than a restart of its reader,
    /// shorter than callers go on with answers that they cached twice.
    pub gone: time::Duration,
    /// A change that moves less than this share of callers is not worth a version.
    pub least: f64,
    /// The share of a place's capacity kept free when it is given foreign callers. Three twentieths:
    /// with a tenth, random arrivals and cold caches took regions of a dozen slots over their limit
    /// for a few seconds (`cargo bench --bench steering`).
    pub margin: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            fresh: time::Duration::from_secs(3),
            gone: time::Duration::from_secs(10),
            least: 0.005,
            margin: 0.15,
        }
    }
}

impl Config {
    /// Checks that the values are in range.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.fresh > self.gone {
            return Err("fresh is over gone; give an age that is not above it");
        }
        if !(0.0..0.5).contains(&self.least) || !(0.0..0.5).contains(&self.margin) {
            return Err("least or margin is out of range; give shares from 0 to 0.5");
        }
        Ok(())
    }
}

/// What a plan of one service is computed from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The settings in force.
    pub settings: &'a settings::Settings,
    /// The service.
    pub service: &'a settings::Service,
    /// The last summary of each availability zone.
    pub summaries: &'a [Summary],
    /// What drains leave of each availability zone, from 0 to 1. Absent: 1.
    pub left: &'a collections::BTreeMap<id::AzId, f64>,
    /// The weights in force.
    pub now: &'a ByRegion,
}

/// Room of one availability zone while a plan is computed.
#[derive(Clone, Debug)]
struct Room {
    region: id::RegionId,
    capacity: f64,
    left: f64,
    takes_foreign: bool,
}

type Rooms = collections::BTreeMap<id::AzId, Room>;

/// Where the callers of each region should be, if it could be reached in one step.
pub fn target(cfg: &Config, inputs: &Inputs<'_>) -> ByRegion {
    let demand = demand(cfg, inputs);
    let mut rooms = rooms(cfg, inputs);
    let mut placed = collections::BTreeMap::new();
    for region in inputs.settings.regions() {
        let wanted = demand.get(&region.name).copied().unwrap_or(0.0);
        let own = fill(&mut rooms, wanted, |room| room.region == region.name);
        placed.insert(region.name.clone(), own);
    }
    for (az, room) in &mut rooms {
        room.left = (room.left - cfg.margin * room.capacity).max(0.0);
        room.left = room.left.min(foreign_bound(cfg, inputs, &demand, az, room));
    }
    for region in inputs.settings.regions() {
        let wanted = demand.get(&region.name).copied().unwrap_or(0.0);
        let own = placed.get_mut(&region.name).expect("inserted above");
        for other in by_distance(inputs.settings, &region.name) {
            let rest = wanted - own.values().sum::<f64>();
            if rest <= NOISE * wanted {
                break;
            }
            let more = fill(&mut rooms, rest, |r| r.region == other && r.takes_foreign);
            for (az, work) in more {
                *own.entry(az).or_default() += work;
            }
        }
    }
    placed
        .into_iter()
        .map(|(region, own)| {
            let wanted = demand.get(&region).copied().unwrap_or(0.0);
            let weights = to_weights(&region, wanted, own, &rooms, inputs);
            (region, weights)
        })
        .collect()
}

/// One version's step from `now` towards `target`, moving at most `most` of any region's callers.
/// `None`: what is left to move is not worth a version.
pub fn step(cfg: &Config, now: &ByRegion, target: &ByRegion, most: f64) -> Option<ByRegion> {
    let mut moved = false;
    let mut next = now.clone();
    for (region, to) in target {
        let Some(from) = now.get(region) else {
            next.insert(region.clone(), to.clone());
            moved = true;
            continue;
        };
        if churn(from, to) < cfg.least {
            continue;
        }
        next.insert(region.clone(), towards(from, to, most));
        moved = true;
    }
    moved.then_some(next)
}

/// The weights on the way from `from` to `to` that move at most `most` of the callers.
pub fn towards(from: &Weights, to: &Weights, most: f64) -> Weights {
    if churn(from, to) <= most + NOISE {
        return to.clone();
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..SEARCH {
        let middle = (low + high) / 2.0;
        if churn(from, &blend(from, to, middle)) <= most {
            low = middle;
        } else {
            high = middle;
        }
    }
    blend(from, to, low)
}

/// The share of callers that [`order`] places elsewhere after a change of weights.
///
/// A caller draws an exponential time for each place, scaled by the place's weight, and the first
/// one wins. It stays at a place if that one wins under both weights, whose probability is one over
/// the sum of the larger ratios of weights.
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

/// The availability zones for one caller, the first being its own. Places without weight are left
/// out.
pub fn order(weights: &Weights, caller: u64) -> Vec<id::AzId> {
    let mut drawn: Vec<_> = weights
        .iter()
        .filter(|(_, weight)| **weight > 0.0)
        .map(|(az, weight)| (-draw(caller, az).ln() / weight, az))
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    drawn.into_iter().map(|(_, az)| az.clone()).collect()
}

/// The weights where nothing is measured yet: each region's callers in its own availability zones
/// alike, or in all of the service's where it has none.
pub fn initial(settings: &settings::Settings, service: &settings::Service) -> ByRegion {
    settings
        .regions()
        .map(|region| (region.name.clone(), even(&homes(region, service))))
        .collect()
}

/// What a node has in force, on its way to the newest version.
#[derive(Debug, Default)]
pub struct Applied {
    newest: sync::Arc<Plan>,
    services: collections::BTreeMap<id::ServiceId, InForce>,
}

#[derive(Debug)]
struct InForce {
    weights: ByRegion,
    stepped: policy::Moment,
}

impl Applied {
    /// Takes a version in. False: it is not newer than the newest one known.
    pub fn offer(&mut self, plan: sync::Arc<Plan>) -> bool {
        if plan.version <= self.newest.version {
            return false;
        }
        self.newest = plan;
        true
    }

    /// The newest version known.
    pub fn newest(&self) -> &sync::Arc<Plan> {
        &self.newest
    }

    /// Steps a service towards the newest version, at most one step in each `step`, and returns the
    /// weights in force. A process that starts takes over the newest version as it is.
    pub fn advance(
        &mut self,
        now: policy::Moment,
        settings: &settings::Settings,
        service: &settings::Service,
        most: f64,
    ) -> &ByRegion {
        let newest = self.newest.services.get(&service.name);
        let known = self.services.entry(service.name.clone());
        let in_force = known.or_insert_with(|| InForce {
            weights: newest
                .cloned()
                .unwrap_or_else(|| initial(settings, service)),
            stepped: now,
        });
        let step_len = time::Duration::from_millis(service.shift_step_ms);
        let due = now >= in_force.stepped + step_len;
        if let (true, Some(newest)) = (due, newest) {
            for (region, to) in newest {
                let from = in_force.weights.get(region);
                let next = from.map_or_else(|| to.clone(), |from| towards(from, to, most));
                in_force.weights.insert(region.clone(), next);
            }
            in_force.stepped = now;
        }
        &in_force.weights
    }
}

fn demand(cfg: &Config, inputs: &Inputs<'_>) -> collections::BTreeMap<id::RegionId, f64> {
    let mut demand: collections::BTreeMap<_, f64> = collections::BTreeMap::new();
    let known = |s: &&Summary| s.service == inputs.service.name && s.age < cfg.gone;
    for summary in inputs.summaries.iter().filter(known) {
        for (region, work) in &summary.demand {
            if work.is_finite() && *work > 0.0 {
                *demand.entry(region.clone()).or_default() += work;
            }
        }
    }
    demand
}

fn rooms(cfg: &Config, inputs: &Inputs<'_>) -> Rooms {
    let mut rooms = Rooms::new();
    for az in &inputs.service.azs {
        let Some(region) = inputs.settings.region_of(az) else {
            continue;
        };
        let of_az = |s: &&Summary| s.az == *az && s.service == inputs.service.name;
        let summary = inputs.summaries.iter().find(of_az);
        let live = summary.filter(|s| s.age < cfg.gone);
        let left = inputs.left.get(az).copied().unwrap_or(1.0).clamp(0.0, 1.0);
        let slots = live.map_or(0.0, |s| f64::from(s.slots));
        let capacity = slots * region.max_load * left;
        rooms.insert(
            az.clone(),
            Room {
                region: region.name.clone(),
                capacity,
                left: capacity,
                takes_foreign: live.is_some_and(|s| s.age < cfg.fresh) && left >= 1.0,
            },
        );
    }
    rooms
}

/// The foreign work that a place may have by what its slots show. Callers whose caches are cold cost
/// more than they bring by the settings; a place that is busier than its room tells gives some back.
fn foreign_bound(
    cfg: &Config,
    inputs: &Inputs<'_>,
    demand: &collections::BTreeMap<id::RegionId, f64>,
    az: &id::AzId,
    room: &Room,
) -> f64 {
    let of_az = |s: &&Summary| s.az == *az && s.service == inputs.service.name;
    let in_use = inputs
        .summaries
        .iter()
        .find(of_az)
        .map_or(0.0, |s| s.in_use);
    let wanted = room.capacity * (1.0 - cfg.margin);
    if in_use <= wanted {
        return f64::INFINITY;
    }
    let others = inputs
        .now
        .iter()
        .filter(|(region, _)| **region != room.region);
    let now: f64 = others
        .map(|(region, weights)| {
            let work = demand.get(region).copied().unwrap_or(0.0);
            work * weights.get(az).copied().unwrap_or(0.0)
        })
        .sum();
    (now - (in_use - wanted)).max(0.0)
}

/// Places work in rooms that `fits` picks, in proportion to what they have left.
fn fill(rooms: &mut Rooms, wanted: f64, fits: impl Fn(&Room) -> bool) -> Weights {
    let left: f64 = rooms.values().filter(|r| fits(r)).map(|r| r.left).sum();
    let part = if left > 0.0 {
        (wanted / left).clamp(0.0, 1.0)
    } else {
        0.0
    };
    let mut placed = Weights::new();
    for (az, room) in rooms.iter_mut().filter(|(_, room)| fits(room)) {
        let work = room.left * part;
        if work > 0.0 {
            room.left -= work;
            placed.insert(az.clone(), work);
        }
    }
    placed
}

/// Turns placed work to shares. What found no place stays with its home.
fn to_weights(
    region: &id::RegionId,
    wanted: f64,
    mut placed: Weights,
    rooms: &Rooms,
    inputs: &Inputs<'_>,
) -> Weights {
    let rest = wanted - placed.values().sum::<f64>();
    if wanted <= 0.0 || rest > NOISE * wanted {
        let home = home_weights(region, rooms, inputs);
        let rest = if wanted <= 0.0 { 1.0 } else { rest };
        for (az, part) in home {
            *placed.entry(az).or_default() += part * rest;
        }
    }
    let sum: f64 = placed.values().sum();
    placed.values_mut().for_each(|work| *work /= sum);
    placed
}

/// A region's own places by their capacity, or alike where none has any: what fits nowhere must not
/// be planned into a place that is full.
fn home_weights(region: &id::RegionId, rooms: &Rooms, inputs: &Inputs<'_>) -> Weights {
    let own = rooms.iter().filter(|(_, room)| room.region == *region);
    let sum: f64 = own.clone().map(|(_, room)| room.capacity).sum();
    if sum > 0.0 {
        return own
            .filter(|(_, room)| room.capacity > 0.0)
            .map(|(az, room)| (az.clone(), room.capacity / sum))
            .collect();
    }
    let declared = inputs.settings.regions().find(|r| r.name == *region);
    even(&declared.map_or_else(Vec::new, |r| homes(r, inputs.service)))
}

fn homes(region: &settings::Region, service: &settings::Service) -> Vec<id::AzId> {
    let runs = |az: &&id::AzId| service.azs.contains(az);
    let own: Vec<_> = region.azs.iter().filter(runs).cloned().collect();
    if own.is_empty() {
        service.azs.clone()
    } else {
        own
    }
}

fn even(azs: &[id::AzId]) -> Weights {
    let part = 1.0 / azs.len().max(1) as f64;
    azs.iter().map(|az| (az.clone(), part)).collect()
}

/// The other regions that a link leads to, nearest first.
fn by_distance(settings: &settings::Settings, from: &id::RegionId) -> Vec<id::RegionId> {
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

/// A number above 0 and at most 1 that a caller draws for a place: the same on every node.
fn draw(caller: u64, az: &id::AzId) -> f64 {
    let mut hash = caller ^ 0x9e37_79b9_7f4a_7c15;
    for byte in az.as_str().bytes() {
        hash = mix(hash ^ u64::from(byte));
    }
    ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The finalizer of splitmix64, which spreads each bit over all.
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

    fn all(demand: f64) -> Vec<Summary> {
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

    fn plan(summaries: &[Summary], left: &[(&str, f64)]) -> ByRegion {
        let settings = cooperative();
        let service = settings.service("ledger").unwrap();
        let now = initial(&settings, service);
        let left = left.iter().map(|(az, l)| ((*az).into(), *l)).collect();
        let inputs = Inputs {
            settings: &settings,
            service,
            summaries,
            left: &left,
            now: &now,
        };
        let cfg = Config {
            margin: 0.1,
            ..Config::default()
        };
        target(&cfg, &inputs)
    }

    fn weight(plan: &ByRegion, region: &str, az: &str) -> f64 {
        plan[region].get(az).copied().unwrap_or(0.0)
    }

    #[test]
    fn without_overload_everyone_stays_home() {
        let plan = plan(&all(3.0), &[]);
        assert!((weight(&plan, "khovd", "khovd-a") - 0.5).abs() < 1e-9);
        assert_eq!(plan["khovd"].len(), 2);
    }

    /// A storm doubles one region's load for an hour. What it cannot bear goes to the others only
    /// as far as their own callers leave room.
    #[test]
    fn a_surge_goes_where_there_is_room() {
        let mut summaries = all(4.0);
        summaries[2].demand.insert("khovd".into(), 9.0);
        let plan = plan(&summaries, &[]);
        let away = 1.0 - weight(&plan, "khovd", "khovd-a") - weight(&plan, "khovd", "khovd-b");
        assert!((away - (13.0 - 10.8) / 13.0).abs() < 1e-6, "{away}");
    }

    /// A region is lost. Its callers must not make a second one fall over; those that fit nowhere
    /// are refused at home.
    #[test]
    fn a_lost_region_does_not_overfill_the_others() {
        let mut summaries = all(4.0);
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
    fn a_drained_place_keeps_no_callers() {
        let plan = plan(&all(2.0), &[("khovd-a", 0.0)]);
        assert_eq!(weight(&plan, "khovd", "khovd-a"), 0.0);
        assert_eq!(weight(&plan, "khovd", "khovd-b"), 1.0);
    }

    /// A summary that is some seconds old may show room that is gone.
    #[test]
    fn a_place_that_fell_silent_gets_no_more() {
        let mut summaries = all(4.0);
        summaries[2].demand.insert("khovd".into(), 9.0);
        for summary in &mut summaries[4..] {
            summary.age = time::Duration::from_secs(5);
        }
        let plan = plan(&summaries, &[]);
        assert_eq!(weight(&plan, "khovd", "dornod-a"), 0.0);
        assert!(weight(&plan, "khovd", "ub-a") > 0.0);
    }

    #[test]
    fn churn_tells_how_many_callers_move() {
        let from: Weights = [("a".into(), 0.5), ("b".into(), 0.5)].into();
        let to: Weights = [("a".into(), 0.5), ("b".into(), 0.3), ("c".into(), 0.2)].into();
        let moved = (0..20_000u64)
            .filter(|i| order(&from, mix(*i))[0] != order(&to, mix(*i))[0])
            .count();
        let measured = moved as f64 / 20_000.0;
        let told = churn(&from, &to);
        assert!((measured - told).abs() < 0.01, "{measured} {told}");
        assert!((churn(&from, &towards(&from, &to, 0.05)) - 0.05).abs() < 1e-4);
    }

    /// A node was cut off for an hour while the plan moved on by many versions. Applied at once,
    /// they would throw all its callers onto places that are cold to them.
    #[test]
    fn a_node_that_missed_versions_steps_like_the_others() {
        let settings = cooperative();
        let service = settings.service("ledger").unwrap();
        let mut applied = Applied::default();
        let mut before = applied
            .advance(policy::Moment::ZERO, &settings, service, 0.05)
            .clone();
        let far: Weights = [("dornod-a".into(), 1.0)].into();
        let services = [("ledger".into(), [("khovd".into(), far.clone())].into())].into();
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
            steps += u32::from(moved > NOISE);
            before = next;
        }
        assert_eq!(before["khovd"], far);
        assert!((20..=21).contains(&steps), "{steps}");
    }
}
