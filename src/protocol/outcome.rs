//! Answers to requests that got no answer from a backend server: outcome, reason, remedy and retry
//! time. The outcome is `not-run` only if the request certainly did not run and will not run.

use std::time;

use hyper::StatusCode;

use super::ticket;
use crate::decisions::policy;

data! {
    /// Outcome of a request.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// A backend server answered it.
        Answered,
        /// It did not run and will not run.
        NotRun,
        /// It may have run.
        Unknown,
    }

    /// JSON body of every answer that does not come from a backend server.
    pub struct Body {
        /// Outcome of the request.
        pub outcome: Outcome,
        /// The reason, as one word.
        pub reason: String,
        /// The reason and the remedy, as a sentence for humans.
        pub message: String,
        /// Time after which to retry, in milliseconds; absent if a retry would not help.
        pub retry_after_ms: Option<u64>,
    }
}

impl Outcome {
    /// Value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request got no answer from a backend server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The path is neither a look-up nor that of a service.
    #[error("no such path; send GET /lookup/<service>, or send requests to /<service>/<path>")]
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
        /// The path below the service name.
        path: String,
    },
    /// A look-up was sent with a method other than GET.
    #[error("look-ups are read with GET; send GET /lookup/<service>")]
    LookupMethod,
    /// A non-idempotent request has no key.
    #[error(
        "this operation is not idempotent and the request has no Idempotency-Key; get a ticket from \
         /lookup/<service> and append `.` and a number that you have not used before"
    )]
    NoKey,
    /// The key is malformed.
    #[error(transparent)]
    BadKey(#[from] ticket::Error),
    /// The key was used with another method, path, body or credentials.
    #[error("the key was used for a different request; use a new key for a new request")]
    KeyReused,
    /// The ticket expired before the first request with the key arrived.
    #[error("the ticket has expired; get a new one from /lookup/<service>")]
    TicketExpired,
    /// The ticket expired so long ago that the key may have been removed from memory.
    #[error(
        "the ticket expired so long ago that its keys are no longer stored; check with the service \
         whether the request ran before you send it with a new ticket"
    )]
    TicketForgotten,
    /// The process that issued the ticket has ended, and its record of keys is lost.
    #[error(
        "the entry VM that issued the ticket has restarted or stopped; check with the service \
         whether the request ran before you send it with a new ticket"
    )]
    IssuerRestarted,
    /// The entry VM that issued the ticket did not answer.
    #[error("the entry VM that issued the ticket does not answer; retry later with the same key")]
    IssuerUnreachable,
    /// The table of keys is full.
    #[error("the key table of this entry VM is full; retry when some keys have expired")]
    KeyTableFull,
    /// The request ran, and its answer is no longer stored.
    #[error("the request ran, and its answer is no longer stored; get the result from the service")]
    AnswerExpired,
    /// The timeout header is malformed or out of range.
    #[error("Bulrushwind-Timeout-Ms is `{0}`; set it to 1 to 600000 milliseconds")]
    BadTimeout(String),
    /// The body exceeds the limit, in bytes.
    #[error("the body exceeds the limit of {0} bytes; send a smaller one")]
    TooLarge(usize),
    /// The body arrived incompletely.
    #[error("the body is incomplete; send the request again with the complete body")]
    BodyIncomplete,
    /// The memory for request bodies on this VM is used up.
    #[error(
        "the memory for request bodies on this entry VM is full; retry later, or use another entry VM"
    )]
    Busy,
    /// The admission policy refused the request. Carries the time after which to retry.
    #[error("{}", refusal_message(.0))]
    Refused(policy::Refusal, time::Duration),
    /// The request was sent, and no complete answer arrived. Carries the time after which to retry.
    #[error(
        "the request was sent to a backend server and no complete answer arrived; retry with the same key"
    )]
    Lost(time::Duration),
}

impl Problem {
    /// Outcome of the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::TicketForgotten
            | Self::IssuerRestarted
            | Self::IssuerUnreachable
            | Self::AnswerExpired
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
            Self::KeyTableFull | Self::Busy | Self::Refused(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::TicketForgotten
            | Self::IssuerRestarted
            | Self::IssuerUnreachable
            | Self::AnswerExpired
            | Self::Lost(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Time after which to retry; `None` if the same request would be refused again.
    pub fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Self::Refused(_, after) | Self::Lost(after) => Some(*after),
            Self::KeyTableFull | Self::Busy | Self::IssuerUnreachable | Self::BodyIncomplete => {
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
            Self::IssuerRestarted => "ticket-void",
            Self::IssuerUnreachable => "home-silent",
            Self::KeyTableFull => "keys-full",
            Self::AnswerExpired => "answer-gone",
            Self::BadTimeout(_) => "bad-timeout",
            Self::TooLarge(_) => "too-large",
            Self::BodyIncomplete => "body-incomplete",
            Self::Busy => "busy",
            Self::Refused(why, _) => refusal_reason(*why),
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

fn refusal_reason(why: policy::Refusal) -> &'static str {
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

fn refusal_message(why: &policy::Refusal) -> &'static str {
    match why {
        policy::Refusal::Overload => "the service is overloaded; retry after the stated time",
        policy::Refusal::Deadline => {
            "the request cannot be answered in time; retry after the stated time, or set a longer timeout"
        }
        policy::Refusal::CallerShare => {
            "this caller has reached its share of in-flight requests; wait for answers before sending more"
        }
        policy::Refusal::NoBackend => {
            "no backend server accepts requests now; retry after the stated time"
        }
        policy::Refusal::Quarantined => {
            "similar requests crashed backend servers; change the request, or inform the service's owners"
        }
        policy::Refusal::Shed => {
            "all backend servers tried shed the request; retry after the stated time"
        }
        policy::Refusal::CallerGone => {
            "the caller disconnected before the request ran; send it again"
        }
        policy::Refusal::Stopping => {
            "this entry VM is stopping; use one that /lookup/<service> lists"
        }
    }
}
