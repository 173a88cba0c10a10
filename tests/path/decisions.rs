//! Decisions within an availability zone, over real HTTP and with separate processes.

use std::net;

use bulrushwind::protocol::outcome;
use bulrushwind::standin::{backend, caller, processes};

use super::testenv;

fn read(entry: net::SocketAddr, path: &str) -> caller::Response {
    let request = caller::Request {
        path,
        ..caller::Request::default()
    };
    caller::Caller::default().send(entry, &request).unwrap()
}

/// Starts an entry VM and one backend server per behaviour.
fn start(
    env: &testenv::TestEnv,
    behaviours: &[backend::Behaviour],
) -> (processes::Process, Vec<processes::Process>) {
    let backends = behaviours.iter().enumerate().map(|(n, behaviour)| {
        let backend = env.backend(&format!("l{n}"), "ledger", &[]);
        backend::set_behaviour(backend.addr(), behaviour).unwrap();
        backend
    });
    let backends = backends.collect();
    let entry = env.entry("e1");
    testenv::wait_answered(entry.addr(), "/ledger/bays");
    (entry, backends)
}

/// One of two backend servers sheds all requests, for example because its disk is full. All callers
/// must be answered, and the shedding server must receive fewer and fewer requests.
#[test]
fn callers_are_answered_although_a_backend_server_sheds() {
    let env = testenv::TestEnv::new();
    let shedding = backend::Behaviour {
        shedding: true,
        ..backend::Behaviour::default()
    };
    let (entry, backends) = start(&env, &[shedding, backend::Behaviour::default()]);
    for i in 0..200 {
        let reply = read(entry.addr(), &format!("/ledger/bays?n={i}"));
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let shed = backend::read_log(backends[0].addr()).unwrap().shed;
    assert!(
        shed < 100,
        "{shed} of 200 requests were sent to the shedding backend server"
    );
}

/// One of two backend servers fails every request immediately. It always appears idle, so without
/// ejection it would attract most requests, and callers would get its errors.
#[test]
fn a_failing_backend_server_is_ejected() {
    let env = testenv::TestEnv::new();
    let failing = backend::Behaviour {
        failing: true,
        ..backend::Behaviour::default()
    };
    let (entry, backends) = start(&env, &[failing, backend::Behaviour::default()]);
    for i in 0..200 {
        let reply = read(entry.addr(), &format!("/ledger/bays?n={i}"));
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let started = backend::read_log(backends[0].addr()).unwrap().started;
    assert!(
        started < 50,
        "{started} of 200 requests were sent to the failing backend server"
    );
}

/// A request crashes each backend server that runs it, and its caller retries. After two crashes it
/// must be refused as not run, and the last backend server must keep answering other requests.
#[test]
fn a_request_that_crashes_backend_servers_is_refused() {
    let env = testenv::TestEnv::new();
    let healthy = [0; 3].map(|_| backend::Behaviour::default());
    let (entry, backends) = start(&env, &healthy);
    let crashing_request = format!("/ledger/bays?{}", backend::CRASH_QUERY);
    testenv::wait_for("the request is refused as not run", || {
        let reply = read(entry.addr(), &crashing_request);
        let quarantined = reply
            .error_body()
            .is_some_and(|body| body.reason == "quarantined");
        quarantined && reply.outcome == Some(outcome::Outcome::NotRun)
    });
    let live = |b: &&processes::Process| backend::read_log(b.addr()).is_ok();
    assert!(
        backends.iter().any(|b| live(&b)),
        "no backend server is running"
    );
    testenv::wait_answered(entry.addr(), "/ledger/bays");
}
