//! Latency and throughput of the request path and of a bare forwarder, and the cost of look-ups.
//!
//! The bare forwarder uses the same server and client without workers, settings, keys or decisions.
//! The difference between the two is the cost of steering.

use std::hint;
use std::io::{Read, Write};
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bulrushwind::coordination::store;
use bulrushwind::state::fleet;
use bulrushwind::transport::{client, server};
use bulrushwind::{config, entry, logging, settings};
use bytes::Bytes;
use criterion::Criterion;

/// Duration of one throughput measurement.
const THROUGHPUT_DURATION: time::Duration = time::Duration::from_secs(2);

/// Number of caller connections in the throughput measurement.
const CONNECTION_COUNT: usize = 128;

/// Number of backend servers of the service.
const BACKEND_COUNT: usize = 12;

const REQUEST: &[u8] = b"GET /ledger/bays HTTP/1.1\r\nHost: a\r\n\r\n";

fn runtime(threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .unwrap()
}

fn any_port() -> net::SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// A backend server that answers immediately.
#[derive(Clone)]
struct Echo;

impl server::Sink for Echo {
    fn request(&self, req: server::Request) {
        let mut answer = server::Answer {
            body: Bytes::from_static(b"{\"bays\":7}"),
            ..server::Answer::default()
        };
        if let Some(attempt) = req.headers.get("bulrushwind-request") {
            let name = hyper::header::HeaderName::from_static("bulrushwind-request");
            answer.headers.insert(name, attempt.clone());
        }
        req.reply.send(answer);
    }

    fn caller_disconnected(&self, _id: u64) {}

    fn fault(&self, _id: u64, _fault: server::Fault) -> server::Answer {
        server::Answer::default()
    }
}

/// Forwards requests to the backend servers in round-robin order and returns their answers.
#[derive(Clone)]
struct BareForwarder {
    client: client::Client,
    backends: sync::Arc<Vec<net::SocketAddr>>,
    next: sync::Arc<atomic::AtomicUsize>,
}

impl server::Sink for BareForwarder {
    fn request(&self, req: server::Request) {
        let index = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let mut out = hyper::Request::new(req.body);
        *out.uri_mut() = "/bays".parse().unwrap();
        let call = client::Call {
            to: self.backends[index % self.backends.len()],
            req: out,
            timeout: time::Duration::from_secs(5),
            body_bytes: 1 << 20,
        };
        let reply = req.reply;
        let _attempt = self.client.send(call, move |result| {
            reply.send(result.unwrap_or_default());
        });
    }

    fn caller_disconnected(&self, _id: u64) {}

    fn fault(&self, _id: u64, _fault: server::Fault) -> server::Answer {
        server::Answer::default()
    }
}

fn shared_tables(backends: &[net::SocketAddr], entries: usize) -> sync::Arc<entry::SharedTables> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/cooperative");
    let mut settings = settings::Settings::read(&root).unwrap();
    for team in settings.teams.values_mut() {
        for service in &mut team.services {
            // Backend servers that answer immediately handle more load than those of the example.
            service.slots = 100;
        }
    }
    let backend = |(n, addr): (usize, &net::SocketAddr)| store::Vm {
        id: format!("l{n}").as_str().into(),
        az: "ub-a".into(),
        addr: *addr,
        role: store::VmRole::Backend {
            service: "ledger".into(),
        },
        state: store::VmState::Live,
    };
    let azs: Vec<_> = settings.regions().flat_map(|r| r.azs.clone()).collect();
    let entry = |n: usize| store::Vm {
        id: format!("e{n}").as_str().into(),
        az: azs[n % azs.len()].clone(),
        addr: any_port(),
        role: store::VmRole::Entry { peers: any_port() },
        state: store::VmState::Live,
    };
    let vms = backends.iter().enumerate().map(backend);
    let vms = vms.chain((0..entries).map(entry)).collect();
    let shared = sync::Arc::new(entry::SharedTables::default());
    shared.apply_settings(settings).unwrap();
    shared.fleet.store(sync::Arc::new(fleet::Fleet::new(vms)));
    shared
}

fn start<M: entry::MakePolicy>(make: M, shared: sync::Arc<entry::SharedTables>) -> entry::Entry<M> {
    let cfg = config::Config {
        vm: "e0".into(),
        az: "ub-a".into(),
        ..config::Config::default()
    };
    entry::Entry::start_without_coordination(cfg, make, shared, logging::silent()).unwrap()
}

/// One keep-alive connection that sends a request and reads its answer.
struct Caller {
    stream: net::TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    fn new(addr: net::SocketAddr) -> Self {
        let stream = net::TcpStream::connect(addr).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            buf: vec![0; 4096],
        }
    }

    fn request(&mut self) {
        self.stream.write_all(REQUEST).unwrap();
        let mut len = 0;
        loop {
            let got = self.stream.read(&mut self.buf[len..]).unwrap();
            assert!(got > 0, "closed");
            len += got;
            if self.buf[..len].ends_with(b"}") {
                break;
            }
        }
        assert!(self.buf.starts_with(b"HTTP/1.1 200"), "not answered");
    }
}

fn throughput(name: &str, addr: net::SocketAddr) {
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let callers: Vec<_> = (0..CONNECTION_COUNT)
        .map(|_| {
            let stop = stop.clone();
            thread::spawn(move || {
                let mut caller = Caller::new(addr);
                let mut count = 0_u64;
                while !stop.load(atomic::Ordering::Relaxed) {
                    caller.request();
                    count += 1;
                }
                count
            })
        })
        .collect();
    let started_at = time::Instant::now();
    thread::sleep(THROUGHPUT_DURATION);
    stop.store(true, atomic::Ordering::Relaxed);
    let count: u64 = callers.into_iter().map(|c| c.join().unwrap()).sum();
    let rate = count as f64 / started_at.elapsed().as_secs_f64();
    println!("throughput {name}: {rate:.0} requests/s over {CONNECTION_COUNT} connections");
}

fn main() {
    let backend_runtime = runtime(2);
    let backends: Vec<_> = (0..BACKEND_COUNT)
        .map(|_| {
            let limits = server::Limits::default();
            server::start(backend_runtime.handle(), any_port(), limits, Echo).unwrap()
        })
        .collect();
    let addrs: Vec<_> = backends.iter().map(server::Server::addr).collect();
    let bare_runtime = runtime(4);
    let bare = BareForwarder {
        client: client::Client::new(bare_runtime.handle().clone(), client::Config::default()),
        backends: sync::Arc::new(addrs.clone()),
        next: sync::Arc::default(),
    };
    let limits = server::Limits::default();
    let bare = server::start(bare_runtime.handle(), any_port(), limits, bare).unwrap();
    let steered = start(entry::MakeDispatch, shared_tables(&addrs, 12));

    let mut criterion = Criterion::default()
        .sample_size(60)
        .measurement_time(time::Duration::from_secs(3))
        .configure_from_args();
    latency(&mut criterion, "direct", addrs[0]);
    latency(&mut criterion, "bare forwarder", bare.addr());
    latency(&mut criterion, "entry", steered.addr());
    look_ups(&mut criterion, "12 entry VMs", &steered);
    let large = start(entry::MakeDispatch, shared_tables(&addrs, 4400));
    look_ups(&mut criterion, "4400 entry VMs in 6 zones", &large);
    criterion.final_summary();
    throughput("bare forwarder", bare.addr());
    throughput("entry", steered.addr());
}

fn latency(criterion: &mut Criterion, name: &str, addr: net::SocketAddr) {
    let mut caller = Caller::new(addr);
    criterion.bench_function(&format!("request/{name}"), |b| b.iter(|| caller.request()));
}

fn look_ups<M: entry::MakePolicy>(criterion: &mut Criterion, name: &str, entry: &entry::Entry<M>) {
    let caller = net::IpAddr::from([127, 1, 0, 7]);
    criterion.bench_function(&format!("look-up/{name}"), |b| {
        b.iter(|| {
            let found = entry.look_up(caller, "ledger").unwrap();
            hint::black_box(serde_json::to_vec(&found).unwrap())
        });
    });
}
