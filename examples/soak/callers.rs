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
        retry_after: time::Duration,
        body: String,
        close: bool,
    },
    /// The connection closed before the answer was complete.
    Disconnected,
    /// No complete answer arrived before the timeout.
    TimedOut,
}

/// A request to send.
#[derive(Clone, Copy, Debug)]
struct Request<'a> {
    method: &'a str,
    path: &'a str,
    id: &'a str,
    object: usize,
    /// The key of its customer, if it has one.
    key: Option<&'a str>,
}

impl<'a> Request<'a> {
    /// A request without a customer, whose object follows from the length of its path.
    fn new(method: &'a str, path: &'a str, id: &'a str) -> Self {
        Self {
            method,
            path,
            id,
            object: path.len() % 7,
            key: None,
        }
    }
}

async fn exchange(wire: &mut socket::Wire, req: &Request<'_>) -> RequestEnd {
    let Request {
        method,
        path,
        id,
        object,
        key,
    } = req;
    let ms = REQUEST_TIMEOUT.as_millis();
    let key = key.map_or_else(String::new, |key| format!("{}: {key}\r\n", FIELDS.key));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: example.test\r\n{}: {id}\r\n{}: {ms}\r\nCookie: {}={object}\r\n{key}Content-Length: 0\r\n\r\n",
        FIELDS.id, FIELDS.timeout_ms, FIELDS.object_cookie,
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
            retry_after: retry_after(&received.head),
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

/// The delay of a Retry-After field, at most a third of the time that callers wait.
fn retry_after(head: &http1::ResponseHead) -> time::Duration {
    let seconds = head.fields.text("Retry-After").and_then(|s| s.parse().ok());
    let delay = time::Duration::try_from_secs_f64(seconds.unwrap_or_default());
    delay.unwrap_or_default().min(REQUEST_TIMEOUT / 3)
}

/// Sends one GET and returns the status of its answer, if any.
pub(crate) async fn status(
    addr: net::SocketAddr,
    path: &str,
    id: &str,
    key: Option<&str>,
) -> Option<u16> {
    let mut wire = socket::Wire::connect(addr, CONNECT_TIMEOUT).await.ok()?;
    let req = Request {
        key,
        ..Request::new("GET", path, id)
    };
    match exchange(&mut wire, &req).await {
        RequestEnd::Answer { status, .. } => Some(status),
        RequestEnd::Disconnected | RequestEnd::TimedOut => None,
    }
}

/// Whether a read is served on a connection.
pub(crate) async fn is_served(wire: &mut socket::Wire, id: &str) -> bool {
    let path = format!("/read/{id}");
    let end = exchange(wire, &Request::new("GET", &path, id)).await;
    matches!(end, RequestEnd::Answer { status: 200, .. })
}

/// A customer's request to one VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) id: &'a str,
    pub(crate) is_booking: bool,
    pub(crate) object: usize,
    pub(crate) key: &'a str,
}

/// What became of a customer's request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Served,
    Refused { retry_after: time::Duration },
}

/// Sends a customer's request on a new connection and checks the result; `None` if it got neither
/// an answer nor a refusal.
pub(crate) async fn attempt(scene: &Scene, vm: &Vm, tried: &Attempt<'_>) -> Option<Fate> {
    let addr = vm.options.ports.front;
    let mut wire = socket::Wire::connect(addr, CONNECT_TIMEOUT).await.ok()?;
    let (method, prefix) = match tried.is_booking {
        true => ("POST", "/book/"),
        false => ("GET", "/read/"),
    };
    let path = format!("{prefix}{}", tried.id);
    let req = Request {
        object: tried.object,
        key: Some(tried.key),
        ..Request::new(method, &path, tried.id)
    };
    scene.counts.borrow_mut().sent += 1;
    let end = exchange(&mut wire, &req).await;
    let runs = &scene.log.borrow().runs;
    let run_count = runs.get(tried.id).copied().unwrap_or_default();
    if tried.is_booking && run_count > 1 {
        scene.add_violation(format!("booking {} ran {run_count} times", tried.id));
    }
    let RequestEnd::Answer {
        status,
        retry_after,
        body,
        ..
    } = end
    else {
        scene.counts.borrow_mut().unknown += 1;
        return None;
    };
    check_answer(scene, tried.id, tried.is_booking, status, &body, run_count);
    match status {
        200 => Some(Fate::Served),
        429 | 503 => Some(Fate::Refused { retry_after }),
        _ => None,
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
            let end = exchange(&mut wire, &Request::new("GET", &path, &id)).await;
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
    let end = exchange(wire, &Request::new(method, &path, id)).await;
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
            ..
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
            let found = status(vm.options.ports.front, &path, "version", None).await;
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
