//! The settings file that the platform writes for each process.

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::time;

use crate::decisions::{entry_selection, quota, resend};
use crate::{error, gateway, id};

use super::names;

/// The file's fields that are used here. Fields that are not known are left alone.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct File {
    node: String,
    zone: String,
    zones: collections::BTreeMap<String, String>,
    listen: Listen,
    platform: Store,
    #[serde(default)]
    seeds: Vec<net::SocketAddr>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    bootstrap: bool,
    /// Texts `name=value`.
    #[serde(default)]
    bounds: Vec<String>,
    /// The first and the last port that are free on each machine.
    port_range: [u16; 2],
    #[serde(default)]
    limits: Limits,
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
struct Limits {
    #[serde(default)]
    link_mbps: f64,
    /// The part of each core.
    #[serde(default)]
    cpu_share: f64,
    #[serde(default)]
    cores: f64,
}

#[derive(Clone, Debug, serde::Deserialize)]
struct Listen {
    front: net::SocketAddr,
    ready: net::SocketAddr,
    directory: Option<net::SocketAddr>,
    control: Option<net::SocketAddr>,
}

#[derive(Clone, Debug, serde::Deserialize)]
struct Store {
    addr: net::SocketAddr,
}

/// What a process needs to know to start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What the gateway is told.
    pub gateway: gateway::Config,
    /// Where readiness is asked for.
    pub ready: net::SocketAddr,
    /// Where callers ask which entry VM to use.
    pub directory: Option<net::SocketAddr>,
    /// Where other entry VMs ask for what this one knows.
    pub peers: Option<net::SocketAddr>,
    /// Where metrics are served.
    pub metrics: net::SocketAddr,
    /// The platform's store.
    pub store: net::SocketAddr,
    /// Entry VMs that may know what the store cannot tell at the moment.
    pub seeds: Vec<net::SocketAddr>,
    /// How long a caller may keep the answer to where to connect.
    pub lookup_ttl: time::Duration,
    /// How long an entry VM that died may be named to callers.
    pub dead_named: time::Duration,
}

/// Reads the file.
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

/// Reads the file's text.
pub fn parse(text: &str) -> Result<Settings, String> {
    let file: File = toml::from_str(text).map_err(|err| err.message().to_owned())?;
    let bounds = bounds(&file.bounds)?;
    let regions = file
        .zones
        .iter()
        .map(|(az, region)| {
            (
                id::AzId::from(az.as_str()),
                id::RegionId::from(region.as_str()),
            )
        })
        .collect();
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
    let metrics = net::SocketAddr::new(front.ip(), file.port_range[0]);
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
            names: names::FIELDS,
            resend,
            max_region_shift_share: bound("shift_most", defaults.max_region_shift_share),
            quota,
            usage_addr: Some(net::SocketAddr::new(front.ip(), file.port_range[1])),
            grace: time::Duration::from_secs_f64(grace),
            first_start: file.bootstrap,
            ..defaults
        },
        ready: file.listen.ready,
        directory: file.listen.directory,
        peers: file.listen.control,
        metrics,
        store: file.platform.addr,
        seeds: file.seeds,
        lookup_ttl: time::Duration::from_secs_f64(bound("ttl_max_s", 5.0).min(LOOKUP_TTL_S)),
        dead_named: time::Duration::from_secs_f64(bound("stability_window_s", 0.0) + DEAD_NAMED_S),
    })
}

/// How long callers keep an answer, in seconds: short, so that a machine that died is soon no
/// longer named, and long enough that look-ups stay a small part of the requests.
const LOOKUP_TTL_S: f64 = 2.0;

/// How long one that died may be named beyond the bound on stability, in seconds.
const DEAD_NAMED_S: f64 = 3.0;

fn bounds(texts: &[String]) -> Result<collections::BTreeMap<String, f64>, String> {
    let mut found = collections::BTreeMap::new();
    for text in texts.iter().flat_map(|line| line.split(',')) {
        let Some((name, value)) = text.split_once('=') else {
            return Err(format!("`bounds` holds `{text}`, which is not name=value"));
        };
        // Bounds that are true or false concern nothing here.
        if let Ok(value) = value.trim().parse() {
            found.insert(name.trim().to_owned(), value);
        }
    }
    Ok(found)
}
