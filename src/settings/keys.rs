//! Signing keys and the ring of keys that may sign a team's settings.
//!
//! A team's [`KeyRing`] is stored under `keys/<team>` and signed by a root key. The public root
//! keys are in each entry VM's own configuration, so neither the store nor a peer can substitute
//! its own. Only a [`VerifiedRing`] is used, which can be created only by verification.
//!
//! [`TeamKey::until`], the first settings version that a key may no longer sign, expresses rotation
//! and revocation. Earlier versions stay valid, so that a new VM can verify settings that have not
//! changed since a rotation. A stolen key gets `until = 0`, which invalidates all its signatures;
//! the team first signs its settings again with `bulrushwind apply`. Versions follow the clock, so
//! the current time serves as `until` and no list of signed versions is needed. An entry VM never
//! reverts settings that it accepted, even if their key is revoked later.

use std::collections;
use std::fmt;
use std::str;

use data_encoding::HEXLOWER;
use ed25519_dalek::Signer;
use sha2::Digest;

use crate::id;

/// Prefix of the key rings' store keys.
pub const STORE_KEY_PREFIX: &str = "keys/";

/// Largest number of keys per team. Every VM reads the entire ring.
pub const MAX_KEYS: usize = 64;

/// Largest encoded ring.
const MAX_RING_BYTES: usize = 32 * 1024;

/// Domain separator: keeps a ring's signature from being valid for another kind of data.
const RING_SIGNATURE_DOMAIN: &str = "bulrushwind key ring 1";

/// First word of a secret key file; distinguishes it from a public key.
const SECRET_KEY_PREFIX: &str = "bulrushwind-secret-key";

name! {
    /// A key's id: the first 8 bytes of the public key's SHA-256 hash, in hex.
    KeyId;
}

/// Why a key, ring or signature is rejected.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The text does not parse as a key.
    #[error("not a {what} key; give 64 hex digits as `bulrushwind keygen` prints them")]
    Malformed {
        /// Kind of key: public or secret.
        what: &'static str,
    },
    /// The bytes do not decode to a key ring.
    #[error("the key ring cannot be read: {0}; write it again with `bulrushwind keys`")]
    Undecodable(String),
    /// The ring names a different team than its store key.
    #[error("the key ring of team `{of}` is stored under team `{at}`; write it under its own team")]
    WrongTeam {
        /// The team in the ring.
        of: id::TeamId,
        /// The team in the store key.
        at: id::TeamId,
    },
    /// The ring is not signed by a configured root key.
    #[error(
        "team `{team}`'s key ring is not signed by a known root key; sign it with a root key whose public half is in `root_keys`"
    )]
    UnknownRoot {
        /// The team.
        team: id::TeamId,
    },
    /// The signature does not match the ring.
    #[error(
        "team `{team}`'s key ring was changed after it was signed; write it again with `bulrushwind keys`"
    )]
    BadSignature {
        /// The team.
        team: id::TeamId,
    },
    /// A newer ring is already in force.
    #[error(
        "team `{team}`'s key ring is version {offered} and version {held} is in force; write one with a higher version"
    )]
    Stale {
        /// The team.
        team: id::TeamId,
        /// The version in force.
        held: u64,
        /// The rejected version.
        offered: u64,
    },
    /// The ring has more than [`MAX_KEYS`] keys.
    #[error("a team has at most {MAX_KEYS} keys; remove revoked keys")]
    TooManyKeys,
}

data! {
    /// An Ed25519 public key.
    #[derive(Copy, Eq)]
    #[serde(try_from = "String", into = "String")]
    pub struct PublicKey([u8; 32]);

    /// An Ed25519 signature.
    #[derive(Copy, Eq)]
    #[serde(try_from = "String", into = "String")]
    pub struct Signature([u8; 64]);

    /// A key that may sign a team's settings.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct TeamKey {
        /// Name of the secret key's holder, shown in logs and conflict messages.
        pub holder: String,
        /// The public key.
        pub public: PublicKey,
        /// First version of the team's settings that the key may no longer sign. Absent: no limit.
        /// 0: all its signatures are invalid, also those made before.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub until: Option<u64>,
    }

    /// The keys that may sign a team's settings, as stored.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct KeyRing {
        /// The team.
        pub team: id::TeamId,
        /// Version of the ring; each change increases it.
        pub version: u64,
        /// The keys.
        pub keys: Vec<TeamKey>,
        /// Id of the root key that signed the ring.
        pub root: KeyId,
        /// Root key's signature over the fields above.
        pub signature: Signature,
    }
}

/// A key ring whose signature has been verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifiedRing(KeyRing);

/// An Ed25519 secret key. `Debug` prints only its id.
#[derive(Clone)]
pub struct SecretKey(ed25519_dalek::SigningKey);

impl SecretKey {
    /// Generates a random key.
    pub fn generate() -> Self {
        Self(ed25519_dalek::SigningKey::from_bytes(&rand::random()))
    }

    /// Parses the text of a secret key file.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let hex = text
            .trim()
            .strip_prefix(SECRET_KEY_PREFIX)
            .unwrap_or_default();
        let seed = decode_hex(hex.trim()).ok_or(Error::Malformed { what: "secret" })?;
        Ok(Self(ed25519_dalek::SigningKey::from_bytes(&seed)))
    }

    /// Formats the key as the text of a secret key file.
    pub fn to_text(&self) -> String {
        format!(
            "{SECRET_KEY_PREFIX} {}\n",
            HEXLOWER.encode(self.0.as_bytes())
        )
    }

    /// The public key.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Signs `bytes`.
    pub fn sign(&self, bytes: &[u8]) -> Signature {
        Signature(self.0.sign(bytes).to_bytes())
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretKey({})", self.public().id())
    }
}

impl PublicKey {
    /// The key's id.
    pub fn id(&self) -> KeyId {
        let hash = sha2::Sha256::digest(self.0);
        HEXLOWER.encode(&hash[..8]).as_str().into()
    }

    /// Whether `signature` is this key's signature over `bytes`.
    pub fn verifies(&self, bytes: &[u8], signature: &Signature) -> bool {
        let signature = ed25519_dalek::Signature::from_bytes(&signature.0);
        ed25519_dalek::VerifyingKey::from_bytes(&self.0)
            .is_ok_and(|key| key.verify_strict(bytes, &signature).is_ok())
    }
}

impl str::FromStr for PublicKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bytes = decode_hex(text).ok_or(Error::Malformed { what: "public" })?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for PublicKey {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<PublicKey> for String {
    fn from(key: PublicKey) -> Self {
        HEXLOWER.encode(&key.0)
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&HEXLOWER.encode(&self.0))
    }
}

impl TryFrom<String> for Signature {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        let bytes = decode_hex(&text).ok_or(Error::Undecodable("not a signature".to_owned()))?;
        Ok(Self(bytes))
    }
}

impl From<Signature> for String {
    fn from(signature: Signature) -> Self {
        HEXLOWER.encode(&signature.0)
    }
}

impl KeyRing {
    /// Builds a ring and signs it with a root key. Fails if it has more than [`MAX_KEYS`] keys.
    pub fn sign(
        team: id::TeamId,
        version: u64,
        keys: Vec<TeamKey>,
        root: &SecretKey,
    ) -> Result<Self, Error> {
        if keys.len() > MAX_KEYS {
            return Err(Error::TooManyKeys);
        }
        let root_id = root.public().id();
        let signature = root.sign(&signed_bytes(&team, version, &keys, &root_id));
        Ok(Self {
            team,
            version,
            keys,
            root: root_id,
            signature,
        })
    }

    /// Decodes a stored ring. Its signature is not checked; see [`KeyRing::verify`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_RING_BYTES {
            return Err(Error::TooManyKeys);
        }
        serde_json::from_slice(bytes).map_err(|err| Error::Undecodable(err.to_string()))
    }

    /// Encodes the ring for the store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a key ring has only values that JSON can hold")
    }

    /// Checks that the ring belongs to team `at`, that a root key signed it and that it is not
    /// older than version `held`.
    pub fn verify(
        self,
        at: &id::TeamId,
        roots: &[PublicKey],
        held: Option<u64>,
    ) -> Result<VerifiedRing, Error> {
        if self.team != *at {
            let (of, at) = (self.team, at.clone());
            return Err(Error::WrongTeam { of, at });
        }
        let Some(root) = roots.iter().find(|root| root.id() == self.root) else {
            return Err(Error::UnknownRoot { team: self.team });
        };
        let bytes = signed_bytes(&self.team, self.version, &self.keys, &self.root);
        if !root.verifies(&bytes, &self.signature) {
            return Err(Error::BadSignature { team: self.team });
        }
        if let Some(held) = held.filter(|held| *held > self.version) {
            return Err(Error::Stale {
                team: self.team,
                held,
                offered: self.version,
            });
        }
        Ok(VerifiedRing(self))
    }
}

impl VerifiedRing {
    /// The verified ring.
    pub fn ring(&self) -> &KeyRing {
        &self.0
    }

    /// The key with this id, including retired keys.
    pub fn key(&self, id: &KeyId) -> Option<&TeamKey> {
        self.0.keys.iter().find(|key| key.public.id() == *id)
    }

    /// Verifies all rings in a snapshot. Returns the valid rings by team, and the errors.
    pub fn verify_all<'a>(
        entries: impl Iterator<Item = (&'a str, &'a [u8])>,
        roots: &[PublicKey],
    ) -> (collections::BTreeMap<id::TeamId, Self>, Vec<Error>) {
        let (mut rings, mut errors) = (collections::BTreeMap::new(), Vec::new());
        for (key, value) in entries {
            let Some(team) = key.strip_prefix(STORE_KEY_PREFIX) else {
                continue;
            };
            let team = id::TeamId::from(team);
            match KeyRing::decode(value).and_then(|ring| ring.verify(&team, roots, None)) {
                Ok(ring) => drop(rings.insert(team, ring)),
                Err(err) => errors.push(err),
            }
        }
        (rings, errors)
    }
}

/// Store key of a team's ring.
pub fn store_key(team: &id::TeamId) -> String {
    format!("{STORE_KEY_PREFIX}{team}")
}

/// Appends a length-prefixed field, so that different lists of fields never give the same bytes.
pub(super) fn push_field(buf: &mut Vec<u8>, field: &[u8]) {
    buf.extend((field.len() as u64).to_be_bytes());
    buf.extend(field);
}

fn signed_bytes(team: &id::TeamId, version: u64, keys: &[TeamKey], root: &KeyId) -> Vec<u8> {
    let mut buf = Vec::new();
    push_field(&mut buf, RING_SIGNATURE_DOMAIN.as_bytes());
    push_field(&mut buf, team.as_str().as_bytes());
    push_field(&mut buf, &version.to_be_bytes());
    push_field(&mut buf, root.as_str().as_bytes());
    for key in keys {
        push_field(&mut buf, key.holder.as_bytes());
        push_field(&mut buf, &key.public.0);
        let until = key.until.map(u64::to_be_bytes);
        push_field(&mut buf, until.as_ref().map_or(&[], <[u8; 8]>::as_slice));
    }
    buf
}

fn decode_hex<const N: usize>(hex: &str) -> Option<[u8; N]> {
    HEXLOWER.decode(hex.as_bytes()).ok()?.try_into().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ring(root: &SecretKey, version: u64) -> KeyRing {
        let key = TeamKey {
            holder: "otgon".to_owned(),
            public: SecretKey::generate().public(),
            until: None,
        };
        KeyRing::sign("bays".into(), version, vec![key], root).unwrap()
    }

    #[test]
    fn a_ring_round_trips_and_verifies_for_its_team() {
        let root = SecretKey::generate();
        let ring = ring(&root, 1);
        let read = KeyRing::decode(&ring.encode()).unwrap();
        let trusted = read.verify(&"bays".into(), &[root.public()], None).unwrap();
        assert_eq!(*trusted.ring(), ring);
    }

    /// An attacker with write access to the store, but without a root key, stores a ring with their
    /// own key and could then change the team's settings.
    #[test]
    fn rings_without_a_valid_root_signature_are_refused() {
        let (root, stranger) = (SecretKey::generate(), SecretKey::generate());
        let at = id::TeamId::from("bays");
        let err = ring(&stranger, 1).verify(&at, &[root.public()], None);
        assert!(matches!(err, Err(Error::UnknownRoot { .. })), "{err:?}");

        let mut forged = ring(&root, 1);
        forged.keys[0].public = stranger.public();
        let err = forged.verify(&at, &[root.public()], None);
        assert!(matches!(err, Err(Error::BadSignature { .. })), "{err:?}");

        let err = ring(&root, 1).verify(&"records".into(), &[root.public()], None);
        assert!(matches!(err, Err(Error::WrongTeam { .. })), "{err:?}");
    }

    /// An old ring, written again after a revocation, would let the revoked key sign settings.
    #[test]
    fn an_older_ring_is_refused() {
        let root = SecretKey::generate();
        let at = id::TeamId::from("bays");
        let err = ring(&root, 4).verify(&at, &[root.public()], Some(5));
        assert!(matches!(err, Err(Error::Stale { held: 5, .. })), "{err:?}");
        assert!(
            ring(&root, 5)
                .verify(&at, &[root.public()], Some(5))
                .is_ok()
        );
    }

    #[test]
    fn a_secret_key_round_trips_and_is_not_printed() {
        let key = SecretKey::generate();
        let read = SecretKey::parse(&key.to_text()).unwrap();
        assert_eq!(read.public(), key.public());
        let secret = key.to_text();
        let hex = secret.trim().rsplit(' ').next().unwrap();
        assert!(!format!("{key:?}").contains(hex));
        assert!(SecretKey::parse(&key.public().to_string()).is_err());
    }
}
