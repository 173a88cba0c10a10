//! What operators see of each request: counts, log lines, and why it was decided so.
//!
//! Everything that refuses, spills, ejects or quarantines passes here. The log holds back lines
//! that come too often; the ring of decisions does not, so that any recent request can be
//! explained by its id. No body, header or credential of a caller is ever logged.
//!
//! The locks here are taken last and held for a few additions.

use std::collections;
use std::time;

use parking_lot::Mutex;

use crate::decisions::{note, policy, quarantine};
use crate::protocol::{headers, outcome};
use crate::state::{explain, totals};
use crate::{id, logging, metrics as names, settings};
use policy::{AttemptOutcome, Destination, Moment};

/// Characters of a caller's text that go into a log line.
const MOST_TEXT: usize = 96;

/// Counts, logs and explains.
pub(super) struct Observer {
    log: slog::Logger,
    limiter: logging::Limiter,
    services: names::Bounded,
    recent: Mutex<explain::DecisionRing>,
    history: Mutex<totals::History>,
    sent: Mutex<collections::BTreeMap<id::AzId, Moment>>,
}

/// What is known of a request from its arrival on.
#[derive(Clone, Debug)]
pub(super) struct Seen {
    /// Its number.
    pub(super) id: u64,
    /// When it arrived.
    pub(super) at: Moment,
    /// Its operation.
    pub(super) operation: String,
    /// What its answer counts.
    pub(super) worth: u32,
    /// The latency that counts as in time.
    pub(super) in_time: time::Duration,
    /// The name that the entry VM gave it which sent it across; `None` for an own caller's.
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

/// How a request ended, as a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// A backend server answered.
    Answered,
    /// A backend server answered that it failed.
    Failed,
    /// There is no backend server's answer, for this reason.
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
        // Counting starts before the first request.
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

    /// A request was turned away before it came to a service's desk.
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

    /// A request that came to a service's desk ended.
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
        // The entry VM that the caller asked counts the request.
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

    /// A request goes to a backend server or another availability zone.
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

    /// An attempt ended.
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

    /// A probe was sent.
    pub(super) fn probed(&self, service: &id::ServiceId) {
        let label = self.services.label(service.as_str());
        metrics::counter!(names::PROBES, "service" => label).increment(1);
    }

    /// A look-up was answered.
    pub(super) fn looked_up(&self, service: &id::ServiceId) {
        let label = self.services.label(service.as_str());
        metrics::counter!(names::LOOKUPS, "service" => label).increment(1);
    }

    /// The policy decided something beside its actions.
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

    /// Another entry VM told of a request that crashes backend servers.
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

    /// A decision about one request: kept for its explanation, and logged unless there are too
    /// many like it.
    fn decided(&self, now: Moment, request: u64, event: &'static str, service: &str, why: &str) {
        self.recent.lock().record(request, now, event, service, why);
        let Some(held_back) = self.limiter.admit(event, now) else {
            return metrics::counter!(names::LOG_SUPPRESSED, "event" => event).increment(1);
        };
        slog::info!(self.log, "{}", event; "event" => event, "request" => request,
            "service" => service, "why" => why, "held_back" => held_back);
    }

    /// What was decided about a request.
    pub(super) fn about(&self, request: u64) -> Vec<explain::Decision> {
        self.recent.lock().about(request)
    }

    /// Notes how many requests of a service are in hand.
    pub(super) fn in_hand(&self, service: &id::ServiceId, count: u64) {
        self.history.lock().record_in_flight(service, count);
    }

    /// Keeps the past.
    pub(super) fn tick(&self, now: Moment) {
        self.history.lock().tick(now);
    }

    /// When a request last went to an availability zone.
    pub(super) fn last_sent(&self, az: &id::AzId) -> Option<Moment> {
        self.sent.lock().get(az).copied()
    }

    /// The past of every service.
    pub(super) fn with_history<T>(&self, read: impl FnOnce(&totals::History) -> T) -> T {
        read(&self.history.lock())
    }

    /// The label of a service.
    pub(super) fn label(&self, service: &id::ServiceId) -> std::sync::Arc<str> {
        self.services.label(service.as_str())
    }
}

/// Text that came from outside, cut to what a log line should bear.
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
            totals.count_latency(took);
            return;
        }
        End::Failed => totals.failed += 1,
        End::Problem(outcome::Outcome::NotRun, _) => totals.not_run += 1,
        End::Problem(..) => totals.unknown += 1,
    }
    totals.worth_lost += worth;
}
