//! What callers can make a process hold has bounds, and the process tells when one is reached.

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::time;

use bulrushwind::transport::server;
use parking_lot::Mutex;

/// Holds every request until it is told to answer.
#[derive(Clone, Default)]
struct Hold(sync::Arc<Mutex<Vec<server::Request>>>);

impl server::Sink for Hold {
    fn request(&self, req: server::Request) {
        self.0.lock().push(req);
    }

    fn gone(&self, _id: u64) {}

    fn fault(&self, _id: u64, fault: server::Fault) -> server::Answer {
        server::Answer {
            status: hyper::StatusCode::IM_A_TEAPOT,
            body: format!("{fault:?}").into(),
            ..server::Answer::default()
        }
    }
}

impl Hold {
    fn wait(&self, count: usize) {
        let until = time::Instant::now() + time::Duration::from_secs(60);
        while self.0.lock().len() < count {
            assert!(time::Instant::now() < until, "{count} requests never came");
            std::thread::sleep(time::Duration::from_millis(5));
        }
    }

    fn answer_all(&self) {
        for req in self.0.lock().drain(..) {
            req.reply.send(server::Answer::default());
        }
    }
}

struct Started {
    server: server::Server,
    hold: Hold,
    _runtime: tokio::runtime::Runtime,
}

fn start(limits: server::Limits) -> Started {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let hold = Hold::default();
    let any = "127.0.0.1:0".parse().unwrap();
    let server = server::start(runtime.handle(), any, limits, hold.clone()).unwrap();
    Started {
        server,
        hold,
        _runtime: runtime,
    }
}

fn open(started: &Started, text: &str) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(started.server.addr()).unwrap();
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

/// Many callers send large bodies at once, each within its own bound. Held all, they would fill
/// the memory of a small VM, and the VM would die with every request in flight.
#[test]
fn all_bodies_together_are_bounded() {
    let started = start(server::Limits {
        all_bodies: 64 * 1024,
        ..server::Limits::default()
    });
    let first = open(&started, &post(40 * 1024));
    started.hold.wait(1);
    let second = read(open(&started, &post(40 * 1024)));
    assert!(second.contains("Busy"), "{second}");
    started.hold.answer_all();
    assert!(read(first).starts_with("HTTP/1.1 200"));
    let third = open(&started, &post(40 * 1024));
    started.hold.wait(1);
    started.hold.answer_all();
    assert!(read(third).starts_with("HTTP/1.1 200"));
}

/// A crowd, or one broken client, opens connection after connection.
#[test]
fn connections_are_bounded() {
    let started = start(server::Limits {
        connections: 4,
        ..server::Limits::default()
    });
    let get = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let held: Vec<_> = (0..4).map(|_| open(&started, get)).collect();
    started.hold.wait(4);
    assert_eq!(read(open(&started, get)), "");
    started.hold.answer_all();
    for stream in held {
        assert!(read(stream).starts_with("HTTP/1.1 200"));
    }
}

/// Phones leave the network without a word, and their connections stay behind half used.
#[test]
fn idle_and_half_sent_are_ended() {
    let soon = time::Duration::from_millis(200);
    let started = start(server::Limits {
        head_timeout: soon,
        body_timeout: soon,
        ..server::Limits::default()
    });
    for text in ["", "GET / HTTP/1.1\r\nHost:"] {
        let ended = read(open(&started, text));
        assert!(!ended.contains(" 200 "), "{ended}");
    }
    let half = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf";
    let ended = read(open(&started, half));
    assert!(ended.contains("Incomplete"), "{ended}");
    assert!(started.hold.0.lock().is_empty());
}

/// Something in the process loses a request that was taken and may have run. Told as not run, its
/// caller would book again.
#[test]
fn a_lost_reply_is_no_refusal() {
    let started = start(server::Limits::default());
    let stream = open(&started, &post(1));
    started.hold.wait(1);
    started.hold.0.lock().clear();
    let text = read(stream);
    assert!(text.contains("Dropped"), "{text}");
}
