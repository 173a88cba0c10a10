//! Thresholds of request decisions, and the file in which operators may change them.
//!
//! The file holds only values that differ from the defaults, for trials and to disable a mechanism.

use std::fs;
use std::path;

use crate::decisions::{
    affinity, descriptors, ejection, entry_selection, hedge, limit, memory, pace, range, regions,
    returns, shares, waiting, warming,
};
use crate::error;

/// The thresholds.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Thresholds {
    /// Number of non-busy entry VMs advertised to callers.
    #[serde(rename = "told")]
    pub advertised_vms: usize,
    /// The part of the operators' additional resends that is used, from 0 to 1; with 0, nothing is
    /// sent a second time.
    #[serde(rename = "second_sends")]
    pub resend_budget_share: f64,
    /// Placement of requests by object.
    pub placement: affinity::Config,
    /// Shift of requests to other regions.
    pub regions: regions::Config,
    /// Ejection of failing backend servers.
    pub ejection: ejection::Config,
    /// Limit on requests in flight per backend server.
    pub limit: limit::Config,
    /// Objects that are new to a backend server.
    pub warming: warming::Config,
    /// Hedging of reads.
    pub hedge: hedge::Config,
    /// Requests that wait on this VM for room.
    pub queue: waiting::Config,
    /// Room divided by customers.
    pub shares: shares::Config,
    /// Return times of refused callers.
    pub returns: returns::Config,
    /// Placement by the time that work takes now.
    pub pace: pace::Config,
    /// File descriptors for callers.
    pub descriptors: descriptors::Config,
    /// Memory for callers.
    pub memory: memory::Config,
}

impl Default for Thresholds {
    fn default() -> Self {
        Self {
            advertised_vms: entry_selection::DEFAULT_VM_COUNT,
            resend_budget_share: 0.75,
            placement: affinity::Config::default(),
            regions: regions::Config::default(),
            ejection: ejection::Config {
                // Requests for an object stay with its backend server, so its own failures and not
                // its share of the load show that it is broken. Ten answers suffice.
                consecutive_failures: 3,
                consecutive_breaks: 1,
                max_failure_ratio: 0.4,
                window_answers: 10.0,
                trial_answers: 3,
                ..ejection::Config::default()
            },
            limit: limit::Config::default(),
            warming: warming::Config::default(),
            hedge: hedge::Config::default(),
            queue: waiting::Config::default(),
            shares: shares::Config::default(),
            returns: returns::Config::default(),
            pace: pace::Config::default(),
            descriptors: descriptors::Config::default(),
            memory: memory::Config::default(),
        }
    }
}

impl Thresholds {
    /// Reads a TOML file; unnamed thresholds keep their defaults. Fails if the file cannot be read,
    /// names an unknown threshold or has a value out of range.
    pub fn read(path: &path::Path) -> Result<Self, error::Error> {
        let text = fs::read_to_string(path).map_err(|source| error::Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text).map_err(|why| error::Error::Config(format!("{}: {why}", path.display())))
    }

    /// Parses the file's text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let message = |err: toml::de::Error| err.message().to_owned();
        let given: toml::Table = toml::from_str(text).map_err(message)?;
        let mut all = toml::Table::try_from(Self::default()).map_err(|err| err.to_string())?;
        merge_into(&mut all, given);
        let read: Self = all.try_into().map_err(message)?;
        read.check().map_err(|err| err.to_string())?;
        Ok(read)
    }

    fn check(&self) -> Result<(), range::Error> {
        range::check(
            "told",
            self.advertised_vms as f64,
            1.0..=entry_selection::MAX_VM_COUNT as f64,
        )?;
        range::check("second_sends", self.resend_budget_share, 0.0..=1.0)?;
        self.placement.check()?;
        self.regions.check()?;
        self.ejection.check()?;
        self.limit.check()?;
        self.warming.check()?;
        self.hedge.check()?;
        self.queue.check()?;
        self.shares.check()?;
        self.returns.check()?;
        self.pace.check()?;
        self.descriptors.check()?;
        self.memory.check()
    }
}

fn merge_into(all: &mut toml::Table, given: toml::Table) {
    for (name, value) in given {
        match (all.get_mut(&name), value) {
            (Some(toml::Value::Table(known)), toml::Value::Table(given)) => {
                merge_into(known, given)
            }
            (_, value) => drop(all.insert(name, value)),
        }
    }
}
