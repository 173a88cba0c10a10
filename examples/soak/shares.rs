//! Checks the shares of a split route, summed over all VMs, while operators change its weights in
//! series and VMs are cut off or killed or the store returns from a copy.

use std::rc;
use std::time;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task;

use super::scene::Scene;
use super::support::{cut, shares};
use super::{callers, cuts, faults, restores};

/// The split route.
pub(crate) const ROUTE: &str = "/split/";

/// The service that shares the route with the one of all other requests.
pub(crate) const SERVICE: &str = "alt";

/// Backend servers of that service.
pub(crate) const BACKENDS: usize = 6;

/// Time within which a version is in force on all VMs that reach the store.
const CONFIG_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// Requests after which the shares of a version are checked, and the time to wait for them.
const CHECKED_REQUESTS: usize = 400;
const REQUESTS_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Callers of each VM that send requests to the split route.
const CALLERS_PER_VM: usize = 2;

/// The weights of a version.
pub(crate) fn weights(version: u64) -> [shares::Weight; 2] {
    /// The weight of the service of all other requests; neighbors differ widely.
    const SERIES: [f64; 5] = [0.9, 0.5, 0.8, 0.2, 0.6];
    let weight = SERIES[version as usize % SERIES.len()];
    [("svc", weight), (SERVICE, 1.0 - weight)]
}

/// What happens while weights change.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// Half of the VMs are cut off from all backend servers.
    Cut,
    /// The store returns from a copy and gets the lost version again.
    Restore,
    /// A process is killed and starts again.
    Kill,
}

/// Changes the weights several times and checks the shares after each change.
pub(crate) async fn check_series(scene: &rc::Rc<Scene>, rng: &mut ChaCha8Rng) {
    let vms = scene.vms.len();
    let callers: Vec<task::JoinHandle<()>> = (0..vms * CALLERS_PER_VM)
        .map(|n| task::spawn_local(callers::read_split_route(scene.clone(), n % vms)))
        .collect();
    let disturbances = [
        Disturbance::None,
        Disturbance::Cut,
        Disturbance::Restore,
        Disturbance::Kill,
    ];
    for disturbance in disturbances {
        let copy = scene.store.copy();
        scene.publish_config();
        let at = rng.random_range(0..vms);
        match disturbance {
            Disturbance::None => {}
            Disturbance::Cut => {
                let group = (0..vms).filter(|n| n % 2 == at % 2).collect();
                let way = cut::Cut::ALL[rng.random_range(0..cut::Cut::ALL.len())];
                task::spawn_local(cuts::cut_off(scene.clone(), group, way, CONFIG_TIMEOUT * 2));
            }
            Disturbance::Restore => {
                scene.check_all_serve().await;
                restores::restore(scene, copy, CONFIG_TIMEOUT / 5).await;
                restores::write_again(scene.clone(), CONFIG_TIMEOUT / 5).await;
            }
            Disturbance::Kill => faults::kill(scene.clone(), at, CONFIG_TIMEOUT / 5).await,
        }
        scene.check_all_serve().await;
        tokio::time::sleep(CONFIG_TIMEOUT).await;
        check(scene, disturbance).await;
    }
    callers.iter().for_each(task::JoinHandle::abort);
}

/// Checks the shares of the next requests.
async fn check(scene: &Scene, disturbance: Disturbance) {
    let since = time::Instant::now();
    let mut services = Vec::new();
    while services.len() < CHECKED_REQUESTS && since.elapsed() < REQUESTS_TIMEOUT {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        services = scene.log.borrow().services_since(ROUTE, since);
    }
    if services.len() < CHECKED_REQUESTS {
        scene.add_violation(format!(
            "only {} requests of a split route arrive ({disturbance:?})",
            services.len()
        ));
    }
    if let Some(what) = shares::violation(&services, &weights(scene.version.get())) {
        scene.add_violation(format!("shares of a split route ({disturbance:?}): {what}"));
    }
}
