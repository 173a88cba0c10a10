//! The event loop that runs one load pattern against one policy.

mod backends;
mod callers;
mod entry;
mod faults;

use std::cmp;
use std::collections;
use std::time;

use super::load::{Call, Pattern};
use super::server::{Job, Server};
use super::{Deployment, load, tally};
use crate::decisions::policy;
use crate::id;
use policy::{AttemptOutcome, Destination, Moment, Policy, RequestOutcome};

/// Interval between the timer ticks of the policies.
const TICK: time::Duration = time::Duration::from_millis(10);

/// Interval between updates of the load reports, and so their maximum staleness.
const REPORT_LAG: time::Duration = time::Duration::from_millis(100);

/// Processing time of a probe.
const PROBE_WORK: time::Duration = time::Duration::from_millis(6);

/// Time between the start of a request that crashes its backend server and the crash.
const CRASH_AFTER: time::Duration = time::Duration::from_millis(1);

/// Time until a crashed backend server is up again.
const RESTART: time::Duration = time::Duration::from_secs(2);

/// Processing time of a request on a backend server that fails immediately.
const FAIL_FAST_WORK: time::Duration = time::Duration::from_micros(500);

/// Delay between a backend server's report of its planned stop and the update of the VM list.
const LIST_LAG: time::Duration = time::Duration::from_secs(2);

/// Period after the announcement of a planned stop in which new work may still arrive.
const LEAVING_GRACE: time::Duration = time::Duration::from_secs(5);

/// Delay before a resend after a lost connection, and the maximum after an unknown outcome.
const ASK_AGAIN: time::Duration = time::Duration::from_millis(200);

/// The entry VM that a policy runs on.
#[derive(Clone, Debug)]
pub struct Site {
    /// Index among all entry VMs.
    pub index: usize,
    /// Name of the VM.
    pub vm: id::VmId,
    /// Index of the availability zone in the deployment.
    pub az: usize,
}

/// An entry VM and its policy.
#[derive(Debug)]
pub struct Node<P> {
    /// Identity and location of the VM.
    pub site: Site,
    /// Whether the VM is running.
    pub up: bool,
    /// Policy of the VM.
    pub policy: P,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(usize),
    AtVm(usize),
    AtServer(usize),
    Done {
        server: usize,
        epoch: u32,
        slot: u64,
    },
    Crash {
        server: usize,
        epoch: u32,
    },
    Restart(usize),
    Reply {
        send: usize,
        how: How,
        report: Option<(u32, u32, bool)>,
    },
    TimeOut(usize),
    CancelAt(usize),
    GiveUp(usize),
    Told(usize),
    ProbeAt {
        server: usize,
        vm: usize,
    },
    ProbeBack {
        server: usize,
        vm: usize,
        report: Option<(u32, u32, bool)>,
    },
    ListSays(usize),
    Fault(usize),
    Tick,
    Refresh,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum How {
    Answered,
    Failed,
    Shed,
    NotSent,
    Lost,
    Cancelled,
}

impl How {
    fn ended(self) -> AttemptOutcome {
        match self {
            Self::Answered => AttemptOutcome::Answered,
            Self::Failed => AttemptOutcome::Failed,
            Self::Shed => AttemptOutcome::Shed,
            Self::NotSent => AttemptOutcome::NotSent,
            Self::Lost => AttemptOutcome::Lost,
            Self::Cancelled => AttemptOutcome::Cancelled,
        }
    }
}

#[derive(Debug, Default)]
struct CallState {
    answered: bool,
    runs: u32,
    resends: u32,
}

/// One request of a call at one entry VM.
#[derive(Debug)]
struct Req {
    call: usize,
    vm: usize,
    asked: Moment,
    parent: Option<usize>,
    ran: bool,
    last: Option<How>,
    settled: Option<RequestOutcome>,
    dead: bool,
    told: bool,
}

/// One attempt at a backend server or another availability zone.
#[derive(Debug)]
struct Send {
    req: usize,
    place: Destination,
    server: Option<usize>,
    child: Option<usize>,
    deadline: Moment,
    ended: bool,
}

/// State of one run.
pub struct World<'a, P, M> {
    dep: &'a Deployment,
    pattern: &'a Pattern,
    calls: &'a [Call],
    make: M,
    now: Moment,
    seq: u64,
    heap: collections::BinaryHeap<cmp::Reverse<(Moment, u64, Event)>>,
    nodes: Vec<Node<P>>,
    servers: Vec<Server>,
    states: Vec<CallState>,
    reqs: Vec<Req>,
    sends: Vec<Send>,
    slots: collections::HashMap<u64, Job>,
    frozen: bool,
    busy_samples: Vec<(u64, u64)>,
    tally: tally::Tally,
}

/// Runs `calls` and the faults of `pattern` against the policies that `make` creates. `control` is
/// called every 10 ms, before the policies' ticks, and may exchange messages between policies.
pub fn run<P: Policy>(
    dep: &Deployment,
    pattern: &Pattern,
    calls: &[Call],
    make: impl FnMut(&Site) -> P,
    control: impl FnMut(Moment, &mut [Node<P>]),
) -> tally::Tally {
    World::new(dep, pattern, calls, make).play(control)
}

impl<'a, P: Policy, M: FnMut(&Site) -> P> World<'a, P, M> {
    fn new(dep: &'a Deployment, pattern: &'a Pattern, calls: &'a [Call], make: M) -> Self {
        let mut world = Self {
            dep,
            pattern,
            calls,
            make,
            now: Moment::ZERO,
            seq: 0,
            heap: collections::BinaryHeap::new(),
            nodes: Vec::new(),
            servers: Vec::new(),
            states: Vec::new(),
            reqs: Vec::new(),
            sends: Vec::new(),
            slots: collections::HashMap::new(),
            frozen: false,
            busy_samples: vec![(0, 0); dep.regions],
            tally: tally::Tally::default(),
        };
        world.build();
        world
    }

    fn build(&mut self) {
        for (az, zone) in self.dep.azs.iter().enumerate() {
            for i in 0..zone.backends {
                let id = format!("{}-backend-{i}", zone.id).as_str().into();
                let server = Server::new(id, az, self.dep.slots, self.dep.backlog);
                self.servers.push(server);
            }
        }
        for (az, zone) in self.dep.azs.iter().enumerate() {
            for i in 0..self.dep.vms_per_az {
                let site = Site {
                    index: self.nodes.len(),
                    vm: format!("{}-entry-{i}", zone.id).as_str().into(),
                    az,
                };
                let policy = (self.make)(&site);
                self.nodes.push(Node {
                    site,
                    up: true,
                    policy,
                });
            }
        }
        self.tally.busy = vec![time::Duration::ZERO; self.servers.len()];
        self.tally.runs = vec![0; self.servers.len()];
        self.tally.per_op = vec![(0, 0); self.dep.ops.len()];
        self.tally.peak_load = vec![0.0; self.dep.regions];
        for (i, call) in self.calls.iter().enumerate() {
            self.states.push(CallState {
                resends: self.pattern.callers.resends,
                ..CallState::default()
            });
            let worth = u64::from(self.dep.ops[call.op].worth);
            if !call.killer {
                self.tally.offered += worth;
                self.tally.per_op[call.op].0 += 1;
                self.tally.ordinary.0 += u64::from(call.caller >= load::Callers::HOT);
            }
            self.push(call.at, Event::Ask(i));
        }
        for (i, (at, _)) in self.pattern.faults.iter().enumerate() {
            self.push(*at, Event::Fault(i));
        }
        self.push(Moment::ZERO, Event::Tick);
        self.push(Moment::ZERO, Event::Refresh);
        for vm in 0..self.nodes.len() {
            self.tell_backends(vm);
        }
    }

    fn play(mut self, mut control: impl FnMut(Moment, &mut [Node<P>])) -> tally::Tally {
        let patience = self.dep.ops.iter().map(|op| op.patience).max();
        let end = self.pattern.lasts() + patience.unwrap_or_default() + RESTART;
        while let Some(cmp::Reverse((at, _, event))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if event == Event::Tick {
                control(at, &mut self.nodes);
            }
            self.step(event);
        }
        self.finish()
    }

    fn finish(mut self) -> tally::Tally {
        let open = |req: &&Req| !req.dead && req.settled.is_none();
        self.tally.unsettled += self.reqs.iter().filter(open).count() as u64;
        self.tally.latencies_us.sort_unstable();
        self.tally
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.seq += 1;
        self.heap.push(cmp::Reverse((at, self.seq, event)));
    }

    fn after(&mut self, delay: time::Duration, event: Event) {
        self.push(self.now + delay, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Ask(call) => self.ask(call),
            Event::AtVm(req) => self.at_vm(req),
            Event::AtServer(send) => self.at_server(send),
            Event::Done {
                server,
                epoch,
                slot,
            } => self.done(server, epoch, slot),
            Event::Crash { server, epoch } => self.crash(server, epoch),
            Event::Restart(server) => self.servers[server].up = true,
            Event::Reply { send, how, report } => self.reply(send, how, report),
            Event::TimeOut(send) => self.time_out(send),
            Event::CancelAt(send) => self.cancel_at(send),
            Event::GiveUp(req) => self.give_up(req),
            Event::Told(req) => self.told(req),
            Event::ProbeAt { server, vm } => self.probe_at(server, vm),
            Event::ProbeBack { server, vm, report } => self.probe_back(server, vm, report),
            Event::ListSays(server) => self.list_says(server),
            Event::Fault(i) => self.fault(i),
            Event::Tick => self.tick(),
            Event::Refresh => self.refresh(),
        }
    }
}

fn read_report((in_flight, queued, leaving): (u32, u32, bool)) -> policy::Report {
    policy::Report {
        in_flight,
        queued,
        leaving,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::decisions::naive;
    use crate::standin::model;

    fn play(load: f64, faults: Vec<(Moment, load::Fault)>) -> tally::Tally {
        let dep = Deployment::read(std::path::Path::new("."), &model::LEDGER).unwrap();
        let mut pattern = Pattern::steady("test", dep.regions, load, time::Duration::from_secs(1));
        pattern.faults = faults;
        let calls = load::calls(&dep, &pattern);
        run(
            &dep,
            &pattern,
            &calls,
            |_| naive::Naive::default(),
            |_, _| {},
        )
    }

    #[test]
    fn a_calm_load_is_answered_whole() {
        let t = play(0.5, Vec::new());
        assert_eq!((t.worth, t.violations()), (t.offered, 0));
    }

    #[test]
    fn the_same_seed_gives_the_same_figures() {
        let (a, b) = (play(2.0, Vec::new()), play(2.0, Vec::new()));
        assert_eq!(format!("{a:?}"), format!("{b:?}"));
    }

    /// A region fails with all in-flight requests. Its callers switch to entry VMs elsewhere.
    #[test]
    fn callers_of_a_lost_region_go_elsewhere() {
        let half = time::Duration::from_millis(500);
        let t = play(0.3, vec![(half, load::Fault::RegionDown(0))]);
        let entered = |region| -> u64 {
            let of = |((r, _), n): (&(usize, u64), &u64)| (*r == region).then_some(*n);
            t.entered.iter().filter_map(of).sum()
        };
        assert!(entered(0) < entered(1), "{:?}", t.entered);
        assert!(t.worth * 10 > t.offered * 9, "{} of {}", t.worth, t.offered);
    }
}
