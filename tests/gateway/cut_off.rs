//! Entry VMs that have lost their links to all backend servers, while callers and the other entry
//! VMs still reach them.

use std::time;

use bulrushwind::id;
use bulrushwind::protocol::routes;
use bulrushwind::state::backends;

use super::harness::{self, LONG, Reaction, get, post, read_all, route, run_test, table};
use super::linked_vms::LinkedVms;
use super::support::cut::{self, Cut};
use super::support::proxy;

/// Cuts off one of two VMs, and expects that it serves all first tries once it has noticed.
fn check_that_a_cut_off_vm_serves(way: Cut) {
    run_test(|| async {
        let vms = LinkedVms::new(2, 6, &[]).await;
        read_all(&mut vms.caller(0).await, 0..8).await;
        assert!(vms.failed_first_tries(1, 5).await.is_empty());
        vms.cut(0, way).await;
        vms.wait_until_serving(0).await;
        let failed = vms.failed_first_tries(0, 5).await;
        assert!(failed.is_empty(), "{failed:?}");
        vms.restore(0).await;
        vms.wait_until_serving(0).await;
    });
}

/// A VM that takes its own cut for failures of the backend servers refuses all its callers.
#[test]
fn a_vm_whose_links_to_all_backend_servers_hang_serves_its_callers() {
    check_that_a_cut_off_vm_serves(Cut::Hangs);
}

/// A booking on an idle connection that hangs may have run, and cannot be sent again.
#[test]
fn a_booking_right_after_links_begin_to_hang_is_served() {
    run_test(|| async {
        let vms = LinkedVms::new(2, 4, &[]).await;
        for n in 0..8 {
            let booking = post("/book/a", &format!("b{n}"), "bay 4");
            assert_eq!(vms.caller(0).await.request(&booking).await.status, 200);
        }
        tokio::time::sleep(time::Duration::from_millis(400)).await;
        vms.cut(0, Cut::Hangs).await;
        let booking = post("/book/a", "first", "bay 4");
        assert_eq!(vms.caller(0).await.request(&booking).await.status, 200);
        assert_eq!(vms.harness.runs("first"), 1);
    });
}

/// Connections that are refused at once eject all backend servers within a few requests.
#[test]
fn a_vm_whose_links_to_all_backend_servers_are_reset_serves_its_callers() {
    check_that_a_cut_off_vm_serves(Cut::Resets);
}

/// Open connections go on working, so answers on them do not show that new ones can be opened.
#[test]
fn a_vm_that_can_open_no_new_connections_to_backend_servers_serves_its_callers() {
    check_that_a_cut_off_vm_serves(Cut::RefusesNew);
}

/// Guards against a VM that does not detect its cut while an open connection works, and ejects each backend
/// server to which a new connection times out.
#[test]
fn a_vm_whose_new_connections_hang_while_an_open_one_answers_serves_its_callers() {
    run_test(|| async {
        let vms = LinkedVms::new(2, 6, &[]).await;
        read_all(&mut vms.caller(0).await, 1..2).await;
        vms.cut(0, Cut::HangsNew).await;
        let reading = async {
            let mut caller = vms.caller(0).await;
            loop {
                caller.read_objects(1..2).await;
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        };
        let booking = async {
            let started = time::Instant::now();
            while !vms.vms[0].cx.is_cut_off() {
                assert!(started.elapsed() < LONG, "never: it detects the cut");
                // It may fail until the cut is detected.
                let booking = post("/book/a", "b", "bay 4");
                vms.caller(0).await.request(&booking).await;
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
            vms.failed_first_tries(0, 5).await
        };
        let failed = tokio::select! {
            () = reading => Vec::new(),
            failed = booking => failed,
        };
        assert!(failed.is_empty(), "{failed:?}");
    });
}

/// Sends reads without an object, so that they reach all backend servers, and cuts the VM off while
/// they run.
async fn cut_off_during_reads(vms: &LinkedVms) {
    const READS: usize = 12;
    let held = vec![Reaction::Hang; READS];
    vms.harness.script.borrow_mut().extend(held);
    let read = |id: String| get("/read/a", &id).replace("; object=17", "");
    let mut callers = Vec::new();
    for n in 0..READS {
        let mut caller = vms.caller(0).await;
        caller.send(&read(format!("held{n}"))).await;
        callers.push(caller);
    }
    let are_sent = |seen: &harness::Seen| seen.arrived == READS;
    vms.harness.until("the reads arrive", are_sent).await;
    vms.cut(0, Cut::Resets).await;
    for caller in &mut callers {
        caller.receive().await.unwrap();
    }
    for n in 0..READS {
        let again = read(format!("again{n}"));
        vms.caller(0).await.request(&again).await;
    }
}

/// Requests in flight at a cut are reported to all VMs as ones that crash backend servers.
#[test]
fn requests_in_flight_at_a_cut_are_not_reported_as_crashing_backend_servers() {
    run_test(|| async {
        let vms = LinkedVms::new(2, 4, &[]).await;
        cut_off_during_reads(&vms).await;
        assert_eq!(vms.vms[0].cx.take_crash_reports(), []);
    });
}

/// Guards against requests that are refused everywhere as ones that crash backend servers because
/// their connection broke and the next one hung: only a refused one shows that the process has ended.
#[test]
fn a_connection_that_hangs_does_not_prove_a_crash() {
    run_test(|| async {
        let vms = LinkedVms::new(1, 1, &[Reaction::Lose]).await;
        let mut caller = vms.caller(0).await;
        let lost = caller.request(&post("/book/a", "b1", "x")).await;
        assert_eq!(lost.status, 502);
        vms.cut(0, Cut::Hangs).await;
        let unsent = vms
            .caller(0)
            .await
            .request(&post("/book/b", "b2", "x"))
            .await;
        assert_eq!(unsent.status, 503);
        assert_eq!(vms.vms[0].cx.take_crash_reports(), []);
    });
}

/// The same where a release restarts the backend servers shortly after the cut.
#[test]
fn requests_in_flight_at_a_cut_are_not_reported_after_a_release() {
    run_test(|| async {
        let harness = harness::Harness::new(0, &[]).await;
        for n in 0..4 {
            harness.start_backend(&format!("i-{n}"), Some(100)).await;
        }
        let vms = LinkedVms::in_zones(harness, &["az", "az"]);
        cut_off_during_reads(&vms).await;
        vms.until("the cut is found", |vms| vms.vms[0].cx.is_cut_off())
            .await;
        for (id, listed) in vms.harness.listed.borrow().iter() {
            let restarted = backends::Listed {
                incarnation: Some(id::Incarnation(200)),
                ..listed.clone()
            };
            vms.vms[0].cx.update_backend(id, restarted);
        }
        assert_eq!(vms.vms[0].cx.take_crash_reports(), []);
    });
}

/// Backend servers that are down would be asked of other VMs for ever, and never ejected.
#[test]
fn backend_servers_that_are_all_down_are_not_taken_for_a_cut() {
    run_test(|| async {
        let vms = LinkedVms::new(3, 4, &[]).await;
        read_all(&mut vms.caller(0).await, 0..8).await;
        for vm in 0..3 {
            vms.cut(vm, Cut::Resets).await;
        }
        let mut last = vms.caller(0).await.request(&get("/read/a", "first")).await;
        for n in 0..20 {
            let read = get("/read/a", &format!("r{n}"));
            last = vms.caller(0).await.request(&read).await;
            assert_eq!(last.status, 503);
        }
        assert!(last.retry_after() > 0.0);
        assert!(!vms.vms[0].cx.is_cut_off());
        for vm in 0..3 {
            vms.restore(vm).await;
        }
        vms.wait_until_serving(0).await;
    });
}

/// A full service would be taken for a cut, and its refusals answered with connections of other VMs.
#[test]
fn a_full_service_is_not_taken_for_a_cut() {
    run_test(|| async {
        let vms = LinkedVms::new(2, 3, &[]).await;
        for n in 0..3 {
            vms.harness.shed(&format!("i-{n}"), true);
        }
        assert_eq!(vms.failed_first_tries(0, 2).await, [503; 24]);
        assert!(!vms.vms[0].cx.is_cut_off());
        let opened_by_other: usize = vms.vms[1].links.iter().map(cut::Link::accepted).sum();
        assert_eq!(opened_by_other, 0);
    });
}

/// A VM that goes on asking others after its links are back costs latency and traffic for good.
#[test]
fn the_end_of_a_cut_is_found_without_callers() {
    for way in Cut::ALL {
        run_test(|| async {
            let vms = LinkedVms::new(2, 4, &[]).await;
            vms.cut(0, way).await;
            vms.wait_until_serving(0).await;
            vms.until("the cut is found", |vms| vms.vms[0].cx.is_cut_off())
                .await;
            vms.restore(0).await;
            vms.until("its end is found", |vms| !vms.vms[0].cx.is_cut_off())
                .await;
            let opened_by_other = |vms: &LinkedVms| -> usize {
                vms.vms[1].links.iter().map(cut::Link::accepted).sum()
            };
            let before = opened_by_other(&vms);
            assert!(vms.failed_first_tries(0, 3).await.is_empty());
            assert_eq!(opened_by_other(&vms), before);
            vms.until("no tunnel is left", |vms| {
                vms.vms[1].cx.carried_tunnels() == 0
            })
            .await;
        });
    }
}

/// Load: most VMs of a region lose their links at once and ask each other as well. Requests that go
/// round in circles, or that wait for VMs that cannot help, would be late or lost.
#[test]
fn most_vms_of_a_region_may_be_cut_off_at_once() {
    for way in Cut::ALL {
        run_test(|| async {
            let vms = LinkedVms::new(6, 6, &[]).await;
            for vm in 0..4 {
                vms.cut(vm, way).await;
            }
            for vm in 0..4 {
                vms.wait_until_serving(vm).await;
            }
            for vm in 0..6 {
                let failed = vms.failed_first_tries(vm, 2).await;
                assert!(failed.is_empty(), "{way:?} {vm}: {failed:?}");
            }
        });
    }
}

/// Callers of a region whose VMs are all cut off would be refused, although its backend servers run.
#[test]
fn a_region_whose_vms_are_all_cut_off_is_served_through_another_region() {
    /// More VMs than one asks for a connection.
    const VMS: usize = 6;
    run_test(|| async {
        let harness = harness::Harness::new(6, &[]).await;
        let mut zones = vec!["az"; VMS];
        zones.push("az-far");
        let vms = LinkedVms::in_zones(harness, &zones);
        for vm in 0..VMS {
            vms.cut(vm, Cut::Resets).await;
        }
        for vm in 0..VMS {
            vms.wait_until_serving(vm).await;
        }
        let know_of_it = |vms: &LinkedVms| vms.vms[..VMS].iter().all(|vm| vm.cx.is_cut_off());
        vms.until("the cut is found", know_of_it).await;
        for vm in 0..VMS {
            let failed = vms.failed_first_tries(vm, 3).await;
            assert!(failed.is_empty(), "{failed:?}");
        }
    });
}

/// A VM that waits for others that cannot help holds requests that another VM could answer. One that
/// blames the backend servers refuses long after its links are back.
#[test]
fn a_cut_off_vm_that_nobody_can_help_refuses_at_once_and_recovers_at_once() {
    run_test(|| async {
        let vms = LinkedVms::new(2, 4, &[]).await;
        vms.cut(0, Cut::Resets).await;
        vms.wait_until_serving(0).await;
        vms.until("the cut is found", |vms| vms.vms[0].cx.is_cut_off())
            .await;
        vms.vms[0].cx.remove_entry(&"vm-1".into());
        for n in 0..10 {
            let mut caller = vms.caller(0).await;
            let answer = caller.request(&get("/read/a", &format!("r{n}"))).await;
            assert_eq!(answer.status, 503);
            assert!(answer.retry_after() > 0.0 && caller.is_closed().await);
        }
        vms.restore(0).await;
        vms.until("its end is found", |vms| !vms.vms[0].cx.is_cut_off())
            .await;
        let failed = vms.failed_first_tries(0, 3).await;
        assert!(failed.is_empty(), "{failed:?}");
    });
}

/// A body of a request with homes would pass through a region where it must not be.
#[test]
fn a_request_with_homes_goes_through_no_vm_outside_of_them() {
    run_test(|| async {
        let harness = harness::Harness::new(3, &[]).await;
        let vms = LinkedVms::in_zones(harness, &["az", "az-far"]);
        let homed = routes::Route {
            regions: vec!["region".into()],
            ..route("/homed/", false)
        };
        let routes = vec![homed, route("/read/", true), route("/book/", false)];
        vms.vms[0].cx.update_routes(table(2, routes));
        vms.cut(0, Cut::Resets).await;
        vms.wait_until_serving(0).await;
        for n in 0..6 {
            let other = post("/book/a", &format!("other{n}"), "body");
            assert_eq!(vms.caller(0).await.request(&other).await.status, 200);
            let homed = post("/homed/a", &format!("homed{n}"), "body");
            assert_eq!(vms.caller(0).await.request(&homed).await.status, 503);
            assert_eq!(vms.harness.runs(&format!("homed{n}")), 0);
        }
    });
}

/// Two VMs would each count the same request, and a customer's quota or a route's attempts would be
/// used up twice as fast.
#[test]
fn a_request_through_another_vm_is_counted_once() {
    run_test(|| async {
        let vms = LinkedVms::new(2, 4, &[]).await;
        vms.cut(0, Cut::Resets).await;
        vms.wait_until_serving(0).await;
        vms.harness
            .script
            .borrow_mut()
            .extend(vec![Reaction::Fail; 20]);
        let arrived = vms.harness.seen.borrow().arrived;
        let answer = vms.caller(0).await.request(&get("/read/a", "r1")).await;
        assert_eq!(answer.status, 500);
        assert!(vms.harness.seen.borrow().arrived - arrived <= 3);
        assert_eq!(vms.vms[1].cx.requests_in_progress(), 0);
    });
}

/// A booking that is sent again after its connection through another VM broke would run twice.
#[test]
fn a_booking_whose_tunnel_breaks_is_not_sent_again() {
    run_test(|| async {
        let vms = LinkedVms::new(3, 4, &[]).await;
        vms.cut(0, Cut::Resets).await;
        vms.wait_until_serving(0).await;
        vms.harness.script.borrow_mut().push_back(Reaction::Hang);
        let mut caller = vms.caller(0).await;
        caller.send(&post("/book/a", "b1", "bay 4")).await;
        let is_sent = |seen: &harness::Seen| seen.ran.iter().any(|(id, _)| id == "b1");
        vms.harness.until("the booking runs", is_sent).await;
        vms.cut(1, Cut::Resets).await;
        vms.cut(2, Cut::Resets).await;
        assert_eq!(caller.receive().await.unwrap().status, 502);
        assert_eq!(vms.harness.runs("b1"), 1);
    });
}

/// A VM that carries a read for another one loses its links too. Without a sign of that, the read
/// waits until its deadline.
#[test]
fn a_read_through_a_vm_whose_links_begin_to_hang_is_served_through_another() {
    run_test(|| async {
        let vms = LinkedVms::new(4, 4, &[]).await;
        vms.vms[0].cx.remove_entry(&"vm-3".into());
        vms.cut(0, Cut::Resets).await;
        vms.wait_until_serving(0).await;
        vms.harness.script.borrow_mut().push_back(Reaction::Hang);
        let mut caller = vms.caller(0).await;
        caller.send(&get("/read/a", "held")).await;
        let is_sent = |seen: &harness::Seen| seen.ran.iter().any(|(id, _)| id == "held");
        vms.harness.until("the read runs", is_sent).await;
        vms.vms[0].list(&vms.vms[3]);
        for carrier in 1..3 {
            vms.cut(carrier, Cut::Hangs).await;
        }
        assert_eq!(caller.receive().await.unwrap().status, 200);
    });
}

/// A VM that carries requests freezes. Its system goes on acknowledging them, so all slots would be
/// taken by requests that wait in vain.
#[test]
fn reads_through_a_vm_that_freezes_are_served_through_another() {
    run_test(|| async {
        let vms = LinkedVms::new(3, 4, &[]).await;
        vms.vms[0].cx.remove_entry(&"vm-2".into());
        // No hedge before the caller's deadline.
        let unhedged = routes::Route {
            latency_target: harness::LONG,
            ..route("/read/", true)
        };
        let routes = vec![unhedged, route("/book/", false)];
        vms.vms[0].cx.update_routes(table(2, routes));
        vms.cut(0, Cut::Resets).await;
        vms.wait_until_serving(0).await;
        vms.harness.script.borrow_mut().push_back(Reaction::Hang);
        let mut caller = vms.caller(0).await;
        caller.send(&get("/read/a", "held")).await;
        let is_sent = |seen: &harness::Seen| seen.ran.iter().any(|(id, _)| id == "held");
        vms.harness.until("the read runs", is_sent).await;
        vms.vms[0].list(&vms.vms[2]);
        vms.vms[1].peer_proxy.set(proxy::Fault::DropsRequests);
        assert_eq!(caller.receive().await.unwrap().status, 200);
        let failed = vms.failed_first_tries(0, 2).await;
        assert!(failed.is_empty(), "{failed:?}");
    });
}

/// A VM in a planned stop would be taken for one that does not answer, and reads that it carries would
/// be broken off and run again.
#[test]
fn a_read_through_a_vm_in_a_planned_stop_runs_once() {
    /// Longer than a VM that carries requests may be silent before it is checked.
    const SILENCE: time::Duration = time::Duration::from_millis(1500);
    run_test(|| async {
        let vms = LinkedVms::new(2, 4, &[]).await;
        vms.cut(0, Cut::Resets).await;
        vms.wait_until_serving(0).await;
        let reaction = Reaction::AfterNext("late");
        vms.harness.script.borrow_mut().push_back(reaction);
        let mut caller = vms.caller(0).await;
        caller.send(&get("/read/a", "held")).await;
        let is_sent = |seen: &harness::Seen| seen.ran.iter().any(|(id, _)| id == "held");
        vms.harness.until("the read runs", is_sent).await;
        vms.vms[1].cx.stop();
        vms.vms[0].cx.remove_entry(&"vm-1".into());
        tokio::time::sleep(SILENCE).await;
        vms.harness
            .caller()
            .await
            .request(&get("/read/b", "next"))
            .await;
        assert_eq!(caller.receive().await.unwrap().text(), "late");
        assert_eq!(vms.harness.runs("held"), 1);
    });
}

/// Tunnels that end with a planned stop cut off the requests of other VMs.
#[test]
fn a_planned_stop_of_the_other_vm_loses_no_request() {
    run_test(|| async {
        let vms = LinkedVms::new(3, 8, &[]).await;
        vms.cut(0, Cut::Resets).await;
        vms.wait_until_serving(0).await;
        let mut callers = Vec::new();
        let held = vec![Reaction::AfterNext("late"); 4];
        vms.harness.script.borrow_mut().extend(held);
        for n in 0..4 {
            let mut caller = vms.caller(0).await;
            let booking = post(&format!("/book/{n}"), &format!("held{n}"), "bay 4");
            caller.send(&booking).await;
            callers.push(caller);
        }
        let are_held = |seen: &harness::Seen| {
            seen.ran
                .iter()
                .filter(|(id, _)| id.starts_with("held"))
                .count()
                == 4
        };
        vms.harness.until("the bookings run", are_held).await;
        for stopping in ["vm-1", "vm-2"] {
            let vm = vms.vms.iter().find(|vm| vm.name == stopping).unwrap();
            if vm.cx.carried_tunnels() > 0 {
                vm.cx.stop();
                vms.vms[0].cx.remove_entry(&stopping.into());
                break;
            }
        }
        let failed = vms.failed_first_tries(0, 3).await;
        assert!(failed.is_empty(), "{failed:?}");
        for caller in &mut callers {
            assert_eq!(caller.receive().await.unwrap().status, 200);
        }
        vms.until("the stop is complete", |vms| {
            vms.vms[1].cx.is_drained() || vms.vms[2].cx.is_drained()
        })
        .await;
    });
}
