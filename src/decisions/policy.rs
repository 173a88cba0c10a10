//! The boundary between the request path and the decisions of one service on one entry VM.
//!
//! The path tells a [`Policy`] what happened, with the time; the policy appends [`Action`]s for
//! the path to carry out. A policy holds no request bodies and no sockets, only what it needs to
//! decide. Exactly one [`Action::Settle`] follows each [`Policy::arrive`], at once or later.

use std::time;

use super::{cross_az, note, quarantine};
use crate::id;

/// A point in time: how long the process has run.
pub type Moment = time::Duration;

key! {
    /// One request, unique in its process.
    pub struct RequestId(pub u64);

    /// Who asks: a hash of the caller's address or credentials.
    pub struct CallerId(pub u64);

    /// What is asked: a hash of method, path and body. Equal for a request that is sent again.
    pub struct Fingerprint(pub u64);
}

data! {
    /// Where an attempt goes.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub enum Place {
        /// To a backend server of the own availability zone.
        Backend(id::VmId),
        /// To an entry VM of another availability zone.
        Az(id::AzId),
    }

    /// Where a request entered.
    #[derive(Eq)]
    pub enum Origin {
        /// A caller sent it to this VM.
        Caller,
        /// An entry VM of another availability zone sent it here.
        Az(id::AzId),
    }

    /// A request that asks to be served.
    pub struct Arrival {
        /// Its number.
        pub id: RequestId,
        /// Who asks.
        pub caller: CallerId,
        /// What is asked.
        pub fingerprint: Fingerprint,
        /// Where it entered.
        pub origin: Origin,
        /// Whether it may run twice.
        pub idempotent: bool,
        /// What its answer counts.
        pub worth: u32,
        /// How long a backend server usually works on it.
        pub typical: time::Duration,
        /// When its caller stops waiting.
        pub deadline: Moment,
        /// The bytes of request and expected answer, which count against links.
        pub bytes: u64,
    }

    /// Why a request was refused without running.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// There is more work than slots, and other work counts more.
        Overload,
        /// It could not have been answered before its deadline.
        Deadline,
        /// Its caller has more than its share in hand already.
        CallerShare,
        /// No backend server takes work.
        NoBackend,
        /// Requests like it crashed backend servers.
        Quarantined,
        /// Every backend server that was tried refused it.
        Shed,
        /// Its caller went away before it ran.
        CallerGone,
        /// This VM is stopping.
        Stopping,
    }

    /// How a request ended.
    #[derive(Copy, Eq)]
    pub enum Fate {
        /// The answer that came in last goes to the caller.
        Answer,
        /// It has not run and will not.
        NotRun {
            /// Why.
            why: Refusal,
            /// When trying again makes sense.
            retry_after: time::Duration,
        },
        /// It may have run; no answer came.
        Unknown {
            /// When asking again makes sense.
            retry_after: time::Duration,
        },
    }

    /// What the path has to do.
    #[derive(Eq)]
    pub enum Action {
        /// Send the request.
        Send {
            /// The request.
            req: RequestId,
            /// Where to.
            to: Place,
            /// When to give the attempt up.
            deadline: Moment,
        },
        /// Stop an attempt whose answer nobody needs. It still ends with [`Ended::Cancelled`].
        Cancel {
            /// The request.
            req: RequestId,
            /// Where it was sent.
            to: Place,
        },
        /// Tell the caller.
        Settle {
            /// The request.
            req: RequestId,
            /// What to tell.
            fate: Fate,
        },
        /// Ask a backend server how it is.
        Probe {
            /// The backend server.
            to: id::VmId,
        },
    }

    /// How an attempt ended.
    #[derive(Copy, Eq, Hash)]
    pub enum Ended {
        /// A complete answer came.
        Answered,
        /// A complete answer came, and it says that the backend server failed at it.
        Failed,
        /// The other side says that it did not run it.
        Shed,
        /// No byte of it reached the other side.
        NotSent,
        /// It was sent, and the connection broke before the answer was complete.
        Lost,
        /// It was sent, and no complete answer came in time.
        TimedOut,
        /// It was cancelled.
        Cancelled,
    }

    /// What a backend server says of itself. It lags, and it may mislead.
    #[derive(Copy, Eq)]
    pub struct Report {
        /// Requests that it works on.
        pub in_flight: u32,
        /// Requests that wait there.
        pub queued: u32,
        /// It is about to go.
        pub leaving: bool,
    }

    /// A backend server that a policy may use.
    pub struct Backend {
        /// Its name.
        pub id: id::VmId,
        /// Requests that it works on at a time.
        pub slots: u32,
        /// It is about to go: it gets no new work.
        pub leaving: bool,
    }
}

/// The decisions of one service on one entry VM.
pub trait Policy: Send {
    /// A request asks to be served.
    fn arrive(&mut self, now: Moment, req: Arrival, out: &mut Vec<Action>);

    /// An attempt ended. `report` is what the other side said of itself with its answer.
    fn ended(
        &mut self,
        now: Moment,
        req: RequestId,
        at: &Place,
        how: Ended,
        report: Option<Report>,
        out: &mut Vec<Action>,
    );

    /// The caller of a request went away.
    fn gone(&mut self, now: Moment, req: RequestId, out: &mut Vec<Action>);

    /// Time passed. Called at least every 10 ms.
    fn tick(&mut self, now: Moment, out: &mut Vec<Action>);

    /// The backend servers that there are now.
    fn set_backends(&mut self, now: Moment, backends: &[Backend], out: &mut Vec<Action>);

    /// A backend server's report, or `None` where a probe brought none.
    fn report(
        &mut self,
        now: Moment,
        from: &id::VmId,
        report: Option<Report>,
        out: &mut Vec<Action>,
    );

    /// What may be sent to other availability zones, where the policy sends any.
    fn cross_az(&mut self) -> Option<&mut cross_az::CrossAzRouter> {
        None
    }

    /// Requests that came to be banned since the last call, to be told to other VMs.
    fn bans(&mut self, _now: Moment) -> Vec<quarantine::Ban> {
        Vec::new()
    }

    /// Another VM tells of a banned request.
    fn ban(&mut self, _now: Moment, _entry: quarantine::Ban) {}

    /// What was decided beside the actions since the last call, for the logs.
    fn notes(&mut self) -> Vec<note::Note> {
        Vec::new()
    }
}
