//! Backend servers that restart under the same name.

use bulrushwind::gateway::{cluster_state, placement};
use bulrushwind::id;
use tokio::net::TcpListener;

use super::harness::{Harness, Reaction, get, post, run_test};

/// A backend server is partitioned with a read and a booking in flight, crashes and restarts under
/// its name. Unless the restart is noticed, both callers wait until their deadlines for answers
/// that cannot come, although another backend server could answer the read.
#[test]
pub(crate) fn open_requests_end_when_the_next_run_is_listed() {
    run_test(async || {
        let harness = Harness::new(0, &[Reaction::Hang, Reaction::Hang]).await;
        harness.start_backend("i-0", Some(100)).await;
        let mut reader = harness.caller().await;
        reader.send(&get("/read/a", "r1")).await;
        harness
            .until("the read runs", |seen| seen.ran.len() == 1)
            .await;
        let mut booker = harness.caller().await;
        booker.send(&post("/book/a", "b1", "x")).await;
        harness
            .until("the booking runs", |seen| seen.ran.len() == 2)
            .await;
        harness.add_backend("i-1").await;
        harness.start_backend("i-0", Some(200)).await;
        assert_eq!(reader.receive().await.unwrap().text(), "ok");
        assert_eq!(booker.receive().await.unwrap().status, 502);
        assert_eq!(harness.runs("b1"), 1);
    });
}

/// A backend server stops, refuses connections and is ejected, then restarts healthy. If the old
/// run's failures count against the new one, it stays ejected, and callers of the only backend
/// server are refused.
#[test]
pub(crate) fn failures_of_an_old_run_do_not_affect_the_next() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        let mut listed = harness.start_backend("i-0", Some(100)).await;
        let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listed.addr = nobody.local_addr().unwrap();
        drop(nobody);
        harness.cx.update_backend(&"i-0".into(), listed);
        let mut caller = harness.caller().await;
        for n in 0..2 {
            let answer = caller
                .request(&post("/book/a", &format!("b{n}"), "x"))
                .await;
            assert_eq!(answer.status, 503);
        }
        harness.start_backend("i-0", Some(200)).await;
        assert_eq!(
            caller.request(&post("/book/a", "b2", "x")).await.status,
            200
        );
    });
}

/// A page of the list that was read before a restart arrives after it. If applied, requests go to
/// an address where nothing listens.
#[test]
pub(crate) fn an_entry_of_an_earlier_start_changes_nothing() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        let before = harness.start_backend("i-0", Some(100)).await;
        let after = harness.start_backend("i-0", Some(200)).await;
        let effect = harness.cx.update_backend(&"i-0".into(), before);
        assert_eq!(effect, cluster_state::Effect::Rejected);
        let reservation = reserve(&harness);
        assert_eq!(reservation.addr, after.addr);
        assert_eq!(reservation.run.name, "i-0@c8");
    });
}

/// Each run counts its own requests. If the end of an old run's request freed a slot of the new
/// run, that would get more requests than it has slots.
#[test]
pub(crate) fn a_request_of_an_old_run_frees_no_slot_of_the_next() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        harness.start_backend("i-0", Some(100)).await;
        let old = reserve(&harness);
        harness.start_backend("i-0", Some(200)).await;
        let reservations: Vec<placement::Reservation> =
            std::iter::from_fn(|| try_reserve(&harness)).collect();
        drop(old);
        assert!(try_reserve(&harness).is_none());
        drop(reservations);
        assert!(try_reserve(&harness).is_some());
    });
}

/// One request crashes its backend server, which restarts under its name, and the caller retries.
/// If crashes are counted by name instead of run, the request is never banned, and other callers'
/// requests are lost with each crash.
#[test]
pub(crate) fn a_request_that_crashes_three_runs_of_one_backend_server_is_refused() {
    run_test(async || {
        let harness = Harness::new(0, &[Reaction::Lose, Reaction::Lose, Reaction::Lose]).await;
        let mut caller = harness.caller().await;
        for start in 1..=3 {
            harness.start_backend("i-0", Some(start)).await;
            let id = format!("b{start}");
            let answer = caller.request(&post("/book/bad", &id, "x")).await;
            assert_eq!(answer.status, 502);
        }
        harness.start_backend("i-0", Some(4)).await;
        let answer = caller.request(&post("/book/bad", "b4", "x")).await;
        assert_eq!((answer.status, harness.runs("b4")), (503, 0));
        let mut caller = harness.caller().await;
        let other = caller.request(&post("/book/good", "b5", "x")).await;
        assert_eq!(other.status, 200);
    });
}

/// Guards against a request that crashes one backend server after the other in a quiet hour, when no other
/// request connects to them and finds that they have ended.
#[test]
pub(crate) fn a_request_that_crashes_backend_servers_is_refused_though_there_are_no_others() {
    run_test(async || {
        let crashes = [const { Reaction::Crash }; 4];
        let harness = Harness::new(5, &crashes).await;
        let mut caller = harness.caller().await;
        for n in 1..=3 {
            let id = format!("b{n}");
            let answer = caller.request(&post("/book/bad", &id, "x")).await;
            assert_eq!(answer.status, 502);
            let cx = &harness.cx;
            harness
                .until("the crash is found", |_| {
                    !cx.take_crash_reports().is_empty()
                })
                .await;
        }
        let answer = caller.request(&post("/book/bad", "b4", "x")).await;
        assert_eq!((answer.status, harness.runs("b4")), (503, 0));
    });
}

fn reserve(harness: &Harness) -> placement::Reservation {
    try_reserve(harness).unwrap()
}

fn try_reserve(harness: &Harness) -> Option<placement::Reservation> {
    let service = id::ServiceId::from("svc");
    let need = placement::Need {
        service: &service,
        key: Some(1),
        remote: false,
        homes: bulrushwind::protocol::routes::AllowedRegions::default(),
        idempotent: true,
        may_try: true,
        low_priority: false,
        claim: None,
        above_share: false,
        prefers_warm: false,
        tried: &[],
    };
    harness.cx.reserve(&need).ok()
}
