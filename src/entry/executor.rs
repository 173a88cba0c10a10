//! Executes the policy of one service: owns its pending requests and its attempts in flight.
//!
//! One lock covers policy, requests and attempts. Actions are executed while it is held, so that a
//! cancellation cannot overtake its attempt. No operation under the lock blocks.
//!
//! Two guarantees are enforced here independently of the policy: a non-idempotent request that may
//! have run is not sent again, and a request that may have run is never reported as not run.

mod maintenance;

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

pub(super) use maintenance::{
    end_overdue, in_flight_in_az, observe, refresh, service_loads, wall_clock_s,
};

/// Timeout of a probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Maximum size of an answer to a probe.
const MAX_PROBE_ANSWER_BYTES: usize = 4096;

/// Retry delay where the policy gives none.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// A request that has not been answered yet.
pub(super) struct PendingRequest {
    /// The caller's reply channel; `None` after the caller disconnected.
    pub(super) reply: Option<server::Reply>,
    /// The method.
    pub(super) method: Method,
    /// The path below the service's name, with the query.
    pub(super) path: String,
    /// The caller's headers.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
    /// The idempotency key, if any.
    pub(super) key: Option<String>,
    /// Whether the operation is idempotent and may run twice.
    pub(super) idempotent: bool,
    /// When the caller stops waiting.
    pub(super) deadline: policy::Moment,
    /// Reserves memory for the body until the request ends.
    pub(super) _permit: Option<tokio::sync::OwnedSemaphorePermit>,
    /// Request data for logs and metrics.
    pub(super) info: observe::RequestInfo,
    /// Number of attempts sent so far.
    pub(super) attempt_count: u32,
    /// Occupies a slot of the grant under which another availability zone sent the request.
    pub(super) _grant_slot: Option<grants::Admitted>,
    /// Attempts in flight.
    pub(super) attempts: Vec<(Destination, client::Attempt)>,
    /// Whether an ended attempt may have run.
    pub(super) may_have_run: bool,
    /// The most recent answer.
    pub(super) answer: Option<backend::Answer>,
}

/// The result of an attempt.
pub(super) struct AttemptEnd {
    req: policy::RequestId,
    number: u64,
    destination: Destination,
    wire: sync::Arc<backend_http::Http>,
    result: Result<server::Answer, client::Failure>,
}

/// Connection data of a backend server.
struct BackendEndpoint {
    addr: net::SocketAddr,
    wire: sync::Arc<backend_http::Http>,
    reports_leaving: bool,
}

struct Inner<P> {
    policy: P,
    pending: collections::HashMap<policy::RequestId, PendingRequest>,
    backends: collections::BTreeMap<id::VmId, BackendEndpoint>,
    policy_backends: Option<Vec<policy::Backend>>,
    next_attempt: u64,
    actions: Vec<Action>,
}

/// The executor of one service.
pub(super) struct Executor<P> {
    service: id::ServiceId,
    body_bytes: atomic::AtomicUsize,
    inner: Mutex<Inner<P>>,
}

impl<P: Policy> Executor<P> {
    fn new(service: &settings::Service, policy: P) -> Self {
        Self {
            service: service.name.clone(),
            body_bytes: atomic::AtomicUsize::new(service.max_body_bytes),
            inner: Mutex::new(Inner {
                policy,
                pending: collections::HashMap::new(),
                backends: collections::BTreeMap::new(),
                policy_backends: None,
                next_attempt: 1,
                actions: Vec::new(),
            }),
        }
    }
}

impl<P: Policy> Executor<P> {
    /// Runs a query on the policy's cross-zone router. `None`: the policy has none.
    pub(super) fn with_cross_az<R>(
        &self,
        query: impl FnOnce(&mut cross_az::CrossAzRouter) -> R,
    ) -> Option<R> {
        self.with_policy(|policy| policy.cross_az().map(query))
    }

    /// Runs a query on the policy that produces no actions.
    pub(super) fn with_policy<R>(&self, query: impl FnOnce(&mut P) -> R) -> R {
        query(&mut self.inner.lock().policy)
    }

    /// Number of pending requests.
    pub(super) fn pending(&self) -> u32 {
        u32::try_from(self.inner.lock().pending.len()).unwrap_or(u32::MAX)
    }
}

/// Passes a request to its service's policy.
pub(super) fn arrive<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
    arrival: policy::Arrival,
    pending: PendingRequest,
) {
    let mut inner = executor.inner.lock();
    let (id, now) = (arrival.id, core.now());
    inner.pending.insert(id, pending);
    step(core, executor, &mut inner, |policy, out| {
        policy.arrive(now, arrival, out);
    });
    // If the caller disconnected before the insertion, its event found no pending request.
    let closed = |reply: &server::Reply| reply.is_closed();
    let disconnected = inner
        .pending
        .get(&id)
        .is_some_and(|pending| pending.reply.as_ref().is_some_and(closed));
    if disconnected {
        abandon(core, executor, &mut inner, id);
    }
}

/// Handles the disconnection of a request's caller.
pub(super) fn handle_caller_disconnected<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    req: policy::RequestId,
) {
    for executor in core.executors.load().values() {
        let mut inner = executor.inner.lock();
        if inner.pending.contains_key(&req) {
            return abandon(core, executor, &mut inner, req);
        }
    }
}

/// Cancels an idempotent request. Any other continues, and its answer is stored for a retry.
fn abandon<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
    inner: &mut Inner<M::Policy>,
    req: policy::RequestId,
) {
    let Some(pending) = inner.pending.get_mut(&req) else {
        return;
    };
    pending.reply = None;
    if pending.idempotent {
        let now = core.now();
        step(core, executor, inner, |policy, out| {
            policy.caller_gone(now, req, out)
        });
    }
}

/// Handles the end of an attempt.
pub(super) fn attempt_ended<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
    end: AttemptEnd,
) {
    let mut inner = executor.inner.lock();
    let (attempt_outcome, report, answer) = interpret(&end);
    core.observer
        .record_attempt_end(&executor.service, attempt_outcome);
    if let Some(pending) = inner.pending.get_mut(&end.req) {
        pending.attempts.retain(|(at, _)| *at != end.destination);
        let not_run = matches!(
            attempt_outcome,
            AttemptOutcome::Shed | AttemptOutcome::NotSent
        );
        pending.may_have_run |= !not_run;
        if let Some(answer) = &answer {
            core.steering
                .record_answer_size(&executor.service, answer.body.len());
        }
        if answer.is_some() {
            pending.answer = answer;
        }
    }
    if let (Destination::Backend(vm), Some(report)) = (&end.destination, report) {
        set_reports_leaving(&mut inner, vm, report.leaving);
    }
    let now = core.now();
    step(core, executor, &mut inner, |policy, out| {
        policy.ended(now, end.req, &end.destination, attempt_outcome, report, out);
    });
}

/// Interprets an attempt's result. Includes the answer if it is valid for the caller.
fn interpret(
    end: &AttemptEnd,
) -> (
    AttemptOutcome,
    Option<policy::Report>,
    Option<backend::Answer>,
) {
    let answer = match &end.result {
        Ok(answer) => answer,
        Err(failure) => return (failure_outcome(*failure), None, None),
    };
    let answer = backend::Answer {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body.clone(),
    };
    let Some(reading) = end.wire.interpret(end.number, &answer) else {
        return (AttemptOutcome::Lost, None, None);
    };
    let valid_answer = matches!(
        reading.attempt_outcome,
        AttemptOutcome::Answered | AttemptOutcome::Failed
    )
    .then_some(answer);
    (reading.attempt_outcome, reading.report, valid_answer)
}

fn failure_outcome(failure: client::Failure) -> AttemptOutcome {
    match failure {
        client::Failure::NotSent => AttemptOutcome::NotSent,
        client::Failure::Lost => AttemptOutcome::Lost,
        client::Failure::TimedOut => AttemptOutcome::TimedOut,
        client::Failure::Cancelled => AttemptOutcome::Cancelled,
    }
}

/// Handles the end of a probe.
pub(super) fn probe_ended<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
    vm: &id::VmId,
    result: Result<server::Answer, client::Failure>,
) {
    let report = result.ok().and_then(|answer| {
        backend_http::parse_load(headers::text(&answer.headers, headers::LOAD)?)
    });
    let mut inner = executor.inner.lock();
    if let Some(report) = report {
        set_reports_leaving(&mut inner, vm, report.leaving);
    }
    let now = core.now();
    step(core, executor, &mut inner, |policy, out| {
        policy.report(now, vm, report, out);
    });
}

fn set_reports_leaving<P>(inner: &mut Inner<P>, vm: &id::VmId, leaving: bool) {
    if let Some(endpoint) = inner.backends.get_mut(vm) {
        endpoint.reports_leaving = leaving;
    }
}

/// Lets the policy act on the passage of time.
pub(super) fn tick<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
) {
    let now = core.now();
    let mut inner = executor.inner.lock();
    step(core, executor, &mut inner, |policy, out| {
        policy.tick(now, out)
    });
}

/// Number of pending requests of all services.
pub(super) fn pending_count<M: MakePolicy>(core: &Core<M>) -> usize {
    let executors = core.executors.load();
    let pending_count =
        |executor: &sync::Arc<Executor<M::Policy>>| executor.inner.lock().pending.len();
    executors.values().map(pending_count).sum()
}

/// Applies an input to the policy and executes the resulting actions.
fn step<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
    inner: &mut Inner<M::Policy>,
    apply: impl FnOnce(&mut M::Policy, &mut Vec<Action>),
) {
    let mut actions = std::mem::take(&mut inner.actions);
    apply(&mut inner.policy, &mut actions);
    for action in actions.drain(..) {
        match action {
            Action::Send { req, to, deadline } => send(core, executor, inner, req, to, deadline),
            Action::Cancel { req, to } => cancel(inner, req, &to),
            Action::Settle { req, fate } => settle(core, executor, inner, req, fate),
            Action::Probe { to } => probe(core, executor, inner, to),
        }
    }
    inner.actions = actions;
}

fn send<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
    inner: &mut Inner<M::Policy>,
    req: policy::RequestId,
    to: Destination,
    deadline: policy::Moment,
) {
    let number = inner.next_attempt;
    inner.next_attempt += 1;
    let target = target(core, executor, inner, &to);
    let grant = grant(core, inner, &to);
    let Some(pending) = inner.pending.get_mut(&req) else {
        return;
    };
    let would_run_twice =
        !pending.idempotent && (pending.may_have_run || !pending.attempts.is_empty());
    if would_run_twice {
        slog::crit!(core.log, "the policy tried to send a non-idempotent request again; the attempt is suppressed"; "service" => executor.service.as_str());
    }
    let events = core.events.clone();
    let (destination, executor_of_attempt) = (to.clone(), executor.clone());
    let report_end = move |wire, result| {
        let end = AttemptEnd {
            req,
            number,
            destination,
            wire,
            result,
        };
        // Fails only while the process shuts down and has dropped the workers.
        let _ = events.send(Event::AttemptEnded(executor_of_attempt, end));
    };
    let (Some((addr, wire, prefix)), false) = (target, would_run_twice) else {
        report_end(sync::Arc::default(), Err(client::Failure::NotSent));
        return;
    };
    core.observer.record_sent(
        core.now(),
        &executor.service,
        &pending.info,
        &to,
        &core.cfg.az,
        pending.attempt_count == 0,
    );
    pending.attempt_count += 1;
    let timeout = deadline.saturating_sub(core.now());
    let body_bytes = executor.body_bytes.load(atomic::Ordering::Relaxed);
    let mut forward = backend::Forward {
        attempt: number,
        method: pending.method.clone(),
        path: format!("{prefix}{}", pending.path),
        headers: pending.headers.clone(),
        body: pending.body.clone(),
        timeout,
    };
    if let Some(name) = core.request_id(pending.info.id) {
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
    let attempt = core
        .client
        .send(call, move |result| report_end(wire, result));
    pending.attempts.push((to, attempt));
}

type Target = (net::SocketAddr, sync::Arc<backend_http::Http>, String);

/// Resolves an attempt's address, protocol and path prefix.
fn target<M: MakePolicy>(
    core: &Core<M>,
    executor: &Executor<M::Policy>,
    inner: &mut Inner<M::Policy>,
    to: &Destination,
) -> Option<Target> {
    match to {
        Destination::Backend(vm) => {
            let endpoint = inner.backends.get(vm)?;
            Some((endpoint.addr, endpoint.wire.clone(), String::new()))
        }
        Destination::Az(az) => {
            // A grant is valid only at the entry VM that issued it.
            let vm = inner.policy.cross_az()?.grant(core.now(), az)?.vm.clone();
            let addr = core.shared.fleet.load().vm(&vm)?.addr;
            Some((addr, sync::Arc::default(), format!("/{}", executor.service)))
        }
    }
}

/// Header value with the grant for a request that goes to another availability zone.
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
    executor: &Executor<M::Policy>,
    inner: &mut Inner<M::Policy>,
    req: policy::RequestId,
    fate: RequestOutcome,
) {
    let Some(mut pending) = inner.pending.remove(&req) else {
        return;
    };
    let record_end = |end| {
        core.observer
            .record_request_end(core.now(), &executor.service, &pending.info, end)
    };
    let may_have_run = pending.may_have_run || !pending.attempts.is_empty();
    let problem = match (fate, pending.answer.take()) {
        (RequestOutcome::Answer, Some(answer)) => {
            let failed = answer.status.is_server_error();
            record_end(if failed {
                observe::End::Failed
            } else {
                observe::End::Answered
            });
            let answer_to_caller = answers::backend(&answer);
            let end = Some(keys::End::Answer(answer));
            return reply_to_callers(
                core,
                pending.reply,
                pending.key.as_deref(),
                end,
                &answer_to_caller,
            );
        }
        (RequestOutcome::NotRun { why, retry_after }, _) if !may_have_run => {
            outcome::Problem::Refused(why, retry_after)
        }
        (
            RequestOutcome::NotRun { retry_after, .. } | RequestOutcome::Unknown { retry_after },
            _,
        ) => outcome::Problem::Lost(retry_after),
        (RequestOutcome::Answer, None) => outcome::Problem::Lost(RETRY_AFTER),
    };
    record_end(observe::End::of(&problem));
    let answer_to_caller = answers::problem(&problem);
    let is_unknown = problem.outcome() == outcome::Outcome::Unknown;
    let end = is_unknown.then_some(keys::End::Unknown(problem));
    reply_to_callers(
        core,
        pending.reply,
        pending.key.as_deref(),
        end,
        &answer_to_caller,
    );
}

/// Replies to the caller and all waiters with the same key. Without `end`, the request did not run.
fn reply_to_callers<M: MakePolicy>(
    core: &Core<M>,
    reply: Option<server::Reply>,
    key: Option<&str>,
    end: Option<keys::End>,
    answer_to_caller: &server::Answer,
) {
    if let Some(key) = key {
        let mut keys = core.keys.lock();
        let waiters = match end {
            Some(end) => keys.end(core.now(), key, end),
            None => keys.not_run(key),
        };
        drop(keys);
        for waiter in waiters {
            waiter.send(answer_to_caller.clone());
        }
    }
    if let Some(reply) = reply {
        reply.send(answer_to_caller.clone());
    }
}

fn probe<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    executor: &sync::Arc<Executor<M::Policy>>,
    inner: &Inner<M::Policy>,
    to: id::VmId,
) {
    let Some(endpoint) = inner.backends.get(&to) else {
        return;
    };
    let call = client::Call {
        to: endpoint.addr,
        req: endpoint.wire.probe(),
        timeout: PROBE_TIMEOUT,
        body_bytes: MAX_PROBE_ANSWER_BYTES,
    };
    core.observer.record_probe(&executor.service);
    let (events, executor) = (core.events.clone(), executor.clone());
    let _attempt = core.client.send(call, move |result| {
        let _ = events.send(Event::ProbeEnded(executor, to, result));
    });
}
