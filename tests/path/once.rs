//! A non-idempotent request runs at most once, and the outcome "not run" is reliable.

use std::net;
use std::thread;
use std::time;

use super::testenv;
use bulrushwind::protocol::outcome::Outcome;
use bulrushwind::standin::{backend, caller, processes};

/// A deployment with two entry VMs and two backend servers of the ledger.
struct Ledger {
    env: testenv::TestEnv,
    backends: Vec<processes::Process>,
    entries: Vec<processes::Process>,
    caller: caller::Caller,
}

impl Ledger {
    fn new(work_ms: &str) -> Self {
        let env = testenv::TestEnv::new();
        let args = ["--work-ms", work_ms];
        let backends = ["l1", "l2"].map(|name| env.backend(name, "ledger", &args));
        let entries = ["e1", "e2"].map(|name| env.entry(name));
        for entry in &entries {
            testenv::wait_answered(entry.addr(), "/ledger/bays");
        }
        Self {
            env,
            backends: backends.into(),
            entries: entries.into(),
            caller: caller::Caller::default(),
        }
    }

    fn key(&self, entry: usize) -> String {
        let found = self.caller.look_up(self.entries[entry].addr(), "ledger");
        format!("{}.1", found.unwrap().ticket.unwrap())
    }

    fn book(&self, entry: usize, key: &str) -> caller::Response {
        book(&self.caller, self.entries[entry].addr(), key, "bay 7")
    }

    fn runs(&self, key: &str) -> u32 {
        let log = |backend: &processes::Process| backend::read_log(backend.addr()).unwrap();
        let logs = self.backends.iter().map(log);
        logs.map(|log| log.runs.get(key).copied().unwrap_or(0))
            .sum()
    }
}

fn book(
    caller: &caller::Caller,
    entry: net::SocketAddr,
    key: &str,
    body: &str,
) -> caller::Response {
    let request = caller::Request {
        method: "POST",
        path: "/ledger/book",
        key: Some(key),
        body,
        stated_timeout: Some(time::Duration::from_secs(3)),
        ..caller::Request::default()
    };
    caller.send(entry, &request).unwrap()
}

/// A caller misses its answer and retries the booking at the same entry VM and at another one. It
/// must get the first answer without a second booking.
#[test]
fn a_retry_gets_the_first_answer() {
    let ledger = Ledger::new("5");
    let key = ledger.key(0);
    let replies: Vec<_> = [0, 0, 1, 1].map(|entry| ledger.book(entry, &key)).into();
    for again in &replies {
        assert_eq!(again.outcome, Some(Outcome::Answered), "{again:?}");
        assert_eq!(again.body, replies[0].body);
    }
    assert_eq!(ledger.runs(&key), 1);
}

/// A caller sends one booking several times through both entry VMs concurrently. Each entry VM
/// could treat it as new and run it.
#[test]
fn concurrent_sends_run_once() {
    let ledger = Ledger::new("100");
    let key = ledger.key(0);
    let replies: Vec<caller::Response> = thread::scope(|scope| {
        let send = |n: usize| {
            let (ledger, key) = (&ledger, &key);
            scope.spawn(move || ledger.book(n % 2, key))
        };
        let sent: Vec<_> = (0..8).map(send).collect();
        sent.into_iter().map(|sent| sent.join().unwrap()).collect()
    });
    for reply in replies {
        assert_eq!(reply.outcome, Some(Outcome::Answered), "{reply:?}");
    }
    assert_eq!(ledger.runs(&key), 1);
}

/// The entry VM that issued the ticket crashes after the booking ran and restarts under its name.
/// Neither entry VM knows about the booking any more, so neither may run it or report it as not run.
#[test]
fn a_key_whose_home_restarted_is_unknown() {
    let mut ledger = Ledger::new("5");
    let key = ledger.key(0);
    let first = ledger.book(0, &key);
    assert_eq!(first.outcome, Some(Outcome::Answered));
    ledger.entries[0].kill();
    let at_other_entry = ledger.book(1, &key);
    assert_eq!(
        at_other_entry.outcome,
        Some(Outcome::Unknown),
        "{at_other_entry:?}"
    );
    ledger.entries[0] = ledger.env.entry("e1");
    testenv::wait_answered(ledger.entries[0].addr(), "/ledger/bays");
    let mut reply = ledger.book(0, &key);
    assert_eq!(reply.outcome, Some(Outcome::Unknown), "{reply:?}");
    assert_eq!(reply.error_body().unwrap().reason, "ticket-void");
    // The other entry VM may still have the crashed one's address.
    reply = ledger.book(1, &key);
    assert_eq!(reply.outcome, Some(Outcome::Unknown), "{reply:?}");
    assert_eq!(ledger.runs(&key), 1);
}

/// The entry VM that issued the ticket is paused. The other one forwards the booking to it without
/// an answer, and the paused one handles the forwarded booking when it resumes.
#[test]
fn a_key_whose_home_is_paused_runs_once() {
    let ledger = Ledger::new("5");
    let key = ledger.key(0);
    ledger.entries[0].signal("STOP").unwrap();
    let reply = ledger.book(1, &key);
    assert_eq!(reply.outcome, Some(Outcome::Unknown), "{reply:?}");
    assert!(reply.retry_after.is_some(), "{reply:?}");
    ledger.entries[0].signal("CONT").unwrap();
    testenv::wait_for("the resumed entry VM answers", || {
        ledger.book(1, &key).outcome == Some(Outcome::Answered)
    });
    assert_eq!(ledger.runs(&key), 1);
}

/// A backend server crashes while it runs a booking. The booking may have run: another attempt could
/// run it twice, and the outcome "not run" would make the caller book again.
#[test]
fn a_booking_on_a_crashed_backend_is_unknown() {
    let mut ledger = Ledger::new("5");
    let key = ledger.key(0);
    let slow = backend::Behaviour {
        work_ms: 60_000,
        ..backend::Behaviour::default()
    };
    for backend in &ledger.backends {
        backend::set_behaviour(backend.addr(), &slow).unwrap();
    }
    let reply = thread::scope(|scope| {
        let sent = scope.spawn(|| ledger.book(0, &key));
        testenv::wait_for("the booking runs", || ledger.runs(&key) == 1);
        let log = |b: &&processes::Process| !backend::read_log(b.addr()).unwrap().runs.is_empty();
        let running = ledger.backends.iter().find(log).unwrap();
        running.signal("KILL").unwrap();
        sent.join().unwrap()
    });
    assert_eq!(reply.outcome, Some(Outcome::Unknown), "{reply:?}");
    let again = ledger.book(0, &key);
    assert_eq!(again.outcome, Some(Outcome::Unknown), "{again:?}");
    ledger
        .backends
        .retain_mut(|b| b.wait(time::Duration::ZERO).is_err());
    assert_eq!(
        ledger.runs(&key),
        0,
        "the booking also ran on the other backend server"
    );
}

/// A caller reuses a key for another booking, for example after its counter restarted. It must not
/// get the first booking's answer.
#[test]
fn another_booking_under_a_used_key_is_refused() {
    let ledger = Ledger::new("5");
    let key = ledger.key(0);
    assert_eq!(ledger.book(0, &key).status, 200);
    for entry in &ledger.entries {
        let reply = book(&ledger.caller, entry.addr(), &key, "bay 8");
        assert_eq!(reply.status, 422, "{reply:?}");
        assert_eq!(reply.error_body().unwrap().reason, "key-reused");
    }
    assert_eq!(ledger.runs(&key), 1);
}

/// The caller disconnects while the booking runs. The booking must continue, and the retry must get
/// its answer.
#[test]
fn a_booking_continues_when_its_caller_disconnects() {
    let ledger = Ledger::new("200");
    let key = ledger.key(0);
    let short_wait = caller::Request {
        method: "POST",
        path: "/ledger/book",
        key: Some(&key),
        body: "bay 7",
        timeout: time::Duration::from_millis(50),
        ..caller::Request::default()
    };
    let entry = ledger.entries[0].addr();
    assert!(ledger.caller.send(entry, &short_wait).is_err());
    let reply = ledger.book(1, &key);
    assert_eq!(reply.outcome, Some(Outcome::Answered), "{reply:?}");
    assert_eq!(ledger.runs(&key), 1);
}
