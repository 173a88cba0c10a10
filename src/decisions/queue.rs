//! Which request goes next when all slots are taken.
//!
//! Load pattern: burst and saturation, and long work among short. First come, first served makes
//! a booking wait behind reads and a check behind a pull of long records. One notices it as a
//! latency that is the same for all and close to the callers' patience.
//!
//! Requests wait in classes of equal worth and usual work. The class with the most worth for the
//! time it takes goes first, which is also what answers the most worth. So that patient reads
//! still arrive, each class has a floor: while work of a better class goes ahead, the classes
//! behind it earn a small share of its time and are served once that pays for one request.
//! Within a class the order is first come, first served: callers of a class have the same
//! patience, so that is also the order of deadlines.

use std::collections;
use std::time;

use super::{policy, range};

/// Thresholds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The share of time that the classes behind the best get in all. Worth is lost to it, so it
    /// is small: 5%, which cost
    /// nothing that could be measured at twice the capacity.
    pub floor: f64,
    /// Requests that wait at most. It bounds memory; how long they wait is bounded by admission.
    pub most: usize,
    /// Over how long the work that comes in is averaged. Shorter follows a burst sooner, longer
    /// does not follow single requests.
    pub memory: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            floor: 0.05,
            most: 4_096,
            memory: time::Duration::from_millis(500),
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("queue.floor", self.floor, 0.001..=0.5)?;
        range::check("queue.most", self.most as f64, 1.0..=1e6)?;
        range::check("queue.memory", self.memory.as_secs_f64(), 0.01..=60.0)
    }
}

/// What decides where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// What its answer counts.
    pub worth: u32,
    /// How long a backend server usually works on it.
    pub typical: time::Duration,
}

impl Kind {
    fn density(&self) -> f64 {
        f64::from(self.worth) / self.typical.as_secs_f64().max(1e-6)
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its number.
    pub id: policy::RequestId,
    /// When its caller stops waiting.
    pub deadline: policy::Moment,
}

#[derive(Clone, Debug)]
struct Class {
    kind: Kind,
    items: collections::VecDeque<Item>,
    credit: f64,
    arriving: f64,
    seen: policy::Moment,
}

impl Class {
    fn work(&self) -> f64 {
        self.kind.typical.as_secs_f64()
    }

    fn waiting(&self) -> f64 {
        self.work() * self.items.len() as f64
    }

    fn arriving(&self, cfg: &Config, now: policy::Moment) -> f64 {
        let age = now.saturating_sub(self.seen).as_secs_f64();
        self.arriving * (-age / cfg.memory.as_secs_f64()).exp()
    }
}

/// The requests that wait, best class first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: Vec<Class>,
    len: usize,
}

impl Queue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether requests wait that are worth as much as this kind, or more.
    pub fn crowded(&self, kind: Kind) -> bool {
        let as_good = |c: &&Class| c.kind.density() >= kind.density();
        self.classes
            .iter()
            .take_while(as_good)
            .any(|c| !c.items.is_empty())
    }

    /// A request came in, whether it will wait or not.
    pub fn arrived(&mut self, cfg: &Config, now: policy::Moment, kind: Kind) {
        let class = self.class(kind);
        let class = &mut self.classes[class];
        let more = class.work() / cfg.memory.as_secs_f64();
        class.arriving = class.arriving(cfg, now) + more;
        class.seen = now;
    }

    fn class(&mut self, kind: Kind) -> usize {
        if let Some(i) = self.classes.iter().position(|c| c.kind == kind) {
            return i;
        }
        let better = |c: &Class| c.kind.density() >= kind.density();
        let at = self.classes.partition_point(better);
        let class = Class {
            kind,
            items: collections::VecDeque::new(),
            credit: 0.0,
            arriving: 0.0,
            seen: policy::Moment::ZERO,
        };
        self.classes.insert(at, class);
        at
    }

    /// Lets a request wait behind its equals.
    pub fn push(&mut self, kind: Kind, item: Item) {
        let class = self.class(kind);
        self.classes[class].items.push_back(item);
        self.len += 1;
    }

    /// Puts a request back before its equals.
    pub fn push_front(&mut self, kind: Kind, item: Item) {
        let class = self.class(kind);
        self.classes[class].items.push_front(item);
        self.len += 1;
    }

    /// The request that goes next.
    pub fn peek(&self) -> Option<Item> {
        self.classes[self.next()?].items.front().copied()
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self, cfg: &Config) -> Option<Item> {
        let at = self.next()?;
        let item = self.classes[at].items.pop_front()?;
        self.len -= 1;
        self.share_out(cfg, at);
        Some(item)
    }

    /// The class that goes next: the best, unless one behind it has earned its turn.
    fn next(&self) -> Option<usize> {
        let has_work = |c: &Class| !c.items.is_empty();
        let due = |c: &Class| has_work(c) && c.credit >= c.work();
        let earned = self.classes.iter().position(due);
        earned.or_else(|| self.classes.iter().position(has_work))
    }

    /// Charges a class for its turn, or lets those behind it earn their share.
    fn share_out(&mut self, cfg: &Config, at: usize) {
        let work = self.classes[at].work();
        if self.classes[at].credit >= work {
            self.classes[at].credit -= work;
            return;
        }
        let behind = &mut self.classes[at + 1..];
        let waiting = behind.iter().filter(|c| !c.items.is_empty()).count();
        for class in behind {
            if class.items.is_empty() {
                class.credit = 0.0;
                continue;
            }
            let share = work * cfg.floor / waiting as f64;
            class.credit = (class.credit + share).min(class.work());
        }
    }

    /// Takes the first of the least worthy requests.
    pub fn pop_last(&mut self) -> Option<Item> {
        let class = self
            .classes
            .iter_mut()
            .rev()
            .find(|c| !c.items.is_empty())?;
        self.len -= 1;
        class.items.pop_front()
    }

    /// The first of the least worthy requests.
    pub fn peek_last(&self) -> Option<Item> {
        let class = self.classes.iter().rev().find(|c| !c.items.is_empty())?;
        class.items.front().copied()
    }

    /// Makes room for a request of this kind by taking out the newest of a worse kind. Each kind
    /// keeps its floor of places, whatever else comes in: without it, reads would find a queue
    /// that is full of bookings each time and be starved.
    pub fn displace(&mut self, cfg: &Config, kind: Kind) -> Option<Item> {
        let least = ((cfg.most as f64 * cfg.floor) as usize).max(1);
        let own = self.class(kind);
        let few = self.classes[own].items.len() < least;
        let spare = |c: &&mut Class| {
            let worse = c.kind.density() < kind.density();
            c.items.len() > least && (worse || few)
        };
        let class = self.classes.iter_mut().rev().find(spare)?;
        self.len -= 1;
        class.items.pop_back()
    }

    /// Takes a request out.
    pub fn remove(&mut self, kind: Kind, id: policy::RequestId) -> bool {
        let class = self.class(kind);
        let items = &mut self.classes[class].items;
        let Some(at) = items.iter().position(|item| item.id == id) else {
            return false;
        };
        items.remove(at);
        self.len -= 1;
        true
    }

    /// How long a request of this kind would wait now, where the slots get through `rate` seconds
    /// of usual work in each second.
    pub fn wait(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        kind: Kind,
        rate: f64,
    ) -> time::Duration {
        let class = self.class(kind);
        let ahead: f64 = self.classes[..=class].iter().map(Class::waiting).sum();
        if ahead <= 0.0 {
            return time::Duration::ZERO;
        }
        span(ahead / self.left_for(cfg, now, class, rate))
    }

    /// The rate that better classes leave to a class.
    fn left_for(&self, cfg: &Config, now: policy::Moment, class: usize, rate: f64) -> f64 {
        let better = self.classes[..class].iter();
        let taken: f64 = better.map(|c| c.arriving(cfg, now)).sum();
        (rate - taken).max(rate * cfg.floor).max(1e-6)
    }

    /// Takes out every request that cannot be answered in time any more: its place in the queue
    /// is too far behind, at `rate`, or the time left is less than `pace` times the usual work.
    pub fn sweep(&mut self, cfg: &Config, now: policy::Moment, rate: f64, pace: f64) -> Vec<Item> {
        let mut hopeless = Vec::new();
        let mut ahead = 0.0;
        for at in 0..self.classes.len() {
            let left = self.left_for(cfg, now, at, rate);
            let class = &mut self.classes[at];
            let (work, need) = (class.work(), class.kind.typical.mul_f64(pace));
            class.items.retain(|item| {
                let done = now + need + span(ahead / left);
                let keep = done <= item.deadline;
                match keep {
                    true => ahead += work,
                    false => hopeless.push(*item),
                }
                keep
            });
        }
        self.len -= hopeless.len();
        hopeless
    }
}

/// Longer waits than this are all the same.
const LONGEST_S: f64 = 3_600.0;

fn span(secs: f64) -> time::Duration {
    time::Duration::from_secs_f64(secs.clamp(0.0, LONGEST_S))
}

#[cfg(test)]
mod tests {
    use super::*;

    const READ: Kind = Kind {
        worth: 2,
        typical: time::Duration::from_millis(6),
    };
    const BOOK: Kind = Kind {
        worth: 20,
        typical: time::Duration::from_millis(15),
    };
    const LONG: Kind = Kind {
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

    /// Bookings come in without end. A patient read behind them gets its small share of the time.
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

    /// The queue is full of bookings. One read finds a place all the same, and a second does not.
    #[test]
    fn each_kind_keeps_a_place() {
        let cfg = Config {
            most: 8,
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
    fn the_wait_counts_what_better_classes_take() {
        let (mut queue, cfg) = (Queue::default(), Config::default());
        (0..10).for_each(|i| queue.push(READ, item(i)));
        let now = policy::Moment::from_secs(1);
        let calm = queue.wait(&cfg, now, READ, 1.0);
        assert_eq!(calm.as_millis(), 60);
        (0..20).for_each(|_| queue.arrived(&cfg, now, BOOK));
        assert!(queue.wait(&cfg, now, READ, 1.0) > calm * 2);
        assert!(queue.wait(&cfg, now, BOOK, 1.0).is_zero());
    }

    #[test]
    fn the_sweep_takes_what_is_too_far_behind() {
        let (mut queue, cfg) = (Queue::default(), Config::default());
        (0..5_000).for_each(|i| queue.push(READ, item(i)));
        let out = queue.sweep(&cfg, policy::Moment::ZERO, 1.0, 1.0);
        assert_eq!(out.len() + queue.len(), 5_000);
        assert!((1_600..1_700).contains(&queue.len()), "{}", queue.len());
    }
}
