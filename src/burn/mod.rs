//! The report on service-level burn: how fast each service uses up what its objectives allow.
//!
//! Every entry VM is asked for the counts that it keeps in memory, and these are added up. VMs
//! keep nothing else: a window that reaches further back than the memory of some VM says so, and
//! counts what there is.
//!
//! Two pairs of windows raise an alert. A burn of 14.4 over both 5 minutes and 1 hour uses up 2%
//! of a month's budget in that hour; a burn of 6 over both 1 hour and 6 hours uses up 5% of it.
//! The short window of each pair ends the alert soon after the cause is gone; the long one keeps
//! a burst of a few seconds from waking anybody.

pub mod args;
pub mod html;
pub mod report;
pub mod text;

use std::fs;

use crate::cli;
use crate::protocol::history;
use crate::{error, exit_codes, settings};
use cli::{directory, entries, output};

/// Makes the report and gives the exit code.
pub fn run(args: &args::Args) -> exit_codes::ExitCode {
    match make(args) {
        Ok(code) => code,
        Err(err) => output::error(&err),
    }
}

fn make(args: &args::Args) -> Result<exit_codes::ExitCode, error::Error> {
    let out = output::Output::new(cli::args::Format::Table, args.color);
    let cx = cli::Context::new(&args.place, out)?;
    let addrs = entries::addresses(&cx)?;
    let windows = history::DEFAULT_WINDOWS_S.map(|s| s.to_string()).join(",");
    let answers = entries::ask(&addrs, |addr| {
        let body = entries::get(addr, &format!("/history?windows={windows}"), "operators'")?;
        serde_json::from_slice(&body).map_err(|err| error::Error::Entry {
            addr: addr.to_string(),
            reason: format!("not a history: {err}"),
            listener: "operators'",
        })
    });
    let (mut told, mut silent) = (Vec::new(), Vec::new());
    for answer in answers {
        match answer.got {
            Ok(history) => told.push(history),
            Err(err) => silent.push(err.to_string()),
        }
    }
    let settings = objectives(&cx)?;
    let report = report::Report::make(&settings, &told, silent, cli::now().as_secs());
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

/// The settings whose objectives count: those in the store, or the directory's while the store is
/// out of reach. An outage is when the report is wanted most.
fn objectives(cx: &cli::Context) -> Result<settings::Settings, error::Error> {
    match cx.remote() {
        Ok(remote) if !remote.held.is_empty() => Ok(remote.settings()),
        from_store => {
            let dir = directory::Directory::read(&cx.place.dir);
            let Ok(dir) = dir else {
                // The store's fault says more than a missing directory.
                from_store?;
                return dir.map(|dir| settings::Settings { teams: dir.teams });
            };
            anstream::eprintln!(
                "warning: the store has no settings for this report; the objectives are those of {}",
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
