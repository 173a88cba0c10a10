//! Clients that pause for a moment while they read a long answer.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Client, End, Reading, resolve};
use crate::deployment::{Deployment, HOST, REGION, Route, Shape, ZONE};
use crate::record::Record;

/// The largest answer of the kind, and its deadline.
const BYTES: usize = 540_000;
const DEADLINE_MS: u64 = 3000;

/// How long a client reads nothing. The answer is whole well before its deadline.
const PAUSE: Duration = Duration::from_millis(2600);

const CLIENTS: usize = 8;

/// Requests that are lost beyond which the rule is broken.
const MOST_LOST: usize = 3;

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
        work: Duration::from_millis(50),
        sends_for: Duration::ZERO,
        crashes_on: None,
    };
    let deployment = Deployment::start(dir, record, &[route], &shape)?;
    let ends: Arc<Mutex<Vec<(String, End)>>> = Arc::default();
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    let mut tasks = Vec::new();
    for n in 0..CLIENTS {
        let machine = &deployment.machines[n % 2];
        let front = machine.front();
        if !resolve(machine.directory(), HOST, REGION, ZONE).contains(&front) {
            return Err(io::Error::other("the directory does not name the machine"));
        }
        let mut client = Client::connect(front, HOST)?;
        // The connection is kept: it has served a request before.
        let id = format!("c{n:02}-first");
        client.send("/pack/a?bytes=200", &id, DEADLINE_MS)?;
        let end = client.receive(&id, Reading::Fast);
        if end != End::Whole(200) {
            return Err(io::Error::other("a first request is not served"));
        }
        let (ends, record, name) = (ends.clone(), record.clone(), machine.name.clone());
        tasks.push(thread::spawn(move || {
            let (long, short) = (format!("c{n:02}-pack"), format!("c{n:02}-next"));
            record.add(&format!("sent      {long} and behind it {short} to {name}"));
            let sent = client
                .send(&format!("/pack/{n}?bytes={BYTES}"), &long, DEADLINE_MS)
                .and_then(|()| client.send(&format!("/pack/{n}?bytes=200"), &short, DEADLINE_MS));
            if let Err(err) = sent {
                record.add(&format!("not sent: {err}"));
                return;
            }
            for (id, reading) in [(long, Reading::After(pause)), (short, Reading::Fast)] {
                let end = client.receive(&id, reading);
                record.add(&format!("answered  {id} by {name}: {}", end.text()));
                ends.lock().unwrap().push((id, end));
            }
        }));
    }
    for task in tasks {
        let _ = task.join();
    }
    let ends = ends.lock().unwrap();
    let mut lost = 0;
    for (id, end) in ends.iter().filter(|(id, _)| id.ends_with("next")) {
        let ran = deployment.runs_of(id);
        if !ran.is_empty() && matches!(end, End::Cut { of: 0, .. }) {
            lost += 1;
            record.add(&format!(
                "LOST      {id}: run at {}, and {}",
                ran.join(", "),
                end.text()
            ));
        }
    }
    record.add(&format!("{lost} requests lost; {MOST_LOST} are the most"));
    if ends.len() != 2 * CLIENTS {
        return Err(io::Error::other("a client has failed"));
    }
    Ok(lost <= MOST_LOST)
}
