//! Decides which queued request is served next when all slots are taken.
//!
//! Load pattern: a burst or saturation, or long requests among short ones. In plain arrival order,
//! bookings wait behind reads, and short requests behind long ones. Symptom: the same latency for
//! all requests, close to the callers' timeout.
//!
//! Requests of equal worth and usual duration form a class. The class with the most worth per
//! second of work is served first, which maximises the worth answered. To prevent starvation, the
//! classes behind it have a guaranteed share: while a better class is served, they earn credit for
//! a small part of its time, and a class whose credit covers one request is served next. A class is
//! served in arrival order, which is also the order of deadlines: its callers have the same
//! timeout.

use std::collections;
use std::time;

use super::{policy, range};

/// Thresholds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The share of time that all classes behind the best one get together. It is small because it
    /// costs worth; 5% costs no noticeable worth at twice the capacity.
    pub min_share: f64,
    /// The largest number of queued requests. It bounds memory; admission bounds the wait.
    pub max_len: usize,
    /// Time constant of the moving average of arriving work. A shorter one follows bursts sooner, a
    /// longer one is less affected by single requests.
    pub averaging_time: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min_share: 0.05,
            max_len: 4_096,
            averaging_time: time::Duration::from_millis(500),
        }
    }
}

impl Config {
    /// Checks that each threshold is in its range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("queue.floor", self.min_share, 0.001..=0.5)?;
        range::check("queue.most", self.max_len as f64, 1.0..=1e6)?;
        range::check(
            "queue.memory",
            self.averaging_time.as_secs_f64(),
            0.01..=60.0,
        )
    }
}

/// The properties that determine the class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassKey {
    /// The weight of its answer.
    pub worth: u32,
    /// The usual time that a backend server works on it.
    pub typical: time::Duration,
}

impl ClassKey {
    fn worth_per_s(&self) -> f64 {
        f64::from(self.worth) / self.typical.as_secs_f64().max(1e-6)
    }
}

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its identifier.
    pub id: policy::RequestId,
    /// When its caller times out.
    pub deadline: policy::Moment,
}

#[derive(Clone, Debug)]
struct Class {
    key: ClassKey,
    items: collections::VecDeque<Item>,
    credit: f64,
    offered_load: f64,
    offered_load_at: policy::Moment,
}

impl Class {
    fn work_s(&self) -> f64 {
        self.key.typical.as_secs_f64()
    }

    fn queued_work_s(&self) -> f64 {
        self.work_s() * self.items.len() as f64
    }

    fn offered_load(&self, cfg: &Config, now: policy::Moment) -> f64 {
        let age = now.saturating_sub(self.offered_load_at).as_secs_f64();
        self.offered_load * (-age / cfg.averaging_time.as_secs_f64()).exp()
    }
}

/// The queued requests by class, best class first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: Vec<Class>,
    len: usize,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether requests are queued with at least as much worth per second of work as this class.
    pub fn has_equal_or_better(&self, key: ClassKey) -> bool {
        let equal_or_better = |c: &&Class| c.key.worth_per_s() >= key.worth_per_s();
        self.classes
            .iter()
            .take_while(equal_or_better)
            .any(|c| !c.items.is_empty())
    }

    /// Records the arrival of a request, queued or not.
    pub fn arrived(&mut self, cfg: &Config, now: policy::Moment, key: ClassKey) {
        let class = self.class(key);
        let class = &mut self.classes[class];
        let added_load = class.work_s() / cfg.averaging_time.as_secs_f64();
        class.offered_load = class.offered_load(cfg, now) + added_load;
        class.offered_load_at = now;
    }

    fn class(&mut self, key: ClassKey) -> usize {
        if let Some(i) = self.classes.iter().position(|c| c.key == key) {
            return i;
        }
        let better = |c: &Class| c.key.worth_per_s() >= key.worth_per_s();
        let at = self.classes.partition_point(better);
        let class = Class {
            key,
            items: collections::VecDeque::new(),
            credit: 0.0,
            offered_load: 0.0,
            offered_load_at: policy::Moment::ZERO,
        };
        self.classes.insert(at, class);
        at
    }

    /// Adds a request at the end of its class.
    pub fn push(&mut self, key: ClassKey, item: Item) {
        let class = self.class(key);
        self.classes[class].items.push_back(item);
        self.len += 1;
    }

    /// Adds a request at the front of its class.
    pub fn push_front(&mut self, key: ClassKey, item: Item) {
        let class = self.class(key);
        self.classes[class].items.push_front(item);
        self.len += 1;
    }

    /// The request that is served next.
    pub fn peek(&self) -> Option<Item> {
        self.classes[self.next()?].items.front().copied()
    }

    /// Removes the request that is served next.
    pub fn pop(&mut self, cfg: &Config) -> Option<Item> {
        let at = self.next()?;
        let item = self.classes[at].items.pop_front()?;
        self.len -= 1;
        self.update_credits(cfg, at);
        Some(item)
    }

    /// The class to serve next: the first one with credit for a request, otherwise the best one.
    fn next(&self) -> Option<usize> {
        let has_work = |c: &Class| !c.items.is_empty();
        let due = |c: &Class| has_work(c) && c.credit >= c.work_s();
        let due_class = self.classes.iter().position(due);
        due_class.or_else(|| self.classes.iter().position(has_work))
    }

    /// Deducts credit from a class served on credit; otherwise adds credit to the classes after it.
    fn update_credits(&mut self, cfg: &Config, at: usize) {
        let work_s = self.classes[at].work_s();
        if self.classes[at].credit >= work_s {
            self.classes[at].credit -= work_s;
            return;
        }
        let lower_classes = &mut self.classes[at + 1..];
        let waiting_classes = lower_classes.iter().filter(|c| !c.items.is_empty()).count();
        for class in lower_classes {
            if class.items.is_empty() {
                class.credit = 0.0;
                continue;
            }
            let earned_s = work_s * cfg.min_share / waiting_classes as f64;
            class.credit = (class.credit + earned_s).min(class.work_s());
        }
    }

    /// Removes the first request of the lowest class.
    pub fn pop_lowest(&mut self) -> Option<Item> {
        let class = self
            .classes
            .iter_mut()
            .rev()
            .find(|c| !c.items.is_empty())?;
        self.len -= 1;
        class.items.pop_front()
    }

    /// The first request of the lowest class.
    pub fn peek_lowest(&self) -> Option<Item> {
        let class = self.classes.iter().rev().find(|c| !c.items.is_empty())?;
        class.items.front().copied()
    }

    /// Removes the newest request of a lower class to make room for one of this class. Each class
    /// keeps a minimum number of places; otherwise bookings could fill the queue and starve reads.
    pub fn displace(&mut self, cfg: &Config, key: ClassKey) -> Option<Item> {
        let min_places = ((cfg.max_len as f64 * cfg.min_share) as usize).max(1);
        let requesting = self.class(key);
        let below_min = self.classes[requesting].items.len() < min_places;
        let displaceable = |c: &&mut Class| {
            let worse = c.key.worth_per_s() < key.worth_per_s();
            c.items.len() > min_places && (worse || below_min)
        };
        let class = self.classes.iter_mut().rev().find(displaceable)?;
        self.len -= 1;
        class.items.pop_back()
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, key: ClassKey, id: policy::RequestId) -> bool {
        let class = self.class(key);
        let items = &mut self.classes[class].items;
        let Some(at) = items.iter().position(|item| item.id == id) else {
            return false;
        };
        items.remove(at);
        self.len -= 1;
        true
    }

    /// Estimated wait of a request, where the slots complete `rate` seconds of work per second.
    pub fn wait(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        key: ClassKey,
        rate: f64,
    ) -> time::Duration {
        let class = self.class(key);
        let ahead_s: f64 = self.classes[..=class]
            .iter()
            .map(Class::queued_work_s)
            .sum();
        if ahead_s <= 0.0 {
            return time::Duration::ZERO;
        }
        wait_duration(ahead_s / self.rate_left_for(cfg, now, class, rate))
    }

    /// The part of `rate` that arrivals of better classes leave to a class.
    fn rate_left_for(&self, cfg: &Config, now: policy::Moment, class: usize, rate: f64) -> f64 {
        let better = self.classes[..class].iter();
        let better_load: f64 = better.map(|c| c.offered_load(cfg, now)).sum();
        (rate - better_load).max(rate * cfg.min_share).max(1e-6)
    }

    /// Removes and returns the requests that cannot meet their deadline: the wait at `rate` and
    /// `slowdown` times the usual duration exceed the time left.
    pub fn sweep(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        rate: f64,
        slowdown: f64,
    ) -> Vec<Item> {
        let mut late = Vec::new();
        let mut ahead_s = 0.0;
        for at in 0..self.classes.len() {
            let rate_left = self.rate_left_for(cfg, now, at, rate);
            let class = &mut self.classes[at];
            let (work_s, needed_time) = (class.work_s(), class.key.typical.mul_f64(slowdown));
            class.items.retain(|item| {
                let done_at = now + needed_time + wait_duration(ahead_s / rate_left);
                let keep = done_at <= item.deadline;
                match keep {
                    true => ahead_s += work_s,
                    false => late.push(*item),
                }
                keep
            });
        }
        self.len -= late.len();
        late
    }
}

/// Upper bound of an estimated wait.
const MAX_WAIT_S: f64 = 3_600.0;

fn wait_duration(secs: f64) -> time::Duration {
    time::Duration::from_secs_f64(secs.clamp(0.0, MAX_WAIT_S))
}

#[cfg(test)]
mod tests {
    use super::*;

    const READ: ClassKey = ClassKey {
        worth: 2,
        typical: time::Duration::from_millis(6),
    };
    const BOOK: ClassKey = ClassKey {
        worth: 20,
        typical: time::Duration::from_millis(15),
    };
    const LONG: ClassKey = ClassKey {
        worth: 1,
        typical: time::Duration::from_millis(120),
    };

    fn item(id: u64) -> Item {
        Item {
            id: policy::RequestId(id),
            deadline: policy::Moment::from_secs(10),
        }
    }

    #[test]
    fn bookings_go_before_reads_and_short_before_long() {
        let (mut queue, cfg) = (Queue::default(), Config::default());
        queue.push(LONG, item(1));
        queue.push(READ, item(2));
        queue.push(BOOK, item(3));
        let order: Vec<_> = std::iter::from_fn(|| queue.pop(&cfg))
            .map(|i| i.id.0)
            .collect();
        assert_eq!(order, [3, 2, 1]);
    }

    /// Bookings arrive continuously. A read behind them gets a small share of the time.
    #[test]
    fn reads_are_not_starved() {
        let (mut queue, cfg) = (Queue::default(), Config::default());
        (0..100).for_each(|i| queue.push(READ, item(i)));
        let mut reads = 0;
        for i in 0..1_000 {
            queue.push(BOOK, item(1_000 + i));
            reads += u32::from(queue.pop(&cfg).unwrap().id.0 < 1_000);
        }
        assert!((95..=100).contains(&reads), "{reads}");
    }

    /// The queue is full of bookings. One read still gets a place, a second one does not.
    #[test]
    fn each_class_keeps_a_place() {
        let cfg = Config {
            max_len: 8,
            ..Config::default()
        };
        let mut queue = Queue::default();
        (0..8).for_each(|i| queue.push(BOOK, item(i)));
        assert_eq!(queue.displace(&cfg, READ), Some(item(7)));
        queue.push(READ, item(8));
        assert_eq!(queue.displace(&cfg, READ), None);
        assert_eq!(queue.displace(&cfg, BOOK), None);
    }

    #[test]
    fn the_wait_includes_arrivals_of_better_classes() {
        let (mut queue, cfg) = (Queue::default(), Config::default());
        (0..10).for_each(|i| queue.push(READ, item(i)));
        let now = policy::Moment::from_secs(1);
        let base_wait = queue.wait(&cfg, now, READ, 1.0);
        assert_eq!(base_wait.as_millis(), 60);
        (0..20).for_each(|_| queue.arrived(&cfg, now, BOOK));
        assert!(queue.wait(&cfg, now, READ, 1.0) > base_wait * 2);
        assert!(queue.wait(&cfg, now, BOOK, 1.0).is_zero());
    }

    #[test]
    fn the_sweep_removes_requests_that_would_be_late() {
        let (mut queue, cfg) = (Queue::default(), Config::default());
        (0..5_000).for_each(|i| queue.push(READ, item(i)));
        let out = queue.sweep(&cfg, policy::Moment::ZERO, 1.0, 1.0);
        assert_eq!(out.len() + queue.len(), 5_000);
        assert!((1_600..1_700).contains(&queue.len()), "{}", queue.len());
    }
}
