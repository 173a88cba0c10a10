//! Further sends of a request: after a failure or a refusal, and hedges. Each is bounded by the
//! route's attempts, the budget of all VMs and the customer's quota.

use std::rc;
use std::time;

use metrics::counter;

use super::{Gateway, attempt, placement, request, waiting};
use crate::decisions::{policy, resend_priority};
use crate::id;
use crate::metrics as metric_names;
use crate::transport::upstream;

/// The age of the store's last answer up to which the list of entry VMs counts as current.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_millis(2500);

/// The reason for a second send while another one is in flight.
const HEDGE: &str = "hedge";

impl Gateway {
    /// This VM's part of the additional second sends that all VMs may make in a window.
    fn resend_extra(&self, now: policy::Moment) -> f64 {
        self.update_fleet_view();
        let is_view_current = self.is_view_current();
        let fleet_view = self.fleet_view.get();
        fleet_view.extra(&self.cfg.resend, now, is_view_current)
    }

    /// Whether the list of entry VMs is known to be current.
    pub(super) fn is_view_current(&self) -> bool {
        self.store_age().is_some_and(|age| age <= MAX_VIEW_AGE)
    }

    /// Updates the service's rate of declined sends. Returns whether backend servers across the
    /// service decline requests although they have free slots.
    pub(super) fn update_declines(
        &self,
        job: &attempt::Job,
        at: &id::VmId,
        outcome: &attempt::Outcome,
    ) -> bool {
        let declined = match outcome {
            attempt::Outcome::Answer { failed: false, .. } => false,
            attempt::Outcome::NotRun(attempt::NotRun::Declined) => true,
            _ => return false,
        };
        let declined_before = declined
            && match self.backends.borrow_mut().get_mut(at) {
                Some(backend) => std::mem::replace(&mut backend.declined, true),
                None => false,
            };
        let (was_everywhere, is_everywhere) = self.with_service(&job.service, |state| {
            let was_everywhere = state.declines.is_service_wide();
            state.declines.sent(declined, !declined_before);
            (was_everywhere, state.declines.is_service_wide())
        });
        if was_everywhere != is_everywhere {
            slog::info!(self.log, "backend servers decline requests despite free slots"; "service" => %job.service, "everywhere" => is_everywhere);
        }
        is_everywhere
    }
}

impl request::Dispatch<'_> {
    /// Whether an idle backend server refused the latest send.
    pub(super) fn is_declined(&self) -> bool {
        self.refusal == Some(attempt::NotRun::Declined)
    }

    /// Counts a request that is refused for lack of budget.
    pub(super) fn count_out_of_budget(&self) {
        if self.out_of_budget {
            let service = self.cx.labels.label(self.job.service.as_str());
            let rank = waiting::rank_label(self.facts.rank());
            counter!(metric_names::OUT_OF_BUDGET, "service" => service, "rank" => rank)
                .increment(1);
        }
    }

    /// What the budget needs to know of the request.
    fn ask(&self, now: policy::Moment) -> resend_priority::Ask {
        let (usual_s, is_ordered) = (self.cx).with_service(&self.job.service, |state| {
            (state.mean_latency_s, state.declines.is_service_wide())
        });
        resend_priority::Ask {
            rank: self.facts.rank(),
            in_time: now + time::Duration::from_secs_f64(usual_s) <= self.facts.target_at(),
            is_ordered,
        }
    }

    /// Whether the request itself allows one more send.
    fn may_go_on(&self) -> bool {
        let more = self.possible_runs < self.facts.route.attempts
            && self.sends <= self.facts.route.attempts;
        let fresh = self.payload.is_some();
        // Without a waiting caller, the request must not start at another backend server.
        let over = self.cancellation.caller_left.get() || self.cx.now() >= self.facts.deadline;
        more && fresh && !over
    }

    /// Whether one more send is allowed; if so, takes it from the budget. A request that no backend
    /// server has received needs none: its next send is still the first to arrive.
    fn may_send(&mut self) -> bool {
        if !self.may_go_on() {
            return false;
        }
        if !self.has_arrived {
            return true;
        }
        let now = self.cx.now();
        let (ask, extra) = (self.ask(now), self.cx.resend_extra(now));
        let bound = &self.cx.cfg.resend;
        let taken = (self.cx).with_service(&self.job.service, |state| {
            state.resends.take(bound, now, extra, ask)
        });
        self.out_of_budget = !taken;
        taken
    }

    /// Whether the budget has a second send for the request now. Without one, it must not wait for
    /// room that it could not use.
    fn has_budget(&mut self) -> bool {
        if !self.has_arrived {
            return true;
        }
        let now = self.cx.now();
        let (ask, extra) = (self.ask(now), self.cx.resend_extra(now));
        let bound = &self.cx.cfg.resend;
        let allowed = (self.cx).with_service(&self.job.service, |state| {
            state.resends.allows_or_refuses(bound, now, extra, ask)
        });
        self.out_of_budget = !allowed;
        allowed
    }

    /// How often a read in flight is checked for a backend server that became slow; `None` if its
    /// service's requests are not placed by pace.
    pub(super) fn pace_check_interval(&self) -> Option<time::Duration> {
        if !self.checks_pace {
            return None;
        }
        let cfg = self.cx.pace_of(&self.job.service)?;
        let usual = self
            .cx
            .with_service(&self.job.service, |state| state.mean_latency_s);
        Some(time::Duration::from_secs_f64(usual * cfg.hedge))
    }

    /// Whether the backend server of the latest send became slow since, and another one is not.
    pub(super) fn became_slow(&self) -> bool {
        let at = self.tried.last();
        let was_slow = self
            .placed_by
            .is_some_and(|p| self.cx.cfg.thresholds.pace.is_slow(p.pace));
        !was_slow
            && at.is_some_and(|id| {
                self.cx
                    .is_slower_than_another(&self.need(), id, self.last_sent)
            })
    }

    /// When a read in flight is sent a second time; `None` if it must not run twice.
    pub(super) fn hedge_at(&self) -> Option<policy::Moment> {
        if !self.facts.route.idempotent {
            return None;
        }
        let usual = self
            .cx
            .with_service(&self.job.service, |state| state.mean_latency_s);
        let usual = time::Duration::from_secs_f64(usual);
        let hedge = &self.cx.cfg.thresholds.hedge;
        Some(self.cx.now() + hedge.after(usual, self.facts.route.latency_target))
    }

    /// One more send while another is in flight. Both may run, so two attempts must remain.
    pub(super) fn hedge(&mut self) -> Option<(upstream::Payload, placement::Reservation)> {
        if self.possible_runs + 2 > self.facts.route.attempts {
            return None;
        }
        // The send in flight may have arrived.
        let had_arrived = std::mem::replace(&mut self.has_arrived, true);
        let hedge = self.resend(HEDGE);
        if hedge.is_none() {
            (self.has_arrived, self.out_of_budget) = (had_arrived, false);
        }
        hedge
    }

    /// One more send after the previous one failed. A request that has not run may wait for it.
    pub(super) async fn after_failure(
        &mut self,
    ) -> Option<(upstream::Payload, placement::Reservation)> {
        if self.possible_runs > 0 {
            return match self.facts.route.idempotent {
                true => self.resend(self.latest_failure),
                false => None,
            };
        }
        if !self.is_still_allowed() || !self.may_go_on() || !self.has_budget() {
            return None;
        }
        if !self.may_wait_again() {
            return None;
        }
        match self.reserve().await {
            waiting::End::Room(reservation) => self.resend_to(reservation, self.latest_failure),
            waiting::End::Refused(_) => None,
        }
    }

    /// Whether a request that has not run may be sent later. If so, it ends when its caller leaves.
    fn may_wait_again(&self) -> bool {
        if !self.cx.waiting.is_on() {
            return true;
        }
        let may_send = self.sends <= self.facts.route.attempts && self.payload.is_some();
        if !may_send || self.cancellation.caller_left.get() {
            return false;
        }
        self.cancellation.committed.set(false);
        true
    }

    fn resend(
        &mut self,
        reason: &'static str,
    ) -> Option<(upstream::Payload, placement::Reservation)> {
        if !self.is_still_allowed() {
            return None;
        }
        let reservation = self.cx.reserve(&self.need()).ok()?;
        self.resend_to(reservation, reason)
    }

    fn resend_to(
        &mut self,
        reservation: placement::Reservation,
        reason: &'static str,
    ) -> Option<(upstream::Payload, placement::Reservation)> {
        if !self.may_send() || !self.charge_resend() {
            return None;
        }
        self.note_reservation(&reservation);
        let payload = self.take_payload()?;
        self.note_send();
        let service = self.cx.labels.label(self.job.service.as_str());
        counter!(metric_names::SECOND_SENDS, "service" => service, "reason" => reason).increment(1);
        Some((payload, reservation))
    }

    /// Whether a customer still holds the request's key. A revoked key allows no further send;
    /// after a key has moved to another customer, further sends carry the new customer's name.
    pub(super) fn is_still_allowed(&mut self) -> bool {
        let Ok(key_holder) = self.cx.current_key_holder(self.facts) else {
            self.revoked = true;
            return false;
        };
        let customer = key_holder.map(|key_holder| key_holder.customer);
        if customer != self.job.customer {
            rc::Rc::make_mut(&mut self.job).customer = customer;
        }
        true
    }

    /// Whether the customer's quota allows one more send.
    fn charge_resend(&mut self) -> bool {
        let charge = self.charge.as_mut();
        charge.is_none_or(|charge| self.cx.charge_resend(charge))
    }
}
