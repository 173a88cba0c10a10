//! What stands in the platform's store, told to the gateway, and this VM's registration there.

use std::rc;
use std::time;

use crate::coordination::registration;
use crate::gateway::{cluster_state, mirror as following};
use crate::protocol::mirror;
use crate::state::entries;
use crate::{gateway, id};

use super::{decode, names, settings, store};

/// How long a crash counts against the requests that were in flight: longer than callers go on
/// asking, short enough that a repaired service is not held back.
const CRASH_COUNTS: time::Duration = time::Duration::from_secs(90);

/// The pause after a call that failed.
const RETRY: time::Duration = time::Duration::from_millis(300);

/// Everything in the store concerns entry VMs, so one watch serves for all.
const EVERYTHING: &str = "";

/// What makes up everything. Read side by side, since each page costs a round trip, which is 0.11 s
/// from another region: a start after a loss of all VMs is that much shorter for each.
const PARTS: [&str; 3] = [names::OWN, names::OPERATORS, names::BACKENDS];

/// The store as a source of records.
#[derive(Debug)]
pub struct Feed {
    cx: gateway::Gateway,
    client: store::Client,
    /// For reading the parts beside the first.
    beside: [store::Client; PARTS.len() - 1],
}

impl Feed {
    /// The store at this address.
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
            return Ok(self.cx.apply_crash_report(&crash, value.is_some()));
        }
        match value {
            Some(value) if key == names::CONFIG => {
                Ok(self.cx.update_routes(decode::config(value)?))
            }
            _ => Ok(false),
        }
    }

    fn backend(&self, name: &id::VmId, value: Option<&[u8]>) -> Result<bool, decode::Error> {
        let Some(value) = value else {
            self.cx.remove_backend(name);
            return Ok(true);
        };
        Ok(match decode::backend(value, self.cx.now()) {
            Ok(listed) => self.cx.update_backend(name, listed),
            Err(err) => self.cx.remove_unreadable_backend(name, &err),
        })
    }

    fn entry(&self, vm: &id::VmId, value: Option<&[u8]>) -> Result<bool, decode::Error> {
        match value {
            Some(value) => Ok(self.cx.update_entry(vm, decode::entry(value)?)),
            None => Ok(self.cx.remove_entry(vm)),
        }
    }
}

/// Records as they may be kept and passed on: no key of a customer stands in them.
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
        // A watch from the oldest of their revisions brings what the others lack.
        let revision = parts.iter().map(|(_, revision)| *revision).min();
        let records = parts.into_iter().flat_map(|(records, _)| records);
        Ok((sealed(records.collect()), revision.unwrap_or_default()))
    }

    async fn read_zone(&mut self) -> Result<Vec<mirror::Record>, store::Error> {
        let prefix = names::entries_in(&self.cx.cfg.az);
        let [second, third] = &mut self.beside;
        // The connections for a whole read are opened meanwhile, for one that turns out to be first.
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
            slog::warn!(self.cx.log, "configuration or registration not taken, the one before stays"; "key" => &record.key, "error" => %err);
            false
        })
    }
}

/// This VM's registration.
#[derive(Debug)]
pub struct Registration {
    /// The gateway.
    pub cx: gateway::Gateway,
    /// What is known of the store.
    pub mirror: following::Mirror,
    /// The process's settings.
    pub settings: rc::Rc<settings::Settings>,
}

/// A registration in force.
#[derive(Clone, Debug)]
struct Held {
    lease: u64,
    /// How long it lasts unless renewed.
    lasts: time::Duration,
    /// Renewals in a row at which the key was not seen in the store.
    unseen: u32,
    /// What it says of this VM.
    said: entries::Entry,
}

/// Renewals without the key in sight until it is written anew: the view of the store lags by
/// less than two.
const UNSEEN: u32 = 2;

impl Registration {
    /// Keeps this VM registered while it is ready, until a planned stop.
    pub async fn keep(self) {
        let mut client = store::Client::new(self.settings.store);
        let mut stop = self.cx.subscribe_stop();
        let mut held = None;
        while !self.cx.is_stopping() {
            held = self.round(&mut client, held).await;
            self.tell_crashes(&mut client).await;
            let pause = match &held {
                Some(held) => registration::renewal_interval(held.lasts),
                None => RETRY,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.cx.wait_for_data(), if held.is_none() => {}
                _ = stop.changed() => {}
            }
        }
        if let Some(held) = held
            && let Err(err) = client.end_lease(held.lease).await
        {
            slog::warn!(self.cx.log, "registration not taken back, it lapses by itself"; "error" => %err);
        }
    }

    async fn round(&self, client: &mut store::Client, held: Option<Held>) -> Option<Held> {
        // Where all start for the first time, no caller is sent to one that is not ready.
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
            // A store that took the key away does not say so when the lease is renewed.
            Ok(()) if unseen > UNSEEN => self.register(client).await,
            Ok(()) if held.said != self.entry() => self.say(client, held.lease, held.lasts).await,
            Ok(()) => Some(Held { unseen, ..held }),
            Err(store::Error::Condition(_)) => self.register(client).await,
            Err(_) => Some(held),
        }
    }

    /// Tells all entry VMs of the crashes seen here.
    async fn tell_crashes(&self, client: &mut store::Client) {
        let untold = self.cx.take_crash_reports();
        if untold.is_empty() {
            return;
        }
        if let Err(err) = self.write_crashes(client, &untold).await {
            slog::info!(self.cx.log, "crashes not told yet"; "crashes" => untold.len(), "error" => %err);
            self.cx.queue_crash_reports(untold);
        }
    }

    async fn write_crashes(
        &self,
        client: &mut store::Client,
        crashes: &[cluster_state::Crash],
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
        registration::lease_ttl(self.cx.is_spare(), self.settings.dead_named)
    }

    async fn register(&self, client: &mut store::Client) -> Option<Held> {
        let lasts = self.lasts();
        match client.lease(lasts).await {
            Ok(lease) => self.say(client, lease, lasts).await,
            Err(err) => {
                slog::info!(self.cx.log, "not registered"; "error" => %err);
                None
            }
        }
    }

    /// Writes what others should know of this VM.
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
                slog::info!(self.cx.log, "not registered"; "error" => %err);
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
