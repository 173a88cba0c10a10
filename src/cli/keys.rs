//! Commands that generate signing keys and edit teams' key rings. A ring is signed with a root key;
//! a concurrent edit makes the write fail instead of being overwritten.

use std::fs;
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path;

use super::{Context, args};
use crate::coordination::store;
use crate::settings::keys;
use crate::{error, exit_codes, id};
use io::Write;
use store::Store;

/// Only the owner may read and write a secret key file.
const SECRET_FILE_MODE: u32 = 0o600;

/// Largest key file to read, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 1024;

/// Generates a key, writes the secret key to a new file and prints the public key.
pub fn generate(cx: &Context, args: &args::Keygen) -> Result<exit_codes::ExitCode, error::Error> {
    let key = keys::SecretKey::generate();
    let fault = |source| error::Error::Write {
        path: args.file.display().to_string(),
        source,
    };
    let mut f = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(SECRET_FILE_MODE)
        .open(&args.file)
        .map_err(fault)?;
    f.write_all(key.to_text().as_bytes()).map_err(fault)?;
    let public = key.public();
    cx.out
        .json(&serde_json::json!({ "public": public, "key": public.id() }));
    cx.out
        .line(&format!("public {public}\nkey    {}", public.id()));
    Ok(exit_codes::ExitCode::Success)
}

/// Reads a secret key file.
pub fn read_secret(path: &path::Path) -> Result<keys::SecretKey, error::Error> {
    let read = |source| error::Error::Read {
        path: path.to_owned(),
        source,
    };
    let len = fs::metadata(path).map_err(read)?.len();
    if len > MAX_KEY_FILE_BYTES {
        return Err(keys::Error::Malformed { what: "secret" }.into());
    }
    let text = fs::read_to_string(path).map_err(read)?;
    Ok(keys::SecretKey::parse(&text)?)
}

/// Runs a `keys` command.
pub fn run(cx: &Context, args: &args::Keys) -> Result<exit_codes::ExitCode, error::Error> {
    match args {
        args::Keys::List { team } => list(cx, team.as_ref()),
        args::Keys::Add {
            team,
            holder,
            public,
            root_secret,
        } => edit_ring(cx, team, root_secret, |keys, _| {
            keys.retain(|key| key.public != *public);
            keys.push(keys::TeamKey {
                holder: holder.clone(),
                public: *public,
                until: None,
            });
            Ok(())
        }),
        args::Keys::Retire {
            team,
            key,
            stolen,
            root_secret,
        } => edit_ring(cx, team, root_secret, |keys, next_version| {
            let Some(found) = keys.iter_mut().find(|found| found.public.id() == *key) else {
                return Err(error::Error::Config(format!(
                    "team `{team}` has no key {key}; `bulrushwind keys list {team}` shows those it has"
                )));
            };
            found.until = Some(if *stolen { 0 } else { next_version });
            Ok(())
        }),
    }
}

fn list(cx: &Context, team: Option<&id::TeamId>) -> Result<exit_codes::ExitCode, error::Error> {
    let remote = cx.remote()?;
    let rings = remote.rings.iter();
    let rings: Vec<_> = rings
        .filter(|(name, _)| team.is_none_or(|t| t == *name))
        .collect();
    cx.out.json(
        &rings
            .iter()
            .map(|(_, ring)| ring.ring())
            .collect::<Vec<_>>(),
    );
    let mut rows = Vec::new();
    for (name, ring) in rings {
        for key in &ring.ring().keys {
            let may_sign = match key.until {
                None => "yes".to_owned(),
                Some(0) => "no, nor what it signed before".to_owned(),
                Some(until) => format!("no longer, from version {until} on"),
            };
            rows.push(vec![
                name.to_string(),
                key.public.id().to_string(),
                key.holder.clone(),
                may_sign,
            ]);
        }
    }
    cx.out.table(&["team", "key", "holder", "may sign"], &rows);
    for fault in remote.ring_faults {
        anstream::eprintln!("warning: {fault}");
    }
    Ok(exit_codes::ExitCode::Success)
}

/// Edits, signs and writes a team's key ring, by compare-and-swap on the revision that was read.
fn edit_ring(
    cx: &Context,
    team: &id::TeamId,
    root_secret: &path::Path,
    edit: impl FnOnce(&mut Vec<keys::TeamKey>, u64) -> Result<(), error::Error>,
) -> Result<exit_codes::ExitCode, error::Error> {
    let root = read_secret(root_secret)?;
    if !cx.roots()?.contains(&root.public()) {
        return Err(keys::Error::UnknownRoot { team: team.clone() }.into());
    }
    let store = cx.store()?;
    let remote = cx.remote()?;
    let ring_key = keys::store_key(team);
    let base = store
        .get(&ring_key)?
        .map_or(store::Revision(0), |entry| entry.revision);
    let now_ms = u64::try_from(super::now().as_millis()).unwrap_or(u64::MAX);
    let settings_version = remote.stored.get(team).map_or(0, |stored| stored.version);
    let old = remote.rings.get(team).map(keys::VerifiedRing::ring);
    let mut keys = old.map_or_else(Vec::new, |ring| ring.keys.clone());
    edit(&mut keys, settings_version.saturating_add(1).max(now_ms))?;
    let version = old
        .map_or(0, |ring| ring.version)
        .saturating_add(1)
        .max(now_ms);
    let ring = keys::KeyRing::sign(team.clone(), version, keys, &root)?;
    store.compare_and_swap(&ring_key, base, &ring.encode(), None)?;
    cx.out.json(&ring);
    cx.out
        .line(&format!("team {team}'s key ring is at version {version}"));
    Ok(exit_codes::ExitCode::Success)
}
