//! Servers that read a request's body slowly while their machine's entry process is stopped as planned.
//!
//! Callers book with bodies of 250,000 bytes. One of two entry processes gets a SIGTERM. The servers begin to
//! work as a request's head is there, take a part of the body, read nothing for a while, and go on.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateways::{self, Gateway};
use crate::http::Wire;
use crate::server::{Runs, Server, Settings};
use crate::store::Store;

/// The length of a request's body: a process buffers it whole before it passes the request on.
const BODY: usize = 250_000;
/// How long a server reads nothing.
const PAUSE: Duration = Duration::from_millis(2800);
const SERVERS: usize = 6;
/// Bookings at each of the two processes, one each 100 ms from 200 ms after the SIGTERM.
const BOOKINGS: usize = 8;
const GRACE: Duration = Duration::from_secs(6);

struct Booked {
    id: String,
    stopped: bool,
    sent: Instant,
    ended: Instant,
    status: Option<u16>,
    signed: bool,
}

fn book(front: SocketAddr, id: &str, stopped: bool, mut wire: Wire) -> Booked {
    let head = format!(
        "POST /book/{id} HTTP/1.1\r\nHost: book.example\r\nBulrushwind-Try-Id: {id}\r\nBulrushwind-Deadline-Ms: 5000\r\nContent-Length: {BODY}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY, b'b');
    let sent = Instant::now();
    let answer = match wire.send(&bytes) {
        Ok(()) => wire.head().ok().flatten(),
        Err(_) => None,
    };
    let whole = answer.as_ref().is_some_and(|head| wire.body(head).is_ok());
    let signed = whole
        && answer
            .as_ref()
            .is_some_and(|head| head.get("bulrushwind-server-stamp").is_some());
    let status = answer.filter(|_| whole).map(|head| head.status());
    let _ = front;
    Booked {
        id: id.to_owned(),
        stopped,
        sent,
        ended: Instant::now(),
        status,
        signed,
    }
}

pub fn play(dir: &Path, trouble: bool) -> i32 {
    let runs: Runs = Arc::default();
    let store = Store::start("127.0.0.1");
    let servers: Vec<Server> = (0..SERVERS)
        .map(|n| {
            let settings = Settings {
                service: "counterdesk".to_owned(),
                zone: gateways::ZONES[n % 2 * 3].0.to_owned(),
                slots: 9,
                queue: 18,
                work: Duration::from_millis(200),
                bytes: 400,
            };
            Server::start(n, "127.0.0.1", settings, runs.clone())
        })
        .collect();
    for server in &servers {
        server.beat(&store, 1);
        server.pauses_ms.store(
            if trouble { PAUSE.as_millis() as u64 } else { 0 },
            Ordering::Relaxed,
        );
    }
    store.write("op/config", r#"{"version":"00000007","routes":[{"name":"r-book","host":"book.example","prefix":"/book/","kind":"unsafe","timeout_s":5,"target_latency_s":0.8,"priority":1,"service":"counterdesk","attempts":2,"sticky":false,"residency":[]}],"services":[{"name":"counterdesk","health_path":"/health","max_conns":2081,"proto":"h1","tls":false,"cold_s":3.0,"cold_per_s":2.9}],"limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#);
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
    let term = Command::new("kill")
        .args(["-TERM", &fronts[0].child.id().to_string()])
        .status();
    if !term.is_ok_and(|status| status.success()) {
        return 2;
    }
    let signalled = Instant::now();
    let booked = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for n in 0..BOOKINGS * 2 {
        let (front, stopped) = (fronts[n % 2].front, n % 2 == 0);
        let booked = booked.clone();
        callers.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(200 + 100 * (n as u64 / 2)));
            let Ok(stream) = TcpStream::connect(front) else {
                return;
            };
            let one = book(front, &format!("b00c{n:012x}"), stopped, Wire::new(stream));
            booked.lock().unwrap().push(one);
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(fronts);
    judge(dir, signalled, &booked.lock().unwrap(), &runs)
}

/// LOST: after a SIGTERM, a request that was read whole and at which its server is at work is broken off, and the
/// process gives an answer of its own in its place, or none. Not counted: a request whose time is up, and one at
/// which its server was still at work in the last sixth of the grace period.
fn judge(dir: &Path, signalled: Instant, booked: &[Booked], runs: &Runs) -> i32 {
    let since = |at: Instant| at.saturating_duration_since(signalled).as_secs_f64();
    let runs = runs.lock().unwrap();
    let (mut lines, mut lost, mut served) = (Vec::new(), 0, 0);
    for one in booked {
        let ran = runs.get(&one.id).map_or(&[][..], |runs| runs);
        let in_time = one.ended < one.sent + Duration::from_millis(4900);
        let before_last_part = one.ended < signalled + GRACE * 5 / 6;
        let at_work = ran.iter().any(|run| run.began < one.ended);
        let is_lost = one.stopped && at_work && !one.signed && in_time && before_last_part;
        lost += usize::from(is_lost);
        served += usize::from(one.signed);
        let began: Vec<String> = ran
            .iter()
            .map(|run| {
                format!(
                    "server {} from {:.3} s, {} bytes of the body, answer sent {}",
                    run.server,
                    since(run.began),
                    run.body,
                    run.answered
                )
            })
            .collect();
        lines.push(format!(
            "{:7.3} s  {}  at the {} process  status {:?}, signed {}, after {:.3} s  ran at [{}]{}",
            since(one.sent),
            one.id,
            if one.stopped { "stopped" } else { "other" },
            one.status,
            one.signed,
            one.ended.saturating_duration_since(one.sent).as_secs_f64(),
            began.join(", "),
            if is_lost { "  LOST" } else { "" }
        ));
    }
    let summary = format!(
        "{} bookings, {served} answered by their server; {lost} at the stopped process were broken off while their server was at work (LOST allows none)\n",
        booked.len()
    );
    print!("{summary}");
    if fs::write(
        dir.join("record.txt"),
        format!(
            "times are since the SIGTERM\n{summary}\n{}\n",
            lines.join("\n")
        ),
    )
    .is_err()
        || booked.len() < BOOKINGS
    {
        return 2;
    }
    i32::from(lost > 0)
}
