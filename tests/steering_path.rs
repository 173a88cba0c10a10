//! Requests sent to another availability zone, over real HTTP and real peer links between two entry
//! VMs in different availability zones.

use std::net;
use std::sync;
use std::thread;
use std::time;

use bulrushwind::coordination::store;
use bulrushwind::decisions::{naive, policy, quarantine};
use bulrushwind::protocol::{headers, outcome};
use bulrushwind::standin::{altered, backend, caller, operator, store as standin};
use bulrushwind::{config, entry, logging};
use policy::{Action, Policy};

/// Timeout of a condition, ample even on a slow machine.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

const SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

const SETTINGS: &str = r#"
[[region]]
name = "r"
azs = ["a", "b"]
max_load = 0.9

[[service]]
name = "ledger"
azs = ["a", "b"]
slots = 8
connections = 100
shift_cap = 1.0
shift_step_ms = 1000

[[service.operation]]
name = "book"
method = "POST"
path = "/book"
idempotent = false
worth = 20
patience_ms = 2000
typical_ms = 40.0

[[service.operation]]
name = "read"
method = "GET"
path = "/"
idempotent = true
worth = 2
patience_ms = 2000
typical_ms = 40.0
"#;

/// Starts an entry VM and adds it to the platform's list.
fn start_entry<M: entry::MakePolicy>(
    platform: &standin::Memory,
    name: &str,
    az: &str,
    make: M,
) -> entry::Entry<M> {
    let cfg = config::Config {
        vm: name.into(),
        az: az.into(),
        root_keys: vec![operator::root().public()],
        peer_secrets: vec![SECRET.to_owned().into()],
        ..config::Config::default()
    };
    let log = logging::silent();
    let entry = entry::Entry::start(cfg, make, platform.clone(), log).unwrap();
    platform.put_vm(store::Vm {
        id: name.into(),
        az: az.into(),
        addr: entry.addr(),
        role: store::VmRole::Entry {
            peers: entry.peers_addr().unwrap(),
        },
        state: store::VmState::Live,
    });
    entry
}

struct Fleet {
    platform: standin::Memory,
    entries: Vec<entry::Entry<entry::MakeDispatch>>,
    backends: Vec<backend::Backend>,
}

impl Fleet {
    /// Starts an entry VM and a backend server in each of `a` and `b`; the backend server in `a` has
    /// `slots` slots.
    fn start(slots: usize) -> Self {
        let platform = standin::Memory::default();
        operator::publish(&platform, "places", SETTINGS, 0).unwrap();
        let mut fleet = Self {
            platform,
            entries: Vec::new(),
            backends: Vec::new(),
        };
        for (az, slots) in [("a", slots), ("b", 8)] {
            fleet.add_backend(az, slots);
            fleet.add_entry(az);
        }
        for entry in &fleet.entries {
            let read = caller::Request {
                path: "/ledger/bays",
                ..caller::Request::default()
            };
            wait_for("a read is answered", || {
                let reply = caller::Caller::default().send(entry.addr(), &read);
                reply.is_ok_and(|reply| reply.status == 200)
            });
        }
        fleet
    }

    fn add_backend(&mut self, az: &str, slots: usize) {
        let behaviour = backend::Behaviour {
            slots,
            queue: 4,
            work_ms: 40,
            ..backend::Behaviour::default()
        };
        let any = "127.0.0.1:0".parse().unwrap();
        let backend = backend::Backend::start(any, behaviour, None).unwrap();
        self.platform.put_vm(store::Vm {
            id: format!("backend-{az}").as_str().into(),
            az: az.into(),
            addr: backend.addr(),
            role: store::VmRole::Backend {
                service: "ledger".into(),
            },
            state: store::VmState::Live,
        });
        self.backends.push(backend);
    }

    fn add_entry(&mut self, az: &str) {
        let name = format!("entry-{az}");
        let entry = start_entry(&self.platform, &name, az, entry::MakeDispatch);
        self.entries.push(entry);
    }

    /// Number of runs of each key on all backend servers.
    fn runs(&self) -> std::collections::BTreeMap<String, u32> {
        let mut all = std::collections::BTreeMap::new();
        for backend in &self.backends {
            for (key, runs) in backend.log().runs {
                *all.entry(key).or_default() += runs;
            }
        }
        all
    }
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            time::Instant::now() < until,
            "timed out while waiting for: {what}"
        );
        thread::sleep(time::Duration::from_millis(20));
    }
}

/// Sends bookings with keys of one ticket until `stop` is set. Returns each key with its outcome.
fn book(entry: net::SocketAddr, thread: usize, stop: &sync::atomic::AtomicBool) -> Vec<Booked> {
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry, "ledger").unwrap().ticket.unwrap();
    let mut booked = Vec::new();
    for seq in 0..5_000 {
        if stop.load(sync::atomic::Ordering::SeqCst) {
            break;
        }
        let key = format!("{ticket}.{thread}-{seq}");
        let body = format!("bay {thread} {seq}");
        let request = caller::Request {
            method: "POST",
            path: "/ledger/book",
            key: Some(&key),
            body: &body,
            ..caller::Request::default()
        };
        let Ok(reply) = caller.send(entry, &request) else {
            continue;
        };
        if reply.outcome == Some(outcome::Outcome::Answered) {
            let echo: backend::Echo = serde_json::from_str(&reply.body).unwrap();
            assert_eq!(
                echo.body, body,
                "a caller got the answer to another request"
            );
        } else {
            thread::sleep(time::Duration::from_millis(20));
        }
        booked.push(Booked {
            key,
            outcome: reply.outcome,
        });
    }
    booked
}

struct Booked {
    key: String,
    outcome: Option<outcome::Outcome>,
}

/// A surge hits an availability zone with a single slot while another one is idle. Without spilling,
/// most callers would be refused; faulty spilling could run a booking in both zones.
#[test]
fn a_surge_spills_and_no_booking_runs_twice() {
    let fleet = Fleet::start(1);
    let stop = sync::atomic::AtomicBool::new(false);
    let entry = fleet.entries[0].addr();
    let booked: Vec<Booked> = thread::scope(|scope| {
        let stop = &stop;
        let callers: Vec<_> = (0..16)
            .map(|i| scope.spawn(move || book(entry, i, stop)))
            .collect();
        // The idle zone has already run the reads of `Fleet::start`.
        wait_for("bookings run in the other availability zone", || {
            fleet.backends[1].log().started > 20
        });
        stop.store(true, sync::atomic::Ordering::SeqCst);
        callers
            .into_iter()
            .flat_map(|c| c.join().unwrap())
            .collect()
    });
    let runs = fleet.runs();
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
    for booking in &booked {
        let ran = runs.contains_key(&booking.key);
        match booking.outcome {
            Some(outcome::Outcome::Answered) => assert!(ran, "{} was answered", booking.key),
            Some(outcome::Outcome::NotRun) => assert!(!ran, "{} ran", booking.key),
            _ => {}
        }
    }
}

/// Requests arrive from another availability zone with an expired, unknown or malformed grant, for
/// example after a partition. If admitted, they would take capacity that local callers need.
#[test]
fn requests_without_a_valid_grant_are_refused() {
    let fleet = Fleet::start(8);
    let url = format!("http://{}/ledger/book", fleet.entries[1].addr());
    wait_for("the receiver has the sender in its list of VMs", || {
        let found = caller::Caller::default().look_up(fleet.entries[1].addr(), "ledger");
        found.is_ok_and(|found| found.entries.len() == 2)
    });
    for grant in [None, Some("entry-a;1f;1"), Some("nonsense")] {
        let mut req = attohttpc::post(&url).header(headers::ORIGIN_AZ, "a");
        if let Some(grant) = grant {
            req = req.header(headers::GRANT, grant);
        }
        let answer = req.text("bay 7").send().unwrap();
        let reply = answer.headers().get(headers::OUTCOME).unwrap();
        assert_eq!(reply, outcome::Outcome::NotRun.as_str());
        assert!(answer.headers().contains_key("retry-after"));
    }
    assert!(fleet.runs().is_empty());
}

/// A policy that bans the first request it receives, as if it had crashed two backend servers. It
/// reports the ban repeatedly, since the links may not be up at first.
#[derive(Clone, Default)]
struct BanFirstRequest {
    banned: Option<policy::Fingerprint>,
}

impl altered::Change for BanFirstRequest {
    fn arrive(
        &mut self,
        naive: &mut naive::Naive,
        now: policy::Moment,
        req: policy::Arrival,
        out: &mut Vec<Action>,
    ) {
        self.banned = self.banned.or(Some(req.fingerprint));
        naive.arrive(now, req, out);
    }

    fn bans(&self) -> Vec<quarantine::Ban> {
        let left = time::Duration::from_secs(60);
        let entry = |fingerprint| quarantine::Ban { fingerprint, left };
        self.banned.map(entry).into_iter().collect()
    }
}

/// A request crashes backend servers behind one entry VM, and its caller retries through another. If
/// the ban did not reach that one, the request would crash two more at each entry VM of the fleet.
#[test]
fn a_request_banned_at_one_entry_vm_is_refused_at_another() {
    let mut fleet = Fleet::start(8);
    let other = fleet.entries.pop().unwrap();
    let banning_entry = start_entry(
        &fleet.platform,
        "entry-a-2",
        "a",
        altered::Make(BanFirstRequest::default()),
    );
    let caller = caller::Caller::default();
    let crashing_request = caller::Request {
        path: "/ledger/bays?kills",
        ..caller::Request::default()
    };
    wait_for("the banning entry VM has received the request", || {
        let reply = caller.send(banning_entry.addr(), &crashing_request);
        reply.is_ok_and(|reply| reply.status == 200)
    });
    wait_for("the other entry VM refuses it as not run", || {
        let reply = caller.send(other.addr(), &crashing_request).unwrap();
        let quarantined = reply
            .error_body()
            .is_some_and(|body| body.reason == "quarantined");
        quarantined && reply.outcome == Some(outcome::Outcome::NotRun)
    });
    let others = caller::Request {
        path: "/ledger/bays?others",
        ..caller::Request::default()
    };
    assert_eq!(caller.send(other.addr(), &others).unwrap().status, 200);
}
