//! Accepted settings reach every entry process and never revert, whatever fails.
//!
//! Real nodes run with a simulated network and store in virtual time. [`nodes::Nodes::step`]
//! checks after each step that no process's settings reverted.

use std::time;

use bulrushwind::coordination::{action, store};
use bulrushwind::settings::{envelope, keys};
use bulrushwind::standin::{fabric, nodes, operator, store as memory};
use store::Store;

/// A time of day, in milliseconds since 1970.
const NOW_MS: u64 = 1_790_000_000_000;

/// Required time for a change to be in force everywhere.
const MAX_DISTRIBUTION_TIME: time::Duration = time::Duration::from_secs(5);

/// Long enough to detect a broken link and recover from it.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(30);

fn start_nodes(azs: usize, per_az: usize, link: fabric::Link) -> nodes::Nodes {
    let mut fleet = nodes::Nodes::new(nodes::Config {
        azs,
        per_az,
        link,
        roots: vec![operator::root().public()],
        ..nodes::Config::default()
    });
    let version = operator::publish(&fleet.store, "bays", "# first", NOW_MS).unwrap();
    fleet.run(MAX_DISTRIBUTION_TIME);
    assert!(
        fleet.all_have_version("bays", version),
        "first version in force"
    );
    fleet
}

fn healthy() -> nodes::Nodes {
    start_nodes(3, 2, fabric::Link::default())
}

fn apply(fleet: &nodes::Nodes, text: &str, later_ms: u64) -> u64 {
    operator::apply(&fleet.store, "bays", text, 0, NOW_MS + later_ms).unwrap()
}

fn wait_until_in_force(
    fleet: &mut nodes::Nodes,
    version: u64,
    span: time::Duration,
) -> time::Duration {
    fleet
        .run_until(span, |fleet| fleet.all_have_version("bays", version))
        .unwrap_or_else(|| panic!("version {version} is not in force everywhere after {span:?}"))
}

fn logged(fleet: &nodes::Nodes, what: fn(&action::Note) -> bool) -> bool {
    fleet.processes.iter().any(|p| p.notes.iter().any(what))
}

/// An operator applies a change without faults. It must be in force on every entry VM within 5 s.
#[test]
fn an_accepted_change_is_in_force_everywhere_within_seconds() {
    let mut fleet = healthy();
    let version = apply(&fleet, "# second", 1);
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
    let readers = fleet.processes.iter().filter(|p| p.is_reader()).count();
    assert_eq!(readers, 3, "one for each availability zone");
}

/// The store accepts a write but the reply is lost. The operator finds the change by reading it
/// back, and it must come into force although the writer got no confirmation.
#[test]
fn a_write_whose_reply_was_lost_is_in_force() {
    let mut fleet = healthy();
    fleet.store.set_faults(memory::Faults {
        lose_write_replies: 1,
        ..memory::Faults::default()
    });
    let version = apply(&fleet, "# second", 1);
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
}

/// Two operators plan on the same state and apply at the same time. One must get a conflict
/// error; if both were accepted, one change would be lost silently.
#[test]
fn one_of_two_concurrent_applies_gets_a_conflict() {
    let mut fleet = healthy();
    let at = envelope::store_key(&"bays".into());
    let base = operator::read(&fleet.store, &at).unwrap();
    let apply = |text: &str, ms| operator::apply_on(&fleet.store, "bays", text, 0, base, ms);
    let first = apply("# one", NOW_MS + 1).unwrap();
    let second = apply("# other", NOW_MS + 2).unwrap_err();
    assert!(matches!(second, store::Error::Conflict { .. }), "{second}");
    wait_until_in_force(&mut fleet, first, MAX_DISTRIBUTION_TIME);
}

/// An operator applies during an outage of the store. The change is refused and nothing changes;
/// the same change succeeds and comes into force once the store is up.
#[test]
fn an_apply_during_an_outage_fails_and_succeeds_afterwards() {
    let mut fleet = healthy();
    let before = fleet.processes[0].version("bays").unwrap();
    fleet.store_down = true;
    fleet.store.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    let refused = operator::apply(&fleet.store, "bays", "# second", 0, NOW_MS + 1);
    assert!(matches!(refused, Err(store::Error::Unavailable(_))));
    fleet.run(RECOVERY_TIME);
    assert!(fleet.all_have_version("bays", before));
    fleet.store_down = false;
    fleet.store.set_faults(memory::Faults::default());
    let version = apply(&fleet, "# second", 2);
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
}

/// The store drops its history while readers cannot reach it, so their watches have a gap. A
/// reader that continued after the gap would miss the change made in between.
#[test]
fn a_gap_in_the_watch_is_closed_by_a_full_read() {
    let mut fleet = healthy();
    for process in &mut fleet.processes {
        process.store_unreachable = true;
    }
    fleet.run(MAX_DISTRIBUTION_TIME);
    let version = apply(&fleet, "# second", 1);
    fleet.store.forget_history();
    for process in &mut fleet.processes {
        process.store_unreachable = false;
    }
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
}

/// Links lose, duplicate, delay and reorder messages. A late message must not revert settings,
/// and a lost one must not leave a VM on old settings.
#[test]
fn lost_late_and_duplicate_messages_are_harmless() {
    let link = fabric::Link {
        loss: 0.3,
        duplicates: 0.3,
        max_delay: time::Duration::from_millis(1_500),
        ..fabric::Link::default()
    };
    let mut fleet = nodes::Nodes::new(nodes::Config {
        link,
        roots: vec![operator::root().public()],
        ..nodes::Config::default()
    });
    operator::publish(&fleet.store, "bays", "# first", NOW_MS).unwrap();
    let mut version = 0;
    for change in 1..6 {
        fleet.run(time::Duration::from_millis(700));
        version = apply(&fleet, "# next", change);
    }
    wait_until_in_force(&mut fleet, version, RECOVERY_TIME);
}

/// An availability zone loses its peers, the store, or both, in one or both directions. It must
/// get the change over any working path, and catch up by itself once the links are restored.
#[test]
fn an_isolated_availability_zone_catches_up() {
    for (store_cut, peers_cut, one_way) in [
        (true, false, false),
        (false, true, false),
        (false, true, true),
        (true, true, true),
        (true, true, false),
    ] {
        let mut fleet = healthy();
        let (inside, outside) = fleet.split_by_az(0);
        for i in &inside {
            fleet.processes[*i].store_unreachable = store_cut;
        }
        if peers_cut {
            fleet.set_links(&inside, &outside, !one_way, fabric::Link::cut());
        }
        let before = fleet.processes[0].version("bays").unwrap();
        let version = apply(&fleet, "# second", 1);
        fleet.run(RECOVERY_TIME);
        let cut_off = store_cut && peers_cut;
        for i in 0..fleet.processes.len() {
            let stays_old = cut_off && inside.contains(&i) && !one_way;
            let expect = if stays_old { before } else { version };
            if !(cut_off && one_way) || outside.contains(&i) {
                assert_eq!(fleet.processes[i].version("bays"), Some(expect));
            }
        }
        fleet.fabric.heal();
        for i in &inside {
            fleet.processes[*i].store_unreachable = false;
        }
        wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
    }
}

/// The store is down and all entry VMs of an availability zone are replaced by empty ones. Without
/// settings from their peers they could serve no caller until the store is up.
#[test]
fn an_availability_zone_that_starts_empty_during_an_outage_gets_its_settings_from_peers() {
    let mut fleet = healthy();
    let version = fleet.processes[0].version("bays").unwrap();
    fleet.store_down = true;
    let (inside, _) = fleet.split_by_az(1);
    for i in &inside {
        fleet.kill(*i);
    }
    fleet.run(MAX_DISTRIBUTION_TIME);
    for i in &inside {
        fleet.start(*i);
    }
    assert!(!fleet.all_have_version("bays", version));
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
    let rows = inside.iter().map(|i| {
        let node = fleet.processes[*i].node.as_ref().unwrap();
        node.view().entry_count()
    });
    assert!(rows.eq([6, 6]), "the list of VMs came with it");
}

/// The store is restored from a backup. No VM reverts, the readers write the newer version to the
/// store again, and an operator's next change builds on it.
#[test]
fn a_restored_store_is_rewritten() {
    let mut fleet = healthy();
    let backup = fleet.store.backup();
    let version = apply(&fleet, "# second", 1);
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
    fleet.store.restore(&backup);
    fleet.run(MAX_DISTRIBUTION_TIME);
    assert!(fleet.all_have_version("bays", version));
    let (_, stored) = operator::read(&fleet.store, "settings/bays").unwrap();
    assert_eq!(stored, version, "the store was written again");
    assert!(logged(&fleet, |note| matches!(
        note,
        action::Note::StoreBehind { .. }
    )));
    let next = apply(&fleet, "# third", 2);
    wait_until_in_force(&mut fleet, next, MAX_DISTRIBUTION_TIME);
}

/// The store is restored and an operator applies before any reader detects it. The newer change
/// was accepted, so it must come into force and stay.
#[test]
fn a_change_on_a_restored_store_comes_into_force() {
    let mut fleet = healthy();
    let backup = fleet.store.backup();
    let version = apply(&fleet, "# second", 1);
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
    fleet.store.restore(&backup);
    let next = apply(&fleet, "# third", 60_000);
    wait_until_in_force(&mut fleet, next, MAX_DISTRIBUTION_TIME);
    fleet.run(MAX_DISTRIBUTION_TIME);
    assert!(fleet.all_have_version("bays", next));
}

/// Reads come from a stale replica of the store. Settings must not revert, and the readers' repair
/// writes must not overwrite the newer value.
#[test]
fn a_stale_read_changes_nothing() {
    let mut fleet = healthy();
    let stale = fleet.store.backup();
    let version = apply(&fleet, "# second", 1);
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
    fleet.stale_snapshot = Some(stale);
    fleet.store.forget_history();
    fleet.run(RECOVERY_TIME);
    assert!(fleet.all_have_version("bays", version));
    let (_, stored) = operator::read(&fleet.store, "settings/bays").unwrap();
    assert_eq!(stored, version);
}

/// The store is restored and an operator whose clock runs behind applies a change with the version
/// of the lost one. All VMs must keep the same change of the two and log it.
#[test]
fn two_changes_of_one_version_converge_to_one() {
    let mut fleet = healthy();
    let backup = fleet.store.backup();
    let one = apply(&fleet, "# one", 1);
    wait_until_in_force(&mut fleet, one, MAX_DISTRIBUTION_TIME);
    fleet.store.restore(&backup);
    let other = apply(&fleet, "# other", 1);
    assert_eq!(one, other);
    fleet.run(RECOVERY_TIME);
    let texts: std::collections::BTreeSet<_> = fleet
        .processes
        .iter()
        .map(|p| p.node.as_ref().unwrap().sync().held().text("settings/bays"))
        .collect();
    assert_eq!(texts.len(), 1, "all hold the same");
    let stored = fleet.store.get("settings/bays").unwrap().unwrap();
    let held = texts.into_iter().next().unwrap().unwrap();
    assert_eq!(stored.value, held.as_bytes(), "and the store too");
    let logged_conflict_or_repair = |note: &action::Note| {
        matches!(
            note,
            action::Note::VersionConflict { .. } | action::Note::StoreBehind { .. }
        )
    };
    assert!(logged(&fleet, logged_conflict_or_repair));
}

/// A team rotates its key. A VM that starts later must accept settings that the old key signed
/// before the rotation, and refuse those that it signs afterwards.
#[test]
fn a_rotated_key_can_no_longer_sign() {
    let mut fleet = healthy();
    let first = fleet.processes[0].version("bays").unwrap();
    let ring = operator::ring("bays", 2, &[(0, Some(first + 1)), (1, None)]);
    operator::put_ring(&fleet.store, &ring).unwrap();
    fleet.run(MAX_DISTRIBUTION_TIME);
    fleet.kill(0);
    fleet.run(MAX_DISTRIBUTION_TIME);
    fleet.start(0);
    wait_until_in_force(&mut fleet, first, MAX_DISTRIBUTION_TIME);

    apply(&fleet, "# by the old key", 1);
    fleet.run(MAX_DISTRIBUTION_TIME);
    assert!(fleet.all_have_version("bays", first));
    assert!(logged(&fleet, |note| matches!(
        note,
        action::Note::Refused { .. }
    )));
    let next = operator::apply(&fleet.store, "bays", "# by the new", 1, NOW_MS + 2).unwrap();
    wait_until_in_force(&mut fleet, next, MAX_DISTRIBUTION_TIME);
}

/// Someone with write access to the store writes settings not signed by a key of the team, and a
/// key ring not signed by a root key. Neither may come into force.
#[test]
fn values_not_signed_by_a_known_key_are_refused() {
    let mut fleet = healthy();
    let version = fleet.processes[0].version("bays").unwrap();
    operator::apply(&fleet.store, "bays", "# forged", 7, NOW_MS + 1).unwrap();
    let key = keys::TeamKey {
        holder: "stranger".to_owned(),
        public: operator::team_key(7).public(),
        until: None,
    };
    let ring = keys::KeyRing::sign("bays".into(), 9, vec![key], &operator::team_key(7)).unwrap();
    operator::put_ring(&fleet.store, &ring).unwrap();
    fleet.run(RECOVERY_TIME);
    assert!(fleet.all_have_version("bays", version));
    assert!(logged(&fleet, |note| matches!(
        note,
        action::Note::Refused { .. }
    )));
}

/// A team's newest settings are inconsistent: a service names an undeclared availability zone. The
/// team's last valid settings and those of all other teams stay in force.
#[test]
fn inconsistent_settings_do_not_come_into_force() {
    let mut fleet = healthy();
    let version = fleet.processes[0].version("bays").unwrap();
    let unsound = "[[service]]\nname = \"x\"\nazs = [\"nowhere\"]\nslots = 1\nconnections = 1\noperation = []\n";
    apply(&fleet, unsound, 1);
    let other = operator::publish(&fleet.store, "records", "# sound", NOW_MS).unwrap();
    let all_have_other = |fleet: &nodes::Nodes| fleet.all_have_version("records", other);
    assert!(
        fleet
            .run_until(MAX_DISTRIBUTION_TIME, all_have_other)
            .is_some()
    );
    assert!(fleet.all_have_version("bays", version));
    assert!(logged(&fleet, |note| matches!(
        note,
        action::Note::NotInForce { .. }
    )));
    let next = apply(&fleet, "# mended", 2);
    wait_until_in_force(&mut fleet, next, MAX_DISTRIBUTION_TIME);
}

/// A VM is paused for minutes and resumes with all its timers overdue. It must detect by itself
/// that its settings are outdated.
#[test]
fn a_paused_process_catches_up() {
    let mut fleet = healthy();
    let reader = fleet.processes.iter().position(|p| p.is_reader()).unwrap();
    fleet.processes[reader].paused = true;
    let version = apply(&fleet, "# second", 1);
    fleet.run(time::Duration::from_secs(180));
    let others = fleet
        .processes
        .iter()
        .enumerate()
        .filter(|(i, _)| *i != reader);
    assert!(
        others
            .into_iter()
            .all(|(_, p)| p.version("bays") == Some(version))
    );
    fleet.processes[reader].paused = false;
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
}

/// Forty-eight processes in three availability zones of 16: not all processes of an availability
/// zone are linked, so they must relay messages.
#[test]
fn a_change_reaches_a_fleet_that_is_not_fully_linked() {
    let mut fleet = start_nodes(3, 16, fabric::Link::default());
    let version = apply(&fleet, "# second", 1);
    wait_until_in_force(&mut fleet, version, MAX_DISTRIBUTION_TIME);
    let readers = fleet.processes.iter().filter(|p| p.is_reader()).count();
    assert_eq!(readers, 3, "one for each availability zone");
}
