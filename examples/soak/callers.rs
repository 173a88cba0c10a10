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

/// Time that a caller waits for a response, and for a connection.
const PATIENCE: time::Duration = time::Duration::from_millis(3000);
const CONNECT: time::Duration = time::Duration::from_millis(500);

/// How a request ended.
enum End {
    Answer {
        status: u16,
        body: String,
        close: bool,
    },
    /// The connection closed before the answer was complete.
    Cut,
    /// No complete answer arrived before the timeout.
    Nothing,
}

async fn exchange(wire: &mut socket::Wire, method: &str, path: &str, id: &str) -> End {
    let ms = PATIENCE.as_millis();
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
    let whole = async {
        let received = upstream::exchange(wire, head.as_bytes(), &mut payload, tag)
            .await
            .ok()?;
        let mut reader = http1::BodyReader::new(received.head.framing);
        let mut body = BytesMut::new();
        while let Some(piece) = upstream::next_piece(wire, &mut reader).await.ok()? {
            body.extend_from_slice(&piece);
        }
        Some(End::Answer {
            status: received.head.status,
            body: String::from_utf8_lossy(&body).into_owned(),
            close: !received.reusable,
        })
    };
    match tokio::time::timeout(PATIENCE, whole).await {
        Ok(Some(end)) => end,
        Ok(None) => End::Cut,
        Err(_) => End::Nothing,
    }
}

/// Sends one GET and returns the status of its answer, if any.
pub(crate) async fn status(addr: net::SocketAddr, path: &str, id: &str) -> Option<u16> {
    let mut wire = socket::Wire::connect(addr, CONNECT).await.ok()?;
    match exchange(&mut wire, "GET", path, id).await {
        End::Answer { status, .. } => Some(status),
        End::Cut | End::Nothing => None,
    }
}

/// Sends requests until the scene ends.
pub(crate) async fn call(scene: rc::Rc<Scene>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0;
    loop {
        let vm = &scene.vms[rng.random_range(0..scene.vms.len())];
        let Ok(mut wire) = socket::Wire::connect(vm.start.ports.front, CONNECT).await else {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        };
        for _ in 0..rng.random_range(1..12) {
            number += 1;
            let id = format!("{seed}-{number}");
            let books = rng.random_bool(0.4);
            if !one(&scene, vm, &mut wire, &id, books).await {
                break;
            }
            let pause = rng.random_range(5..60);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
    }
}

/// Sends one request and checks the result. Returns whether the connection can be reused.
async fn one(scene: &Scene, vm: &Vm, wire: &mut socket::Wire, id: &str, books: bool) -> bool {
    let begun = time::Instant::now();
    let (method, path) = match books {
        true => ("POST", format!("/book/{id}")),
        false => ("GET", format!("/read/{id}")),
    };
    scene.counts.borrow_mut().sent += 1;
    let end = exchange(wire, method, &path, id).await;
    let ran = scene.log.borrow().runs.get(id).copied().unwrap_or_default();
    if books && ran > 1 {
        scene.breaks(format!("booking {id} ran {ran} times"));
    }
    match end {
        End::Answer {
            status,
            body,
            close,
        } => {
            check_answer(scene, id, books, status, &body, ran);
            !close
        }
        End::Cut => {
            scene.counts.borrow_mut().unknown += 1;
            let excused = vm.is_rough_since(begun)
                || scene
                    .backend_fault
                    .get()
                    .is_some_and(|at| at.elapsed() < PATIENCE * 2);
            if ran > 0 && !excused {
                scene.breaks(format!(
                    "request {id} was cut by {} though it ran",
                    vm.start.node
                ));
            }
            false
        }
        End::Nothing => {
            scene.counts.borrow_mut().unknown += 1;
            false
        }
    }
}

fn check_answer(scene: &Scene, id: &str, books: bool, status: u16, body: &str, ran: u32) {
    let mut counts = scene.counts.borrow_mut();
    match status {
        200 => {
            counts.answered += 1;
            if body != format!("answer to {id}") {
                scene.breaks(format!("request {id} got `{body}`"));
            }
        }
        408 | 421 | 429 | 503 => {
            counts.refused += 1;
            if books && ran > 0 {
                scene.breaks(format!("booking {id} was called not run and ran"));
            }
        }
        502 | 504 => counts.unknown += 1,
        other => scene.breaks(format!("request {id} got status {other}")),
    }
}

/// Checks that the version in force on an entry VM never decreases between restarts.
pub(crate) async fn watch_versions(scene: rc::Rc<Scene>, n: usize) {
    let vm = &scene.vms[n];
    let (mut epoch, mut in_force) = (0, 0);
    loop {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        if epoch != vm.epoch.get() {
            (epoch, in_force) = (vm.epoch.get(), 0);
        }
        let newest = scene.version.get();
        for version in newest.saturating_sub(3).max(1)..=newest {
            let path = format!("/v{version}/x");
            let found = status(vm.start.ports.front, &path, "version").await;
            if found != Some(200) || epoch != vm.epoch.get() {
                continue;
            }
            if version < in_force {
                scene.breaks(format!(
                    "{} went back from version {in_force} to {version}",
                    vm.start.node
                ));
            }
            in_force = in_force.max(version);
        }
    }
}
