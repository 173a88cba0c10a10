//! TCP sockets for the gateway: listening, detection of dead peers, buffered reads and writes.

use std::cell;
use std::future;
use std::io;
use std::net;
use std::time;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream, tcp};

use super::{descriptors, outgoing, window};

/// The length of the queue of unaccepted connections. In a surge of new callers, a full queue makes
/// the system drop SYN packets, and each retransmission delays a caller by a second or more.
const LISTEN_BACKLOG: i32 = 1024;

/// The idle time before the first TCP keepalive probe, and the interval between probes. A peer can
/// fail without a reset; two unanswered probes close the connection after three seconds.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// How long a reader may take no byte of what is written to it before it counts as disconnected.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The buffer space reserved for one read: enough for an answer of the usual size with its head.
const READ_BYTES: usize = 8 << 10;

/// Listens on an address. Fails if it cannot be bound.
pub fn listen(addr: net::SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(addr),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    // A restarted process must not wait until the old process's connections time out.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// A socket that connects from a source address.
fn bound_socket(source: net::IpAddr) -> io::Result<TcpSocket> {
    let socket = match source {
        net::IpAddr::V4(_) => TcpSocket::new_v4()?,
        net::IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(net::SocketAddr::new(source, 0))?;
    Ok(socket)
}

/// Sets the socket options that make a connection to a server fail soon after the server has failed.
pub fn set_failure_detection(stream: &TcpStream) -> io::Result<()> {
    window::limit_unacknowledged(stream, true)?;
    set_keepalive(stream)
}

/// Sets the socket options of an accepted connection, which fails soon after its peer has failed while
/// nothing is being sent. A limit on unacknowledged bytes would also end the connection of a caller
/// that pauses while it reads an answer.
pub fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}

/// Writes all bytes, as fast as the peer reads them. Calls `written` with the length of each part.
pub async fn write_all<W>(tx: &mut W, mut rest: &[u8], written: impl Fn(usize)) -> io::Result<()>
where
    W: AsyncWriteExt + Unpin,
{
    while !rest.is_empty() {
        let sent = tokio::time::timeout(WRITE_TIMEOUT, tx.write(rest)).await;
        match sent.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            n => {
                written(n);
                rest = &rest[n..];
            }
        }
    }
    Ok(())
}

/// Passes bytes between a client and a server until both have ended, one has failed, or `failed` is
/// ready. Any end but an orderly one resets both connections, also that of this process, so that a
/// truncated answer does not look complete and the server stops its work. A server that no longer
/// reads may still have sent an answer, which is passed on. Calls `answered` when bytes of the
/// server arrive; `stall` reports whether the server reads the requests.
pub async fn splice(
    mut client: TcpStream,
    mut server: TcpStream,
    stall: window::Stall,
    failed: impl Future<Output = ()>,
    answered: impl Fn(),
) {
    reset_on_close(&client);
    reset_on_close(&server);
    // The caller for whom the client reads may pause. This fails only for a closed socket.
    let _ = window::limit_unacknowledged(&client, false);
    let (client_rx, client_tx) = client.split();
    let (server_rx, server_tx) = server.split();
    let (client_failed, server_failed) = (cell::Cell::new(false), cell::Cell::new(false));
    let life = stall.clone();
    let to_server = Window::Monitored(window::Window::new(stall));
    let requests = pass(client_rx, server_tx, to_server, &client_failed, || ());
    let answers = pass(
        server_rx,
        client_tx,
        Window::Limited,
        &server_failed,
        || {
            life.record_activity();
            answered();
        },
    );
    let both = async {
        tokio::pin!(requests, answers);
        tokio::select! {
            end = &mut requests => if end != End::Failed {
                // The failed write has taken the error, so the answer may only seem to end.
                server_failed.set(end == End::Unwanted);
                answers.await;
            },
            end = &mut answers => if end == End::Closed {
                requests.await;
            },
        }
    };
    tokio::select! {
        () = both => {}
        () = failed => {}
    }
}

/// How one direction has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The sender has closed it, and the receiver knows.
    Closed,
    /// The receiver takes no more bytes.
    Unwanted,
    /// The sender's connection has failed.
    Failed,
}

/// How a receiver that does not read is handled.
enum Window {
    /// The receiver counts as disconnected after [`WRITE_TIMEOUT`].
    Limited,
    /// The receiver may pause; the sender closes its connection when the request times out.
    Monitored(window::Window),
}

/// Passes the bytes of one direction on. Its end is not passed on if the sender is known to have
/// failed.
async fn pass(
    mut rx: tcp::ReadHalf<'_>,
    mut tx: tcp::WriteHalf<'_>,
    mut window: Window,
    sender_failed: &cell::Cell<bool>,
    received: impl Fn(),
) -> End {
    /// The buffer for each direction. A VM may carry hundreds of connections.
    const PASS_BYTES: usize = 4 << 10;
    let mut buf = BytesMut::with_capacity(PASS_BYTES);
    loop {
        let n = match &mut window {
            Window::Monitored(window) if window.is_monitored() => tokio::select! {
                n = rx.read_buf(&mut buf) => n,
                () = window.due() => {
                    window.check(tx.as_ref(), true);
                    continue;
                }
            },
            _ => rx.read_buf(&mut buf).await,
        };
        match n {
            Ok(0) if sender_failed.get() => return End::Failed,
            Ok(0) if tx.shutdown().await.is_ok() => return End::Closed,
            Ok(0) => return End::Unwanted,
            Ok(_) => received(),
            Err(_) => return End::Failed,
        }
        let written = match &mut window {
            Window::Limited => write_all(&mut tx, &buf, |_| ()).await,
            Window::Monitored(window) => {
                let written = write_unlimited(&mut tx, &mut buf, window);
                tokio::select! {
                    written = written => written,
                    // Detects a sender that disconnects while the receiver does not read.
                    _ = rx.ready(Interest::ERROR) => return End::Failed,
                }
            }
        };
        if written.is_err() {
            return End::Unwanted;
        }
        buf.clear();
    }
}

/// Writes all bytes without a time limit.
async fn write_unlimited(
    tx: &mut tcp::WriteHalf<'_>,
    rest: &mut BytesMut,
    window: &mut window::Window,
) -> io::Result<()> {
    window.add(tx.as_ref(), rest.len());
    while !rest.is_empty() {
        let due = window.due();
        tokio::select! {
            biased;
            written = tx.write_buf(rest) => match written? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                _ => window.stall.record_activity(),
            },
            () = due => window.check(tx.as_ref(), false),
        }
    }
    Ok(())
}

/// Makes closing the connection send a reset, as after a machine failure.
pub(super) fn reset_on_close(stream: &TcpStream) {
    // This fails only for a closed socket, which needs no reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

/// A TCP connection with a read buffer.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    /// The time that connecting took, about one round trip; 0 for accepted connections.
    pub round_trip: time::Duration,
    /// Bytes that were read and not yet consumed.
    pub buf: BytesMut,
    outgoing: outgoing::Outgoing,
    window: window::Window,
    held: descriptors::Held,
}

impl Wire {
    /// A connection that is open; `held` counts it.
    pub fn new(stream: TcpStream, held: descriptors::Held) -> Self {
        Self {
            stream,
            round_trip: time::Duration::ZERO,
            buf: BytesMut::new(),
            outgoing: outgoing::Outgoing::default(),
            window: window::Window::default(),
            held,
        }
    }

    /// Connects to the store within the timeout.
    pub async fn connect(addr: net::SocketAddr, timeout: time::Duration) -> io::Result<Self> {
        let held = descriptors::Held::new(descriptors::Use::Store);
        Self::open(None, addr, timeout, held).await
    }

    /// Connects to a backend server within the timeout, from a source address if one is given.
    pub async fn connect_from(
        source: Option<net::IpAddr>,
        addr: net::SocketAddr,
        timeout: time::Duration,
    ) -> io::Result<Self> {
        let held = descriptors::Held::new(descriptors::Use::Backends);
        Self::open(source, addr, timeout, held).await
    }

    async fn open(
        source: Option<net::IpAddr>,
        addr: net::SocketAddr,
        timeout: time::Duration,
        held: descriptors::Held,
    ) -> io::Result<Self> {
        let start = time::Instant::now();
        let connect = async {
            match source {
                Some(source) => bound_socket(source)?.connect(addr).await,
                None => TcpStream::connect(addr).await,
            }
        };
        let stream = tokio::time::timeout(timeout, connect)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        set_failure_detection(&stream)?;
        Ok(Self {
            round_trip: start.elapsed(),
            ..Self::new(stream, held)
        })
    }

    /// Makes closing the connection send a reset, as after a machine failure.
    pub fn reset_on_close(&self) {
        reset_on_close(&self.stream);
    }

    /// Reads into the buffer and returns the number of bytes; 0 at the end of the stream. Meanwhile
    /// sends what is left of a request. A peer that answers early may stop reading, so a write without
    /// concurrent reads could block forever.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ_BYTES);
        let n = loop {
            if self.outgoing.is_done() && !self.window.is_monitored() {
                break self.stream.read_buf(&mut self.buf).await?;
            }
            let check = self.window.due();
            let (mut rx, mut tx) = self.stream.split();
            tokio::select! {
                n = rx.read_buf(&mut self.buf) => break n?,
                () = self.outgoing.send(&mut tx), if !self.outgoing.is_done() => {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                () = check => self.window.check(&self.stream, self.outgoing.is_done()),
            }
        };
        self.window.stall.record_activity();
        // After a failed write, the read may return end-of-stream in place of the error.
        match n == 0 && self.outgoing.has_failed() {
            true => Err(io::ErrorKind::BrokenPipe.into()),
            false => Ok(n),
        }
    }

    /// Sends the unsent part of a request without reading. Returns only if the caller's body is truncated.
    pub(super) async fn flush(&mut self) {
        while !self.outgoing.is_done() {
            let check = self.window.due();
            let (_, mut tx) = self.stream.split();
            tokio::select! {
                () = self.outgoing.send(&mut tx) => return,
                () = check => self.window.check(&self.stream, self.outgoing.is_done()),
            }
        }
        future::pending().await
    }

    /// Begins to send a request; [`Self::fill`] sends the rest. Returns whether any byte was written.
    pub(super) async fn begin(
        &mut self,
        request: BytesMut,
        body: Bytes,
        is_streamed: bool,
    ) -> bool {
        let len = request.len() + body.len();
        let is_long = is_streamed || len > window::MAX_SHORT_REQUEST_BYTES;
        self.window.begin(&self.stream, is_long);
        self.outgoing = outgoing::Outgoing::new(request, body, self.window.stall.clone());
        self.outgoing.write(&mut self.stream).await
    }

    /// Reports whether the peer reads the request.
    pub fn stall(&self) -> window::Stall {
        self.window.stall.clone()
    }

    /// The unsent part of a request.
    pub(super) fn outgoing(&mut self) -> &mut outgoing::Outgoing {
        &mut self.outgoing
    }

    /// Writes all bytes. An error carries the number of bytes written before it.
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

    /// The connection itself, and its count. Bytes that were read and not consumed are lost.
    pub fn into_stream(self) -> (TcpStream, descriptors::Held) {
        (self.stream, self.held)
    }

    /// The connection if it is idle, see [`Wire::is_idle`].
    pub fn into_idle(mut self) -> Option<Self> {
        self.is_idle().then_some(self)
    }

    /// Whether the connection is open and has no unsolicited bytes.
    pub fn is_idle(&mut self) -> bool {
        if !self.buf.is_empty() || !self.outgoing.is_sent() {
            return false;
        }
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(err) => err.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}
