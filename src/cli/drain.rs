//! Schedules and cancels drains.
//!
//! Drains are settings and belong under version control: if a drain were written to the store only,
//! the next apply of the directory would silently remove it. So both commands edit one file of the
//! directory, [`DRAINS_FILE`], and an apply writes it to the store. A drain that would exceed a cap
//! or a limit is not written to the file.

use std::fs;
use std::path;
use std::time;

use super::{Context, args, directory, output, plan};
use crate::coordination::store;
use crate::{error, exit_codes, id, nearest, settings};
use store::Store;

/// File with the drains, relative to the directory.
pub const DRAINS_FILE: &str = "teams/places/drains.toml";

const FILE_HEADER: &str = "# Written by `bulrushwind drain` and `bulrushwind undrain`.\n\n";

/// Shortest default ramp; applies to a drain that moves no share of a service, such as a VM's.
const MIN_RAMP_S: u64 = 10;

/// Schedules a drain.
pub fn drain(cx: &Context, args: &args::Drain) -> Result<exit_codes::ExitCode, error::Error> {
    let now = super::now();
    let start_s = parse_start(&args.start, now)?;
    let ramp = args.ramp.map(|ramp| ramp.as_secs().max(1));
    let drain = settings::Drain {
        target: parse_target(&args.target)?,
        start_s,
        ramp_s: ramp.unwrap_or(u64::MAX / 1000),
        end_s: args.lasts.map(|lasts| start_s + lasts.as_secs()),
    };
    check_vm_known(cx, &drain.target)?;
    let (plan, drain) = plan_with_drain(cx, drain, ramp, &args.loads)?;
    cx.out.line(&describe(&drain));
    if !plan.excesses.is_empty() {
        return Err(super::refusal_error(
            "the drain was not written",
            &plan.excesses,
        ));
    }
    edit_drains(&cx.place.dir, |drains| {
        drains.retain(|other| other.target != drain.target || has_ended(other, now));
        drains.push(drain.clone());
        Ok(())
    })?;
    finish(cx, args.apply, &args.loads, &args.signing)
}

/// Cancels all drains of a target.
pub fn undrain(cx: &Context, args: &args::Undrain) -> Result<exit_codes::ExitCode, error::Error> {
    let target = parse_target(&args.target)?;
    edit_drains(&cx.place.dir, |drains| {
        let before = drains.len();
        drains.retain(|drain| drain.target != target);
        if drains.len() < before {
            return Ok(());
        }
        Err(error::Error::Config(format!(
            "{DRAINS_FILE} has no drain of {}; if another file of teams/places has it, remove it there",
            args.target
        )))
    })?;
    finish(cx, args.apply, &[], &args.signing)
}

/// Plans with the drain added to the settings. Without an explicit ramp, it gets the shortest ramp
/// that the caps allow.
fn plan_with_drain(
    cx: &Context,
    mut drain: settings::Drain,
    ramp: Option<u64>,
    loads: &[(id::ServiceId, f64)],
) -> Result<(plan::Plan, settings::Drain), error::Error> {
    let dir = directory::Directory::read(&cx.place.dir)?;
    let remote = cx.remote()?;
    let options = cx.planning(&planning_args(loads));
    let plan_for = |drain: &settings::Drain| {
        let mut dir = dir.clone();
        let places = dir.teams.entry(settings::PLACES_TEAM.into()).or_default();
        places.drains.push(drain.clone());
        plan::Plan::build(&dir, &remote, &options)
    };
    let mut plan = plan_for(&drain)?;
    if ramp.is_none() {
        let takes_ms = plan.shifts.iter().map(|shift| shift.takes_ms).max();
        drain.ramp_s = takes_ms.unwrap_or(0).div_ceil(1000).max(MIN_RAMP_S);
        plan = plan_for(&drain)?;
    }
    Ok((plan, drain))
}

fn planning_args(loads: &[(id::ServiceId, f64)]) -> args::Planning {
    args::Planning {
        team: Some(settings::PLACES_TEAM.into()),
        loads: loads.to_vec(),
    }
}

fn finish(
    cx: &Context,
    apply: bool,
    loads: &[(id::ServiceId, f64)],
    signing: &args::Signing,
) -> Result<exit_codes::ExitCode, error::Error> {
    let (plan, remote) = cx.plan(&planning_args(loads))?;
    if apply {
        return super::confirm_and_write(cx, &plan, &remote, signing);
    }
    cx.out.plan(&plan);
    cx.out.line(&format!(
        "\n{DRAINS_FILE} was changed; run `bulrushwind apply --team places` and commit it."
    ));
    Ok(exit_codes::ExitCode::Success)
}

fn describe(drain: &settings::Drain) -> String {
    let at = |s: u64| {
        let time = time::UNIX_EPOCH + time::Duration::from_secs(s);
        humantime::format_rfc3339_seconds(time).to_string()
    };
    let end = drain.end_s.map_or_else(
        || "until `undrain`".to_owned(),
        |end| format!("until {}", at(end)),
    );
    format!(
        "Drains {} from {}, empty after {}, {end}.",
        format_target(&drain.target),
        at(drain.start_s),
        output::format_duration(drain.ramp_s * 1000),
    )
}

fn format_target(target: &settings::DrainTarget) -> String {
    match target {
        settings::DrainTarget::Region(name) => format!("region/{name}"),
        settings::DrainTarget::Az(name) => format!("az/{name}"),
        settings::DrainTarget::Vm(name) => format!("vm/{name}"),
    }
}

fn parse_target(text: &str) -> Result<settings::DrainTarget, error::Error> {
    match text.split_once('/') {
        Some(("region", name)) if !name.is_empty() => {
            Ok(settings::DrainTarget::Region(name.into()))
        }
        Some(("az", name)) if !name.is_empty() => Ok(settings::DrainTarget::Az(name.into())),
        Some(("vm", name)) if !name.is_empty() => Ok(settings::DrainTarget::Vm(name.into())),
        _ => Err(error::Error::Config(format!(
            "`{text}` is not a target; give region/NAME, az/NAME or vm/NAME, such as az/ub-a"
        ))),
    }
}

/// Parses a start time, in seconds since the Unix epoch.
fn parse_start(text: &str, now: time::Duration) -> Result<u64, error::Error> {
    if text == "now" {
        return Ok(now.as_secs());
    }
    if let Some(ahead) = text.strip_prefix('+') {
        let ahead = humantime::parse_duration(ahead).ok();
        return ahead
            .map(|ahead| (now + ahead).as_secs())
            .ok_or_else(|| invalid_time(text));
    }
    if let Ok(s) = text.parse() {
        return Ok(s);
    }
    let at = humantime::parse_rfc3339_weak(text).map_err(|_| invalid_time(text))?;
    let since = at.duration_since(time::UNIX_EPOCH);
    Ok(since.map_err(|_| invalid_time(text))?.as_secs())
}

fn invalid_time(text: &str) -> error::Error {
    error::Error::Config(format!(
        "`{text}` is not a time; give now, +30m, 2026-12-24T22:00:00Z or seconds since 1970"
    ))
}

fn has_ended(drain: &settings::Drain, now: time::Duration) -> bool {
    drain.end_s.is_some_and(|end_s| end_s <= now.as_secs())
}

/// Checks a VM target against the platform's list, since settings do not list VMs.
fn check_vm_known(cx: &Context, target: &settings::DrainTarget) -> Result<(), error::Error> {
    let settings::DrainTarget::Vm(vm) = target else {
        return Ok(());
    };
    let vms = cx.store()?.vms()?;
    if vms.iter().any(|known| known.id == *vm) {
        return Ok(());
    }
    let suggestion = nearest::closest_name(vm.as_str(), vms.iter().map(|vm| vm.id.as_str()));
    let suggestion = suggestion.map_or_else(String::new, |suggestion| {
        format!(" (did you mean `{suggestion}`?)")
    });
    Err(error::Error::Config(format!(
        "the platform's list has no VM `{vm}`{suggestion}; `bulrushwind status` shows the entry VMs"
    )))
}

/// Edits the drains file. Writes to a temporary file first and renames it, so that readers see
/// either the old or the new content in full.
fn edit_drains(
    root: &path::Path,
    change: impl FnOnce(&mut Vec<settings::Drain>) -> Result<(), error::Error>,
) -> Result<(), error::Error> {
    let path = root.join(DRAINS_FILE);
    let mut team = settings::Team::default();
    if path.exists() {
        let text = fs::read_to_string(&path).map_err(|source| error::Error::Read {
            path: path.clone(),
            source,
        })?;
        team = settings::Team::parse(&path.display().to_string(), &text)?;
    }
    change(&mut team.drains)?;
    let fault = |source| error::Error::Write {
        path: path.display().to_string(),
        source,
    };
    let temp_path = path.with_extension("toml.new");
    fs::write(&temp_path, format!("{FILE_HEADER}{}", team.to_toml())).map_err(fault)?;
    fs::rename(&temp_path, &path).map_err(fault)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn start_times_are_parsed() {
        let now = time::Duration::from_secs(1000);
        assert_eq!(parse_start("now", now).unwrap(), 1000);
        assert_eq!(parse_start("+30m", now).unwrap(), 2800);
        assert_eq!(parse_start("1796162400", now).unwrap(), 1_796_162_400);
        assert_eq!(
            parse_start("2026-12-01T22:00:00Z", now).unwrap(),
            1_796_162_400
        );
        assert!(
            parse_start("tomorrow", now)
                .unwrap_err()
                .to_string()
                .contains("+30m")
        );
    }

    #[test]
    fn targets_are_parsed_by_kind() {
        assert_eq!(
            parse_target("az/ub-a").unwrap(),
            settings::DrainTarget::Az("ub-a".into())
        );
        assert!(
            parse_target("ub-a")
                .unwrap_err()
                .to_string()
                .contains("az/ub-a")
        );
    }
}
