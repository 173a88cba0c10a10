//! The entry process's command line.

use std::path;

use crate::exit_codes;

/// Answers look-ups and forwards callers' requests to backend servers.
///
/// Shuts down gracefully on SIGTERM or SIGINT: look-ups no longer return this VM, new requests are
/// refused as stopping, and requests in flight finish. Logs are JSON lines on standard error.
#[derive(Debug, clap::Parser)]
#[command(name = "bulrushwind-entry", version, after_help = exit_codes::HELP, max_term_width = 100)]
pub struct Args {
    /// TOML file with this process's VM, availability zone and addresses
    #[arg(long, short, value_name = "FILE", env = "BULRUSHWIND_CONFIG")]
    pub config: Option<path::PathBuf>,
    /// Override a value of the file or the environment, such as lookup_ttl_ms=2000
    ///
    /// Each key can also be set by an environment variable of its name, such as
    /// BULRUSHWIND_LOOKUP_TTL_MS. List elements are separated by commas.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub set: Vec<String>,
    /// Print the effective configuration, without secrets, and exit
    #[arg(long)]
    pub print_config: bool,
}
