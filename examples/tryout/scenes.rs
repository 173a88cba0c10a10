//! The sequence of scenes, all under the same steady load.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use super::{deployment, load, report};
use bulrushwind::protocol::outcome;
use bulrushwind::standin::{backend, caller, processes};

/// Duration of one scene.
const SCENE: time::Duration = time::Duration::from_millis(1500);

/// Number of concurrent callers.
const CALLERS: u64 = 16;

/// Time within which an awaited condition must hold.
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time after which a leaving backend server must get no new requests.
const QUIET: time::Duration = time::Duration::from_secs(2);

/// The services, with their processing time per request in milliseconds and their number of
/// backend servers per availability zone. Three of the archive's backend servers leave.
const SERVICES: [(&str, u64, u32); 3] =
    [("availability", 4, 2), ("ledger", 8, 2), ("archive", 15, 4)];

/// The two availability zones, one in each of two regions.
const AZS: [&str; 2] = ["ub-a", "khovd-a"];

/// Runs all scenes and returns the callers' results.
pub(crate) fn play() -> io::Result<report::Report> {
    let mut all = deployment::Deployment::start()?;
    for az in AZS {
        for (service, work_ms, count) in SERVICES {
            for _ in 0..count {
                all.backend(az, service, work_ms)?;
            }
        }
        all.entry(az)?;
        all.entry(az)?;
    }
    let callers = sync::Arc::new(load::Callers::default());
    callers.know(all.entries.values().map(|e| e.addr()).collect());
    wait_ready(&all)?;
    let threads = load::start(&callers, CALLERS);
    let mut report = report::Report::default();

    scene("steady", &callers, &mut report);

    all.outage(true)?;
    scene("the store is out", &callers, &mut report);
    all.outage(false)?;

    crash(&mut all, &mut report)?;
    scene("a backend server crashed", &callers, &mut report);

    leave_by_list(&mut all, &mut report)?;
    scene("a backend server left, by the list", &callers, &mut report);

    leave_by_word(&mut all, &mut report)?;
    scene("a backend server left, by its word", &callers, &mut report);

    leave_by_settings(&mut all, &mut report)?;
    scene("a backend server left, by settings", &callers, &mut report);

    stop_entry(&mut all, &mut report)?;
    scene("an entry VM stopped as planned", &callers, &mut report);

    kill_entry(&mut all, &callers)?;
    scene("an entry VM was killed", &callers, &mut report);

    callers.stop();
    for thread in threads {
        let _ = thread.join();
    }
    report.scene("the end", callers.take());
    report.runs(&all.runs()?);
    Ok(report)
}

/// Sends a booking that crashes the backend server which runs it, then sends it again.
fn crash(all: &mut deployment::Deployment, report: &mut report::Report) -> io::Result<()> {
    let entry = first(&all.entries)?.1.addr();
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry, "ledger")?.ticket.unwrap_or_default();
    let key = format!("{ticket}.crash");
    let ask = caller::Ask {
        method: "POST",
        path: "/ledger/book?crash=1",
        key: Some(&key),
        body: "bay 7",
        ..caller::Ask::default()
    };
    for _ in 0..2 {
        let told = caller.ask(entry, &ask)?;
        if told.outcome != Some(outcome::Outcome::Unknown) {
            report.broke(format!(
                "a booking that crashed its backend server: {told:?}"
            ));
        }
    }
    Ok(())
}

fn first(
    processes: &collections::BTreeMap<String, processes::Process>,
) -> io::Result<(String, &processes::Process)> {
    let (name, process) = processes.iter().next().ok_or(io::ErrorKind::NotFound)?;
    Ok((name.clone(), process))
}

/// The first running backend server of the archive.
fn archive(all: &deployment::Deployment) -> io::Result<(String, net::SocketAddr)> {
    let of_archive = |(name, _): &(&String, &processes::Process)| name.starts_with("archive");
    let found = all.backends.iter().find(of_archive);
    let (name, process) = found.ok_or(io::ErrorKind::NotFound)?;
    Ok((name.clone(), process.addr()))
}

/// A backend server is marked as leaving in the platform's VM list.
fn leave_by_list(all: &mut deployment::Deployment, report: &mut report::Report) -> io::Result<()> {
    let (name, addr) = archive(all)?;
    all.list_leaving(&name)?;
    gone_quiet(all, &name, addr, report)
}

/// A backend server announces that it leaves in its load reports, before the VM list shows it.
fn leave_by_word(all: &mut deployment::Deployment, report: &mut report::Report) -> io::Result<()> {
    let (name, addr) = archive(all)?;
    let behaviour = backend::Behaviour {
        work_ms: 15,
        leaving: true,
        ..backend::Behaviour::default()
    };
    backend::behave(addr, &behaviour)?;
    gone_quiet(all, &name, addr, report)
}

/// An operator drains a backend server through the settings.
fn leave_by_settings(
    all: &mut deployment::Deployment,
    report: &mut report::Report,
) -> io::Result<()> {
    let (name, addr) = archive(all)?;
    all.drain(&name)?;
    gone_quiet(all, &name, addr, report)
}

/// Checks that a leaving backend server gets no new requests, then removes it.
fn gone_quiet(
    all: &mut deployment::Deployment,
    name: &str,
    addr: net::SocketAddr,
    report: &mut report::Report,
) -> io::Result<()> {
    thread::sleep(QUIET);
    let before = backend::read_log(addr)?.started;
    thread::sleep(SCENE);
    let after = backend::read_log(addr)?.started;
    if after != before {
        report.broke(format!("{name} left and got {} requests", after - before));
    }
    all.backends.remove(name);
    all.unlist(name)
}

/// Stops an entry VM with SIGTERM: it must complete its in-flight requests and exit by itself.
fn stop_entry(all: &mut deployment::Deployment, report: &mut report::Report) -> io::Result<()> {
    let (name, process) = first(&all.entries)?;
    process.signal("TERM")?;
    all.list_leaving(&name)?;
    let Some(mut process) = all.entries.remove(&name) else {
        return Ok(());
    };
    match process.wait(LIMIT) {
        Ok(status) if status.success() => {}
        other => report.broke(format!("a planned stop ended with {other:?}")),
    }
    all.unlist(&name)
}

/// Kills an entry VM without warning.
fn kill_entry(all: &mut deployment::Deployment, callers: &load::Callers) -> io::Result<()> {
    let (name, process) = first(&all.entries)?;
    callers.will_be_killed(process.addr());
    if let Some(mut process) = all.entries.remove(&name) {
        process.kill();
    }
    all.unlist(&name)
}

fn scene(name: &str, callers: &load::Callers, report: &mut report::Report) {
    thread::sleep(SCENE);
    report.scene(name, callers.take());
}

/// Waits until each entry VM routes requests of each service to a backend server.
fn wait_ready(all: &deployment::Deployment) -> io::Result<()> {
    let caller = caller::Caller::default();
    let until = time::Instant::now() + LIMIT;
    for entry in all.entries.values() {
        for path in ["/availability/", "/ledger/bays", "/archive/history"] {
            let ask = caller::Ask {
                path,
                ..caller::Ask::default()
            };
            while !caller
                .ask(entry.addr(), &ask)
                .is_ok_and(|t| t.status == 200)
            {
                if time::Instant::now() > until {
                    return Err(io::Error::other(
                        "an entry VM did not route requests of all services in time",
                    ));
                }
                thread::sleep(time::Duration::from_millis(20));
            }
        }
    }
    Ok(())
}
