//! Measures the cost of coordination per node as the fleet grows, in virtual time.
//!
//! The sizes are availability zones times VMs in each: 2x2, 6x2, 6x8 and 10x20. One change is
//! applied every 25 s, which corresponds to 3,500 a day.

use std::time;

use bulrushwind::standin::{nodes, operator};

const RUN_TIME: time::Duration = time::Duration::from_secs(300);
const CHANGE_INTERVAL: time::Duration = time::Duration::from_secs(25);
const SIZES: [(usize, usize); 4] = [(2, 2), (6, 2), (6, 8), (10, 20)];
const NOW_MS: u64 = 1_790_000_000_000;

/// A team's settings of typical size, about 1 KB.
fn settings_text(change: u64) -> String {
    format!("# {change}\n{}", "# a line of settings\n".repeat(50))
}

pub(crate) fn print() {
    println!(
        "sizes: {} s, a change of 1 KB every 25 s",
        RUN_TIME.as_secs()
    );
    println!(
        "| nodes | azs | store calls/node/min | store calls/s, all | store bytes/node/min | peer messages/node/min | peer bytes/node/s | worst node, bytes/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (azs, per_az) in SIZES {
        row(azs, per_az);
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn row(azs: usize, per_az: usize) {
    let mut fleet = nodes::Nodes::new(nodes::Config {
        azs,
        per_az,
        roots: vec![operator::root().public()],
        ..nodes::Config::default()
    });
    operator::publish(&fleet.store, "bays", &settings_text(0), NOW_MS).unwrap();
    fleet.run(time::Duration::from_secs(30));
    let cost = |fleet: &nodes::Nodes| -> Vec<[u64; 4]> {
        let processes = fleet.processes.iter();
        processes
            .map(|p| [p.calls, p.store_bytes, p.messages, p.peer_bytes])
            .collect()
    };
    let before = cost(&fleet);
    let mut change = 0;
    while CHANGE_INTERVAL * change < RUN_TIME {
        change += 1;
        let version = NOW_MS + u64::from(change);
        operator::apply(&fleet.store, "bays", &settings_text(version), 0, version).unwrap();
        fleet.run(CHANGE_INTERVAL);
    }
    let after = cost(&fleet);
    let seconds = RUN_TIME.as_secs_f64();
    let nodes = (azs * per_az) as f64;
    let sum = |n: usize| -> f64 {
        let pairs = after.iter().zip(&before);
        pairs.map(|(a, b)| (a[n] - b[n]) as f64).sum()
    };
    let worst = after.iter().zip(&before).map(|(a, b)| a[3] - b[3]).max();
    println!(
        "| {nodes} | {azs} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} |",
        sum(0) / nodes / seconds * 60.0,
        sum(0) / seconds,
        sum(1) / nodes / seconds * 60.0,
        sum(2) / nodes / seconds * 60.0,
        sum(3) / nodes / seconds,
        worst.unwrap_or(0) as f64 / seconds,
    );
}
