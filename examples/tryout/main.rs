//! Shows the whole path end to end on this machine, and checks the promises while it does.
//!
//! It starts a stand-in store, backend servers and entry VMs as processes of their own (this same
//! program under other arguments), lets callers work through a list of scenes, and prints what
//! the callers got. It exits with 1 if a promise broke.

mod deployment;
mod load;
mod report;
mod scenes;

use std::process;

use bulrushwind::{config, entry, error, exit_codes, logging, standin};
use clap::Parser;

/// Shows the whole path end to end on this machine.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    role: Option<Role>,
}

/// What a child process is.
#[derive(clap::Subcommand)]
enum Role {
    /// An entry VM.
    #[command(hide = true)]
    Entry {
        /// Its configuration.
        config: std::path::PathBuf,
    },
    /// A stand-in.
    #[command(hide = true)]
    Standin {
        /// Which one.
        #[command(subcommand)]
        which: standin::run::Standin,
    },
}

fn main() -> process::ExitCode {
    let done = match Cli::parse().role {
        Some(Role::Entry { config }) => run_entry(&config),
        Some(Role::Standin { which }) => standin::run::run(&which),
        None => return tryout(),
    };
    match done {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("tryout: {err}");
            err.exit_code().into()
        }
    }
}

fn run_entry(path: &std::path::Path) -> Result<(), error::Error> {
    entry::run(config::Config::read(path)?, logging::silent())
}

fn tryout() -> process::ExitCode {
    match scenes::play() {
        Ok(report) => {
            report.print();
            if report.broken() {
                return exit_codes::ExitCode::Failure.into();
            }
            exit_codes::ExitCode::Success.into()
        }
        Err(err) => {
            eprintln!("tryout: {err}; nothing was measured");
            exit_codes::ExitCode::Failure.into()
        }
    }
}
