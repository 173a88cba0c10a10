//! Keeps this VM registered in the platform's store, and publishes the crashes that it has observed.

use std::net;
use std::time;

use super::Gateway;
use super::{cluster_state, mirror as store_mirror};
use crate::coordination::registration;
use crate::decisions::policy;
use crate::protocol::mirror;
use crate::state::entries;

/// TTL of a crash record, which counts against the requests that were in flight: longer than callers
/// retry, and short enough that a repaired service soon gets these requests again.
pub const CRASH_RECORD_TTL: time::Duration = time::Duration::from_secs(90);

/// Calls that took longer count as hung. Others take up to 0.3 s, also to a slow store or from a
/// distant region, and a shorter pause after them would only add calls.
const HUNG_CALL: time::Duration = time::Duration::from_millis(500);

/// Pause between attempts while this VM is not registered.
const REGISTRATION_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// The part of the platform's store that this VM writes to.
pub trait Registry {
    /// The error of a failed call.
    type Error: std::fmt::Display;

    /// The record that [`Registry::publish`] writes.
    fn record(&self, entry: &entries::Entry) -> Result<mirror::Record, Self::Error>;

    /// Takes a lease.
    fn lease(&mut self, ttl: time::Duration) -> impl Future<Output = Result<u64, Self::Error>>;

    /// Renews a lease. Returns whether it still exists.
    fn renew(&mut self, lease: u64) -> impl Future<Output = Result<bool, Self::Error>>;

    /// Ends a lease and removes what was written under it.
    fn end(&mut self, lease: u64) -> impl Future<Output = Result<(), Self::Error>>;

    /// Writes this VM's entry under a lease.
    fn publish(
        &mut self,
        entry: &entries::Entry,
        lease: u64,
    ) -> impl Future<Output = Result<(), Self::Error>>;

    /// Writes crash reports under a lease.
    fn publish_crashes(
        &mut self,
        crashes: &[cluster_state::Crash],
        lease: u64,
    ) -> impl Future<Output = Result<(), Self::Error>>;
}

/// Crashes that this VM has published, within the TTL of their records.
#[derive(Debug, Default)]
pub struct PublishedCrashes {
    /// The store's epoch to which they were written.
    epoch: u64,
    crashes: Vec<(policy::Moment, cluster_state::Crash)>,
}

impl PublishedCrashes {
    /// Records published crashes.
    pub fn add(&mut self, now: policy::Moment, crashes: &[cluster_state::Crash]) {
        self.drop_expired(now);
        let published = crashes.iter().map(|crash| (now, crash.clone()));
        self.crashes.extend(published);
    }

    /// Takes the crashes that the store may have lost, once for each epoch.
    pub fn take_lost(&mut self, now: policy::Moment, epoch: u64) -> Vec<cluster_state::Crash> {
        if std::mem::replace(&mut self.epoch, epoch) == epoch {
            return Vec::new();
        }
        self.drop_expired(now);
        let lost = std::mem::take(&mut self.crashes).into_iter();
        lost.map(|(_, crash)| crash).collect()
    }

    fn drop_expired(&mut self, now: policy::Moment) {
        self.crashes
            .retain(|(published, _)| now < *published + CRASH_RECORD_TTL);
    }
}

/// Keeps this VM's registration in the store.
#[derive(Debug)]
pub struct Registration<R> {
    /// The gateway.
    pub cx: Gateway,
    /// Local copy of the store's records.
    pub mirror: store_mirror::Mirror,
    /// The store.
    pub registry: R,
    /// The peer address of this VM.
    pub peers: Option<net::SocketAddr>,
    /// How long callers may be given the address of an entry VM that has ended.
    pub dead_vm_ttl: time::Duration,
    /// Crashes that may have to be published again.
    pub published: PublishedCrashes,
}

/// A registration that was written to the store.
#[derive(Clone, Debug)]
struct ActiveRegistration {
    lease: u64,
    /// TTL of the lease.
    ttl: time::Duration,
    /// Consecutive renewals at which the local copy of the store lacked this entry.
    unconfirmed_renewals: u32,
    /// The store's epoch in which the entry was last confirmed or written.
    epoch: u64,
    /// The entry that was written.
    entry: entries::Entry,
}

/// Consecutive renewals without the entry in the local copy of the store before it is written again.
/// The copy lags by less than two renewals.
const MAX_UNCONFIRMED_RENEWALS: u32 = 2;

impl<R: Registry> Registration<R> {
    /// Registers this VM once it is ready, and ends the registration on a planned stop.
    pub async fn maintain(mut self) {
        let mut stop = self.cx.subscribe_stop();
        let mut active = None;
        while !self.cx.is_stopping() {
            let begun = tokio::time::Instant::now();
            active = self.renew_or_register(active).await;
            self.publish_crashes().await;
            // The interval includes calls that hung. If it began after a call that hung beyond the end of
            // an outage, the next renewal could come after the lease has lapsed.
            let ended = tokio::time::Instant::now();
            let from = match ended.duration_since(begun) < HUNG_CALL {
                true => ended,
                false => begun,
            };
            let next = match &active {
                Some(active) => from + registration::renewal_interval(active.ttl),
                None => ended + REGISTRATION_RETRY_DELAY,
            };
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                () = self.cx.wait_for_data(), if active.is_none() => {}
                _ = stop.changed() => {}
            }
        }
        if let Some(active) = active
            && let Err(err) = self.registry.end(active.lease).await
        {
            slog::warn!(self.cx.log, "cannot end the registration; its lease expires by itself"; "error" => %err);
        }
    }

    async fn renew_or_register(
        &mut self,
        active: Option<ActiveRegistration>,
    ) -> Option<ActiveRegistration> {
        // On the system's first start a VM registers early: no caller is sent to it until it is ready.
        let first_start = self.cx.cfg.first_start && self.cx.table().is_none();
        if !first_start && !self.cx.is_ready() {
            return active;
        }
        let Some(active) = active else {
            return self.register().await;
        };
        let ttl = self.lease_ttl();
        if ttl < active.ttl {
            return self.register().await.or(Some(active));
        }
        let epoch = self.mirror.epoch();
        let unconfirmed_renewals = match self.is_confirmed(&active.entry) {
            true => 0,
            // A restored store may have given the lease's id to another VM.
            false if epoch != active.epoch => return self.register().await.or(Some(active)),
            false => active.unconfirmed_renewals + 1,
        };
        match self.registry.renew(active.lease).await {
            // The store also renews a lease whose key was removed, without reporting that. After its
            // return from a copy, it may also have an older entry.
            Ok(true) if unconfirmed_renewals > MAX_UNCONFIRMED_RENEWALS => self.register().await,
            Ok(true) if active.entry != self.entry() => {
                self.publish_entry(active.lease, active.ttl).await
            }
            Ok(true) => Some(ActiveRegistration {
                unconfirmed_renewals,
                epoch,
                ..active
            }),
            Ok(false) => self.register().await,
            Err(_) => Some(active),
        }
    }

    /// Publishes the crashes that this VM has observed to all entry VMs, and again those that the
    /// store may have lost when it returned from a copy.
    async fn publish_crashes(&mut self) {
        let now = self.cx.now();
        let mut pending = self.cx.take_crash_reports();
        pending.extend(self.published.take_lost(now, self.mirror.epoch()));
        if pending.is_empty() {
            return;
        }
        match self.write_crashes(&pending).await {
            Ok(()) => self.published.add(now, &pending),
            Err(err) => {
                slog::info!(self.cx.log, "cannot publish crashes; will retry"; "crashes" => pending.len(), "error" => %err);
                self.cx.queue_crash_reports(pending);
            }
        }
    }

    async fn write_crashes(&mut self, crashes: &[cluster_state::Crash]) -> Result<(), R::Error> {
        let lease = self.registry.lease(CRASH_RECORD_TTL).await?;
        self.registry.publish_crashes(crashes, lease).await
    }

    fn entry(&self) -> entries::Entry {
        let capacity = &self.cx.cfg.capacity;
        entries::Entry {
            caller_addr: self.cx.cfg.front,
            peer_addr: self.peers,
            az: self.cx.cfg.az.clone(),
            link_mbps: capacity.link_mbps as u32,
            requests_per_s: capacity.requests_per_s(),
            busy: self.cx.is_busy(),
            near_limits: self.cx.near_limits(),
        }
    }

    /// Whether the store has this entry, as far as this VM knows.
    fn is_confirmed(&self, entry: &entries::Entry) -> bool {
        match self.registry.record(entry) {
            Ok(record) => self.mirror.confirms(&record),
            Err(err) => {
                slog::error!(self.cx.log, "cannot encode the registration"; "error" => %err);
                true
            }
        }
    }

    fn lease_ttl(&self) -> time::Duration {
        registration::lease_ttl(self.cx.is_spare(), self.dead_vm_ttl)
    }

    async fn register(&mut self) -> Option<ActiveRegistration> {
        let ttl = self.lease_ttl();
        match self.registry.lease(ttl).await {
            Ok(lease) => self.publish_entry(lease, ttl).await,
            Err(err) => {
                slog::info!(self.cx.log, "registration in the store failed; will retry"; "error" => %err);
                None
            }
        }
    }

    /// Writes this VM's current entry under a lease.
    async fn publish_entry(
        &mut self,
        lease: u64,
        ttl: time::Duration,
    ) -> Option<ActiveRegistration> {
        let entry = self.entry();
        match self.registry.publish(&entry, lease).await {
            Ok(()) => {
                slog::info!(self.cx.log, "registered"; "vm" => %self.cx.cfg.vm, "lease" => lease, "lasts_s" => ttl.as_secs_f64());
                Some(ActiveRegistration {
                    lease,
                    ttl,
                    unconfirmed_renewals: 0,
                    epoch: self.mirror.epoch(),
                    entry,
                })
            }
            Err(err) => {
                slog::info!(self.cx.log, "registration in the store failed; will retry"; "error" => %err);
                None
            }
        }
    }
}
