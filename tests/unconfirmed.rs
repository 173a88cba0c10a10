//! Records on which a restored store and a VM differ, without a network and on a passed-in time.

use std::time;

use bulrushwind::coordination::unconfirmed;
use bulrushwind::protocol::mirror;

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

const BACKEND: unconfirmed::Hold = unconfirmed::Hold {
    lasts: time::Duration::from_millis(2200),
    leased: true,
};

const EVACUATION: unconfirmed::Hold = unconfirmed::Hold {
    lasts: time::Duration::from_secs(60),
    leased: false,
};

fn record(key: &str, value: Option<&str>) -> mirror::Record {
    mirror::Record {
        key: key.to_owned(),
        value: value.map(|v| v.to_owned().into()),
    }
}

fn restored_at(now: time::Duration) -> unconfirmed::Unconfirmed {
    let mut unconfirmed = unconfirmed::Unconfirmed::default();
    unconfirmed.begin_epoch(now);
    unconfirmed
}

/// Lets answers of the store arrive every 0.6 s; nothing may be due meanwhile.
fn hear(unconfirmed: &mut unconfirmed::Unconfirmed, from: u64, to: u64) {
    for now in (from..to).step_by(600) {
        assert!(unconfirmed.take_due(ms(now)).is_empty(), "{now}");
    }
}

/// Guards against an evacuation, a backend server or an entry VM that lapses because a restored store
/// does not have it yet.
#[test]
fn a_record_that_a_restored_store_lacks_stays_until_its_time_is_over() {
    let mut unconfirmed = restored_at(ms(1000));
    assert!(!unconfirmed.admits_absence(ms(1000), "i-0", true, BACKEND));
    assert!(!unconfirmed.admits_absence(ms(1000), "az", true, EVACUATION));
    // A second list of the same epoch changes nothing.
    assert!(!unconfirmed.admits_absence(ms(3000), "i-0", false, BACKEND));
    hear(&mut unconfirmed, 1000, 3199);
    assert!(unconfirmed.take_due(ms(3199)).is_empty());
    assert_eq!(unconfirmed.take_due(ms(3200)), [record("i-0", None)]);
    assert!(unconfirmed.contains("az"));
    hear(&mut unconfirmed, 3300, 60_999);
    assert!(unconfirmed.take_due(ms(60_999)).is_empty());
    assert_eq!(unconfirmed.take_due(ms(61_000)), [record("az", None)]);
    assert!(unconfirmed.is_empty());
}

/// Guards against a live backend server that is dropped although it has written itself again.
#[test]
fn a_record_that_is_written_again_no_longer_waits() {
    let mut unconfirmed = restored_at(ms(0));
    assert!(!unconfirmed.admits_absence(ms(0), "i-0", true, BACKEND));
    assert!(unconfirmed.confirm("i-0"));
    assert!(!unconfirmed.confirm("i-0"));
    assert!(unconfirmed.take_due(ms(9000)).is_empty());
}

/// Guards against leases that end in the restored store although their holders had renewed them, and
/// against removals that are ignored for longer.
#[test]
fn the_end_of_a_lease_says_nothing_right_after_the_return() {
    let mut unconfirmed = unconfirmed::Unconfirmed::default();
    assert!(unconfirmed.admits_removal(ms(500), "i-0", BACKEND));
    unconfirmed.begin_epoch(ms(1000));
    assert!(!unconfirmed.admits_removal(ms(1500), "i-0", BACKEND));
    assert!(!unconfirmed.admits_removal(ms(1600), "i-0", BACKEND));
    assert!(unconfirmed.admits_removal(ms(1500), "az", EVACUATION));
    hear(&mut unconfirmed, 1500, 3200);
    assert_eq!(unconfirmed.take_due(ms(3200)), [record("i-0", None)]);
    assert!(unconfirmed.admits_removal(ms(3200), "i-1", BACKEND));
}

/// Guards against what was taken back, such as an evacuation, and is back in the copy.
#[test]
fn a_removed_record_that_is_back_waits_too() {
    let mut unconfirmed = restored_at(ms(0));
    let (old, new) = (record("az", Some("1")), record("az", Some("2")));
    assert!(!unconfirmed.admits(ms(0), &old, true, EVACUATION));
    assert!(unconfirmed.withholds("az"));
    assert!(!unconfirmed.admits(ms(100), &old, false, EVACUATION));
    assert!(unconfirmed.admits(ms(200), &new, false, EVACUATION));
    assert_eq!(unconfirmed.withheld(), ["az"]);
    assert!(unconfirmed.confirm("az"));
    let other = record("i-0", Some("1"));
    assert!(unconfirmed.admits(ms(0), &other, false, BACKEND));
}

/// Guards against an evacuation that operators order anew before a VM reads the restored store's list,
/// and that the VM takes for one of the copy.
#[test]
fn a_record_that_is_back_comes_into_force_within_three_seconds() {
    let mut unconfirmed = restored_at(ms(0));
    let evacuation = record("az", Some("1"));
    assert!(!unconfirmed.admits(ms(0), &evacuation, true, EVACUATION));
    hear(&mut unconfirmed, 0, 3000);
    assert_eq!(unconfirmed.take_due(ms(3000)), [evacuation]);
}

/// Guards against a dead VM that is back in the copy and comes into force although its lease ends there.
#[test]
fn a_removed_record_that_is_back_and_removed_again_does_not_come_into_force() {
    let mut unconfirmed = restored_at(ms(0));
    assert!(!unconfirmed.admits(ms(0), &record("vm", Some("1")), true, BACKEND));
    assert!(unconfirmed.admits_removal(ms(500), "vm", BACKEND));
    assert!(unconfirmed.confirm("vm"));
    assert!(unconfirmed.take_due(ms(9000)).is_empty());
}

/// Guards against records that lapse because their writers could not write while the store was away.
#[test]
fn time_in_which_the_store_is_not_heard_does_not_count() {
    let mut unconfirmed = restored_at(ms(0));
    assert!(!unconfirmed.admits_absence(ms(0), "i-0", true, BACKEND));
    for now in [0, 600, 1200, 9200, 9900] {
        assert!(unconfirmed.take_due(ms(now)).is_empty(), "{now}");
    }
    assert!(!unconfirmed.admits_removal(ms(9900), "i-1", BACKEND));
    let due = [record("i-0", None), record("i-1", None)];
    assert_eq!(unconfirmed.take_due(ms(10_200)), due);
}

/// Guards against requests to a backend server that left shortly after the return, for longer than
/// those that are still there need to write again.
#[test]
fn a_removal_after_the_return_waits_no_longer_than_the_return_calls_for() {
    let mut unconfirmed = unconfirmed::Unconfirmed::default();
    assert!(unconfirmed.take_due(ms(0)).is_empty());
    // The store is away for 5 s before it returns.
    unconfirmed.begin_epoch(ms(5000));
    assert!(unconfirmed.take_due(ms(5600)).is_empty());
    assert!(!unconfirmed.admits_removal(ms(7000), "i-0", BACKEND));
    assert!(unconfirmed.admits_removal(ms(7200), "i-1", BACKEND));
    for now in [6200, 7100] {
        assert!(unconfirmed.take_due(ms(now)).is_empty(), "{now}");
    }
    assert_eq!(unconfirmed.take_due(ms(7200)), [record("i-0", None)]);
}

/// Guards against a second return of the store that cuts the time for writing again short.
#[test]
fn a_second_return_in_a_row_starts_the_time_anew() {
    let mut unconfirmed = restored_at(ms(0));
    assert!(!unconfirmed.admits_absence(ms(0), "i-0", true, BACKEND));
    unconfirmed.begin_epoch(ms(2000));
    assert!(!unconfirmed.admits_absence(ms(2000), "i-0", true, BACKEND));
    hear(&mut unconfirmed, 2000, 4100);
    assert!(!unconfirmed.admits_removal(ms(4100), "i-1", BACKEND));
    let due = [record("i-0", None), record("i-1", None)];
    assert_eq!(unconfirmed.take_due(ms(4200)), due);
}

/// Guards against a follower that loses its leader and never learns which records still wait.
#[test]
fn followers_are_told_once_what_waits_and_later_ones_all_of_it() {
    let mut unconfirmed = restored_at(ms(0));
    unconfirmed.admits_absence(ms(0), "i-0", true, BACKEND);
    unconfirmed.admits_absence(ms(0), "i-1", true, BACKEND);
    unconfirmed.confirm("i-1");
    assert_eq!(unconfirmed.take_untold(), [record("i-0", None)]);
    assert!(unconfirmed.take_untold().is_empty());
    assert_eq!(unconfirmed.records(), [record("i-0", None)]);
}
