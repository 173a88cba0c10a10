//! What an entry process tells operators of itself, as JSON on its operators' listener.

use std::collections;

use crate::id;

data! {
    /// The answer to `/status`.
    #[derive(Default)]
    pub struct Status {
        /// The VM.
        pub vm: String,
        /// Its availability zone.
        pub az: String,
        /// This start of the process.
        pub incarnation: u64,
        /// How long it has run, in seconds.
        pub uptime_s: u64,
        /// Why callers should not come here; empty when it is ready.
        pub not_ready: Vec<String>,
        /// Each team's settings in force here, by version.
        pub settings: collections::BTreeMap<id::TeamId, u64>,
        /// Whether the last call to the platform's store was answered.
        pub store_up: bool,
        /// Entry VMs that this one hears from.
        pub peers: u64,
        /// Each service.
        pub services: collections::BTreeMap<id::ServiceId, Service>,
        /// Places that are being emptied.
        pub drains: Vec<Drain>,
    }

    /// A service as this VM sees it.
    #[derive(Copy, Default)]
    pub struct Service {
        /// Slots of the backend servers that take work in this availability zone.
        pub slots: u64,
        /// Requests that they work on for this VM.
        pub in_flight: u64,
        /// Requests that wait on this VM.
        pub queued: u64,
    }

    /// A place that is being emptied.
    pub struct Drain {
        /// The place.
        pub target: String,
        /// When it began, in seconds since 1970.
        pub start_s: u64,
        /// The share of this VM's own traffic that still goes there.
        pub remaining: f64,
    }
}
