//! What a caller is told when there is no backend server's answer: an outcome that is true, why,
//! what to do, and when to come back.

use std::time;

use hyper::StatusCode;

use super::ticket;
use crate::decisions::policy;

data! {
    /// What became of a request.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// A backend server answered it.
        Answered,
        /// It did not run and will not.
        NotRun,
        /// It may have run.
        Unknown,
    }

    /// The JSON body of every answer that is not a backend server's.
    pub struct Body {
        /// What became of the request.
        pub outcome: Outcome,
        /// Why, as one word.
        pub reason: String,
        /// Why and what to do, for people.
        pub message: String,
        /// When to come back, in milliseconds; absent where coming back would not help.
        pub retry_after_ms: Option<u64>,
    }
}

impl Outcome {
    /// The word of the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request got no backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The path is neither a look-up nor a service's.
    #[error("no such path; ask GET /lookup/<service>, or send requests to /<service>/<path>")]
    UnknownPath,
    /// The service is not declared.
    #[error("no service `{0}` is declared; check the name, or declare it in the settings")]
    UnknownService(String),
    /// The service has no such operation.
    #[error(
        "service `{service}` has no operation for {method} {path}; use one that its settings list"
    )]
    UnknownOperation {
        /// The service.
        service: String,
        /// The method.
        method: String,
        /// The path under the service.
        path: String,
    },
    /// A look-up came with another method.
    #[error("look-ups are read with GET; send GET /lookup/<service>")]
    LookupMethod,
    /// A non-idempotent request came without a key.
    #[error(
        "this operation may run only once and the request has no Idempotency-Key; ask \
         /lookup/<service> for a ticket and append `.` and a number of your own"
    )]
    NoKey,
    /// The key is malformed.
    #[error(transparent)]
    BadKey(#[from] ticket::Error),
    /// The key was used with another method, path, body or credentials.
    #[error("the key was used for a different request; use a new key for a new request")]
    KeyReused,
    /// The ticket expired before the key was seen for the first time.
    #[error("the ticket has expired; ask /lookup/<service> for a new one")]
    TicketExpired,
    /// The ticket expired so long ago that the key may have been forgotten.
    #[error(
        "the ticket expired so long ago that its keys are forgotten; find out from the service \
         whether it ran before you send it with a new ticket"
    )]
    TicketForgotten,
    /// The process that issued the ticket is gone, and its memory with it.
    #[error(
        "the entry VM that issued the ticket has restarted or gone; find out from the service \
         whether it ran before you send it with a new ticket"
    )]
    TicketVoid,
    /// The process that issued the ticket did not answer.
    #[error("the entry VM that issued the ticket does not answer; send the same key again later")]
    HomeSilent,
    /// Too many keys are remembered already.
    #[error("this entry VM remembers as many keys as it can; come back when some have expired")]
    KeysFull,
    /// It ran, and its answer is no longer kept.
    #[error("it ran, and its answer is no longer kept; read its result from the service")]
    AnswerGone,
    /// The timeout header is no sound number.
    #[error("Bulrushwind-Timeout-Ms is `{0}`; give milliseconds from 1 to 600000")]
    BadTimeout(String),
    /// The body is too large.
    #[error("the body is larger than the {0} bytes that are allowed; send less")]
    TooLarge(usize),
    /// The body did not arrive in full.
    #[error("the body did not arrive in full; send it again at once and whole")]
    BodyIncomplete,
    /// This VM holds as many bodies as it can.
    #[error("this entry VM holds as many request bodies as it can; come back, or use another one")]
    Busy,
    /// The policy turned it away.
    #[error("{}", refusal(.0))]
    Refused(policy::Refusal, time::Duration),
    /// It was sent and no answer came.
    #[error("it was sent to a backend server and no complete answer came; send the same key again")]
    Lost(time::Duration),
}

impl Problem {
    /// What became of the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::TicketForgotten
            | Self::TicketVoid
            | Self::HomeSilent
            | Self::AnswerGone
            | Self::Lost(_) => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath | Self::UnknownService(_) | Self::UnknownOperation { .. } => {
                StatusCode::NOT_FOUND
            }
            Self::LookupMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::NoKey | Self::BadKey(_) | Self::BadTimeout(_) | Self::BodyIncomplete => {
                StatusCode::BAD_REQUEST
            }
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TicketExpired => StatusCode::PRECONDITION_FAILED,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Refused(policy::Refusal::CallerShare, _) => StatusCode::TOO_MANY_REQUESTS,
            Self::KeysFull | Self::Busy | Self::Refused(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::TicketForgotten
            | Self::TicketVoid
            | Self::HomeSilent
            | Self::AnswerGone
            | Self::Lost(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When to come back; `None` where the same request would be turned away again.
    pub fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Self::Refused(_, after) | Self::Lost(after) => Some(*after),
            Self::KeysFull | Self::Busy | Self::HomeSilent | Self::BodyIncomplete => {
                Some(time::Duration::from_secs(1))
            }
            _ => None,
        }
    }

    /// The reason as one word.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::UnknownPath => "unknown-path",
            Self::UnknownService(_) => "unknown-service",
            Self::UnknownOperation { .. } => "unknown-operation",
            Self::LookupMethod => "method",
            Self::NoKey => "no-key",
            Self::BadKey(_) => "bad-key",
            Self::KeyReused => "key-reused",
            Self::TicketExpired => "ticket-expired",
            Self::TicketForgotten => "ticket-forgotten",
            Self::TicketVoid => "ticket-void",
            Self::HomeSilent => "home-silent",
            Self::KeysFull => "keys-full",
            Self::AnswerGone => "answer-gone",
            Self::BadTimeout(_) => "bad-timeout",
            Self::TooLarge(_) => "too-large",
            Self::BodyIncomplete => "body-incomplete",
            Self::Busy => "busy",
            Self::Refused(why, _) => refusal_word(*why),
            Self::Lost(_) => "no-answer",
        }
    }

    /// The JSON body.
    pub fn body(&self) -> Body {
        Body {
            outcome: self.outcome(),
            reason: self.reason().to_owned(),
            message: self.to_string(),
            retry_after_ms: self
                .retry_after()
                .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

fn refusal_word(why: policy::Refusal) -> &'static str {
    match why {
        policy::Refusal::Overload => "overload",
        policy::Refusal::Deadline => "deadline",
        policy::Refusal::CallerShare => "caller-share",
        policy::Refusal::NoBackend => "no-backend",
        policy::Refusal::Quarantined => "quarantined",
        policy::Refusal::Shed => "shed",
        policy::Refusal::CallerGone => "caller-gone",
        policy::Refusal::Stopping => "stopping",
    }
}

fn refusal(why: &policy::Refusal) -> &'static str {
    match why {
        policy::Refusal::Overload => "more work than slots; come back after the time stated",
        policy::Refusal::Deadline => {
            "it could not be answered in time; come back after the time stated, or wait longer"
        }
        policy::Refusal::CallerShare => {
            "this caller has its share in hand already; wait for answers before sending more"
        }
        policy::Refusal::NoBackend => {
            "no backend server takes work now; come back after the time stated"
        }
        policy::Refusal::Quarantined => {
            "requests like it crashed backend servers; change it, or tell the service's owners"
        }
        policy::Refusal::Shed => {
            "every backend server that was tried refused it; come back after the time stated"
        }
        policy::Refusal::CallerGone => "its caller went away before it ran; send it again",
        policy::Refusal::Stopping => {
            "this entry VM is stopping; ask /lookup/<service> which one to use"
        }
    }
}
