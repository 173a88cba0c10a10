//! The names of all metrics, and their exporter in Prometheus' text format.
//!
//! All code uses the `metrics` macros with the names declared here, so that each name is spelt
//! once. Every label has a bounded set of values: services and operations declared in the settings,
//! availability zones, and variants of enums. Text from callers never becomes a label; otherwise a
//! caller could exhaust an entry VM's memory with ever new paths. [`BoundedLabel`] limits the
//! number of values of a label when the settings themselves are large.

use std::collections;
use std::sync;

use metrics_exporter_prometheus as prometheus;

/// Requests from callers, by fate.
pub const REQUESTS: &str = "bulrushwind_requests_total";
/// Worth of the requests from callers, by fate.
pub const WORTH: &str = "bulrushwind_worth_total";
/// Answers within the objective's latency.
pub const IN_TIME: &str = "bulrushwind_in_time_total";
/// Latency from a request's last byte received to its answer's first byte sent.
pub const LATENCY: &str = "bulrushwind_request_seconds";
/// Attempts at backend servers and other availability zones, by result.
pub const ATTEMPTS: &str = "bulrushwind_attempts_total";
/// Attempts of a request after its first attempt.
pub const RETRIES: &str = "bulrushwind_retries_total";
/// Second sends, by reason.
pub const SECOND_SENDS: &str = "bulrushwind_second_sends_total";
/// Requests refused for lack of budget for a second send, by rank.
pub const OUT_OF_BUDGET: &str = "bulrushwind_out_of_budget_total";
/// Retries of refused requests that this VM promised capacity.
pub const PROMISED_RETRIES: &str = "bulrushwind_promised_retries_total";
/// Requests recognised as retries of refused ones.
pub const RETRIES_SEEN: &str = "bulrushwind_retries_seen_total";
/// Requests sent to another availability zone.
pub const SPILLS: &str = "bulrushwind_spills_total";
/// Requests of this VM in flight at backend servers.
pub const IN_FLIGHT: &str = "bulrushwind_in_flight";
/// Requests queued on this VM.
pub const QUEUED: &str = "bulrushwind_queued";
/// Requests that wait on this VM, by rank.
pub const QUEUE_LENGTH: &str = "bulrushwind_queue_length";
/// Time that requests wait on this VM.
pub const QUEUE_SECONDS: &str = "bulrushwind_queue_seconds";
/// Ends of waits on this VM, by cause.
pub const QUEUE_ENDS: &str = "bulrushwind_queue_ends_total";
/// Slots of the backend servers that accept requests from this VM.
pub const SLOTS: &str = "bulrushwind_slots";
/// Backend servers that state a rate limit in their answers.
pub const RATE_LIMITED: &str = "bulrushwind_rate_limited_backends";
/// Requests sent to backend servers that state a rate limit.
pub const RATE_LIMITED_SENDS: &str = "bulrushwind_rate_limited_sends_total";
/// Mean pace of a service's backend servers.
pub const PACE: &str = "bulrushwind_pace";
/// Backend servers whose pace is slow.
pub const SLOW: &str = "bulrushwind_slow_backends";
/// Fields of answers that could not be read.
pub const INVALID_STATED: &str = "bulrushwind_invalid_answer_fields_total";
/// Ejections of backend servers.
pub const EJECTIONS: &str = "bulrushwind_ejections_total";
/// Backend servers that are ejected.
pub const EJECTED: &str = "bulrushwind_ejected_backends";
/// Quarantined request fingerprints.
pub const QUARANTINES: &str = "bulrushwind_quarantines_total";
/// Probes sent to backend servers.
pub const PROBES: &str = "bulrushwind_probes_total";
/// Requests refused because their customers' quotas were used up.
pub const BEYOND_QUOTA: &str = "bulrushwind_beyond_quota_total";
/// Fair shares of customers.
pub const CUSTOMER_SHARE: &str = "bulrushwind_customer_share";
/// Use of capacity by customers.
pub const CUSTOMER_USE: &str = "bulrushwind_customer_use";
/// Look-ups answered.
pub const LOOKUPS: &str = "bulrushwind_lookups_total";
/// Share of this VM's traffic that still goes to a draining target.
pub const DRAIN_REMAINING: &str = "bulrushwind_drain_remaining_share";
/// Duration of the last drain until the target was empty.
pub const DRAIN_SECONDS: &str = "bulrushwind_drain_seconds";
/// Version of a team's settings in force on this VM.
pub const SETTINGS_VERSION: &str = "bulrushwind_settings_version";
/// Received settings that were refused.
pub const SETTINGS_REFUSED: &str = "bulrushwind_settings_refused_total";
/// Calls to the platform's store.
pub const STORE_CALLS: &str = "bulrushwind_store_calls_total";
/// Whether the last call to the platform's store was answered.
pub const STORE_UP: &str = "bulrushwind_store_up";
/// Epoch of the platform's store, as its last answer stated it.
pub const STORE_EPOCH: &str = "bulrushwind_store_epoch";
/// Live peer entry VMs.
pub const PEERS: &str = "bulrushwind_peers";
/// Entry VMs that mirror the platform's store from this one.
pub const FOLLOWERS: &str = "bulrushwind_followers";
/// Whether this VM is cut off from all backend servers.
pub const CUT_OFF: &str = "bulrushwind_cut_off";
/// Requests to other entry VMs for a tunnel to a backend server, by result.
pub const TUNNEL_REQUESTS: &str = "bulrushwind_tunnel_requests_total";
/// Requests sent through tunnels.
pub const TUNNEL_SENDS: &str = "bulrushwind_tunnel_sends_total";
/// Tunnels that this VM carries for others.
pub const TUNNELS: &str = "bulrushwind_tunnels";
/// Bytes sent to and received from other entry VMs.
pub const PEER_BYTES: &str = "bulrushwind_peer_bytes_total";
/// Refused messages and connections from peers.
pub const PEER_REFUSED: &str = "bulrushwind_peer_refused_total";
/// Messages to or from peers dropped because a queue was full.
pub const PEER_DROPPED: &str = "bulrushwind_peer_dropped_total";
/// How late the event loop was.
pub const LOOP_LAG: &str = "bulrushwind_loop_lag_seconds";
/// How long answers waited for room on their callers' connections.
pub const WRITE_BLOCKED: &str = "bulrushwind_write_blocked_seconds";
/// Streamed request bodies, by how they ended.
pub const STREAMED_BODIES: &str = "bulrushwind_streamed_bodies_total";
/// Memory of long answers that are buffered.
pub const LONG_ANSWER_BYTES: &str = "bulrushwind_long_answer_bytes";
/// Long answers that ended before they were complete.
pub const ANSWERS_CUT: &str = "bulrushwind_answers_cut_total";
/// How long connections were in the listen queue at least.
pub const LISTEN_WAIT: &str = "bulrushwind_listen_wait_seconds";
/// Failed accepts of connections.
pub const ACCEPT_FAILURES: &str = "bulrushwind_accept_failures_total";
/// Idle connections closed to make room for others.
pub const IDLE_CLOSED: &str = "bulrushwind_idle_closed_total";
/// Memory that callers make this process hold.
pub const CALLER_MEMORY: &str = "bulrushwind_caller_memory_bytes";
/// Connections of callers without progress that were ended.
pub const SHED_CONNECTIONS: &str = "bulrushwind_shed_connections_total";
/// Requests in progress that were ended since their callers made no progress.
pub const STALLED_UPLOADS: &str = "bulrushwind_stalled_uploads_total";
/// Open sockets.
pub const OPEN_SOCKETS: &str = "bulrushwind_open_sockets";
/// Connections refused for want of file descriptors.
pub const REFUSED_CONNECTIONS: &str = "bulrushwind_refused_connections_total";
/// Requests refused because they were read too late.
pub const READ_TOO_LATE: &str = "bulrushwind_read_too_late_total";
/// Log lines suppressed by the rate limit.
pub const LOG_SUPPRESSED: &str = "bulrushwind_log_suppressed_total";
/// Processor time of the process.
pub const CPU_SECONDS: &str = "bulrushwind_cpu_seconds";
/// Resident memory of the process.
pub const RESIDENT_BYTES: &str = "bulrushwind_resident_bytes";
/// Time since the process started.
pub const UPTIME_SECONDS: &str = "bulrushwind_uptime_seconds";

/// Upper bounds of [`LATENCY`]'s buckets, in seconds. They cover latencies from answers within an
/// availability zone to the longest timeout. Up to 2 s, each bound is at most twice the previous.
pub const LATENCY_BUCKETS: [f64; 20] = [
    0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3,
    0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Label value for all values beyond a label's limit.
pub const OTHER: &str = "other";

/// Maximum number of values of a label whose values come from settings.
pub const MAX_LABEL_VALUES: usize = 64;

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A value that only increases.
    Counter,
    /// A value that increases and decreases.
    Gauge,
    /// Counts of observations per bucket.
    Histogram,
}

/// The declaration of a metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// The exported name.
    pub name: &'static str,
    /// The metric's type.
    pub kind: Kind,
    /// The label keys.
    pub labels: &'static [&'static str],
    /// The help text for operators.
    pub help: &'static str,
}

const fn metric(
    name: &'static str,
    kind: Kind,
    labels: &'static [&'static str],
    help: &'static str,
) -> Metric {
    Metric {
        name,
        kind,
        labels,
        help,
    }
}

/// All metrics. A test compares docs/operators/metrics.md with this list.
pub const ALL: &[Metric] = &[
    metric(
        REQUESTS,
        Kind::Counter,
        &["service", "operation", "fate", "why"],
        "Requests from callers, by fate (answered, failed, not_run, unknown, left, turned_away, beyond_quota) and, where not run, why.",
    ),
    metric(
        WORTH,
        Kind::Counter,
        &["service", "fate"],
        "Worth of the requests from callers, by fate.",
    ),
    metric(
        IN_TIME,
        Kind::Counter,
        &["service"],
        "Answers within the objective's latency.",
    ),
    metric(
        LATENCY,
        Kind::Histogram,
        &["service"],
        "Seconds from a request's arrival to its answer.",
    ),
    metric(
        ATTEMPTS,
        Kind::Counter,
        &["service", "ended"],
        "Attempts at backend servers and other availability zones, by how they ended.",
    ),
    metric(
        RETRIES,
        Kind::Counter,
        &["service"],
        "Attempts after a request's first.",
    ),
    metric(
        SECOND_SENDS,
        Kind::Counter,
        &["service", "reason"],
        "Sends after a request's first, by how the one before ended, or as a hedge. Those after `no connection` are not in the budget of second sends.",
    ),
    metric(
        OUT_OF_BUDGET,
        Kind::Counter,
        &["service", "rank"],
        "Refused requests that a backend server refused and for which no budget for a second send was left, by rank (0 is the most urgent).",
    ),
    metric(
        PROMISED_RETRIES,
        Kind::Counter,
        &["service"],
        "Refused requests whose Retry-After has capacity reserved by this VM.",
    ),
    metric(
        RETRIES_SEEN,
        Kind::Counter,
        &["service"],
        "Requests recognised as retries of refused ones, whichever VM refused them.",
    ),
    metric(
        SPILLS,
        Kind::Counter,
        &["service", "az"],
        "Requests sent to another availability zone.",
    ),
    metric(
        IN_FLIGHT,
        Kind::Gauge,
        &["service"],
        "Requests that backend servers work on for this VM.",
    ),
    metric(
        QUEUED,
        Kind::Gauge,
        &["service"],
        "Requests that wait on this VM.",
    ),
    metric(
        QUEUE_LENGTH,
        Kind::Gauge,
        &["service", "rank"],
        "Requests that wait on this VM for room at a backend server, by rank (0 is the most urgent). Late ones count under the least urgent rank.",
    ),
    metric(
        QUEUE_SECONDS,
        Kind::Histogram,
        &["service", "rank"],
        "Seconds that requests waited on this VM for room at a backend server, by rank.",
    ),
    metric(
        QUEUE_ENDS,
        Kind::Counter,
        &["service", "ended"],
        "Waits for room at a backend server, by how they ended: room, caller left, or why refused.",
    ),
    metric(
        SLOTS,
        Kind::Gauge,
        &["service"],
        "Slots of the backend servers that take work in this availability zone.",
    ),
    metric(
        RATE_LIMITED,
        Kind::Gauge,
        &["service"],
        "Backend servers whose answers to this VM name a limit on requests per second.",
    ),
    metric(
        RATE_LIMITED_SENDS,
        Kind::Counter,
        &["service"],
        "Requests of this VM sent to backend servers whose answers to it name such a limit.",
    ),
    metric(
        PACE,
        Kind::Gauge,
        &["service"],
        "Mean pace of the backend servers, where placement follows it; 1: as usual.",
    ),
    metric(
        SLOW,
        Kind::Gauge,
        &["service"],
        "Backend servers whose pace is slow, where placement follows it.",
    ),
    metric(
        INVALID_STATED,
        Kind::Counter,
        &["field"],
        "Fields in answers of backend servers that were malformed and therefore ignored.",
    ),
    metric(
        EJECTIONS,
        Kind::Counter,
        &["service"],
        "Times that a backend server was ejected.",
    ),
    metric(
        EJECTED,
        Kind::Gauge,
        &["service"],
        "Backend servers that get no requests of this VM after failures.",
    ),
    metric(
        QUARANTINES,
        Kind::Counter,
        &["service"],
        "Request fingerprints that were quarantined.",
    ),
    metric(
        PROBES,
        Kind::Counter,
        &["service"],
        "Probes sent to backend servers.",
    ),
    metric(
        BEYOND_QUOTA,
        Kind::Counter,
        &["customer"],
        "Requests refused since their customer had used its quota.",
    ),
    metric(
        CUSTOMER_SHARE,
        Kind::Gauge,
        &["service", "customer"],
        "Requests per second of this region's backend servers that are the customer's fair share while they are short of capacity; infinite if all demand fits, 0 otherwise.",
    ),
    metric(
        CUSTOMER_USE,
        Kind::Gauge,
        &["service", "customer"],
        "Requests of the customer in the last second, over all entry VMs, that got capacity while it is short; 0 otherwise.",
    ),
    metric(LOOKUPS, Kind::Counter, &["service"], "Look-ups answered."),
    metric(
        DRAIN_REMAINING,
        Kind::Gauge,
        &["az"],
        "Share of this VM's traffic that still goes to a draining place.",
    ),
    metric(
        DRAIN_SECONDS,
        Kind::Gauge,
        &["az"],
        "Seconds that the last drain took until nothing was left.",
    ),
    metric(
        SETTINGS_VERSION,
        Kind::Gauge,
        &["team"],
        "Version of the team's settings in force here.",
    ),
    metric(
        SETTINGS_REFUSED,
        Kind::Counter,
        &["team"],
        "Settings that were offered and not taken: forged, misplaced, older or unsound.",
    ),
    metric(
        STORE_CALLS,
        Kind::Counter,
        &["call", "outcome"],
        "Calls to the platform's store.",
    ),
    metric(
        STORE_UP,
        Kind::Gauge,
        &[],
        "1 if the last call to the platform's store was answered, else 0.",
    ),
    metric(
        STORE_EPOCH,
        Kind::Gauge,
        &[],
        "Epoch of the platform's store; grows when the store returns from an older copy.",
    ),
    metric(
        PEERS,
        Kind::Gauge,
        &[],
        "Entry VMs that this one hears from.",
    ),
    metric(
        FOLLOWERS,
        Kind::Gauge,
        &[],
        "Entry VMs that hear of the platform's store from this one.",
    ),
    metric(
        CUT_OFF,
        Kind::Gauge,
        &[],
        "1 while this VM is cut off from all backend servers.",
    ),
    metric(
        TUNNEL_REQUESTS,
        Kind::Counter,
        &["ended"],
        "Requests of this VM to other entry VMs for a tunnel to a backend server, by result.",
    ),
    metric(
        TUNNEL_SENDS,
        Kind::Counter,
        &["service"],
        "Requests sent to backend servers through other entry VMs.",
    ),
    metric(
        TUNNELS,
        Kind::Gauge,
        &[],
        "Tunnels to backend servers that this VM carries for other entry VMs.",
    ),
    metric(
        PEER_BYTES,
        Kind::Counter,
        &["direction"],
        "Bytes to and from other entry VMs.",
    ),
    metric(
        PEER_REFUSED,
        Kind::Counter,
        &[],
        "Messages and connections from peers that were refused: forged, malformed, too large or of a newer version.",
    ),
    metric(
        PEER_DROPPED,
        Kind::Counter,
        &["queue"],
        "Messages to a slow peer (link) or from a fast one (inbox) that were dropped.",
    ),
    metric(
        LOOP_LAG,
        Kind::Histogram,
        &[],
        "Seconds by which the event loop was late, where at least 0.01: the processor is exhausted or the process was paused.",
    ),
    metric(
        WRITE_BLOCKED,
        Kind::Histogram,
        &[],
        "Seconds for which an answer waited for room on its caller's connection, less the event loop's lag: the link is full or the caller reads slowly.",
    ),
    metric(
        STREAMED_BODIES,
        Kind::Counter,
        &["end"],
        "Streamed request bodies by how they ended: whole, unneeded (answered before the end), invalid, or cut (the connection closed).",
    ),
    metric(
        LONG_ANSWER_BYTES,
        Kind::Gauge,
        &[],
        "Bytes of long answers that were buffered for callers with further pending requests, when the last one was.",
    ),
    metric(
        ANSWERS_CUT,
        Kind::Counter,
        &["why"],
        "Long answers that ended before they were complete, by reason (time is up, too long, connection broke, not an answer, caller left).",
    ),
    metric(
        LISTEN_WAIT,
        Kind::Histogram,
        &[],
        "Estimated seconds that a connection was in the listen queue after a failed accept.",
    ),
    metric(
        ACCEPT_FAILURES,
        Kind::Counter,
        &["why"],
        "Failed accepts of connections, by reason (no_descriptors, other).",
    ),
    metric(
        IDLE_CLOSED,
        Kind::Counter,
        &[],
        "Idle connections of callers that were closed for want of file descriptors.",
    ),
    metric(
        CALLER_MEMORY,
        Kind::Gauge,
        &["owner"],
        "Memory that callers make the process hold, by owner (connections, received, unread, requests, uploads, answers, tunnels, links).",
    ),
    metric(
        SHED_CONNECTIONS,
        Kind::Counter,
        &["what"],
        "Connections that were ended for want of memory or file descriptors because their callers made no progress, by what was awaited: the rest of a request, or that an answer is read.",
    ),
    metric(
        STALLED_UPLOADS,
        Kind::Counter,
        &["service"],
        "Requests that were ended since their callers made no progress with their bodies while others found no room.",
    ),
    metric(
        OPEN_SOCKETS,
        Kind::Gauge,
        &["use"],
        "Open sockets of the process, by use (callers, refused, operators, backends, peers, store).",
    ),
    metric(
        REFUSED_CONNECTIONS,
        Kind::Counter,
        &["ended"],
        "Callers' connections refused for want of file descriptors, by end (answered, displaced by another one, invalid, left, timed_out).",
    ),
    metric(
        READ_TOO_LATE,
        Kind::Counter,
        &[],
        "Requests refused because their time was up or nearly up when they were read.",
    ),
    metric(
        LOG_SUPPRESSED,
        Kind::Counter,
        &["event"],
        "Log lines held back because too many were alike.",
    ),
    metric(
        CPU_SECONDS,
        Kind::Gauge,
        &[],
        "Processor time of the process, in seconds.",
    ),
    metric(
        RESIDENT_BYTES,
        Kind::Gauge,
        &[],
        "Resident memory of the process, in bytes.",
    ),
    metric(
        UPTIME_SECONDS,
        Kind::Gauge,
        &[],
        "Seconds since the process started.",
    ),
];

/// Renders the values recorded through the `metrics` macros.
#[derive(Clone, Debug)]
pub struct Exporter(prometheus::PrometheusHandle);

impl Exporter {
    /// All metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Moves recent observations into the histograms. Without a call every few seconds, they
    /// accumulate in memory until the next [`Exporter::render`].
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// The process-wide exporter. The first call installs the recorder. Several entry processes that a
/// test runs in one process share it.
pub fn exporter() -> &'static Exporter {
    static EXPORTER: sync::OnceLock<Exporter> = sync::OnceLock::new();
    EXPORTER.get_or_init(|| {
        let recorder = recorder();
        let handle = recorder.handle();
        // Fails only if a recorder is already installed, which then stays in use.
        let _ = metrics::set_global_recorder(recorder);
        describe();
        Exporter(handle)
    })
}

fn recorder() -> prometheus::PrometheusRecorder {
    let histograms = ALL.iter().filter(|metric| metric.kind == Kind::Histogram);
    histograms
        .fold(prometheus::PrometheusBuilder::new(), |builder, metric| {
            builder
                .set_buckets_for_metric(
                    prometheus::Matcher::Full(metric.name.to_owned()),
                    &LATENCY_BUCKETS,
                )
                .expect("the list of buckets is not empty")
        })
        .build_recorder()
}

fn describe() {
    for metric in ALL {
        match metric.kind {
            Kind::Counter => metrics::describe_counter!(metric.name, metric.help),
            Kind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
            Kind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
        }
    }
}

/// Set of one label's values, limited to [`MAX_LABEL_VALUES`].
#[derive(Debug, Default)]
pub struct BoundedLabel {
    values: parking_lot::RwLock<collections::BTreeSet<sync::Arc<str>>>,
}

impl BoundedLabel {
    /// Returns `value`, or [`OTHER`] for a new value once the limit is reached.
    pub fn label(&self, value: &str) -> sync::Arc<str> {
        if let Some(known) = self.values.read().get(value) {
            return known.clone();
        }
        let mut values = self.values.write();
        if values.len() >= MAX_LABEL_VALUES && !values.contains(value) {
            return OTHER.into();
        }
        let value: sync::Arc<str> = value.into();
        values.insert(value.clone());
        value
    }
}

#[cfg(test)]
mod tests {
    use std::fs;

    use super::*;

    #[test]
    fn each_metric_has_a_row_in_the_operators_page() {
        let page = fs::read_to_string("docs/operators/metrics.md").unwrap();
        for metric in ALL {
            let labels = metric.labels.iter().map(|label| format!("`{label}`"));
            let row = format!(
                "| `{}` | {} | {} | {} |",
                metric.name,
                format!("{:?}", metric.kind).to_lowercase(),
                labels.collect::<Vec<_>>().join(" "),
                metric.help
            );
            assert!(
                page.contains(&row),
                "docs/operators/metrics.md lacks: {row}"
            );
        }
        let rows = page
            .lines()
            .filter(|line| line.starts_with("| `bulrushwind_"));
        assert_eq!(
            rows.count(),
            ALL.len(),
            "the page has rows for removed metrics"
        );
    }

    #[test]
    fn recorded_metrics_are_rendered() {
        let recorder = recorder();
        metrics::with_local_recorder(&recorder, || {
            metrics::counter!(IN_TIME, "service" => "ledger").increment(2);
            metrics::histogram!(LATENCY, "service" => "ledger").record(0.004);
        });
        let text = recorder.handle().render();
        assert!(
            text.contains("bulrushwind_in_time_total{service=\"ledger\"} 2"),
            "{text}"
        );
        let bucket = "bulrushwind_request_seconds_bucket{service=\"ledger\",le=\"0.005\"} 1";
        assert!(text.contains(bucket), "{text}");
    }

    /// Guards against memory exhaustion when a team declares ever more services or caller text
    /// becomes a label by mistake: each new value takes memory permanently.
    #[test]
    fn the_values_of_a_label_are_limited() {
        let bounded = BoundedLabel::default();
        for n in 0..1000 {
            bounded.label(&format!("service-{n}"));
        }
        assert_eq!(&*bounded.label("service-0"), "service-0");
        assert_eq!(&*bounded.label("service-999"), OTHER);
        assert_eq!(bounded.values.read().len(), MAX_LABEL_VALUES);
    }
}
