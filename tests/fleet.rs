//! Entry VMs as separate processes: settings that operators apply reach all of them.

use std::path;
use std::thread;
use std::time;

use bulrushwind::standin::{deployment, operator};

/// Timeout of a condition, ample even on a slow machine.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(90);

fn deploy(dir: &tempfile::TempDir, series: u8) -> deployment::Deployment {
    let standin = path::Path::new(env!("CARGO_BIN_EXE_bulrushwind-standin"));
    let entry = path::Path::new(env!("CARGO_BIN_EXE_bulrushwind-entry"));
    deployment::Deployment::new(standin, entry, dir.path(), series, (3, 2)).unwrap()
}

fn wait_for<F: Fn() -> bool>(what: &str, holds: F) {
    let until = time::Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(time::Instant::now() < until, "never came true: {what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}

/// An operator applies settings and then a change. Each must be in force on every entry VM of all
/// availability zones.
#[test]
fn an_applied_change_reaches_every_entry_vm() {
    let dir = tempfile::tempdir().unwrap();
    let mut fleet = deploy(&dir, 0);
    let platform = fleet.store_client();
    let version = operator::publish(&platform, "bays", "# first", 0).unwrap();
    fleet.start_all().unwrap();
    wait_for("all have the first version", || {
        (0..6).all(|i| fleet.version(i, "bays") == Some(version))
    });
    wait_for("all are linked", || {
        (0..6).all(|i| fleet.status(i).is_ok_and(|status| status.peers == 5))
    });
    fleet.set_faults(false, 0, 1).unwrap();
    let next = operator::apply(&platform, "bays", "# second", 0, 0).unwrap();
    wait_for("all have the second version", || {
        (0..6).all(|i| fleet.version(i, "bays") == Some(next))
    });
}

/// The store is down and all VMs of an availability zone are replaced by empty ones. They must get
/// the settings from peers, or callers would be refused until the store is up. After that, the
/// next change must reach them too.
#[test]
fn empty_vms_get_the_settings_from_peers_during_an_outage() {
    let dir = tempfile::tempdir().unwrap();
    let mut fleet = deploy(&dir, 1);
    let platform = fleet.store_client();
    let version = operator::publish(&platform, "bays", "# first", 0).unwrap();
    fleet.start_all().unwrap();
    wait_for("all have the first version", || {
        (0..6).all(|i| fleet.version(i, "bays") == Some(version))
    });
    fleet.set_faults(true, 0, 0).unwrap();
    for i in [4, 5] {
        fleet.kill(i);
        fleet.start(i).unwrap();
    }
    wait_for("the replaced VMs have it from their peers", || {
        [4, 5]
            .iter()
            .all(|i| fleet.version(*i, "bays") == Some(version))
    });
    let refused = operator::apply(&platform, "bays", "# second", 0, 0);
    assert!(refused.is_err(), "nothing is accepted during an outage");
    fleet.set_faults(false, 0, 0).unwrap();
    let next = operator::apply(&platform, "bays", "# second", 0, 0).unwrap();
    wait_for("all have the second version", || {
        (0..6).all(|i| fleet.version(i, "bays") == Some(next))
    });
}
