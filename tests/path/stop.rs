//! Graceful shutdowns and drains interrupt no request.

use std::thread;
use std::time;

use super::{local, testenv};
use bulrushwind::coordination::store;
use bulrushwind::protocol::outcome::Outcome;
use bulrushwind::settings;
use bulrushwind::standin::{backend, caller};

/// Service time of requests in flight during a shutdown, in milliseconds.
const LONG_WORK_MS: &str = "1500";

fn booking(key: &str) -> caller::Request<'_> {
    caller::Request {
        method: "POST",
        path: "/ledger/book",
        key: Some(key),
        body: "bay 7",
        ..caller::Request::default()
    }
}

/// An entry VM shuts down while bookings are in flight. They must be answered, and a request that an
/// older look-up sends there must be refused as `stopping`.
#[test]
fn a_graceful_shutdown_of_an_entry_vm_interrupts_nothing() {
    let env = testenv::TestEnv::new();
    let ledger = env.backend("l1", "ledger", &[]);
    let mut leaving = env.entry_with("e1", |cfg| cfg.ticket_ttl_ms = 5_000);
    let staying = env.entry("e2");
    testenv::wait_answered(leaving.addr(), "/ledger/bays");
    testenv::wait_answered(staying.addr(), "/ledger/bays");
    let caller = caller::Caller::default();
    let look_up = || caller.look_up(leaving.addr(), "ledger").unwrap();
    let ticket = look_up().ticket.unwrap();
    let keys: Vec<String> = (0..4).map(|n| format!("{ticket}.{n}")).collect();
    let slow = backend::Behaviour {
        work_ms: LONG_WORK_MS.parse().unwrap(),
        ..backend::Behaviour::default()
    };
    backend::set_behaviour(ledger.addr(), &slow).unwrap();
    let running = || {
        let log = backend::read_log(ledger.addr()).unwrap();
        keys[..3].iter().all(|key| log.runs.contains_key(key))
    };
    thread::scope(|scope| {
        let send = |key| {
            let caller = &caller;
            let entry = leaving.addr();
            scope.spawn(move || caller.send(entry, &booking(key)).unwrap())
        };
        let sent: Vec<_> = keys[..3].iter().map(|key| send(key)).collect();
        testenv::wait_for("the bookings run", running);
        leaving.signal("TERM").unwrap();
        testenv::wait_for("look-ups stop naming it", || {
            let found = look_up();
            found.ticket.is_none() && found.entries.iter().all(|e| e.vm.as_str() == "e2")
        });
        let kept_open = "GET /lookup/ledger HTTP/1.1\r\nHost: a\r\n\r\n";
        let closing = local::send(leaving.addr(), kept_open).to_ascii_lowercase();
        assert!(closing.contains("connection: close"), "{closing}");
        let refused = caller.send(leaving.addr(), &booking(&keys[3])).unwrap();
        assert_eq!(refused.outcome, Some(Outcome::NotRun), "{refused:?}");
        assert_eq!(refused.error_body().unwrap().reason, "stopping");
        for sent in sent {
            let reply = sent.join().unwrap();
            assert_eq!(reply.outcome, Some(Outcome::Answered), "{reply:?}");
        }
    });
    // The stored answer is still available here and through the other entry VM.
    for entry in [leaving.addr(), staying.addr()] {
        let again = caller.send(entry, &booking(&keys[0])).unwrap();
        assert_eq!(again.outcome, Some(Outcome::Answered), "{again:?}");
    }
    assert!(leaving.wait(testenv::WAIT_TIMEOUT).unwrap().success());
    let log = backend::read_log(ledger.addr()).unwrap();
    assert_eq!(log.runs.values().copied().collect::<Vec<_>>(), vec![1; 3]);
}

/// How a backend server's leave is announced.
#[derive(Clone, Copy, Debug)]
enum LeaveSource {
    List,
    Backend,
    Settings,
}

/// A backend server is about to leave, and one source announces it. Requests still sent to it would
/// be interrupted, so it must get no new ones.
fn drain(source: LeaveSource) {
    let env = testenv::TestEnv::new();
    let [leaving, staying] = ["l1", "l2"].map(|name| env.backend(name, "ledger", &[]));
    let entry = env.entry("e1");
    testenv::wait_answered(entry.addr(), "/ledger/bays");
    let caller = caller::Caller::default();
    let request = caller::Request {
        path: "/ledger/bays",
        ..caller::Request::default()
    };
    let started = |addr| backend::read_log(addr).unwrap().started;
    testenv::wait_for("both get work", || {
        caller.send(entry.addr(), &request).unwrap();
        started(leaving.addr()) > 0 && started(staying.addr()) > 0
    });
    match source {
        LeaveSource::List => {
            let state = store::VmState::Leaving;
            env.list_backend("l1", "ledger", leaving.addr(), state);
        }
        LeaveSource::Backend => {
            let behaviour = backend::Behaviour {
                leaving: true,
                ..backend::Behaviour::default()
            };
            backend::set_behaviour(leaving.addr(), &behaviour).unwrap();
        }
        LeaveSource::Settings => env.change_settings(|all| {
            let team = all.teams.get_mut("places").unwrap();
            team.drains.push(settings::Drain {
                target: settings::DrainTarget::Vm("l1".into()),
                start_s: 1,
                ramp_s: 1,
                end_s: None,
            });
        }),
    }
    let mut quiet_rounds = 0;
    testenv::wait_for("the leaving one gets no more work", || {
        let before = started(leaving.addr());
        for _ in 0..20 {
            let reply = caller.send(entry.addr(), &request).unwrap();
            assert_eq!(
                reply.outcome,
                Some(Outcome::Answered),
                "{source:?}: {reply:?}"
            );
        }
        quiet_rounds = if started(leaving.addr()) == before {
            quiet_rounds + 1
        } else {
            0
        };
        quiet_rounds >= 5
    });
}

#[test]
fn a_backend_listed_as_leaving_gets_no_new_work() {
    drain(LeaveSource::List);
}

#[test]
fn a_backend_that_reports_leaving_gets_no_new_work() {
    drain(LeaveSource::Backend);
}

#[test]
fn a_backend_drained_by_the_settings_gets_no_new_work() {
    drain(LeaveSource::Settings);
}

/// A backend server is removed from the list shortly after it is marked as leaving, with a booking
/// in flight. The caller must get its answer.
#[test]
fn a_drain_does_not_interrupt_requests_in_flight() {
    let env = testenv::TestEnv::new();
    let ledger = env.backend("l1", "ledger", &[]);
    let entry = env.entry("e1");
    testenv::wait_answered(entry.addr(), "/ledger/bays");
    let caller = caller::Caller::default();
    let found = caller.look_up(entry.addr(), "ledger").unwrap();
    let key = format!("{}.1", found.ticket.unwrap());
    let slow = backend::Behaviour {
        work_ms: LONG_WORK_MS.parse().unwrap(),
        ..backend::Behaviour::default()
    };
    backend::set_behaviour(ledger.addr(), &slow).unwrap();
    let reply = thread::scope(|scope| {
        let sent = scope.spawn(|| caller.send(entry.addr(), &booking(&key)).unwrap());
        testenv::wait_for("the booking runs", || {
            backend::read_log(ledger.addr()).unwrap().started > 1
        });
        env.list_backend("l1", "ledger", ledger.addr(), store::VmState::Leaving);
        thread::sleep(time::Duration::from_millis(800));
        env.remove_from_list("l1");
        sent.join().unwrap()
    });
    assert_eq!(reply.outcome, Some(Outcome::Answered), "{reply:?}");
}
