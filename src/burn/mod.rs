//! The burn report: how fast each service uses up its error budget.
//!
//! Queries every entry VM for the request counts that it keeps in memory and aggregates them. VMs
//! keep no other history: if a VM's history is shorter than a window, the report shows that.
//!
//! Two pairs of windows raise an alert. A burn of 14.4 over both 5 minutes and 1 hour uses up 2% of
//! a month's budget within that hour; a burn of 6 over both 1 hour and 6 hours uses up 5%. The
//! short window of each pair ends the alert soon after recovery; the long window keeps a burst of a
//! few seconds from raising an alert.

pub mod args;
pub mod html;
pub mod report;
pub mod text;

use std::fs;

use crate::cli;
use crate::protocol::history;
use crate::{error, exit_codes, settings};
use cli::{directory, entries, output};

/// Writes the report and returns the exit code.
pub fn run(args: &args::Args) -> exit_codes::ExitCode {
    match run_report(args) {
        Ok(code) => code,
        Err(err) => output::error(&err),
    }
}

fn run_report(args: &args::Args) -> Result<exit_codes::ExitCode, error::Error> {
    let out = output::Output::new(cli::args::Format::Table, args.color);
    let cx = cli::Context::new(&args.place, out)?;
    let addrs = entries::addresses(&cx)?;
    let windows = history::DEFAULT_WINDOWS_S.map(|s| s.to_string()).join(",");
    let answers = entries::query_all(&addrs, |addr| {
        let body = entries::get(addr, &format!("/history?windows={windows}"), "operators'")?;
        serde_json::from_slice(&body).map_err(|err| error::Error::Entry {
            addr: addr.to_string(),
            reason: format!("not a history: {err}"),
            listener: "operators'",
        })
    });
    let (mut histories, mut silent) = (Vec::new(), Vec::new());
    for answer in answers {
        match answer.result {
            Ok(history) => histories.push(history),
            Err(err) => silent.push(err.to_string()),
        }
    }
    let settings = objectives(&cx)?;
    let report = report::Report::build(&settings, &histories, silent, cli::now().as_secs());
    write(args, &report)?;
    if report.entries == 0 {
        return Ok(exit_codes::ExitCode::Failure);
    }
    if report
        .services
        .iter()
        .any(|service| !service.alerts.is_empty())
    {
        return Ok(exit_codes::ExitCode::Burning);
    }
    Ok(exit_codes::ExitCode::Success)
}

/// Settings that contain the objectives: those in the store, or those in the directory while the
/// store is unreachable, since the report matters most during an outage.
fn objectives(cx: &cli::Context) -> Result<settings::Settings, error::Error> {
    match cx.remote() {
        Ok(remote) if !remote.stored.is_empty() => Ok(remote.settings()),
        from_store => {
            let dir = directory::Directory::read(&cx.place.dir);
            let Ok(dir) = dir else {
                // Return the store's error, which is more useful than that of a missing directory.
                from_store?;
                return dir.map(|dir| settings::Settings { teams: dir.teams });
            };
            anstream::eprintln!(
                "warning: no settings are available from the store; using the objectives in {}",
                cx.place.dir.display()
            );
            Ok(settings::Settings { teams: dir.teams })
        }
    }
}

fn write(args: &args::Args, report: &report::Report) -> Result<(), error::Error> {
    let text = match args.format {
        args::Format::Text => text::render(report),
        args::Format::Json => {
            let json = serde_json::to_string_pretty(report);
            json.expect("a report has only values that JSON can hold") + "\n"
        }
        args::Format::Html => html::render(report),
    };
    let Some(path) = &args.out else {
        anstream::print!("{text}");
        return Ok(());
    };
    fs::write(path, anstream::adapter::strip_str(&text).to_string()).map_err(|source| {
        error::Error::Write {
            path: path.display().to_string(),
            source,
        }
    })
}
