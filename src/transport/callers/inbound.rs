//! Reads requests from a caller's connection: heads, and bodies that are buffered or streamed.
//!
//! The connection's state decides whether a further request starts. It does not decide whether a body is
//! read: a streamed body is read to its end once its request runs. If the body cannot be completed, its
//! channel closes, so the request's handler receives the error and the caller an answer without delay.
//!
//! What is buffered counts in the process's [account](memory::Account). A body that gets no memory is refused
//! as not run; a read buffer that gets none is not filled further.

use std::collections;
use std::future;
use std::io;
use std::rc;
use std::time;

use bytes::{Bytes, BytesMut};
use metrics::counter;
use tokio::io::AsyncReadExt;
use tokio::net::tcp;
use tokio::sync::{mpsc, oneshot};
use tokio::task;

use super::ending::{Fate, Partial, Reason};
use super::pending::Pending;
use super::{Answer, Cancellation, Connection, Handler, Refusal, Request, answer};
use crate::metrics as known;
use crate::protocol::{http1, routes};
use crate::transport::{memory, upstream};

/// Concurrent requests per connection. Callers pipeline about four; a higher limit would let one
/// connection occupy a whole backend server.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// The longest body that is buffered, so that it can be sent again. Longer bodies are streamed,
/// because a few concurrent ones would not fit in the memory of a small VM.
const MAX_BUFFERED_BODY_BYTES: usize = 256 << 10;

/// Bytes that are read ahead of the pending requests.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Bytes that are read from a connection before others have their turn. Their chunks may be as short as one
/// byte.
const TURN_BYTES: usize = 16 << 10;

/// The space for one read.
const READ_BYTES: usize = 4 << 10;

/// Buffers above this size are released when they are empty.
const MAX_KEPT_BUFFER_BYTES: usize = 8 << 10;

/// What the system holds for a connection that is not read: the receive buffer that connections start with.
const UNREAD_BYTES: usize = 64 << 10;

/// What a request holds beside its task, head and body: its place among the pending ones, the read buffer of
/// the connection to its backend server and a short answer.
const REQUEST_BYTES: usize = 12 << 10;

/// Pieces of a streamed body that are queued for the request's task.
const MAX_QUEUED_PIECES: usize = 4;

/// When a head arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// When it was read, less the delay.
    at: time::Instant,
    delay: time::Duration,
}

/// The state of reading from a connection.
pub(super) enum Reading {
    /// Between requests.
    Head,
    /// In a body that is buffered.
    Buffered {
        head: http1::RequestHead,
        reader: http1::BodyReader,
        body: BytesMut,
        received: Arrival,
    },
    /// In a body that is streamed. Its request is the last pending one, or answered already.
    Streamed {
        reader: http1::BodyReader,
        tx: mpsc::Sender<upstream::Piece>,
        piece: Option<upstream::Piece>,
    },
}

/// Why a body is not read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is invalid or too long; the status of the answer.
    Invalid(u16),
    /// There is no memory for more of it.
    NoMemory,
}

/// The capacity of a buffer for a body of which `needed` bytes have arrived. It doubles, up to the length
/// that the caller stated.
fn body_capacity(current: usize, needed: usize, length: Option<u64>) -> usize {
    let length = length.and_then(|n| usize::try_from(n).ok());
    match length {
        _ if needed <= current => current,
        Some(length) if length <= READ_BYTES => length.max(needed),
        Some(length) => needed.max((2 * current).min(length)),
        None => needed.max(2 * current),
    }
}

impl Reading {
    /// The bytes allocated for a buffered body.
    fn body_bytes(&self) -> usize {
        match self {
            Self::Buffered { body, .. } => body.capacity(),
            Self::Head | Self::Streamed { .. } => 0,
        }
    }

    /// Parses bytes of a buffered body. `charge` counts what is allocated for the connection.
    fn buffer(
        &mut self,
        buf: &mut BytesMut,
        charge: &mut memory::Charge,
        max_bytes: u64,
    ) -> Result<(), BodyError> {
        let Self::Buffered {
            head, reader, body, ..
        } = self
        else {
            return Ok(());
        };
        while body.len() <= MAX_BUFFERED_BODY_BYTES {
            let piece = match reader.next(buf) {
                Ok(Some(piece)) => piece,
                Ok(None) => return Ok(()),
                Err(_) => return Err(BodyError::Invalid(400)),
            };
            if reader.bytes_read() > max_bytes {
                return Err(BodyError::Invalid(413));
            }
            let needed = body.len() + piece.len();
            let capacity = body_capacity(body.capacity(), needed, head.framing.length());
            if capacity > body.capacity() {
                let more = capacity - body.capacity();
                if !charge.try_grow_to(charge.bytes() + more) {
                    return Err(BodyError::NoMemory);
                }
                let mut grown = BytesMut::with_capacity(capacity);
                grown.extend_from_slice(body);
                *body = grown;
            }
            body.extend_from_slice(&piece);
        }
        Ok(())
    }

    /// Parses the next piece of a streamed body, unless one is waiting for room in the channel. Returns
    /// how the body ended, if it did.
    fn stream(
        &mut self,
        buf: &mut BytesMut,
        account: &memory::Account,
        max_bytes: u64,
    ) -> Result<Option<BodyEnd>, BodyError> {
        let Self::Streamed { reader, tx, piece } = self else {
            return Ok(None);
        };
        while piece.is_none() {
            if reader.is_done() {
                match tx.try_send(upstream::Piece::End) {
                    Ok(()) => return Ok(Some(BodyEnd::Whole)),
                    Err(mpsc::error::TrySendError::Closed(_)) => {
                        return Ok(Some(BodyEnd::Unneeded));
                    }
                    Err(mpsc::error::TrySendError::Full(end)) => *piece = Some(end),
                }
                break;
            }
            match reader.next(buf) {
                Ok(Some(data)) => {
                    let data = account.guard(memory::Owner::Uploads, data);
                    *piece = Some(upstream::Piece::Data(data));
                }
                Ok(None) if reader.is_done() => {}
                Ok(None) => break,
                Err(_) => return Err(BodyError::Invalid(400)),
            }
            if reader.bytes_read() > max_bytes {
                return Err(BodyError::Invalid(413));
            }
        }
        Ok(None)
    }
}

/// How a streamed body has ended, for the metric.
#[derive(Clone, Copy, Debug)]
enum BodyEnd {
    /// The request's handler received all of it.
    Whole,
    /// The handler answered without the rest.
    Unneeded,
    Invalid,
    /// The connection closed before its end.
    Cut,
}

impl BodyEnd {
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Unneeded => "unneeded",
            Self::Invalid => "invalid",
            Self::Cut => "cut",
        }
    }
}

/// The result of [`Input::read`].
pub(super) enum Read {
    /// Bytes were read, or the caller disconnected.
    Bytes(io::Result<usize>),
    /// A piece of a streamed body was queued or dropped.
    Queued,
}

/// Maps the end of the stream to an error.
fn not_ended(n: io::Result<usize>) -> io::Result<usize> {
    match n {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        n => n,
    }
}

/// The bytes that a caller sends.
pub(super) struct Input {
    rd: tcp::OwnedReadHalf,
    /// Bytes that were read and not parsed yet.
    pub(super) buf: BytesMut,
    /// The size of the allocation of `buf`.
    buf_bytes: usize,
    pub(super) reading: Reading,
    /// Whether the caller may wait for `100 Continue` before it sends the body.
    pub(super) awaits_continue: bool,
    /// Bytes read in this turn.
    turn_bytes: usize,
    account: memory::Account,
    /// Counts the read buffer and a buffered body.
    charge: memory::Charge,
    /// Counts what the system holds while the connection is not read.
    unread: memory::Charge,
}

impl Input {
    pub(super) fn is_between_requests(&self) -> bool {
        self.buf.is_empty() && matches!(self.reading, Reading::Head)
    }

    /// Parses the buffered bytes of the current body.
    fn take_body(&mut self, max_bytes: u64) -> Result<(), BodyError> {
        let (reading, buf) = (&mut self.reading, &mut self.buf);
        reading.buffer(buf, &mut self.charge, max_bytes)?;
        if let Some(end) = reading.stream(buf, &self.account, max_bytes)? {
            self.end_body(end);
        }
        Ok(())
    }

    /// Updates the charge to what is allocated now. Releases a large buffer that is empty.
    pub(super) fn update_charge(&mut self) {
        if self.buf.is_empty() && self.buf_bytes > MAX_KEPT_BUFFER_BYTES {
            self.buf = BytesMut::new();
            self.buf_bytes = 0;
        }
        self.charge.set(self.buf_bytes + self.reading.body_bytes());
    }

    /// The memory that the connection holds, in bytes.
    pub(super) fn held_bytes(&self) -> usize {
        self.charge.bytes() + self.unread.bytes()
    }

    /// Makes space for a read. Returns false if that needs memory and there is none.
    fn make_room(&mut self) -> bool {
        let len = self.buf.len();
        if self.buf.capacity() - len >= READ_BYTES || self.buf.try_reclaim(READ_BYTES) {
            return true;
        }
        let capacity = match len {
            0 => READ_BYTES,
            _ => (len + READ_BYTES).next_multiple_of(2 * READ_BYTES),
        };
        let charged = capacity + self.reading.body_bytes();
        match len {
            // A connection always gets its first buffer; their number is limited.
            0 => self.charge.set(charged),
            _ if !self.charge.try_grow_to(charged) => return false,
            _ => {}
        }
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.buf);
        self.buf = grown;
        self.buf_bytes = capacity;
        true
    }

    /// Stops reading the current body. Dropping the channel of a streamed body notifies the request's
    /// handler.
    fn end_body(&mut self, end: BodyEnd) {
        if let Reading::Streamed { .. } = self.reading {
            counter!(known::STREAMED_BODIES, "end" => end.as_str()).increment(1);
        }
        self.reading = Reading::Head;
    }

    /// Waits for room for the next piece of a streamed body. Returns whether the channel has a receiver.
    /// Never completes if there is no piece.
    fn room_for_piece(&self) -> impl Future<Output = bool> + use<> {
        let tx = match &self.reading {
            Reading::Streamed {
                tx, piece: Some(_), ..
            } => Some(tx.clone()),
            _ => None,
        };
        async move {
            match tx {
                Some(tx) => tx.reserve().await.is_ok(),
                None => future::pending().await,
            }
        }
    }

    /// Queues the next piece if `has_receiver`; drops it otherwise.
    fn queue_piece(&mut self, has_receiver: bool) {
        let Reading::Streamed { tx, piece, .. } = &mut self.reading else {
            return;
        };
        let Some(next) = piece.take() else {
            return;
        };
        let last = matches!(next, upstream::Piece::End);
        if has_receiver && let Err(mpsc::error::TrySendError::Full(unsent)) = tx.try_send(next) {
            *piece = Some(unsent);
            return;
        }
        if last {
            self.end_body(match has_receiver {
                true => BodyEnd::Whole,
                false => BodyEnd::Unneeded,
            });
        }
    }

    /// Queues the next piece of a streamed body, or reads more bytes if fewer than `max_bytes` are buffered.
    pub(super) async fn read(&mut self, max_bytes: usize) -> Read {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            task::yield_now().await;
        }
        let has_space = self.buf.len() < max_bytes && self.make_room();
        self.unread.set(match has_space {
            true => 0,
            false => UNREAD_BYTES,
        });
        let room = self.room_for_piece();
        let has_receiver = tokio::select! {
            biased;
            has_receiver = room => has_receiver,
            n = self.rd.read_buf(&mut self.buf), if has_space => {
                // Bytes after a head belong to its body, so the caller does not wait.
                self.awaits_continue = false;
                self.turn_bytes += n.as_ref().copied().unwrap_or_default();
                return Read::Bytes(not_ended(n));
            }
        };
        self.queue_piece(has_receiver);
        Read::Queued
    }

    /// Reads what has arrived without waiting.
    pub(super) fn try_read(&mut self) -> io::Result<usize> {
        if !self.make_room() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        not_ended(self.rd.try_read_buf(&mut self.buf))
    }

    /// Discards what still arrives until the caller has disconnected.
    pub(super) async fn discard(&mut self) {
        self.buf = BytesMut::new();
        self.buf_bytes = 0;
        self.make_room();
        self.update_charge();
        while let Ok(1..) = self.rd.read_buf(&mut self.buf).await {
            self.buf.clear();
        }
    }
}

/// The receiving side of a connection.
pub(super) struct Inbound {
    pub(super) input: Input,
    /// Requests without a written answer.
    pub(super) pending: collections::VecDeque<Pending>,
    /// Whether no further request starts.
    pub(super) closed: bool,
    /// Whether the current body gets no memory.
    lacks_memory: bool,
}

impl Inbound {
    pub(super) fn new(rd: tcp::OwnedReadHalf, account: memory::Account) -> Self {
        Self {
            input: Input {
                rd,
                buf: BytesMut::new(),
                buf_bytes: 0,
                reading: Reading::Head,
                awaits_continue: false,
                turn_bytes: 0,
                charge: account.charge(memory::Owner::Received),
                unread: account.charge(memory::Owner::Unread),
                account,
            },
            pending: collections::VecDeque::new(),
            closed: false,
            lacks_memory: false,
        }
    }

    /// Parses the buffered bytes of the current body. Refuses a request whose body is invalid.
    pub(super) fn take_body(&mut self, limits: &routes::Limits) {
        match self.input.take_body(limits.max_body_bytes) {
            Ok(()) => {}
            Err(BodyError::Invalid(status)) => {
                self.refuse(Reason::Invalid, Answer::empty(status));
            }
            Err(BodyError::NoMemory) => self.lacks_memory = true,
        }
    }

    /// Whether the connection waits for its caller, and not for its own answers or memory.
    pub(super) fn awaits_caller(&self) -> bool {
        match &self.input.reading {
            _ if self.input.awaits_continue => false,
            Reading::Head => !self.input.buf.is_empty() && self.may_start(),
            Reading::Buffered { reader, .. } => !reader.is_done(),
            Reading::Streamed { reader, piece, .. } => piece.is_none() && !reader.is_done(),
        }
    }

    /// Whether a request may start. It may not while an earlier answer is being relayed: if that answer is
    /// truncated, the connection closes, and callers resend requests that have not run.
    fn may_start(&self) -> bool {
        let is_relayed = |pending: &Pending| pending.cancellation.relayed.get();
        let is_full = self.pending.len() >= MAX_PIPELINED_REQUESTS;
        !self.closed && !is_full && !self.pending.iter().any(is_relayed)
    }

    /// Whether `100 Continue` is due: the answers to all earlier requests are written.
    pub(super) fn is_continue_due(&self) -> bool {
        let is_next = match (&self.input.reading, self.pending.front()) {
            (Reading::Head, _) => false,
            (Reading::Buffered { .. }, first) => first.is_none(),
            (Reading::Streamed { .. }, first) => {
                self.pending.len() == 1 && !first.is_some_and(Pending::is_ready)
            }
        };
        self.input.awaits_continue && is_next
    }

    /// Whether the current request was answered before `100 Continue` was sent, so the caller may omit the
    /// body.
    pub(super) fn may_omit_body(&self) -> bool {
        self.input.awaits_continue && self.partial() == Partial::Answered
    }

    /// Reads until the caller disconnects, without starting a request. A disconnect truncates the current
    /// body.
    pub(super) async fn read_on(&mut self, limits: &routes::Limits) -> io::Error {
        loop {
            self.take_body(limits);
            if self.lacks_memory {
                // The request is refused once the answers before it are written.
                return future::pending().await;
            }
            self.input.update_charge();
            match self.input.read(MAX_READ_AHEAD_BYTES).await {
                Read::Bytes(Err(err)) => {
                    self.close(Reason::Disconnected);
                    return err;
                }
                Read::Bytes(Ok(_)) | Read::Queued => {}
            }
        }
    }

    /// The request that is being read.
    pub(super) fn partial(&self) -> Partial {
        match self.input.reading {
            Reading::Head if self.input.buf.is_empty() => Partial::None,
            Reading::Head => Partial::Head,
            Reading::Buffered { .. } => Partial::Buffered,
            // Its request is the last one.
            Reading::Streamed { .. } if self.pending.is_empty() => Partial::Answered,
            Reading::Streamed { .. } => Partial::Streamed,
        }
    }

    /// Starts no further request. Returns what became of the one that is being read; the caller of this
    /// function answers it if it is refused.
    pub(super) fn close(&mut self, reason: Reason) -> Fate {
        self.closed = true;
        let fate = reason.fate(self.partial());
        match fate {
            Fate::Read => {}
            Fate::Refused => self.input.end_body(BodyEnd::Invalid),
            Fate::Dropped | Fate::Truncated | Fate::Abandoned => self.input.end_body(BodyEnd::Cut),
        }
        fate
    }

    /// Closes the connection and answers the request that is being read, because the start of the next one
    /// is unknown. The answer replaces that of a running request, unless that one is ready.
    pub(super) fn refuse(&mut self, reason: Reason, answer: Answer) {
        let partial = self.partial();
        if self.close(reason) != Fate::Refused {
            return;
        }
        let refused = Pending::answered(Answer {
            close: true,
            ..answer
        });
        match self.pending.back_mut() {
            Some(last) if partial == Partial::Streamed => {
                if !last.is_ready() {
                    *last = refused;
                }
            }
            _ => self.pending.push_back(refused),
        }
    }
}

impl<H: Handler> Connection<H> {
    /// Starts the requests that have been read, up to the limit of pending requests.
    pub(super) fn start_requests(&mut self) {
        self.start_read_requests();
        self.inbound.input.update_charge();
        self.slot.set_held(self.inbound.input.held_bytes());
    }

    fn start_read_requests(&mut self) {
        loop {
            let limits = self.handler.limits();
            self.inbound.take_body(&limits);
            if std::mem::take(&mut self.inbound.lacks_memory) {
                self.refuse_partial();
                return;
            }
            match std::mem::replace(&mut self.inbound.input.reading, Reading::Head) {
                Reading::Head => {
                    if !self.inbound.may_start() || !self.begin_request(&limits) {
                        return;
                    }
                }
                Reading::Buffered {
                    head,
                    reader,
                    body,
                    received,
                } if reader.is_done() && self.inbound.may_start() => {
                    self.start(head, upstream::Payload::Whole(body.freeze()), received);
                }
                Reading::Buffered {
                    head,
                    reader,
                    body,
                    received,
                } if body.len() > MAX_BUFFERED_BODY_BYTES && self.inbound.may_start() => {
                    self.stream(head, reader, body, received);
                }
                unfinished => {
                    self.inbound.input.reading = unfinished;
                    return;
                }
            }
        }
    }

    /// Reads a head. Returns whether it was complete and accepted.
    fn begin_request(&mut self, limits: &routes::Limits) -> bool {
        let head =
            match http1::RequestHead::take(&mut self.inbound.input.buf, limits.max_head_bytes) {
                Ok(Some(head)) => head,
                Ok(None) => return false,
                Err(err) => {
                    let status = match err {
                        http1::Malformed::TooLong => 431,
                        _ => 400,
                    };
                    self.inbound.refuse(Reason::Invalid, Answer::empty(status));
                    return false;
                }
            };
        let read = time::Instant::now();
        let received = Arrival {
            at: read.checked_sub(self.delay).unwrap_or(read),
            delay: self.delay,
        };
        let length = head.framing.length();
        if length.is_some_and(|n| n > limits.max_body_bytes) {
            self.inbound.refuse(Reason::Invalid, Answer::empty(413));
            return false;
        }
        let expects = head.fields.contains_token("expect", "100-continue");
        self.inbound.input.awaits_continue = expects && self.inbound.input.buf.is_empty();
        let reader = http1::BodyReader::new(head.framing);
        let body = BytesMut::new();
        if reader.is_done() {
            self.start(head, upstream::Payload::Whole(Bytes::new()), received);
        } else if length.is_some_and(|n| n > MAX_BUFFERED_BODY_BYTES as u64) {
            self.stream(head, reader, body, received);
        } else {
            self.inbound.input.reading = Reading::Buffered {
                head,
                reader,
                body,
                received,
            };
        }
        true
    }

    /// Starts a request with a streamed body; `body` is the part that was already read.
    fn stream(
        &mut self,
        head: http1::RequestHead,
        reader: http1::BodyReader,
        body: BytesMut,
        received: Arrival,
    ) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_PIECES);
        let payload = upstream::Payload::Pieces {
            length: head.framing.length(),
            rx: Some(rx),
        };
        if !self.start(head, payload, received) {
            return;
        }
        let account = &self.inbound.input.account;
        let piece =
            (!body.is_empty()).then(|| account.guard(memory::Owner::Uploads, body.freeze()));
        let piece = piece.map(upstream::Piece::Data);
        self.inbound.input.reading = Reading::Streamed { reader, tx, piece };
    }

    /// Refuses the request that is being read, for want of memory. It has not run, unless its body is
    /// streamed; then its handler is asked for its answer.
    pub(super) fn refuse_partial(&mut self) {
        let head = match &self.inbound.input.reading {
            Reading::Streamed { .. } => {
                if let Some(last) = self.inbound.pending.back() {
                    last.cancellation.end_stalled();
                }
                self.inbound.close(Reason::Shed);
                return;
            }
            Reading::Buffered { head, .. } => Some(head),
            Reading::Head => None,
        };
        let answer = self.handler.refuse(head, Refusal::NoMemory);
        self.inbound.refuse(Reason::Shed, answer);
    }

    /// Starts a request, unless there is no memory for it. Returns whether it is started.
    fn start(
        &mut self,
        head: http1::RequestHead,
        payload: upstream::Payload,
        received: Arrival,
    ) -> bool {
        self.inbound.input.update_charge();
        let body_bytes = match &payload {
            upstream::Payload::Whole(body) => body.len(),
            upstream::Payload::Pieces { .. } => 0,
        };
        let account = self.inbound.input.account.clone();
        let bytes = REQUEST_BYTES + head.len() + body_bytes;
        let Some(charge) = account.try_charge(memory::Owner::Requests, bytes) else {
            let answer = self.handler.refuse(Some(&head), Refusal::NoMemory);
            self.inbound.close(Reason::Shed);
            self.inbound.pending.push_back(Pending::answered(Answer {
                close: true,
                ..answer
            }));
            return false;
        };
        let (tx, rx) = oneshot::channel();
        let cancellation = rc::Rc::new(Cancellation::default());
        if !self.inbound.pending.is_empty() {
            let pending = self.inbound.pending.iter().map(|p| &p.cancellation);
            pending
                .chain([&cancellation])
                .for_each(|c| c.pipelined.set(true));
        }
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
        let task = account.spawn(memory::Owner::Requests, async move {
            let _charge = charge;
            // The receiver is dropped if the caller disconnected and the request was committed.
            let _ = tx.send(answer.await);
            ready.notify_one();
        });
        if !keep_alive {
            self.inbound.close(Reason::CallerCloses);
        }
        self.inbound.pending.push_back(Pending {
            rx,
            task: Some(task.abort_handle()),
            cancellation,
            keep_alive,
            framing,
        });
        true
    }
}
