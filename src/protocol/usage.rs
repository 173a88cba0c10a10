//! Reports of admitted requests per customer that entry VMs exchange in single datagrams.
//!
//! A datagram may be lost, duplicated or delayed. Each row is therefore complete for its customer,
//! and the sequence number shows which of two reports is later.

use crate::id;

/// Maximum length of a datagram; at this length no link fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Maximum number of customers in one datagram. A row takes up to 25 bytes, and the fields before
/// the rows take up to 100 bytes plus the VM's name.
pub const MAX_ROWS: usize = 40;

/// Maximum number of rows of shares in one datagram. A row takes up to 29 bytes.
pub const MAX_SHARE_ROWS: usize = 32;

/// Headers of IP and UDP of a datagram.
pub const PACKET_BYTES: usize = 28;

/// A row encoded without field names, which would take up most of its length.
type Packed = (u64, u32, u32, u32);

/// A row of shares, encoded likewise.
type PackedShare = (u64, u64, u32, u32);

data! {
    /// Requests of one customer that one VM admitted.
    #[serde(from = "Packed", into = "Packed")]
    pub struct Row {
        /// Hash of the customer's name.
        pub customer: u64,
        /// Requests admitted in the window that ends with the report.
        pub used: u32,
        /// Requests admitted per second since the previous report.
        pub pace: u32,
        /// Requests in the last fifth of the window, admitted or refused.
        pub asked: u32,
    }

    /// Requests of one customer in the last second for a service that is short of capacity.
    #[serde(from = "PackedShare", into = "PackedShare")]
    pub struct Share {
        /// Hash of the service and of the region in which the requests run.
        pub pool: u64,
        /// Hash of the customer's name; 0 for the sum of all customers that the VM does not list, which
        /// earlier versions skip as unknown.
        pub customer: u64,
        /// Requests that got capacity.
        pub got: u32,
        /// Requests that asked for it.
        pub asked: u32,
    }

    /// A report, sent as one datagram.
    pub struct Usage {
        /// The reporting VM.
        pub vm: id::VmId,
        /// Start time of its process. A report with a later (start, number) replaces an earlier one.
        pub start: u64,
        /// Sequence number within the process.
        pub number: u64,
        /// The reported customers.
        pub rows: Vec<Row>,
        /// Whether the VM admitted no requests of customers that are not listed.
        pub whole: bool,
        /// Demand for services that are short of capacity; versions without fair shares neither send
        /// nor read it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub shares: Vec<Share>,
        /// Milliseconds since the start of the process when the report was sent; 0 if it has no
        /// shares to age.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub sent_ms: u64,
        /// How long the shares count, in milliseconds; 0 for 1,500, which earlier versions assume.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub lifetime_ms: u32,
        /// Bytes per second of datagrams with shares that the VM takes from each other VM; 0 if it
        /// does not say.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub share_rate: u32,
        /// Milliseconds after which the process admits nothing more, if it is in a planned stop.
        /// Earlier versions skip it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub ends_in_ms: Option<u32>,
    }
}

fn is_zero<T: Default + PartialEq>(n: &T) -> bool {
    *n == T::default()
}

impl From<PackedShare> for Share {
    fn from((pool, customer, got, asked): PackedShare) -> Self {
        Self {
            pool,
            customer,
            got,
            asked,
        }
    }
}

impl From<Share> for PackedShare {
    fn from(share: Share) -> Self {
        (share.pool, share.customer, share.got, share.asked)
    }
}

impl From<Packed> for Row {
    fn from((customer, used, pace, asked): Packed) -> Self {
        Self {
            customer,
            used,
            pace,
            asked,
        }
    }
}

impl From<Row> for Packed {
    fn from(row: Row) -> Self {
        (row.customer, row.used, row.pace, row.asked)
    }
}

/// A datagram that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("invalid usage report of an entry VM: {0}; run the same version on all entry VMs")]
pub struct Error(String);

/// Encodes a report.
pub fn encode(usage: &Usage) -> Result<Vec<u8>, Error> {
    let mut buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    ciborium::into_writer(usage, &mut buf).map_err(|err| Error(err.to_string()))?;
    Ok(buf)
}

/// Maximum length of a datagram with shares of a VM, less its rows, with the headers of its packet.
pub fn share_header_bytes(vm: &id::VmId) -> usize {
    let usage = Usage {
        vm: vm.clone(),
        start: u64::MAX,
        number: u32::MAX.into(),
        rows: Vec::new(),
        whole: false,
        shares: Vec::new(),
        sent_ms: u32::MAX.into(),
        lifetime_ms: u16::MAX.into(),
        share_rate: u16::MAX.into(),
        ends_in_ms: None,
    };
    /// The name of the field and the length of its list.
    const SHARES_BYTES: usize = "shares".len() + 1 + 2;
    encode(&usage).map_or(MAX_DATAGRAM_BYTES, |bytes| {
        bytes.len() + SHARES_BYTES + PACKET_BYTES
    })
}

/// Decodes a report. Fails if it is malformed or has too many rows.
pub fn decode(bytes: &[u8]) -> Result<Usage, Error> {
    let usage: Usage = ciborium::from_reader(bytes).map_err(|err| Error(err.to_string()))?;
    let (rows, shares) = (usage.rows.len(), usage.shares.len());
    match rows <= MAX_ROWS && shares <= MAX_SHARE_ROWS {
        true => Ok(usage),
        false => Err(Error(format!(
            "it has {rows} rows and {shares} rows of shares"
        ))),
    }
}
