//! Counts the sockets of this process by use.
//!
//! File descriptors are a resource of the process, so there is one count for all its parts. The
//! system's own list (`/proc/self/fd`) cannot be read everywhere, and not in constant time.

use std::sync::atomic;

/// What a socket is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A caller's connection.
    Callers,
    /// A caller's connection that is refused.
    Refused,
    /// A connection for look-ups, readiness or metrics.
    Operators,
    /// A connection to a backend server.
    Backends,
    /// A link to another entry VM.
    Peers,
    /// A connection to the store.
    Store,
}

/// All uses, in the order of the enum.
pub const USES: [Use; 6] = [
    Use::Callers,
    Use::Refused,
    Use::Operators,
    Use::Backends,
    Use::Peers,
    Use::Store,
];

static OPEN: [atomic::AtomicUsize; USES.len()] =
    [const { atomic::AtomicUsize::new(0) }; USES.len()];

impl Use {
    /// The use as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Refused => "refused",
            Self::Operators => "operators",
            Self::Backends => "backends",
            Self::Peers => "peers",
            Self::Store => "store",
        }
    }

    /// The number of open sockets for this use.
    pub fn open(self) -> usize {
        OPEN[self as usize].load(atomic::Ordering::Relaxed)
    }
}

/// The number of open sockets.
pub fn total() -> usize {
    USES.iter().map(|used| used.open()).sum()
}

/// Counts a socket until it is dropped.
#[derive(Debug)]
pub struct Held(Use);

impl Held {
    /// Counts a socket.
    pub fn new(used: Use) -> Self {
        OPEN[used as usize].fetch_add(1, atomic::Ordering::Relaxed);
        Self(used)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        OPEN[self.0 as usize].fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
