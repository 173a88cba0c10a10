//! Feeds the request path with settings and the list of VMs from the platform.
//!
//! While the store is out of reach, the last settings and the last list stay in force.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use super::Shared;
use crate::coordination::store;
use crate::{id, settings};

/// The prefix under which teams' settings lie.
const SETTINGS: &str = "settings/";

/// How long one watch waits.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(10);

/// How long to leave the store alone after a failed call.
const PAUSE: time::Duration = time::Duration::from_millis(500);

/// How often the list of VMs is read.
const VMS_EVERY: time::Duration = time::Duration::from_millis(500);

/// The part of a stored value that holds a team's settings.
#[derive(serde::Deserialize)]
struct Stored {
    text: String,
    #[serde(default)]
    version: u64,
}

type Texts = collections::BTreeMap<id::TeamId, Stored>;

/// Starts the threads that feed `shared`. They end when nothing else holds it.
pub(super) fn start<S: store::Store>(shared: &sync::Arc<Shared>, platform: S, log: &slog::Logger) {
    let platform = sync::Arc::new(platform);
    let (weak, store, logger) = (sync::Arc::downgrade(shared), platform.clone(), log.clone());
    thread::spawn(move || watch_settings(&weak, &store, &logger));
    let weak = sync::Arc::downgrade(shared);
    thread::spawn(move || poll_vms(&weak, &platform));
}

fn poll_vms<S: store::Store>(shared: &sync::Weak<Shared>, platform: &S) {
    while shared.strong_count() > 0 {
        let listed = platform.vms();
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let store_up = listed.is_ok();
        shared.links.rcu(|links| super::Links {
            store_up,
            ..super::Links::clone(links)
        });
        if let Ok(vms) = listed {
            shared
                .fleet
                .store(sync::Arc::new(crate::state::fleet::Fleet::new(vms)));
        }
        drop(shared);
        thread::sleep(VMS_EVERY);
    }
}

fn watch_settings<S: store::Store>(shared: &sync::Weak<Shared>, platform: &S, log: &slog::Logger) {
    while shared.strong_count() > 0 {
        match platform.list(SETTINGS) {
            Ok(snapshot) => {
                let mut texts = Texts::new();
                take(&mut texts, &snapshot.entries);
                put_in_force(shared, &texts, log);
                follow(shared, platform, snapshot.revision, texts, log);
            }
            Err(err) => {
                slog::warn!(log, "settings cannot be read"; "error" => err.to_string());
            }
        }
        thread::sleep(PAUSE);
    }
}

fn follow<S: store::Store>(
    shared: &sync::Weak<Shared>,
    platform: &S,
    mut after: store::Revision,
    mut texts: Texts,
    log: &slog::Logger,
) {
    while shared.strong_count() > 0 {
        match platform.watch(SETTINGS, after, WATCH_WAIT) {
            Ok(store::Watch::Events { revision, entries }) => {
                after = revision;
                if !entries.is_empty() {
                    take(&mut texts, &entries);
                    put_in_force(shared, &texts, log);
                }
            }
            Ok(store::Watch::Gap) | Err(_) => return,
        }
    }
}

fn take(texts: &mut Texts, entries: &[store::Entry]) {
    for entry in entries {
        let Some(team) = entry.key.strip_prefix(SETTINGS) else {
            continue;
        };
        match serde_json::from_slice::<Stored>(&entry.value) {
            Ok(stored) => texts.insert(team.into(), stored),
            Err(_) => texts.remove(team),
        };
    }
}

fn put_in_force(shared: &sync::Weak<Shared>, texts: &Texts, log: &slog::Logger) {
    let settings = match read(texts) {
        Ok(settings) => settings,
        Err(err) => return slog::error!(log, "settings refused"; "error" => err.to_string()),
    };
    let Some(shared) = shared.upgrade() else {
        return;
    };
    if let Err(err) = shared.put_in_force(settings) {
        return slog::error!(log, "settings refused"; "error" => err.to_string());
    }
    let versions = texts
        .iter()
        .map(|(team, stored)| (team.clone(), stored.version));
    let versions: collections::BTreeMap<_, _> = versions.collect();
    shared.links.rcu(|links| super::Links {
        versions: versions.clone(),
        ..super::Links::clone(links)
    });
}

fn read(texts: &Texts) -> Result<settings::Settings, settings::Error> {
    let mut all = settings::Settings::default();
    for (team, stored) in texts {
        let part = settings::Team::parse(team.as_str(), &stored.text)?;
        all.teams.insert(team.clone(), part);
    }
    all.check()?;
    Ok(all)
}
