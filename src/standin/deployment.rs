//! A store and interconnected entry VMs, each in a separate process, for tests and benchmarks.
//!
//! Each entry VM has its own loopback address, so that all ports are known in advance. The second
//! and third byte of the address derive from the ID of the process that starts the deployment, so
//! that concurrent runs do not share addresses.

use std::io;
use std::net;
use std::path;
use std::time;

use super::{control, operator, processes};
use crate::coordination::{store, store_http};
use crate::protocol::operators;
use crate::{config, id};

/// A public test secret that entry VMs share.
const SECRET: &str = "0303030303030303030303030303030303030303030303030303030303030303";

const CALLERS_PORT: u16 = 7301;
const OPERATORS_PORT: u16 = 7302;
const PEERS_PORT: u16 = 7303;

/// The processes of a store and of entry VMs.
pub struct Deployment {
    /// The store's process.
    pub store: processes::Process,
    entries: Vec<Option<processes::Process>>,
    per_az: usize,
    series: u8,
    program: path::PathBuf,
    dir: path::PathBuf,
}

impl Deployment {
    /// Starts the store and lists `azs` times `per_az` entry VMs in it without starting them.
    /// `series` separates the ports of one process's deployments; `dir` holds the configurations.
    pub fn new(
        standin: &path::Path,
        entry: &path::Path,
        dir: &path::Path,
        series: u8,
        (azs, per_az): (usize, usize),
    ) -> io::Result<Self> {
        let store = processes::Process::start(standin, ["store"])?;
        let deployment = Self {
            store,
            entries: (0..azs * per_az).map(|_| None).collect(),
            per_az,
            series,
            program: entry.to_owned(),
            dir: dir.to_owned(),
        };
        for i in 0..deployment.entries.len() {
            let vm = deployment.row(i);
            control::send(deployment.store.addr(), &control::Control::PutVm { vm })?;
        }
        Ok(deployment)
    }

    /// Starts all entry VMs.
    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.entries.len()).try_for_each(|i| self.start(i))
    }

    /// Starts one entry VM without stored state.
    pub fn start(&mut self, i: usize) -> io::Result<()> {
        let row = self.row(i);
        let cfg = config::Config {
            vm: row.id.clone(),
            az: row.az,
            listen: self.addr(i, CALLERS_PORT),
            operators_listen: self.addr(i, OPERATORS_PORT),
            peers_listen: self.addr(i, PEERS_PORT),
            store: self.store.addr(),
            root_keys: vec![operator::root().public()],
            workers: 1,
            peer_secrets: vec![SECRET.into()],
            peer_seeds: vec![self.addr(0, PEERS_PORT), self.addr(self.per_az, PEERS_PORT)],
            ..config::Config::default()
        };
        let file = self.dir.join(format!("{}-{}.toml", self.series, row.id));
        std::fs::write(&file, toml::to_string(&cfg).map_err(io::Error::other)?)?;
        let args = ["--config".as_ref(), file.as_os_str()];
        self.entries[i] = Some(processes::Process::start(&self.program, args)?);
        Ok(())
    }

    /// Kills one entry VM's process.
    pub fn kill(&mut self, i: usize) {
        self.entries[i] = None;
    }

    /// A client of the store.
    pub fn store_client(&self) -> store_http::Client {
        store_http::Client::new(self.store.addr())
    }

    /// Replaces the store's active faults.
    pub fn set_faults(&self, down: bool, delay_ms: u64, lose_write_replies: u32) -> io::Result<()> {
        let faults = control::Control::Faults {
            down,
            delay_ms,
            lose_write_replies,
        };
        control::send(self.store.addr(), &faults)
    }

    /// Reads an entry VM's status from its operators' interface.
    pub fn status(&self, i: usize) -> io::Result<operators::Status> {
        let url = format!("http://{}/status", self.addr(i, OPERATORS_PORT));
        let answer = attohttpc::get(url)
            .timeout(time::Duration::from_secs(5))
            .send()
            .and_then(attohttpc::Response::text)
            .map_err(io::Error::other)?;
        serde_json::from_str(&answer).map_err(io::Error::other)
    }

    /// The version of a team's settings in force on an entry VM, if it responds.
    pub fn version(&self, i: usize, team: &str) -> Option<u64> {
        let status = self.status(i).ok()?;
        status.settings.get(team).copied()
    }

    fn row(&self, i: usize) -> store::Vm {
        store::Vm {
            id: id::VmId::from(format!("entry-{i:02}").as_str()),
            az: format!("az-{}", i / self.per_az).as_str().into(),
            addr: self.addr(i, CALLERS_PORT),
            role: store::VmRole::Entry {
                peers: self.addr(i, PEERS_PORT),
            },
            state: store::VmState::Live,
        }
    }

    fn addr(&self, i: usize, port: u16) -> net::SocketAddr {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let last = u8::try_from(i + 1).expect("a deployment has at most 255 entry VMs");
        let port = port + 10 * u16::from(self.series);
        (net::Ipv4Addr::new(127, 64 | (high & 63), low, last), port).into()
    }
}
