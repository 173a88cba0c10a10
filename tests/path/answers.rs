//! Whatever a backend server sends, each caller gets the complete answer to its own request or a
//! correct outcome without an answer.

use std::io;
use std::io::Write;
use std::net;
use std::thread;
use std::time;

use bulrushwind::protocol::outcome::Outcome;
use bulrushwind::standin::caller;

use super::local;

fn close_connection() -> io::Result<()> {
    Err(io::ErrorKind::ConnectionReset.into())
}

/// How a backend server answers a request; an error closes the connection.
type Script = fn(&local::ReceivedRequest, &mut net::TcpStream) -> io::Result<()>;

fn read_path(n: usize) -> String {
    format!("/ledger/bays?n={n}")
}

fn read_request(path: &str) -> caller::Request<'_> {
    caller::Request {
        path,
        stated_timeout: Some(time::Duration::from_secs(1)),
        ..caller::Request::default()
    }
}

/// Sends reads in sequence, of which the first gets a broken answer. Each answered read must get its
/// own answer; the entry process may retry a read.
fn reads_get_their_own_answers(name: &str, script: Script) {
    let raw = local::RawBackend::start(move |n, request, stream| {
        if n == 0 {
            return script(request, stream);
        }
        stream.write_all(request.answer().as_bytes())
    });
    let entry = local::entry(&[raw.addr]);
    let caller = caller::Caller::default();
    for n in 0..5 {
        let path = read_path(n);
        let reply = caller.send(entry.addr(), &read_request(&path)).unwrap();
        if reply.outcome == Some(Outcome::Answered) {
            assert_eq!(reply.body, format!("/bays?n={n}"), "{name}: request {n}");
        } else {
            assert_eq!(n, 0, "{name}: request {n}: {reply:?}");
            assert_eq!(reply.outcome, Some(Outcome::Unknown), "{name}: {reply:?}");
        }
    }
}

/// Sends a booking that gets the broken answer. It may have run, so its outcome must be `unknown`,
/// and neither the entry process nor the caller's retry may send it to a backend server again.
fn a_booking_is_unknown_and_sent_once(name: &str, script: Script) {
    let raw = local::RawBackend::start(move |_, request, stream| script(request, stream));
    let entry = local::entry(&[raw.addr]);
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry.addr(), "ledger").unwrap().ticket;
    let key = format!("{}.1", ticket.unwrap());
    let booking = caller::Request {
        method: "POST",
        path: "/ledger/book",
        key: Some(&key),
        body: "bay 7",
        stated_timeout: Some(time::Duration::from_secs(1)),
        ..caller::Request::default()
    };
    for _ in 0..2 {
        let reply = caller.send(entry.addr(), &booking).unwrap();
        assert_eq!(reply.outcome, Some(Outcome::Unknown), "{name}: {reply:?}");
        assert!(reply.retry_after.is_some(), "{name}: {reply:?}");
    }
    let received = raw.received();
    assert_eq!(received.len(), 1, "{name}");
    assert_eq!(
        (received[0].path.as_str(), received[0].body.as_str()),
        ("/book", "bay 7")
    );
    let remaining_ms: u64 = received[0].headers["bulrushwind-timeout-ms"]
        .parse()
        .unwrap();
    assert!((1..=1000).contains(&remaining_ms), "{name}: {remaining_ms}");
}

fn check_reads_and_bookings(name: &str, script: Script) {
    reads_get_their_own_answers(name, script);
    a_booking_is_unknown_and_sent_once(name, script);
}

/// Guards against truncated answers when a backend server crashes while it sends one. A truncated
/// list of bays that looks complete would be wrong.
#[test]
fn a_truncated_answer_is_not_delivered() {
    check_reads_and_bookings("stated length", |request, stream| {
        let text = request.answer();
        stream.write_all(&text.as_bytes()[..text.len() - 2])?;
        close_connection()
    });
    check_reads_and_bookings("chunked", |request, stream| {
        let attempt = &request.headers["bulrushwind-request"];
        let head = format!("HTTP/1.1 200 OK\r\nBulrushwind-Request: {attempt}\r\n");
        let text = format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\n/bay\r\n");
        stream.write_all(text.as_bytes())?;
        close_connection()
    });
    check_reads_and_bookings("no length", |request, stream| {
        let attempt = &request.headers["bulrushwind-request"];
        let head = format!("HTTP/1.1 200 OK\r\nBulrushwind-Request: {attempt}\r\n");
        stream.write_all(format!("{head}Connection: close\r\n\r\n/bay").as_bytes())?;
        close_connection()
    });
}

/// A backend server closes or resets the connection instead of answering.
#[test]
fn a_closed_connection_gives_no_answer() {
    check_reads_and_bookings("closed", |_, _| close_connection());
    check_reads_and_bookings("closed in the head", |_, stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Le")?;
        close_connection()
    });
}

/// A backend server sends malformed data, or another program listens at its address.
#[test]
fn a_malformed_answer_is_not_delivered() {
    check_reads_and_bookings("no HTTP", |_, stream| {
        stream.write_all(b"\x00\x01\x02 I am a printer\r\n\r\n")
    });
    check_reads_and_bookings("bad length", |_, stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd")
    });
    check_reads_and_bookings("endless head", |_, stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\n")?;
        for n in 0..20_000 {
            stream.write_all(format!("X-{n}: {n}\r\n").as_bytes())?;
        }
        stream.write_all(b"\r\n")
    });
}

/// Guards against exhaustion of the entry VM's memory by an answer larger than the service allows.
#[test]
fn an_oversized_answer_is_refused() {
    check_reads_and_bookings("oversized", |request, stream| {
        let attempt = &request.headers["bulrushwind-request"];
        let head = format!("HTTP/1.1 200 OK\r\nBulrushwind-Request: {attempt}\r\n");
        stream.write_all(format!("{head}Content-Length: 9000000\r\n\r\n").as_bytes())?;
        let chunk = vec![b'a'; 100_000];
        (0..90).try_for_each(|_| stream.write_all(&chunk))
    });
}

/// A backend server answers after the caller's timeout. Its answer must not go to a later request.
#[test]
fn a_late_answer_does_not_reach_another_caller() {
    check_reads_and_bookings("late", |request, stream| {
        thread::sleep(time::Duration::from_millis(1500));
        stream.write_all(request.answer().as_bytes())
    });
}

/// A backend server confuses two requests and sends the other request's answer.
#[test]
fn an_answer_to_another_request_is_not_delivered() {
    check_reads_and_bookings("another request's", |request, stream| {
        let text = request.answer();
        let attempt = &request.headers["bulrushwind-request"];
        let other = format!("Bulrushwind-Request: {attempt}9\r\n");
        let original = format!("Bulrushwind-Request: {attempt}\r\n");
        stream.write_all(text.replace(&original, &other).as_bytes())
    });
}

/// A backend server answers a request twice, and the duplicate arrives while the next request is
/// sent on the same connection. The next caller must not receive it.
#[test]
fn a_duplicate_answer_does_not_reach_another_caller() {
    for delay_ms in [0, 1, 5] {
        let raw = local::RawBackend::start(move |_, request, stream| {
            stream.write_all(request.answer().as_bytes())?;
            thread::sleep(time::Duration::from_millis(delay_ms));
            stream.write_all(request.answer().as_bytes())
        });
        let entry = local::entry(&[raw.addr]);
        let caller = caller::Caller::default();
        for n in 0..50 {
            let path = read_path(n);
            let reply = caller.send(entry.addr(), &read_request(&path)).unwrap();
            if reply.outcome == Some(Outcome::Answered) {
                assert_eq!(reply.body, format!("/bays?n={n}"));
            }
        }
    }
}

/// No process listens at a backend server's address. No byte of the booking was sent, so "not run"
/// is correct and the caller may retry elsewhere at once.
#[test]
fn a_request_to_an_unreachable_backend_is_not_run() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let entry = local::entry(&[addr]);
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry.addr(), "ledger").unwrap().ticket;
    let key = format!("{}.1", ticket.unwrap());
    let booking = caller::Request {
        method: "POST",
        path: "/ledger/book",
        key: Some(&key),
        body: "bay 7",
        ..caller::Request::default()
    };
    let reply = caller.send(entry.addr(), &booking).unwrap();
    assert_eq!(reply.outcome, Some(Outcome::NotRun), "{reply:?}");
    assert!(reply.retry_after.is_some(), "{reply:?}");
}

/// A backend server answers probes but fails all requests. The caller gets its answer unchanged.
#[test]
fn a_server_error_is_passed_on_unchanged() {
    let raw = local::RawBackend::start(|_, request, stream| {
        let text = request.answer().replace("200 OK", "500 Oops");
        stream.write_all(text.as_bytes())
    });
    let entry = local::entry(&[raw.addr]);
    let reply = caller::Caller::default()
        .send(entry.addr(), &read_request("/ledger/bays?n=1"))
        .unwrap();
    assert_eq!(reply.status, 500);
    assert_eq!(reply.outcome, Some(Outcome::Answered));
}

/// Guards against a status that is none and reaches a caller as an answer.
#[test]
fn a_status_that_is_none_is_no_answer() {
    for status in ["000 X", "099 X", "101 X", "600 X", "999 X"] {
        let raw = local::RawBackend::start(move |_, request, stream| {
            let text = request.answer().replace("200 OK", status);
            stream.write_all(text.as_bytes())
        });
        let entry = local::entry(&[raw.addr]);
        let caller = caller::Caller::default();
        let ticket = caller.look_up(entry.addr(), "ledger").unwrap().ticket;
        let key = format!("{}.1", ticket.unwrap());
        let booking = caller::Request {
            method: "POST",
            path: "/ledger/book",
            key: Some(&key),
            body: "bay 7",
            stated_timeout: Some(time::Duration::from_secs(1)),
            ..caller::Request::default()
        };
        let reply = caller.send(entry.addr(), &booking).unwrap();
        assert_eq!(reply.outcome, Some(Outcome::Unknown), "{status}: {reply:?}");
    }
}
