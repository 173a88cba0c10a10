//! The command-line tool for operators.

use std::process;

use bulrushwind::cli;
use clap::Parser;

fn main() -> process::ExitCode {
    cli::run(&cli::args::Cli::parse()).into()
}
