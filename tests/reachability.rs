//! Decisions about a VM that may be cut off from all backend servers.

use std::collections;
use std::time;

use bulrushwind::decisions::{affinity, peer_selection, policy, reachability};

fn at(ms: u64) -> policy::Moment {
    time::Duration::from_millis(ms)
}

/// A sample in which no connection was opened and other VMs reached this many backend servers.
fn failed_sample(started: policy::Moment, reached_by_peers: usize) -> reachability::Sample {
    reachability::Sample {
        started,
        connected: 0,
        reached_by_peers,
        timed_out: true,
    }
}

/// Backend servers that are all down would be taken for a cut, and every VM would ask others.
#[test]
fn backend_servers_that_no_vm_reaches_are_no_cut() {
    let mut links = reachability::Reachability::default();
    assert_eq!(links.sampled(&failed_sample(at(1_000), 0)), None);
    assert!(!links.is_cut_off());
}

/// One backend server that is down, or one link that has failed, would be taken for a cut.
#[test]
fn a_sample_with_one_connection_is_no_cut() {
    let mut links = reachability::Reachability::default();
    let sample = reachability::Sample {
        connected: 1,
        ..failed_sample(at(1_000), 2)
    };
    assert_eq!(links.sampled(&sample), None);
}

/// Connections that were begun before the links were back time out after the cut has ended.
#[test]
fn a_connection_during_the_sample_is_no_cut() {
    let mut links = reachability::Reachability::default();
    links.connected(at(1_200));
    assert_eq!(links.sampled(&failed_sample(at(1_000), 3)), None);
}

/// Failures before the sample would stay with the backend servers, which would stay ejected.
#[test]
fn a_cut_covers_the_time_since_the_last_sign_of_life() {
    let mut links = reachability::Reachability::default();
    links.connected(at(100));
    links.answered(at(400));
    let cut = links.sampled(&failed_sample(at(1_000), 1)).unwrap();
    assert_eq!((cut.since, cut.unconnected_since), (at(400), at(1_000)));
    assert!(cut.hangs && links.is_cut_off());
    assert_eq!(links.sampled(&failed_sample(at(2_000), 1)), None);
}

/// Guards against backend servers that stay ejected after new connections timed out while open ones worked.
#[test]
fn a_cut_covers_the_connections_that_have_failed_since_one_was_opened() {
    let mut links = reachability::Reachability::default();
    links.not_connected(at(50));
    links.connected(at(100));
    links.not_connected(at(300));
    links.not_connected(at(500));
    links.answered(at(990));
    let cut = links.sampled(&failed_sample(at(1_000), 1)).unwrap();
    assert_eq!((cut.since, cut.failing_since), (at(990), at(300)));
    links.connected(at(1_500));
    let cut = links.sampled(&failed_sample(at(2_000), 1)).unwrap();
    assert_eq!(cut.failing_since, at(2_000));
}

/// Answers on connections that are still open would end a cut in which no new one can be opened.
#[test]
fn only_a_new_connection_ends_a_cut() {
    let mut links = reachability::Reachability::default();
    let cut = links.sampled(&failed_sample(at(1_000), 1));
    links.answered(at(1_500));
    assert!(links.is_cut_off() && links.needs_check(at(1_500), 0));
    assert_eq!(links.connected(at(2_000)), cut);
    assert!(!links.is_cut_off());
}

/// Load: a VM with few requests. Without a check, each of them would be the one that finds the cut.
#[test]
fn silence_while_requests_wait_calls_for_a_check() {
    let mut links = reachability::Reachability::default();
    links.answered(at(1_000));
    assert!(!links.needs_check(at(1_500), 4));
    assert!(links.needs_check(at(1_800), 1));
    assert!(!links.needs_check(at(9_000), 0));
}

fn candidate(n: usize, distance: peer_selection::Distance) -> peer_selection::Candidate<usize> {
    peer_selection::Candidate {
        distance,
        busy: false,
        hash: affinity::hash(format!("vm-{n}").as_bytes()),
        value: n,
    }
}

/// Load: half of 984 VMs ask at once. If all asked the same VM, it would be overrun.
#[test]
fn vms_that_ask_at_once_spread_over_the_others() {
    const VMS: usize = 984;
    let mut asked = collections::BTreeMap::new();
    for asking in 0..VMS / 2 {
        let others = (VMS / 2..VMS).map(|n| candidate(n, peer_selection::Distance::SameRegion));
        let asking = affinity::hash(format!("vm-{asking}").as_bytes());
        for vm in peer_selection::select(asking, 1, others) {
            *asked.entry(vm).or_insert(0) += 1;
        }
    }
    let most = asked.values().max().copied().unwrap();
    assert!(most <= 8, "{most} of {} ask one VM", VMS / 2);
}

/// A VM off the way costs latency and traffic between zones; a busy one would become overloaded.
#[test]
fn vms_on_the_way_are_asked_first_and_busy_ones_last() {
    use peer_selection::Distance;
    let all = [
        candidate(0, Distance::Elsewhere),
        candidate(1, Distance::BackendRegion),
        candidate(2, Distance::SameRegion),
        candidate(3, Distance::OnTheWay),
        peer_selection::Candidate {
            busy: true,
            ..candidate(4, Distance::OnTheWay)
        },
    ];
    let order = peer_selection::select(7, 5, all.into_iter());
    assert_eq!(order, [3, 2, 1, 0, 4]);
    assert_eq!(peer_selection::select(7, 2, all.into_iter()), [3, 2]);
}
