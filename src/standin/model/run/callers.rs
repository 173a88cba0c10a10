//! Callers in the model: they send requests, time out and resend.

use std::time;

use super::{Event, Node, RESEND_DELAY, Req, SendResult, Simulation};
use crate::decisions::policy;
use crate::standin::model::load;
use load::Call;
use policy::{Policy, RequestOutcome};

impl<P: Policy, M: FnMut(&super::Site) -> P> Simulation<'_, P, M> {
    pub(super) fn submit(&mut self, call: usize) {
        let info = &self.calls[call];
        if self.states[call].answered || self.now >= info.deadline {
            return;
        }
        let Some((vm, delay)) = self.pick_vm(info) else {
            return;
        };
        let req = self.reqs.len();
        self.reqs.push(Req {
            call,
            vm,
            asked: self.now,
            parent: None,
            ran: false,
            last_result: None,
            settled: None,
            lost: false,
            caller_done: false,
        });
        let timeout = info.deadline - info.at;
        let give_up = self.now + timeout.mul_f64(self.pattern.callers.resend_after_share);
        self.after(delay, Event::ArriveAtVm(req));
        self.push(give_up.min(info.deadline), Event::GiveUp(req));
    }

    /// Selects an entry VM in the caller's region, or in another region if none there is up.
    pub(super) fn pick_vm(&self, call: &Call) -> Option<(usize, time::Duration)> {
        let near = |node: &&Node<P>| self.dep.azs[node.site.az].region == call.region;
        let live: Vec<_> = self.nodes.iter().filter(|node| node.up).collect();
        let own: Vec<_> = live.iter().copied().filter(|node| near(node)).collect();
        let client = self.dep.client_delay;
        if !own.is_empty() {
            return Some((own[call.vm_pick % own.len()].site.index, client));
        }
        let far = live.get(call.vm_pick % live.len().max(1))?;
        Some((far.site.index, client + self.dep.region_delay))
    }

    pub(super) fn give_up(&mut self, req: usize) {
        let r = &mut self.reqs[req];
        if r.caller_done || r.lost {
            return;
        }
        r.caller_done = true;
        let (call, vm) = (r.call, r.vm);
        if r.settled.is_none() {
            let id = policy::RequestId(req as u64);
            self.with_policy(vm, |p, now, out| p.caller_gone(now, id, out));
        }
        if self.dep.ops[self.calls[call].op].idempotent {
            self.resend(call, time::Duration::ZERO);
        }
    }

    pub(super) fn resend(&mut self, call: usize, delay: time::Duration) {
        if self.states[call].resends == 0 || self.now + delay >= self.calls[call].deadline {
            return;
        }
        self.states[call].resends -= 1;
        self.after(delay, Event::Submit(call));
    }

    /// Handles the arrival of a request's outcome at its caller.
    pub(super) fn deliver_outcome(&mut self, req: usize) {
        let r = &mut self.reqs[req];
        if std::mem::replace(&mut r.caller_done, true) || r.lost {
            return;
        }
        let (call, asked, last_result) = (r.call, r.asked, r.last_result);
        let info = &self.calls[call];
        let op = &self.dep.ops[info.op];
        match r.settled.expect("a delivered outcome was settled") {
            RequestOutcome::Answer if last_result == Some(SendResult::Answered) => {
                self.record_answer(call)
            }
            RequestOutcome::Answer => {}
            RequestOutcome::NotRun { retry_after, .. } => {
                let waited = (self.now - asked).as_micros() as u32;
                self.tally.slowest_refusal_us = self.tally.slowest_refusal_us.max(waited);
                self.resend(call, retry_after);
            }
            RequestOutcome::Unknown { retry_after } if op.idempotent => {
                self.resend(call, retry_after.min(RESEND_DELAY));
            }
            RequestOutcome::Unknown { .. } => {}
        }
    }

    pub(super) fn record_answer(&mut self, call: usize) {
        let info = &self.calls[call];
        if self.now > info.deadline || info.crashes_backend || self.states[call].answered {
            return;
        }
        self.states[call].answered = true;
        self.tally.worth += u64::from(self.dep.ops[info.op].worth);
        self.tally.per_op[info.op].1 += 1;
        self.tally.ordinary.1 += u64::from(info.caller >= load::Callers::HOT_COUNT);
        let latency = self.now - info.at;
        self.tally.latencies_us.push(latency.as_micros() as u32);
    }
}
