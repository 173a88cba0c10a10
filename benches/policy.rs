//! Runs every load pattern in virtual time with the naive policy and the production policy, and
//! prints the results for callers. They depend on the code only: no clock, fixed seeds.

use std::path;
use std::sync::atomic;

use bulrushwind::standin::model::{self, patterns, table, tally};
use parking_lot::Mutex;

/// Number of threads that run patterns in parallel.
const THREADS: usize = 4;

fn main() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let deployments = [model::LEDGER, model::PAYOUT]
        .map(|src| model::Deployment::read(root, &src).expect("the example settings are sound"));
    let cases: Vec<_> = deployments
        .iter()
        .flat_map(|dep| patterns::local(dep, table::PATTERN_DURATION))
        .collect();
    let rows = play(&cases);
    println!("worth: share of the offline best; p50, p99: ms from first asking to the answer");
    println!("hot: runs of the hottest backend server against the mean; broken: promises");
    println!(
        "{:<11} {:<27} {:<5} {:>6} {:>8} {:>8} {:>5} {:>8} {:>7} {:>6}",
        "deployment",
        "pattern",
        "who",
        "worth",
        "p50",
        "p99",
        "hot",
        "refused",
        "crashes",
        "broken"
    );
    for row in &rows {
        let (naive, ours) = row.shares();
        print(row, "naive", naive, &row.naive);
        print(row, "ours", ours, &row.dispatch);
    }
    println!("{}", table::summary(&rows));
}

fn play(cases: &[patterns::Case]) -> Vec<table::Row> {
    let next = atomic::AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    let work = || {
        loop {
            let i = next.fetch_add(1, atomic::Ordering::Relaxed);
            let Some(case) = cases.get(i) else {
                return;
            };
            let row = table::play(case.clone());
            rows.lock().push((i, row));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let mut rows = rows.into_inner();
    rows.sort_by_key(|(i, _)| *i);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn print(row: &table::Row, who: &str, share: f64, t: &tally::Tally) {
    println!(
        "{:<11} {:<27} {who:<5} {share:>6.3} {:>8.1} {:>8.1} {:>5.2} {:>8} {:>7} {:>6}",
        row.case.dep.name,
        row.case.pattern.name,
        t.quantile_ms(0.5),
        t.quantile_ms(0.99),
        t.max_run_ratio(),
        t.refused.values().sum::<u64>(),
        t.crashes,
        t.violations(),
    );
}
