//! Entry VMs that have lost their links to all backend servers, while callers and the other entry
//! VMs still reach them.

use super::harness::{self, Reaction, get, read_all, run_test};
use super::linked_vms::LinkedVms;
use super::support::cut::Cut;

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

/// Requests in flight at a cut are reported to all VMs as ones that crash backend servers.
#[test]
fn requests_in_flight_at_a_cut_are_not_reported_as_crashing_backend_servers() {
    /// Concurrent requests, which reach all backend servers.
    const READS: usize = 12;
    run_test(|| async {
        let vms = LinkedVms::new(2, 4, &vec![Reaction::Hang; READS]).await;
        let read = |id: String| get("/read/a", &id).replace("; object=17", "");
        let mut held = Vec::new();
        for n in 0..READS {
            let mut caller = vms.caller(0).await;
            caller.send(&read(format!("held{n}"))).await;
            held.push(caller);
        }
        let are_sent = |seen: &harness::Seen| seen.arrived == READS;
        vms.harness.until("the reads arrive", are_sent).await;
        vms.cut(0, Cut::Resets).await;
        for caller in &mut held {
            caller.receive().await.unwrap();
        }
        for n in 0..READS {
            let again = read(format!("again{n}"));
            vms.caller(0).await.request(&again).await;
        }
        assert_eq!(vms.vms[0].cx.take_crash_reports(), []);
    });
}
