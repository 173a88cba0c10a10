//! Simulates, without a network, which VMs read the platform's store after all lose their leader.

use std::time;

use bulrushwind::coordination::{mirror, read_schedule, registration};

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

/// The outcome for the VMs of one region.
#[derive(Debug, Default)]
struct Outcome {
    /// Calls to the store.
    calls: usize,
    /// When the last VM had the records.
    all_ready: time::Duration,
}

/// All VMs of a region lose their leader at once. The store answers calls from `recovery` on,
/// within `read_time`; earlier calls fail at once. Between its reads, each VM tries to follow the
/// VMs before it.
fn simulate(vms: usize, recovery: time::Duration, read_time: time::Duration) -> Outcome {
    const TICK_MS: u64 = 20;
    let mut outcome = Outcome::default();
    let mut schedules = vec![read_schedule::ReadSchedule::default(); vms];
    // When a VM will have read the store, and whether it has the records.
    let mut reading: Vec<Option<time::Duration>> = vec![None; vms];
    let mut has_records = vec![false; vms];
    for now in (0..1000).map(|n| ms(n * TICK_MS)) {
        for rank in 0..vms {
            if has_records[rank] {
                continue;
            }
            let read = reading[rank].is_some_and(|at| now >= at);
            let retries = now
                .as_millis()
                .is_multiple_of(mirror::LEADER_RETRY_DELAY.as_millis());
            if read || (retries && has_records[..rank].contains(&true)) {
                has_records[rank] = true;
                outcome.all_ready = now;
            } else if reading[rank].is_none()
                && schedules[rank].remaining_delay(now, rank).is_zero()
            {
                outcome.calls += 1;
                match now >= recovery {
                    true => reading[rank] = Some(now + read_time),
                    false => schedules[rank].record_failure(now, rank),
                }
            }
        }
    }
    assert!(has_records.iter().all(|ready| *ready));
    outcome
}

/// All VMs of a region have lost their leader, and the store returns from an older copy at
/// `recovery`: each VM's first call after that says so, and only whole lists help, which take
/// `read_time`. Returns the number of lists read and when the last VM had one.
fn simulate_restored_store(
    vms: usize,
    recovery: time::Duration,
    read_time: time::Duration,
) -> (usize, time::Duration) {
    const TICK_MS: u64 = 20;
    let mut schedules = vec![read_schedule::ReadSchedule::default(); vms];
    let mut needs_list = vec![false; vms];
    let mut has_list_at: Vec<Option<time::Duration>> = vec![None; vms];
    let mut lists = 0;
    for now in (0..1000).map(|n| ms(n * TICK_MS)) {
        for rank in 0..vms {
            let retries = now
                .as_millis()
                .is_multiple_of(mirror::LEADER_RETRY_DELAY.as_millis());
            let leads = |at: &Option<time::Duration>| at.is_some_and(|at| at <= now);
            if has_list_at[rank].is_some() {
                continue;
            }
            if retries && has_list_at[..rank].iter().any(leads) {
                has_list_at[rank] = Some(now);
            } else if schedules[rank].remaining_delay(now, rank).is_zero() {
                if now < recovery {
                    schedules[rank].record_failure(now, rank);
                } else if !needs_list[rank] && rank >= read_schedule::IMMEDIATE_READER_COUNT {
                    needs_list[rank] = true;
                    schedules[rank].await_turn(now, rank);
                } else {
                    lists += 1;
                    has_list_at[rank] = Some(now + read_time);
                }
            }
        }
    }
    let last = has_list_at.into_iter().map(Option::unwrap).max();
    (lists, last.unwrap())
}

/// Guards against whole lists for hundreds of VMs at the moment at which the store returns from a copy.
#[test]
fn a_restored_store_is_read_by_few_vms_and_the_others_follow() {
    // A third of the largest fleet, whose list takes most of a second.
    for vms in [4, 100, 328] {
        let (lists, last) = simulate_restored_store(vms, ms(3000), ms(900));
        assert!(lists <= 8, "{vms} VMs: {lists} lists");
        assert!(last <= ms(3000 + 2500), "{vms} VMs: {last:?}");
    }
}

/// The reader of a region loses power, so all VMs lose their leader at once. If each then reads the
/// whole list, users pay for the calls, and at 300 VMs the store's link is saturated for seconds.
#[test]
fn two_vms_of_a_region_read_the_store_and_the_others_follow() {
    for vms in [4, 12, 32, 100, 400] {
        let outcome = simulate(vms, ms(0), ms(150));
        assert_eq!(outcome.calls, 2, "{vms} VMs");
        assert!(outcome.all_ready <= ms(600), "{outcome:?}");
    }
}

/// The list is long and the store is in another region, so a read takes most of a second. Some VMs
/// stop waiting and read the store too, and no VM waits much longer than that read.
#[test]
fn a_slow_read_adds_few_readers() {
    let outcome = simulate(100, ms(0), ms(900));
    assert!(outcome.calls <= 8, "{outcome:?}");
    assert!(outcome.all_ready <= ms(1500), "{outcome:?}");
}

/// The store refuses calls for four seconds. If each VM called twice a second, a region of a
/// hundred VMs would make some 800 calls, and all VMs would call again when the store recovers.
#[test]
fn a_failing_store_gets_few_calls_and_is_read_soon_after_recovery() {
    let outcome = simulate(100, ms(4000), ms(150));
    // The first VMs call twice a second, and every other VM three times in total.
    assert!(outcome.calls <= 2 * 10 + 98 * 3, "{outcome:?}");
    assert!(outcome.all_ready <= ms(4000 + 1200), "{outcome:?}");
}

/// The first VMs are cut off from the store, so the others wait for them in vain. Changes by
/// operators must still be in force on the others within four seconds, which leaves two seconds
/// after the silence timeout.
#[test]
fn later_vms_wait_for_the_first_ones_only_for_a_limited_time() {
    for rank in [0, 1, 2, 3, 10, 100, 4400] {
        let mut schedule = read_schedule::ReadSchedule::default();
        assert_eq!(
            schedule.remaining_delay(ms(5000), rank).is_zero(),
            rank < read_schedule::IMMEDIATE_READER_COUNT
        );
        assert!(schedule.remaining_delay(ms(7000), rank).is_zero(), "{rank}");
    }
}

/// The store does not answer for some seconds, and calls hang until they time out. A full backoff
/// after such a call would delay changes, and requests would go to backend servers that have left.
#[test]
fn a_call_that_hung_is_retried_at_once() {
    for rank in [0, 1, 10, 100] {
        let mut schedule = read_schedule::ReadSchedule::default();
        schedule.remaining_delay(ms(1000), rank);
        for n in 0..3 {
            let begun = ms(5000 + n * 2100);
            schedule.record_failure(begun, rank);
            assert!(
                schedule.remaining_delay(begun + ms(2000), rank).is_zero(),
                "{rank}"
            );
        }
        let refused = ms(20_000);
        schedule.record_failure(refused, rank);
        assert!(
            schedule.remaining_delay(refused + ms(100), rank) >= ms(100),
            "{rank}"
        );
    }
}

/// Guards against the cost of renewals for VMs on standby, and against naming dead VMs for longer
/// than operators allow.
#[test]
fn standby_vms_renew_seldom_and_dead_ones_are_removed_in_time() {
    for (max_dead_named, lease) in [(3000, 3000), (6000, 3000), (7000, 4000), (9000, 6000)] {
        assert_eq!(registration::lease_ttl(true, ms(max_dead_named)), ms(lease));
        assert_eq!(registration::lease_ttl(false, ms(max_dead_named)), ms(3000));
        assert!(registration::renewal_interval(ms(lease)) * 3 <= ms(lease));
    }
}

/// Guards against hundreds of VMs that read a distant store when all start at once.
#[test]
fn at_a_start_far_from_the_store_later_vms_wait_for_a_full_read() {
    let call = ms(220);
    assert!(read_schedule::initial_read_delay(0, call).is_zero());
    assert!(read_schedule::initial_read_delay(1, call) >= ms(850));
    assert!(read_schedule::initial_read_delay(100, call) >= ms(5000));
    assert_eq!(
        read_schedule::initial_read_delay(4, ms(8)),
        read_schedule::read_delay(4)
    );
    assert!(read_schedule::initial_read_delay(4400, call) <= ms(6000));
}
