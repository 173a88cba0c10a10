//! Timed events of the model: faults, load reports, grant requests and plan versions.

use std::collections;
use std::sync;
use std::time;

use super::play::{
    Az, Event, PLAN_PROPAGATION_DELAY, REPORT_INTERVAL, Simulation, TICK_INTERVAL, VMS_PER_AZ,
    vm_name,
};
use super::{Fault, Variant, unlimited_grant};
use crate::decisions::{caps, drain, grants, plan, policy};
use policy::Moment;

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, number: usize) {
        let (_, fault) = self.scenario.faults[number];
        match fault {
            Fault::BackendsDown(region) | Fault::RegionDown(region) => {
                for az in 0..self.azs.len() {
                    if self.azs[az].region != region {
                        continue;
                    }
                    self.azs[az].slots = 0;
                    self.azs[az].busy = 0;
                    self.azs[az].epoch += 1;
                    for req in std::mem::take(&mut self.azs[az].queue) {
                        self.release(req);
                        self.tally.refused += 1;
                    }
                    let vms_fail = matches!(fault, Fault::RegionDown(_));
                    for vm in &mut self.vms[az * VMS_PER_AZ..(az + 1) * VMS_PER_AZ] {
                        vm.up &= !vms_fail;
                    }
                }
            }
            Fault::Cut(region) => self.partitioned = Some(region),
            Fault::Heal(_) => self.partitioned = None,
        }
    }

    pub(super) fn tick(&mut self) {
        self.after(TICK_INTERVAL, Event::Tick);
        let report_due = self
            .now
            .as_millis()
            .is_multiple_of(REPORT_INTERVAL.as_millis());
        for az in 0..self.azs.len() {
            if !report_due {
                break;
            }
            let a = &mut self.azs[az];
            a.reported_in_flight = a.busy + a.queue.len() as u32;
            for (demand, arrived_work_s) in a.demand.iter_mut().zip(&mut a.arrived_work_s) {
                let seen = std::mem::take(arrived_work_s) / REPORT_INTERVAL.as_secs_f64();
                *demand += 0.2 * (seen - *demand);
            }
            if self.vms[az * VMS_PER_AZ].up && self.partitioned != Some(a.region) {
                a.reported_at = self.now;
            }
        }
        for az in &mut self.azs {
            az.in_use += 0.1 * (f64::from(az.busy) - az.in_use);
        }
        for vm in 0..self.vms.len() {
            if self.vms[vm].up {
                self.tick_vm(vm, report_due);
            }
        }
        if report_due && self.variant.plans() && self.now.as_secs().is_multiple_of(2) {
            self.write_plan();
        }
    }

    pub(super) fn tick_vm(&mut self, vm: usize, report_due: bool) {
        let az = self.vms[vm].az;
        let load = self.load(vm);
        let (now, slots, busy) = (self.now, self.azs[az].slots, self.azs[az].busy);
        let queued = self.azs[az].queue.len() as u32;
        let v = &mut self.vms[vm];
        v.cross_az.tick(now);
        v.cross_az.set_local_load(now, slots, busy, queued);
        v.granter.set_load(now, load);
        v.granter.tick(now);
        if !report_due {
            return;
        }
        if self.variant == Variant::OwnFraction {
            for other in 0..self.azs.len() {
                let to = &self.azs[other];
                let full = 0.9 * f64::from(to.slots);
                let name = to.name.clone();
                if f64::from(to.reported_in_flight) < full && self.reaches(az, &name) {
                    let grant = unlimited_grant(&self.dep.service.name, &name);
                    self.vms[vm].cross_az.set_grant(now, grant);
                }
            }
        }
        if !self.variant.grants() {
            return;
        }
        for wanted in self.vms[vm].cross_az.grant_requests(now) {
            let to = self
                .azs
                .iter()
                .position(|a| a.name == wanted.az)
                .expect("it is declared");
            let per_s = wanted.per_s.ceil() as u64;
            let request = Event::RequestGrant {
                from: vm,
                to: to * VMS_PER_AZ + vm % VMS_PER_AZ,
                per_s,
                asked: now,
            };
            self.after(self.dep.one_way(&self.azs[az].name, &wanted.az), request);
        }
    }

    pub(super) fn load(&self, vm: usize) -> grants::Load {
        let az = &self.azs[self.vms[vm].az];
        grants::Load {
            slots: az.slots,
            max_load: 0.9,
            members: VMS_PER_AZ as u32,
            local_requests: self.vms[vm].local_requests,
            az_in_flight: az.busy + az.queue.len() as u32,
            service_time: self.dep.mean_work(),
        }
    }

    pub(super) fn request_grant(&mut self, from: usize, to: usize, per_s: u64, asked: Moment) {
        let name = self.azs[self.vms[to].az].name.clone();
        if !self.vms[to].up || !self.reaches(self.vms[from].az, &name) {
            return;
        }
        let load = self.load(to);
        let granter = &mut self.vms[to].granter;
        granter.set_load(self.now, load);
        if let Some(grant) = granter.request_grant(self.now, &vm_name(from), per_s as f64) {
            self.issued_grants.push(grant);
            let number = self.issued_grants.len() - 1;
            let return_delay = self.dep.one_way(&name, &self.azs[self.vms[from].az].name);
            self.after(
                return_delay,
                Event::ReceiveGrant {
                    to: from,
                    asked,
                    number,
                },
            );
        }
    }

    pub(super) fn write_plan(&mut self) {
        let step = time::Duration::from_millis(self.dep.service.shift_step_ms);
        if self.now < self.plan_written_at + step {
            return;
        }
        let summaries: Vec<_> = self.azs.iter().map(|az| self.summary(az)).collect();
        let mut capacity_shares = collections::BTreeMap::new();
        if let Some(drain) = &self.scenario.drain {
            let remaining = drain::remaining_share(drain, self.now.as_secs_f64());
            for az in drain::target_azs(&self.dep.settings, &drain.target) {
                capacity_shares.insert(az, remaining);
            }
        }
        let cfg = plan::Config::default();
        let inputs = plan::Inputs {
            settings: &self.dep.settings,
            service: &self.dep.service,
            summaries: &summaries,
            capacity_shares: &capacity_shares,
            current: &self.plan.services[&self.dep.service.name],
        };
        let target = plan::target(&cfg, &inputs);
        let name = &self.dep.service.name;
        let max_share = caps::Config::of(&self.dep.service).version_share();
        let Some(next) = plan::step(&cfg, &self.plan.services[name], &target, max_share) else {
            return;
        };
        self.plan_written_at = self.now;
        self.plan = sync::Arc::new(plan::Plan {
            version: self.plan.version + 1,
            services: [(name.clone(), next)].into(),
        });
        self.plan_versions.push(self.plan.clone());
        for vm in 0..self.vms.len() {
            if self
                .partitioned
                .is_none_or(|cut| cut != self.azs[self.vms[vm].az].region)
            {
                let number = self.plan_versions.len() - 1;
                self.after(PLAN_PROPAGATION_DELAY, Event::PlanVersion(vm, number));
            }
        }
    }

    pub(super) fn summary(&self, az: &Az) -> plan::Summary {
        let demand = self.regions.iter().zip(&az.demand);
        plan::Summary {
            az: az.name.clone(),
            service: self.dep.service.name.clone(),
            slots: az.slots,
            in_use: az.in_use,
            demand: demand
                .map(|(region, work)| (region.clone(), *work))
                .collect(),
            age: self.now - az.reported_at,
        }
    }
}
