//! The operator listener of a running entry process: status, readiness, metrics, history and
//! explanations of refused requests.

#[path = "path/testenv.rs"]
#[expect(dead_code, reason = "the tests of the path use more of it")]
mod testenv;

use std::fs;
use std::io;
use std::net;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

use bulrushwind::burn;
use bulrushwind::protocol::{history, operators};
use bulrushwind::standin::{caller, operator, processes};
use bulrushwind::state::explain;
use io::BufRead;

/// A child process that is killed when the test ends.
struct KillOnDrop(process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A loopback address that no other test uses.
fn unused_addr() -> net::SocketAddr {
    static NEXT: atomic::AtomicU8 = atomic::AtomicU8::new(1);
    let [_, _, high, low] = process::id().to_be_bytes();
    let next = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
    net::SocketAddr::from(([127, 64 + next, high, low], 7103))
}

fn get(addr: net::SocketAddr, path: &str) -> (u16, String) {
    let res = attohttpc::get(format!("http://{addr}{path}"))
        .send()
        .unwrap();
    (res.status().as_u16(), res.text().unwrap())
}

fn json<T: serde::de::DeserializeOwned>(addr: net::SocketAddr, path: &str) -> T {
    serde_json::from_str(&get(addr, path).1).unwrap()
}

fn entry(env: &testenv::TestEnv, name: &str) -> (processes::Process, net::SocketAddr) {
    let addr = unused_addr();
    let entry = env.entry_with(name, |cfg| cfg.operators_listen = addr);
    (entry, addr)
}

/// Polls the status until a condition holds.
fn status_when(
    addr: net::SocketAddr,
    holds: impl Fn(&operators::Status) -> bool,
) -> operators::Status {
    let begun = time::Instant::now();
    loop {
        let status: operators::Status = json(addr, "/status");
        if holds(&status) {
            return status;
        }
        assert!(
            begun.elapsed() < time::Duration::from_secs(20),
            "{status:?}"
        );
        thread::sleep(time::Duration::from_millis(50));
    }
}

#[test]
fn answers_appear_in_status_metrics_and_history() {
    let env = testenv::TestEnv::new();
    let _backend = env.backend("b1", "availability", &[]);
    let (entry, addr) = entry(&env, "e1");
    testenv::wait_answered(entry.addr(), "/availability/bays");
    assert_eq!(get(addr, "/ready"), (200, "ready\n".to_owned()));
    // The status is recomputed once a second, so the first answer may be older.
    let status = status_when(addr, |status| status.store_up);
    assert!(status.vm == "e1", "{status:?}");
    assert!(status.settings.contains_key("bays"), "{status:?}");

    let text = get(addr, "/metrics").1;
    for part in [
        "operation=\"check\",fate=\"answered\"",
        "bulrushwind_request_seconds_bucket{service=\"availability\"",
        "bulrushwind_slots{service=\"availability\"} 3",
        "bulrushwind_resident_bytes ",
    ] {
        assert!(text.contains(part), "no {part} in {text}");
    }
    let past: history::History = json(addr, "/history?windows=60");
    let window = &past.services["availability"].windows[0];
    assert!(
        window.totals.answered >= 1 && window.covers_s <= 60,
        "{window:?}"
    );
}

/// A caller knows only the request id of its refused booking, and the log line may have been
/// suppressed.
#[test]
fn a_refusal_is_explained_by_its_request_id() {
    let env = testenv::TestEnv::new();
    let (entry, addr) = entry(&env, "e2");
    let request = caller::Request {
        path: "/availability/bays",
        ..caller::Request::default()
    };
    let answer = caller::Caller::default()
        .send(entry.addr(), &request)
        .unwrap();
    assert_eq!(answer.status, 503);
    let url = format!("http://{}/availability/bays", entry.addr());
    let res = attohttpc::get(url).send().unwrap();
    let id = res.headers()["bulrushwind-request-id"].to_str().unwrap();
    let decisions: Vec<explain::Decision> = json(addr, &format!("/explain?request={id}"));
    let last = decisions.last().unwrap();
    assert_eq!(
        (last.event.as_str(), last.service.as_str()),
        ("refused", "availability")
    );
    assert!(last.detail.starts_with("no-backend"), "{last:?}");
}

/// The caller listener must not serve operator paths.
#[test]
fn callers_cannot_read_what_is_for_operators() {
    let env = testenv::TestEnv::new();
    let (entry, _) = entry(&env, "e3");
    for path in ["/metrics", "/status", "/history", "/explain?request=1"] {
        assert_eq!(get(entry.addr(), path).0, 404, "{path}");
    }
}

#[test]
fn the_command_line_shows_the_status_and_a_look_up() {
    let env = testenv::TestEnv::new();
    let (entry, addr) = entry(&env, "e4");
    let root = bulrushwind::settings::keys::SecretKey::generate().public();
    let run = |args: &[&str]| {
        let output = process::Command::new(env!("CARGO_BIN_EXE_bulrushwind"))
            .args(args)
            .env("BULRUSHWIND_STORE", env.store.addr().to_string())
            .env("BULRUSHWIND_ENTRIES", addr.to_string())
            .env("BULRUSHWIND_ROOT_KEYS", root.to_string())
            .output()
            .unwrap();
        String::from_utf8(output.stdout).unwrap()
    };
    let at = entry.addr().to_string();
    let found = run(&["lookup", "ledger", "--at", &at]);
    assert!(found.contains("e4") && found.contains("ticket"), "{found}");
    let shown = run(&["status"]);
    assert!(shown.contains("e4") && shown.contains("ub-a"), "{shown}");
}

/// Bookings are refused because no backend server is left, while a scheduled job runs the report.
#[test]
fn the_burn_report_exits_with_5_while_a_budget_burns() {
    let env = testenv::TestEnv::new();
    let (entry, addr) = entry(&env, "e5");
    let request = caller::Request {
        path: "/availability/bays",
        ..caller::Request::default()
    };
    let caller = caller::Caller::default();
    for _ in 0..30 {
        assert_eq!(caller.send(entry.addr(), &request).unwrap().status, 503);
    }
    let run = |format: &str, at: net::SocketAddr| {
        let output = process::Command::new(env!("CARGO_BIN_EXE_bulrushwind-burn"))
            .args(["--dir", "examples/cooperative", "--format", format])
            .args(["--entry", &at.to_string()])
            .output()
            .unwrap();
        (
            output.status.code().unwrap(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    let (code, text) = run("text", addr);
    assert_eq!(code, 5, "{text}");
    assert!(text.contains("burning: objective `answered`"), "{text}");
    assert!(text.contains("0 of 1 VMs"), "{text}");
    let (_, text) = run("json", addr);
    let report: burn::report::Report = serde_json::from_str(&text).unwrap();
    assert!(
        report
            .services
            .iter()
            .any(|service| service.windows[0].worth_lost >= 30)
    );
    let (_, page) = run("html", addr);
    assert!(
        page.starts_with("<!doctype html>") && !page.contains("http"),
        "{page}"
    );
    assert_eq!(run("text", unused_addr()).0, 1);
}

/// Operators may pass logs on, so logs must contain neither secrets nor callers' confidential data.
#[test]
fn the_log_holds_no_secret() {
    let (peer_secret, password, body) = (
        "5ec4e7".repeat(11)[..64].to_owned(),
        "hunter2-x",
        "iban-nl91",
    );
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("log");
    let store = testenv::TestEnv::new();
    let addr = unused_addr();
    let child = process::Command::new(env!("CARGO_BIN_EXE_bulrushwind-entry"))
        .args([
            "--set",
            "vm=e6",
            "--set",
            "az=ub-a",
            "--set",
            "listen=127.0.0.1:0",
        ])
        .args(["--set", "peers_listen=127.0.0.1:0"])
        .args(["--set", &format!("operators_listen={addr}")])
        .args(["--set", &format!("store={}", store.store.addr())])
        .env("BULRUSHWIND_PEER_SECRETS", &peer_secret)
        .env(
            "BULRUSHWIND_ROOT_KEYS",
            operator::root().public().to_string(),
        )
        .stdout(process::Stdio::piped())
        .stderr(fs::File::create(&log).unwrap())
        .spawn()
        .unwrap();
    let mut child = KillOnDrop(child);
    let mut lines = io::BufReader::new(child.0.stdout.take().unwrap()).lines();
    let line = lines.next().unwrap().unwrap();
    let entry = line.strip_prefix("listening ").unwrap().to_owned();
    testenv::wait_for("the settings are in force", || {
        attohttpc::get(format!("http://{addr}/ready"))
            .send()
            .is_ok_and(|res| res.is_success())
    });
    let res = attohttpc::post(format!("http://{entry}/ledger/book"))
        .header("authorization", format!("Bearer {password}"))
        .text(body)
        .send()
        .unwrap();
    assert!(!res.is_success());
    testenv::wait_for("the refusal is logged", || {
        fs::read_to_string(&log)
            .unwrap()
            .contains("\"event\":\"refused\"")
    });
    drop(child);
    let text = fs::read_to_string(&log).unwrap();
    for secret in [peer_secret.as_str(), password, body] {
        assert!(!text.contains(secret), "{secret} is in the log: {text}");
    }
}
