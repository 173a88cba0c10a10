//! Metrics, log lines and decision records of requests, for operators.
//!
//! Every refusal, spill, ejection and quarantine is recorded here. The log is rate-limited per
//! event; the ring of decisions is not, so that any recent request can be explained by its id. No
//! body, header or credential of a caller is ever logged.
//!
//! Lock order: the locks here are taken last, and only for short updates.

use std::collections;
use std::time;

use parking_lot::Mutex;

use crate::decisions::{note, policy, quarantine};
use crate::protocol::{headers, outcome};
use crate::state::{explain, totals};
use crate::{id, logging, metrics as metric_names, settings};
use policy::{AttemptOutcome, Destination, Moment};

/// Maximum length of caller-supplied text in a log line, in characters.
const MAX_LOGGED_TEXT_CHARS: usize = 96;

/// Records metrics, log lines, recent decisions and the history of totals.
pub(super) struct Observer {
    log: slog::Logger,
    limiter: logging::Limiter,
    service_labels: metric_names::BoundedLabel,
    recent: Mutex<explain::DecisionRing>,
    history: Mutex<totals::History>,
    last_sent_at: Mutex<collections::BTreeMap<id::AzId, Moment>>,
}

/// Data of a request that is fixed at its arrival.
#[derive(Clone, Debug)]
pub(super) struct RequestInfo {
    /// The request's number on this VM.
    pub(super) id: u64,
    /// Time of arrival.
    pub(super) arrived_at: Moment,
    /// The operation's name.
    pub(super) operation: String,
    /// The operation's worth.
    pub(super) worth: u32,
    /// The service's latency objective.
    pub(super) latency_objective: time::Duration,
    /// Id from the entry VM of another availability zone that sent it; `None` if a caller sent it.
    pub(super) origin_request_id: Option<String>,
}

impl RequestInfo {
    pub(super) fn new(
        arrival: &policy::Arrival,
        arrived_at: Moment,
        service: &settings::Service,
        op: &settings::Operation,
        headers: &hyper::HeaderMap,
    ) -> Self {
        let from_other_az = arrival.origin != policy::Origin::Caller;
        let name = headers::text(headers, headers::REQUEST_ID).unwrap_or_default();
        Self {
            id: arrival.id.0,
            arrived_at,
            operation: op.name.clone(),
            worth: op.worth,
            latency_objective: time::Duration::from_millis(service.objective.latency_ms),
            origin_request_id: from_other_az.then(|| truncated(name)),
        }
    }
}

/// The end of a request, for labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// A backend server answered.
    Answered,
    /// A backend server answered with a server error.
    Failed,
    /// No backend server answered; holds the outcome and the reason.
    Problem(outcome::Outcome, &'static str),
}

impl End {
    pub(super) fn of(problem: &outcome::Problem) -> Self {
        Self::Problem(problem.outcome(), problem.reason())
    }

    fn labels(self) -> (&'static str, &'static str) {
        match self {
            Self::Answered => ("answered", ""),
            Self::Failed => ("failed", ""),
            Self::Problem(outcome::Outcome::NotRun, why) => ("not_run", why),
            Self::Problem(_, why) => ("unknown", why),
        }
    }
}

impl Observer {
    pub(super) fn new(log: &slog::Logger) -> Self {
        // Installs the metrics recorder before the first request.
        let _ = metric_names::exporter();
        Self {
            log: log.clone(),
            limiter: logging::Limiter::default(),
            service_labels: metric_names::BoundedLabel::default(),
            recent: Mutex::default(),
            history: Mutex::default(),
            last_sent_at: Mutex::default(),
        }
    }

    /// Records a request refused before it reached its service's executor.
    pub(super) fn record_refusal(
        &self,
        now: Moment,
        request: u64,
        service: &str,
        problem: &outcome::Problem,
    ) {
        let (fate, why) = End::of(problem).labels();
        metrics::counter!(metric_names::REQUESTS, "service" => "", "operation" => "", "fate" => fate, "why" => why)
            .increment(1);
        self.record_decision(now, request, "refused", &truncated(service), why);
    }

    /// Records the end of a request that reached its service's executor.
    pub(super) fn record_request_end(
        &self,
        now: Moment,
        service: &id::ServiceId,
        info: &RequestInfo,
        end: End,
    ) {
        let (fate, why) = end.labels();
        if matches!(end, End::Problem(..)) {
            let event = if fate == "not_run" {
                "refused"
            } else {
                "unknown"
            };
            let origin_request_id = info
                .origin_request_id
                .iter()
                .map(|name| format!(" (sent as {name})"));
            let why = format!("{why}{}", origin_request_id.collect::<String>());
            self.record_decision(now, info.id, event, service.as_str(), &why);
        }
        // Counted only by the entry VM that received the request from its caller.
        if info.origin_request_id.is_some() {
            return;
        }
        let label = self.service_labels.label(service.as_str());
        metrics::counter!(
            metric_names::REQUESTS, "service" => label.clone(), "operation" => info.operation.clone(),
            "fate" => fate, "why" => why
        )
        .increment(1);
        metrics::counter!(metric_names::WORTH, "service" => label.clone(), "fate" => fate)
            .increment(info.worth.into());
        let latency = now.saturating_sub(info.arrived_at);
        if end == End::Answered {
            metrics::histogram!(metric_names::LATENCY, "service" => label.clone()).record(latency);
            if latency <= info.latency_objective {
                metrics::counter!(metric_names::IN_TIME, "service" => label).increment(1);
            }
        }
        let mut history = self.history.lock();
        if let Some(totals) = history.totals(service) {
            add_to_totals(totals, info, end, latency);
        }
    }

    /// Records an attempt sent to a backend server or another availability zone.
    pub(super) fn record_sent(
        &self,
        now: Moment,
        service: &id::ServiceId,
        info: &RequestInfo,
        to: &Destination,
        local_az: &id::AzId,
        first: bool,
    ) {
        let label = self.service_labels.label(service.as_str());
        if !first {
            metrics::counter!(metric_names::RETRIES, "service" => label.clone()).increment(1);
        }
        let az = match to {
            Destination::Backend(_) => local_az,
            Destination::Az(az) => {
                let name = az.to_string();
                metrics::counter!(metric_names::SPILLS, "service" => label, "az" => name.clone())
                    .increment(1);
                self.record_decision(now, info.id, "spilled", service.as_str(), &name);
                az
            }
        };
        self.last_sent_at.lock().insert(az.clone(), now);
    }

    /// Records the end of an attempt.
    pub(super) fn record_attempt_end(
        &self,
        service: &id::ServiceId,
        attempt_outcome: AttemptOutcome,
    ) {
        let result = match attempt_outcome {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Shed => "shed",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::Cancelled => "cancelled",
        };
        let label = self.service_labels.label(service.as_str());
        metrics::counter!(metric_names::ATTEMPTS, "service" => label, "ended" => result)
            .increment(1);
    }

    /// Records a sent probe.
    pub(super) fn record_probe(&self, service: &id::ServiceId) {
        let label = self.service_labels.label(service.as_str());
        metrics::counter!(metric_names::PROBES, "service" => label).increment(1);
    }

    /// Records an answered look-up.
    pub(super) fn record_lookup(&self, service: &id::ServiceId) {
        let label = self.service_labels.label(service.as_str());
        metrics::counter!(metric_names::LOOKUPS, "service" => label).increment(1);
    }

    /// Records an ejection, restoration, suspicion or quarantine reported by the policy.
    pub(super) fn record_note(&self, now: Moment, service: &id::ServiceId, note: &note::Note) {
        let label = self.service_labels.label(service.as_str());
        let (event, vm, detail) = match note {
            note::Note::Ejected { vm, down } => {
                metrics::counter!(metric_names::EJECTIONS, "service" => label).increment(1);
                (
                    "ejected",
                    vm,
                    if *down { "unreachable" } else { "failing" }.to_owned(),
                )
            }
            note::Note::Restored { vm } => ("restored", vm, String::new()),
            note::Note::Suspected {
                vm,
                fingerprint,
                banned,
            } => {
                let fingerprint_hex = format!("{:016x}", fingerprint.0);
                if *banned {
                    metrics::counter!(metric_names::QUARANTINES, "service" => label).increment(1);
                    ("quarantined", vm, fingerprint_hex)
                } else {
                    ("suspected", vm, fingerprint_hex)
                }
            }
        };
        self.warn(now, event, service, vm, &detail);
    }

    /// Records a quarantine received from another entry VM.
    pub(super) fn record_received_ban(
        &self,
        now: Moment,
        service: &id::ServiceId,
        from: &id::VmId,
        entry: &quarantine::Ban,
    ) {
        let label = self.service_labels.label(service.as_str());
        metrics::counter!(metric_names::QUARANTINES, "service" => label).increment(1);
        let fingerprint_hex = format!("{:016x}", entry.fingerprint.0);
        self.warn(now, "quarantined_by_peer", service, from, &fingerprint_hex);
    }

    fn warn(
        &self,
        now: Moment,
        event: &'static str,
        service: &id::ServiceId,
        vm: &id::VmId,
        detail: &str,
    ) {
        let Some(suppressed) = self.limiter.admit(event, now) else {
            return metrics::counter!(metric_names::LOG_SUPPRESSED, "event" => event).increment(1);
        };
        slog::warn!(self.log, "{}", event; "event" => event, "service" => service.as_str(),
            "vm" => vm.as_str(), "detail" => detail, "held_back" => suppressed);
    }

    /// Stores a decision about one request and logs it within the event's rate limit.
    fn record_decision(
        &self,
        now: Moment,
        request: u64,
        event: &'static str,
        service: &str,
        why: &str,
    ) {
        self.recent.lock().record(request, now, event, service, why);
        let Some(suppressed) = self.limiter.admit(event, now) else {
            return metrics::counter!(metric_names::LOG_SUPPRESSED, "event" => event).increment(1);
        };
        slog::info!(self.log, "{}", event; "event" => event, "request" => request,
            "service" => service, "why" => why, "held_back" => suppressed);
    }

    /// The recent decisions about a request.
    pub(super) fn decisions_on(&self, request: u64) -> Vec<explain::Decision> {
        self.recent.lock().about(request)
    }

    /// Records the number of pending requests of a service.
    pub(super) fn record_pending(&self, service: &id::ServiceId, count: u64) {
        self.history.lock().record_in_flight(service, count);
    }

    /// Advances the history's time windows.
    pub(super) fn tick(&self, now: Moment) {
        self.history.lock().tick(now);
    }

    /// Time of the last request to an availability zone.
    pub(super) fn last_sent(&self, az: &id::AzId) -> Option<Moment> {
        self.last_sent_at.lock().get(az).copied()
    }

    /// Reads the history of all services.
    pub(super) fn with_history<T>(&self, read: impl FnOnce(&totals::History) -> T) -> T {
        read(&self.history.lock())
    }

    /// The bounded metric label of a service.
    pub(super) fn label(&self, service: &id::ServiceId) -> std::sync::Arc<str> {
        self.service_labels.label(service.as_str())
    }
}

/// Truncates caller-supplied text for a log line.
fn truncated(text: &str) -> String {
    text.chars().take(MAX_LOGGED_TEXT_CHARS).collect()
}

fn add_to_totals(
    totals: &mut totals::Totals,
    info: &RequestInfo,
    end: End,
    latency: time::Duration,
) {
    let worth = u64::from(info.worth);
    match end {
        End::Answered => {
            totals.answered += 1;
            totals.worth_answered += worth;
            totals.in_time += u64::from(latency <= info.latency_objective);
            totals.count_latency(latency);
            return;
        }
        End::Failed => totals.failed += 1,
        End::Problem(outcome::Outcome::NotRun, _) => totals.not_run += 1,
        End::Problem(..) => totals.unknown += 1,
    }
    totals.worth_lost += worth;
}
