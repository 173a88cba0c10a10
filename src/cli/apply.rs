//! Writes a plan to the store: each team's change is written completely or not at all, and never
//! over a concurrent change.
//!
//! A write can take effect although its reply is lost. Reporting it as failed would mislead the
//! operator, so each write carries a change id, and a writer without a reply reads the store to see
//! whether its change is there. Retrying the same bytes is safe, because compare-and-swap on the
//! planned revision lets at most one attempt succeed.

use std::thread;
use std::time;

use super::{difference, plan, remote};
use crate::coordination::store;
use crate::settings::{envelope, keys};
use crate::{error, id, settings};

/// Attempts at one write before its outcome is reported as unresolved.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Delay after the first attempt; it doubles after each further attempt.
const INITIAL_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

data! {
    /// A change that was written to the store.
    #[derive(Eq)]
    pub struct Written {
        /// The team.
        pub team: id::TeamId,
        /// The version now in force.
        pub version: u64,
        /// Id of the change.
        pub change: envelope::ChangeId,
        /// The store revision of the write.
        pub revision: store::Revision,
    }
}

/// Result of an apply, complete or partial.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Changes that were written.
    pub written: Vec<Written>,
    /// Teams that were not written.
    pub not_written: Vec<id::TeamId>,
    /// The error that stopped the apply.
    pub error: Option<error::Error>,
}

/// Signing key and time of an apply.
#[derive(Debug)]
pub struct Signer {
    /// The signing key.
    pub key: keys::SecretKey,
    /// Current time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Writes the changes of a plan in order and stops at the first failure.
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
            outcome.not_written = plan.changes.iter().map(|c| c.team.clone()).collect();
            outcome.error = Some(err);
            return outcome;
        }
    };
    for (change, envelope) in plan.changes.iter().zip(signed) {
        if outcome.error.is_some() {
            outcome.not_written.push(change.team.clone());
            continue;
        }
        match write(store, change, &envelope, roots) {
            Ok(written) => outcome.written.push(written),
            Err(err) => {
                outcome.not_written.push(change.team.clone());
                outcome.error = Some(err);
            }
        }
    }
    outcome
}

/// Signs a change and verifies it as an entry VM will, so that an unauthorised key is rejected
/// before anything is written.
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
    // Using the clock keeps versions increasing after the store is restored from a backup.
    let version = change.base_version.saturating_add(1).max(signer.now_ms);
    let id = envelope::ChangeId::random();
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
    let mut maybe_written = false;
    let mut delay = INITIAL_RETRY_DELAY;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match store.compare_and_swap(&key, change.base, &value, None) {
            Ok(revision) => return Ok(written(revision)),
            Err(store::Error::Conflict { .. }) => match find_change(store, &key, envelope) {
                Ok(Some(revision)) => return Ok(written(revision)),
                Ok(None) => return Err(conflict(store, change, envelope, maybe_written, roots)),
                Err(_) => {}
            },
            Err(store::Error::Unknown(_)) => maybe_written = true,
            Err(store::Error::Unavailable(_)) if maybe_written => {}
            Err(err) => return Err(err.into()),
        }
        if let Ok(Some(revision)) = find_change(store, &key, envelope) {
            return Ok(written(revision));
        }
        thread::sleep(delay);
        delay *= 2;
    }
    Err(error::Error::Unresolved {
        team: change.team.clone(),
        change: envelope.change.clone(),
    })
}

/// The revision at which the store holds this change, if it does.
fn find_change<S: store::Store>(
    store: &S,
    key: &str,
    envelope: &envelope::Envelope,
) -> Result<Option<store::Revision>, store::Error> {
    let Some(entry) = store.get(key)? else {
        return Ok(None);
    };
    let stored = envelope::Envelope::decode(&entry.value);
    let same = stored.is_ok_and(|stored| stored.change == envelope.change);
    Ok(same.then_some(entry.revision))
}

/// Builds the error that names who changed the team since the plan, and what changed.
fn conflict<S: store::Store>(
    store: &S,
    change: &plan::Change,
    envelope: &envelope::Envelope,
    maybe_written: bool,
    roots: &[keys::PublicKey],
) -> error::Error {
    let team = change.team.clone();
    let remote = match remote::Remote::read(store, roots) {
        Ok(remote) => remote,
        Err(err) => return err,
    };
    let Some(stored) = remote.stored.get(&team) else {
        return error::Error::Changed(Box::new(ConcurrentChange {
            team,
            holder: "somebody".to_owned(),
            what: "removed all of the team's settings".to_owned(),
            ..ConcurrentChange::from_plan(change, envelope, maybe_written)
        }));
    };
    let current = stored.envelope.as_ref();
    let holder = current.map_or_else(
        || "somebody".to_owned(),
        |current| {
            format!(
                "{} (key {})",
                remote.holder(&team, &current.key),
                current.key
            )
        },
    );
    error::Error::Changed(Box::new(ConcurrentChange {
        team,
        holder,
        what: describe_difference(change, stored),
        revision: stored.revision,
        ..ConcurrentChange::from_plan(change, envelope, maybe_written)
    }))
}

/// Describes the differences between the planned settings and those now in the store.
fn describe_difference(change: &plan::Change, stored: &remote::StoredTeam) -> String {
    let (Ok(planned), Some(current)) = (
        settings::Team::parse("the plan", &change.text),
        &stored.team,
    ) else {
        return "wrote invalid settings".to_owned();
    };
    let mut differences = difference::between(&planned, current)
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

/// A concurrent change that prevented a write.
#[derive(Debug)]
pub struct ConcurrentChange {
    /// The team.
    pub team: id::TeamId,
    /// Holder of the key that signed it.
    pub holder: String,
    /// Description of the change.
    pub what: String,
    /// The store revision that the plan is based on.
    pub planned: store::Revision,
    /// The current store revision.
    pub revision: store::Revision,
    /// Id of the operator's own change, which was not written or was replaced.
    pub change: envelope::ChangeId,
    /// Whether the operator's change may have been in force before the concurrent one.
    pub maybe_written: bool,
}

impl ConcurrentChange {
    fn from_plan(
        change: &plan::Change,
        envelope: &envelope::Envelope,
        maybe_written: bool,
    ) -> Self {
        Self {
            team: change.team.clone(),
            holder: String::new(),
            what: String::new(),
            planned: change.base,
            revision: change.base,
            change: envelope.change.clone(),
            maybe_written,
        }
    }
}

impl std::fmt::Display for ConcurrentChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "team `{}` was changed by {} after you planned (revision {}, planned on {}); {}",
            self.team, self.holder, self.revision.0, self.planned.0, self.what
        )?;
        if self.maybe_written {
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
