//! At-most-once execution of bookings, and truthful reports of whether a request ran.

use std::time;

use bulrushwind::gateway::cluster_state;
use bulrushwind::protocol::routes;

use super::harness::{Harness, Reaction, get, post, route, run_test, table};

/// The connection breaks after a booking was sent. A resend could book twice; if reported as not
/// run, the caller would resend it with the same effect.
#[test]
pub(crate) fn a_booking_whose_answer_is_lost_is_neither_resent_nor_reported_as_not_run() {
    for act in [
        Reaction::Lose,
        Reaction::Truncate,
        Reaction::Garbage,
        Reaction::UnframedReset,
    ] {
        run_test(|| async {
            let harness = Harness::new(3, std::slice::from_ref(&act)).await;
            let answer = harness
                .caller()
                .await
                .request(&post("/book/a", "b1", "bay 4"))
                .await;
            assert_eq!(harness.runs("b1"), 1);
            assert_eq!(answer.status, 502, "{act:?}");
        });
    }
}

/// A full backend server reports that it did not run a booking. It must be sent to another backend
/// server instead of being refused.
#[test]
pub(crate) fn a_booking_that_was_not_run_goes_to_another_backend_server() {
    run_test(|| async {
        let harness = Harness::new(3, &[Reaction::Shed, Reaction::Answer("booked")]).await;
        let answer = harness
            .caller()
            .await
            .request(&post("/book/a", "b1", "bay 4"))
            .await;
        assert_eq!((answer.status, answer.text()), (200, "booked"));
        assert_eq!(harness.runs("b1"), 1);
        assert_eq!(harness.seen.borrow().bodies, [5, 5]);
    });
}

/// All backend servers refuse. The answer must state that nothing ran, and a retry delay.
#[test]
pub(crate) fn a_booking_that_ran_nowhere_is_refused_with_a_retry_delay() {
    run_test(|| async {
        let reactions: Vec<Reaction> = (0..20).map(|_| Reaction::Shed).collect();
        let harness = Harness::new(2, &reactions).await;
        let answer = harness
            .caller()
            .await
            .request(&post("/book/a", "b1", "bay 4"))
            .await;
        assert_eq!(answer.status, 503);
        assert_eq!(harness.runs("b1"), 0);
        let after = answer.retry_after();
        assert!(after > 0.0 && after < 8.0 / 3.0);
    });
}

/// A read hangs and is hedged; then all backend servers report that they did not run it. It must
/// not be reported as an unknown outcome.
#[test]
pub(crate) fn a_read_that_two_backend_servers_refuse_is_reported_as_not_run() {
    run_test(|| async {
        let reactions: Vec<Reaction> = (0..20).map(|_| Reaction::Shed).collect();
        let reactions = [vec![Reaction::ShedAfterNext], reactions].concat();
        let harness = Harness::new(4, &reactions).await;
        let quick = routes::Route {
            latency_target: time::Duration::from_millis(200),
            ..route("/read/", true)
        };
        harness.cx.update_routes(table(2, vec![quick]));
        let answer = harness.caller().await.request(&get("/read/a", "r1")).await;
        assert_eq!(answer.status, 503);
        assert_eq!(harness.runs("r1"), 0);
        assert!(harness.seen.borrow().arrived >= 2);
    });
}

#[test]
pub(crate) fn without_a_backend_server_requests_are_refused_at_once() {
    run_test(|| async {
        let harness = Harness::new(0, &[]).await;
        let answer = harness.caller().await.request(&get("/read/a", "r1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.head.fields.get("retry-after").is_some());
    });
}

/// Versions arrive out of order. An older one must not replace a newer one, or requests go to
/// withdrawn targets.
#[test]
pub(crate) fn an_operators_older_configuration_changes_nothing() {
    run_test(|| async {
        let harness = Harness::new(1, &[]).await;
        let update = |version, prefix| {
            let routes = table(version, vec![route(prefix, true)]);
            harness.cx.update_routes(routes)
        };
        assert_eq!(update(5, "/new/"), cluster_state::Effect::Changed);
        assert_eq!(update(4, "/read/"), cluster_state::Effect::Rejected);
        let mut caller = harness.caller().await;
        assert_eq!(caller.request(&get("/new/a", "r1")).await.status, 200);
        assert_eq!(caller.request(&get("/read/a", "r2")).await.status, 404);
        assert_eq!(harness.runs("r2"), 0);
    });
}

/// New requests at a leaving backend server would be cut off when it stops.
#[test]
pub(crate) fn a_leaving_backend_server_gets_no_new_work() {
    run_test(|| async {
        let harness = Harness::new(2, &[]).await;
        let mut caller = harness.caller().await;
        let answer = caller.request(&get("/read/a", "r1")).await;
        let first = answer.head.fields.text("x-proof").unwrap().to_owned();
        harness.cx.remove_backend(&first.as_str().into());
        let answer = caller.request(&get("/read/a", "r2")).await;
        assert_ne!(answer.head.fields.text("x-proof"), Some(first.as_str()));
    });
}

#[test]
pub(crate) fn an_evacuated_zone_gets_nothing() {
    run_test(|| async {
        let harness = Harness::new(2, &[]).await;
        harness.cx.evacuate(&"az".into(), true);
        let mut caller = harness.caller().await;
        assert_eq!(caller.request(&get("/read/a", "r1")).await.status, 503);
        harness.cx.evacuate(&"az".into(), false);
        // After an evacuation backend servers count as cold and get a few requests at least.
        assert_eq!(caller.request(&get("/read/a", "r2")).await.status, 200);
    });
}
