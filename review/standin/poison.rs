//! A request that crashes each backend server that begins to run it, and comes again.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Reading, resolve};
use crate::deployment::{Deployment, HOST, REGION, Route, Shape, ZONE};
use crate::record::Record;

const DEADLINE_MS: u64 = 3000;

/// The time between two of the request's arrivals, and their number.
const AGAIN: Duration = Duration::from_millis(3500);
const COMINGS: usize = 16;

/// The time between two requests of other clients: a quiet hour.
const OTHERS: Duration = Duration::from_millis(2000);

/// `stability_window_s`.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);

/// Retries beyond which the rule is broken.
const MOST_RETRIES: usize = 3;

pub fn run(dir: &Path, record: &Record, trouble: bool) -> io::Result<bool> {
    let path = "/book/17";
    let routes = [
        Route {
            prefix: "/book/",
            kind: "unsafe",
            timeout_s: 1.5,
            target_s: 0.5,
            sticky: false,
        },
        Route {
            prefix: "/pack/",
            kind: "download",
            timeout_s: 3.0,
            target_s: 0.5,
            sticky: false,
        },
    ];
    let shape = Shape {
        backends: 6,
        work: Duration::from_millis(200),
        sends_for: Duration::ZERO,
        crashes_on: trouble.then(|| path.to_owned()),
    };
    let deployment = Deployment::start(dir, record, &routes, &shape)?;
    let mut fronts = resolve(deployment.machines[0].directory(), HOST, REGION, ZONE);
    fronts.sort_unstable();
    if fronts.len() != 2 {
        return Err(io::Error::other(
            "the directory does not name both machines",
        ));
    }
    let ends = Arc::new(AtomicBool::new(false));
    let others = {
        let (fronts, ends, record) = (fronts.clone(), ends.clone(), record.clone());
        thread::spawn(move || {
            for n in 0.. {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let (front, id) = (fronts[n % 2], format!("other-{n:03}"));
                ask(
                    front,
                    "GET",
                    &format!("/pack/{}?bytes=2000", n % 7),
                    &id,
                    "",
                    &record,
                );
                thread::sleep(OTHERS);
            }
        })
    };
    for n in 0..COMINGS {
        // The client chooses an address for each new connection.
        let front = fronts[(n / 2 + n) % 2];
        ask(
            front,
            "POST",
            path,
            &format!("again-{n:02}"),
            "bay=17&take=1",
            record,
        );
        thread::sleep(AGAIN);
    }
    ends.store(true, Ordering::Relaxed);
    let _ = others.join();
    let runs = deployment.runs();
    let runs: Vec<_> = runs.iter().filter(|run| run.target == path).collect();
    record.add(&format!("{} of {COMINGS} arrivals ran", runs.len()));
    let Some(third) = runs.get(2).filter(|_| trouble) else {
        return Ok(true);
    };
    let from: Instant = third.at + STABILITY_WINDOW;
    let late = runs.iter().filter(|run| run.at > from);
    let late: Vec<&str> = late.map(|run| run.id.as_str()).collect();
    record.add(&format!(
        "{} retries reached backend servers later than {} s after the third crash: {}; {MOST_RETRIES} are the most",
        late.len(),
        STABILITY_WINDOW.as_secs(),
        late.join(", ")
    ));
    Ok(late.len() <= MOST_RETRIES)
}

/// Sends one request on a new connection.
fn ask(
    front: std::net::SocketAddr,
    method: &str,
    target: &str,
    id: &str,
    body: &str,
    record: &Record,
) {
    record.add(&format!("sent      {id} to {front}: {method} {target}"));
    let end = Client::connect(front, HOST).and_then(|mut client| {
        client.send_with_body(method, target, id, DEADLINE_MS, body)?;
        Ok(client.receive(id, Reading::Fast))
    });
    match end {
        Ok(end) => record.add(&format!("answered  {id}: {}", end.text())),
        Err(err) => record.add(&format!("answered  {id}: not at all, {err}")),
    }
}
