//! A planned stop of one of two machines, while answers that are ready wait behind a long one.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, End, Reading, resolve};
use crate::deployment::{Deployment, HOST, REGION, Route, Shape, ZONE};
use crate::machine::Signal;
use crate::record::Record;

/// The kind's timeout and deadline, and the work on the first and on the second request.
const TIMEOUT_S: f64 = 5.0;
const DEADLINE_MS: u64 = 8000;
const FIRST_WORK_MS: u64 = 4500;
const SECOND_WORK_MS: u64 = 400;

const CLIENTS: usize = 8;

/// The time from SIGTERM until the requests.
const SENT_AFTER: Duration = Duration::from_millis(1500);

/// `grace_s`.
const GRACE: Duration = Duration::from_secs(6);

pub fn run(dir: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let route = Route {
        prefix: "/stay/",
        kind: "safe",
        timeout_s: TIMEOUT_S,
        target_s: 1.2,
        sticky: false,
    };
    let shape = Shape {
        backends: 4,
        work: Duration::from_millis(100),
        sends_for: Duration::ZERO,
        crashes_on: None,
    };
    let deployment = Deployment::start(dir, record, &[route], &shape)?;
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let machine = n % 2;
        let front = deployment.machines[machine].front();
        let directory = deployment.machines[machine].directory();
        if !resolve(directory, HOST, REGION, ZONE).contains(&front) {
            return Err(io::Error::other("the directory does not name the machine"));
        }
        let mut client = Client::connect(front, HOST)?;
        // The connection is kept: it has served a request before.
        let id = format!("c{n:02}-first");
        client.send("/stay/0", &id, DEADLINE_MS)?;
        if client.receive(&id, Reading::Fast) != End::Whole(200) {
            return Err(io::Error::other("a first request is not served"));
        }
        clients.push((n, machine, client));
    }
    let stopped = Instant::now();
    if trouble {
        deployment.machines[0].signal(Signal::Term);
        record.add("SIGTERM   to machine 1, grace_s = 6");
    } else {
        record.add("no SIGTERM");
    }
    thread::sleep(SENT_AFTER);
    let ends: Arc<Mutex<Vec<(String, usize, Duration, End)>>> = Arc::default();
    let mut tasks = Vec::new();
    for (n, machine, mut client) in clients {
        let (long, short) = (format!("c{n:02}-long"), format!("c{n:02}-short"));
        record.add(&format!(
            "sent      {long} and behind it {short} to machine {}",
            machine + 1
        ));
        client.send(
            &format!("/stay/{n}?work_ms={FIRST_WORK_MS}"),
            &long,
            DEADLINE_MS,
        )?;
        client.send(
            &format!("/stay/{n}?work_ms={SECOND_WORK_MS}"),
            &short,
            DEADLINE_MS,
        )?;
        let (ends, record) = (ends.clone(), record.clone());
        tasks.push(thread::spawn(move || {
            for id in [long, short] {
                let end = client.receive(&id, Reading::Fast);
                record.add(&format!(
                    "answered  {id} by machine {}: {}",
                    machine + 1,
                    end.text()
                ));
                ends.lock()
                    .unwrap()
                    .push((id, machine, stopped.elapsed(), end));
            }
        }));
    }
    for task in tasks {
        // A panic would show in the count below.
        let _ = task.join();
    }
    let ends = ends.lock().unwrap();
    let mut lost = 0;
    for (id, machine, at, end) in ends.iter().filter(|(id, ..)| id.ends_with("short")) {
        // Its backend server has finished with it long before the last sixth of the grace period.
        let ended = deployment
            .ended(id)
            .is_some_and(|ended| ended < stopped + GRACE * 5 / 6);
        if ended && matches!(end, End::Cut { .. }) {
            lost += 1;
            record.add(&format!(
                "LOST      {id}: run at {} and answered by it, and at machine {} {}, {:.3} s after SIGTERM",
                deployment.runs_of(id).join(", "),
                machine + 1,
                end.text(),
                at.as_secs_f64()
            ));
        }
    }
    record.add(&format!("{lost} of {CLIENTS} requests lost"));
    if ends.len() != 2 * CLIENTS {
        return Err(io::Error::other("a client has failed"));
    }
    Ok(lost == 0)
}
