//! Callers' connections: pipelined requests, disconnects and malformed requests.

use std::time;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::harness::{Caller, Harness, Reaction, get, post, run_test};
use super::support::cut;

/// A caller pipelines several reads, and the first takes longest. Run in sequence, the last would
/// time out; answered as they end, each answer would go to the wrong request.
#[test]
pub(crate) fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    run_test(|| async {
        let reactions = [
            Reaction::AfterNext("one"),
            Reaction::Answer("two"),
            Reaction::Answer("three"),
        ];
        let harness = Harness::new(1, &reactions).await;
        let mut caller = harness.caller().await;
        let all = ["r1", "r2", "r3"].map(|id| get("/read/a", id)).concat();
        caller.send(&all).await;
        for (id, text) in [("r1", "one"), ("r2", "two"), ("r3", "three")] {
            let answer = caller.receive().await.unwrap();
            assert_eq!(answer.head.fields.text("x-id"), Some(id));
            assert_eq!(answer.text(), text);
        }
    });
}

/// A caller disconnects during a read. If the read continued, it would occupy a slot needlessly.
#[test]
pub(crate) fn a_read_is_cancelled_when_its_caller_disconnects() {
    run_test(|| async {
        let harness = Harness::new(1, &[Reaction::Hang]).await;
        let mut caller = harness.caller().await;
        caller.send(&get("/read/a", "r1")).await;
        harness
            .until("the read runs", |seen| seen.ran.len() == 1)
            .await;
        drop(caller);
        harness
            .until("it is dropped", |seen| seen.dropped == 1)
            .await;
    });
}

/// A caller disconnects during a booking. If the booking were cut off, its outcome would be
/// unknown.
#[test]
pub(crate) fn a_booking_continues_when_its_caller_disconnects() {
    run_test(|| async {
        let harness =
            Harness::new(1, &[Reaction::AfterNext("booked"), Reaction::Answer("ok")]).await;
        let mut caller = harness.caller().await;
        caller.send(&post("/book/a", "b1", "x")).await;
        harness
            .until("the booking runs", |seen| seen.ran.len() == 1)
            .await;
        drop(caller);
        let answer = harness.caller().await.request(&get("/read/a", "r1")).await;
        assert_eq!(answer.text(), "ok");
        harness.until("both ran", |seen| seen.ran.len() == 2).await;
        assert_eq!(harness.seen.borrow().dropped, 0);
    });
}

/// A booking is queued at a full backend server when its caller disconnects. The backend server
/// then reports that it did not run; a resend would make an unwanted booking.
#[test]
pub(crate) fn a_booking_is_not_resent_after_its_caller_disconnects() {
    run_test(|| async {
        let harness = Harness::new(3, &[Reaction::ShedAfterNext]).await;
        let mut caller = harness.caller().await;
        caller.send(&post("/book/a", "b1", "x")).await;
        harness
            .until("the booking arrives", |seen| seen.arrived == 1)
            .await;
        drop(caller);
        // The gateway must notice the disconnect before the backend server answers.
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        let mut other = harness.caller().await;
        for n in 0..20 {
            let answer = other.request(&get("/read/a", &format!("r{n}"))).await;
            assert_eq!(answer.status, 200);
        }
        assert_eq!(harness.runs("b1"), 0);
        assert_eq!(harness.seen.borrow().arrived, 21);
    });
}

/// Ambiguous message lengths allow request smuggling.
#[test]
pub(crate) fn malformed_requests_are_refused_and_their_connections_closed() {
    let bad = [
        ("nonsense\r\n\r\n".to_owned(), 400),
        ("GET /read/a HTTP/1.1\r\nHost: example.test\r\nx-id: r\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".to_owned(), 400),
        ("POST /read/a HTTP/1.1\r\nHost: example.test\r\nx-id: r\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(), 400),
        ("POST /read/a HTTP/1.1\r\nHost: example.test\r\nx-id: r\r\nTransfer-Encoding: gzip\r\n\r\n".to_owned(), 400),
        ("POST /read/a HTTP/1.1\r\nHost: example.test\r\nx-id: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(), 400),
        (format!("GET /read/a HTTP/1.1\r\nHost: example.test\r\nx-id: r\r\nx-big: {}\r\n\r\n", "x".repeat(20 << 10)), 431),
        (format!("POST /read/a HTTP/1.1\r\nHost: example.test\r\nx-id: r\r\nContent-Length: {}\r\n\r\n", 5 << 20), 413),
    ];
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        for (text, status) in bad {
            let mut caller = harness.caller().await;
            let answer = caller.request(&text).await;
            assert_eq!(answer.status, status, "{text:.60}");
            assert!(caller.is_closed().await);
        }
        assert_eq!(harness.seen.borrow().arrived, 0);
    });
}

#[test]
pub(crate) fn requests_without_a_host_an_id_or_a_route_are_refused_and_the_connection_stays_open() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        let mut caller = harness.caller().await;
        let no_host = "GET /read/a HTTP/1.1\r\nx-id: r\r\n\r\n";
        assert_eq!(caller.request(no_host).await.status, 400);
        let no_id = "GET /read/a HTTP/1.1\r\nHost: example.test\r\n\r\n";
        assert_eq!(caller.request(no_id).await.status, 400);
        assert_eq!(caller.request(&get("/none/a", "r1")).await.status, 404);
        assert_eq!(caller.request(&get("/read/a", "r2")).await.status, 200);
        assert_eq!(harness.seen.borrow().arrived, 1);
    });
}

#[test]
pub(crate) fn a_connection_is_closed_after_the_answer_if_the_caller_asks_for_it() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        let mut caller = harness.caller().await;
        let text = get("/read/a", "r1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        let answer = caller.request(&text).await;
        assert!(answer.head.fields.contains_token("connection", "close"));
        assert!(caller.is_closed().await);
    });
}

/// The link to a backend server is cut one way while a read is in transit, and the read is
/// abandoned. After an orderly close, the network delivers the read when the link recovers,
/// possibly to a backend server of an evacuated zone. A reset discards it.
#[test]
pub(crate) fn the_connection_of_an_abandoned_send_is_reset() {
    run_test(async || {
        let harness = Harness::new(1, &[Reaction::Hang]).await;
        let mut caller = harness.caller().await;
        caller.send(&get("/read/a", "r1")).await;
        harness.until("it runs", |seen| seen.ran.len() == 1).await;
        drop(caller);
        harness
            .until("it is dropped", |seen| seen.dropped == 1)
            .await;
        assert_eq!(harness.seen.borrow().reset, 1);
    });
}

/// One lost packet ends the connection of a caller that waits for a long answer.
#[test]
fn a_lost_keepalive_probe_does_not_end_a_waiting_callers_connection() {
    /// The link to the caller is down for the first keepalive probe and up for the second.
    const OUTAGE: time::Duration = time::Duration::from_millis(1400);
    const WAIT_AFTER_OUTAGE: time::Duration = time::Duration::from_millis(1000);
    run_test(|| async {
        let harness = Harness::new(1, &[Reaction::AfterNext("late"), Reaction::Answer("ok")]).await;
        let mut waiting = TcpStream::connect(harness.caller_addr).await.unwrap();
        let request = get("/read/a", "r1");
        waiting.write_all(request.as_bytes()).await.unwrap();
        harness.until("it runs", |seen| seen.ran.len() == 1).await;
        let socket = socket2::SockRef::from(&waiting).try_clone().unwrap();
        cut::drop_packets(&socket);
        tokio::time::sleep(OUTAGE).await;
        socket.detach_filter().unwrap();
        tokio::time::sleep(WAIT_AFTER_OUTAGE).await;
        harness.caller().await.request(&get("/read/a", "r2")).await;
        let mut answer = vec![0; 4 << 10];
        let len = waiting.read(&mut answer).await.unwrap();
        assert!(answer[..len].ends_with(b"late"));
    });
}

/// Guards against a limit on unacknowledged bytes that counts the time in which a caller reads nothing.
#[test]
pub(crate) fn a_caller_that_pauses_while_it_reads_gets_its_answers() {
    run_test(|| async {
        let script = [Reaction::Long(16_000_000), Reaction::Answer("next")];
        let harness = Harness::new(1, &script).await;
        let mut caller = Caller::connect_slow(harness.caller_addr).await;
        caller.send(&get("/read/a", "r1")).await;
        caller.send(&get("/read/b", "r2")).await;
        tokio::time::sleep(time::Duration::from_millis(2600)).await;
        assert_eq!(caller.receive().await.unwrap().body.len(), 16_000_000);
        assert_eq!(caller.receive().await.unwrap().text(), "next");
    });
}

/// Guards against pipelined requests that lose their answers when a backend server truncates a long one.
#[test]
pub(crate) fn requests_pipelined_with_a_truncated_long_answer_are_answered() {
    for place in 0..3 {
        for bytes in [300_000, 1_500_000] {
            run_test(|| async {
                let mut script = vec![Reaction::Long(bytes); 3];
                script[place] = Reaction::BreakOff(bytes);
                let harness = Harness::new(2, &script).await;
                let mut caller = harness.caller().await;
                let ids = ["r1", "r2", "r3"];
                let all = ids.map(|id| get("/read/a", id)).concat();
                caller.send(&all).await;
                for (n, id) in ids.into_iter().enumerate() {
                    let answer = caller.receive().await.unwrap();
                    assert_eq!(answer.head.fields.text("x-id"), Some(id));
                    let again = n == place;
                    assert_eq!(answer.text() == "ok", again, "place {place}, {bytes} bytes");
                    assert!(again || answer.body.len() == bytes);
                }
            });
        }
    }
}

/// Guards against a request that starts while an earlier answer is relayed, and is lost if that is truncated.
#[test]
pub(crate) fn no_request_starts_while_an_earlier_answer_is_relayed() {
    run_test(|| async {
        let harness = Harness::new(2, &[Reaction::Silent(300_000)]).await;
        let mut caller = harness.caller().await;
        caller
            .send(&get("/read/a", "r1").replace("8000", "1000"))
            .await;
        harness.until("it runs", |seen| seen.ran.len() == 1).await;
        while caller.wire.buf.len() < 1000 {
            caller.wire.fill().await.unwrap();
        }
        caller.send(&get("/read/b", "r2")).await;
        assert!(caller.receive().await.is_err());
        assert_eq!(harness.seen.borrow().arrived, 1);
    });
}
