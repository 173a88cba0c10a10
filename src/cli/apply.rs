//! Writes a plan to the store: all or nothing for each team, and never over another's change.
//!
//! A write can take effect and lose its reply. Taken for a failure, the operator would tell the
//! team that nothing changed. So each write carries a change id, and whoever gets no reply reads
//! back whose change stands there. Writing the same bytes again is harmless, since the revision
//! that was planned on lets at most one of them in.

use std::thread;
use std::time;

use super::{difference, plan, remote};
use crate::coordination::store;
use crate::settings::{envelope, keys};
use crate::{error, id, settings};

/// How often a write whose fate is not known is looked into before the operator is told so.
const TRIES: u32 = 5;

/// How long the first wait between two looks is; each further one is twice as long.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);

data! {
    /// A team's change that was written.
    #[derive(Eq)]
    pub struct Written {
        /// The team.
        pub team: id::TeamId,
        /// The version that is in force now.
        pub version: u64,
        /// The change's id.
        pub change: envelope::ChangeId,
        /// The store's revision that holds it.
        pub revision: store::Revision,
    }
}

/// What an apply did before it ended.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The teams that were written.
    pub written: Vec<Written>,
    /// The teams that were not reached.
    pub left: Vec<id::TeamId>,
    /// What ended it early.
    pub fault: Option<error::Error>,
}

/// Who signs and when.
#[derive(Debug)]
pub struct Signer {
    /// The signing key.
    pub key: keys::SecretKey,
    /// The time, in milliseconds since 1970.
    pub now_ms: u64,
}

/// Writes every change of a plan, in its order, until one fails.
pub fn write_all<S: store::Store>(
    store: &S,
    plan: &plan::Plan,
    remote: &remote::Remote,
    roots: &[keys::PublicKey],
    signer: &Signer,
) -> Outcome {
    let mut outcome = Outcome::default();
    let signed = plan.changes.iter().map(|c| sign(c, remote, signer));
    let signed = match signed.collect::<Result<Vec<_>, _>>() {
        Ok(signed) => signed,
        Err(err) => {
            outcome.left = plan.changes.iter().map(|c| c.team.clone()).collect();
            outcome.fault = Some(err);
            return outcome;
        }
    };
    for (change, envelope) in plan.changes.iter().zip(signed) {
        if outcome.fault.is_some() {
            outcome.left.push(change.team.clone());
            continue;
        }
        match write(store, change, &envelope, roots) {
            Ok(written) => outcome.written.push(written),
            Err(err) => {
                outcome.left.push(change.team.clone());
                outcome.fault = Some(err);
            }
        }
    }
    outcome
}

/// Signs a change, and checks it as an entry process will. A key that may not sign is found out
/// here, before anything is written.
fn sign(
    change: &plan::Change,
    remote: &remote::Remote,
    signer: &Signer,
) -> Result<envelope::Envelope, error::Error> {
    let team = &change.team;
    let ring = remote
        .rings
        .get(team)
        .ok_or_else(|| error::Error::NoKeyRing { team: team.clone() })?;
    // The time of day keeps versions growing when the store was put back to an older backup.
    let version = change.base_version.saturating_add(1).max(signer.now_ms);
    let id = envelope::ChangeId::draw();
    let text = change.text.clone();
    let envelope = envelope::Envelope::sign(team.clone(), version, id, text, &signer.key);
    envelope.verify(team, ring)?;
    envelope.encode()?;
    Ok(envelope)
}

fn write<S: store::Store>(
    store: &S,
    change: &plan::Change,
    envelope: &envelope::Envelope,
    roots: &[keys::PublicKey],
) -> Result<Written, error::Error> {
    let key = envelope::store_key(&change.team);
    let value = envelope.encode()?;
    let written = |revision| Written {
        team: change.team.clone(),
        version: envelope.version,
        change: envelope.change.clone(),
        revision,
    };
    let mut unsure = false;
    let mut pause = FIRST_PAUSE;
    for _ in 0..TRIES {
        match store.compare_and_swap(&key, change.base, &value, None) {
            Ok(revision) => return Ok(written(revision)),
            Err(store::Error::Conflict { .. }) => match mine(store, &key, envelope) {
                Ok(Some(revision)) => return Ok(written(revision)),
                Ok(None) => return Err(conflict(store, change, envelope, unsure, roots)),
                Err(_) => {}
            },
            Err(store::Error::Unknown(_)) => unsure = true,
            Err(store::Error::Unavailable(_)) if unsure => {}
            Err(err) => return Err(err.into()),
        }
        if let Ok(Some(revision)) = mine(store, &key, envelope) {
            return Ok(written(revision));
        }
        thread::sleep(pause);
        pause *= 2;
    }
    Err(error::Error::Unresolved {
        team: change.team.clone(),
        change: envelope.change.clone(),
    })
}

/// The revision that holds this very change, if it stands in the store.
fn mine<S: store::Store>(
    store: &S,
    key: &str,
    envelope: &envelope::Envelope,
) -> Result<Option<store::Revision>, store::Error> {
    let Some(entry) = store.get(key)? else {
        return Ok(None);
    };
    let held = envelope::Envelope::decode(&entry.value);
    let same = held.is_ok_and(|held| held.change == envelope.change);
    Ok(same.then_some(entry.revision))
}

/// Tells who changed the team since the plan, and what.
fn conflict<S: store::Store>(
    store: &S,
    change: &plan::Change,
    envelope: &envelope::Envelope,
    unsure: bool,
    roots: &[keys::PublicKey],
) -> error::Error {
    let team = change.team.clone();
    let remote = match remote::Remote::read(store, roots) {
        Ok(remote) => remote,
        Err(err) => return err,
    };
    let Some(held) = remote.held.get(&team) else {
        return error::Error::Changed(Box::new(Changed {
            team,
            holder: "somebody".to_owned(),
            what: "took all of the team's settings out".to_owned(),
            ..Changed::default_of(change, envelope, unsure)
        }));
    };
    let theirs = held.envelope.as_ref();
    let holder = theirs.map_or_else(
        || "somebody".to_owned(),
        |theirs| format!("{} (key {})", remote.holder(&team, &theirs.key), theirs.key),
    );
    error::Error::Changed(Box::new(Changed {
        team,
        holder,
        what: what_they_did(change, held),
        revision: held.revision,
        ..Changed::default_of(change, envelope, unsure)
    }))
}

/// What differs between the directory's settings and those that stand in the store now.
fn what_they_did(change: &plan::Change, held: &remote::Held) -> String {
    let (Ok(mine), Some(theirs)) = (settings::Team::parse("the plan", &change.text), &held.team)
    else {
        return "wrote settings that are not sound".to_owned();
    };
    let mut differences = difference::teams(&mine, theirs)
        .iter()
        .map(|difference| format!("\n  {difference}"))
        .collect::<Vec<_>>();
    let shown = 8.min(differences.len());
    let more = differences.split_off(shown).len();
    let more = match more {
        0 => String::new(),
        more => format!("\n  and {more} more"),
    };
    format!(
        "from your settings to theirs:{}{more}",
        differences.concat()
    )
}

/// Somebody else's change that an apply found.
#[derive(Debug)]
pub struct Changed {
    /// The team.
    pub team: id::TeamId,
    /// Who made it.
    pub holder: String,
    /// What it did.
    pub what: String,
    /// The revision that was planned on.
    pub planned: store::Revision,
    /// The revision that stands now.
    pub revision: store::Revision,
    /// The change that was not written, or not for long.
    pub change: envelope::ChangeId,
    /// Whether this change may have been in force before the other one.
    pub unsure: bool,
}

impl Changed {
    fn default_of(change: &plan::Change, envelope: &envelope::Envelope, unsure: bool) -> Self {
        Self {
            team: change.team.clone(),
            holder: String::new(),
            what: String::new(),
            planned: change.base,
            revision: change.base,
            change: envelope.change.clone(),
            unsure,
        }
    }
}

impl std::fmt::Display for Changed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "team `{}` was changed by {} after you planned (revision {}, planned on {}); {}",
            self.team, self.holder, self.revision.0, self.planned.0, self.what
        )?;
        if self.unsure {
            write!(
                f,
                "a reply was lost, so your change {} may have been in force before theirs; ",
                self.change
            )?;
        } else {
            f.write_str("nothing of yours was written for this team; ")?;
        }
        f.write_str("bring their change into your directory, then run `bulrushwind plan` again")
    }
}
