//! Picking the reader of an availability zone on faulty links, with fixed seeds.

use std::time;

use bulrushwind::coordination::reader;
use bulrushwind::standin::elections;
use elections::Fault;

const SPAN: time::Duration = time::Duration::from_secs(300);

fn accused(fault: Fault) -> elections::Report {
    elections::play::<reader::Accused>(fault, 6, SPAN, 3)
}

/// The VM that reads for its availability zone loses its way to the store while its peers still
/// hear it. A change that operators apply would not reach the availability zone.
#[test]
fn a_reader_that_cannot_reach_the_store_is_replaced() {
    let report = accused(Fault::LowestWithoutStore);
    assert!(report.longest_s <= 5.0, "{report:?}");
    let lowest = elections::play::<reader::Lowest>(Fault::LowestWithoutStore, 6, SPAN, 3);
    assert!(lowest.without > 0.9, "the other way is stuck: {lowest:?}");
}

/// A VM pauses, restarts, or is heard by half of its peers only. Settings would come late each
/// time if the role moved each time.
#[test]
fn a_shaky_vm_does_not_keep_the_role() {
    for fault in [
        Fault::LowestPauses,
        Fault::LowestRestarts,
        Fault::LowestHalfHeard,
        Fault::LowestLossy(0.6),
    ] {
        let report = accused(fault);
        assert!(report.without < 0.03, "{fault:?}: {report:?}");
        assert!(report.doubled < 0.01, "{fault:?}: {report:?}");
    }
}

/// Readers are killed one after the other. Each time another one has to read within seconds, or a
/// change that was accepted is not in force in time.
#[test]
fn a_killed_reader_is_replaced_within_seconds() {
    let report = accused(Fault::ReaderKilled);
    assert!(report.longest_s <= 3.5, "{report:?}");
}
