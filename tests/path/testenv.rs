//! A small deployment of separate processes for the tests of the complete path.

use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use bulrushwind::coordination::store;
use bulrushwind::standin::{caller, control, operator, processes};
use bulrushwind::{config, settings};

/// Timeout of a condition, ample even on a slow machine.
pub(crate) const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// The default availability zone.
pub(crate) const AZ: &str = "ub-a";

/// A store process and the directory for configuration files.
pub(crate) struct TestEnv {
    pub(crate) store: processes::Process,
    dir: tempfile::TempDir,
}

impl TestEnv {
    /// Starts a store with the example settings.
    pub(crate) fn new() -> Self {
        let program = path::Path::new(env!("CARGO_BIN_EXE_bulrushwind-standin"));
        let store = processes::Process::start(program, ["store"]).unwrap();
        let dir = tempfile::tempdir().unwrap();
        let env = Self { store, dir };
        env.change_settings(|_| {});
        env
    }

    /// Writes the example settings with `change` applied to the store.
    pub(crate) fn change_settings(&self, change: impl FnOnce(&mut settings::Settings)) {
        let root = path::Path::new("examples/cooperative");
        let mut settings = settings::Settings::read(root).unwrap();
        change(&mut settings);
        processes::put_settings(self.store.addr(), &settings).unwrap();
    }

    /// Removes a VM from the list.
    pub(crate) fn remove_from_list(&self, name: &str) {
        let vm = name.into();
        control::send(self.store.addr(), &control::Control::RemoveVm { vm }).unwrap();
    }

    /// Starts a backend server of a service.
    pub(crate) fn backend(&self, name: &str, service: &str, args: &[&str]) -> processes::Process {
        let program = path::Path::new(env!("CARGO_BIN_EXE_bulrushwind-standin"));
        let args = ["backend"].iter().chain(args);
        let backend = processes::Process::start(program, args).unwrap();
        self.list_backend(name, service, backend.addr(), store::VmState::Live);
        backend
    }

    /// Adds a backend server to the list of VMs.
    pub(crate) fn list_backend(
        &self,
        name: &str,
        service: &str,
        addr: net::SocketAddr,
        state: store::VmState,
    ) {
        self.list(store::Vm {
            id: name.into(),
            az: AZ.into(),
            addr,
            role: store::VmRole::Backend {
                service: service.into(),
            },
            state,
        });
    }

    /// Adds a VM to the list.
    pub(crate) fn list(&self, vm: store::Vm) {
        control::send(self.store.addr(), &control::Control::PutVm { vm }).unwrap();
    }

    /// Starts an entry VM and waits until it has the settings and the list of VMs.
    pub(crate) fn entry(&self, name: &str) -> processes::Process {
        self.entry_with(name, |_| {})
    }

    /// Starts an entry VM with `change` applied to its configuration.
    pub(crate) fn entry_with(
        &self,
        name: &str,
        change: impl FnOnce(&mut config::Config),
    ) -> processes::Process {
        let any = "127.0.0.1:0".parse().unwrap();
        let (file, cfg) = self.write_config(name, change);
        let program = path::Path::new(env!("CARGO_BIN_EXE_bulrushwind-entry"));
        let args = ["--config".as_ref(), file.as_os_str()];
        let entry = processes::Process::start(program, args).unwrap();
        self.list(store::Vm {
            id: name.into(),
            az: cfg.az,
            addr: entry.addr(),
            role: store::VmRole::Entry { peers: any },
            state: store::VmState::Live,
        });
        let caller = caller::Caller::default();
        wait_for(
            "the entry VM has the settings and is on its own list of VMs",
            || {
                caller
                    .look_up(entry.addr(), "ledger")
                    .is_ok_and(|found| found.entries.iter().any(|e| e.vm.as_str() == name))
            },
        );
        entry
    }

    /// Starts an entry VM that must fail; returns its exit status and standard error.
    pub(crate) fn entry_fails(
        &self,
        name: &str,
        change: impl FnOnce(&mut config::Config),
    ) -> (process::ExitStatus, String) {
        let (file, _) = self.write_config(name, change);
        let output = process::Command::new(env!("CARGO_BIN_EXE_bulrushwind-entry"))
            .arg("--config")
            .arg(file)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status, text)
    }

    fn write_config(
        &self,
        name: &str,
        change: impl FnOnce(&mut config::Config),
    ) -> (path::PathBuf, config::Config) {
        let mut cfg = config::Config {
            vm: name.into(),
            az: AZ.into(),
            store: self.store.addr(),
            root_keys: vec![operator::root().public()],
            workers: 2,
            lookup_ttl_ms: 500,
            ticket_ttl_ms: 60_000,
            ..config::Config::default()
        };
        change(&mut cfg);
        let file = self.dir.path().join(format!("{name}.toml"));
        std::fs::write(&file, toml::to_string(&cfg).unwrap()).unwrap();
        (file, cfg)
    }
}

/// Waits until `condition` holds.
pub(crate) fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            time::Instant::now() < until,
            "timed out while waiting for: {what}"
        );
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// Waits until an entry VM answers requests for `path` through a backend server.
pub(crate) fn wait_answered(entry: net::SocketAddr, path: &str) {
    let caller = caller::Caller::default();
    wait_for("a request is answered", || {
        let request = caller::Request {
            path,
            ..caller::Request::default()
        };
        caller
            .send(entry, &request)
            .is_ok_and(|reply| reply.status == 200)
    });
}
