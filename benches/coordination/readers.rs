//! Compares reader election by lowest name with election by fewest accusations, on faulty links.

use std::time;

use bulrushwind::coordination::reader;
use bulrushwind::standin::elections;
use elections::Fault;

const VMS: usize = 6;
const RUN_TIME: time::Duration = time::Duration::from_secs(1_800);
const SEEDS: u64 = 5;

const FAULTS: [(&str, Fault); 14] = [
    ("no fault", Fault::None),
    ("5% lost", Fault::Loss(0.05)),
    ("30% lost", Fault::Loss(0.3)),
    ("60% lost", Fault::Loss(0.6)),
    ("up to 800 ms late", Fault::Delay(800)),
    ("up to 3 s late", Fault::Delay(3_000)),
    ("lowest unheard", Fault::LowestUnheard),
    ("lowest heard by half", Fault::LowestHalfHeard),
    ("lowest loses 60%", Fault::LowestLossy(0.6)),
    ("lowest pauses 4 s in 10", Fault::LowestPauses),
    ("lowest restarts each 10 s", Fault::LowestRestarts),
    ("lowest without store", Fault::LowestWithoutStore),
    ("reader killed each 60 s", Fault::ReaderKilled),
    ("split 20 s each 60 s", Fault::Split),
];

pub(crate) fn print() {
    println!(
        "readers: {VMS} VMs, {} s, {SEEDS} seeds",
        RUN_TIME.as_secs()
    );
    println!(
        "| fault | way | changes/VM/h | messages/VM/min | without % | longest s | doubled % |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (name, fault) in FAULTS {
        row(name, "lowest", &mean::<reader::LowestName>(fault));
        row(name, "accused", &mean::<reader::FewestAccusations>(fault));
    }
}

fn row(fault: &str, election: &str, report: &elections::Report) {
    println!(
        "| {fault} | {election} | {:.1} | {:.0} | {:.2} | {:.1} | {:.2} |",
        report.changes,
        report.messages,
        report.no_reader_share * 100.0,
        report.longest_gap_s,
        report.multiple_reader_share * 100.0,
    );
}

fn mean<E: reader::Election>(fault: Fault) -> elections::Report {
    let mut sum = elections::Report::default();
    for seed in 0..SEEDS {
        let report = elections::simulate::<E>(fault, VMS, RUN_TIME, seed);
        sum.changes += report.changes / SEEDS as f64;
        sum.messages += report.messages / SEEDS as f64;
        sum.no_reader_share += report.no_reader_share / SEEDS as f64;
        sum.multiple_reader_share += report.multiple_reader_share / SEEDS as f64;
        sum.longest_gap_s = sum.longest_gap_s.max(report.longest_gap_s);
    }
    sum
}
