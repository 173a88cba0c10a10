//! Compares the steering variants (plan, sender's own fraction, grants) in virtual time. The
//! results depend on the code only: no clock, a fixed seed.

use std::path;

use bulrushwind::standin::steering::{self, scenarios};

fn main() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let dep = steering::Deployment::ledger(root).expect("the example settings are sound");
    let wanted = std::env::args().nth(1).filter(|arg| !arg.starts_with('-'));
    println!(
        "| scenario | way | worth | p99 ms | refused | across | bounced | lost | largest shift (cap) | peak load (limit) | seconds over | link | home at end |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut violations = 0;
    for scenario in scenarios::all() {
        if wanted
            .as_ref()
            .is_some_and(|wanted| !scenario.name.contains(wanted.as_str()))
        {
            continue;
        }
        for variant in steering::Variant::ALL {
            let t = steering::play(&dep, &scenario, variant);
            println!(
                "| {} | {} | {:.4} | {:.0} | {} | {} | {} | {} | {:.3} ({:.2}) | {:.3} ({:.2}) | {} | {:.2} | {:.2} |",
                scenario.name,
                variant.name(),
                t.worth as f64 / t.offered as f64,
                t.quantile_ms(0.99),
                t.refused,
                t.spilled,
                t.bounced,
                t.lost,
                t.largest_shift,
                t.cap,
                t.peak_load,
                t.max_load,
                t.seconds_over,
                t.peak_link,
                t.home_at_end,
            );
            if variant == steering::Variant::Grants {
                violations += t.violations();
            }
        }
    }
    println!("steering: violations under plan + grants {violations}");
}
