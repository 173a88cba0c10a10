//! Limits on the resources that callers can use, and the faults reported at each limit.

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::time;

use bulrushwind::transport::server;
use parking_lot::Mutex;

/// A sink that holds all requests until `answer_all` is called.
#[derive(Clone, Default)]
struct HoldingSink(sync::Arc<Mutex<Vec<server::Request>>>);

impl server::Sink for HoldingSink {
    fn request(&self, req: server::Request) {
        self.0.lock().push(req);
    }

    fn caller_disconnected(&self, _id: u64) {}

    fn fault(&self, _id: u64, fault: server::Fault) -> server::Answer {
        server::Answer {
            status: hyper::StatusCode::IM_A_TEAPOT,
            body: format!("{fault:?}").into(),
            ..server::Answer::default()
        }
    }
}

impl HoldingSink {
    fn wait_for(&self, count: usize) {
        let deadline = time::Instant::now() + time::Duration::from_secs(60);
        while self.0.lock().len() < count {
            assert!(
                time::Instant::now() < deadline,
                "{count} requests did not arrive within 60 s"
            );
            std::thread::sleep(time::Duration::from_millis(5));
        }
    }

    fn answer_all(&self) {
        for req in self.0.lock().drain(..) {
            req.reply.send(server::Answer::default());
        }
    }
}

struct RunningServer {
    server: server::Server,
    sink: HoldingSink,
    _runtime: tokio::runtime::Runtime,
}

fn start(limits: server::Limits) -> RunningServer {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let sink = HoldingSink::default();
    let addr = "127.0.0.1:0".parse().unwrap();
    let server = server::start(runtime.handle(), addr, limits, sink.clone()).unwrap();
    RunningServer {
        server,
        sink,
        _runtime: runtime,
    }
}

fn open(running: &RunningServer, text: &str) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(running.server.addr()).unwrap();
    let _ = stream.write_all(text.as_bytes());
    stream
}

fn read(mut stream: net::TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn post(len: usize) -> String {
    let body = "a".repeat(len);
    format!(
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n{body}"
    )
}

/// Many concurrent bodies, each within the limit per body, could exhaust the memory of a small VM
/// and fail every request in flight.
#[test]
fn total_body_bytes_are_bounded() {
    let running = start(server::Limits {
        total_body_bytes: 64 * 1024,
        ..server::Limits::default()
    });
    let first = open(&running, &post(40 * 1024));
    running.sink.wait_for(1);
    let second = read(open(&running, &post(40 * 1024)));
    assert!(second.contains("Busy"), "{second}");
    running.sink.answer_all();
    assert!(read(first).starts_with("HTTP/1.1 200"));
    let third = open(&running, &post(40 * 1024));
    running.sink.wait_for(1);
    running.sink.answer_all();
    assert!(read(third).starts_with("HTTP/1.1 200"));
}

/// A surge of callers or one faulty client could open an unlimited number of connections.
#[test]
fn connections_are_bounded() {
    let running = start(server::Limits {
        connections: 4,
        ..server::Limits::default()
    });
    let get = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let held: Vec<_> = (0..4).map(|_| open(&running, get)).collect();
    running.sink.wait_for(4);
    assert_eq!(read(open(&running, get)), "");
    running.sink.answer_all();
    for stream in held {
        assert!(read(stream).starts_with("HTTP/1.1 200"));
    }
}

/// Phones that lose the network leave connections open, idle or with a partly sent request.
#[test]
fn idle_and_partly_sent_requests_time_out() {
    let timeout = time::Duration::from_millis(200);
    let running = start(server::Limits {
        head_timeout: timeout,
        body_timeout: timeout,
        ..server::Limits::default()
    });
    for text in ["", "GET / HTTP/1.1\r\nHost:"] {
        let ended = read(open(&running, text));
        assert!(!ended.contains(" 200 "), "{ended}");
    }
    let half = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf";
    let ended = read(open(&running, half));
    assert!(ended.contains("Incomplete"), "{ended}");
    assert!(running.sink.0.lock().is_empty());
}

/// The process drops the reply of a request that may have run. If it were reported as not run, the
/// caller would send it again and it could run twice.
#[test]
fn a_dropped_reply_is_reported_as_dropped() {
    let running = start(server::Limits::default());
    let stream = open(&running, &post(1));
    running.sink.wait_for(1);
    running.sink.0.lock().clear();
    let text = read(stream);
    assert!(text.contains("Dropped"), "{text}");
}
