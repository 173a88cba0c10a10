//! How two entry processes prove to each other that they belong to the same fleet.
//!
//! Without a proof anybody who reaches the peers' port could hand out headroom that is not there
//! or name itself reader of an availability zone. Each side sends a [`Hello`] with a nonce, then
//! a [`Proof`]: a signature over both hellos. The nonce keeps an overheard proof from being used
//! again, and both names under the signature keep it from being shown to a third process.
//!
//! All VMs of a fleet hold the same secret, because they are replaced at any time and keep no
//! disk for a key of their own. Several secrets may be accepted at a time: the first signs, so
//! that a new one is rolled out as an accepted one first and as the signing one afterwards. The
//! proof holds for the connection it was given on; it does not encrypt what follows.

use ed25519_dalek::Signer;

use crate::id;

/// The version of the peer protocol that this process speaks.
pub const VERSION: u16 = 1;

/// The largest hello or proof, in bytes.
pub const MAX_BYTES: usize = 2048;

/// Sets our signatures apart from others made with the same key.
const CONTEXT: &[u8] = b"bulrushwind peer hello 1";

/// Bytes in a nonce, in a secret and in half a signature.
const KEY_BYTES: usize = 32;

/// Why a peer was not let in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// What came is no hello.
    #[error("not a hello of the peer protocol: {0}; check what connects to the peers' port")]
    Malformed(String),
    /// The proof does not hold.
    #[error("`{0}` did not prove that it belongs here; give it one of this fleet's `peer_secrets`")]
    Forged(id::VmId),
    /// The other side has our own name.
    #[error("another process names itself `{0}` as well; give each VM its own `vm` name")]
    SameName(id::VmId),
    /// A secret is not 64 hexadecimal digits.
    #[error("a peer secret is not 64 hexadecimal digits; make one with 32 random bytes")]
    Secret,
    /// No secret was given.
    #[error("no peer secret is set; put one into `peer_secrets` of every VM")]
    NoSecret,
}

data! {
    /// The first message on a connection, from each side.
    pub struct Hello {
        /// The version of the protocol.
        pub version: u16,
        /// Who speaks.
        pub vm: id::VmId,
        /// Its availability zone.
        pub az: id::AzId,
        /// Which start of its process.
        pub incarnation: id::Incarnation,
        /// Random, new for each connection.
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

/// The secrets that a fleet shares.
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
    /// Reads secrets of 64 hexadecimal digits each. The first one signs.
    pub fn parse<T: AsRef<str>>(secrets: &[T]) -> Result<Self, Error> {
        if secrets.is_empty() {
            return Err(Error::NoSecret);
        }
        let keys = secrets
            .iter()
            .map(|text| secret(text.as_ref()).ok_or(Error::Secret))
            .collect::<Result<_, _>>()?;
        Ok(Self { keys })
    }

    /// Proves to the sender of `theirs` that the sender of `ours` knows a secret.
    pub fn prove(&self, ours: &Hello, theirs: &Hello) -> Proof {
        let bytes = self.keys[0].sign(&signed(ours, theirs)).to_bytes();
        let mut proof = Proof {
            r: [0; KEY_BYTES],
            s: [0; KEY_BYTES],
        };
        proof.r.copy_from_slice(&bytes[..KEY_BYTES]);
        proof.s.copy_from_slice(&bytes[KEY_BYTES..]);
        proof
    }

    /// Checks the proof that came with `theirs` in answer to `ours`.
    pub fn check(&self, ours: &Hello, theirs: &Hello, proof: &Proof) -> Result<(), Error> {
        if ours.vm == theirs.vm {
            return Err(Error::SameName(theirs.vm.clone()));
        }
        let signature = ed25519_dalek::Signature::from_components(proof.r, proof.s);
        let message = signed(theirs, ours);
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

fn signed(signer: &Hello, reader: &Hello) -> Vec<u8> {
    let mut message = CONTEXT.to_vec();
    message.extend(encode(signer));
    message.extend(encode(reader));
    message
}

fn secret(text: &str) -> Option<ed25519_dalek::SigningKey> {
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

    /// Somebody overhears a proof, or has another fleet's secret, and connects. Let in, it could
    /// hand out headroom that no region has, and callers would land in a full region.
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

    /// A fleet moves to a new secret VM by VM. A VM that already signs with the new one must not
    /// be cut off from those that still sign with the old one.
    #[test]
    fn a_secret_is_rolled_over_without_a_cut() {
        let (a, b) = (hello("a", 1), hello("b", 2));
        let before = Secrets::parse(&[OLD, NEW]).unwrap();
        let after = Secrets::parse(&[NEW, OLD]).unwrap();
        assert!(before.check(&b, &a, &after.prove(&a, &b)).is_ok());
        assert!(after.check(&a, &b, &before.prove(&b, &a)).is_ok());
    }

    #[test]
    fn a_bad_secret_is_refused_with_its_remedy() {
        assert!(matches!(Secrets::parse(&["xyz"]), Err(Error::Secret)));
        assert!(matches!(Secrets::parse::<&str>(&[]), Err(Error::NoSecret)));
    }
}
