//! HTTP/1.1 messages on a connection, for stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A head, with its first line split at spaces.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: Vec<String>,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.line.get(1).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line
            .get(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }

    /// A decoded parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        // Fails only on a closed socket.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes, at most `most`. Returns their number; 0 at the end.
    pub fn fill(&mut self, most: usize) -> io::Result<usize> {
        let mut chunk = vec![0; most];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                return Ok(Some(parse(&String::from_utf8_lossy(&head))));
            }
            match self.fill(8 << 10) {
                Ok(0) if self.buf.is_empty() => return Ok(None),
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(err) => return Err(err),
            }
        }
    }

    /// Reads a body of a stated length.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if self.fill(64 << 10)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends an answer.
    pub fn answer(&mut self, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let mut out =
            format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: {length}\r\n\r\n")
                .into_bytes();
        out.extend_from_slice(body);
        self.send(&out)
    }
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let line = lines
        .next()
        .unwrap_or_default()
        .split(' ')
        .map(str::to_owned)
        .collect();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Head {
        line,
        fields: fields.collect(),
    }
}
