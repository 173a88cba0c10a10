//! Runs a complete deployment on this machine and checks its guarantees under faults.
//!
//! Starts a stand-in store, backend servers and entry VMs as child processes (this program with
//! other arguments), runs a list of scenes under steady load, and prints the callers' results.
//! Exits with 1 if a guarantee was violated.

mod deployment;
mod load;
mod report;
mod scenes;

use std::process;

use bulrushwind::{config, entry, error, exit_codes, logging, standin};
use clap::Parser;

/// Runs a complete deployment on this machine and checks its guarantees.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    role: Option<Role>,
}

/// Role of a child process.
#[derive(clap::Subcommand)]
enum Role {
    /// An entry VM.
    #[command(hide = true)]
    Entry {
        /// Path of the configuration file.
        config: std::path::PathBuf,
    },
    /// A stand-in.
    #[command(hide = true)]
    Standin {
        /// The stand-in to run.
        #[command(subcommand)]
        which: standin::run::Standin,
    },
}

fn main() -> process::ExitCode {
    let result = match Cli::parse().role {
        Some(Role::Entry { config }) => run_entry(&config),
        Some(Role::Standin { which }) => standin::run::run(&which),
        None => return tryout(),
    };
    match result {
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
    match scenes::run() {
        Ok(report) => {
            report.print();
            if report.has_violations() {
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
