//! One request and its answer on a connection to a backend server.
//!
//! What matters is what is known of the request afterwards. Bytes that were written may have
//! been run, whatever error follows; only a send of which no byte went out surely has not.

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

use super::socket;
use crate::protocol::http1;

/// The longest answer's head, in bytes.
const HEAD: usize = 64 << 10;

/// Answers on one connection that belong to earlier requests, at most, before it is given up.
const STRAYS: usize = 4;

/// A piece of a body that is passed on as it comes.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of it.
    Data(Bytes),
    /// It is whole. A channel that closes without this was cut off.
    End,
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// All of it is here.
    Whole(Bytes),
    /// It is still coming.
    Pieces {
        /// Its length, where the caller said it.
        length: Option<u64>,
        /// Its pieces.
        rx: mpsc::Receiver<Piece>,
        /// Whether pieces were taken, so that it cannot be sent a second time.
        begun: bool,
    },
}

impl Payload {
    /// Whether it can be sent from its beginning.
    pub fn is_fresh(&self) -> bool {
        !matches!(self, Self::Pieces { begun: true, .. })
    }
}

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request went out: it has not run.
    Unsent,
    /// The connection broke after bytes had gone out: it may have run.
    Lost,
    /// What came is no answer: it may have run.
    Garbage,
    /// The caller's own body broke off.
    CallerGone,
}

/// How an answer to this very request is told from one that came late for an earlier request.
#[derive(Clone, Copy, Debug)]
pub struct Tag<'a> {
    /// The field in which backend servers repeat a request's id.
    pub field: &'a str,
    /// The id.
    pub id: &'a [u8],
    /// Whether the request's method is HEAD.
    pub to_head: bool,
}

/// An answer's head, and whether the connection may carry another request after its body.
#[derive(Debug)]
pub struct Received {
    /// The head.
    pub head: http1::ResponseHead,
    /// Whether the connection may be used again.
    pub reusable: bool,
}

/// Sends a request and reads the head of its answer.
pub async fn exchange(
    wire: &mut socket::Wire,
    head: &[u8],
    payload: &mut Payload,
    tag: Tag<'_>,
) -> Result<Received, Failure> {
    let whole = match payload {
        Payload::Whole(body) => {
            send_whole(wire, head, body).await?;
            true
        }
        Payload::Pieces { length, rx, begun } => {
            wire.send(head).await.map_err(fate)?;
            *begun = true;
            send_pieces(wire, rx, length.is_none()).await?
        }
    };
    let head = receive(wire, tag).await?;
    // An answer to a body that was not sent whole leaves the connection where the rest of that
    // body is due, so the next request on it would be read as that rest.
    let reusable = whole && head.keeps_alive();
    Ok(Received { head, reusable })
}

fn fate((sent, _): (usize, std::io::Error)) -> Failure {
    match sent {
        0 => Failure::Unsent,
        _ => Failure::Lost,
    }
}

async fn send_whole(wire: &mut socket::Wire, head: &[u8], body: &[u8]) -> Result<(), Failure> {
    if body.is_empty() {
        return wire.send(head).await.map_err(fate);
    }
    let mut both = BytesMut::with_capacity(head.len() + body.len());
    both.extend_from_slice(head);
    both.extend_from_slice(body);
    wire.send(&both).await.map_err(fate)
}

/// Passes a body on as it comes. Returns whether it went out whole: an answer may come before.
async fn send_pieces(
    wire: &mut socket::Wire,
    rx: &mut mpsc::Receiver<Piece>,
    chunked: bool,
) -> Result<bool, Failure> {
    let mut out = BytesMut::new();
    loop {
        let piece = tokio::select! {
            biased;
            n = wire.fill() => return early(n),
            piece = rx.recv() => piece,
        };
        let last = match piece {
            None => return Err(Failure::CallerGone),
            Some(Piece::Data(data)) if chunked => {
                http1::put_chunk(&mut out, &data);
                false
            }
            Some(Piece::Data(data)) => {
                out.extend_from_slice(&data);
                false
            }
            Some(Piece::End) => {
                if chunked {
                    out.extend_from_slice(http1::LAST_CHUNK);
                }
                true
            }
        };
        if wire
            .send_or_read(&mut out)
            .await
            .map_err(|_| Failure::Lost)?
        {
            return Ok(false);
        }
        if last {
            return Ok(true);
        }
    }
}

fn early(n: std::io::Result<usize>) -> Result<bool, Failure> {
    match n {
        Ok(0) | Err(_) => Err(Failure::Lost),
        Ok(_) => Ok(false),
    }
}

/// Reads the head of the answer that bears the request's id. Backend servers sometimes send a
/// second answer to an earlier request just where the next one is due; taken for the next
/// request's answer it would reach the wrong caller.
async fn receive(wire: &mut socket::Wire, tag: Tag<'_>) -> Result<http1::ResponseHead, Failure> {
    let mut strays = 0;
    loop {
        let head = receive_head(wire, tag.to_head).await?;
        if head.status < 200 {
            continue;
        }
        let own = head.fields.get(tag.field).is_none_or(|id| id == tag.id);
        if own {
            return Ok(head);
        }
        strays += 1;
        if strays > STRAYS || head.framing == http1::Framing::UntilClose {
            return Err(Failure::Garbage);
        }
        let mut body = http1::BodyReader::new(head.framing);
        while next_piece(wire, &mut body).await?.is_some() {}
    }
}

async fn receive_head(
    wire: &mut socket::Wire,
    to_head: bool,
) -> Result<http1::ResponseHead, Failure> {
    loop {
        let taken = http1::ResponseHead::take(&mut wire.buf, HEAD, to_head);
        if let Some(head) = taken.map_err(|_| Failure::Garbage)? {
            return Ok(head);
        }
        match wire.fill().await {
            Ok(0) | Err(_) => return Err(Failure::Lost),
            Ok(_) => {}
        }
    }
}

/// The next piece of an answer's body; `None` once it is whole.
pub async fn next_piece(
    wire: &mut socket::Wire,
    body: &mut http1::BodyReader,
) -> Result<Option<Bytes>, Failure> {
    loop {
        let piece = body.next(&mut wire.buf).map_err(|_| Failure::Garbage)?;
        if piece.is_some() {
            return Ok(piece);
        }
        if body.is_done() {
            return Ok(None);
        }
        match wire.fill().await {
            // A reset is no end: only an orderly close ends a body without a length.
            Ok(0) if body.handle_close() => return Ok(None),
            Ok(0) | Err(_) => return Err(Failure::Lost),
            Ok(_) => {}
        }
    }
}
