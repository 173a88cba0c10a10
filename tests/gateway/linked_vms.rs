//! Entry VMs that each reach the backend servers over links of their own, which tests can cut.

use std::net;
use std::time;

use bulrushwind::gateway;
use bulrushwind::state::{backends, entries};
use futures_util::future;
use tokio::task;

use super::harness::{self, Caller, Harness, LONG, Reaction, get_object, post};
use super::support::{cut, proxy};

/// An entry VM with its links.
pub(crate) struct LinkedVm {
    pub(crate) cx: gateway::Gateway,
    pub(crate) links: Vec<cut::Link>,
    pub(crate) name: String,
    pub(crate) caller_addr: net::SocketAddr,
    /// In front of its address for other VMs.
    pub(crate) peer_proxy: proxy::Proxy,
}

/// Entry VMs that know each other and the same backend servers.
pub(crate) struct LinkedVms {
    pub(crate) harness: Harness,
    pub(crate) vms: Vec<LinkedVm>,
}

impl LinkedVms {
    /// Starts entry VMs in one availability zone with this many backend servers, which share one
    /// script.
    pub(crate) async fn new(vm_count: usize, backend_count: usize, script: &[Reaction]) -> Self {
        let harness = Harness::new(backend_count, script).await;
        Self::in_zones(harness, &vec!["az"; vm_count])
    }

    /// Starts an entry VM in each of these availability zones for the harness's backend servers.
    pub(crate) fn in_zones(harness: Harness, zones: &[&str]) -> Self {
        let vms: Vec<LinkedVm> = zones
            .iter()
            .enumerate()
            .map(|(n, az)| LinkedVm::start(&harness, az, &format!("vm-{n}")))
            .collect();
        for vm in &vms {
            for other in &vms {
                vm.list(other);
            }
        }
        Self { harness, vms }
    }

    pub(crate) async fn caller(&self, vm: usize) -> Caller {
        Caller::connect(self.vms[vm].caller_addr).await
    }

    pub(crate) async fn cut(&self, vm: usize, way: cut::Cut) {
        for link in &self.vms[vm].links {
            link.cut(way).await;
        }
    }

    pub(crate) async fn restore(&self, vm: usize) {
        for link in &self.vms[vm].links {
            link.restore().await;
        }
    }

    /// Waits until a condition holds.
    pub(crate) async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        self.harness.until(what, |_| holds(self)).await;
    }

    /// Reads at a VM until several reads in a row are answered.
    pub(crate) async fn wait_until_serving(&self, vm: usize) {
        /// Answers in a row that show that the VM serves again.
        const ANSWERS: usize = 3;
        let started = time::Instant::now();
        let mut caller = self.caller(vm).await;
        while caller.read_objects(0..ANSWERS).await < ANSWERS {
            assert!(started.elapsed() < LONG, "never: the VM serves its callers");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Sends rounds of concurrent reads and bookings to a VM. Returns the statuses other than 200.
    pub(crate) async fn failed_first_tries(&self, vm: usize, rounds: usize) -> Vec<u16> {
        /// Concurrent requests; more than the idle connections that a VM keeps.
        const CALLERS: usize = 12;
        let mut failed = Vec::new();
        for round in 0..rounds {
            let tries = (0..CALLERS).map(|n| async move {
                let id = format!("vm{vm}-round{round}-{n}");
                let request = match n % 2 {
                    0 => get_object(&format!("/read/{n}"), &id, n),
                    _ => post(&format!("/book/{n}"), &id, "bay 4"),
                };
                self.caller(vm).await.request(&request).await.status
            });
            let statuses = future::join_all(tries).await;
            failed.extend(statuses.into_iter().filter(|status| *status != 200));
        }
        failed
    }
}

impl LinkedVm {
    fn start(harness: &Harness, az: &str, name: &str) -> Self {
        let (cx, caller_addr) = harness::start_vm_in(az, name);
        let peer_proxy = proxy::Proxy::start(harness::serve_peers(&cx));
        task::spawn_local(cx.clone().upkeep());
        let links = harness
            .listed
            .borrow()
            .iter()
            .map(|(id, listed)| {
                let link = cut::Link::start(listed.addr);
                let listed = backends::Listed {
                    addr: link.addr,
                    ..listed.clone()
                };
                cx.update_backend(id, listed);
                link
            })
            .collect();
        Self {
            cx,
            links,
            name: name.to_owned(),
            caller_addr,
            peer_proxy,
        }
    }

    /// Lists another VM on this one.
    pub(crate) fn list(&self, other: &Self) {
        let entry = entries::Entry {
            peer_addr: Some(other.peer_proxy.addr),
            az: other.cx.cfg.az.clone(),
            ..harness::entry_at(other.caller_addr)
        };
        self.cx.update_entry(&other.name.as_str().into(), entry);
    }
}
