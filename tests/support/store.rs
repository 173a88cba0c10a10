//! A simulated platform store that implements the published protocol, with fault injection.

use std::cell;
use std::collections;
use std::net;
use std::ops;
use std::rc;
use std::time;

use bulrushwind::decisions::planned_stop;
use bulrushwind::platform::names;
use bulrushwind::protocol::{http1, routes};
use bulrushwind::transport::{callers, upstream};
use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::{Notify, watch};
use tokio::task;

/// How the store responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Responds normally.
    #[default]
    Up,
    /// Never responds.
    Silent,
    /// Refuses every call with 503.
    Busy,
    /// Performs writes but drops their responses.
    DropsResponses,
    /// Begins each page of a list at the first key.
    RepeatsPages,
}

#[derive(Clone, Debug)]
struct Item {
    /// Base64, unless a test writes something else.
    value: Value,
    rev: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: time::Duration,
    ends: time::Instant,
}

/// What a restored store gets back: records, history and leases.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contents {
    items: collections::BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    /// Events up to this revision were discarded.
    discarded_revision: u64,
    leases: collections::BTreeMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Debug, Default)]
struct Inner {
    contents: Contents,
    epoch: u64,
    /// Stated in place of the epoch.
    epoch_text: Option<String>,
    mode: Mode,
    calls: usize,
    /// Renewals of leases that exist.
    renewals: usize,
    /// When the store stopped responding, and the targets of the calls that have arrived since.
    silent_since: Option<time::Instant>,
    unanswered: Vec<String>,
}

impl ops::Deref for Inner {
    type Target = Contents;

    fn deref(&self) -> &Contents {
        &self.contents
    }
}

impl ops::DerefMut for Inner {
    fn deref_mut(&mut self) -> &mut Contents {
        &mut self.contents
    }
}

impl Contents {
    /// Puts another value in place of a record's, without a trace in the history.
    pub(crate) fn replace_value(&mut self, key: &str, value: &Value) {
        let text = data_encoding::BASE64.encode(value.to_string().as_bytes());
        self.items.get_mut(key).expect("the record exists").value = text.into();
    }

    fn put(&mut self, key: &str, value: Value, lease: u64) {
        self.revision += 1;
        let item = Item {
            value,
            rev: self.revision,
            lease,
        };
        self.events
            .push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire_leases(&mut self) {
        let now = time::Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|id| self.end_lease(id));
    }
}

/// A running store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    inner: rc::Rc<cell::RefCell<Inner>>,
    changed: rc::Rc<Notify>,
    pub(crate) addr: net::SocketAddr,
}

impl Store {
    /// Starts a store on the current thread.
    pub(crate) fn start() -> Self {
        let listener = super::listen();
        let store = Self {
            inner: rc::Rc::default(),
            changed: rc::Rc::default(),
            addr: listener.local_addr().unwrap(),
        };
        store.inner.borrow_mut().revision = 1;
        let served = store.clone();
        task::spawn_local(async move {
            let (_stop, stop) = watch::channel(planned_stop::Phase::Serving);
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn_local(callers::serve(stream, served.clone(), stop.clone()));
            }
        });
        let expiring = store.clone();
        task::spawn_local(async move {
            loop {
                tokio::time::sleep(time::Duration::from_millis(50)).await;
                let paused = expiring.inner.borrow().mode == Mode::Silent;
                if !paused {
                    expiring.inner.borrow_mut().expire_leases();
                    expiring.changed.notify_waiters();
                }
            }
        });
        store
    }

    /// Changes how the store responds. Leases don't run while it is silent.
    pub(crate) fn set_mode(&self, mode: Mode) {
        let mut inner = self.inner.borrow_mut();
        inner.mode = mode;
        inner.unanswered.clear();
        let silent_since = inner.silent_since.take();
        match mode {
            Mode::Silent => inner.silent_since = Some(time::Instant::now()),
            Mode::Up | Mode::Busy | Mode::DropsResponses | Mode::RepeatsPages => {
                let away = silent_since.map_or(time::Duration::ZERO, |since| since.elapsed());
                let leases = inner.leases.values_mut();
                leases.for_each(|lease| lease.ends += away);
            }
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Calls with this prefix that arrived since the store became silent.
    pub(crate) fn unanswered(&self, prefix: &str) -> usize {
        let inner = self.inner.borrow();
        let calls = inner.unanswered.iter();
        calls.filter(|target| target.starts_with(prefix)).count()
    }

    /// Discards all past events, so that watches from earlier revisions fail with 410.
    pub(crate) fn discard_history(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.discarded_revision = inner.revision;
        inner.events.clear();
        drop(inner);
        self.changed.notify_waiters();
    }

    /// A copy of the present contents.
    pub(crate) fn copy(&self) -> Contents {
        self.inner.borrow().contents.clone()
    }

    /// Returns to a copy: all that was written since is lost, and a new epoch begins.
    pub(crate) fn restore(&self, copy: Contents) {
        let mut inner = self.inner.borrow_mut();
        inner.contents = copy;
        inner.epoch += 1;
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Takes a lease, as another VM does. Returns its id.
    pub(crate) fn take_lease(&self, ttl: time::Duration) -> u64 {
        let mut inner = self.inner.borrow_mut();
        inner.next_lease += 1;
        let id = inner.next_lease;
        let ends = time::Instant::now() + ttl;
        inner.leases.insert(id, Lease { ttl, ends });
        id
    }

    pub(crate) fn renewals(&self) -> usize {
        self.inner.borrow().renewals
    }

    /// States a text in place of the epoch.
    pub(crate) fn state_epoch(&self, text: Option<&str>) {
        self.inner.borrow_mut().epoch_text = text.map(str::to_owned);
    }

    pub(crate) fn calls(&self) -> usize {
        self.inner.borrow().calls
    }

    /// The value of a record.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        let inner = self.inner.borrow();
        let text = inner.items.get(key)?.value.as_str().unwrap();
        let bytes = data_encoding::BASE64.decode(text.as_bytes()).unwrap();
        Some(serde_json::from_slice(&bytes).unwrap())
    }

    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.borrow();
        inner
            .items
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Writes a JSON value without a lease, as operators and backend servers do.
    pub(crate) fn write(&self, key: &str, value: &Value) {
        self.write_text(
            key,
            data_encoding::BASE64.encode(value.to_string().as_bytes()),
        );
    }

    /// Writes a value in its wire form, without encoding it.
    pub(crate) fn write_text(&self, key: &str, text: impl Into<Value>) {
        self.inner.borrow_mut().put(key, text.into(), 0);
        self.changed.notify_waiters();
    }

    pub(crate) fn remove(&self, key: &str) {
        self.inner.borrow_mut().remove(key);
        self.changed.notify_waiters();
    }

    async fn reply(self, req: callers::Request) -> callers::Answer {
        let mode = {
            let mut inner = self.inner.borrow_mut();
            inner.calls += 1;
            inner.mode
        };
        match mode {
            Mode::Silent => {
                let target = req.head.target().to_owned();
                self.inner.borrow_mut().unanswered.push(target);
                return std::future::pending().await;
            }
            Mode::Busy => return self.with_epoch(callers::Answer::empty(503)),
            Mode::Up | Mode::DropsResponses | Mode::RepeatsPages => {}
        }
        let answer = self.handle(&req).await;
        let answer = self.with_epoch(answer);
        let write = req.head.method() != b"GET";
        if mode == Mode::DropsResponses && write {
            return std::future::pending().await;
        }
        answer
    }

    fn with_epoch(&self, mut answer: callers::Answer) -> callers::Answer {
        let inner = self.inner.borrow();
        let text = inner.epoch_text.clone();
        let text = text.unwrap_or_else(|| inner.epoch.to_string());
        let field = names::STORE_EPOCH.as_bytes();
        http1::put_field(&mut answer.fields, field, text.as_bytes());
        answer
    }

    async fn handle(&self, req: &callers::Request) -> callers::Answer {
        let path = req.head.path();
        let known: &[&str] = match path {
            "/kv-range" => &["prefix", "after", "stale_ok"],
            "/kv-watch" => &["prefix", "after", "wait_ms"],
            _ => &[],
        };
        let Some(query) = parse_query(req.head.target(), known) else {
            return callers::Answer::empty(400);
        };
        let body: Value = match &req.payload {
            upstream::Payload::Whole(body) => serde_json::from_slice(body).unwrap_or_default(),
            upstream::Payload::Pieces { .. } => Value::Null,
        };
        let last = path.rsplit('/').next().unwrap_or_default();
        match (req.head.method(), path) {
            (b"GET", "/kv-range") => self.range(&query),
            (b"GET", "/kv-watch") => self.watch(&query).await,
            (b"POST", "/kv-txn") => self.txn(&body),
            (b"POST", "/kv-lease") => self.lease(&body),
            (b"POST", _) if path.starts_with("/kv-keep/") => self.renew(last),
            (b"DELETE", _) if path.starts_with("/kv-lease-end/") => {
                self.inner.borrow_mut().end_lease(last.parse().unwrap());
                self.changed.notify_waiters();
                json_answer(&json!({}))
            }
            _ => callers::Answer::empty(404),
        }
    }

    fn range(&self, query: &Query) -> callers::Answer {
        /// Items per page; small, so that a range read takes several pages.
        const PAGE_ITEM_COUNT: usize = 4;
        let inner = self.inner.borrow();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let prefix = text("prefix");
        let after = match inner.mode {
            Mode::RepeatsPages => String::new(),
            _ => text("after"),
        };
        let mut items: Vec<Value> = inner
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .take(PAGE_ITEM_COUNT + 1)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let truncated = items.len() > PAGE_ITEM_COUNT;
        items.truncate(PAGE_ITEM_COUNT);
        json_answer(
            &json!({"items": items, "truncated": truncated, "store_revision": inner.revision}),
        )
    }

    async fn watch(&self, query: &Query) -> callers::Answer {
        let after: u64 = query["after"].parse().unwrap();
        let wait: u64 = query["wait_ms"].parse().unwrap();
        let until = time::Instant::now() + time::Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            {
                let inner = self.inner.borrow();
                if after < inner.discarded_revision || after > inner.revision {
                    return callers::Answer::empty(410);
                }
                let events: Vec<Value> = inner
                    .events
                    .iter()
                    .filter(|(rev, _, _)| *rev > after)
                    .map(|(rev, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => json!({"key": key, "rev": rev, "tombstone": true}),
                    })
                    .collect();
                if !events.is_empty() || time::Instant::now() >= until {
                    return json_answer(
                        &json!({"events": events, "store_revision": inner.revision}),
                    );
                }
            }
            // The loop checks again after a change as well as after the timeout.
            let _ = tokio::time::timeout_at(until.into(), changed).await;
        }
    }

    fn txn(&self, body: &Value) -> callers::Answer {
        let mut inner = self.inner.borrow_mut();
        for condition in body["precondition"].as_array().into_iter().flatten() {
            let rev = inner
                .items
                .get(condition["key"].as_str().unwrap())
                .map_or(0, |item| item.rev);
            if condition["rev"] != rev {
                return callers::Answer::empty(412);
            }
        }
        for put in body["put_items"].as_array().into_iter().flatten() {
            let lease = put["lease"].as_u64().unwrap_or_default();
            if lease != 0 && !inner.leases.contains_key(&lease) {
                return callers::Answer::empty(404);
            }
            let key = put["key"].as_str().unwrap();
            assert!(!key.starts_with("op/") && !key.starts_with("servers/"));
            assert!(put["value"].is_string());
            inner.put(key, put["value"].clone(), lease);
        }
        for key in body["remove"].as_array().into_iter().flatten() {
            inner.remove(key.as_str().unwrap());
        }
        let rev = inner.revision;
        drop(inner);
        self.changed.notify_waiters();
        json_answer(&json!({"rev": rev}))
    }

    fn lease(&self, body: &Value) -> callers::Answer {
        let ttl = time::Duration::from_secs_f64(body["ttl_s_time"].as_f64().unwrap());
        let id = self.take_lease(ttl);
        json_answer(&json!({"lease": id, "ttl_s_time": ttl.as_secs_f64()}))
    }

    fn renew(&self, id: &str) -> callers::Answer {
        let mut inner = self.inner.borrow_mut();
        let id: u64 = id.parse().unwrap();
        inner.renewals += usize::from(inner.leases.contains_key(&id));
        match inner.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = time::Instant::now() + lease.ttl;
                json_answer(&json!({"ttl_s_time": lease.ttl.as_secs_f64()}))
            }
            None => callers::Answer::empty(404),
        }
    }
}

impl callers::Handler for Store {
    fn limits(&self) -> routes::Limits {
        routes::Limits::default()
    }

    fn answer(&self, req: callers::Request) -> impl Future<Output = callers::Answer> + 'static {
        self.clone().reply(req)
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "rev": item.rev, "created_rev": item.rev, "lease": item.lease})
}

/// The decoded parameters of a query.
type Query = collections::BTreeMap<String, String>;

/// Parses a target as strictly as common servers do. `None` for a target that is no valid URI, or that
/// has a parameter which is unknown or occurs twice.
fn parse_query(target: &str, known: &[&str]) -> Option<Query> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@/?%".contains(&b);
    if !target.bytes().all(is_allowed) {
        return None;
    }
    let (_, query) = target.split_once('?').unwrap_or((target, ""));
    let mut parameters = Query::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        let twice = parameters.insert(name.to_owned(), decode_value(value)?);
        if !known.contains(&name) || twice.is_some() {
            return None;
        }
    }
    Some(parameters)
}

/// Decodes a parameter's value as forms do, where `+` stands for a blank. `None` for a `%` without two
/// digits or for bytes that are no text.
fn decode_value(value: &str) -> Option<String> {
    let mut decoded = Vec::new();
    let mut rest = value.as_bytes();
    while let [byte, tail @ ..] = rest {
        rest = tail;
        match byte {
            b'%' => {
                let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
                decoded.push(u8::from_str_radix(digits, 16).ok()?);
                rest = &tail[2..];
            }
            b'+' => decoded.push(b' '),
            other => decoded.push(*other),
        }
    }
    String::from_utf8(decoded).ok()
}

pub(crate) fn json_answer(value: &Value) -> callers::Answer {
    let mut answer = callers::Answer::empty(200);
    http1::put_field(&mut answer.fields, b"Content-Type", b"application/json");
    answer.body = callers::Body::Whole(Bytes::from(value.to_string()));
    answer
}
