//! Calls to the platform's store.

use std::net;
use std::time;

use bytes::{Bytes, BytesMut};
use futures_util::future;
use serde::de;

use crate::coordination::list_ranges;
use crate::metrics as known;
use crate::protocol::{http1, mirror};
use crate::transport::{socket, upstream};

/// How long connecting may take.
const CONNECT: time::Duration = time::Duration::from_millis(500);

/// How long the store may be silent in a call. It answers in a few milliseconds, and from the
/// farthest region after 0.12 s; a slow one takes fifty times as long and still helps.
const CALL: time::Duration = time::Duration::from_millis(1000);

/// How long an answer may take that has begun to arrive. The longest value is 1.4 MB as text; a
/// link of 10 Mbit/s that others use as well carries it in two seconds. Given up on after one, it
/// would be asked for again and never be had.
const ARRIVE: time::Duration = time::Duration::from_secs(4);

/// Keys that one call may write.
pub const MOST_PUTS: usize = 32;

/// Why a call did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer came; a write may have been done or may be done later.
    #[error("the store did not answer; check that it runs and that this VM reaches it")]
    NoAnswer,
    /// The store refused and did nothing.
    #[error("the store refused with {0}; it is overloaded or turns this VM away")]
    Refused(u16),
    /// A condition did not hold, or what was named does not exist.
    #[error("the store answered {0}: the condition does not hold or there is no such thing")]
    Condition(u16),
    /// The history asked for is gone.
    #[error("the store no longer has this history; read everything again")]
    Gap,
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// A value of our own cannot be written.
    #[error(transparent)]
    Value(#[from] super::decode::Error),
}

/// A key with its value, or with the mark that it was removed.
#[derive(serde::Deserialize)]
struct Item {
    key: String,
    /// In base64.
    value: Option<String>,
    #[serde(default)]
    tombstone: bool,
}

impl Item {
    /// A value that is not base64 stands for one without any bytes, which nothing can be read
    /// from. Failing here would lose the other news of the same answer, again at each call, for as
    /// long as one value is bad.
    fn record(self) -> mirror::Record {
        let decode = |text: String| data_encoding::BASE64.decode(text.as_bytes());
        let value = self.value.filter(|_| !self.tombstone);
        mirror::Record {
            key: self.key,
            value: value.map(|text| decode(text).unwrap_or_default().into()),
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
    /// Seconds, although the name speaks of a time.
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

/// A list of items.
#[derive(Clone, Copy)]
struct List<'a> {
    /// What their keys begin with.
    prefix: &'a str,
    /// Whether a view that may be old will do.
    stale: bool,
}

/// A connection to the store. One call at a time.
#[derive(Debug)]
pub struct Client {
    addr: net::SocketAddr,
    wire: Option<socket::Wire>,
}

impl Client {
    /// A client that connects with its first call.
    pub fn new(addr: net::SocketAddr) -> Self {
        Self { addr, wire: None }
    }

    /// Connects, so that the next call need not. A failure shows in that call.
    pub async fn connect(&mut self) {
        if self.wire.is_none() {
            self.wire = socket::Wire::connect(self.addr, CONNECT).await.ok();
        }
    }

    /// Gives up the connection.
    pub fn close(&mut self) {
        self.wire = None;
    }

    /// All items under a prefix, and the revision from which to watch. A view that may be some
    /// seconds old costs a tenth; its revision is as old, so a watch from it brings the rest.
    pub async fn range(
        &mut self,
        prefix: &str,
        stale: bool,
    ) -> Result<(Vec<mirror::Record>, u64), Error> {
        let list = List { prefix, stale };
        let (mut records, mut revision, more) = self.page(list, "").await?;
        if !more {
            return Ok((records, revision));
        }
        let keys: Vec<&str> = records.iter().map(|r| r.key.as_str()).collect();
        let last = keys[keys.len() - 1].to_owned();
        let range_starts = list_ranges::range_starts(prefix, &keys);
        let mut ends = range_starts.iter().skip(1).map(String::as_str);
        let addr = self.addr;
        let others = range_starts.iter().map(|after| {
            let until = ends.next();
            async move { Client::new(addr).rest(list, after, until).await }
        });
        let others = future::try_join_all(others);
        let first = self.rest(list, &last, range_starts.first().map(String::as_str));
        let (first, others) = tokio::try_join!(first, others)?;
        for (part, seen) in std::iter::once(first).chain(others) {
            records.extend(part);
            // Pages are not a snapshot: what changed since the oldest shows in a watch from its
            // revision.
            revision = revision.min(seen);
        }
        Ok((records, revision))
    }

    /// The items of a list behind a key, up to and including another, and the oldest revision of their
    /// pages.
    async fn rest(
        &mut self,
        list: List<'_>,
        after: &str,
        until: Option<&str>,
    ) -> Result<(Vec<mirror::Record>, u64), Error> {
        let beyond = |key: &str| until.is_some_and(|until| key > until);
        let mut records: Vec<mirror::Record> = Vec::new();
        let mut oldest = u64::MAX;
        loop {
            let from = records.last().map_or(after, |last| last.key.as_str());
            let (page, revision, more) = self.page(list, from).await?;
            oldest = oldest.min(revision);
            let ends = page.last().is_none_or(|last| beyond(&last.key));
            records.extend(page.into_iter().filter(|record| !beyond(&record.key)));
            if !more || ends {
                return Ok((records, oldest));
            }
        }
    }

    /// One page of a list, behind a key: its items, its revision, and whether there are more.
    async fn page(
        &mut self,
        list: List<'_>,
        after: &str,
    ) -> Result<(Vec<mirror::Record>, u64, bool), Error> {
        let prefix = list.prefix;
        let after = match after {
            "" => String::new(),
            key => format!("&after={key}"),
        };
        let stale = match list.stale {
            true => "&stale_ok=1",
            false => "",
        };
        let target = format!("/kv-range?prefix={prefix}{after}{stale}");
        let page: Page = self.read(&target, CALL).await?;
        let more = page.truncated && !page.items.is_empty();
        let records = page.items.into_iter().map(Item::record);
        Ok((records.collect(), page.store_revision, more))
    }

    /// What changed under a prefix after a revision, waiting at most so long for it.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: u64,
        wait: time::Duration,
    ) -> Result<(Vec<mirror::Record>, u64), Error> {
        let ms = wait.as_millis();
        let target = format!("/kv-watch?prefix={prefix}&after={after}&wait_ms={ms}");
        let events: Events = self.read(&target, wait + CALL).await?;
        let records = events.events.into_iter().map(Item::record).collect();
        Ok((records, events.store_revision))
    }

    /// Takes a lease.
    pub async fn lease(&mut self, ttl: time::Duration) -> Result<u64, Error> {
        let body = serde_json::to_vec(&Ttl {
            ttl_s_time: ttl.as_secs_f64(),
        })?;
        let answer = self.call("POST", "/kv-lease", &body, CALL).await?;
        let lease: Lease = serde_json::from_slice(&answer)?;
        Ok(lease.lease)
    }

    /// Renews a lease.
    pub async fn renew(&mut self, lease: u64) -> Result<(), Error> {
        let target = format!("/kv-keep/{lease}");
        self.call("POST", &target, b"", CALL).await.map(drop)
    }

    /// Ends a lease and removes its keys.
    pub async fn end_lease(&mut self, lease: u64) -> Result<(), Error> {
        let target = format!("/kv-lease-end/{lease}");
        self.call("DELETE", &target, b"", CALL).await.map(drop)
    }

    /// Writes a key that goes with a lease.
    pub async fn put(&mut self, key: &str, value: &[u8], lease: u64) -> Result<(), Error> {
        self.put_all(&[key.to_owned()], value, lease).await
    }

    /// Writes keys with one value that go with a lease, [`MOST_PUTS`] at most.
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
        self.call("POST", "/kv-txn", &body, CALL).await.map(drop)
    }

    async fn read<T: de::DeserializeOwned>(
        &mut self,
        target: &str,
        limit: time::Duration,
    ) -> Result<T, Error> {
        let answer = self.call("GET", target, b"", limit).await?;
        Ok(serde_json::from_slice(&answer)?)
    }

    async fn call(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        limit: time::Duration,
    ) -> Result<Bytes, Error> {
        let answered = self.exchange(method, target, body, limit).await;
        count(target, answered.as_ref().map(|(status, _)| *status));
        let Some((status, answer)) = answered else {
            // A connection on which an answer is missing brings nothing further.
            self.wire = None;
            return Err(Error::NoAnswer);
        };
        match status {
            200..300 => Ok(answer),
            410 => Err(Error::Gap),
            404 | 412 => Err(Error::Condition(status)),
            _ => Err(Error::Refused(status)),
        }
    }

    /// One call; `None` where no answer came within the limit.
    async fn exchange(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        limit: time::Duration,
    ) -> Option<(u16, Bytes)> {
        let asked = tokio::time::timeout(limit, self.ask(method, target, body)).await;
        let (mut wire, received) = asked.ok()??;
        let answer = tokio::time::timeout(ARRIVE, take(&mut wire, received.head.framing)).await;
        let answer = answer.ok()??;
        if received.reusable {
            self.wire = Some(wire);
        }
        Some((received.head.status, answer))
    }

    /// Sends a call and waits for its answer's head.
    async fn ask(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Option<(socket::Wire, upstream::Received)> {
        let resting = self.wire.take().and_then(socket::Wire::resting);
        let mut wire = match resting {
            Some(wire) => wire,
            None => socket::Wire::connect(self.addr, CONNECT).await.ok()?,
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

/// Counts a call by its path's first part and by how it ended.
fn count(target: &str, status: Option<u16>) {
    let call = target.split(['/', '?']).nth(1).unwrap_or_default();
    let outcome = match status {
        Some(200..300) => "answered",
        Some(429 | 503) => "unavailable",
        Some(_) => "refused",
        None => "lost",
    };
    metrics::counter!(known::STORE_CALLS, "call" => call.to_owned(), "outcome" => outcome)
        .increment(1);
}

/// Reads an answer's body; `None` where it breaks off or falls silent.
async fn take(wire: &mut socket::Wire, framing: http1::Framing) -> Option<Bytes> {
    let mut reader = http1::BodyReader::new(framing);
    let mut answer = BytesMut::new();
    loop {
        let piece = tokio::time::timeout(CALL, upstream::next_piece(wire, &mut reader)).await;
        match piece.ok()?.ok()? {
            Some(piece) => answer.extend_from_slice(&piece),
            None => return Some(answer.freeze()),
        }
    }
}
