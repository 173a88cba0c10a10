//! Copies the settings and VM list that coordination reads into the request path's tables.
//!
//! While the store is unreachable, the last settings and the last list stay in force.

use std::net;
use std::sync;

use super::{Core, MakePolicy, SharedTables};
use crate::coordination::{budget, driver, node, reader, store};
use crate::protocol::hello;
use crate::state::fleet;
use crate::{config, error, settings};

/// Writes updates to the shared tables until the process's core is dropped.
struct SharedUpdater {
    shared: sync::Weak<SharedTables>,
    log: slog::Logger,
}

impl driver::Observer for SharedUpdater {
    fn settings(&self, settings: sync::Arc<settings::Settings>) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        if let Err(err) = shared.apply_settings(sync::Arc::unwrap_or_clone(settings)) {
            slog::error!(self.log, "settings cannot be applied; the previous settings stay in force"; "error" => err.to_string());
        }
    }

    fn vms(&self, vms: Vec<store::Vm>) {
        if let Some(shared) = self.shared.upgrade() {
            let fleet = fleet::Fleet::new(vms);
            // Skips an unchanged list: replacing it would cause work that grows with the fleet.
            if fleet != **shared.fleet.load() {
                shared.fleet.store(sync::Arc::new(fleet));
            }
        }
    }

    fn status(&self, status: driver::Status) {
        if let Some(shared) = self.shared.upgrade() {
            shared
                .coordination_status
                .store(sync::Arc::new(super::CoordinationStatus {
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

/// Starts coordination with the peers and the platform's store.
pub(super) fn start<M: MakePolicy, S: store::Store>(
    core: &Core<M>,
    platform: S,
) -> Result<driver::Driver, error::Error> {
    let cfg = &core.cfg;
    let updater = SharedUpdater {
        shared: sync::Arc::downgrade(&core.shared),
        log: core.log.clone(),
    };
    if cfg.root_keys.is_empty() {
        slog::error!(
            core.log,
            "no root keys are configured, so all settings are refused; set `root_keys` to the root keys' public halves"
        );
    }
    let driver_config = driver::Config {
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
    driver::Driver::start(driver_config, platform, updater, &core.log)
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
