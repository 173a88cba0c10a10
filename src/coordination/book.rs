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
const MAX_WAITING: usize = 256;

key! {
    /// Orders the values of one key.
    pub struct Rank {
        /// The version that the value's author assigned.
        pub version: u64,
        /// A hash of the value's signature, which decides between equal versions.
        pub hash: u64,
    }
}

/// The result of offering a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The value, and any that waited for it, are held now. Contains their keys.
    New(Vec<String>),
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
pub struct Book {
    roots: Vec<keys::PublicKey>,
    rings: collections::BTreeMap<id::TeamId, Value<keys::Trusted>>,
    parts: collections::BTreeMap<id::TeamId, Value<Result<settings::Team, String>>>,
    waiting: collections::BTreeMap<id::TeamId, sync::Arc<str>>,
    digest: peer::Digest,
    in_force: settings::Settings,
    versions: collections::BTreeMap<id::TeamId, Rank>,
    complained: collections::BTreeMap<id::TeamId, Rank>,
    notes: Vec<Note>,
    unsettled: bool,
}

impl Book {
    /// Creates an empty instance, which trusts key rings signed by one of `roots`.
    pub fn new(roots: Vec<keys::PublicKey>) -> Self {
        Self {
            roots,
            rings: collections::BTreeMap::new(),
            parts: collections::BTreeMap::new(),
            waiting: collections::BTreeMap::new(),
            digest: peer::Digest { keys: 0, hash: 0 },
            in_force: settings::Settings::default(),
            versions: collections::BTreeMap::new(),
            complained: collections::BTreeMap::new(),
            notes: Vec::new(),
            unsettled: false,
        }
    }

    /// Holds a value if it is valid and of a higher rank than the held one.
    pub fn take(&mut self, key: &str, text: &sync::Arc<str>) -> Taken {
        if let Some(team) = key.strip_prefix(envelope::STORE_PREFIX) {
            return self.take_part(key, &team.into(), text);
        }
        if let Some(team) = key.strip_prefix(keys::STORE_PREFIX) {
            return self.take_ring(key, &team.into(), text);
        }
        Taken::Refused("the key is neither under settings/ nor under keys/".to_owned())
    }

    /// The settings in force, if they changed since the last call.
    pub fn settle(&mut self) -> Option<sync::Arc<settings::Settings>> {
        if !std::mem::take(&mut self.unsettled) {
            return None;
        }
        let before = self.versions.clone();
        if !self.settle_whole() {
            self.settle_by_team();
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
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// A digest of all held values.
    pub fn digest(&self) -> peer::Digest {
        self.digest
    }

    /// The version and hash of each held value.
    pub fn held(&self) -> Vec<peer::Held> {
        let rings = self.rings.iter().map(|(t, v)| (keys::store_key(t), v.rank));
        let parts = self
            .parts
            .iter()
            .map(|(t, v)| (envelope::store_key(t), v.rank));
        rings
            .chain(parts)
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
        if let Some(team) = key.strip_prefix(envelope::STORE_PREFIX) {
            return self.parts.get(team).map(|v| (v.rank, &v.text));
        }
        let team = key.strip_prefix(keys::STORE_PREFIX)?;
        self.rings.get(team).map(|v| (v.rank, &v.text))
    }

    fn take_part(&mut self, key: &str, team: &id::TeamId, text: &sync::Arc<str>) -> Taken {
        let envelope = match envelope::Envelope::decode(text.as_bytes()) {
            Ok(envelope) => envelope,
            Err(err) => return Taken::Refused(err.to_string()),
        };
        let rank = rank(envelope.version, envelope.signature);
        // Checked before the signature, to save that cost for known and older values.
        if let Some(taken) = not_higher(rank, self.rank(key)) {
            return taken;
        }
        match self.verify(team, &envelope) {
            Ok(()) => {}
            Err(envelope::Error::UnknownKey { .. }) => return self.wait(team, text),
            Err(err) => return Taken::Refused(err.to_string()),
        }
        self.note_tie(key, rank, envelope.change.as_str());
        let body = settings::Team::parse(&format!("teams/{team}"), &envelope.text);
        let value = Value {
            rank,
            text: text.clone(),
            change: envelope.change.to_string(),
            body: body.map_err(|err| err.to_string()),
        };
        self.waiting.remove(team);
        let before = self.parts.insert(team.clone(), value).map(|v| v.rank);
        self.count(key, before, rank);
        self.unsettled = true;
        Taken::New(vec![key.to_owned()])
    }

    fn take_ring(&mut self, key: &str, team: &id::TeamId, text: &sync::Arc<str>) -> Taken {
        let ring = match keys::KeyRing::decode(text.as_bytes()) {
            Ok(ring) => ring,
            Err(err) => return Taken::Refused(err.to_string()),
        };
        let rank = rank(ring.version, ring.signature);
        if let Some(taken) = not_higher(rank, self.rank(key)) {
            return taken;
        }
        let body = match ring.verify(team, &self.roots, None) {
            Ok(trusted) => trusted,
            Err(err) => return Taken::Refused(err.to_string()),
        };
        self.note_tie(key, rank, "key ring");
        let value = Value {
            rank,
            text: text.clone(),
            change: "key ring".to_owned(),
            body,
        };
        let before = self.rings.insert(team.clone(), value).map(|v| v.rank);
        self.count(key, before, rank);
        let mut taken = vec![key.to_owned()];
        if let Some(text) = self.waiting.remove(team)
            && let Taken::New(more) = self.take_part(&envelope::store_key(team), team, &text)
        {
            taken.extend(more);
        }
        Taken::New(taken)
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

    fn wait(&mut self, team: &id::TeamId, text: &sync::Arc<str>) -> Taken {
        if self.waiting.len() < MAX_WAITING || self.waiting.contains_key(team) {
            self.waiting.insert(team.clone(), text.clone());
        }
        Taken::Waiting
    }

    fn note_tie(&mut self, key: &str, rank: Rank, change: &str) {
        let Some(held) = self.rank(key).filter(|held| held.version == rank.version) else {
            return;
        };
        let team = key.rsplit('/').next().unwrap_or_default();
        let other = self.parts.get(team).map_or("key ring", |v| &v.change);
        let note = Note::Tie {
            key: key.to_owned(),
            version: held.version,
            one: change.to_owned(),
            other: other.to_owned(),
        };
        self.notes.push(note);
    }

    fn count(&mut self, key: &str, before: Option<Rank>, now: Rank) {
        if let Some(before) = before {
            self.digest.hash ^= hash_of(key, before);
        } else {
            self.digest.keys += 1;
        }
        self.digest.hash ^= hash_of(key, now);
    }

    /// Puts every team's newest settings in force if all of them are consistent.
    fn settle_whole(&mut self) -> bool {
        let mut all = settings::Settings::default();
        let mut versions = collections::BTreeMap::new();
        for (team, part) in &self.parts {
            let Ok(body) = &part.body else { return false };
            all.teams.insert(team.clone(), body.clone());
            versions.insert(team.clone(), part.rank);
        }
        if all.check().is_err() {
            return false;
        }
        self.in_force = all;
        self.versions = versions;
        self.complained.clear();
        true
    }

    /// Puts in force each team's newest settings that are consistent with those in force. The
    /// places come first because the other teams' settings refer to them.
    fn settle_by_team(&mut self) {
        let mut teams: Vec<_> = self.parts.keys().cloned().collect();
        teams.sort_by_key(|team| team.as_str() != settings::PLACES_TEAM);
        let mut progress = true;
        while progress {
            progress = false;
            for team in &teams {
                progress |= self.settle_team(team);
            }
        }
    }

    fn settle_team(&mut self, team: &id::TeamId) -> bool {
        let part = &self.parts[team];
        if self.versions.get(team) == Some(&part.rank) {
            return false;
        }
        let tried = part.body.clone().and_then(|body| {
            let mut all = self.in_force.clone();
            all.teams.insert(team.clone(), body);
            all.check().map_err(|err| err.to_string())?;
            Ok(all)
        });
        match tried {
            Ok(all) => {
                self.in_force = all;
                self.versions.insert(team.clone(), part.rank);
                true
            }
            Err(why) => {
                let rank = part.rank;
                if self.complained.insert(team.clone(), rank) != Some(rank) {
                    let team = team.clone();
                    self.notes.push(Note::NotInForce { team, why });
                }
                false
            }
        }
    }
}

fn rank(version: u64, signature: keys::Signature) -> Rank {
    let hash = hash(String::from(signature).as_bytes());
    Rank { version, hash }
}

fn not_higher(offered: Rank, held: Option<Rank>) -> Option<Taken> {
    let held = held?;
    match offered.cmp(&held) {
        std::cmp::Ordering::Greater => None,
        std::cmp::Ordering::Equal => Some(Taken::Known),
        std::cmp::Ordering::Less => Some(Taken::Older {
            offered: offered.version,
            held: held.version,
        }),
    }
}

fn hash_of(key: &str, rank: Rank) -> u64 {
    hash(format!("{key} {} {}", rank.version, rank.hash).as_bytes())
}

fn hash(bytes: &[u8]) -> u64 {
    let hash = sha2::Sha256::digest(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}
