//! Which service gets a request of a route that is split.
//!
//! Load pattern: a route that gives a tenth of its traffic to a new version of a service. Drawn
//! at random, each object would be handled now by one part and now by the other, so the small
//! part never has it warm; by object alone, a few busy objects make the shares wrong, which one
//! notices as a part with twice or half its weight.
//!
//! So the object decides, and the count corrects: a part that has had more than its share by a
//! margin gives way to the one that lacks most.

use super::affinity;

/// How far a part's share may pass its weight before others get its requests. Half of a tenth,
/// the deviation that operators notice.
const MARGIN: f64 = 0.04;

/// What a count keeps with each request: shares are taken over about the last 400.
const KEEP: f64 = 1.0 - 1.0 / 400.0;

/// Requests before shares count; before, each request is a large share by itself.
const FIRST: f64 = 20.0;

/// The counts of one route's parts.
#[derive(Clone, Debug, Default)]
pub struct Split {
    counts: Vec<f64>,
}

impl Split {
    /// The part that gets the next request, as an index into `weights`.
    pub fn pick(&mut self, weights: &[f64], point: u64) -> usize {
        if self.counts.len() != weights.len() {
            self.counts = vec![0.0; weights.len()];
        }
        let sum: f64 = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let wanted = part_at(weights, affinity::unit(point) * sum);
        let chosen = self.correct(weights, sum, wanted);
        self.counts.iter_mut().for_each(|n| *n *= KEEP);
        if let Some(n) = self.counts.get_mut(chosen) {
            *n += 1.0;
        }
        chosen
    }

    fn correct(&self, weights: &[f64], sum: f64, wanted: usize) -> usize {
        let total: f64 = self.counts.iter().sum();
        if total < FIRST {
            return wanted;
        }
        let over = |i: usize| self.counts[i] / total - weights[i] / sum;
        if over(wanted) <= MARGIN {
            return wanted;
        }
        (0..weights.len())
            .min_by(|a, b| over(*a).total_cmp(&over(*b)))
            .unwrap_or(wanted)
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
