//! Backend servers in the model: they queue and run requests, shed load, crash and report load.

use std::time;

use super::{
    CRASH_AFTER, Event, FAIL_FAST_WORK, How, LEAVING_GRACE, PROBE_WORK, REPORT_LAG, RESTART, World,
    read_report,
};
use crate::decisions::policy;
use crate::standin::model::server::{Job, Server};
use policy::{Moment, Policy, RequestOutcome};

impl<P: Policy, M: FnMut(&super::Site) -> P> World<'_, P, M> {
    pub(super) fn at_server(&mut self, send: usize) {
        let Some(server) = self.sends[send].server else {
            return;
        };
        if self.sends[send].ended {
            return;
        }
        let now = self.now;
        let s = &mut self.servers[server];
        if !s.up {
            return self.answer(send, How::NotSent, false);
        }
        let late = |since: Moment| now > since + LEAVING_GRACE;
        self.tally.late_to_leaving += u64::from(s.leaving.is_some_and(late));
        if s.waiting.len() >= s.backlog {
            return self.answer(send, How::Shed, true);
        }
        s.waiting.push_back(Job::Send(send));
        self.pull(server);
    }

    pub(super) fn probe_at(&mut self, server: usize, vm: usize) {
        if !self.servers[server].up {
            let report = None;
            let back = Event::ProbeBack { server, vm, report };
            return self.after(self.dep.local_delay, back);
        }
        self.servers[server].waiting.push_back(Job::Probe(vm));
        self.pull(server);
    }

    pub(super) fn probe_back(
        &mut self,
        server: usize,
        vm: usize,
        report: Option<(u32, u32, bool)>,
    ) {
        let from = self.servers[server].id.clone();
        let report = report.map(read_report);
        self.with(vm, |p, now, out| p.report(now, &from, report, out));
    }

    pub(super) fn answer(&mut self, send: usize, how: How, with_report: bool) {
        let server = self.sends[send].server.expect("a backend server answers");
        let report = with_report.then(|| self.report(server));
        self.after(self.dep.local_delay, Event::Reply { send, how, report });
    }

    pub(super) fn report(&self, server: usize) -> (u32, u32, bool) {
        let report = self.servers[server].report();
        (report.in_flight, report.queued, report.leaving)
    }

    /// Starts queued jobs while slots are free.
    pub(super) fn pull(&mut self, server: usize) {
        while self.servers[server].running.len() < self.servers[server].slots {
            let Some(job) = self.servers[server].waiting.pop_front() else {
                return;
            };
            let work = match job {
                Job::Probe(_) => PROBE_WORK,
                Job::Send(send) if self.sends[send].ended => continue,
                Job::Send(send) if self.sends[send].deadline <= self.now => {
                    self.answer(send, How::Shed, true);
                    continue;
                }
                Job::Send(send) => self.begin(server, send),
            };
            let time = self.servers[server].time_for(work);
            self.servers[server].running.push(job);
            self.tally.busy[server] += time;
            self.seq += 1;
            let (epoch, slot) = (self.servers[server].epoch, self.seq);
            self.slots.insert(slot, job);
            let done = Event::Done {
                server,
                epoch,
                slot,
            };
            self.after(time, done);
        }
    }

    /// Counts the start of a run and returns its processing time.
    pub(super) fn begin(&mut self, server: usize, send: usize) -> time::Duration {
        let req = self.sends[send].req;
        let call = self.reqs[req].call;
        self.tally.runs[server] += 1;
        self.mark_ran(req);
        self.states[call].runs += 1;
        let info = &self.calls[call];
        if !self.dep.ops[info.op].idempotent && self.states[call].runs == 2 {
            self.tally.second_runs += 1;
        }
        if info.killer {
            let epoch = self.servers[server].epoch;
            self.after(CRASH_AFTER, Event::Crash { server, epoch });
        }
        match self.servers[server].fail_fast {
            true => FAIL_FAST_WORK,
            false => info.work,
        }
    }

    pub(super) fn mark_ran(&mut self, req: usize) {
        let mut next = Some(req);
        while let Some(req) = next {
            let r = &mut self.reqs[req];
            r.ran = true;
            let refused = matches!(r.settled, Some(RequestOutcome::NotRun { .. }));
            self.tally.false_not_runs += u64::from(refused);
            next = r.parent.map(|send| self.sends[send].req);
        }
    }

    pub(super) fn done(&mut self, server: usize, epoch: u32, slot: u64) {
        let Some(job) = self.slots.remove(&slot) else {
            return;
        };
        let s = &mut self.servers[server];
        let Some(at) = s.running.iter().position(|j| *j == job) else {
            return;
        };
        if s.epoch != epoch {
            return;
        }
        s.running.swap_remove(at);
        let failed = s.fail_fast;
        match job {
            Job::Send(send) if failed => self.answer(send, How::Failed, true),
            Job::Send(send) => self.answer(send, How::Answered, true),
            Job::Probe(vm) => {
                let report = Some(self.report(server));
                let back = Event::ProbeBack { server, vm, report };
                self.after(self.dep.local_delay, back);
            }
        }
        self.pull(server);
    }

    /// Frees the slot of a cancelled attempt.
    pub(super) fn stop(&mut self, server: usize, send: usize) {
        let s = &mut self.servers[server];
        let job = Job::Send(send);
        if let Some(at) = s.running.iter().position(|j| *j == job) {
            s.running.swap_remove(at);
        }
        self.pull(server);
    }

    pub(super) fn crash(&mut self, server: usize, epoch: u32) {
        if self.servers[server].epoch != epoch || !self.servers[server].up {
            return;
        }
        self.tally.crashes += 1;
        self.kill(server);
        self.after(RESTART, Event::Restart(server));
    }

    pub(super) fn kill(&mut self, server: usize) {
        for job in self.servers[server].crash() {
            match job {
                Job::Send(send) => self.answer(send, How::Lost, false),
                Job::Probe(vm) => {
                    let report = None;
                    let back = Event::ProbeBack { server, vm, report };
                    self.after(self.dep.local_delay, back);
                }
            }
        }
    }

    pub(super) fn refresh(&mut self) {
        if !self.frozen {
            self.servers.iter_mut().for_each(Server::refresh);
        }
        self.after(REPORT_LAG, Event::Refresh);
    }
}
