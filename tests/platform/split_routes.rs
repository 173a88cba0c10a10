//! Shares of the services of split routes, summed over six gateway processes, from what backend
//! servers received.

use std::cell;
use std::net;
use std::path;
use std::rc;
use std::time;

use bulrushwind::platform::names::FIELDS;
use bulrushwind::protocol::http1;
use bulrushwind::transport::{socket, upstream};
use bytes::Bytes;
use serde_json::{Value, json};
use tokio::task;

use super::processes::{TEST_TIMEOUT, run_scenario, wait_for_status};
use super::support::shares::{self, Weight};
use super::support::{backend, cut, process, store};

const VMS: usize = 6;
const AZS: [&str; 3] = ["az-a", "az-b", "az-c"];
const SERVICES: [&str; 3] = ["a", "b", "c"];

/// Split routes: their prefixes and kinds. Requests for `/warm/` state an object.
const ROUTES: [(&str, &str); 3] = [("/read/", "safe"), ("/book/", "unsafe"), ("/warm/", "safe")];

/// Backend servers of each service.
const BACKENDS_PER_SERVICE: usize = 6;

const SERVICE_TIME: time::Duration = time::Duration::from_millis(4);

/// Callers of each VM.
const CALLERS_PER_VM: usize = 2;

/// Requests of each route after which the shares of a version are checked.
const CHECKED_REQUESTS: usize = 450;

/// Time within which a version is in force on all VMs.
const CONFIG_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

fn config(version: u64, weights: &[Weight]) -> Value {
    let route = |prefix: &str, kind: &str| {
        json!({"name": prefix, "host": "example.test", "prefix": prefix, "kind": kind,
            "timeout_s": 3.0, "target_latency_s": 0.5, "priority": 1, "attempts": 2,
            "sticky": prefix == "/warm/"})
    };
    let split = |(prefix, kind): &(&str, &str)| {
        let mut route = route(prefix, kind);
        match weights {
            [(service, _)] => route["service"] = json!(service),
            _ => {
                let part =
                    |(service, weight): &Weight| json!({"service": service, "weight": weight});
                route["split"] = weights.iter().map(part).collect();
            }
        }
        route
    };
    let mut routes: Vec<Value> = ROUTES.iter().map(split).collect();
    let mut marker = route(&format!("/v{version}/"), "safe");
    marker["service"] = json!("a");
    routes.push(marker);
    let service = |name: &&str| json!({"name": name, "health_path": "/health", "max_conns": 330, "cold_s": 1.0, "cold_per_s": 5.0});
    json!({
        "version": format!("{version:08x}"), "routes": routes,
        "services": SERVICES.iter().map(service).collect::<Vec<_>>(),
        "limits": {"header_bytes": 16384, "body_bytes": 1048576, "header_timeout_s": 3, "idle_timeout_s": 15},
    })
}

struct Scene {
    store: store::Store,
    backends: Vec<backend::Backend>,
    vms: Vec<process::GatewayOptions>,
    processes: cell::RefCell<Vec<Option<process::Gateway>>>,
    log: rc::Rc<cell::RefCell<backend::Log>>,
    version: cell::Cell<u64>,
    /// Number of requests that callers have sent to each route.
    sent: cell::RefCell<[usize; ROUTES.len()]>,
    _dir: tempfile::TempDir,
}

impl Scene {
    async fn start(weights: &[Weight]) -> rc::Rc<Self> {
        let store = store::Store::start();
        store.write("op/config", &config(1, weights));
        let log: rc::Rc<cell::RefCell<backend::Log>> = rc::Rc::default();
        let backends: Vec<backend::Backend> = (0..SERVICES.len() * BACKENDS_PER_SERVICE)
            .map(|n| {
                let service = SERVICES[n / BACKENDS_PER_SERVICE];
                let id = format!("{service}-{n}");
                backend::Backend::start(&id, service, AZS[n % AZS.len()], SERVICE_TIME, log.clone())
            })
            .collect();
        backends.iter().for_each(|b| b.register(&store, "ready"));
        let dir = tempfile::tempdir().unwrap();
        let vms: Vec<process::GatewayOptions> = (0..VMS)
            .map(|n| process::GatewayOptions {
                program: path::PathBuf::from(env!("CARGO_BIN_EXE_bulrushwind-gateway")),
                dir: dir.path().to_owned(),
                node: format!("vm-{n}"),
                zone: AZS[n % AZS.len()],
                ports: process::Ports::free(),
                store: store.addr,
                seeds: Vec::new(),
                bootstrap: false,
                contended: false,
                source_ip: net::Ipv4Addr::new(127, 0, 2, n as u8 + 1),
                max_fds: None,
                memory_mb: None,
            })
            .collect();
        let processes = vms.iter().map(|vm| Some(vm.spawn().unwrap())).collect();
        let scene = rc::Rc::new(Self {
            store,
            backends,
            vms,
            processes: cell::RefCell::new(processes),
            log,
            version: cell::Cell::new(1),
            sent: cell::RefCell::default(),
            _dir: dir,
        });
        scene.wait_until_in_force().await;
        for n in 0..VMS * CALLERS_PER_VM {
            task::spawn_local(call(scene.clone(), n));
        }
        scene
    }

    async fn wait_until_in_force(&self) {
        let target = format!("/v{}/x", self.version.get());
        for vm in &self.vms {
            wait_for_status(vm.ports.front, &target, 200).await;
        }
    }

    /// Writes weights and waits until they are in force on all VMs.
    async fn change(&self, weights: &[Weight]) {
        self.write(weights);
        self.wait_until_in_force().await;
    }

    fn write(&self, weights: &[Weight]) {
        self.version.set(self.version.get() + 1);
        self.store
            .write("op/config", &config(self.version.get(), weights));
    }

    fn services_since(&self, route: &str, since: time::Instant) -> Vec<&'static str> {
        self.log.borrow().services_since(route, since)
    }

    /// Checks the shares of the next requests of each route.
    async fn check(&self, what: &str, weights: &[Weight]) {
        let since = time::Instant::now();
        loop {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            let is_enough = |(route, _): &(&str, &str)| {
                self.services_since(route, since).len() >= CHECKED_REQUESTS
            };
            if ROUTES.iter().all(is_enough) {
                break;
            }
            assert!(
                since.elapsed() < TEST_TIMEOUT,
                "{what}: too few requests arrive"
            );
        }
        for (route, _) in ROUTES {
            let services = self.services_since(route, since);
            if let Some(violation) = shares::violation(&services, weights) {
                panic!("{what}, {route}: {violation}");
            }
        }
    }

    /// Changes the weights and checks the shares from then on.
    async fn change_and_check(&self, what: &str, weights: &[Weight]) {
        self.change(weights).await;
        self.check(what, weights).await;
    }

    /// Waits until callers have sent enough further requests to each route. Returns the numbers then.
    async fn wait_until_sent(&self, before: &[usize; ROUTES.len()]) -> [usize; ROUTES.len()] {
        loop {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
            let sent = *self.sent.borrow();
            let mut pairs = sent.iter().zip(before);
            if pairs.all(|(sent, before)| sent - before >= CHECKED_REQUESTS) {
                return sent;
            }
        }
    }

    fn cut_off(&self, vms: &[usize], way: cut::Cut) {
        for backend in &self.backends {
            for n in vms {
                let mut sources = backend.sources.borrow_mut();
                sources.cut(self.vms[*n].source_ip, way);
            }
        }
    }

    fn reconnect(&self, vms: &[usize]) {
        for backend in &self.backends {
            for n in vms {
                let mut sources = backend.sources.borrow_mut();
                sources.restore(self.vms[*n].source_ip);
            }
        }
    }

    /// Kills a VM's process and starts it again.
    async fn restart(&self, vm: usize) {
        self.processes.borrow_mut()[vm] = None;
        self.processes.borrow_mut()[vm] = Some(self.vms[vm].spawn().unwrap());
        self.wait_until_in_force().await;
    }

    fn signal(&self, vm: usize, signal: rustix::process::Signal) {
        let processes = self.processes.borrow();
        processes[vm].as_ref().unwrap().signal(signal);
    }

    /// Sets what the backend servers of a service state.
    fn state(&self, service: &str, statement: &backend::Statement) {
        for backend in self.backends.iter().filter(|b| b.service == service) {
            backend.state(statement.clone());
        }
    }
}

/// Sends requests to one VM, to each route in turn, until the test ends.
async fn call(scene: rc::Rc<Scene>, caller: usize) {
    let addr = scene.vms[caller % VMS].ports.front;
    let mut sequence = caller;
    loop {
        let Ok(mut wire) = socket::Wire::connect(addr, TEST_TIMEOUT).await else {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
            continue;
        };
        loop {
            sequence += 1;
            let id = format!("{caller}-{sequence}");
            scene.sent.borrow_mut()[sequence % ROUTES.len()] += 1;
            let answered = exchange(&mut wire, sequence, &id);
            let answered = tokio::time::timeout(time::Duration::from_secs(3), answered).await;
            if answered != Ok(Some(())) {
                break;
            }
        }
    }
}

/// Sends one request; `None` if the connection cannot be used again.
async fn exchange(wire: &mut socket::Wire, sequence: usize, id: &str) -> Option<()> {
    let (route, kind) = ROUTES[sequence % ROUTES.len()];
    let method = if kind == "unsafe" { "POST" } else { "GET" };
    let cookie = match route {
        "/warm/" => format!(
            "Cookie: {}={}\r\n",
            FIELDS.object_cookie,
            shares::object_of(sequence / ROUTES.len())
        ),
        _ => String::new(),
    };
    let head = format!(
        "{method} {route}{sequence} HTTP/1.1\r\nHost: example.test\r\n{}: {id}\r\n{}: 2500\r\n{cookie}Content-Length: 0\r\n\r\n",
        FIELDS.id, FIELDS.timeout_ms
    );
    let mut payload = upstream::Payload::Whole(Bytes::new());
    let tag = upstream::Tag {
        field: FIELDS.id,
        id: id.as_bytes(),
        to_head: false,
    };
    let received = upstream::exchange(wire, head.as_bytes(), &mut payload, tag)
        .await
        .ok()?;
    let mut reader = http1::BodyReader::new(received.head.framing);
    while upstream::next_piece(wire, &mut reader)
        .await
        .ok()?
        .is_some()
    {}
    received.reusable.then_some(())
}

/// Guards against counts of earlier weights that draw all requests to one part after a change.
#[test]
fn shares_follow_weights_that_change_in_series() {
    run_scenario(|| async {
        let scene = Scene::start(&[("a", 0.9), ("b", 0.1)]).await;
        scene.check("at first", &[("a", 0.9), ("b", 0.1)]).await;
        let series: [&[Weight]; 5] = [
            &[("a", 0.5), ("b", 0.5)],
            &[("a", 0.8), ("b", 0.2)],
            &[("a", 0.2), ("b", 0.8)],
            &[("b", 0.4), ("a", 0.6)],
            &[("c", 0.7), ("b", 0.2), ("a", 0.1)],
        ];
        for weights in series {
            scene.change_and_check("after a change", weights).await;
        }
    });
}

/// Guards against a route that keeps earlier counts while it isn't split.
#[test]
fn shares_follow_weights_when_routes_become_split_and_stop_being_so() {
    run_scenario(|| async {
        let scene = Scene::start(&[("a", 1.0)]).await;
        let series: [&[Weight]; 4] = [
            &[("a", 0.4), ("b", 0.6)],
            &[("b", 1.0)],
            &[("a", 0.0), ("b", 1.0)],
            &[("a", 0.7), ("b", 0.3)],
        ];
        for weights in series {
            scene.change_and_check("after a change", weights).await;
        }
    });
}

/// Guards against shares that a cut of VMs from all backend servers distorts beyond its end.
#[test]
fn shares_follow_weights_that_change_while_vms_are_cut_off() {
    const BEFORE: [Weight; 2] = [("a", 0.4), ("b", 0.6)];
    const AFTER: [Weight; 2] = [("a", 0.8), ("b", 0.2)];
    for way in cut::Cut::ALL {
        run_scenario(|| async {
            let scene = Scene::start(&BEFORE).await;
            scene.check("at first", &BEFORE).await;
            scene.cut_off(&[0, 3], way);
            scene.change(&AFTER).await;
            tokio::time::sleep(CONFIG_TIMEOUT).await;
            scene.check("in a cut", &AFTER).await;
            scene.reconnect(&[0, 3]);
            scene.check("after a cut", &AFTER).await;
            scene.change_and_check("after a cut", &BEFORE).await;
        });
    }
}

/// Guards against weights that a returned store takes back or that apply late after its return.
#[test]
fn shares_follow_weights_when_the_store_returns_from_a_copy() {
    run_scenario(|| async {
        let scene = Scene::start(&[("a", 0.9), ("b", 0.1)]).await;
        scene.check("at first", &[("a", 0.9), ("b", 0.1)]).await;
        let copy = scene.store.copy();
        let weights: [&[Weight]; 2] = [&[("a", 0.5), ("b", 0.5)], &[("a", 0.2), ("b", 0.8)]];
        scene
            .change_and_check("before the return", weights[0])
            .await;
        scene.store.restore(copy);
        scene.check("after the return", weights[0]).await;
        let rewritten = config(scene.version.get(), weights[0]);
        scene.store.write("op/config", &rewritten);
        scene.check("written again", weights[0]).await;
        scene
            .change_and_check("changed after the return", weights[1])
            .await;
    });
}

/// Guards against VMs that start, stand still or come back with other shares than the rest.
#[test]
fn shares_follow_weights_while_vms_start_again_and_stand_still() {
    run_scenario(|| async {
        let scene = Scene::start(&[("a", 0.9), ("b", 0.1)]).await;
        scene.check("at first", &[("a", 0.9), ("b", 0.1)]).await;
        scene.change(&[("a", 0.6), ("b", 0.4)]).await;
        scene.restart(1).await;
        scene
            .check("after a restart", &[("a", 0.6), ("b", 0.4)])
            .await;
        scene.signal(2, rustix::process::Signal::STOP);
        scene.write(&[("a", 0.2), ("b", 0.8)]);
        tokio::time::sleep(time::Duration::from_millis(1500)).await;
        scene.signal(2, rustix::process::Signal::CONT);
        scene.wait_until_in_force().await;
        scene
            .check("after a pause", &[("a", 0.2), ("b", 0.8)])
            .await;
    });
}

/// Guards against requests that are moved to the other part while one is short of room, and
/// against a VM that leaves the part out for longer than that.
#[test]
fn what_a_part_has_no_room_for_is_refused_and_not_moved_to_the_other() {
    /// What a part gets at most beyond its weight of what callers send.
    const MAX_EXCESS: f64 = 0.1;
    let weights: [Weight; 2] = [("a", 0.7), ("b", 0.3)];
    let reasons = [
        ("sheds", ("X-Nothing", "1"), true),
        ("rests", ("Retry-After", "1"), true),
        ("limits its rate", (FIELDS.rate_limit, "2"), false),
    ];
    run_scenario(|| async {
        let scene = Scene::start(&weights).await;
        scene.check("at first", &weights).await;
        for (what, field, sheds) in reasons {
            let statement = backend::Statement {
                field: Some(field),
                sheds,
            };
            scene.state("a", &statement);
            tokio::time::sleep(time::Duration::from_millis(500)).await;
            let (since, sent) = (time::Instant::now(), *scene.sent.borrow());
            let sent_later = scene.wait_until_sent(&sent).await;
            for (n, (route, _)) in ROUTES.iter().enumerate() {
                let services = scene.services_since(route, since);
                let got = services.iter().filter(|s| **s == "b").count() as f64;
                let share = got / (sent_later[n] - sent[n]) as f64;
                assert!(
                    share <= 0.3 + MAX_EXCESS,
                    "a {what}, {route}: b gets {share:.3} of 0.3"
                );
            }
            scene.state("a", &backend::Statement::default());
            tokio::time::sleep(CONFIG_TIMEOUT).await;
            scene.check(&format!("a no longer {what}"), &weights).await;
        }
    });
}
