//! The account of the memory that callers can make this process hold.
//!
//! Each [`Owner`] is a place where such memory accumulates. A [`Charge`] counts bytes of one owner until it
//! is dropped, so that each path on which a request or a connection ends releases them. Tasks for callers
//! are started with [`Account::spawn`], which counts the task itself.

use std::mem;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync;
use tokio::task;

use crate::decisions::memory;

/// What the runtime allocates for a task, and the state that a task shares with others.
const TASK_BYTES: usize = 1 << 10;

/// Shorter bodies and pieces are not charged one by one; they are part of their request's charge.
pub const MIN_GUARDED_BYTES: usize = 2 << 10;

variants! {
    /// Where memory accumulates.
    pub enum Owner {
        /// Tasks of connections.
        Connections,
        /// What was read and is not part of a running request: heads, bodies, what is read ahead.
        Received,
        /// Bytes that the system holds for connections that are not read.
        Unread,
        /// Tasks of requests that run, with their heads and bodies.
        Requests,
        /// Pieces of bodies on their way to backend servers.
        Uploads,
        /// Answers that callers have not read.
        Answers,
        /// Connections carried for other VMs.
        Tunnels,
        /// Messages to other VMs.
        Links,
    }
}

impl Owner {
    /// The owner as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Received => "received",
            Self::Unread => "unread",
            Self::Requests => "requests",
            Self::Uploads => "uploads",
            Self::Answers => "answers",
            Self::Tunnels => "tunnels",
            Self::Links => "links",
        }
    }
}

#[derive(Debug)]
struct Inner {
    limits: memory::Limits,
    total: AtomicUsize,
    used: [AtomicUsize; Owner::ALL.len()],
    short: sync::Notify,
}

/// The memory in use, by owner. Clones are the same account.
#[derive(Clone, Debug)]
pub struct Account(Arc<Inner>);

impl Default for Account {
    /// An account without limits.
    fn default() -> Self {
        Self::new(memory::Limits::NONE)
    }
}

impl Account {
    /// An account with these limits, of which nothing is in use.
    pub fn new(limits: memory::Limits) -> Self {
        Self(Arc::new(Inner {
            limits,
            total: AtomicUsize::new(0),
            used: [const { AtomicUsize::new(0) }; Owner::ALL.len()],
            short: sync::Notify::new(),
        }))
    }

    /// The bytes in use.
    pub fn total(&self) -> usize {
        self.0.total.load(Ordering::Relaxed)
    }

    /// The bytes that one owner has.
    pub fn used(&self, owner: Owner) -> usize {
        self.0.used[owner as usize].load(Ordering::Relaxed)
    }

    /// Whether long bodies and answers get no more memory.
    pub fn is_short(&self) -> bool {
        self.0.limits.is_short(self.total())
    }

    /// Bytes to be released by disconnecting callers.
    pub fn excess(&self) -> usize {
        self.0.limits.excess(self.total())
    }

    /// Waits until memory is short.
    pub async fn wait_short(&self) {
        while !self.is_short() {
            self.0.short.notified().await;
        }
    }

    /// An empty charge.
    pub fn charge(&self, owner: Owner) -> Charge {
        Charge {
            account: self.clone(),
            owner,
            bytes: 0,
        }
    }

    /// A charge of this many bytes, if the limits admit it.
    pub fn try_charge(&self, owner: Owner, bytes: usize) -> Option<Charge> {
        let mut charge = self.charge(owner);
        charge.try_grow_to(bytes).then_some(charge)
    }

    /// Whether a connection or a request of this size may begin.
    pub fn admits(&self, bytes: usize) -> bool {
        self.0.limits.admits(self.total(), 0, bytes)
    }

    /// Bytes that are charged until the last reference to them is dropped. They are charged even if they
    /// exceed the limits: they exist already.
    pub fn guard(&self, owner: Owner, bytes: Bytes) -> Bytes {
        let mut charge = self.charge(owner);
        charge.set(bytes.len());
        charge.guard(bytes)
    }

    /// Runs a task for a caller on the current thread, and charges it.
    pub fn spawn<F>(&self, owner: Owner, task: F) -> task::JoinHandle<F::Output>
    where
        F: Future + 'static,
    {
        let mut charge = self.charge(owner);
        charge.set(mem::size_of_val(&task) + TASK_BYTES);
        task::spawn_local(async move {
            let _charge = charge;
            task.await
        })
    }
}

/// Bytes of one owner, released on drop.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    owner: Owner,
    bytes: usize,
}

impl Charge {
    /// The bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the bytes that are in use already.
    pub fn set(&mut self, bytes: usize) {
        let inner = &*self.account.0;
        let used = &inner.used[self.owner as usize];
        if bytes <= self.bytes {
            let less = self.bytes - bytes;
            used.fetch_sub(less, Ordering::Relaxed);
            inner.total.fetch_sub(less, Ordering::Relaxed);
        } else {
            let more = bytes - self.bytes;
            used.fetch_add(more, Ordering::Relaxed);
            let total = inner.total.fetch_add(more, Ordering::Relaxed) + more;
            if inner.limits.is_short(total) {
                inner.short.notify_one();
            }
        }
        self.bytes = bytes;
    }

    /// Grows to this many bytes. Returns false, and changes nothing, if the limits do not admit it.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let account = &self.account;
        if more > 0 && !account.0.limits.admits(account.total(), self.bytes, more) {
            account.0.short.notify_one();
            return false;
        }
        self.set(bytes.max(self.bytes));
        true
    }

    /// Keeps the charge until the last reference to these bytes is dropped.
    pub fn guard(self, bytes: Bytes) -> Bytes {
        if bytes.len() < MIN_GUARDED_BYTES {
            return bytes;
        }
        Bytes::from_owner(Guarded {
            bytes,
            _charge: self,
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

struct Guarded {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Guarded {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
