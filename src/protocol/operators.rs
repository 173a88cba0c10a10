//! Status of an entry process, served as JSON on its operators' listener.

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
        /// Incarnation of the process.
        pub incarnation: u64,
        /// Uptime of the process, in seconds.
        pub uptime_s: u64,
        /// Reasons why callers should not use this VM; empty if it is ready.
        pub not_ready: Vec<String>,
        /// Version of each team's settings that is in force on this VM.
        pub settings: collections::BTreeMap<id::TeamId, u64>,
        /// Whether the last call to the platform's store was answered.
        pub store_up: bool,
        /// Number of entry VMs from which this one receives messages.
        pub peers: u64,
        /// State of each service.
        pub services: collections::BTreeMap<id::ServiceId, Service>,
        /// Active drains.
        pub drains: Vec<Drain>,
    }

    /// State of a service on this VM.
    #[derive(Copy, Default)]
    pub struct Service {
        /// Slots of the backend servers in this availability zone that accept requests.
        pub slots: u64,
        /// Requests of this VM in flight at these backend servers.
        pub in_flight: u64,
        /// Requests queued on this VM.
        pub queued: u64,
    }

    /// An active drain.
    pub struct Drain {
        /// The region, availability zone or VM that is drained.
        pub target: String,
        /// Start of the drain, in seconds since the Unix epoch.
        pub start_s: u64,
        /// Share of this VM's traffic that is still sent to the target.
        pub remaining: f64,
    }
}
