//! Finds the cause of a failed request from its id and the logs alone, with `bulrushwind explain`.
//! docs/OPERATIONS.md describes three of these cases.

use std::fs;
use std::process;
use std::time;

use serde_json::json;

use super::processes::{LONG, Scene, ask, ask_with, config, play, until_status};
use super::support::store;

/// Output of `bulrushwind explain` for a request.
fn explain(scene: &Scene, request: &str) -> String {
    let out = process::Command::new(env!("CARGO_BIN_EXE_bulrushwind"))
        .current_dir(scene.dir.path())
        .args(["explain", request, "vm-1.log"])
        .output()
        .unwrap();
    String::from_utf8_lossy(&out.stdout).into_owned()
}

/// Waits until the explanation of a request contains all `wanted` texts in this order.
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
            "{wanted:?} is not explained:\n{story}\nof\n{}",
            log()
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// All availability zones are evacuated, so a request is refused although the backend servers are idle.
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

/// The response to a non-idempotent request is lost, so it is unknown whether the request ran.
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

/// The store refuses this VM's calls and all backend servers become slow, so a read completes late.
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

const KEY: &str = "Bulrushwind-Key: right-secret-1\r\n";

/// A scene with one customer, whose quota allows a few requests.
async fn with_customer() -> (Scene, std::net::SocketAddr, impl Sized) {
    let scene = Scene::new();
    let (ports, gateway) = scene.start("vm-1", scene.store.addr, &[]);
    until_status(ports.front, "/read/a", 200).await;
    let mut config = config(9, &["/read/"]);
    config["tenants"] = json!([
        {"name": "pilots", "keys": ["right-secret-1"], "rate_per_s": 0.2, "burst": 1},
    ]);
    scene.store.write("op/config", &config);
    until_status(ports.front, "/read/a", 401).await;
    (scene, ports.front, gateway)
}

/// A caller is rejected since its key belongs to no customer. The log must name the cause but not
/// contain the key, since many people can read logs.
#[test]
fn a_caller_whose_key_nobody_holds() {
    play(|| async {
        let (scene, front, _gateway) = with_customer().await;
        let wrong = "Bulrushwind-Key: wrong-secret-1\r\n";
        let (status, _) = ask_with(front, "/read/a", "away-1", wrong).await.unwrap();
        assert_eq!(status, 401);
        let wanted = [
            "routes: ",
            "customers=1",
            "turned away: ",
            "why=no customer has the key",
        ];
        until_told(&scene, "away-1", &wanted).await;
        assert_eq!(
            ask_with(front, "/read/a", "in-1", KEY).await.unwrap().0,
            200
        );
        let log = fs::read_to_string(scene.dir.path().join("vm-1.log")).unwrap();
        assert!(!log.contains("-secret-1"));
    });
}

/// A customer's requests are refused beyond its quota. The explanation must show the limit and the count.
#[test]
fn a_request_beyond_its_customers_quota() {
    play(|| async {
        let (scene, front, _gateway) = with_customer().await;
        let begun = time::Instant::now();
        while ask_with(front, "/read/a", "beyond-1", KEY)
            .await
            .map(|(s, _)| s)
            != Some(429)
        {
            assert!(begun.elapsed() < LONG, "never refused");
        }
        let wanted = [
            "beyond quota: ",
            "aim=12.2",
            "customer=pilots",
            "own=1",
            "version=9",
        ];
        until_told(&scene, "beyond-1", &wanted).await;
    });
}
