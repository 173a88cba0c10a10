//! A TCP proxy on the loopback interface that delays or drops data or resets connections.

use std::cell;
use std::net;
use std::rc;
use std::time;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task;

/// Fault that a proxy injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Harm {
    /// Forwards unchanged.
    #[default]
    None,
    /// Delays each piece of data.
    Delay(time::Duration),
    /// Drops data from the client.
    DropsRequests,
    /// Drops data from the server.
    DropsAnswers,
    /// Resets connections.
    Resets,
}

/// A proxy in front of one server address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: net::SocketAddr,
    harm: rc::Rc<cell::Cell<Harm>>,
}

impl Proxy {
    pub(crate) fn start(to: net::SocketAddr) -> Self {
        let listener = super::listen();
        let proxy = Self {
            addr: listener.local_addr().unwrap(),
            harm: rc::Rc::default(),
        };
        let harm = proxy.harm.clone();
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn_local(pass(stream, to, harm.clone()));
            }
        });
        proxy
    }

    pub(crate) fn set(&self, harm: Harm) {
        self.harm.set(harm);
    }
}

async fn pass(from: TcpStream, to: net::SocketAddr, harm: rc::Rc<cell::Cell<Harm>>) {
    if harm.get() == Harm::Resets {
        return reset(&from);
    }
    let Ok(to) = TcpStream::connect(to).await else {
        return reset(&from);
    };
    let reset_on = socket2::SockRef::from(&from).try_clone().unwrap();
    let (mut from_rx, mut from_tx) = from.into_split();
    let (mut to_rx, mut to_tx) = to.into_split();
    let out = copy(&mut from_rx, &mut to_tx, &harm, Harm::DropsRequests);
    let back = copy(&mut to_rx, &mut from_tx, &harm, Harm::DropsAnswers);
    tokio::select! {
        () = out => {}
        () = back => {}
    }
    if harm.get() == Harm::Resets {
        let _ = reset_on.set_linger(Some(time::Duration::ZERO));
    }
}

fn reset(stream: &TcpStream) {
    // Fails only if the socket is already closed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

async fn copy(
    rx: &mut (impl AsyncReadExt + Unpin),
    tx: &mut (impl AsyncWriteExt + Unpin),
    harm: &cell::Cell<Harm>,
    dropping: Harm,
) {
    let mut buf = vec![0; 8 << 10];
    while let Ok(n @ 1..) = rx.read(&mut buf).await {
        match harm.get() {
            Harm::Resets => return,
            Harm::Delay(delay) => tokio::time::sleep(delay).await,
            harm if harm == dropping => continue,
            _ => {}
        }
        if tx.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
