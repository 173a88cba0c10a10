//! Detects load reports of backend servers that are stale, frozen or too low.
//!
//! Load pattern: any, while reports are wrong. Reports determine the reported load of the
//! availability zone, and thus how many requests other zones may send to it. A backend server with
//! a queue that reports no load would attract requests from other zones. Symptom: one backend
//! server with a long queue that reports a load of zero.
//!
//! A report below the number of requests that this VM has in flight at the backend server is wrong.
//! Reports lag, so a single one is no evidence: both figures are averaged over several times the
//! lag. A report that never changes while answers arrive is frozen.

use std::time;

use super::{policy, range};

/// Thresholds of the checks on reports.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time constant of the averages of reports and of requests in flight. Ten times the reports'
    /// lag of 100 ms, so that the lag cannot make a correct report look too low.
    pub averaging_time: time::Duration,
    /// A report is too low if the mean number of requests in flight exceeds the mean report by this
    /// factor plus half a request. 1.5 allows for the time of an answer outside the backend server.
    pub max_excess_ratio: f64,
    /// A report that stays the same for this many answers in a row is frozen. A loaded backend
    /// server with 3 slots repeats a report by chance for a few answers, not for 64.
    pub frozen_after: u32,
    /// A report older than this is not used.
    pub max_age: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            averaging_time: time::Duration::from_secs(1),
            max_excess_ratio: 1.5,
            frozen_after: 64,
            max_age: time::Duration::from_millis(500),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        let averaging_time = self.averaging_time.as_secs_f64();
        range::check("trust.memory", averaging_time, 0.1..=60.0)?;
        range::check("trust.excess", self.max_excess_ratio, 1.0..=10.0)?;
        let frozen = f64::from(self.frozen_after);
        range::check("trust.frozen_after", frozen, 8.0..=10_000.0)?;
        let age = self.max_age.as_secs_f64();
        range::check("trust.max_age", age, 0.01..=60.0)
    }
}

/// The reports of one backend server.
#[derive(Clone, Debug, Default)]
pub struct ReportHistory {
    last: Option<(policy::Moment, policy::Report)>,
    repeats: u32,
    mean_reported: f64,
    mean_in_flight: f64,
}

impl ReportHistory {
    /// Records a report. `own_in_flight` counts the requests that this VM has in flight there.
    pub fn record(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        report: policy::Report,
        own_in_flight: usize,
    ) {
        let total = f64::from(report.in_flight + report.queued);
        match self.last {
            Some((at, last)) => {
                let age = now.saturating_sub(at).as_secs_f64();
                let old_weight = (-age / cfg.averaging_time.as_secs_f64()).exp();
                self.mean_reported = self.mean_reported * old_weight + total * (1.0 - old_weight);
                self.mean_in_flight =
                    self.mean_in_flight * old_weight + own_in_flight as f64 * (1.0 - old_weight);
                self.repeats = match last == report {
                    true => self.repeats.saturating_add(1),
                    false => 0,
                };
            }
            None => self.mean_reported = total,
        }
        self.last = Some((now, report));
    }

    /// The last report, unless it is stale, frozen or too low.
    pub fn valid_report(&self, cfg: &Config, now: policy::Moment) -> Option<policy::Report> {
        let (at, report) = self.last?;
        let stale = now.saturating_sub(at) > cfg.max_age;
        let frozen = self.repeats >= cfg.frozen_after;
        let too_low = self.mean_in_flight > self.mean_reported * cfg.max_excess_ratio + 0.5;
        (!stale && !frozen && !too_low).then_some(report)
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

    fn final_report(
        reports: impl Iterator<Item = (policy::Report, usize)>,
    ) -> Option<policy::Report> {
        let (mut history, cfg) = (ReportHistory::default(), Config::default());
        let mut now = policy::Moment::ZERO;
        for (report, own_in_flight) in reports {
            now += time::Duration::from_millis(40);
            history.record(&cfg, now, report, own_in_flight);
        }
        history.valid_report(&cfg, now)
    }

    /// A backend server reports almost no load while this VM alone keeps it busy. If the report
    /// were used, other availability zones would send it more requests, which would queue there.
    #[test]
    fn a_report_below_the_requests_in_flight_is_rejected() {
        let too_low = (0..60).map(|i| {
            (
                policy::Report {
                    queued: i % 2,
                    ..IDLE
                },
                3,
            )
        });
        assert_eq!(final_report(too_low), None);
    }

    /// A backend server repeats an old report without change.
    #[test]
    fn a_frozen_report_is_rejected() {
        let busy = policy::Report {
            in_flight: 3,
            ..IDLE
        };
        assert_eq!(final_report((0..100).map(|_| (busy, 1))), None);
    }

    #[test]
    fn a_report_that_lags_is_accepted() {
        let lagging = |i: u32| policy::Report {
            in_flight: (i + 2) % 4,
            ..IDLE
        };
        let last = final_report((0..60).map(|i| (lagging(i), (i % 4) as usize)));
        assert_eq!(last, Some(lagging(59)));
    }
}
