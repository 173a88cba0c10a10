//! Finds the cause of a failed request from its id and the logs alone, with `bulrushwind explain`.
//! docs/OPERATIONS.md describes these cases.

use std::fs;
use std::process::Command;
use std::time;

use serde_json::json;

use super::processes::{
    Deployment, TEST_TIMEOUT, config, get, get_with_headers, run_scenario, wait_for_status,
};
use super::support::{process, store};

/// Output of `bulrushwind explain` for a request.
fn explain(deployment: &Deployment, request: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_bulrushwind"))
        .current_dir(deployment.dir.path())
        .args(["explain", request, "vm-1.log"])
        .output()
        .unwrap();
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Waits until the explanation of a request contains all `wanted` texts in this order.
async fn wait_for_explanation(deployment: &Deployment, request: &str, wanted: &[&str]) {
    let begun = time::Instant::now();
    loop {
        let explanation = explain(deployment, request);
        let mut remaining = explanation.as_str();
        let all_found = wanted.iter().all(|text| match remaining.find(text) {
            Some(at) => {
                remaining = &remaining[at..];
                true
            }
            None => false,
        });
        if all_found {
            println!("{explanation}");
            return;
        }
        let log = || fs::read_to_string(deployment.dir.path().join("vm-1.log")).unwrap_or_default();
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "{wanted:?} is not explained:\n{explanation}\nof\n{}",
            log()
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// All availability zones are evacuated, so a request is refused although the backend servers are idle.
#[test]
fn a_request_refused_while_backend_servers_were_idle() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        for az in ["az-a", "az-b", "az-c"] {
            deployment
                .store
                .write(&format!("op/evacuate/{az}"), &serde_json::json!({}));
        }
        wait_for_status(ports.front, "/read/a", 503).await;
        assert_eq!(
            get(ports.front, "/read/a", "refused-1").await.unwrap().0,
            503
        );
        let wanted = [
            "evacuation: ",
            "evacuated=true",
            "request: ",
            "fate=not_run",
            "why=no usable backend server",
        ];
        wait_for_explanation(&deployment, "refused-1", &wanted).await;
    });
}

/// The response to a non-idempotent request is lost, so it is unknown whether the request ran.
#[test]
fn a_booking_whose_outcome_is_unknown() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        deployment
            .backends
            .iter()
            .for_each(|b| b.drops_responses.set(true));
        let (status, _) = get(ports.front, "/book/a", "unknown-1").await.unwrap();
        assert_eq!(status, 504);
        let wanted = [
            "request: ",
            "backends=i-",
            "fate=unknown",
            "sends=1",
            "why=time is up",
        ];
        wait_for_explanation(&deployment, "unknown-1", &wanted).await;
    });
}

/// The store refuses this VM's calls and all backend servers become slow, so a read completes late.
#[test]
fn a_late_read() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        deployment.store.set_mode(store::Mode::Busy);
        let begun = time::Instant::now();
        while !fs::read_to_string(deployment.dir.path().join("vm-1.log"))
            .unwrap()
            .contains("store does not serve")
        {
            assert!(begun.elapsed() < TEST_TIMEOUT);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        deployment
            .backends
            .iter()
            .for_each(|b| b.set_service_time(time::Duration::from_millis(1300)));
        let (status, _) = get(ports.front, "/read/a", "late-1").await.unwrap();
        assert_eq!(status, 200);
        let wanted = ["store does not serve: ", "request: ", "fate=late"];
        wait_for_explanation(&deployment, "late-1", &wanted).await;
    });
}

/// A VM reaches no backend server, so its requests go through another VM.
#[test]
fn a_request_through_another_vm() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let other = process::GatewayOptions {
            zone: "az-c",
            ..deployment.options("vm-2", deployment.store.addr, &[])
        };
        let _other = other.spawn().unwrap();
        wait_for_status(other.ports.front, "/read/a", 200).await;
        // This VM's store lists addresses that refuse connections.
        let store = store::Store::start();
        store.write("op/config", &config(1, &["/read/", "/book/"]));
        for backend in &deployment.backends {
            let mut entry = deployment.store.value(&backend.key()).unwrap();
            entry["addr"] = json!("127.0.0.1:1");
            store.write(&backend.key(), &entry);
        }
        let registration = "bulrushwind/entry/az-c/vm-2";
        store.write(registration, &deployment.store.value(registration).unwrap());
        let (ports, _gateway) = deployment.start("vm-1", store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        deployment
            .backends
            .iter()
            .for_each(|b| b.set_service_time(time::Duration::from_millis(1300)));
        let (status, _) = get(ports.front, "/read/a", "through-1").await.unwrap();
        assert_eq!(status, 200);
        let wanted = [
            "cut off from backend servers",
            "request: ",
            "request=through-1",
            "via=vm-2",
        ];
        wait_for_explanation(&deployment, "through-1", &wanted).await;
    });
}

/// A new version of a service gets more than its part of a route.
#[test]
fn a_request_of_a_split_route() {
    run_scenario(|| async {
        let deployment = Deployment::new();
        let (ports, _gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
        wait_for_status(ports.front, "/read/a", 200).await;
        let mut config = config(9, &["/read/", "/new/"]);
        let route = config["routes"][0].as_object_mut().unwrap();
        route.remove("service");
        route.insert(
            "split".into(),
            json!([{"service": "canary", "weight": 1.0}, {"service": "svc", "weight": 3.0}]),
        );
        deployment.store.write("op/config", &config);
        wait_for_status(ports.front, "/new/a", 200).await;
        let begun = time::Instant::now();
        while get(ports.front, "/read/a", "split-1").await.unwrap().0 != 503 {
            assert!(begun.elapsed() < TEST_TIMEOUT, "the canary gets nothing");
        }
        let wanted = [
            "weights of a route: ",
            "before=svc=1.000",
            "weights=canary=1.000,svc=3.000",
            "request: ",
            "service=canary",
            "shares=canary=",
            "version=9",
        ];
        wait_for_explanation(&deployment, "split-1", &wanted).await;
    });
}

const KEY_HEADER: &str = "Bulrushwind-Key: right-secret-1\r\n";

/// A deployment with one customer, whose quota allows a few requests.
async fn deployment_with_customer() -> (Deployment, std::net::SocketAddr, impl Sized) {
    let deployment = Deployment::new();
    let (ports, gateway) = deployment.start("vm-1", deployment.store.addr, &[]);
    wait_for_status(ports.front, "/read/a", 200).await;
    let mut config = config(9, &["/read/"]);
    config["tenants"] = json!([
        {"name": "pilots", "keys": ["right-secret-1"], "rate_per_s": 0.2, "burst": 1},
    ]);
    deployment.store.write("op/config", &config);
    wait_for_status(ports.front, "/read/a", 401).await;
    (deployment, ports.front, gateway)
}

/// A caller is rejected since its key belongs to no customer. The log must name the cause but not
/// contain the key, since many people can read logs.
#[test]
fn a_caller_with_an_unknown_key() {
    run_scenario(|| async {
        let (deployment, front, _gateway) = deployment_with_customer().await;
        let wrong_key_header = "Bulrushwind-Key: wrong-secret-1\r\n";
        let (status, _) = get_with_headers(front, "/read/a", "away-1", wrong_key_header)
            .await
            .unwrap();
        assert_eq!(status, 401);
        let wanted = [
            "routes: ",
            "customers=1",
            "turned away: ",
            "why=no customer has the key",
        ];
        wait_for_explanation(&deployment, "away-1", &wanted).await;
        assert_eq!(
            get_with_headers(front, "/read/a", "in-1", KEY_HEADER)
                .await
                .unwrap()
                .0,
            200
        );
        let log = fs::read_to_string(deployment.dir.path().join("vm-1.log")).unwrap();
        assert!(!log.contains("-secret-1"));
    });
}

/// A customer's requests are refused beyond its quota. The explanation must show limit and count.
#[test]
fn a_request_beyond_its_customers_quota() {
    run_scenario(|| async {
        let (deployment, front, _gateway) = deployment_with_customer().await;
        let begun = time::Instant::now();
        while get_with_headers(front, "/read/a", "beyond-1", KEY_HEADER)
            .await
            .map(|(s, _)| s)
            != Some(429)
        {
            assert!(begun.elapsed() < TEST_TIMEOUT, "never refused");
        }
        let wanted = [
            "beyond quota: ",
            "aim=12.2",
            "customer=pilots",
            "own=1",
            "version=9",
        ];
        wait_for_explanation(&deployment, "beyond-1", &wanted).await;
    });
}
