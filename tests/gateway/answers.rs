//! Unusual and broken answers of backend servers.

use super::harness::{Harness, Reaction, get, post, run_test};

#[test]
pub(crate) fn an_answer_reaches_its_caller_unchanged() {
    run_test(|| async {
        let harness = Harness::new(2, &[Reaction::Answer("hello")]).await;
        let answer = harness.caller().await.request(&get("/read/a", "r1")).await;
        assert_eq!((answer.status, answer.text()), (200, "hello"));
        assert!(
            answer
                .head
                .fields
                .text("x-proof")
                .unwrap()
                .starts_with("i-")
        );
        let seen = harness.seen.borrow();
        assert!(seen.fields["x-instance"].starts_with("i-"));
        assert!(seen.fields["x-timeout-ms"].parse::<u64>().unwrap() <= 8000);
        assert_eq!(seen.fields["cookie"], "a=b; object=17");
    });
}

/// A backend server truncates its answer. A caller that gets a part would take it for the whole.
#[test]
pub(crate) fn a_read_with_a_broken_answer_is_sent_to_another_backend_server() {
    for act in [
        Reaction::Truncate,
        Reaction::UnframedReset,
        Reaction::Garbage,
        Reaction::Unsigned,
        Reaction::Lose,
        Reaction::Fail,
    ] {
        run_test(|| async {
            let harness = Harness::new(3, &[act.clone(), Reaction::Answer("whole")]).await;
            let answer = harness.caller().await.request(&get("/read/a", "r1")).await;
            assert_eq!((answer.status, answer.text()), (200, "whole"), "{act:?}");
            assert_eq!(harness.runs("r1"), 2);
            let seen = harness.seen.borrow();
            assert_ne!(seen.ran[0].1, seen.ran[1].1, "not the same one again");
        });
    }
}

#[test]
pub(crate) fn a_body_that_ends_with_its_connection_is_whole_after_an_orderly_close() {
    run_test(|| async {
        let harness = Harness::new(1, &[Reaction::Unframed("to the end")]).await;
        let answer = harness.caller().await.request(&get("/read/a", "r1")).await;
        assert_eq!((answer.status, answer.text()), (200, "to the end"));
    });
}

/// A second answer to an earlier request arrives before the next one's answer. If passed on, a
/// caller reads data that belongs to another.
#[test]
pub(crate) fn an_answer_to_another_request_is_skipped() {
    run_test(|| async {
        let harness = Harness::new(1, &[Reaction::StrayFirst("mine")]).await;
        let answer = harness.caller().await.request(&get("/read/a", "r1")).await;
        assert_eq!((answer.status, answer.text()), (200, "mine"));
        let answer = harness.caller().await.request(&get("/read/a", "r2")).await;
        assert_eq!(answer.text(), "ok");
    });
}

#[test]
pub(crate) fn chunks_are_joined_and_long_answers_are_relayed_whole() {
    run_test(|| async {
        let harness = Harness::new(
            1,
            &[Reaction::Chunks(vec!["ab", "cde"]), Reaction::Long(1 << 20)],
        )
        .await;
        let mut caller = harness.caller().await;
        assert_eq!(caller.request(&get("/read/a", "r1")).await.text(), "abcde");
        let answer = caller.request(&get("/read/a", "r2")).await;
        assert_eq!(answer.body.len(), 1 << 20);
    });
}

/// A backend server fails a booking. With a changed status the caller would misjudge the outcome.
#[test]
pub(crate) fn a_failed_booking_is_answered_with_the_backend_servers_error() {
    run_test(|| async {
        let harness = Harness::new(2, &[Reaction::Fail]).await;
        let answer = harness
            .caller()
            .await
            .request(&post("/book/a", "b1", "x"))
            .await;
        assert_eq!((answer.status, answer.text()), (500, "bad"));
        assert_eq!(harness.runs("b1"), 1);
    });
}
