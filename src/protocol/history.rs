//! Past load and outcomes of an entry process, served to operators as JSON under `/history`.

use std::collections;

use crate::id;
use crate::state::totals;

/// Windows of a report whose query names none.
pub const DEFAULT_WINDOWS_S: [u64; 3] = [300, 3_600, 21_600];

/// Maximum number of windows in one query.
const MAX_WINDOWS: usize = 8;

/// Number of points in a plot.
pub const PLOT_POINT_COUNT: usize = 72;

data! {
    /// The answer to `/history`.
    #[derive(Default)]
    pub struct History {
        /// The VM.
        pub vm: String,
        /// Its availability zone.
        pub az: String,
        /// Uptime of the process, in seconds.
        pub uptime_s: u64,
        /// History of each service.
        pub services: collections::BTreeMap<id::ServiceId, Service>,
        /// Active drains and their progress on this VM.
        pub drains: Vec<Drain>,
    }

    /// History of a service on one VM.
    #[derive(Default)]
    pub struct Service {
        /// Slots of the backend servers in this availability zone that accept requests.
        pub slots: u64,
        /// Requests currently in flight or queued.
        pub in_hand: u64,
        /// Totals of the requested windows.
        pub windows: Vec<totals::Window>,
        /// Totals of consecutive intervals of equal length, oldest first.
        pub stretches: Vec<totals::Stretch>,
    }

    /// Progress of a drain on one VM.
    pub struct Drain {
        /// The region, availability zone or VM that is drained.
        pub target: String,
        /// Start of the drain, in seconds since the Unix epoch.
        pub start_s: u64,
        /// Time from the start of the drain to this VM's last request to the target, in seconds.
        /// Absent if it sent none.
        pub last_sent_s: Option<u64>,
        /// Time since then, in seconds.
        pub quiet_s: u64,
        /// Requests of this VM still in flight at the target.
        pub in_flight: u64,
    }
}

/// Parses the windows, in seconds, from a query such as `windows=300,3600`.
pub fn windows(query: &str) -> Vec<u64> {
    let requested = query
        .split('&')
        .find_map(|part| part.strip_prefix("windows="));
    let windows = requested
        .unwrap_or_default()
        .split(',')
        .filter_map(|s| s.parse().ok());
    let windows: Vec<u64> = windows.take(MAX_WINDOWS).collect();
    if windows.is_empty() {
        return DEFAULT_WINDOWS_S.to_vec();
    }
    windows
}
