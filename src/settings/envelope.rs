//! A team's settings as stored: the text, its version and a signature.
//!
//! Entry VMs read settings from a store that others can write to, and from peers that may hold an
//! older version. The envelope names the team, so that it cannot be copied under another team; it
//! carries a version, so that an older one is not accepted; and a key from the team's ring signs
//! all of it. Without it, anyone with write access to the store could steer every caller, and a
//! restored backup would silently revert settings that operators saw take effect.
//!
//! The signature covers length-prefixed fields rather than the JSON, so that no two envelopes share
//! signed bytes and the JSON formatting does not matter.

use super::keys;
use crate::id;

/// Prefix of the envelopes' store keys.
pub const STORE_KEY_PREFIX: &str = "settings/";

/// Largest encoded envelope: the store's limit for a value.
pub const MAX_ENVELOPE_BYTES: usize = 1 << 20;

/// Domain separator: keeps an envelope's signature from being valid for another kind of data.
const SIGNATURE_DOMAIN: &str = "bulrushwind settings 1";

name! {
    /// Random id of a change. A writer without a reply finds it in the store if the write
    /// succeeded.
    ChangeId;
}

/// Why an envelope is rejected.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes do not decode to an envelope.
    #[error(
        "the settings in the store cannot be read: {0}; write them again with `bulrushwind apply`"
    )]
    Undecodable(String),
    /// The envelope exceeds the store's value limit.
    #[error(
        "team `{team}`'s settings take {bytes} bytes in the store, which holds {MAX_ENVELOPE_BYTES}; split the team's subtree in two teams"
    )]
    TooLarge {
        /// The team.
        team: id::TeamId,
        /// Size of the encoded envelope.
        bytes: usize,
    },
    /// The envelope names a different team than its store key.
    #[error(
        "the settings of team `{of}` are stored under team `{at}`; store each team's settings under its own name"
    )]
    WrongTeam {
        /// The team in the envelope.
        of: id::TeamId,
        /// The team in the store key.
        at: id::TeamId,
    },
    /// The signing key is not in the team's key ring.
    #[error(
        "key {key} may not sign for team `{team}`; have a root key's holder add it with `bulrushwind keys add`"
    )]
    UnknownKey {
        /// The team.
        team: id::TeamId,
        /// The key.
        key: keys::KeyId,
    },
    /// The signing key was retired or revoked before this version.
    #[error(
        "{holder}'s key {key} may not sign version {version} of team `{team}`'s settings, only those before {until}; sign with a key that is in force"
    )]
    RetiredKey {
        /// The team.
        team: id::TeamId,
        /// The key.
        key: keys::KeyId,
        /// Name of the key's holder.
        holder: String,
        /// The envelope's version.
        version: u64,
        /// First version that the key may no longer sign.
        until: u64,
    },
    /// The signature does not match the envelope.
    #[error(
        "team `{team}`'s settings were changed after they were signed; write them again with `bulrushwind apply`"
    )]
    BadSignature {
        /// The team.
        team: id::TeamId,
    },
    /// A newer version is already in force.
    #[error(
        "team `{team}`'s settings are version {offered} and version {held} is in force; apply them again to give them a higher version"
    )]
    Stale {
        /// The team.
        team: id::TeamId,
        /// The version in force.
        held: u64,
        /// The rejected version.
        offered: u64,
    },
}

data! {
    /// A team's signed settings.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Envelope {
        /// The team.
        pub team: id::TeamId,
        /// Version of the team's settings; each change increases it.
        pub version: u64,
        /// Id of the change that wrote this envelope.
        pub change: ChangeId,
        /// All of the team's settings as TOML.
        pub text: String,
        /// Id of the signing key.
        pub key: keys::KeyId,
        /// Signature over the fields above.
        pub signature: keys::Signature,
    }
}

impl ChangeId {
    /// Generates a random id.
    pub fn random() -> Self {
        format!("{:032x}", rand::random::<u128>()).as_str().into()
    }
}

impl Envelope {
    /// Builds and signs an envelope for a team's settings.
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

    /// Decodes an envelope from the store or a peer. Its signature is not checked; see
    /// [`Envelope::verify`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(Error::Undecodable(format!("{} bytes", bytes.len())));
        }
        serde_json::from_slice(bytes).map_err(|err| Error::Undecodable(err.to_string()))
    }

    /// Encodes the envelope for the store. Fails if it exceeds [`MAX_ENVELOPE_BYTES`].
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

    /// Checks that the envelope belongs to team `at` and that its key may sign this version.
    pub fn verify(&self, at: &id::TeamId, ring: &keys::VerifiedRing) -> Result<(), Error> {
        let team = self.team.clone();
        if team != *at || team != ring.ring().team {
            let at = at.clone();
            return Err(Error::WrongTeam { of: team, at });
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
            return Err(Error::BadSignature { team });
        }
        Ok(())
    }

    /// Checks that the envelope is not older than version `held`. An equal version is accepted,
    /// because each re-read delivers the version in force again.
    pub fn check_version(&self, held: Option<u64>) -> Result<(), Error> {
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

/// Store key of a team's envelope.
pub fn store_key(team: &id::TeamId) -> String {
    format!("{STORE_KEY_PREFIX}{team}")
}

fn signed_bytes(
    team: &id::TeamId,
    version: u64,
    change: &ChangeId,
    text: &str,
    key: &keys::KeyId,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(text.len() + 256);
    keys::push_field(&mut buf, SIGNATURE_DOMAIN.as_bytes());
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

        fn ring(&self, until: Option<u64>) -> keys::VerifiedRing {
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
            Envelope::sign("bays".into(), version, ChangeId::random(), text, &self.key)
        }
    }

    #[test]
    fn a_signed_envelope_round_trips() {
        let team = Team::new();
        let envelope = team.envelope(7);
        let read = Envelope::decode(&envelope.encode().unwrap()).unwrap();
        assert_eq!(read, envelope);
        read.verify(&"bays".into(), &team.ring(None)).unwrap();
    }

    /// Settings that are unsigned or changed after signing would let an outsider steer callers.
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
                change: ChangeId::random(),
                ..signed.clone()
            },
        ];
        for envelope in changed {
            let err = envelope.verify(&at, &ring).unwrap_err();
            assert!(matches!(err, Error::BadSignature { .. }), "{err}");
        }
    }

    /// An envelope copied to another team's store key would replace that team's services.
    #[test]
    fn a_moved_envelope_is_refused() {
        let team = Team::new();
        let err = team
            .envelope(7)
            .verify(&"records".into(), &team.ring(None))
            .unwrap_err();
        assert!(matches!(err, Error::WrongTeam { .. }), "{err}");
    }

    /// An old envelope from a restored backup or a partitioned peer would undo an accepted change.
    #[test]
    fn an_older_version_is_refused() {
        let envelope = Team::new().envelope(7);
        let err = envelope.check_version(Some(8)).unwrap_err();
        assert!(matches!(err, Error::Stale { held: 8, .. }), "{err}");
        assert!(envelope.check_version(Some(7)).is_ok());
        assert!(envelope.check_version(None).is_ok());
    }

    /// A VM that starts after a key rotation reads settings signed by the retired key. If it
    /// refused them, it would serve nothing until the settings were applied again.
    #[test]
    fn versions_signed_before_a_key_retired_stay_valid() {
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
    fn a_too_large_envelope_is_refused_before_it_is_written() {
        let team = Team::new();
        let text = "\"".repeat(MAX_ENVELOPE_BYTES / 2 + 1);
        let envelope = Envelope::sign("bays".into(), 1, ChangeId::random(), text, &team.key);
        assert!(matches!(envelope.encode(), Err(Error::TooLarge { .. })));
        assert!(Envelope::decode(&vec![b' '; MAX_ENVELOPE_BYTES + 1]).is_err());
    }
}
