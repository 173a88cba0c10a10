//! Callers' HTTP/1.1 connections with pipelining: requests are read while earlier ones still run,
//! run concurrently, and are answered in the order of their arrival.
//!
//! A caller that pipelines several requests gives up on one that is not read within about a second,
//! and each may take a second to run. Without concurrency the third request would time out before
//! it is read. The concurrent requests and the bytes read ahead are bounded per connection.

mod answer;
mod pending;
mod refusing;
mod writing;

use std::collections;
use std::future;
use std::io;
use std::rc;
use std::time;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, tcp};
use tokio::sync::{self, mpsc, oneshot, watch};
use tokio::task;

use super::{descriptors, idle, socket, upstream};
use crate::decisions::planned_stop;
use crate::protocol::{http1, routes};

pub use answer::{Answer, Body};
pub use pending::Cancellation;
use pending::{Pending, first_answer};

/// Concurrent requests per connection. Callers pipeline about four; a higher limit would let one
/// connection occupy a whole backend server.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// The longest body that is buffered, so that it can be sent again. Longer bodies are streamed,
/// because a few concurrent ones would not fit in the memory of a small VM.
const MAX_BUFFERED_BODY_BYTES: usize = 256 << 10;

/// Bytes that are read ahead of the pending requests.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Pieces of a streamed body that are queued for the request's task.
const MAX_QUEUED_PIECES: usize = 4;

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

/// When a head arrived.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// When it was read, less the delay.
    at: time::Instant,
    delay: time::Duration,
}

/// Why a request is refused before it was read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// File descriptors are short.
    NoDescriptors,
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

    /// The answer to a request that is refused before it was read whole.
    fn refuse(&self, _head: &http1::RequestHead, _why: Refusal) -> Answer {
        Answer::empty(503)
    }

    /// Answers one request.
    fn answer(&self, req: Request) -> impl future::Future<Output = Answer> + 'static;
}

/// The state of reading from a connection.
enum Reading {
    /// Between requests.
    Head,
    /// In a body that is buffered.
    Buffered {
        head: http1::RequestHead,
        reader: http1::BodyReader,
        body: BytesMut,
        received: Arrival,
    },
    /// In a body that is streamed.
    Streamed {
        reader: http1::BodyReader,
        tx: mpsc::Sender<upstream::Piece>,
        piece: Option<upstream::Piece>,
    },
}

struct Connection<H> {
    handler: H,
    rd: tcp::OwnedReadHalf,
    wr: tcp::OwnedWriteHalf,
    buf: BytesMut,
    reading: Reading,
    pending: collections::VecDeque<Pending>,
    /// Whether no further request is read.
    reading_closed: bool,
    stop: watch::Receiver<planned_stop::Phase>,
    /// Notified when a handler has ended.
    ready: rc::Rc<sync::Notify>,
    last_active: time::Instant,
    /// How late the last bytes were read.
    delay: time::Duration,
    /// How long the connection was in the listen queue, until the first read.
    waited: time::Duration,
    slot: rc::Rc<idle::Slot>,
    /// Whether the connection is closed to make room for others.
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
        let mut connection = Connection {
            handler,
            rd,
            wr,
            buf: BytesMut::new(),
            reading: Reading::Head,
            pending: collections::VecDeque::new(),
            reading_closed: false,
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
    }
}

enum Step {
    Answer(Answer),
    Read(io::Result<usize>),
    PieceReady(bool),
    TimedOut,
    Evicted,
    /// The planned stop has gone on, or an answer is ready behind another in its course.
    Stopping,
}

impl<H: Handler> Connection<H> {
    async fn run(&mut self) -> io::Result<()> {
        loop {
            self.start_requests().await?;
            // Heads that are parsed later were read in time, or waited for this connection's answers.
            self.delay = time::Duration::ZERO;
            self.end_requests();
            if self.reading_closed && self.pending.is_empty() {
                return Ok(());
            }
            match self.step().await {
                Step::Answer(answer) => {
                    if self.write_first(answer).await? {
                        return Ok(());
                    }
                }
                Step::Read(Ok(0)) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Step::Read(n) => {
                    n?;
                    let now = time::Instant::now();
                    self.note_delay(now)?;
                    self.last_active = now;
                }
                Step::PieceReady(has_room) => self.queue_piece(has_room),
                Step::TimedOut => return self.timed_out().await,
                Step::Evicted => {
                    if !self.read_arrived().await? {
                        self.evicted = true;
                        return Ok(());
                    }
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
        let last_ready = self.pending.iter().rposition(Pending::is_ready);
        for (n, pending) in self.pending.iter().enumerate() {
            let holds_up = last_ready.is_some_and(|last| n < last);
            if !pending.is_ready() && phase.ends_request(holds_up) {
                pending.cancellation.end();
            }
        }
        if phase.ends_request(false)
            && let Reading::Buffered { head, .. } = &self.reading
        {
            let answer = self.handler.refuse(head, Refusal::PlannedStop);
            self.reading = Reading::Head;
            self.refuse_with(answer);
        }
    }

    async fn step(&mut self) -> Step {
        let deadline = self.idle_deadline();
        // The limit on heads may exceed the read-ahead limit; a long head must still fit.
        let room =
            self.buf.len() < MAX_READ_AHEAD_BYTES.max(self.handler.limits().max_head_bytes + 1);
        if room {
            self.buf.reserve(4 << 10);
        }
        let has_pending = !self.pending.is_empty();
        let is_idle = !has_pending && self.is_between_requests();
        self.slot.set_idle(is_idle.then_some(self.last_active));
        let yields = *self.stop.borrow() >= planned_stop::Phase::Yielding;
        let answer = first_answer(&mut self.pending);
        let queue = match &self.reading {
            Reading::Streamed {
                tx, piece: Some(_), ..
            } => Some(tx.clone()),
            _ => None,
        };
        let step = tokio::select! {
            biased;
            answer = answer, if has_pending => Step::Answer(answer),
            has_room = wait_for_room(queue.clone()), if queue.is_some() => Step::PieceReady(has_room),
            n = self.rd.read_buf(&mut self.buf), if room => Step::Read(n),
            () = next_phase(&mut self.stop), if !is_idle => Step::Stopping,
            () = self.ready.notified(), if yields => Step::Stopping,
            () = tokio::time::sleep_until(deadline.into()), if !has_pending => Step::TimedOut,
            // Last, so that a request that has arrived is served.
            () = self.slot.wait_closed(), if is_idle => Step::Evicted,
        };
        self.slot.leave(matches!(step, Step::Evicted));
        step
    }

    /// Reads what has arrived since the last poll of the socket. Returns whether there was anything;
    /// a request that is there is served before its connection is closed.
    async fn read_arrived(&mut self) -> io::Result<bool> {
        // The runtime polls the sockets between two runs of a task.
        task::yield_now().await;
        match self.rd.try_read_buf(&mut self.buf) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                self.slot.leave(false);
                self.last_active = time::Instant::now();
                Ok(true)
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(err) => Err(err),
        }
    }

    fn is_between_requests(&self) -> bool {
        self.buf.is_empty() && matches!(self.reading, Reading::Head)
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
        let room = self.buf.len() < MAX_READ_AHEAD_BYTES;
        if self.delay.is_zero() || !room {
            return Ok(());
        }
        match self.rd.try_read_buf(&mut self.buf) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Err(err) if err.kind() != io::ErrorKind::WouldBlock => Err(err),
            Ok(_) | Err(_) => Ok(()),
        }
    }

    /// The time at which a connection without pending requests times out.
    fn idle_deadline(&self) -> time::Instant {
        let limits = self.handler.limits();
        let head_started = !self.buf.is_empty() && matches!(self.reading, Reading::Head);
        let limit = match head_started {
            true => limits.head_timeout,
            false => limits.idle_timeout,
        };
        self.last_active + limit
    }

    async fn timed_out(&mut self) -> io::Result<()> {
        if self.is_between_requests() {
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

    /// Starts the requests that have been read, up to the limit of pending requests.
    async fn start_requests(&mut self) -> io::Result<()> {
        while !self.reading_closed {
            match std::mem::replace(&mut self.reading, Reading::Head) {
                Reading::Head => {
                    if self.pending.len() >= MAX_PIPELINED_REQUESTS || !self.begin_request().await?
                    {
                        return Ok(());
                    }
                }
                Reading::Buffered {
                    head,
                    mut reader,
                    mut body,
                    received,
                } => {
                    match reader.next(&mut self.buf) {
                        Ok(Some(piece)) => body.extend_from_slice(&piece),
                        Ok(None) if reader.is_done() => {
                            self.start(head, upstream::Payload::Whole(body.freeze()), received);
                            continue;
                        }
                        Ok(None) => {
                            self.reading = Reading::Buffered {
                                head,
                                reader,
                                body,
                                received,
                            };
                            return Ok(());
                        }
                        Err(_) => return self.refuse(400),
                    }
                    if reader.bytes_read() > self.handler.limits().max_body_bytes {
                        return self.refuse(413);
                    }
                    self.buffer_or_stream(head, reader, body, received);
                }
                Reading::Streamed { reader, tx, piece } => {
                    self.reading = Reading::Streamed { reader, tx, piece };
                    if !self.next_piece()? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads a head. Returns whether it was complete and accepted.
    async fn begin_request(&mut self) -> io::Result<bool> {
        let limits = self.handler.limits();
        let head = match http1::RequestHead::take(&mut self.buf, limits.max_head_bytes) {
            Ok(Some(head)) => head,
            Ok(None) => return Ok(false),
            Err(http1::Malformed::TooLong) => return self.refuse(431).map(|()| false),
            Err(_) => return self.refuse(400).map(|()| false),
        };
        let read = time::Instant::now();
        let received = Arrival {
            at: read.checked_sub(self.delay).unwrap_or(read),
            delay: self.delay,
        };
        if let http1::Framing::Length(n) = head.framing
            && n > limits.max_body_bytes
        {
            return self.refuse(413).map(|()| false);
        }
        if head.fields.contains_token("expect", "100-continue") && self.pending.is_empty() {
            self.wr.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let reader = http1::BodyReader::new(head.framing);
        if reader.is_done() {
            self.start(head, upstream::Payload::Whole(Bytes::new()), received);
            return Ok(true);
        }
        self.buffer_or_stream(head, reader, BytesMut::new(), received);
        Ok(true)
    }

    /// Continues with a body: buffers it while it is short and streams it otherwise.
    fn buffer_or_stream(
        &mut self,
        head: http1::RequestHead,
        reader: http1::BodyReader,
        body: BytesMut,
        received: Arrival,
    ) {
        let length = match head.framing {
            http1::Framing::Length(n) => Some(n),
            http1::Framing::Chunked | http1::Framing::UntilClose => None,
        };
        let is_long = length.is_some_and(|n| n > MAX_BUFFERED_BODY_BYTES as u64)
            || body.len() > MAX_BUFFERED_BODY_BYTES;
        if !is_long {
            self.reading = Reading::Buffered {
                head,
                reader,
                body,
                received,
            };
            return;
        }
        let (tx, rx) = mpsc::channel(MAX_QUEUED_PIECES);
        let payload = upstream::Payload::Pieces {
            length,
            rx,
            started: false,
        };
        self.start(head, payload, received);
        let piece = (!body.is_empty()).then(|| upstream::Piece::Data(body.freeze()));
        self.reading = Reading::Streamed { reader, tx, piece };
    }

    /// Reads the next piece of a streamed body. Returns whether reading may continue.
    fn next_piece(&mut self) -> io::Result<bool> {
        let limit = self.handler.limits().max_body_bytes;
        let Reading::Streamed { reader, tx, piece } = &mut self.reading else {
            return Ok(true);
        };
        if piece.is_some() {
            return Ok(false);
        }
        if reader.is_done() {
            // A closed channel means that the handler has answered without the rest of the body.
            if tx.try_send(upstream::Piece::End).is_err() && !tx.is_closed() {
                *piece = Some(upstream::Piece::End);
                return Ok(false);
            }
            self.reading = Reading::Head;
            return Ok(true);
        }
        match reader.next(&mut self.buf) {
            Ok(Some(data)) => {
                if reader.bytes_read() > limit {
                    return self.refuse(413).map(|()| true);
                }
                *piece = Some(upstream::Piece::Data(data));
                Ok(false)
            }
            Ok(None) => Ok(reader.is_done()),
            Err(_) => self.refuse(400).map(|()| true),
        }
    }

    /// Queues the next piece if `has_room`; drops it if its receiver is closed.
    fn queue_piece(&mut self, has_room: bool) {
        let Reading::Streamed { tx, piece, .. } = &mut self.reading else {
            return;
        };
        let Some(next) = piece.take() else {
            return;
        };
        let last = matches!(next, upstream::Piece::End);
        if has_room && let Err(mpsc::error::TrySendError::Full(unsent)) = tx.try_send(next) {
            *piece = Some(unsent);
            return;
        }
        if last {
            self.reading = Reading::Head;
        }
    }

    fn start(&mut self, head: http1::RequestHead, payload: upstream::Payload, received: Arrival) {
        let (tx, rx) = oneshot::channel();
        let cancellation = rc::Rc::new(Cancellation::default());
        let keep_alive = head.keeps_alive();
        let framing = answer::AnswerFraming::of(&head);
        let answer = self.handler.answer(Request {
            head,
            payload,
            received: received.at,
            delay: received.delay,
            cancellation: cancellation.clone(),
        });
        let ready = self.ready.clone();
        let task = task::spawn_local(async move {
            // The receiver is dropped if the caller disconnected and the request was committed.
            let _ = tx.send(answer.await);
            ready.notify_one();
        });
        self.reading_closed |= !keep_alive;
        self.pending.push_back(Pending {
            rx,
            task: Some(task.abort_handle()),
            cancellation,
            keep_alive,
            framing,
        });
    }

    /// Queues an error answer to an invalid request; its end is unknown, so reading stops.
    fn refuse(&mut self, status: u16) -> io::Result<()> {
        self.refuse_with(Answer::empty(status));
        Ok(())
    }

    fn refuse_with(&mut self, answer: Answer) {
        self.reading_closed = true;
        self.pending.push_back(Pending::answered(Answer {
            close: true,
            ..answer
        }));
    }

    /// Closes the connection without a reset, so that the last answer arrives.
    async fn linger(&mut self) {
        if self.wr.shutdown().await.is_err() {
            // The caller closed first.
            return;
        }
        let drain = async {
            let mut discarded = BytesMut::with_capacity(4 << 10);
            while let Ok(1..) = self.rd.read_buf(&mut discarded).await {
                discarded.clear();
            }
        };
        let timeout = match self.evicted {
            true => EVICTED_LINGER_TIMEOUT,
            false => LINGER_TIMEOUT,
        };
        // After the timeout the connection is closed even if a reset follows.
        let _ = tokio::time::timeout(timeout, drain).await;
    }
}

/// Waits until the planned stop goes on; forever if nothing can stop.
async fn next_phase(stop: &mut watch::Receiver<planned_stop::Phase>) {
    if stop.changed().await.is_err() {
        future::pending().await
    }
}

async fn wait_for_room(tx: Option<mpsc::Sender<upstream::Piece>>) -> bool {
    match tx {
        Some(tx) => tx.reserve().await.is_ok(),
        None => future::pending().await,
    }
}
