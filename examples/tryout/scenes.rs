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
const SCENE_DURATION: time::Duration = time::Duration::from_millis(1500);

/// Number of concurrent callers.
const CALLERS: u64 = 16;

/// Time within which an awaited condition must hold.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time after which a leaving backend server must get no new requests.
const DRAIN_SETTLE_TIME: time::Duration = time::Duration::from_secs(2);

/// The services, with their processing time per request in milliseconds and their number of
/// backend servers per availability zone. Three of the archive's backend servers leave.
const SERVICES: [(&str, u64, u32); 3] =
    [("availability", 4, 2), ("ledger", 8, 2), ("archive", 15, 4)];

/// The two availability zones, one in each of two regions.
const AZS: [&str; 2] = ["ub-a", "khovd-a"];

/// Runs all scenes and returns the callers' results.
pub(crate) fn run() -> io::Result<report::Report> {
    let mut fleet = deployment::Deployment::start()?;
    for az in AZS {
        for (service, work_ms, count) in SERVICES {
            for _ in 0..count {
                fleet.start_backend(az, service, work_ms)?;
            }
        }
        fleet.start_entry(az)?;
        fleet.start_entry(az)?;
    }
    let callers = sync::Arc::new(load::Callers::default());
    callers.set_entries(fleet.entries.values().map(|e| e.addr()).collect());
    wait_ready(&fleet)?;
    let threads = load::start(&callers, CALLERS);
    let mut report = report::Report::default();

    run_scene("steady", &callers, &mut report);

    fleet.set_outage(true)?;
    run_scene("the store is out", &callers, &mut report);
    fleet.set_outage(false)?;

    crash(&mut fleet, &mut report)?;
    run_scene("a backend server crashed", &callers, &mut report);

    leave_by_list(&mut fleet, &mut report)?;
    run_scene("a backend server left, by the list", &callers, &mut report);

    leave_by_load_report(&mut fleet, &mut report)?;
    run_scene("a backend server left, by its word", &callers, &mut report);

    leave_by_settings(&mut fleet, &mut report)?;
    run_scene("a backend server left, by settings", &callers, &mut report);

    stop_entry(&mut fleet, &mut report)?;
    run_scene("an entry VM stopped as planned", &callers, &mut report);

    kill_entry(&mut fleet, &callers)?;
    run_scene("an entry VM was killed", &callers, &mut report);

    callers.stop();
    for thread in threads {
        let _ = thread.join();
    }
    report.add_scene("the end", callers.take());
    report.count_runs(&fleet.run_counts()?);
    Ok(report)
}

/// Sends a booking that crashes the backend server which runs it, then sends it again.
fn crash(fleet: &mut deployment::Deployment, report: &mut report::Report) -> io::Result<()> {
    let entry = first(&fleet.entries)?.1.addr();
    let caller = caller::Caller::default();
    let ticket = caller.look_up(entry, "ledger")?.ticket.unwrap_or_default();
    let key = format!("{ticket}.crash");
    let request = caller::Request {
        method: "POST",
        path: "/ledger/book?crash=1",
        key: Some(&key),
        body: "bay 7",
        ..caller::Request::default()
    };
    for _ in 0..2 {
        let response = caller.send(entry, &request)?;
        if response.outcome != Some(outcome::Outcome::Unknown) {
            report.add_violation(format!(
                "a booking that crashed its backend server: {response:?}"
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
fn archive(fleet: &deployment::Deployment) -> io::Result<(String, net::SocketAddr)> {
    let of_archive = |(name, _): &(&String, &processes::Process)| name.starts_with("archive");
    let found = fleet.backends.iter().find(of_archive);
    let (name, process) = found.ok_or(io::ErrorKind::NotFound)?;
    Ok((name.clone(), process.addr()))
}

/// A backend server is marked as leaving in the platform's VM list.
fn leave_by_list(
    fleet: &mut deployment::Deployment,
    report: &mut report::Report,
) -> io::Result<()> {
    let (name, addr) = archive(fleet)?;
    fleet.mark_leaving(&name)?;
    check_no_new_requests(fleet, &name, addr, report)
}

/// A backend server announces that it leaves in its load reports, before the VM list shows it.
fn leave_by_load_report(
    fleet: &mut deployment::Deployment,
    report: &mut report::Report,
) -> io::Result<()> {
    let (name, addr) = archive(fleet)?;
    let behaviour = backend::Behaviour {
        work_ms: 15,
        leaving: true,
        ..backend::Behaviour::default()
    };
    backend::set_behaviour(addr, &behaviour)?;
    check_no_new_requests(fleet, &name, addr, report)
}

/// An operator drains a backend server through the settings.
fn leave_by_settings(
    fleet: &mut deployment::Deployment,
    report: &mut report::Report,
) -> io::Result<()> {
    let (name, addr) = archive(fleet)?;
    fleet.drain(&name)?;
    check_no_new_requests(fleet, &name, addr, report)
}

/// Checks that a leaving backend server gets no new requests, then removes it.
fn check_no_new_requests(
    fleet: &mut deployment::Deployment,
    name: &str,
    addr: net::SocketAddr,
    report: &mut report::Report,
) -> io::Result<()> {
    thread::sleep(DRAIN_SETTLE_TIME);
    let before = backend::read_log(addr)?.started;
    thread::sleep(SCENE_DURATION);
    let after = backend::read_log(addr)?.started;
    if after != before {
        report.add_violation(format!("{name} left and got {} requests", after - before));
    }
    fleet.backends.remove(name);
    fleet.remove_vm(name)
}

/// Stops an entry VM with SIGTERM: it must complete its in-flight requests and exit by itself.
fn stop_entry(fleet: &mut deployment::Deployment, report: &mut report::Report) -> io::Result<()> {
    let (name, process) = first(&fleet.entries)?;
    process.signal("TERM")?;
    fleet.mark_leaving(&name)?;
    let Some(mut process) = fleet.entries.remove(&name) else {
        return Ok(());
    };
    match process.wait(WAIT_TIMEOUT) {
        Ok(status) if status.success() => {}
        other => report.add_violation(format!("a planned stop ended with {other:?}")),
    }
    fleet.remove_vm(&name)
}

/// Kills an entry VM without warning.
fn kill_entry(fleet: &mut deployment::Deployment, callers: &load::Callers) -> io::Result<()> {
    let (name, process) = first(&fleet.entries)?;
    callers.mark_killed(process.addr());
    if let Some(mut process) = fleet.entries.remove(&name) {
        process.kill();
    }
    fleet.remove_vm(&name)
}

fn run_scene(name: &str, callers: &load::Callers, report: &mut report::Report) {
    thread::sleep(SCENE_DURATION);
    report.add_scene(name, callers.take());
}

/// Waits until each entry VM routes requests of each service to a backend server.
fn wait_ready(fleet: &deployment::Deployment) -> io::Result<()> {
    let caller = caller::Caller::default();
    let until = time::Instant::now() + WAIT_TIMEOUT;
    for entry in fleet.entries.values() {
        for path in ["/availability/", "/ledger/bays", "/archive/history"] {
            let request = caller::Request {
                path,
                ..caller::Request::default()
            };
            while !caller
                .send(entry.addr(), &request)
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
