//! Reads each team's settings and key ring from the store and verifies them as an entry VM does, so
//! that plans start from the settings that entry VMs accept.

use std::collections;

use crate::coordination::store;
use crate::settings::{envelope, keys};
use crate::{error, id, settings};

/// One team's settings in the store.
#[derive(Clone, Debug)]
pub struct StoredTeam {
    /// The store revision.
    pub revision: store::Revision,
    /// The envelope, if it can be decoded.
    pub envelope: Option<envelope::Envelope>,
    /// The settings, if entry VMs accept them.
    pub team: Option<settings::Team>,
    /// Why entry VMs reject them.
    pub fault: Option<String>,
    /// Version that entry VMs may hold: that of settings signed by a key of the team, even if the
    /// key has been retired since. Versions signed by unknown keys are ignored, so that an attacker
    /// cannot exhaust the version numbers.
    pub version: u64,
}

/// Settings and key rings in the store.
#[derive(Clone, Debug, Default)]
pub struct Remote {
    /// Settings by team.
    pub stored: collections::BTreeMap<id::TeamId, StoredTeam>,
    /// Verified key rings by team.
    pub rings: collections::BTreeMap<id::TeamId, keys::VerifiedRing>,
    /// Errors of the key rings that failed verification.
    pub ring_faults: Vec<String>,
}

impl Remote {
    /// Reads and verifies all key rings and settings.
    pub fn read<S: store::Store>(
        store: &S,
        roots: &[keys::PublicKey],
    ) -> Result<Self, error::Error> {
        let snapshot = store.list(keys::STORE_KEY_PREFIX)?;
        let entries = snapshot.entries.iter();
        let (rings, faults) = keys::VerifiedRing::verify_all(
            entries.map(|e| (e.key.as_str(), e.value.as_slice())),
            roots,
        );
        let mut stored = collections::BTreeMap::new();
        for entry in store.list(envelope::STORE_KEY_PREFIX)?.entries {
            let Some(team) = entry.key.strip_prefix(envelope::STORE_KEY_PREFIX) else {
                continue;
            };
            let team = id::TeamId::from(team);
            let row = StoredTeam::read(&team, &entry, rings.get(&team));
            stored.insert(team, row);
        }
        let ring_faults = faults.iter().map(ToString::to_string).collect();
        Ok(Self {
            stored,
            rings,
            ring_faults,
        })
    }

    /// The settings in force, without those that entry VMs reject.
    pub fn settings(&self) -> settings::Settings {
        let teams = self
            .stored
            .iter()
            .filter_map(|(name, stored)| Some((name.clone(), stored.team.clone()?)));
        settings::Settings {
            teams: teams.collect(),
        }
    }

    /// The holder of a key according to the team's ring.
    pub fn holder(&self, team: &id::TeamId, key: &keys::KeyId) -> String {
        self.rings
            .get(team)
            .and_then(|ring| ring.key(key))
            .map_or_else(|| "somebody unknown".to_owned(), |key| key.holder.clone())
    }
}

impl StoredTeam {
    fn read(team: &id::TeamId, entry: &store::Entry, ring: Option<&keys::VerifiedRing>) -> Self {
        let mut stored = Self {
            revision: entry.revision,
            envelope: None,
            team: None,
            fault: None,
            version: 0,
        };
        match envelope::Envelope::decode(&entry.value) {
            Ok(envelope) => stored.set_envelope(team, envelope, ring),
            Err(err) => stored.fault = Some(err.to_string()),
        }
        stored
    }

    fn set_envelope(
        &mut self,
        team: &id::TeamId,
        envelope: envelope::Envelope,
        ring: Option<&keys::VerifiedRing>,
    ) {
        let verification = ring.map(|ring| envelope.verify(team, ring));
        if let Some(Ok(()) | Err(envelope::Error::RetiredKey { .. })) = verification {
            self.version = envelope.version;
        }
        let fault = match verification {
            None => Some(format!("team `{team}` has no sound key ring")),
            Some(verification) => verification.err().map(|err| err.to_string()),
        };
        match settings::Team::parse(&envelope::store_key(team), &envelope.text) {
            Ok(parsed) if fault.is_none() => self.team = Some(parsed),
            Ok(_) => {}
            Err(err) => self.fault = Some(err.to_string()),
        }
        self.fault = fault.or(self.fault.take());
        self.envelope = Some(envelope);
    }
}
