//! Dates drains ahead, and takes them back.
//!
//! A drain is a setting like any other and belongs into version control: written to the store
//! alone, the next apply of the directory would undo it unseen. So both commands change one file
//! of the directory, [`FILE`], and an apply carries it on. Nothing is written to the file if the
//! drain would exceed a cap or a limit.

use std::fs;
use std::path;
use std::time;

use super::{Context, args, directory, output, plan};
use crate::coordination::store;
use crate::{error, exit_codes, id, nearest, settings};
use store::Store;

/// The file that holds the drains, under the directory.
pub const FILE: &str = "teams/places/drains.toml";

const HEADER: &str = "# Written by `bulrushwind drain` and `bulrushwind undrain`.\n\n";

/// The ramp of a drain that moves no share of a service, such as a VM's, in seconds.
const SHORT_RAMP_S: u64 = 10;

/// Dates a drain.
pub fn drain(cx: &Context, args: &args::Drain) -> Result<exit_codes::ExitCode, error::Error> {
    let now = super::now();
    let start_s = start(&args.start, now)?;
    let ramp = args.ramp.map(|ramp| ramp.as_secs().max(1));
    let drain = settings::Drain {
        target: target(&args.target)?,
        start_s,
        ramp_s: ramp.unwrap_or(u64::MAX / 1000),
        end_s: args.lasts.map(|lasts| start_s + lasts.as_secs()),
    };
    known_vm(cx, &drain.target)?;
    let (plan, drain) = planned(cx, drain, ramp, &args.loads)?;
    cx.out.line(&describe(&drain));
    if !plan.excesses.is_empty() {
        return Err(super::refusal("the drain was not written", &plan.excesses));
    }
    edit(&cx.place.dir, |drains| {
        drains.retain(|other| other.target != drain.target || over(other, now));
        drains.push(drain.clone());
        Ok(())
    })?;
    finish(cx, args.apply, &args.loads, &args.signing)
}

/// Takes a target's drains back.
pub fn undrain(cx: &Context, args: &args::Undrain) -> Result<exit_codes::ExitCode, error::Error> {
    let target = target(&args.target)?;
    edit(&cx.place.dir, |drains| {
        let before = drains.len();
        drains.retain(|drain| drain.target != target);
        if drains.len() < before {
            return Ok(());
        }
        Err(error::Error::Config(format!(
            "{FILE} has no drain of {}; if another file of teams/places has it, take it out there",
            args.target
        )))
    })?;
    finish(cx, args.apply, &[], &args.signing)
}

/// Plans with the drain in the directory's settings, and gives it the ramp that the caps need
/// where the operator gave none.
fn planned(
    cx: &Context,
    mut drain: settings::Drain,
    ramp: Option<u64>,
    loads: &[(id::ServiceId, f64)],
) -> Result<(plan::Plan, settings::Drain), error::Error> {
    let dir = directory::Directory::read(&cx.place.dir)?;
    let remote = cx.remote()?;
    let options = cx.planning(&planning(loads));
    let make = |drain: &settings::Drain| {
        let mut dir = dir.clone();
        let places = dir.teams.entry(settings::PLACES_TEAM.into()).or_default();
        places.drains.push(drain.clone());
        plan::Plan::make(&dir, &remote, &options)
    };
    let mut made = make(&drain)?;
    if ramp.is_none() {
        let takes_ms = made.shifts.iter().map(|shift| shift.takes_ms).max();
        drain.ramp_s = takes_ms.unwrap_or(0).div_ceil(1000).max(SHORT_RAMP_S);
        made = make(&drain)?;
    }
    Ok((made, drain))
}

fn planning(loads: &[(id::ServiceId, f64)]) -> args::Planning {
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
    let (plan, remote) = cx.plan(&planning(loads))?;
    if apply {
        return super::write(cx, &plan, &remote, signing);
    }
    cx.out.plan(&plan);
    cx.out.line(&format!(
        "\n{FILE} was changed; run `bulrushwind apply --team places` and commit it."
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
        name(&drain.target),
        at(drain.start_s),
        output::seconds(drain.ramp_s * 1000),
    )
}

fn name(target: &settings::DrainTarget) -> String {
    match target {
        settings::DrainTarget::Region(name) => format!("region/{name}"),
        settings::DrainTarget::Az(name) => format!("az/{name}"),
        settings::DrainTarget::Vm(name) => format!("vm/{name}"),
    }
}

fn target(text: &str) -> Result<settings::DrainTarget, error::Error> {
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

/// When a drain begins, in seconds since 1970.
fn start(text: &str, now: time::Duration) -> Result<u64, error::Error> {
    if text == "now" {
        return Ok(now.as_secs());
    }
    if let Some(ahead) = text.strip_prefix('+') {
        let ahead = humantime::parse_duration(ahead).ok();
        return ahead
            .map(|ahead| (now + ahead).as_secs())
            .ok_or_else(|| bad_time(text));
    }
    if let Ok(s) = text.parse() {
        return Ok(s);
    }
    let at = humantime::parse_rfc3339_weak(text).map_err(|_| bad_time(text))?;
    let since = at.duration_since(time::UNIX_EPOCH);
    Ok(since.map_err(|_| bad_time(text))?.as_secs())
}

fn bad_time(text: &str) -> error::Error {
    error::Error::Config(format!(
        "`{text}` is not a time; give now, +30m, 2026-12-24T22:00:00Z or seconds since 1970"
    ))
}

fn over(drain: &settings::Drain, now: time::Duration) -> bool {
    drain.end_s.is_some_and(|end_s| end_s <= now.as_secs())
}

/// A VM's name is checked against the platform's list: settings do not know VMs.
fn known_vm(cx: &Context, target: &settings::DrainTarget) -> Result<(), error::Error> {
    let settings::DrainTarget::Vm(vm) = target else {
        return Ok(());
    };
    let vms = cx.store()?.vms()?;
    if vms.iter().any(|known| known.id == *vm) {
        return Ok(());
    }
    let near = nearest::closest_name(vm.as_str(), vms.iter().map(|vm| vm.id.as_str()));
    let near = near.map_or_else(String::new, |near| format!(" (did you mean `{near}`?)"));
    Err(error::Error::Config(format!(
        "the platform's list has no VM `{vm}`{near}; `bulrushwind status` shows the entry VMs"
    )))
}

/// Changes the drains' file. The new text goes to a file beside it first, so that a reader sees
/// either all of the old or all of the new.
fn edit(
    root: &path::Path,
    change: impl FnOnce(&mut Vec<settings::Drain>) -> Result<(), error::Error>,
) -> Result<(), error::Error> {
    let path = root.join(FILE);
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
    let beside = path.with_extension("toml.new");
    fs::write(&beside, format!("{HEADER}{}", team.to_toml())).map_err(fault)?;
    fs::rename(&beside, &path).map_err(fault)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_read_as_operators_write_them() {
        let now = time::Duration::from_secs(1000);
        assert_eq!(start("now", now).unwrap(), 1000);
        assert_eq!(start("+30m", now).unwrap(), 2800);
        assert_eq!(start("1796162400", now).unwrap(), 1_796_162_400);
        assert_eq!(start("2026-12-01T22:00:00Z", now).unwrap(), 1_796_162_400);
        assert!(
            start("tomorrow", now)
                .unwrap_err()
                .to_string()
                .contains("+30m")
        );
    }

    #[test]
    fn a_target_names_its_kind() {
        assert_eq!(
            target("az/ub-a").unwrap(),
            settings::DrainTarget::Az("ub-a".into())
        );
        assert!(target("ub-a").unwrap_err().to_string().contains("az/ub-a"));
    }
}
