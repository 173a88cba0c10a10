//! A defect in a policy affects only the requests that trigger it.

use std::io::Write;
use std::time;

use bulrushwind::decisions::{naive, policy};
use bulrushwind::protocol::outcome::Outcome;
use bulrushwind::standin::{altered, caller};
use policy::{Action, Policy};

use super::local;

/// Worth of a booking and of a release in the example settings.
const BOOKING: u32 = 20;
const RELEASE: u32 = 10;

/// Number of requests that panic, more than there are workers.
const FAULTS: usize = 80;

/// A policy that never settles bookings and panics on releases.
#[derive(Clone)]
struct Faulty;

impl altered::Change for Faulty {
    fn arrive(
        &mut self,
        naive: &mut naive::Naive,
        now: policy::Moment,
        req: policy::Arrival,
        out: &mut Vec<Action>,
    ) {
        match req.worth {
            BOOKING => {}
            RELEASE => panic!("deliberate panic of this test"),
            _ => naive.arrive(now, req, out),
        }
    }
}

fn raw() -> local::Raw {
    local::Raw::start(|_, got, stream| stream.write_all(got.answer().as_bytes()))
}

/// A policy never settles a request. Without the overdue check, its caller would wait until its own
/// timeout without an outcome, and a graceful shutdown of the entry VM would never end.
#[test]
fn a_forgotten_request_ends_as_unknown() {
    let raw = raw();
    let entry = local::entry_with(altered::Make(Faulty), &[raw.addr]);
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry.addr(), "ledger").unwrap().ticket;
    let key = format!("{}.1", ticket.unwrap());
    let booking = caller::Ask {
        method: "POST",
        path: "/ledger/book",
        key: Some(&key),
        body: "bay 7",
        patience: Some(time::Duration::from_millis(100)),
        ..caller::Ask::default()
    };
    let told = caller.ask(entry.addr(), &booking).unwrap();
    assert_eq!(told.outcome, Some(Outcome::Unknown), "{told:?}");
    assert_eq!(raw.got().len(), 0);
}

/// Requests panic while they are handled, more of them than there are workers. If each panic ended
/// a worker, the entry process would accept requests and answer none.
#[test]
fn workers_outlive_requests_that_panic() {
    let raw = raw();
    let entry = local::entry_with(altered::Make(Faulty), &[raw.addr]);
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry.addr(), "ledger").unwrap().ticket;
    let ticket = ticket.unwrap();
    for n in 0..FAULTS {
        let text = format!(
            "POST /ledger/release HTTP/1.1\r\nHost: a\r\nIdempotency-Key: {ticket}.{n}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let mut stream = std::net::TcpStream::connect(entry.addr()).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
    }
    let read = caller::Ask {
        path: "/ledger/bays",
        ..caller::Ask::default()
    };
    for _ in 0..FAULTS {
        let told = caller.ask(entry.addr(), &read).unwrap();
        assert_eq!(told.outcome, Some(Outcome::Answered), "{told:?}");
    }
}
