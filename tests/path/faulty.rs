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
const PANICKING_REQUEST_COUNT: usize = 80;

/// A policy that never settles bookings and panics on releases.
#[derive(Clone)]
struct FaultyPolicy;

impl altered::Change for FaultyPolicy {
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

fn echo() -> local::RawBackend {
    local::RawBackend::start(|_, request, stream| stream.write_all(request.answer().as_bytes()))
}

/// A policy never settles a request. Without the overdue check, its caller would wait until its own
/// timeout without an outcome, and a graceful shutdown of the entry VM would never end.
#[test]
fn a_request_that_is_never_settled_ends_as_unknown() {
    let raw = echo();
    let entry = local::entry_with(altered::Make(FaultyPolicy), &[raw.addr]);
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry.addr(), "ledger").unwrap().ticket;
    let key = format!("{}.1", ticket.unwrap());
    let booking = caller::Request {
        method: "POST",
        path: "/ledger/book",
        key: Some(&key),
        body: "bay 7",
        stated_timeout: Some(time::Duration::from_millis(100)),
        ..caller::Request::default()
    };
    let reply = caller.send(entry.addr(), &booking).unwrap();
    assert_eq!(reply.outcome, Some(Outcome::Unknown), "{reply:?}");
    assert_eq!(raw.received().len(), 0);
}

/// Requests panic while they are handled, more of them than there are workers. If each panic ended
/// a worker, the entry process would accept requests and answer none.
#[test]
fn workers_survive_requests_that_panic() {
    let raw = echo();
    let entry = local::entry_with(altered::Make(FaultyPolicy), &[raw.addr]);
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry.addr(), "ledger").unwrap().ticket;
    let ticket = ticket.unwrap();
    for n in 0..PANICKING_REQUEST_COUNT {
        let text = format!(
            "POST /ledger/release HTTP/1.1\r\nHost: a\r\nIdempotency-Key: {ticket}.{n}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let mut stream = std::net::TcpStream::connect(entry.addr()).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
    }
    let read = caller::Request {
        path: "/ledger/bays",
        ..caller::Request::default()
    };
    for _ in 0..PANICKING_REQUEST_COUNT {
        let reply = caller.send(entry.addr(), &read).unwrap();
        assert_eq!(reply.outcome, Some(Outcome::Answered), "{reply:?}");
    }
}
