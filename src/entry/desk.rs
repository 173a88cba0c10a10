//! The desk of one service: its policy, its requests in hand, and the attempts under way.
//!
//! One lock covers all three. Actions are carried out while it is held, so that a cancellation
//! can never overtake the attempt that it is for. Nothing that is done under it waits.
//!
//! Two promises are checked here once more, whatever the policy decides: a non-idempotent request
//! of which an attempt may have run is not sent again, and nothing that may have run is called
//! not run.

mod upkeep;

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use parking_lot::Mutex;

use super::{Core, Event, MakePolicy, answers, observe};
use crate::coordination::grants;
use crate::decisions::{cross_az, policy};
use crate::protocol::{backend, backend_http, headers, outcome};
use crate::state::keys;
use crate::transport::{client, server};
use crate::{id, settings};
use backend::Adapter;
use policy::{Action, AttemptOutcome, Destination, Policy, RequestOutcome};

pub(super) use upkeep::{all_in_hand, end_overdue, in_flight_at, observe, refresh, wall_clock_s};

/// How long a probe may take.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The most bytes of an answer to a probe.
const PROBE_BYTES: usize = 4096;

/// How long to come back after where the policy has no say.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// A request in hand.
pub(super) struct Pending {
    /// Where the answer goes; `None` once the caller is gone.
    pub(super) reply: Option<server::Reply>,
    /// The method.
    pub(super) method: Method,
    /// The path under the service, with its query.
    pub(super) path: String,
    /// The caller's headers.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
    /// The key, where the request has one.
    pub(super) key: Option<String>,
    /// Whether it may run twice.
    pub(super) idempotent: bool,
    /// When its caller stops waiting.
    pub(super) deadline: policy::Moment,
    /// Holds the body's share of the process's memory.
    pub(super) _permit: Option<tokio::sync::OwnedSemaphorePermit>,
    /// What operators see of it.
    pub(super) seen: observe::Seen,
    /// Attempts that were made.
    pub(super) tries: u32,
    /// Holds the slot of the grant under which the request came from another availability zone.
    pub(super) _admitted: Option<grants::Admitted>,
    /// Attempts under way.
    pub(super) attempts: Vec<(Destination, client::Attempt)>,
    /// An attempt ended of which nobody can say that it did not run.
    pub(super) maybe_run: bool,
    /// The answer that came in last.
    pub(super) answer: Option<backend::Answer>,
}

/// How an attempt ended.
pub(super) struct AttemptEnd {
    req: policy::RequestId,
    number: u64,
    at: Destination,
    wire: sync::Arc<backend_http::Http>,
    result: Result<server::Answer, client::Failure>,
}

/// A backend server as the desk reaches it.
struct Known {
    addr: net::SocketAddr,
    wire: sync::Arc<backend_http::Http>,
    said_leaving: bool,
}

struct Inner<P> {
    policy: P,
    pending: collections::HashMap<policy::RequestId, Pending>,
    backends: collections::BTreeMap<id::VmId, Known>,
    shown: Option<Vec<policy::Backend>>,
    next_attempt: u64,
    actions: Vec<Action>,
}

/// The desk of one service.
pub(super) struct Desk<P> {
    service: id::ServiceId,
    body_bytes: atomic::AtomicUsize,
    inner: Mutex<Inner<P>>,
}

impl<P: Policy> Desk<P> {
    fn new(service: &settings::Service, policy: P) -> Self {
        Self {
            service: service.name.clone(),
            body_bytes: atomic::AtomicUsize::new(service.max_body_bytes),
            inner: Mutex::new(Inner {
                policy,
                pending: collections::HashMap::new(),
                backends: collections::BTreeMap::new(),
                shown: None,
                next_attempt: 1,
                actions: Vec::new(),
            }),
        }
    }
}

impl<P: Policy> Desk<P> {
    /// Asks the policy's sending side something. `None`: it has none.
    pub(super) fn with_cross_az<R>(
        &self,
        ask: impl FnOnce(&mut cross_az::CrossAzRouter) -> R,
    ) -> Option<R> {
        self.with_policy(|policy| policy.cross_az().map(ask))
    }

    /// Asks the policy something that leads to no action.
    pub(super) fn with_policy<R>(&self, ask: impl FnOnce(&mut P) -> R) -> R {
        ask(&mut self.inner.lock().policy)
    }

    /// Requests in hand.
    pub(super) fn pending(&self) -> u32 {
        u32::try_from(self.inner.lock().pending.len()).unwrap_or(u32::MAX)
    }
}

/// Brings a request to a service's desk.
pub(super) fn arrive<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &sync::Arc<Desk<M::Policy>>,
    arrival: policy::Arrival,
    pending: Pending,
) {
    let mut inner = desk.inner.lock();
    let (id, now) = (arrival.id, core.now());
    inner.pending.insert(id, pending);
    step(core, desk, &mut inner, |policy, out| {
        policy.arrive(now, arrival, out);
    });
    // The caller may have gone before the request got here, and nothing else would tell.
    let closed = |reply: &server::Reply| reply.is_closed();
    let gone = inner
        .pending
        .get(&id)
        .is_some_and(|pending| pending.reply.as_ref().is_some_and(closed));
    if gone {
        caller_gone(core, desk, &mut inner, id);
    }
}

/// The caller of a request went away.
pub(super) fn gone<M: MakePolicy>(core: &sync::Arc<Core<M>>, req: policy::RequestId) {
    for desk in core.desks.load().values() {
        let mut inner = desk.inner.lock();
        if inner.pending.contains_key(&req) {
            return caller_gone(core, desk, &mut inner, req);
        }
    }
}

/// Idempotent work stops. Other work goes on, and its answer is kept for the resend.
fn caller_gone<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &sync::Arc<Desk<M::Policy>>,
    inner: &mut Inner<M::Policy>,
    req: policy::RequestId,
) {
    let Some(pending) = inner.pending.get_mut(&req) else {
        return;
    };
    pending.reply = None;
    if pending.idempotent {
        let now = core.now();
        step(core, desk, inner, |policy, out| {
            policy.caller_gone(now, req, out)
        });
    }
}

/// An attempt ended.
pub(super) fn ended<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &sync::Arc<Desk<M::Policy>>,
    end: AttemptEnd,
) {
    let mut inner = desk.inner.lock();
    let (how, report, answer) = read(&end);
    core.observer.attempt_ended(&desk.service, how);
    if let Some(pending) = inner.pending.get_mut(&end.req) {
        pending.attempts.retain(|(at, _)| *at != end.at);
        let not_run = matches!(how, AttemptOutcome::Shed | AttemptOutcome::NotSent);
        pending.maybe_run |= !not_run;
        if let Some(answer) = &answer {
            core.steer.answered(&desk.service, answer.body.len());
        }
        if answer.is_some() {
            pending.answer = answer;
        }
    }
    if let (Destination::Backend(vm), Some(report)) = (&end.at, report) {
        said_leaving(&mut inner, vm, report.leaving);
    }
    let now = core.now();
    step(core, desk, &mut inner, |policy, out| {
        policy.ended(now, end.req, &end.at, how, report, out);
    });
}

/// What an attempt's end means, with the answer if there is one for the caller.
fn read(
    end: &AttemptEnd,
) -> (
    AttemptOutcome,
    Option<policy::Report>,
    Option<backend::Answer>,
) {
    let answer = match &end.result {
        Ok(answer) => answer,
        Err(failure) => return (failed(*failure), None, None),
    };
    let answer = backend::Answer {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body.clone(),
    };
    let Some(reading) = end.wire.interpret(end.number, &answer) else {
        return (AttemptOutcome::Lost, None, None);
    };
    let kept = matches!(
        reading.attempt_outcome,
        AttemptOutcome::Answered | AttemptOutcome::Failed
    )
    .then_some(answer);
    (reading.attempt_outcome, reading.report, kept)
}

fn failed(failure: client::Failure) -> AttemptOutcome {
    match failure {
        client::Failure::NotSent => AttemptOutcome::NotSent,
        client::Failure::Lost => AttemptOutcome::Lost,
        client::Failure::TimedOut => AttemptOutcome::TimedOut,
        client::Failure::Cancelled => AttemptOutcome::Cancelled,
    }
}

/// A probe ended.
pub(super) fn probed<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &sync::Arc<Desk<M::Policy>>,
    vm: &id::VmId,
    result: Result<server::Answer, client::Failure>,
) {
    let report = result.ok().and_then(|answer| {
        backend_http::parse_load(headers::text(&answer.headers, headers::LOAD)?)
    });
    let mut inner = desk.inner.lock();
    if let Some(report) = report {
        said_leaving(&mut inner, vm, report.leaving);
    }
    let now = core.now();
    step(core, desk, &mut inner, |policy, out| {
        policy.report(now, vm, report, out);
    });
}

fn said_leaving<P>(inner: &mut Inner<P>, vm: &id::VmId, leaving: bool) {
    if let Some(known) = inner.backends.get_mut(vm) {
        known.said_leaving = leaving;
    }
}

/// Time passed.
pub(super) fn tick<M: MakePolicy>(core: &sync::Arc<Core<M>>, desk: &sync::Arc<Desk<M::Policy>>) {
    let now = core.now();
    let mut inner = desk.inner.lock();
    step(core, desk, &mut inner, |policy, out| policy.tick(now, out));
}

/// Requests in hand at all desks.
pub(super) fn in_hand<M: MakePolicy>(core: &Core<M>) -> usize {
    let desks = core.desks.load();
    let in_hand = |desk: &sync::Arc<Desk<M::Policy>>| desk.inner.lock().pending.len();
    desks.values().map(in_hand).sum()
}

/// Tells the policy something and carries out what it decides.
fn step<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &sync::Arc<Desk<M::Policy>>,
    inner: &mut Inner<M::Policy>,
    tell: impl FnOnce(&mut M::Policy, &mut Vec<Action>),
) {
    let mut actions = std::mem::take(&mut inner.actions);
    tell(&mut inner.policy, &mut actions);
    for action in actions.drain(..) {
        match action {
            Action::Send { req, to, deadline } => send(core, desk, inner, req, to, deadline),
            Action::Cancel { req, to } => cancel(inner, req, &to),
            Action::Settle { req, fate } => settle(core, desk, inner, req, fate),
            Action::Probe { to } => probe(core, desk, inner, to),
        }
    }
    inner.actions = actions;
}

fn send<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &sync::Arc<Desk<M::Policy>>,
    inner: &mut Inner<M::Policy>,
    req: policy::RequestId,
    to: Destination,
    deadline: policy::Moment,
) {
    let number = inner.next_attempt;
    inner.next_attempt += 1;
    let target = target(core, desk, inner, &to);
    let grant = grant(core, inner, &to);
    let Some(pending) = inner.pending.get_mut(&req) else {
        return;
    };
    let twice = !pending.idempotent && (pending.maybe_run || !pending.attempts.is_empty());
    if twice {
        slog::crit!(core.log, "the policy would run a request twice"; "service" => desk.service.as_str());
    }
    let events = core.events.clone();
    let (at, ended_at) = (to.clone(), desk.clone());
    let ended = move |wire, result| {
        let end = AttemptEnd {
            req,
            number,
            at,
            wire,
            result,
        };
        // Nobody listens once the process is about to end.
        let _ = events.send(Event::Ended(ended_at, end));
    };
    let (Some((addr, wire, prefix)), false) = (target, twice) else {
        ended(sync::Arc::default(), Err(client::Failure::NotSent));
        return;
    };
    core.observer.sent(
        core.now(),
        &desk.service,
        &pending.seen,
        &to,
        &core.cfg.az,
        pending.tries == 0,
    );
    pending.tries += 1;
    let timeout = deadline.saturating_sub(core.now());
    let body_bytes = desk.body_bytes.load(atomic::Ordering::Relaxed);
    let mut forward = backend::Forward {
        attempt: number,
        method: pending.method.clone(),
        path: format!("{prefix}{}", pending.path),
        headers: pending.headers.clone(),
        body: pending.body.clone(),
        timeout,
    };
    if let Some(name) = core.request_id(pending.seen.id) {
        forward.headers.insert(headers::REQUEST_ID, name);
    }
    if let (Destination::Az(_), Ok(az)) = (&to, core.cfg.az.as_str().parse()) {
        forward.headers.insert(headers::ORIGIN_AZ, az);
        if let Some(grant) = grant {
            forward.headers.insert(headers::GRANT, grant);
        }
    }
    let call = client::Call {
        to: addr,
        req: wire.encode(forward),
        timeout,
        body_bytes,
    };
    let attempt = core.client.send(call, move |result| ended(wire, result));
    pending.attempts.push((to, attempt));
}

type Target = (net::SocketAddr, sync::Arc<backend_http::Http>, String);

/// Where an attempt goes, and the prefix of its path there.
fn target<M: MakePolicy>(
    core: &Core<M>,
    desk: &Desk<M::Policy>,
    inner: &mut Inner<M::Policy>,
    to: &Destination,
) -> Option<Target> {
    match to {
        Destination::Backend(vm) => {
            let known = inner.backends.get(vm)?;
            Some((known.addr, known.wire.clone(), String::new()))
        }
        Destination::Az(az) => {
            // Only the entry VM that gave the grant honours it.
            let vm = inner.policy.cross_az()?.grant(core.now(), az)?.vm.clone();
            let addr = core.shared.fleet.load().vm(&vm)?.addr;
            Some((addr, sync::Arc::default(), format!("/{}", desk.service)))
        }
    }
}

/// The text that names the grant under which a request goes to another availability zone.
fn grant<M: MakePolicy>(
    core: &Core<M>,
    inner: &mut Inner<M::Policy>,
    to: &Destination,
) -> Option<hyper::header::HeaderValue> {
    let Destination::Az(az) = to else { return None };
    let grant = inner.policy.cross_az()?.grant(core.now(), az)?;
    grants::format_grant(&core.cfg.vm, grant.id).parse().ok()
}

fn cancel<P>(inner: &mut Inner<P>, req: policy::RequestId, to: &Destination) {
    let Some(pending) = inner.pending.get_mut(&req) else {
        return;
    };
    let at = pending.attempts.iter().position(|(at, _)| at == to);
    if let Some(at) = at {
        pending.attempts.swap_remove(at).1.cancel();
    }
}

fn settle<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &Desk<M::Policy>,
    inner: &mut Inner<M::Policy>,
    req: policy::RequestId,
    fate: RequestOutcome,
) {
    let Some(mut pending) = inner.pending.remove(&req) else {
        return;
    };
    let seen = |end| {
        core.observer
            .ended(core.now(), &desk.service, &pending.seen, end)
    };
    let maybe_run = pending.maybe_run || !pending.attempts.is_empty();
    let problem = match (fate, pending.answer.take()) {
        (RequestOutcome::Answer, Some(answer)) => {
            let failed = answer.status.is_server_error();
            seen(if failed {
                observe::End::Failed
            } else {
                observe::End::Answered
            });
            let told = answers::backend(&answer);
            let end = Some(keys::End::Answer(answer));
            return tell(core, pending.reply, pending.key.as_deref(), end, &told);
        }
        (RequestOutcome::NotRun { why, retry_after }, _) if !maybe_run => {
            outcome::Problem::Refused(why, retry_after)
        }
        (
            RequestOutcome::NotRun { retry_after, .. } | RequestOutcome::Unknown { retry_after },
            _,
        ) => outcome::Problem::Lost(retry_after),
        (RequestOutcome::Answer, None) => outcome::Problem::Lost(RETRY_AFTER),
    };
    seen(observe::End::of(&problem));
    let told = answers::problem(&problem);
    let ran_maybe = problem.outcome() == outcome::Outcome::Unknown;
    let end = ran_maybe.then_some(keys::End::Unknown(problem));
    tell(core, pending.reply, pending.key.as_deref(), end, &told);
}

/// Tells the caller, and everybody who sent the same key meanwhile. No `end`: it did not run.
fn tell<M: MakePolicy>(
    core: &Core<M>,
    reply: Option<server::Reply>,
    key: Option<&str>,
    end: Option<keys::End>,
    told: &server::Answer,
) {
    if let Some(key) = key {
        let mut keys = core.keys.lock();
        let waiters = match end {
            Some(end) => keys.end(core.now(), key, end),
            None => keys.not_run(key),
        };
        drop(keys);
        for waiter in waiters {
            waiter.send(told.clone());
        }
    }
    if let Some(reply) = reply {
        reply.send(told.clone());
    }
}

fn probe<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    desk: &sync::Arc<Desk<M::Policy>>,
    inner: &Inner<M::Policy>,
    to: id::VmId,
) {
    let Some(known) = inner.backends.get(&to) else {
        return;
    };
    let call = client::Call {
        to: known.addr,
        req: known.wire.probe(),
        timeout: PROBE_TIMEOUT,
        body_bytes: PROBE_BYTES,
    };
    core.observer.probed(&desk.service);
    let (events, desk) = (core.events.clone(), desk.clone());
    let _attempt = core.client.send(call, move |result| {
        let _ = events.send(Event::Probed(desk, to, result));
    });
}
