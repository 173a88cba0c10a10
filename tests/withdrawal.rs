//! What backend servers say in answers about requests that they do not want, in virtual time.

use std::time;

use bulrushwind::decisions::withdrawal;

fn at(s: u64) -> time::Duration {
    time::Duration::from_secs(s)
}

/// Guards against a backend server that said once that it leaves, stays, and is never used again.
#[test]
fn leaving_ends_a_while_after_it_was_last_said() {
    let mut said = withdrawal::Withdrawal::default();
    assert!(!said.is_leaving(at(0)));
    assert!(said.leaves(at(10)));
    assert!(!said.leaves(at(30)));
    assert!(said.is_leaving(at(89)));
    assert!(!said.is_leaving(at(90)));
    assert!(!said.is_in_force(at(90)));
}

/// Guards against requests within a pause that a later answer seems to shorten.
#[test]
fn the_longest_pause_asked_for_holds() {
    let mut said = withdrawal::Withdrawal::default();
    said.asks_for_pause(at(10), 3.0);
    said.asks_for_pause(at(11), 0.5);
    assert_eq!(said.pause_left(at(11)), at(2));
    assert_eq!(said.pause_left(at(13)), at(0));
    assert!(!said.is_in_force(at(13)));
}

/// Guards against a huge value that takes a backend server out of use, or overflows.
#[test]
fn a_huge_pause_is_shortened() {
    for seconds in [1e9, 1e300, f64::MAX] {
        let mut said = withdrawal::Withdrawal::default();
        assert_eq!(said.asks_for_pause(at(10), seconds), at(60));
        assert_eq!(said.pause_left(at(70)), at(0));
    }
}
