//! Records what backend servers state about themselves in their answers, and logs each change.

use metrics::counter;

use super::{Gateway, placement};
use crate::metrics as metric_names;
use crate::protocol::{http1, stated};

impl Gateway {
    /// Records the fields of an answer that concern the backend server itself.
    pub(super) fn note_stated(&self, run: &placement::Run, head: &http1::ResponseHead) {
        if !self.is_from_backend(head) {
            return;
        }
        let field = self.cfg.names.rate_limit;
        let rate_limit = stated::parse(&head.fields, field, stated::decimal);
        if rate_limit == stated::Stated::Invalid {
            self.log_invalid_field(run, field, head);
        }
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&run.id).filter(|b| run.is_of(b)) else {
            return;
        };
        let stated = match rate_limit {
            stated::Stated::Value(rate) => Some(rate),
            stated::Stated::Absent | stated::Stated::Invalid => None,
        };
        let before = std::mem::replace(&mut backend.rate_limit, stated);
        if before != stated {
            self.log_rate_limit(run, before, stated);
        }
    }

    /// Whether an answer is the backend server's own: another one may use its address, and an
    /// unsigned success is no answer.
    fn is_from_backend(&self, head: &http1::ResponseHead) -> bool {
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

    fn log_invalid_field(
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
