//! One of eight backend servers falls silent while it sends long answers.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, End, Reading, resolve};
use crate::deployment::{Deployment, HOST, REGION, Route, Shape, ZONE};
use crate::record::Record;

/// The largest answer of the kind.
const BYTES: usize = 540_000;

/// The route's timeout, and how long the clients wait.
const TIMEOUT: Duration = Duration::from_secs(2);
const DEADLINE_MS: u64 = 4000;

/// The time after the timeout at which a request has its final answer.
const SLACK: Duration = Duration::from_millis(500);

/// Requests without a final answer from which on the rule is broken.
const LEAST_UNANSWERED: usize = 8;

const CLIENTS: usize = 10;

/// When the backend server falls silent, after the requests were sent, and for how long.
const SILENT_AFTER: Duration = Duration::from_millis(900);
const SILENT_FOR: Duration = Duration::from_millis(4100);

pub fn run(dir: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let timeout_s = TIMEOUT.as_secs_f64();
    let route = Route {
        prefix: "/pack/",
        kind: "download",
        timeout_s,
        target_s: 0.5,
        sticky: true,
    };
    let shape = Shape {
        backends: 8,
        work: Duration::from_millis(200),
        sends_for: Duration::from_secs(1),
        crashes_on: None,
    };
    let deployment = Deployment::start(dir, record, &[route], &shape)?;
    let ends: Arc<Mutex<Vec<(String, Duration, End)>>> = Arc::default();
    let mut tasks = Vec::new();
    for n in 0..CLIENTS {
        let machine = &deployment.machines[n % 2];
        let (front, name) = (machine.front(), machine.name.clone());
        if !resolve(machine.directory(), HOST, REGION, ZONE).contains(&front) {
            return Err(io::Error::other("the directory does not name the machine"));
        }
        let mut client = Client::connect(front, HOST)?;
        client.object = Some("17");
        let (ends, record) = (ends.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            let id = format!("c{n:02}-pack");
            record.add(&format!("sent      {id} to {name}"));
            let sent = Instant::now();
            let end = match client.send(&format!("/pack/17?bytes={BYTES}"), &id, DEADLINE_MS) {
                Ok(()) => client.receive(
                    &id,
                    Reading::Until(sent + Duration::from_millis(DEADLINE_MS)),
                ),
                Err(err) => End::Cut {
                    received: 0,
                    of: 0,
                    why: err.to_string(),
                },
            };
            let took = sent.elapsed();
            let s = took.as_secs_f64();
            record.add(&format!(
                "answered  {id} by {name} after {s:.3} s: {}",
                end.text()
            ));
            ends.lock().unwrap().push((id, took, end));
        }));
    }
    if trouble {
        thread::sleep(SILENT_AFTER);
        let runs = deployment.runs();
        let first = runs
            .first()
            .ok_or_else(|| io::Error::other("no request runs"))?;
        let there = runs
            .iter()
            .filter(|run| run.backend == first.backend)
            .count();
        record.add(&format!(
            "silent    {} with {there} requests",
            first.backend
        ));
        deployment.silence(&first.backend, SILENT_FOR);
    }
    for task in tasks {
        // A panic would show in the count below.
        let _ = task.join();
    }
    let ends = ends.lock().unwrap();
    let long = ends.iter().filter(|(_, took, _)| *took > TIMEOUT).count();
    let unanswered = ends
        .iter()
        .filter(|(_, took, _)| *took > TIMEOUT + SLACK)
        .count();
    record.add(&format!(
        "{long} of {} requests lasted longer than timeout_s = {timeout_s}; {unanswered} had no final answer 0.5 s after it; the rule is broken from {LEAST_UNANSWERED} and more than a quarter",
        ends.len()
    ));
    if ends.len() != CLIENTS {
        return Err(io::Error::other("a client has failed"));
    }
    Ok(unanswered < LEAST_UNANSWERED || unanswered * 4 <= long)
}
