//! Connections to backend servers that rest between requests.

use std::collections;
use std::time;

use crate::id;
use crate::transport::socket;

/// How long a connection rests at most before it is used again. Backend servers close idle ones
/// after some seconds, and a request sent into that moment is lost. Those of the users do so after
/// ten; four leave room for some that do so sooner without a word.
const REST: time::Duration = time::Duration::from_secs(4);

/// Connections that rest for one backend server, at most. It works on few requests at once, and
/// each connection counts against its limit.
const EACH: usize = 4;

#[derive(Debug)]
struct Idle {
    wire: socket::Wire,
    since: time::Instant,
    rest: time::Duration,
}

/// The resting connections by backend server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: collections::HashMap<id::VmId, Vec<Idle>>,
}

impl Pool {
    /// A connection that has rested no longer than `limit`, the most recent first.
    pub fn take(&mut self, id: &id::VmId, limit: time::Duration) -> Option<socket::Wire> {
        let idle = self.idle.get_mut(id)?;
        while let Some(mut last) = idle.pop() {
            let rested = last.since.elapsed();
            if rested < last.rest.min(limit) && last.wire.rests() {
                return Some(last.wire);
            }
        }
        None
    }

    /// Keeps a connection. `stated` is how long the backend server says that it keeps it.
    pub fn put(&mut self, id: &id::VmId, wire: socket::Wire, stated: Option<time::Duration>) {
        /// How long before the stated end a connection is no longer used: the way there at most.
        const MARGIN: time::Duration = time::Duration::from_millis(500);
        let rest = stated.map_or(REST, |stated| REST.min(stated.saturating_sub(MARGIN)));
        if rest.is_zero() {
            return;
        }
        let idle = self.idle.entry(id.clone()).or_default();
        if idle.len() >= EACH {
            idle.remove(0);
        }
        idle.push(Idle {
            wire,
            since: time::Instant::now(),
            rest,
        });
    }

    /// Closes what has rested too long.
    pub fn sweep(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|one| one.since.elapsed() < one.rest);
            !idle.is_empty()
        });
    }

    /// Closes the connections to one backend server.
    pub fn drop_all(&mut self, id: &id::VmId) {
        self.idle.remove(id);
    }
}
