//! The event loop that runs one scenario with one steering variant.

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use rand::SeedableRng;

use super::{Deployment, Scenario, Tally, Variant, initial_plan};
use crate::decisions::{caps, cross_az, grants, links, plan, policy};
use crate::id;
use policy::Moment;

/// Number of entry VMs in each availability zone.
pub(super) const VMS_PER_AZ: usize = 2;

pub(super) const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval between load reports and between grant requests.
pub(super) const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long callers cache a look-up result.
pub(super) const LOOKUP_TTL: time::Duration = time::Duration::from_secs(5);

/// Propagation delay of a plan version to the entry VMs.
pub(super) const PLAN_PROPAGATION_DELAY: time::Duration = time::Duration::from_secs(2);

/// Expected queueing delay above which a request may spill over to another availability zone.
pub(super) const SPILL_MIN_WAIT: time::Duration = time::Duration::from_millis(100);

/// Factor by which the first request from another region takes longer on cold caches, and the decay
/// constant of the slowdown, in requests served for that region.
pub(super) const COLD_FACTOR_AND_REQUESTS: (f64, f64) = (3.0, 3_000.0);

/// Interval at which a request that waits for capacity under its grant is retried.
pub(super) const GRANT_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(5);

pub(super) const CALLER_COUNT: u64 = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Submit(usize),
    Arrive {
        req: usize,
        vm: usize,
    },
    ArriveSpilled {
        req: usize,
        vm: usize,
        grant: Option<u64>,
    },
    SpillFailed {
        req: usize,
        cause: u8,
    },
    Done {
        az: usize,
        epoch: u32,
        req: usize,
    },
    DeliverAnswer(usize),
    RequestGrant {
        from: usize,
        to: usize,
        per_s: u64,
        asked: Moment,
    },
    ReceiveGrant {
        to: usize,
        asked: Moment,
        number: usize,
    },
    PlanVersion(usize, usize),
    Fault(usize),
    Tick,
}

pub(super) struct Req {
    pub(super) at: Moment,
    pub(super) region: usize,
    pub(super) caller: u64,
    pub(super) op: usize,
    pub(super) work: time::Duration,
    pub(super) deadline: Moment,
    pub(super) vm: usize,
    pub(super) spilled_to: Option<usize>,
    pub(super) first_arrived_at: Option<Moment>,
    pub(super) grant: Option<(usize, grants::GrantId)>,
}

pub(super) struct Vm {
    pub(super) az: usize,
    pub(super) up: bool,
    pub(super) cross_az: cross_az::CrossAzRouter,
    pub(super) granter: grants::Granter,
    pub(super) applied: plan::AppliedPlan,
    pub(super) local_requests: u32,
}

pub(super) struct Az {
    pub(super) name: id::AzId,
    pub(super) region: usize,
    pub(super) slots: u32,
    pub(super) busy: u32,
    pub(super) epoch: u32,
    pub(super) queue: collections::VecDeque<usize>,
    pub(super) served: collections::BTreeMap<usize, f64>,
    pub(super) arrived_work_s: Vec<f64>,
    pub(super) demand: Vec<f64>,
    pub(super) reported_at: Moment,
    pub(super) reported_in_flight: u32,
    pub(super) in_use: f64,
}

pub(super) struct Simulation<'a> {
    pub(super) dep: &'a Deployment,
    pub(super) scenario: &'a Scenario,
    pub(super) variant: Variant,
    pub(super) now: Moment,
    pub(super) seq: u64,
    pub(super) events: collections::BinaryHeap<cmp::Reverse<(Moment, u64, Event)>>,
    pub(super) rng: rand_chacha::ChaCha8Rng,
    pub(super) reqs: Vec<Req>,
    pub(super) vms: Vec<Vm>,
    pub(super) azs: Vec<Az>,
    pub(super) regions: Vec<id::RegionId>,
    pub(super) partitioned: Option<usize>,
    pub(super) issued_grants: Vec<grants::Grant>,
    // Look-up results by (region, caller), each with the epoch of its lifetime.
    pub(super) lookups: collections::BTreeMap<(usize, u64), (u64, Vec<usize>)>,
    pub(super) plan: sync::Arc<plan::Plan>,
    pub(super) plan_versions: Vec<sync::Arc<plan::Plan>>,
    pub(super) plan_written_at: Moment,
    pub(super) tally: Tally,
}

/// Runs a scenario with one steering variant.
pub fn play(dep: &Deployment, scenario: &Scenario, variant: Variant) -> Tally {
    let mut simulation = Simulation::new(dep, scenario, variant);
    simulation.schedule_initial_events();
    while let Some(cmp::Reverse((at, _, event))) = simulation.events.pop() {
        if at > scenario.duration {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    let link = dep.settings.links().next().expect("links are declared");
    let limit = dep.settings.regions().next().expect("regions are declared");
    simulation.tally.cap = dep.service.shift_cap;
    simulation.tally.max_load = limit.max_load;
    let region_slots = f64::from(dep.slots) * 2.0;
    simulation
        .tally
        .finish(region_slots, link.bytes_per_s as f64);
    simulation.tally
}

impl<'a> Simulation<'a> {
    fn new(dep: &'a Deployment, scenario: &'a Scenario, variant: Variant) -> Self {
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
                    arrived_work_s: vec![0.0; regions.len()],
                    demand: vec![0.0; regions.len()],
                    reported_at: Moment::ZERO,
                    reported_in_flight: 0,
                    in_use: 0.0,
                }
            })
            .collect();
        let vms = (0..azs.len() * VMS_PER_AZ)
            .map(|i| new_vm(dep, &azs, i / VMS_PER_AZ, i))
            .collect();
        let plan = sync::Arc::new(initial_plan(dep));
        Self {
            dep,
            scenario,
            variant,
            now: Moment::ZERO,
            seq: 0,
            events: collections::BinaryHeap::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(1),
            reqs: Vec::new(),
            vms,
            azs,
            regions,
            partitioned: None,
            issued_grants: Vec::new(),
            lookups: collections::BTreeMap::new(),
            plan_versions: vec![plan.clone()],
            plan,
            plan_written_at: Moment::ZERO,
            tally: Tally::default(),
        }
    }

    fn schedule_initial_events(&mut self) {
        for vm in 0..self.vms.len() {
            self.vms[vm].applied.offer(self.plan.clone());
        }
        for region in 0..self.regions.len() {
            self.push(Moment::ZERO, Event::Submit(region));
        }
        for (i, (at, _)) in self.scenario.faults.iter().enumerate() {
            self.push(*at, Event::Fault(i));
        }
        self.push(Moment::ZERO, Event::Tick);
    }

    pub(super) fn push(&mut self, at: Moment, event: Event) {
        self.seq += 1;
        self.events.push(cmp::Reverse((at, self.seq, event)));
    }

    pub(super) fn after(&mut self, delay: time::Duration, event: Event) {
        self.push(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(region) => self.submit(region),
            Event::Arrive { req, vm } => self.arrive(req, vm),
            Event::ArriveSpilled { req, vm, grant } => self.arrive_spilled(req, vm, grant),
            Event::SpillFailed { req, cause } => self.spill_failed(req, cause),
            Event::Done { az, epoch, req } => self.done(az, epoch, req),
            Event::DeliverAnswer(req) => self.deliver_answer(req),
            Event::RequestGrant {
                from,
                to,
                per_s,
                asked,
            } => self.request_grant(from, to, per_s, asked),
            Event::ReceiveGrant { to, asked, number } => {
                let grant = self.issued_grants[number].clone();
                self.vms[to].cross_az.set_grant(asked, grant);
            }
            Event::PlanVersion(vm, number) => {
                let plan = self.plan_versions[number].clone();
                self.vms[vm].applied.offer(plan);
            }
            Event::Fault(number) => self.apply_fault(number),
            Event::Tick => self.tick(),
        }
    }
}

pub(super) fn vm_name(vm: usize) -> id::VmId {
    format!("{vm}").as_str().into()
}

pub(super) fn vm_index(name: &id::VmId) -> usize {
    name.as_str()
        .parse()
        .expect("VM names in this model are numbers")
}

fn new_vm(dep: &Deployment, azs: &[Az], az: usize, number: usize) -> Vm {
    let cfg = cross_az::Config {
        caps: caps::Config::of(&dep.service),
        ..cross_az::Config::default()
    };
    let mut cross_az = cross_az::CrossAzRouter::new(cfg, azs[az].name.clone());
    cross_az.set_routes(dep.routes(&azs[az].name));
    let mut outgoing_links = links::Links::new(links::Config::default());
    let home = &dep
        .settings
        .region_of(&azs[az].name)
        .expect("it is declared")
        .name;
    for link in dep.settings.links().filter(|link| link.from == *home) {
        outgoing_links.set(
            Moment::ZERO,
            &link.to,
            link.bytes_per_s,
            4 * VMS_PER_AZ as u32,
        );
    }
    cross_az.set_links(sync::Arc::new(parking_lot::Mutex::new(outgoing_links)));
    let issuer = grants::Issuer {
        service: dep.service.name.clone(),
        az: azs[az].name.clone(),
        vm: vm_name(number),
        incarnation: id::Incarnation(number as u64),
    };
    Vm {
        az,
        up: true,
        cross_az,
        granter: grants::Granter::new(grants::Config::default(), Moment::ZERO, issuer),
        applied: plan::AppliedPlan::default(),
        local_requests: 0,
    }
}
