//! The report on service-level burn.

use std::process;

use bulrushwind::burn;
use clap::Parser;

fn main() -> process::ExitCode {
    burn::run(&burn::args::Args::parse()).into()
}
