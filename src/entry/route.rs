//! What a request asks for, and whether it may go on to its service's desk.

use std::hash;
use std::hash::Hasher;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use hyper::{Method, header};
use rand::RngExt;

use super::{Core, Event, MakePolicy, answers, desk, observe, steer};
use crate::coordination::grants;
use crate::decisions::grants::Refused;
use crate::decisions::policy;
use crate::protocol::{backend, headers, lookup, outcome, ticket};
use crate::state::{directory, keys};
use crate::transport::{client, server};
use crate::{id, settings};
use outcome::Problem;

/// The path of look-ups.
const LOOKUP: &str = "lookup";

/// Takes a request.
pub(super) fn request<M: MakePolicy>(core: &sync::Arc<Core<M>>, req: server::Request) {
    let path = req.uri.path().to_owned();
    let mut parts = path.trim_start_matches('/').splitn(2, '/');
    let first = parts.next().unwrap_or_default();
    let rest = parts.next();
    match (first, rest) {
        (LOOKUP, Some(service)) => {
            let answer = look_up(core, &req, service);
            req.reply.send(answer);
        }
        ("", _) | (LOOKUP, None) => refuse(core, req.id, "", req.reply, &Problem::UnknownPath),
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
    core.observer.turned_away(core.now(), id, service, problem);
    reply.send(answers::problem(problem));
}

fn look_up<M: MakePolicy>(core: &Core<M>, req: &server::Request, service: &str) -> server::Answer {
    if req.method != Method::GET {
        return answers::problem(&Problem::LookupMethod);
    }
    match find(core, req.from.ip(), service) {
        Some(lookup) => {
            core.observer.looked_up(&lookup.service);
            answers::look_up(&lookup)
        }
        None => answers::problem(&Problem::UnknownService(service.to_owned())),
    }
}

/// The answer to a look-up; `None` where the service is not declared.
pub(super) fn find<M: MakePolicy>(
    core: &Core<M>,
    caller: net::IpAddr,
    service: &str,
) -> Option<lookup::Lookup> {
    let settings = core.shared.settings.load();
    let service = settings.service(service)?;
    let stopping = core.stopping.load(atomic::Ordering::SeqCst);
    let regions = core.shared.regions.load();
    let own = settings.region_of(&core.cfg.az).map(|region| &region.name);
    let region = regions.find(caller);
    let first = match region {
        Some(region) => {
            let number = steer::caller_number(caller);
            let steer = &core.steer;
            steer.order(core.now(), &settings, service, region, number)
        }
        None => Vec::new(),
    };
    let asks = directory::LookupQuery {
        caller,
        region: region.or(own),
        az: &core.cfg.az,
        preferred_azs: &first,
    };
    let mut entries = core.named.load().directory.select(&asks);
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

/// What a request asks for, in the words of the settings.
struct Asked<'a> {
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
    let sent_across = origin(core, &req) != policy::Origin::Caller;
    let asked = match check(&settings, &req, service, path, sent_across) {
        Ok(asked) => asked,
        Err(problem) => return refuse(core, id, service, req.reply, &problem),
    };
    let Some(key) = &asked.key else {
        if core.stopping.load(atomic::Ordering::SeqCst) {
            return refuse(core, id, service, req.reply, &stopping());
        }
        return bring(core, req, &asked, path);
    };
    if key.ticket.vm != core.cfg.vm {
        return ask_home(core, req, &asked);
    }
    if key.ticket.incarnation != core.incarnation {
        return refuse(core, id, service, req.reply, &Problem::IssuerRestarted);
    }
    let print = fingerprint(&req, path);
    let (now, stops) = (core.now(), core.stopping.load(atomic::Ordering::SeqCst));
    let mut req = req;
    let admission = core.keys.lock().admit(now, key, print, req.reply);
    match admission {
        keys::Admission::Run(reply) if stops => {
            core.keys.lock().not_run(&key.text);
            refuse(core, id, service, reply, &stopping());
        }
        keys::Admission::Run(reply) => {
            req.reply = reply;
            bring(core, req, &asked, path);
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

fn check<'a>(
    settings: &'a settings::Settings,
    req: &server::Request,
    service: &str,
    path: &str,
    sent_across: bool,
) -> Result<Asked<'a>, Problem> {
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
    let patience = time::Duration::from_millis(op.patience_ms);
    let timeout = headers::timeout(&req.headers)
        .map_err(Problem::BadTimeout)?
        .unwrap_or(patience);
    let key = match headers::text(&req.headers, headers::KEY) {
        // A key on an idempotent operation does no harm and decides nothing. The entry VM that
        // sent a request across has decided about its key.
        _ if op.idempotent || sent_across => None,
        None => return Err(Problem::NoKey),
        Some(own) => {
            let ticket = headers::text(&req.headers, headers::TICKET);
            Some(ticket::Key::parse(own, ticket)?)
        }
    };
    Ok(Asked {
        service,
        op,
        timeout,
        key,
    })
}

/// Brings a request that may run to its service's desk.
fn bring<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    req: server::Request,
    asked: &Asked<'_>,
    path: &str,
) {
    let key = asked.key.as_ref().map(|key| key.text.clone());
    let desk = core.desks.load().get(&asked.service.name).cloned();
    let Some(desk) = desk else {
        if let Some(key) = &key {
            core.keys.lock().not_run(key);
        }
        let why = policy::Refusal::NoBackend;
        let name = asked.service.name.as_str();
        return refuse(
            core,
            req.id,
            name,
            req.reply,
            &Problem::Refused(why, super::REFRESH),
        );
    };
    let origin = origin(core, &req);
    let waited = core.steer.waited(core.now(), req.id);
    let admitted = match let_in(core, &req, asked, &origin, &desk) {
        Ok(admitted) => admitted,
        Err(Turned::Full) if core.steer.may_wait(waited) => {
            return core.steer.hold(core.now(), req);
        }
        Err(turned) => {
            let problem = turned.problem();
            core.steer.forget(req.id);
            if let Some(key) = &key {
                core.keys.lock().not_run(key);
            }
            let name = asked.service.name.as_str();
            return refuse(core, req.id, name, req.reply, &problem);
        }
    };
    core.steer.forget(req.id);
    let arrival = policy::Arrival {
        id: policy::RequestId(req.id),
        caller: caller(&req),
        fingerprint: fingerprint(&req, path),
        origin,
        idempotent: asked.op.idempotent,
        worth: asked.op.worth,
        typical: time::Duration::from_secs_f64(asked.op.typical_ms / 1000.0),
        deadline: (core.now() + asked.timeout).saturating_sub(waited),
        bytes: req.body.len() as u64 + core.steer.answer_bytes(&asked.service.name),
    };
    let seen = observe::Seen::new(&arrival, core.now(), asked.service, asked.op, &req.headers);
    let pending = desk::Pending {
        seen,
        tries: 0,
        method: req.method,
        path: with_query(path, req.uri.query()),
        headers: headers::end_to_end(&req.headers),
        body: req.body,
        key,
        idempotent: asked.op.idempotent,
        deadline: arrival.deadline,
        _permit: req.permit,
        _admitted: admitted,
        attempts: Vec::new(),
        maybe_run: false,
        answer: None,
        reply: Some(req.reply),
    };
    desk::arrive(core, &desk, arrival, pending);
}

/// Why a request may not come to this availability zone.
enum Turned {
    /// Its grant has no room now, and may have in a moment.
    Full,
    /// It has no live grant, or the cap is reached.
    Away(time::Duration),
}

impl Turned {
    fn problem(&self) -> Problem {
        let after = match self {
            Self::Full => steer::EVERY,
            Self::Away(after) => *after,
        };
        Problem::Refused(policy::Refusal::Overload, after)
    }
}

/// Whether a request may come to this availability zone. One that another entry VM sent needs a
/// live grant of ours. One of a caller who belongs to another region by the plan is a shift, and
/// counts against the cap. Whatever is refused here has not run.
fn let_in<M: MakePolicy>(
    core: &Core<M>,
    req: &server::Request,
    asked: &Asked<'_>,
    origin: &policy::Origin,
    desk: &desk::Desk<M::Policy>,
) -> Result<Option<grants::Admitted>, Turned> {
    let (now, service) = (core.now(), asked.service);
    if *origin != policy::Origin::Caller {
        let admitted = core.steer.admit(now, &service.name, &req.headers);
        return admitted.map(Some).map_err(|why| match why {
            Refused::NoGrant => Turned::Away(steer::EVERY),
            Refused::Full | Refused::OwnFirst => Turned::Full,
        });
    }
    let settings = core.shared.settings.load();
    let regions = core.shared.regions.load();
    let region = regions.find(req.from.ip());
    let typical = time::Duration::from_secs_f64(asked.op.typical_ms / 1e3);
    core.steer.count(&service.name, region, typical);
    let Some(region) = region else {
        return Ok(None);
    };
    let number = steer::caller_number(req.from.ip());
    let order = core.steer.order(now, &settings, service, region, number);
    let placed = order.first().and_then(|az| settings.region_of(az));
    let here = settings.region_of(&core.cfg.az);
    if placed.is_none() || placed.map(|r| &r.name) == here.map(|r| &r.name) {
        return Ok(None);
    }
    let taken = desk.with_cross_az(|cross_az| {
        let taken = cross_az.admit_displaced(now, asked.op.worth);
        (taken, cross_az.retry_after())
    });
    match taken {
        Some((false, after)) => Err(Turned::Away(after)),
        _ => Ok(None),
    }
}

fn with_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

/// Who asks: credentials where there are some, since many callers may share one address.
fn caller(req: &server::Request) -> policy::CallerId {
    let mut hasher = hash::DefaultHasher::new();
    match req.headers.get(header::AUTHORIZATION) {
        Some(credentials) => hasher.write(credentials.as_bytes()),
        None => hash::Hash::hash(&req.from.ip(), &mut hasher),
    }
    policy::CallerId(hasher.finish())
}

/// What is asked. Credentials count, so that two callers who share a ticket and happen on one key
/// never get one another's answer.
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

/// Where a request entered. Only entry VMs are believed: a caller that could say so would get
/// around the check of its key.
fn origin<M: MakePolicy>(core: &Core<M>, req: &server::Request) -> policy::Origin {
    let Some(az) = headers::text(&req.headers, headers::ORIGIN_AZ) else {
        return policy::Origin::Caller;
    };
    let fleet = core.shared.fleet.load();
    let az = id::AzId::from(az);
    let known = fleet
        .entries()
        .any(|vm| vm.az == az && vm.addr.ip() == req.from.ip());
    if known {
        policy::Origin::Az(az)
    } else {
        policy::Origin::Caller
    }
}

/// Passes a request on to the home of its key, which alone knows whether the key is new. If the
/// home does not answer, nobody can tell whether an earlier send of the key ran.
fn ask_home<M: MakePolicy>(core: &sync::Arc<Core<M>>, req: server::Request, asked: &Asked<'_>) {
    let Some(key) = &asked.key else {
        return refuse(
            core,
            req.id,
            asked.service.name.as_str(),
            req.reply,
            &Problem::NoKey,
        );
    };
    let fleet = core.shared.fleet.load();
    // A request that was passed on once and still is not at home would go round for ever.
    let passed_on = req.headers.contains_key(headers::VIA);
    let home = fleet.vm(&key.ticket.vm).filter(|_| !passed_on);
    let Some(home) = home else {
        return refuse(
            core,
            req.id,
            asked.service.name.as_str(),
            req.reply,
            &Problem::IssuerRestarted,
        );
    };
    let mut out = hyper::Request::new(req.body);
    *out.method_mut() = req.method;
    *out.uri_mut() = req
        .uri
        .path_and_query()
        .map_or_else(hyper::Uri::default, |path| hyper::Uri::from(path.clone()));
    *out.headers_mut() = headers::end_to_end(&req.headers);
    let timeout_ms = u64::try_from(asked.timeout.as_millis()).unwrap_or(u64::MAX);
    out.headers_mut()
        .insert(headers::TIMEOUT, timeout_ms.into());
    if let Ok(via) = core.cfg.vm.as_str().parse() {
        out.headers_mut().insert(headers::VIA, via);
    }
    let call = client::Call {
        to: home.addr,
        req: out,
        timeout: asked.timeout,
        body_bytes: asked.service.max_body_bytes,
    };
    let events = core.events.clone();
    let home = Home {
        id: req.id,
        service: asked.service.name.clone(),
        reply: req.reply,
    };
    let _attempt = core.client.send(call, move |result| {
        let _ = events.send(Event::Home(home, result));
    });
}

/// A request that was passed on to the home of its key.
pub(super) struct Home {
    id: u64,
    service: id::ServiceId,
    reply: server::Reply,
}

/// The home of a key answered, or did not.
pub(super) fn home_answered<M: MakePolicy>(
    core: &Core<M>,
    home: Home,
    result: Result<server::Answer, client::Failure>,
) {
    let Ok(answer) = result else {
        let problem = Problem::IssuerUnreachable;
        return refuse(core, home.id, home.service.as_str(), home.reply, &problem);
    };
    // The home's own word about the outcome stands.
    let mut told = answers::backend(&backend::Answer {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body,
    });
    if let Some(word) = answer.headers.get(headers::OUTCOME) {
        told.headers.insert(headers::OUTCOME, word.clone());
    }
    home.reply.send(told);
}
