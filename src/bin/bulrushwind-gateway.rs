//! Runs the gateway process on an entry VM of the users' platform.

use std::net;
use std::path;
use std::process;

use bulrushwind::gateway::thresholds;
use bulrushwind::{error, exit_codes, logging, platform};
use clap::Parser;

/// Forwards callers' requests to backend servers by the routes in the platform's store.
///
/// Finishes requests in progress and exits on SIGTERM. Logs are JSON lines on standard output.
#[derive(Debug, clap::Parser)]
#[command(name = "bulrushwind-gateway", version, after_help = exit_codes::HELP, max_term_width = 100)]
struct Args {
    /// The settings file that the platform writes
    #[arg(long, value_name = "FILE", env = platform::names::SETTINGS_FILE_VAR)]
    settings: path::PathBuf,
    /// Port of this VM for metrics [default: the first of the ports that are free for us]
    #[arg(long, value_name = "PORT")]
    metrics_port: Option<u16>,
    /// Source address of connections to backend servers [default: chosen by the system]
    #[arg(long, value_name = "IP")]
    source_ip: Option<net::IpAddr>,
    /// TOML file with the decision thresholds that differ from the defaults
    #[arg(long, value_name = "FILE")]
    thresholds: Option<path::PathBuf>,
    /// Check the files and exit
    #[arg(long)]
    check: bool,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    match run(&args) {
        Ok(()) => exit_codes::ExitCode::Success.into(),
        Err(err) => {
            eprintln!("bulrushwind-gateway: {err}");
            err.exit_code().into()
        }
    }
}

fn run(args: &Args) -> Result<(), error::Error> {
    let thresholds = match &args.thresholds {
        Some(path) => thresholds::Thresholds::read(path)?,
        None => thresholds::Thresholds::default(),
    };
    let mut settings = platform::settings::read(&args.settings)?;
    settings.gateway.resend.used_share = thresholds.resend_budget_share;
    settings.gateway.thresholds = thresholds;
    settings.gateway.backend_source = args.source_ip;
    if let Some(port) = args.metrics_port {
        settings.metrics.set_port(port);
    }
    if args.check {
        return Ok(());
    }
    platform::run(settings, &logging::buffered("bulrushwind-gateway"))
}
