//! Unusual and broken answers of backend servers.

use super::stage::{Act, Stage, get, play, post};

#[test]
fn an_answer_reaches_its_caller_unchanged() {
    play(|| async {
        let stage = Stage::new(2, &[Act::Answer("hello")]).await;
        let got = stage.caller().await.ask(&get("/read/a", "r1")).await;
        assert_eq!((got.status, got.text()), (200, "hello"));
        assert!(got.head.fields.text("x-proof").unwrap().starts_with("i-"));
        let seen = stage.seen.borrow();
        assert!(seen.fields["x-instance"].starts_with("i-"));
        assert!(seen.fields["x-timeout-ms"].parse::<u64>().unwrap() <= 8000);
        assert_eq!(seen.fields["cookie"], "a=b; object=17");
    });
}

/// A backend server truncates its answer. A caller that gets a part would take it for the whole.
#[test]
fn a_read_whose_answer_breaks_off_is_had_from_another_backend_server() {
    for act in [
        Act::Truncate,
        Act::UnframedReset,
        Act::Garbage,
        Act::Unsigned,
        Act::Lose,
        Act::Fail,
    ] {
        play(|| async {
            let stage = Stage::new(3, &[act.clone(), Act::Answer("whole")]).await;
            let got = stage.caller().await.ask(&get("/read/a", "r1")).await;
            assert_eq!((got.status, got.text()), (200, "whole"), "{act:?}");
            assert_eq!(stage.runs("r1"), 2);
            let seen = stage.seen.borrow();
            assert_ne!(seen.ran[0].1, seen.ran[1].1, "not the same one again");
        });
    }
}

#[test]
fn a_body_that_ends_with_its_connection_is_whole_after_an_orderly_close() {
    play(|| async {
        let stage = Stage::new(1, &[Act::Unframed("to the end")]).await;
        let got = stage.caller().await.ask(&get("/read/a", "r1")).await;
        assert_eq!((got.status, got.text()), (200, "to the end"));
    });
}

/// A second answer to an earlier request arrives before the next one's answer. If passed on, a
/// caller reads data that belongs to another.
#[test]
fn an_answer_to_another_request_is_passed_over() {
    play(|| async {
        let stage = Stage::new(1, &[Act::StrayFirst("mine")]).await;
        let got = stage.caller().await.ask(&get("/read/a", "r1")).await;
        assert_eq!((got.status, got.text()), (200, "mine"));
        let got = stage.caller().await.ask(&get("/read/a", "r2")).await;
        assert_eq!(got.text(), "ok");
    });
}

#[test]
fn chunks_are_joined_and_long_answers_are_passed_on_whole() {
    play(|| async {
        let stage = Stage::new(1, &[Act::Chunks(vec!["ab", "cde"]), Act::Long(1 << 20)]).await;
        let mut caller = stage.caller().await;
        assert_eq!(caller.ask(&get("/read/a", "r1")).await.text(), "abcde");
        let got = caller.ask(&get("/read/a", "r2")).await;
        assert_eq!(got.body.len(), 1 << 20);
    });
}

/// A backend server fails a booking. With a changed status the caller would misjudge the outcome.
#[test]
fn a_failure_of_a_backend_server_at_a_booking_is_passed_on_as_it_is() {
    play(|| async {
        let stage = Stage::new(2, &[Act::Fail]).await;
        let got = stage.caller().await.ask(&post("/book/a", "b1", "x")).await;
        assert_eq!((got.status, got.text()), (500, "bad"));
        assert_eq!(stage.runs("b1"), 1);
    });
}
