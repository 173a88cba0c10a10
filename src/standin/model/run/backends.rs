//! Backend servers in the model: they queue and run requests, shed load, crash and report load.

use std::time;

use super::{
    CRASH_DELAY, Event, FAIL_FAST_WORK_TIME, LEAVING_GRACE_PERIOD, PROBE_WORK_TIME,
    REPORT_INTERVAL, RESTART_DOWNTIME, SendResult, Simulation, read_report,
};
use crate::decisions::policy;
use crate::standin::model::server::{Job, Server};
use policy::{Moment, Policy, RequestOutcome};

impl<P: Policy, M: FnMut(&super::Site) -> P> Simulation<'_, P, M> {
    pub(super) fn arrive_at_server(&mut self, attempt: usize) {
        let Some(server) = self.attempts[attempt].server else {
            return;
        };
        if self.attempts[attempt].ended {
            return;
        }
        let now = self.now;
        let s = &mut self.servers[server];
        if !s.up {
            return self.answer(attempt, SendResult::NotSent, false);
        }
        let late = |since: Moment| now > since + LEAVING_GRACE_PERIOD;
        self.tally.late_to_leaving += u64::from(s.leaving.is_some_and(late));
        if s.waiting.len() >= s.backlog {
            return self.answer(attempt, SendResult::Shed, true);
        }
        s.waiting.push_back(Job::Attempt(attempt));
        self.start_queued(server);
    }

    pub(super) fn probe_arrived(&mut self, server: usize, vm: usize) {
        if !self.servers[server].up {
            let report = None;
            let reply = Event::ProbeReplied { server, vm, report };
            return self.after(self.dep.local_delay, reply);
        }
        self.servers[server].waiting.push_back(Job::Probe(vm));
        self.start_queued(server);
    }

    pub(super) fn probe_replied(
        &mut self,
        server: usize,
        vm: usize,
        report: Option<(u32, u32, bool)>,
    ) {
        let from = self.servers[server].id.clone();
        let report = report.map(read_report);
        self.with_policy(vm, |p, now, out| p.report(now, &from, report, out));
    }

    pub(super) fn answer(&mut self, attempt: usize, result: SendResult, with_report: bool) {
        let server = self.attempts[attempt]
            .server
            .expect("a backend server answers");
        let report = with_report.then(|| self.report(server));
        self.after(
            self.dep.local_delay,
            Event::Reply {
                attempt,
                result,
                report,
            },
        );
    }

    pub(super) fn report(&self, server: usize) -> (u32, u32, bool) {
        let report = self.servers[server].report();
        (report.in_flight, report.queued, report.leaving)
    }

    /// Starts queued jobs while slots are free.
    pub(super) fn start_queued(&mut self, server: usize) {
        while self.servers[server].running.len() < self.servers[server].slots {
            let Some(job) = self.servers[server].waiting.pop_front() else {
                return;
            };
            let work = match job {
                Job::Probe(_) => PROBE_WORK_TIME,
                Job::Attempt(attempt) if self.attempts[attempt].ended => continue,
                Job::Attempt(attempt) if self.attempts[attempt].deadline <= self.now => {
                    self.answer(attempt, SendResult::Shed, true);
                    continue;
                }
                Job::Attempt(attempt) => self.start_run(server, attempt),
            };
            let time = self.servers[server].processing_time(work);
            self.servers[server].running.push(job);
            self.tally.busy[server] += time;
            self.seq += 1;
            let (epoch, slot) = (self.servers[server].epoch, self.seq);
            self.running_jobs.insert(slot, job);
            let done = Event::Done {
                server,
                epoch,
                slot,
            };
            self.after(time, done);
        }
    }

    /// Counts the start of a run and returns its processing time.
    pub(super) fn start_run(&mut self, server: usize, attempt: usize) -> time::Duration {
        let req = self.attempts[attempt].req;
        let call = self.reqs[req].call;
        self.tally.runs[server] += 1;
        self.mark_as_run(req);
        self.states[call].runs += 1;
        let info = &self.calls[call];
        if !self.dep.ops[info.op].idempotent && self.states[call].runs == 2 {
            self.tally.second_runs += 1;
        }
        if info.crashes_backend {
            let epoch = self.servers[server].epoch;
            self.after(CRASH_DELAY, Event::Crash { server, epoch });
        }
        match self.servers[server].fail_fast {
            true => FAIL_FAST_WORK_TIME,
            false => info.work,
        }
    }

    pub(super) fn mark_as_run(&mut self, req: usize) {
        let mut next = Some(req);
        while let Some(req) = next {
            let r = &mut self.reqs[req];
            r.ran = true;
            let refused = matches!(r.settled, Some(RequestOutcome::NotRun { .. }));
            self.tally.false_not_runs += u64::from(refused);
            next = r.parent.map(|attempt| self.attempts[attempt].req);
        }
    }

    pub(super) fn done(&mut self, server: usize, epoch: u32, slot: u64) {
        let Some(job) = self.running_jobs.remove(&slot) else {
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
            Job::Attempt(attempt) if failed => self.answer(attempt, SendResult::Failed, true),
            Job::Attempt(attempt) => self.answer(attempt, SendResult::Answered, true),
            Job::Probe(vm) => {
                let report = Some(self.report(server));
                let reply = Event::ProbeReplied { server, vm, report };
                self.after(self.dep.local_delay, reply);
            }
        }
        self.start_queued(server);
    }

    /// Frees the slot of a cancelled attempt.
    pub(super) fn stop_attempt(&mut self, server: usize, attempt: usize) {
        let s = &mut self.servers[server];
        let job = Job::Attempt(attempt);
        if let Some(at) = s.running.iter().position(|j| *j == job) {
            s.running.swap_remove(at);
        }
        self.start_queued(server);
    }

    pub(super) fn crash(&mut self, server: usize, epoch: u32) {
        if self.servers[server].epoch != epoch || !self.servers[server].up {
            return;
        }
        self.tally.crashes += 1;
        self.stop_server(server);
        self.after(RESTART_DOWNTIME, Event::Restart(server));
    }

    pub(super) fn stop_server(&mut self, server: usize) {
        for job in self.servers[server].crash() {
            match job {
                Job::Attempt(attempt) => self.answer(attempt, SendResult::Lost, false),
                Job::Probe(vm) => {
                    let report = None;
                    let reply = Event::ProbeReplied { server, vm, report };
                    self.after(self.dep.local_delay, reply);
                }
            }
        }
    }

    pub(super) fn refresh(&mut self) {
        if !self.reports_frozen {
            self.servers.iter_mut().for_each(Server::refresh_report);
        }
        self.after(REPORT_INTERVAL, Event::Refresh);
    }
}
