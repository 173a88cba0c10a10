//! Writes answers to a caller, in the order of the requests.

use std::io;
use std::pin;
use std::time;

use bytes::BytesMut;
use metrics::counter;
use tokio::sync::mpsc;

use super::answer::{self, Answer, Body};
use super::{Connection, Handler, Reason};
use crate::metrics as known;
use crate::protocol::http1;
use crate::transport::{socket, upstream};

/// Bodies of this size are copied behind their heads, which takes less than a write of two buffers.
const MAX_COPIED_BYTES: usize = 4 << 10;

impl<H: Handler> Connection<H> {
    /// Writes the first pending request's answer. Returns whether the connection ends after it.
    pub(super) async fn write_first(&mut self, answer: Answer) -> io::Result<bool> {
        let Some(done) = self.inbound.pending.pop_front() else {
            return Ok(true);
        };
        let is_last = self.inbound.pending.is_empty() && self.inbound.input.is_between_requests();
        let stopping = self.stop.borrow().is_stopping() && is_last;
        let reason = match (answer.close, done.keep_alive) {
            // Without the body, the start of the next request is unknown.
            _ if self.inbound.may_omit_body() => Some(Reason::BodyOmitted),
            (true, _) => Some(Reason::AnswerCloses),
            (false, false) => Some(Reason::CallerCloses),
            (false, true) => stopping.then_some(Reason::PlannedStop),
        };
        // Later requests of the connection already run; closing now would abort them.
        if let Some(reason) = reason {
            self.inbound.close(reason);
        }
        let close = self.inbound.closed && self.inbound.pending.is_empty();
        let ends_at_close = self.write_answer(answer, close, done.framing).await?;
        self.last_active = time::Instant::now();
        Ok(close || ends_at_close)
    }

    /// Writes an answer. Returns whether the connection must be closed to mark the body's end.
    pub(super) async fn write_answer(
        &mut self,
        answer: Answer,
        close: bool,
        framing: answer::AnswerFraming,
    ) -> io::Result<bool> {
        let unknown_length = answer.has_unknown_length();
        let chunked = unknown_length && framing.chunks;
        let ends_at_close = unknown_length && !framing.chunks;
        let mut out = BytesMut::with_capacity(answer.fields.len() + 256);
        answer::put_head(&mut out, &answer, close, framing);
        match answer.body {
            Body::Whole(body) if body.len() <= MAX_COPIED_BYTES => {
                out.extend_from_slice(&body);
                self.send(&out, &[]).await?;
            }
            Body::Whole(body) => self.send(&out, &body).await?,
            Body::Pieces { rx, .. } => {
                let written = self.write_pieces(out, rx, chunked).await;
                self.truncated = ends_at_close && written.is_err();
                written?;
            }
        }
        Ok(ends_at_close)
    }

    /// Streams an answer. A truncated answer must not look complete, so the connection is dropped
    /// before the last chunk or before the stated length.
    async fn write_pieces(
        &mut self,
        mut out: BytesMut,
        mut rx: mpsc::Receiver<upstream::Piece>,
        chunked: bool,
    ) -> io::Result<()> {
        let limits = self.handler.limits();
        loop {
            let piece = tokio::select! {
                biased;
                piece = rx.recv() => piece,
                err = self.inbound.read_on(&limits) => return Err(err),
            };
            match piece {
                None => return Err(io::ErrorKind::ConnectionAborted.into()),
                Some(upstream::Piece::Data(data)) if chunked => http1::put_chunk(&mut out, &data),
                Some(upstream::Piece::Data(data)) => out.extend_from_slice(&data),
                Some(upstream::Piece::End) => {
                    if chunked {
                        out.extend_from_slice(http1::LAST_CHUNK);
                    }
                    return self.send(&out, &[]).await;
                }
            }
            self.send(&out, &[]).await?;
            out.clear();
        }
    }

    /// Writes two buffers, one behind the other.
    async fn send(&mut self, first: &[u8], second: &[u8]) -> io::Result<()> {
        let written = match second.is_empty() {
            true => self.wr.try_write(first),
            false => {
                let parts = [io::IoSlice::new(first), io::IoSlice::new(second)];
                self.wr.try_write_vectored(&parts)
            }
        };
        let written = match written {
            Ok(n) if n == first.len() + second.len() => return Ok(()),
            Ok(n) => n,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => 0,
            Err(err) => return Err(err),
        };
        let started = time::Instant::now();
        let limits = self.handler.limits();
        let slot = self.slot.clone();
        slot.await_progress(started);
        slot.set_held(self.inbound.input.held_bytes() + first.len() + second.len());
        let (first, second) = (
            &first[written.min(first.len())..],
            &second[written.saturating_sub(first.len())..],
        );
        let wr = &mut self.wr;
        let taken = |n| slot.progress(time::Instant::now(), n);
        let mut sent = pin::pin!(async {
            socket::write_all(wr, first, taken).await?;
            socket::write_all(wr, second, taken).await
        });
        let ended = async {
            tokio::select! {
                biased;
                sent = &mut sent => sent,
                // A caller that closed its sending side may still read.
                _ = self.inbound.read_on(&limits) => sent.await,
            }
        };
        let sent = tokio::select! {
            biased;
            sent = ended => sent,
            () = slot.wait_shed() => {
                counter!(known::SHED_CONNECTIONS, "what" => "answer").increment(1);
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        };
        slot.end_wait();
        let now = time::Instant::now();
        let blocked = now.duration_since(started);
        let blocked = blocked.saturating_sub(self.handler.read_lag(now));
        metrics::histogram!(known::WRITE_BLOCKED).record(blocked.as_secs_f64());
        sent
    }
}
