//! HTTP/1.1 heads and bodies: parsing, framing and writing, without any I/O.
//!
//! A head is stored as the received bytes with the positions of its fields, so that a request is
//! forwarded without copying each name and value. Framing is strict: a message with an ambiguous
//! length is rejected, because a server that reads the length differently would treat the rest of
//! one request as the next one (request smuggling).

use std::ops;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Maximum number of fields in a head. Common servers allow about a hundred.
const MAX_FIELDS: usize = 100;

/// Why a head or a body is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The bytes are not an HTTP/1.1 head.
    #[error("malformed HTTP/1.1 head; send a request line and fields that end with CRLF")]
    Head,
    /// The head exceeds the length limit.
    #[error("the head exceeds the length limit; send fewer or shorter fields")]
    TooLong,
    /// The body's length is ambiguous or malformed.
    #[error(
        "the body's length is ambiguous; send one Content-Length or Transfer-Encoding: chunked, not both"
    )]
    Length,
    /// A chunk is malformed.
    #[error("a chunk is malformed; check the sender's chunked encoding")]
    Chunk,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection. Allowed for answers only.
    UntilClose,
}

impl Framing {
    /// The length in bytes, if it is stated.
    pub fn length(self) -> Option<u64> {
        match self {
            Self::Length(n) => Some(n),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Span {
    start: u32,
    end: u32,
}

impl Span {
    fn of(base: usize, part: &[u8]) -> Self {
        let start = (part.as_ptr() as usize - base) as u32;
        Self {
            start,
            end: start + part.len() as u32,
        }
    }

    fn range(self) -> ops::Range<usize> {
        self.start as usize..self.end as usize
    }
}

/// The fields of a head.
#[derive(Clone, Debug)]
pub struct Fields {
    bytes: Bytes,
    spans: Vec<(Span, Span)>,
}

impl Fields {
    fn spans(base: usize, headers: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
        headers
            .iter()
            .map(|h| (Span::of(base, h.name.as_bytes()), Span::of(base, h.value)))
            .collect()
    }

    /// All fields in the order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans
            .iter()
            .map(|(name, value)| (&self.bytes[name.range()], &self.bytes[value.range()]))
    }

    /// The values of all fields of this name.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// The value of the first field of this name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.all(name).next()
    }

    /// The value of the first field of this name, trimmed, if it is UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Whether a comma-separated field of this name contains the token, ignoring case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .flat_map(|(_, value)| value.split(|b| *b == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// The end-to-end fields: all except hop-by-hop fields and those that the `Connection` field
    /// lists.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.iter().filter(|(name, _)| {
            let text = std::str::from_utf8(name).unwrap_or_default();
            !is_hop_by_hop(name) && !self.contains_token("connection", text)
        })
    }

    /// The framing that these fields specify, if any.
    fn framing(&self) -> Result<Option<Framing>, Malformed> {
        let mut length = None;
        let mut chunked = false;
        for (name, value) in self.iter() {
            if name.eq_ignore_ascii_case(b"content-length") {
                let digits = value.trim_ascii();
                if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                    return Err(Malformed::Length);
                }
                let text = std::str::from_utf8(digits).map_err(|_| Malformed::Length)?;
                let n: u64 = text.parse().map_err(|_| Malformed::Length)?;
                if length.is_some_and(|l| l != n) {
                    return Err(Malformed::Length);
                }
                length = Some(n);
            }
            if name.eq_ignore_ascii_case(b"transfer-encoding") {
                if chunked || !value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                    return Err(Malformed::Length);
                }
                chunked = true;
            }
        }
        match (length, chunked) {
            (Some(_), true) => Err(Malformed::Length),
            (_, true) => Ok(Some(Framing::Chunked)),
            (Some(n), false) => Ok(Some(Framing::Length(n))),
            (None, false) => Ok(None),
        }
    }
}

fn is_hop_by_hop(name: &[u8]) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES
        .iter()
        .any(|n| name.eq_ignore_ascii_case(n.as_bytes()))
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Its fields.
    pub fields: Fields,
    /// How its body is framed.
    pub framing: Framing,
    method: Span,
    target: Span,
    minor_version: u8,
}

impl RequestHead {
    /// Removes a head of up to `limit` bytes from the front of `buf`; `None` while it is incomplete.
    pub fn take(buf: &mut BytesMut, limit: usize) -> Result<Option<Self>, Malformed> {
        // Clients may send empty lines between requests (RFC 9112).
        while buf.starts_with(b"\r\n") {
            buf.advance(2);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut headers);
        let base = buf.as_ptr() as usize;
        let status = parsed.parse(buf).map_err(|err| match err {
            httparse::Error::TooManyHeaders => Malformed::TooLong,
            _ => Malformed::Head,
        })?;
        let httparse::Status::Complete(len) = status else {
            if buf.len() > limit {
                return Err(Malformed::TooLong);
            }
            return Ok(None);
        };
        if len > limit {
            return Err(Malformed::TooLong);
        }
        let method = Span::of(base, parsed.method.unwrap_or_default().as_bytes());
        let target = Span::of(base, parsed.path.unwrap_or_default().as_bytes());
        let minor_version = parsed.version.unwrap_or(1);
        let spans = Fields::spans(base, parsed.headers);
        let bytes = take_bytes(buf, len);
        let fields = Fields { bytes, spans };
        let framing = fields.framing()?.unwrap_or(Framing::Length(0));
        Ok(Some(Self {
            fields,
            framing,
            method,
            target,
            minor_version,
        }))
    }

    /// The length of the head, in bytes.
    #[expect(clippy::len_without_is_empty, reason = "a head is never empty")]
    pub fn len(&self) -> usize {
        self.fields.bytes.len()
    }

    /// The method.
    pub fn method(&self) -> &[u8] {
        &self.fields.bytes[self.method.range()]
    }

    /// The request target: path and query.
    pub fn target(&self) -> &str {
        std::str::from_utf8(&self.fields.bytes[self.target.range()]).unwrap_or_default()
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Whether the sender keeps the connection open after the answer.
    pub fn keeps_alive(&self) -> bool {
        if self.fields.contains_token("connection", "close") {
            return false;
        }
        self.minor_version >= 1 || self.fields.contains_token("connection", "keep-alive")
    }

    /// Whether the sender supports chunked bodies.
    pub fn supports_chunked(&self) -> bool {
        self.minor_version >= 1
    }
}

/// What a status code stands for, to a client that asks for no upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusKind {
    /// A final answer follows.
    Interim,
    /// A final answer.
    Final,
    /// No status of an answer; 101 ends HTTP, which nobody asked for.
    Invalid,
}

impl StatusKind {
    /// The kind of a status code.
    pub fn of(status: u16) -> Self {
        match status {
            101 => Self::Invalid,
            100..200 => Self::Interim,
            200..600 => Self::Final,
            _ => Self::Invalid,
        }
    }
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Its fields.
    pub fields: Fields,
    /// The status code.
    pub status: u16,
    /// How its body is framed.
    pub framing: Framing,
    minor_version: u8,
}

impl ResponseHead {
    /// Removes a head of up to `limit` bytes from the front of `buf`; `None` while it is incomplete.
    /// `is_head_request`: the answer is to a HEAD request and has no body.
    pub fn take(
        buf: &mut BytesMut,
        limit: usize,
        is_head_request: bool,
    ) -> Result<Option<Self>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        let base = buf.as_ptr() as usize;
        let status = parsed.parse(buf).map_err(|_| Malformed::Head)?;
        let httparse::Status::Complete(len) = status else {
            if buf.len() > limit {
                return Err(Malformed::TooLong);
            }
            return Ok(None);
        };
        let status = parsed.code.unwrap_or_default();
        let minor_version = parsed.version.unwrap_or(1);
        let spans = Fields::spans(base, parsed.headers);
        let bytes = take_bytes(buf, len);
        let fields = Fields { bytes, spans };
        let kind = StatusKind::of(status);
        let has_no_body =
            is_head_request || kind == StatusKind::Interim || status == 204 || status == 304;
        let framing = match fields.framing()? {
            _ if has_no_body => Framing::Length(0),
            Some(framing) => framing,
            // Nothing says that a body follows; another answer may.
            None if kind == StatusKind::Invalid => Framing::Length(0),
            None => Framing::UntilClose,
        };
        Ok(Some(Self {
            fields,
            status,
            framing,
            minor_version,
        }))
    }

    /// Whether the connection can be reused for another request.
    pub fn keeps_alive(&self) -> bool {
        self.framing != Framing::UntilClose
            && self.minor_version >= 1
            && !self.fields.contains_token("connection", "close")
    }
}

/// Removes bytes from the front of `buf`. Few bytes are copied: they would keep the whole buffer allocated
/// for as long as they are needed.
fn take_bytes(buf: &mut BytesMut, len: usize) -> Bytes {
    if len * 2 >= buf.capacity() {
        return buf.split_to(len).freeze();
    }
    let bytes = Bytes::copy_from_slice(&buf[..len]);
    buf.advance(len);
    bytes
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data,
    AfterData,
    /// In the trailer; whether its current line is empty so far.
    Trailer {
        is_empty: bool,
    },
}

/// The longest line between chunks, with its extensions. A longer one would have to be held whole.
const MAX_CHUNK_LINE_BYTES: usize = 8 << 10;

/// The longest trailer of a chunked body.
const MAX_TRAILER_BYTES: usize = 64 << 10;

/// Parses the line before a chunk. Returns its length and the size of the chunk; `None` while it is
/// incomplete.
fn parse_chunk_size(buf: &[u8]) -> Result<Option<(usize, u64)>, Malformed> {
    // Nearly all lines hold one or a few digits only.
    if let [digit, b'\r', b'\n', ..] = buf
        && let Some(size) = char::from(*digit).to_digit(16)
    {
        return Ok(Some((3, u64::from(size))));
    }
    match httparse::parse_chunk_size(buf) {
        Ok(httparse::Status::Complete(parsed)) => Ok(Some(parsed)),
        Ok(httparse::Status::Partial) if buf.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(Malformed::Chunk),
    }
}

/// Joins the chunks of up to 15 bytes at the front of `input`, which begins with the end of the chunk before
/// them. Returns the length of the input that was read; it ends with the data of a chunk.
fn join_short_chunks(input: &[u8], joined: &mut Vec<u8>) -> usize {
    let mut rest = input;
    while let [b'\r', b'\n', digit, b'\r', b'\n', data @ ..] = rest
        && let Some(size @ 1..) = char::from(*digit).to_digit(16)
        && let Some((data, after)) = data.split_at_checked(size as usize)
    {
        joined.extend_from_slice(data);
        rest = after;
    }
    input.len() - rest.len()
}

/// Incremental decoder of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    framing: Framing,
    remaining: u64,
    bytes_read: u64,
    trailer_bytes: usize,
    chunk_state: ChunkState,
    done: bool,
}

impl BodyReader {
    /// Creates a reader for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let remaining = match framing {
            Framing::Length(n) => n,
            Framing::Chunked | Framing::UntilClose => 0,
        };
        Self {
            framing,
            remaining,
            bytes_read: 0,
            trailer_bytes: 0,
            chunk_state: ChunkState::Size,
            done: framing == Framing::Length(0),
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Number of body bytes read, excluding chunk framing.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Handles the end of the connection. Returns whether the body is complete.
    pub fn handle_close(&mut self) -> bool {
        self.done |= self.framing == Framing::UntilClose;
        self.done
    }

    /// Removes the next piece of the body from `buf`; `None` at the end or if more input is needed. The
    /// chunks in `buf` are joined, so that a chunk costs little more than its bytes.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
        if self.done || buf.is_empty() {
            return Ok(None);
        }
        if self.framing == Framing::Chunked {
            return self.next_chunks(buf);
        }
        let n = self.available(buf);
        let piece = take_bytes(buf, n);
        self.consume(n);
        Ok(Some(piece))
    }

    /// Number of body bytes at the front of `buf`.
    fn available(&self, buf: &BytesMut) -> usize {
        match self.framing {
            Framing::UntilClose => buf.len(),
            Framing::Length(_) | Framing::Chunked => {
                let remaining = usize::try_from(self.remaining).unwrap_or(usize::MAX);
                buf.len().min(remaining)
            }
        }
    }

    /// Counts body bytes that were removed.
    fn consume(&mut self, n: usize) {
        self.bytes_read += n as u64;
        self.remaining = self.remaining.saturating_sub(n as u64);
        match self.framing {
            Framing::UntilClose => {}
            Framing::Length(_) => self.done = self.remaining == 0,
            Framing::Chunked if self.remaining == 0 => self.chunk_state = ChunkState::AfterData,
            Framing::Chunked => {}
        }
    }

    fn next_chunks(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
        let mut joined = Vec::new();
        while self.skip_to_data(buf)? {
            let n = self.available(buf);
            if joined.is_empty() && n * 2 >= buf.len() {
                // Most of the input is one chunk.
                let piece = take_bytes(buf, n);
                self.consume(n);
                return Ok(Some(piece));
            }
            if joined.is_empty() {
                joined.reserve(buf.len());
            }
            joined.extend_from_slice(&buf[..n]);
            buf.advance(n);
            self.consume(n);
            if self.chunk_state == ChunkState::AfterData {
                let before = joined.len();
                let len = join_short_chunks(buf, &mut joined);
                buf.advance(len);
                self.bytes_read += (joined.len() - before) as u64;
            }
        }
        Ok((!joined.is_empty()).then(|| Bytes::copy_from_slice(&joined)))
    }

    /// Skips what is between two chunks. Returns whether bytes of the body follow.
    fn skip_to_data(&mut self, buf: &mut BytesMut) -> Result<bool, Malformed> {
        while !self.done && !buf.is_empty() {
            match self.chunk_state {
                ChunkState::Data => return Ok(true),
                ChunkState::Size => {
                    let Some((len, size)) = parse_chunk_size(buf)? else {
                        return Ok(false);
                    };
                    buf.advance(len);
                    self.remaining = size;
                    self.chunk_state = match size {
                        0 => ChunkState::Trailer { is_empty: true },
                        _ => ChunkState::Data,
                    };
                }
                ChunkState::AfterData => {
                    if buf.len() < 2 {
                        return Ok(false);
                    }
                    if !buf.starts_with(b"\r\n") {
                        return Err(Malformed::Chunk);
                    }
                    buf.advance(2);
                    self.chunk_state = ChunkState::Size;
                }
                ChunkState::Trailer { is_empty } => self.skip_trailer(buf, is_empty)?,
            }
        }
        Ok(false)
    }

    /// Skips bytes of the trailer, to the end of its current line at most.
    fn skip_trailer(&mut self, buf: &mut BytesMut, is_empty: bool) -> Result<(), Malformed> {
        let end = buf.iter().position(|b| *b == b'\n');
        let len = end.map_or(buf.len(), |end| end + 1);
        self.trailer_bytes += len;
        if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(Malformed::Chunk);
        }
        let is_empty = is_empty && buf[..len].trim_ascii().is_empty();
        buf.advance(len);
        self.done = end.is_some() && is_empty;
        self.chunk_state = ChunkState::Trailer {
            is_empty: is_empty || end.is_some(),
        };
        Ok(())
    }
}

/// Writes one field.
pub fn put_field(buf: &mut BytesMut, name: &[u8], value: &[u8]) {
    buf.put_slice(name);
    buf.put_slice(b": ");
    buf.put_slice(value);
    buf.put_slice(b"\r\n");
}

/// Writes one field whose value is a number.
pub fn put_number(buf: &mut BytesMut, name: &str, value: u64) {
    put_field(buf, name.as_bytes(), value.to_string().as_bytes());
}

/// Writes the status line of an answer.
pub fn put_status(buf: &mut BytesMut, status: u16) {
    let reason = hyper::StatusCode::from_u16(status)
        .ok()
        .and_then(|code| code.canonical_reason())
        .unwrap_or("Status");
    buf.put_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
}

/// Writes one chunk. Skips an empty piece, because an empty chunk would end the body.
pub fn put_chunk(buf: &mut BytesMut, piece: &[u8]) {
    if piece.is_empty() {
        return;
    }
    put_chunk_size(buf, piece.len());
    buf.put_slice(piece);
    buf.put_slice(CHUNK_END);
}

/// Writes the line before a chunk of this length.
pub fn put_chunk_size(buf: &mut BytesMut, len: usize) {
    buf.put_slice(format!("{len:x}\r\n").as_bytes());
}

/// The end of each chunk.
pub const CHUNK_END: &[u8] = b"\r\n";

/// Terminates a chunked body that has no trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
