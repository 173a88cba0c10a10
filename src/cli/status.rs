//! Shows the settings in the store, and the state and settings versions of every entry VM, so that
//! operators can see whether an apply took effect everywhere.

use std::collections;
use std::net;
use std::thread;
use std::time;

use super::{Context, args, entries, output, remote};
use crate::protocol::operators;
use crate::{error, exit_codes, id};

/// Polling interval of `--wait`.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

data! {
    /// Status of a deployment.
    pub struct Report {
        /// Teams in the store.
        pub teams: Vec<Team>,
        /// Status of the entry VMs that answered.
        pub entries: Vec<operators::Status>,
        /// Errors of the entry VMs that did not answer.
        pub silent: Vec<String>,
        /// Errors of settings and key rings in the store that entry VMs reject.
        pub faults: Vec<String>,
    }

    /// A team in the store.
    #[derive(Eq)]
    pub struct Team {
        /// The team.
        pub team: id::TeamId,
        /// The version in the store.
        pub version: u64,
        /// The store revision.
        pub revision: u64,
        /// Id of the change that wrote it.
        pub change: String,
        /// Holder of the signing key.
        pub holder: String,
        /// Number of answering entry VMs that hold this version or a newer one.
        pub held_by: usize,
        /// Answering entry VMs that hold an older version or none.
        pub behind: Vec<String>,
    }
}

/// Shows the status. Fails while a VM does not answer or is behind, or stored settings are
/// rejected.
pub fn run(cx: &Context, args: &args::Status) -> Result<exit_codes::ExitCode, error::Error> {
    let addrs = entries::addresses(cx)?;
    let deadline = time::Instant::now() + args.wait.unwrap_or_default();
    let report = loop {
        let report = report(&cx.remote()?, &addrs);
        if is_up_to_date(&report) || time::Instant::now() >= deadline {
            break report;
        }
        thread::sleep(POLL_INTERVAL);
    };
    cx.out.json(&report);
    print(cx, &report);
    if is_up_to_date(&report) {
        return Ok(exit_codes::ExitCode::Success);
    }
    Ok(exit_codes::ExitCode::Failure)
}

fn is_up_to_date(report: &Report) -> bool {
    let current = report.teams.iter().all(|team| team.behind.is_empty());
    current && report.silent.is_empty() && report.faults.is_empty()
}

fn report(remote: &remote::Remote, addrs: &[net::SocketAddr]) -> Report {
    let (mut answered, mut silent) = (Vec::new(), Vec::new());
    for answer in entries::statuses(addrs) {
        match answer.result {
            Ok(status) => answered.push(status),
            Err(err) => silent.push(err.to_string()),
        }
    }
    let mut faults = remote.ring_faults.clone();
    let mut teams = Vec::new();
    for (name, stored) in &remote.stored {
        faults.extend(stored.fault.clone());
        let Some(envelope) = &stored.envelope else {
            continue;
        };
        let is_current = |status: &&operators::Status| {
            status
                .settings
                .get(name)
                .is_some_and(|version| *version >= stored.version)
        };
        let behind = answered.iter().filter(|status| !is_current(status));
        let behind: Vec<String> = behind.map(|status| status.vm.clone()).collect();
        teams.push(Team {
            team: name.clone(),
            version: envelope.version,
            revision: stored.revision.0,
            change: envelope.change.to_string(),
            holder: remote.holder(name, &envelope.key),
            held_by: answered.len() - behind.len(),
            behind,
        });
    }
    Report {
        teams,
        entries: answered,
        silent,
        faults,
    }
}

fn print(cx: &Context, report: &Report) {
    let teams: Vec<_> = report
        .teams
        .iter()
        .map(|team| team_row(team, report))
        .collect();
    cx.out.table(
        &["team", "version", "signed by", "change", "in force on"],
        &teams,
    );
    cx.out.line("");
    let rows: Vec<_> = report.entries.iter().map(entry_row).collect();
    cx.out.table(
        &[
            "entry VM",
            "az",
            "ready",
            "up",
            "store",
            "peers",
            "in flight",
            "queued",
            "slots",
            "drains",
        ],
        &rows,
    );
    for text in report.silent.iter().chain(&report.faults) {
        cx.out.line(&output::styled(output::BAD, text));
    }
}

fn team_row(team: &Team, report: &Report) -> Vec<String> {
    let mut held = format!("{} of {}", team.held_by, report.entries.len());
    if !team.behind.is_empty() {
        held.push_str(&format!(", not on {}", team.behind.join(" ")));
    }
    vec![
        team.team.to_string(),
        team.version.to_string(),
        team.holder.clone(),
        team.change.clone(),
        held,
    ]
}

fn entry_row(status: &operators::Status) -> Vec<String> {
    let sum = |of: fn(&operators::Service) -> u64| {
        status.services.values().map(of).sum::<u64>().to_string()
    };
    let ready = match status.not_ready.as_slice() {
        [] => "yes".to_owned(),
        reasons => reasons.join(", "),
    };
    let drains = status
        .drains
        .iter()
        .map(|drain| format!("{} {} left", drain.target, output::percent(drain.remaining)));
    vec![
        status.vm.clone(),
        status.az.clone(),
        ready,
        output::format_duration(status.uptime_s * 1000),
        if status.store_up { "up" } else { "down" }.to_owned(),
        status.peers.to_string(),
        sum(|service| service.in_flight),
        sum(|service| service.queued),
        sum(|service| service.slots),
        drains.collect::<Vec<_>>().join(", "),
    ]
}

/// Loads of services as measured by entry VMs, as shares of their slots.
///
/// All entry VMs of an availability zone report the same backend servers, so the zone's slots count
/// once, while the requests in flight and queued are summed.
pub fn loads(statuses: &[operators::Status]) -> collections::BTreeMap<id::ServiceId, f64> {
    let mut slots: collections::BTreeMap<(&id::ServiceId, &str), u64> = Default::default();
    let mut in_flight: collections::BTreeMap<&id::ServiceId, u64> = Default::default();
    for status in statuses {
        for (name, service) in &status.services {
            let of_az = slots.entry((name, &status.az)).or_default();
            *of_az = (*of_az).max(service.slots);
            *in_flight.entry(name).or_default() += service.in_flight + service.queued;
        }
    }
    let load = |(name, in_flight): (&id::ServiceId, u64)| {
        let slots: u64 = slots
            .iter()
            .filter(|((of, _), _)| *of == name)
            .map(|(_, n)| n)
            .sum();
        (slots > 0).then(|| (name.clone(), in_flight as f64 / slots as f64))
    };
    in_flight.into_iter().filter_map(load).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_availability_zones_slots_count_once() {
        let status = |az: &str, in_flight| operators::Status {
            az: az.to_owned(),
            services: [(
                "ledger".into(),
                operators::Service {
                    slots: 6,
                    in_flight,
                    queued: 0,
                },
            )]
            .into(),
            ..operators::Status::default()
        };
        let loads = loads(&[status("a", 2), status("a", 1), status("b", 3)]);
        assert_eq!(loads[&id::ServiceId::from("ledger")], 0.5);
    }
}
