//! The platform's list of VMs, in the form that the request path uses.

use std::collections;
use std::net;

use crate::coordination::store;
use crate::{id, settings};

/// The listed VMs by id. The fleet is replaced as a whole when the list changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    vms: collections::BTreeMap<id::VmId, store::Vm>,
}

impl Fleet {
    /// Builds the fleet from a list of VMs.
    pub fn new(vms: Vec<store::Vm>) -> Self {
        let vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        Self { vms }
    }

    /// Looks up a VM.
    pub fn vm(&self, vm: &id::VmId) -> Option<&store::Vm> {
        self.vms.get(vm)
    }

    /// The backend servers of a service in one availability zone.
    pub fn backends<'a>(
        &'a self,
        service: &'a id::ServiceId,
        az: &'a id::AzId,
    ) -> impl Iterator<Item = &'a store::Vm> {
        self.vms.values().filter(move |vm| {
            vm.az == *az
                && matches!(&vm.role, store::VmRole::Backend { service: of } if of == service)
        })
    }

    /// All entry VMs.
    pub fn entries(&self) -> impl Iterator<Item = &store::Vm> {
        self.vms
            .values()
            .filter(|vm| matches!(vm.role, store::VmRole::Entry { .. }))
    }

    /// The addresses of all VMs, to which requests may be sent.
    pub fn addrs(&self) -> collections::HashSet<net::SocketAddr> {
        self.vms.values().map(|vm| vm.addr).collect()
    }
}

/// Whether a drain in the settings targets this VM at `now_s`, in seconds since 1970.
pub fn drained(vm: &store::Vm, settings: &settings::Settings, now_s: u64) -> bool {
    settings.drains().any(|drain| {
        let started = drain.start_s <= now_s;
        let ended = drain.end_s.is_some_and(|end| end <= now_s);
        let targets_vm = matches!(&drain.target, settings::DrainTarget::Vm(of) if *of == vm.id);
        targets_vm && started && !ended
    })
}
