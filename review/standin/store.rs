//! A stand-in for the platform's store: one process's memory, linearizable, as PROTOCOL describes it.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Wire};
use crate::json::{Json, from_base64, to_base64};

/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Most items of one page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created_rev: u64,
    lease: u64,
}

struct Event {
    rev: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created_rev = self
            .items
            .get(key)
            .map_or(self.rev, |item| item.created_rev);
        let item = Item {
            value,
            rev: self.rev,
            created_rev,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            rev: self.rev,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                rev: self.rev,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        self.rev += 1;
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        true
    }
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created_rev\":{},\"lease\":{}}}",
        quoted(key),
        to_base64(&item.value),
        item.rev,
        item.created_rev,
        item.lease
    )
}

impl Store {
    pub fn start(listener: TcpListener) -> io::Result<Self> {
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                leases.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key for an operator or a backend server, without a lease.
    pub fn write(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, value.as_bytes().to_vec(), 0));
    }

    /// Removes a key for an operator or a backend server.
    pub fn delete(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        change(&mut state);
        self.shared.1.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.shared.0.lock().unwrap();
        let due = state.leases.iter().filter(|(_, (_, ends))| *ends <= now);
        let due: Vec<u64> = due.map(|(lease, _)| *lease).collect();
        for lease in due {
            state.end_lease(lease);
        }
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let Ok(body) = wire.body(head.length()) else {
                return;
            };
            let (status, answer) = self.call(&head, &String::from_utf8_lossy(&body));
            thread::sleep(ANSWER_TIME);
            let fields = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if wire.answer(status, fields, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, head: &Head, body: &str) -> (u16, String) {
        let parts: Vec<&str> = head.path().split('/').skip(1).collect();
        let lease_id = || {
            parts
                .get(1)
                .and_then(|id| id.parse::<u64>().ok())
                .unwrap_or(0)
        };
        match (head.method(), parts[0]) {
            ("GET", "kv-key") => self.key(head),
            ("GET", "kv-range") => self.range(head),
            ("GET", "kv-watch") => self.watch(head),
            ("POST", "kv-txn") => self.txn(body),
            ("POST", "kv-lease") => self.lease(body),
            ("POST", "kv-keep") => self.keep(lease_id()),
            ("DELETE", "kv-lease-end") => {
                let ended = self.shared.0.lock().unwrap().end_lease(lease_id());
                self.shared.1.notify_all();
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, head: &Head) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let key = head.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let item = item_json(&key, item);
                let rest = item.trim_end_matches('}');
                (200, format!("{rest},\"store_revision\":{}}}", state.rev))
            }
            None => (404, format!("{{\"store_revision\":{}}}", state.rev)),
        }
    }

    fn range(&self, head: &Head) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let prefix = head.query("prefix").unwrap_or_default();
        let after = head.query("after").unwrap_or_default();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let found: Vec<String> = found
            .take(PAGE + 1)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let truncated = found.len() > PAGE;
        let items = found[..found.len().min(PAGE)].join(",");
        let rev = state.rev;
        (
            200,
            format!("{{\"items\":[{items}],\"truncated\":{truncated},\"store_revision\":{rev}}}"),
        )
    }

    fn watch(&self, head: &Head) -> (u16, String) {
        let prefix = head.query("prefix").unwrap_or_default();
        let number = |name| {
            head.query(name)
                .and_then(|n| n.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let from = state.events.partition_point(|event| event.rev <= after);
            let events = state.events[from..]
                .iter()
                .filter(|e| e.key.starts_with(&prefix));
            let events: Vec<String> = events
                .map(|event| match &event.item {
                    Some(item) => item_json(&event.key, item),
                    None => format!(
                        "{{\"key\":{},\"rev\":{},\"tombstone\":true}}",
                        quoted(&event.key),
                        event.rev
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, rev) = (events.join(","), state.rev);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"store_revision\":{rev}}}"),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, body: &str) -> (u16, String) {
        let Some(txn) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let puts = txn.get("put_items").list();
        let removed = txn.get("remove").list();
        let keys = puts
            .iter()
            .map(|put| put.get("key").text())
            .chain(removed.iter().map(Json::text));
        if keys
            .clone()
            .any(|key| key.starts_with("op/") || key.starts_with("servers/"))
        {
            return (403, "{}".to_owned());
        }
        let mut state = self.shared.0.lock().unwrap();
        let conditions = txn.get("precondition").list();
        let holds = conditions.iter().all(|row| {
            let rev = state
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.rev);
            rev as f64 == row.get("rev").number()
        });
        if !holds {
            let items = conditions.iter().filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|item| item_json(key, item))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |put: &Json| put.get("lease").number() as u64;
        if puts
            .iter()
            .map(lease_of)
            .any(|lease| lease != 0 && !state.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        state.rev += 1;
        for put in puts {
            let value = from_base64(put.get("value").text()).unwrap_or_default();
            state.put(put.get("key").text(), value, lease_of(put));
        }
        for key in removed {
            state.remove(key.text());
        }
        let rev = state.rev;
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"rev\":{rev}}}"))
    }

    fn lease(&self, body: &str) -> (u16, String) {
        let ttl_s = Json::parse(body).map_or(0.0, |json| json.get("ttl_s_time").number());
        let ttl_s = ttl_s.clamp(1.0, 600.0);
        let ttl = Duration::from_secs_f64(ttl_s);
        let mut state = self.shared.0.lock().unwrap();
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl_s}}}"))
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((ttl, ends)) => {
                *ends = Instant::now() + *ttl;
                (200, format!("{{\"ttl_s_time\":{}}}", ttl.as_secs_f64()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}
