//! An HTTP server that passes complete requests to a [`Sink`].
//!
//! Each connection is a task on a runtime of a few threads, so slow senders, idle connections and
//! requests that wait for a slot block no thread. A request reaches the sink only when its body is
//! complete. The resources that callers can use are bounded: connections, header bytes, the time
//! for headers and for a body, the bytes of one body and of all bodies together.

use std::convert;
use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::{HeaderMap, Method, StatusCode, Uri, header, service};
use hyper_util::rt;
use tokio::sync::{oneshot, watch};

use crate::protocol::headers;

/// The unit in which bodies count against [`Limits::total_body_bytes`].
const BODY_UNIT_BYTES: usize = 1024;

/// The limits on the resources that callers can use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of open connections. More are closed at once.
    pub connections: usize,
    /// The maximum bytes of a request's line and headers.
    pub head_bytes: usize,
    /// The timeout for a request's line and headers, and for an idle connection.
    pub head_timeout: time::Duration,
    /// The timeout for a body.
    pub body_timeout: time::Duration,
    /// The maximum bytes of one body.
    pub body_bytes: usize,
    /// The maximum bytes of all bodies in memory.
    pub total_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 8192,
            head_bytes: 16 * 1024,
            head_timeout: time::Duration::from_secs(30),
            body_timeout: time::Duration::from_secs(10),
            body_bytes: 1 << 20,
            total_body_bytes: 32 << 20,
        }
    }
}

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// The request's number, unique per server.
    pub id: u64,
    /// The caller's address.
    pub from: net::SocketAddr,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The channel for the answer.
    pub reply: Reply,
    /// Holds the body's share of [`Limits::total_body_bytes`].
    pub permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

/// The channel for the answer to one request. If it is dropped unused, the request gets
/// [`Fault::Dropped`] and the connection is closed.
#[derive(Debug)]
pub struct Reply(oneshot::Sender<Answer>);

impl Reply {
    /// Sends the answer, or drops it if the caller has disconnected.
    pub fn send(self, answer: Answer) {
        let _ = self.0.send(answer);
    }

    /// Whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why a request could not be passed on or answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The body exceeds this limit in bytes.
    TooLarge(usize),
    /// The body did not arrive completely within the timeout.
    Incomplete,
    /// The process is at its limit of bodies or queued requests.
    Busy,
    /// The [`Reply`] was dropped unused. The request may have run.
    Dropped,
}

/// Receives a server's requests. Its methods must not block.
pub trait Sink: Clone + Send + Sync + 'static {
    /// Receives a complete request.
    fn request(&self, req: Request);

    /// Called when a caller disconnects before its request is answered.
    fn caller_disconnected(&self, id: u64);

    /// The answer to a request that failed with `fault`.
    fn fault(&self, id: u64, fault: Fault) -> Answer;

    /// The id by which operators find a request, sent in a header of its answer.
    fn request_id(&self, _id: u64) -> Option<header::HeaderValue> {
        None
    }
}

/// A running server, stopped on drop.
#[derive(Debug)]
pub struct Server {
    addr: net::SocketAddr,
    open: sync::Arc<atomic::AtomicUsize>,
    closing: sync::Arc<atomic::AtomicBool>,
    stop: watch::Sender<bool>,
}

impl Server {
    /// The address of the listener.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(atomic::Ordering::Relaxed)
    }

    /// Closes each connection after its next answer from now on. A connection that stays open
    /// until the process stops could be closed just as its caller sends the next request, and
    /// that request would be lost.
    pub fn close_after_answers(&self) {
        self.closing.store(true, atomic::Ordering::SeqCst);
    }

    /// Accepts no more connections and closes each one after its current request is answered.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

struct Shared<S> {
    sink: S,
    limits: Limits,
    bodies: sync::Arc<tokio::sync::Semaphore>,
    next_id: atomic::AtomicU64,
    open: sync::Arc<atomic::AtomicUsize>,
    closing: sync::Arc<atomic::AtomicBool>,
}

/// Listens on `addr` and passes requests to `sink`. Fails if the address cannot be bound.
pub fn start<S: Sink>(
    runtime: &tokio::runtime::Handle,
    addr: net::SocketAddr,
    limits: Limits,
    sink: S,
) -> io::Result<Server> {
    let listener = net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let open = sync::Arc::new(atomic::AtomicUsize::new(0));
    let closing = sync::Arc::new(atomic::AtomicBool::new(false));
    let (stop, stopped) = watch::channel(false);
    let shared = sync::Arc::new(Shared {
        bodies: sync::Arc::new(tokio::sync::Semaphore::new(
            limits.total_body_bytes / BODY_UNIT_BYTES,
        )),
        sink,
        limits,
        next_id: atomic::AtomicU64::new(1),
        open: open.clone(),
        closing: closing.clone(),
    });
    runtime.spawn(accept(listener, shared, stopped));
    Ok(Server {
        addr: bound,
        open,
        closing,
        stop,
    })
}

async fn accept<S: Sink>(
    listener: net::TcpListener,
    shared: sync::Arc<Shared<S>>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            // Accepting fails while no file handles are free; an immediate retry would spin.
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        let open = OpenConnection::new(&shared.open);
        if shared.open.load(atomic::Ordering::Relaxed) > shared.limits.connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let (shared, stopped) = (shared.clone(), stopped.clone());
        tokio::spawn(async move {
            serve(stream, from, shared, stopped).await;
            drop(open);
        });
    }
}

/// Counts one open connection.
struct OpenConnection(sync::Arc<atomic::AtomicUsize>);

impl OpenConnection {
    fn new(open: &sync::Arc<atomic::AtomicUsize>) -> Self {
        open.fetch_add(1, atomic::Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn serve<S: Sink>(
    stream: tokio::net::TcpStream,
    from: net::SocketAddr,
    shared: sync::Arc<Shared<S>>,
    mut stopped: watch::Receiver<bool>,
) {
    let handler = service::service_fn(|req| {
        let shared = shared.clone();
        async move { Ok::<_, convert::Infallible>(handle(&shared, from, req).await) }
    });
    let conn = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(shared.limits.head_timeout)
        .max_buf_size(shared.limits.head_bytes)
        .serve_connection(rt::TokioIo::new(stream), handler);
    let mut conn = pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = stopped.wait_for(|stop| *stop) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

async fn handle<S: Sink>(
    shared: &Shared<S>,
    from: net::SocketAddr,
    req: hyper::Request<Incoming>,
) -> hyper::Response<Full<Bytes>> {
    let (parts, body) = req.into_parts();
    let id = shared.next_id.fetch_add(1, atomic::Ordering::Relaxed);
    let (body, permit) = match read_body(shared, body).await {
        Ok(read) => read,
        Err(fault) => return response(shared, id, shared.sink.fault(id, fault), true),
    };
    let (tx, rx) = oneshot::channel();
    let mut guard = DisconnectGuard {
        sink: &shared.sink,
        id,
        answered: false,
    };
    shared.sink.request(Request {
        id,
        from,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        reply: Reply(tx),
        permit,
    });
    let answer = rx.await;
    guard.answered = true;
    match answer {
        Ok(answer) => {
            let closing = shared.closing.load(atomic::Ordering::Relaxed);
            response(shared, id, answer, closing)
        }
        Err(_) => response(shared, id, shared.sink.fault(id, Fault::Dropped), true),
    }
}

/// Calls [`Sink::caller_disconnected`] on drop before the answer: the connection was closed.
struct DisconnectGuard<'a, S: Sink> {
    sink: &'a S,
    id: u64,
    answered: bool,
}

impl<S: Sink> Drop for DisconnectGuard<'_, S> {
    fn drop(&mut self) {
        if !self.answered {
            self.sink.caller_disconnected(self.id);
        }
    }
}

type Permit = Option<tokio::sync::OwnedSemaphorePermit>;

async fn read_body<S: Sink>(shared: &Shared<S>, body: Incoming) -> Result<(Bytes, Permit), Fault> {
    let limits = &shared.limits;
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let max_bytes = body.size_hint().upper().unwrap_or(limits.body_bytes as u64);
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    if max_bytes > limits.body_bytes {
        return Err(Fault::TooLarge(limits.body_bytes));
    }
    let units = u32::try_from(max_bytes.div_ceil(BODY_UNIT_BYTES)).unwrap_or(u32::MAX);
    let permit = shared
        .bodies
        .clone()
        .try_acquire_many_owned(units)
        .map_err(|_| Fault::Busy)?;
    let read = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.body_timeout, read).await {
        Ok(Ok(collected)) => Ok((collected.to_bytes(), Some(permit))),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            Err(Fault::TooLarge(limits.body_bytes))
        }
        Ok(Err(_)) | Err(_) => Err(Fault::Incomplete),
    }
}

fn response<S: Sink>(
    shared: &Shared<S>,
    id: u64,
    answer: Answer,
    close: bool,
) -> hyper::Response<Full<Bytes>> {
    let mut res = hyper::Response::new(Full::new(answer.body));
    *res.status_mut() = answer.status;
    *res.headers_mut() = answer.headers;
    if let Some(name) = shared.sink.request_id(id) {
        res.headers_mut().insert(headers::REQUEST_ID, name);
    }
    if close {
        let value = header::HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, value);
    }
    res
}
