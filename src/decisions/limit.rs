//! Limits the requests that this VM keeps in flight at one backend server.
//!
//! Load pattern: saturation. Several entry VMs share a backend server, and each sees only its own
//! requests. If each filled all slots, the excess would wait in the backend server's queue, which
//! is first come, first served: a booking would wait behind reads, and a request that its caller
//! has abandoned would still run. The symptom is latency that grows at the backend server while
//! the queue on this VM is short.
//!
//! So the limit never exceeds the slots, unless this VM alone serves its region. Two VMs together
//! still cause a queue of a few requests at a backend server, which keeps its slots busy between
//! an answer and the next request. The limit falls when the backend server sheds and rises with
//! each answer.
//!
//! A backend server that sheds also gets no requests for a backoff time that doubles with each
//! shed in a row. Otherwise one that sheds everything would look idle and cost each read a second
//! attempt, until the retry budget is spent.

use std::time;

use super::{policy, range};

/// Thresholds of the limit.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The amount by which one answer raises a lowered limit. Ten answers restore one slot.
    #[serde(rename = "step")]
    pub recovery_step: f64,
    /// The factor by which a shed lowers the limit.
    #[serde(rename = "shed")]
    pub shed_factor: f64,
    /// The first backoff time after a shed: about one request's service time.
    #[serde(with = "range::seconds")]
    #[serde(rename = "rest")]
    pub min_backoff: time::Duration,
    /// Requests per slot that one of several VMs may have in flight.
    pub per_slot: f64,
    /// Requests per slot that a VM which alone serves its region may have in flight. With one per
    /// slot, slots would idle while answers travel, since the backend server's queue is empty.
    pub per_slot_alone: f64,
    /// The maximum backoff time.
    #[serde(with = "range::seconds")]
    #[serde(rename = "longest_rest")]
    pub max_backoff: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            recovery_step: 0.1,
            shed_factor: 0.7,
            per_slot: 1.0,
            per_slot_alone: 2.0,
            min_backoff: time::Duration::from_millis(10),
            max_backoff: time::Duration::from_secs(1),
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("limit.step", self.recovery_step, 0.001..=1.0)?;
        range::check("limit.shed", self.shed_factor, 0.1..=1.0)?;
        range::check("limit.per_slot", self.per_slot, 0.1..=10.0)?;
        range::check("limit.per_slot_alone", self.per_slot_alone, 0.1..=10.0)?;
        range::check("limit.rest", self.min_backoff.as_secs_f64(), 0.0..=1.0)?;
        let longest = self.max_backoff.as_secs_f64();
        range::check("limit.longest_rest", longest, 0.0..=60.0)
    }
}

/// The in-flight limit at one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    value: f64,
    slots: f64,
    consecutive_sheds: u32,
    backoff_until: policy::Moment,
}

impl Limit {
    /// Starts with a limit equal to the number of slots.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            value: slots,
            slots,
            consecutive_sheds: 0,
            backoff_until: policy::Moment::ZERO,
        }
    }

    /// The current limit: from 1 to the number of slots, or 0 during a backoff.
    pub fn get(&self, now: policy::Moment) -> usize {
        match now < self.backoff_until {
            true => 0,
            false => self.value.round() as usize,
        }
    }

    /// The current limit of one of several VMs, or of a VM that is `alone` in its region.
    pub fn shared(&self, cfg: &Config, now: policy::Moment, alone: bool) -> usize {
        let per_slot = match alone {
            true => cfg.per_slot_alone,
            false => cfg.per_slot,
        };
        match now < self.backoff_until {
            true => 0,
            false => (self.value * per_slot).round().max(1.0) as usize,
        }
    }

    /// Records an answer.
    pub fn answered(&mut self, cfg: &Config) {
        self.consecutive_sheds = 0;
        self.set(self.value + cfg.recovery_step);
    }

    /// Records that the backend server shed a request.
    pub fn shed(&mut self, cfg: &Config, now: policy::Moment) {
        self.set(self.value * cfg.shed_factor);
        let backoff = cfg.min_backoff * 2_u32.pow(self.consecutive_sheds.min(16));
        self.backoff_until = now + backoff.min(cfg.max_backoff);
        self.consecutive_sheds += 1;
    }

    fn set(&mut self, value: f64) {
        self.value = value.clamp(1.0, self.slots);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: policy::Moment = policy::Moment::from_secs(1);

    #[test]
    fn the_limit_falls_on_sheds_and_rises_with_answers() {
        let (mut limit, cfg) = (Limit::new(4), Config::default());
        (0..10).for_each(|_| limit.shed(&cfg, NOW));
        let later = NOW + cfg.max_backoff;
        assert_eq!(limit.get(later), 1);
        (0..100).for_each(|_| limit.answered(&cfg));
        assert_eq!(limit.get(later), 4);
    }

    /// Two VMs send to one backend server with three slots. If each kept two requests per slot in
    /// flight, the last request would wait for three service times.
    #[test]
    fn only_a_vm_alone_in_its_region_exceeds_the_slots() {
        let (mut limit, cfg) = (Limit::new(3), Config::default());
        assert_eq!(limit.shared(&cfg, NOW, false), 3);
        assert_eq!(limit.shared(&cfg, NOW, true), 6);
        limit.shed(&cfg, NOW);
        assert_eq!(limit.shared(&cfg, NOW, true), 0);
        assert_eq!(limit.shared(&cfg, NOW + cfg.min_backoff, false), 2);
    }

    #[test]
    fn a_shed_starts_a_growing_backoff_at_once() {
        let (mut limit, cfg) = (Limit::new(3), Config::default());
        limit.shed(&cfg, NOW);
        assert_eq!(limit.get(NOW), 0);
        assert_eq!(limit.get(NOW + cfg.min_backoff), 2);
        limit.shed(&cfg, NOW);
        assert_eq!(limit.get(NOW + cfg.min_backoff), 0);
        limit.answered(&cfg);
        limit.shed(&cfg, NOW);
        assert_eq!(limit.get(NOW + cfg.min_backoff), 1);
    }
}
