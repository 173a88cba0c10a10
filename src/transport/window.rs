//! Tells a peer that is gone from one that lives and reads nothing.
//!
//! A peer that is gone leaves sent bytes unacknowledged, and a limit on their time ends the connection.
//! Linux counts in it the time in which the peer's window is closed, though the peer answers each probe.
//! So the limit is taken off while bytes wait for the window. The probes come at growing intervals, so
//! they don't show in time whether the peer still lives: [`Stall`] tells since when it should be checked
//! by other means.

use std::cell;
use std::future;
use std::io;
use std::rc;
use std::time;

use rustix::event;
use tokio::net::TcpStream;
use tokio::sync;

/// How long sent bytes may stay unacknowledged. Without this limit a connection to a machine that
/// lost power hangs for minutes, together with its request. Linux also ends a connection at the
/// first keepalive probe that is due after this time without an answer to the one before, so the
/// limit exceeds the time until the second probe: one lost packet must not end a connection on which
/// a caller waits for a long answer.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(2200);

/// The longest request that fits into the window of each peer, also of one that reads nothing.
pub(super) const MAX_SHORT_REQUEST_BYTES: usize = 4 << 10;

/// How often it is checked whether bytes wait for the peer's window: a few times before the limit on
/// unacknowledged bytes ends the connection.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Sets whether the time is limited for which sent bytes may stay unacknowledged.
pub(super) fn limit_unacknowledged(stream: &TcpStream, is_limited: bool) -> io::Result<()> {
    let timeout = is_limited.then_some(UNACKNOWLEDGED_TIMEOUT);
    socket2::SockRef::from(stream).set_tcp_user_timeout(timeout)
}

/// Since when a peer has taken nothing of what is to be sent.
#[derive(Debug, Default)]
struct State {
    since: cell::Cell<Option<time::Instant>>,
    begun: sync::Notify,
}

/// Follows whether a peer takes what is sent to it.
#[derive(Clone, Debug, Default)]
pub struct Stall(rc::Rc<State>);

impl Stall {
    /// Waits until the peer has taken nothing and given no sign of life for this long.
    pub async fn lasts(&self, period: time::Duration) {
        loop {
            let Some(since) = self.0.since.get() else {
                self.0.begun.notified().await;
                continue;
            };
            let due = since + period;
            if due <= time::Instant::now() {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
        }
    }

    /// Notes that the peer lives. It may still take nothing.
    pub fn note_life(&self) {
        if self.0.since.get().is_some() {
            self.0.since.set(Some(time::Instant::now()));
        }
    }

    fn set(&self, is_stalled: bool) {
        match (is_stalled, self.0.since.get()) {
            (true, None) => {
                self.0.since.set(Some(time::Instant::now()));
                self.0.begun.notify_waiters();
            }
            (true, Some(_)) => {}
            (false, _) => self.0.since.set(None),
        }
    }
}

/// The window of a connection's peer while a long request is sent.
#[derive(Debug, Default)]
pub(super) struct Window {
    pub(super) stall: Stall,
    /// When to check it next.
    check_at: Option<time::Instant>,
    /// Bytes that were written since all was sent last.
    unanswered_bytes: usize,
    /// Whether the limit on unacknowledged bytes is off.
    is_unlimited: bool,
}

impl Window {
    pub(super) fn new(stall: Stall) -> Self {
        Self {
            stall,
            ..Self::default()
        }
    }

    /// Adds bytes of requests whose lengths are not known. The window is followed from the first that
    /// may not fit into it.
    pub(super) fn add(&mut self, stream: &TcpStream, bytes: usize) {
        self.unanswered_bytes += bytes;
        if !self.is_followed() && self.unanswered_bytes > MAX_SHORT_REQUEST_BYTES {
            self.begin(stream, true);
        }
    }

    /// Begins to follow the window, or stops it if `is_long` is false.
    pub(super) fn begin(&mut self, stream: &TcpStream, is_long: bool) {
        self.stall.set(false);
        self.check_at = is_long.then(|| time::Instant::now() + CHECK_INTERVAL);
        if is_long {
            // The connection is writable only while all that was written is sent. This fails only for a
            // closed socket.
            let _ = socket2::SockRef::from(stream).set_tcp_notsent_lowat(1);
        }
        self.set_unlimited(stream, is_long);
    }

    fn set_unlimited(&mut self, stream: &TcpStream, is_unlimited: bool) {
        if std::mem::replace(&mut self.is_unlimited, is_unlimited) != is_unlimited {
            // This fails only for a closed socket.
            let _ = limit_unacknowledged(stream, !is_unlimited);
        }
    }

    /// Whether the window is followed.
    pub(super) fn is_followed(&self) -> bool {
        self.check_at.is_some()
    }

    /// Waits until the next check is due.
    pub(super) fn due(&self) -> impl Future<Output = ()> + use<> {
        let check_at = self.check_at;
        async move {
            match check_at {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => future::pending().await,
            }
        }
    }

    /// Checks whether bytes wait for the window. Stops following it once the whole request is sent.
    pub(super) fn check(&mut self, stream: &TcpStream, is_written: bool) {
        let is_stalled = has_unsent(stream);
        self.stall.set(is_stalled);
        self.set_unlimited(stream, is_stalled);
        let is_sent = is_written && !is_stalled;
        self.check_at = (!is_sent).then(|| time::Instant::now() + CHECK_INTERVAL);
        if is_sent {
            self.unanswered_bytes = 0;
        }
    }
}

/// Whether bytes that were written have not been sent for the first time.
fn has_unsent(stream: &TcpStream) -> bool {
    let mut polled = [event::PollFd::new(stream, event::PollFlags::OUT)];
    let no_wait = event::Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let ready = event::poll(&mut polled, Some(&no_wait));
    ready.is_ok() && polled[0].revents().is_empty()
}
