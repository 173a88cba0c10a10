//! Cuts entry VMs off from all backend servers: one, those of an availability zone, half, or all but
//! one, in overlapping series. Callers' first tries must be served there as at the other VMs.

use std::fmt;
use std::rc;
use std::time;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::task;

use super::scene::{Scene, Vm};
use super::support::cut;

/// Time after the begin of a cut from which first tries must be served.
const STABILITY_WINDOW: time::Duration = time::Duration::from_secs(3);

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

/// The VM that a first try was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// One that is cut off.
    CutOff,
    /// One that is not, while another is.
    Other,
}

/// Counts of first tries.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FirstTries {
    cut_off: Tries,
    others: Tries,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    sent: u64,
    served: u64,
}

impl Tries {
    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

impl FirstTries {
    pub(crate) fn count(&mut self, side: Option<Side>, is_served: bool) {
        let tries = match side {
            Some(Side::CutOff) => &mut self.cut_off,
            Some(Side::Other) => &mut self.others,
            None => return,
        };
        tries.sent += 1;
        tries.served += u64::from(is_served);
    }
}

impl fmt::Display for FirstTries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cut_off, others } = self;
        write!(
            f,
            "{} of {} at VMs cut off, {} of {} at others",
            cut_off.served, cut_off.sent, others.served, others.sent
        )
    }
}

/// The side of a first try at a VM; `None` if other faults may decide how it ends.
pub(crate) fn side_of(scene: &Scene, vm: &Vm, started_at: time::Instant) -> Option<Side> {
    let since = started_at.checked_sub(STABILITY_WINDOW)?;
    // Requests through a VM that is paused wait until this one has found out.
    if scene.vms.iter().any(|vm| vm.was_paused_since(since)) {
        return None;
    }
    // Faults of backend servers concern one region, so only its VMs are compared.
    let is_near = |other: &Vm| other.options.region() == vm.options.region();
    let is_open = |vm: &Vm| {
        let is_restored = vm.restored_at.get().is_none_or(|at| at < since);
        vm.cut.get().is_none() && is_restored && vm.is_calm_since(since)
    };
    let is_cut_off = |vm: &Vm| vm.cut.get().is_some_and(|(_, began)| began < since);
    let any_near = |is: &dyn Fn(&Vm) -> bool| scene.vms.iter().any(|vm| is_near(vm) && is(vm));
    if is_cut_off(vm) && vm.is_calm_since(since) && any_near(&is_open) {
        return Some(Side::CutOff);
    }
    (is_open(vm) && any_near(&is_cut_off)).then_some(Side::Other)
}

/// Cuts VMs off now and then for the configured duration.
pub(crate) async fn inject(scene: &rc::Rc<Scene>, rng: &mut ChaCha8Rng) {
    let started_at = time::Instant::now();
    let mut cuts: Vec<task::JoinHandle<()>> = Vec::new();
    while started_at.elapsed() < scene.cfg.fault_duration {
        tokio::time::sleep(ms(rng.random_range(100..2000))).await;
        let way = *cut::Cut::ALL.choose(rng).expect("there are ways");
        let duration = ms(rng.random_range(300..6000));
        let group = pick_group(scene.vms.len(), rng);
        scene.counts.borrow_mut().cuts += 1;
        cuts.push(task::spawn_local(cut_off(
            scene.clone(),
            group,
            way,
            duration,
        )));
    }
    for cut in cuts {
        if let Err(err) = cut.await {
            scene.add_violation(format!("a cut could not be played: {err}"));
        }
    }
}

fn pick_group(vms: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
    /// Availability zones, to which VMs are assigned in turn.
    const ZONES: usize = super::scene::AZS.len();
    let first = rng.random_range(0..vms);
    match rng.random_range(0..4) {
        0 => vec![first],
        1 => (0..vms).filter(|n| n % ZONES == first % ZONES).collect(),
        2 => (0..vms).filter(|n| n % 2 == first % 2).collect(),
        _ => (0..vms).filter(|n| *n != first).collect(),
    }
}

/// Cuts off those of a group that are not cut off already.
pub(crate) async fn cut_off(
    scene: rc::Rc<Scene>,
    group: Vec<usize>,
    way: cut::Cut,
    duration: time::Duration,
) {
    let vms: Vec<&Vm> = group.iter().map(|n| &scene.vms[*n]).collect();
    let vms: Vec<&Vm> = vms
        .into_iter()
        .filter(|vm| vm.cut.get().is_none())
        .collect();
    for vm in &vms {
        vm.cut.set(Some((way, time::Instant::now())));
        for backend in scene.running_backends() {
            let mut sources = backend.sources.borrow_mut();
            sources.cut(vm.options.source_ip, way);
        }
    }
    tokio::time::sleep(duration).await;
    for vm in &vms {
        for backend in scene.running_backends() {
            let mut sources = backend.sources.borrow_mut();
            sources.restore(vm.options.source_ip);
        }
        vm.cut.set(None);
        vm.restored_at.set(Some(time::Instant::now()));
    }
}

/// Checks that VMs that were cut off served first tries as the others did.
pub(crate) fn check_first_tries(scene: &Scene) {
    let FirstTries { cut_off, others } = *scene.first_tries.borrow();
    let failed = cut_off.sent - cut_off.served;
    let is_rare = failed <= 10 + (cut_off.sent + others.sent) / 50;
    if !is_rare && cut_off.share() * 3.0 < others.share() * 2.0 {
        scene.add_violation(format!(
            "VMs cut off from all backend servers served {} of {} first tries, the others {} of {}",
            cut_off.served, cut_off.sent, others.served, others.sent
        ));
    }
}
