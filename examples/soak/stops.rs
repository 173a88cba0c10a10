//! Planned stops that overlap, while callers pipeline requests of mixed lengths, read long answers
//! slowly, or pause while they read. All other parts are calm, so each caller has to get its answers.

use std::net;
use std::rc;
use std::time;

use bulrushwind::platform::names::FIELDS;
use bulrushwind::protocol::http1;
use bulrushwind::transport::socket;
use bytes::BytesMut;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task;

use super::scene::{self, Scene};
use super::support::{self, backend};
use super::{callers, faults, uploads};

/// The grace period of the VMs' settings, and the part of it after which a request that still runs
/// may be ended.
const GRACE: time::Duration = time::Duration::from_secs(6);
const UNDISTURBED: time::Duration = GRACE.saturating_sub(time::Duration::from_secs(1));

/// Callers at each VM, and those that send long bodies.
const CALLERS: usize = 6;
const UPLOADERS: usize = 6;

pub(crate) fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

/// What callers do.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// They pipeline short requests behind one that takes longest.
    LongFirst,
    /// They read long answers and short ones slowly.
    SlowReader,
    /// They do not read a long answer at first, and have sent another request behind it.
    Pausing,
    /// They book.
    Booking,
}

const KINDS: [Kind; 4] = [
    Kind::LongFirst,
    Kind::SlowReader,
    Kind::Pausing,
    Kind::Booking,
];

/// How a caller reads its answers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reading {
    AtOnce,
    /// At an even pace, in bytes a second.
    Steadily(usize),
    /// After a pause.
    After(time::Duration),
}

/// A request and the answer that its backend server gives.
#[derive(Debug)]
pub(crate) struct Request {
    id: String,
    is_booking: bool,
    work: time::Duration,
    bytes: usize,
}

impl Request {
    /// A read with a short answer.
    pub(crate) fn read(id: &str, work: time::Duration) -> Self {
        Self {
            id: id.to_owned(),
            is_booking: false,
            work,
            bytes: 100,
        }
    }

    pub(crate) fn text(&self) -> String {
        let Self {
            id,
            is_booking,
            work,
            bytes,
        } = self;
        let (method, prefix) = match is_booking {
            true => ("POST", "/book/"),
            false => ("GET", scene::LONG_ROUTE),
        };
        let (work, timeout) = (work.as_millis(), scene::LONG_TIMEOUT.as_millis());
        format!(
            "{method} {prefix}{id}?work_ms={work}&bytes={bytes} HTTP/1.1\r\nHost: example.test\r\n{}: {id}\r\n{}: {timeout}\r\nCookie: {}={id}\r\nContent-Length: 0\r\n\r\n",
            FIELDS.id, FIELDS.timeout_ms, FIELDS.object_cookie,
        )
    }
}

/// What one caller does.
#[derive(Debug)]
struct Plan {
    /// The time from the stop to its requests, which are sent together.
    sent_after: time::Duration,
    requests: Vec<Request>,
    reading: Reading,
}

impl Plan {
    /// Draws what a caller does. All answers can be read before the stop has to end, but for that of a
    /// request that outlasts it.
    fn draw(rng: &mut ChaCha8Rng, kind: Kind, caller: &str) -> Self {
        let request = |n: usize, work: u64, bytes: usize| Request {
            bytes,
            ..Request::read(&format!("{caller}-{n}"), ms(work))
        };
        match kind {
            Kind::LongFirst => {
                let mut requests = vec![request(0, rng.random_range(3000..5500), 100)];
                for n in 1..rng.random_range(2..5) {
                    let (work, bytes) = (rng.random_range(20..800), rng.random_range(20..20_000));
                    requests.push(request(n, work, bytes));
                }
                Self {
                    sent_after: ms(rng.random_range(0..2300)),
                    requests,
                    reading: Reading::AtOnce,
                }
            }
            Kind::SlowReader => {
                let mut left = 600_000;
                let requests = (0..rng.random_range(1..4))
                    .map(|n| {
                        let bytes = rng.random_range(0..left);
                        left -= bytes;
                        request(n, rng.random_range(20..300), bytes)
                    })
                    .collect();
                Self {
                    sent_after: ms(rng.random_range(0..2300)),
                    requests,
                    reading: Reading::Steadily(rng.random_range(300_000..600_000)),
                }
            }
            Kind::Pausing => Self {
                sent_after: ms(rng.random_range(0..1800)),
                requests: vec![
                    request(0, 50, rng.random_range(300_000..600_000)),
                    request(1, 20, 100),
                ],
                reading: Reading::After(ms(rng.random_range(500..2700))),
            },
            Kind::Booking => Self {
                sent_after: ms(rng.random_range(0..2300)),
                requests: vec![Request {
                    is_booking: true,
                    ..request(0, rng.random_range(20..2500), 5_000)
                }],
                reading: Reading::AtOnce,
            },
        }
    }
}

/// An answer; `None` if the connection ended before it was whole.
pub(crate) type Answer = Option<(u16, BytesMut)>;

pub(crate) async fn receive(
    wire: &mut socket::Wire,
    started: time::Instant,
    reading: Reading,
) -> Answer {
    let mut received = 0;
    let head = loop {
        if let Some(head) = http1::ResponseHead::take(&mut wire.buf, 16 << 10, false).ok()? {
            break head;
        }
        received += read(wire).await?;
    };
    let mut reader = http1::BodyReader::new(head.framing);
    let mut body = BytesMut::new();
    while !reader.is_done() {
        match reader.next(&mut wire.buf).ok()? {
            Some(piece) => body.extend_from_slice(&piece),
            None if reader.is_done() => break,
            None => {
                if let Reading::Steadily(pace) = reading {
                    let due = received as f64 / pace as f64;
                    let due = started + time::Duration::from_secs_f64(due);
                    tokio::time::sleep_until(due.into()).await;
                }
                received += read(wire).await?;
            }
        }
    }
    Some((head.status, body))
}

async fn read(wire: &mut socket::Wire) -> Option<usize> {
    wire.fill().await.ok().filter(|n| *n > 0)
}

/// Stops some VMs, one a moment after the other, and checks what the callers of these and of one
/// other VM get.
pub(crate) async fn check(
    scene: &rc::Rc<Scene>,
    rng: &mut ChaCha8Rng,
    upload_rng: &mut ChaCha8Rng,
) {
    let stopped = rng.random_range(1..scene.vms.len() - 1);
    let first = rng.random_range(0..scene.vms.len());
    scene.check_all_serve().await;
    let mut tasks = Vec::new();
    for n in 0..=stopped {
        let vm = (first + n) % scene.vms.len();
        let stops_at = time::Instant::now() + ms(1000 + rng.random_range(0..2000));
        // Callers of one kind could hide what a stop does to another, so some VMs have one kind alone.
        let only = KINDS.get(rng.random_range(0..KINDS.len() + 1)).copied();
        for caller in 0..CALLERS {
            let kind = only.unwrap_or(KINDS[rng.random_range(0..KINDS.len())]);
            let plan = Plan::draw(rng, kind, &format!("stop-{vm}-{caller}"));
            let scene = scene.clone();
            tasks.push(task::spawn_local(async move {
                run_caller(&scene, vm, stops_at, &plan).await;
            }));
        }
        for caller in 0..UPLOADERS {
            let upload = uploads::Upload::draw(upload_rng, format!("upload-{vm}-{caller}"));
            let scene = scene.clone();
            tasks.push(task::spawn_local(async move {
                run_upload(&scene, vm, stops_at, &upload).await;
            }));
        }
        if n < stopped {
            let scene = scene.clone();
            tasks.push(task::spawn_local(async move {
                tokio::time::sleep_until(stops_at.into()).await;
                faults::stop(scene, vm).await;
            }));
        }
    }
    for task in tasks {
        if let Err(err) = task.await {
            scene.add_violation(format!("a planned stop could not be played: {err}"));
        }
    }
    scene.check_all_serve().await;
}

/// A connection that has served a request before the stop.
async fn kept_connection(
    addr: net::SocketAddr,
    id: &str,
    stops_at: time::Instant,
) -> Option<socket::Wire> {
    while time::Instant::now() < stops_at {
        let mut wire = support::connect_slow(addr).await;
        if callers::is_served(&mut wire, &format!("{id}-kept")).await {
            return Some(wire);
        }
        tokio::time::sleep(ms(50)).await;
    }
    None
}

async fn run_caller(scene: &Scene, vm: usize, stops_at: time::Instant, plan: &Plan) {
    let addr = scene.vms[vm].options.ports.front;
    let id = &plan.requests[0].id;
    let Some(mut wire) = kept_connection(addr, id, stops_at).await else {
        scene.add_violation(format!("no request before {id} was served"));
        return;
    };
    let sent_at = stops_at + plan.sent_after;
    tokio::time::sleep_until(sent_at.into()).await;
    let requests: String = plan.requests.iter().map(Request::text).collect();
    let sent = wire.send(requests.as_bytes()).await;
    if let Reading::After(pause) = plan.reading {
        tokio::time::sleep(pause).await;
    }
    let started = time::Instant::now();
    for req in &plan.requests {
        let answer = match sent {
            Ok(()) => receive(&mut wire, started, plan.reading).await,
            Err(_) => None,
        };
        let has_ended = answer.is_none();
        check_answer(scene, req, plan, answer);
        if has_ended {
            return;
        }
    }
}

async fn run_upload(scene: &Scene, vm: usize, stops_at: time::Instant, upload: &uploads::Upload) {
    let addr = scene.vms[vm].options.ports.front;
    let Some(wire) = kept_connection(addr, &upload.id, stops_at).await else {
        scene.add_violation(format!("no request before {} was served", upload.id));
        return;
    };
    let sent_at = stops_at + upload.sent_after;
    tokio::time::sleep_until(sent_at.into()).await;
    upload.run(scene, wire).await;
}

/// Checks what a caller got for a request.
fn check_answer(scene: &Scene, req: &Request, plan: &Plan, answer: Answer) {
    let runs = scene.log.borrow().runs.get(&req.id).copied();
    let has_run = runs.unwrap_or_default() > 0;
    let outlasts = plan.sent_after + req.work >= UNDISTURBED;
    let id = &req.id;
    let mut counts = scene.counts.borrow_mut();
    counts.stop_requests += 1;
    let wrong = match answer {
        Some((200, body)) if body == backend::answer_to(id, Some(req.bytes)) => {
            counts.stop_answered += 1;
            None
        }
        Some((200, body)) => Some(format!("got {} wrong bytes", body.len())),
        Some((429 | 503, _)) if req.is_booking && has_run => Some("was called not run".to_owned()),
        Some((429 | 503, _)) => None,
        Some((502 | 504, _)) if outlasts => None,
        Some((status, _)) => Some(format!("got status {status}")),
        None if !has_run => None,
        None => Some("got no answer".to_owned()),
    };
    if let Some(what) = wrong {
        scene.add_violation(format!("request {id} {what} in a planned stop: {plan:?}"));
    }
}
