//! A link between two entry processes: a WebSocket over TCP with mutual authentication.
//!
//! A link never blocks the rest of the process. Outgoing messages wait in a bounded [`Queue`]. If
//! the peer or the network is too slow, the oldest messages are dropped, because each message
//! carries state that a later one replaces. `bulrushwind_peer_dropped_total` counts the dropped
//! messages, and the settings digests repair the losses. A link is closed if the peer sends nothing
//! or receives nothing for a while; the side that dialled it then dials again.

use std::collections;
use std::net;
use std::time;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use tokio::net as tcp;
use tokio_tungstenite::tungstenite;
use tungstenite::protocol;

use crate::id;
use crate::protocol::{hello, peer};

/// The timeout for connecting and authenticating together.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The timeout for sending one message.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The time without a sent message after which a ping is sent.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// The time without a received message after which a link is closed; five pings are then missing.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The read and write buffers of a link. The library's 128 KB would take 2 MB for 16 links.
const BUFFER_BYTES: usize = 8 << 10;

/// The maximum number of queued messages per link.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// The maximum queued bytes per link; a single message may exceed it.
const MAX_QUEUED_BYTES: usize = 4 << 20;

/// Why a link could not be opened or was closed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The network or the WebSocket failed.
    #[error("the link failed: {0}; it is dialled again")]
    Link(String),
    /// The peer failed to authenticate.
    #[error(transparent)]
    Hello(#[from] hello::Error),
    /// The peer sent nothing or received nothing within the timeout.
    #[error("the peer did not answer in time; it is dialled again")]
    Timeout,
    /// The link was closed by either side.
    #[error("the link was closed")]
    Closed,
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

/// The identity of this process for its peers.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// The id of this VM.
    pub vm: id::VmId,
    /// Its availability zone.
    pub az: id::AzId,
    /// The incarnation of this process.
    pub incarnation: id::Incarnation,
    /// The fleet's secrets.
    pub secrets: hello::Secrets,
}

/// An open link to an authenticated peer.
pub struct Link {
    /// The peer's identity.
    pub hello: hello::Hello,
    socket: Socket,
}

type Socket = tokio_tungstenite::WebSocketStream<tcp::TcpStream>;

/// Connects to a peer.
pub async fn dial(addr: net::SocketAddr, local: &LocalIdentity) -> Result<Link, Error> {
    let open = async {
        let stream = tcp::TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{addr}/peer");
        let (socket, _) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(config())).await?;
        authenticate(socket, local).await
    };
    tokio::time::timeout(OPEN_TIMEOUT, open)
        .await
        .unwrap_or(Err(Error::Timeout))
}

/// Accepts a connection that a peer opened.
pub async fn accept(stream: tcp::TcpStream, local: &LocalIdentity) -> Result<Link, Error> {
    let open = async {
        stream.set_nodelay(true)?;
        let socket = tokio_tungstenite::accept_async_with_config(stream, Some(config())).await?;
        authenticate(socket, local).await
    };
    tokio::time::timeout(OPEN_TIMEOUT, open)
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn authenticate(mut socket: Socket, local: &LocalIdentity) -> Result<Link, Error> {
    let ours = hello::Hello {
        version: hello::VERSION,
        vm: local.vm.clone(),
        az: local.az.clone(),
        incarnation: local.incarnation,
        nonce: rand::rng().random(),
    };
    send(&mut socket, hello::encode(&ours).into()).await?;
    let theirs: hello::Hello = hello::decode(&next(&mut socket).await?)?;
    let proof = local.secrets.prove(&ours, &theirs);
    send(&mut socket, hello::encode(&proof).into()).await?;
    let proof: hello::Proof = hello::decode(&next(&mut socket).await?)?;
    local.secrets.check(&ours, &theirs, &proof)?;
    Ok(Link {
        hello: theirs,
        socket,
    })
}

async fn send(socket: &mut Socket, bytes: bytes::Bytes) -> Result<(), Error> {
    Ok(socket.send(tungstenite::Message::Binary(bytes)).await?)
}

async fn next(socket: &mut Socket) -> Result<bytes::Bytes, Error> {
    match socket.next().await {
        Some(Ok(tungstenite::Message::Binary(bytes))) => Ok(bytes),
        Some(Ok(_)) => Err(hello::Error::Malformed("no binary message".to_owned()).into()),
        Some(Err(err)) => Err(err.into()),
        None => Err(Error::Closed),
    }
}

fn config() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(peer::MAX_BYTES))
        .max_frame_size(Some(peer::MAX_BYTES))
}

impl Link {
    /// Transfers messages in both directions until the link breaks or its queue is closed. Calls
    /// `on_message` for each received binary message.
    pub async fn run<F: FnMut(&[u8])>(self, queue: &Queue, on_message: F) -> Error {
        let (tx, rx) = self.socket.split();
        // Reading continues while a write waits. Otherwise two peers that both wait for the other
        // to read would be blocked until the write timeout.
        tokio::select! {
            err = read(rx, on_message) => err,
            err = write(tx, queue) => err,
        }
    }
}

async fn read<F: FnMut(&[u8])>(
    mut rx: futures_util::stream::SplitStream<Socket>,
    mut on_message: F,
) -> Error {
    loop {
        match tokio::time::timeout(IDLE_TIMEOUT, rx.next()).await {
            Err(_) => return Error::Timeout,
            Ok(None) => return Error::Closed,
            Ok(Some(Err(err))) => return err.into(),
            Ok(Some(Ok(tungstenite::Message::Binary(bytes)))) => on_message(&bytes),
            Ok(Some(Ok(_))) => {}
        }
    }
}

async fn write(
    mut tx: futures_util::stream::SplitSink<Socket, tungstenite::Message>,
    queue: &Queue,
) -> Error {
    loop {
        let message = match tokio::time::timeout(PING_INTERVAL, queue.pop()).await {
            Ok(Some(bytes)) => tungstenite::Message::Binary(bytes),
            Ok(None) => return Error::Closed,
            Err(_) => tungstenite::Message::Ping(bytes::Bytes::new()),
        };
        match tokio::time::timeout(WRITE_TIMEOUT, tx.send(message)).await {
            Err(_) => return Error::Timeout,
            Ok(Err(err)) => return err.into(),
            Ok(Ok(())) => {}
        }
    }
}

/// The queue of outgoing messages of one link.
#[derive(Debug, Default)]
pub struct Queue {
    inner: parking_lot::Mutex<QueueState>,
    notify: tokio::sync::Notify,
}

#[derive(Debug, Default)]
struct QueueState {
    messages: collections::VecDeque<bytes::Bytes>,
    bytes: usize,
    closed: bool,
}

impl Queue {
    /// Adds a message and returns the number of older messages dropped for it.
    pub fn push(&self, bytes: bytes::Bytes) -> usize {
        let mut inner = self.inner.lock();
        let mut dropped = 0;
        while inner.is_full(bytes.len()) {
            let oldest = inner.messages.pop_front().unwrap_or_default();
            inner.bytes -= oldest.len();
            dropped += 1;
        }
        inner.bytes += bytes.len();
        inner.messages.push_back(bytes);
        drop(inner);
        self.notify.notify_one();
        dropped
    }

    /// Closes the link once the queued messages are sent.
    pub fn close(&self) {
        self.inner.lock().closed = true;
        self.notify.notify_one();
    }

    /// Waits for the next message; `None` once the queue is closed and empty.
    async fn pop(&self) -> Option<bytes::Bytes> {
        loop {
            {
                let mut inner = self.inner.lock();
                if let Some(bytes) = inner.messages.pop_front() {
                    inner.bytes -= bytes.len();
                    return Some(bytes);
                }
                if inner.closed {
                    return None;
                }
            }
            self.notify.notified().await;
        }
    }
}

impl QueueState {
    fn is_full(&self, more: usize) -> bool {
        !self.messages.is_empty()
            && (self.messages.len() >= MAX_QUEUED_MESSAGES || self.bytes + more > MAX_QUEUED_BYTES)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A peer stops reading while this VM keeps sending to it. Without a bound on the queue, its
    /// messages would exhaust the VM's memory.
    #[test]
    fn a_full_queue_drops_the_oldest() {
        let queue = Queue::default();
        for n in 0..MAX_QUEUED_MESSAGES {
            let bytes = bytes::Bytes::from(n.to_string());
            assert_eq!(queue.push(bytes), 0);
        }
        assert_eq!(queue.push(bytes::Bytes::from_static(b"last")), 1);
        assert_eq!(queue.inner.lock().messages.front().unwrap(), "1");
        let large = bytes::Bytes::from(vec![0; MAX_QUEUED_BYTES]);
        assert_eq!(queue.push(large), MAX_QUEUED_MESSAGES);
    }
}
