//! Faults and planned events in the model.

use super::{Event, LIST_UPDATE_DELAY, RESEND_DELAY, SendResult, Simulation};
use crate::decisions::policy;
use crate::standin::model::load;
use crate::standin::model::server::Server;
use load::Fault;
use policy::Policy;

impl<P: Policy, M: FnMut(&super::Site) -> P> Simulation<'_, P, M> {
    pub(super) fn apply_fault(&mut self, i: usize) {
        let pattern = self.pattern;
        match &pattern.faults[i].1 {
            Fault::Slow(server, factor) => self.servers[*server].slowdown = *factor,
            Fault::FailFast(server) => self.servers[*server].fail_fast = true,
            Fault::Recover(server) => {
                self.servers[*server].slowdown = 1.0;
                self.servers[*server].fail_fast = false;
            }
            Fault::ColdFleet => self.servers.iter_mut().for_each(Server::make_cold),
            Fault::FreezeReports => self.reports_frozen = true,
            Fault::FalseReports(server) => self.servers[*server].false_reports = true,
            Fault::Leave(server) => {
                self.servers[*server].leaving = Some(self.now);
                self.after(LIST_UPDATE_DELAY, Event::UpdateList(*server));
            }
            Fault::RegionDown(region) => self.region_down(*region),
            Fault::RegionUp(region) => self.region_up(*region),
        }
    }

    pub(super) fn region_down(&mut self, region: usize) {
        for server in 0..self.servers.len() {
            if self.dep.azs[self.servers[server].az].region == region {
                self.stop_server(server);
            }
        }
        for vm in 0..self.nodes.len() {
            if self.dep.azs[self.nodes[vm].site.az].region == region {
                self.nodes[vm].up = false;
            }
        }
        for req in 0..self.reqs.len() {
            if !self.nodes[self.reqs[req].vm].up && self.reqs[req].settled.is_none() {
                self.lose_request(req);
            }
        }
    }

    /// Handles the loss of a request whose entry VM failed. The connection breaks for its caller,
    /// or for the VM that spilled the request over.
    pub(super) fn lose_request(&mut self, req: usize) {
        let r = &mut self.reqs[req];
        r.lost = true;
        let call = r.call;
        if let Some(attempt) = r.parent {
            let (result, report) = (SendResult::Lost, None);
            return self.after(
                self.dep.region_delay,
                Event::Reply {
                    attempt,
                    result,
                    report,
                },
            );
        }
        if !r.ran || self.dep.ops[self.calls[call].op].idempotent {
            self.resend(call, RESEND_DELAY);
        }
    }

    pub(super) fn region_up(&mut self, region: usize) {
        for server in &mut self.servers {
            if self.dep.azs[server.az].region == region {
                server.up = true;
            }
        }
        for vm in 0..self.nodes.len() {
            let site = self.nodes[vm].site.clone();
            if self.dep.azs[site.az].region != region {
                continue;
            }
            self.nodes[vm].policy = (self.make_policy)(&site);
            self.nodes[vm].up = true;
            self.update_backends(vm);
        }
    }
}
