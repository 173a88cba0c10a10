//! Renders the burn report as tables for a terminal.

use super::report;
use crate::cli::output;
use output::{BAD, GOOD, WARN, percent, styled};

/// Renders the report.
pub fn render(report: &report::Report) -> String {
    let mut text = format!("{} entry VMs answered\n", report.entries);
    for silent in &report.silent {
        text.push_str(&format!("{}\n", styled(WARN, &format!("silent: {silent}"))));
    }
    for service in &report.services {
        text.push_str(&render_service(service));
    }
    if !report.drains.is_empty() {
        let rows: Vec<_> = report.drains.iter().map(drain_row).collect();
        text.push('\n');
        text.push_str(&output::table(
            &["drain", "state", "took", "in flight"],
            &rows,
        ));
    }
    text
}

fn render_service(service: &report::Service) -> String {
    let objective = &service.objective;
    let mut text = format!(
        "\nservice {}: {} answered, {} of them within {} ms\n",
        service.name,
        percent_exact(objective.answered),
        percent_exact(objective.in_time),
        objective.latency_ms,
    );
    if !service.is_used() {
        text.push_str("  no requests in any window\n");
        return text;
    }
    if service.alerts.is_empty() {
        text.push_str(&format!("  {}\n", styled(GOOD, "within its objectives")));
    }
    for alert in &service.alerts {
        text.push_str(&format!(
            "  {}\n",
            styled(BAD, &format!("burning: {alert}"))
        ));
    }
    let rows: Vec<_> = service.windows.iter().map(window_row).collect();
    let headings = [
        "window",
        "reaches back",
        "requests",
        "unanswered",
        "its burn",
        "late",
        "its burn",
        "p50",
        "p99",
        "worth",
        "lost",
        "unknown",
    ];
    text.push_str(&output::table(&headings, &rows));
    let rows: Vec<_> = service.regions.iter().map(region_row).collect();
    if !rows.is_empty() {
        let headings = ["region", "slots", "in hand", "load", "limit", "headroom"];
        text.push_str(&output::table(&headings, &rows));
    }
    text
}

/// Table row for a window.
pub(super) fn window_row(window: &report::Window) -> Vec<String> {
    vec![
        report::format_window(window.asked_s),
        coverage(window),
        window.requests.to_string(),
        percent_exact(window.unanswered),
        format!("{:.1}", window.answered_burn),
        percent_exact(window.late),
        format!("{:.1}", window.in_time_burn),
        latency(window.p50_s),
        latency(window.p99_s),
        window.worth_answered.to_string(),
        window.worth_lost.to_string(),
        window.unknown.to_string(),
    ]
}

/// Describes how many VMs' histories cover the window.
pub fn coverage(window: &report::Window) -> String {
    if window.of == 0 {
        return "no VM knows it".to_owned();
    }
    if window.full == window.of {
        return "fully".to_owned();
    }
    format!(
        "{} of {} VMs; shortest {}",
        window.full,
        window.of,
        output::format_duration(window.shortest_s * 1000)
    )
}

/// Formats a latency, which is the upper bound of a histogram bucket.
pub fn latency(s: Option<f64>) -> String {
    match s {
        None => "-".to_owned(),
        Some(s) if s.is_infinite() => "over 15 s".to_owned(),
        Some(s) => format!("{:.0} ms", s * 1000.0),
    }
}

/// Formats a share as a percentage with up to three decimals, as objectives need.
pub fn percent_exact(share: f64) -> String {
    let text = format!("{:.3}", share * 100.0);
    let text = text.trim_end_matches('0').trim_end_matches('.');
    format!("{text}%")
}

/// Table row for a region.
pub(super) fn region_row(region: &report::Region) -> Vec<String> {
    vec![
        region.name.to_string(),
        region.slots.to_string(),
        region.in_hand.to_string(),
        percent(region.load()),
        percent(region.max_load),
        percent(region.max_load - region.load()),
    ]
}

/// Table row for a drain.
pub(super) fn drain_row(drain: &report::Drain) -> Vec<String> {
    let state = if drain.empty {
        "empty"
    } else {
        "still has traffic"
    };
    vec![
        drain.target.clone(),
        state.to_owned(),
        output::format_duration(drain.took_s * 1000),
        drain.in_flight.to_string(),
    ]
}
