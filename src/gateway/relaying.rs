//! Relays long answers to callers while they are received.

use std::time;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::connecting::Connection;
use super::{Gateway, attempt, placement};
use crate::protocol::http1;
use crate::transport::{callers, memory, upstream};

/// The longest answer that is relayed. The deadline ends an answer without end before that, unless it is
/// far away and the links are fast.
pub(super) const MAX_ANSWER_BYTES: u64 = 1 << 30;

/// Pieces of a long answer that may wait for a slow caller.
const RELAY_QUEUE_PIECES: usize = 8;

/// How long neither the caller may read the answer nor the backend server the request's body, until the
/// rest of the body is discarded. Otherwise a caller that does not read before it has sent the body, and a
/// backend server that does not need it, would block each other.
const MAX_BLOCKED: time::Duration = time::Duration::from_millis(800);

const CALLER_LEFT: &str = "caller left";

impl Gateway {
    /// Streams a long answer to the caller; the reservation is held until its end. Nothing more is read of
    /// the answer once the request's time is up, whether the backend server sends nothing or without end.
    pub(super) fn relay(
        &self,
        job: &attempt::Job,
        connection: Connection,
        head: http1::ResponseHead,
        reader: http1::BodyReader,
        body: Bytes,
        reservation: placement::Reservation,
    ) -> attempt::Outcome {
        job.caller.relayed.set(true);
        let length = head.framing.length();
        let (tx, rx) = mpsc::channel(RELAY_QUEUE_PIECES);
        let (cx, id) = (self.clone(), job.id.clone());
        let end = self.instant(job.ends_at());
        let account = self.memory.clone();
        account.spawn(memory::Owner::Answers, async move {
            let mut relay = Relay {
                connection,
                reader,
                tx,
                memory: cx.memory.clone(),
            };
            let ended = tokio::time::timeout_at(end, relay.run(body)).await;
            let cut = ended.map_or(Some("time is up"), Result::err);
            if let Some(why) = cut {
                cx.record_cut_answer(&id, &reservation.run.id, why, relay.reader.bytes_read());
            }
        });
        let answer = callers::Answer {
            status: head.status,
            fields: attempt::fields_for_caller(&head.fields),
            body: callers::Body::Pieces { length, rx },
            close: false,
        };
        attempt::Outcome::Answer {
            answer,
            failed: false,
        }
    }
}

/// A long answer on its way to the caller. Dropping it closes the backend server's connection.
struct Relay {
    connection: Connection,
    reader: http1::BodyReader,
    tx: mpsc::Sender<upstream::Piece>,
    memory: memory::Account,
}

impl Relay {
    /// Relays the body from its first piece. A truncated answer gets no `End`, so its caller's connection is
    /// dropped too. An error is the reason, as a log and metric value.
    async fn run(&mut self, first: Bytes) -> Result<(), &'static str> {
        let mut next = Some(first);
        while let Some(piece) = next {
            self.send(upstream::Piece::Data(piece)).await?;
            let received = tokio::select! {
                received = upstream::next_piece(&mut self.connection.wire, &mut self.reader) => received,
                () = self.tx.closed() => return Err(CALLER_LEFT),
            };
            next = received
                .map_err(|failure| attempt::Outcome::Unknown(failure).as_str())?
                .map(|piece| self.memory.guard(memory::Owner::Answers, piece));
            if self.reader.bytes_read() > MAX_ANSWER_BYTES {
                return Err("too long");
            }
        }
        self.send(upstream::Piece::End).await
    }

    /// Queues a piece for the caller. Meanwhile sends the rest of the request's body.
    async fn send(&mut self, piece: upstream::Piece) -> Result<(), &'static str> {
        let wire = &mut self.connection.wire;
        let permit = tokio::select! {
            biased;
            permit = self.tx.reserve() => permit,
            () = upstream::send_until_blocked(wire, MAX_BLOCKED) => {
                upstream::discard_rest(wire);
                self.tx.reserve().await
            }
        };
        permit.map_err(|_| CALLER_LEFT)?.send(piece);
        Ok(())
    }
}
