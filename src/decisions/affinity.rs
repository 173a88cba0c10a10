//! Which backend server gets a request for an object.
//!
//! Load pattern: backend servers that answer several times faster for an object that they handled
//! lately, and keep only a few objects each. Spread over the least loaded, nearly every request
//! meets a cold cache: work takes its full time, everything is late, and slots run out at a third
//! of the load that a warm fleet carries. One notices it as latency near the cold time while no
//! backend server is full.
//!
//! So each object has an order of backend servers, by rendezvous hashing of its key: every entry
//! VM finds the same one without a message, and a backend server that leaves moves only its own
//! objects. The load stays bounded (consistent hashing with bounded loads, Mirrokni, Thorup and
//! Zadimoghaddam, 2018), but at the second of the order, not beyond: each further place that an
//! object reaches pushes another out of a cache there. When zones are lost and all caches are
//! cold, requests that wander to whichever backend server has room keep every cache cold, for as
//! long as the load stays above what cold backend servers carry. Held to two places, each object
//! is handled there once or twice and is warm; what does not fit is refused meanwhile.

use xxhash_rust::xxh3;

use super::range;

/// How many backend servers of its order an object may be handled at.
pub const PLACES: usize = 2;

/// Thresholds of placement by object.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Whether objects have an order of backend servers at all.
    pub by_object: bool,
    /// What the second of the order costs more than the first, in requests per slot of load. Work
    /// on a cold object takes about three times the warm time, so it is worth waiting behind up
    /// to two full sets of slots instead.
    pub second: f64,
    /// The load of the first of the order beyond which nothing is sent, in requests per slot.
    /// What finds two and a half requests a slot ahead waits for one and a half times the work
    /// and is late; refused, its caller is back when part of the queue has gone.
    pub most: f64,
    /// The load of the second of the order from which nothing is sent there. Only a free slot
    /// speaks for handling an object a second time cold; at two and a half requests a slot caches
    /// stayed cold for ten seconds after two zones of six had been lost.
    pub spill: f64,
    /// The part of [`Self::most`] for what leaves room for the more urgent: half a request a slot
    /// stays free for these.
    pub behind: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            by_object: true,
            second: 2.0,
            most: 2.5,
            spill: 1.0,
            behind: 0.8,
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("affinity.second", self.second, 0.0..=10.0)?;
        range::check("affinity.most", self.most, 0.1..=10.0)?;
        range::check("affinity.spill", self.spill, 0.0..=10.0)?;
        range::check("affinity.behind", self.behind, 0.1..=1.0)
    }
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Want {
    /// The hash of its object; `None`: it has none.
    pub key: Option<u64>,
    /// Decides among equally loaded ones where there is no object.
    pub tie: u64,
    /// Whether it leaves room for the more urgent.
    pub behind: bool,
}

/// A backend server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The hash of its name.
    pub hash: u64,
    /// Its slots.
    pub slots: f64,
    /// Requests that run or wait there, as far as known.
    pub load: f64,
    /// It takes nothing more from this VM just now. It keeps its place in the order.
    pub full: bool,
}

impl Candidate {
    /// Its load in requests per slot; `None` where it takes nothing.
    fn room(&self) -> Option<f64> {
        (!self.full).then(|| self.load / self.slots.max(1.0))
    }
}

/// The hash of a name or key, the same on every VM and in every version.
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Two hashes made into one.
pub fn mix(a: u64, b: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&a.to_le_bytes(), b)
}

/// A hash as a number from 0 up to, but not including, 1.
pub fn unit(hash: u64) -> f64 {
    const BITS: u32 = 53;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}

/// How high a backend server stands in an object's order. A weight of 2 stands first for twice as
/// many objects as a weight of 1.
pub fn rank(key: u64, candidate: u64, weight: f64) -> f64 {
    let u = unit(mix(key, candidate)).max(f64::MIN_POSITIVE);
    -weight.max(f64::MIN_POSITIVE) / u.ln()
}

/// The backend server to send to, as an index into `candidates`; `None` where there is no room.
pub fn pick(cfg: &Config, want: &Want, candidates: &[Candidate]) -> Option<usize> {
    let most = match want.behind {
        true => cfg.most * cfg.behind,
        false => cfg.most,
    };
    match want.key.filter(|_| cfg.by_object) {
        Some(key) => by_object(cfg, key, most, candidates),
        None => least_loaded(want.tie, most, candidates),
    }
}

fn by_object(cfg: &Config, key: u64, most: f64, candidates: &[Candidate]) -> Option<usize> {
    let (first, second) = first_two(key, candidates);
    let load = |place: Option<usize>, most: f64| {
        let place = place?;
        let load = candidates[place].room().filter(|load| *load < most)?;
        Some((place, load))
    };
    match (load(first, most), load(second, cfg.spill)) {
        (Some((_, at_first)), Some((second, at_second))) if at_first > at_second + cfg.second => {
            Some(second)
        }
        (Some((first, _)), _) => Some(first),
        (None, second) => second.map(|(second, _)| second),
    }
}

/// The first two of an object's order.
fn first_two(key: u64, candidates: &[Candidate]) -> (Option<usize>, Option<usize>) {
    let (mut first, mut second) = (None, None);
    for (i, candidate) in candidates.iter().enumerate() {
        let ranked = Some((rank(key, candidate.hash, candidate.slots), i));
        if ranked > first {
            (first, second) = (ranked, first);
        } else if ranked > second {
            second = ranked;
        }
    }
    let place = |ranked: Option<(f64, usize)>| ranked.map(|(_, i)| i);
    (place(first), place(second))
}

fn least_loaded(tie: u64, most: f64, candidates: &[Candidate]) -> Option<usize> {
    let with_room = candidates.iter().enumerate().filter_map(|(i, c)| {
        let load = c.room().filter(|load| *load < most)?;
        Some((load, -rank(tie, c.hash, c.slots), i))
    });
    let least = with_room.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
    Some(least.2)
}
