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
use crate::{id, logging, metrics as names, settings};
use policy::{AttemptOutcome, Destination, Moment};

/// Maximum length of caller-supplied text in a log line, in characters.
const MOST_TEXT: usize = 96;

/// Records metrics, log lines, recent decisions and the history of totals.
pub(super) struct Observer {
    log: slog::Logger,
    limiter: logging::Limiter,
    services: names::Bounded,
    recent: Mutex<explain::Ring>,
    history: Mutex<totals::History>,
    sent: Mutex<collections::BTreeMap<id::AzId, Moment>>,
}

/// Data of a request that is fixed at its arrival.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    /// The request's number on this VM.
    pub(super) id: u64,
    /// Time of arrival.
    pub(super) at: Moment,
    /// The operation's name.
    pub(super) operation: String,
    /// The operation's worth.
    pub(super) worth: u32,
    /// The service's latency objective.
    pub(super) in_time: time::Duration,
    /// The id given by the sending entry VM of another availability zone; `None` if a caller sent it.
    pub(super) sent_as: Option<String>,
}

impl Seen {
    pub(super) fn new(
        arrival: &policy::Arrival,
        at: Moment,
        service: &settings::Service,
        op: &settings::Operation,
        headers: &hyper::HeaderMap,
    ) -> Self {
        let across = arrival.origin != policy::Origin::Caller;
        let name = headers::text(headers, headers::REQUEST_ID).unwrap_or_default();
        Self {
            id: arrival.id.0,
            at,
            operation: op.name.clone(),
            worth: op.worth,
            in_time: time::Duration::from_millis(service.objective.latency_ms),
            sent_as: across.then(|| short(name)),
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
    /// No backend server answered, with the outcome and the reason.
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
        let _ = names::exporter();
        Self {
            log: log.clone(),
            limiter: logging::Limiter::default(),
            services: names::Bounded::default(),
            recent: Mutex::default(),
            history: Mutex::default(),
            sent: Mutex::default(),
        }
    }

    /// Records a request refused before it reached its service's executor.
    pub(super) fn turned_away(
        &self,
        now: Moment,
        request: u64,
        service: &str,
        problem: &outcome::Problem,
    ) {
        let (fate, why) = End::of(problem).labels();
        metrics::counter!(names::REQUESTS, "service" => "", "operation" => "", "fate" => fate, "why" => why)
            .increment(1);
        self.decided(now, request, "refused", &short(service), why);
    }

    /// Records the end of a request that reached its service's executor.
    pub(super) fn ended(&self, now: Moment, service: &id::ServiceId, seen: &Seen, end: End) {
        let (fate, why) = end.labels();
        if matches!(end, End::Problem(..)) {
            let event = if fate == "not_run" {
                "refused"
            } else {
                "unknown"
            };
            let sent_as = seen.sent_as.iter().map(|name| format!(" (sent as {name})"));
            let why = format!("{why}{}", sent_as.collect::<String>());
            self.decided(now, seen.id, event, service.as_str(), &why);
        }
        // The entry VM that received the request from its caller counts it.
        if seen.sent_as.is_some() {
            return;
        }
        let label = self.services.label(service.as_str());
        metrics::counter!(
            names::REQUESTS, "service" => label.clone(), "operation" => seen.operation.clone(),
            "fate" => fate, "why" => why
        )
        .increment(1);
        metrics::counter!(names::WORTH, "service" => label.clone(), "fate" => fate)
            .increment(seen.worth.into());
        let took = now.saturating_sub(seen.at);
        if end == End::Answered {
            metrics::histogram!(names::LATENCY, "service" => label.clone()).record(took);
            if took <= seen.in_time {
                metrics::counter!(names::IN_TIME, "service" => label).increment(1);
            }
        }
        let mut history = self.history.lock();
        if let Some(totals) = history.totals(service) {
            count(totals, seen, end, took);
        }
    }

    /// Records an attempt sent to a backend server or another availability zone.
    pub(super) fn sent(
        &self,
        now: Moment,
        service: &id::ServiceId,
        seen: &Seen,
        to: &Destination,
        own_az: &id::AzId,
        first: bool,
    ) {
        let label = self.services.label(service.as_str());
        if !first {
            metrics::counter!(names::RETRIES, "service" => label.clone()).increment(1);
        }
        let az = match to {
            Destination::Backend(_) => own_az,
            Destination::Az(az) => {
                let name = az.to_string();
                metrics::counter!(names::SPILLS, "service" => label, "az" => name.clone())
                    .increment(1);
                self.decided(now, seen.id, "spilled", service.as_str(), &name);
                az
            }
        };
        self.sent.lock().insert(az.clone(), now);
    }

    /// Records the end of an attempt.
    pub(super) fn attempt_ended(&self, service: &id::ServiceId, how: AttemptOutcome) {
        let how = match how {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Shed => "shed",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::Cancelled => "cancelled",
        };
        let label = self.services.label(service.as_str());
        metrics::counter!(names::ATTEMPTS, "service" => label, "ended" => how).increment(1);
    }

    /// Records a sent probe.
    pub(super) fn probed(&self, service: &id::ServiceId) {
        let label = self.services.label(service.as_str());
        metrics::counter!(names::PROBES, "service" => label).increment(1);
    }

    /// Records an answered look-up.
    pub(super) fn looked_up(&self, service: &id::ServiceId) {
        let label = self.services.label(service.as_str());
        metrics::counter!(names::LOOKUPS, "service" => label).increment(1);
    }

    /// Records an ejection, restoration, suspicion or quarantine reported by the policy.
    pub(super) fn noted(&self, now: Moment, service: &id::ServiceId, note: &note::Note) {
        let label = self.services.label(service.as_str());
        let (event, vm, detail) = match note {
            note::Note::Ejected { vm, down } => {
                metrics::counter!(names::EJECTIONS, "service" => label).increment(1);
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
                let print = format!("{:016x}", fingerprint.0);
                if *banned {
                    metrics::counter!(names::QUARANTINES, "service" => label).increment(1);
                    ("quarantined", vm, print)
                } else {
                    ("suspected", vm, print)
                }
            }
        };
        self.warn(now, event, service, vm, &detail);
    }

    /// Records a quarantine received from another entry VM.
    pub(super) fn told_of_ban(
        &self,
        now: Moment,
        service: &id::ServiceId,
        from: &id::VmId,
        entry: &quarantine::Ban,
    ) {
        let label = self.services.label(service.as_str());
        metrics::counter!(names::QUARANTINES, "service" => label).increment(1);
        let print = format!("{:016x}", entry.fingerprint.0);
        self.warn(now, "quarantined_by_peer", service, from, &print);
    }

    fn warn(
        &self,
        now: Moment,
        event: &'static str,
        service: &id::ServiceId,
        vm: &id::VmId,
        detail: &str,
    ) {
        let Some(held_back) = self.limiter.admit(event, now) else {
            return metrics::counter!(names::LOG_SUPPRESSED, "event" => event).increment(1);
        };
        slog::warn!(self.log, "{}", event; "event" => event, "service" => service.as_str(),
            "vm" => vm.as_str(), "detail" => detail, "held_back" => held_back);
    }

    /// Stores a decision about one request and logs it within the event's rate limit.
    fn decided(&self, now: Moment, request: u64, event: &'static str, service: &str, why: &str) {
        self.recent.lock().keep(request, now, event, service, why);
        let Some(held_back) = self.limiter.admit(event, now) else {
            return metrics::counter!(names::LOG_SUPPRESSED, "event" => event).increment(1);
        };
        slog::info!(self.log, "{}", event; "event" => event, "request" => request,
            "service" => service, "why" => why, "held_back" => held_back);
    }

    /// The recent decisions about a request.
    pub(super) fn about(&self, request: u64) -> Vec<explain::Decision> {
        self.recent.lock().about(request)
    }

    /// Records the number of pending requests of a service.
    pub(super) fn in_hand(&self, service: &id::ServiceId, count: u64) {
        self.history.lock().in_hand(service, count);
    }

    /// Advances the history's time windows.
    pub(super) fn tick(&self, now: Moment) {
        self.history.lock().tick(now);
    }

    /// Time of the last request to an availability zone.
    pub(super) fn last_sent(&self, az: &id::AzId) -> Option<Moment> {
        self.sent.lock().get(az).copied()
    }

    /// Reads the history of all services.
    pub(super) fn with_history<T>(&self, read: impl FnOnce(&totals::History) -> T) -> T {
        read(&self.history.lock())
    }

    /// The bounded metric label of a service.
    pub(super) fn label(&self, service: &id::ServiceId) -> std::sync::Arc<str> {
        self.services.label(service.as_str())
    }
}

/// Truncates caller-supplied text for a log line.
fn short(text: &str) -> String {
    text.chars().take(MOST_TEXT).collect()
}

fn count(totals: &mut totals::Totals, seen: &Seen, end: End, took: time::Duration) {
    let worth = u64::from(seen.worth);
    match end {
        End::Answered => {
            totals.answered += 1;
            totals.worth_answered += worth;
            totals.in_time += u64::from(took <= seen.in_time);
            totals.took(took);
            return;
        }
        End::Failed => totals.failed += 1,
        End::Problem(outcome::Outcome::NotRun, _) => totals.not_run += 1,
        End::Problem(..) => totals.unknown += 1,
    }
    totals.worth_lost += worth;
}
