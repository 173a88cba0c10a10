//! Processes with low limits, a store and backend servers, and the bounds that hold for them.

use std::cell;
use std::net;
use std::path;
use std::rc;
use std::sync;
use std::time;

use bulrushwind::platform::names::FIELDS;
use bulrushwind::transport::{socket, upstream};
use serde_json::json;
use tokio::task;

use super::support::crowd::Crowd;
use super::support::{backend, cut, process, store};

/// The limits in the settings of each process.
pub(crate) const MEMORY_MB: u64 = 40;
pub(crate) const MAX_FDS: u64 = 700;

/// Reaching this means a hang.
const LONG: time::Duration = time::Duration::from_secs(40);

/// The time of a whole test.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(300);

/// Held by the test that runs: crowds are played one at a time.
static ALONE: sync::Mutex<()> = sync::Mutex::new(());

/// A process, and the most descriptors that it had.
struct Vm {
    options: process::GatewayOptions,
    process: cell::RefCell<process::Gateway>,
    most_descriptors: cell::Cell<usize>,
}

impl Vm {
    fn count_descriptors(&self) {
        let open = self.process.borrow().open_descriptors();
        self.most_descriptors
            .set(self.most_descriptors.get().max(open));
    }
}

pub(crate) struct Scene {
    store: store::Store,
    backends: Vec<backend::Backend>,
    dir: tempfile::TempDir,
    vms: Vec<rc::Rc<Vm>>,
}

/// Runs a test with one process.
pub(crate) fn run(test: impl AsyncFnOnce(Scene)) {
    run_with(1, test);
}

/// Runs a test with processes of which only the last one reaches the backend servers.
pub(crate) fn run_with(vms: usize, test: impl AsyncFnOnce(Scene)) {
    // A failed test leaves nothing behind that concerns the next one.
    let _alone = ALONE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async {
        let scene = Scene::start(vms).await;
        let ended = tokio::time::timeout(TEST_TIMEOUT, test(scene)).await;
        ended.expect("the test ends");
    });
}

impl Scene {
    async fn start(vms: usize) -> Self {
        let store = store::Store::start();
        store.write("op/config", &configuration());
        let log: rc::Rc<cell::RefCell<backend::Log>> = rc::Rc::default();
        let work = time::Duration::from_millis(2);
        let start =
            |n: usize| backend::Backend::start(&format!("i-{n}"), "svc", "az-a", work, log.clone());
        let backends: Vec<_> = (0..6).map(start).collect();
        backends.iter().for_each(|b| b.register(&store, "ready"));
        let mut scene = Self {
            store,
            backends,
            dir: tempfile::tempdir().unwrap(),
            vms: Vec::new(),
        };
        for n in 0..vms {
            scene.start_vm(n, n + 1 < vms);
        }
        for vm in &scene.vms {
            scene.serve_one(vm.options.ports.front).await;
        }
        scene
    }

    fn start_vm(&mut self, n: usize, is_cut_off: bool) {
        let options = process::GatewayOptions {
            program: path::PathBuf::from(env!("CARGO_BIN_EXE_bulrushwind-gateway")),
            dir: self.dir.path().to_owned(),
            node: format!("vm-{n}"),
            zone: "az-a",
            ports: process::Ports::free(),
            store: self.store.addr,
            seeds: Vec::new(),
            bootstrap: false,
            contended: false,
            source_ip: net::Ipv4Addr::new(127, 0, 3, n as u8 + 1),
            max_fds: Some(MAX_FDS),
            memory_mb: Some(MEMORY_MB),
        };
        if is_cut_off {
            let sources = self.backends.iter().map(|b| &b.sources);
            sources.for_each(|s| s.borrow_mut().cut(options.source_ip, cut::Cut::Hangs));
        }
        let vm = rc::Rc::new(Vm {
            process: cell::RefCell::new(options.spawn().unwrap()),
            options,
            most_descriptors: cell::Cell::new(0),
        });
        let counted = rc::Rc::downgrade(&vm);
        task::spawn_local(async move {
            while let Some(vm) = counted.upgrade() {
                vm.count_descriptors();
                drop(vm);
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        });
        self.vms.push(vm);
    }

    /// The addresses of the first process.
    pub(crate) fn ports(&self) -> process::Ports {
        self.vms[0].options.ports
    }

    /// Plays a crowd in each way, and checks the bounds after each.
    pub(crate) async fn play(&self, crowd: &Crowd) {
        let open = crowd.send().await;
        self.check("held", true).await;
        drop(open);
        self.check("held, then closed", false).await;
        crowd.send_and_close().await;
        self.check("closed at once", false).await;
        let wave = Crowd {
            size: crowd.size / 2,
            ..crowd.clone()
        };
        let mut last = None;
        for _ in 0..3 {
            // The wave before is open until this one has come.
            last = Some(wave.send().await);
        }
        self.check("in waves", true).await;
        drop(last);
        self.check("after the waves", false).await;
    }

    /// Checks the bounds and that an ordinary request is answered. While the crowd is there, callers may
    /// have to come back.
    async fn check(&self, when: &str, is_crowded: bool) {
        let begun = time::Instant::now();
        for vm in &self.vms {
            self.serve_one(vm.options.ports.front).await;
            vm.count_descriptors();
            let mut process = vm.process.borrow_mut();
            assert!(!process.has_ended(), "{when}: the process has ended");
            let peak = process.peak_memory();
            let text = format!(
                "{when}, crowded: {is_crowded}: {} KiB, {} descriptors, answered after {:?}",
                peak >> 10,
                vm.most_descriptors.get(),
                begun.elapsed()
            );
            println!("{} {text}", vm.options.node);
            assert!(peak <= MEMORY_MB * 1_000_000, "{text}");
            assert!(vm.most_descriptors.get() <= MAX_FDS as usize, "{text}");
        }
    }

    /// Sends an ordinary request until it is answered.
    async fn serve_one(&self, to: net::SocketAddr) {
        let begun = time::Instant::now();
        while get(to).await != Some(200) {
            assert!(
                begun.elapsed() < LONG,
                "an ordinary request is never answered"
            );
            tokio::time::sleep(time::Duration::from_millis(30)).await;
        }
    }
}

/// The status of the answer to an ordinary request; `None` without one.
async fn get(to: net::SocketAddr) -> Option<u16> {
    let text = format!(
        "GET /read/a HTTP/1.1\r\nHost: example.test\r\n{}: ordinary\r\n{}: 4000\r\n\r\n",
        FIELDS.id, FIELDS.timeout_ms
    );
    let mut payload = upstream::Payload::Whole(bytes::Bytes::new());
    let tag = upstream::Tag {
        field: FIELDS.id,
        id: b"ordinary",
        to_head: false,
    };
    let request = async {
        let mut wire = socket::Wire::connect(to, LONG).await.ok()?;
        let received = upstream::exchange(&mut wire, text.as_bytes(), &mut payload, tag).await;
        Some(received.ok()?.head.status)
    };
    tokio::time::timeout(time::Duration::from_secs(6), request)
        .await
        .ok()?
}

fn configuration() -> serde_json::Value {
    let route = |prefix: &str, kind: &str| {
        json!({
            "name": prefix, "host": "example.test", "prefix": prefix, "kind": kind, "timeout_s": 5.0,
            "target_latency_s": 1.0, "priority": 1, "service": "svc", "attempts": 2, "sticky": true,
        })
    };
    json!({
        "version": "00000001", "routes": [route("/read/", "safe"), route("/book/", "unsafe")],
        "services": [{"name": "svc", "health_path": "/health", "max_conns": 330, "cold_s": 1.0, "cold_per_s": 3.0}],
        "limits": {"header_bytes": 16384, "body_bytes": 64 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
    })
}
