//! The backend servers of the own availability zone, as this VM sees them.

use std::time;

use super::{ejection, limit, policy, probe, ramp, range, trust};
use crate::id;

/// Thresholds that concern what is known of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// What one answer counts in the mean time that answers take. A tenth follows a backend server
    /// that turns slow within ten answers, and leaves the mean steady to a few percent.
    pub pace_step: f64,
    /// How long a backend server's word that it leaves counts without being repeated. The list of
    /// VMs lags by less.
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
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("members.pace_step", self.pace_step, 0.001..=1.0)?;
        let memory = self.leaving_memory.as_secs_f64();
        range::check("members.leaving_memory", memory, 1.0..=3_600.0)
    }
}

/// An attempt that is in flight at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The request.
    pub req: policy::RequestId,
    /// What was asked.
    pub fingerprint: policy::Fingerprint,
    /// When it was sent.
    pub at: policy::Moment,
    /// How long a backend server usually works on it.
    pub typical: time::Duration,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub id: id::VmId,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// What this VM has in flight there.
    pub out: Vec<Attempt>,
    /// How many times their usual time answers take, on average.
    pub pace: f64,
    /// Requests that this VM keeps in flight there.
    pub limit: limit::Limit,
    /// Its reports.
    pub trust: trust::Trust,
    /// Its failures.
    pub health: ejection::Health,
    /// Its return from a cold start.
    pub ramp: ramp::Ramp,
    /// Its probes.
    pub watch: probe::Watch,
    /// The suspect that it is kept free for.
    pub alone: Option<policy::RequestId>,
    /// When connections to it last broke, if it has not answered since.
    pub crashed: Option<policy::Moment>,
    listed_leaving: bool,
    said_leaving: Option<policy::Moment>,
}

impl Member {
    /// A backend server of which nothing is known yet.
    pub fn new(backend: &policy::Backend) -> Self {
        Self {
            id: backend.id.clone(),
            slots: backend.slots,
            out: Vec::new(),
            pace: 1.0,
            limit: limit::Limit::new(backend.slots),
            trust: trust::Trust::default(),
            health: ejection::Health::default(),
            ramp: ramp::Ramp::default(),
            watch: probe::Watch::default(),
            alone: None,
            crashed: None,
            listed_leaving: backend.leaving,
            said_leaving: None,
        }
    }

    /// Takes over what the list of VMs says.
    pub fn listed(&mut self, backend: &policy::Backend) {
        self.listed_leaving = backend.leaving;
        if self.slots != backend.slots {
            self.slots = backend.slots;
            self.limit = limit::Limit::new(backend.slots);
        }
    }

    /// Takes in a report.
    pub fn report(&mut self, cfg: &trust::Config, now: policy::Moment, report: policy::Report) {
        self.trust.see(cfg, now, report, self.out.len());
        if report.leaving {
            self.said_leaving = Some(now);
        }
    }

    /// Whether it gets no new work because it leaves: the list says so, or it does.
    pub fn leaving(&self, cfg: &Config, now: policy::Moment) -> bool {
        let fresh = |at: policy::Moment| now < at + cfg.leaving_memory;
        self.listed_leaving || self.said_leaving.is_some_and(fresh)
    }

    /// Whether it is in, and neither leaves nor is on trial.
    pub fn sound(&self, cfg: &Config, now: policy::Moment) -> bool {
        self.health.state() == ejection::State::In && !self.leaving(cfg, now)
    }

    /// Whether it is sound and has answered since connections to it last broke.
    pub fn safe(&self, cfg: &Config, now: policy::Moment) -> bool {
        self.sound(cfg, now) && self.crashed.is_none()
    }

    /// Requests that this VM may have in flight there. `ramping` is absent while cold backend
    /// servers get their share at once.
    pub fn cap(&self, now: policy::Moment, ramping: Option<&ramp::Config>) -> usize {
        let ramped = |cfg| self.ramp.cap(cfg, self.slots);
        match self.health.state() {
            ejection::State::In => self.limit.get(now).min(ramping.map_or(usize::MAX, ramped)),
            ejection::State::Trial => 1,
            ejection::State::Out { .. } => 0,
        }
    }

    /// Takes an attempt out of what is in flight.
    pub fn ended(&mut self, req: policy::RequestId) -> Option<Attempt> {
        let at = self.out.iter().position(|a| a.req == req)?;
        if self.alone == Some(req) {
            self.alone = None;
        }
        Some(self.out.swap_remove(at))
    }

    /// An attempt took `took`.
    pub fn took(&mut self, cfg: &Config, took: time::Duration, typical: time::Duration) {
        let pace = took.as_secs_f64() / typical.as_secs_f64().max(1e-6);
        self.pace += (pace - self.pace) * cfg.pace_step;
    }
}
