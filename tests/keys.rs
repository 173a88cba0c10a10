//! Property test of the key table against a reference model that keeps every key.

use std::collections;
use std::time;

use bulrushwind::decisions::policy;
use bulrushwind::id;
use bulrushwind::protocol::{backend, outcome, ticket};
use bulrushwind::state::keys;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::test_runner;

const TTL: time::Duration = time::Duration::from_secs(60);

#[derive(Clone, Debug)]
enum Op {
    Advance { ms: u64 },
    Send { key: u8, fingerprint: u8 },
    End { key: u8, len: usize },
    NotRun { key: u8 },
}

/// The state of a key in the reference model.
#[derive(Clone, Copy, Debug, PartialEq)]
enum KeyState {
    Running,
    Ended,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (0_u64..70_000).prop_map(|ms| Op::Advance { ms }),
        6 => (0_u8..12, 0_u8..2).prop_map(|(key, fingerprint)| Op::Send { key, fingerprint }),
        4 => (0_u8..12, 0_usize..600).prop_map(|(key, len)| Op::End { key, len }),
        1 => (0_u8..12).prop_map(|key| Op::NotRun { key }),
    ]
}

/// Keys of three tickets issued 50 s apart, four keys per ticket.
fn key(number: u8) -> ticket::Key {
    let ticket = ticket::Ticket {
        vm: "a".into(),
        incarnation: id::Incarnation(1),
        issued_ms: u64::from(number / 4) * 50_000,
        random: 1,
    };
    ticket::Key::parse(&format!("{ticket}.{number}"), None).unwrap()
}

fn answer(len: usize) -> keys::End {
    keys::End::Answer(backend::Answer {
        body: vec![0; len].into(),
        ..backend::Answer::default()
    })
}

fn run_ops(ops: &[Op], max_keys: usize) {
    let limits = keys::Limits {
        keys: max_keys,
        answer_bytes: 1000,
        ttl: TTL,
    };
    let mut table = keys::Keys::new(limits);
    let mut model: collections::HashMap<u8, KeyState> = collections::HashMap::new();
    let mut now = time::Duration::ZERO;
    for op in ops {
        match *op {
            Op::Advance { ms } => now += time::Duration::from_millis(ms),
            Op::Send {
                key: n,
                fingerprint,
            } => {
                let fingerprint = policy::Fingerprint(fingerprint.into());
                let expected = model.get(&n).copied();
                match table.admit(now, &key(n), fingerprint, ()) {
                    keys::Admission::Run(()) => {
                        assert_eq!(expected, None, "{op:?} at {now:?} would run twice");
                        model.insert(n, KeyState::Running);
                    }
                    keys::Admission::Joined => assert_eq!(expected, Some(KeyState::Running)),
                    keys::Admission::Ended(..) => assert_eq!(expected, Some(KeyState::Ended)),
                    // A different request with a used key has not run.
                    keys::Admission::Refused(outcome::Problem::KeyReused, ()) => {
                        assert!(expected.is_some());
                    }
                    keys::Admission::Refused(problem, ()) => {
                        let not_run = problem.outcome() == outcome::Outcome::NotRun;
                        let outcome_is_true = !not_run || expected.is_none();
                        assert!(
                            outcome_is_true,
                            "{op:?} at {now:?}: {problem} of {expected:?}"
                        );
                    }
                }
            }
            Op::End { key: n, len } => {
                if model.get(&n) == Some(&KeyState::Running) {
                    table.end(now, &key(n).text, answer(len));
                    model.insert(n, KeyState::Ended);
                }
            }
            Op::NotRun { key: n } => {
                // For the key of an ended request this must have no effect.
                table.not_run(&key(n).text);
                if model.get(&n) == Some(&KeyState::Running) {
                    model.remove(&n);
                }
            }
        }
        assert!(table.len() <= max_keys && table.answer_bytes() <= 1000);
    }
    table.expire(now + TTL * 2);
    assert_eq!(table.answer_bytes(), 0);
}

/// Requests with keys start, end, expire and are resent in any order, in a table too small for all
/// keys. Despite expiry and eviction the table must never admit a second run, nor report a request
/// as not run that ran.
#[test]
fn a_table_with_expiry_agrees_with_one_without() {
    let config = test_runner::Config {
        cases: 2000,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 1..80);
    let result = runner.run(&(ops, any::<bool>()), |(ops, small)| {
        run_ops(&ops, if small { 5 } else { 100 });
        Ok(())
    });
    result.unwrap();
}
