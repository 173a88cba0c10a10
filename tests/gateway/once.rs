//! At-most-once execution of bookings, and truthful reports of whether a request ran.

use std::time;

use bulrushwind::protocol::routes;

use super::stage::{Act, Stage, get, play, post, route, table};

/// The connection breaks after a booking was sent. A resend could book twice; if reported as not
/// run, the caller would resend it with the same effect.
#[test]
fn a_booking_whose_answer_is_lost_is_not_sent_again_nor_called_not_run() {
    for act in [Act::Lose, Act::Truncate, Act::Garbage, Act::UnframedReset] {
        play(|| async {
            let stage = Stage::new(3, std::slice::from_ref(&act)).await;
            let got = stage
                .caller()
                .await
                .ask(&post("/book/a", "b1", "bay 4"))
                .await;
            assert_eq!(stage.runs("b1"), 1);
            assert_eq!(got.status, 502, "{act:?}");
        });
    }
}

/// A full backend server reports that it did not run a booking. It must be sent to another backend
/// server instead of being refused.
#[test]
fn a_booking_that_was_not_run_goes_to_another_backend_server() {
    play(|| async {
        let stage = Stage::new(3, &[Act::Shed, Act::Answer("booked")]).await;
        let got = stage
            .caller()
            .await
            .ask(&post("/book/a", "b1", "bay 4"))
            .await;
        assert_eq!((got.status, got.text()), (200, "booked"));
        assert_eq!(stage.runs("b1"), 1);
        assert_eq!(stage.seen.borrow().bodies, [5, 5]);
    });
}

/// All backend servers refuse. The caller must be told that nothing ran, and a retry delay.
#[test]
fn a_booking_that_ran_nowhere_is_refused_with_a_time_to_come_back() {
    play(|| async {
        let acts: Vec<Act> = (0..20).map(|_| Act::Shed).collect();
        let stage = Stage::new(2, &acts).await;
        let got = stage
            .caller()
            .await
            .ask(&post("/book/a", "b1", "bay 4"))
            .await;
        assert_eq!(got.status, 503);
        assert_eq!(stage.runs("b1"), 0);
        let after: f64 = got
            .head
            .fields
            .text("retry-after")
            .unwrap()
            .parse()
            .unwrap();
        assert!(after > 0.0 && after < 8.0 / 3.0);
    });
}

/// A read hangs and is hedged; then all backend servers report that they did not run it. It must
/// not be reported as an unknown outcome.
#[test]
fn a_read_that_two_backend_servers_refuse_is_called_not_run() {
    play(|| async {
        let acts: Vec<Act> = (0..20).map(|_| Act::Shed).collect();
        let acts = [vec![Act::ShedAfterNext], acts].concat();
        let stage = Stage::new(4, &acts).await;
        let quick = routes::Route {
            aim: time::Duration::from_millis(200),
            ..route("/read/", true)
        };
        stage.cx.learn_routes(table(2, vec![quick]));
        let got = stage.caller().await.ask(&get("/read/a", "r1")).await;
        assert_eq!(got.status, 503);
        assert_eq!(stage.runs("r1"), 0);
        assert!(stage.seen.borrow().arrived >= 2);
    });
}

#[test]
fn without_a_backend_server_requests_are_refused_at_once() {
    play(|| async {
        let stage = Stage::new(0, &[]).await;
        let got = stage.caller().await.ask(&get("/read/a", "r1")).await;
        assert_eq!(got.status, 503);
        assert!(got.head.fields.get("retry-after").is_some());
    });
}

/// Versions arrive out of order. An older one must not replace a newer one, or requests go to
/// withdrawn targets.
#[test]
fn an_operators_older_configuration_changes_nothing() {
    play(|| async {
        let stage = Stage::new(1, &[]).await;
        assert!(stage.cx.learn_routes(table(5, vec![route("/new/", true)])));
        assert!(!stage.cx.learn_routes(table(4, vec![route("/read/", true)])));
        let mut caller = stage.caller().await;
        assert_eq!(caller.ask(&get("/new/a", "r1")).await.status, 200);
        assert_eq!(caller.ask(&get("/read/a", "r2")).await.status, 404);
        assert_eq!(stage.runs("r2"), 0);
    });
}

/// New requests at a leaving backend server would be cut off when it stops.
#[test]
fn a_leaving_backend_server_gets_no_new_work() {
    play(|| async {
        let stage = Stage::new(2, &[]).await;
        let mut caller = stage.caller().await;
        let got = caller.ask(&get("/read/a", "r1")).await;
        let first = got.head.fields.text("x-proof").unwrap().to_owned();
        stage.cx.lose_backend(&first.as_str().into());
        let got = caller.ask(&get("/read/a", "r2")).await;
        assert_ne!(got.head.fields.text("x-proof"), Some(first.as_str()));
    });
}

#[test]
fn an_evacuated_zone_gets_nothing() {
    play(|| async {
        let stage = Stage::new(2, &[]).await;
        stage.cx.evacuate(&"az".into(), true);
        let mut caller = stage.caller().await;
        assert_eq!(caller.ask(&get("/read/a", "r1")).await.status, 503);
        stage.cx.evacuate(&"az".into(), false);
        // After an evacuation backend servers count as cold and get a few requests at least.
        assert_eq!(caller.ask(&get("/read/a", "r2")).await.status, 200);
    });
}
