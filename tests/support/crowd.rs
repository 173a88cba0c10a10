//! Crowds of callers that send requests of legal size and stop short of their end, or do not read.

use std::net;
use std::rc;
use std::time;

use bulrushwind::platform::names::FIELDS;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task;

/// How long the callers of a crowd may take to send before the test goes on.
const MAX_SENDING: time::Duration = time::Duration::from_secs(8);

/// The receive buffer of a caller: little of an answer arrives before it is read.
const RECEIVE_BYTES: u32 = 8 << 10;

/// What one caller sends, in order.
pub(crate) type Parts = Vec<Bytes>;

/// Callers that send at the same time. `parts` gives what the n-th one sends.
#[derive(Clone)]
pub(crate) struct Crowd {
    pub(crate) to: net::SocketAddr,
    pub(crate) size: usize,
    pub(crate) parts: rc::Rc<dyn Fn(usize) -> Parts>,
    /// The time between two parts.
    pub(crate) pause: time::Duration,
}

async fn connect(to: net::SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    socket.connect(to).await.ok()
}

/// Sends all parts. The other side may refuse or close the connection at any time.
async fn send(to: net::SocketAddr, parts: Parts, pause: time::Duration) -> Option<TcpStream> {
    let mut stream = connect(to).await?;
    for part in parts {
        tokio::time::sleep(pause).await;
        let sent = tokio::time::timeout(MAX_SENDING, stream.write_all(&part)).await;
        if !matches!(sent, Ok(Ok(()))) {
            break;
        }
    }
    Some(stream)
}

impl Crowd {
    /// Sends everything. Returns the open connections once each caller has sent all, was refused or gets no
    /// further.
    pub(crate) async fn send(&self) -> Vec<TcpStream> {
        let start = |n| task::spawn_local(send(self.to, (self.parts)(n), self.pause));
        let sending = (0..self.size).map(start);
        let sending: Vec<_> = sending.collect();
        let mut open = Vec::new();
        for one in sending {
            open.extend(one.await.unwrap());
        }
        open
    }

    /// The same; each caller closes its connection at once.
    pub(crate) async fn send_and_close(&self) {
        let sending = (0..self.size).map(|n| {
            let sent = send(self.to, (self.parts)(n), self.pause);
            task::spawn_local(async move { drop(sent.await) })
        });
        for one in sending.collect::<Vec<_>>() {
            one.await.unwrap();
        }
    }
}

pub(crate) fn head(method: &str, path: &str, n: usize, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: example.test\r\n{}: crowd-{n}\r\n{}: 30000\r\n{framing}\r\n",
        FIELDS.id, FIELDS.timeout_ms
    )
}

/// A body with a length of which the last byte is missing.
pub(crate) fn with_length(n: usize, len: usize) -> Parts {
    let head = head("POST", "/book/a", n, &format!("Content-Length: {len}\r\n"));
    vec![head.into(), Bytes::from(vec![b'x'; len - 1])]
}

/// A body in chunks of this size, with these extensions, whose end is missing.
pub(crate) fn in_chunks(len: usize, chunk: usize, extension: &str) -> Bytes {
    let mut body = BytesMut::new();
    for _ in 0..len / chunk {
        body.put_slice(format!("{chunk:x}{extension}\r\n").as_bytes());
        body.put_bytes(b'x', chunk);
        body.put_slice(b"\r\n");
    }
    body.freeze()
}

pub(crate) fn chunked(n: usize, body: &Bytes) -> Parts {
    let head = head("POST", "/book/a", n, "Transfer-Encoding: chunked\r\n");
    vec![head.into(), body.clone()]
}

/// A head whose last byte is missing.
pub(crate) fn unfinished_head(n: usize, len: usize) -> Parts {
    let mut head = head("GET", "/read/a", n, "");
    let field = "X-Long: ";
    let filled = len - head.len() - field.len() - 2;
    head.truncate(head.len() - 2);
    vec![format!("{head}{field}{}\r\n\r", "y".repeat(filled)).into()]
}

/// Requests for answers of this length, one behind the other. Nothing is read.
pub(crate) fn unread(n: usize, requests: usize, len: usize) -> Parts {
    let path = format!("/read/{n}?bytes={len}");
    let one = head("GET", &path, n, "");
    vec![one.into(); requests]
}

pub(crate) fn crowd(
    to: net::SocketAddr,
    size: usize,
    parts: impl Fn(usize) -> Parts + 'static,
) -> Crowd {
    Crowd {
        to,
        size,
        parts: rc::Rc::new(parts),
        pause: time::Duration::ZERO,
    }
}

/// The same at a rate that the backend servers can answer.
pub(crate) fn paced(
    to: net::SocketAddr,
    size: usize,
    parts: impl Fn(usize) -> Parts + 'static,
) -> Crowd {
    Crowd {
        pause: time::Duration::from_millis(100),
        ..crowd(to, size, parts)
    }
}
