//! Comparison of HTTP libraries: `tiny_http` with this crate's server on hyper, and `attohttpc` and
//! `ureq` with its pooled client. The results are in docs/design/http.md.

use std::fs;
use std::io;
use std::io::{Read, Write};
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use bulrushwind::transport::{client, server};
use bulrushwind::{config, entry, logging, settings};
use bytes::Bytes;

/// Number of idle connections that an entry VM must support.
const IDLE_CONNECTION_COUNT: usize = 2000;

/// Number of clients that stop sending in the middle of a body.
const HALF_SENT_COUNT: usize = 200;

/// Number of requests sent with each client library.
const REQUEST_COUNT: u32 = 3000;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("tiny_http") => serve_tiny(),
        Some("hyper") => serve_hyper(),
        Some("entry") => serve_entry(),
        _ => {
            for kind in ["tiny_http", "hyper"] {
                measure_server(kind);
            }
            measure_clients();
            measure_entry();
        }
    }
}

fn announce(addr: net::SocketAddr) {
    println!("{addr}");
    let _ = io::stdout().flush();
}

/// Runs four workers that read a complete request before they answer, as usual with tiny_http.
fn serve_tiny() {
    let http = sync::Arc::new(tiny_http::Server::http("127.0.0.1:0").unwrap());
    announce(http.server_addr().to_ip().unwrap());
    let workers: Vec<_> = (0..4)
        .map(|_| {
            let http = http.clone();
            thread::spawn(move || {
                while let Ok(mut req) = http.recv() {
                    let mut body = Vec::new();
                    let _ = req.as_reader().read_to_end(&mut body);
                    let _ = req.respond(tiny_http::Response::from_data(body));
                }
            })
        })
        .collect();
    workers
        .into_iter()
        .for_each(|worker| worker.join().unwrap());
}

#[derive(Clone)]
struct Echo;

impl server::Sink for Echo {
    fn request(&self, req: server::Request) {
        req.reply.send(server::Answer {
            body: req.body,
            ..server::Answer::default()
        });
    }

    fn caller_disconnected(&self, _id: u64) {}

    fn fault(&self, _id: u64, _fault: server::Fault) -> server::Answer {
        server::Answer {
            status: hyper::StatusCode::BAD_REQUEST,
            ..server::Answer::default()
        }
    }
}

fn serve_hyper() {
    let runtime = runtime(4);
    let any_port = "127.0.0.1:0".parse().unwrap();
    let limits = server::Limits::default();
    let server = server::start(runtime.handle(), any_port, limits, Echo).unwrap();
    announce(server.addr());
    loop {
        thread::park();
    }
}

/// Runs a complete entry process with the settings of the `cooperative` example.
fn serve_entry() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/cooperative");
    let shared = sync::Arc::new(entry::SharedTables::default());
    shared
        .apply_settings(settings::Settings::read(&root).unwrap())
        .unwrap();
    let cfg = config::Config {
        az: "ub-a".into(),
        ..config::Config::default()
    };
    let log = logging::silent();
    let entry =
        entry::Entry::start_without_coordination(cfg, entry::MakeNaive, shared, log).unwrap();
    announce(entry.addr());
    loop {
        thread::park();
    }
}

fn measure_entry() {
    let child = Child::start("entry");
    println!("entry process: at rest {}", child.state());
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTION_COUNT {
        let mut stream = net::TcpStream::connect(child.addr).unwrap();
        let req = "GET /lookup/ledger HTTP/1.1\r\nHost: a\r\n\r\n";
        stream.write_all(req.as_bytes()).unwrap();
        let mut buf = [0; 4096];
        assert!(stream.read(&mut buf).unwrap() > 0);
        idle.push(stream);
    }
    println!(
        "entry process: {} connections, a look-up on each: {}",
        idle.len(),
        child.state()
    );
}

fn runtime(threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .unwrap()
}

struct Child {
    child: process::Child,
    addr: net::SocketAddr,
}

impl Child {
    fn start(kind: &str) -> Self {
        let mut child = process::Command::new(std::env::current_exe().unwrap())
            .arg(kind)
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = io::BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        io::BufRead::read_line(&mut lines, &mut line).unwrap();
        let addr = line.trim().parse().unwrap();
        Self { child, addr }
    }

    fn status(&self, name: &str) -> String {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name));
        line.map_or("?".to_owned(), |line| {
            line[name.len() + 1..].trim().to_owned()
        })
    }

    fn state(&self) -> String {
        format!(
            "{} threads, {} resident",
            self.status("Threads"),
            self.status("VmRSS")
        )
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn measure_server(kind: &str) {
    let child = Child::start(kind);
    println!("{kind}: at rest {}", child.state());
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTION_COUNT {
        idle.extend(net::TcpStream::connect(child.addr));
    }
    thread::sleep(time::Duration::from_millis(500));
    println!("{kind}: {} idle connections: {}", idle.len(), child.state());
    drop(idle);

    let mut half = Vec::new();
    for _ in 0..HALF_SENT_COUNT {
        let mut stream = net::TcpStream::connect(child.addr).unwrap();
        let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nhalf";
        stream.write_all(head.as_bytes()).unwrap();
        half.push(stream);
    }
    thread::sleep(time::Duration::from_millis(200));
    let started_at = time::Instant::now();
    let answered = request_within(child.addr, time::Duration::from_secs(3));
    println!(
        "{kind}: {HALF_SENT_COUNT} half-sent bodies: a whole request {} after {:.1} ms",
        if answered {
            "was answered"
        } else {
            "had no answer"
        },
        started_at.elapsed().as_secs_f64() * 1000.0
    );
    drop(half);

    let child = Child::start(kind);
    let mut stream = net::TcpStream::connect(child.addr).unwrap();
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\nX: ");
    let chunk = vec![b'a'; 1 << 20];
    let sent = (0..64)
        .take_while(|_| stream.write_all(&chunk).is_ok())
        .count();
    println!("{kind}: took {sent} MB of one header: {}", child.state());
}

fn request_within(addr: net::SocketAddr, limit: time::Duration) -> bool {
    let mut stream = net::TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(limit)).unwrap();
    let req = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    stream.write_all(req.as_bytes()).unwrap();
    let mut buf = [0; 64];
    matches!(stream.read(&mut buf), Ok(n) if n > 0)
}

fn measure_clients() {
    let child = Child::start("hyper");
    let url = format!("http://{}/", child.addr);
    time_requests("attohttpc, a connection a request", || {
        attohttpc::get(&url).send().unwrap().bytes().unwrap();
    });
    let agent: ureq::Agent = ureq::Agent::config_builder().build().into();
    time_requests("ureq, pooled", || {
        agent
            .get(&url)
            .call()
            .unwrap()
            .body_mut()
            .read_to_vec()
            .unwrap();
    });
    let runtime = runtime(2);
    let client = client::Client::new(runtime.handle().clone(), client::Config::default());
    time_requests("ours on hyper, pooled", || {
        let (tx, rx) = mpsc::channel();
        let call = client::Call {
            to: child.addr,
            req: hyper::Request::new(Bytes::new()),
            timeout: time::Duration::from_secs(5),
            body_bytes: 1 << 20,
        };
        let _attempt = client.send(call, move |result| tx.send(result).unwrap());
        rx.recv().unwrap().unwrap();
    });
    println!("ours on hyper: {} connections", client.connects());
}

fn time_requests(name: &str, mut request: impl FnMut()) {
    let mut latencies: Vec<_> = (0..REQUEST_COUNT)
        .map(|_| {
            let started_at = time::Instant::now();
            request();
            started_at.elapsed()
        })
        .collect();
    latencies.sort_unstable();
    let us = |share: f64| latencies[(latencies.len() as f64 * share) as usize].as_secs_f64() * 1e6;
    println!("{name}: p50 {:.0} us, p99 {:.0} us", us(0.5), us(0.99));
}
