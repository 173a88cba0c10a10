//! Combines all decisions inside one availability zone behind [`policy::Policy`].
//!
//! A new request is refused, queued, sent to a backend server, or sent to another availability
//! zone. The queue is served again after every event, such as the end of an attempt. This module
//! holds the state and handles events; [`super::serve`] sends queued requests, [`super::upkeep`]
//! does the periodic work. The module of each decision names the load pattern that it handles.

use std::collections;
use std::time;

use rand::{RngExt, SeedableRng};

use super::{
    admission, cross_az, ejection, limit, members, note, placement, policy, probe, quarantine,
    queue, ramp, range, retry, trust,
};
use crate::id;
use policy::{
    Action, AttemptOutcome, Destination, Moment, Origin, Policy, Refusal, RequestId, RequestOutcome,
};

/// Thresholds of all decisions inside an availability zone.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Seed for random choices. It differs on each VM, so that VMs make different choices.
    pub seed: u64,
    /// A caller's request with a longer estimated wait is offered to other availability zones. A
    /// move to another region gains nothing if the wait is below the inter-region delay, but most
    /// requests that wait in one zone of a region find a free slot in another within 2 or 3 ms.
    pub remote_az_after: time::Duration,
    /// Which requests are admitted.
    pub admission: admission::Config,
    /// Order of queued requests.
    pub queue: queue::Config,
    /// Choice of the backend server.
    pub placement: placement::Config,
    /// State kept for each backend server.
    pub members: members::Config,
    /// Requests in flight at each backend server.
    pub limit: limit::Config,
    /// Ejection of failing backend servers.
    pub ejection: ejection::Config,
    /// Slow start of new and restored backend servers.
    pub ramp: ramp::Config,
    /// Retries and hedges.
    pub retry: retry::Config,
    /// Quarantine of requests that crash backend servers.
    pub quarantine: quarantine::Config,
    /// Probes of backend servers that get no requests.
    pub probe: probe::Config,
    /// Plausibility checks on load reports.
    pub trust: trust::Config,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 0,
            remote_az_after: time::Duration::from_millis(30),
            admission: admission::Config::default(),
            queue: queue::Config::default(),
            placement: placement::Config::default(),
            members: members::Config::default(),
            limit: limit::Config::default(),
            ejection: ejection::Config::default(),
            ramp: ramp::Config::default(),
            retry: retry::Config::default(),
            quarantine: quarantine::Config::default(),
            probe: probe::Config::default(),
            trust: trust::Config::default(),
        }
    }
}

impl Config {
    /// Checks every threshold.
    pub fn check(&self) -> Result<(), range::Error> {
        let remote_az_after = self.remote_az_after.as_secs_f64();
        range::check("cross_after", remote_az_after, 0.0..=60.0)?;
        self.admission.check()?;
        self.queue.check()?;
        self.placement.check()?;
        self.members.check()?;
        self.limit.check()?;
        self.ejection.check()?;
        self.ramp.check()?;
        self.retry.check()?;
        self.quarantine.check()?;
        self.probe.check()?;
        self.trust.check()
    }
}

/// The stage of an unsettled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Queued,
    /// Waiting to be tried alone on a backend server.
    Suspect,
    Sent,
}

/// A request that has not been settled.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) req: policy::Arrival,
    pub(super) stage: Stage,
    /// Where attempts are in flight.
    pub(super) destinations: Vec<Destination>,
    /// Backend servers where an attempt failed.
    pub(super) avoid: Vec<id::VmId>,
    pub(super) attempts: u32,
    pub(super) maybe_run: bool,
    arrived_at: Moment,
    caller_left: bool,
    tried_remote_az: bool,
}

impl Pending {
    fn new(req: policy::Arrival, arrived_at: Moment) -> Self {
        Self {
            req,
            arrived_at,
            stage: Stage::Queued,
            destinations: Vec::new(),
            avoid: Vec::new(),
            attempts: 0,
            maybe_run: false,
            caller_left: false,
            tried_remote_az: false,
        }
    }

    pub(super) fn class_key(&self) -> queue::ClassKey {
        class_key(&self.req)
    }

    pub(super) fn item(&self) -> queue::Item {
        queue::Item {
            id: self.req.id,
            deadline: self.req.deadline,
        }
    }
}

pub(super) fn class_key(req: &policy::Arrival) -> queue::ClassKey {
    queue::ClassKey {
        worth: req.worth,
        typical: req.typical,
    }
}

/// The decisions of one service on one entry VM.
#[derive(Debug)]
pub struct Dispatch {
    pub(super) cfg: Config,
    pub(super) cross_az: cross_az::CrossAzRouter,
    pub(super) members: Vec<members::Member>,
    pub(super) queue: queue::Queue,
    pub(super) suspects: collections::VecDeque<RequestId>,
    pub(super) pending: collections::HashMap<RequestId, Pending>,
    pub(super) budget: retry::Budget,
    pub(super) quarantine: quarantine::Quarantine,
    pub(super) rng: rand_chacha::ChaCha8Rng,
    pub(super) last_sweep: Moment,
    pub(super) last_probe: Option<Moment>,
    outstanding: admission::OutstandingByCaller,
    early_departures: admission::EarlyDepartures,
    pub(super) notes: note::Notes,
}

impl Dispatch {
    /// Creates a dispatcher without backend servers. `cross_az` chooses another availability zone
    /// for requests that this one cannot answer in time.
    pub fn new(cfg: Config, cross_az: cross_az::CrossAzRouter) -> Self {
        Self {
            cross_az,
            members: Vec::new(),
            queue: queue::Queue::default(),
            suspects: collections::VecDeque::new(),
            pending: collections::HashMap::new(),
            budget: retry::Budget::new(&cfg.retry),
            quarantine: quarantine::Quarantine::default(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(cfg.seed),
            last_sweep: Moment::ZERO,
            last_probe: None,
            outstanding: admission::OutstandingByCaller::default(),
            early_departures: admission::EarlyDepartures::default(),
            notes: note::Notes::default(),
            cfg,
        }
    }

    /// The decisions on requests to other availability zones.
    pub fn cross_az(&mut self) -> &mut cross_az::CrossAzRouter {
        &mut self.cross_az
    }

    /// Number of queued requests, suspects included.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    pub(super) fn view(&self, now: Moment) -> placement::View<'_> {
        placement::View::new(&self.cfg, now, &self.members)
    }

    // Arrivals and admission.

    /// The reason to refuse a request regardless of its wait, and when its caller may retry.
    fn immediate_refusal(
        &mut self,
        now: Moment,
        req: &policy::Arrival,
    ) -> Option<(Refusal, time::Duration)> {
        let min_retry_after = self.cfg.admission.min_retry_after;
        if req.deadline <= now {
            return Some((Refusal::Deadline, min_retry_after));
        }
        match self.quarantine.state(now, req.fingerprint) {
            quarantine::State::Banned { left } => return Some((Refusal::Quarantined, left)),
            quarantine::State::Suspect if !self.may_try_suspect(now) => {
                return Some((Refusal::Quarantined, self.cfg.admission.max_retry_after));
            }
            quarantine::State::Suspect | quarantine::State::Clear => {}
        }
        let queued_ahead = self.queue.has_equal_or_better(class_key(req));
        if queued_ahead
            && !self
                .outstanding
                .within_share(&self.cfg.admission, req.caller)
        {
            return Some((Refusal::CallerShare, self.retry_after(now, req)));
        }
        None
    }

    fn may_try_suspect(&self, now: Moment) -> bool {
        self.suspects.len() < self.cfg.quarantine.max_waiting && self.can_lose_one(now)
    }

    /// Whether one backend server could crash and another stay available.
    pub(super) fn can_lose_one(&self, now: Moment) -> bool {
        let crash_free = |m: &&members::Member| m.crash_free(&self.cfg.members, now);
        self.members.iter().filter(crash_free).count() >= 2
    }

    /// The time after which the caller of a refused request may retry.
    pub(super) fn retry_after(&mut self, now: Moment, req: &policy::Arrival) -> time::Duration {
        let rate = self.view(now).service_rate();
        let wait = self
            .queue
            .wait(&self.cfg.queue, now, class_key(req), &(), rate);
        let time_left = req.deadline.saturating_sub(now);
        self.cfg
            .admission
            .retry_after(wait, time_left, self.rng.random())
    }

    /// The reason that this availability zone cannot answer a request in time, if it cannot.
    fn late_refusal(
        &mut self,
        now: Moment,
        req: &policy::Arrival,
        wait: time::Duration,
    ) -> Option<Refusal> {
        let view = self.view(now);
        if self.members.is_empty() || view.healthy().next().is_none() && self.none_on_trial() {
            return Some(Refusal::NoBackend);
        }
        let work = req.typical.mul_f64(view.best_slowdown());
        let time_left = req.deadline.saturating_sub(now);
        let max_wait_share = self
            .early_departures
            .max_wait_share(&self.cfg.admission, now);
        if admission::in_time(time_left, max_wait_share, wait, work) {
            return None;
        }
        match wait.is_zero() {
            true => Some(Refusal::Deadline),
            false => Some(Refusal::Overload),
        }
    }

    fn none_on_trial(&self) -> bool {
        let trial = |m: &members::Member| m.health.state() == ejection::State::Trial;
        !self.members.iter().any(trial)
    }

    /// Queues a caller's request, sends it to another availability zone, or refuses it.
    fn admit(&mut self, now: Moment, pending: Pending, out: &mut Vec<Action>) {
        let rate = self.view(now).service_rate();
        let key = pending.class_key();
        let wait = self.queue.wait(&self.cfg.queue, now, key, &(), rate);
        let refusal = self.late_refusal(now, &pending.req, wait);
        let try_remote = refusal.is_some() || wait > self.cfg.remote_az_after;
        let Some(pending) = (match try_remote {
            true => self.try_remote_az(now, pending, out),
            false => Some(pending),
        }) else {
            return;
        };
        if let Some(why) = refusal {
            return self.give_up_on(now, pending, why, out);
        }
        if self.queue.len() >= self.cfg.queue.max_len {
            match self.queue.displace(&self.cfg.queue, key, &()) {
                Some(item) => self.give_up(now, item.id, Refusal::Overload, out),
                None => return self.give_up_on(now, pending, Refusal::Overload, out),
            }
        }
        self.queue.push(key, pending.item());
        self.pending.insert(pending.req.id, pending);
    }

    /// Sends a request to another availability zone. Returns it if none accepts it.
    fn try_remote_az(
        &mut self,
        now: Moment,
        mut pending: Pending,
        out: &mut Vec<Action>,
    ) -> Option<Pending> {
        let req = &pending.req;
        if pending.tried_remote_az || req.origin != Origin::Caller {
            return Some(pending);
        }
        let chosen = self
            .cross_az
            .choose(now, req.worth, req.bytes, req.deadline);
        let Some(az) = chosen else {
            return Some(pending);
        };
        let to = Destination::Az(az);
        out.push(Action::Send {
            req: req.id,
            to: to.clone(),
            deadline: req.deadline,
        });
        pending.tried_remote_az = true;
        pending.attempts += 1;
        pending.stage = Stage::Sent;
        pending.destinations.push(to);
        self.pending.insert(pending.req.id, pending);
        None
    }

    /// Admits a request from another availability zone only if a slot is free: local callers have
    /// precedence.
    fn admit_from_az(&mut self, now: Moment, pending: Pending, out: &mut Vec<Action>) {
        let constraints = placement::Constraints { avoid: &[] };
        let view = placement::View::new(&self.cfg, now, &self.members);
        let free = self.queue.is_empty() && view.pick(&mut self.rng, &constraints).is_some();
        if !free {
            return self.give_up_on(now, pending, Refusal::Overload, out);
        }
        self.queue.push(pending.class_key(), pending.item());
        self.pending.insert(pending.req.id, pending);
    }

    // Settlement.

    /// Settles a request without an answer.
    pub(super) fn give_up(
        &mut self,
        now: Moment,
        id: RequestId,
        why: Refusal,
        out: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.pending.remove(&id) {
            self.give_up_on(now, pending, why, out);
        }
    }

    fn give_up_on(&mut self, now: Moment, pending: Pending, why: Refusal, out: &mut Vec<Action>) {
        let retry_after = self.retry_after(now, &pending.req);
        let fate = match pending.maybe_run || !pending.destinations.is_empty() {
            true => RequestOutcome::Unknown { retry_after },
            false => RequestOutcome::NotRun { why, retry_after },
        };
        self.settle(pending, fate, out);
    }

    fn settle(&mut self, pending: Pending, fate: RequestOutcome, out: &mut Vec<Action>) {
        let req = pending.req.id;
        self.outstanding.remove(pending.req.caller);
        for member in &mut self.members {
            let has_attempt = member.in_flight.iter().any(|a| a.req == req);
            if member.reserved_for == Some(req) && !has_attempt {
                member.reserved_for = None;
            }
        }
        let cancel = |to| Action::Cancel { req, to };
        out.extend(pending.destinations.into_iter().map(cancel));
        out.push(Action::Settle { req, fate });
    }

    fn settle_answered(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(pending) = self.pending.remove(&id) {
            self.settle(pending, RequestOutcome::Answer, out);
        }
    }

    // Ends of attempts.

    /// Updates the state of a backend server after an attempt ended there.
    fn record_end(
        &mut self,
        now: Moment,
        req: RequestId,
        at: &id::VmId,
        how: AttemptOutcome,
        report: Option<policy::Report>,
    ) {
        let Some(i) = self.members.iter().position(|m| m.id == *at) else {
            return;
        };
        let cfg = &self.cfg;
        let member = &mut self.members[i];
        let Some(attempt) = member.remove_attempt(req) else {
            return;
        };
        if let Some(report) = report {
            member.record_report(&cfg.trust, now, report);
        }
        let took = now.saturating_sub(attempt.sent_at);
        match how {
            AttemptOutcome::Answered => {
                member.last_crash = member.last_crash.filter(|at| attempt.sent_at <= *at);
                member.record_duration(&cfg.members, took, attempt.typical);
                member.limit.answered(&cfg.limit);
                member.ramp.record_answer();
                member.health.answered(&cfg.ejection);
            }
            AttemptOutcome::Failed => self.record_failure(now, i),
            AttemptOutcome::TimedOut => {
                member.record_duration(&cfg.members, took, attempt.typical);
                // A timeout before the hedge delay means a short deadline, not a slow server.
                let hedge_at = retry::hedge_at(&cfg.retry, attempt.sent_at, attempt.typical, 1.0);
                if now >= hedge_at {
                    self.record_failure(now, i);
                }
            }
            AttemptOutcome::Shed => member.limit.shed(&cfg.limit, now),
            AttemptOutcome::NotSent => self.record_broken_connection(now, i),
            AttemptOutcome::Lost => self.record_lost_attempt(now, i, &attempt),
            AttemptOutcome::Cancelled => {}
        }
    }

    fn record_failure(&mut self, now: Moment, i: usize) {
        let cfg = &self.cfg.ejection;
        let others = self.members.iter().enumerate().filter(|(j, _)| *j != i);
        let unhealthy = others
            .filter(|(_, m)| !m.healthy(&self.cfg.members, now))
            .count();
        let should_eject = self.members[i].health.failed(cfg);
        if should_eject && ejection::may_eject_outlier(cfg, self.members.len(), unhealthy) {
            self.members[i].health.eject(cfg, now, false);
            let vm = self.members[i].id.clone();
            self.notes.push(note::Note::Ejected { vm, down: false });
        }
    }

    fn record_broken_connection(&mut self, now: Moment, i: usize) {
        let cfg = &self.cfg.ejection;
        let member = &mut self.members[i];
        if member.health.broke(cfg) {
            member.health.eject(cfg, now, true);
            let vm = member.id.clone();
            self.notes.push(note::Note::Ejected { vm, down: true });
        }
    }

    /// Handles a broken connection. The first one of a crash makes all requests in flight suspects.
    fn record_lost_attempt(&mut self, now: Moment, i: usize, attempt: &members::Attempt) {
        let cfg = &self.cfg.quarantine;
        let member = &mut self.members[i];
        let same_crash = |at: Moment| now < at + cfg.crash_window && attempt.sent_at <= at;
        if !member.last_crash.is_some_and(same_crash) {
            member.last_crash = Some(now);
            let others = member.in_flight.iter().map(|other| other.fingerprint);
            let suspects: Vec<_> = [attempt.fingerprint].into_iter().chain(others).collect();
            let vm = member.id.clone();
            for fingerprint in suspects {
                self.quarantine.record_crash(cfg, now, fingerprint);
                let state = self.quarantine.state(now, fingerprint);
                let banned = matches!(state, quarantine::State::Banned { .. });
                self.notes.push(note::Note::Suspected {
                    vm: vm.clone(),
                    fingerprint,
                    banned,
                });
            }
        }
        self.record_broken_connection(now, i);
    }

    /// Retries or settles a request after one of its attempts ended without an answer.
    fn retry_or_settle(
        &mut self,
        now: Moment,
        id: RequestId,
        at: &Destination,
        how: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if !pending.destinations.is_empty() {
            return;
        }
        let req = &pending.req;
        let may_resend =
            retry::may_retry(req.idempotent, how) && (req.idempotent || !pending.maybe_run);
        let attempts_left = pending.attempts <= self.cfg.retry.max_retries
            && now < req.deadline
            && !pending.caller_left;
        let unbudgeted = matches!(at, Destination::Az(_)) && !pending.maybe_run;
        if !may_resend || !attempts_left || !(unbudgeted || self.budget.take()) {
            return match how {
                AttemptOutcome::Failed => self.settle_answered(id, out),
                _ if pending.caller_left => self.give_up(now, id, Refusal::CallerGone, out),
                _ => self.give_up(now, id, Refusal::Shed, out),
            };
        }
        if let Destination::Backend(at) = at {
            pending.avoid.push(at.clone());
        }
        self.requeue(now, id, out);
    }

    fn requeue(&mut self, now: Moment, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        match self.quarantine.state(now, pending.req.fingerprint) {
            quarantine::State::Banned { .. } => self.give_up(now, id, Refusal::Quarantined, out),
            quarantine::State::Suspect if !self.may_try_suspect(now) => {
                self.give_up(now, id, Refusal::Quarantined, out);
            }
            quarantine::State::Suspect => self.enqueue_suspect(id),
            quarantine::State::Clear => {
                let (key, item) = (pending.class_key(), pending.item());
                self.queue.push_front(key, item);
                self.set_stage(id, Stage::Queued);
            }
        }
    }

    fn enqueue_suspect(&mut self, id: RequestId) {
        self.suspects.push_back(id);
        self.set_stage(id, Stage::Suspect);
    }

    pub(super) fn set_stage(&mut self, id: RequestId, stage: Stage) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.stage = stage;
        }
    }
}

impl Policy for Dispatch {
    fn cross_az(&mut self) -> Option<&mut cross_az::CrossAzRouter> {
        Some(&mut self.cross_az)
    }

    fn bans(&mut self, now: Moment) -> Vec<quarantine::Ban> {
        self.quarantine.take_new_bans(now)
    }

    fn ban(&mut self, now: Moment, entry: quarantine::Ban) {
        self.quarantine.apply_ban(&self.cfg.quarantine, now, entry);
    }

    fn arrive(&mut self, now: Moment, req: policy::Arrival, out: &mut Vec<Action>) {
        if req.origin == Origin::Caller {
            self.cross_az.arrived(now);
        }
        self.queue.arrived(&self.cfg.queue, now, class_key(&req));
        self.budget.refill(&self.cfg.retry);
        let refusal = self.immediate_refusal(now, &req);
        self.outstanding.add(req.caller);
        let pending = Pending::new(req, now);
        if let Some((why, retry_after)) = refusal {
            return self.settle(pending, RequestOutcome::NotRun { why, retry_after }, out);
        }
        let id = pending.req.id;
        if self.quarantine.state(now, pending.req.fingerprint) == quarantine::State::Suspect {
            self.pending.insert(id, pending);
            self.enqueue_suspect(id);
        } else if pending.req.origin == Origin::Caller {
            self.admit(now, pending, out);
        } else {
            self.admit_from_az(now, pending, out);
        }
        self.serve(now, out);
    }

    fn ended(
        &mut self,
        now: Moment,
        req: RequestId,
        at: &Destination,
        how: AttemptOutcome,
        report: Option<policy::Report>,
        out: &mut Vec<Action>,
    ) {
        match at {
            Destination::Backend(backend) => self.record_end(now, req, backend, how, report),
            Destination::Az(az) => {
                let bytes = self.pending.get(&req).map_or(0, |p| p.req.bytes);
                self.cross_az.ended(now, az, how, bytes);
            }
        }
        if let Some(pending) = self.pending.get_mut(&req) {
            pending.destinations.retain(|place| place != at);
            pending.maybe_run |= retry::may_have_run(how);
            if how == AttemptOutcome::Answered {
                let fingerprint = pending.req.fingerprint;
                self.quarantine.record_answer(fingerprint);
                self.settle_answered(req, out);
            } else {
                self.retry_or_settle(now, req, at, how, out);
            }
        }
        self.serve(now, out);
    }

    fn caller_gone(&mut self, now: Moment, req: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&req) else {
            return;
        };
        pending.caller_left = true;
        let (waited, timeout) = (
            now - pending.arrived_at,
            pending.req.deadline - pending.arrived_at,
        );
        self.early_departures
            .record(&self.cfg.admission, now, waited, timeout);
        let key = pending.class_key();
        match pending.stage {
            Stage::Queued => {
                self.queue.remove(key, req);
                self.give_up(now, req, Refusal::CallerGone, out);
            }
            Stage::Suspect => {
                self.suspects.retain(|id| *id != req);
                self.give_up(now, req, Refusal::CallerGone, out);
            }
            // A non-idempotent request in flight is not cancelled, so that its outcome is known.
            Stage::Sent if pending.req.idempotent => {
                let cancel = |to: &Destination| Action::Cancel {
                    req,
                    to: to.clone(),
                };
                out.extend(pending.destinations.iter().map(cancel));
            }
            Stage::Sent => {}
        }
        self.serve(now, out);
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.upkeep(now, out);
        self.serve(now, out);
    }

    fn set_backends(&mut self, now: Moment, backends: &[policy::Backend], out: &mut Vec<Action>) {
        let first_list = self.members.is_empty();
        self.members
            .retain(|m| backends.iter().any(|b| b.id == m.id));
        for backend in backends {
            if let Some(member) = self.members.iter_mut().find(|m| m.id == backend.id) {
                member.update_from_list(backend);
                continue;
            }
            let mut member = members::Member::new(backend);
            if !first_list {
                member.ramp = ramp::Ramp::cold(&self.cfg.ramp);
            }
            self.members.push(member);
        }
        self.serve(now, out);
    }

    fn report(
        &mut self,
        now: Moment,
        from: &id::VmId,
        report: Option<policy::Report>,
        out: &mut Vec<Action>,
    ) {
        self.record_probe(now, from, report);
        self.serve(now, out);
    }
    fn notes(&mut self) -> Vec<note::Note> {
        self.notes.take()
    }
}
