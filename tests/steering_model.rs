//! Bounds on the results of the steering policies in the virtual-time model. A change that exceeds
//! a bound must be measured and documented.

use std::path;
use std::time;

use bulrushwind::standin::steering::{self, Variant, scenarios};

/// Simulates the first minute of a scenario with one policy.
fn play(name: &str, variant: Variant) -> steering::Tally {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let dep = steering::Deployment::ledger(root).unwrap();
    let all = scenarios::all();
    let scenario = all.iter().find(|scenario| scenario.name == name).unwrap();
    let scenario = steering::Scenario {
        duration: time::Duration::from_secs(60),
        ..scenario.clone()
    };
    steering::play(&dep, &scenario, variant)
}

fn share(tally: &steering::Tally) -> f64 {
    tally.worth as f64 / tally.offered as f64
}

/// Guards against a thundering herd: two overloaded regions see the same free capacity in a third.
/// Senders that rely on load reports alone take it over its limit.
#[test]
fn grants_prevent_a_thundering_herd() {
    let name = "a surge on two regions, the third at 0.8";
    let (own, grants) = (
        play(name, Variant::OwnFraction),
        play(name, Variant::Grants),
    );
    assert!(own.seconds_over >= 10, "{}", own.seconds_over);
    assert!(grants.seconds_over <= 2, "{}", grants.seconds_over);
    assert!(grants.largest_shift <= grants.cap);
}

/// Guards against moving all callers of a region to cold caches at once after its backend servers
/// fail while its entry VMs keep running.
#[test]
fn moves_from_a_lost_region_keep_the_cap() {
    let name = "a region's backend servers die";
    let (naive, grants) = (play(name, Variant::Naive), play(name, Variant::Grants));
    assert!(naive.largest_shift > naive.cap, "{}", naive.largest_shift);
    assert!(grants.largest_shift <= 0.5 * grants.cap);
    assert_eq!(grants.violations(), 0);
    assert!(share(&grants) > share(&play(name, Variant::GrantsOnly)));
}

#[test]
fn without_overload_all_policies_give_the_same() {
    let naive = play("calm", Variant::Naive);
    for variant in Variant::ALL {
        let tally = play("calm", variant);
        assert_eq!(
            (tally.worth, tally.spilled),
            (naive.worth, 0),
            "{variant:?}"
        );
    }
}

/// Guards against large answers that take a link of low capacity over its limit in any second.
#[test]
fn a_link_keeps_its_limit() {
    let tally = play("a surge of large answers", Variant::Grants);
    assert!(tally.spilled > 0);
    assert!(tally.peak_link <= 1.0, "{}", tally.peak_link);
}
