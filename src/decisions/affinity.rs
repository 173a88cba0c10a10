//! Selects the backend server for a request, by the hash of the object that it asks for.
//!
//! Load pattern: backend servers answer several times faster for objects that they handled
//! recently, and cache only a few objects each. Least-loaded placement sends nearly every request
//! to a cold cache: all answers are late, and slots run out at a third of the load that warm
//! caches sustain. The symptom is latency near the cold service time while no backend server is
//! full.
//!
//! Rendezvous hashing of an object's key gives it a preference order of backend servers. All entry
//! VMs compute the same order without messages, and when a backend server leaves, only its own
//! objects move. Load is bounded (consistent hashing with bounded loads, Mirrokni, Thorup and
//! Zadimoghaddam, 2018). Where caches are full, overflow goes to the second position and no
//! further: each further replica evicts another object from a cache. After availability zones are
//! lost and all caches are cold, placement on any backend server with room would keep every cache
//! cold while the load exceeds the cold capacity. With two replicas, an object is warm after one
//! or two requests; requests that do not fit are refused meanwhile.
//!
//! In a large fleet caches are not full: some objects get more requests than two backend servers
//! can answer while other backend servers are idle. The symptom is refusals with a third of the
//! slots busy. So an object may have up to [`MAX_REPLICAS`] replicas in a large region; those
//! beyond the second go only to backend servers that handle few objects and therefore evict
//! nothing. A replica that handled the object recently costs little more than the first, so they
//! share its load; one that did not must handle it cold. Objects that are no longer requested are
//! forgotten, along with their replicas.

use xxhash_rust::xxh3;

use super::{pace, range};

/// The maximum number of backend servers that may handle one object: enough for the most requested
/// object.
pub const MAX_REPLICAS: usize = 6;

/// The number of backend servers that may handle one object in a small region.
pub const SMALL_REGION_REPLICAS: usize = 2;

/// Backend servers of a region per replica of an object. In a small region each is first for many
/// objects, and further replicas, or a queue at the second, would slow these down.
const BACKENDS_PER_REPLICA: usize = 8;

/// Thresholds of placement by object.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Whether requests are placed by object rather than by least load.
    pub by_object: bool,
    /// The extra cost of the second position over the first, in requests per slot. Work on a cold
    /// object takes about three times the warm time, so waiting behind up to two full sets of slots
    /// costs less.
    #[serde(rename = "second")]
    pub second_cost: f64,
    /// The load of the first position at which it accepts no more, in requests per slot. A request
    /// behind 2.5 requests per slot would wait for 1.5 service times and be late; when refused
    /// instead, its caller retries after part of the queue has drained.
    #[serde(rename = "most")]
    pub max_load: f64,
    /// The load, in requests per slot, at which a replica that has not handled the object recently
    /// accepts no more. Only a free slot justifies another cold run: with a bound of 2.5 requests
    /// per slot, caches stay cold for ten seconds after two availability zones of six are lost.
    #[serde(rename = "spill")]
    pub max_cold_load: f64,
    /// The extra cost over the first position where the object was handled recently, in requests
    /// per slot: one request at three slots, so such a replica gets work before the first queues.
    #[serde(rename = "known")]
    pub recent_cost: f64,
    /// A backend server may be a replica beyond the second while this VM has recently sent it fewer
    /// objects than this: half of a small cache, since two VMs send to it.
    #[serde(rename = "few")]
    pub max_objects: usize,
    /// The extra cost of a replica beyond the second, in requests per slot: high enough that the
    /// first fills up before an object is handled cold elsewhere.
    #[serde(rename = "further")]
    pub further_cost: f64,
    /// The factor on [`Self::max_load`] for low-priority requests: half a request per slot stays
    /// free for more urgent ones.
    #[serde(rename = "behind")]
    pub low_priority_factor: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            by_object: true,
            second_cost: 2.0,
            max_load: 2.5,
            max_cold_load: 1.0,
            recent_cost: 0.34,
            max_objects: 4,
            further_cost: 2.0,
            low_priority_factor: 0.8,
        }
    }
}

impl Config {
    /// These thresholds for a request that leaves a share of the room for more urgent ones free.
    pub fn reserving(self, share: f64) -> Self {
        Self {
            low_priority_factor: self.low_priority_factor * share + (1.0 - share),
            ..self
        }
    }

    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("affinity.second", self.second_cost, 0.0..=10.0)?;
        range::check("affinity.most", self.max_load, 0.1..=10.0)?;
        range::check("affinity.spill", self.max_cold_load, 0.0..=10.0)?;
        range::check("affinity.known", self.recent_cost, 0.0..=10.0)?;
        range::check("affinity.further", self.further_cost, 0.0..=10.0)?;
        range::check("affinity.behind", self.low_priority_factor, 0.1..=1.0)
    }
}

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// The hash of its object, if it has one.
    pub key: Option<u64>,
    /// Breaks ties between equally loaded backend servers when there is no object.
    pub tie: u64,
    /// Whether the request leaves room for more urgent ones, or for those of customers within their
    /// shares.
    pub low_priority: bool,
    /// The number of the service's backend servers in the region that serves the request.
    pub region_backends: usize,
}

/// A backend server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The hash of the backend server's name.
    pub hash: u64,
    /// Its number of slots.
    pub slots: f64,
    /// Requests known to run or wait there.
    pub load: f64,
    /// It accepts no more from this VM at the moment, but keeps its position in the order.
    pub full: bool,
    /// Whether this VM has recently sent the object there.
    pub recently_sent: bool,
    /// The number of objects that this VM has recently sent there.
    pub recent_objects: usize,
}

impl Candidate {
    /// The load in requests per slot; `None` if the backend server is full.
    fn load_per_slot(&self) -> Option<f64> {
        (!self.full).then(|| self.load / self.slots.max(1.0))
    }
}

/// Hashes a name or key; the result is the same on every VM and in every version.
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Combines two hashes into one.
pub fn mix(a: u64, b: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&a.to_le_bytes(), b)
}

/// Maps a hash to a number in `[0, 1)`.
pub fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (hash >> (u64::BITS - MANTISSA_BITS)) as f64 / (1_u64 << MANTISSA_BITS) as f64
}

/// The weighted rendezvous score of a backend server for an object. A backend server of weight 2
/// scores highest for twice as many objects as one of weight 1.
pub fn rank(key: u64, candidate: u64, weight: f64) -> f64 {
    let u = unit_interval(mix(key, candidate)).max(f64::MIN_POSITIVE);
    -weight.max(f64::MIN_POSITIVE) / u.ln()
}

/// Returns the index into `candidates` of the backend server to send to; `None` if none has room.
pub fn pick(cfg: &Config, request: &PlacementRequest, candidates: &[Candidate]) -> Option<usize> {
    let max_load = max_load(cfg, request);
    match request.key.filter(|_| cfg.by_object) {
        Some(key) => positions(cfg, key, max_load, request.region_backends, candidates)
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
            .map(|position| position.index),
        None => least_loaded(request.tie, max_load, candidates),
    }
}

/// Like [`pick`], with the pace of each candidate's work.
pub fn pick_by_pace(
    cfg: &Config,
    pace_cfg: &pace::Config,
    request: &PlacementRequest,
    candidates: &[Candidate],
    paces: &[f64],
) -> Option<usize> {
    if paces.iter().all(|pace| *pace == 1.0) {
        return pick(cfg, request, candidates);
    }
    let max_load = max_load(cfg, request);
    let few_objects = |c: &Candidate| c.recent_objects < cfg.max_objects;
    let choice = |index: usize, cost, warm| pace::Choice {
        index,
        hash: candidates[index].hash,
        cost,
        pace: paces.get(index).copied().unwrap_or(1.0),
        warm,
        few_objects: few_objects(&candidates[index]),
    };
    let choices: Vec<pace::Choice> = match request.key.filter(|_| cfg.by_object) {
        Some(key) => positions(cfg, key, max_load, request.region_backends, candidates)
            .map(|position| choice(position.index, position.cost, position.warm))
            .collect(),
        None => with_room(max_load, candidates)
            .map(|(load, i)| choice(i, load, true))
            .collect(),
    };
    pace::choose(pace_cfg, &choices, request.tie)
}

/// Like [`pick`], among candidates that have the object cached and a free slot.
pub fn pick_warm(
    cfg: &Config,
    request: &PlacementRequest,
    candidates: &[Candidate],
) -> Option<usize> {
    let is_warm = |c: &Candidate| c.recently_sent && c.load < c.slots;
    let warm = candidates.iter().map(|c| Candidate {
        full: c.full || !is_warm(c),
        ..*c
    });
    pick(cfg, request, &warm.collect::<Vec<_>>())
}

fn max_load(cfg: &Config, request: &PlacementRequest) -> f64 {
    match request.low_priority {
        true => cfg.max_load * cfg.low_priority_factor,
        false => cfg.max_load,
    }
}

/// A position of an object's preference order that has room.
struct Position {
    /// The cost of sending there, in requests per slot.
    cost: f64,
    /// Whether the backend server is expected to have the object cached.
    warm: bool,
    /// The index among the candidates.
    index: usize,
}

fn positions(
    cfg: &Config,
    key: u64,
    max_load: f64,
    region_backends: usize,
    candidates: &[Candidate],
) -> impl Iterator<Item = Position> {
    let replicas =
        (region_backends / BACKENDS_PER_REPLICA).clamp(SMALL_REGION_REPLICAS, MAX_REPLICAS);
    let limits = LoadLimits {
        first: max_load,
        recent: if replicas > SMALL_REGION_REPLICAS {
            max_load
        } else {
            cfg.max_cold_load
        },
    };
    preferred(key, candidates)
        .into_iter()
        .take(replicas)
        .enumerate()
        .filter_map(move |(position, index)| {
            let candidate = &candidates[index];
            Some(Position {
                cost: cost(cfg, &limits, position, candidate)?,
                warm: position == 0 || candidate.recently_sent,
                index,
            })
        })
}

/// The loads at which a position accepts no more, in requests per slot.
struct LoadLimits {
    /// The limit for the first position.
    first: f64,
    /// The limit for later positions whose backend server handled the object recently.
    recent: f64,
}

/// The cost of sending to a position of the order, in requests per slot; `None` if it accepts no
/// more.
fn cost(cfg: &Config, limits: &LoadLimits, position: usize, candidate: &Candidate) -> Option<f64> {
    let load = candidate.load_per_slot()?;
    if position == 0 {
        return (load < limits.first).then_some(load);
    }
    if candidate.recently_sent {
        return (load < limits.recent).then_some(load + cfg.recent_cost);
    }
    if load >= cfg.max_cold_load {
        return None;
    }
    match position < SMALL_REGION_REPLICAS {
        true => Some(load + cfg.second_cost),
        false => (candidate.recent_objects < cfg.max_objects).then_some(load + cfg.further_cost),
    }
}

/// The first [`MAX_REPLICAS`] candidates in an object's preference order, as indices.
fn preferred(key: u64, candidates: &[Candidate]) -> Vec<usize> {
    let mut order: Vec<(f64, usize)> = Vec::with_capacity(MAX_REPLICAS + 1);
    for (i, candidate) in candidates.iter().enumerate() {
        let rank = rank(key, candidate.hash, candidate.slots);
        let at = order.partition_point(|(before, _)| *before >= rank);
        if at < MAX_REPLICAS {
            order.insert(at, (rank, i));
            order.truncate(MAX_REPLICAS);
        }
    }
    order.into_iter().map(|(_, i)| i).collect()
}

fn least_loaded(tie: u64, max_load: f64, candidates: &[Candidate]) -> Option<usize> {
    let ranked = with_room(max_load, candidates).map(|(load, i)| {
        let c = &candidates[i];
        (load, -rank(tie, c.hash, c.slots), i)
    });
    let least = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
    Some(least.2)
}

/// The load per slot and the index of each candidate below a load.
fn with_room(max_load: f64, candidates: &[Candidate]) -> impl Iterator<Item = (f64, usize)> {
    candidates.iter().enumerate().filter_map(move |(i, c)| {
        let load = c.load_per_slot().filter(|load| *load < max_load)?;
        Some((load, i))
    })
}
