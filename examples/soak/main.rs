//! A randomized soak test: gateways run as child processes; the store, backend servers and callers
//! run in this process, which injects faults. From the view of callers and backend servers, it
//! checks that no booking runs twice, that each caller gets the complete answer to its own request,
//! that requests reported as not run did not run, that a planned stop interrupts no request, also of callers that
//! read slowly, pipeline or send long bodies, that
//! no VM returns to an older configuration, that VMs which are cut off from all backend servers
//! serve first tries as the others do, that the parts of a split route get their weights over all
//! VMs, that customers within their shares are served beside one that asks for far more (every
//! second seed), that crowds of callers which stop short of the end of their requests neither end a VM nor use up its
//! memory, and that all VMs recover.
//!
//! ```text
//! cargo run --release --example soak -- --seeds 10
//! cargo run --release --example soak -- --first 17 --seeds 1 --keep-logs logs
//! ```

mod callers;
mod competition;
mod crowds;
mod cuts;
mod faults;
mod restores;
mod scene;
mod shares;
mod stops;
mod uploads;

#[path = "../../tests/support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform's adapter")]
mod support;

use std::path;
use std::process;
use std::time;

use clap::Parser;
use tokio::task;

/// Injects faults into gateway processes and checks the responses to callers.
#[derive(Debug, clap::Parser)]
struct Args {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds to run
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Continue with further seeds until this many minutes have passed
    #[arg(long)]
    minutes: Option<f64>,
    /// Number of entry VMs
    #[arg(long, default_value_t = 6)]
    vms: usize,
    /// Duration of fault injection for each seed, in seconds
    #[arg(long, default_value_t = 8.0)]
    faults: f64,
    /// Run the recorded seeds that have failed before
    #[arg(long)]
    kept: bool,
    /// Write the processes' logs to this directory
    #[arg(long, value_name = "DIR")]
    keep_logs: Option<path::PathBuf>,
}

/// Recorded seeds that have failed before.
#[derive(Debug, serde::Deserialize)]
struct FailedSeeds {
    seed: Vec<FailedSeed>,
}

#[derive(Debug, serde::Deserialize)]
struct FailedSeed {
    seed: u64,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let started_at = time::Instant::now();
    let has_time_left = || {
        let minutes = args.minutes.unwrap_or_default();
        started_at.elapsed().as_secs_f64() < minutes * 60.0
    };
    let kept: FailedSeeds = toml::from_str(include_str!("../../tests/soak_seeds.toml"))
        .expect("tests/soak_seeds.toml is valid");
    let mut seeds = kept.seed.iter().map(|kept| kept.seed).collect::<Vec<u64>>();
    if !args.kept {
        seeds = (args.first..args.first + args.seeds).collect();
    }
    let (mut passed, mut failed) = (0, 0);
    let mut next = 0;
    while next < seeds.len() {
        let seed = seeds[next];
        next += 1;
        let report = run_seed(&args, seed);
        println!("{report}");
        match report.violations.is_empty() {
            true => passed += 1,
            false => {
                failed += 1;
                println!(
                    "again: cargo run --release --example soak -- --first {seed} --seeds 1 --keep-logs logs"
                );
            }
        }
        if next == seeds.len() && has_time_left() {
            seeds.push(seed + 1);
        }
    }
    println!("soak: {passed} passed, {failed} failed");
    process::ExitCode::from(u8::from(failed > 0))
}

fn run_seed(args: &Args, seed: u64) -> scene::Report {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the Tokio runtime starts");
    let cfg = scene::Config {
        seed,
        vms: args.vms,
        fault_duration: time::Duration::from_secs_f64(args.faults),
        log_dir: args.keep_logs.clone(),
        ..scene::Config::default()
    };
    task::LocalSet::new().block_on(&runtime, scene::run(cfg))
}
