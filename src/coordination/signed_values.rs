//! The signed values that one process holds, and the settings in force derived from them.
//!
//! Values arrive from the store and from peers: out of order, duplicated, late, or from a store
//! that was restored to an older state. A value is replaced only by one of a higher [`Rank`], which
//! is a total order, so nothing reverts and all processes that received the same values hold the
//! same ones. Two values of one version occur only when the store was restored and an operator
//! applied again with a clock that runs behind. The hash of the signature then decides, which is
//! the same everywhere, and a message is logged for operators.
//!
//! A held value is not yet in force: one that does not parse, or that is inconsistent with other
//! teams' values, is held and forwarded, while the team's last valid settings stay in force. A
//! process that used it, or stopped because of it, could not steer its callers.

use std::collections;
use std::sync;

use sha2::Digest;

use super::action;
use crate::protocol::peer;
use crate::settings::{envelope, keys};
use crate::{id, settings};
use action::Note;

/// Teams whose settings may wait for a key ring. Waiting settings are not verified yet.
const MAX_TEAMS_AWAITING_RING: usize = 256;

key! {
    /// The rank of a value among all values of its key.
    pub struct Rank {
        /// The version that the value's author assigned.
        pub version: u64,
        /// A hash of the value's signature, which decides between equal versions.
        pub hash: u64,
    }
}

/// The result of offering a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The value, and any that waited for it, are held now. Contains their keys.
    Accepted(Vec<String>),
    /// The value was already held.
    Known,
    /// A value of a higher rank is held.
    Older {
        /// The version of the offered value.
        offered: u64,
        /// The version of the held value.
        held: u64,
    },
    /// The value waits for its team's key ring.
    Waiting,
    /// The value is invalid, for this reason.
    Refused(String),
}

#[derive(Debug)]
struct Value<T> {
    rank: Rank,
    text: sync::Arc<str>,
    change: String,
    body: T,
}

/// The signed values that a process holds, and the settings in force.
#[derive(Debug)]
pub struct SignedValues {
    roots: Vec<keys::PublicKey>,
    rings: collections::BTreeMap<id::TeamId, Value<keys::VerifiedRing>>,
    team_settings: collections::BTreeMap<id::TeamId, Value<Result<settings::Team, String>>>,
    awaiting_ring: collections::BTreeMap<id::TeamId, sync::Arc<str>>,
    digest: peer::Digest,
    in_force: settings::Settings,
    versions: collections::BTreeMap<id::TeamId, Rank>,
    logged_inconsistent: collections::BTreeMap<id::TeamId, Rank>,
    notes: Vec<Note>,
    in_force_outdated: bool,
}

impl SignedValues {
    /// Creates an empty instance, which trusts key rings signed by one of `roots`.
    pub fn new(roots: Vec<keys::PublicKey>) -> Self {
        Self {
            roots,
            rings: collections::BTreeMap::new(),
            team_settings: collections::BTreeMap::new(),
            awaiting_ring: collections::BTreeMap::new(),
            digest: peer::Digest { keys: 0, hash: 0 },
            in_force: settings::Settings::default(),
            versions: collections::BTreeMap::new(),
            logged_inconsistent: collections::BTreeMap::new(),
            notes: Vec::new(),
            in_force_outdated: false,
        }
    }

    /// Stores a value if it is valid and of a higher rank than the held one.
    pub fn offer(&mut self, key: &str, text: &sync::Arc<str>) -> OfferOutcome {
        if let Some(team) = key.strip_prefix(envelope::STORE_KEY_PREFIX) {
            return self.offer_settings(key, &team.into(), text);
        }
        if let Some(team) = key.strip_prefix(keys::STORE_KEY_PREFIX) {
            return self.offer_ring(key, &team.into(), text);
        }
        OfferOutcome::Refused("the key is neither under settings/ nor under keys/".to_owned())
    }

    /// The settings in force, if they changed since the last call.
    pub fn update_in_force(&mut self) -> Option<sync::Arc<settings::Settings>> {
        if !std::mem::take(&mut self.in_force_outdated) {
            return None;
        }
        let before = self.versions.clone();
        if !self.apply_all_teams() {
            self.apply_consistent_teams();
        }
        if self.versions == before {
            return None;
        }
        for (team, rank) in &self.versions {
            if before.get(team) != Some(rank) {
                self.notes.push(Note::InForce {
                    team: team.clone(),
                    version: rank.version,
                });
            }
        }
        Some(sync::Arc::new(self.in_force.clone()))
    }

    /// The messages for operators since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// A digest of all held values.
    pub fn digest(&self) -> peer::Digest {
        self.digest
    }

    /// The version and hash of each held value.
    pub fn held(&self) -> Vec<peer::Held> {
        let rings = self.rings.iter().map(|(t, v)| (keys::store_key(t), v.rank));
        let team_settings = self
            .team_settings
            .iter()
            .map(|(t, v)| (envelope::store_key(t), v.rank));
        rings
            .chain(team_settings)
            .map(|(key, rank)| peer::Held {
                key,
                version: rank.version,
                hash: rank.hash,
            })
            .collect()
    }

    /// The rank of the value held under a key.
    pub fn rank(&self, key: &str) -> Option<Rank> {
        self.value(key).map(|(rank, _)| rank)
    }

    /// The text of the value held under a key.
    pub fn text(&self, key: &str) -> Option<sync::Arc<str>> {
        self.value(key).map(|(_, text)| text.clone())
    }

    /// The rank of each team's settings in force.
    pub fn versions(&self) -> &collections::BTreeMap<id::TeamId, Rank> {
        &self.versions
    }

    fn value(&self, key: &str) -> Option<(Rank, &sync::Arc<str>)> {
        if let Some(team) = key.strip_prefix(envelope::STORE_KEY_PREFIX) {
            return self.team_settings.get(team).map(|v| (v.rank, &v.text));
        }
        let team = key.strip_prefix(keys::STORE_KEY_PREFIX)?;
        self.rings.get(team).map(|v| (v.rank, &v.text))
    }

    fn offer_settings(
        &mut self,
        key: &str,
        team: &id::TeamId,
        text: &sync::Arc<str>,
    ) -> OfferOutcome {
        let envelope = match envelope::Envelope::decode(text.as_bytes()) {
            Ok(envelope) => envelope,
            Err(err) => return OfferOutcome::Refused(err.to_string()),
        };
        let rank = rank_of(envelope.version, envelope.signature);
        // Checked before the signature, to save that cost for known and older values.
        if let Some(outcome) = outcome_unless_higher(rank, self.rank(key)) {
            return outcome;
        }
        match self.verify(team, &envelope) {
            Ok(()) => {}
            Err(envelope::Error::UnknownKey { .. }) => return self.wait_for_ring(team, text),
            Err(err) => return OfferOutcome::Refused(err.to_string()),
        }
        self.note_version_conflict(key, rank, envelope.change.as_str());
        let body = settings::Team::parse(&format!("teams/{team}"), &envelope.text);
        let value = Value {
            rank,
            text: text.clone(),
            change: envelope.change.to_string(),
            body: body.map_err(|err| err.to_string()),
        };
        self.awaiting_ring.remove(team);
        let before = self
            .team_settings
            .insert(team.clone(), value)
            .map(|v| v.rank);
        self.update_digest(key, before, rank);
        self.in_force_outdated = true;
        OfferOutcome::Accepted(vec![key.to_owned()])
    }

    fn offer_ring(&mut self, key: &str, team: &id::TeamId, text: &sync::Arc<str>) -> OfferOutcome {
        let ring = match keys::KeyRing::decode(text.as_bytes()) {
            Ok(ring) => ring,
            Err(err) => return OfferOutcome::Refused(err.to_string()),
        };
        let rank = rank_of(ring.version, ring.signature);
        if let Some(outcome) = outcome_unless_higher(rank, self.rank(key)) {
            return outcome;
        }
        let body = match ring.verify(team, &self.roots, None) {
            Ok(trusted) => trusted,
            Err(err) => return OfferOutcome::Refused(err.to_string()),
        };
        self.note_version_conflict(key, rank, "key ring");
        let value = Value {
            rank,
            text: text.clone(),
            change: "key ring".to_owned(),
            body,
        };
        let before = self.rings.insert(team.clone(), value).map(|v| v.rank);
        self.update_digest(key, before, rank);
        let mut accepted = vec![key.to_owned()];
        if let Some(text) = self.awaiting_ring.remove(team)
            && let OfferOutcome::Accepted(more) =
                self.offer_settings(&envelope::store_key(team), team, &text)
        {
            accepted.extend(more);
        }
        OfferOutcome::Accepted(accepted)
    }

    fn verify(
        &self,
        team: &id::TeamId,
        envelope: &envelope::Envelope,
    ) -> Result<(), envelope::Error> {
        let Some(ring) = self.rings.get(team) else {
            return Err(envelope::Error::UnknownKey {
                team: team.clone(),
                key: envelope.key.clone(),
            });
        };
        envelope.verify(team, &ring.body)
    }

    fn wait_for_ring(&mut self, team: &id::TeamId, text: &sync::Arc<str>) -> OfferOutcome {
        if self.awaiting_ring.len() < MAX_TEAMS_AWAITING_RING
            || self.awaiting_ring.contains_key(team)
        {
            self.awaiting_ring.insert(team.clone(), text.clone());
        }
        OfferOutcome::Waiting
    }

    fn note_version_conflict(&mut self, key: &str, rank: Rank, change: &str) {
        let Some(held) = self.rank(key).filter(|held| held.version == rank.version) else {
            return;
        };
        let team = key.rsplit('/').next().unwrap_or_default();
        let other = self
            .team_settings
            .get(team)
            .map_or("key ring", |v| &v.change);
        let note = Note::VersionConflict {
            key: key.to_owned(),
            version: held.version,
            one: change.to_owned(),
            other: other.to_owned(),
        };
        self.notes.push(note);
    }

    fn update_digest(&mut self, key: &str, before: Option<Rank>, now: Rank) {
        if let Some(before) = before {
            self.digest.hash ^= entry_hash(key, before);
        } else {
            self.digest.keys += 1;
        }
        self.digest.hash ^= entry_hash(key, now);
    }

    /// Puts every team's newest settings in force if all of them are consistent.
    fn apply_all_teams(&mut self) -> bool {
        let mut combined = settings::Settings::default();
        let mut versions = collections::BTreeMap::new();
        for (team, value) in &self.team_settings {
            let Ok(body) = &value.body else { return false };
            combined.teams.insert(team.clone(), body.clone());
            versions.insert(team.clone(), value.rank);
        }
        if combined.check().is_err() {
            return false;
        }
        self.in_force = combined;
        self.versions = versions;
        self.logged_inconsistent.clear();
        true
    }

    /// Puts in force each team's newest settings that are consistent with those in force. The
    /// places come first because the other teams' settings refer to them.
    fn apply_consistent_teams(&mut self) {
        let mut teams: Vec<_> = self.team_settings.keys().cloned().collect();
        teams.sort_by_key(|team| team.as_str() != settings::PLACES_TEAM);
        let mut progress = true;
        while progress {
            progress = false;
            for team in &teams {
                progress |= self.apply_team(team);
            }
        }
    }

    fn apply_team(&mut self, team: &id::TeamId) -> bool {
        let value = &self.team_settings[team];
        if self.versions.get(team) == Some(&value.rank) {
            return false;
        }
        let result = value.body.clone().and_then(|body| {
            let mut combined = self.in_force.clone();
            combined.teams.insert(team.clone(), body);
            combined.check().map_err(|err| err.to_string())?;
            Ok(combined)
        });
        match result {
            Ok(combined) => {
                self.in_force = combined;
                self.versions.insert(team.clone(), value.rank);
                true
            }
            Err(why) => {
                let rank = value.rank;
                if self.logged_inconsistent.insert(team.clone(), rank) != Some(rank) {
                    let team = team.clone();
                    self.notes.push(Note::NotInForce { team, why });
                }
                false
            }
        }
    }
}

fn rank_of(version: u64, signature: keys::Signature) -> Rank {
    let hash = hash(String::from(signature).as_bytes());
    Rank { version, hash }
}

fn outcome_unless_higher(offered: Rank, held: Option<Rank>) -> Option<OfferOutcome> {
    let held = held?;
    match offered.cmp(&held) {
        std::cmp::Ordering::Greater => None,
        std::cmp::Ordering::Equal => Some(OfferOutcome::Known),
        std::cmp::Ordering::Less => Some(OfferOutcome::Older {
            offered: offered.version,
            held: held.version,
        }),
    }
}

fn entry_hash(key: &str, rank: Rank) -> u64 {
    hash(format!("{key} {} {}", rank.version, rank.hash).as_bytes())
}

fn hash(bytes: &[u8]) -> u64 {
    let hash = sha2::Sha256::digest(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}
