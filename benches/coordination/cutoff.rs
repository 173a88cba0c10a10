//! Measures how soon VMs of an isolated availability zone obtain settings, and how soon the zone
//! applies a missed change after it is reconnected.

use std::time;

use bulrushwind::standin::{fabric, nodes, operator};

const NOW_MS: u64 = 1_790_000_000_000;
const SEEDS: u64 = 20;
const SPAN: time::Duration = time::Duration::from_secs(60);

/// Runs all cases and prints the table.
pub(crate) fn print() {
    println!("cutoff: 6 zones of 2 VMs, {SEEDS} seeds, cut off from peers and store for 60 s");
    println!("| what | p50 s | largest s |");
    println!("|---|---|---|");
    row(
        "a VM replaced inside has its settings, from the other one",
        &replaced,
    );
    row(
        "rejoin: a change made meanwhile is in force inside",
        &rejoined,
    );
    row(
        "a VM replaced in a healthy fleet has its settings",
        &healthy,
    );
    row(
        "all VMs of the zone replaced, store down, peers there",
        &emptied,
    );
}

fn row(what: &str, play: &dyn Fn(u64) -> time::Duration) {
    let mut took: Vec<_> = (0..SEEDS).map(play).collect();
    took.sort();
    let (half, last) = (took[took.len() / 2], took[took.len() - 1]);
    println!(
        "| {what} | {:.2} | {:.2} |",
        half.as_secs_f64(),
        last.as_secs_f64()
    );
}

fn start(seed: u64) -> (nodes::Nodes, u64) {
    let mut all = nodes::Nodes::new(nodes::Config {
        azs: 6,
        per_az: 2,
        seed,
        roots: vec![operator::root().public()],
        ..nodes::Config::default()
    });
    let version = operator::publish(&all.store, "bays", "# 0", NOW_MS).unwrap();
    all.run(time::Duration::from_secs(10) + time::Duration::from_millis(seed * 173));
    (all, version)
}

fn cut(all: &mut nodes::Nodes) {
    let (inside, outside) = all.split(0);
    all.set_links(&inside, &outside, true, fabric::Link::cut());
    for i in inside {
        all.processes[i].no_store = true;
    }
}

fn until(all: &mut nodes::Nodes, i: usize, version: u64) -> time::Duration {
    all.run_until(SPAN, |all| {
        all.processes[i].version("bays") == Some(version)
    })
    .expect("the settings are in force within 60 s")
}

fn replaced(seed: u64) -> time::Duration {
    let (mut all, version) = start(seed);
    cut(&mut all);
    all.run(SPAN);
    all.kill(0);
    all.start(0);
    until(&mut all, 0, version)
}

fn rejoined(seed: u64) -> time::Duration {
    let (mut all, _) = start(seed);
    cut(&mut all);
    all.run(SPAN / 2);
    let version = operator::apply(&all.store, "bays", "# 1", 0, NOW_MS + 1).unwrap();
    all.run(SPAN / 2);
    all.fabric.heal();
    for i in 0..2 {
        all.processes[i].no_store = false;
    }
    until(&mut all, 0, version) + until(&mut all, 1, version)
}

fn healthy(seed: u64) -> time::Duration {
    let (mut all, version) = start(seed);
    all.kill(0);
    all.run(time::Duration::from_secs(5));
    all.start(0);
    until(&mut all, 0, version)
}

fn emptied(seed: u64) -> time::Duration {
    let (mut all, version) = start(seed);
    all.down = true;
    for i in 0..2 {
        all.kill(i);
        all.start(i);
    }
    until(&mut all, 0, version) + until(&mut all, 1, version)
}
