//! Idempotent requests are cancelled when their caller disconnects.

use std::time;

use bulrushwind::standin::{backend, caller};

use super::testenv;

/// A caller disconnects during a long read. Without cancellation, abandoned requests would occupy
/// the slots and delay all other callers.
#[test]
fn a_read_is_cancelled_when_its_caller_disconnects() {
    let env = testenv::TestEnv::new();
    let ledger = env.backend("l1", "ledger", &[]);
    let entry = env.entry("e1");
    testenv::wait_answered(entry.addr(), "/ledger/bays");
    let slow = backend::Behaviour {
        work_ms: 600_000,
        ..backend::Behaviour::default()
    };
    backend::set_behaviour(ledger.addr(), &slow).unwrap();
    let short_wait = caller::Request {
        path: "/ledger/bays",
        stated_timeout: Some(time::Duration::from_secs(600)),
        timeout: time::Duration::from_millis(200),
        ..caller::Request::default()
    };
    let reply = caller::Caller::default().send(entry.addr(), &short_wait);
    assert!(reply.is_err(), "{reply:?}");
    testenv::wait_for("the backend server stops working on it", || {
        backend::read_log(ledger.addr()).unwrap().cancelled >= 1
    });
}
