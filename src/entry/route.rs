//! Routes incoming requests: answers look-ups, and validates and admits requests to services. Only
//! the home VM of a key, which issued the key's ticket, decides whether a request with it may run.

use std::hash;
use std::hash::Hasher;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use hyper::{Method, header};
use rand::RngExt;

use super::{Core, Event, MakePolicy, answers, executor, observe, steering};
use crate::coordination::grants;
use crate::decisions::grants::Refused;
use crate::decisions::policy;
use crate::protocol::{backend, headers, lookup, outcome, ticket};
use crate::state::{directory, keys};
use crate::transport::{client, server};
use crate::{id, settings};
use outcome::Problem;

/// First path segment of look-ups.
const LOOKUP_PATH: &str = "lookup";

/// Handles an incoming request.
pub(super) fn request<M: MakePolicy>(core: &sync::Arc<Core<M>>, req: server::Request) {
    let path = req.uri.path().to_owned();
    let mut parts = path.trim_start_matches('/').splitn(2, '/');
    let first = parts.next().unwrap_or_default();
    let rest = parts.next();
    match (first, rest) {
        (LOOKUP_PATH, Some(service)) => {
            let answer = look_up(core, &req, service);
            req.reply.send(answer);
        }
        ("", _) | (LOOKUP_PATH, None) => refuse(core, req.id, "", req.reply, &Problem::UnknownPath),
        (service, rest) => {
            let path = format!("/{}", rest.unwrap_or_default());
            serve(core, req, service, &path);
        }
    }
}

fn refuse<M: MakePolicy>(
    core: &Core<M>,
    id: u64,
    service: &str,
    reply: server::Reply,
    problem: &Problem,
) {
    core.observer
        .record_refusal(core.now(), id, service, problem);
    reply.send(answers::problem(problem));
}

fn look_up<M: MakePolicy>(core: &Core<M>, req: &server::Request, service: &str) -> server::Answer {
    if req.method != Method::GET {
        return answers::problem(&Problem::LookupMethod);
    }
    match build_lookup(core, req.from.ip(), service) {
        Some(lookup) => {
            core.observer.record_lookup(&lookup.service);
            answers::look_up(&lookup)
        }
        None => answers::problem(&Problem::UnknownService(service.to_owned())),
    }
}

/// Builds the answer to a look-up; `None` if the service is not declared.
pub(super) fn build_lookup<M: MakePolicy>(
    core: &Core<M>,
    caller: net::IpAddr,
    service: &str,
) -> Option<lookup::Lookup> {
    let settings = core.shared.settings.load();
    let service = settings.service(service)?;
    let stopping = core.stopping.load(atomic::Ordering::SeqCst);
    let regions = core.shared.regions.load();
    let local_region = settings.region_of(&core.cfg.az).map(|region| &region.name);
    let region = regions.find(caller);
    let preferred = match region {
        Some(region) => {
            let number = steering::caller_hash(caller);
            let steering = &core.steering;
            steering.az_order(core.now(), &settings, service, region, number)
        }
        None => Vec::new(),
    };
    let query = directory::LookupQuery {
        caller,
        region: region.or(local_region),
        az: &core.cfg.az,
        preferred_azs: &preferred,
    };
    let mut entries = core.cached_directory.load().directory.select(&query);
    entries.retain(|entry| !stopping || entry.vm != core.cfg.vm);
    Some(lookup::Lookup {
        service: service.name.clone(),
        ttl_ms: core.cfg.lookup_ttl_ms,
        ticket: (!stopping).then(|| new_ticket(core).to_string()),
        ticket_ttl_ms: core.cfg.ticket_ttl_ms,
        entries,
    })
}

fn new_ticket<M: MakePolicy>(core: &Core<M>) -> ticket::Ticket {
    ticket::Ticket {
        vm: core.cfg.vm.clone(),
        incarnation: core.incarnation,
        issued_ms: u64::try_from(core.now().as_millis()).unwrap_or(u64::MAX),
        random: rand::rng().random(),
    }
}

/// A validated request, resolved against the settings.
struct ResolvedRequest<'a> {
    service: &'a settings::Service,
    op: &'a settings::Operation,
    timeout: time::Duration,
    key: Option<ticket::Key>,
}

fn serve<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    req: server::Request,
    service: &str,
    path: &str,
) {
    let id = req.id;
    let settings = core.shared.settings.load();
    let from_other_az = origin(core, &req) != policy::Origin::Caller;
    let resolved = match resolve(&settings, &req, service, path, from_other_az) {
        Ok(resolved) => resolved,
        Err(problem) => return refuse(core, id, service, req.reply, &problem),
    };
    let Some(key) = &resolved.key else {
        if core.stopping.load(atomic::Ordering::SeqCst) {
            return refuse(core, id, service, req.reply, &stopping());
        }
        return submit(core, req, &resolved, path);
    };
    if key.ticket.vm != core.cfg.vm {
        return forward_to_home(core, req, &resolved);
    }
    if key.ticket.incarnation != core.incarnation {
        return refuse(core, id, service, req.reply, &Problem::IssuerRestarted);
    }
    let request_fingerprint = fingerprint(&req, path);
    let (now, is_stopping) = (core.now(), core.stopping.load(atomic::Ordering::SeqCst));
    let mut req = req;
    let admission = core
        .keys
        .lock()
        .admit(now, key, request_fingerprint, req.reply);
    match admission {
        keys::Admission::Run(reply) if is_stopping => {
            core.keys.lock().not_run(&key.text);
            refuse(core, id, service, reply, &stopping());
        }
        keys::Admission::Run(reply) => {
            req.reply = reply;
            submit(core, req, &resolved, path);
        }
        keys::Admission::Joined => {}
        keys::Admission::Ended(keys::End::Answer(answer), reply) => {
            reply.send(answers::backend(&answer));
        }
        keys::Admission::Ended(keys::End::AnswerGone, reply) => {
            refuse(core, id, service, reply, &Problem::AnswerExpired);
        }
        keys::Admission::Ended(keys::End::Unknown(problem), reply)
        | keys::Admission::Refused(problem, reply) => refuse(core, id, service, reply, &problem),
    }
}

fn stopping() -> Problem {
    Problem::Refused(policy::Refusal::Stopping, time::Duration::ZERO)
}

fn resolve<'a>(
    settings: &'a settings::Settings,
    req: &server::Request,
    service: &str,
    path: &str,
    from_other_az: bool,
) -> Result<ResolvedRequest<'a>, Problem> {
    let found = settings.service(service);
    let service = found.ok_or_else(|| Problem::UnknownService(service.to_owned()))?;
    let op = service.operation(req.method.as_str(), path);
    let (_, op) = op.ok_or_else(|| Problem::UnknownOperation {
        service: service.name.to_string(),
        method: req.method.to_string(),
        path: path.to_owned(),
    })?;
    if req.body.len() > service.max_body_bytes {
        return Err(Problem::TooLarge(service.max_body_bytes));
    }
    let default_timeout = time::Duration::from_millis(op.patience_ms);
    let timeout = headers::timeout(&req.headers)
        .map_err(Problem::BadTimeout)?
        .unwrap_or(default_timeout);
    let key = match headers::text(&req.headers, headers::KEY) {
        // Ignores the key of an idempotent operation, and of a request from another availability
        // zone, whose entry VM has already checked the key.
        _ if op.idempotent || from_other_az => None,
        None => return Err(Problem::NoKey),
        Some(key_text) => {
            let ticket = headers::text(&req.headers, headers::TICKET);
            Some(ticket::Key::parse(key_text, ticket)?)
        }
    };
    Ok(ResolvedRequest {
        service,
        op,
        timeout,
        key,
    })
}

/// Admits a request and passes it to its service's executor.
fn submit<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    req: server::Request,
    resolved: &ResolvedRequest<'_>,
    path: &str,
) {
    let key = resolved.key.as_ref().map(|key| key.text.clone());
    let executor = core.executors.load().get(&resolved.service.name).cloned();
    let Some(executor) = executor else {
        if let Some(key) = &key {
            core.keys.lock().not_run(key);
        }
        let why = policy::Refusal::NoBackend;
        let name = resolved.service.name.as_str();
        return refuse(
            core,
            req.id,
            name,
            req.reply,
            &Problem::Refused(why, super::REFRESH_INTERVAL),
        );
    };
    let origin = origin(core, &req);
    let waited = core.steering.time_waited(core.now(), req.id);
    let admitted = match admit(core, &req, resolved, &origin, &executor) {
        Ok(admitted) => admitted,
        Err(AdmissionError::Full) if core.steering.may_wait(waited) => {
            return core.steering.enqueue_waiting(core.now(), req);
        }
        Err(err) => {
            let problem = err.problem();
            core.steering.remove_waiting_time(req.id);
            if let Some(key) = &key {
                core.keys.lock().not_run(key);
            }
            let name = resolved.service.name.as_str();
            return refuse(core, req.id, name, req.reply, &problem);
        }
    };
    core.steering.remove_waiting_time(req.id);
    let arrival = policy::Arrival {
        id: policy::RequestId(req.id),
        caller: caller(&req),
        fingerprint: fingerprint(&req, path),
        origin,
        idempotent: resolved.op.idempotent,
        worth: resolved.op.worth,
        typical: time::Duration::from_secs_f64(resolved.op.typical_ms / 1000.0),
        deadline: (core.now() + resolved.timeout).saturating_sub(waited),
        bytes: req.body.len() as u64 + core.steering.expected_answer_bytes(&resolved.service.name),
    };
    let info = observe::RequestInfo::new(
        &arrival,
        core.now(),
        resolved.service,
        resolved.op,
        &req.headers,
    );
    let pending = executor::PendingRequest {
        info,
        attempt_count: 0,
        method: req.method,
        path: with_query(path, req.uri.query()),
        headers: headers::end_to_end(&req.headers),
        body: req.body,
        key,
        idempotent: resolved.op.idempotent,
        deadline: arrival.deadline,
        _permit: req.permit,
        _grant_slot: admitted,
        attempts: Vec::new(),
        may_have_run: false,
        answer: None,
        reply: Some(req.reply),
    };
    executor::arrive(core, &executor, arrival, pending);
}

/// Why a request is not admitted to this availability zone.
enum AdmissionError {
    /// Its grant has no free slot at the moment.
    Full,
    /// It has no valid grant, or the cap is reached. Holds the retry delay.
    Denied(time::Duration),
}

impl AdmissionError {
    fn problem(&self) -> Problem {
        let after = match self {
            Self::Full => steering::STEERING_INTERVAL,
            Self::Denied(after) => *after,
        };
        Problem::Refused(policy::Refusal::Overload, after)
    }
}

/// Decides whether this availability zone admits a request. A request from another entry VM needs a
/// valid grant issued by this VM. A request of a caller whom the plan assigns to another region is
/// displaced traffic and counts against the shift cap. A request refused here has not run.
fn admit<M: MakePolicy>(
    core: &Core<M>,
    req: &server::Request,
    resolved: &ResolvedRequest<'_>,
    origin: &policy::Origin,
    executor: &executor::Executor<M::Policy>,
) -> Result<Option<grants::Admitted>, AdmissionError> {
    let (now, service) = (core.now(), resolved.service);
    if *origin != policy::Origin::Caller {
        let admitted = core.steering.admit(now, &service.name, &req.headers);
        return admitted.map(Some).map_err(|why| match why {
            Refused::NoGrant => AdmissionError::Denied(steering::STEERING_INTERVAL),
            Refused::Full | Refused::OwnFirst => AdmissionError::Full,
        });
    }
    let settings = core.shared.settings.load();
    let regions = core.shared.regions.load();
    let region = regions.find(req.from.ip());
    let typical = time::Duration::from_secs_f64(resolved.op.typical_ms / 1e3);
    core.steering.record_demand(&service.name, region, typical);
    let Some(region) = region else {
        return Ok(None);
    };
    let number = steering::caller_hash(req.from.ip());
    let az_order = core
        .steering
        .az_order(now, &settings, service, region, number);
    let assigned = az_order.first().and_then(|az| settings.region_of(az));
    let local = settings.region_of(&core.cfg.az);
    if assigned.is_none() || assigned.map(|r| &r.name) == local.map(|r| &r.name) {
        return Ok(None);
    }
    let admission = executor.with_cross_az(|cross_az| {
        let admitted = cross_az.admit_displaced(now, resolved.op.worth);
        (admitted, cross_az.retry_after())
    });
    match admission {
        Some((false, after)) => Err(AdmissionError::Denied(after)),
        _ => Ok(None),
    }
}

fn with_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

/// Identifies the caller by its credentials, if any, since many callers may share one address.
fn caller(req: &server::Request) -> policy::CallerId {
    let mut hasher = hash::DefaultHasher::new();
    match req.headers.get(header::AUTHORIZATION) {
        Some(credentials) => hasher.write(credentials.as_bytes()),
        None => hash::Hash::hash(&req.from.ip(), &mut hasher),
    }
    policy::CallerId(hasher.finish())
}

/// Hash of the request's content. It includes the credentials, so that two callers that share a
/// ticket and use the same key never get each other's answer.
fn fingerprint(req: &server::Request, path: &str) -> policy::Fingerprint {
    let mut hasher = hash::DefaultHasher::new();
    hash::Hash::hash(req.method.as_str(), &mut hasher);
    hash::Hash::hash(path, &mut hasher);
    hash::Hash::hash(&req.uri.query(), &mut hasher);
    for name in [header::AUTHORIZATION, header::COOKIE] {
        let value = req.headers.get(name).map(header::HeaderValue::as_bytes);
        hash::Hash::hash(&value, &mut hasher);
    }
    hasher.write(&req.body);
    policy::Fingerprint(hasher.finish())
}

/// Origin of a request. The origin header counts only from an entry VM's address: otherwise a
/// caller could set it to bypass the check of its key.
fn origin<M: MakePolicy>(core: &Core<M>, req: &server::Request) -> policy::Origin {
    let Some(az) = headers::text(&req.headers, headers::ORIGIN_AZ) else {
        return policy::Origin::Caller;
    };
    let fleet = core.shared.fleet.load();
    let az = id::AzId::from(az);
    let is_entry_vm = fleet
        .entries()
        .any(|vm| vm.az == az && vm.addr.ip() == req.from.ip());
    if is_entry_vm {
        policy::Origin::Az(az)
    } else {
        policy::Origin::Caller
    }
}

/// Forwards a request to its key's home VM. Without an answer, an earlier request may have run.
fn forward_to_home<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    req: server::Request,
    resolved: &ResolvedRequest<'_>,
) {
    let Some(key) = &resolved.key else {
        return refuse(
            core,
            req.id,
            resolved.service.name.as_str(),
            req.reply,
            &Problem::NoKey,
        );
    };
    let fleet = core.shared.fleet.load();
    // Forwards a request only once; otherwise it could loop between entry VMs forever.
    let already_forwarded = req.headers.contains_key(headers::VIA);
    let home = fleet.vm(&key.ticket.vm).filter(|_| !already_forwarded);
    let Some(home) = home else {
        return refuse(
            core,
            req.id,
            resolved.service.name.as_str(),
            req.reply,
            &Problem::IssuerRestarted,
        );
    };
    let mut outgoing = hyper::Request::new(req.body);
    *outgoing.method_mut() = req.method;
    *outgoing.uri_mut() = req
        .uri
        .path_and_query()
        .map_or_else(hyper::Uri::default, |path| hyper::Uri::from(path.clone()));
    *outgoing.headers_mut() = headers::end_to_end(&req.headers);
    let timeout_ms = u64::try_from(resolved.timeout.as_millis()).unwrap_or(u64::MAX);
    outgoing
        .headers_mut()
        .insert(headers::TIMEOUT, timeout_ms.into());
    if let Ok(via) = core.cfg.vm.as_str().parse() {
        outgoing.headers_mut().insert(headers::VIA, via);
    }
    let call = client::Call {
        to: home.addr,
        req: outgoing,
        timeout: resolved.timeout,
        body_bytes: resolved.service.max_body_bytes,
    };
    let events = core.events.clone();
    let forwarded = ForwardedRequest {
        id: req.id,
        service: resolved.service.name.clone(),
        reply: req.reply,
    };
    let _attempt = core.client.send(call, move |result| {
        let _ = events.send(Event::HomeAnswered(forwarded, result));
    });
}

/// A request that was forwarded to its key's home VM.
pub(super) struct ForwardedRequest {
    id: u64,
    service: id::ServiceId,
    reply: server::Reply,
}

/// Passes the home VM's answer to the caller, or a problem if there is none.
pub(super) fn home_answered<M: MakePolicy>(
    core: &Core<M>,
    forwarded: ForwardedRequest,
    result: Result<server::Answer, client::Failure>,
) {
    let Ok(answer) = result else {
        let problem = Problem::IssuerUnreachable;
        return refuse(
            core,
            forwarded.id,
            forwarded.service.as_str(),
            forwarded.reply,
            &problem,
        );
    };
    // Keeps the outcome that the home VM reported.
    let mut answer_to_caller = answers::backend(&backend::Answer {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body,
    });
    if let Some(reported_outcome) = answer.headers.get(headers::OUTCOME) {
        answer_to_caller
            .headers
            .insert(headers::OUTCOME, reported_outcome.clone());
    }
    forwarded.reply.send(answer_to_caller);
}
