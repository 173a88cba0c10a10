//! An in-memory stand-in for the platform's store with injectable faults.
//!
//! [`Memory`] implements [`store::Store`] directly, so that tests need no sockets. [`serve`]
//! exposes it over the HTTP protocol of [`store_http`].

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use hyper::StatusCode;

use super::control;
use crate::coordination::{store, store_http};
use crate::id;
use crate::transport::{pool, server};
use store::Store;

/// Maximum size of a value, the same as on the platform.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum size of a call, in which a value is a JSON array with one number per byte.
const MAX_CALL_BYTES: usize = 5 << 20;

/// Maximum number of calls that wait for a thread.
const MAX_QUEUED_CALLS: usize = 4096;

/// Maximum number of writes in the history. A watch from an earlier revision returns a gap.
const MAX_HISTORY_WRITES: usize = 4096;

/// Interval at which a waiting watch checks for an outage.
const WATCH_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The active faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// Delay added to every call.
    pub delay: time::Duration,
    /// Number of upcoming writes that take effect but whose reply is lost.
    pub lose_write_replies: u32,
    /// Reads of the VM list return the last list read before the fault.
    pub freeze_vms: bool,
}

/// Number of calls by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads, watches and reads of the VM list.
    pub reads: u64,
    /// Writes and lease calls.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    entries: collections::BTreeMap<String, (Vec<u8>, u64, Option<u64>)>,
    history: collections::VecDeque<store::Entry>,
    leases: collections::BTreeMap<u64, (time::Duration, time::Instant)>,
    vms: collections::BTreeMap<id::VmId, store::Vm>,
    last_read_vms: Vec<store::Vm>,
    faults: Faults,
    calls: Calls,
}

/// An in-memory store. Clones share its contents.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    shared: sync::Arc<(parking_lot::Mutex<Inner>, parking_lot::Condvar)>,
}

impl Memory {
    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.0.lock().faults = faults;
        self.shared.1.notify_all();
    }

    /// Number of calls made so far.
    pub fn calls(&self) -> Calls {
        self.shared.0.lock().calls.clone()
    }

    /// Adds a VM to the list or replaces its row.
    pub fn put_vm(&self, vm: store::Vm) {
        self.shared.0.lock().vms.insert(vm.id.clone(), vm);
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, vm: &id::VmId) {
        self.shared.0.lock().vms.remove(vm);
    }

    /// Discards the history of writes, so that a watch from an earlier revision returns a gap.
    pub fn forget_history(&self) {
        self.shared.0.lock().history.clear();
    }

    /// Copies all entries, for [`Memory::restore`].
    pub fn backup(&self) -> store::Snapshot {
        let inner = self.shared.0.lock();
        snapshot(&inner, "")
    }

    /// Restores the entries and the revision of an earlier backup.
    pub fn restore(&self, backup: &store::Snapshot) {
        let mut inner = self.shared.0.lock();
        inner.revision = backup.revision.0;
        inner.history.clear();
        inner.entries = backup
            .entries
            .iter()
            .map(|e| (e.key.clone(), (e.value.clone(), e.revision.0, None)))
            .collect();
        self.shared.1.notify_all();
    }

    fn begin_call(
        &self,
        is_write: bool,
    ) -> Result<parking_lot::MutexGuard<'_, Inner>, store::Error> {
        let mut inner = self.shared.0.lock();
        if is_write {
            inner.calls.writes += 1;
        } else {
            inner.calls.reads += 1;
        }
        let delay = inner.faults.delay;
        if !delay.is_zero() {
            parking_lot::MutexGuard::unlocked(&mut inner, || thread::sleep(delay));
        }
        if inner.faults.down {
            return Err(store::Error::Unavailable("the store is down".to_owned()));
        }
        expire_leases(&mut inner);
        Ok(inner)
    }
}

impl Store for Memory {
    fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        let inner = self.begin_call(false)?;
        Ok(inner
            .entries
            .get(key)
            .map(|(value, revision, _)| store::Entry {
                key: key.to_owned(),
                value: value.clone(),
                revision: store::Revision(*revision),
            }))
    }

    fn list(&self, prefix: &str) -> Result<store::Snapshot, store::Error> {
        Ok(snapshot(&*self.begin_call(false)?, prefix))
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expect: store::Revision,
        value: &[u8],
        lease: Option<store::LeaseId>,
    ) -> Result<store::Revision, store::Error> {
        let mut inner = self.begin_call(true)?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(store::Error::TooLarge(value.len()));
        }
        let current = inner
            .entries
            .get(key)
            .map_or(0, |(_, revision, _)| *revision);
        if current != expect.0 {
            return Err(store::Error::Conflict {
                key: key.to_owned(),
                now: store::Revision(current),
            });
        }
        if lease.is_some_and(|lease| !inner.leases.contains_key(&lease.0)) {
            return Err(store::Error::LeaseGone);
        }
        let revision = write(&mut inner, key, value, lease.map(|lease| lease.0));
        let reply_lost = inner.faults.lose_write_replies > 0;
        if reply_lost {
            inner.faults.lose_write_replies -= 1;
        }
        drop(inner);
        self.shared.1.notify_all();
        if reply_lost {
            return Err(store::Error::Unknown("the reply was lost".to_owned()));
        }
        Ok(revision)
    }

    fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Watch, store::Error> {
        let until = time::Instant::now() + wait;
        let mut inner = self.begin_call(false)?;
        loop {
            if inner.faults.down {
                return Err(store::Error::Unavailable("the store went down".to_owned()));
            }
            expire_leases(&mut inner);
            let history_start = inner.revision - inner.history.len() as u64;
            if after.0 < history_start || after.0 > inner.revision {
                return Ok(store::Watch::Gap);
            }
            let entries: Vec<_> = inner
                .history
                .iter()
                .filter(|e| e.revision > after && e.key.starts_with(prefix))
                .cloned()
                .collect();
            if !entries.is_empty() || time::Instant::now() >= until {
                let revision = store::Revision(inner.revision);
                return Ok(store::Watch::Events { revision, entries });
            }
            let next = until.min(time::Instant::now() + WATCH_POLL_INTERVAL);
            self.shared.1.wait_until(&mut inner, next);
        }
    }

    fn grant(&self, ttl: time::Duration) -> Result<store::LeaseId, store::Error> {
        let mut inner = self.begin_call(true)?;
        inner.revision += 1;
        let id = inner.revision;
        // The lease uses up a revision, which needs a history entry to avoid a gap.
        inner.history.push_back(store::Entry {
            key: String::new(),
            value: Vec::new(),
            revision: store::Revision(id),
        });
        inner.leases.insert(id, (ttl, time::Instant::now() + ttl));
        Ok(store::LeaseId(id))
    }

    fn renew(&self, lease: store::LeaseId) -> Result<(), store::Error> {
        let mut inner = self.begin_call(true)?;
        let (ttl, until) = inner
            .leases
            .get_mut(&lease.0)
            .ok_or(store::Error::LeaseGone)?;
        *until = time::Instant::now() + *ttl;
        Ok(())
    }

    fn revoke(&self, lease: store::LeaseId) -> Result<(), store::Error> {
        let mut inner = self.begin_call(true)?;
        inner
            .leases
            .remove(&lease.0)
            .ok_or(store::Error::LeaseGone)?;
        remove_leased_keys(&mut inner, lease.0);
        self.shared.1.notify_all();
        Ok(())
    }

    fn vms(&self) -> Result<Vec<store::Vm>, store::Error> {
        let mut inner = self.begin_call(false)?;
        if !inner.faults.freeze_vms {
            inner.last_read_vms = inner.vms.values().cloned().collect();
        }
        Ok(inner.last_read_vms.clone())
    }
}

fn snapshot(inner: &Inner, prefix: &str) -> store::Snapshot {
    let entries = inner
        .entries
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .map(|(key, (value, revision, _))| store::Entry {
            key: key.clone(),
            value: value.clone(),
            revision: store::Revision(*revision),
        })
        .collect();
    store::Snapshot {
        revision: store::Revision(inner.revision),
        entries,
    }
}

fn write(inner: &mut Inner, key: &str, value: &[u8], lease: Option<u64>) -> store::Revision {
    inner.revision += 1;
    let revision = store::Revision(inner.revision);
    if value.is_empty() {
        inner.entries.remove(key);
    } else {
        let row = (value.to_owned(), revision.0, lease);
        inner.entries.insert(key.to_owned(), row);
    }
    inner.history.push_back(store::Entry {
        key: key.to_owned(),
        value: value.to_owned(),
        revision,
    });
    if inner.history.len() > MAX_HISTORY_WRITES {
        inner.history.pop_front();
    }
    revision
}

fn expire_leases(inner: &mut Inner) {
    let now = time::Instant::now();
    let expired: Vec<u64> = inner
        .leases
        .iter()
        .filter(|(_, (_, until))| *until < now)
        .map(|(lease, _)| *lease)
        .collect();
    for lease in expired {
        inner.leases.remove(&lease);
        remove_leased_keys(inner, lease);
    }
}

fn remove_leased_keys(inner: &mut Inner, lease: u64) {
    let keys: Vec<String> = inner
        .entries
        .iter()
        .filter(|(_, (_, _, key_lease))| *key_lease == Some(lease))
        .map(|(key, _)| key.clone())
        .collect();
    for key in keys {
        write(inner, &key, &[], None);
    }
}

impl pool::Handler for Memory {
    fn handle(&self, req: server::Request) {
        answer(self, req);
    }

    fn fault(&self, _fault: server::Fault) -> server::Answer {
        status(StatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Serves the store's HTTP protocol on `addr` with `threads` threads. Each waiting watch occupies
/// one of them.
pub fn serve(memory: &Memory, addr: net::SocketAddr, threads: usize) -> io::Result<pool::Pool> {
    let cfg = pool::Config {
        threads,
        max_queued: MAX_QUEUED_CALLS,
        limits: server::Limits {
            body_bytes: MAX_CALL_BYTES,
            ..server::Limits::default()
        },
    };
    pool::serve(addr, cfg, memory.clone())
}

fn status(status: StatusCode) -> server::Answer {
    server::Answer {
        status,
        ..server::Answer::default()
    }
}

fn answer(memory: &Memory, req: server::Request) {
    if req.uri.path() == control::PATH {
        return req.reply.send(apply_control(memory, &req.body));
    }
    let call = match serde_json::from_slice(&req.body) {
        Ok(call) => call,
        Err(err) => {
            return req.reply.send(server::Answer {
                status: StatusCode::BAD_REQUEST,
                body: format!("the body is no valid store call: {err}").into(),
                ..server::Answer::default()
            });
        }
    };
    let reply = match execute_call(memory, call) {
        // Simulates a lost reply by sending none.
        Err(store::Error::Unknown(_)) => return,
        Err(store::Error::Unavailable(why)) => store_http::Reply::Unavailable(why),
        Err(store::Error::Conflict { key, now }) => store_http::Reply::Conflict { key, now },
        Err(store::Error::LeaseGone) => store_http::Reply::LeaseGone,
        Err(store::Error::TooLarge(len)) => store_http::Reply::TooLarge(len),
        Ok(reply) => reply,
    };
    let body = serde_json::to_vec(&reply).expect("a reply can be serialised as JSON");
    req.reply.send(server::Answer {
        body: body.into(),
        ..server::Answer::default()
    });
}

fn apply_control(memory: &Memory, body: &[u8]) -> server::Answer {
    match serde_json::from_slice(body) {
        Ok(control) => {
            control::apply(memory, control);
            status(StatusCode::OK)
        }
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

fn execute_call(
    memory: &Memory,
    call: store_http::Call,
) -> Result<store_http::Reply, store::Error> {
    Ok(match call {
        store_http::Call::Get { key } => store_http::Reply::Entry(memory.get(&key)?),
        store_http::Call::List { prefix } => store_http::Reply::Snapshot(memory.list(&prefix)?),
        store_http::Call::CompareAndSwap {
            key,
            expect,
            value,
            lease,
        } => store_http::Reply::Written(memory.compare_and_swap(&key, expect, &value, lease)?),
        store_http::Call::Watch {
            prefix,
            after,
            wait_ms,
        } => {
            let wait = time::Duration::from_millis(wait_ms);
            store_http::Reply::Watch(memory.watch(&prefix, after, wait)?)
        }
        store_http::Call::Grant { ttl_ms } => {
            store_http::Reply::Lease(memory.grant(time::Duration::from_millis(ttl_ms))?)
        }
        store_http::Call::Renew { lease } => {
            memory.renew(lease)?;
            store_http::Reply::Done
        }
        store_http::Call::Revoke { lease } => {
            memory.revoke(lease)?;
            store_http::Reply::Done
        }
        store_http::Call::Vms => store_http::Reply::Vms(memory.vms()?),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn http_and_direct_access_agree() {
        let memory = Memory::default();
        let server = serve(&memory, "127.0.0.1:0".parse().unwrap(), 2).unwrap();
        let client = store_http::Client::new(server.addr());
        let first = client
            .compare_and_swap("a/x", store::Revision(0), b"1", None)
            .unwrap();
        let err = client
            .compare_and_swap("a/x", store::Revision(0), b"2", None)
            .unwrap_err();
        assert!(matches!(err, store::Error::Conflict { now, .. } if now == first));
        assert_eq!(client.get("a/x").unwrap(), memory.get("a/x").unwrap());
        let watch = client
            .watch("a/", store::Revision(0), time::Duration::ZERO)
            .unwrap();
        assert!(matches!(watch, store::Watch::Events { entries, .. } if entries.len() == 1));
    }

    /// Guards against a lost reply being reported as a failed write: an operator would write again
    /// or report that nothing changed.
    #[test]
    fn a_write_with_a_lost_reply_is_unknown_and_takes_effect() {
        let memory = Memory::default();
        let server = serve(&memory, "127.0.0.1:0".parse().unwrap(), 2).unwrap();
        let client = store_http::Client::new(server.addr());
        memory.set_faults(Faults {
            lose_write_replies: 1,
            ..Faults::default()
        });
        let err = client
            .compare_and_swap("k", store::Revision(0), b"1", None)
            .unwrap_err();
        assert!(matches!(err, store::Error::Unknown(_)), "{err}");
        assert_eq!(client.get("k").unwrap().unwrap().value, b"1");
    }

    /// Guards against a call that waits for another process's connection to close: many processes
    /// start at once, each keeps its connection, and unrelated tests would fail.
    #[test]
    fn concurrent_calls_are_all_answered() {
        for _ in 0..20 {
            let memory = Memory::default();
            let server = serve(&memory, "127.0.0.1:0".parse().unwrap(), 8).unwrap();
            let addr = server.addr();
            let start = sync::Barrier::new(40);
            thread::scope(|scope| {
                for _ in 0..40 {
                    scope.spawn(|| {
                        let client = store_http::Client::new(addr);
                        start.wait();
                        let answer = client.get("k").map_err(|err| err.to_string());
                        start.wait();
                        assert_eq!(answer, Ok(None));
                    });
                }
            });
        }
    }

    #[test]
    fn revoking_a_lease_removes_its_keys() {
        let memory = Memory::default();
        let lease = memory.grant(time::Duration::from_secs(60)).unwrap();
        memory
            .compare_and_swap("k", store::Revision(0), b"1", Some(lease))
            .unwrap();
        memory.revoke(lease).unwrap();
        assert_eq!(memory.get("k").unwrap(), None);
        assert!(matches!(memory.renew(lease), Err(store::Error::LeaseGone)));
    }
}
