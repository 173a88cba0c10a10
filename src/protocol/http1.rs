//! HTTP/1.1 heads and bodies as bytes: parsing, framing and writing.
//!
//! Heads are kept as the bytes that came, with the places of their fields, so that a request is
//! passed on without copying each name and value. Nothing here touches a socket. Framing is
//! strict: a message whose length can be read in two ways is refused, since whoever reads it the
//! other way would take the rest of one request for the next one.

use std::ops;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The most fields a head may have. Common servers allow about a hundred.
const MAX_FIELDS: usize = 100;

/// Why a head or a body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The bytes are not a head.
    #[error("the bytes are no HTTP/1.1 head; send a request line and fields that end with CRLF")]
    Head,
    /// The head is longer than allowed.
    #[error("the head is longer than the limit; send fewer or shorter fields")]
    TooLong,
    /// The body's length is given twice, or in a way that cannot be read.
    #[error(
        "the body's length is unclear; send one Content-Length or Transfer-Encoding: chunked, not both"
    )]
    Length,
    /// A chunk is not in the format.
    #[error("a chunk is malformed; check the sender's chunked encoding")]
    Chunk,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection. Only answers may.
    UntilClose,
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

    /// All fields in the order in which they came.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans
            .iter()
            .map(|(name, value)| (&self.bytes[name.range()], &self.bytes[value.range()]))
    }

    /// The value of the first field of this name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// The value of the first field of this name, where it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Whether a comma-separated field of this name lists the word.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        self.iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .flat_map(|(_, value)| value.split(|b| *b == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// The fields that travel from end to end: those of one connection, and those that the
    /// `Connection` field names, stay behind.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.iter().filter(|(name, _)| {
            let text = std::str::from_utf8(name).unwrap_or_default();
            !is_hop_by_hop(name) && !self.lists("connection", text)
        })
    }

    /// How the body is framed by these fields; `None` where they say nothing.
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

/// A request's head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Its fields.
    pub fields: Fields,
    /// How its body is framed.
    pub framing: Framing,
    method: Span,
    target: Span,
    minor: u8,
}

impl RequestHead {
    /// Takes a head off the front of what was read; `None` while it is not whole.
    pub fn take(buf: &mut BytesMut, limit: usize) -> Result<Option<Self>, Malformed> {
        // Clients may send empty lines between requests.
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
        let minor = parsed.version.unwrap_or(1);
        let spans = Fields::spans(base, parsed.headers);
        let bytes = buf.split_to(len).freeze();
        let fields = Fields { bytes, spans };
        let framing = fields.framing()?.unwrap_or(Framing::Length(0));
        Ok(Some(Self {
            fields,
            framing,
            method,
            target,
            minor,
        }))
    }

    /// The method.
    pub fn method(&self) -> &[u8] {
        &self.fields.bytes[self.method.range()]
    }

    /// The target: path and query.
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
        if self.fields.lists("connection", "close") {
            return false;
        }
        self.minor >= 1 || self.fields.lists("connection", "keep-alive")
    }

    /// Whether the sender understands chunks.
    pub fn knows_chunks(&self) -> bool {
        self.minor >= 1
    }
}

/// An answer's head.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Its fields.
    pub fields: Fields,
    /// The status code.
    pub status: u16,
    /// How its body is framed.
    pub framing: Framing,
    minor: u8,
}

impl ResponseHead {
    /// Takes a head off the front of what was read; `None` while it is not whole. `to_head`
    /// says that the answer is to a request without an answer's body.
    pub fn take(
        buf: &mut BytesMut,
        limit: usize,
        to_head: bool,
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
        let minor = parsed.version.unwrap_or(1);
        let spans = Fields::spans(base, parsed.headers);
        let bytes = buf.split_to(len).freeze();
        let fields = Fields { bytes, spans };
        let bodyless = to_head || status < 200 || status == 204 || status == 304;
        let framing = match fields.framing()? {
            _ if bodyless => Framing::Length(0),
            Some(framing) => framing,
            None => Framing::UntilClose,
        };
        Ok(Some(Self {
            fields,
            status,
            framing,
            minor,
        }))
    }

    /// Whether the connection may carry another request.
    pub fn keeps_alive(&self) -> bool {
        self.framing != Framing::UntilClose
            && self.minor >= 1
            && !self.fields.lists("connection", "close")
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data,
    AfterData,
    Trailer,
}

/// Takes a body apart as its bytes come.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    framing: Framing,
    left: u64,
    taken: u64,
    chunk: Chunk,
    done: bool,
}

impl BodyReader {
    /// A reader for a body framed so.
    pub fn new(framing: Framing) -> Self {
        let left = match framing {
            Framing::Length(n) => n,
            Framing::Chunked | Framing::UntilClose => 0,
        };
        Self {
            framing,
            left,
            taken: 0,
            chunk: Chunk::Size,
            done: framing == Framing::Length(0),
        }
    }

    /// Whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// How many bytes of the body were taken.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// The connection ended. Returns whether the body is whole by that.
    pub fn closed(&mut self) -> bool {
        self.done |= self.framing == Framing::UntilClose;
        self.done
    }

    /// The next piece of what was read; `None` where more has to be read or the body is done.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
        if self.done || buf.is_empty() {
            return Ok(None);
        }
        let piece = match self.framing {
            Framing::UntilClose => Some(buf.split().freeze()),
            Framing::Length(_) => Some(self.take_left(buf)),
            Framing::Chunked => self.next_chunk(buf)?,
        };
        self.taken += piece.as_ref().map_or(0, |p| p.len() as u64);
        Ok(piece)
    }

    fn take_left(&mut self, buf: &mut BytesMut) -> Bytes {
        let n = buf
            .len()
            .min(usize::try_from(self.left).unwrap_or(usize::MAX));
        self.left -= n as u64;
        self.done = self.left == 0 && self.framing != Framing::Chunked;
        buf.split_to(n).freeze()
    }

    fn next_chunk(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
        loop {
            match self.chunk {
                Chunk::Size => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buf.advance(used);
                        self.left = size;
                        self.chunk = match size {
                            0 => Chunk::Trailer,
                            _ => Chunk::Data,
                        };
                    }
                    Ok(httparse::Status::Partial) => return Ok(None),
                    Err(_) => return Err(Malformed::Chunk),
                },
                Chunk::Data => {
                    if buf.is_empty() {
                        return Ok(None);
                    }
                    let piece = self.take_left(buf);
                    if self.left == 0 {
                        self.chunk = Chunk::AfterData;
                    }
                    return Ok(Some(piece));
                }
                Chunk::AfterData => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if !buf.starts_with(b"\r\n") {
                        return Err(Malformed::Chunk);
                    }
                    buf.advance(2);
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
                        return Ok(None);
                    };
                    let line = buf.split_to(end + 1);
                    if line.trim_ascii().is_empty() {
                        self.done = true;
                        return Ok(None);
                    }
                }
            }
        }
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

/// Writes an answer's first line.
pub fn put_status(buf: &mut BytesMut, status: u16) {
    let reason = hyper::StatusCode::from_u16(status)
        .ok()
        .and_then(|code| code.canonical_reason())
        .unwrap_or("Status");
    buf.put_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
}

/// Writes one chunk.
pub fn put_chunk(buf: &mut BytesMut, piece: &[u8]) {
    if piece.is_empty() {
        return;
    }
    buf.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    buf.put_slice(piece);
    buf.put_slice(b"\r\n");
}

/// What ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
