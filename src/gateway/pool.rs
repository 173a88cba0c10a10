//! Connections to backend servers that rest between requests.

use std::collections;
use std::time;

use crate::decisions::idle_limit;
use crate::id;
use crate::transport::socket;

/// Connections that rest for one backend server, at most. It works on few requests at once, and
/// each connection counts against its limit.
const EACH: usize = 4;

#[derive(Debug)]
struct Idle {
    wire: socket::Wire,
    since: time::Instant,
    /// How long its backend server says that it keeps it.
    stated: Option<time::Duration>,
}

/// A connection that rested, to be used again.
#[derive(Debug)]
pub struct Rested {
    /// The connection.
    pub wire: socket::Wire,
    /// How long it rested.
    pub rested: time::Duration,
}

/// The resting connections by backend server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: collections::HashMap<id::VmId, Vec<Idle>>,
    /// How long they may rest.
    pub rest: idle_limit::IdleLimit,
}

impl Pool {
    /// A connection that has rested no longer than `limit`, the most recent first.
    pub fn take(&mut self, id: &id::VmId, limit: time::Duration) -> Option<Rested> {
        let idle = self.idle.get_mut(id)?;
        while let Some(mut last) = idle.pop() {
            let rested = last.since.elapsed();
            if rested < self.rest.limit(last.stated).min(limit) && last.wire.rests() {
                let wire = last.wire;
                return Some(Rested { wire, rested });
            }
        }
        None
    }

    /// Keeps a connection. `stated` is how long the backend server says that it keeps it.
    pub fn put(&mut self, id: &id::VmId, wire: socket::Wire, stated: Option<time::Duration>) {
        if self.rest.limit(stated).is_zero() {
            return;
        }
        let idle = self.idle.entry(id.clone()).or_default();
        if idle.len() >= EACH {
            idle.remove(0);
        }
        idle.push(Idle {
            wire,
            since: time::Instant::now(),
            stated,
        });
    }

    /// Closes what has rested too long.
    pub fn sweep(&mut self) {
        let rest = self.rest;
        self.idle.retain(|_, idle| {
            idle.retain(|one| one.since.elapsed() < rest.limit(one.stated));
            !idle.is_empty()
        });
    }

    /// Closes the connections to one backend server.
    pub fn drop_all(&mut self, id: &id::VmId) {
        self.idle.remove(id);
    }
}
