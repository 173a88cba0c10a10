//! Logs and counts requests, so that each can be explained afterwards from logs and metrics alone.
//!
//! Each request that was not answered in time is logged, up to a rate limit. Of the others a fixed
//! share is logged, selected by request id and the same on all entry VMs. Each line states how many
//! lines of its kind were suppressed before it.

use std::time;

use metrics::{counter, gauge, histogram};

use super::{Gateway, facts, pace, waiting};
use crate::decisions::{affinity, policy, quota, returns};
use crate::id;
use crate::logging;
use crate::metrics as metric_names;

/// Rate limit for each kind of line. At 250 bytes per line this is 10 KB per second, and costs less
/// than 1 % of the processor of a VM with a fifth of a core.
pub(super) const LOG_RATE: logging::Rate = logging::Rate {
    burst: 60.0,
    per_s: 40.0,
};

/// Maximum age of the store's last answer while it counts as up; a reader gets two per second.
const STORE_UP_MAX_AGE: time::Duration = time::Duration::from_secs(2);

/// One in this many requests answered in time is logged.
const SAMPLED_ONE_IN: u64 = 64;

/// How a request ended.
#[derive(Debug)]
pub(super) struct RequestOutcome<'a> {
    pub(super) facts: &'a facts::Facts,
    pub(super) service: &'a str,
    /// Whether the request was to run in another region.
    pub(super) remote: bool,
    /// Whether its object was new at the last backend server, as far as this VM knows.
    pub(super) new_object: bool,
    /// Requests running or queued there before it, as far as this VM knew.
    pub(super) ahead: f64,
    /// Why that backend server was chosen, if placement followed the pace.
    pub(super) placed_by: Option<pace::Placed>,
    pub(super) status: u16,
    /// The fate as a metric label.
    pub(super) fate: &'static str,
    /// The reason for any other fate than `answered`.
    pub(super) why: &'static str,
    /// Backend servers that it was sent to, in order.
    pub(super) tried: &'a [crate::id::VmId],
    /// The entry VM that the latest send went through; `None`: it was direct.
    pub(super) via: Option<&'a crate::id::VmId>,
    pub(super) sends: u32,
    pub(super) first_sent: Option<policy::Moment>,
    /// The stated retry delay of a refused request.
    pub(super) retry_after: Option<time::Duration>,
    /// Whether the budget for second sends lacked one for it when it was refused.
    pub(super) out_of_budget: bool,
    /// What the schedule of retries said; `None` if it was not asked.
    pub(super) promise: Option<&'a returns::Promise>,
    /// Its time in this VM's queue.
    pub(super) waited: waiting::Waited,
}

/// A send that failed.
#[derive(Debug)]
pub(super) struct FailedSend<'a> {
    pub(super) id: &'a [u8],
    pub(super) service: &'a str,
    pub(super) backend: &'a crate::id::VmId,
    pub(super) outcome: &'static str,
    /// Why there was no connection; empty for other outcomes.
    pub(super) connect_error: &'static str,
    /// Sends of the request so far.
    pub(super) sends: u32,
}

fn ms(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Gateway {
    pub(super) fn record(&self, outcome: &RequestOutcome<'_>) {
        let now = self.now();
        let facts = outcome.facts;
        let took = now.saturating_sub(facts.received);
        let service = self.labels.label(outcome.service);
        counter!(metric_names::REQUESTS, "service" => service.clone(), "operation" => self.labels.label(&facts.route.name),
            "fate" => outcome.fate, "why" => outcome.why)
        .increment(1);
        histogram!(metric_names::LATENCY, "service" => service.clone()).record(took.as_secs_f64());
        if outcome.sends > 1 {
            counter!(metric_names::RETRIES, "service" => service.clone())
                .increment(u64::from(outcome.sends - 1));
        }
        let in_time = outcome.fate == "answered" && took <= facts.route.latency_target;
        if in_time {
            counter!(metric_names::IN_TIME, "service" => service).increment(1);
        }
        let kind = match outcome.fate {
            "answered" if !in_time => "late",
            fate => fate,
        };
        if in_time && !affinity::hash(&facts.id).is_multiple_of(SAMPLED_ONE_IN) {
            return;
        }
        let Some(left_out) = self.log_limiter.admit(kind, now) else {
            counter!(metric_names::LOG_SUPPRESSED, "event" => kind).increment(1);
            return;
        };
        let waited = outcome
            .first_sent
            .unwrap_or(now)
            .saturating_sub(facts.received);
        let standing = self.share_standing(outcome.service, facts);
        let backends: Vec<&str> = outcome.tried.iter().map(|id| id.as_str()).collect();
        slog::info!(self.log, "request";
            "request" => %String::from_utf8_lossy(&facts.id), "fate" => kind, "why" => outcome.why,
            "status" => outcome.status, "route" => &facts.route.name, "customer" => facts.customer_name(), "service" => outcome.service,
            "away" => outcome.remote, "new" => outcome.new_object, "ahead" => outcome.ahead.round() as u64,
            "pace" => outcome.placed_by.map(|p| p.pace), "expected_ms" => outcome.placed_by.map(|p| ms(p.expected)), "backends" => backends.join(","),
            "via" => outcome.via.map_or("", |vm| vm.as_str()), "sends" => outcome.sends,
            "waited_ms" => ms(waited), "queued_ms" => ms(outcome.waited.span), "queue_end" => outcome.waited.end, "took_ms" => ms(took),
            "left_ms" => ms(facts.deadline.saturating_sub(now)), "used_ms" => facts.is_retry().then(|| ms(facts.used)),
            "retry_after_ms" => outcome.retry_after.map(ms), "out_of_budget" => outcome.out_of_budget, "promised_ahead" => outcome.promise.map(|p| p.ahead),
            "response_rate" => outcome.promise.map(|p| p.rate), "promise_kept" => outcome.promise.map(|p| p.kept),
            "version" => facts.table.version, "shares" => self.shares_text(facts),
            "above_share" => standing.map(|s| s.is_above), "fair_share" => standing.map(|s| s.share), "share_used" => standing.map(|s| s.used),
            "store_age_ms" => self.store_age().map(ms), "left_out" => left_out);
    }

    /// Logs and counts a request whose customer is not known, without the given key.
    pub(super) fn record_turned_away(&self, id: &[u8], why: &'static str) {
        counter!(metric_names::REQUESTS, "service" => "", "operation" => "", "fate" => "turned_away", "why" => why)
            .increment(1);
        if let Some(left_out) = self.log_limiter.admit("turned away", self.now()) {
            slog::info!(self.log, "turned away"; "request" => %String::from_utf8_lossy(id), "why" => why,
                "version" => self.table().map(|t| t.version), "store_age_ms" => self.store_age().map(ms), "left_out" => left_out);
        }
    }

    /// Logs and counts a request beyond its customer's quota, with this VM's view of the usage.
    pub(super) fn record_beyond_quota(&self, facts: &facts::Facts, refused: &quota::Refused) {
        counter!(metric_names::REQUESTS, "service" => "", "operation" => self.labels.label(&facts.route.name),
            "fate" => "beyond_quota", "why" => "")
        .increment(1);
        counter!(metric_names::BEYOND_QUOTA, "customer" => self.labels.label(facts.customer_name()))
            .increment(1);
        let Some(left_out) = self.log_limiter.admit("beyond quota", self.now()) else {
            counter!(metric_names::LOG_SUPPRESSED, "event" => "beyond quota").increment(1);
            return;
        };
        let standing = &refused.state;
        slog::info!(self.log, "beyond quota"; "request" => %String::from_utf8_lossy(&facts.id),
            "customer" => facts.customer_name(), "route" => &facts.route.name,
            "aim" => standing.target, "own" => standing.own_used, "others" => standing.peers_used,
            "share" => standing.share, "spread" => refused.is_spread, "speakers" => standing.admitting_vms,
            "heard_ms" => refused.oldest_report_age.map(ms), "after_ms" => ms(refused.retry_after),
            "version" => facts.table.version, "left_out" => left_out);
    }

    /// Logs and counts a request whose caller left before the answer.
    pub(super) fn record_caller_left(&self, id: &[u8]) {
        counter!(metric_names::REQUESTS, "service" => "", "operation" => "", "fate" => "left", "why" => "")
            .increment(1);
        if let Some(left_out) = self.log_limiter.admit("left", self.now()) {
            slog::info!(self.log, "caller left"; "request" => %String::from_utf8_lossy(id), "left_out" => left_out);
        }
    }

    /// Sets the gauges to their current values.
    pub fn set_gauges(&self) {
        let now = self.now();
        let backends = self.backends.borrow();
        if let Some(table) = self.table() {
            for name in table.services.keys() {
                let service = self.labels.label(name.as_str());
                let in_flight: u32 = backends.of_service(name).map(|b| b.in_flight).sum();
                let slots: u32 = backends.of_service(name).map(|b| b.listed.slots).sum();
                let ejected = backends
                    .of_service(name)
                    .filter(|b| b.health.is_ejected())
                    .count();
                gauge!(metric_names::EJECTED, "service" => service.clone()).set(ejected as f64);
                let limited = backends
                    .of_service(name)
                    .filter(|b| b.stated.rate_limit.get().is_some())
                    .count();
                gauge!(metric_names::RATE_LIMITED, "service" => service.clone())
                    .set(limited as f64);
                if let Some(cfg) = self.pace_of(name) {
                    let (mut sum, mut slow, mut count) = (0.0, 0.0, 0.0);
                    for b in backends.of_service(name) {
                        let pace = b.work_pace.get(cfg, now);
                        sum += pace;
                        slow += f64::from(u8::from(cfg.is_slow(pace)));
                        count += 1.0;
                    }
                    gauge!(metric_names::PACE, "service" => service.clone())
                        .set(sum / f64::max(count, 1.0));
                    gauge!(metric_names::SLOW, "service" => service.clone()).set(slow);
                }
                gauge!(metric_names::IN_FLIGHT, "service" => service.clone())
                    .set(f64::from(in_flight));
                gauge!(metric_names::SLOTS, "service" => service).set(f64::from(slots));
            }
        }
        self.set_queue_gauges();
        drop(backends);
        self.set_share_gauges();
        let is_store_up = self.store_age().is_some_and(|age| age < STORE_UP_MAX_AGE);
        gauge!(metric_names::STORE_UP).set(f64::from(u8::from(is_store_up)));
        gauge!(metric_names::CUT_OFF).set(f64::from(u8::from(self.is_cut_off())));
        self.set_socket_gauges();
        self.set_memory_gauges();
        gauge!(metric_names::TUNNELS).set(self.carried_tunnels() as f64);
        gauge!(metric_names::PEERS).set(self.entries.borrow().len() as f64);
        gauge!(metric_names::UPTIME_SECONDS).set(now.as_secs_f64());
    }

    /// Logs and counts a failed send, with this VM's view of the backend server.
    pub(super) fn record_send(&self, send: &FailedSend<'_>) {
        let now = self.now();
        counter!(metric_names::ATTEMPTS, "service" => self.labels.label(send.service), "ended" => send.outcome)
            .increment(1);
        let Some(left_out) = self.log_limiter.admit("send", now) else {
            counter!(metric_names::LOG_SUPPRESSED, "event" => "send").increment(1);
            return;
        };
        let backends = self.backends.borrow();
        let known = backends.get(send.backend);
        slog::info!(self.log, "send failed";
            "request" => %String::from_utf8_lossy(send.id), "backend" => %send.backend, "outcome" => send.outcome,
            "connect_error" => send.connect_error, "sends" => send.sends, "load" => known.map(|b| b.load(now)),
            "load_age_ms" => known.and_then(|b| b.report_age(now)).map(ms),
            "in_flight" => known.map(|b| b.in_flight),
            "cold" => known.map(|b| b.is_cold(now)), "rate_limit" => known.and_then(|b| b.stated.rate_limit.get()),
            "left_out" => left_out);
    }

    /// Logs that a backend server became unreachable while a request was sent to it.
    pub(super) fn record_unreachable(&self, id: &[u8], backend: &id::VmId) {
        if let Some(left_out) = self.log_limiter.admit("unreachable", self.now()) {
            slog::info!(self.log, "backend server unreachable while a request is sent"; "request" => %String::from_utf8_lossy(id), "backend" => %backend, "left_out" => left_out);
        }
    }

    /// Logs and counts a long answer that ended before it was complete.
    pub(super) fn record_cut_answer(
        &self,
        id: &[u8],
        backend: &id::VmId,
        why: &'static str,
        bytes: u64,
    ) {
        counter!(metric_names::ANSWERS_CUT, "why" => why).increment(1);
        if let Some(left_out) = self.log_limiter.admit("answer cut", self.now()) {
            slog::info!(self.log, "answer cut"; "request" => %String::from_utf8_lossy(id), "backend" => %backend, "why" => why, "bytes" => bytes, "left_out" => left_out);
        }
    }
}
