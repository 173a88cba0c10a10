//! A planned stop of one of two machines, while clients read long answers slowly.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Client, End, Reading, resolve};
use crate::deployment::{Deployment, HOST, REGION, Route, Shape, ZONE};
use crate::machine::Signal;
use crate::record::Record;

/// The largest answer of the kind, and its deadline.
const BYTES: usize = 540_000;
const DEADLINE_MS: u64 = 3000;

/// The pace at which a client reads: the whole answer takes it 2.5 s.
const BYTES_PER_S: usize = 216_000;

const CLIENTS: usize = 12;

/// Time from SIGTERM until the first and the last request.
const FIRST: Duration = Duration::from_millis(1000);
const LAST: Duration = Duration::from_millis(2200);

pub fn run(dir: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let route = Route {
        prefix: "/pack/",
        kind: "download",
        timeout_s: 3.0,
        target_s: 0.5,
        sticky: false,
    };
    let shape = Shape {
        backends: 4,
        work: Duration::from_millis(300),
        sends_for: Duration::ZERO,
        crashes_on: None,
    };
    let deployment = Deployment::start(dir, record, &[route], &shape)?;
    let ends: Arc<Mutex<Vec<(String, usize, End)>>> = Arc::default();
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let fronts = resolve(deployment.machines[n % 2].directory(), HOST, REGION, ZONE);
        let machine = n % 2;
        let front = deployment.machines[machine].front();
        if !fronts.contains(&front) {
            return Err(io::Error::other(
                "the directory does not name both machines",
            ));
        }
        let mut client = Client::connect(front, HOST)?;
        // The connection is kept: it has served a request before.
        let id = format!("c{n:02}-first");
        client.send("/pack/a?bytes=200", &id, DEADLINE_MS)?;
        let end = client.receive(&id, Reading::Fast);
        record.add(&format!(
            "answered  {id} by machine {}: {}",
            machine + 1,
            end.text()
        ));
        if end != End::Whole(200) {
            return Err(io::Error::other("a first request is not served"));
        }
        clients.push((n, machine, client));
    }
    if trouble {
        deployment.machines[0].signal(Signal::Term);
        record.add("SIGTERM   to machine 1, grace_s = 6");
    } else {
        record.add("no SIGTERM");
    }
    let step = (LAST - FIRST) / CLIENTS as u32;
    let tasks: Vec<_> = clients
        .into_iter()
        .map(|(n, machine, mut client)| {
            let (ends, record) = (ends.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(FIRST + step * n as u32);
                let id = format!("c{n:02}-pack");
                let target = format!("/pack/{n}?bytes={BYTES}");
                record.add(&format!(
                    "sent      {id} to machine {}: GET {target}",
                    machine + 1
                ));
                let end = match client.send(&target, &id, DEADLINE_MS) {
                    Ok(()) => client.receive(&id, Reading::Steady(BYTES_PER_S)),
                    Err(err) => End::Cut {
                        received: 0,
                        of: 0,
                        why: err.to_string(),
                    },
                };
                record.add(&format!(
                    "answered  {id} by machine {}: {}",
                    machine + 1,
                    end.text()
                ));
                ends.lock().unwrap().push((id, machine, end));
            })
        })
        .collect();
    for task in tasks {
        // A panic would show in the count below.
        let _ = task.join();
    }
    let ends = ends.lock().unwrap();
    let mut lost = 0;
    for (id, machine, end) in ends.iter() {
        let ran = deployment.runs_of(id);
        if !ran.is_empty() && matches!(end, End::Cut { .. }) {
            lost += 1;
            record.add(&format!(
                "LOST      {id}: read by machine {}, run at {}, and {}",
                machine + 1,
                ran.join(", "),
                end.text()
            ));
        }
    }
    record.add(&format!("{lost} of {} requests lost", ends.len()));
    if ends.len() != CLIENTS {
        return Err(io::Error::other("a client has failed"));
    }
    Ok(lost == 0)
}
