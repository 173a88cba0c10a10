//! Request bodies on callers' connections that close, stop or become invalid.

#[path = "support/body.rs"]
mod body;
#[path = "support/runtime.rs"]
mod runtime;

use std::cell;
use std::rc;
use std::time;

use bulrushwind::decisions::memory::Config;
use bulrushwind::decisions::planned_stop;
use bulrushwind::protocol::{http1, routes};
use bulrushwind::transport::callers::{Fate, Partial, Reason};
use bulrushwind::transport::{callers, descriptors, memory, socket, upstream};
use bytes::{Bytes, BytesMut};
use futures_util::future as futures;
use tokio::sync::{self, mpsc, watch};
use tokio::{net, task};

use runtime::{LONG, run_test};

/// The length of a body that is streamed.
const BYTES: usize = 300_000;

/// What the handler received.
#[derive(Debug, Default)]
struct Seen {
    begun: usize,
    /// Lengths of the bodies that arrived, and whether each was whole.
    bodies: Vec<(usize, bool)>,
}

/// Answers by the path: `/count` when the body has arrived, `/early` at once, `/close` at once as the
/// connection's last answer, `/held` once it is released, `/held-close` the same as the last answer,
/// `/long` with many bytes, and `/relayed` with many that count as relayed.
#[derive(Clone, Default)]
struct Handler {
    seen: rc::Rc<cell::RefCell<Seen>>,
    released: rc::Rc<sync::Notify>,
    idle_timeout: Option<time::Duration>,
    memory: Memory,
}

/// Memory for callers, of which a test may take all.
#[derive(Clone)]
struct Memory {
    account: memory::Account,
    taken: rc::Rc<cell::RefCell<memory::Charge>>,
}

impl Memory {
    fn shrink(&self) {
        self.taken.borrow_mut().set(100 << 20);
    }

    /// Waits until everything is released that connections and requests have held.
    async fn until_released(&self) {
        self.taken.borrow_mut().set(0);
        let started = time::Instant::now();
        while self.account.total() > 0 {
            let held = memory::Owner::ALL
                .iter()
                .map(|owner| (owner, self.account.used(*owner)));
            assert!(started.elapsed() < LONG, "{:?}", held.collect::<Vec<_>>());
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }
}

impl Default for Memory {
    fn default() -> Self {
        let account = memory::Account::new(Config::default().limits(Some(100 << 20)));
        let taken = account.charge(memory::Owner::Answers);
        Self {
            account,
            taken: rc::Rc::new(cell::RefCell::new(taken)),
        }
    }
}

fn long_answer() -> callers::Body {
    let (tx, rx) = mpsc::channel(1);
    task::spawn_local(async move {
        for _ in 0..64 {
            let piece = upstream::Piece::Data(Bytes::from(vec![b'x'; 256 << 10]));
            if tx.send(piece).await.is_err() {
                return;
            }
        }
        let _ = tx.send(upstream::Piece::End).await;
    });
    callers::Body::Pieces { length: None, rx }
}

impl callers::Handler for Handler {
    fn limits(&self) -> routes::Limits {
        let limits = routes::Limits::default();
        routes::Limits {
            max_body_bytes: 1 << 20,
            idle_timeout: self.idle_timeout.unwrap_or(limits.idle_timeout),
            head_timeout: self.idle_timeout.unwrap_or(limits.head_timeout),
            ..limits
        }
    }

    fn memory(&self) -> memory::Account {
        self.memory.account.clone()
    }

    fn answer(&self, mut req: callers::Request) -> impl Future<Output = callers::Answer> + 'static {
        let Self { seen, released, .. } = self.clone();
        async move {
            seen.borrow_mut().begun += 1;
            let path = req.head.path().to_owned();
            if path.starts_with("/held") {
                released.notified().await;
            }
            let mut answer = callers::Answer::empty(200);
            answer.close = path.ends_with("close");
            match path.as_str() {
                "/count" => {
                    let (len, is_whole) = tokio::select! {
                        body = body::read(&mut req.payload) => body,
                        () = req.cancellation.ended() => (0, false),
                    };
                    seen.borrow_mut().bodies.push((len, is_whole));
                    if !is_whole {
                        return callers::Answer::empty(502);
                    }
                    answer.body = callers::Body::Whole(len.to_string().into());
                }
                "/long" => answer.body = long_answer(),
                "/relayed" => {
                    req.cancellation.relayed.set(true);
                    answer.body = long_answer();
                }
                _ => {}
            }
            answer
        }
    }
}

struct Server {
    handler: Handler,
    addr: std::net::SocketAddr,
    stop: watch::Sender<planned_stop::Phase>,
}

impl Server {
    async fn start(handler: Handler) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (stop, stopping) = watch::channel(planned_stop::Phase::Serving);
        let serving = handler.clone();
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // Little of an answer fits into the system's buffer.
                let socket = socket2::SockRef::from(&stream);
                socket.set_send_buffer_size(64 << 10).unwrap();
                let served = callers::serve(stream, serving.clone(), stopping.clone());
                task::spawn_local(served);
            }
        });
        Self {
            handler,
            addr,
            stop,
        }
    }

    /// A connection on which 100,000 bytes of an upload are sent, which is not streamed yet, and the rest of
    /// its body. Sends the requests before it first.
    async fn begun_upload(
        &self,
        before: &[&str],
        framing: Framing,
        len: usize,
    ) -> (Caller, String) {
        let (head, mut body) = upload("/count", "", framing, len);
        let rest = body.split_off(100_000);
        let mut caller = self.caller().await;
        for path in before {
            caller.send(&get(path)).await;
        }
        caller.send(&head).await;
        caller.send(&body).await;
        let all = before.len();
        self.until("those before start", |seen| seen.begun == all)
            .await;
        (caller, rest)
    }

    /// A connection on which a streamed upload has started, and the rest of its body. Sends the requests
    /// before it first.
    async fn started_upload(&self, before: &[&str], framing: Framing) -> (Caller, String) {
        let mut caller = self.caller().await;
        for path in before {
            caller.send(&get(path)).await;
        }
        let (head, mut body) = upload("/count", "", framing, BYTES);
        // A body in chunks is streamed only once it exceeds the buffer.
        let rest = body.split_off(290_000);
        caller.send(&head).await;
        caller.send(&body).await;
        let all = before.len() + 1;
        self.until("all start", |seen| seen.begun == all).await;
        (caller, rest)
    }

    async fn caller(&self) -> Caller {
        let socket = net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(64 << 10).unwrap();
        let stream = socket.connect(self.addr).await.unwrap();
        let held = descriptors::Held::new(descriptors::Use::Callers);
        Caller {
            wire: socket::Wire::new(stream, held),
        }
    }

    async fn until(&self, what: &str, holds: impl Fn(&Seen) -> bool) {
        let started = time::Instant::now();
        while !holds(&self.handler.seen.borrow()) {
            assert!(started.elapsed() < LONG, "never: {what}");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }
}

struct Caller {
    wire: socket::Wire,
}

/// The framing of a body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

const FRAMINGS: [Framing; 2] = [Framing::Length, Framing::Chunks];

/// The head and the body of a request with a body of this length.
fn upload(path: &str, fields: &str, framing: Framing, len: usize) -> (String, String) {
    let body = "y".repeat(len);
    let (field, body) = match framing {
        Framing::Length => (format!("Content-Length: {len}"), body),
        Framing::Chunks => {
            let chunks = body.as_bytes().chunks(20_000);
            let chunks = chunks.map(|c| format!("{:x}\r\n{}\r\n", c.len(), "y".repeat(c.len())));
            (
                "Transfer-Encoding: chunked".to_owned(),
                chunks.collect::<String>() + "0\r\n\r\n",
            )
        }
    };
    (
        format!("POST {path} HTTP/1.1\r\n{fields}{field}\r\n\r\n"),
        body,
    )
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\n\r\n")
}

impl Caller {
    async fn send(&mut self, text: &str) {
        self.wire.send(text.as_bytes()).await.unwrap();
    }

    /// The status and the length of the body of the next answer; `None` if the connection has ended.
    async fn receive(&mut self) -> Option<(u16, String)> {
        let head = loop {
            let taken = http1::ResponseHead::take(&mut self.wire.buf, 64 << 10, false);
            if let Some(head) = taken.unwrap() {
                break head;
            }
            if !matches!(self.wire.fill().await, Ok(1..)) {
                return None;
            }
        };
        let mut reader = http1::BodyReader::new(head.framing);
        let mut body = BytesMut::new();
        while let Some(piece) = upstream::next_piece(&mut self.wire, &mut reader)
            .await
            .ok()?
        {
            body.extend_from_slice(&piece);
        }
        let body = String::from_utf8(body.to_vec()).unwrap();
        Some((head.status, body))
    }

    async fn expect(&mut self, status: u16, body: &str) {
        let received = self.receive().await;
        assert_eq!(received, Some((status, body.to_owned())));
    }
}

/// Guards against bodies that are not read to the end if their connection is not kept alive.
#[test]
fn a_long_body_is_read_to_its_end_on_a_connection_that_its_caller_does_not_keep() {
    for framing in FRAMINGS {
        for (version, field) in [("1.1", "Connection: close\r\n"), ("1.0", "")] {
            run_test(async || {
                let server = Server::start(Handler::default()).await;
                let mut caller = server.caller().await;
                let (head, body) = upload("/count", field, framing, BYTES);
                caller.send(&head.replace("1.1", version)).await;
                caller.send(&body).await;
                caller.expect(200, &BYTES.to_string()).await;
                assert_eq!(caller.receive().await, None);
            });
        }
    }
}

/// Guards against bodies that are not read to the end after an answer to an earlier request closes the
/// connection.
#[test]
fn a_long_body_is_read_to_its_end_behind_an_answer_that_closes_the_connection() {
    for framing in FRAMINGS {
        run_test(async || {
            let server = Server::start(Handler::default()).await;
            let (mut caller, rest) = server.started_upload(&["/held-close"], framing).await;
            server.handler.released.notify_one();
            caller.expect(200, "").await;
            caller.send(&rest).await;
            caller.expect(200, &BYTES.to_string()).await;
            assert_eq!(caller.receive().await, None);
        });
    }
}

/// Guards against bodies that are not read to the end in a planned stop.
#[test]
fn a_long_body_is_read_to_its_end_in_a_planned_stop() {
    for framing in FRAMINGS {
        run_test(async || {
            let server = Server::start(Handler::default()).await;
            let (mut caller, rest) = server.started_upload(&[], framing).await;
            server.stop.send_replace(planned_stop::Phase::Stopping);
            caller.send(&rest).await;
            caller.expect(200, &BYTES.to_string()).await;
            assert_eq!(caller.receive().await, None);
        });
    }
}

/// Guards against bodies that wait until a slow caller has read the answer before them.
#[test]
fn a_long_body_is_read_while_the_answer_before_it_is_written() {
    for framing in FRAMINGS {
        run_test(async || {
            let server = Server::start(Handler::default()).await;
            let before = ["/held", "/long"];
            let (mut caller, rest) = server.started_upload(&before, framing).await;
            server.handler.released.notify_one();
            caller.expect(200, "").await;
            caller.send(&rest).await;
            let whole = (BYTES, true);
            server
                .until("the body arrives", |seen| seen.bodies == [whole])
                .await;
            assert_eq!(caller.receive().await.unwrap().1.len(), 16 << 20);
            caller.expect(200, &BYTES.to_string()).await;
        });
    }
}

/// Guards against requests that wait for the rest of a body which is known to be invalid, and against a
/// second answer to them.
#[test]
fn a_request_whose_long_body_is_invalid_is_refused_at_once() {
    let (head, body) = upload("/count", "", Framing::Chunks, BYTES);
    let valid = head + body.strip_suffix("0\r\n\r\n").unwrap();
    let too_long = upload("/", "", Framing::Chunks, 2 << 20).1;
    for (rest, status) in [("no chunk\r\n", 400), (too_long.as_str(), 413)] {
        for ahead in ["", "/held"] {
            run_test(async || {
                let server = Server::start(Handler::default()).await;
                let mut caller = server.caller().await;
                if !ahead.is_empty() {
                    caller.send(&get(ahead)).await;
                }
                caller.send(&valid).await;
                // The server may close before it has taken all.
                let _ = caller.wire.send(rest.as_bytes()).await;
                let notified = |seen: &Seen| matches!(seen.bodies[..], [(_, false)] | []);
                server.until("its handler is notified", notified).await;
                if !ahead.is_empty() {
                    server.handler.released.notify_one();
                    caller.expect(200, "").await;
                }
                caller.expect(status, "").await;
                assert_eq!(caller.receive().await, None);
            });
        }
    }
}

async fn send_slowly(path: &str, field: &str, framing: Framing) {
    let server = Server::start(Handler::default()).await;
    let mut caller = server.caller().await;
    let (head, body) = upload(path, field, framing, 3 * BYTES);
    caller.send(&head).await;
    for part in body.as_bytes().chunks(BYTES) {
        caller.wire.send(part).await.unwrap();
        tokio::time::sleep(time::Duration::from_millis(600)).await;
    }
    caller.expect(200, "").await;
}

/// Guards against callers that lose a refusal since they read it only after they have sent the body.
#[test]
fn an_early_answer_reaches_callers_that_send_their_long_bodies_slowly() {
    for framing in FRAMINGS {
        run_test(async || {
            futures::join4(
                send_slowly("/early", "", framing),
                send_slowly("/close", "", framing),
                send_slowly("/early", "Connection: close\r\n", framing),
                send_slowly("/close", "Connection: close\r\n", framing),
            )
            .await;
        });
    }
}

/// Guards against a second answer to a request that was answered before its body had arrived.
#[test]
fn a_body_that_stops_behind_its_answer_ends_the_connection_without_another_answer() {
    for (field, rest) in [
        ("", ""),
        ("Connection: close\r\n", ""),
        ("", "no chunk\r\n"),
        ("Connection: close\r\n", "no chunk\r\n"),
    ] {
        run_test(async || {
            let server = Server::start(Handler {
                idle_timeout: Some(time::Duration::from_millis(300)),
                ..Handler::default()
            })
            .await;
            let mut caller = server.caller().await;
            let (head, body) = upload("/early", field, Framing::Chunks, BYTES);
            caller.send(&head).await;
            caller.send(body.strip_suffix("0\r\n\r\n").unwrap()).await;
            caller.expect(200, "").await;
            caller.send(rest).await;
            assert_eq!(caller.receive().await, None);
        });
    }
}

/// Guards against a request that runs although its caller may resend it, because the connection closed
/// without an answer to it.
#[test]
fn a_request_that_has_not_begun_behind_an_answer_that_closes_the_connection_does_not_run() {
    for (framing, len) in [(Framing::Length, 200_000), (Framing::Chunks, BYTES)] {
        run_test(async || {
            let server = Server::start(Handler::default()).await;
            let (mut caller, rest) = server.begun_upload(&["/held-close"], framing, len).await;
            server.handler.released.notify_one();
            caller.expect(200, "").await;
            let _ = caller.wire.send(rest.as_bytes()).await;
            assert_eq!(caller.receive().await, None);
            assert_eq!(server.handler.seen.borrow().begun, 1);
        });
    }
}

/// Guards against pipelined requests that never receive `100 Continue`.
#[test]
fn continue_is_sent_after_the_answers_to_earlier_requests() {
    for (framing, len) in [
        (Framing::Length, 1000),
        (Framing::Length, BYTES),
        (Framing::Chunks, BYTES),
    ] {
        for ahead in [0, 2] {
            run_test(async || {
                let server = Server::start(Handler::default()).await;
                let mut caller = server.caller().await;
                for _ in 0..ahead {
                    caller.send(&get("/held")).await;
                }
                let (head, body) = upload("/count", "Expect: 100-continue\r\n", framing, len);
                caller.send(&head).await;
                let begun = |seen: &Seen| seen.begun >= ahead;
                server.until("those before begin", begun).await;
                server.handler.released.notify_waiters();
                for _ in 0..ahead {
                    caller.expect(200, "").await;
                }
                caller.expect(100, "").await;
                caller.send(&body).await;
                caller.expect(200, &len.to_string()).await;
            });
        }
    }
}

/// Guards against the next request being parsed as a body that the caller omitted, because it received no
/// `100 Continue`.
#[test]
fn a_final_answer_before_continue_closes_the_connection() {
    run_test(async || {
        let server = Server::start(Handler::default()).await;
        let mut caller = server.caller().await;
        caller.send(&get("/held")).await;
        let (head, _) = upload("/early", "Expect: 100-continue\r\n", Framing::Length, BYTES);
        caller.send(&head).await;
        server.until("both begin", |seen| seen.begun == 2).await;
        server.handler.released.notify_one();
        caller.expect(200, "").await;
        caller.expect(200, "").await;
        assert_eq!(caller.receive().await, None);
    });
}

/// Guards against a partly read request that starts while an earlier answer is relayed.
#[test]
fn a_body_that_ends_behind_an_answer_that_is_relayed_runs_after_it() {
    for (framing, len) in [(Framing::Length, 200_000), (Framing::Chunks, BYTES)] {
        run_test(async || {
            let server = Server::start(Handler::default()).await;
            let before = ["/held", "/relayed"];
            let (mut caller, rest) = server.begun_upload(&before, framing, len).await;
            caller.send(&rest).await;
            tokio::time::sleep(time::Duration::from_millis(100)).await;
            assert_eq!(server.handler.seen.borrow().begun, 2);
            server.handler.released.notify_one();
            caller.expect(200, "").await;
            assert_eq!(caller.receive().await.unwrap().1.len(), 16 << 20);
            caller.expect(200, &len.to_string()).await;
        });
    }
}

/// A connection on which a request is partly read, and the rest of that request.
async fn partly_read(
    server: &Server,
    before: &[&str],
    partial: Partial,
    field: &str,
    framing: Framing,
) -> (Caller, String) {
    let (path, len, sent) = match partial {
        Partial::None => ("/early", 0, None),
        Partial::Head => ("/early", 0, Some(10)),
        Partial::Buffered => ("/count", 100_000, Some(50_000)),
        Partial::Streamed => ("/count", BYTES, Some(290_000)),
        Partial::Answered => ("/early", BYTES, Some(290_000)),
    };
    let mut caller = server.caller().await;
    for path in before {
        caller.send(&get(path)).await;
    }
    let (head, body) = upload(path, field, framing, len);
    let mut request = head.clone() + &body;
    let sent = match partial {
        Partial::None => 0,
        Partial::Head => 10,
        _ => head.len() + sent.unwrap_or_default(),
    };
    let rest = request.split_off(sent);
    caller.send(&request).await;
    let starts = matches!(partial, Partial::Streamed | Partial::Answered);
    let all = before.len() + usize::from(starts);
    server.until("all start", |seen| seen.begun == all).await;
    if partial == Partial::Answered {
        caller.expect(200, "").await;
    } else if !starts {
        // Until the server has read what is sent.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    (caller, rest)
}

/// Plays a reason for which reading ends while a request is partly read. Returns whether the pair occurs.
async fn play(reason: Reason, partial: Partial, framing: Framing, memory: &Memory) -> bool {
    let closes = "Connection: close\r\n";
    let server = Server::start(Handler {
        idle_timeout: (reason == Reason::TimedOut).then_some(time::Duration::from_millis(300)),
        memory: memory.clone(),
        ..Handler::default()
    })
    .await;
    let counted = match partial {
        Partial::Buffered => "100000".to_owned(),
        Partial::Streamed => BYTES.to_string(),
        Partial::None | Partial::Head | Partial::Answered => String::new(),
    };
    match reason {
        Reason::CallerCloses => {
            let (mut caller, rest) = partly_read(&server, &[], partial, closes, framing).await;
            caller.send(&rest).await;
            if partial != Partial::Answered {
                caller.expect(200, &counted).await;
            }
            assert_eq!(caller.receive().await, None);
        }
        Reason::AnswerCloses => {
            let before: &[&str] = match partial {
                // Its own answer closes the connection; see the slow callers above.
                Partial::Answered => return false,
                _ => &["/held-close"],
            };
            let (mut caller, rest) = partly_read(&server, before, partial, "", framing).await;
            server.handler.released.notify_one();
            caller.expect(200, "").await;
            if partial == Partial::Streamed {
                caller.send(&rest).await;
                caller.expect(200, &counted).await;
            }
            assert_eq!(caller.receive().await, None);
            let started = 1 + usize::from(partial == Partial::Streamed);
            assert_eq!(server.handler.seen.borrow().begun, started);
        }
        Reason::PlannedStop => {
            let (mut caller, rest) = partly_read(&server, &[], partial, "", framing).await;
            server.stop.send_replace(planned_stop::Phase::Stopping);
            caller.send(&rest).await;
            match partial {
                Partial::Answered => {
                    caller.send(&get("/early")).await;
                    caller.expect(200, "").await;
                }
                _ => caller.expect(200, &counted).await,
            }
            assert_eq!(caller.receive().await, None);
        }
        Reason::GraceEnds => {
            let (mut caller, _rest) = partly_read(&server, &[], partial, "", framing).await;
            server.stop.send_replace(planned_stop::Phase::Ending);
            match partial {
                // The process ends soon, and nothing is lost.
                Partial::None | Partial::Head => return false,
                Partial::Buffered => caller.expect(503, "").await,
                Partial::Streamed => caller.expect(502, "").await,
                Partial::Answered => {}
            }
            if partial != Partial::Streamed {
                assert_eq!(caller.receive().await, None);
            }
        }
        Reason::Invalid => {
            let has_chunks = matches!(framing, Framing::Chunks);
            let in_body = !matches!(partial, Partial::None | Partial::Head);
            if in_body && !has_chunks {
                return false;
            }
            let (mut caller, _rest) = partly_read(&server, &[], partial, "", framing).await;
            // More than the rest of a chunk.
            let invalid = "no chunk\r\n\r\n".repeat(2_000);
            let _ = caller.wire.send(invalid.as_bytes()).await;
            if partial != Partial::Answered {
                caller.expect(400, "").await;
            }
            assert_eq!(caller.receive().await, None);
            // The handler is aborted, or notified if the request must run on.
            let seen = server.handler.seen.borrow();
            assert!(seen.bodies.iter().all(|(_, is_whole)| !is_whole));
        }
        Reason::BodyOmitted => {
            // See `a_final_answer_before_continue_closes_the_connection`.
            return false;
        }
        Reason::TimedOut => {
            let (mut caller, _rest) = partly_read(&server, &[], partial, "", framing).await;
            match partial {
                // The request's own deadline ends it.
                Partial::Streamed => return false,
                Partial::Head | Partial::Buffered => caller.expect(408, "").await,
                Partial::None | Partial::Answered => {}
            }
            assert_eq!(caller.receive().await, None);
        }
        Reason::Evicted => {
            // Only connections between two requests are evicted; see the tests of file descriptors.
            return false;
        }
        Reason::Shed => {
            // No memory for what this request needs.
            let (mut caller, rest) = partly_read(&server, &[], partial, "", framing).await;
            server.handler.memory.shrink();
            let _ = caller.wire.send(rest.as_bytes()).await;
            match partial {
                // The request that follows does not start.
                Partial::None | Partial::Head | Partial::Buffered => caller.expect(503, "").await,
                // Its body is read on, see `stalled_uploads_...` in `tests/gateway`.
                Partial::Streamed | Partial::Answered => return false,
            }
            assert_eq!(caller.receive().await, None);
            assert_eq!(server.handler.seen.borrow().begun, 0);
        }
        Reason::Disconnected => {
            let (caller, _rest) = partly_read(&server, &[], partial, "", framing).await;
            drop(caller);
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            let seen = server.handler.seen.borrow();
            let starts = matches!(partial, Partial::Streamed | Partial::Answered);
            assert_eq!(seen.begun, usize::from(starts));
            assert!(seen.bodies.iter().all(|(_, is_whole)| !is_whole));
        }
    }
    true
}

/// Guards against a reason to end reading, or a state of a body, in which a caller waits for a time limit
/// or receives a wrong answer.
#[test]
fn each_reason_to_end_reading_is_handled_in_each_state_of_a_request() {
    let mut played = 0;
    for reason in Reason::ALL {
        for partial in Partial::ALL {
            for framing in FRAMINGS {
                run_test(async || {
                    println!("{reason:?}, {partial:?}, {framing:?}");
                    let memory = Memory::default();
                    played += usize::from(play(*reason, *partial, framing, &memory).await);
                    memory.until_released().await;
                });
            }
        }
    }
    // All pairs but those that do not occur.
    assert_eq!(played, 65);
}

/// Guards against a running request that is left waiting for a body, and against an answered one that gets
/// a second answer.
#[test]
fn each_reason_to_end_reading_has_a_consistent_fate() {
    for reason in Reason::ALL {
        let running = reason.fate(Partial::Streamed);
        assert_ne!(running, Fate::Dropped, "{reason:?}");
        assert_ne!(running, Fate::Abandoned, "{reason:?}");
        let answered = reason.fate(Partial::Answered);
        assert!(
            matches!(answered, Fate::Read | Fate::Abandoned),
            "{reason:?}"
        );
        for unstarted in [Partial::None, Partial::Head, Partial::Buffered] {
            let fate = reason.fate(unstarted);
            assert!(matches!(fate, Fate::Dropped | Fate::Refused), "{reason:?}");
        }
    }
}
