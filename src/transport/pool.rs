//! An HTTP listener with a pool of a few threads, for handlers that may block.
//!
//! The callers' listener passes requests to the worker threads of the entry process. Operators and
//! the stand-in store have no such workers, and each of their requests is handled synchronously.

use std::io;
use std::net;
use std::sync;
use std::thread;

use crossbeam::channel;

use super::server;

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct Config {
    /// The number of handler threads.
    pub threads: usize,
    /// The maximum number of queued requests. More are refused with [`server::Fault::Busy`].
    pub max_queued: usize,
    /// The limits of the HTTP server.
    pub limits: server::Limits,
}

/// Handles the requests of a pool.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request and sends its answer. May block.
    fn handle(&self, req: server::Request);

    /// The answer to a request that was not handled, or whose reply was dropped.
    fn fault(&self, fault: server::Fault) -> server::Answer;
}

/// A running pool, stopped on drop.
#[derive(Debug)]
pub struct Pool {
    server: server::Server,
    /// Dropped last, because all connections run on it.
    _runtime: tokio::runtime::Runtime,
}

impl Pool {
    /// The address of the listener.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }
}

struct Sink<H> {
    tx: channel::Sender<server::Request>,
    handler: sync::Arc<H>,
}

impl<H> Clone for Sink<H> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            handler: self.handler.clone(),
        }
    }
}

impl<H: Handler> server::Sink for Sink<H> {
    fn request(&self, req: server::Request) {
        if let Err(channel::TrySendError::Full(req)) = self.tx.try_send(req) {
            req.reply.send(self.handler.fault(server::Fault::Busy));
        }
    }

    fn caller_disconnected(&self, _id: u64) {}

    fn fault(&self, _id: u64, fault: server::Fault) -> server::Answer {
        self.handler.fault(fault)
    }
}

/// Listens on `addr` until the pool is dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound or the runtime cannot be started.
pub fn serve<H: Handler>(addr: net::SocketAddr, cfg: Config, handler: H) -> io::Result<Pool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let (tx, rx) = channel::bounded(cfg.max_queued);
    let handler = sync::Arc::new(handler);
    let sink = Sink {
        tx,
        handler: handler.clone(),
    };
    let server = server::start(runtime.handle(), addr, cfg.limits, sink)?;
    for _ in 0..cfg.threads {
        let (rx, handler) = (rx.clone(), handler.clone());
        thread::spawn(move || {
            while let Ok(req) = rx.recv() {
                handler.handle(req);
            }
        });
    }
    Ok(Pool {
        server,
        _runtime: runtime,
    })
}
