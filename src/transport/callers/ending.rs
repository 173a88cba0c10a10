//! Why a connection reads no further request, and what becomes of the request that is being read then.
//!
//! Each path that stops reading requests calls [`super::inbound::Inbound::close`] with its [`Reason`].
//! [`Reason::fate`] alone decides about the request that is being read. A request that runs must not wait
//! for a body that will not arrive: its body is read to the end, its handler is notified by the closed
//! channel, or an error answer replaces that of the handler.

variants! {
    /// Why no further request is read.
    pub enum Reason {
        /// The caller's request does not keep the connection alive.
        CallerCloses,
        /// An answer closes the connection.
        AnswerCloses,
        /// A planned stop closes the connection after its last answer.
        PlannedStop,
        /// The grace period of a planned stop ends.
        GraceEnds,
        /// A head or a body is invalid or too long.
        Invalid,
        /// A request was answered before `100 Continue`, so its caller may omit the body.
        BodyOmitted,
        /// The caller sent nothing within the time limit.
        TimedOut,
        /// The connection's file descriptor is needed.
        Evicted,
        /// Memory or descriptors are short, and this caller makes no progress or needs more.
        Shed,
        /// The caller disconnected.
        Disconnected,
    }
}

variants! {
    /// The request that is being read.
    pub enum Partial {
        /// None: the connection is between two requests.
        None,
        /// Its head is incomplete.
        Head,
        /// It has not started; its body is buffered.
        Buffered,
        /// It runs; its body is streamed.
        Streamed,
        /// It is answered; the rest of its body is discarded.
        Answered,
    }
}

/// What becomes of the request that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It does not start. The connection closes without an answer to it, so the caller may send it again.
    Dropped,
    /// It is answered with an error, in place of its handler's answer unless that one is ready.
    Refused,
    /// Its body is read to the end.
    Read,
    /// Its handler is notified that the body is truncated.
    Truncated,
    /// It is answered; the rest of its body is not read.
    Abandoned,
}

impl Reason {
    /// What becomes of the request that is being read.
    pub fn fate(self, partial: Partial) -> Fate {
        match partial {
            Partial::None => self.fate_of_unstarted(Fate::Dropped),
            Partial::Head | Partial::Buffered => self.fate_of_unstarted(Fate::Refused),
            Partial::Streamed => self.fate_of_running(),
            Partial::Answered => self.fate_of_answered(),
        }
    }

    /// `late` applies if the caller is too slow or the grace period ends.
    fn fate_of_unstarted(self, late: Fate) -> Fate {
        match self {
            Self::CallerCloses | Self::AnswerCloses | Self::PlannedStop => Fate::Dropped,
            Self::BodyOmitted | Self::Evicted | Self::Disconnected => Fate::Dropped,
            Self::GraceEnds | Self::TimedOut => late,
            Self::Invalid | Self::Shed => Fate::Refused,
        }
    }

    fn fate_of_running(self) -> Fate {
        match self {
            Self::CallerCloses | Self::AnswerCloses | Self::PlannedStop => Fate::Read,
            // The request's own cancellation or deadline ends it.
            Self::GraceEnds | Self::TimedOut => Fate::Read,
            // These do not occur while a request runs.
            Self::BodyOmitted | Self::Evicted => Fate::Read,
            Self::Invalid => Fate::Refused,
            // The request's handler is asked for its answer at once.
            Self::Disconnected | Self::Shed => Fate::Truncated,
        }
    }

    fn fate_of_answered(self) -> Fate {
        match self {
            // Many callers do not read the answer before they have sent the body.
            Self::CallerCloses | Self::AnswerCloses | Self::PlannedStop => Fate::Read,
            Self::GraceEnds | Self::TimedOut | Self::Evicted => Fate::Abandoned,
            Self::Invalid | Self::BodyOmitted | Self::Disconnected => Fate::Abandoned,
            Self::Shed => Fate::Abandoned,
        }
    }
}
