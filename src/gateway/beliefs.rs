//! What the process is told about routes, backend servers and entry VMs, and what it concludes
//! from how sends end. Each change of belief writes one line.

use std::rc;
use std::time;

use super::{Gateway, attempt, place};
use crate::coordination::removal_guard;
use crate::decisions::{ejection, policy, regions};
use crate::id;
use crate::metrics as known;
use crate::protocol::routes;
use crate::state::{backends, entries};
use crate::transport::upstream;

/// How long after an evacuation's end a zone's backend servers count as cold unless the list says
/// otherwise: the list lags by a heartbeat and its way.
const UNSURE: time::Duration = time::Duration::from_secs(3);

/// A request that was in flight when a backend server crashed.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// What marks the request.
    pub fingerprint: u64,
    /// The name of the backend server's run that crashed, see [`backends::Backend::run_name`].
    pub run: String,
}

impl Gateway {
    /// Learns of a crash from another entry VM, or that it is long ago. Returns whether that is
    /// news.
    pub fn learn_crash(&self, crash: &Crash, counts: bool) -> bool {
        let mut crashes = self.crashes.borrow_mut();
        if !counts {
            return crashes.remove_crash(crash.fingerprint, &crash.run);
        }
        let news = crashes.add_crash(crash.fingerprint, &crash.run);
        if news && crashes.is_banned(crash.fingerprint) {
            slog::warn!(self.log, "request refused from now on, it crashes backend servers"; "fingerprint" => format!("{:016x}", crash.fingerprint), "backend" => &crash.run);
        }
        news
    }

    /// Crashes seen here that others are to be told of.
    pub fn untold_crashes(&self) -> Vec<Crash> {
        self.untold.take()
    }

    /// Those that could not be told are kept for the next time.
    pub fn keep_untold(&self, crashes: Vec<Crash>) {
        /// More tell nothing new: a lost zone breaks this many requests of one VM.
        const MOST: usize = 128;
        let mut untold = self.untold.borrow_mut();
        untold.extend(crashes);
        untold.truncate(MOST);
    }

    /// Learns from a send whether its backend server crashed.
    fn judge_crash(&self, job: &attempt::Job, run: &str, outcome: &attempt::Outcome) {
        match outcome {
            attempt::Outcome::Unknown(upstream::Failure::Lost) => {
                let mut crashes = self.crashes.borrow_mut();
                crashes.connection_broke(self.now(), job.fingerprint, run);
            }
            attempt::Outcome::NotRun(attempt::NotRun::NoConnection) => {
                let crashed = self
                    .crashes
                    .borrow_mut()
                    .connection_refused(self.now(), run);
                self.crashed(run, crashed);
            }
            _ => {}
        }
    }

    /// A run of a backend server crashed while these requests were in flight there.
    fn crashed(&self, run: &str, fingerprints: Vec<u64>) {
        let crashed: Vec<Crash> = fingerprints
            .into_iter()
            .map(|fingerprint| Crash {
                fingerprint,
                run: run.to_owned(),
            })
            .collect();
        for crash in &crashed {
            self.learn_crash(crash, true);
        }
        self.keep_untold(crashed);
    }

    /// Takes a version of the routes. An older one than that in force changes nothing.
    pub fn learn_routes(&self, table: routes::Table) -> bool {
        let known = self.table().map(|t| t.version);
        if known == Some(table.version) {
            return false;
        }
        if known.is_some_and(|version| version > table.version) {
            slog::warn!(self.log, "routes not taken"; "version" => table.version, "in force" => known, "why" => "older than those in force");
            return false;
        }
        slog::info!(self.log, "routes"; "version" => table.version, "before" => known, "routes" => table.len(),
            "customers" => table.customers.len(), "keys" => table.customers.keys(), "homed" => table.customers.homed().to_text());
        *self.table.borrow_mut() = Some(rc::Rc::new(table));
        if known.is_none() {
            self.came.notify_one();
        }
        true
    }

    /// Takes what the list says of a backend server. Returns whether it is more than a heartbeat.
    pub fn learn_backend(&self, id: &id::VmId, listed: backends::Listed) -> bool {
        self.removal_guard.borrow_mut().record_present(id);
        let region = self.cfg.regions.get(&listed.az).cloned();
        let service = listed.service.clone();
        let mut before = self.backends.borrow().get(id).map(|b| b.listed.clone());
        if before.as_ref().is_some_and(|b| b.started_after(&listed)) {
            slog::debug!(self.log, "backend server's entry not taken"; "backend" => %id, "why" => "it is of an earlier start");
            return false;
        }
        if before.take_if(|b| listed.started_after(b)).is_some() {
            self.end_run(id);
        }
        let start = listed.start;
        let leaving = listed.leaving && before.as_ref().is_none_or(|b| !b.leaving);
        let now = self.now();
        let cold = listed.cold_until > now;
        let news = before.as_ref().is_none_or(|b| {
            let same = backends::Listed {
                cold_until: b.cold_until,
                ..listed.clone()
            };
            cold || b.cold_until > now || same != *b
        });
        self.backends.borrow_mut().put(id, listed, region);
        if self.backends.borrow().len() == 1 {
            self.came.notify_one();
        }
        if before.is_none() {
            // A start takes a list of thousands, which would push all other lines out of the log.
            if let Some(left_out) = self.lines.admit("listed", now) {
                slog::info!(self.log, "backend server listed"; "backend" => %id, "service" => %service, "cold" => cold, "start" => start.map(|s| s.0), "left_out" => left_out);
            }
        }
        if leaving {
            slog::info!(self.log, "backend server leaves"; "backend" => %id, "service" => %service);
        }
        news
    }

    /// The list no longer has a backend server.
    pub fn lose_backend(&self, id: &id::VmId) {
        let at_once = self
            .removal_guard
            .borrow_mut()
            .record_missing(self.now(), id);
        if at_once {
            self.forget(id, "not listed");
        } else {
            slog::info!(self.log, "backend server missing, kept for now"; "backend" => %id, "hold_ms" => removal_guard::REMOVAL_HOLD.as_millis() as u64);
        }
    }

    /// What the list says of a backend server cannot be read, so it names none: whatever wrote
    /// there, what was known before need no longer hold, and requests would go on to an address
    /// that nobody vouches for. Returns whether it was known.
    pub fn disown_backend(&self, id: &id::VmId, why: &impl std::fmt::Display) -> bool {
        if let Some(left_out) = self.lines.admit("entry", self.now()) {
            slog::warn!(self.log, "backend server's entry cannot be read"; "backend" => %id, "error" => %why, "left_out" => left_out);
        }
        self.removal_guard.borrow_mut().record_present(id);
        self.forget(id, "entry cannot be read")
    }

    /// A backend server has started again under its name. What ran there is lost and what was
    /// seen of it says nothing of the new run: kept, its failures would keep the new one out,
    /// and requests would wait to their deadlines for answers that cannot come.
    fn end_run(&self, id: &id::VmId) {
        let Some(old) = self.backends.borrow_mut().remove(id) else {
            return;
        };
        self.pool.borrow_mut().drop_all(id);
        slog::info!(self.log, "backend server started again"; "backend" => %id, "in_flight" => old.in_flight);
        old.ended().notify_waiters();
        let run = old.run_name();
        let crashed = self.crashes.borrow_mut().restarted(self.now(), &run);
        self.crashed(&run, crashed);
    }

    fn forget(&self, id: &id::VmId, why: &'static str) -> bool {
        let known = self.backends.borrow_mut().remove(id).is_some();
        if known {
            self.pool.borrow_mut().drop_all(id);
            if let Some(left_out) = self.lines.admit("gone", self.now()) {
                slog::info!(self.log, "backend server gone"; "backend" => %id, "why" => why, "left_out" => left_out);
            }
        }
        known
    }

    /// The store answered.
    pub fn heard_store(&self) {
        let away = self.removal_guard.borrow_mut().record_answer(self.now());
        if let Some(away) = away {
            slog::info!(self.log, "store is back"; "away_ms" => away.as_millis() as u64);
        }
    }

    /// A call to the store failed. Returns whether it is the first in a row.
    pub fn lost_store(&self) -> bool {
        self.removal_guard.borrow_mut().record_failure()
    }

    /// How long ago the store answered last.
    pub fn store_age(&self) -> Option<time::Duration> {
        self.removal_guard.borrow().answer_age(self.now())
    }

    /// Nothing more goes to the backend servers of an availability zone, or it may again.
    pub fn evacuate(&self, az: &id::AzId, evacuated: bool) -> bool {
        let changed = match evacuated {
            true => self.evacuated.borrow_mut().insert(az.clone()),
            false => self.evacuated.borrow_mut().remove(az),
        };
        if !changed {
            return false;
        }
        slog::info!(self.log, "evacuation"; "az" => %az, "evacuated" => evacuated);
        if evacuated {
            return true;
        }
        let until = self.now() + UNSURE;
        let mut backends = self.backends.borrow_mut();
        for backend in backends.iter_mut().filter(|b| b.listed.az == *az) {
            backend.listed.cold_until = backend.listed.cold_until.max(until);
        }
        true
    }

    /// Takes in an entry VM. Returns whether that is news.
    pub fn learn_entry(&self, vm: &id::VmId, entry: entries::Entry) -> bool {
        let az = entry.az.clone();
        self.quotas
            .borrow_mut()
            .restore_near_limits(self.now(), &entry.near_limits);
        let news = self.entries.borrow_mut().put(vm.clone(), entry);
        if news && let Some(left_out) = self.lines.admit("entry listed", self.now()) {
            slog::info!(self.log, "entry VM listed"; "vm" => %vm, "az" => %az, "left_out" => left_out);
        }
        news
    }

    /// Takes out an entry VM. Returns whether it was known.
    pub fn lose_entry(&self, vm: &id::VmId) -> bool {
        let news = self.entries.borrow_mut().remove(vm);
        if news && let Some(left_out) = self.lines.admit("entry gone", self.now()) {
            slog::info!(self.log, "entry VM gone"; "vm" => %vm, "left_out" => left_out);
        }
        news
    }

    /// Learns from how a send ended.
    pub(super) fn judge(
        &self,
        job: &attempt::Job,
        at: &place::Run,
        begun: policy::Moment,
        outcome: &attempt::Outcome,
    ) {
        self.judge_crash(job, &at.name, outcome);
        let (now, id) = (self.now(), &at.id);
        let cfg = &self.cfg.thresholds.ejection;
        let everywhere = self.judge_service(job, outcome);
        let mut backends = self.backends.borrow_mut();
        // What one run did says nothing of the next.
        let Some(backend) = backends.get_mut(id).filter(|b| at.is_of(b)) else {
            return;
        };
        let (eject, down) = match outcome {
            attempt::Outcome::Answer { failed: false, .. } => {
                backend.health.answered(cfg);
                backend.limit.answered(&self.cfg.thresholds.limit);
                (false, false)
            }
            attempt::Outcome::Answer { failed: true, .. } => (backend.health.failed(cfg), false),
            attempt::Outcome::NotRun(attempt::NotRun::Declined) if everywhere => (false, false),
            attempt::Outcome::NotRun(attempt::NotRun::Shed | attempt::NotRun::Declined) => {
                backend.limit.shed(&self.cfg.thresholds.limit, now);
                (false, false)
            }
            attempt::Outcome::NotRun(attempt::NotRun::NoConnection) => {
                (backend.health.broke(cfg), true)
            }
            attempt::Outcome::NotRun(attempt::NotRun::Misdirected) => (true, true),
            attempt::Outcome::Unknown(upstream::Failure::CallerGone) => (false, false),
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
            let took = now.saturating_sub(begun);
            self.with_desk(&job.service, |desk| desk.took(took));
        }
    }

    /// Learns from a send how its service does. Returns whether its backend servers refuse though they
    /// have room.
    fn judge_service(&self, job: &attempt::Job, outcome: &attempt::Outcome) -> bool {
        let declined = match outcome {
            attempt::Outcome::Answer { failed: false, .. } => false,
            attempt::Outcome::NotRun(attempt::NotRun::Declined) => true,
            _ => return false,
        };
        let (before, now) = self.with_desk(&job.service, |desk| {
            let before = desk.declines.is_service_wide();
            desk.declines.sent(declined);
            (before, desk.declines.is_service_wide())
        });
        if before != now {
            slog::info!(self.log, "service refuses with room"; "service" => %job.service, "everywhere" => now);
        }
        now
    }

    /// A backend server has kept a request beyond all measure.
    pub(super) fn hangs(&self, job: &attempt::Job, id: &id::VmId) {
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
            .of(service)
            .filter(|b| b.health.state() != ejection::State::Active)
            .count();
        let members = backends.of(service).count();
        ejection::may_eject_outlier(&self.cfg.thresholds.ejection, members, out)
    }

    /// Writes and counts that a backend server gets no work for a while.
    fn ejected(&self, job: &attempt::Job, id: &id::VmId, down: bool, why: &'static str) {
        slog::info!(self.log, "backend server ejected"; "backend" => %id, "down" => down, "why" => why);
        let service = self.labels.label(job.service.as_str());
        metrics::counter!(known::EJECTIONS, "service" => service).increment(1);
        if down {
            self.pool.borrow_mut().drop_all(id);
        }
    }

    /// What is due from time to time.
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
                self.forget(id, "not listed");
            }
            self.step_shares();
            self.step_carried();
        }
    }

    /// Lets the share of each service that other regions serve take a step.
    fn step_shares(&self) {
        /// What is left of the count of requests after each step.
        const KEPT: f64 = 0.9;
        let Some(table) = self.table() else {
            return;
        };
        let now = self.now();
        let mut services: Vec<id::ServiceId> = table.services.keys().cloned().collect();
        services.sort_unstable();
        let views: Vec<regions::View> = services.iter().map(|s| self.view_of(s, now)).collect();
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
            .map(|s| self.with_desk(s, |desk| desk.share))
            .collect();
        regions::step(&self.cfg.thresholds.regions, &views, &mut shares);
        for (service, share) in services.iter().zip(shares) {
            self.with_desk(service, |desk| {
                desk.share = share;
                desk.traffic *= KEPT;
            });
        }
    }

    fn view_of(&self, service: &id::ServiceId, now: policy::Moment) -> regions::View {
        let backends = self.backends.borrow();
        let evacuated = self.evacuated.borrow();
        let usable = |b: &&backends::Backend| {
            !b.listed.leaving
                && !evacuated.contains(&b.listed.az)
                && !matches!(
                    b.health.state(),
                    ejection::State::Ejected { down: true, .. }
                )
        };
        let (mut own, mut all, mut load) = (0.0, 0.0, 0.0);
        for backend in backends.of(service).filter(usable) {
            let slots = f64::from(backend.listed.slots);
            all += slots;
            if backend.region == self.region {
                own += slots;
                load += backend.load(now);
            }
        }
        let table = self.table();
        let homed = table.as_ref().map(|table| table.customers.homed());
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
            traffic: self.with_desk(service, |desk| desk.traffic),
            pinned_here: homed.map_or(0.0, |h| h.part(self.region.as_ref())),
            pinned: homed.map_or(0.0, |h| h.all()),
        }
    }
}
