//! Tests of the quota bound, and of admission within it, in surges, partitions and restarts.

use bulrushwind::decisions::quota::{self, ByDemand, Evenly, Sharing, UntilFull};

use super::model::{Event, Outcome, Scenario, simulate};

const LARGE: quota::Limit = quota::Limit {
    rate: 398.0,
    burst: 398.0,
};

const SMALL: quota::Limit = quota::Limit {
    rate: 5.0,
    burst: 5.0,
};

fn scenario(vms: usize, active_vms: usize, limit: quota::Limit, load: f64) -> Scenario<'static> {
    Scenario {
        vms,
        active_vms,
        limit,
        load,
        events: &[],
        length_ms: 20_000,
        lost: 0.02,
        seed: 11,
    }
}

/// Checks that no window from `from_ms` on holds more than the bound.
fn check_bound(outcome: &Outcome, limit: &quota::Limit, from_ms: u64, what: &str) {
    let bound = quota::Bound::default();
    let (max_admitted, busiest_window) = (
        bound.max_admitted(limit),
        outcome.busiest_window(&bound, from_ms),
    );
    assert!(
        busiest_window as f64 <= max_admitted,
        "{what}: {busiest_window} in a window that allows {max_admitted}"
    );
}

/// Number of VMs, and number of VMs that callers use.
const FLEETS: [(usize, usize); 5] = [(2, 2), (10, 6), (84, 8), (84, 20), (300, 40)];

/// Fleets of the comparison table.
const TABLE_FLEETS: [(usize, usize); 3] = [(10, 6), (84, 8), (300, 40)];

/// Guards against refusing a customer within its limit because its callers use only a few VMs.
#[test]
fn customers_within_their_limit_are_admitted() {
    for (vms, active_vms) in FLEETS {
        for limit in [LARGE, SMALL] {
            for load in [0.6, 0.95] {
                let outcome = simulate::<ByDemand>(&Scenario {
                    length_ms: 60_000,
                    ..scenario(vms, active_vms, limit, load)
                });
                let refused = outcome.wrongly_refused(&quota::Bound::default(), &limit);
                assert!(
                    refused < 0.002,
                    "{refused} at {load} of {limit:?}, {active_vms} VMs"
                );
                check_bound(&outcome, &limit, 0, "within the limit");
            }
        }
    }
}

/// Guards against admissions before the first reports arrive: all callers start at once, as at the
/// start of traffic.
#[test]
fn a_surge_at_the_start_keeps_the_bound() {
    for (vms, active_vms) in [(2, 2), (75, 6), (84, 20)] {
        for limit in [LARGE, SMALL] {
            for load in [1.2, 2.0, 4.0, 8.0] {
                for seed in 0..3 {
                    let scenario = Scenario {
                        seed,
                        length_ms: 8_000,
                        ..scenario(vms, active_vms, limit, load)
                    };
                    let outcome = simulate::<ByDemand>(&scenario);
                    let what = format!("{load} times {limit:?} on {active_vms}, seed {seed}");
                    check_bound(&outcome, &limit, 0, &what);
                }
            }
        }
    }
}

/// Guards against VMs that get callers only during a surge and know nothing of the others'
/// admissions: each would admit all that remains.
#[test]
fn adding_vms_in_a_surge_keeps_the_bound() {
    let steps: [&[usize]; 4] = [&[7], &[8, 9], &[12], &[12, 24]];
    for limit in [LARGE, SMALL] {
        for more in [900, 1_800, 3_000, 4_500, 5_900] {
            for active_vms in steps {
                let sent = active_vms.iter().enumerate();
                let sent = sent.map(|(n, to)| (more + 1_000 * n as u64, Event::ActiveVms(*to)));
                let events: Vec<(u64, Event)> = std::iter::once((800, Event::Load(4.0)))
                    .chain(sent)
                    .collect();
                for seed in 0..5 {
                    let scenario = Scenario {
                        events: &events,
                        length_ms: 14_000,
                        seed,
                        ..scenario(75, 6, limit, 0.6)
                    };
                    let outcome = simulate::<ByDemand>(&scenario);
                    let what = format!("{limit:?} on {active_vms:?} VMs from {more}, seed {seed}");
                    check_bound(&outcome, &limit, 0, &what);
                }
            }
        }
    }
}

/// Guards against a sudden surge on all VMs: requests above the limit take other customers' slots.
#[test]
fn a_surge_keeps_the_bound() {
    for (vms, active_vms) in FLEETS {
        for limit in [LARGE, SMALL] {
            for load in [1.05, 2.0, 7.5] {
                let events = [(6_000, Event::Load(load))];
                let scenario = Scenario {
                    events: &events,
                    ..scenario(vms, active_vms, limit, 0.6)
                };
                let outcome = simulate::<ByDemand>(&scenario);
                check_bound(
                    &outcome,
                    &limit,
                    0,
                    &format!("{load} times {limit:?} on {active_vms}"),
                );
                let late = |all: &[u64]| all.iter().filter(|at| **at >= 10_000).count() as f64;
                let admitted = late(&outcome.admitted);
                // Number of requests that the limit allows in ten seconds.
                let fair = f64::min(limit.rate * 10.0, admitted + late(&outcome.refused));
                assert!(
                    admitted >= 0.9 * fair,
                    "{admitted} of {fair} at {load}, {active_vms} VMs"
                );
            }
        }
    }
}

/// Guards against VMs on both sides of a partition that take the other side for idle: twice the limit
/// would run.
#[test]
fn both_sides_of_a_partition_keep_the_bound_together() {
    for load in [0.6, 4.0] {
        let events = [
            (5_000, Event::Load(load)),
            (5_500, Event::Partition(4)),
            (8_000, Event::Load(6.0)),
            (16_000, Event::Heal),
        ];
        for limit in [LARGE, SMALL] {
            let scenario = Scenario {
                events: &events,
                ..scenario(84, 8, limit, 0.6)
            };
            check_bound(
                &simulate::<ByDemand>(&scenario),
                &limit,
                0,
                &format!("cut at {load}"),
            );
        }
    }
}

/// Guards against a partition right after a surge began: both sides' reports are older than the
/// surge.
#[test]
fn a_partition_right_after_a_surge_began_keeps_the_bound() {
    for limit in [LARGE, SMALL] {
        for load in [2.0, 4.0, 7.5] {
            for below in [2, 3, 4] {
                for after in [100, 300, 700, 1_100, 2_500] {
                    let events = [
                        (6_000, Event::Load(load)),
                        (6_000 + after, Event::Partition(below)),
                        (13_000, Event::Heal),
                    ];
                    let scenario = Scenario {
                        events: &events,
                        length_ms: 15_000,
                        ..scenario(84, 8, limit, 0.6)
                    };
                    let what = format!("{load} times {limit:?}, {below} cut off after {after} ms");
                    check_bound(&simulate::<ByDemand>(&scenario), &limit, 0, &what);
                }
            }
        }
    }
}

/// Guards against refusals when the callers of isolated VMs move to the other side. They are within
/// the limit, and only the part that the silent VMs may still use is missing.
#[test]
fn callers_of_an_isolated_side_are_admitted_elsewhere() {
    let events = [(5_000, Event::Partition(2)), (5_000, Event::MoveCallers(2))];
    let scenario = Scenario {
        events: &events,
        ..scenario(84, 8, LARGE, 0.6)
    };
    let outcome = simulate::<ByDemand>(&scenario);
    assert!(
        outcome.refused_from(0) < 0.01,
        "{}",
        outcome.refused_from(0)
    );
}

/// All VMs are killed at once while a customer is at its limit, and restart within a second. Guards
/// against forgetting the requests admitted before.
#[test]
fn a_restart_of_all_keeps_the_bound() {
    for load in [0.6, 1.0, 7.5] {
        let events = [(4_000, Event::Load(load)), (9_000, Event::RestartAll)];
        for limit in [LARGE, SMALL] {
            let scenario = Scenario {
                events: &events,
                ..scenario(84, 8, limit, 0.6)
            };
            let outcome = simulate::<ByDemand>(&scenario);
            check_bound(&outcome, &limit, 0, &format!("restart at {load}"));
            if load < 1.0 {
                assert!(
                    outcome.refused_from(0) < 0.02,
                    "{}",
                    outcome.refused_from(0)
                );
            }
        }
    }
}

/// Callers of a customer at its limit move to other VMs, as after a restart. Guards against refusals
/// there, and against exceeding the bound.
#[test]
fn callers_that_move_keep_their_share() {
    for (load, refused) in [(0.6, 0.01), (5.0, 1.0)] {
        let events = [(6_000, Event::Load(load)), (10_000, Event::MoveCallers(4))];
        let scenario = Scenario {
            events: &events,
            ..scenario(84, 8, LARGE, 0.6)
        };
        let outcome = simulate::<ByDemand>(&scenario);
        check_bound(&outcome, &LARGE, 0, &format!("moved at {load}"));
        assert!(
            outcome.refused_from(0) <= refused,
            "{load}: {}",
            outcome.refused_from(0)
        );
    }
}

/// An operator lowers a limit to a tenth. Guards against admitting more than the new limit one window
/// later.
#[test]
fn a_lowered_limit_holds_one_window_later() {
    let events = [(8_000, Event::Limit(0.1))];
    for limit in [LARGE, SMALL] {
        let scenario = Scenario {
            events: &events,
            ..scenario(84, 8, limit, 0.6)
        };
        let outcome = simulate::<ByDemand>(&scenario);
        let lower = quota::Limit {
            rate: limit.rate * 0.1,
            burst: limit.burst * 0.1,
        };
        check_bound(&outcome, &lower, 13_000, "fallen limit");
    }
}

/// Prints a comparison of the policies: `cargo test --test quota -- --ignored --nocapture ways`.
#[test]
#[ignore = "prints a table and checks nothing"]
fn ways_of_sharing_side_by_side() {
    println!(
        "| way | VMs, with callers | times the limit | busiest window, of what is allowed | refused |"
    );
    for (vms, active_vms) in TABLE_FLEETS {
        for load in [0.95, 2.0, 7.5] {
            row::<Evenly>("evenly", vms, active_vms, load);
            row::<UntilFull>("until full", vms, active_vms, load);
            row::<ByDemand>("by demand", vms, active_vms, load);
        }
    }
}

fn row<S: Sharing>(policy: &str, vms: usize, active_vms: usize, load: f64) {
    let events = [(6_000, Event::Load(load))];
    let outcome = simulate::<S>(&Scenario {
        events: &events,
        ..scenario(vms, active_vms, LARGE, 0.6)
    });
    let bound = quota::Bound::default();
    let part = outcome.busiest_window(&bound, 0) as f64 / bound.max_admitted(&LARGE);
    let refused = outcome.refused_from(6_000);
    let messages = outcome.messages as f64 / 20.0 / active_vms as f64;
    println!(
        "| {policy} | {vms}, {active_vms} | {load} | {part:.2} | {refused:.3} | {messages:.1} |"
    );
}
