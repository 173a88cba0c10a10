//! Reports how fast services consume the error budgets of their objectives.

use std::process;

use bulrushwind::burn;
use clap::Parser;

fn main() -> process::ExitCode {
    burn::run(&burn::args::Args::parse()).into()
}
