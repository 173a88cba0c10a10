//! Handles one request from its head to its answer: chooses backend servers, sends, hedges and
//! resends within the deadline, the retry budget and the customer's quota. A request that is not
//! idempotent is sent again only if it has not run.

use std::rc;
use std::time;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{Gateway, attempt, connecting, facts, pace, placement, quotas, record, waiting};
use crate::decisions::{hedge, policy, regions, retry_delay, returns};
use crate::id;
use crate::protocol::http1;
use crate::transport::{callers, upstream};

/// Retry delay for requests that crash backend servers, which are refused for at least a minute.
const BANNED_RETRY_DELAY: time::Duration = time::Duration::from_secs(60);

/// Retry delay for requests that must run in another region while the cap on such requests is
/// reached: by then the cap allows more.
const REMOTE_CAP_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Why a request is refused where only customers within their shares find room.
const ABOVE_SHARE: &str = "its customer is above its share";

/// Why a request ends whose caller makes no progress with its body.
const CALLER_STALLED: &str = "its caller stalled";

/// Counts a request in progress, however it ends, and records it if its caller left.
struct InProgress {
    cx: Gateway,
    id: Bytes,
    answered: bool,
}

impl InProgress {
    fn new(cx: &Gateway, head: &http1::RequestHead) -> Self {
        cx.in_progress.set(cx.in_progress.get() + 1);
        let id = head.fields.get(cx.cfg.names.id).unwrap_or_default();
        Self {
            cx: cx.clone(),
            id: Bytes::copy_from_slice(id),
            answered: false,
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.cx.in_progress.set(self.cx.in_progress.get() - 1);
        if !self.answered {
            self.cx.record_caller_left(&self.id);
        }
    }
}

/// Where an admitted request may run, and when it was counted for the limit on departures.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    reach: regions::Reach,
    counted_at: policy::Moment,
}

impl Gateway {
    pub(super) async fn handle(self, mut req: callers::Request) -> callers::Answer {
        let mut in_progress = InProgress::new(&self, &req.head);
        let facts = match self.facts(&req) {
            Ok(facts) => facts,
            Err(answer) => {
                in_progress.answered = true;
                return answer;
            }
        };
        if let Some(answer) = self.refuse_if_late(&facts, req.delay) {
            in_progress.answered = true;
            return answer;
        }
        let fingerprint = facts::fingerprint(&req);
        if self.crashes.borrow().is_banned(fingerprint) {
            in_progress.answered = true;
            return self.refuse_temporarily(
                &facts.id,
                self.spread(BANNED_RETRY_DELAY),
                "it crashes backend servers",
            );
        }
        let reach = self.reach(&facts.homes());
        if !self.may_leave(reach) {
            in_progress.answered = true;
            return self.refuse_remote(&facts);
        }
        let departure = Departure {
            reach,
            counted_at: self.now(),
        };
        let charge = match self.charge(facts.customer(), facts.route.priority) {
            Ok(charge) => charge,
            Err(refused) => {
                in_progress.answered = true;
                self.uncount_departure(departure);
                let left = facts.deadline.saturating_sub(self.now());
                return self.beyond_quota(&facts, &refused, left);
            }
        };
        let service = self.service_for(&facts);
        self.count_retry(&service, &facts);
        let bound = &self.cfg.resend;
        let now = self.now();
        let remote = self.with_service(&service, |state| {
            state.resends.count_request(bound, now);
            state.traffic += 1.0;
            if facts.route.idempotent {
                state.trials.record_read(now);
            }
            match reach {
                regions::Reach::Anywhere => state
                    .remote_share
                    .moves(facts.key.unwrap_or_else(rand::random)),
                regions::Reach::Here => false,
                regions::Reach::Elsewhere => true,
            }
        });
        let job = rc::Rc::new(attempt::Job {
            head: req.head.clone(),
            id: facts.id.clone(),
            service,
            customer: facts.key_holder.as_ref().map(|a| a.customer.clone()),
            route: facts.route.clone(),
            fingerprint,
            deadline: facts.deadline,
            via: rc::Rc::default(),
            caller: req.cancellation.clone(),
        });
        if let upstream::Payload::Pieces { .. } = req.payload {
            self.add_upload(&job.service, &req.cancellation);
        }
        let payload = std::mem::replace(&mut req.payload, upstream::Payload::Whole(Bytes::new()));
        let mut dispatch = Dispatch {
            cx: &self,
            facts: &facts,
            job,
            remote,
            payload: Some(payload),
            tried: Vec::new(),
            sends: 0,
            in_flight: 0,
            possible_runs: 0,
            first_sent: None,
            last_sent: now,
            new_object: false,
            ahead: 0.0,
            placed_by: None,
            fate: ("answered", ""),
            cancellation: &req.cancellation,
            has_arrived: false,
            revoked: false,
            cut_off: false,
            refusal: None,
            latest_failure: "",
            out_of_budget: false,
            checks_pace: true,
            retry_after: None,
            promise: None,
            charge,
            departure,
            waited: waiting::Waited::default(),
        };
        let answer = tokio::select! {
            biased;
            answer = dispatch.answer() => answer,
            () = req.cancellation.ended() => dispatch.break_off(),
        };
        in_progress.answered = true;
        if dispatch.possible_runs == 0 && dispatch.fate.0 != "answered" {
            self.uncount_departure(departure);
        }
        self.count_answer(&answer);
        self.record(&record::RequestOutcome {
            facts: &facts,
            service: dispatch.job.service.as_str(),
            remote,
            new_object: dispatch.new_object,
            ahead: dispatch.ahead,
            placed_by: dispatch.placed_by,
            status: answer.status,
            fate: dispatch.fate.0,
            why: dispatch.fate.1,
            tried: &dispatch.tried,
            via: dispatch.job.via.borrow().as_ref(),
            sends: dispatch.sends,
            first_sent: dispatch.first_sent,
            retry_after: dispatch.retry_after,
            out_of_budget: dispatch.out_of_budget && dispatch.fate.0 != "answered",
            promise: dispatch.promise.as_ref(),
            waited: dispatch.waited,
        });
        answer
    }
}

impl Gateway {
    /// Whether a request may run outside its caller's region if it must. Counts it if it may run.
    fn may_leave(&self, reach: regions::Reach) -> bool {
        let now = self.now();
        let leaves = reach == regions::Reach::Elsewhere;
        let mut departures = self.departures.borrow_mut();
        if leaves && !departures.may_leave(now, self.cfg.max_region_shift_share) {
            return false;
        }
        departures.count(now, leaves);
        true
    }

    /// Uncounts a departure whose request has not run.
    pub(super) fn uncount_departure(&self, departure: Departure) {
        let leaves = departure.reach == regions::Reach::Elsewhere;
        let mut departures = self.departures.borrow_mut();
        departures.take_back(self.now(), departure.counted_at, leaves);
    }

    /// Refuses a request that must run in another region while the cap on such requests is reached.
    fn refuse_remote(&self, facts: &facts::Facts) -> callers::Answer {
        let left = facts.deadline.saturating_sub(self.now());
        let after = retry_delay::after(REMOTE_CAP_RETRY_DELAY, left, self.jitter());
        let mut answer =
            self.refuse_temporarily(&facts.id, after, "too many more must run elsewhere");
        answer.close = false;
        answer
    }
}

/// The next event for a request with sends in flight.
enum Next {
    Ended(id::VmId, attempt::Outcome),
    Hedge,
    /// Its backend server may have become slow.
    CheckPace,
    TimeUp,
}

/// A request in progress.
pub(super) struct Dispatch<'a> {
    pub(super) cx: &'a Gateway,
    pub(super) facts: &'a facts::Facts,
    pub(super) job: rc::Rc<attempt::Job>,
    remote: bool,
    pub(super) payload: Option<upstream::Payload>,
    pub(super) tried: Vec<id::VmId>,
    pub(super) sends: u32,
    /// Number of sends that have not ended.
    in_flight: u32,
    /// Number of ended sends that may have run.
    pub(super) possible_runs: u32,
    first_sent: Option<policy::Moment>,
    pub(super) last_sent: policy::Moment,
    /// Whether the request's object was new at the latest backend server.
    new_object: bool,
    /// Requests running or queued there at the time of the send.
    ahead: f64,
    /// Why it was chosen, if it was placed by pace.
    pub(super) placed_by: Option<pace::Placed>,
    /// The request's fate and the reason, as metric labels.
    fate: (&'static str, &'static str),
    pub(super) cancellation: &'a callers::Cancellation,
    /// Whether a send may have reached a backend server. Until then, a further send is no second one.
    pub(super) has_arrived: bool,
    /// Whether its key was revoked while the request was in progress.
    pub(super) revoked: bool,
    /// Whether the latest send failed because this VM is cut off.
    cut_off: bool,
    /// Why the latest send has not run, if it has not.
    pub(super) refusal: Option<attempt::NotRun>,
    /// How the latest send failed, as a metric label.
    pub(super) latest_failure: &'static str,
    /// Whether the budget lacked a second send when the request had failed.
    pub(super) out_of_budget: bool,
    /// Whether the pace of its backend server is still checked: one slow phase gets one hedge.
    pub(super) checks_pace: bool,
    /// The delay after which a refused caller may retry, and the schedule's part in it.
    retry_after: Option<time::Duration>,
    promise: Option<returns::Promise>,
    /// The quota charge of the latest send.
    pub(super) charge: Option<quotas::Charge>,
    departure: Departure,
    /// Its time in this VM's queue.
    waited: waiting::Waited,
}

impl Dispatch<'_> {
    async fn answer(&mut self) -> callers::Answer {
        self.cx.count_asked(&self.job.service, self.facts);
        let reservation = match self.reserve().await {
            waiting::End::Room(reservation) => reservation,
            waiting::End::Refused(why) => {
                self.refund();
                return self.refuse_unsent(why);
            }
        };
        self.note_reservation(&reservation);
        let mut out = FuturesUnordered::new();
        let Some(payload) = self.take_payload() else {
            self.refund();
            return self.refuse("the body is gone", false);
        };
        self.note_send();
        out.push(
            self.cx
                .clone()
                .attempt(self.job.clone(), payload, reservation),
        );
        let mut hedge_at = self.hedge_at();
        let mut last = None;
        loop {
            match self.next(&mut out, hedge_at).await {
                Next::TimeUp => return self.outcome_unknown("time is up"),
                Next::Hedge => {
                    hedge_at = None;
                    if let Some(hung) = self.tried.last() {
                        self.cx.record_hang(&self.job, hung, self.last_sent);
                    }
                    if let Some((payload, reservation)) = self.hedge() {
                        out.push(
                            self.cx
                                .clone()
                                .attempt(self.job.clone(), payload, reservation),
                        );
                    }
                }
                Next::CheckPace => {
                    if !self.became_slow() {
                        continue;
                    }
                    self.checks_pace = false;
                    if let Some((payload, reservation)) = self.hedge() {
                        hedge_at = None;
                        out.push(
                            self.cx
                                .clone()
                                .attempt(self.job.clone(), payload, reservation),
                        );
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
                    match self.after_failure().await {
                        Some((payload, reservation)) => {
                            out.push(self.cx.clone().attempt(
                                self.job.clone(),
                                payload,
                                reservation,
                            ));
                            hedge_at = self.hedge_at();
                        }
                        None => return last.unwrap_or_else(|| self.final_answer()),
                    }
                }
            }
        }
    }

    async fn next<F>(&self, out: &mut FuturesUnordered<F>, hedge_at: Option<policy::Moment>) -> Next
    where
        F: Future<Output = (id::VmId, attempt::Outcome)>,
    {
        let end = self.cx.instant(self.job.ends_at());
        let step = hedge_at.and_then(|_| self.pace_check_interval());
        let check_at = hedge_at.map(|at| hedge::next_check(self.cx.now(), at, step));
        let check = check_at.map_or(end, |at| self.cx.instant(at));
        let due = match check_at < hedge_at {
            true => Next::CheckPace,
            false => Next::Hedge,
        };
        tokio::select! {
            biased;
            Some((id, outcome)) = out.next() => Next::Ended(id, outcome),
            () = tokio::time::sleep_until(end) => Next::TimeUp,
            () = tokio::time::sleep_until(check), if hedge_at.is_some() => due,
        }
    }

    pub(super) fn need(&self) -> placement::Need<'_> {
        let (facts, job) = (self.facts, &self.job);
        let low_priority = facts.table.is_below_top_rank(facts.rank(), &job.service);
        let need = self
            .cx
            .need(job, facts.key, self.remote, low_priority, &self.tried);
        placement::Need {
            claim: self.cx.claim(&job.service, facts),
            above_share: !self.cx.is_within_share(&job.service, facts),
            prefers_warm: self.is_declined(),
            ..need
        }
    }

    /// Reserves a backend server, after a wait if there is no room now.
    pub(super) async fn reserve(&mut self) -> waiting::End {
        // Requests that wait go before this one.
        self.cx.serve_waiting();
        let need = self.need();
        let above_share = need.above_share;
        let why = match self.cx.reserve(&need) {
            Ok(reservation) => {
                self.cx.note_sent_at_once(self.facts, &self.job.service);
                return waiting::End::Room(reservation);
            }
            Err(why) => why,
        };
        let reason = self.no_room(why, above_share);
        if !self.cx.waiting.is_on() || !why.is_lack_of_room() {
            return waiting::End::Refused(reason);
        }
        let waitable = waiting::Waitable {
            facts: self.facts,
            job: &self.job,
            remote: self.remote,
            tried: &self.tried,
            payload: self.payload.as_ref(),
            // After a send, the charge is refunded already.
            charge: self.charge.as_ref().filter(|_| self.sends == 0),
            departure: self.departure,
        };
        let end = self.cx.wait_for_room(&waitable, &mut self.waited).await;
        match self.is_still_allowed() {
            true => end,
            false => waiting::End::Refused("the key was taken away"),
        }
    }

    /// Records that there is no room for the request. Returns the reason.
    fn no_room(&self, why: placement::PlacementError, above_share: bool) -> &'static str {
        if why.is_lack_of_room() {
            self.cx.count_found_none(&self.job.service, self.facts);
            self.cx.end_stalled_uploads(&self.job.service);
        }
        match why {
            placement::PlacementError::Full if above_share => ABOVE_SHARE,
            why => why.as_str(),
        }
    }

    pub(super) fn note_reservation(&mut self, reservation: &placement::Reservation) {
        if self.sends == 0 {
            self.cx.count_got(&self.job.service, self.facts);
        }
        self.tried.push(reservation.run.id.clone());
        self.new_object = reservation.new_object;
        self.ahead = reservation.ahead;
        self.placed_by = reservation.placed_by;
    }

    pub(super) fn note_send(&mut self) {
        self.sends += 1;
        self.in_flight += 1;
        self.last_sent = self.cx.now();
        self.first_sent.get_or_insert(self.last_sent);
        if !self.facts.route.idempotent {
            self.cancellation.committed.set(true);
        }
    }

    pub(super) fn take_payload(&mut self) -> Option<upstream::Payload> {
        match self.payload.take()? {
            upstream::Payload::Whole(body) => {
                self.payload = Some(upstream::Payload::Whole(body.clone()));
                Some(upstream::Payload::Whole(body))
            }
            pieces => Some(pieces),
        }
    }

    /// Refunds the quota charge of the latest send, which has not run.
    fn refund(&self) {
        if let Some(charge) = &self.charge {
            self.cx.refund(charge);
        }
    }

    fn settle(&mut self, id: &id::VmId, outcome: attempt::Outcome) -> Settled {
        let (name, connect_error) = (outcome.as_str(), outcome.connect_error());
        self.latest_failure = name;
        self.refusal = None;
        self.in_flight -= 1;
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
                self.record_failure(id, name, connect_error);
                self.has_arrived = true;
                self.possible_runs += 1;
                self.fate = ("failed", "the backend server failed");
                if !self.facts.route.idempotent {
                    return Settled::Answer(answer);
                }
                return Settled::Failed(Some(answer));
            }
            attempt::Outcome::NotRun(why) => {
                self.has_arrived |= !matches!(why, attempt::NotRun::NoConnection(_));
                self.refusal = Some(why);
                self.cut_off =
                    why == attempt::NotRun::NoConnection(connecting::ConnectError::CutOff);
                self.refund();
            }
            attempt::Outcome::Unknown(_) => {
                self.has_arrived = true;
                self.possible_runs += 1;
            }
        }
        self.record_failure(id, name, connect_error);
        Settled::Failed(None)
    }

    fn record_failure(&self, id: &id::VmId, what: &'static str, connect_error: &'static str) {
        self.cx.record_send(&record::FailedSend {
            id: &self.facts.id,
            service: self.job.service.as_str(),
            backend: id,
            outcome: what,
            connect_error,
            sends: self.sends,
        });
    }

    fn time_left(&self) -> time::Duration {
        self.facts.deadline.saturating_sub(self.cx.now())
    }

    /// The answer when all sends failed and no further send is possible.
    fn final_answer(&mut self) -> callers::Answer {
        match self.possible_runs {
            0 if self.revoked => self.refuse_revoked(),
            0 if self.cut_off => self.refuse_cut_off(),
            0 if self.waited.end == waiting::PLANNED_STOP => {
                self.refuse_unsent(waiting::PLANNED_STOP)
            }
            0 => {
                self.count_out_of_budget();
                // Backend servers that decline requests while idle do not lack room.
                let lacks_room = self.refusal == Some(attempt::NotRun::Shed);
                self.refuse("not run anywhere", lacks_room)
            }
            _ => self.outcome_unknown("no answer"),
        }
    }

    /// The answer to a request that ends because of a planned stop or a caller that makes no progress. Its sends
    /// in flight are given up.
    fn break_off(&mut self) -> callers::Answer {
        let why = match self.cancellation.is_stalled() {
            true => CALLER_STALLED,
            false => waiting::PLANNED_STOP,
        };
        self.possible_runs += std::mem::take(&mut self.in_flight);
        let answer = match self.possible_runs {
            0 => {
                // After a send that has not run, it is refunded already.
                if self.sends == 0 {
                    self.refund();
                }
                self.refuse_unsent(why)
            }
            _ => self.outcome_unknown(why),
        };
        callers::Answer {
            close: true,
            ..answer
        }
    }

    /// The answer to a request for which no connection came about since this VM is cut off. The
    /// connection is closed, because another VM can serve the caller.
    fn refuse_cut_off(&mut self) -> callers::Answer {
        let mut answer = self.refuse("cut off from backend servers", false);
        answer.close = true;
        answer
    }

    /// The answer to a request whose key was revoked before it ran.
    fn refuse_revoked(&mut self) -> callers::Answer {
        self.fate = ("turned_away", "the key was taken away");
        self.cx.gateway_answer(401, Some(&self.facts.id))
    }

    /// The answer to a request that was sent to no backend server.
    fn refuse_unsent(&mut self, why: &'static str) -> callers::Answer {
        if self.revoked {
            return self.refuse_revoked();
        }
        let is_stopping = why == waiting::PLANNED_STOP;
        let lacks_room = !is_stopping && why != placement::PlacementError::NoBackend.as_str();
        let mut answer = self.refuse(why, lacks_room);
        answer.close = is_stopping;
        answer
    }

    /// The answer to a request that has not run and will not. A lack of room ends as running
    /// requests do, so the retry is scheduled.
    fn refuse(&mut self, why: &'static str, lacks_room: bool) -> callers::Answer {
        self.fate = ("not_run", why);
        let service = &self.job.service;
        let left = self.time_left();
        if lacks_room {
            self.cx.count_found_none(service, self.facts);
        }
        self.promise = match lacks_room {
            true => self.cx.schedule_return(service, self.facts, left),
            false => None,
        };
        let after = match &self.promise {
            Some(promise) => promise.after,
            None => {
                // A refusal that is not load does not end sooner for callers that wait longer.
                let expected_wait = match self.is_declined() {
                    true => time::Duration::ZERO,
                    false => (self.cx).with_service(service, |state| state.expected_wait()),
                };
                let expected_wait = expected_wait.max(self.cx.wait_for_service(service));
                retry_delay::after(expected_wait, left, self.cx.jitter())
            }
        };
        self.retry_after = Some(after);
        let mut answer = self.cx.gateway_answer(503, Some(&self.facts.id));
        facts::put_retry_after(&mut answer.fields, after);
        answer
    }

    /// The answer to a request that may have run and got no answer from a backend server.
    fn outcome_unknown(&mut self, why: &'static str) -> callers::Answer {
        self.fate = ("unknown", why);
        let status = match self.time_left().is_zero() {
            true => 504,
            false => 502,
        };
        self.cx.gateway_answer(status, Some(&self.facts.id))
    }
}

enum Settled {
    Answer(callers::Answer),
    Failed(Option<callers::Answer>),
}
