//! What is left to send of a request while its answer is received.
//!
//! Bytes that arrive do not end the sending: they may be an interim answer, a late answer to an earlier
//! request, or the beginning of an early answer. It ends with the body, with the connection, with a
//! caller that sends no more, or because the whole answer is there.

use std::future;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use super::window;
use crate::protocol::http1;

/// A piece of a streamed body.
#[derive(Debug)]
pub enum Piece {
    /// The next bytes of the body.
    Data(Bytes),
    /// The end of a complete body. A body whose channel closes without it is truncated.
    End,
}

/// How the sending of a request has ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    /// The connection takes no more bytes.
    Connection,
    /// The caller's body is truncated.
    Body,
    /// The rest is not needed.
    Unneeded,
}

/// The rest of a request.
#[derive(Debug, Default)]
pub(super) struct Outgoing {
    /// Bytes to be written next.
    buf: BytesMut,
    /// The rest of a streamed body.
    pieces: Option<mpsc::Receiver<Piece>>,
    is_chunked: bool,
    broken: Option<Broken>,
    stall: window::Stall,
}

impl Outgoing {
    /// The bytes of a request whose body is not streamed, or those before its body.
    pub(super) fn new(buf: BytesMut, stall: window::Stall) -> Self {
        Self {
            buf,
            stall,
            ..Self::default()
        }
    }

    /// Adds a streamed body.
    pub(super) fn stream(&mut self, pieces: mpsc::Receiver<Piece>, is_chunked: bool) {
        self.pieces = Some(pieces);
        self.is_chunked = is_chunked;
    }

    /// Whether nothing is left to send, since all is sent or the sending has ended.
    pub(super) fn is_done(&self) -> bool {
        self.buf.is_empty() && self.pieces.is_none()
    }

    /// Whether the whole request is sent.
    pub(super) fn is_sent(&self) -> bool {
        self.is_done() && self.broken.is_none()
    }

    /// Whether the connection takes no more bytes.
    pub(super) fn has_failed(&self) -> bool {
        self.broken == Some(Broken::Connection)
    }

    /// Whether the caller's body was truncated.
    pub(super) fn is_truncated(&self) -> bool {
        self.broken == Some(Broken::Body)
    }

    /// Ends the sending: the rest is not needed.
    pub(super) fn discard(&mut self) {
        if !self.is_done() {
            self.break_off(Broken::Unneeded);
        }
    }

    fn break_off(&mut self, broken: Broken) {
        *self = Self {
            broken: Some(broken),
            stall: self.stall.clone(),
            ..Self::default()
        };
    }

    /// Writes the next bytes. Returns whether the connection has taken any.
    pub(super) async fn write<W>(&mut self, tx: &mut W) -> bool
    where
        W: AsyncWrite + Unpin,
    {
        let at_once = tx.write_buf(&mut self.buf).now_or_never();
        let written = match at_once {
            Some(written) => written,
            None => {
                let written = tx.write_buf(&mut self.buf).await;
                self.stall.note_life();
                written
            }
        };
        let is_written = matches!(written, Ok(1..));
        if self.is_done() {
            // The connection may be kept for long.
            self.buf = BytesMut::new();
        }
        is_written
    }

    /// Sends all that is left; returns only if the caller's body is truncated.
    pub(super) async fn send<W>(&mut self, tx: &mut W)
    where
        W: AsyncWrite + Unpin,
    {
        loop {
            while !self.buf.is_empty() {
                if !self.write(tx).await {
                    // The peer may have answered before it stopped reading.
                    self.break_off(Broken::Connection);
                    return future::pending().await;
                }
            }
            let Some(pieces) = &mut self.pieces else {
                return future::pending().await;
            };
            match pieces.recv().await {
                None => return self.break_off(Broken::Body),
                Some(Piece::Data(data)) if self.is_chunked => {
                    http1::put_chunk(&mut self.buf, &data);
                }
                Some(Piece::Data(data)) => self.buf.extend_from_slice(&data),
                Some(Piece::End) => {
                    self.pieces = None;
                    if self.is_chunked {
                        self.buf.extend_from_slice(http1::LAST_CHUNK);
                    }
                }
            }
        }
    }
}
