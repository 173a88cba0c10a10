//! The bound on the memory of long answers.

use super::*;

/// Guards against memory that long answers keep after they are written.
#[test]
fn a_share_is_returned_with_its_body() {
    let budget = Budget::default();
    let mut held = budget.hold();
    assert!(held.grow_to(300_000) && held.grow_to(400_000));
    let body = held.guard(Bytes::from(vec![0; 400_000]));
    let part = body.slice(1..);
    drop(body);
    assert_eq!(budget.used(), 400_000);
    drop(part);
    assert_eq!(budget.used(), 0);
}

/// Guards against memory that grows with the number of callers.
#[test]
fn all_answers_together_stay_within_the_bound() {
    let budget = Budget::default();
    let mut held: Vec<Held> = (0..100).map(|_| budget.hold()).collect();
    let granted = held
        .iter_mut()
        .filter_map(|h| h.grow_to(1 << 20).then_some(h));
    assert_eq!(granted.count(), MAX_TOTAL_BYTES >> 20);
    assert!(!budget.hold().grow_to(1));
    drop(held);
    assert!(!budget.hold().grow_to(MAX_ANSWER_BYTES + 1));
    assert_eq!(budget.used(), 0);
}
