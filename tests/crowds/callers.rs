//! Callers of a crowd.

use std::net;
use std::rc;
use std::time;

use bytes::Bytes;
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
