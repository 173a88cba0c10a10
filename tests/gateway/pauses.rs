//! Backend servers that turn requests away and say how long they want none.

use std::time;

use super::harness::{Caller, Harness, get_object, run_test};

/// Sends one request for each object; returns the number that was answered.
async fn read_objects(caller: &mut Caller, objects: std::ops::Range<usize>) -> usize {
    let mut answered = 0;
    for object in objects {
        let id = format!("r{object}");
        let read = get_object(&format!("/read/{object}"), &id, object);
        answered += usize::from(caller.request(&read).await.status == 200);
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    answered
}

/// Guards against requests to a backend server within the time for which it wants none.
#[test]
fn a_backend_server_that_asks_for_a_pause_gets_no_requests_meanwhile() {
    run_test(async || {
        let harness = Harness::new(2, &[]).await;
        harness.state("i-0", "x-load: 0,0,3\r\nRetry-After: 30\r\n");
        harness.shed("i-0", true);
        let mut caller = harness.caller().await;
        let answered = read_objects(&mut caller, 0..60).await;
        assert_eq!(harness.arrived_at("i-0"), 1);
        assert_eq!(answered, 60);
    });
}

/// Guards against the pause being switched off where a whole service turns requests away despite
/// free slots.
#[test]
fn pauses_hold_where_all_backend_servers_ask_for_them() {
    run_test(async || {
        let harness = Harness::new(2, &[]).await;
        for name in ["i-0", "i-1"] {
            harness.state(name, "x-load: 0,0,3\r\nRetry-After: 30\r\n");
            harness.shed(name, true);
        }
        let mut caller = harness.caller().await;
        assert_eq!(read_objects(&mut caller, 0..60).await, 0);
        for name in ["i-0", "i-1"] {
            assert_eq!(harness.arrived_at(name), 1);
        }
    });
}
