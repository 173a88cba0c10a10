//! Renders the burn report as one self-contained HTML page, with styles and plots inline.

use super::{report, text};
use crate::cli::output;

/// Size of a plot, in pixels.
const PLOT_WIDTH_PX: f64 = 380.0;
const PLOT_HEIGHT_PX: f64 = 120.0;

/// Margins for a plot's axes, in pixels.
const LEFT_MARGIN_PX: f64 = 56.0;
const BOTTOM_MARGIN_PX: f64 = 18.0;
const TOP_MARGIN_PX: f64 = 10.0;

const STYLE: &str = "
body { font: 15px/1.45 system-ui, sans-serif; color: #1d2430; background: #f6f7f9; margin: 2rem auto; max-width: 82rem; padding: 0 1.5rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; }
section { background: #fff; border: 1px solid #dde1e7; border-radius: 8px; padding: 1rem 1.3rem; margin: 1.2rem 0; }
h2 { font-size: 1.15rem; margin: 0 0 .2rem; }
p { margin: .2rem 0; }
.note { color: #5a6575; }
.good { color: #1a7f43; }
.bad { color: #b3261e; font-weight: 600; }
table { border-collapse: collapse; margin: .8rem 0; font-variant-numeric: tabular-nums; }
th, td { padding: .25rem .8rem .25rem 0; text-align: right; white-space: nowrap; }
th { color: #5a6575; font-weight: 500; border-bottom: 1px solid #dde1e7; }
th:first-child, td:first-child, .wide th:nth-child(2), .wide td:nth-child(2) { text-align: left; }
.plots { display: flex; flex-wrap: wrap; gap: 1.2rem; }
figure { margin: 0; }
figcaption { color: #5a6575; font-size: .85rem; }
svg text { font: 11px system-ui, sans-serif; fill: #5a6575; }
";

/// Renders the report.
pub fn render(report: &report::Report) -> String {
    let at = std::time::UNIX_EPOCH + std::time::Duration::from_secs(report.at_s);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>{STYLE}</style></head><body>\n<h1>Service-level burn</h1>\n<p class=\"note\">{}, from {} entry VMs. A burn of 1 uses the budget up exactly; an alert is raised above {} over 5 min and 1 h, or above {} over 1 h and 6 h.</p>\n",
        humantime::format_rfc3339_seconds(at),
        report.entries,
        report::FAST_BURN,
        report::SLOW_BURN,
    );
    for silent in &report.silent {
        page.push_str(&format!(
            "<p class=\"bad\">Silent: {}</p>\n",
            escape(silent)
        ));
    }
    for service in &report.services {
        page.push_str(&render_service(service));
    }
    page.push_str(&drains(report));
    page.push_str("</body></html>\n");
    page
}

fn render_service(service: &report::Service) -> String {
    let objective = &service.objective;
    let mut html = format!(
        "<section><h2>{}</h2><p class=\"note\">{} answered, {} of them within {} ms</p>\n",
        escape(service.name.as_str()),
        text::percent_exact(objective.answered),
        text::percent_exact(objective.in_time),
        objective.latency_ms
    );
    if !service.is_used() {
        html.push_str("<p class=\"note\">No requests in any window.</p></section>\n");
        return html;
    }
    if service.alerts.is_empty() {
        html.push_str("<p class=\"good\">Within its objectives.</p>\n");
    }
    for alert in &service.alerts {
        html.push_str(&format!(
            "<p class=\"bad\">Burning: {}</p>\n",
            escape(alert)
        ));
    }
    html.push_str(&windows(service));
    html.push_str(&plots(service));
    html.push_str(&regions(service));
    html.push_str("</section>\n");
    html
}

fn windows(service: &report::Service) -> String {
    let headings = [
        "window",
        "reaches back",
        "requests",
        "unanswered",
        "burn of answered",
        "late",
        "burn of in time",
        "p50",
        "p99",
        "worth answered",
        "worth lost",
        "unknown fate",
    ];
    let rows = service.windows.iter().map(text::window_row);
    let table = table(&headings, &rows.collect::<Vec<_>>());
    format!("<div class=\"wide\">{table}</div>")
}

fn regions(service: &report::Service) -> String {
    let rows = service.regions.iter().map(text::region_row);
    let rows: Vec<_> = rows.collect();
    if rows.is_empty() {
        return "<p class=\"note\">No backend server accepts requests.</p>\n".to_owned();
    }
    table(
        &["region", "slots", "in hand", "load", "limit", "headroom"],
        &rows,
    )
}

fn drains(report: &report::Report) -> String {
    let rows = report.drains.iter().map(text::drain_row);
    let rows: Vec<_> = rows.collect();
    if rows.is_empty() {
        return String::new();
    }
    let table = table(&["place", "state", "took", "in flight"], &rows);
    format!("<section><h2>Drains</h2>{table}</section>\n")
}

fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let head = headings.iter().map(|h| format!("<th>{}</th>", escape(h)));
    let row = |row: &Vec<String>| {
        let cells = row.iter().map(|cell| format!("<td>{}</td>", escape(cell)));
        format!("<tr>{}</tr>\n", cells.collect::<String>())
    };
    format!(
        "<table><tr>{}</tr>\n{}</table>\n",
        head.collect::<String>(),
        rows.iter().map(row).collect::<String>()
    )
}

/// A plot of one series over time.
struct Plot<'a> {
    caption: &'a str,
    color: &'a str,
    /// Age in seconds, and value; `None` leaves a gap in the line.
    points: Vec<(u64, Option<f64>)>,
    /// Horizontal reference line, such as the objective's limit.
    limit: Option<f64>,
    format_value: fn(f64) -> String,
}

fn plots(service: &report::Service) -> String {
    if service.points.len() < 2 {
        return "<p class=\"note\">No plots yet: the entry VMs' history covers less than two minutes.</p>\n"
            .to_owned();
    }
    let series = |value: fn(&report::Point) -> Option<f64>| {
        let points = service
            .points
            .iter()
            .map(|point| (point.ago_s, value(point)));
        points.collect::<Vec<_>>()
    };
    let objective = &service.objective;
    let max_loads = service.regions.iter().map(|region| region.max_load);
    let all = [
        Plot {
            caption: "Unanswered, and the share that the objective allows",
            color: "#b3261e",
            points: series(|point| (point.requests > 0).then_some(point.unanswered)),
            limit: Some(1.0 - objective.answered),
            format_value: text::percent_exact,
        },
        Plot {
            caption: "p99 latency, and the objective's",
            color: "#2456a6",
            points: series(|point| point.p99_s.filter(|s| s.is_finite())),
            limit: Some(objective.latency_ms as f64 / 1000.0),
            format_value: |s| format!("{:.0} ms", s * 1000.0),
        },
        Plot {
            caption: "Peak load of the slots, and the lowest limit",
            color: "#1a7f43",
            points: series(|point| Some(point.peak_load)),
            limit: max_loads.reduce(f64::min),
            format_value: output::percent,
        },
    ];
    let figures = all.iter().map(figure).collect::<String>();
    format!("<div class=\"plots\">{figures}</div>\n")
}

fn figure(plot: &Plot<'_>) -> String {
    let values = plot.points.iter().filter_map(|(_, value)| *value);
    let y_max = values.chain(plot.limit).fold(0.0, f64::max).max(1e-6) * 1.1;
    let oldest = plot
        .points
        .iter()
        .map(|(ago, _)| *ago)
        .max()
        .unwrap_or(1)
        .max(1);
    let x = |ago: u64| {
        LEFT_MARGIN_PX + (PLOT_WIDTH_PX - LEFT_MARGIN_PX) * (1.0 - ago as f64 / oldest as f64)
    };
    let y = |value: f64| {
        TOP_MARGIN_PX + (PLOT_HEIGHT_PX - TOP_MARGIN_PX - BOTTOM_MARGIN_PX) * (1.0 - value / y_max)
    };
    let mut svg = format!(
        "<svg width=\"{PLOT_WIDTH_PX}\" height=\"{PLOT_HEIGHT_PX}\" viewBox=\"0 0 {PLOT_WIDTH_PX} {PLOT_HEIGHT_PX}\" role=\"img\" aria-label=\"{}\">",
        escape(plot.caption)
    );
    for value in [0.0, y_max / 1.1] {
        let at = y(value);
        svg.push_str(&format!(
            "<line x1=\"{LEFT_MARGIN_PX}\" y1=\"{at:.1}\" x2=\"{PLOT_WIDTH_PX}\" y2=\"{at:.1}\" stroke=\"#e3e6eb\"/><text x=\"{:.0}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>",
            LEFT_MARGIN_PX - 6.0,
            at + 4.0,
            (plot.format_value)(value)
        ));
    }
    if let Some(limit) = plot.limit {
        let at = y(limit);
        svg.push_str(&format!(
            "<line x1=\"{LEFT_MARGIN_PX}\" y1=\"{at:.1}\" x2=\"{PLOT_WIDTH_PX}\" y2=\"{at:.1}\" stroke=\"#8a94a3\" stroke-dasharray=\"4 3\"/>"
        ));
    }
    svg.push_str(&line(plot, &x, &y));
    svg.push_str(&format!(
        "<text x=\"{LEFT_MARGIN_PX}\" y=\"{:.0}\">{} ago</text><text x=\"{PLOT_WIDTH_PX}\" y=\"{0:.0}\" text-anchor=\"end\">now</text></svg>",
        PLOT_HEIGHT_PX - 3.0,
        output::format_duration(oldest * 1000)
    ));
    format!(
        "<figure><figcaption>{}</figcaption>{svg}</figure>",
        escape(plot.caption)
    )
}

/// SVG path through the points, with a gap for each missing value.
fn line(plot: &Plot<'_>, x: &impl Fn(u64) -> f64, y: &impl Fn(f64) -> f64) -> String {
    let mut path = String::new();
    let mut pen_down = false;
    for (ago, value) in &plot.points {
        let Some(value) = value else {
            pen_down = false;
            continue;
        };
        let step = if pen_down { 'L' } else { 'M' };
        path.push_str(&format!("{step}{:.1} {:.1} ", x(*ago), y(*value)));
        pen_down = true;
    }
    format!(
        "<path d=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.8\" stroke-linejoin=\"round\"/>",
        path.trim_end(),
        plot.color
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An unrelated process answers on an entry VM's address, and its error text contains markup.
    /// The operator's browser must not execute it.
    #[test]
    fn error_texts_are_escaped() {
        let report = report::Report {
            at_s: 0,
            entries: 0,
            silent: vec!["<script>alert(1)</script>".to_owned()],
            services: Vec::new(),
            drains: Vec::new(),
        };
        let page = render(&report);
        assert!(page.contains("&lt;script&gt;") && !page.contains("<script>"));
    }
}
