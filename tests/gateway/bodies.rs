//! Request bodies, short and long.

use std::time;

use bulrushwind::protocol::http1;
use bulrushwind::transport::upstream;
use bytes::Bytes;
use futures_util::future as futures;

use super::harness::{Caller, Harness, NAMES, Reaction, post, route, run_test, table};
use super::linked_vms::LinkedVms;
use super::support::cut::Cut;

#[test]
pub(crate) fn a_body_in_chunks_arrives_whole() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        let mut caller = harness.caller().await;
        let head = "POST /book/a HTTP/1.1\r\nHost: example.test\r\nx-id: b1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let answer = caller
            .request(&format!("{head}3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"))
            .await;
        assert_eq!(answer.status, 200);
        assert_eq!(harness.seen.borrow().bodies, [7]);
    });
}

/// A chunked body does not state its length. If it exceeds the limit it is refused, and the request
/// does not run.
#[test]
pub(crate) fn a_body_in_chunks_that_passes_the_limit_is_refused() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        let mut table = table(2, vec![route("/book/", false)]);
        table.limits.max_body_bytes = 10;
        harness.cx.update_routes(table);
        let mut caller = harness.caller().await;
        let head = "POST /book/a HTTP/1.1\r\nHost: example.test\r\nx-id: b1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let answer = caller
            .request(&format!(
                "{head}8\r\nabcdefgh\r\n8\r\nabcdefgh\r\n0\r\n\r\n"
            ))
            .await;
        assert_eq!(answer.status, 413);
        assert_eq!(harness.seen.borrow().arrived, 0);
    });
}

/// Long bodies on a small VM: buffered whole, a few at once would exhaust its memory.
#[test]
pub(crate) fn a_long_body_is_relayed_whole_and_the_connection_stays_open() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        let mut caller = harness.caller().await;
        let body = "y".repeat(3 << 20);
        assert_eq!(
            caller.request(&post("/book/a", "b1", &body)).await.status,
            200
        );
        assert_eq!(harness.seen.borrow().bodies, [3 << 20]);
        assert_eq!(
            caller.request(&post("/book/a", "b2", "z")).await.status,
            200
        );
    });
}

/// A backend server answers before it has read a long body. The next request on that connection
/// would be read as the rest of the body.
#[test]
pub(crate) fn an_early_answer_is_delivered_and_its_connection_is_not_used_again() {
    run_test(|| async {
        let harness = Harness::new(1, &[Reaction::Early("no need")]).await;
        let mut caller = harness.caller().await;
        let body = "y".repeat(3 << 20);
        let answer = caller.request(&post("/book/a", "b1", &body)).await;
        assert_eq!((answer.status, answer.text()), (200, "no need"));
        let answer = harness
            .caller()
            .await
            .request(&post("/book/a", "b2", "z"))
            .await;
        assert_eq!(answer.status, 200);
        assert_eq!(harness.seen.borrow().bodies, [1]);
    });
}

/// Guards against a late second answer that ends the sending of a long body on a reused connection.
#[test]
pub(crate) fn a_long_body_is_sent_on_behind_a_late_answer_to_another_request() {
    for close in ["", "Connection: close\r\n"] {
        run_test(|| async {
            let script = [Reaction::Answer("first"), Reaction::StrayEarly("mine")];
            let harness = Harness::new(1, &script).await;
            let mut caller = harness.caller().await;
            let answer = caller.request(&post("/book/a", "b1", "x")).await;
            assert_eq!(answer.text(), "first");
            let booking = post("/book/a", "b2", &"y".repeat(3 << 20));
            let booking = booking.replace("x-id", &format!("{close}x-id"));
            let answer = caller.request(&booking).await;
            assert_eq!((answer.status, answer.text()), (200, "mine"));
            assert_eq!(harness.seen.borrow().bodies, [1, 3 << 20]);
        });
    }
}

/// A caller disconnects in the middle of a long body. The backend server must not run the partial
/// request.
#[test]
pub(crate) fn a_truncated_body_does_not_run() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        let mut caller = harness.caller().await;
        let text = post("/book/a", "b1", &"y".repeat(3 << 20));
        caller.send(&text[..1 << 20]).await;
        harness.until("it arrives", |seen| seen.arrived == 1).await;
        drop(caller);
        let answer = harness
            .caller()
            .await
            .request(&post("/book/a", "b2", "z"))
            .await;
        assert_eq!(answer.status, 200);
        assert_eq!(harness.runs("b1"), 0);
    });
}

/// How long a backend server reads nothing: longer than the limit on unacknowledged bytes.
const PAUSE: time::Duration = time::Duration::from_millis(3500);

/// Sends a booking with a body of this length to a backend server that pauses.
async fn book_at_pausing_backend(relayed: bool, bytes: usize) {
    let script = [Reaction::Pause(PAUSE, "late")];
    let answer = match relayed {
        false => {
            let harness = Harness::new(1, &script).await;
            let booking = post("/book/a", "b1", &"y".repeat(bytes));
            harness.caller().await.request(&booking).await
        }
        true => {
            let vms = LinkedVms::new(2, 1, &[]).await;
            vms.cut(0, Cut::Resets).await;
            vms.wait_until_serving(0).await;
            vms.harness.script.borrow_mut().extend(script);
            let booking = post("/book/a", "b1", &"y".repeat(bytes));
            vms.caller(0).await.request(&booking).await
        }
    };
    assert_eq!(
        (answer.status, answer.text()),
        (200, "late"),
        "through another VM: {relayed}, {bytes} bytes"
    );
}

/// Guards against a limit on unacknowledged bytes that also applies while a backend server does not read, on
/// direct connections and through another VM.
#[test]
fn a_backend_server_that_pauses_while_it_reads_a_body_keeps_its_request() {
    for relayed in [false, true] {
        run_test(|| async {
            futures::join3(
                book_at_pausing_backend(relayed, 200_000),
                book_at_pausing_backend(relayed, 250_000),
                book_at_pausing_backend(relayed, 4 << 20),
            )
            .await;
        });
    }
}

/// Sends a booking to a backend server that does not read the body and becomes unreachable.
async fn book_at_vanishing_backend(after: time::Duration, bytes: usize) {
    let harness = Harness::new(1, &[Reaction::Vanish(after)]).await;
    let mut caller = harness.caller().await;
    let booking = post("/book/a", "b1", &"y".repeat(bytes));
    let answer = caller.request(&booking).await;
    // At the request's deadline the status would be 504.
    assert_eq!(answer.status, 502, "{after:?}, {bytes} bytes");
}

/// Guards against an unreachable backend server that is taken for a paused one until the request's deadline.
#[test]
fn an_unreachable_backend_server_is_detected_while_a_body_is_sent() {
    run_test(|| async {
        let sends = [10, 1000, 2000, 3500].map(|after| {
            let after = time::Duration::from_millis(after);
            futures::join(
                book_at_vanishing_backend(after, 250_000),
                book_at_vanishing_backend(after, 4 << 20),
            )
        });
        futures::join_all(sends).await;
    });
}

/// Guards against a short request that hangs because a long one disabled the connection's limit on
/// unacknowledged bytes.
#[test]
fn a_short_request_behind_a_long_one_is_limited_again() {
    run_test(|| async {
        let harness = Harness::new(1, &[Reaction::AnswerAndVanish("first")]).await;
        let mut caller = harness.caller().await;
        let long = post("/book/a", "b1", &"y".repeat(100_000));
        assert_eq!(caller.request(&long).await.text(), "first");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        let answer = caller.request(&post("/book/a", "b2", "x")).await;
        // At the request's deadline the status would be 504.
        assert_eq!(answer.status, 502);
    });
}

/// Guards against a transfer that stops when a long answer begins, while the backend server needs the rest
/// of the body for the rest of the answer.
#[test]
fn a_body_is_sent_while_a_long_answer_is_received() {
    for bytes in [1 << 20, 4 << 20] {
        run_test(|| async {
            let harness = Harness::new(1, &[Reaction::Echo]).await;
            let mut caller = harness.caller().await;
            let booking = post("/book/a", "b1", &"y".repeat(bytes));
            let (head, body) = booking.split_at(booking.len() - bytes);
            let mut payload = upstream::Payload::Whole(Bytes::from(body.to_owned()));
            let tag = upstream::Tag {
                field: NAMES.id,
                id: b"b1",
                to_head: false,
            };
            // The caller reads while it sends.
            let wire = &mut caller.wire;
            let received = upstream::exchange(wire, head.as_bytes(), &mut payload, tag).await;
            let mut reader = http1::BodyReader::new(received.unwrap().head.framing);
            let mut echoed = 0;
            while let Some(piece) = upstream::next_piece(wire, &mut reader).await.unwrap() {
                echoed += piece.len();
            }
            assert_eq!(echoed, bytes);
        });
    }
}

/// Guards against a caller that does not read before it has sent its body, and a backend server that does
/// not read it, which block each other while a long answer is relayed.
#[test]
fn a_long_early_answer_is_received_by_callers_that_send_first() {
    for bytes in [1 << 20, 12 << 20] {
        run_test(|| async {
            let harness = Harness::new(1, &[Reaction::EarlyLong(bytes)]).await;
            let mut caller = Caller::connect_slow(harness.caller_addr).await;
            let booking = post("/book/a", "b1", &"y".repeat(4 << 20));
            let answer = caller.request(&booking).await;
            assert_eq!((answer.status, answer.body.len()), (200, bytes));
        });
    }
}
