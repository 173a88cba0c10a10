//! The interface to the platform's store and its list of VMs.
//!
//! The store is the only place for consensus and durable data. Every call, even a waiting watch,
//! counts against the platform's rate limits. Any call can fail. A write whose reply was lost may
//! have taken effect; it returns [`Error::Unknown`], and the caller reads the key back.

use std::net;
use std::time;

use crate::id;

key! {
    /// A revision of the whole store. It grows with each write. 0: the key does not exist yet.
    pub struct Revision(pub u64);

    /// A lease granted by the store.
    pub struct LeaseId(pub u64);
}

data! {
    /// A value and the revision that wrote it.
    pub struct Entry {
        /// The key.
        pub key: String,
        /// The value, at most 1 MB.
        pub value: Vec<u8>,
        /// The revision that wrote it.
        pub revision: Revision,
    }

    /// Everything under a prefix at one revision.
    pub struct Snapshot {
        /// The revision of the whole store.
        pub revision: Revision,
        /// The entries in key order.
        pub entries: Vec<Entry>,
    }

    /// The result of a watch.
    pub enum Watch {
        /// The writes after the requested revision, oldest first; empty if the wait timed out. A
        /// deleted key has an empty value.
        Events {
            /// The revision to continue from.
            revision: Revision,
            /// The writes.
            entries: Vec<Entry>,
        },
        /// The store no longer has the history. Read the whole prefix again.
        Gap,
    }

    /// Whether a VM accepts new work.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// It accepts new work.
        Live,
        /// It is about to stop and gets no new work.
        Leaving,
    }

    /// The role of a VM.
    #[derive(Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum VmRole {
        /// It runs an entry process.
        Entry {
            /// The address on which it listens for peers.
            peers: net::SocketAddr,
        },
        /// It is a backend server of a service.
        Backend {
            /// The service.
            service: id::ServiceId,
        },
    }

    /// A row of the platform's list of VMs, which lags.
    #[derive(Eq, Hash)]
    pub struct Vm {
        /// Its name.
        pub id: id::VmId,
        /// Its availability zone.
        pub az: id::AzId,
        /// The address for callers or, for a backend server, for entry VMs.
        pub addr: net::SocketAddr,
        /// What it does.
        pub role: VmRole,
        /// Whether it accepts new work.
        pub state: VmState,
    }
}

/// A failed call to the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call did not take effect.
    #[error("the store did not take the call: {0}; nothing was changed, try again when it is back")]
    Unavailable(String),
    /// The call may or may not have taken effect.
    #[error("the store's reply was lost: {0}; read the key back to see whether it was written")]
    Unknown(String),
    /// The key was written by another client after the expected revision.
    #[error("`{key}` was changed by another client (now at revision {}); read it and retry", .now.0)]
    Conflict {
        /// The key.
        key: String,
        /// Its current revision.
        now: Revision,
    },
    /// The lease has expired or never existed.
    #[error("the lease has expired; take a new one before writing under it")]
    LeaseGone,
    /// The value exceeds the store's limit of 1 MB.
    #[error("the value has {0} bytes, more than the store's limit of 1 MB; split it")]
    TooLarge(usize),
}

/// The platform's store. An adapter for another protocol implements this trait in one file.
pub trait Store: Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads everything under a prefix.
    fn list(&self, prefix: &str) -> Result<Snapshot, Error>;

    /// Writes `value` if the key is still at revision `expect`. With a lease, the key is deleted
    /// when the lease ends. An empty value deletes the key.
    fn compare_and_swap(
        &self,
        key: &str,
        expect: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Revision, Error>;

    /// Waits, at most `wait`, for writes under a prefix after a revision.
    fn watch(&self, prefix: &str, after: Revision, wait: time::Duration) -> Result<Watch, Error>;

    /// Takes a lease that expires unless it is renewed within `ttl`.
    fn grant(&self, ttl: time::Duration) -> Result<LeaseId, Error>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> Result<(), Error>;

    /// Gives up a lease and deletes the keys written under it.
    fn revoke(&self, lease: LeaseId) -> Result<(), Error>;

    /// The platform's list of live and leaving VMs.
    fn vms(&self) -> Result<Vec<Vm>, Error>;
}

impl<S: Store> Store for std::sync::Arc<S> {
    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        (**self).get(key)
    }

    fn list(&self, prefix: &str) -> Result<Snapshot, Error> {
        (**self).list(prefix)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expect: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Revision, Error> {
        (**self).compare_and_swap(key, expect, value, lease)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: time::Duration) -> Result<Watch, Error> {
        (**self).watch(prefix, after, wait)
    }

    fn grant(&self, ttl: time::Duration) -> Result<LeaseId, Error> {
        (**self).grant(ttl)
    }

    fn renew(&self, lease: LeaseId) -> Result<(), Error> {
        (**self).renew(lease)
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        (**self).revoke(lease)
    }

    fn vms(&self) -> Result<Vec<Vm>, Error> {
        (**self).vms()
    }
}
