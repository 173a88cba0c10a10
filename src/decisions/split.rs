//! Selects the service for each request of a route that is split by weight.
//!
//! Load pattern: a route sends a tenth of its traffic to a new version of a service. With a random
//! choice, both parts would handle each object in turn, and the small part would never have it
//! warm. With a choice by the object's hash alone, a few busy objects decide the shares on all VMs
//! alike. The symptom is a part with twice or half its weight.
//!
//! So each VM estimates how its requests are distributed over the objects, and each part gets a
//! range of objects that holds its weight of the requests. A busy object at the border of two
//! ranges is divided between them; the others stay whole. The estimate doesn't depend on the
//! weights, so new weights apply from the next request on. Requests without an object follow a
//! sequence that keeps the shares in each short run of requests.
//!
//! A VM that has just started knows no distribution, so its first requests go to any part. The
//! estimate also lags behind an object that becomes busy at once, and callers that ask for the same
//! objects in turn make it wrong on all VMs alike. Counts since the parts last changed bound what a
//! part gets beyond its weight meanwhile.

use super::affinity;
use crate::id;

data! {
    /// A part of a split route.
    pub struct Part {
        /// The service that gets the part's requests.
        pub service: id::ServiceId,
        /// The weight relative to the other parts of the route.
        pub weight: f64,
    }
}

/// Requests that the estimate covers at least. Older ones lose their influence.
const ESTIMATE_REQUESTS: f64 = 50.0;

/// Requests, evenly distributed over all objects, that the estimate starts with.
const PRIOR_REQUESTS: f64 = 1.0;

/// Requests that the counts cover. A part whose range is wrong may stay at its largest excess, since
/// the counts forget some of it with each request: its share is then off by that excess divided by
/// this number. So it is larger than [`EXCESS_REQUESTS`].
const COUNTED_REQUESTS: f64 = 100.0;

/// Requests whose ordinary variation a part's excess may reach. It is small, since a VM sees few of
/// the requests over which operators compare the shares, and the excesses of all VMs may add up.
const EXCESS_REQUESTS: f64 = 20.0;

/// Number of ranges of objects whose requests are counted.
const BUCKETS: usize = 64;

/// Requests that a part may always get beyond its weight.
const MIN_EXCESS: f64 = 0.25;

/// The step of the sequence for requests without an object: the golden ratio, whose multiples
/// modulo 1 are the most evenly spread.
const SEQUENCE_STEP: f64 = 0.618_033_988_749_895;

/// How the requests of one route are distributed over its objects.
#[derive(Clone, Debug)]
struct Demand {
    counts: [f64; BUCKETS],
    total: f64,
    /// Number of requests counted so far.
    seen: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            counts: [PRIOR_REQUESTS / BUCKETS as f64; BUCKETS],
            total: PRIOR_REQUESTS,
            seen: 0.0,
        }
    }
}

impl Demand {
    fn bucket(object: u64) -> usize {
        let bucket = affinity::unit_interval(object) * BUCKETS as f64;
        (bucket as usize).min(BUCKETS - 1)
    }

    /// The quantile of a request in the order of objects, from 0 to 1. `random`, in the same range,
    /// orders the requests of a bucket. The first requests of a VM get any quantile: it knows no
    /// distribution yet, and many such VMs would all decide alike.
    fn quantile(&self, object: u64, random: f64) -> f64 {
        let unknown = 1.0 / (1.0 + self.seen);
        if random < unknown {
            return random / unknown;
        }
        let random = (random - unknown) / (1.0 - unknown);
        let bucket = Self::bucket(object);
        let before: f64 = self.counts[..bucket].iter().sum();
        (before + self.counts[bucket] * random) / self.total
    }

    fn count(&mut self, object: u64) {
        self.counts[Self::bucket(object)] += 1.0;
        self.total += 1.0;
        self.seen += 1.0;
        if self.total > ESTIMATE_REQUESTS * 2.0 {
            self.counts.iter_mut().for_each(|n| *n /= 2.0);
            self.total /= 2.0;
        }
    }
}

/// What a VM knows of the requests of one route.
#[derive(Clone, Debug, Default)]
pub struct Split {
    demand: Demand,
    /// The latest value of the sequence for requests without an object.
    sequence: Option<f64>,
    /// The parts that the counts belong to.
    parts: Vec<Part>,
    counts: Vec<f64>,
}

impl Split {
    /// Returns the index of the part that gets the next request. `random` is uniformly distributed
    /// from 0 to 1. The order of `parts` has to stay the same for objects to keep their part.
    pub fn pick(&mut self, parts: &[Part], object: Option<u64>, random: f64) -> usize {
        if self.parts != parts {
            self.parts = parts.to_vec();
            self.counts = vec![0.0; parts.len()];
        }
        let quantile = match object {
            Some(object) => {
                let quantile = self.demand.quantile(object, random);
                self.demand.count(object);
                quantile
            }
            None => self.next_of_sequence(random),
        };
        let chosen = self.bounded(self.part_at(quantile));
        for n in &mut self.counts {
            *n -= *n / COUNTED_REQUESTS;
        }
        if let Some(n) = self.counts.get_mut(chosen) {
            *n += 1.0;
        }
        chosen
    }

    /// The parts' shares of the latest requests since the parts last changed.
    pub fn shares(&self) -> impl Iterator<Item = f64> {
        let total: f64 = self.counts.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        self.counts.iter().map(move |n| n / total)
    }

    fn next_of_sequence(&mut self, random: f64) -> f64 {
        let next = self.sequence.map_or(random, |last| last + SEQUENCE_STEP);
        *self.sequence.insert(next.fract())
    }

    /// The part whose range holds a quantile.
    fn part_at(&self, quantile: f64) -> usize {
        let total = self.total_weight();
        let mut end = 0.0;
        let mut last = 0;
        for (i, part) in self.parts.iter().enumerate() {
            if part.weight <= 0.0 {
                continue;
            }
            last = i;
            end += part.weight / total;
            if quantile < end {
                return i;
            }
        }
        // Only rounding leads here.
        last
    }

    /// Returns `preferred`, or the part that is furthest below its weight if `preferred` is too far
    /// above.
    fn bounded(&self, preferred: usize) -> usize {
        let requests: f64 = self.counts.iter().sum();
        let total = self.total_weight();
        let share = |i: usize| self.parts[i].weight / total;
        let excess = |i: usize| self.counts[i] - share(i) * requests;
        if self.parts.is_empty() || excess(preferred) <= max_excess(requests, share(preferred)) {
            return preferred;
        }
        (0..self.parts.len())
            .min_by(|a, b| excess(*a).total_cmp(&excess(*b)))
            .unwrap_or(preferred)
    }

    fn total_weight(&self) -> f64 {
        let weights = self.parts.iter().map(|part| part.weight);
        weights.sum::<f64>().max(f64::MIN_POSITIVE)
    }
}

/// Requests that a part with this share may get beyond it: the standard deviation of a decayed count
/// that covers [`EXCESS_REQUESTS`] independent ones, so that ordinary variation moves few objects.
fn max_excess(requests: f64, share: f64) -> f64 {
    let variance = requests.min(EXCESS_REQUESTS) / 2.0 * share * (1.0 - share);
    MIN_EXCESS + variance.max(0.0).sqrt()
}
