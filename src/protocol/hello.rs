//! Mutual authentication of two entry processes of the same fleet.
//!
//! Without it, any process that reaches the peer port could announce headroom that does not exist
//! or claim to be the reader of an availability zone. Each side sends a [`Hello`] with a nonce, then
//! a [`Proof`]: a signature over both hellos. The nonce prevents the replay of a recorded proof, and
//! the two signed names prevent its use towards a third process.
//!
//! All VMs of a fleet share the same secret, because a VM can be replaced at any time and has no
//! persistent disk for a key of its own. Several secrets can be accepted at a time; the first one
//! signs. A new secret is first rolled out as an accepted one and then as the signing one. The proof
//! authenticates only its connection; the messages that follow are not encrypted.

use ed25519_dalek::Signer;

use crate::id;

/// The version of the peer protocol that this process implements.
pub const VERSION: u16 = 1;

/// Maximum length of a hello or a proof, in bytes.
pub const MAX_BYTES: usize = 2048;

/// Domain separation from other signatures made with the same key.
const HELLO_CONTEXT: &[u8] = b"bulrushwind peer hello 1";

/// Length of a nonce, of a secret and of half a signature.
const KEY_BYTES: usize = 32;

/// Why a peer was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The message is not a hello.
    #[error("not a hello of the peer protocol: {0}; check which process connects to the peer port")]
    Malformed(String),
    /// The proof is invalid.
    #[error("peer `{0}` sent an invalid proof; configure one of this fleet's `peer_secrets` on it")]
    Forged(id::VmId),
    /// The peer has the same VM name as this process.
    #[error("the peer uses the same VM name `{0}`; give each VM a unique `vm` name")]
    SameName(id::VmId),
    /// A secret is not 64 hexadecimal digits.
    #[error("a peer secret is not 64 hexadecimal digits; generate one from 32 random bytes")]
    Secret,
    /// No secret is configured.
    #[error("no peer secret is configured; add one to `peer_secrets` on every VM")]
    NoSecret,
}

data! {
    /// The first message on a connection, from each side.
    pub struct Hello {
        /// The version of the protocol.
        pub version: u16,
        /// The VM of the sender.
        pub vm: id::VmId,
        /// Its availability zone.
        pub az: id::AzId,
        /// The incarnation of its process.
        pub incarnation: id::Incarnation,
        /// Random bytes, new for each connection.
        pub nonce: [u8; KEY_BYTES],
    }

    /// The second message on a connection, from each side.
    pub struct Proof {
        /// The first half of the signature.
        pub r: [u8; KEY_BYTES],
        /// The second half.
        pub s: [u8; KEY_BYTES],
    }
}

/// The shared secrets of a fleet.
#[derive(Clone)]
pub struct Secrets {
    keys: Vec<ed25519_dalek::SigningKey>,
}

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Secrets({})", self.keys.len())
    }
}

impl Secrets {
    /// Parses secrets of 64 hexadecimal digits each. The first one signs. Fails if there is none.
    pub fn parse<T: AsRef<str>>(secrets: &[T]) -> Result<Self, Error> {
        if secrets.is_empty() {
            return Err(Error::NoSecret);
        }
        let keys = secrets
            .iter()
            .map(|text| parse_secret(text.as_ref()).ok_or(Error::Secret))
            .collect::<Result<_, _>>()?;
        Ok(Self { keys })
    }

    /// Proves to the sender of `theirs` that the sender of `ours` knows a secret.
    pub fn prove(&self, ours: &Hello, theirs: &Hello) -> Proof {
        let bytes = self.keys[0].sign(&signed_message(ours, theirs)).to_bytes();
        let mut proof = Proof {
            r: [0; KEY_BYTES],
            s: [0; KEY_BYTES],
        };
        proof.r.copy_from_slice(&bytes[..KEY_BYTES]);
        proof.s.copy_from_slice(&bytes[KEY_BYTES..]);
        proof
    }

    /// Verifies the proof that the sender of `theirs` gave in answer to `ours`.
    pub fn check(&self, ours: &Hello, theirs: &Hello, proof: &Proof) -> Result<(), Error> {
        if ours.vm == theirs.vm {
            return Err(Error::SameName(theirs.vm.clone()));
        }
        let signature = ed25519_dalek::Signature::from_components(proof.r, proof.s);
        let message = signed_message(theirs, ours);
        let known = self.keys.iter().any(|key| {
            key.verifying_key()
                .verify_strict(&message, &signature)
                .is_ok()
        });
        known.then_some(()).ok_or(Error::Forged(theirs.vm.clone()))
    }
}

/// Encodes a hello or a proof.
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("writing to memory does not fail");
    buf
}

/// Decodes a hello or a proof of at most [`MAX_BYTES`].
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > MAX_BYTES {
        return Err(Error::Malformed(format!("{} bytes", bytes.len())));
    }
    ciborium::from_reader(bytes).map_err(|err| Error::Malformed(err.to_string()))
}

fn signed_message(signer: &Hello, reader: &Hello) -> Vec<u8> {
    let mut message = HELLO_CONTEXT.to_vec();
    message.extend(encode(signer));
    message.extend(encode(reader));
    message
}

fn parse_secret(text: &str) -> Option<ed25519_dalek::SigningKey> {
    let mut bytes = [0; KEY_BYTES];
    if text.len() != 2 * KEY_BYTES || !text.is_ascii() {
        return None;
    }
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(ed25519_dalek::SigningKey::from_bytes(&bytes))
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: &str = "0101010101010101010101010101010101010101010101010101010101010101";
    const NEW: &str = "0202020202020202020202020202020202020202020202020202020202020202";

    fn hello(vm: &str, nonce: u8) -> Hello {
        Hello {
            version: VERSION,
            vm: vm.into(),
            az: "az".into(),
            incarnation: id::Incarnation(1),
            nonce: [nonce; KEY_BYTES],
        }
    }

    /// An attacker replays a recorded proof or holds another fleet's secret. If accepted, it could
    /// announce headroom that no region has, and requests would be sent to a full region.
    #[test]
    fn a_forged_or_repeated_proof_is_refused() {
        let (a, b) = (hello("a", 1), hello("b", 2));
        let ours = Secrets::parse(&[OLD]).unwrap();
        let other = Secrets::parse(&[NEW]).unwrap();
        let proof = ours.prove(&a, &b);
        assert!(ours.check(&b, &a, &proof).is_ok());
        assert!(ours.check(&hello("b", 3), &a, &proof).is_err());
        assert!(ours.check(&hello("c", 2), &a, &proof).is_err());
        assert!(ours.check(&a, &b, &proof).is_err());
        assert!(ours.check(&b, &a, &other.prove(&a, &b)).is_err());
        assert!(matches!(
            ours.check(&a, &a, &proof),
            Err(Error::SameName(_))
        ));
    }

    /// A fleet rolls over to a new secret VM by VM. VMs that sign with the new secret must still
    /// connect to VMs that sign with the old one.
    #[test]
    fn a_secret_is_rolled_over_without_disconnects() {
        let (a, b) = (hello("a", 1), hello("b", 2));
        let before = Secrets::parse(&[OLD, NEW]).unwrap();
        let after = Secrets::parse(&[NEW, OLD]).unwrap();
        assert!(before.check(&b, &a, &after.prove(&a, &b)).is_ok());
        assert!(after.check(&a, &b, &before.prove(&b, &a)).is_ok());
    }

    #[test]
    fn invalid_secrets_are_rejected() {
        assert!(matches!(Secrets::parse(&["xyz"]), Err(Error::Secret)));
        assert!(matches!(Secrets::parse::<&str>(&[]), Err(Error::NoSecret)));
    }
}
