//! Applies the store's records to the gateway.

use std::time;

use crate::coordination::{registration, removal_guard, unconfirmed};
use crate::gateway::cluster_state::Effect;
use crate::gateway::{mirror as store_mirror, registering};
use crate::metrics as metric_names;
use crate::protocol::mirror;
use crate::{gateway, id};

use super::{decode, names, store};

/// How long what operators wrote stays in force without being written again to a restored store.
const OPERATOR_HOLD: time::Duration = time::Duration::from_secs(60);

/// Prefix of the watch. All keys in the store concern entry VMs, so a single watch covers them.
const WATCH_PREFIX: &str = "";

/// Prefixes that together cover all records. They are read in parallel: each page costs a round trip
/// (0.11 s from another region), and in sequence these would delay the start after a loss of all VMs.
const READ_PREFIXES: [&str; 3] = [
    names::ENTRY_VM_PREFIX,
    names::OPERATOR_PREFIX,
    names::BACKEND_PREFIX,
];

/// Source of the records in the platform's store.
#[derive(Debug)]
pub struct Feed {
    cx: gateway::Gateway,
    client: store::Client,
    /// Clients for reading the second and the third prefix in parallel.
    parallel_clients: [store::Client; READ_PREFIXES.len() - 1],
    /// The store's epoch as last stated.
    epoch: Option<u64>,
    /// The longest lease of an entry VM's registration.
    entry_lease: time::Duration,
}

impl Feed {
    /// Creates a feed from the store at `addr`. Callers may be given the address of a dead entry VM
    /// for `dead_vm_ttl`.
    pub fn new(
        cx: gateway::Gateway,
        addr: std::net::SocketAddr,
        dead_vm_ttl: time::Duration,
    ) -> Self {
        Self {
            cx,
            client: store::Client::new(addr),
            parallel_clients: std::array::from_fn(|_| store::Client::new(addr)),
            epoch: None,
            entry_lease: registration::lease_ttl(true, dead_vm_ttl),
        }
    }

    /// Takes over the epoch that the last response stated. Logs a new one, and one that cannot be read.
    fn update_epoch(&mut self) {
        match self.client.epoch() {
            mirror::StatedEpoch::Known(epoch) if Some(*epoch) != self.epoch => {
                slog::info!(self.cx.log, "store's epoch"; "epoch" => epoch, "before" => self.epoch);
                metrics::gauge!(metric_names::STORE_EPOCH).set(*epoch as f64);
                self.epoch = Some(*epoch);
            }
            mirror::StatedEpoch::Unreadable(text) => {
                if let Some(left_out) = self.cx.log_limiter.admit("epoch", self.cx.now()) {
                    slog::warn!(self.cx.log, "store's epoch cannot be read; going by its revisions alone"; "value" => text, "left_out" => left_out);
                }
            }
            mirror::StatedEpoch::Known(_) | mirror::StatedEpoch::Missing => {}
        }
    }

    /// The position that a full read leads to. A store that states no epoch has a single one.
    fn position(&self, stamp: store::Stamp) -> mirror::Position {
        mirror::Position {
            epoch: stamp.epoch.or(self.epoch).unwrap_or_default(),
            revision: stamp.revision,
        }
    }

    fn try_apply(&self, record: &mirror::Record) -> Result<Effect, decode::Error> {
        let key = record.key.as_str();
        let value = record.value.as_deref();
        if let Some(name) = key.strip_prefix(names::BACKEND_PREFIX) {
            return match decode::backend_name(name) {
                Ok(name) => self.apply_backend(&name, value),
                // It was never used, so its removal changes nothing.
                Err(_) if value.is_none() => Ok(Effect::None),
                Err(err) => Err(err),
            };
        }
        if let Some(az) = key.strip_prefix(names::EVACUATION_PREFIX) {
            return Ok(self.cx.evacuate(&az.into(), value.is_some()).into());
        }
        if let Some(entry) = key.strip_prefix(names::REGISTRATION_PREFIX) {
            let vm = entry.rsplit('/').next().unwrap_or(entry);
            return self.apply_entry(&vm.into(), value);
        }
        if let Some(crash) = key
            .strip_prefix(names::CRASH_PREFIX)
            .and_then(decode::crash)
        {
            return Ok(self.cx.apply_crash_report(&crash, value.is_some()).into());
        }
        match value {
            Some(value) if key == names::CONFIG_KEY => {
                Ok(self.cx.update_routes(decode::config(value)?))
            }
            // Routes stay in force until there are newer ones.
            None if key == names::CONFIG_KEY => Ok(Effect::Rejected),
            _ => Ok(Effect::None),
        }
    }

    fn apply_backend(
        &self,
        name: &id::VmId,
        value: Option<&[u8]>,
    ) -> Result<Effect, decode::Error> {
        let Some(value) = value else {
            self.cx.remove_backend(name);
            return Ok(Effect::Changed);
        };
        Ok(match decode::backend(value, self.cx.now()) {
            Ok(listed) => self.cx.update_backend(name, listed),
            Err(err) => {
                self.cx
                    .log_rejected(&format!("{}{name}", names::BACKEND_PREFIX), &err);
                self.cx.remove_unreadable_backend(name).into()
            }
        })
    }

    fn apply_entry(&self, vm: &id::VmId, value: Option<&[u8]>) -> Result<Effect, decode::Error> {
        let changed = match value {
            Some(value) => self.cx.update_entry(vm, decode::entry(value)?),
            None => self.cx.remove_entry(vm),
        };
        Ok(changed.into())
    }
}

/// Replaces customer keys in the records by digests, so that no key is kept or sent to other VMs.
fn with_hashed_keys(mut records: Vec<mirror::Record>) -> Vec<mirror::Record> {
    for record in records.iter_mut().filter(|r| r.key == names::CONFIG_KEY) {
        record.value = record.value.as_deref().map(|v| decode::hash_keys(v).into());
    }
    records
}

impl store_mirror::Source for Feed {
    type Error = store::Error;

    async fn read(&mut self, stale: bool) -> Result<store_mirror::Changes, store::Error> {
        let [second, third] = &mut self.parallel_clients;
        let [first_prefix, second_prefix, third_prefix] = READ_PREFIXES;
        let parts = tokio::try_join!(
            self.client.range(first_prefix, stale),
            second.range(second_prefix, stale),
            third.range(third_prefix, stale),
        );
        self.parallel_clients
            .iter_mut()
            .for_each(store::Client::close);
        self.update_epoch();
        let (first, second, third) = parts?;
        let (mut records, first_stamp) = first;
        let mut stamp = first_stamp;
        for (part, part_stamp) in [second, third] {
            records.extend(part);
            // A watch from the oldest revision returns all changes since any of the reads.
            stamp = stamp.older(part_stamp)?;
        }
        Ok((with_hashed_keys(records), self.position(stamp)))
    }

    async fn read_zone(&mut self) -> Result<Vec<mirror::Record>, store::Error> {
        let prefix = names::registration_prefix(&self.cx.cfg.az);
        let [second, third] = &mut self.parallel_clients;
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
        after: mirror::Position,
        wait: time::Duration,
    ) -> Result<store_mirror::Changes, store_mirror::ReadError<store::Error>> {
        let answer = self.client.watch(WATCH_PREFIX, after.revision, wait).await;
        self.update_epoch();
        match answer {
            // What changed since a revision of another epoch says nothing about these records.
            Ok((_, stamp)) if stamp.epoch.is_some_and(|epoch| epoch != after.epoch) => {
                Err(store_mirror::ReadError::Gap)
            }
            Ok((records, stamp)) => {
                let revision = stamp.revision;
                let changes = with_hashed_keys(records);
                Ok((changes, mirror::Position { revision, ..after }))
            }
            Err(store::Error::Gap) => Err(store_mirror::ReadError::Gap),
            Err(err) => Err(store_mirror::ReadError::Failed(err)),
        }
    }

    fn apply(&self, record: &mirror::Record) -> Effect {
        if record.value.is_none() {
            self.cx.forget_rejection(&record.key);
        }
        self.try_apply(record).unwrap_or_else(|err| {
            self.cx.log_rejected(&record.key, &err);
            Effect::Rejected
        })
    }

    fn hold(&self, key: &str) -> unconfirmed::Hold {
        let is_of = |prefix: &str| key.starts_with(prefix);
        let (lasts, leased) = match () {
            () if is_of(names::OPERATOR_PREFIX) => (OPERATOR_HOLD, false),
            () if is_of(names::BACKEND_PREFIX) => (removal_guard::REMOVAL_HOLD, true),
            () if is_of(names::REGISTRATION_PREFIX) => (self.entry_lease, true),
            () if is_of(names::CRASH_PREFIX) => (registering::CRASH_RECORD_TTL, true),
            () => return unconfirmed::Hold::default(),
        };
        unconfirmed::Hold { lasts, leased }
    }
}
