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
const REQUEST_MIX: [(&str, &str, &str, u64); 4] = [
    ("availability", "GET", "/availability/", 5),
    ("ledger", "GET", "/ledger/bays", 1),
    ("ledger", "POST", "/ledger/book", 3),
    ("archive", "GET", "/archive/history", 1),
];

/// Pause of a caller between two requests.
const REQUEST_PAUSE: time::Duration = time::Duration::from_millis(15);

/// Maximum number of sends of one request with one idempotency key.
const MAX_SENDS: u32 = 6;

/// Maximum number of consecutive tickets that a caller uses for one request.
const MAX_TICKETS: usize = 3;

/// Time that a caller waits for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Final result of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
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
    pub(crate) ended: RequestEnd,
    pub(crate) latency: time::Duration,
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
    pub(crate) fn set_entries(&self, entries: Vec<net::SocketAddr>) {
        *self.entries.lock() = entries;
    }

    /// Records that an entry VM is about to be killed.
    pub(crate) fn mark_killed(&self, entry: net::SocketAddr) {
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

pub(crate) fn start(callers: &sync::Arc<Callers>, count: u64) -> Vec<thread::JoinHandle<()>> {
    let start = |number| {
        let callers = callers.clone();
        thread::spawn(move || {
            let mut worker = CallerThread::new(number, &callers);
            while !callers.stop.load(atomic::Ordering::SeqCst) {
                worker.request();
                thread::sleep(REQUEST_PAUSE);
            }
        })
    };
    (0..count).map(start).collect()
}

struct CallerThread<'a> {
    callers: &'a Callers,
    caller: caller::Caller,
    number: u64,
    sequence: u64,
    found: Option<(lookup::Lookup, time::Instant)>,
}

impl<'a> CallerThread<'a> {
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
        let total: u64 = REQUEST_MIX.iter().map(|(_, _, _, share)| share).sum();
        let mut pick = (self.sequence * 7 + self.number) % total;
        let (service, method, path, _) = REQUEST_MIX
            .into_iter()
            .find(|(_, _, _, share)| {
                let is_selected = pick < *share;
                pick = pick.saturating_sub(*share);
                is_selected
            })
            .unwrap_or(REQUEST_MIX[0]);
        let is_booking = method == "POST";
        let started_at = time::Instant::now();
        let mut refused = Vec::new();
        for _ in 0..MAX_TICKETS {
            let Some(found) = self.look_up() else {
                continue;
            };
            let request_id = format!("{}-{}", self.number, self.sequence);
            let key = found
                .ticket
                .filter(|_| is_booking)
                .map(|t| format!("{t}.{request_id}"));
            if is_booking && key.is_none() {
                self.found = None;
                continue;
            }
            let path = format!("{path}?n={request_id}");
            let request = caller::Request {
                method,
                path: &path,
                key: key.as_deref(),
                body: if is_booking { &request_id } else { "" },
                timeout: TIMEOUT,
                stated_timeout: None,
            };
            let ended = self.send(&found.entries, &request, service);
            if ended == RequestEnd::NotRun && is_booking && refused.len() + 1 < MAX_TICKETS {
                // A not-run outcome is reliable: a new key under a new ticket cannot book twice.
                refused.extend(key);
                continue;
            }
            let record = Record {
                service,
                key,
                refused,
                ended,
                latency: started_at.elapsed(),
            };
            return self.callers.records.lock().push(record);
        }
    }

    /// Sends until the outcome is final. Retries after an unknown outcome or a killed entry VM use
    /// the next entry VM and the same key.
    fn send(
        &mut self,
        entries: &[lookup::EntryVm],
        request: &caller::Request<'_>,
        service: &str,
    ) -> RequestEnd {
        let mut last = RequestEnd::Unknown;
        for attempt in 0..MAX_SENDS {
            let at = (self.number as usize + attempt as usize) % entries.len();
            let entry = entries[at].addr;
            match self.caller.send(entry, request) {
                Ok(response) => match response.outcome {
                    Some(outcome::Outcome::Answered) => return verify(&response, request, service),
                    Some(outcome::Outcome::NotRun) => {
                        let stopping = response
                            .error_body()
                            .is_some_and(|p| p.reason == "stopping");
                        if stopping && attempt == 0 && request.key.is_some() {
                            self.found = None;
                            return RequestEnd::NotRun;
                        }
                        // The outcome covers only this send; an earlier one may have run.
                        if attempt == 0 || request.key.is_none() || last == RequestEnd::NotRun {
                            last = RequestEnd::NotRun;
                        }
                    }
                    _ => last = RequestEnd::Unknown,
                },
                Err(_) if self.callers.killed.lock().contains(&entry) => last = RequestEnd::Unknown,
                Err(_) => return RequestEnd::Cut,
            }
            self.found = None;
            thread::sleep(time::Duration::from_millis(100 << attempt.min(3)));
        }
        last
    }

    fn look_up(&mut self) -> Option<lookup::Lookup> {
        let ttl = |found: &lookup::Lookup| time::Duration::from_millis(found.ttl_ms);
        if let Some((found, _)) = self.found.as_ref().filter(|(f, at)| at.elapsed() < ttl(f)) {
            return Some(found.clone());
        }
        let known = self.callers.entries.lock().clone();
        for attempt in 0..known.len() {
            let entry = known[(self.number as usize + attempt) % known.len()];
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
fn verify(response: &caller::Response, request: &caller::Request<'_>, service: &str) -> RequestEnd {
    let Ok(echo) = serde_json::from_str::<backend::Echo>(&response.body) else {
        return RequestEnd::Wrong;
    };
    let path = request.path.strip_prefix(&format!("/{service}"));
    if Some(echo.path.as_str()) == path && echo.body == request.body {
        return RequestEnd::Answered;
    }
    RequestEnd::Wrong
}
