//! Computes what an apply would write, before anything is written.
//!
//! For each team, a plan records the store revision that it is based on. An apply writes only if
//! the store still has that revision, so that operators cannot unknowingly overwrite each other.

use std::collections;

use super::{difference, directory, remote, shift};
use crate::coordination::store;
use crate::{error, id, settings};

data! {
    /// Change of one team's settings.
    pub struct Change {
        /// The team.
        pub team: id::TeamId,
        /// The store revision that the change is based on; 0 if the team is new.
        pub base: store::Revision,
        /// The version in force at planning time.
        pub base_version: u64,
        /// Differences from the settings in the store.
        pub differences: Vec<difference::Difference>,
        /// Why the stored settings are rejected; the team is then written even without differences.
        pub rewrite: Option<String>,
        /// The settings to write, as TOML.
        pub text: String,
    }

    /// Changes that an apply would write, and their effects.
    #[derive(Default)]
    pub struct Plan {
        /// Changes, in the order of writing.
        pub changes: Vec<Change>,
        /// Teams of the directory without changes.
        pub unchanged: Vec<id::TeamId>,
        /// Traffic that the changes move.
        pub shifts: Vec<shift::Shift>,
        /// Limits that the changes would exceed. An apply is refused if there are any.
        pub excesses: Vec<shift::Excess>,
        /// Services, regions and links that the changes remove.
        pub removals: Vec<String>,
    }
}

/// Options of a plan.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Limits the plan to this team.
    pub team: Option<id::TeamId>,
    /// Current time, in seconds since the Unix epoch.
    pub now_s: u64,
    /// Known loads by service.
    pub loads: shift::Loads,
}

impl Plan {
    /// Computes the changes from the store's settings to the directory's.
    pub fn build(
        dir: &directory::Directory,
        remote: &remote::Remote,
        options: &Options,
    ) -> Result<Self, error::Error> {
        let from = remote.settings();
        let mut to = from.clone();
        let mut plan = Self::default();
        for (name, team) in selected_teams(dir, options)? {
            to.teams.insert(name.clone(), team.clone());
            match change(name, team, remote.stored.get(name)) {
                Some(change) => plan.changes.push(change),
                None => plan.unchanged.push(name.clone()),
            }
        }
        dir.check(&to)?;
        plan.changes = order_for_writing(plan.changes, &from)?;
        plan.removals = removals(&plan.changes);
        (plan.shifts, plan.excesses) =
            shift::shifts_between(&from, &to, options.now_s, &options.loads);
        Ok(plan)
    }
}

fn selected_teams<'a>(
    dir: &'a directory::Directory,
    options: &Options,
) -> Result<Vec<(&'a id::TeamId, &'a settings::Team)>, error::Error> {
    let Some(team) = &options.team else {
        return Ok(dir.teams.iter().collect());
    };
    let found = dir.teams.get_key_value(team);
    found.map(|found| vec![found]).ok_or_else(|| {
        let known = dir.teams.keys().map(ToString::to_string);
        let known = known.collect::<Vec<_>>().join(", ");
        error::Error::Config(format!(
            "the directory has no team `{team}`; choose one of {known}"
        ))
    })
}

fn change(
    name: &id::TeamId,
    team: &settings::Team,
    stored: Option<&remote::StoredTeam>,
) -> Option<Change> {
    let empty = settings::Team::default();
    let before = stored
        .and_then(|stored| stored.team.as_ref())
        .unwrap_or(&empty);
    let differences = difference::between(before, team);
    let rewrite = stored.and_then(|stored| stored.fault.clone());
    if differences.is_empty() && rewrite.is_none() && stored.is_some() {
        return None;
    }
    Some(Change {
        team: name.clone(),
        base: stored.map_or(store::Revision(0), |stored| stored.revision),
        base_version: stored.map_or(0, |stored| stored.version),
        differences,
        rewrite,
        text: team.to_toml(),
    })
}

/// Orders changes so that the settings are valid after each write: entry VMs validate all teams
/// together, and between two writes they see only the first.
fn order_for_writing(
    mut remaining: Vec<Change>,
    from: &settings::Settings,
) -> Result<Vec<Change>, error::Error> {
    let mut current = from.clone();
    let mut ordered = Vec::new();
    while !remaining.is_empty() {
        let next = remaining.iter().position(|change| {
            let mut after = current.clone();
            after
                .teams
                .insert(change.team.clone(), parse_change(change));
            after.check().is_ok()
        });
        let Some(next) = next else {
            let teams = remaining.iter().map(|change| format!("`{}`", change.team));
            return Err(error::Error::InterdependentTeams {
                teams: teams.collect::<Vec<_>>().join(" and "),
            });
        };
        let change = remaining.remove(next);
        current
            .teams
            .insert(change.team.clone(), parse_change(&change));
        ordered.push(change);
    }
    Ok(ordered)
}

fn parse_change(change: &Change) -> settings::Team {
    settings::Team::parse("the plan", &change.text).expect("printed settings parse back")
}

fn removals(changes: &[Change]) -> Vec<String> {
    let is_whole_item = |at: &str| {
        let item = at.split_once(' ').map(|(kind, _)| kind);
        matches!(item, Some("service" | "region" | "link")) && !at.contains(": ")
    };
    let differences = changes.iter().flat_map(|change| &change.differences);
    let removed = differences.filter_map(|difference| match difference {
        difference::Difference::Remove { at, .. } if is_whole_item(at) => Some(at.clone()),
        _ => None,
    });
    removed
        .collect::<collections::BTreeSet<_>>()
        .into_iter()
        .collect()
}
