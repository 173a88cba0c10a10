//! A test harness with a gateway, scripted backend servers and a caller on one thread.

use std::cell;
use std::collections;
use std::future;
use std::net;
use std::rc;
use std::time;

use bulrushwind::decisions::split;
use bulrushwind::gateway::{self, front, mirror};
use bulrushwind::id;
use bulrushwind::logging;
use bulrushwind::protocol::{http1, names, routes};
use bulrushwind::state::{backends, entries};
use bulrushwind::transport::{descriptors, socket, upstream};
use bytes::{Bytes, BytesMut};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

use super::scripted_backend::Backend;
pub(crate) use super::scripted_backend::Reaction;
use super::support;

/// A timeout far above any expected duration: reaching it means a hang.
pub(crate) const LONG: time::Duration = time::Duration::from_secs(20);

pub(crate) const NAMES: names::Names = names::Names {
    id: "x-id",
    timeout_ms: "x-timeout-ms",
    instance: "x-instance",
    not_run: "x-not-run",
    proof: "x-proof",
    load: "x-load",
    rate_limit: "x-rate-limit",
    leaving: "x-leaving",
    object_cookie: "object",
    key: "x-key",
    customer: "x-customer",
};

/// What backend servers have received.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Number of requests that each backend server got.
    pub(crate) arrived_at: collections::BTreeMap<String, usize>,
    /// Ids of requests that ran, each with its backend server.
    pub(crate) ran: Vec<(String, String)>,
    /// Requests that arrived.
    pub(crate) arrived: usize,
    /// Bodies that arrived whole.
    pub(crate) bodies: Vec<usize>,
    /// Fields of the last request.
    pub(crate) fields: collections::BTreeMap<String, String>,
    /// Connections that the gateway closed during a request.
    pub(crate) dropped: usize,
    /// Those of them that it reset.
    pub(crate) reset: usize,
    /// Bytes that were sent of answers without end.
    pub(crate) endless: usize,
}

/// What a backend server does in all its answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behavior {
    /// Field lines that it adds.
    pub(crate) fields: String,
    /// Whether it turns all requests away.
    pub(crate) sheds: bool,
}

/// The behavior of backend servers by name.
pub(crate) type Behaviors = rc::Rc<cell::RefCell<collections::BTreeMap<String, Behavior>>>;

pub(crate) type Script = rc::Rc<cell::RefCell<collections::VecDeque<Reaction>>>;

thread_local! {
    static IS_CUT_OFF: cell::Cell<bool> = const { cell::Cell::new(false) };
}

/// Runs a test with entry VMs that reach backend servers only through another entry VM.
pub(crate) fn run_cut_off(test: impl FnOnce()) {
    IS_CUT_OFF.set(true);
    test();
    IS_CUT_OFF.set(false);
}

/// An address that refuses connections.
pub(crate) fn refusing_addr() -> net::SocketAddr {
    // Port 1 is reserved and not in use on test machines.
    net::SocketAddr::from(([127, 0, 0, 1], 1))
}

/// An entry VM that other VMs can ask for connections.
struct Relay {
    cx: gateway::Gateway,
    entry: entries::Entry,
}

impl Relay {
    fn start() -> Self {
        let (cx, caller_addr) = start_vm("relay");
        let entry = entries::Entry {
            peer_addr: Some(serve_peers(&cx)),
            ..entry_at(caller_addr)
        };
        Self { cx, entry }
    }

    fn list_on(&self, cx: &gateway::Gateway) {
        cx.update_entry(&"relay".into(), self.entry.clone());
    }
}

pub(crate) struct Harness {
    pub(crate) cx: gateway::Gateway,
    /// The entry VM that reaches backend servers, if the others do not.
    relay: Option<Relay>,
    pub(crate) caller_addr: net::SocketAddr,
    pub(crate) seen: rc::Rc<cell::RefCell<Seen>>,
    pub(crate) script: Script,
    pub(crate) behaviors: Behaviors,
    pub(crate) listed: cell::RefCell<Vec<(id::VmId, backends::Listed)>>,
    started: rc::Rc<tokio::sync::Notify>,
}

/// Runs an asynchronous test to its end.
pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = task::LocalSet::new();
    local.block_on(&runtime, async {
        tokio::time::timeout(LONG * 2, test())
            .await
            .expect("the test ends");
    });
}

pub(crate) fn route(prefix: &str, idempotent: bool) -> routes::Route {
    routes::Route {
        name: prefix.to_owned(),
        host: "example.test".to_owned(),
        prefix: prefix.to_owned(),
        idempotent,
        timeout: time::Duration::from_secs(10),
        latency_target: time::Duration::from_secs(5),
        attempts: 3,
        priority: 1,
        public: false,
        sticky: true,
        parts: vec![split::Part {
            service: "svc".into(),
            weight: 1.0,
        }],
        regions: Vec::new(),
    }
}

pub(crate) fn table(version: u64, routes: Vec<routes::Route>) -> routes::Table {
    let service = routes::Service {
        name: "svc".into(),
        cold_requests_per_s: 3.0,
    };
    let limits = routes::Limits {
        max_body_bytes: 4 << 20,
        ..routes::Limits::default()
    };
    routes::Table::new(version, routes, vec![service], limits)
}

pub(crate) fn entry_at(caller_addr: net::SocketAddr) -> entries::Entry {
    entries::Entry {
        caller_addr,
        peer_addr: None,
        az: "az".into(),
        link_mbps: 0,
        requests_per_s: 0,
        busy: false,
        near_limits: Vec::new(),
    }
}

/// Starts a gateway that knows the routes and no backend servers.
fn start_vm(name: &str) -> (gateway::Gateway, net::SocketAddr) {
    start_vm_in("az", name)
}

pub(crate) fn start_vm_in(az: &str, name: &str) -> (gateway::Gateway, net::SocketAddr) {
    start_vm_with(config(az, name))
}

/// Settings of an entry VM.
pub(crate) fn config(az: &str, name: &str) -> gateway::Config {
    named(az, name, gateway::Config::default())
}

/// Settings with the names that an entry VM here needs.
fn named(az: &str, name: &str, cfg: gateway::Config) -> gateway::Config {
    gateway::Config {
        vm: name.into(),
        az: az.into(),
        names: NAMES,
        regions: [
            ("az".into(), "region".into()),
            ("az-far".into(), "far".into()),
        ]
        .into(),
        ..cfg
    }
}

fn start_vm_with(cfg: gateway::Config) -> (gateway::Gateway, net::SocketAddr) {
    let cx = gateway::Gateway::new(cfg, logging::silent());
    let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let caller_addr = listener.local_addr().unwrap();
    task::spawn_local(front::accept(listener, cx.clone(), cx.clone()));
    cx.update_routes(table(
        1,
        vec![route("/read/", true), route("/book/", false)],
    ));
    (cx, caller_addr)
}

/// Accepts connections of other entry VMs.
pub(crate) fn serve_peers(cx: &gateway::Gateway) -> net::SocketAddr {
    let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn_local(mirror::Mirror::new(cx.clone()).serve(listener));
    addr
}

impl Harness {
    /// Starts a gateway with this many backend servers, which share one script; requests beyond it
    /// are answered with `ok`.
    pub(crate) async fn new(backend_count: usize, script: &[Reaction]) -> Self {
        Self::with(gateway::Config::default(), backend_count, script).await
    }

    /// Starts a gateway with these settings, see [`Self::new`].
    pub(crate) async fn with(
        cfg: gateway::Config,
        backend_count: usize,
        script: &[Reaction],
    ) -> Self {
        let (cx, caller_addr) = start_vm_with(named("az", "vm", cfg));
        cx.update_entry(&"vm".into(), entry_at(caller_addr));
        let relay = IS_CUT_OFF.get().then(Relay::start);
        if let Some(relay) = &relay {
            relay.list_on(&cx);
        }
        let harness = Self {
            cx,
            relay,
            caller_addr,
            seen: rc::Rc::default(),
            script: rc::Rc::new(cell::RefCell::new(script.iter().cloned().collect())),
            behaviors: rc::Rc::default(),
            listed: cell::RefCell::default(),
            started: rc::Rc::default(),
        };
        for n in 0..backend_count {
            harness.add_backend(&format!("i-{n}")).await;
        }
        harness
    }

    pub(crate) async fn add_backend(&self, name: &str) {
        self.start_backend(name, None).await;
    }

    /// Starts or restarts a backend server and lists it.
    pub(crate) async fn start_backend(&self, name: &str, start: Option<u64>) -> backends::Listed {
        self.start_backend_in("az", name, start).await
    }

    /// Starts a backend server in another region.
    pub(crate) async fn add_far_backend(&self, name: &str) {
        self.start_backend_in("az-far", name, None).await;
    }

    async fn start_backend_in(&self, az: &str, name: &str, start: Option<u64>) -> backends::Listed {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let listed = backends::Listed {
            service: "svc".into(),
            addr,
            az: az.into(),
            slots: 3,
            leaving: false,
            cold_until: time::Duration::ZERO,
            incarnation: start.map(id::Incarnation),
        };
        let listed = match &self.relay {
            Some(relay) => {
                relay.cx.update_backend(&name.into(), listed.clone());
                backends::Listed {
                    addr: refusing_addr(),
                    ..listed
                }
            }
            None => listed,
        };
        self.cx.update_backend(&name.into(), listed.clone());
        self.listed.borrow_mut().push((name.into(), listed.clone()));
        let (seen, script, started) =
            (self.seen.clone(), self.script.clone(), self.started.clone());
        let behaviors = self.behaviors.clone();
        let name = name.to_owned();
        let crashed = rc::Rc::new(tokio::sync::Notify::new());
        let vanished = rc::Rc::new(tokio::sync::Notify::new());
        task::spawn_local(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = crashed.notified() => return,
                    () = vanished.notified() => {
                        support::cut::drop_packets(&socket2::SockRef::from(&listener));
                        return future::pending().await;
                    }
                };
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let backend = Backend {
                    crashed: crashed.clone(),
                    vanished: vanished.clone(),
                    name: name.clone(),
                    seen: seen.clone(),
                    script: script.clone(),
                    behaviors: behaviors.clone(),
                    started: started.clone(),
                };
                task::spawn_local(backend.serve(stream));
            }
        });
        listed
    }

    /// Starts another entry VM that lists the same backend servers.
    pub(crate) fn add_vm(&self, name: &str) -> (gateway::Gateway, net::SocketAddr) {
        self.add_vm_with(config("az", name))
    }

    /// Starts one more entry VM with these settings.
    pub(crate) fn add_vm_with(&self, cfg: gateway::Config) -> (gateway::Gateway, net::SocketAddr) {
        let (cx, caller_addr) = start_vm_with(cfg);
        if let Some(relay) = &self.relay {
            relay.list_on(&cx);
        }
        for (backend, listed) in self.listed.borrow().iter() {
            cx.update_backend(backend, listed.clone());
        }
        (cx, caller_addr)
    }

    /// Starts `count` more entry VMs; all VMs know each other. Returns a caller of each VM.
    pub(crate) async fn callers_of_vms(&self, count: usize) -> Vec<Caller> {
        let names: Vec<String> = (1..=count).map(|n| format!("vm-{n}")).collect();
        let mut vms = vec![("vm".to_owned(), (self.cx.clone(), self.caller_addr))];
        vms.extend(names.into_iter().map(|name| {
            let vm = self.add_vm(&name);
            (name, vm)
        }));
        let mut callers = Vec::new();
        for (_, (cx, addr)) in &vms {
            for (name, (_, addr)) in &vms {
                cx.update_entry(&name.as_str().into(), entry_at(*addr));
            }
            callers.push(Caller::connect(*addr).await);
        }
        callers
    }

    pub(crate) async fn caller(&self) -> Caller {
        Caller::connect(self.caller_addr).await
    }

    /// Sets the field lines that a backend server adds to all its answers.
    pub(crate) fn state(&self, backend: &str, fields: &str) {
        let mut behaviors = self.behaviors.borrow_mut();
        behaviors.entry(backend.to_owned()).or_default().fields = fields.to_owned();
    }

    /// Sets whether a backend server turns all requests away.
    pub(crate) fn shed(&self, backend: &str, sheds: bool) {
        let mut behaviors = self.behaviors.borrow_mut();
        behaviors.entry(backend.to_owned()).or_default().sheds = sheds;
    }

    /// Number of requests that a backend server got, whether they ran or not.
    pub(crate) fn arrived_at(&self, backend: &str) -> usize {
        let seen = self.seen.borrow();
        seen.arrived_at.get(backend).copied().unwrap_or_default()
    }

    /// Number of requests that a backend server ran.
    pub(crate) fn runs_at(&self, backend: &str) -> usize {
        let seen = self.seen.borrow();
        seen.ran.iter().filter(|(_, name)| name == backend).count()
    }

    /// Number of runs of a request.
    pub(crate) fn runs(&self, id: &str) -> usize {
        self.seen
            .borrow()
            .ran
            .iter()
            .filter(|(i, _)| i == id)
            .count()
    }

    /// Waits until a condition holds.
    pub(crate) async fn until(&self, what: &str, holds: impl Fn(&Seen) -> bool) {
        let started = time::Instant::now();
        while !holds(&self.seen.borrow()) {
            assert!(started.elapsed() < LONG, "never: {what}");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }
}

/// An answer that a caller received.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) head: http1::ResponseHead,
    pub(crate) body: Bytes,
}

impl CallerAnswer {
    /// The seconds after which the caller is told to come back.
    pub(crate) fn retry_after(&self) -> f64 {
        let text = self.head.fields.text("retry-after").unwrap();
        text.parse().unwrap()
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

pub(crate) struct Caller {
    pub(crate) wire: socket::Wire,
}

/// A request without a body.
pub(crate) fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: example.test\r\nx-id: {id}\r\nx-timeout-ms: 8000\r\nCookie: a=b; object=17\r\n\r\n"
    )
}

/// A request for one object.
pub(crate) fn get_object(path: &str, id: &str, object: usize) -> String {
    get(path, id).replace("object=17", &format!("object={object}"))
}

/// Reads objects one after the other and expects that all are answered.
pub(crate) async fn read_all(caller: &mut Caller, objects: std::ops::Range<usize>) {
    let count = objects.len();
    assert_eq!(caller.read_objects(objects).await, count);
}

/// Reads objects at a pace at which a short backoff is over before the next read. Returns how many
/// reads were answered.
pub(crate) async fn read_slowly(caller: &mut Caller, objects: std::ops::Range<usize>) -> usize {
    let mut answered = 0;
    for object in objects {
        answered += caller.read_objects(object..object + 1).await;
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    answered
}

/// A request with a body.
pub(crate) fn post(path: &str, id: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: example.test\r\nx-id: {id}\r\nx-timeout-ms: 8000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Caller {
    pub(crate) async fn connect(addr: net::SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.unwrap();
        let held = descriptors::Held::new(descriptors::Use::Callers);
        Self {
            wire: socket::Wire::new(stream, held),
        }
    }

    /// Reads objects one after the other. Returns how many reads were answered.
    pub(crate) async fn read_objects(&mut self, objects: std::ops::Range<usize>) -> usize {
        let mut answered = 0;
        for object in objects {
            let read = get_object(&format!("/read/{object}"), &format!("r{object}"), object);
            answered += usize::from(self.request(&read).await.status == 200);
        }
        answered
    }

    /// Connects so that the system takes little of an answer before the caller reads.
    pub(crate) async fn connect_slow(addr: net::SocketAddr) -> Self {
        Self {
            wire: support::connect_slow(addr).await,
        }
    }

    pub(crate) async fn send(&mut self, text: &str) {
        self.wire.send(text.as_bytes()).await.unwrap();
    }

    /// Receives the next answer; an error if the connection ended before it was whole.
    pub(crate) async fn receive(&mut self) -> Result<CallerAnswer, upstream::Failure> {
        let head = loop {
            let taken = http1::ResponseHead::take(&mut self.wire.buf, 64 << 10, false);
            if let Some(head) = taken.map_err(|_| upstream::Failure::InvalidAnswer)? {
                break head;
            }
            if !matches!(self.wire.fill().await, Ok(1..)) {
                return Err(upstream::Failure::Lost);
            }
        };
        let mut reader = http1::BodyReader::new(head.framing);
        let mut body = BytesMut::new();
        while let Some(piece) = upstream::next_piece(&mut self.wire, &mut reader).await? {
            body.extend_from_slice(&piece);
        }
        Ok(CallerAnswer {
            status: head.status,
            head,
            body: body.freeze(),
        })
    }

    pub(crate) async fn request(&mut self, text: &str) -> CallerAnswer {
        self.send(text).await;
        self.receive().await.unwrap()
    }

    /// Whether the gateway has closed the connection.
    pub(crate) async fn is_closed(&mut self) -> bool {
        matches!(self.wire.fill().await, Ok(0) | Err(_))
    }
}
