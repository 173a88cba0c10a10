//! Request handling on entry VMs and slots: admission, spillover, queueing and completion.

use std::time;

use super::Way;
use super::play::{COLD, CROSS_AFTER, Event, RETRY, VMS, World, vm_index, vm_name};
use crate::decisions::{cross_az, grants, plan, policy};
use crate::id;
use policy::{AttemptOutcome, Moment};

impl World<'_> {
    pub(super) fn arrive(&mut self, req: usize, vm: usize) {
        self.reqs[req].vm = vm;
        if !self.vms[vm].up {
            self.tally.lost += 1;
            return;
        }
        let (region, caller) = (self.reqs[req].region, self.reqs[req].caller);
        let az = self.vms[vm].az;
        let worth = self.worth(req);
        self.azs[az].brought[region] += self.reqs[req].work.as_secs_f64();
        if self.azs[az].region != region && self.way != Way::Naive {
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
        let wait = self.wait(az);
        let fits = self.fits(req, az);
        if (wait > CROSS_AFTER || !fits) && self.try_cross_az(req, vm) {
            return;
        }
        if fits {
            self.vms[vm].own += 1;
            self.enqueue(req, az);
        } else {
            self.tally.refused += 1;
        }
    }

    pub(super) fn wait(&self, az: usize) -> time::Duration {
        let az = &self.azs[az];
        if az.slots == 0 {
            return time::Duration::from_secs(3_600);
        }
        let ahead = (az.queue.len() + 1) as f64 / f64::from(az.slots);
        if az.busy < az.slots {
            return time::Duration::ZERO;
        }
        self.dep.mean().mul_f64(ahead)
    }

    pub(super) fn fits(&self, req: usize, az: usize) -> bool {
        let most = (self.reqs[req].deadline - self.reqs[req].at).mul_f64(0.5);
        self.wait(az) < most
            && self.now + self.wait(az) + self.reqs[req].work < self.reqs[req].deadline
    }

    pub(super) fn try_cross_az(&mut self, req: usize, vm: usize) -> bool {
        if self.reqs[req].crossed.is_some() {
            return false;
        }
        let (now, deadline) = (self.now, self.reqs[req].deadline);
        let (bytes, worth) = (self.scenario.bytes, self.worth(req));
        let from = self.vms[vm].az;
        let chosen = match self.way {
            Way::PlanOnly => None,
            Way::Naive => {
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
            .expect("it was declared");
        let mut target = to * VMS + vm % VMS;
        let mut number = None;
        if self.way.grants() {
            let grant = self.vms[vm]
                .cross_az
                .grant(now, &az)
                .expect("it was chosen");
            number = Some(grant.id.number);
            target = vm_index(&grant.vm);
        }
        self.tally.spilled += 1;
        self.reqs[req].crossed = Some(to);
        self.count_bytes(from, to);
        let cross = Event::Cross {
            req,
            vm: target,
            grant: number,
        };
        self.after(self.dep.one_way(&self.azs[from].name, &az), cross);
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
            .expect("it was declared");
        self.cut
            .is_none_or(|cut| (self.azs[from].region == cut) == (self.azs[to].region == cut))
    }

    pub(super) fn cross(&mut self, req: usize, vm: usize, grant: Option<u64>) {
        let az = self.vms[vm].az;
        let sender = self.reqs[req].vm;
        let name = self.azs[az].name.clone();
        if !self.vms[vm].up || !self.reaches(self.vms[sender].az, &name) {
            let wait = time::Duration::from_millis(500);
            return self.after(wait, Event::Bounce { req, how: 1 });
        }
        let back = self.dep.one_way(&name, &self.azs[self.vms[sender].az].name);
        if let Some(number) = grant {
            let id = grants::GrantId {
                incarnation: id::Incarnation(vm as u64),
                number,
            };
            let load = self.load(vm);
            let granter = &mut self.vms[vm].granter;
            granter.set_load(self.now, load);
            if let Err(why) = granter.admit(self.now, &vm_name(sender), id) {
                let waited = self.now - self.reqs[req].reached.unwrap_or(self.now);
                self.reqs[req].reached.get_or_insert(self.now);
                if why != grants::Refused::NoGrant && waited < cross_az::MAX_SLOT_WAIT {
                    return self.after(RETRY, Event::Cross { req, vm, grant });
                }
                return self.after(back, Event::Bounce { req, how: 0 });
            }
            self.reqs[req].grant = Some((vm, id));
        } else if !self.fits(req, az) {
            return self.after(back, Event::Bounce { req, how: 0 });
        }
        self.enqueue(req, az);
    }

    pub(super) fn bounce(&mut self, req: usize, how: u8) {
        let (vm, to) = (
            self.reqs[req].vm,
            self.reqs[req].crossed.expect("it went across"),
        );
        let az = self.vms[vm].az;
        let how = if how == 0 {
            AttemptOutcome::Shed
        } else {
            AttemptOutcome::TimedOut
        };
        let name = self.azs[to].name.clone();
        self.vms[vm]
            .cross_az
            .ended(self.now, &name, how, self.scenario.bytes);
        if how == AttemptOutcome::TimedOut {
            self.tally.lost += 1;
            return;
        }
        self.tally.bounced += 1;
        if self.fits(req, az) {
            self.vms[vm].own += 1;
            self.reqs[req].crossed = None;
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
            work = work.mul_f64(1.0 + (COLD.0 - 1.0) * (-*served / COLD.1).exp());
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
            return self.end(req);
        }
        self.azs[az].busy -= 1;
        self.end(req);
        let from = self.vms[self.reqs[req].vm].az;
        let mut back = time::Duration::from_millis(8);
        if self.azs[from].region != self.reqs[req].region {
            back += time::Duration::from_millis(55);
        }
        if let Some(to) = self.reqs[req].crossed {
            back += self.dep.one_way(&self.azs[from].name, &self.azs[to].name);
            let (vm, name) = (self.reqs[req].vm, self.azs[to].name.clone());
            self.vms[vm].cross_az.ended(
                self.now,
                &name,
                AttemptOutcome::Answered,
                self.scenario.bytes,
            );
        }
        self.after(back, Event::Told(req));
        self.pull(az);
    }

    pub(super) fn pull(&mut self, az: usize) {
        while self.azs[az].busy < self.azs[az].slots {
            let Some(req) = self.azs[az].queue.pop_front() else {
                return;
            };
            if self.now + self.reqs[req].work < self.reqs[req].deadline {
                self.run(req, az);
            } else {
                self.end(req);
                self.tally.refused += 1;
            }
        }
    }

    /// Releases the request from the VM or grant that counts it as in flight.
    pub(super) fn end(&mut self, req: usize) {
        if let Some((vm, grant)) = self.reqs[req].grant.take() {
            self.vms[vm].granter.done(grant);
        } else if self.reqs[req].crossed.is_none() {
            let own = &mut self.vms[self.reqs[req].vm].own;
            *own = own.saturating_sub(1);
        }
    }

    pub(super) fn told(&mut self, req: usize) {
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
