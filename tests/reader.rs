//! Election of an availability zone's reader on faulty links, with fixed seeds.

use std::time;

use bulrushwind::coordination::reader;
use bulrushwind::standin::elections;
use elections::Fault;

const RUN_TIME: time::Duration = time::Duration::from_secs(300);

fn fewest_accusations(fault: Fault) -> elections::Report {
    elections::simulate::<reader::FewestAccusations>(fault, 6, RUN_TIME, 3)
}

/// The reader can no longer reach the store but its heartbeats still arrive. If it kept the role,
/// changes that operators apply would not reach the availability zone.
#[test]
fn a_reader_that_cannot_reach_the_store_is_replaced() {
    let report = fewest_accusations(Fault::LowestWithoutStore);
    assert!(report.longest_gap_s <= 5.0, "{report:?}");
    let lowest =
        elections::simulate::<reader::LowestName>(Fault::LowestWithoutStore, 6, RUN_TIME, 3);
    assert!(
        lowest.no_reader_share > 0.9,
        "the lowest name keeps the role: {lowest:?}"
    );
}

/// A VM pauses, restarts, loses messages or reaches only half of its peers. Settings would be
/// delayed each time if the role moved each time.
#[test]
fn an_unreliable_vm_does_not_keep_the_role() {
    for fault in [
        Fault::LowestPauses,
        Fault::LowestRestarts,
        Fault::LowestHalfHeard,
        Fault::LowestLossy(0.6),
    ] {
        let report = fewest_accusations(fault);
        assert!(report.no_reader_share < 0.03, "{fault:?}: {report:?}");
        assert!(report.multiple_reader_share < 0.01, "{fault:?}: {report:?}");
    }
}

/// Readers are killed one after the other. Another VM must take over within seconds each time, or
/// an accepted change would come into force too late.
#[test]
fn a_killed_reader_is_replaced_within_seconds() {
    let report = fewest_accusations(Fault::ReaderKilled);
    assert!(report.longest_gap_s <= 3.5, "{report:?}");
}
