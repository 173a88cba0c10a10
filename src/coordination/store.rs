//! The platform's store and list of VMs, as a small trait.
//!
//! The store is the only place where something is agreed or lasts. Every call counts against the
//! platform's rates, a waiting watch too. Each call can fail, and a write whose reply was lost may
//! have taken effect: [`Error::Unknown`] says so, and the caller reads back to find out.

use std::net;
use std::time;

use crate::id;

key! {
    /// A revision of the whole store. It grows with each write. 0: the key does not exist yet.
    pub struct Revision(pub u64);

    /// A lease that the store granted.
    pub struct LeaseId(pub u64);
}

data! {
    /// One value and the revision that wrote it.
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
        /// The revision of the whole store that this shows.
        pub revision: Revision,
        /// The entries, in the order of their keys.
        pub entries: Vec<Entry>,
    }

    /// What a watch brought.
    pub enum Watch {
        /// The writes after the revision asked for, oldest first; none when the wait ran out. A
        /// deleted key comes with an empty value.
        Events {
            /// The revision to go on from.
            revision: Revision,
            /// The writes.
            entries: Vec<Entry>,
        },
        /// The store no longer has the history: read the whole prefix again.
        Gap,
    }

    /// Whether a VM takes work.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// It works.
        Live,
        /// It is about to go; it gets no new work.
        Leaving,
    }

    /// What a VM does.
    #[derive(Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum VmRole {
        /// It runs an entry process.
        Entry {
            /// Where other entry VMs connect.
            peers: net::SocketAddr,
        },
        /// It is a backend server of a service.
        Backend {
            /// The service.
            service: id::ServiceId,
        },
    }

    /// One row of the platform's list of VMs, which lags.
    #[derive(Eq, Hash)]
    pub struct Vm {
        /// Its name.
        pub id: id::VmId,
        /// Its availability zone.
        pub az: id::AzId,
        /// Where callers, or entry VMs for a backend server, connect.
        pub addr: net::SocketAddr,
        /// What it does.
        pub role: VmRole,
        /// Whether it takes work.
        pub state: VmState,
    }
}

/// A call to the store that did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call did not take effect.
    #[error("the store did not take the call: {0}; nothing was changed, try again when it is back")]
    Unavailable(String),
    /// The call may or may not have taken effect.
    #[error("the store's reply was lost: {0}; read the key back to see whether it was written")]
    Unknown(String),
    /// The key was written by somebody else since the revision that the call expected.
    #[error("`{key}` was changed meanwhile (now at revision {})", .now.0)]
    Conflict {
        /// The key.
        key: String,
        /// Its revision now.
        now: Revision,
    },
    /// The lease has lapsed or never was.
    #[error("the lease is gone; take a new one before writing under it")]
    LeaseGone,
    /// The value is larger than the store holds.
    #[error("the value is {0} bytes and the store holds 1 MB; split it")]
    TooLarge(usize),
}

/// The platform's store. An adapter for another wire is one file that implements this.
pub trait Store: Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads everything under a prefix.
    fn list(&self, prefix: &str) -> Result<Snapshot, Error>;

    /// Writes `value` if the key is still at revision `expect`. With a lease the key goes away
    /// when the lease does. An empty value deletes the key.
    fn compare_and_swap(
        &self,
        key: &str,
        expect: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Revision, Error>;

    /// Waits, at most `wait`, for writes under a prefix after a revision.
    fn watch(&self, prefix: &str, after: Revision, wait: time::Duration) -> Result<Watch, Error>;

    /// Takes a lease that lapses unless renewed within `ttl`.
    fn grant(&self, ttl: time::Duration) -> Result<LeaseId, Error>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> Result<(), Error>;

    /// Gives a lease up, and the keys written under it.
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
