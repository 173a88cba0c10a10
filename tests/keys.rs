//! The table of spent keys against a naive one that never forgets.

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
    Pass { ms: u64 },
    Send { key: u8, print: u8 },
    End { key: u8, len: usize },
    NotRun { key: u8 },
}

/// What the naive table knows of a key: for ever.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Known {
    Running,
    Ended,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (0_u64..70_000).prop_map(|ms| Op::Pass { ms }),
        6 => (0_u8..12, 0_u8..2).prop_map(|(key, print)| Op::Send { key, print }),
        4 => (0_u8..12, 0_usize..600).prop_map(|(key, len)| Op::End { key, len }),
        1 => (0_u8..12).prop_map(|key| Op::NotRun { key }),
    ]
}

/// Four keys of each of three tickets, issued 50 s apart.
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

fn play(ops: &[Op], most_keys: usize) {
    let limits = keys::Limits {
        keys: most_keys,
        answer_bytes: 1000,
        ttl: TTL,
    };
    let mut table = keys::Keys::new(limits);
    let mut naive: collections::HashMap<u8, Known> = collections::HashMap::new();
    let mut now = time::Duration::ZERO;
    for op in ops {
        match *op {
            Op::Pass { ms } => now += time::Duration::from_millis(ms),
            Op::Send { key: n, print } => {
                let print = policy::Fingerprint(print.into());
                let known = naive.get(&n).copied();
                match table.admit(now, &key(n), print, ()) {
                    keys::Admission::Run(()) => {
                        assert_eq!(known, None, "{op:?} at {now:?} would run twice");
                        naive.insert(n, Known::Running);
                    }
                    keys::Admission::Joined => assert_eq!(known, Some(Known::Running)),
                    keys::Admission::Ended(..) => assert_eq!(known, Some(Known::Ended)),
                    // Another request under the key truly did not run.
                    keys::Admission::Refused(outcome::Problem::KeyReused, ()) => {
                        assert!(known.is_some());
                    }
                    keys::Admission::Refused(problem, ()) => {
                        let not_run = problem.outcome() == outcome::Outcome::NotRun;
                        let word_is_true = !not_run || known.is_none();
                        assert!(word_is_true, "{op:?} at {now:?}: {problem} of {known:?}");
                    }
                }
            }
            Op::End { key: n, len } => {
                if naive.get(&n) == Some(&Known::Running) {
                    table.end(now, &key(n).text, answer(len));
                    naive.insert(n, Known::Ended);
                }
            }
            Op::NotRun { key: n } => {
                // Said of a key that ended, it must change nothing.
                table.not_run(&key(n).text);
                if naive.get(&n) == Some(&Known::Running) {
                    naive.remove(&n);
                }
            }
        }
        assert!(table.len() <= most_keys && table.answer_bytes() <= 1000);
    }
    table.expire(now + TTL * 2);
    assert_eq!(table.answer_bytes(), 0);
}

/// Keys come, end, expire and come again in any order, in a table too small for all of them. The
/// table forgets, and its word must still be that of one that forgets nothing: never a second run,
/// never a false "not run".
#[test]
fn a_table_that_forgets_says_what_one_that_does_not_would() {
    let config = test_runner::Config {
        cases: 2000,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 1..80);
    let played = runner.run(&(ops, any::<bool>()), |(ops, small)| {
        play(&ops, if small { 5 } else { 100 });
        Ok(())
    });
    played.unwrap();
}
