//! Lets the store return from older copies of its contents, some of them in a row. Operators and
//! backend servers write again what was lost; entry VMs have to do so by themselves.

use std::rc;
use std::time;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task;

use super::scene::{self, Scene};
use super::support::{backend, store};

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

/// Restores the store now and then for the configured duration.
pub(crate) async fn inject(scene: &rc::Rc<Scene>, rng: &mut ChaCha8Rng) {
    let started_at = time::Instant::now();
    let mut rewrites: Vec<task::JoinHandle<()>> = Vec::new();
    while started_at.elapsed() < scene.cfg.fault_duration {
        tokio::time::sleep(ms(rng.random_range(100..1500))).await;
        let copy = scene.store.copy();
        tokio::time::sleep(ms(rng.random_range(200..4000))).await;
        for _ in 0..rng.random_range(1..=2) {
            restore(scene, copy.clone(), ms(rng.random_range(0..900))).await;
            let delay = ms(rng.random_range(0..1500));
            rewrites.push(task::spawn_local(write_again(scene.clone(), delay)));
        }
    }
    for rewrite in rewrites {
        if let Err(err) = rewrite.await {
            scene.add_violation(format!("writing again after a restore failed: {err}"));
        }
    }
}

/// Lets the store be away and return from a copy.
pub(crate) async fn restore(scene: &Scene, copy: store::Contents, away: time::Duration) {
    scene.store.set_mode(store::Mode::Silent);
    tokio::time::sleep(away).await;
    scene.counts.borrow_mut().restores += 1;
    scene.store.restore(copy);
    scene.store.set_mode(store::Mode::Up);
}

/// Writes again what operators and backend servers have written, after `delay`.
pub(crate) async fn write_again(scene: rc::Rc<Scene>, delay: time::Duration) {
    tokio::time::sleep(delay).await;
    scene
        .store
        .write("op/config", &scene::config(scene.version.get()));
    let live = scene.running_backends();
    for key in scene.store.keys("servers/") {
        if live.iter().all(|backend| backend.key() != key) {
            scene.store.remove(&key);
        }
    }
    for backend in live {
        let state = match backend.drain_started.get() {
            Some(_) => "draining",
            None => "ready",
        };
        backend.register(&scene.store, state);
    }
}

/// Checks that a backend server whose leaving the store has forgotten gets no requests after its
/// grace period.
pub(crate) async fn check_leaving_is_kept(scene: &rc::Rc<Scene>) {
    let Some(leaving) = scene.backends.borrow().last().cloned() else {
        return;
    };
    let copy = scene.store.copy();
    leaving.register(&scene.store, "draining");
    tokio::time::sleep(ms(1500)).await;
    restore(scene, copy, ms(300)).await;
    write_again(scene.clone(), ms(1500)).await;
    tokio::time::sleep(ms(2000)).await;
    report_late_requests(scene, "whose leaving a restored store forgot");
}

/// Checks that a backend server whose entry is removed shortly after the store's return gets no
/// requests after its grace period.
pub(crate) async fn check_removal_after_a_return(scene: &rc::Rc<Scene>) {
    /// Time after the return within which backend servers have written again.
    const SETTLED_AFTER: time::Duration = time::Duration::from_millis(3100);
    let copy = scene.store.copy();
    restore(scene, copy, ms(3000)).await;
    let returned_at = time::Instant::now();
    write_again(scene.clone(), ms(1000)).await;
    tokio::time::sleep(SETTLED_AFTER.saturating_sub(returned_at.elapsed())).await;
    let Some(leaving) = scene.backends.borrow_mut().pop() else {
        return;
    };
    leaving.drain_started.set(Some(time::Instant::now()));
    scene.store.remove(&leaving.key());
    tokio::time::sleep(backend::DRAIN_GRACE + ms(1500)).await;
    report_late_requests(scene, "that was removed after the store's return");
}

fn report_late_requests(scene: &Scene, what: &str) {
    for id in scene.log.borrow_mut().late_requests.drain(..) {
        scene.add_violation(format!("request {id} reached a backend server {what}"));
    }
}
