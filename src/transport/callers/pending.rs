//! Requests of a connection whose answers are not written yet.

use std::cell;
use std::collections;
use std::future;
use std::rc;
use std::time;

use tokio::sync::{self, oneshot};
use tokio::task;

use super::answer::{self, Answer};

/// The state that a request's task shares with the caller's connection.
#[derive(Debug, Default)]
pub struct Cancellation {
    /// Set once the request must continue after its caller disconnects. It may be running on a
    /// backend server, and after an abort its outcome would be unknown.
    pub committed: cell::Cell<bool>,
    /// Set once the caller has disconnected; the request then starts at no other backend server.
    pub caller_left: cell::Cell<bool>,
    /// Set once other requests are pending on its connection. They are lost if its answer is truncated.
    pub pipelined: cell::Cell<bool>,
    /// Since when its caller has made no progress with a streamed body; `None` while none is awaited.
    pub stalled_since: cell::Cell<Option<time::Instant>>,
    /// Set once its answer is relayed before it is complete.
    pub relayed: cell::Cell<bool>,
    /// Set if the request is ended because its caller makes no progress.
    stalled: cell::Cell<bool>,
    ended: sync::Notify,
}

impl Cancellation {
    /// Asks the request's handler for its answer at once.
    pub fn end(&self) {
        self.ended.notify_one();
    }

    /// The same because the caller makes no progress with the request's body.
    pub fn end_stalled(&self) {
        self.stalled.set(true);
        self.end();
    }

    /// Whether the request is ended because its caller makes no progress.
    pub fn is_stalled(&self) -> bool {
        self.stalled.get()
    }

    /// Waits until the answer is due at once.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

/// A request without a written answer. Dropping it aborts its task unless it is committed.
pub(super) struct Pending {
    pub(super) rx: oneshot::Receiver<Answer>,
    pub(super) task: Option<task::AbortHandle>,
    pub(super) cancellation: rc::Rc<Cancellation>,
    pub(super) keep_alive: bool,
    pub(super) framing: answer::AnswerFraming,
}

impl Pending {
    /// A request that is answered already. Nothing is read after it.
    pub(super) fn answered(answer: Answer) -> Self {
        let (tx, rx) = oneshot::channel();
        // Cannot fail: the receiver is still held in this function.
        let _ = tx.send(answer);
        Self {
            rx,
            task: None,
            cancellation: rc::Rc::default(),
            keep_alive: false,
            framing: answer::AnswerFraming::default(),
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        !self.rx.is_empty()
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.cancellation.caller_left.set(true);
        if let Some(task) = self.task.take()
            && !self.cancellation.committed.get()
        {
            task.abort();
        }
    }
}

/// The answer to the first pending request, which is the next to be written.
pub(super) async fn first_answer(pending: &mut collections::VecDeque<Pending>) -> Answer {
    let Some(first) = pending.front_mut() else {
        return future::pending().await;
    };
    match (&mut first.rx).await {
        Ok(answer) => answer,
        // The handler ended without an answer (a bug), so the request's outcome is unknown.
        Err(_) => Answer {
            close: true,
            ..Answer::empty(502)
        },
    }
}
