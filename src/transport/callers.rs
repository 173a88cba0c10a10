//! Callers' HTTP/1.1 connections with pipelining: requests are read while earlier ones still run,
//! run concurrently, and are answered in the order of their arrival.
//!
//! A caller that pipelines several requests gives up on one that is not read within about a second,
//! and each may take a second to run. Without concurrency the third request would time out before
//! it is read. The concurrent requests and the bytes read ahead are bounded per connection.

mod answer;
mod ending;
mod inbound;
mod input;
mod pending;
mod refusing;
mod writing;

use std::future;
use std::io;
use std::rc;
use std::time;

use metrics::counter;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, tcp};
use tokio::sync::{self, watch};
use tokio::task;

use super::{descriptors, idle, memory, socket, upstream};
use crate::decisions::planned_stop;
use crate::metrics as known;
use crate::protocol::{http1, routes};

pub use answer::{Answer, Body};
pub use ending::{Fate, Partial, Reason};
use inbound::Inbound;
use input::{MAX_READ_AHEAD_BYTES, Read, Reading};
pub use pending::Cancellation;
use pending::{Pending, first_answer};

/// How long a connection is still read in total after the server has shut down its sending side.
/// Closing it with unread bytes sends a reset, which can overtake the answer just written.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The same for a connection that is closed because its file descriptor is needed.
const EVICTED_LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(50);

/// Bytes that are read within this time after their connection was accepted had arrived before.
const MAX_READ_PAUSE: time::Duration = time::Duration::from_millis(10);

/// A request from a caller.
#[derive(Debug)]
pub struct Request {
    /// The head.
    pub head: http1::RequestHead,
    /// The body.
    pub payload: upstream::Payload,
    /// When the head had arrived: when it was read, less the delay of the read where that is known.
    pub received: time::Instant,
    /// How late its head was read.
    pub delay: time::Duration,
    /// Whether the caller has disconnected, and whether the request then continues.
    pub cancellation: rc::Rc<Cancellation>,
}

/// Why a request is refused before it was read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// File descriptors are short.
    NoDescriptors,
    /// Memory is short.
    NoMemory,
    /// A planned stop ends.
    PlannedStop,
}

/// Answers the requests of callers' connections.
pub trait Handler: Clone + 'static {
    /// What its connections are used for. Only those of [`descriptors::Use::Callers`] are refused
    /// where file descriptors are short.
    const USE: descriptors::Use = descriptors::Use::Operators;

    /// The limits on callers' requests and connections.
    fn limits(&self) -> routes::Limits;

    /// How late something is that is read at this instant.
    fn read_lag(&self, _at: time::Instant) -> time::Duration {
        time::Duration::ZERO
    }

    /// The answer to a request that is refused before it was read whole, or before its head was.
    fn refuse(&self, _head: Option<&http1::RequestHead>, _why: Refusal) -> Answer {
        Answer::empty(503)
    }

    /// The account for the memory of its connections.
    fn memory(&self) -> memory::Account {
        memory::Account::default()
    }

    /// Answers one request.
    fn answer(&self, req: Request) -> impl future::Future<Output = Answer> + 'static;
}

struct Connection<H> {
    handler: H,
    inbound: Inbound,
    wr: tcp::OwnedWriteHalf,
    stop: watch::Receiver<planned_stop::Phase>,
    /// Notified when a handler has ended.
    ready: rc::Rc<sync::Notify>,
    last_active: time::Instant,
    /// How late the last bytes were read.
    delay: time::Duration,
    /// How long the connection was in the listen queue, until the first read.
    waited: time::Duration,
    slot: rc::Rc<idle::Slot>,
    /// Whether the connection is closed to make room or to free memory for others.
    evicted: bool,
    /// Whether an answer was cut whose end would be that of the connection.
    truncated: bool,
}

/// Serves one connection until it ends.
pub async fn serve<H: Handler>(
    stream: TcpStream,
    handler: H,
    stop: watch::Receiver<planned_stop::Phase>,
) {
    let accepted = Accepted {
        stream,
        waited: time::Duration::ZERO,
        slot: rc::Rc::default(),
        held: descriptors::Held::new(descriptors::Use::Callers),
    };
    accepted.serve(handler, stop).await;
}

/// A connection that was accepted.
#[derive(Debug)]
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// How long it was in the listen queue at least.
    pub waited: time::Duration,
    /// Its place among the connections that may be closed.
    pub slot: rc::Rc<idle::Slot>,
    /// Counts its file descriptor.
    pub held: descriptors::Held,
}

impl Accepted {
    /// Serves the connection until it ends.
    pub async fn serve<H: Handler>(self, handler: H, stop: watch::Receiver<planned_stop::Phase>) {
        let Accepted {
            stream,
            waited,
            slot,
            held: _held,
        } = self;
        if socket::set_keepalive(&stream).is_err() {
            // The caller disconnected before the connection was accepted.
            return;
        }
        let (rd, wr) = stream.into_split();
        let inbound = Inbound::new(rd, handler.memory());
        let mut connection = Connection {
            handler,
            inbound,
            wr,
            stop,
            ready: rc::Rc::default(),
            last_active: time::Instant::now(),
            delay: time::Duration::ZERO,
            waited,
            slot,
            evicted: false,
            truncated: false,
        };
        // An error means that the caller has disconnected or that its answer was cut.
        match connection.run().await {
            Ok(()) => {
                connection.slot.set_lingering();
                connection.linger().await;
            }
            Err(_) if connection.truncated => {
                socket::reset_on_close(connection.wr.as_ref());
                // Otherwise the sending side would be closed first, which ends the answer in order.
                connection.wr.forget();
            }
            Err(_) => {}
        }
        connection.inbound.close(Reason::Disconnected);
    }
}

enum Step {
    Answer(Answer),
    Read(Read),
    TimedOut,
    Evicted,
    Shed,
    /// The planned stop has gone on, or an answer is ready behind another in its course.
    Stopping,
}

impl<H: Handler> Connection<H> {
    async fn run(&mut self) -> io::Result<()> {
        loop {
            self.start_requests();
            // Heads that are parsed later were read in time, or waited for this connection's answers.
            self.delay = time::Duration::ZERO;
            self.end_requests();
            if self.inbound.closed && self.inbound.pending.is_empty() {
                return Ok(());
            }
            if self.inbound.is_continue_due() {
                self.inbound.input.awaits_continue = false;
                self.wr.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            match self.step().await {
                Step::Answer(answer) => {
                    if self.write_first(answer).await? {
                        return Ok(());
                    }
                }
                Step::Read(Read::Bytes(n)) => {
                    let (n, now) = (n?, time::Instant::now());
                    self.note_delay(now)?;
                    self.last_active = now;
                    self.slot.progress(now, n);
                }
                Step::Read(Read::Queued) => {}
                Step::TimedOut => return self.timed_out().await,
                Step::Evicted => {
                    if !self.read_arrived().await? {
                        self.inbound.close(Reason::Evicted);
                        self.evicted = true;
                        return Ok(());
                    }
                }
                Step::Shed => {
                    counter!(known::SHED_CONNECTIONS, "what" => "request").increment(1);
                    self.evicted = true;
                    self.refuse_partial();
                }
                Step::Stopping => {}
            }
        }
    }

    /// Ends the requests that a planned stop does not wait for any longer.
    fn end_requests(&mut self) {
        let phase = *self.stop.borrow_and_update();
        if phase < planned_stop::Phase::Yielding {
            return;
        }
        let last_ready = self.inbound.pending.iter().rposition(Pending::is_ready);
        for (n, pending) in self.inbound.pending.iter().enumerate() {
            let holds_up = last_ready.is_some_and(|last| n < last);
            if !pending.is_ready() && phase.ends_request(holds_up) {
                pending.cancellation.end();
            }
        }
        if !phase.ends_request(false) {
            return;
        }
        if let Reading::Buffered { head, .. } = &self.inbound.input.reading {
            let answer = self.handler.refuse(Some(head), Refusal::PlannedStop);
            self.inbound.refuse(Reason::GraceEnds, answer);
        }
        if self.inbound.partial() == Partial::Answered {
            self.inbound.close(Reason::GraceEnds);
        }
    }

    async fn step(&mut self) -> Step {
        let deadline = self.idle_deadline();
        // The limit on heads may exceed the read-ahead limit; a long head must still fit.
        let read_ahead = MAX_READ_AHEAD_BYTES.max(self.handler.limits().max_head_bytes + 1);
        let has_pending = !self.inbound.pending.is_empty();
        let is_idle = !has_pending && self.inbound.input.is_between_requests();
        self.slot.set_idle(is_idle.then_some(self.last_active));
        self.note_wait();
        let yields = *self.stop.borrow() >= planned_stop::Phase::Yielding;
        let answer = first_answer(&mut self.inbound.pending);
        let step = tokio::select! {
            biased;
            answer = answer, if has_pending => Step::Answer(answer),
            () = self.slot.wait_shed() => Step::Shed,
            read = self.inbound.input.read(read_ahead) => Step::Read(read),
            () = next_phase(&mut self.stop), if !is_idle => Step::Stopping,
            () = self.ready.notified(), if yields => Step::Stopping,
            () = tokio::time::sleep_until(deadline.into()), if !has_pending => Step::TimedOut,
            // Last, so that a request that has arrived is served.
            () = self.slot.wait_closed(), if is_idle => Step::Evicted,
        };
        self.slot.leave(matches!(step, Step::Evicted));
        step
    }

    /// Notes whether the connection waits for its caller.
    fn note_wait(&self) {
        match self.inbound.awaits_caller() {
            true => self.slot.await_progress(self.last_active),
            false => self.slot.end_wait(),
        }
        if let Some(last) = self.inbound.pending.back() {
            let is_streamed = self.inbound.partial() == Partial::Streamed;
            let since = self.slot.slow_since().filter(|_| is_streamed);
            last.cancellation.stalled_since.set(since);
        }
    }

    /// Reads what has arrived since the last poll of the socket. Returns whether there was anything;
    /// a request that is there is served before its connection is closed.
    async fn read_arrived(&mut self) -> io::Result<bool> {
        // The runtime polls the sockets between two runs of a task.
        task::yield_now().await;
        match self.inbound.input.try_read() {
            Ok(_) => {
                self.slot.leave(false);
                self.last_active = time::Instant::now();
                Ok(true)
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(err) => Err(err),
        }
    }

    /// Notes how late bytes were read. A caller that gave up meanwhile has closed its connection
    /// after them; its requests must not run.
    fn note_delay(&mut self, now: time::Instant) -> io::Result<()> {
        let lag = self.handler.read_lag(now);
        if !self.waited.is_zero() && now.duration_since(self.last_active) > lag.max(MAX_READ_PAUSE)
        {
            // They arrived after the connection had been accepted.
            self.waited = time::Duration::ZERO;
        }
        self.delay = lag + std::mem::take(&mut self.waited);
        let room = self.inbound.input.buf.len() < MAX_READ_AHEAD_BYTES;
        if self.delay.is_zero() || !room {
            return Ok(());
        }
        match self.inbound.input.try_read() {
            Err(err) if err.kind() != io::ErrorKind::WouldBlock => Err(err),
            Ok(_) | Err(_) => Ok(()),
        }
    }

    /// The time at which a connection without pending requests times out.
    fn idle_deadline(&self) -> time::Instant {
        let limits = self.handler.limits();
        let head_started = !self.inbound.input.buf.is_empty()
            && matches!(self.inbound.input.reading, Reading::Head);
        let limit = match head_started {
            true => limits.head_timeout,
            false => limits.idle_timeout,
        };
        self.last_active + limit
    }

    async fn timed_out(&mut self) -> io::Result<()> {
        if self.inbound.close(Reason::TimedOut) != Fate::Refused {
            return Ok(());
        }
        let answer = Answer {
            close: true,
            ..Answer::empty(408)
        };
        self.write_answer(answer, true, answer::AnswerFraming::default())
            .await
            .map(drop)
    }

    /// Closes the connection without a reset, so that the last answer arrives.
    async fn linger(&mut self) {
        self.slot.end_wait();
        if self.wr.shutdown().await.is_err() {
            // The caller closed first.
            return;
        }
        self.read_rest_of_body().await;
        let timeout = match self.evicted {
            true => EVICTED_LINGER_TIMEOUT,
            false => LINGER_TIMEOUT,
        };
        // After the timeout the connection is closed even if a reset follows.
        let _ = tokio::time::timeout(timeout, self.inbound.input.discard()).await;
    }

    /// Reads and discards the rest of a body whose request is answered, until a planned stop yields. Many
    /// callers do not read the answer before they have sent the body.
    async fn read_rest_of_body(&mut self) {
        let limits = self.handler.limits();
        while matches!(self.inbound.input.reading, Reading::Streamed { .. }) {
            if *self.stop.borrow_and_update() >= planned_stop::Phase::Yielding {
                return;
            }
            self.inbound.take_body(&limits);
            self.inbound.input.update_charge();
            let read = tokio::time::timeout(
                limits.idle_timeout,
                self.inbound.input.read(MAX_READ_AHEAD_BYTES),
            );
            tokio::select! {
                read = read => if !matches!(read, Ok(Read::Queued | Read::Bytes(Ok(_)))) {
                    return;
                },
                () = next_phase(&mut self.stop) => {}
            }
        }
    }
}

/// Waits until the planned stop goes on; forever if nothing can stop.
async fn next_phase(stop: &mut watch::Receiver<planned_stop::Phase>) {
    if stop.changed().await.is_err() {
        future::pending().await
    }
}
