//! Entry VMs in the model: they carry out the actions that their policies decide.

use std::time;

use super::{
    Attempt, Event, LIST_UPDATE_DELAY, Node, Req, SendResult, Simulation, TICK_INTERVAL,
    read_report,
};
use crate::decisions::policy;
use crate::id;
use crate::standin::model::server::Job;
use policy::{Action, AttemptOutcome, Destination, Moment, Policy, RequestOutcome};

impl<P: Policy, M: FnMut(&super::Site) -> P> Simulation<'_, P, M> {
    pub(super) fn with_policy(
        &mut self,
        vm: usize,
        f: impl FnOnce(&mut P, Moment, &mut Vec<Action>),
    ) {
        if !self.nodes[vm].up {
            return;
        }
        let mut out = Vec::new();
        f(&mut self.nodes[vm].policy, self.now, &mut out);
        for action in out {
            self.apply_action(vm, action);
        }
    }

    pub(super) fn arrive_at_vm(&mut self, req: usize) {
        let r = &self.reqs[req];
        let (vm, call) = (r.vm, r.call);
        if r.lost {
            return;
        }
        if !self.nodes[vm].up {
            return self.lose_request(req);
        }
        let info = &self.calls[call];
        let op = &self.dep.ops[info.op];
        let origin = match r.parent {
            Some(attempt) => {
                let from = self.nodes[self.reqs[self.attempts[attempt].req].vm].site.az;
                policy::Origin::Az(self.dep.azs[from].id.clone())
            }
            None => policy::Origin::Caller,
        };
        if r.parent.is_none() {
            let region = self.dep.azs[self.nodes[vm].site.az].region;
            let step = self.current_step();
            *self.tally.entered.entry((region, step)).or_default() += 1;
        }
        let fingerprint = match info.crashes_backend {
            true => (1 << 40) + call as u64,
            false => info.caller * 16 + info.op as u64,
        };
        let arrival = policy::Arrival {
            id: policy::RequestId(req as u64),
            caller: policy::CallerId(info.caller),
            fingerprint: policy::Fingerprint(fingerprint),
            origin,
            idempotent: op.idempotent,
            worth: op.worth,
            typical: op.typical,
            deadline: info.deadline - self.dep.client_delay,
            bytes: self.pattern.callers.bytes,
        };
        self.with_policy(vm, |p, now, out| p.arrive(now, arrival, out));
    }

    pub(super) fn current_step(&self) -> u64 {
        (self.now.as_millis() / self.dep.shift_step.as_millis()) as u64
    }

    pub(super) fn apply_action(&mut self, vm: usize, action: Action) {
        match action {
            Action::Send { req, to, deadline } => self.send(vm, req.0 as usize, to, deadline),
            Action::Cancel { req, to } => self.cancel(req.0 as usize, &to),
            Action::Settle { req, fate } => self.settle(req.0 as usize, fate),
            Action::Probe { to } => {
                let server = self.servers.iter().position(|s| s.id == to);
                self.tally.probes += 1;
                if let Some(server) = server {
                    self.after(self.dep.local_delay, Event::ProbeArrived { server, vm });
                }
            }
        }
    }

    pub(super) fn send(&mut self, vm: usize, req: usize, to: Destination, deadline: Moment) {
        let attempt = self.attempts.len();
        let mut record = Attempt {
            req,
            destination: to.clone(),
            server: None,
            child: None,
            deadline,
            ended: false,
        };
        self.push(deadline.max(self.now), Event::TimeOut(attempt));
        match to {
            Destination::Backend(id) => {
                record.server = self.servers.iter().position(|s| s.id == id);
                self.attempts.push(record);
                self.tally.attempts += 1;
                self.after(self.dep.local_delay, Event::ArriveAtServer(attempt));
            }
            Destination::Az(az) => {
                self.attempts.push(record);
                self.spill(vm, attempt, &az);
            }
        }
    }

    pub(super) fn spill(&mut self, vm: usize, attempt: usize, az: &id::AzId) {
        let from_az = self.nodes[vm].site.az;
        let to_az = self.dep.azs.iter().position(|a| a.id == *az);
        let live = |node: &&Node<P>| node.up && Some(node.site.az) == to_az;
        let there: Vec<_> = self.nodes.iter().filter(live).collect();
        if there.is_empty() {
            let result = SendResult::NotSent;
            let report = None;
            return self.after(
                self.dep.az_delay,
                Event::Reply {
                    attempt,
                    result,
                    report,
                },
            );
        }
        let to_vm = there[attempt % there.len()].site.index;
        let to_az = self.nodes[to_vm].site.az;
        let delay = self.delay_between(from_az, to_az);
        self.count_shift(from_az, to_az);
        let child = self.reqs.len();
        self.attempts[attempt].child = Some(child);
        self.reqs.push(Req {
            call: self.reqs[self.attempts[attempt].req].call,
            vm: to_vm,
            asked: self.now,
            parent: Some(attempt),
            ran: false,
            last_result: None,
            settled: None,
            lost: false,
            caller_done: true,
        });
        self.after(delay, Event::ArriveAtVm(child));
    }

    pub(super) fn delay_between(&self, from_az: usize, to_az: usize) -> time::Duration {
        match self.dep.azs[from_az].region == self.dep.azs[to_az].region {
            true => self.dep.az_delay,
            false => self.dep.region_delay,
        }
    }

    pub(super) fn count_shift(&mut self, from_az: usize, to_az: usize) {
        let (from, to) = (self.dep.azs[from_az].region, self.dep.azs[to_az].region);
        if from == to {
            return;
        }
        let step = self.current_step();
        *self.tally.shifted.entry((from, to, step)).or_default() += 1;
        let second = self.now.as_secs();
        let bytes = self.tally.link_bytes.entry((from, to, second));
        *bytes.or_default() += self.pattern.callers.bytes;
    }

    pub(super) fn cancel(&mut self, req: usize, to: &Destination) {
        let open =
            |attempt: &Attempt| attempt.req == req && !attempt.ended && attempt.destination == *to;
        let Some(attempt) = self.attempts.iter().rposition(open) else {
            return;
        };
        let delay = match to {
            Destination::Backend(_) => self.dep.local_delay,
            Destination::Az(_) => self.dep.az_delay,
        };
        self.after(delay, Event::CancelAttempt(attempt));
    }

    pub(super) fn settle(&mut self, req: usize, fate: RequestOutcome) {
        let r = &mut self.reqs[req];
        if r.settled.is_some() {
            self.tally.unsettled += 1;
            return;
        }
        r.settled = Some(fate);
        match fate {
            RequestOutcome::NotRun { why, .. } => {
                self.tally.false_not_runs += u64::from(r.ran);
                self.tally.refuse(why);
            }
            RequestOutcome::Unknown { .. } => self.tally.unknown += 1,
            RequestOutcome::Answer => {}
        }
        let Some(attempt) = r.parent else {
            return self.after(self.dep.client_delay, Event::DeliverOutcome(req));
        };
        let result = match fate {
            RequestOutcome::Answer => r.last_result.unwrap_or(SendResult::Failed),
            RequestOutcome::NotRun { .. } => SendResult::Shed,
            RequestOutcome::Unknown { .. } => SendResult::Lost,
        };
        let (here, home) = (r.vm, self.reqs[self.attempts[attempt].req].vm);
        let delay = self.delay_between(self.nodes[here].site.az, self.nodes[home].site.az);
        let report = None;
        self.after(
            delay,
            Event::Reply {
                attempt,
                result,
                report,
            },
        );
    }

    pub(super) fn reply(
        &mut self,
        attempt: usize,
        result: SendResult,
        report: Option<(u32, u32, bool)>,
    ) {
        if std::mem::replace(&mut self.attempts[attempt].ended, true) {
            return;
        }
        let req = self.attempts[attempt].req;
        let vm = self.reqs[req].vm;
        if self.reqs[req].lost {
            return;
        }
        // A later attempt does not change the result that the request was settled with.
        if self.reqs[req].settled.is_none() {
            self.reqs[req].last_result = Some(result);
        }
        let destination = self.attempts[attempt].destination.clone();
        let id = policy::RequestId(req as u64);
        let (result, report) = (result.outcome(), report.map(read_report));
        self.with_policy(vm, |p, now, out| {
            p.ended(now, id, &destination, result, report, out);
        });
    }

    pub(super) fn time_out(&mut self, attempt: usize) {
        let sent = &mut self.attempts[attempt];
        if std::mem::replace(&mut sent.ended, true) || self.reqs[sent.req].lost {
            return;
        }
        let (req, destination) = (sent.req, sent.destination.clone());
        let id = policy::RequestId(req as u64);
        self.with_policy(self.reqs[req].vm, |p, now, out| {
            p.ended(now, id, &destination, AttemptOutcome::TimedOut, None, out);
        });
    }

    pub(super) fn cancel_attempt(&mut self, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        if let Some(child) = self.attempts[attempt].child {
            let id = policy::RequestId(child as u64);
            return self.with_policy(self.reqs[child].vm, |p, now, out| {
                p.caller_gone(now, id, out)
            });
        }
        if let Some(server) = self.attempts[attempt].server {
            self.servers[server]
                .waiting
                .retain(|job| *job != Job::Attempt(attempt));
            self.stop_attempt(server, attempt);
        }
        let (result, report) = (SendResult::Cancelled, None);
        self.after(
            self.dep.local_delay,
            Event::Reply {
                attempt,
                result,
                report,
            },
        );
    }

    pub(super) fn tick(&mut self) {
        for vm in 0..self.nodes.len() {
            self.with_policy(vm, |p, now, out| p.tick(now, out));
        }
        self.sample();
        self.after(TICK_INTERVAL, Event::Tick);
    }

    /// Samples the running jobs of each region and updates its peak load once per second.
    pub(super) fn sample(&mut self) {
        for region in 0..self.dep.regions {
            let (mut running, mut slots) = (0, 0);
            for server in &self.servers {
                if self.dep.azs[server.az].region == region {
                    running += server.running.len() as u64;
                    slots += server.slots as u64;
                }
            }
            let sum = &mut self.busy_samples[region];
            *sum = (sum.0 + running, sum.1 + slots);
            if self.now.subsec_millis() >= 990 {
                let load = sum.0 as f64 / sum.1.max(1) as f64;
                *sum = (0, 0);
                self.tally.peak_load[region] = self.tally.peak_load[region].max(load);
            }
        }
    }

    pub(super) fn update_backends(&mut self, vm: usize) {
        let az = self.nodes[vm].site.az;
        let own = self.servers.iter().filter(|server| server.az == az);
        let listed = |since: Moment| self.now >= since + LIST_UPDATE_DELAY;
        let backends: Vec<_> = own
            .map(|server| policy::Backend {
                id: server.id.clone(),
                slots: server.slots as u32,
                leaving: server.leaving.is_some_and(listed),
            })
            .collect();
        self.with_policy(vm, |p, now, out| p.set_backends(now, &backends, out));
    }

    pub(super) fn update_list(&mut self, server: usize) {
        for vm in 0..self.nodes.len() {
            if self.nodes[vm].site.az == self.servers[server].az {
                self.update_backends(vm);
            }
        }
    }
}
