//! One machine of the system: the program of the deploy file as a process of its own.

use std::fs;
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Wire;

/// The signals that are sent.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Term = 15,
    Stop = 19,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

/// Signals a process that this one has started and not yet waited for.
pub fn signal(pid: u32, which: Signal) {
    // SAFETY: `kill` takes no pointers.
    unsafe { kill(pid as i32, which as i32) };
}

/// Lets a process end with the one that starts it.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    let set = || {
        // SAFETY: the call takes no pointers and is allowed between fork and exec.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
        Ok(())
    };
    // SAFETY: `set` makes one system call and allocates nothing.
    unsafe { command.pre_exec(set) }
}

/// The metrics port that the deploy file names.
const METRICS_PORT: u16 = 9464;

/// The first of the ports of a machine. All are below those that the system gives to connections.
pub const FIRST_PORT: u16 = 21_300;

/// A network of loopback addresses that no other process of this kind uses.
pub struct Network {
    octets: [u8; 2],
    /// Held until the end, so that no other process chooses the network.
    _claim: TcpListener,
}

impl Network {
    pub fn claim() -> Option<Self> {
        (0..200u32).find_map(|n| {
            let [_, _, a, b] = (std::process::id().wrapping_mul(31).wrapping_add(n)).to_be_bytes();
            let octets = [a % 100 + 100, b];
            let claim = TcpListener::bind((host(octets, 254), FIRST_PORT - 1)).ok()?;
            Some(Self {
                octets,
                _claim: claim,
            })
        })
    }

    pub fn host(&self, host_number: u8) -> Ipv4Addr {
        host(self.octets, host_number)
    }

    /// A listener for a stand-in, on an address of its own.
    pub fn listen(&self, host_number: u8) -> io::Result<TcpListener> {
        TcpListener::bind((self.host(host_number), FIRST_PORT))
    }
}

fn host([a, b]: [u8; 2], host_number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, a, b, host_number)
}

/// Settings of a machine.
pub struct Options {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Zones with their regions.
    pub zones: Vec<(String, String)>,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub bounds: String,
    pub contracts: String,
    pub limits: String,
}

/// The address for other machines.
pub fn control_addr(ip: Ipv4Addr) -> SocketAddr {
    (ip, FIRST_PORT + 3).into()
}

impl Options {
    fn settings(&self) -> String {
        let region = self.zones.iter().find(|(zone, _)| *zone == self.zone);
        let region = region.map_or("", |(_, region)| region);
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\""))
            .collect();
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let (ip, port) = (self.ip, FIRST_PORT);
        let (front, ready, directory) = (port, port + 1, port + 2);
        format!(
            "node = \"{name}\"\nrole = \"entry\"\nclass = \"front\"\nserves = [\"front\",\"directory\",\"control\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\nport_range = [{from},{to}]\n\
             seeds = [{seeds}]\nbootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\n\
             entry = \"directory\"\nbeat_s = 1.5\ncontracts = [{contracts}]\nbounds = [{bounds}]\n\
             [zones]\n{zones}\n[listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             control = \"{control}\"\ndirectory = \"{ip}:{directory}\"\n[limits]\n{limits}\n\
             [tolerate]\nmachines = 1\nzones = 1\nregions = 1\n\
             [platform]\naddr = \"{store}\"\nform = \"kv\"\nwrites_per_s = 1200\nreads_per_s = 6000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_min_s = 1\n",
            name = self.name,
            zone = self.zone,
            from = port + 10,
            to = port + 20,
            seeds = seeds.join(","),
            contracts = self.contracts,
            bounds = self.bounds,
            zones = zones.join("\n"),
            control = control_addr(ip),
            limits = self.limits,
            store = self.store,
        )
    }
}

/// A running machine. Its process is killed when this is dropped.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
}

impl Machine {
    /// Starts the process with the command of the deploy file, in the repository's root.
    pub fn start(options: &Options, dir: &Path) -> io::Result<Self> {
        let settings = dir.join(format!("{}.toml", options.name));
        fs::write(&settings, options.settings())?;
        let log = dir.join(format!("{}.log", options.name));
        let child = end_with_parent(&mut Command::new("target/release/bulrushwind-gateway"))
            .args(["--metrics-port", &METRICS_PORT.to_string()])
            .env("BULRUSHWIND_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(fs::File::create(&log)?)
            .stderr(Stdio::inherit())
            .spawn()?;
        Ok(Self {
            name: options.name.clone(),
            ip: options.ip,
            child,
        })
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, FIRST_PORT).into()
    }

    pub fn directory(&self) -> SocketAddr {
        (self.ip, FIRST_PORT + 2).into()
    }

    pub fn signal(&self, which: Signal) {
        signal(self.child.id(), which);
    }

    /// The status that `/ready` answers; 0 if there is no answer.
    pub fn ready_status(&self) -> u16 {
        get((self.ip, FIRST_PORT + 1).into(), "/ready").map_or(0, |(status, _)| status)
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, longest: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < longest {
            if self.ready_status() == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        // Both fail only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks an address of the system itself, which closes the connection.
pub fn get(addr: SocketAddr, target: &str) -> io::Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut wire = Wire::new(stream);
    wire.send(
        format!("GET {target} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = String::from_utf8_lossy(&wire.buf).into_owned();
    wire.stream.read_to_string(&mut body)?;
    Ok((head.status(), body))
}
