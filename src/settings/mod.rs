//! Operators' settings: their types, parsing and validation.
//!
//! Settings are TOML files under `teams/<team>/`. All files of a team are read as one [`Team`]; all
//! teams together form the [`Settings`] in force. Regions, links and client blocks belong to the
//! team [`PLACES_TEAM`]; a service belongs to the team that declares it.

mod check;
pub mod envelope;
pub mod keys;
mod places;
mod service;

use std::collections;
use std::fs;
use std::path;

use crate::{id, nearest};

pub use places::{ClientBlock, Drain, DrainTarget, Link, Prefer, Region};
pub use service::{Objective, Operation, Service};

/// The only team that may declare regions, links and client blocks.
pub const PLACES_TEAM: &str = "places";

/// Largest TOML text of one team. Leaves room for the envelope in a store value of 1 MiB.
pub const MAX_TEAM_BYTES: usize = 900_000;

/// Why settings cannot be read or are invalid.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not valid TOML or contains an unknown key.
    #[error("{origin}: {reason}")]
    Parse {
        /// The file, or the team where there is no file.
        origin: String,
        /// The parser's message, with the line.
        reason: String,
    },
    /// A value is not allowed.
    #[error("{origin}: {what}; {remedy}")]
    Value {
        /// The file, or the team where there is no file.
        origin: String,
        /// The invalid value.
        what: String,
        /// How to correct it.
        remedy: String,
    },
    /// A file could not be read.
    #[error("cannot read {path}: {reason}; check that it exists and that this user may read it")]
    Read {
        /// The file or directory.
        path: String,
        /// The operating system's error.
        reason: String,
    },
}

data! {
    /// One team's settings.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Team {
        /// Regions, with their availability zones and limits.
        #[serde(default, rename = "region")]
        pub regions: Vec<places::Region>,
        /// Links between regions.
        #[serde(default, rename = "link")]
        pub links: Vec<places::Link>,
        /// Address blocks of callers, and the region nearest to each.
        #[serde(default, rename = "client_block")]
        pub client_blocks: Vec<places::ClientBlock>,
        /// Scheduled drains.
        #[serde(default, rename = "drain")]
        pub drains: Vec<places::Drain>,
        /// Services.
        #[serde(default, rename = "service")]
        pub services: Vec<service::Service>,
        /// Which goal takes precedence when latency and headroom conflict.
        #[serde(default)]
        pub prefer: Option<places::Prefer>,
    }

    /// All teams' settings.
    #[derive(Default)]
    pub struct Settings {
        /// Settings by team.
        pub teams: collections::BTreeMap<id::TeamId, Team>,
    }
}

impl Team {
    /// Parses a team's settings from TOML. Errors name `origin`, the file or the team.
    pub fn parse(origin: &str, text: &str) -> Result<Self, Error> {
        toml::from_str(text).map_err(|err| {
            let mut reason = err.to_string().trim_end().replace('\n', "\n  ");
            if let Some(hint) = nearest::hint(err.message()) {
                reason.push_str(&format!("\n  {hint}"));
            }
            let origin = origin.to_owned();
            Error::Parse { origin, reason }
        })
    }

    /// Reads all `*.toml` files in a team's directory, in alphabetical order.
    pub fn read(dir: &path::Path) -> Result<Self, Error> {
        let mut team = Self::default();
        for path in toml_files(dir)? {
            let text = fs::read_to_string(&path).map_err(|err| read_error(&path, &err))?;
            team.merge(Self::parse(&path.display().to_string(), &text)?);
        }
        Ok(team)
    }

    /// Formats the settings as TOML, so that parsing the text yields the same settings.
    pub fn to_toml(&self) -> String {
        toml::to_string_pretty(self).expect("a team's settings have only values that TOML can hold")
    }

    fn merge(&mut self, other: Self) {
        self.regions.extend(other.regions);
        self.links.extend(other.links);
        self.client_blocks.extend(other.client_blocks);
        self.drains.extend(other.drains);
        self.services.extend(other.services);
        self.prefer = other.prefer.or(self.prefer);
    }
}

impl Settings {
    /// Reads all teams under `root/teams` and validates them together.
    pub fn read(root: &path::Path) -> Result<Self, Error> {
        let teams_dir = root.join("teams");
        let entries = fs::read_dir(&teams_dir).map_err(|err| read_error(&teams_dir, &err))?;
        let mut settings = Self::default();
        for entry in entries {
            let path = entry.map_err(|err| read_error(&teams_dir, &err))?.path();
            if !path.is_dir() {
                continue;
            }
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            let team = Team::read(&path)?;
            settings.teams.insert(name.as_ref().into(), team);
        }
        settings.check()?;
        Ok(settings)
    }

    /// Validates each team's settings and the references between teams.
    pub fn check(&self) -> Result<(), Error> {
        check::settings(self)
    }

    /// All regions.
    pub fn regions(&self) -> impl Iterator<Item = &places::Region> {
        self.teams.values().flat_map(|team| &team.regions)
    }

    /// The region that contains an availability zone.
    pub fn region_of(&self, az: &id::AzId) -> Option<&places::Region> {
        self.regions().find(|region| region.azs.contains(az))
    }

    /// All links between regions.
    pub fn links(&self) -> impl Iterator<Item = &places::Link> {
        self.teams.values().flat_map(|team| &team.links)
    }

    /// All client blocks.
    pub fn client_blocks(&self) -> impl Iterator<Item = &places::ClientBlock> {
        self.teams.values().flat_map(|team| &team.client_blocks)
    }

    /// All drains: past, current and future.
    pub fn drains(&self) -> impl Iterator<Item = &places::Drain> {
        self.teams.values().flat_map(|team| &team.drains)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &service::Service> {
        self.teams.values().flat_map(|team| &team.services)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&service::Service> {
        self.services()
            .find(|service| service.name.as_str() == name)
    }

    /// Which goal takes precedence when latency and headroom conflict.
    pub fn prefer(&self) -> places::Prefer {
        self.teams
            .values()
            .find_map(|team| team.prefer)
            .unwrap_or_default()
    }
}

fn toml_files(dir: &path::Path) -> Result<Vec<path::PathBuf>, Error> {
    let entries = fs::read_dir(dir).map_err(|err| read_error(dir, &err))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.map_err(|err| read_error(dir, &err))?.path();
        if path.extension().is_some_and(|ext| ext == "toml") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn read_error(path: &path::Path, err: &std::io::Error) -> Error {
    Error::Read {
        path: path.display().to_string(),
        reason: err.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn example_settings_are_valid() {
        for deployment in ["cooperative", "claims"] {
            let root = path::Path::new("examples").join(deployment);
            let settings = Settings::read(&root).unwrap();
            assert_eq!(settings.regions().count(), 3, "{deployment}");
            assert_eq!(settings.services().count(), 3, "{deployment}");
        }
    }

    #[test]
    fn printed_settings_parse_back() {
        let team = Team::read(path::Path::new("examples/cooperative/teams/places")).unwrap();
        assert_eq!(Team::parse("printed", &team.to_toml()).unwrap(), team);
    }

    #[test]
    fn an_unknown_key_is_refused_with_its_line() {
        let err = Team::parse("x.toml", "[[service]]\nname = \"a\"\nslotz = 3\n").unwrap_err();
        let text = err.to_string();
        assert!(text.contains("line 3") && text.contains("slotz"), "{text}");
        assert!(text.ends_with("did you mean `slots`?"), "{text}");
    }
}
