//! Test doubles for the platform's store, backend servers and the network, and a handle for a gateway
//! process. Shared by the tests of the platform adapter and of the gateway, and by the soak.

pub(crate) mod backend;
pub(crate) mod cut;
pub(crate) mod process;
pub(crate) mod proxy;
pub(crate) mod shares;
pub(crate) mod store;

use std::net;
use std::sync::atomic;

use tokio::net::TcpListener;

/// Binds a port from this test process's own range. The system reuses ephemeral ports within
/// moments, so a gateway of another test process that still dials its old store could reach a
/// backend server of this one.
pub(crate) fn bind() -> net::TcpListener {
    const FIRST_PORT: u32 = 11_000;
    const PORT_RANGE_COUNT: u32 = 80;
    const PORTS_PER_RANGE: u32 = 250;
    static NEXT_OFFSET: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let base = FIRST_PORT + std::process::id() % PORT_RANGE_COUNT * PORTS_PER_RANGE;
    loop {
        let n = NEXT_OFFSET.fetch_add(1, atomic::Ordering::Relaxed);
        let port = u16::try_from(base + n % PORTS_PER_RANGE).unwrap();
        if let Ok(bound) = net::TcpListener::bind(("127.0.0.1", port)) {
            return bound;
        }
    }
}

/// Listens on a port from this test process's own range.
pub(crate) fn listen() -> TcpListener {
    let bound = bind();
    bound.set_nonblocking(true).unwrap();
    TcpListener::from_std(bound).unwrap()
}
