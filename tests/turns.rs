//! Simulates, without a network, which VMs read the platform's store after all lose their leader.

use std::time;

use bulrushwind::coordination::{mirror, registration, turns};

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

/// The outcome for the VMs of one region.
#[derive(Debug, Default)]
struct Played {
    /// Calls to the store.
    calls: usize,
    /// When the last VM had a leader again.
    all_found: time::Duration,
}

/// All VMs of a region lose their leader at once. The store answers calls from `back` on, within
/// `took`; earlier calls fail at once. Between its reads, each VM tries to follow the VMs before
/// it.
fn play(vms: usize, back: time::Duration, took: time::Duration) -> Played {
    const TICK: u64 = 20;
    let mut played = Played::default();
    let mut turns = vec![turns::Turns::default(); vms];
    // When a VM will have read the store, and whether it has a source of records.
    let mut reading: Vec<Option<time::Duration>> = vec![None; vms];
    let mut found = vec![false; vms];
    for now in (0..1000).map(|n| ms(n * TICK)) {
        for place in 0..vms {
            if found[place] {
                continue;
            }
            let read = reading[place].is_some_and(|at| now >= at);
            let asks = now.as_millis().is_multiple_of(mirror::AGAIN.as_millis());
            if read || (asks && found[..place].contains(&true)) {
                found[place] = true;
                played.all_found = now;
            } else if reading[place].is_none() && turns[place].wait(now, place).is_zero() {
                played.calls += 1;
                match now >= back {
                    true => reading[place] = Some(now + took),
                    false => turns[place].failed(now, place),
                }
            }
        }
    }
    assert!(found.iter().all(|found| *found));
    played
}

/// The reader of a region loses power, so all VMs lose their leader at once. If each then reads the
/// whole list, users pay for the calls, and at 300 VMs the store's link is saturated for seconds.
#[test]
fn two_of_a_region_turn_to_the_store_and_the_others_follow_them() {
    for vms in [4, 12, 32, 100, 400] {
        let played = play(vms, ms(0), ms(150));
        assert_eq!(played.calls, 2, "{vms} VMs");
        assert!(played.all_found <= ms(600), "{played:?}");
    }
}

/// The list is long and the store is in another region, so a read takes most of a second. Some VMs
/// stop waiting and read the store too, and no VM waits much longer than that read.
#[test]
fn a_slow_read_brings_few_more_to_the_store() {
    let played = play(100, ms(0), ms(900));
    assert!(played.calls <= 8, "{played:?}");
    assert!(played.all_found <= ms(1500), "{played:?}");
}

/// The store refuses calls for four seconds. If each VM called twice a second, a region of a
/// hundred VMs would make some 800 calls, and all VMs would call again when the store recovers.
#[test]
fn a_store_that_refuses_is_asked_by_few_and_heard_soon_after_its_return() {
    let played = play(100, ms(4000), ms(150));
    // The first VMs call twice a second, and every other VM three times in total.
    assert!(played.calls <= 2 * 10 + 98 * 3, "{played:?}");
    assert!(played.all_found <= ms(4000 + 1200), "{played:?}");
}

/// The first VMs are cut off from the store, so the others wait for them in vain. Changes by
/// operators must still be in force on the others within four seconds, which leaves two seconds
/// after the silence timeout.
#[test]
fn those_further_back_do_not_wait_for_the_front_without_end() {
    for place in [0, 1, 2, 3, 10, 100, 4400] {
        let mut turns = turns::Turns::default();
        assert_eq!(turns.wait(ms(5000), place).is_zero(), place < turns::FIRST);
        assert!(turns.wait(ms(7000), place).is_zero(), "{place}");
    }
}

/// The store does not answer for some seconds, and calls hang until they time out. A full backoff
/// after such a call would delay changes, and requests would go to backend servers that have left.
#[test]
fn after_a_call_that_hung_the_next_follows_at_once() {
    for place in [0, 1, 10, 100] {
        let mut turns = turns::Turns::default();
        turns.wait(ms(1000), place);
        for n in 0..3 {
            let begun = ms(5000 + n * 2100);
            turns.failed(begun, place);
            assert!(turns.wait(begun + ms(2000), place).is_zero(), "{place}");
        }
        let refused = ms(20_000);
        turns.failed(refused, place);
        assert!(turns.wait(refused + ms(100), place) >= ms(100), "{place}");
    }
}

/// Guards against the cost of renewals for VMs on standby, and against naming dead VMs for longer
/// than operators allow.
#[test]
fn those_that_stand_by_renew_seldom_and_are_forgotten_in_time() {
    for (named, lasts) in [(3000, 3000), (6000, 3000), (7000, 4000), (9000, 6000)] {
        assert_eq!(registration::lease(true, ms(named)), ms(lasts));
        assert_eq!(registration::lease(false, ms(named)), ms(3000));
        assert!(registration::renewal(ms(lasts)) * 3 <= ms(lasts));
    }
}

/// Guards against hundreds of VMs that read a distant store when all start at once.
#[test]
fn at_a_start_far_from_the_store_those_behind_wait_for_a_whole_read() {
    let call = ms(220);
    assert!(turns::patience_at_start(0, call).is_zero());
    assert!(turns::patience_at_start(1, call) >= ms(850));
    assert!(turns::patience_at_start(100, call) >= ms(5000));
    assert_eq!(turns::patience_at_start(4, ms(8)), turns::patience(4));
    assert!(turns::patience_at_start(4400, call) <= ms(6000));
}
