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
const SECONDS: time::Duration = time::Duration::from_secs(5);

/// Long enough to detect a broken link and recover from it.
const LONG: time::Duration = time::Duration::from_secs(30);

fn start(azs: usize, per_az: usize, link: fabric::Link) -> nodes::Nodes {
    let mut all = nodes::Nodes::new(nodes::Config {
        azs,
        per_az,
        link,
        roots: vec![operator::root().public()],
        ..nodes::Config::default()
    });
    let version = operator::publish(&all.store, "bays", "# first", NOW_MS).unwrap();
    all.run(SECONDS);
    assert!(all.all_have("bays", version), "first version in force");
    all
}

fn healthy() -> nodes::Nodes {
    start(3, 2, fabric::Link::default())
}

fn apply(all: &nodes::Nodes, text: &str, later_ms: u64) -> u64 {
    operator::apply(&all.store, "bays", text, 0, NOW_MS + later_ms).unwrap()
}

fn reaches_all(all: &mut nodes::Nodes, version: u64, span: time::Duration) -> time::Duration {
    all.run_until(span, |all| all.all_have("bays", version))
        .unwrap_or_else(|| panic!("version {version} is not in force everywhere after {span:?}"))
}

fn told(all: &nodes::Nodes, what: fn(&action::Note) -> bool) -> bool {
    all.processes.iter().any(|p| p.notes.iter().any(what))
}

/// An operator applies a change without faults. It must be in force on every entry VM within 5 s.
#[test]
fn an_accepted_change_is_in_force_everywhere_within_seconds() {
    let mut all = healthy();
    let version = apply(&all, "# second", 1);
    reaches_all(&mut all, version, SECONDS);
    let readers = all.processes.iter().filter(|p| p.is_reader()).count();
    assert_eq!(readers, 3, "one for each availability zone");
}

/// The store accepts a write but the reply is lost. The operator finds the change by reading it
/// back, and it must come into force although the writer got no confirmation.
#[test]
fn a_write_whose_reply_was_lost_is_in_force() {
    let mut all = healthy();
    all.store.set_faults(memory::Faults {
        lose_write_replies: 1,
        ..memory::Faults::default()
    });
    let version = apply(&all, "# second", 1);
    reaches_all(&mut all, version, SECONDS);
}

/// Two operators plan on the same state and apply at the same time. One must get a conflict
/// error; if both were accepted, one change would be lost silently.
#[test]
fn of_two_operators_who_race_one_is_told() {
    let mut all = healthy();
    let at = envelope::store_key(&"bays".into());
    let base = operator::read(&all.store, &at).unwrap();
    let apply = |text: &str, ms| operator::apply_on(&all.store, "bays", text, 0, base, ms);
    let first = apply("# one", NOW_MS + 1).unwrap();
    let second = apply("# other", NOW_MS + 2).unwrap_err();
    assert!(matches!(second, store::Error::Conflict { .. }), "{second}");
    reaches_all(&mut all, first, SECONDS);
}

/// An operator applies during an outage of the store. The change is refused and nothing changes;
/// the same change succeeds and comes into force once the store is up.
#[test]
fn an_apply_during_an_outage_changes_nothing_and_goes_through_afterwards() {
    let mut all = healthy();
    let before = all.processes[0].version("bays").unwrap();
    all.down = true;
    all.store.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    let refused = operator::apply(&all.store, "bays", "# second", 0, NOW_MS + 1);
    assert!(matches!(refused, Err(store::Error::Unavailable(_))));
    all.run(LONG);
    assert!(all.all_have("bays", before));
    all.down = false;
    all.store.set_faults(memory::Faults::default());
    let version = apply(&all, "# second", 2);
    reaches_all(&mut all, version, SECONDS);
}

/// The store drops its history while readers cannot reach it, so their watches have a gap. A
/// reader that continued after the gap would miss the change made in between.
#[test]
fn a_gap_in_the_watch_is_read_over() {
    let mut all = healthy();
    for process in &mut all.processes {
        process.no_store = true;
    }
    all.run(SECONDS);
    let version = apply(&all, "# second", 1);
    all.store.forget_history();
    for process in &mut all.processes {
        process.no_store = false;
    }
    reaches_all(&mut all, version, SECONDS);
}

/// Links lose, duplicate, delay and reorder messages. A late message must not revert settings,
/// and a lost one must not leave a VM on old settings.
#[test]
fn lost_late_and_repeated_messages_do_no_harm() {
    let link = fabric::Link {
        loss: 0.3,
        duplicates: 0.3,
        max_delay: time::Duration::from_millis(1_500),
        ..fabric::Link::default()
    };
    let mut all = nodes::Nodes::new(nodes::Config {
        link,
        roots: vec![operator::root().public()],
        ..nodes::Config::default()
    });
    operator::publish(&all.store, "bays", "# first", NOW_MS).unwrap();
    let mut version = 0;
    for change in 1..6 {
        all.run(time::Duration::from_millis(700));
        version = apply(&all, "# next", change);
    }
    reaches_all(&mut all, version, LONG);
}

/// An availability zone loses its peers, the store, or both, in one or both directions. It must
/// get the change over any working path, and catch up by itself once the links are restored.
#[test]
fn a_cut_off_availability_zone_catches_up() {
    for (store_cut, peers_cut, one_way) in [
        (true, false, false),
        (false, true, false),
        (false, true, true),
        (true, true, true),
        (true, true, false),
    ] {
        let mut all = healthy();
        let (inside, outside) = all.split(0);
        for i in &inside {
            all.processes[*i].no_store = store_cut;
        }
        if peers_cut {
            all.set_links(&inside, &outside, !one_way, fabric::Link::cut());
        }
        let before = all.processes[0].version("bays").unwrap();
        let version = apply(&all, "# second", 1);
        all.run(LONG);
        let cut_off = store_cut && peers_cut;
        for i in 0..all.processes.len() {
            let left_behind = cut_off && inside.contains(&i) && !one_way;
            let expect = if left_behind { before } else { version };
            if !(cut_off && one_way) || outside.contains(&i) {
                assert_eq!(all.processes[i].version("bays"), Some(expect));
            }
        }
        all.fabric.heal();
        for i in &inside {
            all.processes[*i].no_store = false;
        }
        reaches_all(&mut all, version, SECONDS);
    }
}

/// The store is down and all entry VMs of an availability zone are replaced by empty ones. Without
/// settings from their peers they could serve no caller until the store is up.
#[test]
fn an_availability_zone_that_starts_empty_during_an_outage_learns_from_peers() {
    let mut all = healthy();
    let version = all.processes[0].version("bays").unwrap();
    all.down = true;
    let (inside, _) = all.split(1);
    for i in &inside {
        all.kill(*i);
    }
    all.run(SECONDS);
    for i in &inside {
        all.start(*i);
    }
    assert!(!all.all_have("bays", version));
    reaches_all(&mut all, version, SECONDS);
    let rows = inside.iter().map(|i| {
        let node = all.processes[*i].node.as_ref().unwrap();
        node.view().entries()
    });
    assert!(rows.eq([6, 6]), "the list of VMs came with it");
}

/// The store is restored from a backup. No VM reverts, the readers write the newer version to the
/// store again, and an operator's next change builds on it.
#[test]
fn a_store_that_was_put_back_is_brought_up_again() {
    let mut all = healthy();
    let backup = all.store.backup();
    let version = apply(&all, "# second", 1);
    reaches_all(&mut all, version, SECONDS);
    all.store.restore(&backup);
    all.run(SECONDS);
    assert!(all.all_have("bays", version));
    let (_, stored) = operator::read(&all.store, "settings/bays").unwrap();
    assert_eq!(stored, version, "the store was written again");
    assert!(told(&all, |n| matches!(
        n,
        action::Note::StoreBehind { .. }
    )));
    let next = apply(&all, "# third", 2);
    reaches_all(&mut all, next, SECONDS);
}

/// The store is restored and an operator applies before any reader detects it. The newer change
/// was accepted, so it must come into force and stay.
#[test]
fn a_change_on_a_store_that_was_put_back_is_in_force() {
    let mut all = healthy();
    let backup = all.store.backup();
    let version = apply(&all, "# second", 1);
    reaches_all(&mut all, version, SECONDS);
    all.store.restore(&backup);
    let next = apply(&all, "# third", 60_000);
    reaches_all(&mut all, next, SECONDS);
    all.run(SECONDS);
    assert!(all.all_have("bays", next));
}

/// Reads come from a stale replica of the store. Settings must not revert, and the readers' repair
/// writes must not overwrite the newer value.
#[test]
fn a_stale_read_changes_nothing() {
    let mut all = healthy();
    let stale = all.store.backup();
    let version = apply(&all, "# second", 1);
    reaches_all(&mut all, version, SECONDS);
    all.stale = Some(stale);
    all.store.forget_history();
    all.run(LONG);
    assert!(all.all_have("bays", version));
    let (_, stored) = operator::read(&all.store, "settings/bays").unwrap();
    assert_eq!(stored, version);
}

/// The store is restored and an operator whose clock runs behind applies a change with the version
/// of the lost one. All VMs must keep the same change of the two and log it.
#[test]
fn two_changes_of_one_version_end_in_one_everywhere() {
    let mut all = healthy();
    let backup = all.store.backup();
    let one = apply(&all, "# one", 1);
    reaches_all(&mut all, one, SECONDS);
    all.store.restore(&backup);
    let other = apply(&all, "# other", 1);
    assert_eq!(one, other);
    all.run(LONG);
    let texts: std::collections::BTreeSet<_> = all
        .processes
        .iter()
        .map(|p| p.node.as_ref().unwrap().sync().book().text("settings/bays"))
        .collect();
    assert_eq!(texts.len(), 1, "all hold the same");
    let stored = all.store.get("settings/bays").unwrap().unwrap();
    let held = texts.into_iter().next().unwrap().unwrap();
    assert_eq!(stored.value, held.as_bytes(), "and the store too");
    let told_of = |n: &action::Note| {
        matches!(
            n,
            action::Note::Tie { .. } | action::Note::StoreBehind { .. }
        )
    };
    assert!(told(&all, told_of));
}

/// A team rotates its key. A VM that starts later must accept settings that the old key signed
/// before the rotation, and refuse those that it signs afterwards.
#[test]
fn a_key_is_rotated_and_the_old_one_signs_no_more() {
    let mut all = healthy();
    let first = all.processes[0].version("bays").unwrap();
    let ring = operator::ring("bays", 2, &[(0, Some(first + 1)), (1, None)]);
    operator::put_ring(&all.store, &ring).unwrap();
    all.run(SECONDS);
    all.kill(0);
    all.run(SECONDS);
    all.start(0);
    reaches_all(&mut all, first, SECONDS);

    apply(&all, "# by the old key", 1);
    all.run(SECONDS);
    assert!(all.all_have("bays", first));
    assert!(told(&all, |n| matches!(n, action::Note::Refused { .. })));
    let next = operator::apply(&all.store, "bays", "# by the new", 1, NOW_MS + 2).unwrap();
    reaches_all(&mut all, next, SECONDS);
}

/// Someone with write access to the store writes settings not signed by a key of the team, and a
/// key ring not signed by a root key. Neither may come into force.
#[test]
fn what_no_known_key_signed_is_refused() {
    let mut all = healthy();
    let version = all.processes[0].version("bays").unwrap();
    operator::apply(&all.store, "bays", "# forged", 7, NOW_MS + 1).unwrap();
    let key = keys::TeamKey {
        holder: "stranger".to_owned(),
        public: operator::team_key(7).public(),
        until: None,
    };
    let ring = keys::KeyRing::sign("bays".into(), 9, vec![key], &operator::team_key(7)).unwrap();
    operator::put_ring(&all.store, &ring).unwrap();
    all.run(LONG);
    assert!(all.all_have("bays", version));
    assert!(told(&all, |n| matches!(n, action::Note::Refused { .. })));
}

/// A team's newest settings are inconsistent: a service names an undeclared availability zone. The
/// team's last valid settings and those of all other teams stay in force.
#[test]
fn a_part_that_does_not_go_with_the_others_stays_out() {
    let mut all = healthy();
    let version = all.processes[0].version("bays").unwrap();
    let unsound = "[[service]]\nname = \"x\"\nazs = [\"nowhere\"]\nslots = 1\nconnections = 1\noperation = []\n";
    apply(&all, unsound, 1);
    let other = operator::publish(&all.store, "records", "# sound", NOW_MS).unwrap();
    let all_other = |all: &nodes::Nodes| all.all_have("records", other);
    assert!(all.run_until(SECONDS, all_other).is_some());
    assert!(all.all_have("bays", version));
    assert!(told(&all, |n| matches!(n, action::Note::NotInForce { .. })));
    let next = apply(&all, "# mended", 2);
    reaches_all(&mut all, next, SECONDS);
}

/// A VM is paused for minutes and resumes with all its timers overdue. It must detect by itself
/// that its settings are outdated.
#[test]
fn a_paused_process_catches_up() {
    let mut all = healthy();
    let reader = all.processes.iter().position(|p| p.is_reader()).unwrap();
    all.processes[reader].paused = true;
    let version = apply(&all, "# second", 1);
    all.run(time::Duration::from_secs(180));
    let others = all
        .processes
        .iter()
        .enumerate()
        .filter(|(i, _)| *i != reader);
    assert!(
        others
            .into_iter()
            .all(|(_, p)| p.version("bays") == Some(version))
    );
    all.processes[reader].paused = false;
    reaches_all(&mut all, version, SECONDS);
}

/// Forty-eight processes in three availability zones of 16: not all processes of an availability
/// zone are linked, so they must relay messages.
#[test]
fn a_larger_fleet_is_reached_without_links_between_all() {
    let mut all = start(3, 16, fabric::Link::default());
    let version = apply(&all, "# second", 1);
    reaches_all(&mut all, version, SECONDS);
    let readers = all.processes.iter().filter(|p| p.is_reader()).count();
    assert_eq!(readers, 3, "one for each availability zone");
}
