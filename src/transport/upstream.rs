//! Sends one request on a connection to a backend server and receives its answer.
//!
//! A failure must state whether the request may have run, because that decides about a retry. Once
//! any byte was written, it may have run, whatever error follows.

use std::time;

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

use super::socket;
use crate::protocol::http1;

pub use super::outgoing::Piece;
pub use super::window::Stall;

/// The longest accepted head of an answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Answers to earlier requests that are skipped on a connection before it is closed.
const MAX_STALE_ANSWERS: usize = 4;

/// Interim answers (1xx) that are skipped before an answer.
const MAX_INTERIM_ANSWERS: usize = 16;

/// The longest body of an answer to an earlier request that is skipped.
const MAX_STALE_BYTES: u64 = 1 << 20;

/// Bodies of this size are copied behind their heads, which takes less than a write of two buffers.
const MAX_COPIED_BYTES: usize = 4 << 10;

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// The complete body.
    Whole(Bytes),
    /// A streamed body.
    Pieces {
        /// Its length in bytes, if the caller stated it.
        length: Option<u64>,
        /// The channel of its pieces; `None` once sending has started, so that the body cannot be sent
        /// again.
        rx: Option<mpsc::Receiver<Piece>>,
    },
}

impl Payload {
    /// Whether the body can still be sent from its start.
    pub fn is_replayable(&self) -> bool {
        !matches!(self, Self::Pieces { rx: None, .. })
    }
}

/// Why no answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was written; it has not run.
    Unsent,
    /// The connection broke after bytes were written; the request may have run.
    Lost,
    /// The received bytes are not a valid answer; the request may have run.
    InvalidAnswer,
    /// The caller's body was truncated; the request may have run.
    CallerDisconnected,
}

/// Identifies the answer to a request among late answers to earlier requests.
#[derive(Clone, Copy, Debug)]
pub struct Tag<'a> {
    /// The header field in which backend servers repeat a request's id.
    pub field: &'a str,
    /// The id of the request.
    pub id: &'a [u8],
    /// Whether the request's method is HEAD.
    pub to_head: bool,
}

/// A received head of an answer.
#[derive(Debug)]
pub struct Received {
    /// The head.
    pub head: http1::ResponseHead,
    /// Whether the connection may be reused after the answer's body.
    pub reusable: bool,
}

/// Sends a request and receives the head of its answer. The unsent part of the request is sent while
/// the answer's body is received.
pub async fn exchange(
    wire: &mut socket::Wire,
    head: &[u8],
    payload: &mut Payload,
    tag: Tag<'_>,
) -> Result<Received, Failure> {
    let (mut body, is_streamed) = match payload {
        Payload::Whole(body) => (body.clone(), false),
        Payload::Pieces { .. } => (Bytes::new(), true),
    };
    let mut request = BytesMut::with_capacity(head.len() + MAX_COPIED_BYTES.min(body.len()));
    request.extend_from_slice(head);
    if body.len() <= MAX_COPIED_BYTES {
        request.extend_from_slice(&std::mem::take(&mut body));
    }
    if !wire.begin(request, body, is_streamed).await {
        return Err(Failure::Unsent);
    }
    if let Payload::Pieces { length, rx } = payload
        && let Some(pieces) = rx.take()
    {
        wire.outgoing().stream(pieces, length.is_none());
    }
    let head = receive(wire, tag).await?;
    // If the answer came before the body was sent completely, the backend server still expects
    // the rest of the body and would read the next request on the connection as that rest.
    let reusable = wire.outgoing().is_sent() && head.keeps_alive();
    Ok(Received { head, reusable })
}

/// Reads more bytes, while the rest of the request is sent; 0 at the end of the stream.
async fn fill(wire: &mut socket::Wire) -> Result<usize, Failure> {
    let n = wire.fill().await;
    n.map_err(|_| match wire.outgoing().is_truncated() {
        true => Failure::CallerDisconnected,
        false => Failure::Lost,
    })
}

/// Whether the whole request is sent.
pub fn is_sent(wire: &mut socket::Wire) -> bool {
    wire.outgoing().is_sent()
}

/// Sends the rest of the request's body until the peer has read nothing for this long. Never completes if
/// nothing is left to send.
pub async fn send_until_blocked(wire: &mut socket::Wire, period: time::Duration) {
    let stall = wire.stall();
    tokio::select! {
        () = wire.flush() => {}
        () = stall.lasts(period) => {}
    }
}

/// Aborts the transfer of the request's body, so that its caller is not blocked by a backend server that
/// does not read it.
pub fn discard_rest(wire: &mut socket::Wire) {
    wire.outgoing().discard();
}

/// Receives the head of the answer with the request's id. Backend servers sometimes send a second
/// answer to an earlier request in place of the next answer. Without the check of the id it would
/// reach the wrong caller.
async fn receive(wire: &mut socket::Wire, tag: Tag<'_>) -> Result<http1::ResponseHead, Failure> {
    let mut stale_answers = 0;
    let mut interim_answers = 0;
    loop {
        let head = receive_head(wire, tag.to_head).await?;
        let kind = http1::StatusKind::of(head.status);
        if kind == http1::StatusKind::Interim {
            interim_answers += 1;
            if interim_answers > MAX_INTERIM_ANSWERS {
                return Err(Failure::InvalidAnswer);
            }
            continue;
        }
        let matches = head.fields.get(tag.field).is_none_or(|id| id == tag.id);
        match kind {
            http1::StatusKind::Invalid if matches => return Err(Failure::InvalidAnswer),
            _ if matches => return Ok(head),
            _ => {}
        }
        stale_answers += 1;
        if stale_answers > MAX_STALE_ANSWERS || head.framing == http1::Framing::UntilClose {
            return Err(Failure::InvalidAnswer);
        }
        let mut body = http1::BodyReader::new(head.framing);
        while next_piece(wire, &mut body).await?.is_some() {
            if body.bytes_read() > MAX_STALE_BYTES {
                return Err(Failure::InvalidAnswer);
            }
        }
    }
}

async fn receive_head(
    wire: &mut socket::Wire,
    to_head: bool,
) -> Result<http1::ResponseHead, Failure> {
    loop {
        let taken = http1::ResponseHead::take(&mut wire.buf, MAX_HEAD_BYTES, to_head);
        if let Some(head) = taken.map_err(|_| Failure::InvalidAnswer)? {
            return Ok(head);
        }
        if fill(wire).await? == 0 {
            return Err(Failure::Lost);
        }
    }
}

/// Receives the next piece of an answer's body; `None` once the body is complete.
pub async fn next_piece(
    wire: &mut socket::Wire,
    body: &mut http1::BodyReader,
) -> Result<Option<Bytes>, Failure> {
    loop {
        let piece = body
            .next(&mut wire.buf)
            .map_err(|_| Failure::InvalidAnswer)?;
        if piece.is_some() {
            return Ok(piece);
        }
        if body.is_done() {
            return Ok(None);
        }
        match fill(wire).await? {
            // Only an orderly close ends a body without a stated length; a reset truncates it.
            0 if body.handle_close() => return Ok(None),
            0 => return Err(Failure::Lost),
            _ => {}
        }
    }
}

/// Receives the body of an answer; `None` if the connection fails or a piece takes longer than the timeout.
pub async fn read_body(
    wire: &mut socket::Wire,
    framing: http1::Framing,
    timeout: time::Duration,
) -> Option<Bytes> {
    let mut reader = http1::BodyReader::new(framing);
    let mut body = BytesMut::new();
    loop {
        let piece = tokio::time::timeout(timeout, next_piece(wire, &mut reader)).await;
        match piece.ok()?.ok()? {
            Some(piece) => body.extend_from_slice(&piece),
            None => return Some(body.freeze()),
        }
    }
}
