//! What an entry process tells of the past, as JSON under `/history` on its operators' listener.

use std::collections;

use crate::id;
use crate::state::totals;

/// The windows that a report asks for where it does not say, in seconds.
pub const WINDOWS_S: [u64; 3] = [300, 3_600, 21_600];

/// The most windows that one question may have.
const MOST_WINDOWS: usize = 8;

/// Points of a plot.
pub const STRETCHES: usize = 72;

data! {
    /// The answer to `/history`.
    #[derive(Default)]
    pub struct History {
        /// The VM.
        pub vm: String,
        /// Its availability zone.
        pub az: String,
        /// How long the process has run, in seconds.
        pub uptime_s: u64,
        /// Each service.
        pub services: collections::BTreeMap<id::ServiceId, Service>,
        /// Drains in force, and how they go here.
        pub drains: Vec<Drain>,
    }

    /// A service's past on one VM.
    #[derive(Default)]
    pub struct Service {
        /// Slots of the backend servers that take work in this availability zone.
        pub slots: u64,
        /// Requests in flight and waiting now.
        pub in_hand: u64,
        /// The windows that were asked for.
        pub windows: Vec<totals::Window>,
        /// The past in equal parts, oldest first.
        pub stretches: Vec<totals::Stretch>,
    }

    /// How a drain goes on one VM.
    pub struct Drain {
        /// The place.
        pub target: String,
        /// When it began, in seconds since 1970.
        pub start_s: u64,
        /// When this VM last sent a request there after the start, in seconds since the start.
        /// Absent: it sent none.
        pub last_sent_s: Option<u64>,
        /// How long ago that was, in seconds.
        pub quiet_s: u64,
        /// Requests of this VM that the place still works on.
        pub in_flight: u64,
    }
}

/// The windows that a query such as `windows=300,3600` asks for.
pub fn windows(query: &str) -> Vec<u64> {
    let asked = query
        .split('&')
        .find_map(|part| part.strip_prefix("windows="));
    let windows = asked
        .unwrap_or_default()
        .split(',')
        .filter_map(|s| s.parse().ok());
    let windows: Vec<u64> = windows.take(MOST_WINDOWS).collect();
    if windows.is_empty() {
        return WINDOWS_S.to_vec();
    }
    windows
}
