//! An HTTP client with a connection pool; each connection carries one request at a time.
//!
//! Two rules keep its results correct. A connection with an abandoned request is closed and never
//! reused: its late answer would go to the next request and so to the wrong caller. A failure
//! before the first sent byte is distinguished from a later one, because only the former proves
//! that the request has not run.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::{Method, StatusCode, header};
use hyper_util::rt;
use tokio::sync::oneshot;

use super::server;
use crate::protocol::http1 as codec;

/// Settings of the client's connections.
#[derive(Clone, Debug)]
pub struct Config {
    /// The timeout for connecting.
    pub connect_timeout: time::Duration,
    /// The maximum number of idle connections per address.
    pub idle: usize,
    /// The maximum idle time of a connection that is reused.
    pub idle_timeout: time::Duration,
    /// The maximum bytes of an answer's status line and headers.
    pub head_bytes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: time::Duration::from_secs(1),
            idle: 16,
            // Shorter than the usual idle timeout of servers. If a server closes a connection just
            // as a request is sent on it, the request's outcome is unknown.
            idle_timeout: time::Duration::from_secs(4),
            head_bytes: 64 * 1024,
        }
    }
}

/// Why an attempt got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, and the connection broke or the answer was incomplete.
    Lost,
    /// The request was sent, and no complete answer arrived within the timeout.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
}

/// The handle of a running attempt. Dropping it does not cancel the attempt.
#[derive(Debug)]
pub struct Attempt(oneshot::Sender<()>);

impl Attempt {
    /// Closes the attempt's connection, so that the server can stop processing the request.
    pub fn cancel(self) {
        let _ = self.0.send(());
    }
}

/// A request and the limits on its answer.
#[derive(Debug)]
pub struct Call {
    /// The server's address.
    pub to: net::SocketAddr,
    /// The request.
    pub req: hyper::Request<Bytes>,
    /// The timeout for the whole attempt.
    pub timeout: time::Duration,
    /// The maximum bytes of the answer's body.
    pub body_bytes: usize,
}

/// One connection, closed on drop.
#[derive(Debug)]
struct Conn {
    tx: http1::SendRequest<Full<Bytes>>,
    task: tokio::task::AbortHandle,
    idle_since: time::Instant,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A client. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    shared: sync::Arc<Shared>,
    runtime: tokio::runtime::Handle,
}

#[derive(Debug)]
struct Shared {
    cfg: Config,
    idle: parking_lot::Mutex<collections::HashMap<net::SocketAddr, Vec<Conn>>>,
    connects: atomic::AtomicU64,
}

impl Client {
    /// Creates a client that runs its connections on `runtime`.
    pub fn new(runtime: tokio::runtime::Handle, cfg: Config) -> Self {
        let shared = Shared {
            cfg,
            idle: parking_lot::Mutex::default(),
            connects: atomic::AtomicU64::new(0),
        };
        Self {
            shared: sync::Arc::new(shared),
            runtime,
        }
    }

    /// The number of connection attempts so far.
    pub fn connects(&self) -> u64 {
        self.shared.connects.load(atomic::Ordering::Relaxed)
    }

    /// Closes the idle connections to addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&net::SocketAddr) -> bool) {
        self.shared.idle.lock().retain(|addr, _| keep(addr));
    }

    /// Sends a request and calls `done` once with its result, on the runtime.
    pub fn send<F>(&self, call: Call, done: F) -> Attempt
    where
        F: FnOnce(Result<server::Answer, Failure>) + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let shared = self.shared.clone();
        self.runtime.spawn(async move {
            let result = attempt(&shared, call, rx).await;
            done(result);
        });
        Attempt(tx)
    }
}

async fn attempt(
    shared: &Shared,
    call: Call,
    cancel: oneshot::Receiver<()>,
) -> Result<server::Answer, Failure> {
    let sent = atomic::AtomicBool::new(false);
    let timeout = call.timeout;
    let cancelled = async {
        // Dropping the handle does not cancel the attempt.
        if cancel.await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    let failure = tokio::select! {
        biased;
        result = exchange(shared, call, &sent) => return result,
        () = cancelled => Failure::Cancelled,
        () = tokio::time::sleep(timeout) => Failure::TimedOut,
    };
    if failure == Failure::TimedOut && !sent.load(atomic::Ordering::Relaxed) {
        return Err(Failure::NotSent);
    }
    Err(failure)
}

async fn exchange(
    shared: &Shared,
    call: Call,
    sent: &atomic::AtomicBool,
) -> Result<server::Answer, Failure> {
    let head_only = call.req.method() == Method::HEAD;
    let mut req = call.req.map(Full::new);
    let host = header::HeaderValue::from_str(&call.to.to_string());
    if let Ok(host) = host {
        req.headers_mut().insert(header::HOST, host);
    }
    loop {
        let (mut conn, reused) = match take_idle(shared, call.to).await {
            Some(conn) => (conn, true),
            None => (connect(shared, call.to).await?, false),
        };
        sent.store(true, atomic::Ordering::Relaxed);
        match conn.tx.try_send_request(req).await {
            Ok(res) => {
                let answer = read_answer(res, call.body_bytes, head_only).await?;
                put_idle(shared, call.to, conn);
                return Ok(answer);
            }
            Err(mut err) => {
                // The request is returned only if no byte of it was written.
                let Some(unsent) = err.take_message() else {
                    return Err(Failure::Lost);
                };
                sent.store(false, atomic::Ordering::Relaxed);
                if !reused {
                    return Err(Failure::NotSent);
                }
                req = unsent;
            }
        }
    }
}

/// Reads a complete answer. An answer without a stated length ends with its connection, so a
/// truncated one would look complete; such answers count as incomplete.
async fn read_answer(
    res: hyper::Response<hyper::body::Incoming>,
    body_bytes: usize,
    head_only: bool,
) -> Result<server::Answer, Failure> {
    let (parts, body) = res.into_parts();
    if codec::StatusKind::of(parts.status.as_u16()) != codec::StatusKind::Final {
        return Err(Failure::Lost);
    }
    let bodiless = head_only
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    let framed = parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING);
    if !bodiless && !framed && !body.is_end_stream() {
        return Err(Failure::Lost);
    }
    let collected = Limited::new(body, body_bytes)
        .collect()
        .await
        .map_err(|_| Failure::Lost)?;
    Ok(server::Answer {
        status: parts.status,
        headers: parts.headers,
        body: collected.to_bytes(),
    })
}

async fn take_idle(shared: &Shared, to: net::SocketAddr) -> Option<Conn> {
    loop {
        let mut conn = shared.idle.lock().get_mut(&to)?.pop()?;
        let fresh = conn.idle_since.elapsed() < shared.cfg.idle_timeout;
        if fresh && !conn.tx.is_closed() && conn.tx.ready().await.is_ok() {
            return Some(conn);
        }
    }
}

fn put_idle(shared: &Shared, to: net::SocketAddr, mut conn: Conn) {
    if conn.tx.is_closed() {
        return;
    }
    conn.idle_since = time::Instant::now();
    let mut idle = shared.idle.lock();
    let conns = idle.entry(to).or_default();
    if conns.len() < shared.cfg.idle {
        conns.push(conn);
    }
}

async fn connect(shared: &Shared, to: net::SocketAddr) -> Result<Conn, Failure> {
    shared.connects.fetch_add(1, atomic::Ordering::Relaxed);
    let connecting = tokio::net::TcpStream::connect(to);
    let stream = tokio::time::timeout(shared.cfg.connect_timeout, connecting)
        .await
        .map_err(|_| Failure::NotSent)?
        .map_err(|_| Failure::NotSent)?;
    let _ = stream.set_nodelay(true);
    let (tx, conn) = http1::Builder::new()
        .max_buf_size(shared.cfg.head_bytes)
        .handshake(rt::TokioIo::new(stream))
        .await
        .map_err(|_| Failure::NotSent)?;
    let task = tokio::spawn(async move {
        let _ = conn.await;
    });
    Ok(Conn {
        tx,
        task: task.abort_handle(),
        idle_since: time::Instant::now(),
    })
}
