//! TCP sockets for the gateway: how they listen and how they notice a peer that fell silent.

use std::io;
use std::net;
use std::time;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted. A surge of new callers comes at once, and a full
/// queue makes the system drop their first packet, which costs them a second or more.
const BACKLOG: i32 = 1024;

/// How long sent bytes may stay unacknowledged. Without it a connection to a machine that lost
/// power hangs for minutes, and a request on it with it; two round trips across the widest link
/// (0.11 s each) and a lost packet fit in.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_millis(1500);

/// After which rest a connection is checked, and how far the checks lie apart. A connection can
/// go silent without a reset; two checks unanswered end it within three seconds.
const CHECK: time::Duration = time::Duration::from_secs(1);

/// The most that is read at once, in bytes: an answer of the usual size with its head.
const READ: usize = 8 << 10;

/// Listens on an address.
pub fn listen(addr: net::SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(addr),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    // A restart must not wait for the old process's connections to time out.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// Sets on a connection what makes it fail soon when the other side is gone.
pub fn guard(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let checks = socket2::TcpKeepalive::new()
        .with_time(CHECK)
        .with_interval(CHECK)
        .with_retries(2);
    socket.set_tcp_keepalive(&checks)
}

/// A connection with what was read from it and not yet used.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    /// How long connecting took: a round trip to the other side; 0 where that one connected.
    pub round_trip: time::Duration,
    /// What was read and not yet used.
    pub buf: BytesMut,
}

impl From<TcpStream> for Wire {
    fn from(stream: TcpStream) -> Self {
        Self {
            stream,
            round_trip: time::Duration::ZERO,
            buf: BytesMut::new(),
        }
    }
}

impl Wire {
    /// Connects within the limit.
    pub async fn connect(addr: net::SocketAddr, limit: time::Duration) -> io::Result<Self> {
        let begun = time::Instant::now();
        let stream = tokio::time::timeout(limit, TcpStream::connect(addr))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        guard(&stream)?;
        Ok(Self {
            round_trip: begun.elapsed(),
            ..stream.into()
        })
    }

    /// Makes closing the connection a reset, as when a machine breaks.
    pub fn reset_on_close(&self) {
        // Only a socket that is gone already refuses, and then there is nothing to reset.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(time::Duration::ZERO));
    }

    /// Reads more. Returns 0 at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ);
        self.stream.read_buf(&mut self.buf).await
    }

    /// Writes all of it. The error says how many bytes had gone out.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), (usize, io::Error)> {
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.write(&bytes[sent..]).await {
                Ok(0) => return Err((sent, io::ErrorKind::WriteZero.into())),
                Ok(n) => sent += n,
                Err(err) => return Err((sent, err)),
            }
        }
        Ok(())
    }

    /// Writes all of `out` unless the other side sends something first, and returns whether it
    /// did. One that answers early may read no further, so a writer that only writes would
    /// wait for it without end.
    pub async fn send_or_read(&mut self, out: &mut BytesMut) -> io::Result<bool> {
        let (mut rx, mut tx) = self.stream.split();
        self.buf.reserve(READ);
        while !out.is_empty() {
            tokio::select! {
                biased;
                n = rx.read_buf(&mut self.buf) => return match n? {
                    0 => Err(io::ErrorKind::UnexpectedEof.into()),
                    _ => Ok(true),
                },
                n = tx.write_buf(out) => if n? == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                },
            }
        }
        Ok(false)
    }

    /// The connection, if it rests.
    pub fn resting(mut self) -> Option<Self> {
        self.rests().then_some(self)
    }

    /// Whether the connection rests: open, and nothing has come that nobody asked for.
    pub fn rests(&mut self) -> bool {
        if !self.buf.is_empty() {
            return false;
        }
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(err) => err.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}
