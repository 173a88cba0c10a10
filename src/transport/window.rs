//! Distinguishes an unreachable peer from one that is alive and does not read.
//!
//! An unreachable peer does not acknowledge bytes, and `TCP_USER_TIMEOUT` closes the connection. Linux also
//! applies that timeout while the peer's receive window is closed, although the peer answers the window
//! probes. Therefore the timeout is disabled while unsent bytes wait for the window. The interval between
//! probes doubles, which delays the detection of a failure; [`Stall`] reports how long the peer has read
//! nothing, so that it can be checked over another connection.

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

/// The longest request that fits into the smallest usual receive window.
pub(super) const MAX_SHORT_REQUEST_BYTES: usize = 4 << 10;

/// How often the window is checked: several times within [`UNACKNOWLEDGED_TIMEOUT`].
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Enables or disables [`UNACKNOWLEDGED_TIMEOUT`].
pub(super) fn limit_unacknowledged(stream: &TcpStream, is_limited: bool) -> io::Result<()> {
    let timeout = is_limited.then_some(UNACKNOWLEDGED_TIMEOUT);
    socket2::SockRef::from(stream).set_tcp_user_timeout(timeout)
}

/// When the peer's window closed, or the peer last showed activity since.
#[derive(Debug, Default)]
struct State {
    since: cell::Cell<Option<time::Instant>>,
    begun: sync::Notify,
}

/// Reports how long a peer has not read.
#[derive(Clone, Debug, Default)]
pub struct Stall(rc::Rc<State>);

impl Stall {
    /// Waits until the peer has neither read nor shown activity for this long.
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

    /// Records that the peer is alive. It may still not read.
    pub fn record_activity(&self) {
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
    /// Bytes written since the send queue was last empty.
    unanswered_bytes: usize,
    /// Whether [`UNACKNOWLEDGED_TIMEOUT`] is disabled.
    is_unlimited: bool,
}

impl Window {
    pub(super) fn new(stall: Stall) -> Self {
        Self {
            stall,
            ..Self::default()
        }
    }

    /// Counts bytes of requests of unknown length, and starts monitoring once they may exceed the window.
    pub(super) fn add(&mut self, stream: &TcpStream, bytes: usize) {
        self.unanswered_bytes += bytes;
        if !self.is_monitored() && self.unanswered_bytes > MAX_SHORT_REQUEST_BYTES {
            self.begin(stream, true);
        }
    }

    /// Starts monitoring for a long request, and stops it for a short one.
    pub(super) fn begin(&mut self, stream: &TcpStream, is_long: bool) {
        self.stall.set(false);
        self.check_at = is_long.then(|| time::Instant::now() + CHECK_INTERVAL);
        if is_long {
            // The socket is writable only while its queue of unsent bytes is empty. This fails only for a
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

    /// Whether the window is monitored.
    pub(super) fn is_monitored(&self) -> bool {
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

    /// Checks for bytes that wait for the window. Stops monitoring once the whole request is sent.
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

/// Whether the send queue contains bytes that were never transmitted.
fn has_unsent(stream: &TcpStream) -> bool {
    let mut polled = [event::PollFd::new(stream, event::PollFlags::OUT)];
    let no_wait = event::Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let ready = event::poll(&mut polled, Some(&no_wait));
    ready.is_ok() && polled[0].revents().is_empty()
}
