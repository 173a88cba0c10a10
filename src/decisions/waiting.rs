//! Decides which requests wait on this VM for room at a backend server, in which order, and how long.
//!
//! Load pattern: for some seconds, callers send more than the backend servers can serve. A request
//! that is refused at once loses the rest of its caller's time, and one that waits at a backend
//! server can neither be overtaken by a more urgent one nor go elsewhere. The symptoms are refusals
//! with seconds left until the deadline, and urgent requests that are late behind others.
//!
//! So few requests wait at backend servers, and the others here, in a [`queue::Queue`] per service.
//! A request waits only if it can still be served in time, and at the last moment at which a
//! backend server could finish it, it is refused. Each waits for the backend servers that may get
//! its object, so the first in order need not be the first that finds room.
//!
//! Several VMs share a backend server and learn of each other's requests only from its answers. Each
//! may use an even part of the room without any such knowledge, and what the others leave unused
//! only while it knows their load. Else VMs that become busy at once would each fill all slots.

use std::cmp;
use std::collections;
use std::time;

pub use super::search::{BackendSet, Search};
use super::{mode, pace, policy, queue, range, search};

/// Interval at which a VM looks for what no event announces: load reports that expire, pauses that
/// end, and requests whose last moment has come.
pub const TICK: time::Duration = time::Duration::from_millis(20);

/// How long before its last moment a request is refused: until the next tick, which may be late in a
/// busy process.
const EXPIRY_MARGIN: time::Duration = time::Duration::from_millis(40);

/// Expected times that a request is sent before its deadline. With a single one, half of the requests
/// sent at the last moment are late, and under overload these are most of them.
const TIME_MARGIN: f64 = 1.25;

/// The same before its latency target. With less, late urgent requests take room from less
/// urgent ones.
const TARGET_MARGIN: f64 = 1.4;

/// Age up to which a load report says what other VMs leave unused; later it counts as lost.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1500);

/// Thresholds of waiting.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Whether requests wait. Not by default: on the measured deployments fewer answers meet their
    /// latency target with the queue than with refusals at once, whose callers retry.
    pub mode: mode::Mode,
    /// Requests per slot that a backend server gets at most; others wait on this VM, where they can
    /// still be ordered.
    pub max_load: f64,
    /// Waiting requests per service.
    pub max_len: usize,
    /// Bytes of request bodies that waiting requests hold.
    pub max_body_bytes: usize,
    /// The share of a service's room that all classes behind the best one get together.
    pub min_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            mode: mode::Mode::Off,
            max_load: 1.2,
            max_len: 256,
            max_body_bytes: 4 << 20,
            min_share: 0.05,
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("queue.max_load", self.max_load, 0.1..=10.0)?;
        range::check("queue.max_len", self.max_len as f64, 1.0..=1e6)?;
        range::check(
            "queue.max_body_bytes",
            self.max_body_bytes as f64,
            0.0..=1e9,
        )?;
        range::check("queue.min_share", self.min_share, 0.001..=0.5)
    }

    fn queue(&self) -> queue::Config {
        queue::Config {
            min_share: self.min_share,
            max_len: self.max_len,
            ..queue::Config::default()
        }
    }
}

// Room at a backend server.

/// What this VM knows of the load of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Its slots.
    pub slots: f64,
    /// This VM's requests in flight there.
    pub own: u32,
    /// Requests of all VMs that run or wait there, as far as known.
    pub load: f64,
    /// The age of the last load report.
    pub report_age: Option<time::Duration>,
    /// Number of VMs that callers of its region are sent to; zero if this VM is not one of them.
    pub senders: usize,
}

impl Occupancy {
    /// Whether this VM may send one more request there. `typical` is a typical response time.
    pub fn has_room(&self, cfg: &Config, typical: time::Duration) -> bool {
        // The tolerance makes 1.2 requests at each of 5 slots six and not five.
        let max = (self.slots * cfg.max_load + 1e-6).floor().max(1.0);
        let age = self.report_age.unwrap_or(time::Duration::MAX);
        if self.own == 0 && age > typical {
            return true;
        }
        let own = f64::from(self.own);
        let even_part = match self.senders {
            0 => 0.0,
            senders => (max / senders as f64).floor(),
        };
        let knows_others = self.senders == 1 || age <= MAX_REPORT_AGE;
        own < even_part || knows_others && self.load + 1.0 <= max
    }
}

// Throughput of a service.

/// What this VM has seen of the rate at which one service serves its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    in_flight: u32,
    /// Decaying count of sent requests.
    sent: f64,
    sent_at: policy::Moment,
    /// Mean time of a request whose object is cached, in seconds.
    warm_s: f64,
}

impl Throughput {
    /// Time constant of the count of sent requests.
    const AVERAGING_TIME_S: f64 = 1.0;

    /// Records a request sent to a backend server.
    pub fn sent(&mut self, now: policy::Moment) {
        self.in_flight += 1;
        self.sent = self.recently_sent(now) + 1.0;
        self.sent_at = now;
    }

    /// Records the end of a sent request.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records an answer after `took`, and whether its object was cold.
    pub fn answered(&mut self, took: time::Duration, cold: bool) {
        /// Weight of one answer: the mean covers about the last 20.
        const SAMPLE_WEIGHT: f64 = 0.05;
        let factor = if cold { pace::COLD_FACTOR } else { 1.0 };
        let sample = took.as_secs_f64() / factor;
        self.warm_s = match self.warm_s {
            0.0 => sample,
            old => old + (sample - old) * SAMPLE_WEIGHT,
        };
    }

    /// The expected time from a send to its answer; zero before the first answer.
    pub fn expected_time(&self, cold: bool) -> time::Duration {
        let factor = if cold { pace::COLD_FACTOR } else { 1.0 };
        time::Duration::from_secs_f64(self.warm_s * factor)
    }

    fn recently_sent(&self, now: policy::Moment) -> f64 {
        let age = now.saturating_sub(self.sent_at).as_secs_f64();
        self.sent * (-age / Self::AVERAGING_TIME_S).exp()
    }

    /// Requests of this VM that the service serves per second, where one takes `mean_s` seconds;
    /// infinite while that is not known. The requests in flight show the rate at the start of a
    /// surge, before the count of sent ones has followed.
    pub fn rate(&self, now: policy::Moment, mean_s: f64) -> f64 {
        if mean_s <= 0.0 {
            return f64::INFINITY;
        }
        let by_count = self.recently_sent(now) / Self::AVERAGING_TIME_S;
        by_count.max(f64::from(self.in_flight) / mean_s)
    }
}

// The queue of a service.

/// The class of a request by its rank; 0 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank(pub u32);

impl queue::Class for Rank {
    fn cmp_urgency(&self, other: &Self) -> cmp::Ordering {
        self.0.cmp(&other.0)
    }

    fn work(&self) -> f64 {
        1.0
    }
}

/// The position of a request among those of its rank; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    above_share: bool,
    /// Whether its answer can no longer meet the latency target.
    is_late: bool,
    is_first_attempt: bool,
    /// When it must start to meet the latency target; its deadline if it can no longer.
    by: policy::Moment,
}

/// A request that finds no room.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its identifier.
    pub id: policy::RequestId,
    /// Its rank.
    pub rank: Rank,
    /// Whether it is a caller's further attempt.
    pub is_retry: bool,
    /// Whether its customer is within its fair share.
    pub within_share: bool,
    /// When its answer must be there to meet the latency target.
    pub target_at: policy::Moment,
    /// When its caller times out.
    pub deadline: policy::Moment,
    /// The expected time from its send to its answer.
    pub runs_for: time::Duration,
    /// The backend servers that may get it.
    pub backends: BackendSet,
    /// Equal for requests with the same backend servers: if one finds no room, none does.
    pub group: u64,
}

impl Arrival {
    fn entry(&self, now: policy::Moment) -> Entry {
        let runs_for = self.runs_for.mul_f64(TIME_MARGIN);
        let order = Order {
            above_share: !self.within_share,
            is_first_attempt: !self.is_retry,
            is_late: false,
            by: self
                .target_at
                .saturating_sub(self.runs_for.mul_f64(TARGET_MARGIN)),
        };
        let mut entry = Entry {
            id: self.id,
            rank: self.rank,
            order,
            deadline: self.deadline,
            runs_for,
            backends: self.backends,
            group: self.group,
        };
        entry.update_lateness(now);
        entry
    }
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Its identifier.
    pub id: policy::RequestId,
    /// Its class: its rank, or a less urgent one if it is late.
    rank: Rank,
    order: Order,
    deadline: policy::Moment,
    runs_for: time::Duration,
    backends: BackendSet,
    group: u64,
}

impl Entry {
    /// Whether it could still be answered before its deadline if it were sent now.
    pub fn can_be_served(&self, now: policy::Moment) -> bool {
        now + self.runs_for <= self.deadline
    }

    fn becomes_late(&self, now: policy::Moment) -> bool {
        !self.order.is_late && self.order.by < now
    }

    fn update_lateness(&mut self, now: policy::Moment) {
        if self.becomes_late(now) {
            self.order.is_late = true;
            self.order.by = self.deadline;
        }
    }
}

impl queue::Request for Entry {
    type Order = Order;

    fn id(&self) -> policy::RequestId {
        self.id
    }

    fn order(&self) -> Order {
        self.order
    }

    fn deadline(&self) -> policy::Moment {
        self.deadline
    }
}

/// Why a request does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It would not be served before its deadline.
    TooLate,
    /// Its customer is above its share, and others within theirs wait.
    AboveShare,
    /// The queue is full of requests that are at least as urgent.
    QueueFull,
}

impl Refusal {
    /// The reason as a log and metric value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "no room before its deadline",
            Self::AboveShare => "its customer is above its share",
            Self::QueueFull => "the queue is full",
        }
    }
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceQueue {
    queue: queue::Queue<Rank, Entry>,
    rest: search::Rest<Entry>,
}

impl ServiceQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The number of waiting requests of each rank seen so far.
    pub fn lengths(&self) -> impl Iterator<Item = (Rank, usize)> {
        self.queue
            .classes()
            .map(|(rank, items)| (rank, items.len()))
    }

    /// Adds a request, or says why it does not wait. `rate` is the number of requests that leave per
    /// second. Returns the request that was evicted for it.
    pub fn admit(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        rate: f64,
        arrival: &Arrival,
    ) -> Result<Option<Entry>, Refusal> {
        let queue_cfg = cfg.queue();
        self.queue.arrived(&queue_cfg, now, arrival.rank);
        let mut entry = arrival.entry(now);
        if entry.order.is_late {
            entry.rank = self.least_urgent(entry.rank);
        }
        let rank = entry.rank;
        if !arrival.within_share && self.has_within_share() {
            return Err(Refusal::AboveShare);
        }
        let order = &entry.order;
        let wait = self.queue.wait(&queue_cfg, now, rank, order, rate);
        let guaranteed = self.queue.guaranteed_wait(&queue_cfg, rank, order, rate);
        let wait = wait.min(guaranteed);
        if now + wait.max(EXPIRY_MARGIN) + entry.runs_for > arrival.deadline {
            return Err(Refusal::TooLate);
        }
        let mut evicted = None;
        if self.queue.len() >= cfg.max_len {
            evicted = self.queue.displace(&queue_cfg, rank, &entry.order);
            if evicted.is_none() {
                return Err(Refusal::QueueFull);
            }
        }
        self.queue.push(rank, entry);
        Ok(evicted)
    }

    /// Records that a request of this rank found room at once. Requests that wait for other backend
    /// servers have a share of that room too.
    pub fn sent_at_once(&mut self, cfg: &Config, rank: Rank) {
        if !self.queue.is_empty() {
            self.queue.served_at_once(&cfg.queue(), rank);
        }
    }

    /// Whether requests of customers within their share wait.
    fn has_within_share(&self) -> bool {
        let first = |(_, items): (_, &collections::VecDeque<Entry>)| items.front().copied();
        self.queue
            .classes()
            .filter_map(first)
            .any(|entry| !entry.order.above_share)
    }

    /// Removes and returns the first request in order for which `try_send` returns a value, with
    /// that value. It is called only for requests that the search may find room for.
    pub fn take<T>(
        &mut self,
        cfg: &Config,
        search: &mut Search,
        mut try_send: impl FnMut(&Entry) -> Option<T>,
    ) -> Option<(Entry, T)> {
        let (queue_cfg, rest, mut sent) = (cfg.queue(), &mut self.rest, None);
        if search.is_in_front() {
            let entry = self.queue.pop_first(&queue_cfg, |entry| {
                search.visit(entry.backends, entry.group, rest.freed, || {
                    sent = try_send(entry);
                    sent.is_some()
                })
            });
            if entry.is_some() {
                return entry.zip(sent);
            }
            search.leave_front(rest);
        }
        if search.is_over() {
            return None;
        }
        let behind = rest.after.map(|entry| (entry.rank, entry));
        let entry = self.queue.pop_behind(&queue_cfg, behind, |entry| {
            search.visit(entry.backends, entry.group, rest.freed, || {
                rest.after = Some(*entry);
                sent = try_send(entry);
                sent.is_some()
            })
        });
        if entry.is_none() {
            search.leave_rest(rest);
        }
        entry.zip(sent)
    }

    /// The class of late requests: the least urgent rank seen so far.
    fn least_urgent(&self, rank: Rank) -> Rank {
        self.queue.classes().last().map_or(rank, |(least, _)| least)
    }

    /// Removes a request of a rank. Returns whether it waited.
    pub fn remove(&mut self, rank: Rank, id: policy::RequestId) -> bool {
        if self.queue.remove(rank, id) {
            return true;
        }
        // Late.
        let ranks: Vec<Rank> = self.queue.classes().map(|(rank, _)| rank).collect();
        ranks.into_iter().any(|rank| self.queue.remove(rank, id))
    }

    /// Recomputes the backend servers of all requests after some have come or gone.
    pub fn update_backends(&mut self, mut backends: impl FnMut(policy::RequestId) -> BackendSet) {
        self.queue
            .update(|entry| entry.backends = backends(entry.id));
    }

    /// Moves requests that can no longer meet their latency target, and removes and returns those
    /// that could not be served any more after another tick.
    pub fn expire(&mut self, cfg: &Config, now: policy::Moment) -> Vec<Entry> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let entries = self.queue.classes().flat_map(|(_, entries)| entries);
        let late: Vec<Entry> = entries.filter(|e| e.becomes_late(now)).copied().collect();
        for mut entry in late {
            self.queue.remove(entry.rank, entry.id);
            entry.rank = self.least_urgent(entry.rank);
            entry.update_lateness(now);
            self.queue.push(entry.rank, entry);
        }
        let next = now + EXPIRY_MARGIN;
        self.queue
            .sweep(&cfg.queue(), next, f64::INFINITY, |_, entry| entry.runs_for)
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<Entry> {
        let queue = std::mem::take(&mut self.queue);
        let items = queue.classes().flat_map(|(_, items)| items);
        items.copied().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: policy::Moment = policy::Moment::from_secs(100);
    const MS: fn(u64) -> time::Duration = time::Duration::from_millis;

    fn arrival(id: u64) -> Arrival {
        Arrival {
            id: policy::RequestId(id),
            rank: Rank(1),
            is_retry: false,
            within_share: true,
            target_at: NOW + MS(1_000),
            deadline: NOW + MS(4_000),
            runs_for: MS(200),
            backends: BackendSet::one(id),
            group: id,
        }
    }

    fn queue_of(arrivals: &[Arrival]) -> ServiceQueue {
        let mut queue = ServiceQueue::default();
        for arrival in arrivals {
            queue
                .admit(&Config::default(), NOW, f64::INFINITY, arrival)
                .unwrap();
        }
        queue
    }

    fn order_of(mut queue: ServiceQueue) -> Vec<u64> {
        let cfg = Config::default();
        std::iter::from_fn(|| queue.take(&cfg, &mut Search::new(BackendSet::ALL), |_| Some(())))
            .map(|(entry, ())| entry.id.0)
            .collect()
    }

    #[test]
    fn the_order_is_rank_share_retry_and_latest_start() {
        let with_target = |id, ms| Arrival {
            target_at: NOW + MS(ms),
            ..arrival(id)
        };
        let queue = queue_of(&[
            Arrival {
                within_share: false,
                ..arrival(1)
            },
            with_target(2, 200),
            with_target(3, 900),
            with_target(4, 500),
            Arrival {
                is_retry: true,
                ..with_target(5, 2_000)
            },
            Arrival {
                rank: Rank(0),
                ..with_target(6, 3_000)
            },
        ]);
        // Request 2 would have had to start before it arrived.
        assert_eq!(order_of(queue), [6, 5, 4, 3, 2, 1]);
    }

    /// Guards against a request for a full backend server that holds up all others.
    #[test]
    fn a_request_without_room_blocks_no_other() {
        let (cfg, mut queue) = (Config::default(), queue_of(&[arrival(1), arrival(2)]));
        let mut search = Search::new(BackendSet::ALL);
        let mut take = || queue.take(&cfg, &mut search, |entry| (entry.id.0 == 2).then_some(()));
        assert_eq!(take().map(|(entry, ())| entry.id.0), Some(2));
        assert!(take().is_none());
        let mut search = Search::new(BackendSet::one(7));
        assert!(queue.take(&cfg, &mut search, |_| Some(())).is_none());
    }

    /// Guards against an event that costs as much as the queue is long.
    #[test]
    fn a_search_tries_a_bounded_number_of_requests() {
        let arrivals: Vec<_> = (0..200).map(arrival).collect();
        let (cfg, mut queue) = (Config::default(), queue_of(&arrivals));
        let mut search = Search::new(BackendSet::ALL);
        let mut tries = 0;
        for _ in 0..10 {
            queue.take(&cfg, &mut search, |_| {
                tries += 1;
                None::<()>
            });
        }
        assert_eq!(tries, search::MAX_FAILED_GROUPS);
    }

    /// Guards against requests that starve behind many of the same class that find no room.
    #[test]
    fn searches_reach_requests_behind_many_without_room() {
        let arrivals: Vec<_> = (0..41).map(arrival).collect();
        let (cfg, mut queue) = (Config::default(), queue_of(&arrivals));
        let mut has_room = |_| {
            let mut search = Search::new(BackendSet::ALL);
            let sent = queue.take(&cfg, &mut search, |entry| (entry.id.0 == 40).then_some(()));
            sent.is_some()
        };
        assert!((0..9).any(&mut has_room));
    }

    #[test]
    fn a_request_that_cannot_be_served_in_time_does_not_wait() {
        let (cfg, mut queue) = (Config::default(), ServiceQueue::default());
        let late = Arrival {
            deadline: NOW + MS(200),
            ..arrival(1)
        };
        let mut admit = |arrival: &Arrival| queue.admit(&cfg, NOW, 10.0, arrival).err();
        assert_eq!(admit(&late), Some(Refusal::TooLate));
        let admitted = (0..100).filter(|id| admit(&arrival(*id)).is_none()).count();
        // In 3.75 s, 37 are served at 10 per second.
        assert_eq!(admitted, 38);
    }

    #[test]
    fn a_customer_above_its_share_waits_only_while_no_other_does() {
        let (cfg, mut queue) = (Config::default(), ServiceQueue::default());
        let above = Arrival {
            within_share: false,
            ..arrival(1)
        };
        let mut admit = |arrival: &Arrival| queue.admit(&cfg, NOW, 10.0, arrival).err();
        assert_eq!(admit(&above), None);
        assert_eq!(admit(&arrival(2)), None);
        assert_eq!(admit(&above), Some(Refusal::AboveShare));
    }

    /// Guards against requests refused after the moment at which a backend server could finish them.
    #[test]
    fn requests_are_refused_while_they_could_still_be_served() {
        let (cfg, mut queue) = (Config::default(), queue_of(&[arrival(1), arrival(2)]));
        let last = NOW + MS(3_750);
        assert!(queue.expire(&cfg, last - EXPIRY_MARGIN).is_empty());
        assert_eq!(queue.expire(&cfg, last - TICK).len(), 2);
    }

    #[test]
    fn a_full_queue_evicts_the_least_urgent_request() {
        let cfg = Config {
            max_len: 2,
            ..Config::default()
        };
        let mut queue = queue_of(&[arrival(1), arrival(2)]);
        let sooner = Arrival {
            target_at: NOW + MS(500),
            ..arrival(3)
        };
        let evicted = queue.admit(&cfg, NOW, 10.0, &sooner).unwrap();
        assert_eq!(evicted.map(|entry| entry.id.0), Some(2));
        let refused = queue.admit(&cfg, NOW, 10.0, &arrival(4));
        assert_eq!(refused.err(), Some(Refusal::QueueFull));
    }

    fn room(own: u32, others: f64, report_age: Option<u64>, senders: usize) -> bool {
        let occupancy = Occupancy {
            slots: 6.0,
            own,
            load: f64::from(own) + others,
            report_age: report_age.map(MS),
            senders,
        };
        occupancy.has_room(&Config::default(), MS(400))
    }

    /// Guards against two VMs that become busy together and each fill all slots.
    #[test]
    fn a_vm_that_knows_nothing_of_others_uses_an_even_part() {
        assert!(room(2, 0.0, None, 2) && !room(3, 0.0, None, 2));
        assert!(room(6, 0.0, None, 1) && !room(7, 0.0, None, 1));
        assert!(room(6, 0.0, Some(100), 2) && !room(6, 1.0, Some(100), 2));
        assert!(!room(3, 0.0, Some(1_600), 2));
    }

    /// Guards against a VM that never gets room since another one holds all of it.
    #[test]
    fn no_vm_starves_behind_the_requests_of_others() {
        assert!(room(2, 20.0, Some(100), 2));
        assert!(!room(0, 20.0, Some(100), 0));
        assert!(room(0, 20.0, Some(500), 0) && room(0, 20.0, None, 0));
    }
}
