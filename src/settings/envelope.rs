//! A team's settings as they stand in the store: the text, its version and a signature.
//!
//! An entry process takes settings from a store that others can write to and from peers that may
//! hold older ones. The envelope makes that safe: it names the team, so that it cannot be moved
//! under another; it carries a version, so that an older one cannot come back; and a key of the
//! team's ring signs all of it. What goes wrong without it is that whoever can write to the store
//! steers every caller, and that a restored backup reverts what operators were told is in force.
//!
//! The signature is over length-prefixed fields and not over the JSON, so that no two envelopes
//! share signed bytes and another JSON printer changes nothing.

use super::keys;
use crate::id;

/// Where the envelopes stand in the store.
pub const STORE_PREFIX: &str = "settings/";

/// The largest value that the store holds, and so the largest envelope.
pub const MAX_ENVELOPE_BYTES: usize = 1 << 20;

/// Sets an envelope's signature apart from those over other things.
const DOMAIN: &str = "bulrushwind settings 1";

name! {
    /// One change, drawn at random by whoever makes it. Reading it back tells whether a write
    /// whose reply was lost took effect.
    ChangeId;
}

/// An envelope that is not taken.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes are not an envelope.
    #[error(
        "the settings in the store cannot be read: {0}; write them again with `bulrushwind apply`"
    )]
    Garbled(String),
    /// The envelope is larger than the store holds.
    #[error(
        "team `{team}`'s settings take {bytes} bytes in the store, which holds {MAX_ENVELOPE_BYTES}; split the team's subtree in two teams"
    )]
    TooLarge {
        /// The team.
        team: id::TeamId,
        /// What it takes.
        bytes: usize,
    },
    /// The envelope is for another team than the one it stands under.
    #[error(
        "the settings are team `{of}`'s but stand under `{at}`; each team writes only under its own name"
    )]
    WrongPlace {
        /// The team in the envelope.
        of: id::TeamId,
        /// The team it stands under.
        at: id::TeamId,
    },
    /// The key that signed it is not on the team's ring.
    #[error(
        "key {key} may not sign for team `{team}`; have a root key's holder add it with `bulrushwind keys add`"
    )]
    UnknownKey {
        /// The team.
        team: id::TeamId,
        /// The key.
        key: keys::KeyId,
    },
    /// The key was rotated out or revoked.
    #[error(
        "{holder}'s key {key} may not sign version {version} of team `{team}`'s settings, only those before {until}; sign with a key that is in force"
    )]
    RetiredKey {
        /// The team.
        team: id::TeamId,
        /// The key.
        key: keys::KeyId,
        /// Who holds it.
        holder: String,
        /// The envelope's version.
        version: u64,
        /// The first version that the key may not sign.
        until: u64,
    },
    /// The signature does not fit the envelope.
    #[error(
        "team `{team}`'s settings were changed after they were signed; write them again with `bulrushwind apply`"
    )]
    Forged {
        /// The team.
        team: id::TeamId,
    },
    /// Newer settings are in force already.
    #[error(
        "team `{team}`'s settings are version {offered} and version {held} is in force; apply them again to give them a higher version"
    )]
    Stale {
        /// The team.
        team: id::TeamId,
        /// The version in force.
        held: u64,
        /// The version that came.
        offered: u64,
    },
}

data! {
    /// A team's settings, signed.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Envelope {
        /// The team.
        pub team: id::TeamId,
        /// Grows with each change of the team's settings.
        pub version: u64,
        /// The change that wrote this.
        pub change: ChangeId,
        /// The TOML of all of the team's settings.
        pub text: String,
        /// The key that signed this.
        pub key: keys::KeyId,
        /// That key's signature over all of the above.
        pub signature: keys::Signature,
    }
}

impl ChangeId {
    /// A new one, drawn at random.
    pub fn draw() -> Self {
        format!("{:032x}", rand::random::<u128>()).as_str().into()
    }
}

impl Envelope {
    /// Signs a team's settings.
    pub fn sign(
        team: id::TeamId,
        version: u64,
        change: ChangeId,
        text: String,
        key: &keys::SecretKey,
    ) -> Self {
        let key_id = key.public().id();
        let signature = key.sign(&signed_bytes(&team, version, &change, &text, &key_id));
        Self {
            team,
            version,
            change,
            text,
            key: key_id,
            signature,
        }
    }

    /// Reads an envelope from the store's or a peer's bytes. It is not to be trusted yet.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(Error::Garbled(format!("{} bytes", bytes.len())));
        }
        serde_json::from_slice(bytes).map_err(|err| Error::Garbled(err.to_string()))
    }

    /// The bytes for the store.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes =
            serde_json::to_vec(self).expect("an envelope has only values that JSON can hold");
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(Error::TooLarge {
                team: self.team.clone(),
                bytes: bytes.len(),
            });
        }
        Ok(bytes)
    }

    /// Checks that the envelope stands where it should and that a key that may sign this version
    /// signed it.
    pub fn verify(&self, at: &id::TeamId, ring: &keys::Trusted) -> Result<(), Error> {
        let team = self.team.clone();
        if team != *at || team != ring.ring().team {
            let at = at.clone();
            return Err(Error::WrongPlace { of: team, at });
        }
        let key = self.key.clone();
        let Some(known) = ring.key(&self.key) else {
            return Err(Error::UnknownKey { team, key });
        };
        if let Some(until) = known.until.filter(|until| self.version >= *until) {
            return Err(Error::RetiredKey {
                team,
                key,
                holder: known.holder.clone(),
                version: self.version,
                until,
            });
        }
        let bytes = signed_bytes(
            &self.team,
            self.version,
            &self.change,
            &self.text,
            &self.key,
        );
        if !known.public.verifies(&bytes, &self.signature) {
            return Err(Error::Forged { team });
        }
        Ok(())
    }

    /// Checks that the envelope is not older than the version `held`. The version that is held
    /// comes again with every re-read and is no fault.
    pub fn supersedes(&self, held: Option<u64>) -> Result<(), Error> {
        match held {
            Some(held) if self.version < held => Err(Error::Stale {
                team: self.team.clone(),
                held,
                offered: self.version,
            }),
            _ => Ok(()),
        }
    }
}

/// Where a team's envelope stands in the store.
pub fn store_key(team: &id::TeamId) -> String {
    format!("{STORE_PREFIX}{team}")
}

fn signed_bytes(
    team: &id::TeamId,
    version: u64,
    change: &ChangeId,
    text: &str,
    key: &keys::KeyId,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(text.len() + 256);
    keys::push_field(&mut buf, DOMAIN.as_bytes());
    keys::push_field(&mut buf, team.as_str().as_bytes());
    keys::push_field(&mut buf, &version.to_be_bytes());
    keys::push_field(&mut buf, change.as_str().as_bytes());
    keys::push_field(&mut buf, text.as_bytes());
    keys::push_field(&mut buf, key.as_str().as_bytes());
    buf
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Team {
        root: keys::SecretKey,
        key: keys::SecretKey,
    }

    impl Team {
        fn new() -> Self {
            Self {
                root: keys::SecretKey::generate(),
                key: keys::SecretKey::generate(),
            }
        }

        fn ring(&self, until: Option<u64>) -> keys::Trusted {
            let key = keys::TeamKey {
                holder: "otgon".to_owned(),
                public: self.key.public(),
                until,
            };
            keys::KeyRing::sign("bays".into(), 1, vec![key], &self.root)
                .and_then(|ring| ring.verify(&"bays".into(), &[self.root.public()], None))
                .unwrap()
        }

        fn envelope(&self, version: u64) -> Envelope {
            let text = "prefer = \"latency\"\n".to_owned();
            Envelope::sign("bays".into(), version, ChangeId::draw(), text, &self.key)
        }
    }

    #[test]
    fn a_signed_envelope_survives_the_store() {
        let team = Team::new();
        let envelope = team.envelope(7);
        let read = Envelope::decode(&envelope.encode().unwrap()).unwrap();
        assert_eq!(read, envelope);
        read.verify(&"bays".into(), &team.ring(None)).unwrap();
    }

    /// Somebody writes settings to the store without the team's key, or changes signed ones.
    /// Callers would be steered by a stranger.
    #[test]
    fn forged_envelopes_are_refused() {
        let team = Team::new();
        let (at, ring) = (id::TeamId::from("bays"), team.ring(None));
        let stranger = Team::new().envelope(7);
        let err = stranger.verify(&at, &ring).unwrap_err();
        assert!(matches!(err, Error::UnknownKey { .. }), "{err}");

        let signed = team.envelope(7);
        let changed = [
            Envelope {
                text: "prefer = \"headroom\"\n".to_owned(),
                ..signed.clone()
            },
            Envelope {
                version: 8,
                ..signed.clone()
            },
            Envelope {
                change: ChangeId::draw(),
                ..signed.clone()
            },
        ];
        for envelope in changed {
            let err = envelope.verify(&at, &ring).unwrap_err();
            assert!(matches!(err, Error::Forged { .. }), "{err}");
        }
    }

    /// A team's envelope is copied under another team's key in the store. The other team would
    /// find its services gone.
    #[test]
    fn a_moved_envelope_is_refused() {
        let team = Team::new();
        let err = team
            .envelope(7)
            .verify(&"records".into(), &team.ring(None))
            .unwrap_err();
        assert!(matches!(err, Error::WrongPlace { .. }), "{err}");
    }

    /// The store is put back to a backup, or a peer that was cut off offers what it holds.
    /// Operators would see an accepted change undone.
    #[test]
    fn an_older_version_is_refused() {
        let envelope = Team::new().envelope(7);
        let err = envelope.supersedes(Some(8)).unwrap_err();
        assert!(matches!(err, Error::Stale { held: 8, .. }), "{err}");
        assert!(envelope.supersedes(Some(7)).is_ok());
        assert!(envelope.supersedes(None).is_ok());
    }

    /// A key is rotated out, and a VM that starts later reads settings that it signed before. If
    /// they were refused, the VM would serve nothing until somebody applied them again.
    #[test]
    fn a_retired_key_keeps_what_it_signed_before() {
        let team = Team::new();
        let (at, ring) = (id::TeamId::from("bays"), team.ring(Some(7)));
        team.envelope(6).verify(&at, &ring).unwrap();
        let err = team.envelope(7).verify(&at, &ring).unwrap_err();
        assert!(matches!(err, Error::RetiredKey { until: 7, .. }), "{err}");
        let err = team
            .envelope(6)
            .verify(&at, &team.ring(Some(0)))
            .unwrap_err();
        assert!(matches!(err, Error::RetiredKey { until: 0, .. }), "{err}");
    }

    #[test]
    fn too_large_an_envelope_is_refused_before_the_store_sees_it() {
        let team = Team::new();
        let text = "\"".repeat(MAX_ENVELOPE_BYTES / 2 + 1);
        let envelope = Envelope::sign("bays".into(), 1, ChangeId::draw(), text, &team.key);
        assert!(matches!(envelope.encode(), Err(Error::TooLarge { .. })));
        assert!(Envelope::decode(&vec![b' '; MAX_ENVELOPE_BYTES + 1]).is_err());
    }
}
