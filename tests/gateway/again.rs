//! Backend servers that restart under the same name.

use bulrushwind::gateway::place;
use bulrushwind::id;
use tokio::net::TcpListener;

use super::stage::{Act, Stage, get, play, post};

/// A backend server is partitioned with a read and a booking in flight, crashes and restarts under
/// its name. Their answers can no longer come; without the restart being noticed both callers wait
/// until their deadlines, although another backend server can answer the read.
#[test]
fn what_was_open_at_the_run_before_ends_when_the_next_is_listed() {
    play(async || {
        let stage = Stage::new(0, &[Act::Hang, Act::Hang]).await;
        stage.start_backend("i-0", Some(100)).await;
        let mut reader = stage.caller().await;
        reader.send(&get("/read/a", "r1")).await;
        stage
            .until("the read runs", |seen| seen.ran.len() == 1)
            .await;
        let mut booker = stage.caller().await;
        booker.send(&post("/book/a", "b1", "x")).await;
        stage
            .until("the booking runs", |seen| seen.ran.len() == 2)
            .await;
        stage.add_backend("i-1").await;
        stage.start_backend("i-0", Some(200)).await;
        assert_eq!(reader.receive().await.unwrap().text(), "ok");
        assert_eq!(booker.receive().await.unwrap().status, 502);
        assert_eq!(stage.runs("b1"), 1);
    });
}

/// A backend server stops, refuses connections and is ejected, then restarts healthy. If the old
/// run's failures count against the new one, it stays ejected, and callers of the only backend
/// server are refused.
#[test]
fn the_next_run_is_not_judged_by_the_one_before() {
    play(async || {
        let stage = Stage::new(0, &[]).await;
        let mut listed = stage.start_backend("i-0", Some(100)).await;
        let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listed.addr = nobody.local_addr().unwrap();
        drop(nobody);
        stage.cx.learn_backend(&"i-0".into(), listed);
        let mut caller = stage.caller().await;
        for n in 0..2 {
            let got = caller.ask(&post("/book/a", &format!("b{n}"), "x")).await;
            assert_eq!(got.status, 503);
        }
        stage.start_backend("i-0", Some(200)).await;
        assert_eq!(caller.ask(&post("/book/a", "b2", "x")).await.status, 200);
    });
}

/// A page of the list that was read before a restart arrives after it. If applied, requests go to
/// an address where nothing listens.
#[test]
fn an_entry_of_an_earlier_start_changes_nothing() {
    play(async || {
        let stage = Stage::new(0, &[]).await;
        let before = stage.start_backend("i-0", Some(100)).await;
        let after = stage.start_backend("i-0", Some(200)).await;
        assert!(!stage.cx.learn_backend(&"i-0".into(), before));
        let seat = seat(&stage);
        assert_eq!(seat.addr, after.addr);
        assert_eq!(seat.run.name, "i-0@c8");
    });
}

/// Each run counts its own requests. If the end of an old run's request freed a slot of the new
/// run, that would get more requests than it has slots.
#[test]
fn a_request_of_the_run_before_frees_no_slot_of_the_next() {
    play(async || {
        let stage = Stage::new(0, &[]).await;
        stage.start_backend("i-0", Some(100)).await;
        let old = seat(&stage);
        stage.start_backend("i-0", Some(200)).await;
        let seats: Vec<place::Seat> = std::iter::from_fn(|| place_one(&stage)).collect();
        drop(old);
        assert!(place_one(&stage).is_none());
        drop(seats);
        assert!(place_one(&stage).is_some());
    });
}

/// One request crashes its backend server, which restarts under its name, and the caller retries.
/// If crashes are counted by name instead of run, the request is never banned, and other callers'
/// requests are lost with each crash.
#[test]
fn a_request_that_crashes_three_runs_of_one_backend_server_is_refused() {
    play(async || {
        let stage = Stage::new(0, &[Act::Lose, Act::Lose, Act::Lose]).await;
        let mut caller = stage.caller().await;
        for start in 1..=3 {
            stage.start_backend("i-0", Some(start)).await;
            let id = format!("b{start}");
            let got = caller.ask(&post("/book/bad", &id, "x")).await;
            assert_eq!(got.status, 502);
        }
        stage.start_backend("i-0", Some(4)).await;
        let got = caller.ask(&post("/book/bad", "b4", "x")).await;
        assert_eq!((got.status, stage.runs("b4")), (503, 0));
        let mut caller = stage.caller().await;
        let other = caller.ask(&post("/book/good", "b5", "x")).await;
        assert_eq!(other.status, 200);
    });
}

fn seat(stage: &Stage) -> place::Seat {
    place_one(stage).unwrap()
}

fn place_one(stage: &Stage) -> Option<place::Seat> {
    let service = id::ServiceId::from("svc");
    let need = place::Need {
        service: &service,
        key: Some(1),
        away: false,
        homes: bulrushwind::protocol::routes::Homes::default(),
        idempotent: true,
        behind: false,
        tried: &[],
    };
    stage.cx.place(&need).ok()
}
