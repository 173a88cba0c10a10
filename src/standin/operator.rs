//! A stand-in operator that signs settings and writes them to the store.
//!
//! It follows the steps of `bulrushwind apply`: read the current version, sign a higher one, write
//! it by compare-and-swap, and read it back if the reply was lost.

use crate::coordination::store;
use crate::id;
use crate::settings::{envelope, keys};
use store::Store;

/// Number from which the root key derives. It is public, the same in every run and for tests only.
const ROOT_KEY_NUMBER: u8 = 1;

/// The root key of simulations and tests.
pub fn root() -> keys::SecretKey {
    secret_key(ROOT_KEY_NUMBER)
}

/// The team key with a given number, for simulations and tests.
pub fn team_key(number: u8) -> keys::SecretKey {
    secret_key(100 + number)
}

/// A key ring of key numbers, each with an optional version from which it is invalid, signed by
/// [`root`].
///
/// # Panics
///
/// If there are more keys than a ring can hold.
pub fn ring(team: &str, version: u64, keys: &[(u8, Option<u64>)]) -> keys::KeyRing {
    let keys = keys
        .iter()
        .map(|(number, until)| keys::TeamKey {
            holder: format!("operator-{number}"),
            public: team_key(*number).public(),
            until: *until,
        })
        .collect();
    keys::KeyRing::sign(team.into(), version, keys, &root())
        .expect("a key ring holds this many keys")
}

/// Writes a team's key ring over any existing one.
pub fn put_ring<S: Store>(platform: &S, ring: &keys::KeyRing) -> Result<(), store::Error> {
    put_value(platform, &keys::store_key(&ring.team), &ring.encode())
}

/// Writes a key ring with key 0 and settings signed by it. Returns the settings' version.
pub fn publish<S: Store>(
    platform: &S,
    team: &str,
    text: &str,
    now_ms: u64,
) -> Result<u64, store::Error> {
    put_ring(platform, &ring(team, 1, &[(0, None)]))?;
    apply(platform, team, text, 0, now_ms)
}

/// Signs and applies settings and returns their version. `now_ms` is Unix time in milliseconds.
pub fn apply<S: Store>(
    platform: &S,
    team: &str,
    text: &str,
    key: u8,
    now_ms: u64,
) -> Result<u64, store::Error> {
    let store_key = envelope::store_key(&team.into());
    let (expect, base_version) = read(platform, &store_key)?;
    apply_on(platform, team, text, key, (expect, base_version), now_ms)
}

/// Reads the revision and version of the settings in the store, or zeros if there are none.
pub fn read<S: Store>(
    platform: &S,
    store_key: &str,
) -> Result<(store::Revision, u64), store::Error> {
    let entry = platform.get(store_key)?;
    let base_version = entry
        .as_ref()
        .and_then(|e| envelope_version(&e.value))
        .unwrap_or(0);
    Ok((
        entry.map_or(store::Revision(0), |e| e.revision),
        base_version,
    ))
}

/// Applies settings on top of the revision and version from an earlier [`read`].
pub fn apply_on<S: Store>(
    platform: &S,
    team: &str,
    text: &str,
    key: u8,
    (expect, base_version): (store::Revision, u64),
    now_ms: u64,
) -> Result<u64, store::Error> {
    let team = id::TeamId::from(team);
    let version = (base_version + 1).max(now_ms);
    let change = format!("{team}-{version}-{key}");
    let envelope = envelope::Envelope::sign(
        team.clone(),
        version,
        change.as_str().into(),
        text.to_owned(),
        &team_key(key),
    );
    let bytes = envelope
        .encode()
        .expect("the settings fit into an envelope");
    let store_key = envelope::store_key(&team);
    match platform.compare_and_swap(&store_key, expect, &bytes, None) {
        Ok(_) => Ok(version),
        Err(store::Error::Unknown(why)) => {
            let written = platform.get(&store_key)?.is_some_and(|e| e.value == bytes);
            written.then_some(version).ok_or(store::Error::Unknown(why))
        }
        Err(err) => Err(err),
    }
}

fn put_value<S: Store>(platform: &S, key: &str, value: &[u8]) -> Result<(), store::Error> {
    let expect = platform
        .get(key)?
        .map_or(store::Revision(0), |e| e.revision);
    platform.compare_and_swap(key, expect, value, None)?;
    Ok(())
}

fn envelope_version(value: &[u8]) -> Option<u64> {
    envelope::Envelope::decode(value).ok().map(|e| e.version)
}

fn secret_key(number: u8) -> keys::SecretKey {
    let hex = format!("{number:02x}").repeat(32);
    keys::SecretKey::parse(&format!("bulrushwind-secret-key {hex}"))
        .expect("a secret key has 64 hex digits")
}
