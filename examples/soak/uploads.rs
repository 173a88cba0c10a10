//! Callers that send long bodies during planned stops: with both framings, with and without keep-alive,
//! pipelined, slowly, and with invalid bodies. Each must receive its answer soon after the body is sent
//! and the request has run.

use std::time;

use bulrushwind::platform::names::FIELDS;
use bulrushwind::transport::socket;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::scene::{self, Scene};
use super::stops::{self, Answer, Reading, ms};
use super::support::backend;

/// The time for which a caller waits beyond what its upload takes. It is far below the route's
/// time-out.
const PATIENCE: time::Duration = time::Duration::from_secs(3);

/// The limit on bodies in the VMs' configuration.
const MAX_BYTES: usize = 1 << 20;

/// What is wrong with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A chunk has no length.
    Invalid,
    /// Its chunks exceed the limit.
    TooLong,
    /// The connection ends before the body.
    Truncated,
}

/// What the backend server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reaction {
    /// Answers when it has read the body.
    Plain,
    /// Answers before it reads the body.
    Early,
    /// Sends a late answer to another request first.
    Late,
    /// Reads nothing at first, for longer than the limit on unacknowledged bytes.
    Pausing,
}

/// How long a backend server reads nothing.
const READ_PAUSE: time::Duration = time::Duration::from_millis(2800);

/// An upload.
#[derive(Debug)]
pub(crate) struct Upload {
    pub(crate) id: String,
    is_booking: bool,
    /// The time from the stop to its head.
    pub(crate) sent_after: time::Duration,
    bytes: usize,
    in_chunks: bool,
    closes: bool,
    version: &'static str,
    /// How long the request before it on the connection takes, if there is one.
    ahead: Option<time::Duration>,
    /// The parts in which it is sent, and the pause before each.
    parts: usize,
    pause: time::Duration,
    work: time::Duration,
    fault: Fault,
    reaction: Reaction,
}

fn pick<T: Copy>(rng: &mut ChaCha8Rng, of: &[T]) -> T {
    of[rng.random_range(0..of.len())]
}

impl Upload {
    /// Draws an upload that completes before the end of the grace period.
    pub(crate) fn draw(rng: &mut ChaCha8Rng, id: String) -> Self {
        let mut in_chunks = rng.random_bool(0.5);
        let fault = match rng.random_bool(0.3) {
            true => pick(rng, &[Fault::Invalid, Fault::TooLong, Fault::Truncated]),
            false => Fault::None,
        };
        in_chunks |= matches!(fault, Fault::Invalid | Fault::TooLong);
        let reaction = pick(
            rng,
            &[
                Reaction::Plain,
                Reaction::Plain,
                Reaction::Early,
                Reaction::Late,
                Reaction::Pausing,
            ],
        );
        let pauses = reaction == Reaction::Pausing;
        let is_booking = !pauses && rng.random_bool(0.3);
        let has_ahead = !is_booking && rng.random_bool(0.3);
        let is_slow = !pauses && rng.random_bool(0.4);
        Self {
            id,
            is_booking,
            sent_after: ms(rng.random_range(0..if pauses { 800 } else { 2200 })),
            bytes: match rng.random_bool(0.8) {
                true => rng.random_range(262_000..MAX_BYTES),
                false => rng.random_range(10..262_000),
            },
            in_chunks,
            closes: rng.random_bool(0.5),
            version: match !in_chunks && rng.random_bool(0.2) {
                true => "HTTP/1.0",
                false => "HTTP/1.1",
            },
            ahead: has_ahead.then(|| ms(rng.random_range(20..800))),
            parts: if is_slow { rng.random_range(2..6) } else { 1 },
            pause: ms(if is_slow {
                rng.random_range(50..300)
            } else {
                0
            }),
            work: ms(rng.random_range(10..400)),
            fault,
            reaction,
        }
    }

    /// The head, after the pipelined request before it.
    fn head(&self) -> String {
        let id = &self.id;
        let (work, timeout) = (self.work.as_millis(), scene::LONG_TIMEOUT.as_millis());
        let ahead = self.ahead.map_or_else(String::new, |work| {
            stops::Request::read(&self.ahead_id(), work).text()
        });
        let prefix = match self.is_booking {
            true => "/book/",
            false => scene::LONG_ROUTE,
        };
        let reaction = match self.reaction {
            Reaction::Plain => String::new(),
            Reaction::Early => "&early=1".to_owned(),
            Reaction::Late => "&late=1".to_owned(),
            Reaction::Pausing => format!("&pause_ms={}", READ_PAUSE.as_millis()),
        };
        let framing = match self.in_chunks {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", self.bytes),
        };
        let close = if self.closes {
            "Connection: close\r\n"
        } else {
            ""
        };
        format!(
            "{ahead}POST {prefix}{id}?work_ms={work}{reaction} {}\r\nHost: example.test\r\n{close}{}: {id}\r\n{}: {timeout}\r\n{framing}\r\n\r\n",
            self.version, FIELDS.id, FIELDS.timeout_ms,
        )
    }

    fn ahead_id(&self) -> String {
        format!("{}-ahead", self.id)
    }

    /// The body, with its fault.
    fn body(&self) -> String {
        let len = match self.fault {
            Fault::TooLong => MAX_BYTES + 100_000,
            _ => self.bytes,
        };
        let mut out = "y".repeat(len);
        if self.in_chunks {
            let chunks = out.as_bytes().chunks(20_000);
            let chunks = chunks.map(|c| format!("{:x}\r\n{}\r\n", c.len(), "y".repeat(c.len())));
            out = chunks.collect::<String>() + "0\r\n\r\n";
        }
        match self.fault {
            Fault::None | Fault::TooLong => {}
            Fault::Invalid => out.replace_range(out.len() - 5.., "no chunk\r\n"),
            Fault::Truncated => out.truncate(out.len() / 2),
        }
        out
    }

    /// Sends it on a connection and checks what the caller receives.
    pub(crate) async fn run(&self, scene: &Scene, mut wire: socket::Wire) {
        if wire.send(self.head().as_bytes()).await.is_err() {
            return;
        }
        let body = self.body();
        for part in body.as_bytes().chunks(body.len().div_ceil(self.parts)) {
            tokio::time::sleep(self.pause).await;
            // The VM may have answered and closed the connection.
            if wire.send(part).await.is_err() {
                break;
            }
        }
        if self.fault == Fault::Truncated {
            wire.reset_on_close();
            drop(wire);
            tokio::time::sleep(self.work + ms(200)).await;
            return self.check_truncated(scene);
        }
        let pause = match self.reaction {
            Reaction::Pausing => READ_PAUSE,
            _ => time::Duration::ZERO,
        };
        let wait = PATIENCE + pause + self.work + self.ahead.unwrap_or_default();
        let received = tokio::time::timeout(wait, self.receive(&mut wire)).await;
        match received {
            Ok(answer) => self.check(scene, answer),
            Err(_) => self.add_violation(scene, "got no answer in time"),
        }
    }

    async fn receive(&self, wire: &mut socket::Wire) -> Answer {
        if self.ahead.is_some() {
            let started = time::Instant::now();
            stops::receive(wire, started, Reading::AtOnce).await?;
        }
        stops::receive(wire, time::Instant::now(), Reading::AtOnce).await
    }

    fn add_violation(&self, scene: &Scene, what: &str) {
        scene.add_violation(format!("upload {} {what}: {self:?}", self.id));
    }

    fn check_truncated(&self, scene: &Scene) {
        if scene.log.borrow().bodies.contains_key(&self.id) {
            self.add_violation(scene, "was truncated and arrived whole");
        }
    }

    /// Checks the answer.
    fn check(&self, scene: &Scene, answer: Answer) {
        let (has_begun, arrived) = {
            let log = scene.log.borrow();
            let has_begun = log.runs.contains_key(&self.id);
            (has_begun, log.bodies.get(&self.id).copied())
        };
        scene.counts.borrow_mut().uploads += 1;
        let is_early = self.reaction == Reaction::Early;
        let whole = (self.fault == Fault::None).then_some(self.bytes);
        if arrived.is_some() && arrived != whole {
            return self.add_violation(scene, "arrived with another length");
        }
        let is_good = match (&answer, self.fault) {
            // A body that is buffered is refused before it reaches a backend server.
            (Some((400, _)), Fault::Invalid) | (Some((413, _)), Fault::TooLong) => true,
            (Some((200, body)), fault) => {
                let is_answered = fault == Fault::None && arrived == whole || is_early;
                is_answered && *body == backend::answer_to(&self.id, None)
            }
            (Some((429 | 503, _)), _) => !(self.is_booking && has_begun),
            (None, _) => !has_begun,
            _ => false,
        };
        if !is_good {
            let what = match answer {
                Some((status, body)) => format!("got {status} with {} bytes", body.len()),
                None => "got no answer".to_owned(),
            };
            return self.add_violation(scene, &what);
        }
        if matches!(answer, Some((200 | 400 | 413, _))) {
            scene.counts.borrow_mut().uploads_answered += 1;
        }
    }
}
