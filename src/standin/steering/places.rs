//! Request handling on entry VMs and slots: admission, spillover, queueing and completion.

use std::time;

use super::Variant;
use super::play::{
    COLD_FACTOR_AND_REQUESTS, Event, GRANT_RETRY_INTERVAL, SPILL_MIN_WAIT, Simulation, VMS_PER_AZ,
    vm_index, vm_name,
};
use crate::decisions::{cross_az, grants, plan, policy};
use crate::id;
use policy::{AttemptOutcome, Moment};

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, req: usize, vm: usize) {
        self.reqs[req].vm = vm;
        if !self.vms[vm].up {
            self.tally.lost += 1;
            return;
        }
        let (region, caller) = (self.reqs[req].region, self.reqs[req].caller);
        let az = self.vms[vm].az;
        let worth = self.worth(req);
        self.azs[az].arrived_work_s[region] += self.reqs[req].work.as_secs_f64();
        if self.azs[az].region != region && self.variant != Variant::Naive {
            let weights = self.weights(vm, region);
            let placed = plan::rank_azs(&weights, caller).into_iter().next();
            let here = placed.is_some_and(|placed| {
                self.azs
                    .iter()
                    .any(|a| a.name == placed && a.region == self.azs[az].region)
            });
            if !here && !self.vms[vm].cross_az.admit_displaced(self.now, worth) {
                self.tally.refused += 1;
                return;
            }
        }
        self.vms[vm].cross_az.arrived(self.now);
        let wait = self.expected_wait(az);
        let fits = self.has_capacity(req, az);
        if (wait > SPILL_MIN_WAIT || !fits) && self.try_spill(req, vm) {
            return;
        }
        if fits {
            self.vms[vm].local_requests += 1;
            self.enqueue(req, az);
        } else {
            self.tally.refused += 1;
        }
    }

    pub(super) fn expected_wait(&self, az: usize) -> time::Duration {
        let az = &self.azs[az];
        if az.slots == 0 {
            return time::Duration::from_secs(3_600);
        }
        let ahead = (az.queue.len() + 1) as f64 / f64::from(az.slots);
        if az.busy < az.slots {
            return time::Duration::ZERO;
        }
        self.dep.mean_work().mul_f64(ahead)
    }

    pub(super) fn has_capacity(&self, req: usize, az: usize) -> bool {
        let max_wait = (self.reqs[req].deadline - self.reqs[req].at).mul_f64(0.5);
        self.expected_wait(az) < max_wait
            && self.now + self.expected_wait(az) + self.reqs[req].work < self.reqs[req].deadline
    }

    pub(super) fn try_spill(&mut self, req: usize, vm: usize) -> bool {
        if self.reqs[req].spilled_to.is_some() {
            return false;
        }
        let (now, deadline) = (self.now, self.reqs[req].deadline);
        let (bytes, worth) = (self.scenario.bytes, self.worth(req));
        let from = self.vms[vm].az;
        let chosen = match self.variant {
            Variant::PlanOnly => None,
            Variant::Naive => {
                let mut routes = self.dep.routes(&self.azs[from].name);
                routes.sort_by_key(|route| (route.one_way, route.az.clone()));
                let up = |az: &id::AzId| {
                    self.azs
                        .iter()
                        .any(|a| a.name == *az && a.slots > 0 && self.reaches(from, az))
                };
                routes.into_iter().map(|route| route.az).find(up)
            }
            _ => self.vms[vm].cross_az.choose(now, worth, bytes, deadline),
        };
        let Some(az) = chosen else { return false };
        let to = self
            .azs
            .iter()
            .position(|a| a.name == az)
            .expect("the availability zone is declared");
        let mut target = to * VMS_PER_AZ + vm % VMS_PER_AZ;
        let mut number = None;
        if self.variant.grants() {
            let grant = self.vms[vm]
                .cross_az
                .grant(now, &az)
                .expect("a zone is only chosen with a grant");
            number = Some(grant.id.number);
            target = vm_index(&grant.vm);
        }
        self.tally.spilled += 1;
        self.reqs[req].spilled_to = Some(to);
        self.count_bytes(from, to);
        let arrival = Event::ArriveSpilled {
            req,
            vm: target,
            grant: number,
        };
        self.after(self.dep.one_way(&self.azs[from].name, &az), arrival);
        true
    }

    pub(super) fn count_bytes(&mut self, from: usize, to: usize) {
        let (a, b) = (self.azs[from].region, self.azs[to].region);
        if a != b {
            let second = self.now.as_secs();
            // Only the link of the answer counts: the request is much smaller than its answer.
            *self.tally.link_bytes.entry((second, b, a)).or_default() += self.scenario.bytes;
        }
    }

    pub(super) fn reaches(&self, from: usize, to: &id::AzId) -> bool {
        let to = self
            .azs
            .iter()
            .position(|a| a.name == *to)
            .expect("the availability zone is declared");
        self.partitioned
            .is_none_or(|cut| (self.azs[from].region == cut) == (self.azs[to].region == cut))
    }

    pub(super) fn arrive_spilled(&mut self, req: usize, vm: usize, grant: Option<u64>) {
        let az = self.vms[vm].az;
        let sender = self.reqs[req].vm;
        let name = self.azs[az].name.clone();
        if !self.vms[vm].up || !self.reaches(self.vms[sender].az, &name) {
            let wait = time::Duration::from_millis(500);
            return self.after(wait, Event::SpillFailed { req, cause: 1 });
        }
        let return_delay = self.dep.one_way(&name, &self.azs[self.vms[sender].az].name);
        if let Some(number) = grant {
            let id = grants::GrantId {
                incarnation: id::Incarnation(vm as u64),
                number,
            };
            let load = self.load(vm);
            let granter = &mut self.vms[vm].granter;
            granter.set_load(self.now, load);
            if let Err(why) = granter.admit(self.now, &vm_name(sender), id) {
                let waited = self.now - self.reqs[req].first_arrived_at.unwrap_or(self.now);
                self.reqs[req].first_arrived_at.get_or_insert(self.now);
                if why != grants::Refused::NoGrant && waited < cross_az::MAX_SLOT_WAIT {
                    return self.after(
                        GRANT_RETRY_INTERVAL,
                        Event::ArriveSpilled { req, vm, grant },
                    );
                }
                return self.after(return_delay, Event::SpillFailed { req, cause: 0 });
            }
            self.reqs[req].grant = Some((vm, id));
        } else if !self.has_capacity(req, az) {
            return self.after(return_delay, Event::SpillFailed { req, cause: 0 });
        }
        self.enqueue(req, az);
    }

    pub(super) fn spill_failed(&mut self, req: usize, cause: u8) {
        let (vm, to) = (
            self.reqs[req].vm,
            self.reqs[req]
                .spilled_to
                .expect("only a spilled request can fail remotely"),
        );
        let az = self.vms[vm].az;
        let outcome = if cause == 0 {
            AttemptOutcome::Shed
        } else {
            AttemptOutcome::TimedOut
        };
        let name = self.azs[to].name.clone();
        self.vms[vm]
            .cross_az
            .ended(self.now, &name, outcome, self.scenario.bytes);
        if outcome == AttemptOutcome::TimedOut {
            self.tally.lost += 1;
            return;
        }
        self.tally.bounced += 1;
        if self.has_capacity(req, az) {
            self.vms[vm].local_requests += 1;
            self.reqs[req].spilled_to = None;
            self.enqueue(req, az);
        } else {
            self.tally.refused += 1;
        }
    }

    pub(super) fn enqueue(&mut self, req: usize, az: usize) {
        if self.azs[az].busy < self.azs[az].slots {
            return self.run(req, az);
        }
        self.azs[az].queue.push_back(req);
    }

    pub(super) fn run(&mut self, req: usize, az: usize) {
        let region = self.reqs[req].region;
        let mut work = self.reqs[req].work;
        let foreign = self.azs[az].region != region;
        let step = self.step_of(self.now);
        let second = self.now.as_secs();
        if foreign {
            let served = self.azs[az].served.entry(region).or_insert(0.0);
            work = work.mul_f64(
                1.0 + (COLD_FACTOR_AND_REQUESTS.0 - 1.0)
                    * (-*served / COLD_FACTOR_AND_REQUESTS.1).exp(),
            );
            *served += 1.0;
            *self
                .tally
                .foreign
                .entry((second, self.azs[az].region))
                .or_default() += 1;
        }
        let cell = (region, self.azs[az].region);
        *self
            .tally
            .served
            .entry(step)
            .or_default()
            .entry(cell)
            .or_default() += 1;
        let busy = self
            .tally
            .busy_us
            .entry((second, self.azs[az].region))
            .or_default();
        *busy += work.as_secs_f64() * 1e6;
        self.azs[az].busy += 1;
        let epoch = self.azs[az].epoch;
        self.after(work, Event::Done { az, epoch, req });
    }

    pub(super) fn done(&mut self, az: usize, epoch: u32, req: usize) {
        if self.azs[az].epoch != epoch {
            self.tally.lost += 1;
            return self.release(req);
        }
        self.azs[az].busy -= 1;
        self.release(req);
        let from = self.vms[self.reqs[req].vm].az;
        let mut return_delay = time::Duration::from_millis(8);
        if self.azs[from].region != self.reqs[req].region {
            return_delay += time::Duration::from_millis(55);
        }
        if let Some(to) = self.reqs[req].spilled_to {
            return_delay += self.dep.one_way(&self.azs[from].name, &self.azs[to].name);
            let (vm, name) = (self.reqs[req].vm, self.azs[to].name.clone());
            self.vms[vm].cross_az.ended(
                self.now,
                &name,
                AttemptOutcome::Answered,
                self.scenario.bytes,
            );
        }
        self.after(return_delay, Event::DeliverAnswer(req));
        self.start_queued(az);
    }

    pub(super) fn start_queued(&mut self, az: usize) {
        while self.azs[az].busy < self.azs[az].slots {
            let Some(req) = self.azs[az].queue.pop_front() else {
                return;
            };
            if self.now + self.reqs[req].work < self.reqs[req].deadline {
                self.run(req, az);
            } else {
                self.release(req);
                self.tally.refused += 1;
            }
        }
    }

    /// Releases the request from the VM or grant that counts it as in flight.
    pub(super) fn release(&mut self, req: usize) {
        if let Some((vm, grant)) = self.reqs[req].grant.take() {
            self.vms[vm].granter.done(grant);
        } else if self.reqs[req].spilled_to.is_none() {
            let local_requests = &mut self.vms[self.reqs[req].vm].local_requests;
            *local_requests = local_requests.saturating_sub(1);
        }
    }

    pub(super) fn deliver_answer(&mut self, req: usize) {
        if self.now <= self.reqs[req].deadline {
            self.tally.worth += u64::from(self.worth(req));
            let latency = self.now - self.reqs[req].at;
            self.tally.latencies_us.push(latency.as_micros() as u32);
        }
    }

    pub(super) fn worth(&self, req: usize) -> u32 {
        self.dep.service.operations[self.reqs[req].op].worth
    }

    pub(super) fn step_of(&self, at: Moment) -> u64 {
        at.as_millis() as u64 / self.dep.service.shift_step_ms
    }
}
