//! Backend servers that turn requests away and say how long they want none.

use std::time;

use super::harness::{Harness, get_object, read_slowly, run_test};

/// Guards against requests to a backend server within the time for which it wants none.
#[test]
pub(crate) fn a_backend_server_that_asks_for_a_pause_gets_no_requests_meanwhile() {
    run_test(async || {
        let harness = Harness::new(2, &[]).await;
        harness.state("i-0", "x-load: 0,0,3\r\nRetry-After: 30\r\n");
        harness.shed("i-0", true);
        let mut caller = harness.caller().await;
        let answered = read_slowly(&mut caller, 0..60).await;
        assert_eq!(harness.arrived_at("i-0"), 1);
        assert_eq!(answered, 60);
    });
}

/// Guards against the pause being switched off where a whole service turns requests away despite
/// free slots.
#[test]
pub(crate) fn pauses_hold_where_all_backend_servers_ask_for_them() {
    run_test(async || {
        let harness = Harness::new(2, &[]).await;
        for name in ["i-0", "i-1"] {
            harness.state(name, "x-load: 0,0,3\r\nRetry-After: 30\r\n");
            harness.shed(name, true);
        }
        let mut caller = harness.caller().await;
        assert_eq!(read_slowly(&mut caller, 0..60).await, 0);
        for name in ["i-0", "i-1"] {
            assert_eq!(harness.arrived_at(name), 1);
        }
    });
}

/// Guards against a backend server that is not used again after its pause.
#[test]
pub(crate) fn a_backend_server_is_used_again_after_its_pause() {
    run_test(async || {
        let harness = Harness::new(1, &[]).await;
        harness.state("i-0", "Retry-After: 0.3\r\n");
        harness.shed("i-0", true);
        let mut caller = harness.caller().await;
        assert_eq!(read_slowly(&mut caller, 0..1).await, 0);
        harness.shed("i-0", false);
        tokio::time::sleep(time::Duration::from_millis(350)).await;
        assert_eq!(read_slowly(&mut caller, 1..10).await, 9);
    });
}

/// Guards against a pause that is forgotten when the entry of a running backend server expires
/// during an outage of the store and returns.
#[test]
pub(crate) fn a_pause_outlasts_a_removed_entry() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        let listed = harness.start_backend("i-0", None).await;
        harness.state("i-0", "Retry-After: 30\r\n");
        harness.shed("i-0", true);
        let mut caller = harness.caller().await;
        assert_eq!(read_slowly(&mut caller, 0..1).await, 0);
        harness.cx.remove_backend(&"i-0".into());
        harness.cx.update_backend(&"i-0".into(), listed);
        assert_eq!(read_slowly(&mut caller, 1..10).await, 0);
        assert_eq!(harness.arrived_at("i-0"), 1);
    });
}

/// Guards against malformed values that take a backend server out of use.
#[test]
pub(crate) fn invalid_pauses_are_ignored() {
    run_test(async || {
        let harness = Harness::new(1, &[]).await;
        let mut caller = harness.caller().await;
        for (n, value) in [
            "-5",
            "soon",
            "Fri, 31 Dec 2027 23:59:59 GMT",
            "5\r\nRetry-After: 9",
        ]
        .iter()
        .enumerate()
        {
            harness.state("i-0", &format!("Retry-After: {value}\r\n"));
            harness.shed("i-0", true);
            read_slowly(&mut caller, n * 10..n * 10 + 1).await;
            harness.shed("i-0", false);
            tokio::time::sleep(time::Duration::from_millis(300)).await;
            assert_eq!(read_slowly(&mut caller, n * 10 + 1..n * 10 + 5).await, 4);
        }
    });
}

/// Guards against callers that are told to come back while no backend server takes requests.
#[test]
pub(crate) fn refused_callers_are_told_to_come_back_when_the_pause_is_over() {
    run_test(async || {
        let harness = Harness::new(1, &[]).await;
        harness.state("i-0", "Retry-After: 30\r\n");
        harness.shed("i-0", true);
        let mut caller = harness.caller().await;
        read_slowly(&mut caller, 0..1).await;
        let answer = caller.request(&get_object("/read/x", "again", 1)).await;
        assert_eq!(answer.status, 503);
        let after = answer.retry_after();
        assert!(after >= 1.0, "told to come back after {after} s");
    });
}

/// Guards against a pause of an earlier start that holds for a backend server which has started
/// again.
#[test]
pub(crate) fn a_backend_server_that_starts_again_is_not_paused() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        harness.start_backend("i-0", Some(100)).await;
        harness.state("i-0", "Retry-After: 30\r\n");
        harness.shed("i-0", true);
        let mut caller = harness.caller().await;
        assert_eq!(read_slowly(&mut caller, 0..1).await, 0);
        harness.shed("i-0", false);
        harness.start_backend("i-0", Some(200)).await;
        assert_eq!(read_slowly(&mut caller, 1..5).await, 4);
    });
}

/// Guards against a pause that is taken from an answer which turns nothing away.
#[test]
pub(crate) fn a_time_to_wait_in_a_success_asks_for_no_pause() {
    run_test(async || {
        let harness = Harness::new(1, &[]).await;
        harness.state("i-0", "Retry-After: 30\r\n");
        let mut caller = harness.caller().await;
        assert_eq!(read_slowly(&mut caller, 0..5).await, 5);
    });
}
