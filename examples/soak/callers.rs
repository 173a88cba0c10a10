//! Callers that send requests and check the responses.

use std::net;
use std::rc;
use std::time;

use bulrushwind::platform::names::FIELDS;
use bulrushwind::protocol::http1;
use bulrushwind::transport::{socket, upstream};
use bytes::{Bytes, BytesMut};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scene::{Scene, Vm};
use super::{cuts, shares};

/// Time that a caller waits for a response, and for a connection.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(3000);
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How a request ended.
enum RequestEnd {
    Answer {
        status: u16,
        body: String,
        close: bool,
    },
    /// The connection closed before the answer was complete.
    Disconnected,
    /// No complete answer arrived before the timeout.
    TimedOut,
}

async fn exchange(wire: &mut socket::Wire, method: &str, path: &str, id: &str) -> RequestEnd {
    let ms = REQUEST_TIMEOUT.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: example.test\r\n{}: {id}\r\n{}: {ms}\r\nCookie: {}={}\r\nContent-Length: 0\r\n\r\n",
        FIELDS.id,
        FIELDS.timeout_ms,
        FIELDS.object_cookie,
        path.len() % 7
    );
    let mut payload = upstream::Payload::Whole(Bytes::new());
    let tag = upstream::Tag {
        field: FIELDS.id,
        id: id.as_bytes(),
        to_head: false,
    };
    let read_answer = async {
        let received = upstream::exchange(wire, head.as_bytes(), &mut payload, tag)
            .await
            .ok()?;
        let mut reader = http1::BodyReader::new(received.head.framing);
        let mut body = BytesMut::new();
        while let Some(chunk) = upstream::next_piece(wire, &mut reader).await.ok()? {
            body.extend_from_slice(&chunk);
        }
        Some(RequestEnd::Answer {
            status: received.head.status,
            body: String::from_utf8_lossy(&body).into_owned(),
            close: !received.reusable,
        })
    };
    match tokio::time::timeout(REQUEST_TIMEOUT, read_answer).await {
        Ok(Some(end)) => end,
        Ok(None) => RequestEnd::Disconnected,
        Err(_) => RequestEnd::TimedOut,
    }
}

/// Sends one GET and returns the status of its answer, if any.
pub(crate) async fn status(addr: net::SocketAddr, path: &str, id: &str) -> Option<u16> {
    let mut wire = socket::Wire::connect(addr, CONNECT_TIMEOUT).await.ok()?;
    match exchange(&mut wire, "GET", path, id).await {
        RequestEnd::Answer { status, .. } => Some(status),
        RequestEnd::Disconnected | RequestEnd::TimedOut => None,
    }
}

/// Sends requests until the scene ends.
pub(crate) async fn run_caller(scene: rc::Rc<Scene>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sequence = 0;
    loop {
        let vm = &scene.vms[rng.random_range(0..scene.vms.len())];
        let Ok(mut wire) = socket::Wire::connect(vm.options.ports.front, CONNECT_TIMEOUT).await
        else {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        };
        for _ in 0..rng.random_range(1..12) {
            sequence += 1;
            let id = format!("{seed}-{sequence}");
            let is_booking = rng.random_bool(0.4);
            if !send_and_check(&scene, vm, &mut wire, &id, is_booking).await {
                break;
            }
            let pause = rng.random_range(5..60);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
    }
}

/// Sends reads to the split route at one VM until the scene ends.
pub(crate) async fn read_split_route(scene: rc::Rc<Scene>, n: usize) {
    let vm = &scene.vms[n];
    let mut sequence = 0;
    loop {
        let Ok(mut wire) = socket::Wire::connect(vm.options.ports.front, CONNECT_TIMEOUT).await
        else {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        };
        let mut reusable = true;
        while reusable {
            sequence += 1;
            let id = format!("split-{n}-{}", rand::random::<u64>());
            // Its length selects the object.
            let path = format!("{}{}", shares::ROUTE, "x".repeat(sequence % 40));
            let end = exchange(&mut wire, "GET", &path, &id).await;
            reusable = matches!(end, RequestEnd::Answer { close: false, .. });
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }
}

/// Sends one request and checks the result. Returns whether the connection can be reused.
async fn send_and_check(
    scene: &Scene,
    vm: &Vm,
    wire: &mut socket::Wire,
    id: &str,
    is_booking: bool,
) -> bool {
    let started_at = time::Instant::now();
    let (method, path) = match is_booking {
        true => ("POST", format!("/book/{id}")),
        false => ("GET", format!("/read/{id}")),
    };
    scene.counts.borrow_mut().sent += 1;
    let side = cuts::side_of(scene, vm, started_at);
    let end = exchange(wire, method, &path, id).await;
    let run_count = scene.log.borrow().runs.get(id).copied().unwrap_or_default();
    if is_booking && run_count > 1 {
        scene.add_violation(format!("booking {id} ran {run_count} times"));
    }
    if side.is_some() && side == cuts::side_of(scene, vm, started_at) {
        let is_served = matches!(end, RequestEnd::Answer { status: 200, .. });
        scene.first_tries.borrow_mut().count(side, is_served);
    }
    match end {
        RequestEnd::Answer {
            status,
            body,
            close,
        } => {
            check_answer(scene, id, is_booking, status, &body, run_count);
            !close
        }
        RequestEnd::Disconnected => {
            scene.counts.borrow_mut().unknown += 1;
            let is_excused = vm.was_disturbed_since(started_at)
                || scene
                    .backend_fault
                    .get()
                    .is_some_and(|at| at.elapsed() < REQUEST_TIMEOUT * 2);
            if run_count > 0 && !is_excused {
                scene.add_violation(format!(
                    "request {id} was cut by {} though it ran",
                    vm.options.node
                ));
            }
            false
        }
        RequestEnd::TimedOut => {
            scene.counts.borrow_mut().unknown += 1;
            false
        }
    }
}

fn check_answer(
    scene: &Scene,
    id: &str,
    is_booking: bool,
    status: u16,
    body: &str,
    run_count: u32,
) {
    let mut counts = scene.counts.borrow_mut();
    match status {
        200 => {
            counts.answered += 1;
            if body != format!("answer to {id}") {
                scene.add_violation(format!("request {id} got `{body}`"));
            }
        }
        408 | 421 | 429 | 503 => {
            counts.refused += 1;
            if is_booking && run_count > 0 {
                scene.add_violation(format!("booking {id} was called not run and ran"));
            }
        }
        502 | 504 => counts.unknown += 1,
        other => scene.add_violation(format!("request {id} got status {other}")),
    }
}

/// Checks that the version in force on an entry VM never decreases between restarts.
pub(crate) async fn watch_versions(scene: rc::Rc<Scene>, n: usize) {
    let vm = &scene.vms[n];
    let (mut start_count, mut in_force) = (0, 0);
    loop {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        if start_count != vm.start_count.get() {
            (start_count, in_force) = (vm.start_count.get(), 0);
        }
        let newest = scene.version.get();
        for version in newest.saturating_sub(3).max(1)..=newest {
            let path = format!("/v{version}/x");
            let found = status(vm.options.ports.front, &path, "version").await;
            if found != Some(200) || start_count != vm.start_count.get() {
                continue;
            }
            if version < in_force {
                scene.add_violation(format!(
                    "{} went back from version {in_force} to {version}",
                    vm.options.node
                ));
            }
            in_force = in_force.max(version);
        }
    }
}
