//! Links between entry VMs: WebSockets with one CBOR message per frame. They carry the platform's
//! records, or open a tunnel to a backend server, which then carries bytes without frames.

use std::cell;
use std::io;
use std::net;
use std::pin;
use std::rc;
use std::task;
use std::time;

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite;
use tungstenite::{handshake, protocol};

use super::{descriptors, socket};
use crate::metrics as known;
use crate::protocol::mirror;

/// The timeout for opening a link: two round trips over the longest network link, and a slow peer.
pub const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// The open timeout within an availability zone, where two round trips take 2 ms. A VM that lost
/// power does not refuse connections, so each attempt on it delays a start by the whole timeout.
pub const SAME_AZ_OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// The timeout for receiving a message after its first bytes: enough for the longest list of
/// routes (1 MB, a third of that compressed) over a shared link of 10 Mbit/s.
const MESSAGE_RECEIVE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The timeout for sending one message.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The read buffer of a link. The library's default of 128 KB per buffer would use most of the
/// memory of a small VM with many followers.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// What a link is for, as the path of its handshake says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The platform's records.
    Records,
    /// A tunnel to a backend server.
    Tunnel,
}

impl Purpose {
    const TUNNEL_PATH: &str = "/tunnel";

    fn path(self) -> &'static str {
        match self {
            Self::Records => "/mirror",
            Self::Tunnel => Self::TUNNEL_PATH,
        }
    }

    fn of(path: &str) -> Self {
        match path {
            Self::TUNNEL_PATH => Self::Tunnel,
            _ => Self::Records,
        }
    }
}

/// Reads a link's purpose from its handshake.
struct PurposeReader<'a>(&'a mut Purpose);

impl handshake::server::Callback for PurposeReader<'_> {
    fn on_request(
        self,
        req: &handshake::server::Request,
        answer: handshake::server::Response,
    ) -> Result<handshake::server::Response, handshake::server::ErrorResponse> {
        *self.0 = Purpose::of(req.uri().path());
        Ok(answer)
    }
}

/// Why a link failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The network or the WebSocket failed.
    #[error("the link failed: {0}")]
    Link(String),
    /// The peer did not answer within the timeout.
    #[error("the other entry VM did not answer in time")]
    Timeout,
    /// A message cannot be decoded.
    #[error(transparent)]
    Message(#[from] mirror::Error),
}

impl From<tungstenite::Error> for Error {
    fn from(err: tungstenite::Error) -> Self {
        Self::Link(err.to_string())
    }
}

impl From<std::io::Error> for Error {
    fn from(err: std::io::Error) -> Self {
        Self::Link(err.to_string())
    }
}

/// A stream that records the time at which bytes last arrived.
#[derive(Debug)]
struct TimestampedStream {
    stream: TcpStream,
    last_received: rc::Rc<cell::Cell<time::Instant>>,
    held: descriptors::Held,
}

impl AsyncRead for TimestampedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.last_received.set(time::Instant::now());
        }
        read
    }
}

impl AsyncWrite for TimestampedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A link to another entry VM.
#[derive(Debug)]
pub struct Link {
    socket: tokio_tungstenite::WebSocketStream<TimestampedStream>,
    last_received: rc::Rc<cell::Cell<time::Instant>>,
}

fn timestamped(
    stream: TcpStream,
    held: descriptors::Held,
) -> io::Result<(TimestampedStream, rc::Rc<cell::Cell<time::Instant>>)> {
    socket::set_failure_detection(&stream)?;
    let last_received = rc::Rc::new(cell::Cell::new(time::Instant::now()));
    let stamped = TimestampedStream {
        stream,
        last_received: last_received.clone(),
        held,
    };
    Ok((stamped, last_received))
}

/// The longest message to a VM that accepts a link: it is asked for records or for a tunnel.
const MAX_REQUEST_BYTES: usize = 4 << 10;

fn config() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
}

impl Link {
    /// Opens a link for the platform's records to another entry VM within the timeout.
    pub async fn open(addr: net::SocketAddr, timeout: time::Duration) -> Result<Self, Error> {
        Self::open_for(Purpose::Records, addr, timeout).await
    }

    /// Opens a link to another entry VM within the timeout.
    pub async fn open_for(
        purpose: Purpose,
        addr: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Self, Error> {
        let open = async {
            let held = descriptors::Held::new(descriptors::Use::Peers);
            let stream = TcpStream::connect(addr).await?;
            let (stamped, last_received) = timestamped(stream, held)?;
            let url = format!("ws://{addr}{}", purpose.path());
            let (socket, _) =
                tokio_tungstenite::client_async_with_config(url, stamped, Some(config())).await?;
            Ok(Self {
                socket,
                last_received,
            })
        };
        tokio::time::timeout(timeout, open)
            .await
            .map_err(|_| Error::Timeout)?
    }

    /// Accepts a link that another entry VM opens. Returns it with its purpose.
    pub async fn accept(stream: TcpStream) -> Result<(Self, Purpose), Error> {
        let held = descriptors::Held::new(descriptors::Use::Peers);
        let (stamped, last_received) = timestamped(stream, held)?;
        let mut purpose = Purpose::Records;
        let accept = tokio_tungstenite::accept_hdr_async_with_config(
            stamped,
            PurposeReader(&mut purpose),
            Some(
                config()
                    .max_message_size(Some(MAX_REQUEST_BYTES))
                    .max_frame_size(Some(MAX_REQUEST_BYTES)),
            ),
        );
        let socket = tokio::time::timeout(OPEN_TIMEOUT, accept)
            .await
            .map_err(|_| Error::Timeout)??;
        let link = Self {
            socket,
            last_received,
        };
        Ok((link, purpose))
    }

    /// The connection without frames, and its count. The peer must not have sent anything after the
    /// last message that was received.
    pub fn into_stream(self) -> (TcpStream, descriptors::Held) {
        let TimestampedStream { stream, held, .. } = self.socket.into_inner();
        (stream, held)
    }

    /// Sends an encoded message.
    pub async fn send(&mut self, message: bytes::Bytes) -> Result<(), Error> {
        let sent = message.len() as u64;
        metrics::counter!(known::PEER_BYTES, "direction" => "sent").increment(sent);
        let frame = tungstenite::Message::binary(message);
        tokio::time::timeout(WRITE_TIMEOUT, self.socket.send(frame))
            .await
            .map_err(|_| Error::Timeout)??;
        Ok(())
    }

    /// Receives the next message. Fails if no bytes arrive for `max_silence`; bytes of a partly
    /// received message also count as activity.
    ///
    /// A long list takes more than a second over a slow link. If that counted as silence, all
    /// followers of a reader would switch to the store at once, and changes would reach each of
    /// them up to three seconds late.
    pub async fn receive<T: serde::de::DeserializeOwned>(
        &mut self,
        max_silence: time::Duration,
    ) -> Result<T, Error> {
        let bytes = self.receive_bytes(max_silence).await?;
        Ok(mirror::decode(&bytes)?)
    }

    /// Receives the next message without decoding it, for forwarding.
    pub async fn receive_bytes(
        &mut self,
        max_silence: time::Duration,
    ) -> Result<bytes::Bytes, Error> {
        let start = time::Instant::now();
        let latest = start + max_silence + MESSAGE_RECEIVE_TIMEOUT;
        let last_received = self.last_received.clone();
        let next = self.next();
        tokio::pin!(next);
        loop {
            let deadline = (last_received.get().max(start) + max_silence).min(latest);
            if let Ok(bytes) = tokio::time::timeout_at(deadline.into(), &mut next).await {
                return bytes;
            }
            if last_received.get() + max_silence <= time::Instant::now() || deadline == latest {
                return Err(Error::Timeout);
            }
        }
    }

    /// Reads the bytes of the next binary message.
    async fn next(&mut self) -> Result<bytes::Bytes, Error> {
        loop {
            match self.socket.next().await {
                Some(Ok(tungstenite::Message::Binary(bytes))) => {
                    let received = bytes.len() as u64;
                    metrics::counter!(known::PEER_BYTES, "direction" => "received")
                        .increment(received);
                    return Ok(bytes);
                }
                Some(Ok(tungstenite::Message::Close(_))) | None => {
                    return Err(Error::Link("closed by the other side".into()));
                }
                Some(Ok(_)) => {}
                Some(Err(err)) => return Err(err.into()),
            }
        }
    }

    /// Waits until the peer closes the link or the link fails.
    pub async fn wait_closed(&mut self) {
        while let Some(Ok(message)) = self.socket.next().await {
            if message.is_close() {
                return;
            }
        }
    }
}
