//! The process on each entry VM.

use std::env;
use std::path;
use std::process;

use bulrushwind::{config, entry, error, exit_codes, logging};
use clap::Parser;

/// Answers look-ups, takes callers' requests and brings them to backend servers.
///
/// Stops as planned on SIGTERM or SIGINT: look-ups stop naming this VM, new requests are told
/// where to go, and what is in flight ends. Logs are JSON lines on standard error.
#[derive(Parser)]
#[command(version, about, long_about, after_help = exit_codes::HELP, max_term_width = 100)]
struct Cli {
    /// TOML file that tells this process its VM, availability zone and addresses
    #[arg(long, short, value_name = "FILE", env = "BULRUSHWIND_CONFIG")]
    config: Option<path::PathBuf>,
    /// Put a value over the file's and the environment's, such as lookup_ttl_ms=2000
    ///
    /// Each key can also come from an environment variable of its name, such as
    /// BULRUSHWIND_LOOKUP_TTL_MS. The parts of a list stand between commas.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Print the configuration in force, without secrets, and exit
    #[arg(long)]
    print_config: bool,
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
    let overrides = config::Overrides::new(env::vars(), &cli.set)?;
    let cfg = config::Config::layered(cli.config.as_deref(), &overrides)?;
    if cli.print_config {
        print!("{}", cfg.to_shown_toml());
        return Ok(());
    }
    entry::run(cfg, logging::root("bulrushwind-entry"))
}
