//! The scenarios under which the steering variants are compared.

use std::time;

use super::{Fault, Scenario};
use crate::settings;

/// Size of a request and its answer that is too small to load the links.
const SMALL_BYTES: u64 = 2_000;

/// Size of a request and its answer at which a tenth of a region's traffic fills a link.
const LARGE_BYTES: u64 = 20_000;

/// Time of the first event, after the fleet has reached a steady state.
const FIRST_EVENT_AT: time::Duration = time::Duration::from_secs(20);

const SCENARIO_DURATION: time::Duration = time::Duration::from_secs(240);

fn scenario(name: &'static str, load: f64) -> Scenario {
    Scenario {
        name,
        duration: SCENARIO_DURATION,
        loads: vec![(time::Duration::ZERO, vec![load; 3])],
        faults: Vec::new(),
        drain: None,
        bytes: SMALL_BYTES,
    }
}

fn surge(name: &'static str) -> Scenario {
    let end = FIRST_EVENT_AT + time::Duration::from_secs(160);
    Scenario {
        loads: vec![
            (time::Duration::ZERO, vec![0.5; 3]),
            (FIRST_EVENT_AT, vec![1.4, 0.5, 0.5]),
            (end, vec![0.5; 3]),
        ],
        ..scenario(name, 0.5)
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    vec![
        scenario("calm", 0.5),
        Scenario {
            faults: vec![(FIRST_EVENT_AT, Fault::BackendsDown(0))],
            ..scenario("a region's backend servers die", 0.5)
        },
        Scenario {
            faults: vec![(FIRST_EVENT_AT, Fault::RegionDown(0))],
            ..scenario("a region dies", 0.5)
        },
        Scenario {
            faults: vec![(FIRST_EVENT_AT, Fault::RegionDown(0))],
            ..scenario("a region dies, others at 0.75", 0.75)
        },
        surge("a surge on one region"),
        Scenario {
            loads: vec![
                (time::Duration::ZERO, vec![0.5, 0.5, 0.8]),
                (FIRST_EVENT_AT, vec![1.4, 1.4, 0.8]),
            ],
            ..scenario("a surge on two regions, the third at 0.8", 0.5)
        },
        Scenario {
            drain: Some(settings::Drain {
                target: settings::DrainTarget::Region("ulaanbaatar".into()),
                start_s: FIRST_EVENT_AT.as_secs(),
                ramp_s: 60,
                end_s: None,
            }),
            ..scenario("a region is drained", 0.5)
        },
        Scenario {
            faults: vec![
                (FIRST_EVENT_AT * 2, Fault::Cut(0)),
                (FIRST_EVENT_AT * 5, Fault::Heal(0)),
            ],
            ..surge("a surge, cut off and healed")
        },
        Scenario {
            bytes: LARGE_BYTES,
            ..surge("a surge of large answers")
        },
    ]
}
