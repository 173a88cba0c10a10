//! Counts over a sliding window that advances in steps.

use std::time;

use super::policy;

/// Number of steps in a window.
pub const STEPS: usize = 20;

/// One step more than the window has: the current step is incomplete, and part of the oldest still
/// lies inside the window.
const KEPT_STEPS: usize = STEPS + 1;

/// Number of events in a sliding window.
#[derive(Clone, Debug)]
pub struct Counts {
    counts: [f32; KEPT_STEPS],
    step: u64,
    step_width: time::Duration,
}

impl Counts {
    /// Creates an empty counter for a window of the given length.
    pub fn new(window: time::Duration) -> Self {
        Self {
            counts: [0.0; KEPT_STEPS],
            step: 0,
            step_width: (window / STEPS as u32).max(time::Duration::from_millis(1)),
        }
    }

    fn step_of(&self, now: policy::Moment) -> u64 {
        (now.as_nanos() / self.step_width.as_nanos()) as u64
    }

    fn slot(step: u64) -> usize {
        (step % KEPT_STEPS as u64) as usize
    }

    /// Clears the steps that have left the window.
    fn slide(&mut self, now: policy::Moment) {
        let step = self.step_of(now);
        let steps_passed = step.saturating_sub(self.step).min(KEPT_STEPS as u64);
        for back in 0..steps_passed {
            self.counts[Self::slot(step - back)] = 0.0;
        }
        self.step = self.step.max(step);
    }

    /// Adds `n` events at `now`.
    pub fn add(&mut self, now: policy::Moment, n: f64) {
        self.slide(now);
        self.counts[Self::slot(self.step)] += n as f32;
    }

    /// Uncounts one event that was counted at `counted_at`. Has no effect if the window has moved
    /// past it.
    pub fn take_back(&mut self, now: policy::Moment, counted_at: policy::Moment) {
        self.slide(now);
        let step = self.step_of(counted_at);
        if step + (KEPT_STEPS as u64) > self.step && step <= self.step {
            let count = &mut self.counts[Self::slot(step)];
            *count = (*count - 1.0).max(0.0);
        }
    }

    /// Number of events in the window that ends now, plus up to one step before it.
    pub fn sum(&mut self, now: policy::Moment) -> f64 {
        self.slide(now);
        self.counts.iter().map(|n| f64::from(*n)).sum()
    }

    /// Number of events in the first `steps` steps of the window, which leave it next.
    pub fn first(&mut self, now: policy::Moment, steps: usize) -> f64 {
        let kept = KEPT_STEPS.saturating_sub(steps);
        (self.sum(now) - self.last(now, kept)).max(0.0)
    }

    /// Number of events in the last `steps` steps.
    pub fn last(&mut self, now: policy::Moment, steps: usize) -> f64 {
        self.slide(now);
        (0..steps.min(KEPT_STEPS) as u64)
            .filter_map(|back| self.step.checked_sub(back))
            .map(|step| f64::from(self.counts[Self::slot(step)]))
            .sum()
    }
}
