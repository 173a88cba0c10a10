//! HTTP/1.1 over blocking sockets: just what sound clients, servers and the store need.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A head: its first line and its fields, names in lower case.
#[derive(Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with a read buffer.
pub struct Wire {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 64 << 10];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
    }

    /// The next head; `None` at an end between two messages.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        while self.buf.is_empty() {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let mut head = Head {
            line: self.line()?,
            ..Head::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                head.fields
                    .push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    /// The whole body that follows a head. One without length and chunks is empty.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.take(head.length());
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| ended())?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take(2)?;
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
