//! Links between entry VMs over which one tells others what it reads: WebSockets with one CBOR
//! message a frame.

use std::net;
use std::time;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite;
use tungstenite::protocol;

use super::socket;
use crate::protocol::mirror;

/// How long opening a link may take: two round trips across the widest link, and a slow peer.
const OPEN: time::Duration = time::Duration::from_millis(600);

/// How long one message may take to leave.
const WRITE: time::Duration = time::Duration::from_secs(2);

/// Read and write buffers of a link, in bytes. The library's 128 KB each would be most of the
/// memory of a small VM that others follow.
const BUFFER: usize = 4 << 10;

/// Why a link failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The network or the WebSocket failed.
    #[error("the link failed: {0}")]
    Link(String),
    /// The other side took too long.
    #[error("the other entry VM did not answer in time")]
    Timeout,
    /// A message cannot be read.
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

/// A link.
#[derive(Debug)]
pub struct Link(tokio_tungstenite::WebSocketStream<TcpStream>);

fn config() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(0)
}

impl Link {
    /// Opens a link to another entry VM.
    pub async fn open(addr: net::SocketAddr) -> Result<Self, Error> {
        let open = async {
            let stream = TcpStream::connect(addr).await?;
            socket::guard(&stream)?;
            let url = format!("ws://{addr}/mirror");
            let (link, _) =
                tokio_tungstenite::client_async_with_config(url, stream, Some(config())).await?;
            Ok(Self(link))
        };
        tokio::time::timeout(OPEN, open)
            .await
            .map_err(|_| Error::Timeout)?
    }

    /// Takes a link that another entry VM opens.
    pub async fn accept(stream: TcpStream) -> Result<Self, Error> {
        socket::guard(&stream)?;
        let accept = tokio_tungstenite::accept_async_with_config(stream, Some(config()));
        let link = tokio::time::timeout(OPEN, accept)
            .await
            .map_err(|_| Error::Timeout)??;
        Ok(Self(link))
    }

    /// Sends an encoded message.
    pub async fn send(&mut self, message: &[u8]) -> Result<(), Error> {
        let frame = tungstenite::Message::binary(message.to_vec());
        tokio::time::timeout(WRITE, self.0.send(frame))
            .await
            .map_err(|_| Error::Timeout)??;
        Ok(())
    }

    /// The next message within the limit.
    pub async fn receive<T: serde::de::DeserializeOwned>(
        &mut self,
        limit: time::Duration,
    ) -> Result<T, Error> {
        let next = async {
            loop {
                match self.0.next().await {
                    Some(Ok(tungstenite::Message::Binary(bytes))) => return Ok(bytes),
                    Some(Ok(tungstenite::Message::Close(_))) | None => {
                        return Err(Error::Link("closed by the other side".into()));
                    }
                    Some(Ok(_)) => {}
                    Some(Err(err)) => return Err(err.into()),
                }
            }
        };
        let bytes = tokio::time::timeout(limit, next)
            .await
            .map_err(|_| Error::Timeout)??;
        Ok(mirror::decode(&bytes)?)
    }

    /// Waits until the other side closes or fails.
    pub async fn closed(&mut self) {
        while let Some(Ok(message)) = self.0.next().await {
            if message.is_close() {
                return;
            }
        }
    }
}
