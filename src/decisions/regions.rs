//! Decides which share of a region's requests other regions serve.
//!
//! Load pattern: callers and backend servers are spread differently over regions. A region with a
//! third of the callers and a sixth of the slots is full while others are half empty. If it
//! forwarded only its current overflow, objects would move between regions all the time and never
//! be warm, and large shifts would reach cold caches. The symptom is one region that refuses while
//! another idles.
//!
//! So a steady share goes elsewhere. It starts at a value computed from the slots alone, the same
//! on every VM without messages, and follows the load slowly. Whole objects move and not single
//! requests: those whose hash is below the share. All services of a region together move at most
//! [`Config::max_step`] of its requests in each step, so that no shift exceeds the operators' cap.

use std::time;

use super::{affinity, range};

/// Thresholds of the share.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The ratio of a region's share of the slots to its share of the callers below which part of
    /// its requests goes elsewhere from the start. At a ratio of 1 the region is full in every
    /// traffic peak; with a value much above that, objects cross regions needlessly.
    #[serde(rename = "spare")]
    pub slot_surplus: f64,
    /// The load per slot above which the share grows: one request waits for each that runs. Moved
    /// objects arrive at cold caches, so a short queue must not move any.
    #[serde(rename = "high")]
    pub high_load: f64,
    /// The load per slot below which the share shrinks.
    #[serde(rename = "low")]
    pub low_load: f64,
    /// The maximum share of the region's requests that may move in one step, over all services: no
    /// more objects than the receiving backend servers can warm.
    #[serde(rename = "step")]
    pub max_step: f64,
    /// The interval between steps.
    #[serde(with = "range::seconds")]
    #[serde(rename = "every")]
    pub step_interval: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            slot_surplus: 1.1,
            high_load: 2.0,
            low_load: 0.45,
            max_step: 0.005,
            step_interval: time::Duration::from_millis(500),
        }
    }
}

impl Config {
    /// Returns an error for the first threshold that is out of range.
    pub fn check(&self) -> Result<(), range::Error> {
        range::check("regions.spare", self.slot_surplus, 0.1..=2.0)?;
        range::check("regions.high", self.high_load, 0.1..=5.0)?;
        range::check("regions.low", self.low_load, 0.0..=5.0)?;
        range::check("regions.step", self.max_step, 0.0..=1.0)
    }
}

/// Where a request may run, relative to its caller's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// In the caller's region or any other.
    Anywhere,
    /// In the caller's region only.
    Here,
    /// In other regions only.
    Elsewhere,
}

/// The inputs of one step for one service.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Slots of the usable backend servers in this region.
    pub local_slots: f64,
    /// Slots of all usable backend servers.
    pub all_slots: f64,
    /// This region's share of all callers.
    pub callers: f64,
    /// The load per slot of this region's backend servers.
    pub load: f64,
    /// This service's share of the region's requests.
    pub traffic: f64,
    /// The share of all regions' requests that must run in this region.
    pub pinned_here: f64,
    /// The share of all regions' requests that must run in one particular region.
    pub pinned: f64,
}

impl View {
    /// The share of the movable requests that goes elsewhere according to the slots alone. Requests
    /// that must run in this region take precedence for its slots, wherever their callers are.
    pub fn by_slots(&self, cfg: &Config) -> f64 {
        if self.local_slots <= 0.0 {
            return 1.0;
        }
        let room = self.local_slots / self.all_slots.max(1.0) / cfg.slot_surplus - self.pinned_here;
        let movable = self.callers.max(0.01) * (1.0 - self.pinned).max(0.01);
        (1.0 - room / movable).clamp(0.0, 1.0)
    }
}

/// The share of one service's requests that goes elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// The current share; `None` before the first step.
    current: Option<f64>,
    /// The part added because of load.
    load_adjustment: f64,
}

impl Share {
    /// The current share, from 0 to 1.
    pub fn get(&self) -> f64 {
        self.current.unwrap_or(0.0)
    }

    /// Whether requests for an object go elsewhere.
    pub fn moves(&self, key: u64) -> bool {
        /// Keeps this hash independent of the one that ranks backend servers.
        const SALT: u64 = 0x7265_6769_6f6e;
        affinity::unit_interval(affinity::mix(key, SALT)) < self.get()
    }

    /// Moves the share towards its target for `view`, by at most `allowed` of the service's
    /// requests. Returns the amount moved.
    pub fn step(&mut self, cfg: &Config, view: &View, allowed: f64) -> f64 {
        /// The maximum change per step because of load: from 0 to 1 in ten seconds.
        const LOAD_ADJUSTMENT_STEP: f64 = 0.05;
        if view.load > cfg.high_load {
            self.load_adjustment = (self.load_adjustment + LOAD_ADJUSTMENT_STEP).min(1.0);
        } else if view.load < cfg.low_load {
            self.load_adjustment = (self.load_adjustment - LOAD_ADJUSTMENT_STEP / 4.0).max(0.0);
        }
        let target = (view.by_slots(cfg) + self.load_adjustment).min(1.0);
        let Some(current) = self.current else {
            self.current = Some(target);
            return 0.0;
        };
        let change = (target - current).clamp(-allowed, allowed);
        self.current = Some(current + change);
        change.abs()
    }
}

/// Moves the shares of all services by one step. The cap covers them together: each service may
/// move up to what the preceding ones left of it, relative to its own traffic.
pub fn step(cfg: &Config, views: &[View], shares: &mut [Share]) {
    let mut remaining = cfg.max_step;
    for (view, share) in views.iter().zip(shares) {
        let traffic = view.traffic.max(0.01);
        let moved = share.step(cfg, view, remaining / traffic);
        remaining = (remaining - moved * traffic).max(0.0);
    }
}
