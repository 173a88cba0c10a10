//! A caller's request from its first line to its answer.

use std::rc;
use std::time;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{Gateway, attempt, facts, place, quotas, record};
use crate::decisions::{policy, regions, retry_delay};
use crate::id;
use crate::protocol::{http1, routes};
use crate::transport::{callers, upstream};

/// How much longer than the caller's time a backend server's own answer is awaited: it stops by
/// itself at the time that it was given, and its word is better than ours.
const AFTER: time::Duration = time::Duration::from_millis(120);

/// When a caller may come back whose request crashes backend servers: it will not be served for a
/// minute at least.
const BANNED: time::Duration = time::Duration::from_secs(60);

/// When a caller may come back whose request must run elsewhere while too many more do: by then more
/// may.
const STAYS_AWAY: time::Duration = time::Duration::from_secs(1);

/// Counts the requests in hand, however they end, and tells of those whose callers left.
struct InHand {
    cx: Gateway,
    id: Bytes,
    ended: bool,
}

impl InHand {
    fn new(cx: &Gateway, head: &http1::RequestHead) -> Self {
        cx.in_hand.set(cx.in_hand.get() + 1);
        let id = head.fields.get(cx.cfg.names.id).unwrap_or_default();
        Self {
            cx: cx.clone(),
            id: Bytes::copy_from_slice(id),
            ended: false,
        }
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.cx.in_hand.set(self.cx.in_hand.get() - 1);
        if !self.ended {
            self.cx.record_left(&self.id);
        }
    }
}

impl Gateway {
    /// Answers a request.
    pub(super) async fn handle(self, mut req: callers::Request) -> callers::Answer {
        let mut in_hand = InHand::new(&self, &req.head);
        let facts = match self.facts(&req) {
            Ok(facts) => facts,
            Err(answer) => {
                in_hand.ended = true;
                return answer;
            }
        };
        let fingerprint = facts::fingerprint(&req);
        if self.crashes.borrow().is_banned(fingerprint) {
            in_hand.ended = true;
            return self.not_here(&facts.id, BANNED, "it crashes backend servers");
        }
        let reach = self.reach(&facts.homes());
        if !self.may_leave(reach) {
            in_hand.ended = true;
            return self.stays_away(&facts);
        }
        let let_in = self.now();
        let charge = match self.charge(facts.customer()) {
            Ok(charge) => charge,
            Err(refused) => {
                in_hand.ended = true;
                self.ran_nowhere(reach, let_in);
                let left = facts.deadline.saturating_sub(self.now());
                return self.beyond_quota(&facts, &refused, left);
            }
        };
        let service = self.service_for(&facts);
        let bound = &self.cfg.resend;
        let now = self.now();
        let away = self.with_desk(&service, |desk| {
            desk.resends.count_request(bound, now);
            desk.traffic += 1.0;
            match reach {
                regions::Reach::Anywhere => {
                    desk.share.moves(facts.key.unwrap_or_else(rand::random))
                }
                regions::Reach::Here => false,
                regions::Reach::Elsewhere => true,
            }
        });
        let job = rc::Rc::new(attempt::Job {
            head: req.head.clone(),
            id: facts.id.clone(),
            service,
            customer: facts.asker.as_ref().map(|a| a.customer.clone()),
            idempotent: facts.route.idempotent,
            fingerprint,
            deadline: facts.deadline,
            aim: facts.route.aim,
        });
        let payload = std::mem::replace(&mut req.payload, upstream::Payload::Whole(Bytes::new()));
        let mut run = Run {
            cx: &self,
            facts: &facts,
            job,
            away,
            payload: Some(payload),
            tried: Vec::new(),
            sends: 0,
            ran: 0,
            first_sent: None,
            new: false,
            ahead: 0.0,
            fate: ("answered", ""),
            bond: &req.bond,
            revoked: false,
            charge,
        };
        let answer = run.answer().await;
        in_hand.ended = true;
        if run.ran == 0 && run.fate.0 != "answered" {
            self.ran_nowhere(reach, let_in);
        }
        self.carried(&answer);
        self.record(&record::Ended {
            id: &facts.id,
            route: &facts.route,
            customer: facts.customer_name(),
            service: run.job.service.as_str(),
            away,
            new: run.new,
            ahead: run.ahead,
            status: answer.status,
            fate: run.fate.0,
            why: run.fate.1,
            tried: &run.tried,
            sends: run.sends,
            received: facts.received,
            first_sent: run.first_sent,
            deadline: facts.deadline,
        });
        answer
    }
}

impl Gateway {
    /// Whether a request may leave its caller's region, if it must; then it counts.
    fn may_leave(&self, reach: regions::Reach) -> bool {
        let now = self.now();
        let leaves = reach == regions::Reach::Elsewhere;
        let mut departures = self.departures.borrow_mut();
        if leaves && !departures.may_leave(now, self.cfg.shift_most) {
            return false;
        }
        departures.count(now, leaves);
        true
    }

    /// A request that was let in at this moment has run nowhere.
    fn ran_nowhere(&self, reach: regions::Reach, let_in: policy::Moment) {
        let leaves = reach == regions::Reach::Elsewhere;
        let mut departures = self.departures.borrow_mut();
        departures.take_back(self.now(), let_in, leaves);
    }

    /// Refuses a request that must run elsewhere while too many more do than just before.
    fn stays_away(&self, facts: &facts::Facts) -> callers::Answer {
        let left = facts.deadline.saturating_sub(self.now());
        let after = retry_delay::after(STAYS_AWAY, left, self.jitter());
        let mut answer = self.not_here(&facts.id, after, "too many more must run elsewhere");
        answer.close = false;
        answer
    }
}

/// What happens next to a request whose sends are out.
enum Next {
    Ended(id::VmId, attempt::Outcome),
    Hedge,
    TimeUp,
}

/// A request on its way.
struct Run<'a> {
    cx: &'a Gateway,
    facts: &'a facts::Facts,
    job: rc::Rc<attempt::Job>,
    away: bool,
    payload: Option<upstream::Payload>,
    tried: Vec<id::VmId>,
    /// How often it was sent.
    sends: u32,
    /// At how many backend servers it may have run.
    ran: u32,
    first_sent: Option<policy::Moment>,
    /// Whether its object was new where it was sent last.
    new: bool,
    /// Requests that ran or waited there before it.
    ahead: f64,
    /// What became of it, and why.
    fate: (&'static str, &'static str),
    bond: &'a callers::Bond,
    /// Whether its key was taken away while it was under way.
    revoked: bool,
    /// What counts against its customer's quota for the last send.
    charge: Option<quotas::Charge>,
}

impl Run<'_> {
    async fn answer(&mut self) -> callers::Answer {
        let seat = match self.cx.place(&self.need()) {
            Ok(seat) => seat,
            Err(why) => {
                self.give_back();
                return self.refuse(why.as_str());
            }
        };
        self.sits(&seat);
        let mut out = FuturesUnordered::new();
        let Some(payload) = self.take_payload() else {
            self.give_back();
            return self.refuse("the body is gone");
        };
        self.sent();
        out.push(self.cx.clone().attempt(self.job.clone(), payload, seat));
        let mut hedge_at = self.hedge_at();
        let mut last = None;
        loop {
            match self.next(&mut out, hedge_at).await {
                Next::TimeUp => return self.give_up("time is up"),
                Next::Hedge => {
                    hedge_at = None;
                    if let Some(hung) = self.tried.last() {
                        self.cx.hangs(&self.job, hung);
                    }
                    if let Some((payload, seat)) = self.beside() {
                        out.push(self.cx.clone().attempt(self.job.clone(), payload, seat));
                    }
                }
                Next::Ended(id, outcome) => {
                    match self.settle(&id, outcome) {
                        Settled::Answer(answer) => return answer,
                        Settled::Failed(answer) => last = answer.or(last),
                    }
                    if !out.is_empty() {
                        continue;
                    }
                    match self.after_failure() {
                        Some((payload, seat)) => {
                            out.push(self.cx.clone().attempt(self.job.clone(), payload, seat));
                            hedge_at = self.hedge_at();
                        }
                        None => return last.unwrap_or_else(|| self.ended()),
                    }
                }
            }
        }
    }

    async fn next<F>(&self, out: &mut FuturesUnordered<F>, hedge_at: Option<policy::Moment>) -> Next
    where
        F: Future<Output = (id::VmId, attempt::Outcome)>,
    {
        let end = self.cx.instant(self.facts.deadline + AFTER);
        let hedge = hedge_at.map_or(end, |at| self.cx.instant(at));
        tokio::select! {
            biased;
            Some((id, outcome)) = out.next() => Next::Ended(id, outcome),
            () = tokio::time::sleep_until(end) => Next::TimeUp,
            () = tokio::time::sleep_until(hedge), if hedge_at.is_some() => Next::Hedge,
        }
    }

    fn need(&self) -> place::Need<'_> {
        place::Need {
            service: &self.job.service,
            key: self.facts.key,
            away: self.away,
            homes: self.homes(),
            idempotent: self.facts.route.idempotent,
            behind: self
                .facts
                .table
                .is_behind(self.facts.rank(), &self.job.service),
            tried: &self.tried,
        }
    }

    fn homes(&self) -> routes::Homes<'_> {
        routes::Homes {
            route: &self.facts.route.regions,
            customer: self.job.customer.as_ref().map_or(&[], |c| &c.regions),
        }
    }

    fn sits(&mut self, seat: &place::Seat) {
        self.tried.push(seat.run.id.clone());
        self.new = seat.new;
        self.ahead = seat.ahead;
    }

    fn sent(&mut self) {
        self.sends += 1;
        self.first_sent.get_or_insert(self.cx.now());
        if !self.facts.route.idempotent {
            self.bond.committed.set(true);
        }
    }

    fn take_payload(&mut self) -> Option<upstream::Payload> {
        match self.payload.take()? {
            upstream::Payload::Whole(body) => {
                self.payload = Some(upstream::Payload::Whole(body.clone()));
                Some(upstream::Payload::Whole(body))
            }
            pieces => Some(pieces),
        }
    }

    fn hedge_at(&self) -> Option<policy::Moment> {
        if !self.facts.route.idempotent {
            return None;
        }
        let usual = self.cx.with_desk(&self.job.service, |desk| desk.work);
        let usual = time::Duration::from_secs_f64(usual);
        let hedge = &self.cx.cfg.thresholds.hedge;
        Some(self.cx.now() + hedge.after(usual, self.facts.route.aim))
    }

    /// Whether one more send is allowed, and then takes it from the budget.
    fn may_send(&self) -> bool {
        let more = self.ran < self.facts.route.attempts && self.sends <= self.facts.route.attempts;
        let fresh = self.payload.is_some();
        // A caller that has left waits for nothing; what it wanted must not begin anew without it.
        let over = self.bond.left.get() || self.cx.now() >= self.facts.deadline;
        if !more || !fresh || over {
            return false;
        }
        let (now, vms) = (self.cx.now(), self.cx.entries.borrow().len());
        let bound = &self.cx.cfg.resend;
        self.cx
            .with_desk(&self.job.service, |desk| desk.resends.take(bound, now, vms))
    }

    /// One more send while another is still out, which may run as this one may.
    fn beside(&mut self) -> Option<(upstream::Payload, place::Seat)> {
        if self.ran + 2 > self.facts.route.attempts {
            return None;
        }
        self.again()
    }

    /// One more send after the last has failed.
    fn after_failure(&mut self) -> Option<(upstream::Payload, place::Seat)> {
        if self.ran > 0 && !self.facts.route.idempotent {
            return None;
        }
        self.again()
    }

    fn again(&mut self) -> Option<(upstream::Payload, place::Seat)> {
        if !self.is_still_allowed() {
            return None;
        }
        let seat = self.cx.place(&self.need()).ok()?;
        if !self.may_send() || !self.charge_again() {
            return None;
        }
        self.sits(&seat);
        let payload = self.take_payload()?;
        self.sent();
        Some((payload, seat))
    }

    /// Whether its key is still held. One that was taken away while the request was under way must
    /// start nothing more; one that was given to another customer asks for that one from now on.
    fn is_still_allowed(&mut self) -> bool {
        let Ok(asker) = self.cx.still(self.facts) else {
            self.revoked = true;
            return false;
        };
        let customer = asker.map(|asker| asker.customer);
        if customer != self.job.customer {
            rc::Rc::make_mut(&mut self.job).customer = customer;
        }
        true
    }

    /// Whether its customer's quota leaves one more send.
    fn charge_again(&mut self) -> bool {
        let charge = self.charge.as_mut();
        charge.is_none_or(|charge| self.cx.charge_again(charge))
    }

    /// What was counted for the last send has not run.
    fn give_back(&self) {
        if let Some(charge) = &self.charge {
            self.cx.give_back(charge);
        }
    }

    fn settle(&mut self, id: &id::VmId, outcome: attempt::Outcome) -> Settled {
        let name = outcome.as_str();
        match outcome {
            attempt::Outcome::Answer {
                answer,
                failed: false,
            } => {
                self.fate = ("answered", "");
                return Settled::Answer(answer);
            }
            attempt::Outcome::Answer {
                answer,
                failed: true,
            } => {
                self.note(id, name);
                self.ran += 1;
                self.fate = ("failed", "the backend server failed");
                if !self.facts.route.idempotent {
                    return Settled::Answer(answer);
                }
                return Settled::Failed(Some(answer));
            }
            attempt::Outcome::NotRun(_) => self.give_back(),
            attempt::Outcome::Unknown(_) => self.ran += 1,
        }
        self.note(id, name);
        Settled::Failed(None)
    }

    fn note(&self, id: &id::VmId, what: &'static str) {
        let service = self.job.service.as_str();
        self.cx
            .record_send(&self.facts.id, service, id, what, self.sends);
    }

    fn left(&self) -> time::Duration {
        self.facts.deadline.saturating_sub(self.cx.now())
    }

    /// No answer could be had, and no further send is possible.
    fn ended(&mut self) -> callers::Answer {
        match self.ran {
            0 if self.revoked => self.turn_away(),
            0 => self.refuse("not run anywhere"),
            _ => self.give_up("no answer"),
        }
    }

    /// It has not run, and nobody that is known asks for it any more.
    fn turn_away(&mut self) -> callers::Answer {
        self.fate = ("turned_away", "the key was taken away");
        self.cx.own_answer(401, Some(&self.facts.id))
    }

    /// It has not run and will not.
    fn refuse(&mut self, why: &'static str) -> callers::Answer {
        self.fate = ("not_run", why);
        let backlog = self.cx.with_desk(&self.job.service, |desk| desk.backlog());
        let after = retry_delay::after(backlog, self.left(), self.cx.jitter());
        let mut answer = self.cx.own_answer(503, Some(&self.facts.id));
        facts::put_retry_after(&mut answer.fields, after);
        answer
    }

    /// It may have run, and its caller gets no answer of a backend server.
    fn give_up(&mut self, why: &'static str) -> callers::Answer {
        self.fate = ("unknown", why);
        let status = match self.left().is_zero() {
            true => 504,
            false => 502,
        };
        self.cx.own_answer(status, Some(&self.facts.id))
    }
}

enum Settled {
    Answer(callers::Answer),
    Failed(Option<callers::Answer>),
}
