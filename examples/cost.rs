//! Measures the CPU time, memory and loopback traffic of entry processes, idle and under load.
//!
//! Starts a stand-in store, backend servers and entry processes, leaves them idle, then sends
//! requests at a steady rate. `/proc` is read before and after each phase. Traffic is that of the
//! whole loopback device divided by the number of entry processes, so no other program may use it.

use std::fs;
use std::net;
use std::path;
use std::thread;
use std::time;

use bulrushwind::coordination::store;
use bulrushwind::standin::{caller, control, operator, processes};
use bulrushwind::{config, settings};
use clap::Parser;

/// Clock ticks per second of CPU time in `/proc`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

/// The shared secret by which the entry processes authenticate each other.
const SECRET: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Measures the resource usage of entry processes.
#[derive(Parser)]
struct Cli {
    /// Duration of the loaded phase, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Duration of the idle phase, in seconds.
    #[arg(long, default_value_t = 20)]
    idle: u64,
    /// Requests per second sent to each entry process in the loaded phase.
    #[arg(long, default_value_t = 200)]
    rate: u64,
    /// Number of entry processes, spread over the availability zones of one region.
    #[arg(long, default_value_t = 4)]
    entries: usize,
    /// Number of backend servers in each availability zone.
    #[arg(long, default_value_t = 4)]
    backends: usize,
    /// Processing time of a request, in milliseconds.
    #[arg(long, default_value_t = 5)]
    work_ms: u64,
    /// Stop half of the backend servers after this many seconds of load.
    #[arg(long)]
    fail_after: Option<u64>,
}

struct Running {
    _store: processes::Process,
    backends: Vec<processes::Process>,
    entries: Vec<processes::Process>,
    _dir: tempfile::TempDir,
}

/// Resource usage of one entry process so far.
#[derive(Clone, Copy)]
struct Usage {
    cpu_s: f64,
    resident_bytes: f64,
}

fn main() {
    let cli = Cli::parse();
    let mut running = start(&cli);
    thread::sleep(time::Duration::from_secs(3));
    println!("| phase | core share of one process, mean / max | memory, max | bytes/s a process |");
    println!("|---|---|---|---|");
    measure_phase(&cli, "idle", &running, || {
        thread::sleep(time::Duration::from_secs(cli.idle));
    });
    let addrs: Vec<_> = running
        .entries
        .iter()
        .map(processes::Process::addr)
        .collect();
    let pids: Vec<_> = running.entries.iter().map(processes::Process::id).collect();
    let before = (read_usage(&pids), loopback_bytes());
    let started_at = time::Instant::now();
    let answered = send_load(&cli, &addrs, &mut running.backends);
    print_row(&cli, "loaded", &pids, &before, started_at.elapsed());
    println!(
        "\nanswered with 200: {answered} of {}",
        cli.seconds * cli.rate * addrs.len() as u64
    );
}

fn measure_phase(cli: &Cli, name: &str, running: &Running, work: impl FnOnce()) {
    let pids: Vec<_> = running.entries.iter().map(processes::Process::id).collect();
    let before = (read_usage(&pids), loopback_bytes());
    let started_at = time::Instant::now();
    work();
    print_row(cli, name, &pids, &before, started_at.elapsed());
}

fn print_row(
    cli: &Cli,
    name: &str,
    pids: &[u32],
    before: &(Vec<Usage>, f64),
    took: time::Duration,
) {
    let (after, bytes) = (read_usage(pids), loopback_bytes() - before.1);
    let took = took.as_secs_f64();
    let shares: Vec<f64> = after
        .iter()
        .zip(&before.0)
        .map(|(after, before)| (after.cpu_s - before.cpu_s) / took * 100.0)
        .collect();
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let max = shares.iter().copied().fold(0.0, f64::max);
    let memory = after
        .iter()
        .map(|usage| usage.resident_bytes)
        .fold(0.0, f64::max);
    println!(
        "| {name} | {mean:.2}% / {max:.2}% | {:.1} MB | {:.0} |",
        memory / 1e6,
        bytes / took / cli.entries as f64
    );
}

fn start(cli: &Cli) -> Running {
    let bin = |name: &str| {
        let exe = std::env::current_exe().expect("this program has a path");
        let dir = exe.parent().and_then(path::Path::parent);
        dir.expect("the binaries are in the parent of the examples' directory")
            .join(name)
    };
    let dir = tempfile::tempdir().expect("a temporary directory can be created");
    let store = processes::Process::start(&bin("bulrushwind-standin"), ["store"])
        .expect("the stand-in store starts");
    let root = path::Path::new("examples/cooperative");
    let settings = settings::Settings::read(root).expect("the example's settings are valid");
    processes::put_settings(store.addr(), &settings).expect("the store accepts the settings");
    let azs = ["ub-a", "ub-b"];
    let mut backends = Vec::new();
    for n in 0..cli.backends * azs.len() {
        let work = cli.work_ms.to_string();
        let args = ["backend", "--work-ms", &work];
        let backend = processes::Process::start(&bin("bulrushwind-standin"), args)
            .expect("a backend server starts");
        let role = store::VmRole::Backend {
            service: "availability".into(),
        };
        put_vm(
            store.addr(),
            &format!("b{n}"),
            azs[n % 2],
            backend.addr(),
            role,
        );
        backends.push(backend);
    }
    let mut entries = Vec::new();
    for n in 0..cli.entries {
        let octet = u8::try_from(n + 1).expect("at most 255 entry processes");
        let cfg = config::Config {
            vm: format!("e{n}").as_str().into(),
            az: azs[n % 2].into(),
            store: store.addr(),
            root_keys: vec![operator::root().public()],
            peer_secrets: vec![SECRET.into()],
            operators_listen: net::SocketAddr::from(([127, 60, 0, octet], 7103)),
            peers_listen: net::SocketAddr::from(([127, 60, 0, octet], 7102)),
            listen: net::SocketAddr::from(([127, 60, 0, octet], 7101)),
            ..config::Config::default()
        };
        let file = dir.path().join(format!("e{n}.toml"));
        let text = toml::to_string(&cfg).expect("the configuration can be serialised as TOML");
        fs::write(&file, text).expect("the configuration file can be written");
        let args = ["--config".as_ref(), file.as_os_str()];
        let entry = processes::Process::start(&bin("bulrushwind-entry"), args)
            .expect("an entry process starts");
        let role = store::VmRole::Entry {
            peers: cfg.peers_listen,
        };
        put_vm(
            store.addr(),
            &format!("e{n}"),
            azs[n % 2],
            entry.addr(),
            role,
        );
        eprintln!("entry {n} answers operators on {}", cfg.operators_listen);
        entries.push(entry);
    }
    Running {
        _store: store,
        backends,
        entries,
        _dir: dir,
    }
}

fn put_vm(at: net::SocketAddr, name: &str, az: &str, addr: net::SocketAddr, role: store::VmRole) {
    let vm = store::Vm {
        id: name.into(),
        az: az.into(),
        addr,
        role,
        state: store::VmState::Live,
    };
    control::send(at, &control::Control::PutVm { vm }).expect("the stand-in store accepts the VM");
}

/// Sends requests at a steady rate with a few threads for each entry process.
fn send_load(cli: &Cli, addrs: &[net::SocketAddr], backends: &mut [processes::Process]) -> u64 {
    const THREADS: u64 = 8;
    let started_at = time::Instant::now();
    let until = started_at + time::Duration::from_secs(cli.seconds);
    let interval = time::Duration::from_secs_f64(THREADS as f64 / cli.rate as f64);
    thread::scope(|scope| {
        let mut threads = Vec::new();
        for addr in addrs {
            for n in 0..THREADS {
                threads.push(scope.spawn(move || {
                    let caller = caller::Caller::default();
                    let mut next = started_at + interval.mul_f64(n as f64 / THREADS as f64);
                    let mut answered = 0;
                    while next < until {
                        thread::sleep(next.saturating_duration_since(time::Instant::now()));
                        let request = caller::Request {
                            path: "/availability/bays",
                            ..caller::Request::default()
                        };
                        let response = caller.send(*addr, &request);
                        answered +=
                            u64::from(response.is_ok_and(|response| response.status == 200));
                        next += interval;
                    }
                    answered
                }));
            }
        }
        if let Some(after) = cli.fail_after {
            thread::sleep(time::Duration::from_secs(after));
            let half = backends.len() / 2;
            backends[..half]
                .iter_mut()
                .for_each(processes::Process::kill);
        }
        threads.into_iter().map(|t| t.join().unwrap_or(0)).sum()
    })
}

fn read_usage(pids: &[u32]) -> Vec<Usage> {
    let read_process = |pid: &u32| {
        let read = |name| fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let stat = read("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let ticks = |n: usize| {
            fields
                .get(n)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let pages = read("statm")
            .split(' ')
            .nth(1)
            .and_then(|f| f.parse::<f64>().ok());
        Usage {
            // The text after the process name starts with a space: index 12 is utime, 13 stime.
            cpu_s: (ticks(12) + ticks(13)) / CLOCK_TICKS_PER_S,
            resident_bytes: pages.unwrap_or(0.0) * PAGE_BYTES,
        }
    };
    pids.iter().map(read_process).collect()
}

/// Bytes received on the loopback device, so that each byte counts once.
fn loopback_bytes() -> f64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let first = line.and_then(|line| line.split_whitespace().next());
    first.and_then(|f| f.parse().ok()).unwrap_or(0.0)
}
