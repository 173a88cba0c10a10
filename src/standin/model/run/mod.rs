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
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Interval between updates of the load reports, and so their maximum staleness.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Processing time of a probe.
const PROBE_WORK_TIME: time::Duration = time::Duration::from_millis(6);

/// Time between the start of a request that crashes its backend server and the crash.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(1);

/// Time until a crashed backend server is up again.
const RESTART_DOWNTIME: time::Duration = time::Duration::from_secs(2);

/// Processing time of a request on a backend server that fails immediately.
const FAIL_FAST_WORK_TIME: time::Duration = time::Duration::from_micros(500);

/// Delay between a backend server's report of its planned stop and the update of the VM list.
const LIST_UPDATE_DELAY: time::Duration = time::Duration::from_secs(2);

/// Period after the announcement of a planned stop in which new work may still arrive.
const LEAVING_GRACE_PERIOD: time::Duration = time::Duration::from_secs(5);

/// Delay before a resend after a lost connection, and the maximum after an unknown outcome.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(200);

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
    Submit(usize),
    ArriveAtVm(usize),
    ArriveAtServer(usize),
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
        attempt: usize,
        result: SendResult,
        report: Option<(u32, u32, bool)>,
    },
    TimeOut(usize),
    CancelAttempt(usize),
    GiveUp(usize),
    DeliverOutcome(usize),
    ProbeArrived {
        server: usize,
        vm: usize,
    },
    ProbeReplied {
        server: usize,
        vm: usize,
        report: Option<(u32, u32, bool)>,
    },
    UpdateList(usize),
    Fault(usize),
    Tick,
    Refresh,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SendResult {
    Answered,
    Failed,
    Shed,
    NotSent,
    Lost,
    Cancelled,
}

impl SendResult {
    fn outcome(self) -> AttemptOutcome {
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
    last_result: Option<SendResult>,
    settled: Option<RequestOutcome>,
    lost: bool,
    caller_done: bool,
}

/// One attempt at a backend server or another availability zone.
#[derive(Debug)]
struct Attempt {
    req: usize,
    destination: Destination,
    server: Option<usize>,
    child: Option<usize>,
    deadline: Moment,
    ended: bool,
}

/// State of one run.
pub struct Simulation<'a, P, M> {
    dep: &'a Deployment,
    pattern: &'a Pattern,
    calls: &'a [Call],
    make_policy: M,
    now: Moment,
    seq: u64,
    events: collections::BinaryHeap<cmp::Reverse<(Moment, u64, Event)>>,
    nodes: Vec<Node<P>>,
    servers: Vec<Server>,
    states: Vec<CallState>,
    reqs: Vec<Req>,
    attempts: Vec<Attempt>,
    running_jobs: collections::HashMap<u64, Job>,
    reports_frozen: bool,
    busy_samples: Vec<(u64, u64)>,
    tally: tally::Tally,
}

/// Runs `calls` and the faults of `pattern` against the policies from `make_policy`. `control` is
/// called every 10 ms, before the policies' ticks, and may exchange messages between policies.
pub fn run<P: Policy>(
    dep: &Deployment,
    pattern: &Pattern,
    calls: &[Call],
    make_policy: impl FnMut(&Site) -> P,
    control: impl FnMut(Moment, &mut [Node<P>]),
) -> tally::Tally {
    Simulation::new(dep, pattern, calls, make_policy).play(control)
}

impl<'a, P: Policy, M: FnMut(&Site) -> P> Simulation<'a, P, M> {
    fn new(dep: &'a Deployment, pattern: &'a Pattern, calls: &'a [Call], make_policy: M) -> Self {
        let mut simulation = Self {
            dep,
            pattern,
            calls,
            make_policy,
            now: Moment::ZERO,
            seq: 0,
            events: collections::BinaryHeap::new(),
            nodes: Vec::new(),
            servers: Vec::new(),
            states: Vec::new(),
            reqs: Vec::new(),
            attempts: Vec::new(),
            running_jobs: collections::HashMap::new(),
            reports_frozen: false,
            busy_samples: vec![(0, 0); dep.regions],
            tally: tally::Tally::default(),
        };
        simulation.build();
        simulation
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
                let policy = (self.make_policy)(&site);
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
                resends: self.pattern.callers.max_resends,
                ..CallState::default()
            });
            let worth = u64::from(self.dep.ops[call.op].worth);
            if !call.crashes_backend {
                self.tally.offered += worth;
                self.tally.per_op[call.op].0 += 1;
                self.tally.ordinary.0 += u64::from(call.caller >= load::Callers::HOT_COUNT);
            }
            self.push(call.at, Event::Submit(i));
        }
        for (i, (at, _)) in self.pattern.faults.iter().enumerate() {
            self.push(*at, Event::Fault(i));
        }
        self.push(Moment::ZERO, Event::Tick);
        self.push(Moment::ZERO, Event::Refresh);
        for vm in 0..self.nodes.len() {
            self.update_backends(vm);
        }
    }

    fn play(mut self, mut control: impl FnMut(Moment, &mut [Node<P>])) -> tally::Tally {
        let timeout = self.dep.ops.iter().map(|op| op.timeout).max();
        let end = self.pattern.duration() + timeout.unwrap_or_default() + RESTART_DOWNTIME;
        while let Some(cmp::Reverse((at, _, event))) = self.events.pop() {
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
        let open = |req: &&Req| !req.lost && req.settled.is_none();
        self.tally.unsettled += self.reqs.iter().filter(open).count() as u64;
        self.tally.latencies_us.sort_unstable();
        self.tally
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.seq += 1;
        self.events.push(cmp::Reverse((at, self.seq, event)));
    }

    fn after(&mut self, delay: time::Duration, event: Event) {
        self.push(self.now + delay, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Submit(call) => self.submit(call),
            Event::ArriveAtVm(req) => self.arrive_at_vm(req),
            Event::ArriveAtServer(attempt) => self.arrive_at_server(attempt),
            Event::Done {
                server,
                epoch,
                slot,
            } => self.done(server, epoch, slot),
            Event::Crash { server, epoch } => self.crash(server, epoch),
            Event::Restart(server) => self.servers[server].up = true,
            Event::Reply {
                attempt,
                result,
                report,
            } => self.reply(attempt, result, report),
            Event::TimeOut(attempt) => self.time_out(attempt),
            Event::CancelAttempt(attempt) => self.cancel_attempt(attempt),
            Event::GiveUp(req) => self.give_up(req),
            Event::DeliverOutcome(req) => self.deliver_outcome(req),
            Event::ProbeArrived { server, vm } => self.probe_arrived(server, vm),
            Event::ProbeReplied { server, vm, report } => self.probe_replied(server, vm, report),
            Event::UpdateList(server) => self.update_list(server),
            Event::Fault(i) => self.apply_fault(i),
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
