//! Crowds of callers that stop short of the end of their requests, or do not read.

use std::time;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::scene::Scene;
use super::support::crowd::{self, Parts};

/// The limit of memory in the settings of each VM.
pub(crate) const MEMORY_MB: u64 = 32;

/// Callers of a crowd.
const CALLERS: usize = 300;

/// What one caller sends.
fn draw(rng: &mut ChaCha8Rng, n: usize) -> Parts {
    let len = rng.random_range(2..400_000);
    match rng.random_range(0..6) {
        0 | 1 => crowd::with_length(n, len),
        2 => crowd::chunked(
            n,
            &crowd::in_chunks(len, rng.random_range(1_000..20_000), ""),
        ),
        3 => crowd::chunked(
            n,
            &crowd::in_chunks(len / 8, rng.random_range(1..4), ";a=b"),
        ),
        4 => crowd::unfinished_head(n, rng.random_range(400..16_000)),
        _ => crowd::unread(n, rng.random_range(1..16), len),
    }
}

/// Plays crowds at some VMs, held open or closed at once. Checks that no process ends, that each stays
/// within its memory, and that all answer ordinary requests afterwards.
pub(crate) async fn check(scene: &Scene, rng: &mut ChaCha8Rng) {
    for _ in 0..3 {
        let vm = &scene.vms[rng.random_range(0..scene.vms.len())];
        let parts: Vec<Parts> = (0..CALLERS).map(|n| draw(rng, n)).collect();
        let callers = crowd::Crowd {
            pause: time::Duration::from_millis(rng.random_range(0..40)),
            ..crowd::crowd(vm.options.ports.front, CALLERS, move |n| parts[n].clone())
        };
        match rng.random_bool(0.7) {
            true => {
                let open = callers.send().await;
                tokio::time::sleep(time::Duration::from_millis(rng.random_range(0..1_500))).await;
                drop(open);
            }
            false => callers.send_and_close().await,
        }
    }
    scene.check_no_exits();
    scene.check_all_serve().await;
    for vm in &scene.vms {
        let peak = vm
            .gateway
            .borrow()
            .as_ref()
            .map(|gateway| gateway.peak_memory());
        if peak.is_some_and(|bytes| bytes > MEMORY_MB * 1_000_000) {
            scene.add_violation(format!("{} had {peak:?} bytes of memory", vm.options.node));
        }
    }
}
