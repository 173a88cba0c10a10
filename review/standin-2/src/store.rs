//! The platform's store, as PROTOCOL.md tells it: items, leases, ranges and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;
use crate::json::{Json, base64};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    rev: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |i| i.created);
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.rev, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of = |(_, item): &(&String, &Item)| item.lease == lease;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(of)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.rev += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, ends))| *ends < now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        rev,
        created,
        lease,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{rev},"created_rev":{created},"lease":{lease}}}"#
    )
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let addr = listener.local_addr().expect("an address");
        let mut state = State::default();
        state.rev = 1;
        let store = Self {
            addr,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let swept = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                if swept.state.0.lock().unwrap().expire() {
                    swept.state.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes an item as the operator and the servers do.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        state.put(key, base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let Ok(body) = wire.body(&head) else { return };
            let (status, text) = self.answer(head.word(0), head.word(1), &body);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if wire.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let asked = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .clone()
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v)
                .unwrap_or_default()
        };
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        if method == "GET" && path == "/kv-watch" {
            return self.watch(asked("prefix"), asked("after"), asked("wait_ms"));
        }
        let mut state = self.state.0.lock().unwrap();
        let rev = state.rev;
        let answer = match (method, path) {
            ("GET", "/kv-key") => match state.items.get(asked("key")) {
                Some(item) => {
                    let item = item_json(asked("key"), item);
                    (
                        200,
                        item.replacen('{', &format!(r#"{{"store_revision":{rev},"#), 1),
                    )
                }
                None => (404, "{}".to_owned()),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (asked("prefix"), asked("after"));
                let found = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
                let mut found: Vec<String> =
                    found.take(501).map(|(k, i)| item_json(k, i)).collect();
                let more = found.len() > 500;
                found.truncate(500);
                let items = found.join(",");
                (
                    200,
                    format!(r#"{{"items":[{items}],"truncated":{more},"store_revision":{rev}}}"#),
                )
            }
            ("POST", "/kv-txn") => Self::txn(&mut state, &body),
            ("POST", "/kv-lease") => {
                let ttl = body
                    .get("ttl_s_time")
                    .map_or(1.0, Json::number)
                    .clamp(1.0, 600.0);
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl_span = Duration::from_secs_f64(ttl);
                state
                    .leases
                    .insert(lease, (ttl_span, Instant::now() + ttl_span));
                (200, format!(r#"{{"lease":{lease},"ttl_s_time":{ttl}}}"#))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl, ends)) => {
                        *ends = Instant::now() + *ttl;
                        (
                            200,
                            format!(r#"{{"lease":{lease},"ttl_s_time":{}}}"#, ttl.as_secs_f64()),
                        )
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                match state.leases.contains_key(&lease) {
                    true => {
                        state.end_lease(lease);
                        (200, "{}".to_owned())
                    }
                    false => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.state.1.notify_all();
        answer
    }

    fn txn(state: &mut State, body: &Json) -> (u16, String) {
        let list = |name: &str| body.get(name).map_or(&[][..], Json::list);
        let field = |row: &Json, name: &str| row.get(name).cloned().unwrap_or(Json::Null);
        for row in list("precondition") {
            let known = state
                .items
                .get(field(row, "key").text())
                .map_or(0, |i| i.rev);
            if known != field(row, "rev").number() as u64 {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        for row in list("put_items") {
            let lease = field(row, "lease").number() as u64;
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        state.rev += 1;
        for row in list("put_items") {
            let (key, value) = (field(row, "key"), field(row, "value"));
            let lease = field(row, "lease").number() as u64;
            state.put(key.text(), value.text().to_owned(), lease);
        }
        for key in list("remove") {
            state.remove(key.text());
        }
        (200, format!(r#"{{"rev":{}}}"#, state.rev))
    }

    fn watch(&self, prefix: &str, after: &str, wait_ms: &str) -> (u16, String) {
        let after: u64 = after.parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.parse().unwrap_or(0));
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            let events = state
                .events
                .iter()
                .filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(rev, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","rev":{rev},"tombstone":true}}"#),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (rev, events) = (state.rev, events.join(","));
                return (
                    200,
                    format!(r#"{{"events":[{events}],"store_revision":{rev}}}"#),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
