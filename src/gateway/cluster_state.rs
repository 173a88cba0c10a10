//! Applies updates about routes, backend servers and entry VMs, infers the health of backend
//! servers from the outcomes of sends, and logs each change of state.

use std::rc;
use std::time;

use super::connecting::ConnectError;
use super::{Gateway, attempt, placement};
use crate::coordination::removal_guard;
use crate::decisions::{affinity, ejection, policy, regions};
use crate::id;
use crate::metrics as metric_names;
use crate::protocol::routes;
use crate::state::{backends, entries};
use crate::transport::upstream;

/// How long after the end of an evacuation a zone's backend servers count as cold, unless their
/// entries say otherwise: entries lag by a heartbeat and the propagation delay.
const POST_EVACUATION_COLD_PERIOD: time::Duration = time::Duration::from_secs(3);

/// The effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It changed something that other entry VMs need to know.
    Changed,
    /// It changed nothing of that kind.
    None,
    /// It is invalid or older than what is in force, and was not taken.
    Rejected,
}

impl From<bool> for Effect {
    fn from(changed: bool) -> Self {
        match changed {
            true => Self::Changed,
            false => Self::None,
        }
    }
}

/// A request that was in flight when a backend server crashed.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The run of the backend server that crashed, see [`backends::Backend::incarnation_name`].
    pub run: String,
}

impl Gateway {
    /// Records a crash report, or drops an expired one if `active` is false. Returns whether this
    /// changed anything.
    pub fn apply_crash_report(&self, crash: &Crash, active: bool) -> bool {
        let mut crashes = self.crashes.borrow_mut();
        if !active {
            return crashes.remove_crash(crash.fingerprint, &crash.run);
        }
        let changed = crashes.add_crash(crash.fingerprint, &crash.run);
        if changed && crashes.is_banned(crash.fingerprint) {
            slog::warn!(self.log, "request refused from now on, it crashes backend servers"; "fingerprint" => format!("{:016x}", crash.fingerprint), "backend" => &crash.run);
        }
        changed
    }

    /// Takes the crashes seen here that are not yet reported to other entry VMs.
    pub fn take_crash_reports(&self) -> Vec<Crash> {
        self.pending_crashes.take()
    }

    /// Queues crash reports for the next attempt to write them.
    pub fn queue_crash_reports(&self, crashes: Vec<Crash>) {
        /// More add no information: a lost availability zone breaks this many requests of one VM.
        const MAX_PENDING_CRASH_REPORTS: usize = 128;
        let mut pending_crashes = self.pending_crashes.borrow_mut();
        pending_crashes.extend(crashes);
        pending_crashes.truncate(MAX_PENDING_CRASH_REPORTS);
    }

    /// Applies a version of the routes, unless it is older than the one in force.
    pub fn update_routes(&self, table: routes::Table) -> Effect {
        let known = self.table().map(|t| t.version);
        if known == Some(table.version) {
            return Effect::None;
        }
        if known.is_some_and(|version| version > table.version) {
            slog::warn!(self.log, "routes not taken"; "version" => table.version, "in force" => known, "why" => "older than those in force");
            return Effect::Rejected;
        }
        slog::info!(self.log, "routes"; "version" => table.version, "before" => known, "routes" => table.len(),
            "customers" => table.customers.len(), "keys" => table.customers.key_count(), "homed" => table.customers.region_bound().to_text());
        self.log_changed_weights(self.table().as_deref(), &table);
        self.forget_removed_routes(&table);
        self.set_share_weights(&table);
        *self.table.borrow_mut() = Some(rc::Rc::new(table));
        if known.is_none() {
            self.data_arrived.notify_one();
        }
        Effect::Changed
    }

    /// Applies a backend server's entry. A heartbeat changes nothing.
    pub fn update_backend(&self, id: &id::VmId, mut listed: backends::Listed) -> Effect {
        self.removal_guard.borrow_mut().record_present(id);
        let region = self.cfg.regions.get(&listed.az).cloned();
        let service = listed.service.clone();
        let mut before = self.backends.borrow().get(id).map(|b| b.listed.clone());
        if before.as_ref().is_some_and(|b| b.started_after(&listed)) {
            slog::debug!(self.log, "backend server's entry ignored"; "backend" => %id, "why" => "it is of an earlier start");
            return Effect::Rejected;
        }
        if before.take_if(|b| listed.started_after(b)).is_some() {
            self.end_run(id);
        }
        let now = self.now();
        let was_leaving = before.as_ref().is_some_and(|b| b.leaving);
        if was_leaving && !listed.leaving && self.said_it_leaves(id, now) {
            slog::info!(self.log, "backend server's entry ignored"; "backend" => %id, "why" => "a later one said that it leaves");
            return Effect::Rejected;
        }
        if let Some(before) = &before
            && self.is_store_restoring(now)
        {
            listed.cold_until = listed.cold_until.max(before.cold_until);
        }
        let start = listed.incarnation;
        let leaving = listed.leaving && !was_leaving;
        let cold = listed.cold_until > now;
        let changed = before.as_ref().is_none_or(|b| {
            let same = backends::Listed {
                cold_until: b.cold_until,
                ..listed.clone()
            };
            cold || b.cold_until > now || same != *b
        });
        let says_it_leaves = listed.leaving;
        let mut backends = self.backends.borrow_mut();
        backends.put(id, listed, region);
        if let Some(backend) = backends.get_mut(id).filter(|_| says_it_leaves) {
            backend.stated.withdrawal.leaves(now);
        }
        drop(backends);
        if changed {
            self.waiting.note_change();
        }
        if self.backends.borrow().len() == 1 {
            self.data_arrived.notify_one();
        }
        if before.is_none() {
            // At start thousands of entries arrive, whose lines would flood the log.
            if let Some(left_out) = self.log_limiter.admit("listed", now) {
                slog::info!(self.log, "backend server listed"; "backend" => %id, "service" => %service, "cold" => cold, "start" => start.map(|s| s.0), "left_out" => left_out);
            }
        }
        if leaving {
            slog::info!(self.log, "backend server leaves"; "backend" => %id, "service" => %service);
        }
        changed.into()
    }

    /// Whether a backend server has said not long ago that it leaves.
    fn said_it_leaves(&self, id: &id::VmId, now: policy::Moment) -> bool {
        let backends = self.backends.borrow();
        let backend = backends.get(id);
        backend.is_some_and(|b| b.stated.withdrawal.is_leaving(now))
    }

    /// Notes that the store has returned from an older copy.
    pub fn record_restored_store(&self) {
        self.store_restored_at.set(Some(self.now()));
    }

    /// Whether entries in the store may still be those of an older copy.
    fn is_store_restoring(&self, now: policy::Moment) -> bool {
        let is_recent = |at: policy::Moment| now < at + removal_guard::REMOVAL_HOLD;
        self.store_restored_at.get().is_some_and(is_recent)
    }

    /// Handles the removal of a backend server's entry.
    pub fn remove_backend(&self, id: &id::VmId) {
        let at_once = self
            .removal_guard
            .borrow_mut()
            .record_missing(self.now(), id);
        if at_once {
            self.drop_backend(id, "not listed");
        } else {
            slog::info!(self.log, "backend server's entry missing; keeping the backend server for now"; "backend" => %id, "hold_ms" => removal_guard::REMOVAL_HOLD.as_millis() as u64);
        }
    }

    /// Removes a backend server whose entry cannot be read: its earlier entry need not hold any
    /// more, and requests would go to an unconfirmed address. Returns whether it was known.
    pub fn remove_unreadable_backend(&self, id: &id::VmId) -> bool {
        self.removal_guard.borrow_mut().record_present(id);
        self.drop_backend(id, "entry cannot be read")
    }

    /// Logs a record of the store that is not used: once for each key until the key is removed, since its
    /// writer may go on writing it.
    pub fn log_rejected(&self, key: &str, err: &impl std::fmt::Display) {
        /// More keys than this are not logged, so that the set stays small.
        const MAX_REJECTED_KEYS: usize = 1024;
        let mut rejected = self.rejected_keys.borrow_mut();
        let is_first =
            rejected.len() < MAX_REJECTED_KEYS && rejected.insert(affinity::hash(key.as_bytes()));
        if is_first && let Some(left_out) = self.log_limiter.admit("rejected", self.now()) {
            slog::warn!(self.log, "record from the store rejected"; "key" => key, "error" => %err, "left_out" => left_out);
        }
    }

    /// Forgets that a record of this key was rejected.
    pub fn forget_rejection(&self, key: &str) {
        let mut rejected = self.rejected_keys.borrow_mut();
        if !rejected.is_empty() {
            rejected.remove(&affinity::hash(key.as_bytes()));
        }
    }

    /// Handles a restart of a backend server under its name. Requests in flight there are lost, and
    /// the state of the old run is discarded: its failures would keep the new run ejected, and
    /// requests would wait until their deadlines for answers that cannot come.
    fn end_run(&self, id: &id::VmId) {
        let Some(old) = self.backends.borrow_mut().remove(id) else {
            return;
        };
        self.pool.borrow_mut().drop_all(id);
        slog::info!(self.log, "backend server started again"; "backend" => %id, "in_flight" => old.in_flight);
        old.ended().notify_waiters();
        let run = old.incarnation_name();
        let crashed = self.crashes.borrow_mut().restarted(self.now(), &run);
        self.record_run_crash(&run, crashed);
    }

    fn drop_backend(&self, id: &id::VmId, why: &'static str) -> bool {
        let known = self.backends.borrow_mut().remove_unlisted(id, self.now());
        if known {
            self.waiting.note_change();
            self.pool.borrow_mut().drop_all(id);
            if let Some(left_out) = self.log_limiter.admit("gone", self.now()) {
                slog::info!(self.log, "backend server gone"; "backend" => %id, "why" => why, "left_out" => left_out);
            }
        }
        known
    }

    /// Notes an answer from the store.
    pub fn record_store_answer(&self) {
        let outage = self.removal_guard.borrow_mut().record_answer(self.now());
        if let Some(outage) = outage {
            slog::info!(self.log, "store is back"; "away_ms" => outage.as_millis() as u64);
        }
    }

    /// Notes a failed call to the store. Returns whether it is the first in a row.
    pub fn record_store_failure(&self) -> bool {
        self.removal_guard.borrow_mut().record_failure()
    }

    /// Time since the store last answered; `None` if it never did.
    pub fn store_age(&self) -> Option<time::Duration> {
        self.removal_guard.borrow().answer_age(self.now())
    }

    /// Starts or ends an availability zone's evacuation, during which its backend servers get no
    /// requests. Returns whether this changed anything.
    pub fn evacuate(&self, az: &id::AzId, evacuated: bool) -> bool {
        let changed = match evacuated {
            true => self.evacuated.borrow_mut().insert(az.clone()),
            false => self.evacuated.borrow_mut().remove(az),
        };
        if !changed {
            return false;
        }
        self.waiting.note_change();
        slog::info!(self.log, "evacuation"; "az" => %az, "evacuated" => evacuated);
        if evacuated {
            return true;
        }
        let until = self.now() + POST_EVACUATION_COLD_PERIOD;
        let mut backends = self.backends.borrow_mut();
        for backend in backends.iter_mut().filter(|b| b.listed.az == *az) {
            backend.listed.cold_until = backend.listed.cold_until.max(until);
        }
        true
    }

    /// Adds or updates an entry VM. Returns whether this changed anything.
    pub fn update_entry(&self, vm: &id::VmId, entry: entries::Entry) -> bool {
        let az = entry.az.clone();
        self.quotas
            .borrow_mut()
            .restore_near_limits(self.now(), &entry.near_limits);
        let changed = self.entries.borrow_mut().put(vm.clone(), entry);
        if changed && let Some(left_out) = self.log_limiter.admit("entry listed", self.now()) {
            slog::info!(self.log, "entry VM listed"; "vm" => %vm, "az" => %az, "left_out" => left_out);
        }
        changed
    }

    /// Removes an entry VM. Returns whether it was known.
    pub fn remove_entry(&self, vm: &id::VmId) -> bool {
        let changed = self.entries.borrow_mut().remove(vm);
        self.pool.borrow_mut().drop_through(vm);
        if changed && let Some(left_out) = self.log_limiter.admit("entry gone", self.now()) {
            slog::info!(self.log, "entry VM gone"; "vm" => %vm, "left_out" => left_out);
        }
        changed
    }

    /// Updates the state of the backend server and its service after a send.
    pub(super) fn record_outcome(
        &self,
        job: &attempt::Job,
        at: &placement::Run,
        started: policy::Moment,
        outcome: &attempt::Outcome,
        is_direct: bool,
    ) {
        if self.is_own_failure(outcome, is_direct) {
            return;
        }
        self.detect_crash(job, at, outcome);
        let (now, id) = (self.now(), &at.id);
        let cfg = &self.cfg.thresholds.ejection;
        let everywhere = self.update_declines(job, id, outcome);
        let mut backends = self.backends.borrow_mut();
        // The outcome of one run must not count against the next.
        let Some(backend) = backends.get_mut(id).filter(|b| at.is_of(b)) else {
            return;
        };
        let (eject, down) = match outcome {
            attempt::Outcome::Answer { failed: false, .. } => {
                if backend.health.answered(cfg) {
                    self.waiting.note_change();
                    slog::info!(self.log, "backend server's trial passed"; "backend" => %id, "service" => %job.service);
                }
                backend.declined = false;
                backend.limit.answered(&self.cfg.thresholds.limit);
                (false, false)
            }
            attempt::Outcome::Answer { failed: true, .. } => (backend.health.failed(cfg), false),
            attempt::Outcome::NotRun(attempt::NotRun::Declined) if everywhere => (false, false),
            attempt::Outcome::NotRun(attempt::NotRun::Shed | attempt::NotRun::Declined) => {
                backend.limit.shed(&self.cfg.thresholds.limit, now);
                (false, false)
            }
            attempt::Outcome::NotRun(attempt::NotRun::NoConnection(_)) => {
                (backend.health.broke(cfg), true)
            }
            attempt::Outcome::NotRun(attempt::NotRun::Misdirected) => (true, true),
            attempt::Outcome::Unknown(upstream::Failure::CallerDisconnected) => (false, false),
            attempt::Outcome::Unknown(_) => (backend.health.failed(cfg), false),
        };
        let eject = eject && (down || self.may_eject(&backends, &job.service));
        if eject && let Some(backend) = backends.get_mut(id) {
            backend.health.eject(cfg, now, down);
        }
        drop(backends);
        if eject {
            self.ejected(job, id, down, outcome.as_str());
        }
        if let attempt::Outcome::Answer { failed: false, .. } = outcome {
            let took = now.saturating_sub(started);
            let scheduled = self.schedules_returns();
            self.with_service(&job.service, |state| {
                state.record_latency(took);
                if scheduled {
                    state.returns.responded(now);
                }
            });
        }
    }

    /// Whether a send failed because this VM is cut off or has no file descriptors, and not because of
    /// the backend server.
    fn is_own_failure(&self, outcome: &attempt::Outcome, is_direct: bool) -> bool {
        match outcome {
            attempt::Outcome::NotRun(attempt::NotRun::NoConnection(err)) => {
                matches!(err, ConnectError::CutOff | ConnectError::NoDescriptors)
                    || self.reachability.borrow().explains_failure(self.now())
            }
            attempt::Outcome::Unknown(_) => self.is_cut_off() && is_direct,
            _ => false,
        }
    }

    /// Counts a failure against a backend server that has not answered within the hedge delay.
    pub(super) fn record_hang(&self, job: &attempt::Job, id: &id::VmId, sent: policy::Moment) {
        if self.is_cut_off() || self.is_long_work(&job.service, id, sent) {
            return;
        }
        let now = self.now();
        let cfg = &self.cfg.thresholds.ejection;
        let mut backends = self.backends.borrow_mut();
        let failed = backends.get_mut(id).is_some_and(|b| b.health.failed(cfg));
        if failed
            && self.may_eject(&backends, &job.service)
            && let Some(backend) = backends.get_mut(id)
        {
            backend.health.eject(cfg, now, false);
            self.ejected(job, id, false, "hangs");
        }
    }

    /// Whether one more backend server of a service may be ejected.
    fn may_eject(&self, backends: &backends::Backends, service: &id::ServiceId) -> bool {
        let out = backends
            .of_service(service)
            .filter(|b| b.health.state() != ejection::State::Active)
            .count();
        let members = backends.of_service(service).count();
        ejection::may_eject_outlier(&self.cfg.thresholds.ejection, members, out)
    }

    /// Logs and counts the ejection of a backend server.
    fn ejected(&self, job: &attempt::Job, id: &id::VmId, down: bool, why: &'static str) {
        self.waiting.note_change();
        slog::info!(self.log, "backend server ejected"; "backend" => %id, "down" => down, "why" => why);
        let service = self.labels.label(job.service.as_str());
        metrics::counter!(metric_names::EJECTIONS, "service" => service).increment(1);
        if down {
            self.pool.borrow_mut().drop_all(id);
        }
    }

    /// Runs the periodic tasks until the process ends.
    pub async fn upkeep(self) {
        let mut every = tokio::time::interval(self.cfg.thresholds.regions.step_interval);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            self.pool.borrow_mut().sweep();
            let known = self.backends.borrow().len();
            let overdue = self
                .removal_guard
                .borrow_mut()
                .take_overdue(self.now(), known);
            for id in &overdue {
                self.drop_backend(id, "not listed");
            }
            self.update_shares();
            self.update_busy();
            self.check_links_if_due();
            self.check_silent_carriers();
        }
    }

    /// Updates for each service the share of requests that other regions serve.
    fn update_shares(&self) {
        /// Factor by which the request count decays in each step.
        const TRAFFIC_DECAY_FACTOR: f64 = 0.9;
        let Some(table) = self.table() else {
            return;
        };
        let now = self.now();
        let mut services: Vec<id::ServiceId> = table.services.keys().cloned().collect();
        services.sort_unstable();
        let views: Vec<regions::View> = services.iter().map(|s| self.region_view(s, now)).collect();
        let total: f64 = views.iter().map(|v| v.traffic).sum::<f64>().max(1.0);
        let views: Vec<regions::View> = views
            .into_iter()
            .map(|v| regions::View {
                traffic: v.traffic / total,
                ..v
            })
            .collect();
        let mut shares: Vec<regions::Share> = services
            .iter()
            .map(|s| self.with_service(s, |state| state.remote_share))
            .collect();
        regions::step(&self.cfg.thresholds.regions, &views, &mut shares);
        for (service, share) in services.iter().zip(shares) {
            self.with_service(service, |state| {
                state.remote_share = share;
                state.traffic *= TRAFFIC_DECAY_FACTOR;
            });
        }
    }

    fn region_view(&self, service: &id::ServiceId, now: policy::Moment) -> regions::View {
        let backends = self.backends.borrow();
        let evacuated = self.evacuated.borrow();
        let usable = |b: &&backends::Backend| {
            !b.is_leaving(now)
                && !evacuated.contains(&b.listed.az)
                && !matches!(
                    b.health.state(),
                    ejection::State::Ejected { down: true, .. }
                )
        };
        let latency_s = self.with_service(service, |state| state.mean_latency_s);
        let (mut own, mut all, mut load) = (0.0, 0.0, 0.0);
        for backend in backends.of_service(service).filter(usable) {
            let slots = backend.usable_slots(latency_s);
            all += slots;
            if backend.region == self.region {
                own += slots;
                load += backend.load(now);
            }
        }
        let table = self.table();
        let homed = table.as_ref().map(|table| table.customers.region_bound());
        let zones = self.cfg.regions.len().max(1) as f64;
        let in_region = self
            .cfg
            .regions
            .values()
            .filter(|r| Some(*r) == self.region.as_ref())
            .count() as f64;
        regions::View {
            local_slots: own,
            all_slots: all,
            callers: in_region / zones,
            load: load / f64::max(own, 1.0),
            traffic: self.with_service(service, |state| state.traffic),
            pinned_here: homed.map_or(0.0, |h| h.share(self.region.as_ref())),
            pinned: homed.map_or(0.0, |h| h.total()),
        }
    }
}
