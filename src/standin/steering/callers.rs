//! Callers in the model: they send requests to the availability zone that their look-up returns.

use std::time;

use rand::RngExt;

use super::play::{CALLER_COUNT, Event, LOOKUP_TTL, Req, Simulation, VMS_PER_AZ};
use crate::decisions::{caps, plan};

impl Simulation<'_> {
    pub(super) fn submit(&mut self, region: usize) {
        let current = self
            .scenario
            .loads
            .iter()
            .rev()
            .find(|(at, _)| *at <= self.now);
        let load = current.map_or(0.0, |(_, loads)| loads[region]);
        let rate = load * f64::from(self.dep.slots) * 2.0 / self.dep.mean_work().as_secs_f64();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(1e-3);
        self.after(time::Duration::from_secs_f64(gap), Event::Submit(region));
        let req = self.draw_request(region);
        let step = self.step_of(self.now);
        *self.tally.requests.entry(step).or_default() += 1;
        self.tally.offered += u64::from(self.worth(req));
        let Some(az) = self.look_up(region, self.reqs[req].caller) else {
            self.tally.refused += 1;
            return;
        };
        let vm = az * VMS_PER_AZ + (self.reqs[req].caller as usize) % VMS_PER_AZ;
        let remote = self.azs[az].region != region;
        let delay = if remote { 55 + 8 } else { 8 };
        self.after(
            time::Duration::from_millis(delay),
            Event::Arrive { req, vm },
        );
    }

    pub(super) fn draw_request(&mut self, region: usize) -> usize {
        let mut draw = self.rng.random::<f64>();
        let shares = &self.dep.shares;
        let op = shares.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let op = op.unwrap_or(shares.len() - 1);
        let spec = &self.dep.service.operations[op];
        let factor = 0.7 - 0.3 * (1.0 - self.rng.random::<f64>()).ln();
        self.reqs.push(Req {
            at: self.now,
            region,
            caller: self.rng.random_range(0..CALLER_COUNT) * 3 + region as u64,
            op,
            work: time::Duration::from_secs_f64(spec.typical_ms * factor / 1e3),
            deadline: self.now + time::Duration::from_millis(spec.patience_ms),
            vm: 0,
            spilled_to: None,
            first_arrived_at: None,
            grant: None,
        });
        self.reqs.len() - 1
    }

    /// Selects the first reachable availability zone from the caller's look-up result.
    pub(super) fn look_up(&mut self, region: usize, caller: u64) -> Option<usize> {
        let phase = caller % 50;
        let epoch = (self.now.as_millis() as u64 + phase * 100) / LOOKUP_TTL.as_millis() as u64;
        let known = self
            .lookups
            .get(&(region, caller))
            .filter(|(at, _)| *at == epoch);
        let order = match known {
            Some((_, order)) => order.clone(),
            None => {
                let order = self.lookup_order(region, caller);
                self.lookups
                    .insert((region, caller), (epoch, order.clone()));
                order
            }
        };
        let reachable = |az: &usize| {
            let cut = self
                .partitioned
                .is_some_and(|cut| (self.azs[*az].region == cut) != (region == cut));
            self.vms[az * VMS_PER_AZ].up && !cut
        };
        order.into_iter().find(reachable)
    }

    pub(super) fn lookup_order(&mut self, region: usize, caller: u64) -> Vec<usize> {
        // A running entry VM answers the look-up, preferably one in the caller's region.
        let home = (0..self.vms.len())
            .find(|vm| self.vms[*vm].up && self.azs[self.vms[*vm].az].region == region);
        let vm = home.or_else(|| (0..self.vms.len()).find(|vm| self.vms[*vm].up));
        let Some(vm) = vm else { return Vec::new() };
        let weights = self.weights(vm, region);
        let mut order: Vec<usize> = plan::rank_azs(&weights, caller)
            .iter()
            .filter_map(|az| self.azs.iter().position(|a| a.name == *az))
            .collect();
        let mut rest: Vec<_> = (0..self.azs.len()).collect();
        rest.sort_by_key(|az| (self.azs[*az].region != region, *az as u64 ^ (caller % 4)));
        for az in rest {
            if !order.contains(&az) {
                order.push(az);
            }
        }
        order
    }

    pub(super) fn weights(&mut self, vm: usize, region: usize) -> plan::Weights {
        let max_share = caps::Config::of(&self.dep.service).version_share();
        let applied = &mut self.vms[vm].applied;
        let all = applied.advance(self.now, &self.dep.settings, &self.dep.service, max_share);
        all[&self.regions[region]].clone()
    }
}
