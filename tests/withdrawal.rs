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
