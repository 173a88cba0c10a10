//! Detects load reports of backend servers that are stale, frozen or too low.
//!
//! Load pattern: any, while reports are wrong. Reports determine the reported load of the
//! availability zone, and thus how many requests other zones may send to it. A backend server with
//! a queue that reports no load would attract requests from other zones. Symptom: one backend
//! server with a long queue that reports a load of zero.
//!
//! A report below the number of requests that this VM has in flight at the backend server is wrong.
//! Reports lag, so a single one is no evidence: both figures are averaged over [`Config::memory`],
//! which is several times the lag. A report that never changes while answers arrive is frozen.

use std::time;

use super::{policy, range};

/// Thresholds of the checks on reports.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time constant of the averages of reports and of requests in flight. Ten times the reports'
    /// lag of 100 ms, so that the lag cannot make a correct report look too low.
    pub memory: time::Duration,
    /// A report is too low if the mean number of requests in flight exceeds the mean report by this
    /// factor plus half a request. 1.5 allows for the time of an answer outside the backend server.
    pub excess: f64,
    /// A report that stays the same for this many answers in a row is frozen. A loaded backend
    /// server with 3 slots repeats a report by chance for a few answers, not for 64.
    pub frozen_after: u32,
    /// A report older than this is not used.
    pub max_age: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            memory: time::Duration::from_secs(1),
            excess: 1.5,
            frozen_after: 64,
            max_age: time::Duration::from_millis(500),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        let memory = self.memory.as_secs_f64();
        range::check("trust.memory", memory, 0.1..=60.0)?;
        range::check("trust.excess", self.excess, 1.0..=10.0)?;
        let frozen = f64::from(self.frozen_after);
        range::check("trust.frozen_after", frozen, 8.0..=10_000.0)?;
        let age = self.max_age.as_secs_f64();
        range::check("trust.max_age", age, 0.01..=60.0)
    }
}

/// The reports of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    last: Option<(policy::Moment, policy::Report)>,
    same: u32,
    reported: f64,
    own: f64,
}

impl Trust {
    /// Records a report. `own` is the number of requests that this VM has in flight there.
    pub fn see(&mut self, cfg: &Config, now: policy::Moment, report: policy::Report, own: usize) {
        let total = f64::from(report.in_flight + report.queued);
        match self.last {
            Some((at, last)) => {
                let age = now.saturating_sub(at).as_secs_f64();
                let keep = (-age / cfg.memory.as_secs_f64()).exp();
                self.reported = self.reported * keep + total * (1.0 - keep);
                self.own = self.own * keep + own as f64 * (1.0 - keep);
                self.same = match last == report {
                    true => self.same.saturating_add(1),
                    false => 0,
                };
            }
            None => self.reported = total,
        }
        self.last = Some((now, report));
    }

    /// The last report, unless it is stale, frozen or too low.
    pub fn believed(&self, cfg: &Config, now: policy::Moment) -> Option<policy::Report> {
        let (at, report) = self.last?;
        let stale = now.saturating_sub(at) > cfg.max_age;
        let frozen = self.same >= cfg.frozen_after;
        let lies = self.own > self.reported * cfg.excess + 0.5;
        (!stale && !frozen && !lies).then_some(report)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const IDLE: policy::Report = policy::Report {
        in_flight: 0,
        queued: 0,
        leaving: false,
    };

    fn play(reports: impl Iterator<Item = (policy::Report, usize)>) -> Option<policy::Report> {
        let (mut trust, cfg) = (Trust::default(), Config::default());
        let mut now = policy::Moment::ZERO;
        for (report, own) in reports {
            now += time::Duration::from_millis(40);
            trust.see(&cfg, now, report, own);
        }
        trust.believed(&cfg, now)
    }

    /// A backend server reports almost no load while this VM alone keeps it busy. If the report
    /// were used, other availability zones would send it more requests, which would queue there.
    #[test]
    fn a_report_below_the_own_count_is_not_believed() {
        let lies = (0..60).map(|i| {
            (
                policy::Report {
                    queued: i % 2,
                    ..IDLE
                },
                3,
            )
        });
        assert_eq!(play(lies), None);
    }

    /// A backend server repeats an old report without change.
    #[test]
    fn a_frozen_report_is_not_believed() {
        let busy = policy::Report {
            in_flight: 3,
            ..IDLE
        };
        assert_eq!(play((0..100).map(|_| (busy, 1))), None);
    }

    #[test]
    fn a_report_that_lags_is_believed() {
        let wave = |i: u32| policy::Report {
            in_flight: (i + 2) % 4,
            ..IDLE
        };
        let last = play((0..60).map(|i| (wave(i), (i % 4) as usize)));
        assert_eq!(last, Some(wave(59)));
    }
}
