//! Limits the concurrent requests for objects that are new at a backend server.
//!
//! Load pattern: caches are cold after a start or a loss, and all objects are requested. Work on
//! an object that is not in a backend server's cache takes three times as long and is always late.
//! If it takes all slots, requests for warm objects wait behind it and are late as well. The
//! symptom is that only one request in seven is in time during the first seconds, although half of
//! them ask for an object that is already warm.
//!
//! So this VM fills only part of each backend server's slots with objects that it has not sent
//! there before; it refuses others at once, and their callers retry when there is room. An object
//! counts as warm from the start of the work on it.
//!
//! A VM that has just started has sent no objects, though all may be warm. Late answers for new
//! objects show that caches are cold; when most are in time, the limit does not apply.

use std::collections;
use std::time;

use super::{policy, range};

/// Thresholds of warming.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The share of a backend server's slots that may work on objects that are new there; at least
    /// one slot.
    #[serde(rename = "part")]
    pub max_new_share: f64,
    /// The ratio of late answers for new objects up to which these count as warm.
    #[serde(rename = "late")]
    pub max_late_ratio: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_new_share: 0.67,
            max_late_ratio: 0.3,
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("warming.part", self.max_new_share, 0.0..=100.0)?;
        range::check("warming.late", self.max_late_ratio, 0.0..=1.0)
    }
}

/// The moving ratio of late answers for objects that are new to this VM, for one service.
#[derive(Clone, Copy, Debug)]
pub struct LateRatio(f64);

impl Default for LateRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl LateRatio {
    /// Records whether an answer for a new object was late.
    pub fn answered(&mut self, late: bool) {
        /// The weight of one answer: six in time show that caches are warm.
        const ANSWER_WEIGHT: f64 = 0.2;
        self.0 += (f64::from(u8::from(late)) - self.0) * ANSWER_WEIGHT;
    }

    /// Whether objects that are new to this VM count as cold.
    pub fn caches_cold(&self, cfg: &Config) -> bool {
        self.0 > cfg.max_late_ratio
    }
}

/// The objects that this VM has sent to one backend server.
#[derive(Clone, Debug, Default)]
pub struct SentObjects {
    last_sent: collections::HashMap<u64, policy::Moment>,
    /// When expired objects were last removed.
    last_sweep: policy::Moment,
    /// In-flight requests whose objects were new.
    new_in_flight: u32,
}

impl SentObjects {
    /// The maximum number of remembered objects. Backend servers cache a few dozen.
    const MAX_OBJECTS: usize = 512;

    /// How long an object is remembered after its last request.
    const RETENTION: time::Duration = time::Duration::from_secs(60);

    /// Whether a backend server with `slots` may get a request for the object `key` now.
    pub fn admits(&self, cfg: &Config, slots: f64, key: u64) -> bool {
        let max_new = (slots * cfg.max_new_share).round().max(1.0);
        self.last_sent.contains_key(&key) || f64::from(self.new_in_flight) < max_new
    }

    /// Whether the object was sent there within the retention time.
    pub fn sent_recently(&self, now: policy::Moment, key: u64) -> bool {
        self.last_sent
            .get(&key)
            .is_some_and(|at| now < *at + Self::RETENTION)
    }

    /// The number of objects remembered for this backend server.
    pub fn object_count(&self) -> usize {
        self.last_sent.len()
    }

    /// Records a sent request. Returns whether its object is new there.
    pub fn request_started(&mut self, now: policy::Moment, key: u64) -> bool {
        if now >= self.last_sweep + Self::RETENTION || self.last_sent.len() >= Self::MAX_OBJECTS {
            self.last_sent.retain(|_, at| now < *at + Self::RETENTION);
            self.last_sweep = now;
        }
        if self.last_sent.len() >= Self::MAX_OBJECTS {
            self.last_sent.clear();
        }
        let new = self.last_sent.insert(key, now).is_none();
        self.new_in_flight += u32::from(new);
        new
    }

    /// Records the end of a request whose object was new there.
    pub fn request_ended(&mut self) {
        self.new_in_flight = self.new_in_flight.saturating_sub(1);
    }
}
