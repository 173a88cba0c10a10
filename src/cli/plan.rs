//! What an apply would do, worked out before anything is written.
//!
//! A plan names for each team the revision of the store that it was worked out from. An apply
//! writes only where that revision still stands, so that two operators cannot undo each other's
//! change without seeing it.

use std::collections;

use super::{difference, directory, remote, shift};
use crate::coordination::store;
use crate::{error, id, settings};

data! {
    /// The change of one team.
    pub struct Change {
        /// The team.
        pub team: id::TeamId,
        /// The revision that the change was planned on; 0 if the team is new.
        pub base: store::Revision,
        /// The version in force when it was planned.
        pub base_version: u64,
        /// What it does.
        pub differences: Vec<difference::Difference>,
        /// Why the team is written although nothing differs.
        pub rewrite: Option<String>,
        /// The settings that it writes.
        pub text: String,
    }

    /// What an apply would do.
    #[derive(Default)]
    pub struct Plan {
        /// The changes, in the order in which they are to be written.
        pub changes: Vec<Change>,
        /// Teams of the directory that stay as they are.
        pub unchanged: Vec<id::TeamId>,
        /// The traffic that the changes move.
        pub shifts: Vec<shift::Shift>,
        /// What the changes would exceed. An apply refuses while there is any.
        pub excesses: Vec<shift::Excess>,
        /// Services and places that go away.
        pub removals: Vec<String>,
    }
}

/// What a plan depends on beside the directory and the store.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Only this team.
    pub team: Option<id::TeamId>,
    /// The time, in seconds since 1970.
    pub now_s: u64,
    /// Loads of services, where they are known.
    pub loads: shift::Loads,
}

impl Plan {
    /// Works out what turns the store's settings into the directory's.
    pub fn make(
        dir: &directory::Directory,
        remote: &remote::Remote,
        options: &Options,
    ) -> Result<Self, error::Error> {
        let from = remote.settings();
        let mut to = from.clone();
        let mut plan = Self::default();
        for (name, team) in chosen(dir, options)? {
            to.teams.insert(name.clone(), team.clone());
            match change(name, team, remote.held.get(name)) {
                Some(change) => plan.changes.push(change),
                None => plan.unchanged.push(name.clone()),
            }
        }
        dir.check(&to)?;
        plan.changes = in_order(plan.changes, &from)?;
        plan.removals = removals(&plan.changes);
        (plan.shifts, plan.excesses) = shift::of_change(&from, &to, options.now_s, &options.loads);
        Ok(plan)
    }
}

fn chosen<'a>(
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

fn change(name: &id::TeamId, team: &settings::Team, held: Option<&remote::Held>) -> Option<Change> {
    let none = settings::Team::default();
    let before = held.and_then(|held| held.team.as_ref()).unwrap_or(&none);
    let differences = difference::teams(before, team);
    let rewrite = held.and_then(|held| held.fault.clone());
    if differences.is_empty() && rewrite.is_none() && held.is_some() {
        return None;
    }
    Some(Change {
        team: name.clone(),
        base: held.map_or(store::Revision(0), |held| held.revision),
        base_version: held.map_or(0, |held| held.version),
        differences,
        rewrite,
        text: team.to_toml(),
    })
}

/// Orders changes so that the settings are sound after each write. Entry processes check the
/// whole, and between two writes they see the first only.
fn in_order(mut rest: Vec<Change>, from: &settings::Settings) -> Result<Vec<Change>, error::Error> {
    let mut now = from.clone();
    let mut ordered = Vec::new();
    while !rest.is_empty() {
        let next = rest.iter().position(|change| {
            let mut after = now.clone();
            after.teams.insert(change.team.clone(), parsed(change));
            after.check().is_ok()
        });
        let Some(next) = next else {
            let teams = rest.iter().map(|change| format!("`{}`", change.team));
            return Err(error::Error::InterdependentTeams {
                teams: teams.collect::<Vec<_>>().join(" and "),
            });
        };
        let change = rest.remove(next);
        now.teams.insert(change.team.clone(), parsed(&change));
        ordered.push(change);
    }
    Ok(ordered)
}

fn parsed(change: &Change) -> settings::Team {
    settings::Team::parse("the plan", &change.text).expect("a printed part parses back")
}

fn removals(changes: &[Change]) -> Vec<String> {
    let whole = |at: &str| {
        let item = at.split_once(' ').map(|(kind, _)| kind);
        matches!(item, Some("service" | "region" | "link")) && !at.contains(": ")
    };
    let differences = changes.iter().flat_map(|change| &change.differences);
    let gone = differences.filter_map(|difference| match difference {
        difference::Difference::Remove { at, .. } if whole(at) => Some(at.clone()),
        _ => None,
    });
    gone.collect::<collections::BTreeSet<_>>()
        .into_iter()
        .collect()
}
