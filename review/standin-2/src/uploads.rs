//! Uploads on a route that a later configuration adds.
//!
//! Callers open a new connection for each request. Reads go to a route of the first configuration; uploads of
//! 300,000 bytes go to a route that a second one adds. Callers say with `Connection: close` that nothing follows on
//! their connection; with `TROUBLE=0` they close it without a word.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateways::{self, Gateway};
use crate::http::Wire;
use crate::server::{Runs, Server, Settings};
use crate::store::Store;

const BODY: usize = 300_000;
const SERVERS: usize = 6;
/// Callers at each machine for each of the two routes, and what each sends one after the other.
const CALLERS: usize = 6;
const UPLOADS: usize = 5;
const READS: usize = 20;

struct Sent {
    id: String,
    machine: usize,
    upload: bool,
    sent: Instant,
    took: Duration,
    status: Option<u16>,
    served: bool,
}

fn ask(front: SocketAddr, id: &str, upload: bool, says_so: bool) -> (Option<u16>, bool) {
    let Ok(stream) = TcpStream::connect(front) else {
        return (None, false);
    };
    let mut wire = Wire::new(stream);
    let (method, path, length) = match upload {
        true => ("POST", "logs", BODY),
        false => ("GET", "bays", 0),
    };
    let close = if says_so { "Connection: close\r\n" } else { "" };
    let head = format!(
        "{method} /{path}/{id} HTTP/1.1\r\nHost: bays.example\r\nBulrushwind-Try-Id: {id}\r\nBulrushwind-Deadline-Ms: 6000\r\n{close}Content-Length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'u');
    if wire.send(&bytes).is_err() {
        return (None, false);
    }
    let Ok(Some(head)) = wire.head() else {
        return (None, false);
    };
    let whole = wire.body(&head).is_ok();
    let signed = head.get("bulrushwind-server-stamp").is_some();
    (Some(head.status()), whole && signed && head.status() == 200)
}

fn config(version: u32, uploads: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"bays.example","prefix":"/{prefix}/","kind":"{kind}","timeout_s":3,"target_latency_s":0.5,"priority":1,"service":"{service}","attempts":2,"sticky":false,"residency":[]}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_conns":330,"proto":"h1","tls":false,"cold_s":3.0,"cold_per_s":2.9}}"#
        )
    };
    let mut routes = vec![route("r-bays", "bays", "safe", "bayboard")];
    if uploads {
        routes.push(route("r-logs", "logs", "unsafe", "ledger"));
    }
    format!(
        r#"{{"version":"{version:08x}","routes":[{}],"services":[{},{}],"limits":{{"header_bytes":16384,"body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#,
        routes.join(","),
        service("bayboard"),
        service("ledger")
    )
}

pub fn play(dir: &Path, trouble: bool) -> i32 {
    let runs: Runs = Arc::default();
    let store = Store::start("127.0.0.1");
    let servers: Vec<Server> = (0..SERVERS * 2)
        .map(|n| {
            let settings = Settings {
                service: if n < SERVERS { "bayboard" } else { "ledger" }.to_owned(),
                zone: gateways::ZONES[n % 2 * 3].0.to_owned(),
                slots: 3,
                queue: 9,
                work: Duration::from_millis(100),
                bytes: 1500,
            };
            Server::start(n, "127.0.0.1", settings, runs.clone())
        })
        .collect();
    servers.iter().for_each(|server| server.beat(&store, 1));
    store.write("op/config", &config(7, false));
    let beating = (servers.clone(), store.clone());
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(Duration::from_millis(1500));
            beating
                .0
                .iter()
                .for_each(|server| server.beat(&beating.1, seq));
        }
    });
    let ips: Vec<String> = (0..2).map(gateways::free_ip).collect();
    let fronts: Vec<Gateway> = ips
        .iter()
        .enumerate()
        .map(|(n, ip)| {
            Gateway::start(
                dir,
                &format!("front-{n}"),
                gateways::ZONES[n * 3],
                ip,
                store.addr,
                &ips,
            )
        })
        .collect();
    if !fronts.iter().all(Gateway::wait_ready) {
        eprintln!("a gateway isn't ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    store.write("op/config", &config(12, true));
    // Much longer than `config_s` and `stability_window_s`: the state is steady.
    thread::sleep(Duration::from_secs(7));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let mut callers = Vec::new();
    for n in 0..fronts.len() * CALLERS * 2 {
        let (machine, upload) = (n % fronts.len(), n / fronts.len() % 2 == 0);
        let (front, sent) = (fronts[machine].front, sent.clone());
        callers.push(thread::spawn(move || {
            let count = if upload { UPLOADS } else { READS };
            for m in 0..count {
                let (id, at) = (format!("{n:08x}{m:08x}"), Instant::now());
                let (status, served) = ask(front, &id, upload, trouble);
                let one = Sent {
                    id,
                    machine,
                    upload,
                    sent: at,
                    took: at.elapsed(),
                    status,
                    served,
                };
                sent.lock().unwrap().push(one);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(fronts);
    judge(dir, began, &sent.lock().unwrap(), &runs)
}

/// CONFIG: in steady state, machines get 20 or more requests on routes that were added later, and serve them less
/// than a quarter as often as those on the first routes.
fn judge(dir: &Path, began: Instant, sent: &[Sent], runs: &Runs) -> i32 {
    let runs = runs.lock().unwrap();
    let count = |upload: bool| {
        let of = sent.iter().filter(|one| one.upload == upload);
        (of.clone().count(), of.filter(|one| one.served).count())
    };
    let ((uploads, uploads_served), (reads, reads_served)) = (count(true), count(false));
    let summary = format!(
        "{uploads} uploads on the route that was added later, {uploads_served} served; {reads} reads on the first route, {reads_served} served\n"
    );
    print!("{summary}");
    let lines: Vec<String> = sent
        .iter()
        .map(|one| {
            let ran: Vec<String> = runs.get(&one.id).map_or(&[][..], |runs| runs).iter().map(|run| format!("server {}, {} bytes of the body, answer sent {}", run.server, run.body, run.answered)).collect();
            format!(
                "{:7.3} s  {}  at machine {}  {}  status {:?}, served {}, after {:.3} s  began at [{}]",
                one.sent.saturating_duration_since(began).as_secs_f64(), one.id, one.machine,
                if one.upload { "upload" } else { "read" }, one.status, one.served, one.took.as_secs_f64(), ran.join("; ")
            )
        })
        .collect();
    let written = fs::write(
        dir.join("record.txt"),
        format!("{summary}\n{}\n", lines.join("\n")),
    );
    if written.is_err() || uploads < 20 || reads_served * 2 < reads {
        return 2;
    }
    let (later, first) = (
        uploads_served as f64 / uploads as f64,
        reads_served as f64 / reads as f64,
    );
    i32::from(later < first / 4.0)
}
