//! Selects the service for each request of a route that is split by weight.
//!
//! Load pattern: a route sends a tenth of its traffic to a new version of a service. With a random
//! choice, both parts would handle each object in turn, and the small part would never have it
//! warm. With a choice by object alone, a few busy objects distort the shares; the symptom is a
//! part with twice or half its weight.
//!
//! So the object selects the part, and counts correct the result: a part whose share exceeds its
//! weight by a margin passes requests to the part that is furthest below its weight.

use super::affinity;

/// The excess of a part's share over its weight above which other parts get its requests. About
/// half of a tenth, the deviation that operators notice.
const MAX_SHARE_EXCESS: f64 = 0.04;

/// The factor applied to counts with each request: shares cover about the last 400 requests.
const COUNT_DECAY_FACTOR: f64 = 1.0 - 1.0 / 400.0;

/// Requests before shares are corrected; below this, single requests distort the shares.
const MIN_REQUEST_COUNT: f64 = 20.0;

/// The decaying request counts of one route's parts.
#[derive(Clone, Debug, Default)]
pub struct Split {
    counts: Vec<f64>,
}

impl Split {
    /// Returns the index into `weights` of the part that gets the next request.
    pub fn pick(&mut self, weights: &[f64], point: u64) -> usize {
        if self.counts.len() != weights.len() {
            self.counts = vec![0.0; weights.len()];
        }
        let sum: f64 = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let preferred = part_at(weights, affinity::unit_interval(point) * sum);
        let chosen = self.corrected(weights, sum, preferred);
        self.counts
            .iter_mut()
            .for_each(|n| *n *= COUNT_DECAY_FACTOR);
        if let Some(n) = self.counts.get_mut(chosen) {
            *n += 1.0;
        }
        chosen
    }

    /// The parts' shares of the counted requests.
    pub fn shares(&self) -> impl Iterator<Item = f64> {
        let total: f64 = self.counts.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        self.counts.iter().map(move |n| n / total)
    }

    fn corrected(&self, weights: &[f64], sum: f64, preferred: usize) -> usize {
        let total: f64 = self.counts.iter().sum();
        if total < MIN_REQUEST_COUNT {
            return preferred;
        }
        let excess = |i: usize| self.counts[i] / total - weights[i] / sum;
        if excess(preferred) <= MAX_SHARE_EXCESS {
            return preferred;
        }
        (0..weights.len())
            .min_by(|a, b| excess(*a).total_cmp(&excess(*b)))
            .unwrap_or(preferred)
    }
}

fn part_at(weights: &[f64], point: f64) -> usize {
    let mut end = 0.0;
    for (i, weight) in weights.iter().enumerate() {
        end += weight;
        if point < end {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}
