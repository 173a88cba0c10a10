//! Limits the bytes per second that an entry VM sends over each link to another region.
//!
//! Load pattern: a region sends requests to another one over a link of low capacity. Shift caps and
//! grants count requests, so a few large answers saturate the link. Then the answers of every
//! service that uses the link are late, even of services that send no requests to other regions.
//!
//! Each entry VM uses only its share of a link. A link from A to B carries the requests of A and
//! the answers to requests of B, so the entry VMs of both regions share it, and each counts the
//! bytes of request and answer against both directions. The highest recent VM count determines the
//! share: counting a stopped VM wastes a part of the link, missing a running one would overload it.

use std::collections;
use std::time;

use super::policy;
use crate::id;

/// Token bucket parameters of a link share.
#[derive(Clone, Debug)]
pub struct Config {
    /// Sustained rate, as a part of the share; above 0, and at most 1 together with `burst_s`.
    pub sustained_share: f64,
    /// Bucket capacity, in seconds of the share. Together with `sustained_share` it is at most 1,
    /// so that no second exceeds the link's limit. A larger request is not sent over the link,
    /// because it would delay the requests behind it for longer.
    pub burst_s: f64,
    /// How long a VM still counts after it is no longer seen.
    pub member_retention: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            sustained_share: 0.7,
            burst_s: 0.3,
            member_retention: time::Duration::from_secs(30),
        }
    }
}

impl Config {
    /// Checks that the values are in range.
    pub fn check(&self) -> Result<(), &'static str> {
        let in_range = self.sustained_share > 0.0
            && self.burst_s > 0.0
            && self.sustained_share + self.burst_s <= 1.0;
        if in_range {
            Ok(())
        } else {
            Err(
                "sustained_share and burst_s are out of range; give both above 0 and at most 1 together",
            )
        }
    }
}

/// The maximum of a count over a sliding time window.
#[derive(Clone, Debug, Default)]
pub struct RecentMax {
    samples: collections::VecDeque<(policy::Moment, u32)>,
}

impl RecentMax {
    /// Records a count and returns the maximum within the last `member_retention`, at least 1.
    pub fn record(
        &mut self,
        now: policy::Moment,
        count: u32,
        member_retention: time::Duration,
    ) -> u32 {
        while self.samples.back().is_some_and(|(_, c)| *c < count) {
            self.samples.pop_back();
        }
        if self.samples.back().is_none_or(|(_, c)| *c > count) {
            self.samples.push_back((now, count));
        }
        // The maximum was valid until the next, smaller count was recorded.
        while self.samples.len() > 1 && self.samples[1].0 + member_retention < now {
            self.samples.pop_front();
        }
        self.samples[0].1.max(1)
    }
}

#[derive(Clone, Debug)]
struct Link {
    bytes_per_s: f64,
    members: RecentMax,
    tokens: f64,
    refilled_at: policy::Moment,
}

/// One entry VM's shares of the links from its region to others, for all services.
#[derive(Debug, Default)]
pub struct Links {
    cfg: Config,
    by_region: collections::BTreeMap<id::RegionId, Link>,
}

impl Links {
    /// Creates an empty set of links, which allows no request to another region.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            by_region: collections::BTreeMap::new(),
        }
    }

    /// Adds or updates the link to another region. `bytes_per_s` is the smaller capacity of the two
    /// directions, and `members` the number of entry VMs of both regions together.
    pub fn set(&mut self, now: policy::Moment, to: &id::RegionId, bytes_per_s: u64, members: u32) {
        let link = self.by_region.entry(to.clone()).or_insert_with(|| Link {
            bytes_per_s: 0.0,
            members: RecentMax::default(),
            tokens: 0.0,
            refilled_at: now,
        });
        let members = link.members.record(now, members, self.cfg.member_retention);
        link.refill(now, &self.cfg);
        link.bytes_per_s = bytes_per_s as f64 / f64::from(members);
        link.tokens = link.tokens.min(link.bytes_per_s * self.cfg.burst_s);
    }

    /// Removes links that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(&id::RegionId) -> bool) {
        self.by_region.retain(|to, _| declared(to));
    }

    /// Whether this VM's share of the link permits `bytes` now; false for an unknown link.
    pub fn allows(&mut self, now: policy::Moment, to: &id::RegionId, bytes: u64) -> bool {
        let Some(link) = self.by_region.get_mut(to) else {
            return false;
        };
        link.refill(now, &self.cfg);
        bytes as f64 <= link.tokens
    }

    /// Takes tokens for `bytes` sent over a link.
    pub fn take(&mut self, now: policy::Moment, to: &id::RegionId, bytes: u64) {
        if let Some(link) = self.by_region.get_mut(to) {
            link.refill(now, &self.cfg);
            link.tokens -= bytes as f64;
        }
    }
}

impl Link {
    fn refill(&mut self, now: policy::Moment, cfg: &Config) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let max_tokens = self.bytes_per_s * cfg.burst_s;
        self.tokens =
            (self.tokens + passed * self.bytes_per_s * cfg.sustained_share).min(max_tokens);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: policy::Moment = policy::Moment::from_millis(1);

    fn links(members: u32) -> Links {
        let mut links = Links::new(Config::default());
        links.set(policy::Moment::ZERO, &"b".into(), 1_000_000, members);
        links
    }

    /// Guards against a surge of large requests that saturates a link and delays the answers of all
    /// services.
    #[test]
    fn no_second_carries_more_than_the_share() {
        let mut links = links(4);
        let mut sent = Vec::new();
        for i in 0..5_000 {
            if links.allows(MS * i, &"b".into(), 10_000) {
                links.take(MS * i, &"b".into(), 10_000);
                sent.push(i);
            }
        }
        let max_count = (0..4_000)
            .map(|from| {
                sent.iter()
                    .filter(|i| (from..from + 1_000).contains(*i))
                    .count()
            })
            .max();
        assert!((18..=25).contains(&max_count.unwrap()), "{max_count:?}");
    }

    #[test]
    fn nothing_is_sent_to_a_region_without_a_link() {
        assert!(!links(1).allows(MS * 1_000, &"c".into(), 1));
    }

    /// Guards against overloading a link during a partition: the VMs that this one no longer sees
    /// still use their shares.
    #[test]
    fn a_member_that_is_not_seen_keeps_its_share() {
        let mut links = links(4);
        links.set(MS * 10_000, &"b".into(), 1_000_000, 1);
        assert!(!links.allows(MS * 20_000, &"b".into(), 100_000));
        links.set(MS * 41_000, &"b".into(), 1_000_000, 1);
        assert!(links.allows(MS * 50_000, &"b".into(), 100_000));
    }
}
