//! The unsent part of a request. It is sent while the answer is received.
//!
//! Received bytes do not stop the transfer: they may be an interim answer, a late answer to an earlier
//! request, or the start of an early answer. It stops at the end of the body, when the connection fails,
//! when the caller's body is truncated, or when the complete answer has been received.

use std::future;

use bytes::{Buf, Bytes, BytesMut};
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

/// Why the transfer of a request stopped before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    /// The connection failed.
    Connection,
    /// The caller's body is truncated.
    Body,
    /// The rest is not needed.
    Unneeded,
}

/// The unsent part of a request.
#[derive(Debug, Default)]
pub(super) struct Outgoing {
    /// Bytes to be written next.
    buf: BytesMut,
    /// Bytes of the body to be written behind `buf`. They are not copied.
    body: Bytes,
    /// Bytes to be written behind `body`.
    tail: &'static [u8],
    /// The rest of a streamed body.
    pieces: Option<mpsc::Receiver<Piece>>,
    is_chunked: bool,
    broken: Option<Broken>,
    stall: window::Stall,
}

impl Outgoing {
    /// A request: its first bytes and those behind them.
    pub(super) fn new(buf: BytesMut, body: Bytes, stall: window::Stall) -> Self {
        Self {
            buf,
            body,
            stall,
            ..Self::default()
        }
    }

    /// Adds a streamed body.
    pub(super) fn stream(&mut self, pieces: mpsc::Receiver<Piece>, is_chunked: bool) {
        self.pieces = Some(pieces);
        self.is_chunked = is_chunked;
    }

    /// Whether nothing is left to send: all is sent, or the transfer was aborted.
    pub(super) fn is_done(&self) -> bool {
        self.is_written() && self.pieces.is_none()
    }

    /// Whether all bytes are written that have arrived.
    fn is_written(&self) -> bool {
        self.buf.is_empty() && self.body.is_empty() && self.tail.is_empty()
    }

    /// Whether the whole request is sent.
    pub(super) fn is_sent(&self) -> bool {
        self.is_done() && self.broken.is_none()
    }

    /// Whether the connection failed.
    pub(super) fn has_failed(&self) -> bool {
        self.broken == Some(Broken::Connection)
    }

    /// Whether the caller's body was truncated.
    pub(super) fn is_truncated(&self) -> bool {
        self.broken == Some(Broken::Body)
    }

    /// Aborts the transfer because the rest is not needed.
    pub(super) fn discard(&mut self) {
        if !self.is_done() {
            self.abort(Broken::Unneeded);
        }
    }

    fn abort(&mut self, broken: Broken) {
        *self = Self {
            broken: Some(broken),
            stall: self.stall.clone(),
            ..Self::default()
        };
    }

    /// Writes the next bytes. Returns whether any were written.
    pub(super) async fn write<W>(&mut self, tx: &mut W) -> bool
    where
        W: AsyncWrite + Unpin,
    {
        let mut bytes = (&mut self.buf).chain(&mut self.body).chain(&mut self.tail);
        let at_once = tx.write_buf(&mut bytes).now_or_never();
        let written = match at_once {
            Some(written) => written,
            None => {
                let written = tx.write_buf(&mut bytes).await;
                self.stall.record_activity();
                written
            }
        };
        if self.body.is_empty() {
            // Releases the piece's memory.
            self.body = Bytes::new();
        }
        let is_written = matches!(written, Ok(1..));
        if self.is_done() {
            // Releases the buffer, because the connection may stay idle for long.
            self.buf = BytesMut::new();
        }
        is_written
    }

    /// Sends the rest. Returns only if the caller's body is truncated.
    pub(super) async fn send<W>(&mut self, tx: &mut W)
    where
        W: AsyncWrite + Unpin,
    {
        loop {
            while !self.is_written() {
                if !self.write(tx).await {
                    // The peer may have sent an answer before it closed.
                    self.abort(Broken::Connection);
                    return future::pending().await;
                }
            }
            let Some(pieces) = &mut self.pieces else {
                return future::pending().await;
            };
            match pieces.recv().await {
                None => return self.abort(Broken::Body),
                // An empty chunk would end the body.
                Some(Piece::Data(data)) if data.is_empty() => {}
                Some(Piece::Data(data)) => {
                    if self.is_chunked {
                        http1::put_chunk_size(&mut self.buf, data.len());
                        self.tail = http1::CHUNK_END;
                    }
                    self.body = data;
                }
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
