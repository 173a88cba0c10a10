//! Planned stops of this VM.
//!
//! [`Unfinished`] is what a planned stop waits for. A caller's connection counts from its accept until
//! the caller has its last answer, whatever the request is doing: its body is read, it runs, waits for
//! room or for answers before it, or its answer is written. Only a connection that waits between two
//! requests does not count.

use std::time;

use super::{Cx, Gateway};
use crate::decisions::planned_stop;

/// How long a planned stop still accepts requests: callers cache where to connect, and some connect
/// here until their cached answer expires.
pub(super) const ACCEPT_PERIOD: time::Duration = time::Duration::from_millis(2500);

/// How often a planned stop checks whether it is complete.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// What is in progress on this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unfinished {
    /// Requests whose handler runs, also for callers that have left.
    pub handlers: usize,
    /// Callers' connections with a request that is read, runs, or has an answer that is not written.
    pub connections: usize,
    /// Callers' connections whose last answer may not have arrived yet.
    pub lingering: usize,
    /// Tunnels that this VM carries for others.
    pub tunnels: usize,
}

impl Unfinished {
    /// Whether a caller or another VM still waits for bytes that this process has to write.
    pub fn has_work(&self) -> bool {
        self.handlers + self.connections + self.tunnels > 0
    }
}

impl Cx {
    /// Begins a planned stop: connections are closed after their running requests are answered.
    pub fn stop(&self) {
        self.closes_at.set(Some(self.now() + ACCEPT_PERIOD));
        self.stop.send_replace(planned_stop::Phase::Stopping);
    }

    /// Whether a planned stop no longer accepts requests. A request accepted later could still be
    /// running when the grace time ends, and would be cut off.
    pub fn is_closed(&self) -> bool {
        self.closes_at.get().is_some_and(|at| self.now() >= at)
    }

    /// What is in progress.
    pub fn unfinished(&self) -> Unfinished {
        let callers = self.reading.connections().in_use();
        Unfinished {
            handlers: self.requests_in_progress(),
            connections: callers.active,
            lingering: callers.lingering,
            tunnels: self.carried_tunnels(),
        }
    }

    /// Whether a planned stop is complete: it accepts no requests, none is in progress, and no other VM
    /// has connections through this one.
    pub fn is_drained(&self) -> bool {
        self.is_closed() && !self.unfinished().has_work()
    }
}

impl Gateway {
    /// Waits until the planned stop that has begun is complete and this VM is no longer registered, at
    /// most for the grace period. A store that does not answer takes no time from callers.
    pub async fn finish_stop(&self, deregistered: impl Future<Output = ()>) {
        self.log_unfinished("planned stop");
        let complete = async { tokio::join!(self.completed(), deregistered) };
        tokio::select! {
            _ = complete => {}
            () = self.advance_stop() => {}
        }
        self.log_unfinished("planned stop ends");
    }

    /// Goes through the phases of the planned stop, until the process has to end.
    async fn advance_stop(&self) {
        let begun = self.now();
        let schedule = planned_stop::Schedule::new(self.cfg.grace);
        for (at, phase) in [
            (schedule.yield_at, planned_stop::Phase::Yielding),
            (schedule.end_at, planned_stop::Phase::Ending),
        ] {
            tokio::time::sleep_until(self.instant(begun + at)).await;
            self.log_unfinished(phase.as_str());
            self.stop.send_replace(phase);
        }
        tokio::time::sleep_until(self.instant(begun + schedule.exit_at)).await;
    }

    async fn completed(&self) {
        while !self.is_drained() || self.unfinished().lingering > 0 {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn log_unfinished(&self, event: &'static str) {
        let Unfinished {
            handlers,
            connections,
            lingering,
            tunnels,
        } = self.unfinished();
        slog::info!(self.log, "{}", event; "in_hand" => handlers, "connections" => connections, "lingering" => lingering, "tunnels" => tunnels);
    }
}
