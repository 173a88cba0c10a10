//! The burn report's command line.

use std::path;

use crate::{cli, exit_codes};

/// Reports how fast each service uses up what its objectives allow.
///
/// Asks every entry VM for the counts that it keeps in memory and adds them up. Exits with 5 while
/// a service burns its error budget too fast, so that a timer can raise an alert.
#[derive(Debug, clap::Parser)]
#[command(name = "bulrushwind-burn", version, after_help = exit_codes::HELP, max_term_width = 100)]
pub struct Args {
    /// Where the deployment is.
    #[command(flatten)]
    pub place: cli::args::Place,
    /// What to write
    #[arg(long, value_enum, default_value_t, value_name = "FORMAT")]
    pub format: Format,
    /// Write to this file instead of standard output
    #[arg(long, short, value_name = "FILE")]
    pub out: Option<path::PathBuf>,
    /// When to use colours; NO_COLOR turns them off too
    #[arg(long, value_enum, default_value_t, value_name = "WHEN")]
    pub color: cli::args::Color,
}

/// What the report is written as.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Tables for a terminal.
    #[default]
    Text,
    /// One JSON value.
    Json,
    /// One page with plots that needs nothing else.
    Html,
}
