//! Decides when to probe a backend server.
//!
//! Load pattern: any. A probe occupies a slot for about 6 ms: one probe per second takes a fifth of
//! a percent of a backend server with 3 slots. Without probes, an ejected backend server could be
//! tested only with callers' requests; with too many, the probes of all VMs take slots from
//! callers. Symptom: probes are a visible share of all attempts.
//!
//! Answers give more information than probes at no cost, so only backend servers without requests
//! are probed: ejected ones whose ejection time is over, and slow ones in reserve. The duration of
//! a probe shows whether a slow one has recovered.

use std::time;

use super::{policy, range};

/// Thresholds of probes.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Minimum time between two probes by this VM. With 2 entry VMs in an availability zone, 250 ms
    /// limits probes to 8 per second, which is 5% of one slot.
    pub gap: time::Duration,
    /// Minimum time between two probes of one backend server.
    pub each: time::Duration,
    /// Timeout of a probe.
    pub patience: time::Duration,
    /// Usual duration of a probe at a healthy backend server.
    pub typical: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            gap: time::Duration::from_millis(250),
            each: time::Duration::from_millis(500),
            patience: time::Duration::from_secs(1),
            typical: time::Duration::from_millis(6),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("probe.gap", self.gap.as_secs_f64(), 0.01..=60.0)?;
        range::check("probe.each", self.each.as_secs_f64(), 0.01..=60.0)?;
        range::check("probe.patience", self.patience.as_secs_f64(), 0.01..=60.0)?;
        range::check("probe.typical", self.typical.as_secs_f64(), 0.0001..=10.0)
    }
}

/// Probe state of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    sent: Option<policy::Moment>,
    last: Option<policy::Moment>,
}

impl Watch {
    /// Whether it may be probed now.
    pub fn ready(&self, cfg: &Config, now: policy::Moment) -> bool {
        self.sent.is_none() && self.last.is_none_or(|last| last + cfg.each <= now)
    }

    /// Records that a probe was sent.
    pub fn sent(&mut self, now: policy::Moment) {
        self.sent = Some(now);
        self.last = Some(now);
    }

    /// Records an answer. Returns the probe's relative duration, or `None` if none was pending.
    pub fn back(&mut self, cfg: &Config, now: policy::Moment) -> Option<f64> {
        let took = now.saturating_sub(self.sent.take()?);
        Some(took.as_secs_f64() / cfg.typical.as_secs_f64())
    }

    /// Whether the pending probe has timed out. True once per probe.
    pub fn lost(&mut self, cfg: &Config, now: policy::Moment) -> bool {
        let lost = self.sent.is_some_and(|sent| sent + cfg.patience <= now);
        if lost {
            self.sent = None;
        }
        lost
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_at_a_time_and_not_too_often() {
        let (mut watch, cfg) = (Watch::default(), Config::default());
        let ms = time::Duration::from_millis;
        assert!(watch.ready(&cfg, ms(0)));
        watch.sent(ms(0));
        assert!(!watch.ready(&cfg, ms(900)));
        assert_eq!(watch.back(&cfg, ms(60)), Some(10.0));
        assert!(!watch.ready(&cfg, ms(499)) && watch.ready(&cfg, ms(500)));
    }

    #[test]
    fn a_probe_without_an_answer_is_lost_once() {
        let (mut watch, cfg) = (Watch::default(), Config::default());
        watch.sent(time::Duration::ZERO);
        let now = cfg.patience;
        assert!(watch.lost(&cfg, now) && !watch.lost(&cfg, now));
        assert_eq!(watch.back(&cfg, now), None);
    }
}
