//! A fault in the decisions themselves costs the request that it strikes, and no other.

use std::io::Write;
use std::time;

use bulrushwind::decisions::{naive, policy};
use bulrushwind::protocol::outcome::Outcome;
use bulrushwind::standin::caller;
use bulrushwind::{config, entry, id, settings};
use policy::{Action, Policy};

use super::local;

/// The worth of a booking and of a release, as the cooperative declares them.
const BOOKING: u32 = 20;
const RELEASE: u32 = 10;

/// Requests at fault, more than there are workers.
const FAULTS: usize = 80;

/// Never settles bookings, and panics on releases.
struct Faulty(naive::Naive);

struct MakeFaulty;

impl entry::MakePolicy for MakeFaulty {
    type Policy = Faulty;

    fn make(
        &self,
        _cfg: &config::Config,
        _settings: &settings::Settings,
        _service: &settings::Service,
    ) -> Faulty {
        Faulty(naive::Naive::new(naive::Config::default()))
    }
}

impl Policy for Faulty {
    fn arrive(&mut self, now: policy::Moment, req: policy::Arrival, out: &mut Vec<Action>) {
        match req.worth {
            BOOKING => {}
            RELEASE => panic!("a fault that this test brings about"),
            _ => self.0.arrive(now, req, out),
        }
    }

    fn ended(
        &mut self,
        now: policy::Moment,
        req: policy::RequestId,
        at: &policy::Place,
        how: policy::Ended,
        report: Option<policy::Report>,
        out: &mut Vec<Action>,
    ) {
        self.0.ended(now, req, at, how, report, out);
    }

    fn gone(&mut self, now: policy::Moment, req: policy::RequestId, out: &mut Vec<Action>) {
        self.0.gone(now, req, out);
    }

    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Action>) {
        self.0.tick(now, out);
    }

    fn set_backends(
        &mut self,
        now: policy::Moment,
        backends: &[policy::Backend],
        out: &mut Vec<Action>,
    ) {
        self.0.set_backends(now, backends, out);
    }

    fn report(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        report: Option<policy::Report>,
        out: &mut Vec<Action>,
    ) {
        self.0.report(now, from, report, out);
    }
}

fn raw() -> local::Raw {
    local::Raw::start(|_, got, stream| stream.write_all(got.answer().as_bytes()))
}

/// A policy forgets a request. Its caller would hang until it gave up by itself and not know
/// whether to ask again, and a planned stop of the entry VM would never end.
#[test]
fn a_forgotten_request_ends_as_unknown() {
    let raw = raw();
    let entry = local::entry_with(MakeFaulty, &[raw.addr]);
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

/// The handling of some requests panics, and their callers send them again. Each panic would end
/// a worker, and after as many as there are workers the entry process would take requests and
/// answer none.
#[test]
fn workers_outlive_requests_that_panic() {
    let raw = raw();
    let entry = local::entry_with(MakeFaulty, &[raw.addr]);
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
