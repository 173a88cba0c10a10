//! Records what backend servers state about themselves in their answers, and logs each change.

use metrics::counter;

use super::{Gateway, placement};
use crate::metrics as metric_names;
use crate::protocol::{http1, stated};

/// The field of a refusal that says how long its backend server wants no requests of this VM.
const RETRY_AFTER: &str = "Retry-After";

impl Gateway {
    /// Records the fields of an answer that concern the backend server itself.
    pub(super) fn note_stated(&self, run: &placement::Run, head: &http1::ResponseHead) {
        if !self.is_from_backend(head) {
            return;
        }
        self.note_rate_limit(run, head);
        self.note_leaving(run, head);
        if head.status == hyper::StatusCode::SERVICE_UNAVAILABLE {
            self.note_pause(run, head);
        }
    }

    fn note_rate_limit(&self, run: &placement::Run, head: &http1::ResponseHead) {
        let parsed = self.parse(run, head, self.cfg.names.rate_limit, stated::decimal);
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        let cold = backends.get(&run.id).is_some_and(|b| b.is_cold(now));
        let Some(stated) = backends.stated_mut(&run.id, &run.name, now) else {
            return;
        };
        let before = stated.rate_limit.get();
        match parsed {
            stated::Stated::Value(rate) => stated.rate_limit.stated(now, Some(rate)),
            stated::Stated::Absent => stated.rate_limit.stated(now, None),
            stated::Stated::Invalid => stated.rate_limit.invalid(now),
        }
        let after = stated.rate_limit.get();
        // One that is cold is paced already.
        if before.is_none() && after.is_some() && !cold {
            stated.pace.begin(now, self.jitter());
        }
        if before != after {
            self.log_rate_limit(run, before, after);
        }
    }

    fn note_leaving(&self, run: &placement::Run, head: &http1::ResponseHead) {
        let leaving = self.parse(run, head, self.cfg.names.leaving, stated::flag);
        if leaving != stated::Stated::Value(()) {
            return;
        }
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        let listed_leaving = backends.get(&run.id).map(|b| b.listed.leaving);
        let Some(stated) = backends.stated_mut(&run.id, &run.name, now) else {
            return;
        };
        if !stated.withdrawal.leaves(now) {
            return;
        }
        self.waiting.note_change();
        if let Some(left_out) = self.log_limiter.admit("says leaving", now) {
            slog::info!(self.log, "backend server says that it leaves"; "backend" => %run.id, "listed_leaving" => listed_leaving, "left_out" => left_out);
        }
    }

    fn note_pause(&self, run: &placement::Run, head: &http1::ResponseHead) {
        let seconds = self.parse(run, head, RETRY_AFTER, stated::decimal);
        let stated::Stated::Value(seconds) = seconds else {
            return;
        };
        let now = self.now();
        let mut backends = self.backends.borrow_mut();
        let Some(stated) = backends.stated_mut(&run.id, &run.name, now) else {
            return;
        };
        let kept = stated.withdrawal.asks_for_pause(now, seconds);
        if let Some(left_out) = self.log_limiter.admit("pause", now) {
            slog::info!(self.log, "backend server asks for a pause"; "backend" => %run.id, "seconds" => seconds, "kept_ms" => kept.as_millis() as u64, "left_out" => left_out);
        }
    }

    /// Parses a field of an answer, and logs it if it is invalid.
    fn parse<T: PartialEq>(
        &self,
        run: &placement::Run,
        head: &http1::ResponseHead,
        field: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> stated::Stated<T> {
        let value = stated::parse(&head.fields, field, parse);
        if value == stated::Stated::Invalid {
            self.log_invalid_field(run, field, head);
        }
        value
    }

    /// Whether an answer is the backend server's own: another one may use its address, and an
    /// unsigned success is no answer.
    pub(super) fn is_from_backend(&self, head: &http1::ResponseHead) -> bool {
        let misdirected = head.status == hyper::StatusCode::MISDIRECTED_REQUEST;
        let success = (200..300).contains(&head.status);
        !misdirected && (!success || head.fields.get(self.cfg.names.proof).is_some())
    }

    fn log_rate_limit(&self, run: &placement::Run, before: Option<f64>, now: Option<f64>) {
        let Some(left_out) = self.log_limiter.admit("rate limit", self.now()) else {
            return;
        };
        match now {
            Some(rate) => {
                slog::info!(self.log, "backend server states a rate limit"; "backend" => %run.id, "per_s" => rate, "before" => before, "left_out" => left_out)
            }
            None => {
                slog::info!(self.log, "backend server no longer states a rate limit"; "backend" => %run.id, "before" => before, "left_out" => left_out)
            }
        }
    }

    pub(super) fn log_invalid_field(
        &self,
        run: &placement::Run,
        field: &'static str,
        head: &http1::ResponseHead,
    ) {
        /// Longest part of a value that is logged.
        const MAX_LOGGED_BYTES: usize = 64;
        counter!(metric_names::INVALID_STATED, "field" => field).increment(1);
        if let Some(left_out) = self.log_limiter.admit("invalid field", self.now()) {
            let value = head.fields.get(field).unwrap_or_default();
            let value = &value[..value.len().min(MAX_LOGGED_BYTES)];
            slog::warn!(self.log, "invalid field in an answer ignored"; "backend" => %run.id, "field" => field, "value" => %String::from_utf8_lossy(value), "left_out" => left_out);
        }
    }
}
