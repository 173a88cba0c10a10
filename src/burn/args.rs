//! Command-line arguments of the burn report.

use std::path;

use crate::{cli, exit_codes};

/// Reports how fast each service uses up its error budget.
///
/// Queries every entry VM for its request counts and aggregates them. Exits with 5 while a service
/// burns its error budget too fast, so that a scheduled run can raise an alert.
#[derive(Debug, clap::Parser)]
#[command(name = "bulrushwind-burn", version, after_help = exit_codes::HELP, max_term_width = 100)]
pub struct Args {
    /// Location of the deployment.
    #[command(flatten)]
    pub place: cli::args::Place,
    /// Output format
    #[arg(long, value_enum, default_value_t, value_name = "FORMAT")]
    pub format: Format,
    /// Write to this file instead of standard output
    #[arg(long, short, value_name = "FILE")]
    pub out: Option<path::PathBuf>,
    /// When to use colours; NO_COLOR turns them off too
    #[arg(long, value_enum, default_value_t, value_name = "WHEN")]
    pub color: cli::args::Color,
}

/// Output format of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Tables for a terminal.
    #[default]
    Text,
    /// One JSON value.
    Json,
    /// A self-contained page with plots.
    Html,
}
