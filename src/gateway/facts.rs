//! Matches a request's head with the routes in force, and builds the gateway's own answers.

use std::rc;
use std::time;

use bytes::{Bytes, BytesMut};

use super::Gateway;
use crate::decisions::{affinity, policy, regions, retry_delay};
use crate::protocol::{customers, http1, names, routes};
use crate::transport::{callers, upstream};

/// Timeout of callers that state none.
const DEFAULT_CALLER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Retry delay during a planned stop: the caller can connect to another VM at once.
const STOPPING_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Retry delay until the first routes are known. In a region without the store, a start takes three
/// round trips and the transfer of a list through a small TCP window. A caller that returns too
/// early has no attempt left.
const NOT_READY_RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Maximum age of the store's last answer for an unknown key to be rejected. A VM that the store
/// does not serve lacks newly issued keys: after a rejection the caller would not retry, although
/// another VM knows its key.
const KEY_REJECTION_MAX_STORE_AGE: time::Duration = time::Duration::from_millis(2500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unidentified {
    NoKey,
    TwoKeys,
    InvalidKey,
    UnknownKey,
}

impl Unidentified {
    fn as_str(self) -> &'static str {
        match self {
            Self::NoKey => "no key",
            Self::TwoKeys => "more than one key",
            Self::InvalidKey => "the key is empty or too long",
            Self::UnknownKey => "no customer has the key",
        }
    }
}

/// The digest of the request's only key; an error unless there is exactly one valid key.
fn key_of(fields: &http1::Fields, name: &str) -> Result<customers::KeyDigest, Unidentified> {
    let mut keys = fields
        .iter()
        .filter(|(field, _)| field.eq_ignore_ascii_case(name.as_bytes()))
        .map(|(_, value)| value.trim_ascii());
    let (key, second) = (keys.next().ok_or(Unidentified::NoKey)?, keys.next());
    if second.is_some() {
        return Err(Unidentified::TwoKeys);
    }
    if key.is_empty() || key.len() > customers::MAX_KEY_BYTES {
        return Err(Unidentified::InvalidKey);
    }
    Ok(customers::KeyDigest::of(key))
}

/// The customer that sent a request, and the digest of its key.
#[derive(Clone, Debug)]
pub(super) struct KeyHolder {
    pub(super) customer: rc::Rc<customers::Customer>,
    key: customers::KeyDigest,
}

/// The data of a request's head and of its route.
#[derive(Debug)]
pub(super) struct Facts {
    pub(super) table: rc::Rc<routes::Table>,
    pub(super) route: rc::Rc<routes::Route>,
    /// The customer that sent the request; `None` on routes that need no key.
    pub(super) key_holder: Option<KeyHolder>,
    pub(super) key: Option<u64>,
    pub(super) id: Bytes,
    pub(super) received: policy::Moment,
    /// How much of its time the caller had used before this attempt; zero for a first attempt.
    pub(super) used: time::Duration,
    /// When the caller or the route times out.
    pub(super) deadline: policy::Moment,
}

impl Facts {
    pub(super) fn homes(&self) -> routes::AllowedRegions<'_> {
        routes::AllowedRegions {
            route: &self.route.regions,
            customer: self.customer().map_or(&[], |c| &c.regions),
        }
    }

    /// The request's priority rank; 0 is the most urgent.
    pub(super) fn rank(&self) -> u32 {
        self.route.rank(self.customer())
    }

    /// Whether this is a caller's further attempt.
    pub(super) fn is_retry(&self) -> bool {
        !self.used.is_zero()
    }

    /// When an answer to this request must be there to meet the route's latency target, which
    /// counts from the first attempt.
    #[expect(dead_code, reason = "the queue will order by it")]
    pub(super) fn target_at(&self) -> policy::Moment {
        self.received + self.route.latency_target.saturating_sub(self.used)
    }

    pub(super) fn customer(&self) -> Option<&customers::Customer> {
        self.key_holder
            .as_ref()
            .map(|key_holder| &*key_holder.customer)
    }

    pub(super) fn customer_name(&self) -> &str {
        self.customer().map_or("", |c| c.name.as_str())
    }
}

impl Gateway {
    /// Where a request with these homes may run, relative to this VM's region.
    pub(super) fn reach(&self, homes: &routes::AllowedRegions<'_>) -> regions::Reach {
        if homes.is_unrestricted() {
            return regions::Reach::Anywhere;
        }
        let own = self.region.as_ref();
        let mut others = self.cfg.regions.values().filter(|r| Some(*r) != own);
        match (homes.includes(own), others.any(|r| homes.includes(Some(r)))) {
            (true, true) => regions::Reach::Anywhere,
            (true, false) => regions::Reach::Here,
            (false, _) => regions::Reach::Elsewhere,
        }
    }

    /// Reads a request's head. An error is the answer to a request that is refused.
    pub(super) fn facts(&self, req: &callers::Request) -> Result<Facts, callers::Answer> {
        let fields = &req.head.fields;
        let received = self.moment(req.received);
        let id = fields.get(self.cfg.names.id).map(Bytes::copy_from_slice);
        let refuse = |status| Err(self.gateway_answer(status, id.as_deref()));
        let (Some(host), Some(id)) = (fields.text("host"), id.clone()) else {
            return refuse(400);
        };
        if !req.head.target().starts_with('/') {
            return refuse(400);
        }
        if self.is_closed() {
            return Err(self.refuse_temporarily(
                &id,
                self.spread(STOPPING_RETRY_DELAY),
                "planned stop",
            ));
        }
        let Some(table) = self.table() else {
            return Err(self.refuse_temporarily(
                &id,
                self.spread(NOT_READY_RETRY_DELAY),
                "no routes yet",
            ));
        };
        let Some(route) = table.select(host, req.head.path()) else {
            slog::trace!(self.log, "no route"; "request" => %String::from_utf8_lossy(&id), "host" => host, "path" => req.head.path(), "version" => table.version);
            return refuse(404);
        };
        let key_holder = match self.key_holder(&table, route, fields) {
            Ok(key_holder) => key_holder,
            Err(why) => return Err(self.refuse_unidentified(&id, why)),
        };
        let stated = fields.text(self.cfg.names.timeout_ms);
        let timeout = match stated.map(str::parse::<f64>) {
            Some(Ok(ms)) if ms >= 0.0 && ms.is_finite() => {
                time::Duration::from_secs_f64((ms / 1000.0).min(3600.0))
            }
            Some(_) => return refuse(400),
            None => DEFAULT_CALLER_TIMEOUT,
        };
        let used = match stated {
            Some(_) => self.time_used(route, timeout, received),
            None => time::Duration::ZERO,
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
            used,
            deadline: received + timeout.min(route.timeout),
            route: route.clone(),
            key_holder,
            table,
        })
    }

    /// Identifies the customer by the request's key; `None` on routes that need no key.
    fn key_holder(
        &self,
        table: &routes::Table,
        route: &routes::Route,
        fields: &http1::Fields,
    ) -> Result<Option<KeyHolder>, Unidentified> {
        if !table.needs_key(route) {
            return Ok(None);
        }
        let key = key_of(fields, self.cfg.names.key)?;
        let customer = table
            .customers
            .find_by_key(key)
            .ok_or(Unidentified::UnknownKey)?;
        Ok(Some(KeyHolder {
            customer: customer.clone(),
            key,
        }))
    }

    /// Refuses a request whose customer is not known.
    fn refuse_unidentified(&self, id: &[u8], why: Unidentified) -> callers::Answer {
        let is_recent = self
            .store_age()
            .is_some_and(|age| age <= KEY_REJECTION_MAX_STORE_AGE);
        if why == Unidentified::UnknownKey && !is_recent {
            return self.refuse_temporarily(
                id,
                self.spread(NOT_READY_RETRY_DELAY),
                "the key may be newer than what is known here",
            );
        }
        self.record_turned_away(id, why.as_str());
        self.gateway_answer(401, Some(id))
    }

    /// The customer that holds the request's key now; an error if the key was revoked meanwhile.
    pub(super) fn current_key_holder(&self, facts: &Facts) -> Result<Option<KeyHolder>, ()> {
        let (Some(key_holder), Some(table)) = (&facts.key_holder, self.table()) else {
            return Ok(facts.key_holder.clone());
        };
        if table.version == facts.table.version {
            return Ok(Some(key_holder.clone()));
        }
        let customer = table
            .customers
            .find_by_key(key_holder.key)
            .ok_or(())?
            .clone();
        Ok(Some(KeyHolder {
            customer,
            ..key_holder.clone()
        }))
    }

    /// Refuses a request that this VM cannot serve now but another VM may.
    pub(super) fn refuse_temporarily(
        &self,
        id: &[u8],
        after: time::Duration,
        why: &str,
    ) -> callers::Answer {
        if let Some(left_out) = self.log_limiter.admit("not here", self.now()) {
            slog::info!(self.log, "refused"; "request" => %String::from_utf8_lossy(id), "why" => why, "left_out" => left_out);
        }
        let mut answer = self.gateway_answer(503, Some(id));
        answer.close = true;
        put_retry_after(&mut answer.fields, after);
        answer
    }

    /// Spreads a fixed retry delay, so that callers that are refused together do not return together.
    pub(super) fn spread(&self, delay: time::Duration) -> time::Duration {
        match self.schedules_returns() {
            true => retry_delay::spread(delay, self.jitter()),
            false => delay,
        }
    }

    /// An answer with a status and no body, made by the gateway itself.
    pub(super) fn gateway_answer(&self, status: u16, id: Option<&[u8]>) -> callers::Answer {
        let mut answer = callers::Answer::empty(status);
        if let Some(id) = id {
            http1::put_field(&mut answer.fields, self.cfg.names.id.as_bytes(), id);
        }
        answer
    }
}

/// A hash of target, host, cookie and body, which are the same when a request is sent again.
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

/// Adds the header that states when a refused caller may retry.
pub(super) fn put_retry_after(fields: &mut BytesMut, after: time::Duration) {
    let text = format!("{:.3}", after.as_secs_f64());
    http1::put_field(fields, b"Retry-After", text.as_bytes());
}
