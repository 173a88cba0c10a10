//! Answers to callers, and the encoding of their heads.

use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

use crate::protocol::http1;
use crate::transport::upstream;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Whole(Bytes),
    /// A streamed body.
    Pieces {
        /// Its length in bytes, if known.
        length: Option<u64>,
        /// The channel of its pieces.
        rx: mpsc::Receiver<upstream::Piece>,
    },
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The encoded header fields, without those for the connection and the framing.
    pub fields: BytesMut,
    /// The body.
    pub body: Body,
    /// Whether the connection must be closed after this answer.
    pub close: bool,
}

impl Answer {
    /// An answer without fields and body.
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            fields: BytesMut::new(),
            body: Body::Whole(Bytes::new()),
            close: false,
        }
    }

    pub(super) fn has_unknown_length(&self) -> bool {
        matches!(self.body, Body::Pieces { length: None, .. })
    }
}

/// The properties of a request that determine the framing of its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerFraming {
    /// Whether the caller supports the chunked transfer coding.
    pub(super) chunks: bool,
    /// Whether the request's method is HEAD, so that the answer has no body.
    pub(super) to_head: bool,
}

impl Default for AnswerFraming {
    fn default() -> Self {
        Self {
            chunks: true,
            to_head: false,
        }
    }
}

impl AnswerFraming {
    pub(super) fn of(head: &http1::RequestHead) -> Self {
        Self {
            chunks: head.supports_chunked(),
            to_head: head.method() == b"HEAD",
        }
    }
}

/// Writes the head of an answer.
pub(super) fn put_head(out: &mut BytesMut, answer: &Answer, close: bool, framing: AnswerFraming) {
    let ends_at_close = answer.has_unknown_length() && !framing.chunks;
    http1::put_status(out, answer.status);
    out.extend_from_slice(&answer.fields);
    if close || ends_at_close {
        http1::put_field(out, b"Connection", b"close");
    }
    let length = match &answer.body {
        Body::Whole(body) => Some(body.len() as u64),
        Body::Pieces { length, .. } => *length,
    };
    let bodyless = answer.status == 204 || answer.status == 304;
    match length {
        Some(_) if bodyless => {}
        Some(n) if !framing.to_head || n > 0 => http1::put_number(out, "Content-Length", n),
        Some(_) => {}
        None if framing.chunks => http1::put_field(out, b"Transfer-Encoding", b"chunked"),
        None => {}
    }
    out.extend_from_slice(b"\r\n");
}
