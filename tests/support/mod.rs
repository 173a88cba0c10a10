//! Stand-ins for what surrounds a gateway process: the platform's store, backend servers, the
//! process itself. Shared by the tests of the platform's adapter and the soak.

pub(crate) mod backend;
pub(crate) mod process;
pub(crate) mod proxy;
pub(crate) mod store;

use std::net;
use std::sync::atomic;

use tokio::net::TcpListener;

/// Binds a port of this run. Ports that the system hands out by itself go from one run to the
/// next within moments, and a gateway of another run that still dials its old store would reach
/// a backend server of this one.
pub(crate) fn bind() -> net::TcpListener {
    const FIRST: u32 = 11_000;
    const RUNS: u32 = 80;
    const EACH: u32 = 250;
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let base = FIRST + std::process::id() % RUNS * EACH;
    loop {
        let n = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let port = u16::try_from(base + n % EACH).unwrap();
        if let Ok(bound) = net::TcpListener::bind(("127.0.0.1", port)) {
            return bound;
        }
    }
}

/// Listens on a port of this run.
pub(crate) fn listen() -> TcpListener {
    let bound = bind();
    bound.set_nonblocking(true).unwrap();
    TcpListener::from_std(bound).unwrap()
}
