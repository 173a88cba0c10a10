//! Runs a stand-in for the platform's store or for a backend server as a separate process.

use std::process;

use bulrushwind::{error, exit_codes, standin};
use clap::Parser;

/// Stand-ins for trying bulrushwind out on one machine.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    standin: standin::run::Standin,
}

fn main() -> process::ExitCode {
    match standin::run::run(&Cli::parse().standin) {
        Ok(()) => exit_codes::ExitCode::Success.into(),
        Err(err) => {
            let err: error::Error = err;
            eprintln!("bulrushwind-standin: {err}");
            err.exit_code().into()
        }
    }
}
