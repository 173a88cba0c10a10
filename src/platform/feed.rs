//! Reads and watches the platform's store and applies its records to the gateway. Also keeps this VM
//! registered in the store and publishes the crashes of backend servers that it observes.

use std::rc;
use std::time;

use crate::coordination::registration;
use crate::gateway::{beliefs, mirror as following};
use crate::protocol::mirror;
use crate::state::entries;
use crate::{gateway, id};

use super::{decode, names, settings, store};

/// TTL of a crash record, which counts against the requests that were in flight: longer than callers
/// retry, and short enough that a repaired service soon gets these requests again.
const CRASH_COUNTS: time::Duration = time::Duration::from_secs(90);

/// Pause before a failed registration is retried.
const RETRY: time::Duration = time::Duration::from_millis(300);

/// Prefix of the watch. All keys in the store concern entry VMs, so a single watch covers them.
const EVERYTHING: &str = "";

/// Prefixes that together cover all records. They are read in parallel, since each page costs a round
/// trip (0.11 s from another region), which would prolong the start after a loss of all VMs.
const PARTS: [&str; 3] = [names::OWN, names::OPERATORS, names::BACKENDS];

/// Source of the records in the platform's store.
#[derive(Debug)]
pub struct Feed {
    cx: gateway::Gateway,
    client: store::Client,
    /// Clients for reading the second and the third prefix in parallel.
    beside: [store::Client; PARTS.len() - 1],
}

impl Feed {
    /// Creates a feed from the store at `addr`.
    pub fn new(cx: gateway::Gateway, addr: std::net::SocketAddr) -> Self {
        Self {
            cx,
            client: store::Client::new(addr),
            beside: std::array::from_fn(|_| store::Client::new(addr)),
        }
    }

    fn checked(&self, record: &mirror::Record) -> Result<bool, decode::Error> {
        let key = record.key.as_str();
        let value = record.value.as_deref();
        if let Some(name) = key.strip_prefix(names::BACKENDS) {
            return self.backend(&name.into(), value);
        }
        if let Some(az) = key.strip_prefix(names::EVACUATED) {
            return Ok(self.cx.evacuate(&az.into(), value.is_some()));
        }
        if let Some(entry) = key.strip_prefix(names::ENTRIES) {
            let vm = entry.rsplit('/').next().unwrap_or(entry);
            return self.entry(&vm.into(), value);
        }
        if let Some(crash) = key.strip_prefix(names::CRASHES).and_then(decode::crash) {
            return Ok(self.cx.learn_crash(&crash, value.is_some()));
        }
        match value {
            Some(value) if key == names::CONFIG => Ok(self.cx.learn_routes(decode::config(value)?)),
            _ => Ok(false),
        }
    }

    fn backend(&self, name: &id::VmId, value: Option<&[u8]>) -> Result<bool, decode::Error> {
        let Some(value) = value else {
            self.cx.lose_backend(name);
            return Ok(true);
        };
        Ok(match decode::backend(value, self.cx.now()) {
            Ok(listed) => self.cx.learn_backend(name, listed),
            Err(err) => self.cx.disown_backend(name, &err),
        })
    }

    fn entry(&self, vm: &id::VmId, value: Option<&[u8]>) -> Result<bool, decode::Error> {
        match value {
            Some(value) => Ok(self.cx.learn_entry(vm, decode::entry(value)?)),
            None => Ok(self.cx.lose_entry(vm)),
        }
    }
}

/// Replaces customer keys in the records by digests, so that no key is kept or sent to other VMs.
fn sealed(mut records: Vec<mirror::Record>) -> Vec<mirror::Record> {
    for record in records.iter_mut().filter(|r| r.key == names::CONFIG) {
        record.value = record.value.as_deref().map(|v| decode::seal(v).into());
    }
    records
}

impl following::Source for Feed {
    type Error = store::Error;

    async fn read(&mut self, stale: bool) -> Result<(Vec<mirror::Record>, u64), store::Error> {
        let [second, third] = &mut self.beside;
        let [first_part, second_part, third_part] = PARTS;
        let parts = tokio::try_join!(
            self.client.range(first_part, stale),
            second.range(second_part, stale),
            third.range(third_part, stale),
        );
        self.beside.iter_mut().for_each(store::Client::close);
        let parts: [(Vec<mirror::Record>, u64); 3] = parts?.into();
        // A watch from the oldest revision returns all changes since any of the reads.
        let revision = parts.iter().map(|(_, revision)| *revision).min();
        let records = parts.into_iter().flat_map(|(records, _)| records);
        Ok((sealed(records.collect()), revision.unwrap_or_default()))
    }

    async fn read_zone(&mut self) -> Result<Vec<mirror::Record>, store::Error> {
        let prefix = names::entries_in(&self.cx.cfg.az);
        let [second, third] = &mut self.beside;
        // Also opens the connections for a full read, in case this VM is the first to start.
        let (records, (), ()) = tokio::join!(
            self.client.range(&prefix, true),
            second.connect(),
            third.connect(),
        );
        Ok(records?.0)
    }

    async fn watch(
        &mut self,
        after: u64,
        wait: time::Duration,
    ) -> Result<(Vec<mirror::Record>, u64), following::ReadError<store::Error>> {
        match self.client.watch(EVERYTHING, after, wait).await {
            Ok((records, revision)) => Ok((sealed(records), revision)),
            Err(store::Error::Gap) => Err(following::ReadError::Gap),
            Err(err) => Err(following::ReadError::Failed(err)),
        }
    }

    fn apply(&self, record: &mirror::Record) -> bool {
        self.checked(record).unwrap_or_else(|err| {
            slog::warn!(self.cx.log, "record from the store rejected; keeping the previous value"; "key" => &record.key, "error" => %err);
            false
        })
    }
}

/// Keeps this VM's registration in the store.
#[derive(Debug)]
pub struct Registration {
    /// The gateway.
    pub cx: gateway::Gateway,
    /// Local copy of the store's records.
    pub mirror: following::Mirror,
    /// The process's settings.
    pub settings: rc::Rc<settings::Settings>,
}

/// A registration that was written to the store.
#[derive(Clone, Debug)]
struct Held {
    lease: u64,
    /// TTL of the lease.
    lasts: time::Duration,
    /// Consecutive renewals at which the key was absent from the local copy of the store.
    unseen: u32,
    /// The entry that was written.
    said: entries::Entry,
}

/// Consecutive renewals without the key in the local copy of the store before it is written again.
/// The copy lags by less than two renewals.
const UNSEEN: u32 = 2;

impl Registration {
    /// Registers this VM once it is ready, and ends the registration on a planned stop.
    pub async fn keep(self) {
        let mut client = store::Client::new(self.settings.store);
        let mut stop = self.cx.stopping();
        let mut held = None;
        while !self.cx.is_stopping() {
            held = self.round(&mut client, held).await;
            self.tell_crashes(&mut client).await;
            let pause = match &held {
                Some(held) => registration::renewal(held.lasts),
                None => RETRY,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.cx.came(), if held.is_none() => {}
                _ = stop.changed() => {}
            }
        }
        if let Some(held) = held
            && let Err(err) = client.end_lease(held.lease).await
        {
            slog::warn!(self.cx.log, "cannot end the registration; its lease expires by itself"; "error" => %err);
        }
    }

    async fn round(&self, client: &mut store::Client, held: Option<Held>) -> Option<Held> {
        // On the system's first start a VM registers early: no caller is sent to it until it is ready.
        let starts = self.cx.cfg.first_start && self.cx.table().is_none();
        if !starts && !self.cx.is_ready() {
            return held;
        }
        let Some(held) = held else {
            return self.register(client).await;
        };
        let lasts = self.lasts();
        if lasts < held.lasts {
            return self.register(client).await.or(Some(held));
        }
        let seen = self.mirror.has(&self.key());
        let unseen = match seen {
            true => 0,
            false => held.unseen + 1,
        };
        match client.renew(held.lease).await {
            // The store also renews a lease whose key was removed, without reporting that.
            Ok(()) if unseen > UNSEEN => self.register(client).await,
            Ok(()) if held.said != self.entry() => self.say(client, held.lease, held.lasts).await,
            Ok(()) => Some(Held { unseen, ..held }),
            Err(store::Error::Condition(_)) => self.register(client).await,
            Err(_) => Some(held),
        }
    }

    /// Publishes the crashes that this VM has observed to all entry VMs.
    async fn tell_crashes(&self, client: &mut store::Client) {
        let untold = self.cx.untold_crashes();
        if untold.is_empty() {
            return;
        }
        if let Err(err) = self.write_crashes(client, &untold).await {
            slog::info!(self.cx.log, "cannot publish crashes; will retry"; "crashes" => untold.len(), "error" => %err);
            self.cx.keep_untold(untold);
        }
    }

    async fn write_crashes(
        &self,
        client: &mut store::Client,
        crashes: &[beliefs::Crash],
    ) -> Result<(), store::Error> {
        let lease = client.lease(CRASH_COUNTS).await?;
        let keys: Vec<String> = crashes.iter().map(decode::crash_key).collect();
        for some in keys.chunks(store::MOST_PUTS) {
            client.put_all(some, b"", lease).await?;
        }
        Ok(())
    }

    fn entry(&self) -> entries::Entry {
        let capacity = &self.cx.cfg.capacity;
        entries::Entry {
            front: self.settings.gateway.front,
            peers: self.settings.peers,
            az: self.settings.gateway.az.clone(),
            link_mbps: capacity.link_mbps as u32,
            requests: capacity.requests_per_s(),
            busy: self.cx.is_busy(),
            near_limits: self.cx.near_limits(),
        }
    }

    fn key(&self) -> String {
        format!("{}{}", names::entries_in(&self.cx.cfg.az), self.cx.cfg.vm)
    }

    fn lasts(&self) -> time::Duration {
        registration::lease(self.cx.stands_by(), self.settings.dead_named)
    }

    async fn register(&self, client: &mut store::Client) -> Option<Held> {
        let lasts = self.lasts();
        match client.lease(lasts).await {
            Ok(lease) => self.say(client, lease, lasts).await,
            Err(err) => {
                slog::info!(self.cx.log, "registration in the store failed; will retry"; "error" => %err);
                None
            }
        }
    }

    /// Writes this VM's current entry under a lease.
    async fn say(
        &self,
        client: &mut store::Client,
        lease: u64,
        lasts: time::Duration,
    ) -> Option<Held> {
        let said = self.entry();
        match self.write(client, &said, lease).await {
            Ok(()) => {
                slog::info!(self.cx.log, "registered"; "vm" => %self.cx.cfg.vm, "lease" => lease, "lasts_s" => lasts.as_secs_f64());
                Some(Held {
                    lease,
                    lasts,
                    unseen: 0,
                    said,
                })
            }
            Err(err) => {
                slog::info!(self.cx.log, "registration in the store failed; will retry"; "error" => %err);
                None
            }
        }
    }

    async fn write(
        &self,
        client: &mut store::Client,
        entry: &entries::Entry,
        lease: u64,
    ) -> Result<(), store::Error> {
        let value = decode::put_entry(entry)?;
        client.put(&self.key(), &value, lease).await?;
        Ok(())
    }
}
