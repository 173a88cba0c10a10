//! A simulated network between processes, in virtual time. Links lose, delay, duplicate and
//! reorder messages, separately for each direction and reproducibly from one seed.

use std::collections;
use std::time;

use rand::RngExt;
use rand::SeedableRng;

use crate::decisions::policy;

data! {
    /// Faults and delays of one direction of a link.
    #[derive(Copy)]
    pub struct Link {
        /// Share of messages that is lost.
        pub loss: f64,
        /// Share of messages that is delivered twice.
        pub duplicates: f64,
        /// The shortest delay.
        pub min_delay: time::Duration,
        /// The longest delay. Messages can be reordered if it exceeds the shortest.
        pub max_delay: time::Duration,
    }
}

impl Default for Link {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplicates: 0.0,
            min_delay: time::Duration::from_millis(1),
            max_delay: time::Duration::from_millis(2),
        }
    }
}

impl Link {
    /// A link that loses every message.
    pub fn cut() -> Self {
        Self {
            loss: 1.0,
            ..Self::default()
        }
    }
}

data! {
    /// A delivered message.
    pub struct Arrived<M> {
        /// The sender's index.
        pub from: usize,
        /// The receiver's index.
        pub to: usize,
        /// The message.
        pub message: M,
    }
}

/// The network between processes, which are identified by index.
#[derive(Debug)]
pub struct Fabric<M> {
    rng: rand_chacha::ChaCha8Rng,
    links: collections::HashMap<(usize, usize), Link>,
    default: Link,
    in_transit: collections::BTreeMap<(policy::Moment, u64), Arrived<M>>,
    sent: u64,
}

impl<M: Clone> Fabric<M> {
    /// Creates a network in which links without a setting of their own use `default`.
    pub fn new(seed: u64, default: Link) -> Self {
        Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            links: collections::HashMap::new(),
            default,
            in_transit: collections::BTreeMap::new(),
            sent: 0,
        }
    }

    /// Sets one direction of one link.
    pub fn set(&mut self, from: usize, to: usize, link: Link) {
        self.links.insert((from, to), link);
    }

    /// Resets every link to the default.
    pub fn heal(&mut self) {
        self.links.clear();
    }

    /// The current setting of one direction of a link.
    pub fn link(&self, from: usize, to: usize) -> Link {
        self.links.get(&(from, to)).copied().unwrap_or(self.default)
    }

    /// Sends a message, which may be lost.
    pub fn send(&mut self, now: policy::Moment, from: usize, to: usize, message: M) {
        self.sent += 1;
        let link = self.link(from, to);
        if self.rng.random::<f64>() < link.loss {
            return;
        }
        let copies = 1 + u64::from(self.rng.random::<f64>() < link.duplicates);
        for copy in 0..copies {
            let spread = link.max_delay.saturating_sub(link.min_delay);
            let at = now + link.min_delay + spread.mul_f64(self.rng.random());
            let message = message.clone();
            let arrived = Arrived { from, to, message };
            self.in_transit.insert((at, 2 * self.sent + copy), arrived);
        }
    }

    /// Removes and returns the messages due by `now`, in order of arrival.
    pub fn arrived(&mut self, now: policy::Moment) -> Vec<Arrived<M>> {
        let later = self.in_transit.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.in_transit, later)
            .into_values()
            .collect()
    }

    /// Number of messages sent so far, including lost ones.
    pub fn sent(&self) -> u64 {
        self.sent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cutting_a_link_affects_one_direction_only() {
        let mut fabric = Fabric::new(1, Link::default());
        fabric.set(0, 1, Link::cut());
        fabric.send(policy::Moment::ZERO, 0, 1, "there");
        fabric.send(policy::Moment::ZERO, 1, 0, "back");
        let arrived = fabric.arrived(policy::Moment::from_secs(1));
        assert_eq!(arrived.len(), 1);
        assert_eq!(arrived[0].message, "back");
    }
}
