//! Thresholds of the decisions about a request, and the file in which operators may change them.
//!
//! The file holds what differs from the defaults, for trials
//! and to switch a mechanism off.

use std::fs;
use std::path;

use crate::decisions::{
    affinity, ejection, entry_selection, hedge, limit, range, regions, warming,
};
use crate::error;

/// The thresholds.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Thresholds {
    /// How many entry VMs that are not busy callers are told.
    pub told: usize,
    /// Of what operators allow, the part of second sends that is used.
    pub second_sends: f64,
    /// Placement by object.
    pub placement: affinity::Config,
    /// The share that other regions serve.
    pub regions: regions::Config,
    /// Ejection of backend servers that fail.
    pub ejection: ejection::Config,
    /// The limit at a backend server.
    pub limit: limit::Config,
    /// Objects that are handled for the first time.
    pub warming: warming::Config,
    /// Second sends of a read beside the first.
    pub hedge: hedge::Config,
}

impl Default for Thresholds {
    fn default() -> Self {
        Self {
            told: entry_selection::DEFAULT_VM_COUNT,
            second_sends: 0.75,
            placement: affinity::Config::default(),
            regions: regions::Config::default(),
            ejection: ejection::Config {
                // An object stays with its backend server, so a broken one is noticed by its own
                // failures and not by its share of the load: ten answers and no more.
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
        }
    }
}

impl Thresholds {
    /// Reads a TOML file; what does not stand there keeps its default.
    pub fn read(path: &path::Path) -> Result<Self, error::Error> {
        let text = fs::read_to_string(path).map_err(|source| error::Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text).map_err(|why| error::Error::Config(format!("{}: {why}", path.display())))
    }

    /// Reads the file's text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let message = |err: toml::de::Error| err.message().to_owned();
        let given: toml::Table = toml::from_str(text).map_err(message)?;
        let mut all = toml::Table::try_from(Self::default()).map_err(|err| err.to_string())?;
        put_over(&mut all, given);
        let read: Self = all.try_into().map_err(message)?;
        read.check().map_err(|err| err.to_string())?;
        Ok(read)
    }

    fn check(&self) -> Result<(), range::Error> {
        range::check(
            "told",
            self.told as f64,
            1.0..=entry_selection::MAX_VM_COUNT as f64,
        )?;
        range::check("second_sends", self.second_sends, 0.0..=1.0)?;
        self.placement.check()?;
        self.regions.check()?;
        self.ejection.check()?;
        self.limit.check()?;
        self.warming.check()?;
        self.hedge.check()
    }
}

fn put_over(all: &mut toml::Table, given: toml::Table) {
    for (name, value) in given {
        match (all.get_mut(&name), value) {
            (Some(toml::Value::Table(known)), toml::Value::Table(given)) => put_over(known, given),
            (_, value) => drop(all.insert(name, value)),
        }
    }
}
