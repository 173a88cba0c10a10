//! The entry process, which runs on each entry VM.

use std::env;
use std::process;

use bulrushwind::{config, entry, error, exit_codes, logging};
use clap::Parser;

fn main() -> process::ExitCode {
    let args = entry::args::Args::parse();
    match run(&args) {
        Ok(()) => exit_codes::ExitCode::Success.into(),
        Err(err) => {
            eprintln!("bulrushwind-entry: {err}");
            err.exit_code().into()
        }
    }
}

fn run(args: &entry::args::Args) -> Result<(), error::Error> {
    let overrides = config::Overrides::new(env::vars(), &args.set)?;
    let cfg = config::Config::layered(args.config.as_deref(), &overrides)?;
    if args.print_config {
        print!("{}", cfg.to_redacted_toml());
        return Ok(());
    }
    entry::run(cfg, logging::root("bulrushwind-entry"))
}
