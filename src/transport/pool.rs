//! A listener whose requests are answered by a few threads, for answers that may block.
//!
//! The callers' listener hands requests to the workers of the entry process; operators and the
//! stand-in store have no such workers, and each of their answers is worked out in one go.

use std::io;
use std::net;
use std::sync;
use std::thread;

use crossbeam::channel;

use super::server;

/// How a pool listens.
#[derive(Clone, Debug)]
pub struct Config {
    /// Threads that answer.
    pub threads: usize,
    /// Requests that wait for one of them. More are turned away as [`server::Fault::Busy`].
    pub waiting: usize,
    /// The bounds on what is taken in.
    pub limits: server::Limits,
}

/// What answers.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request. It may block.
    fn handle(&self, req: server::Request);

    /// The answer to a request that never got that far, or was dropped.
    fn fault(&self, fault: server::Fault) -> server::Answer;
}

/// A running pool. It stops when dropped.
#[derive(Debug)]
pub struct Pool {
    server: server::Server,
    /// Dropped last: every connection lives on it.
    _runtime: tokio::runtime::Runtime,
}

impl Pool {
    /// Where it listens.
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

    fn gone(&self, _id: u64) {}

    fn fault(&self, _id: u64, fault: server::Fault) -> server::Answer {
        self.handler.fault(fault)
    }
}

/// Listens on `addr` until the pool is dropped.
///
/// # Errors
///
/// The address cannot be listened on, or no thread can be started.
pub fn serve<H: Handler>(addr: net::SocketAddr, cfg: Config, handler: H) -> io::Result<Pool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let (tx, rx) = channel::bounded(cfg.waiting);
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
