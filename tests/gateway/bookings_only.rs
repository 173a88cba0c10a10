//! Ejected backend servers of services that get no reads.

use std::time;

use bulrushwind::state::backends;

use super::harness::{Caller, Harness, LONG, Reaction, post, run_test};

/// Sends bookings until one runs at the backend server.
async fn book_until_one_runs_at(harness: &Harness, caller: &mut Caller, backend: &str) {
    let (started, before) = (time::Instant::now(), harness.runs_at(backend));
    let mut sent = 0;
    while harness.runs_at(backend) == before {
        assert!(started.elapsed() < LONG, "{backend} gets no bookings again");
        let booking = post("/book/a", &format!("again{sent}"), "x");
        caller.request(&booking).await;
        sent += 1;
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Guards against a service whose backend servers were all unreachable for a moment and which is
/// refused from then on, since no read can try them.
#[test]
pub(crate) fn a_backend_server_that_was_unreachable_gets_bookings_again() {
    run_test(async || {
        let harness = Harness::new(0, &[]).await;
        let listed = harness.start_backend("i-0", None).await;
        let unreachable = backends::Listed {
            // Port 1 is reserved and not in use on test machines.
            addr: ([127, 0, 0, 1], 1).into(),
            ..listed.clone()
        };
        harness.cx.update_backend(&"i-0".into(), unreachable);
        let mut caller = harness.caller().await;
        for n in 0..3 {
            let booking = post("/book/a", &format!("b{n}"), "x");
            assert_eq!(caller.request(&booking).await.status, 503);
        }
        harness.cx.update_backend(&"i-0".into(), listed);
        book_until_one_runs_at(&harness, &mut caller, "i-0").await;
    });
}

/// Guards against a backend server that failed for a moment and is left out for good, since no
/// read can try it.
#[test]
pub(crate) fn a_backend_server_that_failed_gets_bookings_again() {
    run_test(async || {
        let harness = Harness::new(1, &[Reaction::Fail, Reaction::Fail, Reaction::Fail]).await;
        let mut caller = harness.caller().await;
        // With one backend server none is ejected, so a second one is needed first.
        harness.start_backend("i-1", None).await;
        harness.shed("i-1", true);
        for n in 0..6 {
            let booking = post("/book/a", &format!("b{n}"), "x");
            caller.request(&booking).await;
        }
        book_until_one_runs_at(&harness, &mut caller, "i-0").await;
    });
}
