//! Outlier ejection: stops sending requests to backend servers that fail.
//!
//! Load pattern: one backend server fails fast or is down. Without ejection it attracts more
//! requests than the healthy ones, since it is always idle, and fails all of them. The symptom is
//! one backend server with many very short runs, and callers that get errors.
//!
//! A backend server is ejected after a few failures in a row, or once half of its answers are
//! failures. After the ejection time a probe checks it, and it must then answer a few reads on
//! trial. Each repeated ejection doubles the ejection time. At most half of the backend servers are
//! ejected as outliers: when all fail alike, the cause lies elsewhere, and ejecting them would only
//! overload the rest. One that refuses or breaks connections is always ejected, since it runs
//! nothing.
//!
//! Reads do the trying, since a request that may run only once can be lost. A service that gets no
//! reads would never use an ejected backend server again; the symptom is a service of bookings that
//! refuses all of them long after its backend servers are back. There bookings do the trying, later
//! than reads would.

use std::time;

use super::{policy, range};

/// Thresholds of ejection.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Failed answers or timeouts in a row that eject. At three, and with one answer in a hundred
    /// failing by chance, a false ejection happens once in a million.
    #[serde(rename = "in_a_row")]
    pub consecutive_failures: u32,
    /// Broken or refused connections in a row that eject. One may be a closed idle connection.
    #[serde(rename = "broken_in_a_row")]
    pub consecutive_breaks: u32,
    /// The ratio of failures among the last [`Self::window_answers`] answers above which it is
    /// ejected.
    #[serde(rename = "share")]
    pub max_failure_ratio: f64,
    /// The number of answers that the failure ratio covers.
    #[serde(rename = "window")]
    pub window_answers: f64,
    /// The maximum share of backend servers that may be ejected as outliers.
    #[serde(rename = "max_out")]
    pub max_ejected_share: f64,
    /// The first ejection time.
    #[serde(with = "range::seconds")]
    #[serde(rename = "first")]
    pub min_ejection_time: time::Duration,
    /// The maximum ejection time.
    #[serde(with = "range::seconds")]
    #[serde(rename = "longest")]
    pub max_ejection_time: time::Duration,
    /// Answers in a row that end a trial.
    #[serde(rename = "trial")]
    pub trial_answers: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            consecutive_breaks: 2,
            max_failure_ratio: 0.5,
            window_answers: 20.0,
            max_ejected_share: 0.5,
            min_ejection_time: time::Duration::from_millis(500),
            max_ejection_time: time::Duration::from_secs(20),
            trial_answers: 5,
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check(
            "ejection.in_a_row",
            f64::from(self.consecutive_failures),
            1.0..=100.0,
        )?;
        let broken = f64::from(self.consecutive_breaks);
        range::check("ejection.broken_in_a_row", broken, 1.0..=100.0)?;
        range::check("ejection.share", self.max_failure_ratio, 0.05..=1.0)?;
        range::check("ejection.window", self.window_answers, 2.0..=10_000.0)?;
        range::check("ejection.max_out", self.max_ejected_share, 0.0..=0.9)?;
        range::check(
            "ejection.first",
            self.min_ejection_time.as_secs_f64(),
            0.05..=60.0,
        )?;
        let longest = self.max_ejection_time.as_secs_f64();
        range::check("ejection.longest", longest, 0.05..=600.0)?;
        range::check(
            "ejection.trial",
            f64::from(self.trial_answers),
            1.0..=1_000.0,
        )
    }
}

/// Whether a backend server gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It gets requests.
    Active,
    /// It gets a few reads, one at a time, to check whether it has recovered.
    Trial,
    /// It gets no requests.
    Ejected {
        /// When a probe may be sent.
        until: policy::Moment,
        /// Whether it refuses or breaks connections.
        down: bool,
    },
}

/// The failure record of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    state: State,
    failure_ratio: f64,
    failures_in_a_row: u32,
    breaks_in_a_row: u32,
    answers_in_a_row: u32,
    ejections: u32,
    ejected_at: policy::Moment,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Active,
            failure_ratio: 0.0,
            failures_in_a_row: 0,
            breaks_in_a_row: 0,
            answers_in_a_row: 0,
            ejections: 0,
            ejected_at: policy::Moment::ZERO,
        }
    }
}

impl Health {
    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether it gets no requests.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Records an answer. Returns whether it ended a trial.
    pub fn answered(&mut self, cfg: &Config) -> bool {
        self.failure_ratio -= self.failure_ratio / cfg.window_answers;
        self.failures_in_a_row = 0;
        self.breaks_in_a_row = 0;
        self.answers_in_a_row += 1;
        if self.answers_in_a_row >= cfg.window_answers as u32 {
            self.ejections = 0;
        }
        if self.state != State::Trial || self.answers_in_a_row < cfg.trial_answers {
            return false;
        }
        self.state = State::Active;
        self.failure_ratio = 0.0;
        true
    }

    /// Records a failed answer or a timeout. Returns whether to eject it as an outlier.
    pub fn failed(&mut self, cfg: &Config) -> bool {
        self.failure_ratio += (1.0 - self.failure_ratio) / cfg.window_answers;
        self.failures_in_a_row += 1;
        self.answers_in_a_row = 0;
        match self.state {
            State::Active => {
                self.failures_in_a_row >= cfg.consecutive_failures
                    || self.failure_ratio > cfg.max_failure_ratio
            }
            State::Trial => true,
            State::Ejected { .. } => false,
        }
    }

    /// Records a refused or broken connection. Returns whether to eject it as down.
    pub fn broke(&mut self, cfg: &Config) -> bool {
        self.breaks_in_a_row += 1;
        self.answers_in_a_row = 0;
        match self.state {
            State::Active => self.breaks_in_a_row >= cfg.consecutive_breaks,
            State::Trial => true,
            State::Ejected { .. } => false,
        }
    }

    /// Ejects the backend server; `down` says that it refuses or breaks connections.
    pub fn eject(&mut self, cfg: &Config, now: policy::Moment, down: bool) {
        let ejection_time = cfg.min_ejection_time * 2_u32.saturating_pow(self.ejections.min(16));
        let until = now + ejection_time.min(cfg.max_ejection_time);
        // The ejection time does not grow while it is down: a longer wait gives no information.
        self.ejections += u32::from(!down);
        self.answers_in_a_row = 0;
        self.ejected_at = now;
        self.state = State::Ejected { until, down };
    }

    /// Takes back an ejection since a moment, whose cause was not the backend server.
    pub fn take_back_ejection(&mut self, since: policy::Moment) {
        if self.state != State::Active && self.ejected_at >= since {
            *self = Self::default();
        }
    }

    /// Reverts the ejection of an unreachable backend server if it was ejected since a moment.
    pub fn take_back_unreachable(&mut self, since: policy::Moment) {
        if matches!(self.state, State::Ejected { down: true, .. }) {
            self.take_back_ejection(since);
        }
    }

    /// Whether a probe may be sent now.
    pub fn probe_due(&self, now: policy::Moment) -> bool {
        matches!(self.state, State::Ejected { until, .. } if until <= now)
    }

    /// Whether a request may try it now.
    pub fn trial_due(&self, now: policy::Moment, idempotent: bool) -> bool {
        /// Time after which a request that may run only once tries one that couldn't be reached.
        /// Where it still can't, the request is sent elsewhere, later.
        const UNREACHABLE_WAIT: time::Duration = time::Duration::from_secs(2);
        /// The same for one that failed. Where it still fails, the request is lost.
        const FAILED_WAIT: time::Duration = time::Duration::from_secs(5);
        let wait = match self.state {
            _ if idempotent => time::Duration::ZERO,
            State::Ejected { down: true, .. } => UNREACHABLE_WAIT,
            _ => FAILED_WAIT,
        };
        self.probe_due(now) && now >= self.ejected_at + wait
    }

    /// Records the result of a probe. Returns whether a trial has begun.
    pub fn probed(&mut self, cfg: &Config, now: policy::Moment, answered: bool) -> bool {
        let State::Ejected { down, .. } = self.state else {
            return false;
        };
        if !answered {
            let until = now + cfg.min_ejection_time;
            self.state = State::Ejected { until, down };
            return false;
        }
        self.failures_in_a_row = 0;
        self.breaks_in_a_row = 0;
        self.answers_in_a_row = 0;
        self.state = State::Trial;
        true
    }
}

/// Selects the requests of a service that may try its ejected backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trials {
    last_read: Option<policy::Moment>,
}

impl Trials {
    /// Records a request that may run more than once.
    pub fn record_read(&mut self, now: policy::Moment) {
        self.last_read = Some(now);
    }

    /// Whether a request may try backend servers that aren't active.
    pub fn admit(&self, now: policy::Moment, idempotent: bool) -> bool {
        /// Time without a read after which other requests do the trying.
        const READ_TIMEOUT: time::Duration = time::Duration::from_secs(5);
        idempotent || self.last_read.is_none_or(|at| now >= at + READ_TIMEOUT)
    }
}

/// Whether one more of `members` may be ejected as an outlier, while `out` are ejected already for
/// any cause.
pub fn may_eject_outlier(cfg: &Config, members: usize, out: usize) -> bool {
    (out + 1) as f64 <= members as f64 * cfg.max_ejected_share
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: policy::Moment = policy::Moment::from_secs(1);

    /// A backend server whose disk is full fails each request within half a millisecond.
    #[test]
    fn failures_in_a_row_eject() {
        let (mut health, cfg) = (Health::default(), Config::default());
        assert!(!health.failed(&cfg) && !health.failed(&cfg) && health.failed(&cfg));
    }

    #[test]
    fn occasional_failures_do_not_eject() {
        let (mut health, cfg) = (Health::default(), Config::default());
        for _ in 0..1_000 {
            assert!(!health.failed(&cfg));
            health.answered(&cfg);
            health.answered(&cfg);
        }
    }

    #[test]
    fn ejection_times_double() {
        let (mut health, cfg) = (Health::default(), Config::default());
        let mut ejection_times = Vec::new();
        for _ in 0..3 {
            health.eject(&cfg, NOW, false);
            let State::Ejected { until, .. } = health.state() else {
                panic!("the backend server is not ejected");
            };
            ejection_times.push((until - NOW).as_millis());
            assert!(health.probe_due(until) && health.probed(&cfg, until, true));
        }
        assert_eq!(ejection_times, [500, 1_000, 2_000]);
    }

    #[test]
    fn a_trial_ends_after_a_few_answers() {
        let (mut health, cfg) = (Health::default(), Config::default());
        health.eject(&cfg, NOW, true);
        assert!(health.probed(&cfg, NOW * 2, true));
        let ended: Vec<_> = (0..5).map(|_| health.answered(&cfg)).collect();
        assert_eq!(ended, [false, false, false, false, true]);
    }

    #[test]
    fn at_most_half_are_ejected_as_outliers() {
        let cfg = Config::default();
        assert!(
            may_eject_outlier(&cfg, 2, 0)
                && !may_eject_outlier(&cfg, 2, 1)
                && !may_eject_outlier(&cfg, 1, 0)
        );
    }
}
