//! What a request's head says, held against the routes in force, and answers of our own.

use std::rc;
use std::time;

use bytes::{Bytes, BytesMut};

use super::Gateway;
use crate::decisions::{affinity, policy};
use crate::id;
use crate::protocol::{http1, names, routes};
use crate::transport::{callers, upstream};

/// The longest time that a caller who names none is taken to wait.
const NO_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// When a caller may come back whom this VM no longer takes: at once, to another.
const ELSEWHERE: time::Duration = time::Duration::from_millis(20);

/// When a caller may come back to a VM that knows no routes yet. In another region than the store a
/// start takes 0.65 s: three round trips, and a list of 150 KB through a small window. Told 0.3 s,
/// callers came back once too early, had no further try, and 350 of 2,150 were lost after all VMs had
/// been without power.
const UNREADY: time::Duration = time::Duration::from_millis(700);

/// What a request's head and the routes in force say.
#[derive(Debug)]
pub(super) struct Facts {
    pub(super) table: rc::Rc<routes::Table>,
    pub(super) route: rc::Rc<routes::Route>,
    pub(super) key: Option<u64>,
    pub(super) id: Bytes,
    pub(super) received: policy::Moment,
    /// When the caller, or the route, gives up.
    pub(super) deadline: policy::Moment,
}

impl Gateway {
    /// Reads a request's head; an error is the answer that it gets.
    pub(super) fn facts(&self, req: &callers::Request) -> Result<Facts, callers::Answer> {
        let fields = &req.head.fields;
        let received = self.moment(req.received);
        let id = fields.get(self.cfg.names.id).map(Bytes::copy_from_slice);
        let refuse = |status| Err(self.own_answer(status, id.as_deref()));
        let (Some(host), Some(id)) = (fields.text("host"), id.clone()) else {
            return refuse(400);
        };
        if !req.head.target().starts_with('/') {
            return refuse(400);
        }
        if self.is_closed() {
            return Err(self.not_here(&id, ELSEWHERE, "planned stop"));
        }
        let Some(table) = self.table() else {
            return Err(self.not_here(&id, UNREADY, "no routes yet"));
        };
        let Some(route) = table.select(host, req.head.path()) else {
            slog::trace!(self.log, "no route"; "request" => %String::from_utf8_lossy(&id), "host" => host, "path" => req.head.path(), "version" => table.version);
            return refuse(404);
        };
        let stated = fields.text(self.cfg.names.timeout_ms);
        let patience = match stated.map(str::parse::<f64>) {
            Some(Ok(ms)) if ms >= 0.0 && ms.is_finite() => {
                time::Duration::from_secs_f64((ms / 1000.0).min(3600.0))
            }
            Some(_) => return refuse(400),
            None => NO_TIMEOUT,
        };
        let object = fields
            .text("cookie")
            .and_then(|field| names::cookie(field, self.cfg.names.object_cookie));
        let key = object.filter(|_| route.sticky).map(|object| {
            affinity::mix(
                affinity::hash(object.as_bytes()),
                affinity::hash(route.name.as_bytes()),
            )
        });
        Ok(Facts {
            key,
            id,
            received,
            deadline: received + patience.min(route.timeout),
            route: route.clone(),
            table,
        })
    }

    /// The service that serves a request.
    pub(super) fn service_for(&self, facts: &Facts) -> id::ServiceId {
        let parts = &facts.route.parts;
        if let [only] = parts.as_slice() {
            return only.service.clone();
        }
        let weights: Vec<f64> = parts.iter().map(|part| part.weight).collect();
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(facts.route.name.clone()).or_default();
        let point = facts.key.unwrap_or_else(rand::random);
        parts[split.pick(&weights, point)].service.clone()
    }

    /// This VM cannot take the request just now; another may.
    pub(super) fn not_here(&self, id: &[u8], after: time::Duration, why: &str) -> callers::Answer {
        if let Some(left_out) = self.lines.admit("not here", self.now()) {
            slog::info!(self.log, "refused"; "request" => %String::from_utf8_lossy(id), "why" => why, "left_out" => left_out);
        }
        let mut answer = self.own_answer(503, Some(id));
        answer.close = true;
        put_retry_after(&mut answer.fields, after);
        answer
    }

    /// An answer of our own.
    pub(super) fn own_answer(&self, status: u16, id: Option<&[u8]>) -> callers::Answer {
        let mut answer = callers::Answer::bare(status);
        if let Some(id) = id {
            http1::put_field(&mut answer.fields, self.cfg.names.id.as_bytes(), id);
        }
        answer
    }
}

/// What is the same in requests that are sent again: target, object and body.
pub(super) fn fingerprint(req: &callers::Request) -> u64 {
    let head = affinity::hash(req.head.target().as_bytes());
    let host = affinity::hash(req.head.fields.get("host").unwrap_or_default());
    let object = affinity::hash(req.head.fields.get("cookie").unwrap_or_default());
    let body = match &req.payload {
        upstream::Payload::Whole(body) => affinity::hash(body),
        upstream::Payload::Pieces { length, .. } => length.unwrap_or_default(),
    };
    [host, object, body].into_iter().fold(head, affinity::mix)
}

/// Tells a refused caller when to come back.
pub(super) fn put_retry_after(fields: &mut BytesMut, after: time::Duration) {
    let text = format!("{:.3}", after.as_secs_f64());
    http1::put_field(fields, b"Retry-After", text.as_bytes());
}
