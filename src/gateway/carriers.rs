//! The entry VMs that carry this VM's requests through tunnels. One that stops answering, for example
//! because its process is frozen, acknowledges what is sent to it all the same, so nothing else shows
//! that the requests in its tunnels wait in vain.

use std::collections;
use std::rc;

use tokio::sync;
use tokio::task;

use super::{Gateway, tunnels};
use crate::decisions::{policy, reachability};
use crate::id;

/// What is known of a VM that carries requests.
#[derive(Debug, Default)]
struct Carrier {
    /// Requests sent through it that wait for answers.
    in_flight: usize,
    /// When bytes last arrived through it.
    contact_at: policy::Moment,
    /// Whether it is being checked.
    checking: bool,
    /// Notified when it has stopped answering.
    hangs: rc::Rc<sync::Notify>,
}

/// The VMs that carry requests.
#[derive(Debug, Default)]
pub(super) struct Carriers(collections::HashMap<id::VmId, Carrier>);

/// A request in a tunnel, until it is dropped.
#[derive(Debug)]
pub(super) struct CarriedRequest {
    cx: Gateway,
    vm: id::VmId,
    /// Notified when the VM that carries it has stopped answering.
    pub(super) hangs: rc::Rc<sync::Notify>,
}

impl Drop for CarriedRequest {
    fn drop(&mut self) {
        let mut carriers = self.cx.carriers.borrow_mut();
        if let Some(carrier) = carriers.0.get_mut(&self.vm) {
            carrier.in_flight -= 1;
            if carrier.in_flight == 0 && !carrier.checking {
                carriers.0.remove(&self.vm);
            }
        }
    }
}

impl Gateway {
    /// Registers a request that is sent through a VM.
    pub(super) fn send_through(&self, vm: &id::VmId) -> CarriedRequest {
        let mut carriers = self.carriers.borrow_mut();
        let carrier = carriers.0.entry(vm.clone()).or_default();
        if carrier.in_flight == 0 {
            carrier.contact_at = self.now();
        }
        carrier.in_flight += 1;
        CarriedRequest {
            cx: self.clone(),
            vm: vm.clone(),
            hangs: carrier.hangs.clone(),
        }
    }

    /// Records an answer that came through a VM.
    pub(super) fn record_carrier_contact(&self, vm: &id::VmId) {
        if let Some(carrier) = self.carriers.borrow_mut().0.get_mut(vm) {
            carrier.contact_at = self.now();
        }
    }

    /// Checks the VMs through which no answer has come for some time while requests wait.
    pub(super) fn check_silent_carriers(&self) {
        let now = self.now();
        let is_silent = |carrier: &Carrier| {
            carrier.in_flight > 0
                && !carrier.checking
                && now.saturating_sub(carrier.contact_at) >= reachability::MAX_CARRIER_SILENCE
        };
        for (vm, carrier) in &mut self.carriers.borrow_mut().0 {
            if is_silent(carrier) {
                carrier.checking = true;
                task::spawn_local(self.clone().check_carrier(vm.clone()));
            }
        }
    }

    async fn check_carrier(self, vm: id::VmId) {
        let answers = self.answers_peers(&vm).await;
        let mut carriers = self.carriers.borrow_mut();
        let Some(carrier) = carriers.0.get_mut(&vm) else {
            return;
        };
        carrier.checking = false;
        carrier.contact_at = self.now();
        if !answers {
            carrier.hangs.notify_waiters();
            slog::info!(self.log, "entry VM that carries requests does not answer"; "vm" => %vm, "requests" => carrier.in_flight);
        }
        if carrier.in_flight == 0 {
            carriers.0.remove(&vm);
        }
        drop(carriers);
        if !answers {
            self.skip_peer(&vm, tunnels::UNRESPONSIVE_SKIP_TIME);
            self.pool.borrow_mut().drop_through(&vm);
        }
    }
}
