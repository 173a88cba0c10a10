//! Random overlapping faults, reproducible from the seed.

use std::rc;
use std::time;

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
pub(crate) async fn play(scene: &rc::Rc<Scene>, rng: &mut ChaCha8Rng) {
    let begun = time::Instant::now();
    let mut running: Vec<task::JoinHandle<()>> = Vec::new();
    let mut next_backend = scene.cfg.backends;
    while begun.elapsed() < scene.cfg.faults {
        tokio::time::sleep(ms(rng.random_range(50..700))).await;
        scene.counts.borrow_mut().faults += 1;
        let vm = rng.random_range(0..scene.vms.len());
        let length = ms(rng.random_range(200..2500));
        let scene = scene.clone();
        running.push(match rng.random_range(0..13) {
            12 => task::spawn_local(slow_down(scene, length)),
            0 => task::spawn_local(kill(scene, vm, length)),
            1 | 2 => task::spawn_local(stop(scene, vm)),
            3 => task::spawn_local(pause(scene, vm, length)),
            4 => task::spawn_local(store_mode(scene, store::Mode::Silent, length)),
            5 => task::spawn_local(store_mode(scene, store::Mode::Busy, length)),
            6 => task::spawn_local(store_mode(scene, store::Mode::DropsResponses, length)),
            7 => {
                let harm = [
                    proxy::Fault::Delay(ms(150)),
                    proxy::Fault::DropsRequests,
                    proxy::Fault::DropsResponses,
                    proxy::Fault::Resets,
                ][rng.random_range(0..4)];
                task::spawn_local(harm_link(scene, vm, harm, length))
            }
            8 => task::spawn_local(leave(scene)),
            9 => {
                next_backend += 1;
                let n = next_backend;
                task::spawn_local(async move { scene.add_backend(n) })
            }
            10 => task::spawn_local(lose_answers(scene, length)),
            _ => task::spawn_local(async move {
                scene.configure();
                scene.store.discard_history();
            }),
        });
    }
    for one in running {
        if let Err(err) = one.await {
            scene.breaks(format!("a fault could not be played: {err}"));
        }
    }
}

/// Kills a process and starts it again after `length`.
async fn kill(scene: rc::Rc<Scene>, n: usize, length: time::Duration) {
    let vm = &scene.vms[n];
    if vm.ending.replace(true) {
        return;
    }
    vm.rough.set(Some(time::Instant::now()));
    vm.gateway.borrow_mut().take();
    tokio::time::sleep(length).await;
    vm.rough.set(Some(time::Instant::now()));
    vm.spawn();
    vm.ending.set(false);
}

/// Stops a process with SIGTERM and starts it again once it has exited.
async fn stop(scene: rc::Rc<Scene>, n: usize) {
    /// Grace period after which the settings require a stopped process to have exited.
    const GRACE: time::Duration = time::Duration::from_secs(6);
    let vm = &scene.vms[n];
    if vm.ending.replace(true) {
        return;
    }
    let begun = time::Instant::now();
    vm.signal(Signal::TERM);
    while !vm.has_ended() {
        if begun.elapsed() > GRACE {
            // A process that was paused meanwhile may exceed the grace period.
            if !vm.is_rough_since(begun - GRACE) {
                scene.breaks(format!(
                    "{} did not end within its grace time",
                    vm.start.node
                ));
            }
            vm.rough.set(Some(time::Instant::now()));
            break;
        }
        tokio::time::sleep(ms(20)).await;
    }
    vm.gateway.borrow_mut().take();
    vm.spawn();
    vm.ending.set(false);
}

/// Pauses a process for `length`.
async fn pause(scene: rc::Rc<Scene>, n: usize, length: time::Duration) {
    let vm = &scene.vms[n];
    vm.rough.set(Some(time::Instant::now()));
    vm.signal(Signal::STOP);
    tokio::time::sleep(length).await;
    vm.signal(Signal::CONT);
    vm.rough.set(Some(time::Instant::now()));
}

async fn store_mode(scene: rc::Rc<Scene>, mode: store::Mode, length: time::Duration) {
    scene.store.set_mode(mode);
    tokio::time::sleep(length).await;
    scene.store.set_mode(store::Mode::Up);
}

async fn harm_link(scene: rc::Rc<Scene>, n: usize, harm: proxy::Fault, length: time::Duration) {
    scene.vms[n].to_store.set(harm);
    tokio::time::sleep(length).await;
    scene.vms[n].to_store.set(proxy::Fault::None);
}

/// Marks a backend server as draining, serves on for the grace period and closes it.
async fn leave(scene: rc::Rc<Scene>) {
    /// No backend server leaves unless more than this many are running.
    const LEAST: usize = 4;
    if scene.backends.borrow().len() <= LEAST {
        return;
    }
    let gone = scene.backends.borrow_mut().remove(0);
    gone.register(&scene.store, "draining");
    tokio::time::sleep(backend::DRAIN_GRACE + ms(500)).await;
    scene.store.remove(&format!("servers/{}", gone.id));
    scene.backend_fault.set(Some(time::Instant::now()));
    gone.close();
}

/// Lets a backend server run requests but lose its answers for `length`.
async fn lose_answers(scene: rc::Rc<Scene>, length: time::Duration) {
    let Some(backend) = scene.backends.borrow().last().cloned() else {
        return;
    };
    scene.backend_fault.set(Some(time::Instant::now()));
    backend.drops_responses.set(true);
    tokio::time::sleep(length).await;
    backend.drops_responses.set(false);
    scene.backend_fault.set(Some(time::Instant::now()));
}

/// Raises a backend server's service time to 400 ms for `length`.
async fn slow_down(scene: rc::Rc<Scene>, length: time::Duration) {
    let Some(backend) = scene.backends.borrow().first().cloned() else {
        return;
    };
    backend.set_service_time(ms(400));
    tokio::time::sleep(length).await;
    backend.set_service_time(super::scene::WORK);
}
