//! The most worth that the slots could have answered, had every call been known in advance.
//!
//! Work is taken as a fluid that any slot anywhere can do in any portions between a call's start
//! and its deadline. That is more than any real policy can do, so the figure is an upper bound.
//! Calls are let in by worth per time of work, as much of each as fits. What fits is known
//! exactly: for every stretch of time, the work that must be done inside it may not exceed what
//! the slots can do in it. Such a greedy choice gives the best total.

use std::time;

use super::{Deployment, load};

/// The length of one bin of time.
const BIN: time::Duration = time::Duration::from_millis(250);

/// The most worth that could be answered with `slots` slots at each moment.
pub fn worth(dep: &Deployment, calls: &[load::Call], slots: impl Fn(time::Duration) -> f64) -> f64 {
    let bin = |at: time::Duration| (at.as_secs_f64() / BIN.as_secs_f64()) as usize;
    let bins = calls.iter().map(|c| bin(c.deadline) + 1).max().unwrap_or(0);
    let mut slack = Slack::new(bins, |i| slots(BIN * i as u32) * BIN.as_secs_f64());
    let starts = calls.iter().map(|c| bin(c.at) + 1).max().unwrap_or(0);
    let mut work = vec![vec![0.0; starts]; dep.ops.len()];
    let mut count = vec![vec![0_u32; starts]; dep.ops.len()];
    for call in calls.iter().filter(|call| !call.killer) {
        work[call.op][bin(call.at)] += call.work.as_secs_f64();
        count[call.op][bin(call.at)] += 1;
    }
    let mut order: Vec<_> = (0..dep.ops.len()).collect();
    order.sort_by(|a, b| density(&dep.ops[*b]).total_cmp(&density(&dep.ops[*a])));
    let mut total = 0.0;
    for op in order {
        for start in 0..starts {
            let asked = work[op][start];
            if asked <= 0.0 {
                continue;
            }
            let end = (start + bin(dep.ops[op].patience)).min(bins - 1);
            let done = slack.take(start, end, asked);
            let worth = f64::from(dep.ops[op].worth) * f64::from(count[op][start]);
            total += worth * done / asked;
        }
    }
    total
}

fn density(op: &super::Op) -> f64 {
    f64::from(op.worth) / op.typical.as_secs_f64()
}

/// How much more work fits between each pair of bins.
struct Slack {
    bins: usize,
    left: Vec<f64>,
}

impl Slack {
    fn new(bins: usize, capacity: impl Fn(usize) -> f64) -> Self {
        let mut left = vec![0.0; bins * bins];
        for first in 0..bins {
            let mut sum = 0.0;
            for last in first..bins {
                sum += capacity(last);
                left[first * bins + last] = sum;
            }
        }
        Self { bins, left }
    }

    /// Takes as much of `asked` as fits between two bins, and returns it.
    fn take(&mut self, start: usize, end: usize, asked: f64) -> f64 {
        let mut fits = asked;
        for first in 0..=start {
            for last in end..self.bins {
                fits = fits.min(self.left[first * self.bins + last]);
            }
        }
        let fits = fits.max(0.0);
        for first in 0..=start {
            for last in end..self.bins {
                self.left[first * self.bins + last] -= fits;
            }
        }
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_must_be_done_inside_a_stretch_is_bounded_by_it() {
        let mut slack = Slack::new(4, |_| 1.0);
        assert_eq!(slack.take(1, 1, 3.0), 1.0);
        assert_eq!(slack.take(0, 1, 3.0), 1.0);
        assert_eq!(slack.take(0, 3, 9.0), 2.0);
    }
}
