//! Callers that send requests at a steady rate and record the results.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bulrushwind::protocol::{lookup, outcome};
use bulrushwind::standin::{backend, caller};
use parking_lot::Mutex;

/// The request mix: service, method, path and relative weight.
const MIX: [(&str, &str, &str, u64); 4] = [
    ("availability", "GET", "/availability/", 5),
    ("ledger", "GET", "/ledger/bays", 1),
    ("ledger", "POST", "/ledger/book", 3),
    ("archive", "GET", "/archive/history", 1),
];

/// Pause of a caller between two requests.
const REST: time::Duration = time::Duration::from_millis(15);

/// Maximum number of sends of one request with one idempotency key.
const SENDS: u32 = 6;

/// Maximum number of consecutive tickets that a caller uses for one request.
const TICKETS: usize = 3;

/// Time that a caller waits for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Final result of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    Answered,
    NotRun,
    Unknown,
    /// The connection broke although its entry VM was not killed.
    Cut,
    /// The answer belonged to another request or was malformed.
    Wrong,
}

/// The record of one request.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) service: &'static str,
    pub(crate) key: Option<String>,
    /// Earlier keys of the request whose outcome was not run.
    pub(crate) refused: Vec<String>,
    pub(crate) ended: Ended,
    pub(crate) took: time::Duration,
}

/// State shared by all callers.
#[derive(Default)]
pub(crate) struct Callers {
    entries: Mutex<Vec<net::SocketAddr>>,
    /// Killed entry VMs: a broken connection to one does not count as cut.
    killed: Mutex<Vec<net::SocketAddr>>,
    records: Mutex<Vec<Record>>,
    stop: atomic::AtomicBool,
}

impl Callers {
    /// Sets the entry VMs for the first look-up.
    pub(crate) fn know(&self, entries: Vec<net::SocketAddr>) {
        *self.entries.lock() = entries;
    }

    /// Records that an entry VM is about to be killed.
    pub(crate) fn will_be_killed(&self, entry: net::SocketAddr) {
        self.killed.lock().push(entry);
    }

    /// Removes and returns the records so far.
    pub(crate) fn take(&self) -> Vec<Record> {
        std::mem::take(&mut *self.records.lock())
    }

    /// Stops all callers.
    pub(crate) fn stop(&self) {
        self.stop.store(true, atomic::Ordering::SeqCst);
    }
}

/// Starts `count` callers.
pub(crate) fn start(callers: &sync::Arc<Callers>, count: u64) -> Vec<thread::JoinHandle<()>> {
    let start = |number| {
        let callers = callers.clone();
        thread::spawn(move || {
            let mut one = One::new(number, &callers);
            while !callers.stop.load(atomic::Ordering::SeqCst) {
                one.request();
                thread::sleep(REST);
            }
        })
    };
    (0..count).map(start).collect()
}

struct One<'a> {
    callers: &'a Callers,
    caller: caller::Caller,
    number: u64,
    sequence: u64,
    found: Option<(lookup::Lookup, time::Instant)>,
}

impl<'a> One<'a> {
    fn new(number: u64, callers: &'a Callers) -> Self {
        Self {
            callers,
            caller: caller::Caller::default(),
            number,
            sequence: 0,
            found: None,
        }
    }

    fn request(&mut self) {
        self.sequence += 1;
        let total: u64 = MIX.iter().map(|(_, _, _, share)| share).sum();
        let mut pick = (self.sequence * 7 + self.number) % total;
        let (service, method, path, _) = MIX
            .into_iter()
            .find(|(_, _, _, share)| {
                let here = pick < *share;
                pick = pick.saturating_sub(*share);
                here
            })
            .unwrap_or(MIX[0]);
        let books = method == "POST";
        let begun = time::Instant::now();
        let mut refused = Vec::new();
        for _ in 0..TICKETS {
            let Some(found) = self.look_up() else {
                continue;
            };
            let own = format!("{}-{}", self.number, self.sequence);
            let key = found.ticket.filter(|_| books).map(|t| format!("{t}.{own}"));
            if books && key.is_none() {
                self.found = None;
                continue;
            }
            let path = format!("{path}?n={own}");
            let ask = caller::Ask {
                method,
                path: &path,
                key: key.as_deref(),
                body: if books { &own } else { "" },
                timeout: TIMEOUT,
                patience: None,
            };
            let ended = self.send(&found.entries, &ask, service);
            if ended == Ended::NotRun && books && refused.len() + 1 < TICKETS {
                // A not-run outcome is reliable: a new key under a new ticket cannot book twice.
                refused.extend(key);
                continue;
            }
            let record = Record {
                service,
                key,
                refused,
                ended,
                took: begun.elapsed(),
            };
            return self.callers.records.lock().push(record);
        }
    }

    /// Sends until the outcome is final. Retries after an unknown outcome or a killed entry VM use
    /// the next entry VM and the same key.
    fn send(&mut self, entries: &[lookup::EntryVm], ask: &caller::Ask<'_>, service: &str) -> Ended {
        let mut last = Ended::Unknown;
        for turn in 0..SENDS {
            let at = (self.number as usize + turn as usize) % entries.len();
            let entry = entries[at].addr;
            match self.caller.ask(entry, ask) {
                Ok(told) => match told.outcome {
                    Some(outcome::Outcome::Answered) => return judge(&told, ask, service),
                    Some(outcome::Outcome::NotRun) => {
                        let stopping = told.problem().is_some_and(|p| p.reason == "stopping");
                        if stopping && turn == 0 && ask.key.is_some() {
                            self.found = None;
                            return Ended::NotRun;
                        }
                        // The outcome covers only this send; an earlier one may have run.
                        if turn == 0 || ask.key.is_none() || last == Ended::NotRun {
                            last = Ended::NotRun;
                        }
                    }
                    _ => last = Ended::Unknown,
                },
                Err(_) if self.callers.killed.lock().contains(&entry) => last = Ended::Unknown,
                Err(_) => return Ended::Cut,
            }
            self.found = None;
            thread::sleep(time::Duration::from_millis(100 << turn.min(3)));
        }
        last
    }

    fn look_up(&mut self) -> Option<lookup::Lookup> {
        let ttl = |found: &lookup::Lookup| time::Duration::from_millis(found.ttl_ms);
        if let Some((found, _)) = self.found.as_ref().filter(|(f, at)| at.elapsed() < ttl(f)) {
            return Some(found.clone());
        }
        let known = self.callers.entries.lock().clone();
        for turn in 0..known.len() {
            let entry = known[(self.number as usize + turn) % known.len()];
            let found = self.caller.look_up(entry, "ledger");
            if let Some(found) = found.ok().filter(|found| !found.entries.is_empty()) {
                self.found = Some((found.clone(), time::Instant::now()));
                return Some(found);
            }
        }
        None
    }
}

/// Checks that the answer is complete and belongs to this request.
fn judge(told: &caller::Told, ask: &caller::Ask<'_>, service: &str) -> Ended {
    let Ok(echo) = serde_json::from_str::<backend::Echo>(&told.body) else {
        return Ended::Wrong;
    };
    let path = ask.path.strip_prefix(&format!("/{service}"));
    if Some(echo.path.as_str()) == path && echo.body == ask.body {
        return Ended::Answered;
    }
    Ended::Wrong
}
