//! What entry VMs tell one another of the platform's store, so that one of them reads it for the
//! others.

use bytes::Bytes;

data! {
    /// A key of the store with its value. What the value means is not known here.
    pub struct Record {
        /// The key.
        pub key: String,
        /// The value; `None` where the key was removed.
        pub value: Option<Bytes>,
    }

    /// The first message on a link, from the one who wants to know.
    pub struct Ask {
        /// Whether only what comes straight from the store will do. A VM that starts while the
        /// store is away takes what there is.
        pub fresh: bool,
    }

    /// What the other one answers.
    pub enum Message {
        /// All that it knows.
        Whole {
            /// The records.
            records: Vec<Record>,
            /// The store's revision that they show.
            revision: u64,
        },
        /// What has changed since the last message. It comes with each answer of the store, also
        /// where nothing has changed, and so says that the reader reads.
        Changes {
            /// The records.
            records: Vec<Record>,
            /// The store's revision that they show.
            revision: u64,
        },
        /// It does not read the store.
        NotReading,
    }
}

/// Why a message cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("a message of an entry VM cannot be read: {0}; run the same version on all entry VMs")]
pub struct Error(String);

/// Encodes a message.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|err| Error(err.to_string()))?;
    Ok(buf)
}

/// Decodes a message.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|err| Error(err.to_string()))
}
