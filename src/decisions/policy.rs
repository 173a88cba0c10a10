//! The interface between the request path and the decisions for one service on one entry VM.
//!
//! The request path reports timestamped events to a [`Policy`], which appends the [`Action`]s for
//! the path to carry out. A policy holds no request bodies and no sockets, only the inputs of its
//! decisions. Exactly one [`Action::Settle`] follows each [`Policy::arrive`], at once or later.

use std::time;

use super::{cross_az, note, quarantine};
use crate::id;

/// A point in time, as the time since the process started.
pub type Moment = time::Duration;

key! {
    /// The ID of a request, unique in its process.
    pub struct RequestId(pub u64);

    /// Identifies a caller: a hash of its address or credentials.
    pub struct CallerId(pub u64);

    /// Identifies a request's content: a hash of method, path and body. Equal for retries.
    pub struct Fingerprint(pub u64);
}

data! {
    /// The destination of an attempt.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub enum Destination {
        /// A backend server in this VM's availability zone.
        Backend(id::VmId),
        /// An entry VM in another availability zone.
        Az(id::AzId),
    }

    /// The source from which a request reached this VM.
    #[derive(Eq)]
    pub enum Origin {
        /// A caller.
        Caller,
        /// An entry VM in another availability zone.
        Az(id::AzId),
    }

    /// A request that has arrived.
    pub struct Arrival {
        /// The request's ID.
        pub id: RequestId,
        /// The caller that sent the request.
        pub caller: CallerId,
        /// A hash of the request's content.
        pub fingerprint: Fingerprint,
        /// Where the request came from.
        pub origin: Origin,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// The value of an answer relative to that of other requests.
        pub worth: u32,
        /// The typical service time at a backend server.
        pub typical: time::Duration,
        /// When the caller stops waiting.
        pub deadline: Moment,
        /// The bytes of the request and the expected answer, which count against link capacity.
        pub bytes: u64,
    }

    /// Why a request was refused without running.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// Demand exceeds the slots, and other requests have higher worth.
        Overload,
        /// It could not have been answered before its deadline.
        Deadline,
        /// Its caller already has more than its share of requests queued or in flight.
        CallerShare,
        /// No backend server accepts requests.
        NoBackend,
        /// Requests with the same fingerprint crashed backend servers.
        Quarantined,
        /// Every backend server that was tried shed it.
        Shed,
        /// Its caller disconnected before it ran.
        CallerGone,
        /// This VM is shutting down.
        Stopping,
    }

    /// The final outcome of a request.
    #[derive(Copy, Eq)]
    pub enum RequestOutcome {
        /// The latest answer received goes to the caller.
        Answer,
        /// It has not run and will not run.
        NotRun {
            /// Why it did not run.
            why: Refusal,
            /// The delay before a retry is useful.
            retry_after: time::Duration,
        },
        /// It may have run; no answer was received.
        Unknown {
            /// The delay before a retry is useful.
            retry_after: time::Duration,
        },
    }

    /// An instruction to the request path.
    #[derive(Eq)]
    pub enum Action {
        /// Send the request.
        Send {
            /// The request to send.
            req: RequestId,
            /// Where to send it.
            to: Destination,
            /// When the attempt times out.
            deadline: Moment,
        },
        /// Cancel an unneeded attempt. It still ends with [`AttemptOutcome::Cancelled`].
        Cancel {
            /// The request that the attempt belongs to.
            req: RequestId,
            /// The destination of the attempt.
            to: Destination,
        },
        /// Send the final outcome to the caller.
        Settle {
            /// The request that is settled.
            req: RequestId,
            /// The outcome for the caller.
            fate: RequestOutcome,
        },
        /// Probe a backend server for its state.
        Probe {
            /// The backend server to probe.
            to: id::VmId,
        },
    }

    /// How an attempt ended.
    #[derive(Copy, Eq, Hash)]
    pub enum AttemptOutcome {
        /// A complete answer was received.
        Answered,
        /// A complete answer was received that reports a failure of the backend server.
        Failed,
        /// The destination reported that it did not run the request.
        Shed,
        /// No byte of the request reached the destination.
        NotSent,
        /// The request was sent, and the connection broke before the answer was complete.
        Lost,
        /// The request was sent, and no complete answer was received in time.
        TimedOut,
        /// The attempt was cancelled.
        Cancelled,
    }

    /// The state that a backend server reports. It may be stale or wrong.
    #[derive(Copy, Eq)]
    pub struct Report {
        /// Requests that it is running.
        pub in_flight: u32,
        /// Requests that wait in its queue.
        pub queued: u32,
        /// Whether it is shutting down.
        pub leaving: bool,
    }

    /// A backend server that a policy may use.
    pub struct Backend {
        /// Its name.
        pub id: id::VmId,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Whether it is shutting down and gets no new requests.
        pub leaving: bool,
    }
}

/// The decisions for one service on one entry VM.
pub trait Policy: Send {
    /// Handles a new request.
    fn arrive(&mut self, now: Moment, req: Arrival, out: &mut Vec<Action>);

    /// Handles the end of an attempt. `report` is the state that the answer carried.
    fn ended(
        &mut self,
        now: Moment,
        req: RequestId,
        at: &Destination,
        how: AttemptOutcome,
        report: Option<Report>,
        out: &mut Vec<Action>,
    );

    /// Handles the disconnect of a request's caller.
    fn caller_gone(&mut self, now: Moment, req: RequestId, out: &mut Vec<Action>);

    /// Handles the passage of time. Called at least every 10 ms.
    fn tick(&mut self, now: Moment, out: &mut Vec<Action>);

    /// Replaces the set of backend servers.
    fn set_backends(&mut self, now: Moment, backends: &[Backend], out: &mut Vec<Action>);

    /// Handles a backend server's report; `None` if a probe got no answer.
    fn report(
        &mut self,
        now: Moment,
        from: &id::VmId,
        report: Option<Report>,
        out: &mut Vec<Action>,
    );

    /// The limits on sends to other availability zones, if the policy sends any.
    fn cross_az(&mut self) -> Option<&mut cross_az::CrossAzRouter> {
        None
    }

    /// Request fingerprints quarantined since the last call, for other VMs.
    fn bans(&mut self, _now: Moment) -> Vec<quarantine::Ban> {
        Vec::new()
    }

    /// Adds a quarantine entry from another VM.
    fn ban(&mut self, _now: Moment, _entry: quarantine::Ban) {}

    /// Decisions since the last call that are not actions, for the logs.
    fn notes(&mut self) -> Vec<note::Note> {
        Vec::new()
    }
}
