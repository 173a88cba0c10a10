//! Answers of backend servers that do not end.

use std::time;

use super::harness::{Caller, Harness, Reaction, get, post, route, run_test, table};

/// The beginning of a signed success in chunks.
const CHUNKED: &str = "200 OK\r\nx-proof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A chunk.
const CHUNK: &str = "20\r\nabcdefghijklmnopqrstuvwxyz012345\r\n";
/// The beginning of a signed success that ends with its connection.
const UNFRAMED: &str = "200 OK\r\nx-proof: p\r\nConnection: close\r\n\r\n";

/// Two backend servers, of which the first that is asked reacts so, and routes that time out soon.
async fn harness(act: Reaction) -> Harness {
    let harness = Harness::new(2, &[act]).await;
    let mut routes = vec![route("/read/", true), route("/book/", false)];
    for route in &mut routes {
        route.timeout = time::Duration::from_millis(1200);
    }
    harness.cx.update_routes(table(2, routes));
    harness
}

async fn until_dropped(harness: &Harness) {
    harness
        .until("its connection is closed", |seen| seen.dropped == 1)
        .await;
}

/// Guards against long answers that are relayed past the time of their request: of a backend server that
/// falls silent, and of one that sends without end.
#[test]
pub(crate) fn a_long_answer_ends_when_the_time_of_its_request_is_up() {
    let acts = [
        Reaction::Silent(300_000),
        Reaction::Endless(CHUNKED, CHUNK),
        Reaction::Endless(UNFRAMED, "ab"),
    ];
    for act in acts {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            run_test(|| async {
                let harness = harness(act.clone()).await;
                let mut caller = harness.caller().await;
                let request = get("/read/a", "r1").replace("HTTP/1.1", version);
                caller.send(&request).await;
                let received = caller.receive().await;
                assert!(received.is_err(), "{act:?} {version}: must not look whole");
                until_dropped(&harness).await;
            });
        }
    }
}

/// Guards against a VM that holds what a backend server sends without end to a caller that reads nothing.
#[test]
pub(crate) fn little_is_read_of_an_answer_without_end_that_its_caller_does_not_read() {
    run_test(|| async {
        let harness = harness(Reaction::Endless(UNFRAMED, "ab")).await;
        let mut caller = Caller::connect_slow(harness.caller_addr).await;
        caller.send(&get("/read/a", "r1")).await;
        until_dropped(&harness).await;
        // What the systems at both ends buffer is the larger part.
        assert!(harness.seen.borrow().endless < 32 << 20);
        drop(caller);
    });
}

/// Guards against heads, trailers and lines without end, and bodies without end of answers that are not
/// passed on: each has to end early, so that the caller gets a true answer in its time.
#[test]
pub(crate) fn an_answer_that_cannot_be_passed_on_ends_before_the_time_is_up() {
    let acts = [
        Reaction::Endless("200 ", "x"),
        Reaction::Endless("200 OK\r\n", "field: value\r\n"),
        Reaction::Endless("", "no answer\r\n"),
        Reaction::Endless("100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"),
        Reaction::Endless(CHUNKED, "1;extension"),
        Reaction::Endless(
            "200 OK\r\nx-proof: p\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "field: value\r\n",
        ),
        Reaction::Endless(
            "200 OK\r\nx-proof: p\r\nContent-Length: 99999999999\r\n\r\n",
            "ab",
        ),
        Reaction::Endless("200 OK\r\nConnection: close\r\n\r\n", "ab"),
        Reaction::Endless(
            "200 OK\r\nx-id: other\r\nContent-Length: 99999999999\r\n\r\n",
            "ab",
        ),
    ];
    for act in acts {
        run_test(|| async {
            let harness = harness(act.clone()).await;
            let mut caller = harness.caller().await;
            caller.send(&get("/read/a", "r1")).await;
            let received = caller.receive().await;
            let answer = received.unwrap_or_else(|err| panic!("{act:?}: {err:?}"));
            assert_eq!((answer.status, answer.text()), (200, "ok"), "{act:?}");
            until_dropped(&harness).await;
        });
        run_test(|| async {
            let harness = harness(act.clone()).await;
            let mut caller = harness.caller().await;
            let answer = caller.request(&post("/book/a", "b1", "x")).await;
            assert_eq!(answer.status, 502, "{act:?}");
            until_dropped(&harness).await;
        });
    }
}

/// Guards against a refusal whose body does not end and is passed on as an answer.
#[test]
pub(crate) fn a_refusal_with_a_body_without_end_sends_a_booking_elsewhere() {
    run_test(|| async {
        let head = "503 Busy\r\nx-not-run: 1\r\nConnection: close\r\n\r\n";
        let harness = harness(Reaction::Endless(head, "ab")).await;
        let mut caller = harness.caller().await;
        let answer = caller.request(&post("/book/a", "b1", "x")).await;
        assert_eq!((answer.status, answer.text()), (200, "ok"));
        until_dropped(&harness).await;
    });
}
