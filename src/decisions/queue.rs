//! Decides which queued request is served next when all slots are taken.
//!
//! Load pattern: a burst or saturation, or long requests among short ones. In plain arrival order,
//! bookings wait behind reads, and short requests behind long ones. Symptom: the same latency for
//! all requests, close to the callers' timeout.
//!
//! Requests of equal worth and usual duration form a class. The class with the most worth per
//! second of work is served first, which maximises the worth answered. To prevent starvation, the
//! classes behind it have a guaranteed share: while a better class is served, they earn credit for
//! a small part of its time, and a class whose credit covers one request is served next.
//!
//! Both programs use this queue. What a class is and the order within it are theirs, see [`Class`]
//! and [`Request`]. [`ClassKey`] and [`Item`] are those of the entry path, which serves a class in
//! arrival order; this is also the order of deadlines, since its callers have the same timeout.
//! [`super::waiting`] has those of the gateway, where each request waits for certain backend servers.

use std::cmp;
use std::collections;
use std::ops;
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

/// A class of requests that are equally urgent.
pub trait Class: Copy + PartialEq {
    /// Compares two classes; the lesser one is served first.
    fn cmp_urgency(&self, other: &Self) -> cmp::Ordering;

    /// The work of one request, in the unit whose rate is passed to [`Queue::wait`].
    fn work(&self) -> f64;
}

/// A queued request.
pub trait Request: Copy {
    /// The position within a class. Requests that compare equal are served in arrival order.
    type Order: Ord;

    /// Its identifier.
    fn id(&self) -> policy::RequestId;

    /// Its position within its class.
    fn order(&self) -> Self::Order;

    /// When its caller times out.
    fn deadline(&self) -> policy::Moment;
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

impl Class for ClassKey {
    fn cmp_urgency(&self, other: &Self) -> cmp::Ordering {
        other.worth_per_s().total_cmp(&self.worth_per_s())
    }

    fn work(&self) -> f64 {
        self.typical.as_secs_f64()
    }
}

/// A queued request of the entry path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its identifier.
    pub id: policy::RequestId,
    /// When its caller times out.
    pub deadline: policy::Moment,
}

impl Request for Item {
    type Order = ();

    fn id(&self) -> policy::RequestId {
        self.id
    }

    fn order(&self) {}

    fn deadline(&self) -> policy::Moment {
        self.deadline
    }
}

#[derive(Clone, Debug)]
struct ClassState<K, I> {
    key: K,
    items: collections::VecDeque<I>,
    credit: f64,
    offered_load: f64,
    offered_load_at: policy::Moment,
}

impl<K: Class, I: Request> ClassState<K, I> {
    fn queued_work(&self) -> f64 {
        self.key.work() * self.items.len() as f64
    }

    fn is_due(&self) -> bool {
        !self.items.is_empty() && self.credit >= self.key.work()
    }

    fn offered_load(&self, cfg: &Config, now: policy::Moment) -> f64 {
        let age = now.saturating_sub(self.offered_load_at).as_secs_f64();
        self.offered_load * (-age / cfg.averaging_time.as_secs_f64()).exp()
    }

    /// The number of requests with at most this position.
    fn count_up_to(&self, order: &I::Order) -> usize {
        self.items.partition_point(|item| item.order() <= *order)
    }
}

/// The queued requests by class, best class first.
#[derive(Clone, Debug)]
pub struct Queue<K = ClassKey, I = Item> {
    classes: Vec<ClassState<K, I>>,
    len: usize,
}

impl<K, I> Default for Queue<K, I> {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            len: 0,
        }
    }
}

impl<K: Class, I: Request> Queue<K, I> {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The queued requests of each class in order, best class first.
    pub fn classes(&self) -> impl Iterator<Item = (K, &collections::VecDeque<I>)> {
        self.classes.iter().map(|c| (c.key, &c.items))
    }

    /// Whether requests of this class or a better one are queued.
    pub fn has_equal_or_better(&self, key: K) -> bool {
        self.classes
            .iter()
            .take_while(|c| c.key.cmp_urgency(&key).is_le())
            .any(|c| !c.items.is_empty())
    }

    /// Records the arrival of a request, queued or not.
    pub fn arrived(&mut self, cfg: &Config, now: policy::Moment, key: K) {
        let class = self.class(key);
        let class = &mut self.classes[class];
        let added_load = class.key.work() / cfg.averaging_time.as_secs_f64();
        class.offered_load = class.offered_load(cfg, now) + added_load;
        class.offered_load_at = now;
    }

    fn class(&mut self, key: K) -> usize {
        if let Some(i) = self.classes.iter().position(|c| c.key == key) {
            return i;
        }
        let at = self
            .classes
            .partition_point(|c| c.key.cmp_urgency(&key).is_le());
        let class = ClassState {
            key,
            items: collections::VecDeque::new(),
            credit: 0.0,
            offered_load: 0.0,
            offered_load_at: policy::Moment::ZERO,
        };
        self.classes.insert(at, class);
        at
    }

    /// Adds a request to its class, behind those of equal order.
    pub fn push(&mut self, key: K, item: I) {
        let class = self.class(key);
        let class = &mut self.classes[class];
        let at = class.count_up_to(&item.order());
        class.items.insert(at, item);
        self.len += 1;
    }

    /// Adds a request to its class, before those of equal order.
    pub fn push_front(&mut self, key: K, item: I) {
        let class = self.class(key);
        let items = &mut self.classes[class].items;
        let at = items.partition_point(|other| other.order() < item.order());
        items.insert(at, item);
        self.len += 1;
    }

    /// The request that is served next.
    pub fn peek(&self) -> Option<I> {
        let class = self
            .in_turn()
            .find(|at| !self.classes[*at].items.is_empty());
        self.classes[class?].items.front().copied()
    }

    /// Removes the request that is served next.
    pub fn pop(&mut self, cfg: &Config) -> Option<I> {
        self.pop_first(cfg, |_| ops::ControlFlow::Break(true))
    }

    /// Removes the first request, in the order of service, for which `visit` breaks with true. The
    /// search goes on while it continues, and ends without a request when it breaks with false.
    pub fn pop_first(
        &mut self,
        cfg: &Config,
        mut visit: impl FnMut(&I) -> ops::ControlFlow<bool>,
    ) -> Option<I> {
        let found = self.in_turn().find_map(|class| {
            let items = self.classes[class].items.iter();
            visit_all(items.enumerate(), &mut visit).map(|at| Some((class, at?)))
        });
        let (class, at) = found??;
        self.take_at(cfg, class, at)
    }

    /// The same among the requests behind one, in the order of classes whatever their credit. That
    /// one, with its class, may have left the queue; `None` is the start of the queue.
    pub fn pop_behind(
        &mut self,
        cfg: &Config,
        behind: Option<(K, I)>,
        mut visit: impl FnMut(&I) -> ops::ControlFlow<bool>,
    ) -> Option<I> {
        let start = |class: &ClassState<K, I>| match behind {
            None => 0,
            Some((key, item)) => match class.key.cmp_urgency(&key) {
                cmp::Ordering::Less => class.items.len(),
                cmp::Ordering::Equal => {
                    let last = (item.order(), item.id());
                    let is_before = |other: &I| (other.order(), other.id()) <= last;
                    class.items.partition_point(is_before)
                }
                cmp::Ordering::Greater => 0,
            },
        };
        let mut classes = self.classes.iter().enumerate();
        let found = classes.find_map(|(at, class)| {
            let items = class.items.iter().enumerate().skip(start(class));
            visit_all(items, &mut visit).map(|item| Some((at, item?)))
        });
        let (class, at) = found??;
        self.take_at(cfg, class, at)
    }

    fn take_at(&mut self, cfg: &Config, class: usize, at: usize) -> Option<I> {
        let item = self.classes[class].items.remove(at)?;
        self.len -= 1;
        self.update_credits(cfg, class);
        Some(item)
    }

    /// Records that a request of this class was served without being queued.
    pub fn served_at_once(&mut self, cfg: &Config, key: K) {
        let class = self.class(key);
        self.update_credits(cfg, class);
    }

    /// The classes in the order of service: the first one with credit for a request, then the best.
    fn in_turn(&self) -> impl Iterator<Item = usize> {
        let due = self.classes.iter().position(ClassState::is_due);
        let others = (0..self.classes.len()).filter(move |at| Some(*at) != due);
        due.into_iter().chain(others)
    }

    /// Deducts credit from a class served on credit; otherwise adds credit to the classes after it.
    fn update_credits(&mut self, cfg: &Config, at: usize) {
        let work = self.classes[at].key.work();
        if self.classes[at].credit >= work {
            self.classes[at].credit -= work;
            return;
        }
        let lower_classes = &mut self.classes[at + 1..];
        let waiting_classes = lower_classes.iter().filter(|c| !c.items.is_empty()).count();
        for class in lower_classes {
            if class.items.is_empty() {
                class.credit = 0.0;
                continue;
            }
            let earned = work * cfg.min_share / waiting_classes as f64;
            class.credit = (class.credit + earned).min(class.key.work());
        }
    }

    /// Removes the first request of the lowest class.
    pub fn pop_lowest(&mut self) -> Option<I> {
        let class = self
            .classes
            .iter_mut()
            .rev()
            .find(|c| !c.items.is_empty())?;
        self.len -= 1;
        class.items.pop_front()
    }

    /// The first request of the lowest class.
    pub fn peek_lowest(&self) -> Option<I> {
        let class = self.classes.iter().rev().find(|c| !c.items.is_empty())?;
        class.items.front().copied()
    }

    /// Removes the last request of a lower class, or a later one of this class, to make room for one
    /// of this class and order. Each class keeps a minimum number of places; otherwise bookings
    /// could fill the queue and starve reads.
    pub fn displace(&mut self, cfg: &Config, key: K, order: &I::Order) -> Option<I> {
        let min_places = ((cfg.max_len as f64 * cfg.min_share) as usize).max(1);
        let requesting = self.class(key);
        let below_min = self.classes[requesting].items.len() < min_places;
        let displaceable = |c: &&mut ClassState<K, I>| {
            let worse = c.key.cmp_urgency(&key).is_gt();
            c.items.len() > min_places && (worse || below_min)
        };
        let class = self.classes.iter_mut().rev().find(displaceable);
        let later = |item: &I| item.order() > *order;
        let class = match class {
            Some(class) => class,
            None => {
                let own = &mut self.classes[requesting];
                own.items.back().is_some_and(later).then_some(own)?
            }
        };
        self.len -= 1;
        class.items.pop_back()
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, key: K, id: policy::RequestId) -> bool {
        let class = self.class(key);
        let items = &mut self.classes[class].items;
        let Some(at) = items.iter().position(|item| item.id() == id) else {
            return false;
        };
        items.remove(at);
        self.len -= 1;
        true
    }

    /// Calls a function on each request, and moves those whose order it changes.
    pub fn update(&mut self, mut change: impl FnMut(&mut I)) {
        for class in &mut self.classes {
            class.items.iter_mut().for_each(&mut change);
            let items = class.items.make_contiguous();
            if !items.is_sorted_by_key(Request::order) {
                items.sort_by_key(Request::order);
            }
        }
    }

    /// Estimated wait of a request, where `rate` units of work are done per second.
    pub fn wait(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        key: K,
        order: &I::Order,
        rate: f64,
    ) -> time::Duration {
        let class = self.class(key);
        let better = self.classes[..class].iter();
        let ahead: f64 = better.map(ClassState::queued_work).sum::<f64>()
            + key.work() * self.classes[class].count_up_to(order) as f64;
        if ahead <= 0.0 {
            return time::Duration::ZERO;
        }
        wait_duration(ahead / self.rate_left_for(cfg, now, class, rate))
    }

    /// The longest wait of a request that only the guaranteed share of its class serves.
    pub fn guaranteed_wait(
        &self,
        cfg: &Config,
        key: K,
        order: &I::Order,
        rate: f64,
    ) -> time::Duration {
        let own = self.classes.iter().find(|c| c.key == key);
        let ahead = own.map_or(0, |c| c.count_up_to(order)) as f64 * key.work();
        let others = self
            .classes
            .iter()
            .skip(1)
            .filter(|c| c.key != key && !c.items.is_empty());
        let sharing = 1.0 + others.count() as f64;
        wait_duration((ahead + key.work()) * sharing / (rate * cfg.min_share).max(1e-6))
    }

    /// The part of `rate` that arrivals of better classes leave to a class.
    fn rate_left_for(&self, cfg: &Config, now: policy::Moment, class: usize, rate: f64) -> f64 {
        let better = self.classes[..class].iter();
        let better_load: f64 = better.map(|c| c.offered_load(cfg, now)).sum();
        (rate - better_load).max(rate * cfg.min_share).max(1e-6)
    }

    /// Removes and returns the requests that cannot meet their deadline: the wait at `rate` and the
    /// time that they run exceed the time left.
    pub fn sweep(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        rate: f64,
        runs_for: impl Fn(&K, &I) -> time::Duration,
    ) -> Vec<I> {
        let mut late = Vec::new();
        let mut ahead = 0.0;
        for at in 0..self.classes.len() {
            let rate_left = self.rate_left_for(cfg, now, at, rate);
            let class = &mut self.classes[at];
            let key = class.key;
            class.items.retain(|item| {
                let done_at = now + runs_for(&key, item) + wait_duration(ahead / rate_left);
                let keep = done_at <= item.deadline();
                match keep {
                    true => ahead += key.work(),
                    false => late.push(*item),
                }
                keep
            });
        }
        self.len -= late.len();
        late
    }
}

/// Visits requests until one breaks. Returns its position if it breaks with true.
fn visit_all<'a, I: 'a>(
    mut items: impl Iterator<Item = (usize, &'a I)>,
    mut visit: impl FnMut(&I) -> ops::ControlFlow<bool>,
) -> Option<Option<usize>> {
    items.find_map(|(at, item)| match visit(item) {
        ops::ControlFlow::Continue(()) => None,
        ops::ControlFlow::Break(taken) => Some(taken.then_some(at)),
    })
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
        let (mut queue, cfg) = (Queue::<ClassKey, Item>::default(), Config::default());
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
        let (mut queue, cfg) = (Queue::<ClassKey, Item>::default(), Config::default());
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
        let mut queue = Queue::<ClassKey, Item>::default();
        (0..8).for_each(|i| queue.push(BOOK, item(i)));
        assert_eq!(queue.displace(&cfg, READ, &()), Some(item(7)));
        queue.push(READ, item(8));
        assert_eq!(queue.displace(&cfg, READ, &()), None);
        assert_eq!(queue.displace(&cfg, BOOK, &()), None);
    }

    #[test]
    fn the_wait_includes_arrivals_of_better_classes() {
        let (mut queue, cfg) = (Queue::<ClassKey, Item>::default(), Config::default());
        (0..10).for_each(|i| queue.push(READ, item(i)));
        let now = policy::Moment::from_secs(1);
        let base_wait = queue.wait(&cfg, now, READ, &(), 1.0);
        assert_eq!(base_wait.as_millis(), 60);
        (0..20).for_each(|_| queue.arrived(&cfg, now, BOOK));
        assert!(queue.wait(&cfg, now, READ, &(), 1.0) > base_wait * 2);
        assert!(queue.wait(&cfg, now, BOOK, &(), 1.0).is_zero());
    }

    #[test]
    fn the_sweep_removes_requests_that_would_be_late() {
        let (mut queue, cfg) = (Queue::<ClassKey, Item>::default(), Config::default());
        (0..5_000).for_each(|i| queue.push(READ, item(i)));
        let out = queue.sweep(&cfg, policy::Moment::ZERO, 1.0, |key, _| key.typical);
        assert_eq!(out.len() + queue.len(), 5_000);
        assert!((1_600..1_700).contains(&queue.len()), "{}", queue.len());
    }
}
