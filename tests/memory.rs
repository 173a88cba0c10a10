//! The account of the memory that callers make a process hold, and who is disconnected when it is short.

use std::time;

use bulrushwind::decisions::memory::{self, Config, Limits};
use bulrushwind::transport::memory::{Account, Owner};
use bytes::Bytes;

const MIB: usize = 1 << 20;

fn limits() -> Limits {
    // 10 MiB for callers, 7.5 of them for long bodies and answers.
    Config { share: 0.5 }.limits(Some(20 * MIB))
}

fn s(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// Guards against long bodies that leave nothing for ordinary requests.
#[test]
fn those_that_hold_little_find_memory_when_long_bodies_do_not() {
    let account = Account::new(limits());
    let mut bodies = Vec::new();
    while let Some(body) = account.try_charge(Owner::Received, 256 << 10) {
        bodies.push(body);
    }
    assert_eq!(bodies.len(), 30);
    assert!(account.is_short());
    let small = std::iter::from_fn(|| account.try_charge(Owner::Requests, 16 << 10));
    let small: Vec<_> = small.take(1000).collect();
    assert_eq!(small.len(), (10 * MIB - 30 * (256 << 10)) / (16 << 10));
    assert!(!account.admits(1));
}

/// Guards against memory that grows with the number of owners, each within a limit of its own.
#[test]
fn all_owners_together_stay_within_the_limit() {
    let account = Account::new(limits());
    let mut charges: Vec<_> = Owner::ALL
        .iter()
        .map(|owner| account.charge(*owner))
        .collect();
    for round in 1..200 {
        for charge in &mut charges {
            charge.try_grow_to(round * (64 << 10));
        }
    }
    let held: usize = Owner::ALL.iter().map(|owner| account.used(*owner)).sum();
    assert_eq!(held, account.total());
    assert!(held <= 10 * MIB, "{held}");
    drop(charges);
    assert_eq!(account.total(), 0);
}

/// Guards against bytes that stay charged after their last reference is gone, or leave the account before.
#[test]
fn guarded_bytes_are_released_with_their_last_reference() {
    let account = Account::new(limits());
    let whole = account.guard(Owner::Uploads, Bytes::from(vec![0; 10_000]));
    let part = whole.slice(9_999..);
    drop(whole);
    assert_eq!(account.used(Owner::Uploads), 10_000);
    drop(part);
    assert_eq!(account.total(), 0);
}

/// Guards against callers that lose their connections though they make progress, and against a search for
/// each request.
#[test]
fn the_slowest_are_disconnected_until_half_is_free() {
    let limits = limits();
    assert_eq!(limits.excess(7 * MIB), 0);
    assert_eq!(limits.excess(8 * MIB), 3 * MIB);
    let slow = |seconds: u64, held: usize| memory::Slow {
        slow_for: s(seconds),
        held,
        connection: seconds,
    };
    let crowd = vec![
        slow(0, 9 * MIB),
        slow(3, MIB),
        slow(9, MIB),
        slow(1, MIB),
        slow(5, 3 * MIB / 2),
    ];
    assert_eq!(memory::select_slowest(crowd.clone(), 3 * MIB), [9, 5, 3]);
    assert_eq!(memory::select_slowest(crowd, 100 * MIB), [9, 5, 3, 1]);
}

/// Guards against uploads that have stopped and keep all room of a service, and against the end of a few
/// that pause.
#[test]
fn stalled_uploads_keep_a_quarter_of_what_is_in_flight() {
    let select = |stalled: &[u64], in_flight| -> Vec<u64> {
        let uploads = stalled.iter().map(|span| (s(*span), *span)).collect();
        memory::select_stalled(uploads, in_flight).collect()
    };
    assert_eq!(select(&[4, 2], 8), [0u64; 0]);
    assert_eq!(select(&[4, 9, 2, 7, 0], 8), [9, 7]);
    assert_eq!(select(&[4, 2], 3), [4, 2]);
}

/// Guards against settings whose limit is no number of megabytes.
#[test]
fn a_limit_of_memory_that_is_none_is_refused() {
    assert_eq!(memory::named_limit(0.0), Ok(None));
    assert_eq!(memory::named_limit(260.0), Ok(Some(260_000_000)));
    for limit in [-1.0, f64::NAN, f64::INFINITY, 1e12] {
        let err = memory::named_limit(limit).unwrap_err();
        assert!(
            err.contains("limits.memory_mb") && err.contains("expected"),
            "{err}"
        );
    }
    let share = Config { share: 1.5 };
    let err = share.check().unwrap_err().to_string();
    assert!(err.contains("memory.share"), "{err}");
}
