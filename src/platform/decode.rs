//! Decodes the records that operators, backend servers and entry VMs write to the platform's store, and
//! encodes those of this VM.

use std::net;
use std::time;

use crate::decisions::{policy, split};
use crate::gateway::cluster_state;
use crate::id;
use crate::protocol::{customers, routes};
use crate::state::{backends, entries};

use super::names;

/// Why a record is rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Not JSON, or not of the expected structure.
    #[error("cannot decode JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The version is not a hexadecimal number.
    #[error("version `{0}` is not a hexadecimal number")]
    Version(String),
    /// The name of a backend server has characters that names do not have.
    #[error("`{0:?}` is not a name of a backend server; have its writer remove the record")]
    Name(String),
    /// Unknown state of a backend server.
    #[error("`{0}` is not a known state of a backend server")]
    State(String),
    /// The backend server cannot run any request.
    #[error("the backend server has 0 slots")]
    NoSlots,
    /// A duration is negative, too large or not a number.
    #[error("`{0}` is not a valid duration in seconds")]
    Time(f64),
    /// A route has no usable parts.
    #[error(transparent)]
    Parts(#[from] routes::PartsError),
    /// A rate or burst of a customer is negative or not finite.
    #[error("`{0}` is not a valid number of requests for customer `{1}`")]
    Quota(f64, String),
    /// A customer's key is not a digest.
    #[error("a key of customer `{0}` is not a digest; run the same version on all entry VMs")]
    PlainKey(String),
    /// Two customers have the same name or the same key.
    #[error(transparent)]
    Customers(#[from] customers::Error),
}

#[derive(serde::Deserialize)]
struct Config {
    version: String,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Option<Limits>,
    #[serde(default)]
    tenants: Vec<Customer>,
}

#[derive(serde::Deserialize)]
struct Customer {
    name: String,
    /// Digests of the customer's keys, as [`hash_keys`] writes them.
    #[serde(default)]
    keys: Vec<String>,
    priority: Option<u32>,
    /// 0 means unlimited.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    /// Regions that may serve the customer; empty: all.
    #[serde(default)]
    residency: Vec<String>,
}

#[derive(serde::Deserialize)]
struct Route {
    #[serde(default)]
    name: String,
    host: String,
    prefix: String,
    kind: String,
    timeout_s: f64,
    target_latency_s: f64,
    attempts: u32,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    sticky: bool,
    service: Option<String>,
    #[serde(default)]
    split: Vec<WeightedService>,
    /// Regions that may serve the route; empty: all.
    #[serde(default)]
    residency: Vec<String>,
}

#[derive(serde::Deserialize)]
struct WeightedService {
    service: String,
    weight: f64,
}

#[derive(serde::Deserialize)]
struct Service {
    name: String,
    #[serde(default)]
    cold_per_s: f64,
}

#[derive(serde::Deserialize)]
struct Limits {
    header_bytes: usize,
    body_bytes: u64,
    header_timeout_s: f64,
    idle_timeout_s: f64,
}

/// A backend server's record. Another program may have written something else under its key, so each
/// field except `born` must be present with its type, including unused ones.
#[derive(serde::Deserialize)]
struct BackendRecord {
    service: String,
    addr: net::SocketAddr,
    zone: String,
    #[serde(rename = "version")]
    _version: String,
    slots: u32,
    state: String,
    /// Remaining warm-up time when the record was written.
    cold_left_s: f64,
    #[serde(rename = "seq")]
    _sequence: u64,
    /// Start time, in milliseconds since the Unix epoch.
    born: Option<u64>,
}

fn seconds(value: f64) -> Result<time::Duration, Error> {
    time::Duration::try_from_secs_f64(value).map_err(|_| Error::Time(value))
}

/// Decodes the operators' configuration; customer keys must be digests. Fails if any part is invalid.
pub fn config(value: &[u8]) -> Result<routes::Table, Error> {
    let config: Config = serde_json::from_slice(value)?;
    let version = u64::from_str_radix(&config.version, 16)
        .map_err(|_| Error::Version(config.version.clone()))?;
    let routes: Result<Vec<_>, Error> = config.routes.into_iter().map(route).collect();
    let services = config.services.into_iter().map(service).collect();
    let limits = match config.limits {
        Some(limits) => routes::Limits {
            max_head_bytes: limits.header_bytes,
            max_body_bytes: limits.body_bytes,
            head_timeout: seconds(limits.header_timeout_s)?,
            idle_timeout: seconds(limits.idle_timeout_s)?,
        },
        None => routes::Limits::default(),
    };
    let customers: Result<Vec<_>, Error> = config.tenants.into_iter().map(customer).collect();
    let customers = customers::Customers::new(customers?)?;
    Ok(routes::Table::new(version, routes?, services, limits).with_customers(customers))
}

/// Replaces each customer key in the operators' configuration by its digest. Invalid JSON becomes
/// empty, since a key may be anywhere in it.
pub fn hash_keys(value: &[u8]) -> Vec<u8> {
    let Ok(mut config) = serde_json::from_slice::<serde_json::Value>(value) else {
        return Vec::new();
    };
    let Some(customers) = config.get_mut("tenants").and_then(|t| t.as_array_mut()) else {
        return value.to_vec();
    };
    let keys = customers
        .iter_mut()
        .filter_map(|customer| customer.get_mut("keys")?.as_array_mut())
        .flatten();
    for key in keys {
        let digest = key.as_str().map(|k| customers::KeyDigest::of(k.as_bytes()));
        *key = digest.map_or_else(String::new, |d| d.to_text()).into();
    }
    config.to_string().into_bytes()
}

fn customer(customer: Customer) -> Result<(customers::Customer, Vec<customers::KeyDigest>), Error> {
    let name = customer.name;
    let non_negative = |value: f64| match value >= 0.0 && value.is_finite() {
        true => Ok(value),
        false => Err(Error::Quota(value, name.clone())),
    };
    let (rate, burst) = (
        non_negative(customer.rate_per_s)?,
        non_negative(customer.burst)?,
    );
    let digest = |text: &String| customers::KeyDigest::parse(text);
    let keys: Option<Vec<_>> = customer.keys.iter().map(digest).collect();
    let keys = keys.ok_or_else(|| Error::PlainKey(name.clone()))?;
    let decoded = customers::Customer {
        name: name.as_str().into(),
        priority: customer.priority,
        quota: (rate > 0.0).then_some(customers::Quota { rate, burst }),
        regions: regions(&customer.residency),
    };
    Ok((decoded, keys))
}

fn regions(names: &[String]) -> Vec<id::RegionId> {
    names.iter().map(|name| name.as_str().into()).collect()
}

fn route(route: Route) -> Result<routes::Route, Error> {
    let unsplit = route.service.map(|service| WeightedService {
        service,
        weight: 1.0,
    });
    let parts = route
        .split
        .into_iter()
        .chain(unsplit)
        .map(|part| split::Part {
            service: part.service.as_str().into(),
            weight: part.weight,
        })
        .collect();
    Ok(routes::Route {
        name: route.name,
        host: route.host.to_ascii_lowercase(),
        prefix: route.prefix,
        idempotent: is_idempotent(&route.kind),
        timeout: seconds(route.timeout_s)?,
        latency_target: seconds(route.target_latency_s)?,
        attempts: route.attempts.max(1),
        priority: route.priority,
        public: route.public,
        sticky: route.sticky,
        parts,
        regions: regions(&route.residency),
    }
    .checked()?)
}

/// Whether requests of a kind may run more than once. Unknown kinds may not.
fn is_idempotent(kind: &str) -> bool {
    matches!(kind, "safe" | "download")
}

fn service(service: Service) -> routes::Service {
    routes::Service {
        name: service.name.as_str().into(),
        cold_requests_per_s: service.cold_per_s,
    }
}

/// Decodes the name of a backend server from its key without the prefix.
pub fn backend_name(key_suffix: &str) -> Result<id::VmId, Error> {
    let name = id::VmId::parse(key_suffix);
    name.ok_or_else(|| Error::Name(key_suffix.to_owned()))
}

/// Decodes a backend server's record that was read at `now`. Fails if a field is missing or invalid.
pub fn backend(value: &[u8], now: policy::Moment) -> Result<backends::Listed, Error> {
    let record: BackendRecord = serde_json::from_slice(value)?;
    let leaving = match record.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return Err(Error::State(record.state)),
    };
    if record.slots == 0 {
        return Err(Error::NoSlots);
    }
    Ok(backends::Listed {
        service: record.service.as_str().into(),
        addr: record.addr,
        az: record.zone.as_str().into(),
        slots: record.slots,
        leaving,
        cold_until: now + seconds(record.cold_left_s)?,
        incarnation: record.born.map(id::Incarnation),
    })
}

/// An entry VM's registration, as stored.
#[derive(serde::Serialize, serde::Deserialize)]
struct EntryRecord {
    front: net::SocketAddr,
    peers: Option<net::SocketAddr>,
    az: String,
    #[serde(default)]
    link_mbps: u32,
    #[serde(default)]
    requests: u32,
    #[serde(default)]
    busy: bool,
    /// Hashes of the names of customers that have nearly used their quotas.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    near_limits: Vec<u64>,
}

/// Decodes an entry VM's registration.
pub fn entry(value: &[u8]) -> Result<entries::Entry, Error> {
    let entry: EntryRecord = serde_json::from_slice(value)?;
    Ok(entries::Entry {
        caller_addr: entry.front,
        peer_addr: entry.peers,
        az: entry.az.as_str().into(),
        link_mbps: entry.link_mbps,
        requests_per_s: entry.requests,
        busy: entry.busy,
        near_limits: entry.near_limits,
    })
}

/// Encodes an entry VM's registration.
pub fn encode_entry(entry: &entries::Entry) -> Result<Vec<u8>, Error> {
    Ok(serde_json::to_vec(&EntryRecord {
        front: entry.caller_addr,
        peers: entry.peer_addr,
        az: entry.az.to_string(),
        link_mbps: entry.link_mbps,
        requests: entry.requests_per_s,
        busy: entry.busy,
        near_limits: entry.near_limits.clone(),
    })?)
}

/// Decodes a crash record from its key without the prefix; `None` if malformed.
pub fn crash(key_suffix: &str) -> Option<cluster_state::Crash> {
    let (fingerprint, run) = key_suffix.split_once('/')?;
    Some(cluster_state::Crash {
        fingerprint: u64::from_str_radix(fingerprint, 16).ok()?,
        run: run.to_owned(),
    })
}

/// Returns the store key of a crash record.
pub fn crash_key(crash: &cluster_state::Crash) -> String {
    format!(
        "{}{:016x}/{}",
        names::CRASH_PREFIX,
        crash.fingerprint,
        crash.run
    )
}
