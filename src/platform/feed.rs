//! Reads the platform's store and tells the gateway what it says.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use crate::state::entries;
use crate::{gateway, id};

use super::{decode, names, settings, store};

/// How long a watch waits for a change. A connection that went silent is noticed after this and
/// a call's time, together within the time in which a configuration must be in force.
const WAIT: time::Duration = time::Duration::from_millis(2000);

/// The pause after changes came. Heartbeats of backend servers come all the time; taken one by
/// one each would cost a call. What leaves must have no new work after two seconds or more.
const PACE: time::Duration = time::Duration::from_millis(300);

/// The pause after a call that failed.
const RETRY: time::Duration = time::Duration::from_millis(250);

/// How long a registration lasts unless renewed.
const LEASE: time::Duration = time::Duration::from_secs(3);

/// How often it is renewed: two renewals may fail before it ends.
const RENEW: time::Duration = time::Duration::from_secs(1);

/// The raw items, as another entry VM may ask for them.
pub type Known = rc::Rc<cell::RefCell<collections::BTreeMap<String, store::Item>>>;

/// Reads the store and applies what it says.
#[derive(Clone, Debug)]
pub struct Feed {
    cx: gateway::Gateway,
    /// What was read.
    pub known: Known,
}

impl Feed {
    /// A feed of this gateway.
    pub fn new(cx: gateway::Gateway) -> Self {
        Self {
            cx,
            known: Known::default(),
        }
    }

    /// Follows one part of the store.
    pub async fn follow(self, addr: std::net::SocketAddr, prefix: &'static str) {
        let mut client = store::Client::new(addr);
        loop {
            match client.range(prefix).await {
                Ok((items, revision)) => {
                    self.cx.heard_store();
                    self.replace(prefix, items);
                    self.follow_from(&mut client, prefix, revision).await;
                }
                Err(err) => self.failed(prefix, &err).await,
            }
        }
    }

    /// Watches until history is missing.
    async fn follow_from(&self, client: &mut store::Client, prefix: &str, mut revision: u64) {
        loop {
            match client.watch(prefix, revision, WAIT).await {
                Ok((events, now)) => {
                    self.cx.heard_store();
                    revision = now.max(revision);
                    let quiet = events.is_empty();
                    events.into_iter().for_each(|item| self.apply(item));
                    if !quiet {
                        tokio::time::sleep(PACE).await;
                    }
                }
                Err(store::Error::Gap) => {
                    slog::info!(self.cx.log, "history of the store is gone"; "prefix" => prefix, "revision" => revision);
                    return;
                }
                Err(err) => self.failed(prefix, &err).await,
            }
        }
    }

    async fn failed(&self, prefix: &str, err: &store::Error) {
        if self.cx.lost_store() {
            slog::warn!(self.cx.log, "store does not serve"; "prefix" => prefix, "error" => %err);
        }
        tokio::time::sleep(RETRY).await;
    }

    /// Takes all items under a prefix; what is not among them is gone.
    fn replace(&self, prefix: &str, items: Vec<store::Item>) {
        let listed: collections::BTreeSet<String> = items.iter().map(|i| i.key.clone()).collect();
        let gone: Vec<String> = self
            .known
            .borrow()
            .keys()
            .filter(|key| key.starts_with(prefix) && !listed.contains(*key))
            .cloned()
            .collect();
        items.into_iter().for_each(|item| self.apply(item));
        for key in gone {
            self.apply(store::Item {
                key,
                value: None,
                tombstone: true,
            });
        }
    }

    fn apply(&self, item: store::Item) {
        if let Err(err) = self.apply_checked(&item) {
            slog::warn!(self.cx.log, "value not taken, what was known stays"; "key" => &item.key, "error" => %err);
            return;
        }
        let mut known = self.known.borrow_mut();
        match item.tombstone {
            true => known.remove(&item.key),
            false => known.insert(item.key.clone(), item),
        };
    }

    fn apply_checked(&self, item: &store::Item) -> Result<(), Unusable> {
        let value = item.bytes()?;
        let key = item.key.as_str();
        if let Some(name) = key.strip_prefix(names::BACKENDS) {
            self.apply_backend(&name.into(), value.as_deref())?;
        } else if let Some(az) = key.strip_prefix(names::EVACUATED) {
            self.cx.evacuate(&az.into(), value.is_some());
        } else if let Some(vm) = key.strip_prefix(names::ENTRIES) {
            self.apply_entry(&vm.into(), value.as_deref())?;
        } else if key == names::CONFIG
            && let Some(value) = value
        {
            self.cx.learn_routes(decode::config(&value)?);
        }
        Ok(())
    }

    fn apply_backend(&self, name: &id::VmId, value: Option<&[u8]>) -> Result<(), Unusable> {
        match value {
            Some(value) => {
                let listed = decode::backend(value, self.cx.now())?;
                self.cx.learn_backend(name, listed);
            }
            None => self.cx.lose_backend(name),
        }
        Ok(())
    }

    fn apply_entry(&self, vm: &id::VmId, value: Option<&[u8]>) -> Result<(), Unusable> {
        match value {
            Some(value) => self.cx.learn_entry(vm, decode::entry(value)?),
            None => self.cx.lose_entry(vm),
        }
        Ok(())
    }

    /// Asks other entry VMs while the store has said nothing yet.
    pub async fn learn_from_seeds(self, seeds: Vec<std::net::SocketAddr>) {
        for seed in seeds.iter().cycle() {
            tokio::time::sleep(RETRY).await;
            if self.cx.store_age().is_some() || self.cx.is_ready() {
                return;
            }
            let Ok(page) = store::Client::new(*seed).snapshot().await else {
                // The next one is asked; seeds may be down.
                continue;
            };
            // The store may have answered meanwhile, and then knows better.
            if self.cx.store_age().is_none() {
                slog::info!(self.cx.log, "learnt from an entry VM"; "addr" => %seed, "items" => page.items.len());
                page.items.into_iter().for_each(|item| self.apply(item));
            }
        }
    }

    /// Keeps this VM registered while it is ready, until a planned stop.
    pub async fn register(self, settings: rc::Rc<settings::Settings>) {
        let mut client = store::Client::new(settings.store);
        let mut stop = self.cx.stopping();
        let mut lease = None;
        while !self.cx.is_stopping() {
            let before = lease;
            lease = self.renew(&mut client, &settings, lease).await;
            if lease.is_some() && before.is_none() {
                slog::info!(self.cx.log, "registered"; "vm" => %self.cx.cfg.vm);
            }
            let pause = match lease {
                Some(_) => RENEW,
                None => RETRY,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stop.changed() => {}
            }
        }
        if let Some(lease) = lease
            && let Err(err) = client.end_lease(lease).await
        {
            slog::warn!(self.cx.log, "registration not taken back, it lapses by itself"; "error" => %err);
        }
    }

    /// One round of registration. Returns the lease that holds.
    async fn renew(
        &self,
        client: &mut store::Client,
        settings: &settings::Settings,
        lease: Option<u64>,
    ) -> Option<u64> {
        if !self.cx.is_ready() {
            return lease;
        }
        let key = format!("{}{}", names::ENTRIES, self.cx.cfg.vm);
        // A store that took the key away does not say so when the lease is renewed.
        let listed = self.known.borrow().contains_key(&key);
        let held = match lease {
            Some(lease) => match client.renew(lease).await {
                Ok(()) if listed => return Some(lease),
                Ok(()) => Some(lease),
                Err(store::Error::Condition(_)) => None,
                Err(_) => return Some(lease),
            },
            None => None,
        };
        let held = match held {
            Some(held) => held,
            None => client.lease(LEASE).await.ok()?,
        };
        let value = decode::put_entry(&entries::Entry {
            front: settings.gateway.front,
            az: settings.gateway.az.clone(),
        });
        match client.put(&key, &value.ok()?, held).await {
            Ok(()) => Some(held),
            Err(err) => {
                slog::warn!(self.cx.log, "not registered"; "error" => %err);
                None
            }
        }
    }
}

/// Why an item changes nothing.
#[derive(Debug, thiserror::Error)]
enum Unusable {
    #[error(transparent)]
    Store(#[from] store::Error),
    #[error(transparent)]
    Value(#[from] decode::Error),
}
