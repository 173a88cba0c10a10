//! From a request's id to the cause of its failure, by logs alone. docs/OPERATIONS.md walks the same
//! three ways.

use std::fs;
use std::process;
use std::time;

use super::processes::{LONG, Scene, ask, play, until_status};
use super::support::store;

/// What `bulrushwind explain` prints of a request.
fn explain(scene: &Scene, request: &str) -> String {
    let out = process::Command::new(env!("CARGO_BIN_EXE_bulrushwind"))
        .current_dir(scene.dir.path())
        .args(["explain", request, "vm-1.log"])
        .output()
        .unwrap();
    String::from_utf8_lossy(&out.stdout).into_owned()
}

/// Waits until the story of a request tells all of these in this order.
async fn until_told(scene: &Scene, request: &str, wanted: &[&str]) {
    let begun = time::Instant::now();
    loop {
        let story = explain(scene, request);
        let mut rest = story.as_str();
        let told = wanted.iter().all(|text| match rest.find(text) {
            Some(at) => {
                rest = &rest[at..];
                true
            }
            None => false,
        });
        if told {
            println!("{story}");
            return;
        }
        let log = || fs::read_to_string(scene.dir.path().join("vm-1.log")).unwrap_or_default();
        assert!(
            begun.elapsed() < LONG,
            "{wanted:?} is not told:\n{story}\nof\n{}",
            log()
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Operators emptied the zones of all backend servers. A caller is refused though none has
/// anything to do, and somebody asks why.
#[test]
fn a_request_that_was_refused_while_backend_servers_stood_free() {
    play(|| async {
        let scene = Scene::new();
        let (ports, _gateway) = scene.start("vm-1", scene.store.addr, &[]);
        until_status(ports.front, "/read/a", 200).await;
        for az in ["az-a", "az-b", "az-c"] {
            scene
                .store
                .write(&format!("op/evacuate/{az}"), &serde_json::json!({}));
        }
        until_status(ports.front, "/read/a", 503).await;
        assert_eq!(
            ask(ports.front, "/read/a", "refused-1").await.unwrap().0,
            503
        );
        let wanted = [
            "evacuation: ",
            "evacuated=true",
            "request: ",
            "fate=not_run",
            "why=no usable backend server",
        ];
        until_told(&scene, "refused-1", &wanted).await;
    });
}

/// A booking's answer is lost on its way from the backend server. The caller does not know whether
/// the bay is taken.
#[test]
fn a_booking_whose_outcome_is_unknown() {
    play(|| async {
        let scene = Scene::new();
        let (ports, _gateway) = scene.start("vm-1", scene.store.addr, &[]);
        until_status(ports.front, "/read/a", 200).await;
        scene.backends.iter().for_each(|b| b.loses.set(true));
        let (status, _) = ask(ports.front, "/book/a", "unknown-1").await.unwrap();
        assert_eq!(status, 504);
        let wanted = [
            "request: ",
            "backends=i-",
            "fate=unknown",
            "sends=1",
            "why=time is up",
        ];
        until_told(&scene, "unknown-1", &wanted).await;
    });
}

/// The store turned this VM away, so that its list of backend servers is old; the one that has the
/// object no longer answers, and the read is tried elsewhere late.
#[test]
fn a_read_that_came_late() {
    play(|| async {
        let scene = Scene::new();
        let (ports, _gateway) = scene.start("vm-1", scene.store.addr, &[]);
        until_status(ports.front, "/read/a", 200).await;
        scene.store.set_mode(store::Mode::Busy);
        let begun = time::Instant::now();
        while !fs::read_to_string(scene.dir.path().join("vm-1.log"))
            .unwrap()
            .contains("store does not serve")
        {
            assert!(begun.elapsed() < LONG);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        scene
            .backends
            .iter()
            .for_each(|b| b.delay(time::Duration::from_millis(1300)));
        let (status, _) = ask(ports.front, "/read/a", "late-1").await.unwrap();
        assert_eq!(status, 200);
        let wanted = ["store does not serve: ", "request: ", "fate=late"];
        until_told(&scene, "late-1", &wanted).await;
    });
}
