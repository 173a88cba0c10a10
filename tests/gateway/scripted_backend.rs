//! A backend server whose reactions to requests follow a script.

use std::cell;
use std::future;
use std::rc;
use std::time;

use bulrushwind::protocol::http1;
use bulrushwind::transport::{descriptors, socket, upstream};
use tokio::task;

use super::harness::{Behavior, Behaviors, NAMES, Script, Seen};
use super::support::cut;

/// A scripted reaction of a backend server to a request.
#[derive(Clone, Debug)]
pub(crate) enum Reaction {
    /// Answers with this body.
    Answer(&'static str),
    /// Answers with this body after another request has started.
    AfterNext(&'static str),
    /// Reports that it did not run the request.
    Shed,
    /// Reports so after another request has started.
    ShedAfterNext,
    /// Answers with a server error.
    Fail,
    /// Runs the request and closes without an answer.
    Lose,
    /// Sends less than the stated length.
    Truncate,
    /// Sends a body without a length and closes in order.
    Unframed(&'static str),
    /// Sends a body without a length and resets the connection.
    UnframedReset,
    /// Sends an answer to another request first, then its own.
    StrayFirst(&'static str),
    /// The same, with the other answer before it reads the body.
    StrayEarly(&'static str),
    /// Reads nothing of the body for this long, then all of it, and answers with this body.
    Pause(time::Duration, &'static str),
    /// Answers with this body, then drops all incoming packets.
    AnswerAndVanish(&'static str),
    /// Reads nothing of the body for this long, then drops all incoming packets.
    Vanish(time::Duration),
    /// Sends bytes that are not an HTTP answer.
    Garbage,
    /// Sends this status with these lines behind it, and keeps the connection open.
    Status(&'static str, &'static str),
    /// Answers with an unsigned success.
    Unsigned,
    /// Answers without reading the body.
    Early(&'static str),
    /// Answers with this many bytes and never reads the body.
    EarlyLong(usize),
    /// Answers with the body of the request, while it reads it.
    Echo,
    /// Answers in chunks.
    Chunks(Vec<&'static str>),
    /// Answers with this many bytes.
    Long(usize),
    /// Never answers.
    Hang,
    /// Closes the connection, and refuses further ones.
    Crash,
    /// Sends this after the HTTP version, and then these bytes again and again until the gateway closes
    /// the connection.
    Endless(&'static str, &'static str),
    /// Sends this many bytes of a longer answer and closes.
    BreakOff(usize),
    /// Sends this many bytes of a longer answer and falls silent.
    Silent(usize),
}

/// One connection to a backend server.
pub(crate) struct Backend {
    pub(crate) name: String,
    pub(crate) seen: rc::Rc<cell::RefCell<Seen>>,
    pub(crate) script: Script,
    pub(crate) behaviors: Behaviors,
    pub(crate) started: rc::Rc<tokio::sync::Notify>,
    pub(crate) crashed: rc::Rc<tokio::sync::Notify>,
    pub(crate) vanished: rc::Rc<tokio::sync::Notify>,
}

impl Backend {
    fn behavior(&self) -> Behavior {
        let behavior = self.behaviors.borrow().get(&self.name).cloned();
        behavior.unwrap_or_default()
    }

    pub(crate) async fn serve(self, stream: tokio::net::TcpStream) {
        let held = descriptors::Held::new(descriptors::Use::Callers);
        let socket = socket2::SockRef::from(&stream).try_clone().unwrap();
        let mut wire = socket::Wire::new(stream, held);
        while let Some(head) = self.head(&mut wire).await {
            let act = match self.behavior().sheds {
                true => Some(Reaction::Shed),
                false => self.script.borrow_mut().pop_front(),
            };
            let act = act.unwrap_or(Reaction::Answer("ok"));
            let vanishes = matches!(act, Reaction::Vanish(_) | Reaction::AnswerAndVanish(_));
            match act {
                Reaction::Vanish(after) => tokio::time::sleep(after).await,
                act => {
                    if !self.act(&mut wire, &head, act).await {
                        return;
                    }
                }
            }
            if vanishes {
                cut::drop_packets(&socket);
                self.vanished.notify_one();
                return future::pending().await;
            }
        }
    }

    async fn head(&self, wire: &mut socket::Wire) -> Option<http1::RequestHead> {
        loop {
            if let Some(head) = http1::RequestHead::take(&mut wire.buf, 64 << 10).unwrap() {
                let mut seen = self.seen.borrow_mut();
                seen.arrived += 1;
                *seen.arrived_at.entry(self.name.clone()).or_default() += 1;
                seen.fields = head
                    .fields
                    .iter()
                    .map(|(n, v)| {
                        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
                        (text(n).to_ascii_lowercase(), text(v))
                    })
                    .collect();
                return Some(head);
            }
            if wire.fill().await.ok()? == 0 {
                return None;
            }
        }
    }

    async fn read_body(&self, wire: &mut socket::Wire, head: &http1::RequestHead) -> Option<usize> {
        let mut reader = http1::BodyReader::new(head.framing);
        let mut len = 0;
        while let Some(piece) = upstream::next_piece(wire, &mut reader).await.ok()? {
            len += piece.len();
        }
        self.seen.borrow_mut().bodies.push(len);
        Some(len)
    }

    /// Handles one request. Returns whether the connection stays open.
    async fn act(&self, wire: &mut socket::Wire, head: &http1::RequestHead, act: Reaction) -> bool {
        const STRAY: &str =
            "HTTP/1.1 200 OK\r\nx-id: other\r\nx-proof: p\r\nContent-Length: 5\r\n\r\nwrong";
        let id = head.fields.text(NAMES.id).unwrap_or_default().to_owned();
        if matches!(act, Reaction::StrayEarly(_)) && wire.send(STRAY.as_bytes()).await.is_err() {
            return false;
        }
        if let Reaction::Pause(pause, _) = act {
            tokio::time::sleep(pause).await;
        }
        let reads_body = !matches!(
            act,
            Reaction::Early(_) | Reaction::EarlyLong(_) | Reaction::Echo
        );
        if reads_body && self.read_body(wire, head).await.is_none() {
            return false;
        }
        if !matches!(act, Reaction::Shed | Reaction::ShedAfterNext) {
            self.seen
                .borrow_mut()
                .ran
                .push((id.clone(), self.name.clone()));
        }
        self.started.notify_waiters();
        let extra = self.behavior().fields;
        let head_of = |status: &str, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\nx-id: {id}\r\nx-proof: {}\r\n{extra}{more}\r\n",
                self.name
            )
        };
        let shed = format!("HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n{extra}Content-Length: 0\r\n\r\n");
        let whole =
            |body: &str| head_of("200 OK", &format!("Content-Length: {}\r\n", body.len())) + body;
        let (out, goes_on) = match act {
            Reaction::Answer(body) | Reaction::AnswerAndVanish(body) => (whole(body), true),
            Reaction::AfterNext(body) => {
                self.started.notified().await;
                (whole(body), true)
            }
            Reaction::ShedAfterNext => {
                self.started.notified().await;
                (shed, true)
            }
            Reaction::Shed => (shed, true),
            Reaction::Fail => (head_of("500 Broken", "Content-Length: 3\r\n") + "bad", true),
            Reaction::Lose => (String::new(), false),
            Reaction::Crash => {
                self.crashed.notify_one();
                return false;
            }
            Reaction::Truncate => (
                head_of("200 OK", "Content-Length: 100\r\n") + "short",
                false,
            ),
            Reaction::Unframed(body) => (head_of("200 OK", "Connection: close\r\n") + body, false),
            Reaction::UnframedReset => {
                let out = head_of("200 OK", "Connection: close\r\n") + "some";
                wire.send(out.as_bytes()).await.unwrap();
                wire.reset_on_close();
                return false;
            }
            Reaction::StrayFirst(body) => (STRAY.to_owned() + &whole(body), true),
            Reaction::StrayEarly(body) | Reaction::Pause(_, body) => (whole(body), true),
            Reaction::Status(status, rest) => {
                let own = match rest.contains("x-id") {
                    true => String::new(),
                    false => format!("x-id: {id}\r\n"),
                };
                let out = format!("HTTP/1.1 {status} X\r\nx-proof: p\r\n{own}{rest}");
                (out, true)
            }
            Reaction::Garbage => ("\u{1}\u{2} no answer\r\n\r\n".to_owned(), false),
            Reaction::Unsigned => (
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned(),
                true,
            ),
            Reaction::Early(body) => (whole(body), true),
            Reaction::EarlyLong(n) => {
                wire.send(whole(&"x".repeat(n)).as_bytes()).await.unwrap();
                return future::pending().await;
            }
            Reaction::Echo => {
                let http1::Framing::Length(n) = head.framing else {
                    return false;
                };
                let head_out = head_of("200 OK", &format!("Content-Length: {n}\r\n"));
                wire.send(head_out.as_bytes()).await.unwrap();
                let mut reader = http1::BodyReader::new(head.framing);
                while let Ok(Some(piece)) = upstream::next_piece(wire, &mut reader).await {
                    wire.send(&piece).await.unwrap();
                }
                return true;
            }
            Reaction::Chunks(pieces) => {
                let mut out = head_of("200 OK", "Transfer-Encoding: chunked\r\n");
                for piece in pieces {
                    out += &format!("{:x}\r\n{piece}\r\n", piece.len());
                }
                (out + "0\r\n\r\n", true)
            }
            Reaction::Long(n) => (whole(&"x".repeat(n)), true),
            Reaction::Endless(head, repeated) => {
                let repeated = repeated.repeat(1 + 4096 / repeated.len());
                let head = format!("HTTP/1.1 {head}");
                let mut sent = wire.send(head.as_bytes()).await;
                while sent.is_ok() {
                    self.seen.borrow_mut().endless += repeated.len();
                    sent = wire.send(repeated.as_bytes()).await;
                    task::yield_now().await;
                }
                self.seen.borrow_mut().dropped += 1;
                return false;
            }
            Reaction::BreakOff(n) => {
                let head = head_of("200 OK", &format!("Content-Length: {}\r\n", n + 1));
                (head + &"x".repeat(n), false)
            }
            Reaction::Silent(n) => {
                let head = head_of("200 OK", &format!("Content-Length: {}\r\n", n + 1));
                let sent = wire.send((head + &"x".repeat(n)).as_bytes()).await;
                sent.unwrap();
                // Until the gateway closes the connection.
                let _ = wire.fill().await;
                self.seen.borrow_mut().dropped += 1;
                return false;
            }
            // Handled before the body is read.
            Reaction::Vanish(_) => return false,
            Reaction::Hang => {
                let reset = wire.fill().await.is_err();
                let mut seen = self.seen.borrow_mut();
                seen.dropped += 1;
                seen.reset += usize::from(reset);
                return false;
            }
        };
        wire.send(out.as_bytes()).await.is_ok() && goes_on
    }
}
