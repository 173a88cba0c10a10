//! The example's processes: a store, entry VMs and backend servers in two regions.

use std::collections;
use std::io;
use std::net;
use std::path;

use bulrushwind::coordination::store;
use bulrushwind::standin::{control, operator, processes};
use bulrushwind::{config, settings};

/// Time for which a look-up is valid. It is short so that a planned stop fits into the example.
pub(crate) const LOOKUP_TTL_MS: u64 = 500;

/// Time for which a ticket accepts new idempotency keys.
pub(crate) const TICKET_TTL_MS: u64 = 4_000;

/// All running processes.
pub(crate) struct Deployment {
    pub(crate) store: processes::Process,
    settings: settings::Settings,
    pub(crate) entries: collections::BTreeMap<String, processes::Process>,
    pub(crate) backends: collections::BTreeMap<String, processes::Process>,
    rows: collections::BTreeMap<String, store::Vm>,
    program: path::PathBuf,
    dir: tempfile::TempDir,
}

impl Deployment {
    /// Starts the store and writes the example's settings to it.
    pub(crate) fn start() -> io::Result<Self> {
        let program = std::env::current_exe()?;
        let store = processes::Process::start(&program, ["standin", "store"])?;
        let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/cooperative");
        let settings = settings::Settings::read(&root).map_err(io::Error::other)?;
        processes::put_settings(store.addr(), &settings)?;
        Ok(Self {
            store,
            settings,
            entries: collections::BTreeMap::new(),
            backends: collections::BTreeMap::new(),
            rows: collections::BTreeMap::new(),
            program,
            dir: tempfile::tempdir()?,
        })
    }

    /// Starts a backend server and adds it to the VM list.
    pub(crate) fn start_backend(
        &mut self,
        az: &str,
        service: &str,
        work_ms: u64,
    ) -> io::Result<String> {
        let name = format!("{service}-{}", self.rows.len());
        let journal = self.dir.path().join(format!("{name}.runs"));
        let work_ms = work_ms.to_string();
        let args = ["standin", "backend", "--work-ms", &work_ms, "--journal"];
        let args = args
            .iter()
            .map(std::ffi::OsStr::new)
            .chain([journal.as_os_str()]);
        let process = processes::Process::start(&self.program, args)?;
        self.put_vm(store::Vm {
            id: name.as_str().into(),
            az: az.into(),
            addr: process.addr(),
            role: store::VmRole::Backend {
                service: service.into(),
            },
            state: store::VmState::Live,
        })?;
        self.backends.insert(name.clone(), process);
        Ok(name)
    }

    /// Starts an entry VM and adds it to the VM list.
    pub(crate) fn start_entry(&mut self, az: &str) -> io::Result<String> {
        let name = format!("entry-{}", self.rows.len());
        let unused_addr: net::SocketAddr = ([127, 0, 0, 1], 0).into();
        let cfg = config::Config {
            vm: name.as_str().into(),
            az: az.into(),
            store: self.store.addr(),
            root_keys: vec![operator::root().public()],
            workers: 2,
            lookup_ttl_ms: LOOKUP_TTL_MS,
            ticket_ttl_ms: TICKET_TTL_MS,
            ..config::Config::default()
        };
        let file = self.dir.path().join(format!("{name}.toml"));
        std::fs::write(&file, toml::to_string(&cfg).map_err(io::Error::other)?)?;
        let args = ["entry".as_ref(), file.as_os_str()];
        let process = processes::Process::start(&self.program, args)?;
        self.put_vm(store::Vm {
            id: name.as_str().into(),
            az: az.into(),
            addr: process.addr(),
            role: store::VmRole::Entry { peers: unused_addr },
            state: store::VmState::Live,
        })?;
        self.entries.insert(name.clone(), process);
        Ok(name)
    }

    fn put_vm(&mut self, vm: store::Vm) -> io::Result<()> {
        self.rows.insert(vm.id.to_string(), vm.clone());
        control::send(self.store.addr(), &control::Control::PutVm { vm })
    }

    /// Marks a VM as leaving in the platform's VM list.
    pub(crate) fn mark_leaving(&mut self, name: &str) -> io::Result<()> {
        let Some(mut vm) = self.rows.get(name).cloned() else {
            return Ok(());
        };
        vm.state = store::VmState::Leaving;
        self.put_vm(vm)
    }

    /// Starts draining a VM through the settings.
    pub(crate) fn drain(&mut self, name: &str) -> io::Result<()> {
        let drain = settings::Drain {
            target: settings::DrainTarget::Vm(name.into()),
            start_s: 1,
            ramp_s: 1,
            end_s: None,
        };
        let places = self.settings.teams.get_mut(settings::PLACES_TEAM);
        places.ok_or(io::ErrorKind::NotFound)?.drains.push(drain);
        processes::put_settings(self.store.addr(), &self.settings)
    }

    /// Removes a VM from the platform's VM list.
    pub(crate) fn remove_vm(&mut self, name: &str) -> io::Result<()> {
        let vm = name.into();
        control::send(self.store.addr(), &control::Control::RemoveVm { vm })
    }

    /// Starts or ends an outage of the store.
    pub(crate) fn set_outage(&self, down: bool) -> io::Result<()> {
        let control = control::Control::Faults {
            down,
            delay_ms: 0,
            lose_write_replies: 0,
        };
        control::send(self.store.addr(), &control)
    }

    /// Number of runs of each idempotency key on all backend servers, including stopped ones.
    pub(crate) fn run_counts(&self) -> io::Result<collections::HashMap<String, u32>> {
        let mut runs = collections::HashMap::new();
        for file in std::fs::read_dir(self.dir.path())? {
            let path = file?.path();
            if path.extension().is_some_and(|ext| ext == "runs") {
                for key in std::fs::read_to_string(path)?.lines() {
                    *runs.entry(key.to_owned()).or_default() += 1;
                }
            }
        }
        Ok(runs)
    }
}
