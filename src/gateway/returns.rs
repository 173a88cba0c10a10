//! Schedules the retries of refused requests and recognises them when they come.

use std::time;

use metrics::counter;

use super::{Gateway, facts};
use crate::decisions::{affinity, policy, precedence, returns};
use crate::id;
use crate::metrics as metric_names;
use crate::protocol::routes;

/// Most routes whose usual times are kept. Names of removed routes stay until then.
const MAX_ROUTES: usize = 256;

fn route_key(route: &routes::Route) -> u64 {
    affinity::hash(route.name.as_bytes())
}

impl Gateway {
    /// Whether retries are scheduled.
    pub(super) fn schedules_returns(&self) -> bool {
        let mode = self.cfg.thresholds.returns.mode;
        mode.is_on(self.cfg.contended)
    }

    /// How much of its time the caller of a request had used before it.
    pub(super) fn time_used(
        &self,
        route: &routes::Route,
        stated: time::Duration,
        received: policy::Moment,
    ) -> time::Duration {
        if !self.schedules_returns() {
            return time::Duration::ZERO;
        }
        let mut known = self.usual_times.borrow_mut();
        let key = route_key(route);
        if known.len() >= MAX_ROUTES && !known.contains_key(&key) {
            known.clear();
        }
        known.entry(key).or_default().used(received, stated)
    }

    /// Counts a request that is a retry; it takes the place of one that is expected.
    pub(super) fn count_retry(&self, service: &id::ServiceId, facts: &facts::Facts) {
        if !facts.is_retry() {
            return;
        }
        let (now, class) = (self.now(), class_of(service, facts));
        self.with_service(service, |state| state.returns.retry_came(now, class));
        counter!(metric_names::RETRIES_SEEN, "service" => self.labels.label(service.as_str()))
            .increment(1);
    }

    /// A request's claim to capacity, and the first among the promised retries that are due; `None`
    /// if retries are not scheduled.
    pub(super) fn claim(
        &self,
        service: &id::ServiceId,
        facts: &facts::Facts,
    ) -> Option<(precedence::Claim, Option<precedence::Claim>)> {
        if !self.schedules_returns() {
            return None;
        }
        let now = self.now();
        let own = precedence::Claim::new(class_of(service, facts), facts.is_retry());
        let expected = self.with_service(service, |state| state.returns.expected(now));
        Some((own, expected))
    }

    /// Schedules the retry of a request that found no room; `None` if no rate is known, or if the
    /// backend servers decline requests although they have room.
    pub(super) fn schedule_return(
        &self,
        service: &id::ServiceId,
        facts: &facts::Facts,
        left: time::Duration,
    ) -> Option<returns::Promise> {
        if !self.schedules_returns() {
            return None;
        }
        let now = self.now();
        if let Some(usual) = self
            .usual_times
            .borrow_mut()
            .get_mut(&route_key(&facts.route))
        {
            usual.refused(now);
        }
        let not_before = self.wait_for_service(service);
        let promise = self.with_service(service, |state| {
            if state.declines.is_service_wide() {
                return None;
            }
            let refusal = returns::Refusal {
                class: class_of(service, facts),
                is_retry: facts.is_retry(),
                left,
                service_time: time::Duration::from_secs_f64(state.mean_latency_s),
                not_before,
                jitter: self.jitter(),
            };
            let cfg = &self.cfg.thresholds.returns;
            state.returns.refused(cfg, now, &refusal)
        })?;
        if promise.kept {
            counter!(metric_names::PROMISED_RETRIES, "service" => self.labels.label(service.as_str()))
                .increment(1);
        }
        Some(promise)
    }
}

fn class_of(service: &id::ServiceId, facts: &facts::Facts) -> usize {
    let rank = facts.rank();
    returns::class_of(rank, facts.table.is_below_top_rank(rank, service))
}
