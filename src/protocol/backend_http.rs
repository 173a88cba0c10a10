//! HTTP/1.1 adapter for backend servers, as implemented by the stand-in servers.
//!
//! [`headers::TIMEOUT`] carries the remaining time. A backend server reports its load in
//! [`headers::LOAD`], as `in_flight=1 queued=0 leaving=0`. It sheds load with status 503 and the
//! outcome header `not-run`, which guarantees that the request did not run.

use std::sync::atomic;

use bytes::Bytes;
use hyper::Method;

use super::{backend, headers, outcome};
use crate::decisions::policy;

/// The path of probes.
pub const PROBE_PATH: &str = "/_load";

/// HTTP/1.1 adapter for one backend server.
#[derive(Debug, Default)]
pub struct Http {
    echoes_attempts: atomic::AtomicBool,
}

impl backend::Adapter for Http {
    fn encode(&self, forward: backend::Forward) -> hyper::Request<Bytes> {
        let mut req = hyper::Request::new(forward.body);
        *req.method_mut() = forward.method;
        *req.uri_mut() = forward.path.parse().unwrap_or_default();
        *req.headers_mut() = forward.headers;
        let timeout_ms = u64::try_from(forward.timeout.as_millis()).unwrap_or(u64::MAX);
        req.headers_mut()
            .insert(headers::TIMEOUT, timeout_ms.max(1).into());
        req.headers_mut()
            .insert(headers::REQUEST, forward.attempt.into());
        req
    }

    fn probe(&self) -> hyper::Request<Bytes> {
        let mut req = hyper::Request::new(Bytes::new());
        *req.method_mut() = Method::GET;
        *req.uri_mut() = hyper::Uri::from_static(PROBE_PATH);
        req
    }

    /// Once a backend server has echoed an attempt number, every answer must carry one. This detects
    /// a late answer to an earlier request on the same connection.
    fn interpret(&self, attempt: u64, answer: &backend::Answer) -> Option<backend::AttemptResult> {
        match headers::text(&answer.headers, headers::REQUEST) {
            Some(echo) if echo.parse() == Ok(attempt) => {
                self.echoes_attempts.store(true, atomic::Ordering::Relaxed);
            }
            Some(_) => return None,
            None if self.echoes_attempts.load(atomic::Ordering::Relaxed) => return None,
            None => {}
        }
        let outcome = headers::text(&answer.headers, headers::OUTCOME);
        let not_run = outcome == Some(outcome::Outcome::NotRun.as_str());
        let unknown = outcome == Some(outcome::Outcome::Unknown.as_str());
        let attempt_outcome = match answer.status {
            _ if not_run => policy::AttemptOutcome::Shed,
            _ if unknown => policy::AttemptOutcome::Lost,
            status if status.is_server_error() => policy::AttemptOutcome::Failed,
            _ => policy::AttemptOutcome::Answered,
        };
        let report = headers::text(&answer.headers, headers::LOAD).and_then(parse_load);
        Some(backend::AttemptResult {
            attempt_outcome,
            report,
        })
    }
}

/// Formats a load report as the value of [`headers::LOAD`].
pub fn format_load(report: &policy::Report) -> String {
    let policy::Report {
        in_flight,
        queued,
        leaving,
    } = report;
    format!(
        "in_flight={in_flight} queued={queued} leaving={}",
        u8::from(*leaving)
    )
}

/// Parses a load report; `None` if it is malformed.
pub fn parse_load(text: &str) -> Option<policy::Report> {
    let mut report = policy::Report {
        in_flight: 0,
        queued: 0,
        leaving: false,
    };
    for field in text.split_ascii_whitespace() {
        let (name, value) = field.split_once('=')?;
        match name {
            "in_flight" => report.in_flight = value.parse().ok()?,
            "queued" => report.queued = value.parse().ok()?,
            "leaving" => report.leaving = value == "1",
            _ => {}
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests {
    use super::*;
    use backend::Adapter;

    #[test]
    fn a_load_report_round_trips() {
        let report = policy::Report {
            in_flight: 2,
            queued: 5,
            leaving: true,
        };
        assert_eq!(parse_load(&format_load(&report)), Some(report));
        assert_eq!(parse_load("in_flight=x"), None);
    }

    /// A backend server answers a request twice, and the second answer arrives after the next
    /// request on the connection. Otherwise a caller would receive another caller's answer.
    #[test]
    fn an_answer_to_another_attempt_is_refused() {
        let wire = Http::default();
        let mut answer = backend::Answer::default();
        answer.headers.insert(headers::REQUEST, 7.into());
        assert!(wire.interpret(7, &answer).is_some());
        assert!(wire.interpret(8, &answer).is_none());
        answer.headers.remove(headers::REQUEST);
        assert!(wire.interpret(8, &answer).is_none());
    }
}
