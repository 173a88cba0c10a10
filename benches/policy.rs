//! Plays every load pattern in virtual time, the naive version beside ours, and prints what
//! callers got. The figures depend on nothing but the code: no clock, fixed seeds.

use std::path;
use std::time;

use bulrushwind::decisions::{across, dispatch, naive};
use bulrushwind::standin::model::{self, best, load, patterns, run, tally};

const LASTS: time::Duration = time::Duration::from_secs(20);

fn main() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    for src in [model::LEDGER, model::PAYOUT] {
        let dep = model::Deployment::read(root, &src).expect("the example settings are sound");
        for case in patterns::local(&dep, LASTS) {
            let calls = load::calls(&case.dep, &case.pattern);
            let slots = case.dep.total_slots();
            let best = best::worth(&case.dep, &calls, |_| slots);
            let t = run::run(
                &case.dep,
                &case.pattern,
                &calls,
                |_| naive::Naive::default(),
                |_, _| {},
            );
            row(&case, "naive", best, &t);
            let ours = |site: &run::Site| {
                let cfg = dispatch::Config {
                    seed: site.index as u64,
                    ..Default::default()
                };
                let az = case.dep.azs[site.az].id.clone();
                dispatch::Dispatch::new(cfg, across::Across::new(across::Config::default(), az))
            };
            let t = run::run(&case.dep, &case.pattern, &calls, ours, |_, _| {});
            row(&case, "ours", best, &t);
        }
    }
}

fn row(case: &patterns::Case, who: &str, best: f64, t: &tally::Tally) {
    println!(
        "{:<12} {:<28} {:<6} worth {:>8} best {:>8.0} share {:.3} p50 {:>8.1} p99 {:>8.1} hot {:.2} att {} ops {:?} ref {:?} unk {} viol {} crashes {} probes {} slowref {} ord {:?}",
        case.dep.name,
        case.pattern.name,
        who,
        t.worth,
        best,
        t.worth as f64 / best,
        t.quantile_ms(0.5),
        t.quantile_ms(0.99),
        t.hottest(),
        t.attempts,
        t.per_op,
        t.refused,
        t.unknown,
        t.violations(),
        t.crashes,
        t.probes,
        t.slowest_refusal_us / 1000,
        t.ordinary
    );
}
