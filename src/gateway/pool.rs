//! Pool of idle connections to backend servers, limited in number and idle time.

use std::collections;
use std::time;

use super::connecting::{Connection, Via};
use crate::decisions::idle_limit;
use crate::id;

/// Idle connections per backend server. It works on few requests at once, and each connection
/// counts against its connection limit.
const MAX_IDLE_PER_BACKEND: usize = 4;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: time::Instant,
    /// The keep-alive timeout that the backend server stated.
    stated: Option<time::Duration>,
}

/// An idle connection taken from the pool for reuse.
#[derive(Debug)]
pub struct IdleConnection {
    /// The connection.
    pub connection: Connection,
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
    /// Takes the most recently used connection that was idle for less than `limit`. One through
    /// another VM is taken only if `is_allowed` for the region of that VM.
    pub fn take(
        &mut self,
        id: &id::VmId,
        limit: time::Duration,
        is_allowed: impl Fn(Option<&id::RegionId>) -> bool,
    ) -> Option<IdleConnection> {
        let idle = self.idle.get_mut(id)?;
        let is_usable = |via: Option<&Via>| via.is_none_or(|via| is_allowed(via.region.as_ref()));
        while let Some(at) = idle
            .iter()
            .rposition(|one| is_usable(one.connection.via.as_ref()))
        {
            let mut last = idle.remove(at);
            let idle_for = last.since.elapsed();
            let is_fresh = idle_for < self.idle_limit.limit(last.stated).min(limit);
            if is_fresh && last.connection.wire.is_idle() {
                let connection = last.connection;
                return Some(IdleConnection {
                    connection,
                    idle_for,
                });
            }
        }
        None
    }

    /// Adds an idle connection. `stated` is the keep-alive timeout that the backend server stated.
    pub fn put(&mut self, id: &id::VmId, connection: Connection, stated: Option<time::Duration>) {
        if self.idle_limit.limit(stated).is_zero() {
            return;
        }
        let idle = self.idle.entry(id.clone()).or_default();
        if idle.len() >= MAX_IDLE_PER_BACKEND {
            idle.remove(0);
        }
        idle.push(Idle {
            connection,
            since: time::Instant::now(),
            stated,
        });
    }

    /// Closes idle connections through other VMs.
    pub fn drop_relayed(&mut self) {
        self.retain(|one| one.connection.via.is_none());
    }

    /// Closes idle connections through one VM.
    pub fn drop_through(&mut self, vm: &id::VmId) {
        self.retain(|one| one.connection.via.as_ref().is_none_or(|via| via.vm != *vm));
    }

    /// Closes direct connections that were last used before `proven_since`.
    pub fn drop_direct_idle_before(&mut self, proven_since: time::Instant) {
        self.retain(|one| one.connection.via.is_some() || one.since >= proven_since);
    }

    fn retain(&mut self, keep: impl Fn(&Idle) -> bool) {
        self.idle.retain(|_, idle| {
            idle.retain(&keep);
            !idle.is_empty()
        });
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&mut self) {
        let idle_limit = self.idle_limit;
        self.retain(|one| one.since.elapsed() < idle_limit.limit(one.stated));
    }

    /// Closes all idle connections to one backend server.
    pub fn drop_all(&mut self, id: &id::VmId) {
        self.idle.remove(id);
    }
}
