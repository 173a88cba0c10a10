//! What is written and counted of each request, so that one can be explained afterwards from logs
//! and metrics alone.
//!
//! A request that was not answered in time leaves a line, up to a rate; of the others those whose id
//! falls into a fixed share leave one, the same on all entry VMs. What the rate left out is said
//! in the next line of its kind.

use std::time;

use metrics::{counter, gauge, histogram};

use super::{Gateway, facts};
use crate::decisions::{affinity, policy, quota};
use crate::logging;
use crate::metrics as known;
use crate::protocol::routes;

/// Lines of each kind. At 250 bytes a line this is 10 KB a second, and under 1 of 100 of the
/// processor of a VM with a fifth of a core.
pub(super) const RATE: logging::Rate = logging::Rate {
    burst: 60.0,
    a_second: 40.0,
};

/// Within this the store counts as heard: a reader hears it twice a second.
const STORE_HEARD: time::Duration = time::Duration::from_secs(2);

/// Of the requests that were answered in time, one in so many leaves a line.
const SAMPLED: u64 = 64;

/// How a request ended.
#[derive(Debug)]
pub(super) struct Ended<'a> {
    pub(super) id: &'a [u8],
    pub(super) route: &'a routes::Route,
    /// The name of the customer who asked, where one must be known.
    pub(super) customer: &'a str,
    pub(super) service: &'a str,
    /// Whether another region serves its object.
    pub(super) away: bool,
    /// Whether its object was new, as far as this VM knows, where it was sent last.
    pub(super) new: bool,
    /// Requests that ran or waited there before it, as far as this VM knew.
    pub(super) ahead: f64,
    pub(super) status: u16,
    /// What became of it.
    pub(super) fate: &'static str,
    /// Why, where it was not answered well.
    pub(super) why: &'static str,
    /// Backend servers that it was sent to, the last last.
    pub(super) tried: &'a [crate::id::VmId],
    pub(super) sends: u32,
    /// When it had come, and when it was first sent.
    pub(super) received: policy::Moment,
    pub(super) first_sent: Option<policy::Moment>,
    pub(super) deadline: policy::Moment,
}

fn ms(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Gateway {
    /// Writes and counts how a request ended.
    pub(super) fn record(&self, ended: &Ended<'_>) {
        let now = self.now();
        let took = now.saturating_sub(ended.received);
        let service = self.labels.label(ended.service);
        counter!(known::REQUESTS, "service" => service.clone(), "operation" => self.labels.label(&ended.route.name),
            "fate" => ended.fate, "why" => ended.why)
        .increment(1);
        histogram!(known::LATENCY, "service" => service.clone()).record(took.as_secs_f64());
        if ended.sends > 1 {
            counter!(known::RETRIES, "service" => service.clone())
                .increment(u64::from(ended.sends - 1));
        }
        let in_time = ended.fate == "answered" && took <= ended.route.aim;
        if in_time {
            counter!(known::IN_TIME, "service" => service).increment(1);
        }
        let kind = match ended.fate {
            "answered" if !in_time => "late",
            fate => fate,
        };
        if in_time && !affinity::hash(ended.id).is_multiple_of(SAMPLED) {
            return;
        }
        let Some(left_out) = self.lines.admit(kind, now) else {
            counter!(known::LOG_SUPPRESSED, "event" => kind).increment(1);
            return;
        };
        let waited = ended
            .first_sent
            .unwrap_or(now)
            .saturating_sub(ended.received);
        let backends: Vec<&str> = ended.tried.iter().map(|id| id.as_str()).collect();
        slog::info!(self.log, "request";
            "request" => %String::from_utf8_lossy(ended.id), "fate" => kind, "why" => ended.why,
            "status" => ended.status, "route" => &ended.route.name, "customer" => ended.customer, "service" => ended.service,
            "away" => ended.away, "new" => ended.new, "ahead" => ended.ahead.round() as u64, "backends" => backends.join(","), "sends" => ended.sends,
            "waited_ms" => ms(waited), "took_ms" => ms(took),
            "left_ms" => ms(ended.deadline.saturating_sub(now)),
            "version" => self.table().map(|t| t.version),
            "store_age_ms" => self.store_age().map(ms), "left_out" => left_out);
    }

    /// Writes and counts a request whose caller is not known, without what it gave as its key.
    pub(super) fn record_turned_away(&self, id: &[u8], why: &'static str) {
        counter!(known::REQUESTS, "service" => "", "operation" => "", "fate" => "turned_away", "why" => why)
            .increment(1);
        if let Some(left_out) = self.lines.admit("turned away", self.now()) {
            slog::info!(self.log, "turned away"; "request" => %String::from_utf8_lossy(id), "why" => why,
                "version" => self.table().map(|t| t.version), "store_age_ms" => self.store_age().map(ms), "left_out" => left_out);
        }
    }

    /// Writes and counts a request that was beyond its customer's quota, with what was known of it here.
    pub(super) fn record_beyond(&self, facts: &facts::Facts, refused: &quota::Refused) {
        counter!(known::REQUESTS, "service" => "", "operation" => self.labels.label(&facts.route.name),
            "fate" => "beyond_quota", "why" => "")
        .increment(1);
        counter!(known::BEYOND_QUOTA, "customer" => self.labels.label(facts.customer_name()))
            .increment(1);
        let Some(left_out) = self.lines.admit("beyond quota", self.now()) else {
            counter!(known::LOG_SUPPRESSED, "event" => "beyond quota").increment(1);
            return;
        };
        let standing = &refused.state;
        slog::info!(self.log, "beyond quota"; "request" => %String::from_utf8_lossy(&facts.id),
            "customer" => facts.customer_name(), "route" => &facts.route.name,
            "aim" => standing.target, "own" => standing.own_used, "others" => standing.peers_used,
            "share" => standing.share, "speakers" => standing.admitting_vms,
            "heard_ms" => refused.oldest_report_age.map(ms), "after_ms" => ms(refused.retry_after),
            "version" => facts.table.version, "left_out" => left_out);
    }

    /// Writes that a request's caller left before its answer.
    pub(super) fn record_left(&self, id: &[u8]) {
        counter!(known::REQUESTS, "service" => "", "operation" => "", "fate" => "left", "why" => "")
            .increment(1);
        if let Some(left_out) = self.lines.admit("left", self.now()) {
            slog::info!(self.log, "caller left"; "request" => %String::from_utf8_lossy(id), "left_out" => left_out);
        }
    }

    /// Sets the gauges to what is now.
    pub fn set_gauges(&self) {
        let now = self.now();
        let backends = self.backends.borrow();
        if let Some(table) = self.table() {
            for name in table.services.keys() {
                let service = self.labels.label(name.as_str());
                let in_flight: u32 = backends.of(name).map(|b| b.in_flight).sum();
                let slots: u32 = backends.of(name).map(|b| b.listed.slots).sum();
                gauge!(known::IN_FLIGHT, "service" => service.clone()).set(f64::from(in_flight));
                gauge!(known::SLOTS, "service" => service).set(f64::from(slots));
            }
        }
        let heard = self.store_age().is_some_and(|age| age < STORE_HEARD);
        gauge!(known::STORE_UP).set(f64::from(u8::from(heard)));
        gauge!(known::PEERS).set(self.entries.borrow().len() as f64);
        gauge!(known::UPTIME_SECONDS).set(now.as_secs_f64());
    }

    /// Writes how one send of a request failed, with what was believed of its backend server.
    pub(super) fn record_send(
        &self,
        id: &[u8],
        service: &str,
        backend: &crate::id::VmId,
        outcome: &'static str,
        sends: u32,
    ) {
        let now = self.now();
        counter!(known::ATTEMPTS, "service" => self.labels.label(service), "ended" => outcome)
            .increment(1);
        let Some(left_out) = self.lines.admit("send", now) else {
            counter!(known::LOG_SUPPRESSED, "event" => "send").increment(1);
            return;
        };
        let backends = self.backends.borrow();
        let known = backends.get(backend);
        slog::info!(self.log, "send failed";
            "request" => %String::from_utf8_lossy(id), "backend" => %backend, "outcome" => outcome,
            "sends" => sends, "load" => known.map(|b| b.load(now)),
            "load_age_ms" => known.and_then(|b| b.report_age(now)).map(ms),
            "in_flight" => known.map(|b| b.in_flight),
            "cold" => known.map(|b| b.is_cold(now)), "left_out" => left_out);
    }
}
