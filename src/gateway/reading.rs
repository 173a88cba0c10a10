//! Measures how late this VM reads callers' requests, and refuses those that it has read too late.

use std::cell;
use std::io;
use std::rc;
use std::time;

use metrics::{counter, gauge, histogram};
use tokio::sync;

use super::{Gateway, facts, waiting};
use crate::decisions::{descriptors, memory, policy, read_lag, retry_delay};
use crate::metrics as metric_names;
use crate::protocol::http1;
use crate::transport::{callers, descriptors as sockets, idle};

/// Delay for callers whose requests were read too late. Their connection is closed, and another VM
/// may have read them in time.
const LATE_RETRY_DELAY: time::Duration = time::Duration::from_millis(80);

/// Memory that a new connection needs at least.
const MIN_CONNECTION_BYTES: usize = 16 << 10;

/// Pause before a call is tried again that failed for want of file descriptors.
pub(super) const SHORTAGE_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// What this VM knows of its delays.
#[derive(Debug, Default)]
pub(super) struct Reading {
    loop_lag: cell::Cell<read_lag::LoopLag>,
    shortage: cell::Cell<read_lag::Shortage>,
    /// Callers' connections.
    connections: idle::Connections,
    /// Connections for look-ups, readiness and metrics.
    operators: idle::Connections,
    /// Callers' connections that are refused.
    refused: idle::Connections,
    /// Notified when one of them has ended.
    refusal_ended: sync::Notify,
    gate: cell::Cell<descriptors::Gate>,
}

impl Reading {
    pub(super) fn new(cfg: &super::Config) -> Self {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
        let limits = (cfg.thresholds.descriptors).limits(cfg.max_descriptors, limit.current);
        Self {
            gate: cell::Cell::new(descriptors::Gate::new(limits)),
            ..Self::default()
        }
    }

    pub(super) fn connections(&self) -> &idle::Connections {
        &self.connections
    }

    pub(super) fn operators(&self) -> &idle::Connections {
        &self.operators
    }
}

/// Whether a call failed because the process or the system has no free file descriptors.
pub(super) fn is_shortage(err: &io::Error) -> bool {
    let no_descriptors = [rustix::io::Errno::MFILE, rustix::io::Errno::NFILE];
    let code = err.raw_os_error();
    no_descriptors
        .iter()
        .any(|errno| code == Some(errno.raw_os_error()))
}

fn open_sockets() -> descriptors::Open {
    descriptors::Open {
        total: sockets::total(),
        refused: sockets::Use::Refused.open(),
    }
}

/// A connection that may be closed for another one.
#[derive(Clone, Debug)]
enum Closable {
    /// It is between two requests.
    Idle(rc::Rc<idle::Slot>),
    /// Its caller makes no progress.
    Slow(rc::Rc<idle::Slot>),
}

/// The connections that may be closed for others, with how long they have been unused.
fn closable(connections: &idle::Connections) -> Vec<(time::Duration, Closable)> {
    let now = time::Instant::now();
    let idle = connections.idle(now).into_iter();
    let idle = idle.map(|(span, slot)| (span, Closable::Idle(slot)));
    let slow = connections.slow(now).into_iter();
    let slow = slow.filter(|one| one.slow_for >= memory::MIN_SLOW);
    idle.chain(slow.map(|one| (one.slow_for, Closable::Slow(one.connection))))
        .collect()
}

/// Closes connections for others. Returns their number.
fn close_unused(unused: impl IntoIterator<Item = Closable>) -> u64 {
    let mut closed = 0;
    for connection in unused {
        match connection {
            Closable::Idle(slot) => {
                slot.close();
                counter!(metric_names::IDLE_CLOSED).increment(1);
            }
            Closable::Slow(slot) => slot.shed(),
        }
        closed += 1;
    }
    closed
}

impl Gateway {
    /// Measures the lag of the event loop until the process ends.
    pub async fn measure_lag(self) {
        /// Passes of the event loop until all is read that had arrived before the timer fired: one
        /// to accept connections, one to register them, and one to read from them.
        const PASSES: usize = 3;
        loop {
            let due = self.update_lag(|lag, now| lag.set_timer(now));
            tokio::time::sleep_until(self.instant(due)).await;
            let late = self.update_lag(read_lag::LoopLag::record_timer);
            if late.is_zero() {
                continue;
            }
            histogram!(metric_names::LOOP_LAG).record(late.as_secs_f64());
            if let Some(left_out) = self.log_limiter.admit("lag", self.now()) {
                slog::debug!(self.log, "event loop late"; "late_ms" => late.as_millis() as u64, "left_out" => left_out);
            }
            for _ in 0..PASSES {
                tokio::task::yield_now().await;
            }
            self.update_lag(|lag, _| lag.clear());
        }
    }

    fn update_lag<T>(&self, f: impl FnOnce(&mut read_lag::LoopLag, policy::Moment) -> T) -> T {
        let mut lag = self.reading.loop_lag.get();
        let result = f(&mut lag, self.now());
        self.reading.loop_lag.set(lag);
        result
    }

    /// How late something is that is read at this instant.
    pub(super) fn loop_lag(&self, at: time::Instant) -> time::Duration {
        self.reading.loop_lag.get().at(self.moment(at))
    }

    /// Whether callers have no file descriptors left, or had none a moment ago.
    pub(super) fn is_short_of_descriptors(&self) -> bool {
        let is_exhausted = self.reading.gate.get().is_exhausted(open_sockets());
        is_exhausted || self.reading.shortage.get().is_recent(self.now())
    }

    fn record_shortage(&self) {
        let mut shortage = self.reading.shortage.get();
        shortage.record(self.now());
        self.reading.shortage.set(shortage);
    }

    /// Notes that file descriptors are short, and closes callers' connections that have been idle
    /// longest; one with a request in progress is never closed. Returns the number of closed ones.
    pub(super) fn make_room(&self) -> u64 {
        self.record_shortage();
        let connections = &self.reading.connections;
        let idle = connections.idle(time::Instant::now());
        close_unused(read_lag::select_idle(idle, connections.closing()).map(Closable::Idle))
    }

    /// Whether a new caller's connection, which is counted already, is served. Closes idle ones for
    /// it, and those of callers that make no progress. A planned stop serves all connections, since it
    /// closes them soon.
    pub(super) fn admit_connection(&self) -> bool {
        let open = open_sockets();
        let mut gate = self.reading.gate.get();
        if !self.memory.admits(MIN_CONNECTION_BYTES) {
            return false;
        }
        if self.is_stopping() || !gate.is_exhausted(open) {
            return true;
        }
        self.record_shortage();
        let connections = &self.reading.connections;
        let admission = gate.admit(self.now(), open, || descriptors::Unused {
            idle: closable(connections),
            closing: connections.closing(),
        });
        self.reading.gate.set(gate);
        close_unused(admission.close);
        admission.served
    }

    /// Whether a new connection for look-ups, readiness or metrics, which is counted already, is served.
    /// The one that has been unused longest is closed for it.
    pub(super) fn admit_operator(&self) -> bool {
        if !self.memory.admits(MIN_CONNECTION_BYTES) {
            return false;
        }
        let open = sockets::Use::Operators.open();
        let connections = &self.reading.operators;
        let gate = self.reading.gate.get();
        let admission = gate.admit_operator(open, || descriptors::Unused {
            idle: closable(connections),
            closing: connections.closing(),
        });
        close_unused(admission.close);
        admission.served
    }

    /// Whether a new link of another VM, which is not counted yet, is accepted.
    pub(super) fn admit_link(&self) -> bool {
        let open = sockets::Use::Peers.open();
        !self.reading.gate.get().has_too_many_links(open)
            && self.memory.admits(MIN_CONNECTION_BYTES)
    }

    pub(super) fn refused_connections(&self) -> &idle::Connections {
        &self.reading.refused
    }

    /// Refuses a connection.
    pub(super) async fn refuse<H: callers::Handler>(self, refused: callers::Accepted, handler: H) {
        let end = refused.refuse(handler).await;
        counter!(metric_names::REFUSED_CONNECTIONS, "ended" => end.as_str()).increment(1);
        self.reading.refusal_ended.notify_one();
    }

    /// The answer to a request that is refused before it was read whole. It has not run.
    pub(super) fn refuse_unread(
        &self,
        head: Option<&http1::RequestHead>,
        why: callers::Refusal,
    ) -> callers::Answer {
        let id = head.and_then(|head| head.fields.get(self.cfg.names.id));
        let id = id.unwrap_or_default();
        let (delay, why) = match why {
            callers::Refusal::NoDescriptors => (LATE_RETRY_DELAY, "no free file descriptors"),
            callers::Refusal::NoMemory => (memory::MIN_SLOW, "no memory for the request"),
            callers::Refusal::PlannedStop => (LATE_RETRY_DELAY, waiting::PLANNED_STOP),
        };
        let delay = retry_delay::spread(delay, self.jitter());
        self.refuse_temporarily(id, delay, why)
    }

    /// Waits until a further connection may be refused.
    pub(super) async fn wait_for_refusal(&self) {
        loop {
            let refused = sockets::Use::Refused.open();
            // The next caller needs one more.
            let open = descriptors::Open {
                total: sockets::total() + 1,
                refused,
            };
            let is_short = self.reading.gate.get().is_exhausted(open)
                || !self.memory.admits(MIN_CONNECTION_BYTES);
            if self.is_stopping() || !is_short {
                return;
            }
            let waiting = self.reading.refused.idle(time::Instant::now());
            let oldest = waiting.into_iter().max_by_key(|(span, _)| *span);
            let longest_wait = oldest.as_ref().map(|(span, _)| *span);
            let ended = self.reading.refusal_ended.notified();
            match (self.reading.gate.get()).next_refusal(refused, longest_wait) {
                descriptors::NextRefusal::Allowed => return,
                descriptors::NextRefusal::Wait(left) => {
                    // The state is read again in either case.
                    let _ = tokio::time::timeout(left, ended).await;
                }
                descriptors::NextRefusal::Displace => {
                    if let Some((_, connection)) = oldest {
                        connection.close();
                    }
                    ended.await;
                }
            }
        }
    }

    /// Sets the gauges of open sockets.
    pub(super) fn set_socket_gauges(&self) {
        for used in sockets::USES {
            gauge!(metric_names::OPEN_SOCKETS, "use" => used.as_str()).set(used.open() as f64);
        }
    }

    /// Notes a failed accept, and makes room if file descriptors are short.
    pub(super) fn record_accept_failure(&self, err: &io::Error) {
        let is_shortage = is_shortage(err);
        let why = if is_shortage {
            "no_descriptors"
        } else {
            "other"
        };
        counter!(metric_names::ACCEPT_FAILURES, "why" => why).increment(1);
        let closed = if is_shortage { self.make_room() } else { 0 };
        if let Some(left_out) = self.log_limiter.admit("accept", self.now()) {
            slog::warn!(self.log, "cannot accept a connection"; "error" => %err, "idle_closed" => closed, "left_out" => left_out);
        }
    }

    /// Notes how long an accepted connection was in the listen queue at least.
    pub(super) fn record_listen_wait(&self, waited: time::Duration) {
        if !waited.is_zero() {
            histogram!(metric_names::LISTEN_WAIT).record(waited.as_secs_f64());
        }
    }

    /// The answer to a request that was read so late that its time is up or nearly up. It has not
    /// run.
    pub(super) fn refuse_if_late(
        &self,
        facts: &facts::Facts,
        delay: time::Duration,
    ) -> Option<callers::Answer> {
        let left = facts.deadline.saturating_sub(self.now());
        if !read_lag::is_too_late(delay, left) {
            return None;
        }
        counter!(metric_names::READ_TOO_LATE).increment(1);
        Some(self.refuse_temporarily(&facts.id, LATE_RETRY_DELAY, "read too late"))
    }
}
