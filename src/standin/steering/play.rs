//! One run of a scenario.

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use rand::{RngExt, SeedableRng};

use super::{Deployment, Fault, Scenario, Tally, Way, blank, initial};
use crate::decisions::{across, caps, drain, grants, links, plan, policy};
use crate::id;
use policy::{Ended, Moment};

/// Entry VMs in each availability zone.
const VMS: usize = 2;

const TICK: time::Duration = time::Duration::from_millis(100);

/// How often loads are told and grants asked for.
const TELL: time::Duration = time::Duration::from_millis(500);

/// How long callers keep a look-up.
const TTL: time::Duration = time::Duration::from_secs(5);

/// How long a version of the plan takes to every node.
const SPREAD: time::Duration = time::Duration::from_secs(2);

/// A wait from which a request looks for another place.
const CROSS_AFTER: time::Duration = time::Duration::from_millis(100);

/// How many times as long a request of another region's callers takes on cold caches, and after how
/// many of them most of the cold has gone.
const COLD: (f64, f64) = (3.0, 3_000.0);

/// How often a request that waits for room under its grant is looked at.
const RETRY: time::Duration = time::Duration::from_millis(5);

const CALLERS: u64 = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(usize),
    Arrive {
        req: usize,
        vm: usize,
    },
    Cross {
        req: usize,
        vm: usize,
        grant: Option<u64>,
    },
    Bounce {
        req: usize,
        how: u8,
    },
    Done {
        az: usize,
        epoch: u32,
        req: usize,
    },
    Told(usize),
    Wish {
        from: usize,
        to: usize,
        per_s: u64,
        asked: Moment,
    },
    Granted {
        to: usize,
        asked: Moment,
        number: usize,
    },
    Version(usize, usize),
    Fault(usize),
    Tick,
}

struct Req {
    at: Moment,
    region: usize,
    caller: u64,
    op: usize,
    work: time::Duration,
    deadline: Moment,
    vm: usize,
    crossed: Option<usize>,
    reached: Option<Moment>,
    grant: Option<(usize, grants::GrantId)>,
}

struct Vm {
    az: usize,
    up: bool,
    across: across::Across,
    granter: grants::Granter,
    applied: plan::Applied,
    own: u32,
}

struct Az {
    name: id::AzId,
    region: usize,
    slots: u32,
    busy: u32,
    epoch: u32,
    queue: collections::VecDeque<usize>,
    served: collections::BTreeMap<usize, f64>,
    brought: Vec<f64>,
    demand: Vec<f64>,
    told: Moment,
    in_hand: u32,
    in_use: f64,
}

struct World<'a> {
    dep: &'a Deployment,
    scenario: &'a Scenario,
    way: Way,
    now: Moment,
    seq: u64,
    events: collections::BinaryHeap<cmp::Reverse<(Moment, u64, Event)>>,
    rng: rand_chacha::ChaCha8Rng,
    reqs: Vec<Req>,
    vms: Vec<Vm>,
    azs: Vec<Az>,
    regions: Vec<id::RegionId>,
    cut: Option<usize>,
    granted: Vec<grants::Grant>,
    // A caller's look-up lasts; weights are kept by the times of look-ups.
    lookups: collections::BTreeMap<(usize, u64), (u64, Vec<usize>)>,
    plan: sync::Arc<plan::Plan>,
    versions: Vec<sync::Arc<plan::Plan>>,
    stepped: Moment,
    tally: Tally,
}

/// Plays a scenario in one of the ways.
pub fn play(dep: &Deployment, scenario: &Scenario, way: Way) -> Tally {
    let mut world = World::new(dep, scenario, way);
    world.start();
    while let Some(cmp::Reverse((at, _, event))) = world.events.pop() {
        if at > scenario.lasts {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    let link = dep.settings.links().next().expect("links are declared");
    let limit = dep.settings.regions().next().expect("regions are declared");
    world.tally.cap = dep.service.shift_cap;
    world.tally.max_load = limit.max_load;
    let region_slots = f64::from(dep.slots) * 2.0;
    world.tally.finish(region_slots, link.bytes_per_s as f64);
    world.tally
}

impl<'a> World<'a> {
    fn new(dep: &'a Deployment, scenario: &'a Scenario, way: Way) -> Self {
        let regions: Vec<_> = dep.settings.regions().map(|r| r.name.clone()).collect();
        let azs: Vec<_> = dep
            .service
            .azs
            .iter()
            .map(|name| {
                let home = dep.settings.region_of(name).expect("it is declared");
                Az {
                    name: name.clone(),
                    region: regions.iter().position(|r| *r == home.name).unwrap_or(0),
                    slots: dep.slots,
                    busy: 0,
                    epoch: 0,
                    queue: collections::VecDeque::new(),
                    served: collections::BTreeMap::new(),
                    brought: vec![0.0; regions.len()],
                    demand: vec![0.0; regions.len()],
                    told: Moment::ZERO,
                    in_hand: 0,
                    in_use: 0.0,
                }
            })
            .collect();
        let vms = (0..azs.len() * VMS)
            .map(|i| new_vm(dep, &azs, i / VMS, i))
            .collect();
        let plan = sync::Arc::new(initial(dep));
        Self {
            dep,
            scenario,
            way,
            now: Moment::ZERO,
            seq: 0,
            events: collections::BinaryHeap::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(1),
            reqs: Vec::new(),
            vms,
            azs,
            regions,
            cut: None,
            granted: Vec::new(),
            lookups: collections::BTreeMap::new(),
            versions: vec![plan.clone()],
            plan,
            stepped: Moment::ZERO,
            tally: Tally::default(),
        }
    }

    fn start(&mut self) {
        for vm in 0..self.vms.len() {
            self.vms[vm].applied.offer(self.plan.clone());
        }
        for region in 0..self.regions.len() {
            self.push(Moment::ZERO, Event::Ask(region));
        }
        for (i, (at, _)) in self.scenario.faults.iter().enumerate() {
            self.push(*at, Event::Fault(i));
        }
        self.push(Moment::ZERO, Event::Tick);
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.seq += 1;
        self.events.push(cmp::Reverse((at, self.seq, event)));
    }

    fn after(&mut self, delay: time::Duration, event: Event) {
        self.push(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(region) => self.ask(region),
            Event::Arrive { req, vm } => self.arrive(req, vm),
            Event::Cross { req, vm, grant } => self.cross(req, vm, grant),
            Event::Bounce { req, how } => self.bounce(req, how),
            Event::Done { az, epoch, req } => self.done(az, epoch, req),
            Event::Told(req) => self.told(req),
            Event::Wish {
                from,
                to,
                per_s,
                asked,
            } => self.wish(from, to, per_s, asked),
            Event::Granted { to, asked, number } => {
                let grant = self.granted[number].clone();
                self.vms[to].across.set_grant(asked, grant);
            }
            Event::Version(vm, number) => {
                let plan = self.versions[number].clone();
                self.vms[vm].applied.offer(plan);
            }
            Event::Fault(number) => self.fault(number),
            Event::Tick => self.tick(),
        }
    }

    // ---- callers

    fn ask(&mut self, region: usize) {
        let current = self
            .scenario
            .loads
            .iter()
            .rev()
            .find(|(at, _)| *at <= self.now);
        let load = current.map_or(0.0, |(_, loads)| loads[region]);
        let rate = load * f64::from(self.dep.slots) * 2.0 / self.dep.mean().as_secs_f64();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate.max(1e-3);
        self.after(time::Duration::from_secs_f64(gap), Event::Ask(region));
        let req = self.draw(region);
        let step = self.step_of(self.now);
        *self.tally.asked.entry(step).or_default() += 1;
        self.tally.offered += u64::from(self.worth(req));
        let Some(az) = self.look_up(region, self.reqs[req].caller) else {
            self.tally.refused += 1;
            return;
        };
        let vm = az * VMS + (self.reqs[req].caller as usize) % VMS;
        let far = self.azs[az].region != region;
        let delay = if far { 55 + 8 } else { 8 };
        self.after(
            time::Duration::from_millis(delay),
            Event::Arrive { req, vm },
        );
    }

    fn draw(&mut self, region: usize) -> usize {
        let mut part = self.rng.random::<f64>();
        let shares = &self.dep.shares;
        let op = shares.iter().position(|share| {
            part -= share;
            part < 0.0
        });
        let op = op.unwrap_or(shares.len() - 1);
        let spec = &self.dep.service.operations[op];
        let factor = 0.7 - 0.3 * (1.0 - self.rng.random::<f64>()).ln();
        self.reqs.push(Req {
            at: self.now,
            region,
            caller: self.rng.random_range(0..CALLERS) * 3 + region as u64,
            op,
            work: time::Duration::from_secs_f64(spec.typical_ms * factor / 1e3),
            deadline: self.now + time::Duration::from_millis(spec.patience_ms),
            vm: 0,
            crossed: None,
            reached: None,
            grant: None,
        });
        self.reqs.len() - 1
    }

    /// The place that a caller uses: the first of its look-up that is there.
    fn look_up(&mut self, region: usize, caller: u64) -> Option<usize> {
        let phase = caller % 50;
        let epoch = (self.now.as_millis() as u64 + phase * 100) / TTL.as_millis() as u64;
        let known = self
            .lookups
            .get(&(region, caller))
            .filter(|(at, _)| *at == epoch);
        let order = match known {
            Some((_, order)) => order.clone(),
            None => {
                let order = self.order(region, caller);
                self.lookups
                    .insert((region, caller), (epoch, order.clone()));
                order
            }
        };
        let reachable = |az: &usize| {
            let cut = self
                .cut
                .is_some_and(|cut| (self.azs[*az].region == cut) != (region == cut));
            self.vms[az * VMS].up && !cut
        };
        order.into_iter().find(reachable)
    }

    fn order(&mut self, region: usize, caller: u64) -> Vec<usize> {
        // Any entry VM that is up answers the look-up; one of the own region if it can.
        let home = (0..self.vms.len())
            .find(|vm| self.vms[*vm].up && self.azs[self.vms[*vm].az].region == region);
        let vm = home.or_else(|| (0..self.vms.len()).find(|vm| self.vms[*vm].up));
        let Some(vm) = vm else { return Vec::new() };
        let weights = self.weights(vm, region);
        let mut order: Vec<usize> = plan::order(&weights, caller)
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

    fn weights(&mut self, vm: usize, region: usize) -> plan::Weights {
        let most = caps::Config::of(&self.dep.service).version_share();
        let applied = &mut self.vms[vm].applied;
        let all = applied.advance(self.now, &self.dep.settings, &self.dep.service, most);
        all[&self.regions[region]].clone()
    }

    // ---- entry VMs

    fn arrive(&mut self, req: usize, vm: usize) {
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
            let placed = plan::order(&weights, caller).into_iter().next();
            let here = placed.is_some_and(|placed| {
                self.azs
                    .iter()
                    .any(|a| a.name == placed && a.region == self.azs[az].region)
            });
            if !here && !self.vms[vm].across.takes_displaced(self.now, worth) {
                self.tally.refused += 1;
                return;
            }
        }
        self.vms[vm].across.arrived(self.now);
        let wait = self.wait(az);
        let fits = self.fits(req, az);
        if (wait > CROSS_AFTER || !fits) && self.try_across(req, vm) {
            return;
        }
        if fits {
            self.vms[vm].own += 1;
            self.enqueue(req, az);
        } else {
            self.tally.refused += 1;
        }
    }

    fn wait(&self, az: usize) -> time::Duration {
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

    fn fits(&self, req: usize, az: usize) -> bool {
        let most = (self.reqs[req].deadline - self.reqs[req].at).mul_f64(0.5);
        self.wait(az) < most
            && self.now + self.wait(az) + self.reqs[req].work < self.reqs[req].deadline
    }

    fn try_across(&mut self, req: usize, vm: usize) -> bool {
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
            _ => self.vms[vm].across.choose(now, worth, bytes, deadline),
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
            let grant = self.vms[vm].across.grant(now, &az).expect("it was chosen");
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

    fn count_bytes(&mut self, from: usize, to: usize) {
        let (a, b) = (self.azs[from].region, self.azs[to].region);
        if a != b {
            let second = self.now.as_secs();
            // The request is small beside its answer, which comes back.
            *self.tally.link_bytes.entry((second, b, a)).or_default() += self.scenario.bytes;
        }
    }

    fn reaches(&self, from: usize, to: &id::AzId) -> bool {
        let to = self
            .azs
            .iter()
            .position(|a| a.name == *to)
            .expect("it was declared");
        self.cut
            .is_none_or(|cut| (self.azs[from].region == cut) == (self.azs[to].region == cut))
    }

    fn cross(&mut self, req: usize, vm: usize, grant: Option<u64>) {
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
                if why != grants::Refused::NoGrant && waited < across::ROOM_WAIT {
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

    fn bounce(&mut self, req: usize, how: u8) {
        let (vm, to) = (
            self.reqs[req].vm,
            self.reqs[req].crossed.expect("it went across"),
        );
        let az = self.vms[vm].az;
        let how = if how == 0 {
            Ended::Shed
        } else {
            Ended::TimedOut
        };
        let name = self.azs[to].name.clone();
        self.vms[vm]
            .across
            .ended(self.now, &name, how, self.scenario.bytes);
        if how == Ended::TimedOut {
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

    // ---- slots

    fn enqueue(&mut self, req: usize, az: usize) {
        if self.azs[az].busy < self.azs[az].slots {
            return self.run(req, az);
        }
        self.azs[az].queue.push_back(req);
    }

    fn run(&mut self, req: usize, az: usize) {
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

    fn done(&mut self, az: usize, epoch: u32, req: usize) {
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
            self.vms[vm]
                .across
                .ended(self.now, &name, Ended::Answered, self.scenario.bytes);
        }
        self.after(back, Event::Told(req));
        self.pull(az);
    }

    fn pull(&mut self, az: usize) {
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

    /// A request leaves the place where it was in hand.
    fn end(&mut self, req: usize) {
        if let Some((vm, grant)) = self.reqs[req].grant.take() {
            self.vms[vm].granter.done(grant);
        } else if self.reqs[req].crossed.is_none() {
            let own = &mut self.vms[self.reqs[req].vm].own;
            *own = own.saturating_sub(1);
        }
    }

    fn told(&mut self, req: usize) {
        if self.now <= self.reqs[req].deadline {
            self.tally.worth += u64::from(self.worth(req));
            let latency = self.now - self.reqs[req].at;
            self.tally.latencies_us.push(latency.as_micros() as u32);
        }
    }

    fn worth(&self, req: usize) -> u32 {
        self.dep.service.operations[self.reqs[req].op].worth
    }

    fn step_of(&self, at: Moment) -> u64 {
        at.as_millis() as u64 / self.dep.service.shift_step_ms
    }

    // ---- what time brings

    fn fault(&mut self, number: usize) {
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
                        self.end(req);
                        self.tally.refused += 1;
                    }
                    let dies = matches!(fault, Fault::RegionDown(_));
                    for vm in &mut self.vms[az * VMS..(az + 1) * VMS] {
                        vm.up &= !dies;
                    }
                }
            }
            Fault::Cut(region) => self.cut = Some(region),
            Fault::Heal(_) => self.cut = None,
        }
    }

    fn tick(&mut self) {
        self.after(TICK, Event::Tick);
        let tells = self.now.as_millis() % TELL.as_millis() == 0;
        for az in 0..self.azs.len() {
            if !tells {
                break;
            }
            let a = &mut self.azs[az];
            a.in_hand = a.busy + a.queue.len() as u32;
            for (demand, brought) in a.demand.iter_mut().zip(&mut a.brought) {
                let seen = std::mem::take(brought) / TELL.as_secs_f64();
                *demand += 0.2 * (seen - *demand);
            }
            if self.vms[az * VMS].up && self.cut != Some(a.region) {
                a.told = self.now;
            }
        }
        for az in &mut self.azs {
            az.in_use += 0.1 * (f64::from(az.busy) - az.in_use);
        }
        for vm in 0..self.vms.len() {
            if self.vms[vm].up {
                self.tick_vm(vm, tells);
            }
        }
        if tells && self.way.plans() && self.now.as_secs() % 2 == 0 {
            self.write_plan();
        }
    }

    fn tick_vm(&mut self, vm: usize, tells: bool) {
        let az = self.vms[vm].az;
        let load = self.load(vm);
        let (now, slots, busy) = (self.now, self.azs[az].slots, self.azs[az].busy);
        let queued = self.azs[az].queue.len() as u32;
        let v = &mut self.vms[vm];
        v.across.tick(now);
        v.across.own_load(now, slots, busy, queued);
        v.granter.set_load(now, load);
        v.granter.tick(now);
        if !tells {
            return;
        }
        if self.way == Way::OwnFraction {
            for other in 0..self.azs.len() {
                let to = &self.azs[other];
                let full = 0.9 * f64::from(to.slots);
                let name = to.name.clone();
                if f64::from(to.in_hand) < full && self.reaches(az, &name) {
                    let grant = blank(&self.dep.service.name, &name);
                    self.vms[vm].across.set_grant(now, grant);
                }
            }
        }
        if !self.way.grants() {
            return;
        }
        for wish in self.vms[vm].across.wishes(now) {
            let to = self
                .azs
                .iter()
                .position(|a| a.name == wish.az)
                .expect("it is declared");
            let per_s = wish.per_s.ceil() as u64;
            let ask = Event::Wish {
                from: vm,
                to: to * VMS + vm % VMS,
                per_s,
                asked: now,
            };
            self.after(self.dep.one_way(&self.azs[az].name, &wish.az), ask);
        }
    }

    fn load(&self, vm: usize) -> grants::Load {
        let az = &self.azs[self.vms[vm].az];
        grants::Load {
            slots: az.slots,
            max_load: 0.9,
            members: VMS as u32,
            own: self.vms[vm].own,
            az_in_flight: az.busy + az.queue.len() as u32,
            service_time: self.dep.mean(),
        }
    }

    fn wish(&mut self, from: usize, to: usize, per_s: u64, asked: Moment) {
        let name = self.azs[self.vms[to].az].name.clone();
        if !self.vms[to].up || !self.reaches(self.vms[from].az, &name) {
            return;
        }
        let load = self.load(to);
        let granter = &mut self.vms[to].granter;
        granter.set_load(self.now, load);
        if let Some(grant) = granter.ask(self.now, &vm_name(from), per_s as f64) {
            self.granted.push(grant);
            let number = self.granted.len() - 1;
            let back = self.dep.one_way(&name, &self.azs[self.vms[from].az].name);
            self.after(
                back,
                Event::Granted {
                    to: from,
                    asked,
                    number,
                },
            );
        }
    }

    fn write_plan(&mut self) {
        let step = time::Duration::from_millis(self.dep.service.shift_step_ms);
        if self.now < self.stepped + step {
            return;
        }
        let summaries: Vec<_> = self.azs.iter().map(|az| self.summary(az)).collect();
        let mut left = collections::BTreeMap::new();
        if let Some(drain) = &self.scenario.drain {
            let part = drain::left(drain, self.now.as_secs_f64());
            for az in drain::azs(&self.dep.settings, &drain.target) {
                left.insert(az, part);
            }
        }
        let cfg = plan::Config::default();
        let inputs = plan::Inputs {
            settings: &self.dep.settings,
            service: &self.dep.service,
            summaries: &summaries,
            left: &left,
            now: &self.plan.services[&self.dep.service.name],
        };
        let target = plan::target(&cfg, &inputs);
        let name = &self.dep.service.name;
        let most = caps::Config::of(&self.dep.service).version_share();
        let Some(next) = plan::step(&cfg, &self.plan.services[name], &target, most) else {
            return;
        };
        self.stepped = self.now;
        self.plan = sync::Arc::new(plan::Plan {
            version: self.plan.version + 1,
            services: [(name.clone(), next)].into(),
        });
        self.versions.push(self.plan.clone());
        for vm in 0..self.vms.len() {
            if self
                .cut
                .is_none_or(|cut| cut != self.azs[self.vms[vm].az].region)
            {
                let number = self.versions.len() - 1;
                self.after(SPREAD, Event::Version(vm, number));
            }
        }
    }

    fn summary(&self, az: &Az) -> plan::Summary {
        let demand = self.regions.iter().zip(&az.demand);
        plan::Summary {
            az: az.name.clone(),
            service: self.dep.service.name.clone(),
            slots: az.slots,
            in_use: az.in_use,
            demand: demand
                .map(|(region, work)| (region.clone(), *work))
                .collect(),
            age: self.now - az.told,
        }
    }
}

fn vm_name(vm: usize) -> id::VmId {
    format!("{vm}").as_str().into()
}

fn vm_index(name: &id::VmId) -> usize {
    name.as_str().parse().expect("it is a number here")
}

fn new_vm(dep: &Deployment, azs: &[Az], az: usize, number: usize) -> Vm {
    let cfg = across::Config {
        caps: caps::Config::of(&dep.service),
        ..across::Config::default()
    };
    let mut across = across::Across::new(cfg, azs[az].name.clone());
    across.set_routes(dep.routes(&azs[az].name));
    let mut own_links = links::Links::new(links::Config::default());
    let home = &dep
        .settings
        .region_of(&azs[az].name)
        .expect("it is declared")
        .name;
    for link in dep.settings.links().filter(|link| link.from == *home) {
        own_links.set(Moment::ZERO, &link.to, link.bytes_per_s, 4 * VMS as u32);
    }
    across.set_links(sync::Arc::new(parking_lot::Mutex::new(own_links)));
    let lender = grants::Lender {
        service: dep.service.name.clone(),
        az: azs[az].name.clone(),
        vm: vm_name(number),
        incarnation: id::Incarnation(number as u64),
    };
    Vm {
        az,
        up: true,
        across,
        granter: grants::Granter::new(grants::Config::default(), Moment::ZERO, lender),
        applied: plan::Applied::default(),
        own: 0,
    }
}
