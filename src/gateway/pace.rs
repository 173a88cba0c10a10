//! Follows the pace of backend servers: records it, and applies it to placement, to hedges and to
//! hangs. Where the part is off, nothing here is called or everything returns at once.

use std::time;

use super::{Gateway, placement};
use crate::decisions::{mode, pace, policy};
use crate::id;
use crate::protocol::{http1, stated};
use crate::state::backends;

/// Why a backend server was chosen while placement follows the pace.
#[derive(Clone, Copy, Debug)]
pub struct Placed {
    /// The backend server's pace.
    pub pace: f64,
    /// The expected time until the answer, without the network.
    pub expected: time::Duration,
}

impl Gateway {
    /// The thresholds, if placement of a service's requests follows the pace.
    pub(super) fn pace_of(&self, service: &id::ServiceId) -> Option<&pace::Config> {
        let cfg = &self.cfg.thresholds.pace;
        let states_pace = || {
            let now = self.now();
            self.with_service(service, |state| state.pace_stated.is_recent(now))
        };
        let is_on = match cfg.mode {
            mode::Mode::Auto => cfg.mode.is_on(states_pace()),
            mode => mode.is_on(false),
        };
        is_on.then_some(cfg)
    }

    /// Records the pace that an answer stated.
    pub(super) fn note_work_pace(
        &self,
        run: &placement::Run,
        head: &http1::ResponseHead,
        stated: stated::Stated<f64>,
    ) {
        if self.cfg.thresholds.pace.mode == mode::Mode::Off {
            return;
        }
        let pace = match stated {
            stated::Stated::Absent => return,
            stated::Stated::Invalid => {
                return self.log_invalid_field(run, self.cfg.names.load, head);
            }
            stated::Stated::Value(pace) => pace,
        };
        if !self.is_from_backend(head) {
            return;
        }
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        let known = backends.get_mut(&run.id);
        if let Some(backend) = known.filter(|b| run.is_of(b)) {
            backend.work_pace.stated(now, pace);
            self.with_service(&backend.listed.service, |state| {
                state.pace_stated.record(now)
            });
        }
    }

    /// Records an answer of a service that is placed by pace. If the service does not state its
    /// pace, the time that warm work took tells it.
    pub(super) fn record_work_pace(
        &self,
        run: &placement::Run,
        sent: policy::Moment,
        ahead: f64,
        new_object: bool,
    ) {
        let (now, cfg) = (self.now(), &self.cfg.thresholds.pace);
        let mut backends = self.backends.borrow_mut();
        let known = backends.get_mut(&run.id);
        let Some(backend) = known.filter(|b| run.is_of(b)) else {
            return;
        };
        backend.work_pace.answered(now);
        let (usual_s, states_pace) = self.with_service(&backend.listed.service, |state| {
            (state.mean_latency_s, state.pace_stated.is_recent(now))
        });
        if states_pace || new_object {
            return;
        }
        let took_s = now.saturating_sub(sent).as_secs_f64();
        let slots = f64::from(backend.listed.slots);
        if let Some(ratio) = pace::work_ratio(took_s, usual_s, ahead, slots) {
            backend.work_pace.worked(cfg, now, ratio);
        }
    }

    /// Why a backend server is chosen, if a service's requests are placed by pace.
    pub(super) fn explain_choice(
        &self,
        service: &id::ServiceId,
        backend: &backends::Backend,
        new_object: bool,
    ) -> Option<Placed> {
        let cfg = self.pace_of(service)?;
        let now = self.now();
        let pace = backend.work_pace.get(cfg, now);
        let usual_s = self.with_service(service, |state| state.mean_latency_s);
        let ahead = backend.load(now) / f64::from(backend.listed.slots.max(1));
        let expected_s = pace::expected_s(usual_s, ahead, new_object, pace);
        Some(Placed {
            pace,
            expected: time::Duration::try_from_secs_f64(expected_s).unwrap_or_default(),
        })
    }

    /// Whether a read without an answer is long work rather than a sign that its backend server
    /// fails.
    pub(super) fn is_long_work(
        &self,
        service: &id::ServiceId,
        id: &id::VmId,
        sent: policy::Moment,
    ) -> bool {
        self.pace_of(service).is_some()
            && self
                .backends
                .borrow_mut()
                .get_mut(id)
                .is_some_and(|backend| backend.work_pace.hung(sent))
    }

    /// Whether the backend server `id` became slow after a read was sent to it, and another one
    /// that has the read's object cached has a free slot and is not slow.
    pub(super) fn is_slower_than_another(
        &self,
        need: &placement::Need<'_>,
        id: &id::VmId,
        sent: policy::Moment,
    ) -> bool {
        let Some(cfg) = self.pace_of(need.service) else {
            return false;
        };
        let (now, backends) = (self.now(), self.backends.borrow());
        let became_slow = |b: &backends::Backend| b.work_pace.became_slow(cfg, sent, now);
        if !backends.get(id).is_some_and(became_slow) {
            return false;
        }
        backends
            .in_scope(need.service, backends::RegionScope::Local)
            .filter(|b| !cfg.is_slow(b.work_pace.get(cfg, now)))
            .filter(|b| b.load(now) < f64::from(b.listed.slots))
            .filter(|b| need.key.is_none_or(|key| b.warming.sent_recently(now, key)))
            .any(|b| self.can_take(b, need, now))
    }
}
