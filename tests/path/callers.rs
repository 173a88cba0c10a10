//! Invalid requests get distinct errors with a remedy and never run.

use std::io::{Read, Write};
use std::net;
use std::time;

use bulrushwind::protocol::outcome;
use bulrushwind::standin::caller;

use super::{local, testenv};

fn echo() -> local::RawBackend {
    local::RawBackend::start(|_, request, stream| stream.write_all(request.answer().as_bytes()))
}

#[test]
fn invalid_requests_get_distinct_errors_and_run_nothing() {
    let raw = echo();
    let entry = local::entry(&[raw.addr]);
    let large = "a".repeat(300_000);
    let head = |line: &str, headers: &str| {
        format!("{line} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\r\n")
    };
    let book = |headers: &str| head("POST /ledger/book", headers);
    let too_large = format!("Content-Length: {}\r\n", large.len());
    let key = "Idempotency-Key: t1.6531.1.0.1.5\r\n";
    let cases = [
        (head("GET /", ""), "404", "unknown-path"),
        (head("GET /lookup", ""), "404", "unknown-path"),
        (head("GET /lookup/nothing", ""), "404", "unknown-service"),
        (head("POST /lookup/ledger", ""), "405", "method"),
        (head("GET /nothing/", ""), "404", "unknown-service"),
        (head("DELETE /ledger/book", ""), "404", "unknown-operation"),
        (book(""), "400", "no-key"),
        (book("Idempotency-Key: 17\r\n"), "400", "bad-key"),
        (book("Idempotency-Key: t1.6531.1.0.1\r\n"), "400", "bad-key"),
        (
            book("Idempotency-Key: t1.6531.x.0.1.5\r\n"),
            "400",
            "bad-key",
        ),
        (book(key), "504", "ticket-void"),
        (
            book(&format!("{key}Bulrushwind-Timeout-Ms: soon\r\n")),
            "400",
            "bad-timeout",
        ),
        (
            book(&format!("{key}{too_large}")) + &large,
            "413",
            "too-large",
        ),
        (book("Content-Length: 99999999\r\n"), "413", "too-large"),
    ];
    for (text, status, reason) in cases {
        let line = text.lines().next().unwrap().to_owned();
        let answer = local::send(entry.addr(), &text);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{line}: {answer}"
        );
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        let body: outcome::Body = serde_json::from_str(body).unwrap();
        assert_eq!(body.reason, reason, "{line}");
        let remedy = body.message.contains(';');
        assert!(remedy, "{line}: no remedy in `{}`", body.message);
    }
    assert_eq!(raw.received().len(), 0);
}

#[test]
fn malformed_http_is_refused_and_runs_nothing() {
    let raw = echo();
    let entry = local::entry(&[raw.addr]);
    let huge = format!(
        "GET /ledger/bays HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "a".repeat(100_000)
    );
    for text in [
        "\u{0}\u{1}\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        &huge,
    ] {
        let answer = local::send(entry.addr(), text);
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(refused, "{text:.20}: {answer}");
    }
    assert_eq!(raw.received().len(), 0);
}

/// A caller's connection breaks in the middle of a booking's body. The truncated booking must not
/// run, and waiting for the rest without a limit would exhaust the entry VM.
#[test]
fn a_half_sent_booking_never_runs() {
    let raw = echo();
    let entry = local::entry(&[raw.addr]);
    let mut stream = net::TcpStream::connect(entry.addr()).unwrap();
    let head = "POST /ledger/book HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nbay";
    stream.write_all(head.as_bytes()).unwrap();
    stream.shutdown(net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
    assert_eq!(raw.received().len(), 0);
}

/// 200 callers stall in the middle of a body, and 2,000 hold idle connections. Other callers must
/// still be answered.
#[test]
fn slow_senders_do_not_delay_other_callers() {
    let raw = echo();
    let entry = local::entry(&[raw.addr]);
    let mut held = Vec::new();
    for _ in 0..200 {
        let mut stream = net::TcpStream::connect(entry.addr()).unwrap();
        let head = "POST /ledger/book HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nbay";
        stream.write_all(head.as_bytes()).unwrap();
        held.push(stream);
    }
    for _ in 0..2000 {
        held.push(net::TcpStream::connect(entry.addr()).unwrap());
    }
    let request = caller::Request {
        path: "/ledger/bays",
        ..caller::Request::default()
    };
    let caller = caller::Caller::default();
    for _ in 0..20 {
        let reply = caller.send(entry.addr(), &request).unwrap();
        assert_eq!(reply.outcome, Some(outcome::Outcome::Answered), "{reply:?}");
    }
}

/// A caller sends two requests on one connection without waiting for the first answer. The answers
/// must arrive in the order of the requests.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let raw = echo();
    let entry = local::entry(&[raw.addr]);
    let get = |n, more| format!("GET /ledger/bays?n={n} HTTP/1.1\r\nHost: a\r\n{more}\r\n");
    let text = get(1, "") + &get(2, "Connection: close\r\n");
    let answer = local::send(entry.addr(), &text);
    let (first, second) = (answer.find("/bays?n=1"), answer.find("/bays?n=2"));
    assert!(first.is_some() && first < second, "{answer}");
}

/// An operator starts a second entry process on the same address.
#[test]
fn an_address_in_use_names_the_setting() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let env = testenv::TestEnv::new();
    let (status, text) = env.entry_fails("e1", |cfg| cfg.listen = listener.local_addr().unwrap());
    assert_eq!(status.code(), Some(1));
    assert!(
        text.contains("`listen`") && text.contains("choose"),
        "{text}"
    );
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let raw = echo();
    let entry = local::entry(&[raw.addr]);
    let head = "GET /ledger/bays HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\n\r\n";
    let answer = local::send(entry.addr(), head);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let received = raw.received();
    assert!(!received[0].headers.contains_key("x-hop"));
    assert!(received[0].headers.contains_key("x-end"));
}

/// A caller's timeout reaches the backend server as the time that remains.
#[test]
fn the_remaining_timeout_is_forwarded() {
    let raw = echo();
    let entry = local::entry(&[raw.addr]);
    let request = caller::Request {
        path: "/ledger/bays",
        stated_timeout: Some(time::Duration::from_millis(700)),
        ..caller::Request::default()
    };
    caller::Caller::default()
        .send(entry.addr(), &request)
        .unwrap();
    let remaining_ms: u64 = raw.received()[0].headers["bulrushwind-timeout-ms"]
        .parse()
        .unwrap();
    assert!((1..=700).contains(&remaining_ms), "{remaining_ms}");
}
