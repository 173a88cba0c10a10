//! Decides when a planned stop ends requests that still run.
//!
//! Load pattern: a VM stops as planned while some requests take longer than its grace period, and callers
//! that pipeline requests wait for answers behind them. Whatever is unfinished when the process ends gets no
//! answer at all. The symptoms are callers that lose answers which were ready for seconds, because one
//! request before them on their connection still ran.
//!
//! Until the last sixth of the grace period nothing is ended. Then a request ends that holds up answers
//! which are ready, so that there is time to write them. All others run on until there is just time left
//! to answer their callers that the outcome is unknown.

use std::time;

/// Part of the grace period, at its end, in which a request that holds up others may be ended.
const LAST_PART: u32 = 6;

/// Time from the start of that part until requests are ended, so that a backend server in another region
/// is at work in it.
const LAST_PART_DELAY: time::Duration = time::Duration::from_millis(50);

/// Time between the end of the process and that of the grace period. A VM with little processor time needs
/// some of it to end.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Time to write the answers of requests that are ended before the process ends.
const WRITE_TIME: time::Duration = time::Duration::from_millis(150);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop has begun.
    #[default]
    Serving,
    /// Connections are closed once their requests are answered.
    Stopping,
    /// Requests are ended that hold up answers which are ready.
    Yielding,
    /// All requests are ended.
    Ending,
}

impl Phase {
    /// Whether a planned stop has begun.
    pub fn is_stopping(self) -> bool {
        self >= Self::Stopping
    }

    /// The phase as a log message.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Stopping => "planned stop",
            Self::Yielding => "planned stop ends requests before ready answers",
            Self::Ending => "planned stop ends all requests",
        }
    }

    /// Whether a request that still runs is ended; `holds_up` says whether an answer behind it is ready.
    pub fn ends_request(self, holds_up: bool) -> bool {
        match self {
            Self::Serving | Self::Stopping => false,
            Self::Yielding => holds_up,
            Self::Ending => true,
        }
    }
}

/// The course of a planned stop, as times since its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Start of [`Phase::Yielding`].
    pub yield_at: time::Duration,
    /// Start of [`Phase::Ending`].
    pub end_at: time::Duration,
    /// End of the process.
    pub exit_at: time::Duration,
}

impl Schedule {
    /// The schedule of a stop that may take this long.
    pub fn new(grace: time::Duration) -> Self {
        let exit_at = grace.saturating_sub(EXIT_MARGIN);
        let end_at = exit_at.saturating_sub(WRITE_TIME);
        let last_part = grace - grace / LAST_PART;
        Self {
            yield_at: (last_part + LAST_PART_DELAY).min(end_at),
            end_at,
            exit_at,
        }
    }
}
