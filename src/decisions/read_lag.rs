//! Estimates how late this process reads what has arrived, and makes room where it cannot accept.
//!
//! Load pattern: a VM with a fraction of a core gets more callers than it has processor time for, is
//! paused by its host, or runs out of file descriptors. Requests then wait unread in the system's
//! buffers, and connections in the listen queue. The symptoms are requests that are held beyond their
//! callers' time-outs because the time before the read is not counted, and requests that run for
//! callers which have given up.
//!
//! The system does not say when bytes arrived. Two delays are measured instead. A timer that is due
//! every 50 ms shows how late the event loop is; all that it reads in that pass may have waited as
//! long. A connection that was in the listen queue when an accept failed has waited at least since
//! then. Deadlines count from the read less both. The lag of the loop is an upper limit: an answer to
//! such a request will probably be read as late, so the excess is not wasted.

use std::cmp;
use std::time;

use super::policy;

/// Interval of the timer. A shorter one would wake an idle VM more often, and lags below it hardly
/// matter to callers that wait for a second or more.
pub const TIMER_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Lags below this are taken for none: the timer has a resolution of 1 ms, and a core shared with
/// other processes delays each pass by some milliseconds.
pub const MIN_LAG: time::Duration = time::Duration::from_millis(10);

/// A request that was read late is refused if less than this is left. No backend server answers
/// sooner over the network with the pass that is still to come.
const NEARLY_UP: time::Duration = time::Duration::from_millis(50);

/// How long a VM counts as short of file descriptors after a failed call. It publishes its state
/// once a second, and callers use an answer to a look-up for up to 2 s.
const SHORTAGE_HOLD: time::Duration = time::Duration::from_secs(3);

/// A connection is not closed before it has been idle for this long. The first request of a caller
/// in another region arrives 0.12 s after its connection, and a busy caller connects again at once.
const MIN_IDLE: time::Duration = time::Duration::from_millis(300);

/// Connections that are being closed at the same time. Each is closed within 50 ms, so this makes
/// room for 80 callers a second and closes hardly more connections than are needed.
const MAX_CLOSING: usize = 4;

/// How late the event loop is.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLag {
    /// When the timer is due; `None` while nothing is measured.
    due: Option<policy::Moment>,
    /// The lag of the pass that is running.
    lag: time::Duration,
}

impl LoopLag {
    /// Sets the timer. Returns when it is due.
    pub fn set_timer(&mut self, now: policy::Moment) -> policy::Moment {
        let due = now + TIMER_INTERVAL;
        self.due = Some(due);
        due
    }

    /// Records that the timer has fired. Returns how late. The lag holds until [`LoopLag::clear`].
    pub fn record_timer(&mut self, now: policy::Moment) -> time::Duration {
        self.lag = self.overdue(now);
        self.lag
    }

    /// Ends the pass: all that had arrived before the timer fired is read.
    pub fn clear(&mut self) {
        self.lag = time::Duration::ZERO;
    }

    /// How late something is that is read now.
    pub fn at(&self, now: policy::Moment) -> time::Duration {
        // Tasks may run before the timer's in the first pass after a stall.
        self.lag.max(self.overdue(now))
    }

    fn overdue(&self, now: policy::Moment) -> time::Duration {
        let overdue = self
            .due
            .map_or(time::Duration::ZERO, |due| now.saturating_sub(due));
        match overdue < MIN_LAG {
            true => time::Duration::ZERO,
            false => overdue,
        }
    }
}

/// How long connections wait in a listen queue.
///
/// The system gives neither the length of the queue nor the age of its connections. The first one that
/// is accepted after a failure was there when the accept failed. Those behind it arrived between then
/// and now, and are assumed to have waited
/// - as long as the first one, if the queue moves by one place for each descriptor that is freed: the
///   accept before failed, and connections arrive about as fast as they are accepted;
/// - half as long, if the accept before succeeded, since the queue is then emptied at once and holds
///   what arrived in the whole time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListenQueue {
    /// The first failure since the last accepted connection.
    failing_since: Option<policy::Moment>,
    /// The longest known wait since the queue was last found empty.
    wait: time::Duration,
}

impl ListenQueue {
    /// Records that the queue is empty, so that the next connection has not waited.
    pub fn record_empty(&mut self) {
        *self = Self::default();
    }

    /// Records an accept that failed for want of file descriptors, at which the first connection of
    /// the queue stays in it.
    pub fn record_failure(&mut self, now: policy::Moment) {
        self.failing_since.get_or_insert(now);
    }

    /// Records an accepted connection. Returns how long it has probably waited.
    pub fn record_accepted(&mut self, now: policy::Moment) -> time::Duration {
        let Some(since) = self.failing_since.take() else {
            return self.wait / 2;
        };
        self.wait = self.wait.max(now.saturating_sub(since));
        self.wait
    }
}

/// Whether this process is short of file descriptors.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage(Option<policy::Moment>);

impl Shortage {
    /// Records a call that failed for want of file descriptors.
    pub fn record(&mut self, now: policy::Moment) {
        self.0 = Some(now);
    }

    /// Whether a call has failed recently.
    pub fn is_recent(&self, now: policy::Moment) -> bool {
        self.0.is_some_and(|at| now < at + SHORTAGE_HOLD)
    }
}

/// Whether a request is refused at once. `delay` is how late it was read, and `left` the time to its
/// deadline.
pub fn is_too_late(delay: time::Duration, left: time::Duration) -> bool {
    delay >= MIN_LAG && left < NEARLY_UP
}

/// Selects the connections to close for others, from idle ones with the time that each has been idle.
/// `closing` connections are being closed already.
pub fn select_idle<T>(idle: Vec<(time::Duration, T)>, closing: usize) -> impl Iterator<Item = T> {
    select_longest_idle(idle, MAX_CLOSING.saturating_sub(closing))
}

/// Selects at most `max` connections that have been idle longest, and for long enough to be closed.
pub fn select_longest_idle<T>(
    mut idle: Vec<(time::Duration, T)>,
    max: usize,
) -> impl Iterator<Item = T> {
    idle.retain(|(span, _)| *span >= MIN_IDLE);
    idle.sort_by_key(|(span, _)| cmp::Reverse(*span));
    idle.into_iter().take(max).map(|(_, connection)| connection)
}

/// The least time until a connection that may not be closed now has been idle for long enough.
pub fn time_until_idle(idle: impl Iterator<Item = time::Duration>) -> time::Duration {
    let longest = idle.filter(|span| *span < MIN_IDLE).max();
    MIN_IDLE - longest.unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> time::Duration {
        time::Duration::from_millis(ms)
    }

    /// Guards against requests that are read first after a stall and count as read in time.
    #[test]
    fn what_is_read_after_a_stall_counts_as_late_until_the_pass_ends() {
        let mut lag = LoopLag::default();
        assert_eq!(lag.at(ms(5_000)), ms(0));
        assert_eq!(lag.set_timer(ms(1_000)), ms(1_050));
        assert_eq!(lag.at(ms(1_055)), ms(0));
        assert_eq!(lag.at(ms(1_850)), ms(800));
        assert_eq!(lag.record_timer(ms(1_851)), ms(801));
        lag.set_timer(ms(1_851));
        assert_eq!(lag.at(ms(1_852)), ms(801));
        lag.clear();
        assert_eq!(lag.at(ms(1_853)), ms(0));
    }

    /// Guards against connections whose wait for a file descriptor is not counted.
    #[test]
    fn the_first_accept_after_a_failure_shows_the_wait() {
        let mut queue = ListenQueue::default();
        assert_eq!(queue.record_accepted(ms(10)), ms(0));
        queue.record_failure(ms(20));
        queue.record_failure(ms(400));
        assert_eq!(queue.record_accepted(ms(420)), ms(400));
    }

    /// Guards against requests that are held too long since only the first connection of a queue
    /// counts as late, and against requests in time that count as late as the first one.
    #[test]
    fn connections_behind_the_first_one_count_as_late_until_the_queue_is_empty() {
        let mut queue = ListenQueue::default();
        queue.record_failure(ms(0));
        assert_eq!(queue.record_accepted(ms(700)), ms(700));
        queue.record_failure(ms(700));
        assert_eq!(queue.record_accepted(ms(720)), ms(700));
        assert_eq!(queue.record_accepted(ms(720)), ms(350));
        queue.record_empty();
        assert_eq!(queue.record_accepted(ms(730)), ms(0));
    }

    /// Guards against a connection that counts as late since an accept failed long before it came.
    #[test]
    fn an_empty_queue_ends_the_wait() {
        let mut queue = ListenQueue::default();
        queue.record_failure(ms(20));
        queue.record_empty();
        assert_eq!(queue.record_accepted(ms(60_000)), ms(0));
    }

    /// Guards against requests in time that are refused for a short time-out of their own.
    #[test]
    fn only_requests_that_were_read_late_are_refused() {
        assert!(is_too_late(ms(600), ms(0)));
        assert!(is_too_late(ms(600), ms(49)));
        assert!(!is_too_late(ms(600), ms(50)));
        assert!(!is_too_late(ms(1), ms(0)));
    }

    /// Guards against callers that lose connections which they have just opened or used.
    #[test]
    fn the_longest_idle_connections_are_closed() {
        let idle = [400, 299, 900, 0, 700, 500, 800];
        let idle: Vec<_> = idle.iter().map(|span| (ms(*span), *span)).collect();
        let select = |closing| select_idle(idle.clone(), closing).collect::<Vec<u64>>();
        assert_eq!(select(0), [900, 800, 700, 500]);
        assert_eq!(select(3), [900]);
        assert!(select(4).is_empty());
    }

    #[test]
    fn a_shortage_ends_some_seconds_after_the_last_failure() {
        let mut shortage = Shortage::default();
        assert!(!shortage.is_recent(ms(0)));
        shortage.record(ms(1_000));
        assert!(shortage.is_recent(ms(3_999)));
        assert!(!shortage.is_recent(ms(4_000)));
    }
}
