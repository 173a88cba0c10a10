//! State of each backend server of this availability zone, as this VM observes it: attempts in
//! flight, answer times, load reports, and the state of ejection, slow start and probes.

use std::time;

use super::{ejection, limit, policy, probe, ramp, range, trust};
use crate::id;

/// Thresholds of the state of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Weight of one answer in the moving average of relative answer times. A tenth follows a
    /// slow-down within ten answers, and keeps the average steady to a few percent.
    pub slowdown_weight: f64,
    /// How long a backend server's report that it is leaving stays valid. The VM list lags by less.
    pub leaving_report_ttl: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            slowdown_weight: 0.1,
            leaving_report_ttl: time::Duration::from_secs(30),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("members.pace_step", self.slowdown_weight, 0.001..=1.0)?;
        let ttl = self.leaving_report_ttl.as_secs_f64();
        range::check("members.leaving_memory", ttl, 1.0..=3_600.0)
    }
}

/// An attempt in flight at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The request.
    pub req: policy::RequestId,
    /// The request's fingerprint.
    pub fingerprint: policy::Fingerprint,
    /// When it was sent.
    pub sent_at: policy::Moment,
    /// The usual time that a backend server works on it.
    pub typical: time::Duration,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its VM.
    pub id: id::VmId,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Attempts of this VM in flight there.
    pub in_flight: Vec<Attempt>,
    /// Moving average of the answer times, as a multiple of the usual durations.
    pub slowdown: f64,
    /// Limit of this VM's requests in flight there.
    pub limit: limit::Limit,
    /// Its load reports.
    pub reports: trust::ReportHistory,
    /// Its failures and ejection state.
    pub health: ejection::Health,
    /// Its slow-start progress.
    pub ramp: ramp::Ramp,
    /// Its probe state.
    pub probe_state: probe::ProbeState,
    /// The suspect that it is reserved for.
    pub reserved_for: Option<policy::RequestId>,
    /// When connections to it last broke, if it has not answered since.
    pub last_crash: Option<policy::Moment>,
    listed_leaving: bool,
    reported_leaving_at: Option<policy::Moment>,
}

impl Member {
    /// Creates the initial state of a listed backend server.
    pub fn new(backend: &policy::Backend) -> Self {
        Self {
            id: backend.id.clone(),
            slots: backend.slots,
            in_flight: Vec::new(),
            slowdown: 1.0,
            limit: limit::Limit::new(backend.slots),
            reports: trust::ReportHistory::default(),
            health: ejection::Health::default(),
            ramp: ramp::Ramp::default(),
            probe_state: probe::ProbeState::default(),
            reserved_for: None,
            last_crash: None,
            listed_leaving: backend.leaving,
            reported_leaving_at: None,
        }
    }

    /// Updates the state from the list of VMs.
    pub fn update_from_list(&mut self, backend: &policy::Backend) {
        self.listed_leaving = backend.leaving;
        if self.slots != backend.slots {
            self.slots = backend.slots;
            self.limit = limit::Limit::new(backend.slots);
        }
    }

    /// Records a load report.
    pub fn record_report(
        &mut self,
        cfg: &trust::Config,
        now: policy::Moment,
        report: policy::Report,
    ) {
        self.reports.record(cfg, now, report, self.in_flight.len());
        if report.leaving {
            self.reported_leaving_at = Some(now);
        }
    }

    /// Whether it is leaving, by the list of VMs or its own reports, and gets no new requests.
    pub fn leaving(&self, cfg: &Config, now: policy::Moment) -> bool {
        let fresh = |at: policy::Moment| now < at + cfg.leaving_report_ttl;
        self.listed_leaving || self.reported_leaving_at.is_some_and(fresh)
    }

    /// Whether it is healthy: not ejected, not on trial and not leaving.
    pub fn healthy(&self, cfg: &Config, now: policy::Moment) -> bool {
        self.health.state() == ejection::State::Active && !self.leaving(cfg, now)
    }

    /// Whether it is healthy and has answered since connections to it last broke.
    pub fn crash_free(&self, cfg: &Config, now: policy::Moment) -> bool {
        self.healthy(cfg, now) && self.last_crash.is_none()
    }

    /// Limit of this VM's requests in flight there. `ramping` is `None` while slow start is off.
    pub fn max_in_flight(&self, now: policy::Moment, ramping: Option<&ramp::Config>) -> usize {
        let ramp_limit = |cfg| self.ramp.max_in_flight(cfg, self.slots);
        match self.health.state() {
            ejection::State::Active => self
                .limit
                .get(now)
                .min(ramping.map_or(usize::MAX, ramp_limit)),
            ejection::State::Trial => 1,
            ejection::State::Ejected { .. } => 0,
        }
    }

    /// Removes and returns an attempt that is in flight.
    pub fn remove_attempt(&mut self, req: policy::RequestId) -> Option<Attempt> {
        let at = self.in_flight.iter().position(|a| a.req == req)?;
        if self.reserved_for == Some(req) {
            self.reserved_for = None;
        }
        Some(self.in_flight.swap_remove(at))
    }

    /// Records the duration of an attempt.
    pub fn record_duration(&mut self, cfg: &Config, took: time::Duration, typical: time::Duration) {
        let slowdown = took.as_secs_f64() / typical.as_secs_f64().max(1e-6);
        self.slowdown += (slowdown - self.slowdown) * cfg.slowdown_weight;
    }
}
