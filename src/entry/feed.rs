//! Feeds the request path with settings and the list of VMs that coordination finds out.
//!
//! While the store is out of reach, the last settings and the last list stay in force.

use std::net;
use std::sync;

use super::{Core, MakePolicy, Shared};
use crate::coordination::{budget, driver, node, reader, store};
use crate::protocol::hello;
use crate::state::fleet;
use crate::{config, error, settings};

/// Hands what comes to the shared tables, as long as somebody reads them.
struct Feed {
    shared: sync::Weak<Shared>,
    log: slog::Logger,
}

impl driver::Observer for Feed {
    fn settings(&self, settings: sync::Arc<settings::Settings>) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        if let Err(err) = shared.put_in_force(sync::Arc::unwrap_or_clone(settings)) {
            slog::error!(self.log, "settings refused"; "error" => err.to_string());
        }
    }

    fn vms(&self, vms: Vec<store::Vm>) {
        if let Some(shared) = self.shared.upgrade() {
            let fleet = fleet::Fleet::new(vms);
            // An unchanged list must not cause work that grows with the fleet.
            if fleet != **shared.fleet.load() {
                shared.fleet.store(sync::Arc::new(fleet));
            }
        }
    }

    fn status(&self, status: driver::Status) {
        if let Some(shared) = self.shared.upgrade() {
            shared.links.store(sync::Arc::new(super::Links {
                versions: status.versions,
                store_up: status.store_up,
                peers: status.peers,
            }));
        }
    }

    fn is_active(&self) -> bool {
        self.shared.strong_count() > 0
    }
}

/// Starts agreement with the peers and the platform.
pub(super) fn start<M: MakePolicy, S: store::Store>(
    core: &Core<M>,
    platform: S,
) -> Result<driver::Driver, error::Error> {
    let cfg = &core.cfg;
    let feed = Feed {
        shared: sync::Arc::downgrade(&core.shared),
        log: core.log.clone(),
    };
    if cfg.root_keys.is_empty() {
        slog::error!(
            core.log,
            "no settings will be taken: name the root keys' public halves in `root_keys`"
        );
    }
    let driven = driver::Config {
        node: node::Config {
            vm: cfg.vm.clone(),
            az: cfg.az.clone(),
            incarnation: core.incarnation,
            roots: cfg.root_keys.clone(),
            seeds: cfg.peer_seeds.clone(),
            seed: rand::random(),
            limits: budget::Limits::default(),
            timing: reader::Timing::default(),
        },
        listen: cfg.peers_listen,
        secrets: secrets(cfg)?,
    };
    driver::Driver::start(driven, platform, feed, &core.log)
        .map_err(|err| bind_error(cfg.peers_listen, &err))
}

fn secrets(cfg: &config::Config) -> Result<Option<hello::Secrets>, error::Error> {
    if cfg.peer_secrets.is_empty() {
        return Ok(None);
    }
    let secrets = hello::Secrets::parse(&cfg.peer_secrets)
        .map_err(|err| error::Error::Config(format!("`peer_secrets`: {err}")))?;
    Ok(Some(secrets))
}

fn bind_error(addr: net::SocketAddr, err: &std::io::Error) -> error::Error {
    error::Error::Bind {
        addr: addr.to_string(),
        setting: "peers_listen",
        reason: err.to_string(),
    }
}
