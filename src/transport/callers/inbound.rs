//! Reads requests from a caller's connection: heads, and bodies that are buffered or streamed.
//!
//! The connection's state decides whether a further request starts. It does not decide whether a body is
//! read: a streamed body is read to its end once its request runs. If the body cannot be completed, its
//! channel closes, so the request's handler receives the error and the caller an answer without delay.

use std::collections;
use std::future;
use std::io;
use std::rc;
use std::time;

use bytes::{Bytes, BytesMut};
use tokio::net::tcp;
use tokio::sync::{mpsc, oneshot};

use super::ending::{Fate, Partial, Reason};
use super::input::{
    Arrival, BodyEnd, BodyError, Input, MAX_BUFFERED_BODY_BYTES, MAX_READ_AHEAD_BYTES, Read,
    Reading,
};
use super::pending::Pending;
use super::{Answer, Cancellation, Connection, Handler, Refusal, Request, answer};
use crate::protocol::{http1, routes};
use crate::transport::{memory, upstream};

/// Concurrent requests per connection. Callers pipeline about four; a higher limit would let one
/// connection occupy a whole backend server.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// What a request holds beside its task, head and body: its place among the pending ones, the read buffer of
/// the connection to its backend server and a short answer.
const REQUEST_BYTES: usize = 12 << 10;

/// Pieces of a streamed body that are queued for the request's task.
const MAX_QUEUED_PIECES: usize = 4;

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
            input: Input::new(rd, account),
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
