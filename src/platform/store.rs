//! Client for the platform's key-value store: range reads, watches, leases and writes over HTTP.

use std::net;
use std::time;

use bytes::Bytes;
use futures_util::future;
use serde::de;

use crate::coordination::list_ranges;
use crate::metrics as metric_names;
use crate::protocol::{mirror, target};
use crate::transport::{socket, upstream};

/// Timeout for connecting.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Timeout for the response head and for each piece of the body. The store responds in a few
/// milliseconds, and in 0.12 s from the farthest region; a response fifty times slower is still useful.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// Timeout for a response body. The longest value takes two seconds over a shared 10 Mbit/s link;
/// with a shorter timeout every retry would fail as well, and the value would never be read.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Maximum number of keys that one call may write.
pub const MAX_PUTS_PER_CALL: usize = 32;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No response; a write may have taken effect or may do so later.
    #[error("no response from the store; check that it is running and reachable from this VM")]
    NoAnswer,
    /// The store refused the call without any effect. Holds the HTTP status.
    #[error("the store refused with {0}; it is overloaded or turns this VM away")]
    Refused(u16),
    /// A precondition failed, or the lease does not exist. Holds the HTTP status.
    #[error(
        "the store responded with status {0}: a precondition failed or the lease does not exist"
    )]
    Condition(u16),
    /// The store no longer has the changes after the requested revision.
    #[error("the store no longer has the requested history; read all records again")]
    Gap,
    /// The store returned from an older copy between two parts of a read.
    #[error("the store returned from an older copy during the read; read all records again")]
    Restored,
    /// A page of a list ends with a key that is not after the one that it was asked to begin after.
    #[error("the store's list does not go on after the key {0:?}; remove that key")]
    Repeated(String),
    /// The response cannot be parsed.
    #[error("cannot parse the store's response: {0}")]
    Json(#[from] serde_json::Error),
    /// A value cannot be encoded for the store.
    #[error(transparent)]
    Value(#[from] super::decode::Error),
}

/// A value in base64. Another type says that a different program wrote it.
#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Value {
    Base64(String),
    Other(de::IgnoredAny),
}

impl Value {
    /// The bytes. Invalid base64 yields an empty value, which no decoder accepts. An error here would
    /// discard all other items of the response, in every call, for as long as one value is invalid.
    fn into_bytes(self) -> Bytes {
        let decoded = match self {
            Self::Base64(text) => data_encoding::BASE64.decode(text.as_bytes()),
            Self::Other(_) => return Bytes::new(),
        };
        decoded.unwrap_or_default().into()
    }
}

/// A key with its value, or a tombstone for a removed key.
#[derive(serde::Deserialize)]
struct Item {
    key: String,
    value: Option<Value>,
    #[serde(default)]
    tombstone: bool,
}

impl Item {
    fn into_record(self) -> mirror::Record {
        let value = self.value.filter(|_| !self.tombstone);
        mirror::Record {
            key: self.key,
            value: value.map(Value::into_bytes),
        }
    }
}

#[derive(serde::Deserialize)]
struct Page {
    items: Vec<Item>,
    #[serde(default)]
    truncated: bool,
    #[serde(default)]
    store_revision: u64,
}

#[derive(serde::Deserialize)]
struct Events {
    events: Vec<Item>,
    store_revision: u64,
}

#[derive(serde::Deserialize)]
struct Lease {
    lease: u64,
}

#[derive(serde::Serialize)]
struct Ttl {
    /// Duration in seconds.
    ttl_s_time: f64,
}

#[derive(serde::Serialize)]
struct Put<'a> {
    key: &'a str,
    value: String,
    lease: u64,
}

#[derive(serde::Serialize)]
struct Condition<'a> {
    key: &'a str,
    rev: u64,
}

#[derive(Default, serde::Serialize)]
struct Txn<'a> {
    precondition: Vec<Condition<'a>>,
    put_items: Vec<Put<'a>>,
    remove: Vec<&'a str>,
}

/// The revision that a response states, and the epoch if it states a readable one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The epoch.
    pub epoch: Option<u64>,
    /// The revision.
    pub revision: u64,
}

impl Stamp {
    /// The older of two parts of one read. Fails if the store was restored between them.
    pub fn older(self, other: Self) -> Result<Self, Error> {
        if let (Some(epoch), Some(other)) = (self.epoch, other.epoch)
            && epoch != other
        {
            return Err(Error::Restored);
        }
        Ok(Self {
            epoch: self.epoch.or(other.epoch),
            revision: self.revision.min(other.revision),
        })
    }
}

/// A range read of one prefix.
#[derive(Clone, Copy)]
struct Range<'a> {
    prefix: &'a str,
    /// Whether the store may answer from a view that is some seconds old.
    stale: bool,
}

/// A connection to the store, which carries one call at a time.
#[derive(Debug)]
pub struct Client {
    addr: net::SocketAddr,
    wire: Option<socket::Wire>,
    epoch: mirror::StatedEpoch,
}

impl Client {
    /// Creates a client that connects on its first call.
    pub fn new(addr: net::SocketAddr) -> Self {
        Self {
            addr,
            wire: None,
            epoch: mirror::StatedEpoch::default(),
        }
    }

    /// What the last response said of the store's epoch.
    pub fn epoch(&self) -> &mirror::StatedEpoch {
        &self.epoch
    }

    /// Connects ahead of the next call. If this fails, the next call tries again and reports the error.
    pub async fn connect(&mut self) {
        if self.wire.is_none() {
            self.wire = socket::Wire::connect(self.addr, CONNECT_TIMEOUT).await.ok();
        }
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.wire = None;
    }

    /// Reads all items under a prefix and returns them with the revision to watch from. With
    /// `stale` they may be some seconds old, at a tenth of the cost; a watch returns later changes.
    pub async fn range(
        &mut self,
        prefix: &str,
        stale: bool,
    ) -> Result<(Vec<mirror::Record>, Stamp), Error> {
        let range = Range { prefix, stale };
        let (mut records, mut stamp, more) = self.page(range, "").await?;
        if !more {
            return Ok((records, stamp));
        }
        let keys: Vec<&str> = records.iter().map(|r| r.key.as_str()).collect();
        let last = keys[keys.len() - 1].to_owned();
        let range_starts = list_ranges::range_starts(prefix, &keys);
        let mut ends = range_starts.iter().skip(1).map(String::as_str);
        let addr = self.addr;
        let others = range_starts.iter().map(|after| {
            let until = ends.next();
            async move { Client::new(addr).remaining_pages(range, after, until).await }
        });
        let others = future::try_join_all(others);
        let first = self.remaining_pages(range, &last, range_starts.first().map(String::as_str));
        let (first, others) = tokio::try_join!(first, others)?;
        for (part, part_stamp) in std::iter::once(first).chain(others) {
            records.extend(part);
            // The pages are no consistent snapshot. A watch from the oldest page's revision returns
            // all changes since then.
            stamp = stamp.older(part_stamp)?;
        }
        Ok((records, stamp))
    }

    /// Reads the items with keys after `after`, up to and including `until`. Returns them with the
    /// oldest stamp of their pages.
    async fn remaining_pages(
        &mut self,
        range: Range<'_>,
        after: &str,
        until: Option<&str>,
    ) -> Result<(Vec<mirror::Record>, Stamp), Error> {
        let past_end = |key: &str| until.is_some_and(|until| key > until);
        let mut records: Vec<mirror::Record> = Vec::new();
        let mut oldest: Option<Stamp> = None;
        loop {
            let from = records.last().map_or(after, |last| last.key.as_str());
            let (page, stamp, more) = self.page(range, from).await?;
            let stamp = match oldest {
                Some(oldest) => oldest.older(stamp)?,
                None => stamp,
            };
            oldest = Some(stamp);
            let ends = page.last().is_none_or(|last| past_end(&last.key));
            records.extend(page.into_iter().filter(|record| !past_end(&record.key)));
            if !more || ends {
                return Ok((records, stamp));
            }
        }
    }

    /// Reads the page after the key `after`: its items, its stamp, and whether more pages follow.
    async fn page(
        &mut self,
        range: Range<'_>,
        after: &str,
    ) -> Result<(Vec<mirror::Record>, Stamp, bool), Error> {
        let mut target = target::Target::new("/kv-range").parameter("prefix", range.prefix);
        if !after.is_empty() {
            target = target.parameter("after", after);
        }
        if range.stale {
            target = target.parameter("stale_ok", 1);
        }
        let page: Page = self.read(&target, RESPONSE_TIMEOUT).await?;
        let more = page.truncated && !page.items.is_empty();
        if more && page.items.iter().all(|item| item.key.as_str() <= after) {
            // The next page would be the same again.
            return Err(Error::Repeated(after.to_owned()));
        }
        let records = page.items.into_iter().map(Item::into_record);
        Ok((records.collect(), self.stamp(page.store_revision), more))
    }

    /// The stamp of the response that has just been read.
    fn stamp(&self, revision: u64) -> Stamp {
        let epoch = match self.epoch {
            mirror::StatedEpoch::Known(epoch) => Some(epoch),
            mirror::StatedEpoch::Missing | mirror::StatedEpoch::Unreadable(_) => None,
        };
        Stamp { epoch, revision }
    }

    /// Waits up to `wait` for changes under a prefix after a revision; returns them and the new stamp.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: u64,
        wait: time::Duration,
    ) -> Result<(Vec<mirror::Record>, Stamp), Error> {
        let ms = wait.as_millis();
        let target = target::Target::new("/kv-watch")
            .parameter("prefix", prefix)
            .parameter("after", after)
            .parameter("wait_ms", ms);
        let events: Events = self.read(&target, wait + RESPONSE_TIMEOUT).await?;
        let records = events.events.into_iter().map(Item::into_record).collect();
        Ok((records, self.stamp(events.store_revision)))
    }

    /// Creates a lease and returns its id.
    pub async fn lease(&mut self, ttl: time::Duration) -> Result<u64, Error> {
        let body = serde_json::to_vec(&Ttl {
            ttl_s_time: ttl.as_secs_f64(),
        })?;
        let target = target::Target::new("/kv-lease");
        let response = self.call("POST", &target, &body, RESPONSE_TIMEOUT).await?;
        let lease: Lease = serde_json::from_slice(&response)?;
        Ok(lease.lease)
    }

    /// Renews a lease.
    pub async fn renew(&mut self, lease: u64) -> Result<(), Error> {
        let target = target::Target::new("/kv-keep").segment(&lease.to_string());
        self.call("POST", &target, b"", RESPONSE_TIMEOUT)
            .await
            .map(drop)
    }

    /// Revokes a lease, which removes its keys.
    pub async fn end_lease(&mut self, lease: u64) -> Result<(), Error> {
        let target = target::Target::new("/kv-lease-end").segment(&lease.to_string());
        self.call("DELETE", &target, b"", RESPONSE_TIMEOUT)
            .await
            .map(drop)
    }

    /// Writes a key that is attached to a lease.
    pub async fn put(&mut self, key: &str, value: &[u8], lease: u64) -> Result<(), Error> {
        self.put_all(&[key.to_owned()], value, lease).await
    }

    /// Writes one value under up to [`MAX_PUTS_PER_CALL`] keys that are attached to a lease.
    pub async fn put_all(
        &mut self,
        keys: &[String],
        value: &[u8],
        lease: u64,
    ) -> Result<(), Error> {
        let puts = keys.iter().map(|key| Put {
            key,
            value: data_encoding::BASE64.encode(value),
            lease,
        });
        let txn = Txn {
            put_items: puts.collect(),
            ..Txn::default()
        };
        let body = serde_json::to_vec(&txn)?;
        let target = target::Target::new("/kv-txn");
        self.call("POST", &target, &body, RESPONSE_TIMEOUT)
            .await
            .map(drop)
    }

    async fn read<T: de::DeserializeOwned>(
        &mut self,
        target: &target::Target,
        limit: time::Duration,
    ) -> Result<T, Error> {
        let response = self.call("GET", target, b"", limit).await?;
        Ok(serde_json::from_slice(&response)?)
    }

    async fn call(
        &mut self,
        method: &str,
        target: &target::Target,
        body: &[u8],
        limit: time::Duration,
    ) -> Result<Bytes, Error> {
        let target = target.as_str();
        let response = self.exchange(method, target, body, limit).await;
        count_call(target, response.as_ref().map(|(status, _)| *status));
        let Some((status, response_body)) = response else {
            // After a missing response the connection cannot be reused.
            self.wire = None;
            return Err(Error::NoAnswer);
        };
        match status {
            200..300 => Ok(response_body),
            410 => Err(Error::Gap),
            404 | 412 => Err(Error::Condition(status)),
            _ => Err(Error::Refused(status)),
        }
    }

    /// Sends one call and reads its status and body; `None` if no response arrives in time.
    async fn exchange(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        limit: time::Duration,
    ) -> Option<(u16, Bytes)> {
        let response = tokio::time::timeout(limit, self.send(method, target, body)).await;
        let (mut wire, received) = response.ok()??;
        let stated = received.head.fields.get(super::names::STORE_EPOCH);
        self.epoch = mirror::StatedEpoch::parse(stated);
        let body = upstream::read_body(&mut wire, received.head.framing, RESPONSE_TIMEOUT);
        let response_body = tokio::time::timeout(BODY_TIMEOUT, body).await.ok()??;
        if received.reusable {
            self.wire = Some(wire);
        }
        Some((received.head.status, response_body))
    }

    /// Sends a call and waits for the response head.
    async fn send(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Option<(socket::Wire, upstream::Received)> {
        let idle = self.wire.take().and_then(socket::Wire::into_idle);
        let mut wire = match idle {
            Some(wire) => wire,
            None => socket::Wire::connect(self.addr, CONNECT_TIMEOUT)
                .await
                .ok()?,
        };
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        );
        let mut payload = upstream::Payload::Whole(Bytes::copy_from_slice(body));
        let tag = upstream::Tag {
            field: super::names::FIELDS.id,
            id: b"",
            to_head: false,
        };
        let received = upstream::exchange(&mut wire, head.as_bytes(), &mut payload, tag)
            .await
            .ok()?;
        Some((wire, received))
    }
}

/// Counts a call by the first segment of its path and by its outcome.
fn count_call(target: &str, status: Option<u16>) {
    let call = target.split(['/', '?']).nth(1).unwrap_or_default();
    let outcome = match status {
        Some(200..300) => "answered",
        Some(429 | 503) => "unavailable",
        Some(_) => "refused",
        None => "lost",
    };
    metrics::counter!(metric_names::STORE_CALLS, "call" => call.to_owned(), "outcome" => outcome)
        .increment(1);
}
