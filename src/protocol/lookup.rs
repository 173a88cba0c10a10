//! The answer to `GET /lookup/<service>`: the entry VMs to use, and a ticket.
//!
//! Callers cache it for `ttl_ms`, and longer if they cannot repeat the look-up. An entry VM that
//! stops keeps answering until the look-ups that list it have expired, so cached answers stay usable.

use std::net;

use crate::id;

data! {
    /// An entry VM that accepts requests.
    #[derive(Eq)]
    pub struct EntryVm {
        /// Its name.
        pub vm: id::VmId,
        /// Its availability zone.
        pub az: id::AzId,
        /// Address at which it accepts requests.
        pub addr: net::SocketAddr,
    }

    /// The answer to a look-up.
    #[derive(Eq)]
    pub struct Lookup {
        /// The requested service.
        pub service: id::ServiceId,
        /// How long callers may cache the answer, in milliseconds.
        pub ttl_ms: u64,
        /// Prefix of the keys of non-idempotent requests. Absent if the VM is stopping; callers then
        /// repeat the look-up at one of `entries`.
        pub ticket: Option<String>,
        /// How long the ticket may be used for new keys, in milliseconds.
        pub ticket_ttl_ms: u64,
        /// The entry VMs to use, in order of preference.
        pub entries: Vec<EntryVm>,
    }
}
