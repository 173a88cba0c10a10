//! Entry VMs in the model: they carry out the actions that their policies decide.

use std::time;

use super::{Event, How, LIST_LAG, Node, Req, Send, TICK, World, read_report};
use crate::decisions::policy;
use crate::id;
use crate::standin::model::server::Job;
use policy::{Action, AttemptOutcome, Destination, Moment, Policy, RequestOutcome};

impl<P: Policy, M: FnMut(&super::Site) -> P> World<'_, P, M> {
    pub(super) fn with(&mut self, vm: usize, f: impl FnOnce(&mut P, Moment, &mut Vec<Action>)) {
        if !self.nodes[vm].up {
            return;
        }
        let mut out = Vec::new();
        f(&mut self.nodes[vm].policy, self.now, &mut out);
        for action in out {
            self.act(vm, action);
        }
    }

    pub(super) fn at_vm(&mut self, req: usize) {
        let r = &self.reqs[req];
        let (vm, call) = (r.vm, r.call);
        if r.dead {
            return;
        }
        if !self.nodes[vm].up {
            return self.vanish(req);
        }
        let info = &self.calls[call];
        let op = &self.dep.ops[info.op];
        let origin = match r.parent {
            Some(send) => {
                let from = self.nodes[self.reqs[self.sends[send].req].vm].site.az;
                policy::Origin::Az(self.dep.azs[from].id.clone())
            }
            None => policy::Origin::Caller,
        };
        if r.parent.is_none() {
            let region = self.dep.azs[self.nodes[vm].site.az].region;
            let step = self.steps();
            *self.tally.entered.entry((region, step)).or_default() += 1;
        }
        let fingerprint = match info.killer {
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
        self.with(vm, |p, now, out| p.arrive(now, arrival, out));
    }

    pub(super) fn steps(&self) -> u64 {
        (self.now.as_millis() / self.dep.shift_step.as_millis()) as u64
    }

    pub(super) fn act(&mut self, vm: usize, action: Action) {
        match action {
            Action::Send { req, to, deadline } => self.send(vm, req.0 as usize, to, deadline),
            Action::Cancel { req, to } => self.cancel(req.0 as usize, &to),
            Action::Settle { req, fate } => self.settle(req.0 as usize, fate),
            Action::Probe { to } => {
                let server = self.servers.iter().position(|s| s.id == to);
                self.tally.probes += 1;
                if let Some(server) = server {
                    self.after(self.dep.local_delay, Event::ProbeAt { server, vm });
                }
            }
        }
    }

    pub(super) fn send(&mut self, vm: usize, req: usize, to: Destination, deadline: Moment) {
        let send = self.sends.len();
        let mut entry = Send {
            req,
            place: to.clone(),
            server: None,
            child: None,
            deadline,
            ended: false,
        };
        self.push(deadline.max(self.now), Event::TimeOut(send));
        match to {
            Destination::Backend(id) => {
                entry.server = self.servers.iter().position(|s| s.id == id);
                self.sends.push(entry);
                self.tally.attempts += 1;
                self.after(self.dep.local_delay, Event::AtServer(send));
            }
            Destination::Az(az) => {
                self.sends.push(entry);
                self.spill(vm, send, &az);
            }
        }
    }

    pub(super) fn spill(&mut self, vm: usize, send: usize, az: &id::AzId) {
        let from_az = self.nodes[vm].site.az;
        let to_az = self.dep.azs.iter().position(|a| a.id == *az);
        let live = |node: &&Node<P>| node.up && Some(node.site.az) == to_az;
        let there: Vec<_> = self.nodes.iter().filter(live).collect();
        if there.is_empty() {
            let how = How::NotSent;
            let report = None;
            return self.after(self.dep.az_delay, Event::Reply { send, how, report });
        }
        let to_vm = there[send % there.len()].site.index;
        let to_az = self.nodes[to_vm].site.az;
        let delay = self.between(from_az, to_az);
        self.count_shift(from_az, to_az);
        let child = self.reqs.len();
        self.sends[send].child = Some(child);
        self.reqs.push(Req {
            call: self.reqs[self.sends[send].req].call,
            vm: to_vm,
            asked: self.now,
            parent: Some(send),
            ran: false,
            last: None,
            settled: None,
            dead: false,
            told: true,
        });
        self.after(delay, Event::AtVm(child));
    }

    pub(super) fn between(&self, from_az: usize, to_az: usize) -> time::Duration {
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
        let step = self.steps();
        *self.tally.shifted.entry((from, to, step)).or_default() += 1;
        let second = self.now.as_secs();
        let bytes = self.tally.link_bytes.entry((from, to, second));
        *bytes.or_default() += self.pattern.callers.bytes;
    }

    pub(super) fn cancel(&mut self, req: usize, to: &Destination) {
        let open = |send: &Send| send.req == req && !send.ended && send.place == *to;
        let Some(send) = self.sends.iter().rposition(open) else {
            return;
        };
        let delay = match to {
            Destination::Backend(_) => self.dep.local_delay,
            Destination::Az(_) => self.dep.az_delay,
        };
        self.after(delay, Event::CancelAt(send));
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
        let Some(send) = r.parent else {
            return self.after(self.dep.client_delay, Event::Told(req));
        };
        let how = match fate {
            RequestOutcome::Answer => r.last.unwrap_or(How::Failed),
            RequestOutcome::NotRun { .. } => How::Shed,
            RequestOutcome::Unknown { .. } => How::Lost,
        };
        let (here, home) = (r.vm, self.reqs[self.sends[send].req].vm);
        let delay = self.between(self.nodes[here].site.az, self.nodes[home].site.az);
        let report = None;
        self.after(delay, Event::Reply { send, how, report });
    }

    pub(super) fn reply(&mut self, send: usize, how: How, report: Option<(u32, u32, bool)>) {
        if std::mem::replace(&mut self.sends[send].ended, true) {
            return;
        }
        let req = self.sends[send].req;
        let vm = self.reqs[req].vm;
        if self.reqs[req].dead {
            return;
        }
        // A later attempt does not change the result that the request was settled with.
        if self.reqs[req].settled.is_none() {
            self.reqs[req].last = Some(how);
        }
        let place = self.sends[send].place.clone();
        let id = policy::RequestId(req as u64);
        let (how, report) = (how.ended(), report.map(read_report));
        self.with(vm, |p, now, out| {
            p.ended(now, id, &place, how, report, out);
        });
    }

    pub(super) fn time_out(&mut self, send: usize) {
        let sent = &mut self.sends[send];
        if std::mem::replace(&mut sent.ended, true) || self.reqs[sent.req].dead {
            return;
        }
        let (req, place) = (sent.req, sent.place.clone());
        let id = policy::RequestId(req as u64);
        self.with(self.reqs[req].vm, |p, now, out| {
            p.ended(now, id, &place, AttemptOutcome::TimedOut, None, out);
        });
    }

    pub(super) fn cancel_at(&mut self, send: usize) {
        if self.sends[send].ended {
            return;
        }
        if let Some(child) = self.sends[send].child {
            let id = policy::RequestId(child as u64);
            return self.with(self.reqs[child].vm, |p, now, out| {
                p.caller_gone(now, id, out)
            });
        }
        if let Some(server) = self.sends[send].server {
            self.servers[server]
                .waiting
                .retain(|job| *job != Job::Send(send));
            self.stop(server, send);
        }
        let (how, report) = (How::Cancelled, None);
        self.after(self.dep.local_delay, Event::Reply { send, how, report });
    }

    pub(super) fn tick(&mut self) {
        for vm in 0..self.nodes.len() {
            self.with(vm, |p, now, out| p.tick(now, out));
        }
        self.sample();
        self.after(TICK, Event::Tick);
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

    pub(super) fn tell_backends(&mut self, vm: usize) {
        let az = self.nodes[vm].site.az;
        let own = self.servers.iter().filter(|server| server.az == az);
        let listed = |since: Moment| self.now >= since + LIST_LAG;
        let backends: Vec<_> = own
            .map(|server| policy::Backend {
                id: server.id.clone(),
                slots: server.slots as u32,
                leaving: server.leaving.is_some_and(listed),
            })
            .collect();
        self.with(vm, |p, now, out| p.set_backends(now, &backends, out));
    }

    pub(super) fn list_says(&mut self, server: usize) {
        for vm in 0..self.nodes.len() {
            if self.nodes[vm].site.az == self.servers[server].az {
                self.tell_backends(vm);
            }
        }
    }
}
