//! All decisions inside one availability zone put together, behind [`policy::Policy`].
//!
//! A request that comes in is refused at once, waits in the queue, or goes to a backend server.
//! Whenever something ends, the queue is served again. This module holds what is known and takes
//! in what happens; [`super::serve`] sends what waits, and [`super::upkeep`] does what time alone
//! brings. Each decision has a module of its own, which says which load pattern it answers.

use std::collections;
use std::time;

use rand::{RngExt, SeedableRng};

use super::{
    across, admission, ejection, limit, members, note, placement, policy, probe, quarantine, queue,
    ramp, range, retry, trust,
};
use crate::id;
use policy::{Action, Ended, Fate, Moment, Origin, Place, Policy, Refusal, RequestId};

/// Thresholds of all decisions inside an availability zone.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Where random picks begin. Different on each VM, so that they do not pick alike.
    pub seed: u64,
    /// A caller's request that would wait longer than this is offered to other availability
    /// zones. Less than the delay between regions gains nothing there, but most that wait in one
    /// zone of a region find room in the other within 2 or 3 ms.
    pub cross_after: time::Duration,
    /// What is let in.
    pub admission: admission::Config,
    /// What goes next.
    pub queue: queue::Config,
    /// Where it goes.
    pub placement: placement::Config,
    /// What is known of a backend server.
    pub members: members::Config,
    /// How much is in flight at one.
    pub limit: limit::Config,
    /// When one is out.
    pub ejection: ejection::Config,
    /// How it comes back.
    pub ramp: ramp::Config,
    /// Second attempts.
    pub retry: retry::Config,
    /// Requests that crash backend servers.
    pub quarantine: quarantine::Config,
    /// Probes.
    pub probe: probe::Config,
    /// Reports.
    pub trust: trust::Config,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 0,
            cross_after: time::Duration::from_millis(30),
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
        let cross_after = self.cross_after.as_secs_f64();
        range::check("cross_after", cross_after, 0.0..=60.0)?;
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

/// Where a request that is in hand stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits in the queue.
    Queued,
    /// It waits to be tried alone.
    Suspect,
    /// It has been sent.
    Sent,
}

/// A request that has not been settled.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) req: policy::Arrival,
    pub(super) stage: Stage,
    pub(super) sends: Vec<Place>,
    pub(super) avoid: Vec<id::VmId>,
    pub(super) attempts: u32,
    pub(super) maybe_run: bool,
    since: Moment,
    gone: bool,
    crossed: bool,
}

impl Pending {
    fn new(req: policy::Arrival, since: Moment) -> Self {
        Self {
            req,
            since,
            stage: Stage::Queued,
            sends: Vec::new(),
            avoid: Vec::new(),
            attempts: 0,
            maybe_run: false,
            gone: false,
            crossed: false,
        }
    }

    pub(super) fn kind(&self) -> queue::Kind {
        kind(&self.req)
    }

    pub(super) fn item(&self) -> queue::Item {
        queue::Item {
            id: self.req.id,
            deadline: self.req.deadline,
        }
    }
}

pub(super) fn kind(req: &policy::Arrival) -> queue::Kind {
    queue::Kind {
        worth: req.worth,
        typical: req.typical,
    }
}

/// The decisions of one service on one entry VM.
#[derive(Debug)]
pub struct Dispatch {
    pub(super) cfg: Config,
    pub(super) across: across::Across,
    pub(super) members: Vec<members::Member>,
    pub(super) queue: queue::Queue,
    pub(super) suspects: collections::VecDeque<RequestId>,
    pub(super) pending: collections::HashMap<RequestId, Pending>,
    pub(super) budget: retry::Budget,
    pub(super) quarantine: quarantine::Quarantine,
    pub(super) rng: rand_chacha::ChaCha8Rng,
    pub(super) swept: Moment,
    pub(super) probed: Option<Moment>,
    shares: admission::Shares,
    leaving: admission::Leaving,
    pub(super) notes: note::Notes,
}

impl Dispatch {
    /// Decisions without backend servers yet. `across` is asked when the own availability zone
    /// cannot take a request in time.
    pub fn new(cfg: Config, across: across::Across) -> Self {
        Self {
            across,
            members: Vec::new(),
            queue: queue::Queue::default(),
            suspects: collections::VecDeque::new(),
            pending: collections::HashMap::new(),
            budget: retry::Budget::new(&cfg.retry),
            quarantine: quarantine::Quarantine::default(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(cfg.seed),
            swept: Moment::ZERO,
            probed: None,
            shares: admission::Shares::default(),
            leaving: admission::Leaving::default(),
            notes: note::Notes::default(),
            cfg,
        }
    }

    /// What may be sent to other availability zones.
    pub fn across(&mut self) -> &mut across::Across {
        &mut self.across
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    pub(super) fn view(&self, now: Moment) -> placement::View<'_> {
        placement::View::new(&self.cfg, now, &self.members)
    }

    // What comes in.

    /// Why a request is refused outright, if it is.
    fn refusal(&mut self, now: Moment, req: &policy::Arrival) -> Option<(Refusal, time::Duration)> {
        let least = self.cfg.admission.back_least;
        if req.deadline <= now {
            return Some((Refusal::Deadline, least));
        }
        match self.quarantine.state(now, req.fingerprint) {
            quarantine::State::Banned { left } => return Some((Refusal::Quarantined, left)),
            quarantine::State::Suspect if !self.may_try_suspect(now) => {
                return Some((Refusal::Quarantined, self.cfg.admission.back_most));
            }
            quarantine::State::Suspect | quarantine::State::Clear => {}
        }
        let crowded = self.queue.crowded(kind(req));
        if crowded && !self.shares.fair(&self.cfg.admission, req.caller) {
            return Some((Refusal::CallerShare, self.back(now, req)));
        }
        None
    }

    fn may_try_suspect(&self, now: Moment) -> bool {
        self.suspects.len() < self.cfg.quarantine.waiting && self.spare(now)
    }

    /// Whether a backend server could crash without being the last one.
    pub(super) fn spare(&self, now: Moment) -> bool {
        let safe = |m: &&members::Member| m.safe(&self.cfg.members, now);
        self.members.iter().filter(safe).count() >= 2
    }

    /// When the caller of a refused request is asked to come back.
    pub(super) fn back(&mut self, now: Moment, req: &policy::Arrival) -> time::Duration {
        let rate = self.view(now).rate();
        let wait = self.queue.wait(&self.cfg.queue, now, kind(req), rate);
        let left = req.deadline.saturating_sub(now);
        self.cfg.admission.back(wait, left, self.rng.random())
    }

    /// Why a request cannot be answered in time here, if it cannot.
    fn too_late(
        &mut self,
        now: Moment,
        req: &policy::Arrival,
        wait: time::Duration,
    ) -> Option<Refusal> {
        let view = self.view(now);
        if self.members.is_empty() || view.sound().next().is_none() && self.none_on_trial() {
            return Some(Refusal::NoBackend);
        }
        let work = req.typical.mul_f64(view.best_pace());
        let left = req.deadline.saturating_sub(now);
        let patience = self.leaving.patience(&self.cfg.admission, now);
        if admission::in_time(left, patience, wait, work) {
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

    /// Lets a request in: to the queue, to another availability zone, or not at all.
    fn admit(&mut self, now: Moment, pending: Pending, out: &mut Vec<Action>) {
        let rate = self.view(now).rate();
        let kind = pending.kind();
        let wait = self.queue.wait(&self.cfg.queue, now, kind, rate);
        let refusal = self.too_late(now, &pending.req, wait);
        let cross = refusal.is_some() || wait > self.cfg.cross_after;
        let Some(pending) = (match cross {
            true => self.try_across(now, pending, out),
            false => Some(pending),
        }) else {
            return;
        };
        if let Some(why) = refusal {
            return self.give_up_on(now, pending, why, out);
        }
        if self.queue.len() >= self.cfg.queue.most {
            match self.queue.displace(&self.cfg.queue, kind) {
                Some(item) => self.give_up(now, item.id, Refusal::Overload, out),
                None => return self.give_up_on(now, pending, Refusal::Overload, out),
            }
        }
        self.queue.push(kind, pending.item());
        self.pending.insert(pending.req.id, pending);
    }

    /// Sends a request across, or gives it back.
    fn try_across(
        &mut self,
        now: Moment,
        mut pending: Pending,
        out: &mut Vec<Action>,
    ) -> Option<Pending> {
        let req = &pending.req;
        if pending.crossed || req.origin != Origin::Caller {
            return Some(pending);
        }
        let chosen = self.across.choose(now, req.worth, req.bytes, req.deadline);
        let Some(az) = chosen else {
            return Some(pending);
        };
        let to = Place::Az(az);
        out.push(Action::Send {
            req: req.id,
            to: to.clone(),
            deadline: req.deadline,
        });
        pending.crossed = true;
        pending.attempts += 1;
        pending.stage = Stage::Sent;
        pending.sends.push(to);
        self.pending.insert(pending.req.id, pending);
        None
    }

    /// A request from another availability zone is taken only into a free slot: the own callers
    /// go first.
    fn admit_foreign(&mut self, now: Moment, pending: Pending, out: &mut Vec<Action>) {
        let need = placement::Need { avoid: &[] };
        let view = placement::View::new(&self.cfg, now, &self.members);
        let free = self.queue.is_empty() && view.pick(&mut self.rng, &need).is_some();
        if !free {
            return self.give_up_on(now, pending, Refusal::Overload, out);
        }
        self.queue.push(pending.kind(), pending.item());
        self.pending.insert(pending.req.id, pending);
    }

    // What is over.

    /// Settles a request that will not be tried again.
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
        let retry_after = self.back(now, &pending.req);
        let fate = match pending.maybe_run || !pending.sends.is_empty() {
            true => Fate::Unknown { retry_after },
            false => Fate::NotRun { why, retry_after },
        };
        self.settle(pending, fate, out);
    }

    fn settle(&mut self, pending: Pending, fate: Fate, out: &mut Vec<Action>) {
        let req = pending.req.id;
        self.shares.remove(pending.req.caller);
        for member in &mut self.members {
            let in_flight = member.out.iter().any(|a| a.req == req);
            if member.alone == Some(req) && !in_flight {
                member.alone = None;
            }
        }
        let cancel = |to| Action::Cancel { req, to };
        out.extend(pending.sends.into_iter().map(cancel));
        out.push(Action::Settle { req, fate });
    }

    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(pending) = self.pending.remove(&id) {
            self.settle(pending, Fate::Answer, out);
        }
    }

    // What ended.

    /// Takes in what the end of an attempt says of a backend server.
    fn learn(
        &mut self,
        now: Moment,
        req: RequestId,
        at: &id::VmId,
        how: Ended,
        report: Option<policy::Report>,
    ) {
        let Some(i) = self.members.iter().position(|m| m.id == *at) else {
            return;
        };
        let cfg = &self.cfg;
        let member = &mut self.members[i];
        let Some(attempt) = member.ended(req) else {
            return;
        };
        if let Some(report) = report {
            member.report(&cfg.trust, now, report);
        }
        let took = now.saturating_sub(attempt.at);
        match how {
            Ended::Answered => {
                member.crashed = member.crashed.filter(|at| attempt.at <= *at);
                member.took(&cfg.members, took, attempt.typical);
                member.limit.answered(&cfg.limit);
                member.ramp.answered();
                member.health.answered(&cfg.ejection);
            }
            Ended::Failed => self.failed(now, i),
            Ended::TimedOut => {
                member.took(&cfg.members, took, attempt.typical);
                // A caller with little patience left says nothing of the backend server.
                let long = retry::hedge_at(&cfg.retry, attempt.at, attempt.typical, 1.0);
                if now >= long {
                    self.failed(now, i);
                }
            }
            Ended::Shed => member.limit.shed(&cfg.limit, now),
            Ended::NotSent => self.broke(now, i),
            Ended::Lost => self.lost(now, i, &attempt),
            Ended::Cancelled => {}
        }
    }

    fn failed(&mut self, now: Moment, i: usize) {
        let cfg = &self.cfg.ejection;
        let others = self.members.iter().enumerate().filter(|(j, _)| *j != i);
        let out = others
            .filter(|(_, m)| !m.sound(&self.cfg.members, now))
            .count();
        let wants = self.members[i].health.failed(cfg);
        if wants && ejection::room(cfg, self.members.len(), out) {
            self.members[i].health.eject(cfg, now, false);
            let vm = self.members[i].id.clone();
            self.notes.push(note::Note::Ejected { vm, down: false });
        }
    }

    fn broke(&mut self, now: Moment, i: usize) {
        let cfg = &self.cfg.ejection;
        let member = &mut self.members[i];
        if member.health.broke(cfg) {
            member.health.eject(cfg, now, true);
            let vm = member.id.clone();
            self.notes.push(note::Note::Ejected { vm, down: true });
        }
    }

    /// A connection broke. The first that does so names what was in flight there as suspects.
    fn lost(&mut self, now: Moment, i: usize, attempt: &members::Attempt) {
        let cfg = &self.cfg.quarantine;
        let member = &mut self.members[i];
        let same = |at: Moment| now < at + cfg.one_crash && attempt.at <= at;
        if !member.crashed.is_some_and(same) {
            member.crashed = Some(now);
            let others = member.out.iter().map(|other| other.fingerprint);
            let suspects: Vec<_> = [attempt.fingerprint].into_iter().chain(others).collect();
            let vm = member.id.clone();
            for fingerprint in suspects {
                self.quarantine.crashed(cfg, now, fingerprint);
                let state = self.quarantine.state(now, fingerprint);
                let banned = matches!(state, quarantine::State::Banned { .. });
                self.notes.push(note::Note::Suspected {
                    vm: vm.clone(),
                    fingerprint,
                    banned,
                });
            }
        }
        self.broke(now, i);
    }

    /// Decides on a request after one of its attempts ended without an answer.
    fn again(&mut self, now: Moment, id: RequestId, at: &Place, how: Ended, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if !pending.sends.is_empty() {
            return;
        }
        let req = &pending.req;
        let safe = retry::allowed(req.idempotent, how) && (req.idempotent || !pending.maybe_run);
        let more = pending.attempts <= self.cfg.retry.most && now < req.deadline && !pending.gone;
        let free = matches!(at, Place::Az(_)) && !pending.maybe_run;
        if !safe || !more || !(free || self.budget.take()) {
            return match how {
                Ended::Failed => self.answer(id, out),
                _ if pending.gone => self.give_up(now, id, Refusal::CallerGone, out),
                _ => self.give_up(now, id, Refusal::Shed, out),
            };
        }
        if let Place::Backend(at) = at {
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
            quarantine::State::Suspect => self.stage_suspect(id),
            quarantine::State::Clear => {
                let (kind, item) = (pending.kind(), pending.item());
                self.queue.push_front(kind, item);
                self.set_stage(id, Stage::Queued);
            }
        }
    }

    fn stage_suspect(&mut self, id: RequestId) {
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
    fn across(&mut self) -> Option<&mut across::Across> {
        Some(&mut self.across)
    }

    fn bans(&mut self, now: Moment) -> Vec<quarantine::Entry> {
        self.quarantine.export(now)
    }

    fn ban(&mut self, now: Moment, entry: quarantine::Entry) {
        self.quarantine.import(&self.cfg.quarantine, now, entry);
    }

    fn arrive(&mut self, now: Moment, req: policy::Arrival, out: &mut Vec<Action>) {
        if req.origin == Origin::Caller {
            self.across.arrived(now);
        }
        self.queue.arrived(&self.cfg.queue, now, kind(&req));
        self.budget.fill(&self.cfg.retry);
        let refusal = self.refusal(now, &req);
        self.shares.add(req.caller);
        let pending = Pending::new(req, now);
        if let Some((why, retry_after)) = refusal {
            return self.settle(pending, Fate::NotRun { why, retry_after }, out);
        }
        let id = pending.req.id;
        if self.quarantine.state(now, pending.req.fingerprint) == quarantine::State::Suspect {
            self.pending.insert(id, pending);
            self.stage_suspect(id);
        } else if pending.req.origin == Origin::Caller {
            self.admit(now, pending, out);
        } else {
            self.admit_foreign(now, pending, out);
        }
        self.serve(now, out);
    }

    fn ended(
        &mut self,
        now: Moment,
        req: RequestId,
        at: &Place,
        how: Ended,
        report: Option<policy::Report>,
        out: &mut Vec<Action>,
    ) {
        match at {
            Place::Backend(backend) => self.learn(now, req, backend, how, report),
            Place::Az(az) => {
                let bytes = self.pending.get(&req).map_or(0, |p| p.req.bytes);
                self.across.ended(now, az, how, bytes);
            }
        }
        if let Some(pending) = self.pending.get_mut(&req) {
            pending.sends.retain(|place| place != at);
            pending.maybe_run |= retry::may_have_run(how);
            if how == Ended::Answered {
                let fingerprint = pending.req.fingerprint;
                self.quarantine.answered(fingerprint);
                self.answer(req, out);
            } else {
                self.again(now, req, at, how, out);
            }
        }
        self.serve(now, out);
    }

    fn gone(&mut self, now: Moment, req: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&req) else {
            return;
        };
        pending.gone = true;
        let (waited, patience) = (now - pending.since, pending.req.deadline - pending.since);
        self.leaving
            .left(&self.cfg.admission, now, waited, patience);
        let kind = pending.kind();
        match pending.stage {
            Stage::Queued => {
                self.queue.remove(kind, req);
                self.give_up(now, req, Refusal::CallerGone, out);
            }
            Stage::Suspect => {
                self.suspects.retain(|id| *id != req);
                self.give_up(now, req, Refusal::CallerGone, out);
            }
            // What has begun and may not run twice runs to its end, so that its fate is known.
            Stage::Sent if pending.req.idempotent => {
                let cancel = |to: &Place| Action::Cancel {
                    req,
                    to: to.clone(),
                };
                out.extend(pending.sends.iter().map(cancel));
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
        let first = self.members.is_empty();
        self.members
            .retain(|m| backends.iter().any(|b| b.id == m.id));
        for backend in backends {
            if let Some(member) = self.members.iter_mut().find(|m| m.id == backend.id) {
                member.listed(backend);
                continue;
            }
            let mut member = members::Member::new(backend);
            if !first {
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
        self.probe_back(now, from, report);
        self.serve(now, out);
    }
    fn notes(&mut self) -> Vec<note::Note> {
        self.notes.take()
    }
}
