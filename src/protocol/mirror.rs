//! Messages with which an entry VM that reads the platform's store forwards its contents to
//! followers, so that not every VM reads the store.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{read, write};

/// What a response says of the store's epoch, which grows when the store returns from an older copy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StatedEpoch {
    /// Nothing.
    #[default]
    Missing,
    /// This epoch.
    Known(u64),
    /// A value that is no epoch.
    Unreadable(String),
}

impl StatedEpoch {
    /// Parses the value of the field that states it.
    pub fn parse(value: Option<&[u8]>) -> Self {
        let Some(value) = value else {
            return Self::Missing;
        };
        let text = String::from_utf8_lossy(value);
        match text.trim().parse() {
            Ok(epoch) => Self::Known(epoch),
            Err(_) => Self::Unreadable(text.into_owned()),
        }
    }
}

data! {
    /// A key of the store with its value, which this module does not interpret.
    pub struct Record {
        /// The key.
        pub key: String,
        /// The value; `None` if the key was removed.
        pub value: Option<Bytes>,
    }

    /// A point in the history of the store's records.
    #[derive(Copy, Default, Eq)]
    pub struct Position {
        /// The epoch of the history, which grows when the store returns from an older copy. 0: the
        /// store does not state one.
        pub epoch: u64,
        /// The revision within the epoch; 0: before all records.
        pub revision: u64,
    }

    /// The first message on a link, sent by the follower.
    #[derive(Default)]
    pub struct FollowRequest {
        /// Whether only records read directly from the store are acceptable. A VM that starts
        /// during a store outage accepts any copy.
        pub fresh: bool,
        /// How long the follower can wait for the snapshot, in milliseconds.
        #[serde(default)]
        pub wait_ms: u64,
        /// The store revision that the follower already has; 0 if it has none.
        #[serde(default)]
        pub since: u64,
        /// The store's epoch to which that revision belongs.
        #[serde(default)]
        pub epoch: u64,
    }

    /// The answer to a follower.
    pub enum Message {
        /// A snapshot of all records.
        #[serde(rename = "Whole")]
        Snapshot {
            /// The records.
            records: Vec<Record>,
            /// The store's revision that they show.
            revision: u64,
            /// The store's epoch to which the revision belongs.
            #[serde(default)]
            epoch: u64,
            /// Differences to a restored store that are not in force yet.
            #[serde(default, skip_serializing_if = "Vec::is_empty")]
            unconfirmed: Vec<Record>,
        },
        /// A delta since the last message. The sender forwards each answer of the store, also an
        /// empty one, so that followers know that it still reads the store.
        #[serde(rename = "Changes")]
        Delta {
            /// The records.
            records: Vec<Record>,
            /// The store's revision that they show.
            revision: u64,
            /// The store's epoch to which the revision belongs. A new one means that the records
            /// lead from the last message to the store's restored contents.
            #[serde(default)]
            epoch: u64,
            /// Differences to a restored store that are not in force yet, new since the last message.
            #[serde(default, skip_serializing_if = "Vec::is_empty")]
            unconfirmed: Vec<Record>,
        },
        /// The VM does not read the store.
        NotReading,
    }
}

/// A message that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("invalid message of an entry VM: {0}; run the same version on all entry VMs")]
pub struct Error(String);

/// Messages longer than this are compressed. Most messages are shorter, and compressing them costs
/// more than it saves.
const COMPRESSION_THRESHOLD_BYTES: usize = 4 << 10;

/// Maximum length of a decompressed message. It covers the store's longest values and a thousand
/// times the present number of backend servers.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;

/// First byte of an uncompressed message.
const FORMAT_PLAIN: u8 = 0;

/// First byte of a message compressed with deflate.
const FORMAT_DEFLATE: u8 = 1;

/// Encodes a message and compresses it if it is long, to save time on slow links.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let mut buf = vec![FORMAT_PLAIN];
    ciborium::into_writer(message, &mut buf).map_err(|err| Error(err.to_string()))?;
    match buf.len() > COMPRESSION_THRESHOLD_BYTES {
        true => compress(&buf[1..]),
        false => Ok(buf),
    }
}

fn compress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut encoder = write::DeflateEncoder::new(vec![FORMAT_DEFLATE], flate2::Compression::fast());
    encoder
        .write_all(bytes)
        .and_then(|()| encoder.finish())
        .map_err(|err| Error(err.to_string()))
}

/// Decodes a message.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (format, rest) = bytes
        .split_first()
        .ok_or_else(|| Error("it is empty".into()))?;
    match *format {
        FORMAT_PLAIN => ciborium::from_reader(rest).map_err(|err| Error(err.to_string())),
        FORMAT_DEFLATE => {
            let decompressed =
                io::BufReader::new(read::DeflateDecoder::new(rest).take(MAX_DECOMPRESSED_BYTES));
            ciborium::from_reader(decompressed).map_err(|err| Error(err.to_string()))
        }
        format => Err(Error(format!("unknown format {format}"))),
    }
}
