//! Requests that wait on this VM for room at a backend server.
//!
//! [`decisions::waiting`](crate::decisions::waiting) decides who waits, and in which order requests
//! are sent. Here each request's task waits for its [`End`]. While any waits, one task of the VM
//! looks for room: after each event that may have made some, and at each tick.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use metrics::{counter, gauge, histogram};
use tokio::sync::{self, oneshot};
use tokio::task;

use super::{Gateway, attempt, facts, placement, quotas, request};
use crate::decisions::{affinity, policy, waiting};
use crate::id;
use crate::metrics as metric_names;
use crate::state::backends;
use crate::transport::upstream;

/// Bytes that a streamed body counts at most: the pieces that have been read ahead of its sending.
const MAX_STREAMED_BYTES: u64 = 256 << 10;

/// The reason for requests that wait when a planned stop ends.
pub(super) const PLANNED_STOP: &str = "planned stop";

/// How a wait ended.
#[derive(Debug)]
pub(super) enum End {
    /// A backend server has room.
    Room(placement::Reservation),
    /// The request is refused, for this reason.
    Refused(&'static str),
}

/// The time that a request has waited, and how its last wait ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Waited {
    pub(super) span: time::Duration,
    /// Empty if it has not waited.
    pub(super) end: &'static str,
}

/// A request whose task waits.
#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<End>,
    job: rc::Rc<attempt::Job>,
    key: Option<u64>,
    remote: bool,
    tried: Vec<id::VmId>,
    body_bytes: usize,
}

impl Waiter {
    fn need<'a>(&'a self, cx: &Gateway) -> placement::Need<'a> {
        // Where requests wait, none leaves room for more urgent ones: these are served first.
        let low_priority = false;
        cx.need(&self.job, self.key, self.remote, low_priority, &self.tried)
    }
}

/// All requests that wait on this VM.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    is_on: bool,
    queues: cell::RefCell<collections::HashMap<id::ServiceId, waiting::ServiceQueue>>,
    waiters: cell::RefCell<collections::HashMap<u64, Waiter>>,
    body_bytes: cell::Cell<usize>,
    next_id: cell::Cell<u64>,
    /// Backend servers that may have got room since the last search.
    freed: cell::Cell<waiting::BackendSet>,
    /// Whether backend servers have come, gone or changed their state since the last search.
    has_changed: cell::Cell<bool>,
    event: sync::Notify,
    /// Whether the task that looks for room is running.
    is_serving: cell::Cell<bool>,
}

impl Waiting {
    pub(super) fn new(is_on: bool) -> Self {
        Self {
            is_on,
            ..Self::default()
        }
    }

    /// Whether requests may wait on this VM.
    pub(super) fn is_on(&self) -> bool {
        self.is_on
    }

    fn is_empty(&self) -> bool {
        !self.is_on || self.waiters.borrow().is_empty()
    }

    /// Notes that a backend server may have got room.
    pub(super) fn note_room(&self, backend: u64) {
        if self.is_empty() {
            return;
        }
        let freed = self.freed.get().union(waiting::BackendSet::one(backend));
        self.freed.set(freed);
        self.event.notify_one();
    }

    /// Notes that backend servers have come, gone or changed their state.
    pub(super) fn note_change(&self) {
        if self.is_empty() {
            return;
        }
        self.has_changed.set(true);
        self.event.notify_one();
    }
}

/// A request's place in the queue. It is given up when the request's task ends, as it does when the
/// caller leaves.
struct Place<'a> {
    cx: &'a Gateway,
    id: policy::RequestId,
    service: &'a id::ServiceId,
    rank: u32,
    since: policy::Moment,
    end: &'static str,
    charge: Option<&'a quotas::Charge>,
    departure: request::Departure,
}

/// The end of a wait whose caller has left.
const CALLER_LEFT: &str = "caller left";

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let cx = self.cx;
        if cx.forget_waiter(self.id).is_some()
            && let Some(queue) = cx.waiting.queues.borrow_mut().get_mut(self.service)
        {
            queue.remove(waiting::Rank(self.rank), self.id);
        }
        if self.end == CALLER_LEFT {
            cx.uncount_departure(self.departure);
            if let Some(charge) = self.charge {
                cx.refund(charge);
            }
        }
        let waited = cx.now().saturating_sub(self.since);
        let service = cx.labels.label(self.service.as_str());
        let rank = rank_label(self.rank);
        histogram!(metric_names::QUEUE_SECONDS, "service" => service.clone(), "rank" => rank)
            .record(waited.as_secs_f64());
        counter!(metric_names::QUEUE_ENDS, "service" => service, "ended" => self.end).increment(1);
    }
}

/// The value of the label for a rank, which configurations choose freely.
pub(super) fn rank_label(rank: u32) -> &'static str {
    const LABELS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];
    LABELS
        .get(rank as usize)
        .copied()
        .unwrap_or(metric_names::OTHER)
}

/// A request for which there is no room.
pub(super) struct Waitable<'a> {
    pub(super) facts: &'a facts::Facts,
    pub(super) job: &'a rc::Rc<attempt::Job>,
    pub(super) remote: bool,
    pub(super) tried: &'a [id::VmId],
    pub(super) payload: Option<&'a upstream::Payload>,
    /// The quota charge to refund if its caller leaves.
    pub(super) charge: Option<&'a quotas::Charge>,
    /// The departure to uncount then.
    pub(super) departure: request::Departure,
}

impl Waitable<'_> {
    /// Equal for requests that may get the same backend servers.
    fn group(&self, id: policy::RequestId) -> u64 {
        if !self.tried.is_empty() {
            return affinity::mix(id.0, u64::MAX);
        }
        let facts = self.facts;
        let homes = match facts.homes().is_unrestricted() {
            true => 0,
            false => affinity::hash(facts.customer_name().as_bytes()),
        };
        let route = affinity::hash(facts.route.name.as_bytes());
        let object = affinity::mix(facts.key.unwrap_or_default(), u64::from(self.remote));
        affinity::mix(object, affinity::mix(route, homes))
    }

    fn body_bytes(&self) -> usize {
        match self.payload {
            Some(upstream::Payload::Whole(body)) => body.len(),
            Some(upstream::Payload::Pieces { length, .. }) => {
                length.map_or(MAX_STREAMED_BYTES, |n| n.min(MAX_STREAMED_BYTES)) as usize
            }
            None => 0,
        }
    }
}

impl Gateway {
    /// Waits for room for a request. Adds the time to `waited`.
    pub(super) async fn wait_for_room(&self, req: &Waitable<'_>, waited: &mut Waited) -> End {
        let since = self.now();
        let (id, rx) = match self.enqueue(req, since) {
            Ok(queued) => queued,
            Err(why) => return End::Refused(why),
        };
        let mut place = Place {
            cx: self,
            id,
            service: &req.job.service,
            rank: req.facts.rank(),
            since,
            end: CALLER_LEFT,
            charge: req.charge,
            departure: req.departure,
        };
        // The sender is dropped only with the gateway itself.
        let end = rx.await.unwrap_or(End::Refused(PLANNED_STOP));
        place.end = match &end {
            End::Room(_) => "room",
            End::Refused(why) => why,
        };
        waited.span += self.now().saturating_sub(since);
        waited.end = place.end;
        end
    }

    fn enqueue(
        &self,
        req: &Waitable<'_>,
        now: policy::Moment,
    ) -> Result<(policy::RequestId, oneshot::Receiver<End>), &'static str> {
        if self.is_closed() {
            return Err(PLANNED_STOP);
        }
        let cfg = &self.cfg.thresholds.queue;
        let waiting = &self.waiting;
        let body_bytes = req.body_bytes();
        if waiting.body_bytes.get() + body_bytes > cfg.max_body_bytes {
            return Err("waiting requests hold too many bytes");
        }
        let (facts, service) = (req.facts, &req.job.service);
        let id = policy::RequestId(waiting.next_id.get());
        waiting.next_id.set(id.0 + 1);
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            tx,
            job: req.job.clone(),
            key: facts.key,
            remote: req.remote,
            tried: req.tried.to_vec(),
            body_bytes,
        };
        let (backends, is_warm) = self.backends_for(&waiter);
        let (rate, runs_for) = self.with_service(service, |state| {
            let is_cold = !is_warm
                && state
                    .cold_lateness
                    .caches_cold(&self.cfg.thresholds.warming);
            (
                state.throughput.rate(now, state.mean_latency_s),
                state.throughput.expected_time(is_cold),
            )
        });
        let arrival = waiting::Arrival {
            id,
            rank: waiting::Rank(facts.rank()),
            is_retry: facts.is_retry(),
            within_share: self.is_within_share(service, facts),
            target_at: facts.target_at(),
            deadline: facts.deadline,
            runs_for,
            backends,
            group: req.group(id),
        };
        let evicted = {
            let mut queues = waiting.queues.borrow_mut();
            let queue = match queues.get_mut(service) {
                Some(queue) => queue,
                None => queues.entry(service.clone()).or_default(),
            };
            queue
                .admit(cfg, now, rate, &arrival)
                .map_err(waiting::Refusal::as_str)?
        };
        if let Some(entry) = evicted {
            self.end_wait(entry.id, End::Refused("more urgent requests wait"));
        }
        waiting
            .body_bytes
            .set(waiting.body_bytes.get() + body_bytes);
        waiting.waiters.borrow_mut().insert(id.0, waiter);
        if !waiting.is_serving.replace(true) {
            task::spawn_local(self.clone().serve_while_any_waits());
        }
        Ok((id, rx))
    }

    /// Notes that a request found room without a wait.
    pub(super) fn note_sent_at_once(&self, facts: &facts::Facts, service: &id::ServiceId) {
        if self.waiting.is_empty() {
            return;
        }
        if let Some(queue) = self.waiting.queues.borrow_mut().get_mut(service) {
            queue.sent_at_once(&self.cfg.thresholds.queue, waiting::Rank(facts.rank()));
        }
    }

    /// The backend servers that may get a request, and whether one of them has its object cached, as
    /// far as this VM knows.
    fn backends_for(&self, waiter: &Waiter) -> (waiting::BackendSet, bool) {
        let Some(key) = waiter.key else {
            return (waiting::BackendSet::ALL, true);
        };
        let need = waiter.need(self);
        let (now, shortlist) = (self.now(), self.first_shortlist(&need));
        let known = self.backends.borrow();
        let usable = shortlist
            .iter()
            .filter_map(|id| known.get(id))
            .filter(|b| self.may_serve(b, &need, now));
        let (mut set, mut count, mut is_warm) = (waiting::BackendSet::default(), 0, false);
        for backend in usable {
            set = set.union(waiting::BackendSet::one(backend.hash));
            count += 1;
            is_warm |= backend.warming.sent_recently(now, key);
        }
        // With fewer, placement considers all backend servers.
        if count < affinity::SMALL_REGION_REPLICAS {
            set = waiting::BackendSet::ALL;
        }
        (set, is_warm)
    }

    /// Sends waiting requests for which there is room since the last search.
    pub(super) fn serve_waiting(&self) {
        let waiting = &self.waiting;
        if waiting.is_empty() {
            return;
        }
        let has_changed = waiting.has_changed.take();
        let freed = match has_changed {
            true => waiting::BackendSet::ALL,
            false => waiting.freed.get(),
        };
        waiting.freed.take();
        if freed.is_empty() {
            return;
        }
        let cfg = &self.cfg.thresholds.queue;
        let mut queues = waiting.queues.borrow_mut();
        for queue in queues.values_mut().filter(|queue| !queue.is_empty()) {
            if has_changed {
                let waiters = waiting.waiters.borrow();
                queue.update_backends(|id| match waiters.get(&id.0) {
                    Some(waiter) => self.backends_for(waiter).0,
                    None => waiting::BackendSet::ALL,
                });
            }
            let mut search = waiting::Search::new(freed);
            while let Some((entry, end)) =
                queue.take(cfg, &mut search, |entry| self.try_waiter(entry))
            {
                self.end_wait(entry.id, end);
            }
        }
    }

    /// Reserves a backend server for a waiting request; `None` while there is no room.
    fn try_waiter(&self, entry: &waiting::Entry) -> Option<End> {
        // After a pause of the process, an event may come before the tick that refuses it.
        if !entry.can_be_served(self.now()) {
            return Some(End::Refused(waiting::Refusal::TooLate.as_str()));
        }
        let waiters = self.waiting.waiters.borrow();
        let waiter = waiters.get(&entry.id.0)?;
        match self.reserve(&waiter.need(self)) {
            Ok(reservation) => Some(End::Room(reservation)),
            Err(why) if why.is_lack_of_room() => None,
            Err(why) => Some(End::Refused(why.as_str())),
        }
    }

    fn forget_waiter(&self, id: policy::RequestId) -> Option<Waiter> {
        let waiting = &self.waiting;
        let waiter = waiting.waiters.borrow_mut().remove(&id.0)?;
        let held = waiting.body_bytes.get();
        waiting.body_bytes.set(held - waiter.body_bytes);
        Some(waiter)
    }

    fn end_wait(&self, id: policy::RequestId, end: End) {
        if let Some(waiter) = self.forget_waiter(id) {
            // A task that ends at this moment drops the reservation, which is an event again.
            let _ = waiter.tx.send(end);
        }
    }

    /// Looks for room until no request waits.
    async fn serve_while_any_waits(self) {
        let mut ticks = tokio::time::interval(waiting::TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut tick = 0;
        while !self.waiting.is_empty() {
            tokio::select! {
                biased;
                _ = ticks.tick() => {
                    tick += 1;
                    self.expire_waiting();
                    let part = waiting::BackendSet::part(tick);
                    self.waiting.freed.set(self.waiting.freed.get().union(part));
                }
                () = self.waiting.event.notified() => {}
            }
            self.serve_waiting();
        }
        self.waiting.is_serving.set(false);
    }

    /// Refuses the requests whose last moment has come, and all when a planned stop accepts no more.
    fn expire_waiting(&self) {
        let (cfg, now) = (&self.cfg.thresholds.queue, self.now());
        let mut queues = self.waiting.queues.borrow_mut();
        for queue in queues.values_mut() {
            for entry in queue.expire(cfg, now) {
                let why = waiting::Refusal::TooLate.as_str();
                self.end_wait(entry.id, End::Refused(why));
            }
            if self.is_closed() {
                for entry in queue.clear() {
                    self.end_wait(entry.id, End::Refused(PLANNED_STOP));
                }
            }
        }
    }

    /// Whether the queue leaves room at a backend server for one more request of this VM.
    pub(super) fn queue_allows(
        &self,
        b: &backends::Backend,
        senders: usize,
        typical: time::Duration,
        now: policy::Moment,
    ) -> bool {
        let is_own_region = b.region == self.region;
        let occupancy = waiting::Occupancy {
            slots: f64::from(b.listed.slots),
            own: b.in_flight,
            load: b.load(now),
            report_age: b.report_age(now),
            senders: if is_own_region { senders } else { 0 },
        };
        occupancy.has_room(&self.cfg.thresholds.queue, typical)
    }

    /// The VMs that callers of this VM's region are sent to; zero if this one is not one of them.
    pub(super) fn local_senders(&self) -> usize {
        let vms = self.advertised_hashes(self.region.as_ref());
        match vms.contains(&self.own_hash) || vms.is_empty() {
            true => vms.len().max(1),
            false => 0,
        }
    }

    /// Sets the gauges of queue lengths.
    pub(super) fn set_queue_gauges(&self) {
        for (service, queue) in self.waiting.queues.borrow().iter() {
            let mut lengths = collections::BTreeMap::new();
            for (rank, len) in queue.lengths() {
                *lengths.entry(rank_label(rank.0)).or_insert(0) += len;
            }
            for (rank, len) in lengths {
                let service = self.labels.label(service.as_str());
                gauge!(metric_names::QUEUE_LENGTH, "service" => service, "rank" => rank)
                    .set(len as f64);
            }
        }
    }
}
