//! Validates settings: value ranges, references to regions and availability zones, unique names.

use std::collections;

use super::{DrainTarget, Error, MAX_TEAM_BYTES, PLACES_TEAM, Service, Settings, Team};
use crate::id;

/// Checks each team's settings and the references between teams.
pub(super) fn settings(settings: &Settings) -> Result<(), Error> {
    let azs: collections::BTreeSet<_> = settings.regions().flat_map(|r| &r.azs).collect();
    let mut services = collections::BTreeMap::new();
    for (name, team) in &settings.teams {
        let origin = format!("teams/{name}");
        check_team(&origin, name, team, settings)?;
        for service in &team.services {
            if let Some(other) = services.insert(&service.name, name) {
                return Err(value_error(
                    &origin,
                    format!(
                        "service `{}` is declared by team `{other}` too",
                        service.name
                    ),
                    "give one of them another name",
                ));
            }
            check_service(&origin, service, &azs)?;
        }
    }
    Ok(())
}

fn check_team(
    origin: &str,
    name: &id::TeamId,
    team: &Team,
    settings: &Settings,
) -> Result<(), Error> {
    let places = team.regions.len() + team.links.len() + team.client_blocks.len();
    if places > 0 && name.as_str() != PLACES_TEAM {
        return Err(value_error(
            origin,
            "regions, links and client blocks are declared here".to_owned(),
            "move them to teams/places, whose team owns them",
        ));
    }
    if team.to_toml().len() > MAX_TEAM_BYTES {
        return Err(value_error(
            origin,
            format!("the team's settings are over {MAX_TEAM_BYTES} bytes"),
            "split the team's subtree in two teams",
        ));
    }
    for region in &team.regions {
        check_share(
            origin,
            &format!("region `{}`: max_load", region.name),
            region.max_load,
        )?;
        let mut matching = settings
            .regions()
            .filter(|r| r.azs.iter().any(|az| region.azs.contains(az)));
        if matching.nth(1).is_some() {
            return Err(value_error(
                origin,
                format!(
                    "an availability zone of region `{}` is listed twice",
                    region.name
                ),
                "list each availability zone in one region",
            ));
        }
    }
    for link in &team.links {
        check_region(origin, settings, &link.from)?;
        check_region(origin, settings, &link.to)?;
        if link.bytes_per_s == 0 || !(0.0..10_000.0).contains(&link.one_way_ms) {
            return Err(value_error(
                origin,
                format!(
                    "link `{}` to `{}` has no capacity or no sound delay",
                    link.from, link.to
                ),
                "give bytes_per_s above 0 and one_way_ms from 0 to 10000",
            ));
        }
    }
    for block in &team.client_blocks {
        check_region(origin, settings, &block.region)?;
    }
    for drain in &team.drains {
        check_drain_target(origin, settings, &drain.target)?;
        if drain.end_s.is_some_and(|end| end <= drain.start_s) {
            return Err(value_error(
                origin,
                "a drain ends before it starts".to_owned(),
                "give an end_s after its start_s, or none",
            ));
        }
    }
    Ok(())
}

fn check_drain_target(
    origin: &str,
    settings: &Settings,
    target: &DrainTarget,
) -> Result<(), Error> {
    match target {
        DrainTarget::Region(region) => check_region(origin, settings, region),
        DrainTarget::Az(az) if settings.region_of(az).is_none() => Err(value_error(
            origin,
            format!("a drain names the unknown availability zone `{az}`"),
            "name one that a region lists",
        )),
        DrainTarget::Az(_) | DrainTarget::Vm(_) => Ok(()),
    }
}

fn check_service(
    origin: &str,
    service: &Service,
    azs: &collections::BTreeSet<&id::AzId>,
) -> Result<(), Error> {
    let at = |what: &str| format!("service `{}`: {what}", service.name);
    if service.name.as_str().is_empty() || service.name.as_str().contains(['/', '?', ' ']) {
        return Err(value_error(
            origin,
            at("the name is not valid in a path"),
            "use letters, digits and -",
        ));
    }
    if let Some(az) = service.azs.iter().find(|az| !azs.contains(az)) {
        return Err(value_error(
            origin,
            at(&format!("unknown availability zone `{az}`")),
            "name one that a region lists",
        ));
    }
    if !(1..=10_000).contains(&service.slots) || !(1..=100_000).contains(&service.connections) {
        return Err(value_error(
            origin,
            at("slots or connections out of range"),
            "give slots from 1 to 10000 and connections from 1 to 100000",
        ));
    }
    check_share(origin, &at("shift_cap"), service.shift_cap)?;
    if !(100..=3_600_000).contains(&service.shift_step_ms) {
        return Err(value_error(
            origin,
            at("shift_step_ms out of range"),
            "give 100 to 3600000",
        ));
    }
    if service.operations.is_empty() {
        return Err(value_error(
            origin,
            at("no operation"),
            "add at least one [[service.operation]]",
        ));
    }
    for op in &service.operations {
        if !op.path.starts_with('/') || op.method.is_empty() {
            return Err(value_error(
                origin,
                at(&format!("operation `{}` has no method or no path", op.name)),
                "give a method such as GET and a path that starts with /",
            ));
        }
        if !(1..=600_000).contains(&op.patience_ms) || !(0.01..=600_000.0).contains(&op.typical_ms)
        {
            return Err(value_error(
                origin,
                at(&format!(
                    "operation `{}`: patience_ms or typical_ms out of range",
                    op.name
                )),
                "give patience_ms from 1 to 600000 and typical_ms from 0.01 to 600000",
            ));
        }
    }
    let objective = &service.objective;
    for (name, ratio) in [
        ("answered", objective.answered),
        ("in_time", objective.in_time),
    ] {
        if !(ratio > 0.0 && ratio < 1.0) {
            return Err(value_error(
                origin,
                at(&format!("objective.{name} is {ratio}")),
                "give a share above 0 and below 1, such as 0.999",
            ));
        }
    }
    Ok(())
}

fn check_region(origin: &str, settings: &Settings, region: &id::RegionId) -> Result<(), Error> {
    if settings.regions().any(|r| r.name == *region) {
        return Ok(());
    }
    Err(value_error(
        origin,
        format!("unknown region `{region}`"),
        "name one that teams/places declares",
    ))
}

fn check_share(origin: &str, name: &str, ratio: f64) -> Result<(), Error> {
    if ratio > 0.0 && ratio <= 1.0 {
        return Ok(());
    }
    Err(value_error(
        origin,
        format!("{name} is {ratio}"),
        "give a share above 0 and at most 1",
    ))
}

fn value_error(origin: &str, what: String, remedy: &str) -> Error {
    Error::Value {
        origin: origin.to_owned(),
        what,
        remedy: remedy.to_owned(),
    }
}
