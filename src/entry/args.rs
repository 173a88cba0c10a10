//! The entry process's command line.

use std::path;

use crate::exit_codes;

/// Answers look-ups, takes callers' requests and brings them to backend servers.
///
/// Stops as planned on SIGTERM or SIGINT: look-ups stop naming this VM, new requests are told
/// where to go, and what is in flight ends. Logs are JSON lines on standard error.
#[derive(Debug, clap::Parser)]
#[command(name = "bulrushwind-entry", version, after_help = exit_codes::HELP, max_term_width = 100)]
pub struct Args {
    /// TOML file that tells this process its VM, availability zone and addresses
    #[arg(long, short, value_name = "FILE", env = "BULRUSHWIND_CONFIG")]
    pub config: Option<path::PathBuf>,
    /// Put a value over the file's and the environment's, such as lookup_ttl_ms=2000
    ///
    /// Each key can also come from an environment variable of its name, such as
    /// BULRUSHWIND_LOOKUP_TTL_MS. The parts of a list stand between commas.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub set: Vec<String>,
    /// Print the configuration in force, without secrets, and exit
    #[arg(long)]
    pub print_config: bool,
}
