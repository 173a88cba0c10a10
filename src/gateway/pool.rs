//! Pool of idle connections to backend servers, limited in number and idle time.

use std::collections;
use std::time;

use crate::decisions::idle_limit;
use crate::id;
use crate::transport::socket;

/// Idle connections per backend server. It works on few requests at once, and each connection
/// counts against its connection limit.
const MAX_IDLE_PER_BACKEND: usize = 4;

#[derive(Debug)]
struct Idle {
    wire: socket::Wire,
    since: time::Instant,
    /// The keep-alive timeout that the backend server stated.
    stated: Option<time::Duration>,
}

/// An idle connection taken from the pool for reuse.
#[derive(Debug)]
pub struct IdleConnection {
    /// The connection.
    pub wire: socket::Wire,
    /// How long it was idle.
    pub idle_for: time::Duration,
}

/// The idle connections by backend server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: collections::HashMap<id::VmId, Vec<Idle>>,
    /// Limits how long connections may stay idle.
    pub idle_limit: idle_limit::IdleLimit,
}

impl Pool {
    /// Takes the most recently used connection that was idle for less than `limit`.
    pub fn take(&mut self, id: &id::VmId, limit: time::Duration) -> Option<IdleConnection> {
        let idle = self.idle.get_mut(id)?;
        while let Some(mut last) = idle.pop() {
            let idle_for = last.since.elapsed();
            if idle_for < self.idle_limit.limit(last.stated).min(limit) && last.wire.is_idle() {
                let wire = last.wire;
                return Some(IdleConnection { wire, idle_for });
            }
        }
        None
    }

    /// Adds an idle connection. `stated` is the keep-alive timeout that the backend server stated.
    pub fn put(&mut self, id: &id::VmId, wire: socket::Wire, stated: Option<time::Duration>) {
        if self.idle_limit.limit(stated).is_zero() {
            return;
        }
        let idle = self.idle.entry(id.clone()).or_default();
        if idle.len() >= MAX_IDLE_PER_BACKEND {
            idle.remove(0);
        }
        idle.push(Idle {
            wire,
            since: time::Instant::now(),
            stated,
        });
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&mut self) {
        let idle_limit = self.idle_limit;
        self.idle.retain(|_, idle| {
            idle.retain(|one| one.since.elapsed() < idle_limit.limit(one.stated));
            !idle.is_empty()
        });
    }

    /// Closes all idle connections to one backend server.
    pub fn drop_all(&mut self, id: &id::VmId) {
        self.idle.remove(id);
    }
}
