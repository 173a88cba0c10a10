//! Settings that are printed and parsed again are unchanged, and malformed input is an error.

use bulrushwind::settings::{self, envelope, keys};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner;

/// A fixed seed, so that each run generates the same cases.
const SEED: [u8; 32] = [7; 32];

fn runner(cases: u32) -> test_runner::TestRunner {
    let cfg = test_runner::Config {
        cases,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    test_runner::TestRunner::new_with_rng(cfg, rng)
}

fn name() -> impl Strategy<Value = String> {
    // Includes quotes, backslashes and control characters, which printers often escape wrongly.
    prop_oneof!["[a-z][a-z0-9-]{0,12}", ".{1,12}"]
}

fn share() -> impl Strategy<Value = f64> {
    0.0..=1.0f64
}

fn region() -> impl Strategy<Value = settings::Region> {
    (name(), vec(name(), 0..4), share()).prop_map(|(name, azs, max_load)| settings::Region {
        name: name.as_str().into(),
        azs: azs.iter().map(|az| az.as_str().into()).collect(),
        max_load,
    })
}

fn drain() -> impl Strategy<Value = settings::Drain> {
    let target = prop_oneof![
        name().prop_map(|n| settings::DrainTarget::Region(n.as_str().into())),
        name().prop_map(|n| settings::DrainTarget::Az(n.as_str().into())),
        name().prop_map(|n| settings::DrainTarget::Vm(n.as_str().into())),
    ];
    let seconds = 0..=i64::MAX.cast_unsigned();
    (
        target,
        seconds.clone(),
        0..100_000u64,
        proptest::option::of(seconds),
    )
        .prop_map(|(target, start_s, ramp_s, end_s)| settings::Drain {
            target,
            start_s,
            ramp_s,
            end_s,
        })
}

fn operation() -> impl Strategy<Value = settings::Operation> {
    (
        name(),
        name(),
        any::<bool>(),
        any::<u32>(),
        0..600_000u64,
        0.0..600_000.0f64,
    )
        .prop_map(|(name, path, idempotent, worth, patience_ms, typical_ms)| {
            settings::Operation {
                name,
                method: "GET".to_owned(),
                path,
                idempotent,
                worth,
                patience_ms,
                typical_ms,
            }
        })
}

fn service() -> impl Strategy<Value = settings::Service> {
    (
        name(),
        vec(name(), 0..4),
        any::<u32>(),
        share(),
        vec(operation(), 0..4),
    )
        .prop_map(
            |(name, azs, slots, shift_cap, operations)| settings::Service {
                name: name.as_str().into(),
                azs: azs.iter().map(|az| az.as_str().into()).collect(),
                slots,
                connections: slots / 2,
                shift_cap,
                shift_step_ms: 10_000,
                max_body_bytes: 1024,
                operations,
                objective: settings::Objective::default(),
            },
        )
}

fn team() -> impl Strategy<Value = settings::Team> {
    (
        vec(region(), 0..3),
        vec(drain(), 0..3),
        vec(service(), 0..3),
    )
        .prop_map(|(regions, drains, services)| settings::Team {
            regions,
            drains,
            services,
            ..settings::Team::default()
        })
}

#[test]
fn a_printed_team_parses_back() {
    let check = |team: settings::Team| {
        let text = team.to_toml();
        let read = settings::Team::parse("printed", &text).unwrap();
        prop_assert_eq!(&read, &team);
        prop_assert_eq!(read.to_toml(), text);
        Ok(())
    };
    runner(256).run(&team(), check).unwrap();
}

#[test]
fn a_signed_team_round_trips() {
    let key = keys::SecretKey::generate();
    let check = |team: settings::Team| {
        let change = envelope::ChangeId::random();
        let signed = envelope::Envelope::sign("t".into(), 1, change, team.to_toml(), &key);
        let read = envelope::Envelope::decode(&signed.encode().unwrap()).unwrap();
        prop_assert_eq!(&read, &signed);
        let read = settings::Team::parse("read", &read.text).unwrap();
        prop_assert_eq!(read, team);
        Ok(())
    };
    runner(64).run(&team(), check).unwrap();
}

/// Arbitrary bytes from the store or a peer give an error and never a panic.
#[test]
fn malformed_bytes_never_panic() {
    let check = |bytes: Vec<u8>| {
        let _ = envelope::Envelope::decode(&bytes);
        let _ = keys::KeyRing::decode(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = settings::Team::parse("any", &text).map(|team| {
            let teams = [("any".into(), team)].into();
            let _ = settings::Settings { teams }.check();
        });
        Ok(())
    };
    runner(512).run(&vec(any::<u8>(), 0..200), check).unwrap();
}
