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
    pub pace_step: f64,
    /// How long a backend server's report that it is leaving stays valid. The VM list lags by less.
    pub leaving_memory: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            pace_step: 0.1,
            leaving_memory: time::Duration::from_secs(30),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("members.pace_step", self.pace_step, 0.001..=1.0)?;
        let memory = self.leaving_memory.as_secs_f64();
        range::check("members.leaving_memory", memory, 1.0..=3_600.0)
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
    pub at: policy::Moment,
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
    pub out: Vec<Attempt>,
    /// Moving average of the answer times, as a multiple of the usual durations.
    pub pace: f64,
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
    pub alone: Option<policy::RequestId>,
    /// When connections to it last broke, if it has not answered since.
    pub crashed: Option<policy::Moment>,
    listed_leaving: bool,
    said_leaving: Option<policy::Moment>,
}

impl Member {
    /// Creates the initial state of a listed backend server.
    pub fn new(backend: &policy::Backend) -> Self {
        Self {
            id: backend.id.clone(),
            slots: backend.slots,
            out: Vec::new(),
            pace: 1.0,
            limit: limit::Limit::new(backend.slots),
            reports: trust::ReportHistory::default(),
            health: ejection::Health::default(),
            ramp: ramp::Ramp::default(),
            probe_state: probe::ProbeState::default(),
            alone: None,
            crashed: None,
            listed_leaving: backend.leaving,
            said_leaving: None,
        }
    }

    /// Updates the state from the list of VMs.
    pub fn listed(&mut self, backend: &policy::Backend) {
        self.listed_leaving = backend.leaving;
        if self.slots != backend.slots {
            self.slots = backend.slots;
            self.limit = limit::Limit::new(backend.slots);
        }
    }

    /// Records a load report.
    pub fn report(&mut self, cfg: &trust::Config, now: policy::Moment, report: policy::Report) {
        self.reports.record(cfg, now, report, self.out.len());
        if report.leaving {
            self.said_leaving = Some(now);
        }
    }

    /// Whether it is leaving, by the list of VMs or its own reports, and gets no new requests.
    pub fn leaving(&self, cfg: &Config, now: policy::Moment) -> bool {
        let fresh = |at: policy::Moment| now < at + cfg.leaving_memory;
        self.listed_leaving || self.said_leaving.is_some_and(fresh)
    }

    /// Whether it is healthy: not ejected, not on trial and not leaving.
    pub fn sound(&self, cfg: &Config, now: policy::Moment) -> bool {
        self.health.state() == ejection::State::In && !self.leaving(cfg, now)
    }

    /// Whether it is healthy and has answered since connections to it last broke.
    pub fn safe(&self, cfg: &Config, now: policy::Moment) -> bool {
        self.sound(cfg, now) && self.crashed.is_none()
    }

    /// Limit of this VM's requests in flight there. `ramping` is `None` while slow start is off.
    pub fn cap(&self, now: policy::Moment, ramping: Option<&ramp::Config>) -> usize {
        let ramp_limit = |cfg| self.ramp.max_in_flight(cfg, self.slots);
        match self.health.state() {
            ejection::State::In => self
                .limit
                .get(now)
                .min(ramping.map_or(usize::MAX, ramp_limit)),
            ejection::State::Trial => 1,
            ejection::State::Out { .. } => 0,
        }
    }

    /// Removes and returns an attempt that is in flight.
    pub fn ended(&mut self, req: policy::RequestId) -> Option<Attempt> {
        let at = self.out.iter().position(|a| a.req == req)?;
        if self.alone == Some(req) {
            self.alone = None;
        }
        Some(self.out.swap_remove(at))
    }

    /// Records the duration of an attempt.
    pub fn took(&mut self, cfg: &Config, took: time::Duration, typical: time::Duration) {
        let pace = took.as_secs_f64() / typical.as_secs_f64().max(1e-6);
        self.pace += (pace - self.pace) * cfg.pace_step;
    }
}
