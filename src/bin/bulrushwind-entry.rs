//! The process on each entry VM.

use std::path;
use std::process;

use bulrushwind::{config, entry, error, exit_codes, logging};
use clap::Parser;

/// Answers look-ups, takes callers' requests and brings them to backend servers.
///
/// Stops as planned on SIGTERM or SIGINT: look-ups stop naming this VM, new requests are told
/// where to go, and what is in flight ends. Logs are JSON lines on standard error.
#[derive(Parser)]
#[command(version, about, long_about)]
struct Cli {
    /// The TOML file that tells this process its VM, availability zone and addresses.
    #[arg(long, short, value_name = "FILE", env = "BULRUSHWIND_CONFIG")]
    config: path::PathBuf,
}

fn main() -> process::ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(()) => exit_codes::ExitCode::Success.into(),
        Err(err) => {
            eprintln!("bulrushwind-entry: {err}");
            err.exit_code().into()
        }
    }
}

fn run(cli: &Cli) -> Result<(), error::Error> {
    let cfg = config::Config::read(&cli.config)?;
    entry::run(cfg, logging::root("bulrushwind-entry"))
}
