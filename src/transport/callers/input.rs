//! The bytes that a caller sends: reads them, and decodes bodies that are buffered or streamed.
//!
//! What is buffered counts in the process's [account](memory::Account). A body that gets no memory is not read
//! further; a read buffer that gets none is not filled.

use std::future;
use std::io;
use std::time;

use bytes::BytesMut;
use metrics::counter;
use tokio::io::AsyncReadExt;
use tokio::net::tcp;
use tokio::sync::mpsc;
use tokio::task;

use crate::metrics as known;
use crate::protocol::http1;
use crate::transport::{memory, upstream};

/// The longest body that is buffered, so that it can be sent again. Longer bodies are streamed,
/// because a few concurrent ones would not fit in the memory of a small VM.
pub(super) const MAX_BUFFERED_BODY_BYTES: usize = 256 << 10;

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

/// When a head arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// When it was read, less the delay.
    pub(super) at: time::Instant,
    pub(super) delay: time::Duration,
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
pub(super) enum BodyEnd {
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
    pub(super) account: memory::Account,
    /// Counts the read buffer and a buffered body.
    charge: memory::Charge,
    /// Counts what the system holds while the connection is not read.
    unread: memory::Charge,
}

impl Input {
    pub(super) fn new(rd: tcp::OwnedReadHalf, account: memory::Account) -> Self {
        Self {
            rd,
            buf: BytesMut::new(),
            buf_bytes: 0,
            reading: Reading::Head,
            awaits_continue: false,
            turn_bytes: 0,
            charge: account.charge(memory::Owner::Received),
            unread: account.charge(memory::Owner::Unread),
            account,
        }
    }

    pub(super) fn is_between_requests(&self) -> bool {
        self.buf.is_empty() && matches!(self.reading, Reading::Head)
    }

    /// Parses the buffered bytes of the current body.
    pub(super) fn take_body(&mut self, max_bytes: u64) -> Result<(), BodyError> {
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
    pub(super) fn end_body(&mut self, end: BodyEnd) {
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
