//! Messages between entry processes, as CBOR.
//!
//! A fleet is upgraded VM by VM, so two versions always talk to each other for a while. A field
//! that a process does not know is skipped; a kind of message that it does not know is dropped
//! and counted as [`Error::Unknown`], and the link stays. What is no message at all, or larger
//! than [`MAX_BYTES`], is refused: one who notices sees `bulrushwind_peer_refused_total` grow.

use std::collections;
use std::sync;
use std::time;

use crate::coordination::store;
use crate::decisions::{grants, plan, quarantine};
use crate::id;

/// The largest message, in bytes: a store value of 1 MB and what goes around it.
pub const MAX_BYTES: usize = 1_250_000;

/// Bans that are taken from one message. A service that has more at once has another fault, and a
/// peer that sends more is not to fill our table.
pub const MAX_BANS: usize = 64;

/// How deep a message may nest. A peer that nests deeper would cost us our stack.
const MAX_DEPTH: usize = 24;

/// Why bytes are no message for us.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is larger than any message.
    #[error("a message of {0} bytes, over {MAX_BYTES}; send settings of one team at a time")]
    TooLarge(usize),
    /// It is not CBOR, or its fields do not fit.
    #[error("not a peer message: {0}; check that this peer runs a version of ours")]
    Malformed(String),
    /// A kind or value that only a newer version knows.
    #[error("a message of a newer version: {0}; upgrade this VM too")]
    Unknown(String),
}

data! {
    /// What one entry process tells another.
    #[non_exhaustive]
    pub enum Message {
        /// The sender, or the one it speaks for, runs and may be reader of its availability zone.
        Alive(Alive),
        /// Somebody stopped hearing from a reader.
        Accuse(Accuse),
        /// One signed value of the store under `settings/` or `keys/`.
        Signed(Signed),
        /// What the sender holds, in short.
        Digest(Digest),
        /// What the sender holds, key by key.
        Held(Vec<Held>),
        /// Keys whose values the sender asks for.
        Want(Vec<String>),
        /// The platform's list of VMs, as the reader of the availability zone last saw it.
        Vms(VmList),
        /// The sender asks for the list of VMs.
        WantVms,
        /// An entry process is about to stop as planned.
        Leaving(Leaving),
        /// What one entry VM has in hand, for the others of its availability zone.
        Work(Work),
        /// What an availability zone has in hand, for whoever computes the plan.
        Loads(Loads),
        /// A sender wants to send work across.
        AskGrant(AskGrant),
        /// Leave to send work across.
        Granted(Granted),
        /// The newest version of the steering plan that the sender knows.
        Plan(plan::Plan),
        /// Requests that crashed backend servers.
        Bans(Bans),
    }

    /// Requests of one service that are refused for a while because they crash backend servers.
    pub struct Bans {
        /// The service.
        pub service: id::ServiceId,
        /// What is banned, at most [`MAX_BANS`].
        pub entries: Vec<quarantine::Ban>,
    }

    /// What one entry VM has in hand.
    pub struct Work {
        /// A row a service.
        pub rows: Vec<WorkRow>,
    }

    /// What one entry VM has in hand of one service.
    pub struct WorkRow {
        /// The service.
        pub service: id::ServiceId,
        /// Slots of the backend servers that take work from it.
        pub slots: u32,
        /// Requests in hand, its own callers' and those under grants.
        pub in_hand: u32,
        /// Slots of these backend servers in use, on average over the last second.
        pub in_use: f64,
        /// Work that callers bring, answered or not, in slots, by the callers' region.
        pub demand: collections::BTreeMap<id::RegionId, f64>,
    }

    /// What an availability zone has in hand.
    pub struct Loads {
        /// The availability zone.
        pub az: id::AzId,
        /// The entry VM that added it up, and its process start.
        pub by: id::VmId,
        /// Which start of it.
        pub incarnation: id::Incarnation,
        /// Counts what it sent, so that each is passed on once.
        pub seq: u64,
        /// A row a service.
        pub rows: Vec<WorkRow>,
    }

    /// A wish for a grant.
    pub struct AskGrant {
        /// The service.
        pub service: id::ServiceId,
        /// Requests a second.
        pub per_s: f64,
        /// The asker's time, sent back with the answer.
        pub asked: time::Duration,
    }

    /// A grant.
    pub struct Granted {
        /// The grant.
        pub grant: grants::Grant,
        /// The asker's time when it asked.
        pub asked: time::Duration,
    }

    /// A heartbeat of one that contends for reader.
    #[derive(Eq)]
    pub struct Alive {
        /// Whose heartbeat.
        pub vm: id::VmId,
        /// Its process start.
        pub incarnation: id::Incarnation,
        /// How often it was accused with cause.
        pub counter: u64,
        /// How often it gave the role up of its own accord.
        pub phase: u64,
        /// Counts its heartbeats, so that each is passed on once.
        pub seq: u64,
        /// A hash of the list of VMs that it goes by.
        pub list: u64,
        /// Whether the store answered its last call.
        #[serde(default)]
        pub store_up: bool,
    }

    /// Word to a reader that its heartbeats did not arrive.
    #[derive(Eq)]
    pub struct Accuse {
        /// Who is accused.
        pub vm: id::VmId,
        /// The process start that was heard last.
        pub incarnation: id::Incarnation,
        /// The phase that was heard last.
        pub phase: u64,
    }

    /// A signed value, byte for byte as it stands in the store, so that a process of an older
    /// version can pass on fields that it does not know without breaking the signature.
    #[derive(Eq)]
    pub struct Signed {
        /// The key in the store.
        pub key: String,
        /// The value, JSON.
        pub text: sync::Arc<str>,
    }

    /// All that a process holds, as one number.
    #[derive(Copy, Eq)]
    pub struct Digest {
        /// How many keys.
        pub keys: u64,
        /// A hash over keys, versions and texts.
        pub hash: u64,
    }

    /// The version of one key.
    #[derive(Eq)]
    pub struct Held {
        /// The key in the store.
        pub key: String,
        /// Its version.
        pub version: u64,
        /// A hash of its text.
        pub hash: u64,
    }

    /// The platform's list of VMs.
    pub struct VmList {
        /// The reader that read it.
        pub reader: id::VmId,
        /// The rows.
        pub rows: Vec<store::Vm>,
    }

    /// Word of an entry process that stops.
    #[derive(Eq)]
    pub struct Leaving {
        /// Its VM.
        pub vm: id::VmId,
        /// Its process start. A later one of the same VM is not leaving.
        pub incarnation: id::Incarnation,
    }
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("writing to memory does not fail");
    buf
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
    if bytes.len() > MAX_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|err| refusal(&err))?;
    if !rest.is_empty() {
        return Err(Error::Malformed(format!("{} bytes too many", rest.len())));
    }
    Ok(message)
}

fn refusal(err: &ciborium::de::Error<std::io::Error>) -> Error {
    let text = err.to_string();
    if text.contains("unknown variant") {
        Error::Unknown(text)
    } else {
        Error::Malformed(text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    use proptest::prelude::*;
    use proptest::test_runner;

    fn fixed(cases: u32) -> ProptestConfig {
        ProptestConfig {
            cases,
            failure_persistence: None,
            rng_seed: test_runner::RngSeed::Fixed(5),
            ..ProptestConfig::default()
        }
    }

    fn alive() -> Message {
        Message::Alive(Alive {
            vm: "entry-1".into(),
            incarnation: id::Incarnation(7),
            counter: 2,
            phase: 3,
            seq: 4,
            list: 5,
            store_up: true,
        })
    }

    #[test]
    fn a_message_comes_back_as_it_was_sent() {
        for message in [
            alive(),
            Message::Want(vec!["settings/a".to_owned()]),
            Message::Signed(Signed {
                key: "settings/a".to_owned(),
                text: "{}".into(),
            }),
        ] {
            assert_eq!(decode(&encode(&message)).unwrap(), message);
        }
    }

    /// Half of the fleet runs a newer version, which sends a field and a kind of message that the
    /// older half does not know. If the older half dropped the links for that, an upgrade would
    /// cut the fleet in two.
    #[test]
    fn a_newer_version_is_understood_as_far_as_it_goes() {
        let mut value = ciborium::Value::serialized(&alive()).unwrap();
        let fields = value.as_map_mut().unwrap()[0].1.as_map_mut().unwrap();
        fields.push(("mood".into(), 5.into()));
        assert_eq!(decode(&to_bytes(&value)).unwrap(), alive());

        let newer = ciborium::Value::Map(vec![("Weather".into(), 5.into())]);
        assert!(matches!(decode(&to_bytes(&newer)), Err(Error::Unknown(_))));
    }

    /// A broken or hostile peer sends what is no message. A process that panicked on it, or kept
    /// all it was sent, would take its callers down with it.
    #[test]
    fn what_is_no_message_is_refused() {
        let deep = vec![0x81; 10_000];
        assert!(matches!(decode(&deep), Err(Error::Malformed(_))));
        let large = vec![0; MAX_BYTES + 1];
        assert!(matches!(decode(&large), Err(Error::TooLarge(_))));
        let mut trailing = encode(&alive());
        trailing.push(0);
        assert!(matches!(decode(&trailing), Err(Error::Malformed(_))));
        // A list that claims to hold 2^62 rows.
        let claim = [
            &[0xa1, 0x64][..],
            b"Want",
            &[0x9b, 0x40, 0, 0, 0, 0, 0, 0, 0],
        ]
        .concat();
        assert!(matches!(decode(&claim), Err(Error::Malformed(_))));
    }

    fn to_bytes(value: &ciborium::Value) -> Vec<u8> {
        let mut buf = Vec::new();
        ciborium::into_writer(value, &mut buf).unwrap();
        buf
    }

    proptest! {
        #![proptest_config(fixed(2_000))]

        #[test]
        fn random_bytes_do_no_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = decode(&bytes);
            let _ = crate::protocol::hello::decode::<crate::protocol::hello::Hello>(&bytes);
            let _ = crate::protocol::hello::decode::<crate::protocol::hello::Proof>(&bytes);
        }

        #[test]
        fn a_damaged_message_does_no_harm(at in 0_usize..60, byte in any::<u8>(), cut in 0_usize..60) {
            let mut bytes = encode(&alive());
            let len = bytes.len();
            bytes[at % len] = byte;
            bytes.truncate(len - cut % len);
            let _ = decode(&bytes);
        }
    }
}
