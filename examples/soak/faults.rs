//! Random overlapping faults, reproducible from the seed.

use std::rc;
use std::time;

use bulrushwind::platform::names::FIELDS;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::task;

use super::scene::Scene;
use super::support::{backend, proxy, store};

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

/// Injects faults for the configured duration, then waits until all have ended.
pub(crate) async fn inject(scene: &rc::Rc<Scene>, rng: &mut ChaCha8Rng) {
    let started_at = time::Instant::now();
    let mut running: Vec<task::JoinHandle<()>> = Vec::new();
    let mut next_backend = scene.cfg.backends;
    while started_at.elapsed() < scene.cfg.fault_duration {
        tokio::time::sleep(ms(rng.random_range(50..700))).await;
        scene.counts.borrow_mut().faults += 1;
        let vm = rng.random_range(0..scene.vms.len());
        let duration = ms(rng.random_range(200..2500));
        let scene = scene.clone();
        running.push(match rng.random_range(0..13) {
            12 => task::spawn_local(slow_down(scene, duration)),
            0 => task::spawn_local(kill(scene, vm, duration)),
            1 | 2 => task::spawn_local(stop(scene, vm)),
            3 => task::spawn_local(pause(scene, vm, duration)),
            4 => task::spawn_local(set_store_mode(scene, store::Mode::Silent, duration)),
            5 => task::spawn_local(set_store_mode(scene, store::Mode::Busy, duration)),
            6 => task::spawn_local(set_store_mode(scene, store::Mode::DropsResponses, duration)),
            7 => {
                let fault = [
                    proxy::Fault::Delay(ms(150)),
                    proxy::Fault::DropsRequests,
                    proxy::Fault::DropsResponses,
                    proxy::Fault::Resets,
                ][rng.random_range(0..4)];
                task::spawn_local(disturb_link(scene, vm, fault, duration))
            }
            8 => task::spawn_local(drain_backend(scene)),
            9 => {
                next_backend += 1;
                let n = next_backend;
                task::spawn_local(async move { scene.add_backend(n) })
            }
            10 => task::spawn_local(lose_answers(scene, duration)),
            _ => task::spawn_local(async move {
                scene.publish_config();
                scene.store.discard_history();
            }),
        });
    }
    for fault in running {
        if let Err(err) = fault.await {
            scene.add_violation(format!("a fault could not be played: {err}"));
        }
    }
}

/// Values that backend servers state in answers, valid and not: the field, its value, and whether
/// all requests are turned away meanwhile.
const STATEMENTS: [(&str, &str, bool); 12] = [
    (FIELDS.rate_limit, "3.5", false),
    (FIELDS.rate_limit, "0", false),
    (FIELDS.rate_limit, "-1", false),
    (FIELDS.rate_limit, "1e400", false),
    (FIELDS.rate_limit, "99999999999999999999", false),
    (
        FIELDS.rate_limit,
        "0.0000000000000000000000000000001",
        false,
    ),
    (FIELDS.leaving, "0", false),
    (FIELDS.leaving, "soon", false),
    ("Retry-After", "0.5", true),
    ("Retry-After", "-3", true),
    ("Retry-After", "Fri, 31 Dec 2027 23:59:59 GMT", true),
    ("Retry-After", "", true),
];

/// Lets backend servers state changing values in answers for the configured duration.
pub(crate) async fn state_values(scene: &rc::Rc<Scene>, rng: &mut ChaCha8Rng) {
    let started_at = time::Instant::now();
    while started_at.elapsed() < scene.cfg.fault_duration {
        let (name, value, sheds) = STATEMENTS[rng.random_range(0..STATEMENTS.len())];
        let n = rng.random_range(0..scene.cfg.backends);
        let duration = ms(rng.random_range(200..1500));
        let backend = {
            let backends = scene.backends.borrow();
            backends[n % backends.len()].clone()
        };
        backend.state(backend::Statement {
            field: Some((name, value)),
            sheds,
        });
        tokio::time::sleep(duration).await;
        backend.state(backend::Statement::default());
    }
}

/// Kills a process and starts it again after `duration`.
pub(crate) async fn kill(scene: rc::Rc<Scene>, n: usize, duration: time::Duration) {
    let vm = &scene.vms[n];
    if vm.restarting.replace(true) {
        return;
    }
    vm.disturbed_at.set(Some(time::Instant::now()));
    vm.gateway.borrow_mut().take();
    tokio::time::sleep(duration).await;
    vm.disturbed_at.set(Some(time::Instant::now()));
    vm.spawn();
    vm.restarting.set(false);
}

/// Stops a process with SIGTERM and starts it again once it has exited.
pub(crate) async fn stop(scene: rc::Rc<Scene>, n: usize) {
    /// Grace period after which the settings require a stopped process to have exited.
    const GRACE: time::Duration = time::Duration::from_secs(6);
    let vm = &scene.vms[n];
    if vm.restarting.replace(true) {
        return;
    }
    let started_at = time::Instant::now();
    vm.signal(Signal::TERM);
    while !vm.has_ended() {
        if started_at.elapsed() > GRACE {
            // A process that was paused meanwhile may exceed the grace period.
            if !vm.was_disturbed_since(started_at - GRACE) {
                scene.add_violation(format!(
                    "{} did not end within its grace time",
                    vm.options.node
                ));
            }
            vm.disturbed_at.set(Some(time::Instant::now()));
            break;
        }
        tokio::time::sleep(ms(20)).await;
    }
    vm.gateway.borrow_mut().take();
    vm.spawn();
    vm.restarting.set(false);
}

/// Pauses a process for `duration`.
async fn pause(scene: rc::Rc<Scene>, n: usize, duration: time::Duration) {
    let vm = &scene.vms[n];
    vm.disturbed_at.set(Some(time::Instant::now()));
    vm.pauses.set(vm.pauses.get() + 1);
    vm.signal(Signal::STOP);
    tokio::time::sleep(duration).await;
    vm.signal(Signal::CONT);
    vm.pauses.set(vm.pauses.get() - 1);
    vm.resumed_at.set(Some(time::Instant::now()));
    vm.disturbed_at.set(Some(time::Instant::now()));
}

async fn set_store_mode(scene: rc::Rc<Scene>, mode: store::Mode, duration: time::Duration) {
    scene.store.set_mode(mode);
    tokio::time::sleep(duration).await;
    scene.store.set_mode(store::Mode::Up);
}

async fn disturb_link(
    scene: rc::Rc<Scene>,
    n: usize,
    fault: proxy::Fault,
    duration: time::Duration,
) {
    scene.vms[n].store_proxy.set(fault);
    tokio::time::sleep(duration).await;
    scene.vms[n].store_proxy.set(proxy::Fault::None);
}

/// Marks a backend server as draining, serves on for the grace period and closes it.
async fn drain_backend(scene: rc::Rc<Scene>) {
    /// No backend server leaves unless more than this many are running.
    const MIN_BACKENDS: usize = 4;
    if scene.backends.borrow().len() <= MIN_BACKENDS {
        return;
    }
    let leaving = scene.backends.borrow_mut().remove(0);
    leaving.state(backend::Statement {
        field: Some((FIELDS.leaving, "1")),
        sheds: false,
    });
    scene.leaving.borrow_mut().push(leaving.clone());
    leaving.register(&scene.store, "draining");
    tokio::time::sleep(backend::DRAIN_GRACE + ms(500)).await;
    scene.leaving.borrow_mut().retain(|b| b.id != leaving.id);
    scene.store.remove(&leaving.key());
    scene.backend_fault.set(Some(time::Instant::now()));
    leaving.close();
}

/// Lets a backend server run requests but lose its answers for `duration`.
async fn lose_answers(scene: rc::Rc<Scene>, duration: time::Duration) {
    let Some(backend) = scene.backends.borrow().last().cloned() else {
        return;
    };
    scene.backend_fault.set(Some(time::Instant::now()));
    backend.drops_responses.set(true);
    tokio::time::sleep(duration).await;
    backend.drops_responses.set(false);
    scene.backend_fault.set(Some(time::Instant::now()));
}

/// Raises a backend server's service time to 400 ms for `duration`.
async fn slow_down(scene: rc::Rc<Scene>, duration: time::Duration) {
    let Some(backend) = scene.backends.borrow().first().cloned() else {
        return;
    };
    backend.set_service_time(ms(400));
    tokio::time::sleep(duration).await;
    backend.set_service_time(super::scene::SERVICE_TIME);
}
