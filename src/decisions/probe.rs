//! Decides when to probe a backend server.
//!
//! Load pattern: any. A probe occupies a slot for about 6 ms: one probe per second takes a fifth of
//! a percent of a backend server with 3 slots. Without probes, an ejected backend server could be
//! tested only with callers' requests; with too many, the probes of all VMs take slots from
//! callers. Symptom: probes are a visible share of all attempts.
//!
//! Answers give more information than probes at no cost, so only backend servers without requests
//! are probed: ejected ones whose ejection time is over, and slow ones that are held back. The
//! duration of a probe shows whether a slow one has recovered.

use std::time;

use super::{policy, range};

/// Thresholds of probes.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Minimum time between two probes by this VM. With 2 entry VMs in an availability zone, 250 ms
    /// limits probes to 8 per second, which is 5% of one slot.
    pub min_interval: time::Duration,
    /// Minimum time between two probes of one backend server.
    pub min_interval_per_backend: time::Duration,
    /// Timeout of a probe.
    pub timeout: time::Duration,
    /// Usual duration of a probe at a healthy backend server.
    pub typical_duration: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min_interval: time::Duration::from_millis(250),
            min_interval_per_backend: time::Duration::from_millis(500),
            timeout: time::Duration::from_secs(1),
            typical_duration: time::Duration::from_millis(6),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("probe.gap", self.min_interval.as_secs_f64(), 0.01..=60.0)?;
        range::check(
            "probe.each",
            self.min_interval_per_backend.as_secs_f64(),
            0.01..=60.0,
        )?;
        range::check("probe.patience", self.timeout.as_secs_f64(), 0.01..=60.0)?;
        range::check(
            "probe.typical",
            self.typical_duration.as_secs_f64(),
            0.0001..=10.0,
        )
    }
}

/// Probe state of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeState {
    pending_since: Option<policy::Moment>,
    last_sent: Option<policy::Moment>,
}

impl ProbeState {
    /// Whether it may be probed now.
    pub fn may_probe(&self, cfg: &Config, now: policy::Moment) -> bool {
        self.pending_since.is_none()
            && self
                .last_sent
                .is_none_or(|sent_at| sent_at + cfg.min_interval_per_backend <= now)
    }

    /// Records that a probe was sent.
    pub fn record_sent(&mut self, now: policy::Moment) {
        self.pending_since = Some(now);
        self.last_sent = Some(now);
    }

    /// Records an answer. Returns the probe's relative duration, or `None` if none was pending.
    pub fn record_answer(&mut self, cfg: &Config, now: policy::Moment) -> Option<f64> {
        let took = now.saturating_sub(self.pending_since.take()?);
        Some(took.as_secs_f64() / cfg.typical_duration.as_secs_f64())
    }

    /// Whether the pending probe has timed out. True once per probe.
    pub fn timed_out(&mut self, cfg: &Config, now: policy::Moment) -> bool {
        let timed_out = self
            .pending_since
            .is_some_and(|sent_at| sent_at + cfg.timeout <= now);
        if timed_out {
            self.pending_since = None;
        }
        timed_out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn probes_are_sent_one_at_a_time_and_spaced() {
        let (mut state, cfg) = (ProbeState::default(), Config::default());
        let ms = time::Duration::from_millis;
        assert!(state.may_probe(&cfg, ms(0)));
        state.record_sent(ms(0));
        assert!(!state.may_probe(&cfg, ms(900)));
        assert_eq!(state.record_answer(&cfg, ms(60)), Some(10.0));
        assert!(!state.may_probe(&cfg, ms(499)) && state.may_probe(&cfg, ms(500)));
    }

    #[test]
    fn a_probe_times_out_once() {
        let (mut state, cfg) = (ProbeState::default(), Config::default());
        state.record_sent(time::Duration::ZERO);
        let now = cfg.timeout;
        assert!(state.timed_out(&cfg, now) && !state.timed_out(&cfg, now));
        assert_eq!(state.record_answer(&cfg, now), None);
    }
}
