//! Reads the settings file that the platform writes for each process and applies the gateway's defaults.

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::time;

use crate::decisions::{descriptors, entry_selection, memory, quota, resend};
use crate::{error, gateway};

use super::names;

/// The fields that the gateway uses; others are ignored. `zones` maps each AZ to its region.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct File {
    node: String,
    zone: String,
    zones: collections::BTreeMap<String, String>,
    listen: Listen,
    platform: StoreAddress,
    #[serde(default)]
    seeds: Vec<net::SocketAddr>,
    /// Whether this is the first start of the whole system.
    #[serde(default)]
    bootstrap: bool,
    /// Limits as `name=value`, one or several separated by commas.
    #[serde(default)]
    bounds: Vec<String>,
    /// First and last port of the range that the gateway may use.
    port_range: [u16; 2],
    #[serde(default)]
    limits: Limits,
    /// The parts of the platform's rules that are in force.
    #[serde(default)]
    contracts: Vec<String>,
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(default)]
struct Limits {
    link_mbps: f64,
    /// Share of each core that the process may use.
    cpu_share: f64,
    cores: f64,
    /// File descriptors, those for files included; 0: no limit is named.
    max_fds: f64,
    memory_mb: f64,
}

#[derive(Clone, Debug, serde::Deserialize)]
struct Listen {
    front: net::SocketAddr,
    ready: net::SocketAddr,
    directory: Option<net::SocketAddr>,
    control: Option<net::SocketAddr>,
}

#[derive(Clone, Debug, serde::Deserialize)]
struct StoreAddress {
    addr: net::SocketAddr,
}

/// Settings of one gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Configuration of the gateway.
    pub gateway: gateway::Config,
    /// Listen address of `/ready`.
    pub ready: net::SocketAddr,
    /// Listen address of `/resolve`, where callers look up entry VMs.
    pub directory: Option<net::SocketAddr>,
    /// Listen address for other entry VMs that follow this one's copy of the store.
    pub peers: Option<net::SocketAddr>,
    /// Listen address of `/metrics`.
    pub metrics: net::SocketAddr,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Entry VMs that may have the store's records while the store is unreachable.
    pub seeds: Vec<net::SocketAddr>,
    /// How long callers may cache the entry VM addresses.
    pub lookup_ttl: time::Duration,
    /// How long callers may still be given the address of an entry VM that has ended.
    pub dead_vm_ttl: time::Duration,
}

/// Reads and parses the settings file. Fails if it is unreadable or a field is missing or invalid.
pub fn read(path: &path::Path) -> Result<Settings, error::Error> {
    let text = fs::read_to_string(path).map_err(|source| error::Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|err| {
        let path = path.display();
        error::Error::Config(format!(
            "{path}: {err}; have the platform write the file again"
        ))
    })
}

/// Parses the text of a settings file. The error names the missing or invalid field.
pub fn parse(text: &str) -> Result<Settings, String> {
    let file: File = toml::from_str(text).map_err(|err| err.message().to_owned())?;
    let bounds = parse_bounds(&file.bounds)?;
    let in_region = |(az, region): (&String, &String)| (az.as_str().into(), region.as_str().into());
    let regions = file.zones.iter().map(in_region).collect();
    let bound = |name: &str, default: f64| bounds.get(name).copied().unwrap_or(default);
    let defaults = gateway::Config::default();
    let resend = resend::Bound {
        share: bound("budget_ratio", defaults.resend.share),
        extra: bound("budget_extra", defaults.resend.extra),
        window: time::Duration::from_secs_f64(bound(
            "budget_window_s",
            defaults.resend.window.as_secs_f64(),
        )),
        ..defaults.resend
    };
    let quota = quota::Bound {
        window: time::Duration::from_secs_f64(bound(
            "quota_window_s",
            defaults.quota.window.as_secs_f64(),
        )),
        overshoot_ratio: bound("quota_over", defaults.quota.overshoot_ratio),
        slack: bound("quota_slack", defaults.quota.slack),
    };
    let grace = bound("grace_s", defaults.grace.as_secs_f64());
    let front = file.listen.front;
    Ok(Settings {
        gateway: gateway::Config {
            vm: file.node.as_str().into(),
            az: file.zone.as_str().into(),
            regions,
            front,
            capacity: entry_selection::Capacity {
                cores: file.limits.cpu_share * file.limits.cores,
                link_mbps: file.limits.link_mbps,
            },
            max_descriptors: descriptors::named_limit(file.limits.max_fds)?,
            max_memory: memory::named_limit(file.limits.memory_mb)?,
            names: names::FIELDS,
            resend,
            max_region_shift_share: bound("shift_most", defaults.max_region_shift_share),
            quota,
            usage_addr: Some(net::SocketAddr::new(front.ip(), file.port_range[1])),
            grace: time::Duration::from_secs_f64(grace),
            first_start: file.bootstrap,
            contended: file.contracts.iter().any(|name| name == CONTENDED),
            ..defaults
        },
        ready: file.listen.ready,
        directory: file.listen.directory,
        peers: file.listen.control,
        metrics: net::SocketAddr::new(front.ip(), file.port_range[0]),
        store: file.platform.addr,
        seeds: file.seeds,
        lookup_ttl: time::Duration::from_secs_f64(bound("ttl_max_s", 5.0).min(MAX_LOOKUP_TTL_S)),
        dead_vm_ttl: time::Duration::from_secs_f64(
            bound("stability_window_s", 0.0) + DEAD_VM_EXTRA_TTL_S,
        ),
    })
}

/// The part of the platform's rules for callers that ask for more than there is room for.
const CONTENDED: &str = "pressure";

/// Upper limit of the look-up TTL, after which callers no longer use a VM that has ended.
const MAX_LOOKUP_TTL_S: f64 = 2.0;

/// Time that a dead entry VM may be listed beyond the platform's stability window.
const DEAD_VM_EXTRA_TTL_S: f64 = 3.0;

fn parse_bounds(entries: &[String]) -> Result<collections::BTreeMap<String, f64>, String> {
    let mut bounds = collections::BTreeMap::new();
    for text in entries.iter().flat_map(|line| line.split(',')) {
        let Some((name, value)) = text.split_once('=') else {
            return Err(format!("`bounds` contains `{text}`; expected name=value"));
        };
        // Boolean bounds do not apply to the gateway.
        if let Ok(value) = value.trim().parse() {
            bounds.insert(name.trim().to_owned(), value);
        }
    }
    Ok(bounds)
}
