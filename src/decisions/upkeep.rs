//! Periodic work: load reports, refusals of late requests, hedges, probes and quarantine expiry.

use std::time;

use super::dispatch::Dispatch;
use super::{ejection, limit, note, policy, ramp};
use crate::id;
use policy::{Action, Moment, Refusal};

/// How often the queue is searched for requests that cannot meet their deadline. A refusal that is
/// 20 ms late is soon enough, and the search costs little.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(20);

impl Dispatch {
    pub(super) fn upkeep(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.report_load(now);
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now, out);
            self.quarantine.tick(now);
        }
        self.hedge(now, out);
        self.probe(now, out);
    }

    fn report_load(&mut self, now: Moment) {
        self.cross_az.tick(now);
        let (mut slots, mut in_flight) = (0, 0);
        for member in &self.members {
            if !member.healthy(&self.cfg.members, now) {
                continue;
            }
            let report = member.reports.valid_report(&self.cfg.trust, now);
            let reported = report.map_or(0, |r| r.in_flight + r.queued);
            slots += member.slots;
            in_flight += reported.max(member.in_flight.len() as u32);
        }
        let queued = self.queue.len() as u32;
        self.cross_az.set_local_load(now, slots, in_flight, queued);
    }

    /// Refuses queued requests that cannot meet their deadline.
    fn sweep(&mut self, now: Moment, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let view = self.view(now);
        let (rate, slowdown) = (view.service_rate(), view.best_slowdown());
        let late = self.queue.sweep(&self.cfg.queue, now, rate, |key, _| {
            key.typical.mul_f64(slowdown)
        });
        for item in late {
            self.give_up(now, item.id, Refusal::Overload, out);
        }
    }

    fn probe(&mut self, now: Moment, out: &mut Vec<Action>) {
        let cfg = &self.cfg;
        for member in &mut self.members {
            if member.probe_state.timed_out(&cfg.probe, now) {
                member.health.probed(&cfg.ejection, now, false);
            }
        }
        if self
            .last_probe
            .is_some_and(|at| now < at + cfg.probe.min_interval)
        {
            return;
        }
        let Some(i) = self.next_probe(now) else {
            return;
        };
        self.last_probe = Some(now);
        let member = &mut self.members[i];
        member.probe_state.record_sent(now);
        out.push(Action::Probe {
            to: member.id.clone(),
        });
    }

    /// The next server to probe: an ejected one whose ejection time is over, or an idle slow one.
    fn next_probe(&self, now: Moment) -> Option<usize> {
        let view = self.view(now);
        self.members.iter().position(|member| {
            let idle_slow = view.is_slow(member) && member.in_flight.is_empty();
            let wanted = match member.health.state() {
                ejection::State::Ejected { .. } => member.health.probe_due(now),
                ejection::State::Active | ejection::State::Trial => idle_slow,
            };
            wanted && member.probe_state.may_probe(&self.cfg.probe, now)
        })
    }

    pub(super) fn record_probe(
        &mut self,
        now: Moment,
        from: &id::VmId,
        report: Option<policy::Report>,
    ) {
        let cfg = &self.cfg;
        let Some(member) = self.members.iter_mut().find(|m| m.id == *from) else {
            return;
        };
        let slowdown = member.probe_state.record_answer(&cfg.probe, now);
        if let Some(report) = report {
            member.record_report(&cfg.trust, now, report);
        }
        if let (Some(slowdown), Some(_)) = (slowdown, report) {
            // Averaged, so that one fast probe does not clear a slow backend server.
            member.slowdown = (member.slowdown + slowdown) / 2.0;
        }
        if member.health.probed(&cfg.ejection, now, report.is_some()) {
            member.ramp = ramp::Ramp::cold(&cfg.ramp);
            member.limit = limit::Limit::new(member.slots);
            let vm = member.id.clone();
            self.notes.push(note::Note::Restored { vm });
        }
    }
}
