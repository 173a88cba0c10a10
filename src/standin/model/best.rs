//! Offline upper bound on the worth that a deployment's slots can answer, with all calls known in
//! advance.
//!
//! Work is modelled as a fluid: any slot can process any portion of a call between its start and
//! its deadline. No real policy can do that, so the result is an upper bound. Calls are admitted
//! greedily in order of worth per second of work, each as far as it fits. A call fits if, for every
//! interval of bins, the work that must be done inside the interval does not exceed the slots'
//! capacity in it. Under these constraints the greedy order gives the maximum total.

use std::time;

use super::{Deployment, load};

/// Length of one time bin.
const BIN_LENGTH: time::Duration = time::Duration::from_millis(250);

/// Upper bound on the worth answered, given the number of slots in service at each moment.
pub fn worth(dep: &Deployment, calls: &[load::Call], slots: impl Fn(time::Duration) -> f64) -> f64 {
    let bin = |at: time::Duration| (at.as_secs_f64() / BIN_LENGTH.as_secs_f64()) as usize;
    let bins = calls.iter().map(|c| bin(c.deadline) + 1).max().unwrap_or(0);
    let mut slack = Slack::new(bins, |i| {
        slots(BIN_LENGTH * i as u32) * BIN_LENGTH.as_secs_f64()
    });
    let starts = calls.iter().map(|c| bin(c.at) + 1).max().unwrap_or(0);
    let mut work = vec![vec![0.0; starts]; dep.ops.len()];
    let mut count = vec![vec![0_u32; starts]; dep.ops.len()];
    for call in calls.iter().filter(|call| !call.crashes_backend) {
        work[call.op][bin(call.at)] += call.work.as_secs_f64();
        count[call.op][bin(call.at)] += 1;
    }
    let mut order: Vec<_> = (0..dep.ops.len()).collect();
    order.sort_by(|a, b| worth_per_s(&dep.ops[*b]).total_cmp(&worth_per_s(&dep.ops[*a])));
    let mut total = 0.0;
    for op in order {
        for start in 0..starts {
            let requested = work[op][start];
            if requested <= 0.0 {
                continue;
            }
            let end = (start + bin(dep.ops[op].timeout)).min(bins - 1);
            let reserved = slack.reserve(start, end, requested);
            let worth = f64::from(dep.ops[op].worth) * f64::from(count[op][start]);
            total += worth * reserved / requested;
        }
    }
    total
}

fn worth_per_s(op: &super::Op) -> f64 {
    f64::from(op.worth) / op.typical.as_secs_f64()
}

/// Remaining capacity, in seconds of work, of each interval of bins.
struct Slack {
    bins: usize,
    remaining: Vec<f64>,
}

impl Slack {
    fn new(bins: usize, capacity: impl Fn(usize) -> f64) -> Self {
        let mut remaining = vec![0.0; bins * bins];
        for first in 0..bins {
            let mut sum = 0.0;
            for last in first..bins {
                sum += capacity(last);
                remaining[first * bins + last] = sum;
            }
        }
        Self { bins, remaining }
    }

    /// Reserves as much of `requested` as fits between two bins and returns the reserved amount.
    fn reserve(&mut self, start: usize, end: usize, requested: f64) -> f64 {
        let mut fits = requested;
        for first in 0..=start {
            for last in end..self.bins {
                fits = fits.min(self.remaining[first * self.bins + last]);
            }
        }
        let fits = fits.max(0.0);
        for first in 0..=start {
            for last in end..self.bins {
                self.remaining[first * self.bins + last] -= fits;
            }
        }
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reserved_work_is_limited_by_the_capacity_of_the_interval() {
        let mut slack = Slack::new(4, |_| 1.0);
        assert_eq!(slack.reserve(1, 1, 3.0), 1.0);
        assert_eq!(slack.reserve(0, 1, 3.0), 1.0);
        assert_eq!(slack.reserve(0, 3, 9.0), 2.0);
    }
}
