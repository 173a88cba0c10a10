//! Measures how soon VMs of an isolated availability zone obtain settings, and how soon the zone
//! applies a missed change after it is reconnected.

use std::time;

use bulrushwind::standin::{fabric, nodes, operator};

const NOW_MS: u64 = 1_790_000_000_000;
const SEEDS: u64 = 20;
const CUTOFF_DURATION: time::Duration = time::Duration::from_secs(60);

pub(crate) fn print() {
    println!("cutoff: 6 zones of 2 VMs, {SEEDS} seeds, cut off from peers and store for 60 s");
    println!("| what | p50 s | largest s |");
    println!("|---|---|---|");
    row(
        "a VM replaced inside has its settings, from the other one",
        &replace_inside,
    );
    row(
        "rejoin: a change made meanwhile is in force inside",
        &rejoin_after_change,
    );
    row(
        "a VM replaced in a healthy fleet has its settings",
        &replace_in_healthy_fleet,
    );
    row(
        "all VMs of the zone replaced, store down, peers there",
        &replace_all_without_store,
    );
}

fn row(case: &str, measure: &dyn Fn(u64) -> time::Duration) {
    let mut durations: Vec<_> = (0..SEEDS).map(measure).collect();
    durations.sort();
    let (median, largest) = (
        durations[durations.len() / 2],
        durations[durations.len() - 1],
    );
    println!(
        "| {case} | {:.2} | {:.2} |",
        median.as_secs_f64(),
        largest.as_secs_f64()
    );
}

fn start(seed: u64) -> (nodes::Nodes, u64) {
    let mut fleet = nodes::Nodes::new(nodes::Config {
        azs: 6,
        per_az: 2,
        seed,
        roots: vec![operator::root().public()],
        ..nodes::Config::default()
    });
    let version = operator::publish(&fleet.store, "bays", "# 0", NOW_MS).unwrap();
    fleet.run(time::Duration::from_secs(10) + time::Duration::from_millis(seed * 173));
    (fleet, version)
}

fn isolate(fleet: &mut nodes::Nodes) {
    let (inside, outside) = fleet.split_by_az(0);
    fleet.set_links(&inside, &outside, true, fabric::Link::cut());
    for i in inside {
        fleet.processes[i].store_unreachable = true;
    }
}

fn wait_for_version(fleet: &mut nodes::Nodes, i: usize, version: u64) -> time::Duration {
    fleet
        .run_until(CUTOFF_DURATION, |fleet| {
            fleet.processes[i].version("bays") == Some(version)
        })
        .expect("the settings are in force within 60 s")
}

fn replace_inside(seed: u64) -> time::Duration {
    let (mut fleet, version) = start(seed);
    isolate(&mut fleet);
    fleet.run(CUTOFF_DURATION);
    fleet.kill(0);
    fleet.start(0);
    wait_for_version(&mut fleet, 0, version)
}

fn rejoin_after_change(seed: u64) -> time::Duration {
    let (mut fleet, _) = start(seed);
    isolate(&mut fleet);
    fleet.run(CUTOFF_DURATION / 2);
    let version = operator::apply(&fleet.store, "bays", "# 1", 0, NOW_MS + 1).unwrap();
    fleet.run(CUTOFF_DURATION / 2);
    fleet.fabric.heal();
    for i in 0..2 {
        fleet.processes[i].store_unreachable = false;
    }
    wait_for_version(&mut fleet, 0, version) + wait_for_version(&mut fleet, 1, version)
}

fn replace_in_healthy_fleet(seed: u64) -> time::Duration {
    let (mut fleet, version) = start(seed);
    fleet.kill(0);
    fleet.run(time::Duration::from_secs(5));
    fleet.start(0);
    wait_for_version(&mut fleet, 0, version)
}

fn replace_all_without_store(seed: u64) -> time::Duration {
    let (mut fleet, version) = start(seed);
    fleet.store_down = true;
    for i in 0..2 {
        fleet.kill(i);
        fleet.start(i);
    }
    wait_for_version(&mut fleet, 0, version) + wait_for_version(&mut fleet, 1, version)
}
