//! Prints results as tables and coloured text or as JSON, and asks for confirmation.

use std::io;

use anstyle::{AnsiColor, Style};

use super::{apply, args, plan};
use crate::{error, exit_codes};

/// Style for additions and good results.
pub const GOOD: Style = AnsiColor::Green.on_default();
/// Style for removals and errors.
pub const BAD: Style = AnsiColor::Red.on_default();
/// Style for changes and warnings.
pub const WARN: Style = AnsiColor::Yellow.on_default();

/// Output in the selected format.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    format: args::Format,
}

impl Output {
    /// Sets the process-wide colour mode and creates the output.
    pub fn new(format: args::Format, color: args::Color) -> Self {
        match color {
            args::Color::Auto => {}
            args::Color::Always => anstream::ColorChoice::Always.write_global(),
            args::Color::Never => anstream::ColorChoice::Never.write_global(),
        }
        Self { format }
    }

    /// Whether the output format is JSON.
    pub fn is_json(&self) -> bool {
        self.format == args::Format::Json
    }

    /// Prints a value, if the output format is JSON.
    pub fn json<T: serde::Serialize>(&self, value: &T) {
        if self.is_json() {
            let text = serde_json::to_string_pretty(value);
            anstream::println!(
                "{}",
                text.expect("results have only values that JSON can hold")
            );
        }
    }

    /// Prints a line, unless the output format is JSON.
    pub fn line(&self, text: &str) {
        if !self.is_json() {
            anstream::println!("{text}");
        }
    }

    /// Prints a table, unless the output format is JSON or there are no rows.
    pub fn table(&self, headings: &[&str], rows: &[Vec<String>]) {
        if self.is_json() || rows.is_empty() {
            return;
        }
        self.line(table(headings, rows).trim_end());
    }
}

/// Formats a table.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = comfy_table::Table::new();
    table
        .load_style(comfy_table::presets::NOTHING)
        .set_content_arrangement(comfy_table::ContentArrangement::Disabled)
        .set_header(headings);
    for row in rows {
        table.add_row(row);
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    format!("{}\n", table.trim_fmt())
}

/// Prints an error to standard error and returns its exit code.
pub fn error(err: &error::Error) -> exit_codes::ExitCode {
    anstream::eprintln!("{BAD}error:{BAD:#} {err}");
    err.exit_code()
}

/// Formats text in a style.
pub fn styled(style: Style, text: &str) -> String {
    format!("{style}{text}{style:#}")
}

/// Formats a share as a percentage.
pub fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Formats a duration in milliseconds, rounded up to whole seconds.
pub fn format_duration(ms: u64) -> String {
    humantime::format_duration(std::time::Duration::from_secs(ms.div_ceil(1000))).to_string()
}

/// Asks for confirmation on the terminal. Fails without a terminal.
pub fn confirm(question: &str) -> Result<bool, error::Error> {
    use io::{BufRead, IsTerminal};
    if !io::stdin().is_terminal() {
        let what =
            "cannot ask for confirmation without a terminal; give --yes to write without asking";
        return Err(error::Error::Config(what.to_owned()));
    }
    anstream::eprint!("{question} [y/N] ");
    let mut answer = String::new();
    let read = io::stdin().lock().read_line(&mut answer);
    Ok(read.is_ok() && matches!(answer.trim(), "y" | "Y" | "yes"))
}

impl Output {
    /// Shows a plan's changes and the traffic that they move.
    pub fn plan(&self, plan: &plan::Plan) {
        self.json(plan);
        for change in &plan.changes {
            let base = match change.base.0 {
                0 => "new".to_owned(),
                base => format!("planned on revision {base}"),
            };
            self.line(&format!("team {} ({base})", change.team));
            if let Some(why) = &change.rewrite {
                self.line(&styled(WARN, &format!("  ! rewritten: {why}")));
            }
            for difference in &change.differences {
                let text = difference.to_string();
                let style = match text.as_bytes()[0] {
                    b'+' => GOOD,
                    b'-' => BAD,
                    _ => WARN,
                };
                self.line(&format!("  {}", styled(style, &text)));
            }
        }
        if plan.changes.is_empty() {
            self.line("Nothing to change: the store matches the directory.");
        }
        self.shifts(plan);
    }

    fn shifts(&self, plan: &plan::Plan) {
        let rows: Vec<Vec<String>> = plan.shifts.iter().map(shift_row).collect();
        if rows.is_empty() {
            return;
        }
        self.line("\nTraffic that this moves:");
        let headings = [
            "service",
            "leaves",
            "share",
            "cap",
            "a step",
            "steps",
            "takes",
            "load",
            "fits below",
        ];
        self.table(&headings, &rows);
    }

    /// Shows the result of an apply.
    pub fn applied(&self, outcome: &apply::Outcome) {
        self.json(&outcome.written);
        for written in &outcome.written {
            let text = format!(
                "team {} is at version {} (change {}, revision {})",
                written.team, written.version, written.change, written.revision.0
            );
            self.line(&styled(GOOD, &text));
        }
        for team in &outcome.not_written {
            self.line(&styled(WARN, &format!("team {team} was not written")));
        }
    }
}

fn shift_row(shift: &super::shift::Shift) -> Vec<String> {
    let leaves = shift.leaves.iter().map(ToString::to_string);
    let leaves = leaves.collect::<Vec<_>>().join(" ");
    let load = |load: f64| {
        format!(
            "{} -> {}",
            percent(load),
            percent(shift.load_after.unwrap_or(load))
        )
    };
    vec![
        shift.service.to_string(),
        if leaves.is_empty() {
            "spread".to_owned()
        } else {
            leaves
        },
        percent(shift.share),
        percent(shift.cap),
        percent(shift.a_step),
        shift.steps.to_string(),
        format_duration(shift.takes_ms),
        shift.load.map_or_else(|| "not known".to_owned(), load),
        percent(shift.fits_below),
    ]
}
