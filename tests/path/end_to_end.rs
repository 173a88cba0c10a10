//! The complete request path with every component as a separate process.

use super::testenv;
use bulrushwind::protocol::outcome;
use bulrushwind::standin::{backend, caller};

#[test]
fn requests_are_answered_end_to_end() {
    let env = testenv::TestEnv::new();
    let ledgers = ["l1", "l2"].map(|name| env.backend(name, "ledger", &[]));
    let entries = ["e1", "e2"].map(|name| env.entry(name));
    let caller = caller::Caller::default();
    for entry in &entries {
        testenv::wait_answered(entry.addr(), "/ledger/bays");
        let found = caller.look_up(entry.addr(), "ledger").unwrap();
        let ticket = found.ticket.unwrap();
        for seq in 0..10 {
            let key = format!("{ticket}.{seq}");
            let body = format!("bay {seq}");
            let request = caller::Request {
                method: "POST",
                path: "/ledger/book?member=7",
                key: Some(&key),
                body: &body,
                ..caller::Request::default()
            };
            let reply = caller.send(entry.addr(), &request).unwrap();
            assert_eq!(reply.outcome, Some(outcome::Outcome::Answered), "{reply:?}");
            let echo: backend::Echo = serde_json::from_str(&reply.body).unwrap();
            assert_eq!(echo.path, "/book?member=7");
            assert_eq!(echo.body, body);
        }
    }
    let logs = ledgers.map(|ledger| backend::read_log(ledger.addr()).unwrap());
    let runs: Vec<u32> = logs
        .iter()
        .flat_map(|log| log.runs.values())
        .copied()
        .collect();
    assert_eq!(runs, vec![1; 20]);
}
