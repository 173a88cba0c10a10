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
//! Zadimoghaddam, 2018): a request goes on to the next of the order once the queue at the first
//! costs more than a cold cache does. The second of the order sees an object's overflow each
//! time, so it warms too.

use xxhash_rust::xxh3;

use super::range;

/// Thresholds of placement by object.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// What the second of the order costs more than the first, in requests per slot of load. Work
    /// on a cold object takes about three times the warm time, so it is worth waiting behind up
    /// to two full sets of slots instead.
    pub second: f64,
    /// What each further one costs more: it holds the object in no case, so only a clearly
    /// shorter queue speaks for it.
    pub further: f64,
    /// The load beyond which nothing is sent, in requests per slot. A queue at a backend server
    /// is first come first served, and beyond two requests a slot it is better kept here, where
    /// the more urgent goes first.
    pub most: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            second: 2.0,
            further: 1.0,
            most: 3.5,
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("affinity.second", self.second, 0.0..=10.0)?;
        range::check("affinity.further", self.further, 0.0..=10.0)?;
        range::check("affinity.most", self.most, 0.1..=10.0)
    }
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
    /// Its share of the objects, in slots.
    pub weight: f64,
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

/// The backend server to send to, as an index into `candidates`; `None` where all are full.
/// Without a key, the least loaded; `tie` decides among equals.
pub fn pick(cfg: &Config, key: Option<u64>, tie: u64, candidates: &[Candidate]) -> Option<usize> {
    let mut order: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(i, c)| (rank(key.unwrap_or(tie), c.hash, c.weight), i))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut best: Option<(f64, usize)> = None;
    for (place, (_, i)) in order.into_iter().enumerate() {
        let candidate = &candidates[i];
        let load = candidate.load / candidate.slots.max(1.0);
        if load >= cfg.most {
            continue;
        }
        let cost = load + key.map_or(0.0, |_| handicap(cfg, place));
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, i));
        }
    }
    best.map(|(_, i)| i)
}

/// What a place in an object's order costs. A queue shorter than the slots costs nothing, so it
/// speaks for the first; beyond, each request per slot counts.
fn handicap(cfg: &Config, place: usize) -> f64 {
    match place {
        0 => 0.0,
        n => cfg.second + cfg.further * (n - 1) as f64,
    }
}
