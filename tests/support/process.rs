//! Starts and signals a gateway process.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;

/// Listen addresses of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ports {
    pub(crate) front: net::SocketAddr,
    pub(crate) ready: net::SocketAddr,
    pub(crate) directory: net::SocketAddr,
    pub(crate) control: net::SocketAddr,
    pub(crate) metrics: net::SocketAddr,
}

impl Ports {
    /// Picks an address with five ports that nothing else binds, also while the process is down.
    pub(crate) fn free() -> Self {
        let (ip, first) = super::addrs::for_vm(5);
        let addr = |n: u16| net::SocketAddr::from((ip, first + n));
        Self {
            front: addr(0),
            ready: addr(1),
            directory: addr(2),
            control: addr(3),
            metrics: addr(4),
        }
    }
}

/// The region of each availability zone.
const REGIONS: [(&str, &str); 3] = [("az-a", "north"), ("az-b", "north"), ("az-c", "south")];

/// The region of an availability zone.
fn region_of(zone: &str) -> &'static str {
    let found = REGIONS.iter().find(|(az, _)| *az == zone);
    found.map_or("", |(_, region)| region)
}

/// Settings of a process to start.
#[derive(Clone, Debug)]
pub(crate) struct GatewayOptions {
    pub(crate) program: path::PathBuf,
    pub(crate) dir: path::PathBuf,
    pub(crate) node: String,
    pub(crate) zone: &'static str,
    pub(crate) ports: Ports,
    pub(crate) store: net::SocketAddr,
    pub(crate) seeds: Vec<net::SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub(crate) bootstrap: bool,
    /// Whether callers are expected to ask for more than there is capacity for.
    pub(crate) contended: bool,
    /// Source address of connections to backend servers.
    pub(crate) source_ip: net::Ipv4Addr,
    /// The limit of file descriptors that the settings name.
    pub(crate) max_fds: Option<u64>,
    /// The limit of memory that the settings name, in MB.
    pub(crate) memory_mb: Option<u64>,
}

impl GatewayOptions {
    pub(crate) fn region(&self) -> &'static str {
        region_of(self.zone)
    }

    /// The settings file as the platform writes it.
    pub(crate) fn settings(&self) -> String {
        let Ports {
            front,
            ready,
            directory,
            control,
            metrics,
        } = self.ports;
        let zones: Vec<String> = REGIONS
            .iter()
            .map(|(az, region)| format!("{az} = \"{region}\""))
            .collect();
        let limit = |name: &str, value: Option<u64>| match value {
            Some(n) => format!("{name} = {n}\n"),
            None => String::new(),
        };
        let max_fds = limit("max_fds", self.max_fds);
        let limits = max_fds + &limit("memory_mb", self.memory_mb);
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        format!(
            r#"node = "{node}"
role = "entry"
class = "front"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{metrics},{metrics}]
seeds = [{seeds}]
bootstrap = {bootstrap}
contracts = [{contracts}]
bounds = ["grace_s=6","budget_ratio=0.2","budget_extra=56","budget_window_s=10","ttl_max_s=5","closed=false"]
[zones]
{zones}
[listen]
front = "{front}"
ready = "{ready}"
directory = "{directory}"
control = "{control}"
[platform]
addr = "{store}"
form = "kv"
[limits]
{limits}
"#,
            node = self.node,
            ip = front.ip(),
            zone = self.zone,
            region = self.region(),
            zones = zones.join("\n"),
            bootstrap = self.bootstrap,
            contracts = if self.contended { "\"pressure\"" } else { "" },
            metrics = metrics.port(),
            seeds = seeds.join(","),
            store = self.store,
        )
    }

    /// Starts the process with its log in `<node>.log`.
    pub(crate) fn spawn(&self) -> io::Result<Gateway> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", self.node)))?;
        self.spawn_to(log.into())
    }

    /// Starts the process with its log sent to `lines`.
    pub(crate) fn spawn_to(&self, lines: process::Stdio) -> io::Result<Gateway> {
        let settings = self.dir.join(format!("{}.toml", self.node));
        fs::write(&settings, self.settings())?;
        let child = process::Command::new(&self.program)
            .env("BULRUSHWIND_SETTINGS", &settings)
            .args(["--source-ip", &self.source_ip.to_string()])
            .stdin(process::Stdio::null())
            .stdout(lines)
            .spawn()?;
        Ok(Gateway { child })
    }
}

/// A running process, killed on drop.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) child: process::Child,
}

impl Gateway {
    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        let pid = rustix::process::Pid::from_raw(id).unwrap();
        // Fails if the process has already exited, which is fine.
        let _ = rustix::process::kill_process(pid, signal);
    }

    /// Leaves the process as many free file descriptors as this.
    pub(crate) fn limit_descriptors(&self, free: usize) {
        self.set_descriptor_limit((self.open_descriptors() + free) as u64);
    }

    /// Sets the process's limit of file descriptors.
    pub(crate) fn set_descriptor_limit(&self, limit: u64) {
        let pid = rustix::process::Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        let limit = Some(limit);
        let limit = rustix::process::Rlimit {
            current: limit,
            maximum: limit,
        };
        rustix::process::prlimit(pid, rustix::process::Resource::Nofile, limit).unwrap();
    }

    /// The most memory that the process has had, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.unwrap().trim().trim_end_matches(" kB");
        kib.parse::<u64>().unwrap() << 10
    }

    /// Number of the process's open file descriptors.
    pub(crate) fn open_descriptors(&self) -> usize {
        let id = self.child.id();
        fs::read_dir(format!("/proc/{id}/fd")).unwrap().count()
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
