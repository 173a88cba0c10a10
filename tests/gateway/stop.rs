//! Planned stops of an entry VM.

use super::stage::{Act, Stage, get, play};

/// An entry VM stops as planned. Running requests must be answered, and callers sent elsewhere.
#[test]
fn a_planned_stop_answers_what_is_in_hand_and_closes_after_it() {
    play(|| async {
        let stage = Stage::new(1, &[Act::AfterNext("late"), Act::Answer("ok")]).await;
        let mut caller = stage.caller().await;
        caller.send(&get("/read/a", "r1")).await;
        stage.until("it runs", |seen| seen.ran.len() == 1).await;
        stage.cx.stop();
        assert!(!stage.cx.is_ready());
        assert!(stage.cx.entries_for(Some("region")).len() <= 1);
        let other = stage.caller().await.ask(&get("/read/a", "r2")).await;
        assert_eq!(
            other.status, 200,
            "callers who have not heard are still served"
        );
        let got = caller.receive().await.unwrap();
        assert_eq!((got.status, got.text()), (200, "late"));
        assert!(got.head.fields.lists("connection", "close"));
        assert!(caller.is_closed().await);
    });
}

/// A request late in a planned stop would be cut off at its end. Refused, it can run on another VM.
#[test]
fn late_in_a_planned_stop_requests_are_refused_and_nothing_is_sent() {
    play(|| async {
        let stage = Stage::new(1, &[]).await;
        stage.cx.stop();
        let begun = std::time::Instant::now();
        while !stage.cx.is_closed() {
            assert!(begun.elapsed() < super::stage::LONG);
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        let mut caller = stage.caller().await;
        let got = caller.ask(&get("/read/a", "r1")).await;
        assert_eq!(got.status, 503);
        assert!(got.head.fields.get("retry-after").is_some());
        assert!(caller.is_closed().await);
        assert_eq!(stage.seen.borrow().arrived, 0);
        assert!(stage.cx.is_done());
    });
}
