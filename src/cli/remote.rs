//! What the store holds now: each team's settings, checked as an entry process checks them.

use std::collections;

use crate::coordination::store;
use crate::settings::{envelope, keys};
use crate::{error, id, settings};

/// One team's settings in the store.
#[derive(Clone, Debug)]
pub struct Held {
    /// The revision that wrote them.
    pub revision: store::Revision,
    /// What stands there, if it can be read.
    pub envelope: Option<envelope::Envelope>,
    /// The settings, if entry processes take them.
    pub team: Option<settings::Team>,
    /// Why entry processes do not take them.
    pub fault: Option<String>,
    /// The version that entry processes may hold: that of settings which some key of the team
    /// signed, be it rotated out since. A stranger's version counts for nothing, so that it
    /// cannot use the numbers up.
    pub version: u64,
}

/// All that the store holds of settings and keys.
#[derive(Clone, Debug, Default)]
pub struct Remote {
    /// Each team's settings.
    pub held: collections::BTreeMap<id::TeamId, Held>,
    /// Each team's keys.
    pub rings: collections::BTreeMap<id::TeamId, keys::Trusted>,
    /// Key rings that are not sound.
    pub ring_faults: Vec<String>,
}

impl Remote {
    /// Reads the store.
    pub fn read<S: store::Store>(
        store: &S,
        roots: &[keys::PublicKey],
    ) -> Result<Self, error::Error> {
        let snapshot = store.list(keys::STORE_PREFIX)?;
        let entries = snapshot.entries.iter();
        let (rings, faults) =
            keys::Trusted::all(entries.map(|e| (e.key.as_str(), e.value.as_slice())), roots);
        let mut held = collections::BTreeMap::new();
        for entry in store.list(envelope::STORE_PREFIX)?.entries {
            let Some(team) = entry.key.strip_prefix(envelope::STORE_PREFIX) else {
                continue;
            };
            let team = id::TeamId::from(team);
            let row = Held::read(&team, &entry, rings.get(&team));
            held.insert(team, row);
        }
        let ring_faults = faults.iter().map(ToString::to_string).collect();
        Ok(Self {
            held,
            rings,
            ring_faults,
        })
    }

    /// The settings in force, without those that entry processes do not take.
    pub fn settings(&self) -> settings::Settings {
        let teams = self
            .held
            .iter()
            .filter_map(|(name, held)| Some((name.clone(), held.team.clone()?)));
        settings::Settings {
            teams: teams.collect(),
        }
    }

    /// Who holds a key, as far as the team's ring tells.
    pub fn holder(&self, team: &id::TeamId, key: &keys::KeyId) -> String {
        self.rings
            .get(team)
            .and_then(|ring| ring.key(key))
            .map_or_else(|| "somebody unknown".to_owned(), |key| key.holder.clone())
    }
}

impl Held {
    fn read(team: &id::TeamId, entry: &store::Entry, ring: Option<&keys::Trusted>) -> Self {
        let mut held = Self {
            revision: entry.revision,
            envelope: None,
            team: None,
            fault: None,
            version: 0,
        };
        match envelope::Envelope::decode(&entry.value) {
            Ok(envelope) => held.take(team, envelope, ring),
            Err(err) => held.fault = Some(err.to_string()),
        }
        held
    }

    fn take(
        &mut self,
        team: &id::TeamId,
        envelope: envelope::Envelope,
        ring: Option<&keys::Trusted>,
    ) {
        let verdict = ring.map(|ring| envelope.verify(team, ring));
        if let Some(Ok(()) | Err(envelope::Error::RetiredKey { .. })) = verdict {
            self.version = envelope.version;
        }
        let fault = match verdict {
            None => Some(format!("team `{team}` has no sound key ring")),
            Some(verdict) => verdict.err().map(|err| err.to_string()),
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
