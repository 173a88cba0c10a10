//! Test doubles for the platform's store, backend servers and the network, and a handle for a gateway
//! process. Shared by the tests of the platform adapter and of the gateway, and by the soak.

pub(crate) mod addrs;
pub(crate) mod backend;
pub(crate) mod body;
pub(crate) mod crowd;
pub(crate) mod cut;
pub(crate) mod process;
pub(crate) mod proxy;
pub(crate) mod shares;
pub(crate) mod store;

use std::net;

use bulrushwind::transport::{descriptors, socket};
use tokio::net::{TcpListener, TcpSocket};

/// Listens on a port that only this process uses.
pub(crate) fn listen() -> TcpListener {
    let bound = addrs::bind();
    bound.set_nonblocking(true).unwrap();
    TcpListener::from_std(bound).unwrap()
}

/// Connects as over an Ethernet with a small window: the system takes little of an answer before it is
/// read.
pub(crate) async fn connect_slow(addr: net::SocketAddr) -> socket::Wire {
    let socket = TcpSocket::new_v4().unwrap();
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_mss(1460).unwrap();
    options.set_recv_buffer_size(8 << 10).unwrap();
    let stream = socket.connect(addr).await.unwrap();
    let held = descriptors::Held::new(descriptors::Use::Callers);
    socket::Wire::new(stream, held)
}
