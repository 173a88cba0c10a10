//! Backend servers over HTTP/1.1, as the stand-ins speak it.
//!
//! The deadline goes along as [`headers::TIMEOUT`]. A backend server reports its load in
//! [`headers::LOAD`], as `in_flight=1 queued=0 leaving=0`, and sheds with status 503 and the
//! outcome header `not-run`, which is its word that the request did not run.

use std::sync::atomic;

use bytes::Bytes;
use hyper::Method;

use super::{backend, headers, outcome};
use crate::decisions::policy;

/// The path of probes.
pub const PROBE_PATH: &str = "/_load";

/// The wire of one backend server.
#[derive(Debug, Default)]
pub struct Http {
    echoes: atomic::AtomicBool,
}

impl backend::Wire for Http {
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

    /// A backend server that once sent an attempt's number back must do so with each answer: an
    /// answer to an earlier request that comes late on the same connection is then told apart.
    fn read(&self, attempt: u64, answer: &backend::Answer) -> Option<backend::Reading> {
        match headers::text(&answer.headers, headers::REQUEST) {
            Some(echo) if echo.parse() == Ok(attempt) => {
                self.echoes.store(true, atomic::Ordering::Relaxed);
            }
            Some(_) => return None,
            None if self.echoes.load(atomic::Ordering::Relaxed) => return None,
            None => {}
        }
        let outcome = headers::text(&answer.headers, headers::OUTCOME);
        let not_run = outcome == Some(outcome::Outcome::NotRun.as_str());
        let unknown = outcome == Some(outcome::Outcome::Unknown.as_str());
        let how = match answer.status {
            _ if not_run => policy::AttemptOutcome::Shed,
            _ if unknown => policy::AttemptOutcome::Lost,
            status if status.is_server_error() => policy::AttemptOutcome::Failed,
            _ => policy::AttemptOutcome::Answered,
        };
        let report = headers::text(&answer.headers, headers::LOAD).and_then(parse_load);
        Some(backend::Reading { how, report })
    }
}

/// The text of a load report.
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

/// Reads a load report; `None` where it is garbled.
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
    use backend::Wire;

    #[test]
    fn a_load_report_is_read_back() {
        let report = policy::Report {
            in_flight: 2,
            queued: 5,
            leaving: true,
        };
        assert_eq!(parse_load(&format_load(&report)), Some(report));
        assert_eq!(parse_load("in_flight=x"), None);
    }

    /// A backend server answers an earlier request a second time, and the answer comes after the
    /// next request was sent on the connection. Its caller would read another caller's booking.
    #[test]
    fn an_answer_to_another_attempt_is_refused() {
        let wire = Http::default();
        let mut answer = backend::Answer::default();
        answer.headers.insert(headers::REQUEST, 7.into());
        assert!(wire.read(7, &answer).is_some());
        assert!(wire.read(8, &answer).is_none());
        answer.headers.remove(headers::REQUEST);
        assert!(wire.read(8, &answer).is_none());
    }
}
