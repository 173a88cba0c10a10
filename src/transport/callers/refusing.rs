//! Refuses callers' connections for which this process has no file descriptors: reads one head,
//! answers it and closes the connection.

use std::io;
use std::time;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{Accepted, EVICTED_LINGER_TIMEOUT, Handler, Refusal, answer};
use crate::decisions::descriptors;
use crate::protocol::http1;
use crate::transport::idle;

/// The buffer for a head. Most are shorter.
const HEAD_BYTES: usize = 2 << 10;

/// How a refused connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its first request was answered.
    Answered,
    /// Another connection got its file descriptor before a request had arrived.
    Displaced,
    /// Its first request was invalid.
    Invalid,
    /// The caller has disconnected.
    Left,
    /// No request arrived, or the answer could not be sent.
    TimedOut,
}

impl End {
    /// The end as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Displaced => "displaced",
            Self::Invalid => "invalid",
            Self::Left => "left",
            Self::TimedOut => "timed_out",
        }
    }
}

impl Accepted {
    /// Answers the connection's first request with a refusal and closes the connection.
    pub async fn refuse<H: Handler>(self, handler: H) -> End {
        let mut stream = self.stream;
        let answered = answer_first(&mut stream, &handler);
        let answered = tokio::time::timeout(descriptors::REFUSAL_TIMEOUT, answered);
        let has_body = tokio::select! {
            biased;
            answered = answered => match answered {
                Ok(Ok(has_body)) => has_body,
                Ok(Err(end)) => return end,
                Err(_) => return End::TimedOut,
            },
            () = displaced(&self.slot) => return End::Displaced,
        };
        if has_body {
            tokio::select! {
                () = linger(&mut stream) => {}
                () = displaced(&self.slot) => {}
            }
        }
        End::Answered
    }
}

/// Waits until the file descriptor is needed for another connection.
async fn displaced(slot: &idle::Slot) {
    slot.set_idle(Some(time::Instant::now()));
    slot.wait_closed().await;
}

/// Returns whether bytes follow the head that was answered.
async fn answer_first<H: Handler>(stream: &mut TcpStream, handler: &H) -> Result<bool, End> {
    let max_bytes = handler.limits().max_head_bytes;
    let mut buf = BytesMut::with_capacity(HEAD_BYTES);
    let head = loop {
        match stream.read_buf(&mut buf).await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return Err(End::Left),
        }
        match http1::RequestHead::take(&mut buf, max_bytes) {
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(_) => return Err(End::Invalid),
        }
    };
    let refusal = handler.refuse(Some(&head), Refusal::NoDescriptors);
    let mut out = BytesMut::with_capacity(refusal.fields.len() + 256);
    let framing = answer::AnswerFraming::of(&head);
    answer::put_head(&mut out, &refusal, true, framing);
    let written = stream.write_all(&out).await;
    written.map_err(|_: io::Error| End::Left)?;
    let has_body = !http1::BodyReader::new(head.framing).is_done();
    Ok(has_body || !buf.is_empty())
}

/// Closes the sending side and discards what still arrives: closing a connection with unread bytes
/// sends a reset, which can overtake the answer.
async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let drain = async {
        let mut discarded = BytesMut::with_capacity(HEAD_BYTES);
        while let Ok(1..) = stream.read_buf(&mut discarded).await {
            discarded.clear();
        }
    };
    // After the timeout the connection is closed even if a reset follows.
    let _ = tokio::time::timeout(EVICTED_LINGER_TIMEOUT, drain).await;
}
