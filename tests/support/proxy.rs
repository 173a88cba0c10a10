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
pub(crate) enum Fault {
    /// Forwards unchanged.
    #[default]
    None,
    /// Delays each piece of data.
    Delay(time::Duration),
    /// Drops data from the client.
    DropsRequests,
    /// Drops data from the server.
    DropsResponses,
    /// Resets connections.
    Resets,
}

/// A proxy in front of one server address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: net::SocketAddr,
    fault: rc::Rc<cell::Cell<Fault>>,
}

impl Proxy {
    pub(crate) fn start(to: net::SocketAddr) -> Self {
        let listener = super::listen();
        let proxy = Self {
            addr: listener.local_addr().unwrap(),
            fault: rc::Rc::default(),
        };
        let fault = proxy.fault.clone();
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn_local(pass(stream, to, fault.clone()));
            }
        });
        proxy
    }

    pub(crate) fn set(&self, fault: Fault) {
        self.fault.set(fault);
    }
}

async fn pass(from: TcpStream, to: net::SocketAddr, fault: rc::Rc<cell::Cell<Fault>>) {
    if fault.get() == Fault::Resets {
        return reset(&from);
    }
    let Ok(to) = TcpStream::connect(to).await else {
        return reset(&from);
    };
    let reset_on = socket2::SockRef::from(&from).try_clone().unwrap();
    let (mut from_rx, mut from_tx) = from.into_split();
    let (mut to_rx, mut to_tx) = to.into_split();
    let out = copy(&mut from_rx, &mut to_tx, &fault, Fault::DropsRequests);
    let back = copy(&mut to_rx, &mut from_tx, &fault, Fault::DropsResponses);
    tokio::select! {
        () = out => {}
        () = back => {}
    }
    if fault.get() == Fault::Resets {
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
    fault: &cell::Cell<Fault>,
    dropping: Fault,
) {
    let mut buf = vec![0; 8 << 10];
    while let Ok(n @ 1..) = rx.read(&mut buf).await {
        match fault.get() {
            Fault::Resets => return,
            Fault::Delay(delay) => tokio::time::sleep(delay).await,
            fault if fault == dropping => continue,
            _ => {}
        }
        if tx.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
