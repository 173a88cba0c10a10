//! The answer to `GET /lookup/<service>`: which entry VMs to use, and a ticket.
//!
//! Callers cache it for `ttl_ms`, and longer where they cannot ask again. It stays useful when it
//! is stale, since each entry VM named in it goes on answering until the time has passed.

use std::net;

use crate::id;

data! {
    /// An entry VM that takes requests.
    #[derive(Eq)]
    pub struct EntryVm {
        /// Its name.
        pub vm: id::VmId,
        /// Its availability zone.
        pub az: id::AzId,
        /// Where it takes requests.
        pub addr: net::SocketAddr,
    }

    /// The answer to a look-up.
    #[derive(Eq)]
    pub struct Lookup {
        /// The service asked for.
        pub service: id::ServiceId,
        /// How long this may be kept, in milliseconds.
        pub ttl_ms: u64,
        /// The prefix of keys for non-idempotent requests. Absent where the VM is stopping: ask one of
        /// `entries` then.
        pub ticket: Option<String>,
        /// How long new keys may begin with the ticket, in milliseconds.
        pub ticket_ttl_ms: u64,
        /// The entry VMs to use, best first.
        pub entries: Vec<EntryVm>,
    }
}
