//! Sends queued requests and suspects to backend servers, and hedges slow reads. A suspect is a
//! request that was in flight at a crashed backend server.

use super::dispatch::{Dispatch, Stage};
use super::{ejection, members, placement, policy, quarantine, retry};
use policy::{Action, Destination, Moment, Refusal, RequestId};

impl Dispatch {
    /// Sends as many waiting requests as there is room for.
    pub(super) fn serve(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.serve_suspects(now, out);
        self.serve_trials(now, out);
        self.serve_queue(now, out);
        self.serve_slow(now, out);
    }

    fn serve_queue(&mut self, now: Moment, out: &mut Vec<Action>) {
        while let Some(item) = self.queue.peek() {
            let Some(pending) = self.pending.get(&item.id) else {
                self.queue.pop(&self.cfg.queue);
                continue;
            };
            if now + pending.req.typical > item.deadline {
                self.queue.pop(&self.cfg.queue);
                self.give_up(now, item.id, Refusal::Overload, out);
                continue;
            }
            let constraints = placement::Constraints {
                avoid: &pending.avoid,
            };
            let view = placement::View::new(&self.cfg, now, &self.members);
            let Some(member) = view.pick(&mut self.rng, &constraints) else {
                return;
            };
            self.queue.pop(&self.cfg.queue);
            self.send(now, item.id, member, out);
        }
    }

    /// Sends reads of the lowest class to backend servers on trial.
    fn serve_trials(&mut self, now: Moment, out: &mut Vec<Action>) {
        while let Some(item) = self.queue.peek_lowest() {
            let Some(pending) = self.pending.get(&item.id) else {
                return;
            };
            let constraints = placement::Constraints {
                avoid: &pending.avoid,
            };
            let view = placement::View::new(&self.cfg, now, &self.members);
            let trial = view.pick_trial(&mut self.rng, &constraints);
            let Some(member) = trial.filter(|_| pending.req.idempotent) else {
                return;
            };
            self.queue.pop_lowest();
            self.send(now, item.id, member, out);
        }
    }

    /// Sends reads of the lowest class to slow backend servers, if waiting would take longer.
    fn serve_slow(&mut self, now: Moment, out: &mut Vec<Action>) {
        while let Some(item) = self.queue.peek_lowest() {
            let Some(pending) = self.pending.get(&item.id) else {
                return;
            };
            let constraints = placement::Constraints {
                avoid: &pending.avoid,
            };
            let (key, typical) = (pending.class_key(), pending.req.typical);
            let idempotent = pending.req.idempotent;
            let view = placement::View::new(&self.cfg, now, &self.members);
            let Some(member) = view.pick_slow(&mut self.rng, &constraints) else {
                return;
            };
            let rate = view.service_rate();
            let extra_time = typical.mul_f64(self.members[member].slowdown - view.best_slowdown());
            let wait = self.queue.wait(&self.cfg.queue, now, key, &(), rate);
            if !idempotent || wait < extra_time || now + extra_time > item.deadline {
                return;
            }
            self.queue.pop_lowest();
            self.send(now, item.id, member, out);
        }
    }

    /// Sends the first suspect to a backend server with no other request of this VM in flight.
    fn serve_suspects(&mut self, now: Moment, out: &mut Vec<Action>) {
        let Some(&id) = self.suspects.front() else {
            return;
        };
        let Some(pending) = self.pending.get(&id) else {
            self.suspects.pop_front();
            return;
        };
        let state = self.quarantine.state(now, pending.req.fingerprint);
        let late = now + pending.req.typical > pending.req.deadline;
        let banned = matches!(state, quarantine::State::Banned { .. });
        if banned || late || !self.can_lose_one(now) {
            self.suspects.pop_front();
            return self.give_up(now, id, Refusal::Quarantined, out);
        }
        if state == quarantine::State::Clear {
            let (key, item) = (pending.class_key(), pending.item());
            self.suspects.pop_front();
            self.queue.push_front(key, item);
            return self.set_stage(id, Stage::Queued);
        }
        let Some(member) = self.reserve_for_suspect(now, id) else {
            return;
        };
        if self.members[member].in_flight.is_empty() {
            self.suspects.pop_front();
            self.send(now, id, member, out);
        }
    }

    /// Reserves a backend server for a suspect. At most one is reserved at a time.
    fn reserve_for_suspect(&mut self, now: Moment, id: RequestId) -> Option<usize> {
        let cfg = &self.cfg.members;
        let crash_free = |m: &members::Member| m.crash_free(cfg, now);
        let reserved = self.members.iter().position(|m| m.reserved_for.is_some());
        if let Some(reserved) = reserved {
            let member = &mut self.members[reserved];
            if crash_free(member) {
                return (member.reserved_for == Some(id)).then_some(reserved);
            }
            member.reserved_for = None;
        }
        let least_loaded = (0..self.members.len())
            .filter(|i| crash_free(&self.members[*i]))
            .min_by_key(|i| self.members[*i].in_flight.len())?;
        self.members[least_loaded].reserved_for = Some(id);
        Some(least_loaded)
    }

    fn send(&mut self, now: Moment, id: RequestId, member: usize, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let member = &mut self.members[member];
        let to = Destination::Backend(member.id.clone());
        member.in_flight.push(members::Attempt {
            req: id,
            fingerprint: pending.req.fingerprint,
            sent_at: now,
            typical: pending.req.typical,
        });
        pending.attempts += 1;
        pending.stage = Stage::Sent;
        pending.destinations.push(to.clone());
        out.push(Action::Send {
            req: id,
            to,
            deadline: pending.req.deadline,
        });
    }

    /// Sends overdue reads to a second backend server.
    pub(super) fn hedge(&mut self, now: Moment, out: &mut Vec<Action>) {
        if !self.queue.is_empty() {
            return;
        }
        let best_slowdown = self.view(now).best_slowdown();
        let due = |a: &&members::Attempt| {
            retry::hedge_at(&self.cfg.retry, a.sent_at, a.typical, best_slowdown) <= now
        };
        let attempts = self.members.iter().flat_map(|m| &m.in_flight);
        let overdue: Vec<_> = attempts.filter(due).map(|a| a.req).collect();
        for id in overdue {
            self.hedge_one(now, id, out);
        }
    }

    fn hedge_one(&mut self, now: Moment, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let clear = self.quarantine.state(now, pending.req.fingerprint) == quarantine::State::Clear;
        let [Destination::Backend(sent_to)] = &pending.destinations[..] else {
            return;
        };
        if !pending.req.idempotent || !clear || pending.attempts > self.cfg.retry.max_retries {
            return;
        }
        let avoid = [sent_to.clone()];
        let constraints = placement::Constraints { avoid: &avoid };
        let view = placement::View::new(&self.cfg, now, &self.members);
        let Some(member) = view.pick(&mut self.rng, &constraints) else {
            return;
        };
        let other = &self.members[member];
        let healthy = other.health.state() == ejection::State::Active && other.id != avoid[0];
        if healthy && self.budget.take() {
            self.send(now, id, member, out);
        }
    }
}
