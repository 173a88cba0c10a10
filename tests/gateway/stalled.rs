//! Callers that stop before the end of a request, in calm and while others need what they hold.

use std::time;

use super::harness::{Caller, Harness, LONG, get, run_test};

/// The head of an upload that is streamed, and a part of its body.
fn begun_upload(id: &str, framing: &str) -> String {
    let head = format!(
        "POST /book/a HTTP/1.1\r\nHost: example.test\r\nx-id: {id}\r\nx-timeout-ms: 30000\r\n{framing}\r\n\r\n"
    );
    let chunk = format!("{:x}\r\n{}\r\n", 300_000, "y".repeat(300_000));
    match framing.starts_with("Content-Length") {
        true => head + &"y".repeat(300_000),
        false => head + &chunk,
    }
}

/// Begins uploads that stop.
async fn stalled_uploads(harness: &Harness, count: usize) -> Vec<Caller> {
    let mut callers = Vec::new();
    for n in 0..count {
        let mut caller = harness.caller().await;
        caller
            .send(&begun_upload(&format!("u{n}"), "Content-Length: 400000"))
            .await;
        harness
            .until("it has arrived", |seen| seen.arrived > n)
            .await;
        callers.push(caller);
    }
    callers
}

fn has_body(harness: &Harness, len: usize) -> bool {
    harness.seen.borrow().bodies.contains(&len)
}

/// Guards against uploads that have stopped and hold all room of a service until their deadlines.
#[test]
fn stalled_uploads_make_room_for_other_requests() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        // As many as the backend server takes.
        let mut full = Vec::new();
        let mut callers = Vec::new();
        for n in 0..40 {
            let mut caller = harness.caller().await;
            caller
                .send(&begun_upload(&format!("u{n}"), "Content-Length: 400000"))
                .await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
            let arrived = harness.seen.borrow().arrived;
            match arrived > n {
                true => callers.push(caller),
                false => {
                    full.push(caller);
                    break;
                }
            }
        }
        assert!(!full.is_empty(), "there is room for {}", callers.len());
        let refused = full[0].receive().await.unwrap();
        assert_eq!(refused.status, 503);
        let started = time::Instant::now();
        let mut ordinary = harness.caller().await;
        while ordinary.request(&get("/read/b", "r")).await.status != 200 {
            assert!(started.elapsed() < LONG, "no room for an ordinary request");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        // They have begun to run, so their outcome is unknown.
        let ended = callers[0].receive().await.unwrap();
        assert_eq!(ended.status, 502);
        assert!(callers[0].is_closed().await);
        assert!(!has_body(&harness, 400_000));
    });
}

/// Guards against a pause that ends an upload though nothing is short.
#[test]
fn an_upload_that_pauses_is_answered() {
    for framing in ["Content-Length: 300004", "Transfer-Encoding: chunked"] {
        run_test(|| async {
            let harness = Harness::new(1, &[]).await;
            let mut caller = harness.caller().await;
            caller.send(&begun_upload("u", framing)).await;
            harness
                .until("it has arrived", |seen| seen.arrived == 1)
                .await;
            let mut other = harness.caller().await;
            for n in 0..6 {
                tokio::time::sleep(time::Duration::from_millis(400)).await;
                let answer = other.request(&get("/read/b", &format!("r{n}"))).await;
                assert_eq!(answer.status, 200);
            }
            let rest = match framing.starts_with("Content-Length") {
                true => "yyyy",
                false => "4\r\nyyyy\r\n0\r\n\r\n",
            };
            caller.send(rest).await;
            assert_eq!(caller.receive().await.unwrap().status, 200);
            assert!(has_body(&harness, 300_004));
        });
    }
}

/// Guards against memory, places and counts that stay taken after uploads have ended in any way.
#[test]
fn nothing_is_held_after_uploads_that_stop_have_ended() {
    run_test(|| async {
        let harness = Harness::new(2, &[]).await;
        let callers = stalled_uploads(&harness, 4).await;
        assert!(harness.cx.requests_in_progress() == 4);
        drop(callers);
        let started = time::Instant::now();
        while harness.cx.requests_in_progress() > 0 || harness.cx.caller_memory() > 0 {
            assert!(
                started.elapsed() < LONG,
                "{} bytes",
                harness.cx.caller_memory()
            );
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    });
}
