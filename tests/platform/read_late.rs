//! Gateway processes that read late: without free file descriptors, or after a pause.

use std::net;
use std::time;

use bulrushwind::platform::names::FIELDS;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::processes::{Deployment, get, run_scenario, wait_for_status};
use super::restored_store::{count_lines, until};
use super::support::process;

/// A kept connection of a caller.
struct Caller(TcpStream);

impl Caller {
    async fn connect(addr: net::SocketAddr) -> Self {
        Self(TcpStream::connect(addr).await.unwrap())
    }

    /// Sends a read that times out after this many milliseconds.
    async fn send(&mut self, id: &str, timeout_ms: u32) {
        self.send_to("/read/a", id, timeout_ms).await;
    }

    /// The same to another target.
    async fn send_to(&mut self, target: &str, id: &str, timeout_ms: u32) {
        let text = format!(
            "GET {target} HTTP/1.1\r\nHost: example.test\r\n{}: {id}\r\n{}: {timeout_ms}\r\n\r\n",
            FIELDS.id, FIELDS.timeout_ms
        );
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// The status of the next answer, whose head and body arrive together; `None` if the connection
    /// was closed.
    async fn status(&mut self) -> Option<u16> {
        let text = self.answer().await?;
        text.split(' ').nth(1)?.parse().ok()
    }

    async fn answer(&mut self) -> Option<String> {
        let mut buf = [0; 4096];
        let n = self.0.read(&mut buf).await.ok().filter(|n| *n > 0)?;
        Some(String::from_utf8_lossy(&buf[..n]).into_owned())
    }

    /// Sends the beginning of a head, so that the connection is not idle.
    async fn begin(&mut self) {
        self.0.write_all(b"GET /read/a HTTP/1.1\r\n").await.unwrap();
    }
}

/// The value of a metric without labels, or the sum over its labels.
async fn metric(addr: net::SocketAddr, name: &str) -> f64 {
    let (_, text) = get(addr, "/metrics", "m").await.unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// The first scrape, or the first update of the gauges 2 s after the start, begins the counts.
async fn start_counting(addr: net::SocketAddr) {
    wait_for_status(addr, "/metrics", 200).await;
}

fn runs(deployment: &Deployment) -> u32 {
    deployment.backends.iter().map(|b| b.runs()).sum()
}

/// Guards against new callers that wait until others' idle connections time out, and against
/// requests in progress that are cut off to make room. Guards against healthy backend servers that
/// are ejected since this VM cannot connect to them.
#[test]
fn idle_connections_make_room_where_file_descriptors_are_short() {
    const IDLE: usize = 16;
    const NEW: usize = 4;
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        start_counting(ports.metrics).await;
        let mut idle = Vec::new();
        for n in 0..IDLE {
            let mut caller = Caller::connect(ports.front).await;
            caller.send(&format!("idle-{n}"), 4000).await;
            assert_eq!(caller.status().await, Some(200));
            idle.push(caller);
        }
        tokio::time::sleep(time::Duration::from_millis(400)).await;
        let slow = time::Duration::from_millis(1000);
        deployment
            .backends
            .iter()
            .for_each(|b| b.set_service_time(slow));
        let before = runs(&deployment);
        let mut busy = Caller::connect(ports.front).await;
        busy.send("busy", 4000).await;
        until("it runs", || runs(&deployment) > before).await;
        gateway.limit_descriptors(0);
        let mut new = Vec::new();
        for n in 0..NEW {
            let mut caller = Caller::connect(ports.front).await;
            caller.send(&format!("new-{n}"), 4000).await;
            new.push(caller);
        }
        for caller in &mut new {
            assert_eq!(caller.status().await, Some(200));
        }
        assert_eq!(busy.status().await, Some(200));
        let closed = metric(ports.metrics, "bulrushwind_idle_closed_total").await;
        assert!(
            closed >= 1.0 && closed < IDLE as f64,
            "{closed} were closed"
        );
        let ejected = count_lines(&deployment, "vm-1", &["\"backend server ejected\""]);
        assert_eq!(ejected, 0, "backend servers are ejected for it");
        let failed = metric(ports.metrics, "bulrushwind_accept_failures_total").await;
        assert!(failed >= 1.0);
        until("it says that it is busy", || {
            let entry = deployment.store.value("bulrushwind/entry/az-a/vm-1");
            entry.is_some_and(|entry| entry["busy"] == json!(true))
        })
        .await;
    });
}

/// Guards against requests that run for callers which have given up while the process was paused.
#[test]
fn requests_are_refused_that_a_paused_process_reads_too_late() {
    const PAUSE: time::Duration = time::Duration::from_millis(1200);
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        start_counting(ports.metrics).await;
        let mut kept = Caller::connect(ports.front).await;
        kept.send("r1", 4000).await;
        assert_eq!(kept.status().await, Some(200));
        let before = runs(&deployment);
        gateway.signal(rustix::process::Signal::STOP);
        // The process may finish what it is doing.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        let mut new = Caller::connect(ports.front).await;
        let mut patient = Caller::connect(ports.front).await;
        kept.send("late-1", 500).await;
        new.send("late-2", 500).await;
        patient.send("r2", 5000).await;
        tokio::time::sleep(PAUSE).await;
        gateway.signal(rustix::process::Signal::CONT);
        assert_eq!(kept.status().await, Some(503));
        assert_eq!(new.status().await, Some(503));
        assert_eq!(patient.status().await, Some(200));
        assert_eq!(runs(&deployment), before + 1);
        let refused = metric(ports.metrics, "bulrushwind_read_too_late_total").await;
        assert_eq!(refused, 2.0);
        assert!(metric(ports.metrics, "bulrushwind_loop_lag_seconds_count").await >= 1.0);
    });
}

/// The limit that the settings name. Half of it is for files, so callers get 44 less what backend
/// servers and the store have.
const MAX_FDS: u64 = 120;

/// The limit of the process, which also holds about 20 other descriptors.
const PROCESS_LIMIT: u64 = 90;

/// Connections that use up either limit.
const OCCUPYING: usize = 80;

/// Starts a gateway whose descriptors are limited.
async fn start_limited(deployment: &Deployment) -> (process::Ports, process::Gateway) {
    let options = process::GatewayOptions {
        max_fds: Some(MAX_FDS),
        memory_mb: None,
        ..deployment.options("vm-1", deployment.store.addr, &[])
    };
    let gateway = options.spawn().unwrap();
    wait_for_status(options.ports.front, "/read/a", 200).await;
    start_counting(options.ports.metrics).await;
    gateway.set_descriptor_limit(PROCESS_LIMIT);
    (options.ports, gateway)
}

/// Opens more connections than there are descriptors, none of them idle.
async fn occupy(addr: net::SocketAddr) -> Vec<Caller> {
    let mut callers = Vec::new();
    for _ in 0..OCCUPYING {
        let mut caller = Caller::connect(addr).await;
        caller.begin().await;
        callers.push(caller);
    }
    // Until all are accepted: places for refusals are given on after 50 ms, five at a time.
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    callers
}

/// Guards against new callers that wait in the listen queue while all connections are in use, and
/// against requests in progress that find no descriptor for a backend server.
#[test]
fn new_callers_are_refused_at_once_where_all_connections_are_in_use() {
    const LIMIT: time::Duration = time::Duration::from_millis(400);
    const KEPT: u32 = 2;
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = start_limited(&deployment).await;
        let slow = time::Duration::from_millis(2500);
        deployment
            .backends
            .iter()
            .for_each(|b| b.set_service_time(slow));
        let mut kept = Vec::new();
        for n in 0..KEPT {
            let mut caller = Caller::connect(ports.front).await;
            caller.send_to("/book/a", &format!("kept-{n}"), 5000).await;
            kept.push(caller);
        }
        until("they run", || runs(&deployment) > KEPT).await;
        let _occupied = occupy(ports.front).await;
        let before = runs(&deployment);
        // These need more connections to backend servers, and are not hedged.
        for (n, caller) in kept.iter_mut().enumerate() {
            caller.send_to("/book/a", &format!("next-{n}"), 5000).await;
        }
        let front = ports.front;
        let new = (0..40).map(|n| async move {
            let begun = time::Instant::now();
            let mut caller = Caller::connect(front).await;
            caller.send(&format!("new-{n}"), 4000).await;
            let answer = tokio::time::timeout(LIMIT, caller.answer()).await;
            let answer = answer.expect("it waits").expect("no answer");
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains("Retry-After: 0."), "{answer}");
            assert!(answer.contains("Connection: close"), "{answer}");
            assert_eq!(caller.answer().await, None);
            assert!(begun.elapsed() < LIMIT);
        });
        futures_util::future::join_all(new).await;
        for caller in &mut kept {
            let mut answers = String::new();
            while answers.matches("HTTP/1.1 200").count() < 2 {
                let next = caller.answer().await;
                answers += &next.unwrap_or_else(|| panic!("cut off after {answers}"));
            }
        }
        assert_eq!(runs(&deployment), before + KEPT);
        let refused = metric(ports.metrics, "bulrushwind_refused_connections_total").await;
        assert!(refused >= 40.0, "{refused}");
        let failed = metric(ports.metrics, "bulrushwind_accept_failures_total").await;
        assert_eq!(failed, 0.0);
        until("it says that it is busy", || {
            let entry = deployment.store.value("bulrushwind/entry/az-a/vm-1");
            entry.is_some_and(|entry| entry["busy"] == json!(true))
        })
        .await;
    });
}

/// Guards against callers that are refused, or wait, while idle connections hold descriptors.
#[test]
fn idle_connections_make_room_before_accepts_fail() {
    const IDLE: usize = 40;
    const NEW: usize = 10;
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = start_limited(&deployment).await;
        let mut callers = Vec::new();
        for n in 0..IDLE + NEW {
            // Those that are closed leave within 50 ms, four at a time.
            match n {
                IDLE => tokio::time::sleep(time::Duration::from_millis(400)).await,
                _ => tokio::time::sleep(time::Duration::from_millis(20)).await,
            }
            let mut caller = Caller::connect(ports.front).await;
            caller.send(&format!("r-{n}"), 4000).await;
            assert_eq!(caller.status().await, Some(200));
            callers.push(caller);
        }
        let closed = metric(ports.metrics, "bulrushwind_idle_closed_total").await;
        // As many as come, and as connections to backend servers and the store are opened.
        assert!((1.0..=16.0).contains(&closed), "{closed} were closed");
    });
}

/// Guards against callers that hold the descriptors for refusals by sending no request.
#[test]
fn a_connection_that_is_refused_is_closed_although_no_request_arrives() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = start_limited(&deployment).await;
        let _occupied = occupy(ports.front).await;
        let begun = time::Instant::now();
        let mut silent = Caller::connect(ports.front).await;
        assert_eq!(silent.answer().await, None);
        let held = begun.elapsed();
        assert!(
            held < time::Duration::from_millis(1300),
            "held for {held:?}"
        );
    });
}
