//! Isolates and bans requests that crash backend servers.
//!
//! Load pattern: a request crashes each backend server that runs it, and its caller retries it.
//! Without quarantine, retries carry it from one backend server to the next until none is left. The
//! symptom is crashes that each follow a certain request by milliseconds.
//!
//! Any request in flight at a crash may have caused it, so the fingerprint of each becomes a suspect.
//! A suspect is tried alone: on a backend server with no other request of this VM in flight, and only
//! while another backend server is up. An answer clears it. A second crash bans it for
//! [`Config::ban`] on this VM and on the VMs that receive the [`Ban`]. One crash is not enough,
//! because it makes some innocent requests suspects too.

use std::collections;
use std::time;

use super::{policy, range};

/// Thresholds of quarantine.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long a fingerprint stays a suspect without another crash.
    pub suspect: time::Duration,
    /// How long a fingerprint is banned: longer than callers retry, but short enough that a repaired
    /// service is not held back for long.
    pub ban: time::Duration,
    /// Maximum number of fingerprints kept. The oldest suspects are removed first.
    pub max_records: usize,
    /// Maximum number of suspects that wait for a trial.
    pub max_waiting: usize,
    /// Broken connections to one backend server within this time count as one crash.
    pub crash_window: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            suspect: time::Duration::from_secs(60),
            ban: time::Duration::from_secs(120),
            max_records: 10_000,
            max_waiting: 32,
            crash_window: time::Duration::from_millis(200),
        }
    }
}

impl Config {
    /// Checks the ranges.
    pub fn check(&self) -> Result<(), range::Error> {
        let suspect = self.suspect.as_secs_f64();
        range::check("quarantine.suspect", suspect, 1.0..=3_600.0)?;
        range::check("quarantine.ban", self.ban.as_secs_f64(), 1.0..=86_400.0)?;
        range::check("quarantine.most", self.max_records as f64, 16.0..=1e6)?;
        range::check(
            "quarantine.waiting",
            self.max_waiting as f64,
            0.0..=10_000.0,
        )?;
        let crash_window = self.crash_window.as_secs_f64();
        range::check("quarantine.one_crash", crash_window, 0.01..=10.0)
    }
}

data! {
    /// A ban, as sent to other VMs.
    #[derive(Copy, Eq)]
    pub struct Ban {
        /// The banned fingerprint.
        pub fingerprint: policy::Fingerprint,
        /// Remaining time of the ban. A duration, because VMs share no clock.
        pub left: time::Duration,
    }
}

/// State of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Neither suspect nor banned.
    Clear,
    /// In flight at one crash.
    Suspect,
    /// In flight at two crashes.
    Banned {
        /// Remaining time of the ban.
        left: time::Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    until: policy::Moment,
}

/// The fingerprints that are suspects or banned.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: collections::HashMap<policy::Fingerprint, Record>,
    new_bans: Vec<policy::Fingerprint>,
}

impl Quarantine {
    /// State of a fingerprint at `now`.
    pub fn state(&self, now: policy::Moment, fingerprint: policy::Fingerprint) -> State {
        match self.records.get(&fingerprint) {
            Some(record) if record.until <= now => State::Clear,
            Some(record) if record.crashes >= 2 => State::Banned {
                left: record.until - now,
            },
            Some(_) => State::Suspect,
            None => State::Clear,
        }
    }

    /// Records that a backend server crashed with this request in flight.
    pub fn record_crash(
        &mut self,
        cfg: &Config,
        now: policy::Moment,
        fingerprint: policy::Fingerprint,
    ) {
        if self.records.len() >= cfg.max_records {
            self.evict_oldest(now);
        }
        let record = self.records.entry(fingerprint).or_insert(Record {
            crashes: 0,
            until: now,
        });
        if record.until <= now {
            record.crashes = 0;
        }
        record.crashes += 1;
        let banned = record.crashes >= 2;
        record.until = now + if banned { cfg.ban } else { cfg.suspect };
        if record.crashes == 2 {
            self.new_bans.push(fingerprint);
        }
    }

    /// Clears a suspect that was answered: another request caused the crash.
    pub fn record_answer(&mut self, fingerprint: policy::Fingerprint) {
        if self.records.is_empty() {
            return;
        }
        if self
            .records
            .get(&fingerprint)
            .is_some_and(|r| r.crashes < 2)
        {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns the bans that originated here since the last call, to be sent to other VMs.
    pub fn take_new_bans(&mut self, now: policy::Moment) -> Vec<Ban> {
        let new_bans = std::mem::take(&mut self.new_bans);
        let ban = |fingerprint| match self.state(now, fingerprint) {
            State::Banned { left } => Some(Ban { fingerprint, left }),
            _ => None,
        };
        new_bans.into_iter().filter_map(ban).collect()
    }

    /// Applies a ban from another VM. It is not forwarded.
    pub fn apply_ban(&mut self, cfg: &Config, now: policy::Moment, ban: Ban) {
        if self.records.len() >= cfg.max_records {
            self.evict_oldest(now);
        }
        let until = now + ban.left.min(cfg.ban);
        let record = self
            .records
            .entry(ban.fingerprint)
            .or_insert(Record { crashes: 2, until });
        record.crashes = record.crashes.max(2);
        record.until = record.until.max(until);
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: policy::Moment) {
        self.records.retain(|_, record| record.until > now);
    }

    fn evict_oldest(&mut self, now: policy::Moment) {
        self.tick(now);
        let oldest = self
            .records
            .iter()
            .min_by_key(|(fingerprint, r)| (r.crashes >= 2, r.until, **fingerprint));
        if let Some((&fingerprint, _)) = oldest {
            self.records.remove(&fingerprint);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CRASHING: policy::Fingerprint = policy::Fingerprint(1);
    const INNOCENT: policy::Fingerprint = policy::Fingerprint(2);

    fn at(secs: u64) -> policy::Moment {
        policy::Moment::from_secs(secs)
    }

    /// A request crashes a backend server while an innocent one is in flight. Tried alone, the
    /// innocent one is answered; the other crashes a second backend server and is banned.
    #[test]
    fn two_crashes_ban_and_an_answer_clears() {
        let (mut quarantine, cfg) = (Quarantine::default(), Config::default());
        quarantine.record_crash(&cfg, at(1), CRASHING);
        quarantine.record_crash(&cfg, at(1), INNOCENT);
        assert_eq!(quarantine.state(at(2), INNOCENT), State::Suspect);
        quarantine.record_answer(INNOCENT);
        quarantine.record_crash(&cfg, at(3), CRASHING);
        assert_eq!(quarantine.state(at(3), INNOCENT), State::Clear);
        let banned = State::Banned { left: cfg.ban };
        assert_eq!(quarantine.state(at(3), CRASHING), banned);
        assert_eq!(quarantine.state(at(3) + cfg.ban, CRASHING), State::Clear);
    }

    #[test]
    fn a_ban_is_exported_once_and_not_forwarded() {
        let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
        let cfg = Config::default();
        here.record_crash(&cfg, at(1), CRASHING);
        here.record_crash(&cfg, at(2), CRASHING);
        let exported = here.take_new_bans(at(2));
        assert_eq!((exported.len(), here.take_new_bans(at(2)).len()), (1, 0));
        there.apply_ban(&cfg, at(900), exported[0]);
        assert!(matches!(
            there.state(at(900), CRASHING),
            State::Banned { .. }
        ));
        assert!(there.take_new_bans(at(900)).is_empty());
    }

    #[test]
    fn records_are_bounded_and_bans_are_kept() {
        let cfg = Config {
            max_records: 16,
            ..Config::default()
        };
        let mut quarantine = Quarantine::default();
        quarantine.record_crash(&cfg, at(1), CRASHING);
        quarantine.record_crash(&cfg, at(1), CRASHING);
        (10..200).for_each(|i| quarantine.record_crash(&cfg, at(2), policy::Fingerprint(i)));
        assert_eq!(quarantine.records.len(), 16);
        assert!(matches!(
            quarantine.state(at(2), CRASHING),
            State::Banned { .. }
        ));
    }
}
