//! What operators and backend servers write to the platform's store, decoded into our own types.

use std::net;
use std::time;

use crate::decisions::policy;
use crate::gateway::cluster_state;
use crate::id;
use crate::protocol::{customers, routes};
use crate::state::{backends, entries};

use super::names;

/// Why a value cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is not the expected JSON.
    #[error("cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The version is not a hexadecimal number.
    #[error("version `{0}` is not a hexadecimal number")]
    Version(String),
    /// A word that says nothing here.
    #[error("`{0}` is not a state of a backend server")]
    State(String),
    /// It has no slot to work in.
    #[error("it has no slots")]
    NoSlots,
    /// A number is negative or no number.
    #[error("`{0}` is not a time")]
    Time(f64),
    /// A number of requests is negative or no number.
    #[error("`{0}` is not a number of requests of customer `{1}`")]
    Quota(f64, String),
    /// A key is not a digest.
    #[error("a key of customer `{0}` is not sealed; run the same version on all entry VMs")]
    Unsealed(String),
    /// Customers contradict one another.
    #[error(transparent)]
    Customers(#[from] customers::Error),
}

#[derive(serde::Deserialize)]
struct Config {
    version: String,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Option<Limits>,
    /// The customers.
    #[serde(default)]
    tenants: Vec<Customer>,
}

#[derive(serde::Deserialize)]
struct Customer {
    name: String,
    /// The digests of its keys, see [`seal`].
    #[serde(default)]
    keys: Vec<String>,
    priority: Option<u32>,
    /// 0: without limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    /// Regions, although the name speaks of residence.
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
    split: Vec<Part>,
    /// Regions, although the name speaks of residence.
    #[serde(default)]
    residency: Vec<String>,
}

#[derive(serde::Deserialize)]
struct Part {
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

/// A backend server's entry. Another writer may have left something else under its key; so each
/// field must be there with its type, also those that are not used here.
#[derive(serde::Deserialize)]
struct Server {
    service: String,
    addr: net::SocketAddr,
    zone: String,
    #[serde(rename = "version")]
    _version: String,
    slots: u32,
    state: String,
    /// How much longer it is cold, from when it wrote this.
    cold_left_s: f64,
    #[serde(rename = "seq")]
    _count: u64,
    /// The Unix millisecond of its start.
    born: Option<u64>,
}

fn seconds(value: f64) -> Result<time::Duration, Error> {
    time::Duration::try_from_secs_f64(value).map_err(|_| Error::Time(value))
}

/// The operators' configuration.
pub fn config(value: &[u8]) -> Result<routes::Table, Error> {
    let config: Config = serde_json::from_slice(value)?;
    let version = u64::from_str_radix(&config.version, 16)
        .map_err(|_| Error::Version(config.version.clone()))?;
    let routes: Result<Vec<_>, Error> = config.routes.into_iter().map(route).collect();
    let services = config.services.into_iter().map(service).collect();
    let limits = match config.limits {
        Some(limits) => routes::Limits {
            head: limits.header_bytes,
            body: limits.body_bytes,
            head_timeout: seconds(limits.header_timeout_s)?,
            idle_timeout: seconds(limits.idle_timeout_s)?,
        },
        None => routes::Limits::default(),
    };
    let customers: Result<Vec<_>, Error> = config.tenants.into_iter().map(customer).collect();
    let customers = customers::Customers::new(customers?)?;
    Ok(routes::Table::new(version, routes?, services, limits).with_customers(customers))
}

/// The operators' configuration with the digest of each key in the key's place, as entry VMs tell
/// it to one another. What cannot be read becomes empty: a key may stand anywhere in it.
pub fn seal(value: &[u8]) -> Vec<u8> {
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
    let count = |value: f64| match value >= 0.0 && value.is_finite() {
        true => Ok(value),
        false => Err(Error::Quota(value, name.clone())),
    };
    let (rate, burst) = (count(customer.rate_per_s)?, count(customer.burst)?);
    let digest = |text: &String| customers::KeyDigest::parse(text);
    let keys: Option<Vec<_>> = customer.keys.iter().map(digest).collect();
    let keys = keys.ok_or_else(|| Error::Unsealed(name.clone()))?;
    let found = customers::Customer {
        name: name.as_str().into(),
        priority: customer.priority,
        quota: (rate > 0.0).then_some(customers::Quota { rate, burst }),
        regions: regions(&customer.residency),
    };
    Ok((found, keys))
}

fn regions(names: &[String]) -> Vec<id::RegionId> {
    names.iter().map(|name| name.as_str().into()).collect()
}

fn route(route: Route) -> Result<routes::Route, Error> {
    let whole = route.service.map(|service| Part {
        service,
        weight: 1.0,
    });
    let parts = route
        .split
        .into_iter()
        .chain(whole)
        .map(|part| routes::Part {
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
        aim: seconds(route.target_latency_s)?,
        attempts: route.attempts.max(1),
        priority: route.priority,
        public: route.public,
        sticky: route.sticky,
        parts,
        regions: regions(&route.residency),
    })
}

/// Whether requests of a kind may run more than once.
fn is_idempotent(kind: &str) -> bool {
    matches!(kind, "safe" | "download")
}

fn service(service: Service) -> routes::Service {
    routes::Service {
        name: service.name.as_str().into(),
        cold_rate: service.cold_per_s,
    }
}

/// A backend server's entry, read at `now`.
pub fn backend(value: &[u8], now: policy::Moment) -> Result<backends::Listed, Error> {
    let server: Server = serde_json::from_slice(value)?;
    let leaving = match server.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return Err(Error::State(server.state)),
    };
    if server.slots == 0 {
        return Err(Error::NoSlots);
    }
    Ok(backends::Listed {
        service: server.service.as_str().into(),
        addr: server.addr,
        az: server.zone.as_str().into(),
        slots: server.slots,
        leaving,
        cold_until: now + seconds(server.cold_left_s)?,
        start: server.born.map(id::Incarnation),
    })
}

/// How an entry VM registers.
#[derive(serde::Serialize, serde::Deserialize)]
struct Registered {
    front: net::SocketAddr,
    peers: Option<net::SocketAddr>,
    az: String,
    #[serde(default)]
    link_mbps: u32,
    #[serde(default)]
    requests: u32,
    #[serde(default)]
    busy: bool,
    /// Customers by the hashes of their names.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    near_limits: Vec<u64>,
}

/// An entry VM's registration.
pub fn entry(value: &[u8]) -> Result<entries::Entry, Error> {
    let entry: Registered = serde_json::from_slice(value)?;
    Ok(entries::Entry {
        front: entry.front,
        peers: entry.peers,
        az: entry.az.as_str().into(),
        link_mbps: entry.link_mbps,
        requests: entry.requests,
        busy: entry.busy,
        near_limits: entry.near_limits,
    })
}

/// An entry VM's registration as it is written.
pub fn put_entry(entry: &entries::Entry) -> Result<Vec<u8>, Error> {
    Ok(serde_json::to_vec(&Registered {
        front: entry.front,
        peers: entry.peers,
        az: entry.az.to_string(),
        link_mbps: entry.link_mbps,
        requests: entry.requests,
        busy: entry.busy,
        near_limits: entry.near_limits.clone(),
    })?)
}

/// A crash from the rest of its key.
pub fn crash(rest: &str) -> Option<cluster_state::Crash> {
    let (fingerprint, run) = rest.split_once('/')?;
    Some(cluster_state::Crash {
        fingerprint: u64::from_str_radix(fingerprint, 16).ok()?,
        run: run.to_owned(),
    })
}

/// The key of a crash.
pub fn crash_key(crash: &cluster_state::Crash) -> String {
    format!("{}{:016x}/{}", names::CRASHES, crash.fingerprint, crash.run)
}
