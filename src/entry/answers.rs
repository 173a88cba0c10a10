//! Builds the entry process's HTTP answers.

use std::time;

use bytes::Bytes;
use hyper::{StatusCode, header};

use crate::protocol::{backend, headers, lookup, outcome};
use crate::transport::server;

/// Retry delay for a request whose reply this process dropped.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// The answer for a problem.
pub(super) fn problem(problem: &outcome::Problem) -> server::Answer {
    let body =
        serde_json::to_vec(&problem.body()).expect("a problem contains only text and numbers");
    let mut answer = json(problem.status(), problem.outcome(), body);
    if let Some(after) = problem.retry_after() {
        let seconds = whole_seconds(after);
        answer.headers.insert(header::RETRY_AFTER, seconds.into());
    }
    answer
}

/// Rounds up: a caller that retried early would be refused again.
fn whole_seconds(after: time::Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

/// The answer to a look-up.
pub(super) fn look_up(lookup: &lookup::Lookup) -> server::Answer {
    let body = serde_json::to_vec(lookup).expect("a look-up contains only text and numbers");
    let mut answer = json(StatusCode::OK, outcome::Outcome::Answered, body);
    let cache_control = format!("private, max-age={}", lookup.ttl_ms / 1000);
    if let Ok(cache_control) = cache_control.parse() {
        answer.headers.insert(header::CACHE_CONTROL, cache_control);
    }
    answer
}

/// A backend server's answer, converted for the caller.
pub(super) fn backend(answer: &backend::Answer) -> server::Answer {
    let mut headers = headers::end_to_end(&answer.headers);
    for name in [headers::LOAD, headers::REQUEST] {
        headers.remove(name);
    }
    let outcome_value = header::HeaderValue::from_static(outcome::Outcome::Answered.as_str());
    headers.insert(headers::OUTCOME, outcome_value);
    server::Answer {
        status: answer.status,
        headers,
        body: answer.body.clone(),
    }
}

/// The problem for a request that failed before routing.
pub(super) fn fault(fault: server::Fault) -> outcome::Problem {
    match fault {
        server::Fault::TooLarge(max_bytes) => outcome::Problem::TooLarge(max_bytes),
        server::Fault::Incomplete => outcome::Problem::BodyIncomplete,
        server::Fault::Busy => outcome::Problem::Busy,
        server::Fault::Dropped => outcome::Problem::Lost(RETRY_AFTER),
    }
}

fn json(status: StatusCode, outcome: outcome::Outcome, body: Vec<u8>) -> server::Answer {
    let mut answer = server::Answer {
        status,
        body: Bytes::from(body),
        ..server::Answer::default()
    };
    let outcome_value = header::HeaderValue::from_static(outcome.as_str());
    answer.headers.insert(headers::OUTCOME, outcome_value);
    let content_type = header::HeaderValue::from_static("application/json");
    answer.headers.insert(header::CONTENT_TYPE, content_type);
    answer
}
