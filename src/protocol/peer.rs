//! Messages between entry processes, as CBOR.
//!
//! A fleet is upgraded VM by VM, so two versions exchange messages during an upgrade. The decoder
//! ignores unknown fields. A message of unknown type is dropped and counted as [`Error::Unknown`],
//! and the link stays open. Malformed messages and messages larger than [`MAX_BYTES`] are refused
//! and counted in `bulrushwind_peer_refused_total`.

use std::collections;
use std::sync;
use std::time;

use crate::coordination::store;
use crate::decisions::{grants, plan, quarantine};
use crate::id;

/// Maximum length of a message, in bytes: a store value of 1 MB plus its framing.
pub const MAX_BYTES: usize = 1_250_000;

/// Maximum number of bans accepted from one message, so that a peer cannot fill the table. A service
/// that needs more bans at once has a different fault.
pub const MAX_BANS: usize = 64;

/// Maximum nesting depth of a message. Deeper nesting could overflow the stack.
const MAX_NESTING_DEPTH: usize = 24;

/// Why a message is rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is longer than [`MAX_BYTES`].
    #[error("message of {0} bytes exceeds {MAX_BYTES}; send settings of one team at a time")]
    TooLarge(usize),
    /// It is not CBOR, or its fields do not match.
    #[error("malformed peer message: {0}; check which software version this peer runs")]
    Malformed(String),
    /// A message type or value that only a newer version supports.
    #[error("message of a newer version: {0}; upgrade this VM too")]
    Unknown(String),
}

data! {
    /// A message from one entry process to another.
    #[non_exhaustive]
    pub enum Message {
        /// Heartbeat of a candidate for reader of an availability zone, possibly relayed by the sender.
        Alive(Alive),
        /// The sender no longer receives heartbeats of a reader.
        Accuse(Accuse),
        /// A signed store value under `settings/` or `keys/`.
        Signed(Signed),
        /// Digest of the signed values that the sender holds.
        Digest(Digest),
        /// Version and hash of each signed value that the sender holds.
        Held(Vec<Held>),
        /// Keys whose values the sender requests.
        Want(Vec<String>),
        /// The platform's list of VMs, as last read by the reader of the availability zone.
        Vms(VmList),
        /// Request for the list of VMs.
        WantVms,
        /// An entry process is about to stop.
        Leaving(Leaving),
        /// Load of one entry VM, for the others of its availability zone.
        Work(Work),
        /// Load of an availability zone, for the VM that computes the steering plan.
        Loads(Loads),
        /// Request for a grant to forward requests to another availability zone.
        AskGrant(AskGrant),
        /// A grant to forward requests to another availability zone.
        Granted(Granted),
        /// The newest steering plan that the sender holds.
        Plan(plan::Plan),
        /// Bans of requests that crashed backend servers.
        Bans(Bans),
    }

    /// Requests of one service that are temporarily refused because they crash backend servers.
    pub struct Bans {
        /// The service of the banned requests.
        pub service: id::ServiceId,
        /// The bans, at most [`MAX_BANS`].
        pub entries: Vec<quarantine::Ban>,
    }

    /// Load of one entry VM.
    pub struct Work {
        /// One row per service.
        pub rows: Vec<WorkRow>,
    }

    /// Load of one service on one entry VM.
    pub struct WorkRow {
        /// The service that the row describes.
        pub service: id::ServiceId,
        /// Slots of the backend servers that accept requests from it.
        pub slots: u32,
        /// Requests in flight or queued, both from its own callers and under grants.
        pub in_hand: u32,
        /// Average number of slots of these backend servers in use over the last second.
        pub in_use: f64,
        /// Demand of callers, answered or not, in slots, by the callers' region.
        pub demand: collections::BTreeMap<id::RegionId, f64>,
    }

    /// Load of an availability zone.
    pub struct Loads {
        /// The availability zone that reports its load.
        pub az: id::AzId,
        /// The entry VM that computed the sums.
        pub by: id::VmId,
        /// Incarnation of that entry VM.
        pub incarnation: id::Incarnation,
        /// Sequence number, so that each message is forwarded only once.
        pub seq: u64,
        /// One row per service.
        pub rows: Vec<WorkRow>,
    }

    /// A request for a grant.
    pub struct AskGrant {
        /// The service whose requests need the grant.
        pub service: id::ServiceId,
        /// Requested rate, in requests per second.
        pub per_s: f64,
        /// Time at the requester, echoed in the answer.
        pub asked: time::Duration,
    }

    /// A grant.
    pub struct Granted {
        /// The grant.
        pub grant: grants::Grant,
        /// The time that the request contained.
        pub asked: time::Duration,
    }

    /// Heartbeat of a candidate for reader.
    #[derive(Eq)]
    pub struct Alive {
        /// The candidate.
        pub vm: id::VmId,
        /// Its incarnation.
        pub incarnation: id::Incarnation,
        /// Number of accusations against it that it accepted.
        pub counter: u64,
        /// Number of times it gave up the role voluntarily.
        pub phase: u64,
        /// Sequence number of the heartbeat, so that each is forwarded only once.
        pub seq: u64,
        /// Hash of the list of VMs that it uses.
        pub list: u64,
        /// Whether the store answered its last call.
        #[serde(default)]
        pub store_up: bool,
    }

    /// Notifies a reader that its heartbeats did not arrive.
    #[derive(Eq)]
    pub struct Accuse {
        /// The accused reader.
        pub vm: id::VmId,
        /// Incarnation in the last heartbeat received.
        pub incarnation: id::Incarnation,
        /// Phase in the last heartbeat received.
        pub phase: u64,
    }

    /// A signed value, byte for byte as in the store, so that a process of an older version can
    /// forward fields that it does not support without invalidating the signature.
    #[derive(Eq)]
    pub struct Signed {
        /// The key in the store.
        pub key: String,
        /// The value, as JSON.
        pub text: sync::Arc<str>,
    }

    /// Summary of all signed values that a process holds.
    #[derive(Copy, Eq)]
    pub struct Digest {
        /// Number of keys.
        pub keys: u64,
        /// Hash over keys, versions and texts.
        pub hash: u64,
    }

    /// Version of the value of one key.
    #[derive(Eq)]
    pub struct Held {
        /// The key in the store.
        pub key: String,
        /// The version of the value.
        pub version: u64,
        /// Hash of the value's text.
        pub hash: u64,
    }

    /// The platform's list of VMs.
    pub struct VmList {
        /// The reader that read the list from the platform.
        pub reader: id::VmId,
        /// All listed VMs.
        pub rows: Vec<store::Vm>,
    }

    /// Announces that an entry process is stopping.
    #[derive(Eq)]
    pub struct Leaving {
        /// The VM of the process.
        pub vm: id::VmId,
        /// The incarnation of the process. A later incarnation of the same VM is not leaving.
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
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_NESTING_DEPTH)
        .map_err(|err| classify_error(&err))?;
    if !rest.is_empty() {
        return Err(Error::Malformed(format!("{} bytes too many", rest.len())));
    }
    Ok(message)
}

fn classify_error(err: &ciborium::de::Error<std::io::Error>) -> Error {
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

    fn fixed_seed_config(cases: u32) -> ProptestConfig {
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
    fn a_message_round_trips() {
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

    /// During an upgrade, half of the fleet sends a field and a message type that the other half does
    /// not support. If the older half closed these links, the upgrade would partition the fleet.
    #[test]
    fn unknown_fields_are_ignored_and_unknown_messages_reported() {
        let mut value = ciborium::Value::serialized(&alive()).unwrap();
        let fields = value.as_map_mut().unwrap()[0].1.as_map_mut().unwrap();
        fields.push(("mood".into(), 5.into()));
        assert_eq!(decode(&to_bytes(&value)).unwrap(), alive());

        let newer = ciborium::Value::Map(vec![("Weather".into(), 5.into())]);
        assert!(matches!(decode(&to_bytes(&newer)), Err(Error::Unknown(_))));
    }

    /// A faulty or malicious peer sends malformed or oversized messages. They must neither crash the
    /// process nor exhaust its memory.
    #[test]
    fn malformed_messages_are_refused() {
        let deep = vec![0x81; 10_000];
        assert!(matches!(decode(&deep), Err(Error::Malformed(_))));
        let large = vec![0; MAX_BYTES + 1];
        assert!(matches!(decode(&large), Err(Error::TooLarge(_))));
        let mut trailing = encode(&alive());
        trailing.push(0);
        assert!(matches!(decode(&trailing), Err(Error::Malformed(_))));
        // A list with a declared length of 2^62.
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
        #![proptest_config(fixed_seed_config(2_000))]

        #[test]
        fn random_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = decode(&bytes);
            let _ = crate::protocol::hello::decode::<crate::protocol::hello::Hello>(&bytes);
            let _ = crate::protocol::hello::decode::<crate::protocol::hello::Proof>(&bytes);
        }

        #[test]
        fn a_damaged_message_does_not_panic(at in 0_usize..60, byte in any::<u8>(), cut in 0_usize..60) {
            let mut bytes = encode(&alive());
            let len = bytes.len();
            bytes[at % len] = byte;
            bytes.truncate(len - cut % len);
            let _ = decode(&bytes);
        }
    }
}
