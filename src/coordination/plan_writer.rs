//! Elects one process by a lease to write the steering plan, and computes each new version.
//!
//! The lease only avoids duplicate work; consistency comes from the compare-and-swap on the
//! revision that a new version was computed from. The write of a process that was paused beyond
//! its lease fails on the revision. If two processes both assume that they hold the lease, they
//! write a single sequence of versions, and every node limits its own steps along that sequence
//! ([`plan::AppliedPlan`]), so twice as many versions do not shift callers faster.
//!
//! While the store is down nothing is written and the last version stays in use. If the store was
//! restored to an older state, the next version is computed and numbered from the newest one that
//! this node has: nodes ignore versions below the one they have.
//!
//! Only readers of settings contend, so that store calls grow with availability zones, not with
//! nodes: a contender reads one key every [`Config::contend_interval`], the writer reads one key
//! every [`Config::check_interval`] and renews its lease.

use std::collections;
use std::sync;
use std::time;

use super::store;
use crate::decisions::{caps, drain, plan, policy};
use crate::{id, settings};

/// Store key that the writer holds under its lease.
pub const WRITER_KEY: &str = "steering/writer";

/// Store key of the plan.
pub const PLAN_KEY: &str = "steering/plan";

/// Timing of the writer and parameters of the plan.
#[derive(Clone, Debug)]
pub struct Config {
    /// Duration of the lease. Ten seconds without a writer delay the plan by one step at most.
    pub ttl: time::Duration,
    /// Interval at which the writer checks whether a new version is due.
    pub check_interval: time::Duration,
    /// Interval at which a contender checks whether there is a writer.
    pub contend_interval: time::Duration,
    /// The parameters of the plan.
    pub plan: plan::Config,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ttl: time::Duration::from_secs(10),
            check_interval: time::Duration::from_secs(2),
            contend_interval: time::Duration::from_secs(5),
            plan: plan::Config::default(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: store::LeaseId,
    // When the call that granted or renewed the lease was made.
    renewed: policy::Moment,
}

/// One node's contender for the writer role.
#[derive(Debug)]
pub struct Writer<S> {
    cfg: Config,
    this_vm: id::VmId,
    store: S,
    lease: Option<Lease>,
    next_check: policy::Moment,
    // Each service's weights, and since when this process has seen them unchanged.
    unchanged_since: collections::BTreeMap<id::ServiceId, (plan::WeightsByRegion, policy::Moment)>,
}

/// The inputs of a new version.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The settings in force.
    pub settings: &'a settings::Settings,
    /// The latest load summaries.
    pub summaries: &'a [plan::Summary],
    /// Wall-clock time in seconds since 1970, for the schedules of drains.
    pub now_s: f64,
    /// The newest version that this node has received.
    pub known: &'a plan::Plan,
}

impl<S: store::Store> Writer<S> {
    /// Creates a contender without the lease.
    pub fn new(cfg: Config, this_vm: id::VmId, store: S) -> Self {
        Self {
            cfg,
            this_vm,
            store,
            lease: None,
            next_check: policy::Moment::ZERO,
            unchanged_since: collections::BTreeMap::new(),
        }
    }

    /// Whether this process assumes that it holds the lease.
    pub fn is_writer(&self) -> bool {
        self.lease.is_some()
    }

    /// Contends for the lease or, with the lease, writes a due version. Returns the current plan
    /// if it read the store. Fails with the store's error; the last version then stays in use.
    pub fn tick(
        &mut self,
        now: policy::Moment,
        inputs: &Inputs<'_>,
    ) -> Result<Option<sync::Arc<plan::Plan>>, store::Error> {
        if now < self.next_check {
            return Ok(None);
        }
        let expired = |lease: Lease| now >= lease.renewed + self.cfg.ttl;
        if self.lease.is_some_and(expired) {
            self.lease = None;
        }
        self.next_check = now + self.cfg.contend_interval;
        let has_lease = match self.lease {
            Some(lease) => self.renew(now, lease)?,
            None => self.contend(now)?,
        };
        let Some((plan, revision)) = self.read()? else {
            return Ok(None);
        };
        if !has_lease {
            return Ok(Some(sync::Arc::new(plan)));
        }
        self.next_check = now + self.cfg.check_interval;
        let base = if plan.version >= inputs.known.version {
            plan
        } else {
            inputs.known.clone()
        };
        match self.next_version(now, &base, inputs) {
            Some(next) => self.write(next, revision).map(Some),
            None => Ok(Some(sync::Arc::new(base))),
        }
    }

    /// Revokes the lease, so that another process can take over at once.
    pub fn stop(&mut self) {
        if let Some(lease) = self.lease.take() {
            // If this fails, the lease expires.
            let _ = self.store.revoke(lease.id);
        }
    }

    fn renew(&mut self, now: policy::Moment, lease: Lease) -> Result<bool, store::Error> {
        if now < lease.renewed + self.cfg.ttl / 3 {
            return Ok(true);
        }
        match self.store.renew(lease.id) {
            Ok(()) => {
                let id = lease.id;
                self.lease = Some(Lease { id, renewed: now });
                Ok(true)
            }
            Err(store::Error::LeaseGone) => {
                self.lease = None;
                Ok(false)
            }
            Err(err) => Err(err),
        }
    }

    fn contend(&mut self, now: policy::Moment) -> Result<bool, store::Error> {
        if self.store.get(WRITER_KEY)?.is_some() {
            return Ok(false);
        }
        let id = self.store.grant(self.cfg.ttl)?;
        let name = self.this_vm.as_str().as_bytes();
        let none = store::Revision(0);
        match self
            .store
            .compare_and_swap(WRITER_KEY, none, name, Some(id))
        {
            Ok(_) => {
                self.lease = Some(Lease { id, renewed: now });
                Ok(true)
            }
            Err(store::Error::Conflict { .. }) => {
                let _ = self.store.revoke(id);
                Ok(false)
            }
            Err(err) => {
                // The write may have taken effect. The key is removed with the lease.
                let _ = self.store.revoke(id);
                Err(err)
            }
        }
    }

    /// The plan in the store. `None` if it cannot be decoded: a newer software version may have
    /// written it, and overwriting it would undo that upgrade.
    fn read(&self) -> Result<Option<(plan::Plan, store::Revision)>, store::Error> {
        let Some(entry) = self.store.get(PLAN_KEY)? else {
            return Ok(Some((plan::Plan::default(), store::Revision(0))));
        };
        let plan = serde_json::from_slice(&entry.value).ok();
        Ok(plan.map(|plan| (plan, entry.revision)))
    }

    fn next_version(
        &mut self,
        now: policy::Moment,
        base: &plan::Plan,
        inputs: &Inputs<'_>,
    ) -> Option<plan::Plan> {
        let capacity_shares = drain::remaining_share_by_az(inputs.settings, inputs.now_s);
        let mut next = base.clone();
        let mut changed = false;
        for service in inputs.settings.services() {
            let current = base.services.get(&service.name);
            let Some(current) = current.cloned() else {
                let first = plan::initial_weights(inputs.settings, service);
                next.services.insert(service.name.clone(), first);
                changed = true;
                continue;
            };
            if !self.step_is_due(now, service, &current) {
                continue;
            }
            let target = plan::target(
                &self.cfg.plan,
                &plan::Inputs {
                    settings: inputs.settings,
                    service,
                    summaries: inputs.summaries,
                    capacity_shares: &capacity_shares,
                    current: &current,
                },
            );
            let max_share = caps::Config::of(service).version_share();
            if let Some(weights) = plan::step(&self.cfg.plan, &current, &target, max_share) {
                next.services.insert(service.name.clone(), weights);
                changed = true;
            }
        }
        next.version = base.version + 1;
        changed.then_some(next)
    }

    /// Whether a service's weights have been unchanged for a whole step. A new writer does not
    /// know when the previous writer changed them, so it waits for one step.
    fn step_is_due(
        &mut self,
        now: policy::Moment,
        service: &settings::Service,
        current: &plan::WeightsByRegion,
    ) -> bool {
        let step = time::Duration::from_millis(service.shift_step_ms);
        match self.unchanged_since.get(&service.name) {
            Some((seen, since)) if seen == current => now >= *since + step,
            _ => {
                let seen = (current.clone(), now);
                self.unchanged_since.insert(service.name.clone(), seen);
                false
            }
        }
    }

    fn write(
        &self,
        next: plan::Plan,
        revision: store::Revision,
    ) -> Result<sync::Arc<plan::Plan>, store::Error> {
        let value = serde_json::to_vec(&next).expect("a plan can be encoded as JSON");
        // No lease on this key: the plan stays when its writer stops.
        self.store
            .compare_and_swap(PLAN_KEY, revision, &value, None)?;
        Ok(sync::Arc::new(next))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    use std::path;

    use crate::standin::store as standin;
    use store::Store;

    const S: policy::Moment = policy::Moment::from_secs(1);

    fn cooperative() -> settings::Settings {
        settings::Settings::read(path::Path::new("examples/cooperative")).unwrap()
    }

    fn writer<T: Store>(name: &str, store: T) -> Writer<T> {
        Writer::new(Config::default(), name.into(), store)
    }

    /// Summaries from all availability zones except those in khovd.
    fn summaries(settings: &settings::Settings) -> Vec<plan::Summary> {
        let ledger = settings.service("ledger").unwrap();
        let live = ledger
            .azs
            .iter()
            .filter(|az| !az.as_str().contains("khovd"));
        live.map(|az| plan::Summary {
            az: az.clone(),
            service: ledger.name.clone(),
            slots: 6,
            in_use: 0.5,
            demand: [("khovd".into(), 1.0)].into(),
            age: time::Duration::ZERO,
        })
        .collect()
    }

    struct Scenario {
        settings: settings::Settings,
        summaries: Vec<plan::Summary>,
        known: plan::Plan,
    }

    impl Scenario {
        fn new() -> Self {
            let settings = cooperative();
            let summaries = summaries(&settings);
            Self {
                settings,
                summaries,
                known: plan::Plan::default(),
            }
        }

        fn tick<T: Store>(
            &self,
            writer: &mut Writer<T>,
            now: policy::Moment,
        ) -> Result<Option<sync::Arc<plan::Plan>>, store::Error> {
            let inputs = Inputs {
                settings: &self.settings,
                summaries: &self.summaries,
                now_s: 0.0,
                known: &self.known,
            };
            writer.tick(now, &inputs)
        }
    }

    fn stored(store: &standin::Memory) -> plan::Plan {
        let entry = store.get(PLAN_KEY).unwrap().unwrap();
        serde_json::from_slice(&entry.value).unwrap()
    }

    fn diverted_share(plan: &plan::Plan) -> f64 {
        let khovd = &plan.services["ledger"]["khovd"];
        khovd
            .iter()
            .filter(|(az, _)| !az.as_str().contains("khovd"))
            .map(|(_, weight)| weight)
            .sum()
    }

    #[test]
    fn one_process_writes_and_the_others_read() {
        let (store, scenario) = (standin::Memory::default(), Scenario::new());
        let mut fleet = ["a", "b", "c"].map(|name| writer(name, store.clone()));
        for s in 0..60 {
            for writer in &mut fleet {
                scenario.tick(writer, S * s).unwrap();
            }
        }
        assert_eq!(fleet.iter().filter(|w| w.is_writer()).count(), 1);
        let plan = stored(&store);
        let max_share =
            caps::Config::of(scenario.settings.service("ledger").unwrap()).version_share();
        assert!(plan.version >= 4, "{}", plan.version);
        assert!(diverted_share(&plan) <= max_share * (plan.version - 1) as f64 + 1e-6);
        assert!(
            diverted_share(&plan) >= max_share * 3.0,
            "{}",
            diverted_share(&plan)
        );
    }

    /// A store that runs `pause` before each write of the plan.
    struct Pausing<F> {
        inner: standin::Memory,
        pause: F,
    }

    impl<F: Fn() + Send + Sync + 'static> Store for Pausing<F> {
        fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
            self.inner.get(key)
        }

        fn list(&self, prefix: &str) -> Result<store::Snapshot, store::Error> {
            self.inner.list(prefix)
        }

        fn compare_and_swap(
            &self,
            key: &str,
            expect: store::Revision,
            value: &[u8],
            lease: Option<store::LeaseId>,
        ) -> Result<store::Revision, store::Error> {
            if key == PLAN_KEY {
                (self.pause)();
            }
            self.inner.compare_and_swap(key, expect, value, lease)
        }

        fn watch(
            &self,
            prefix: &str,
            after: store::Revision,
            wait: time::Duration,
        ) -> Result<store::Watch, store::Error> {
            self.inner.watch(prefix, after, wait)
        }

        fn grant(&self, ttl: time::Duration) -> Result<store::LeaseId, store::Error> {
            self.inner.grant(ttl)
        }

        fn renew(&self, lease: store::LeaseId) -> Result<(), store::Error> {
            self.inner.renew(lease)
        }

        fn revoke(&self, lease: store::LeaseId) -> Result<(), store::Error> {
            self.inner.revoke(lease)
        }

        fn vms(&self) -> Result<Vec<store::Vm>, store::Error> {
            self.inner.vms()
        }
    }

    /// A process pauses between its read and its write, its lease expires, and a second writer
    /// writes a version. The outdated write must fail, or callers would shift back and forth.
    #[test]
    fn a_write_after_the_lease_has_expired_fails() {
        let (store, scenario) = (standin::Memory::default(), Scenario::new());
        let other = store.clone();
        let pause = move || {
            let later = other.get(PLAN_KEY).unwrap();
            let revision = later.map_or(store::Revision(0), |entry| entry.revision);
            let theirs = plan::Plan {
                version: 77,
                ..plan::Plan::default()
            };
            let value = serde_json::to_vec(&theirs).unwrap();
            other
                .compare_and_swap(PLAN_KEY, revision, &value, None)
                .unwrap();
        };
        let inner = store.clone();
        let mut paused = writer("a", Pausing { inner, pause });
        let result = scenario.tick(&mut paused, S);
        assert!(
            matches!(result, Err(store::Error::Conflict { .. })),
            "{result:?}"
        );
        assert_eq!(stored(&store).version, 77);
    }

    /// The lease is revoked without its holder's knowledge and a second process takes it, so two
    /// processes write. Independent steps of both would shift callers twice as fast.
    #[test]
    fn two_writers_do_not_shift_callers_faster() {
        let (store, scenario) = (standin::Memory::default(), Scenario::new());
        let mut first = writer("a", store.clone());
        scenario.tick(&mut first, policy::Moment::ZERO).unwrap();
        let lease = first.lease.unwrap();
        store.revoke(lease.id).unwrap();
        let mut second = writer("b", store.clone());
        let service = scenario.settings.service("ledger").unwrap();
        let max_share = caps::Config::of(service).version_share();
        let mut applied = plan::AppliedPlan::default();
        let mut seen = Vec::new();
        for s in 0..120 {
            // The first process still assumes that it holds the lease.
            first.lease = Some(Lease {
                renewed: S * s,
                ..lease
            });
            for writer in [&mut first, &mut second] {
                if let Ok(Some(plan)) = scenario.tick(writer, S * s) {
                    applied.offer(plan);
                }
            }
            let weights = applied.advance(S * s, &scenario.settings, service, max_share);
            seen.push(weights["khovd"].clone());
        }
        assert!(second.is_writer());
        let step = service.shift_step_ms as usize / 1_000;
        for (before, after) in seen.iter().zip(&seen[step - 1..]) {
            assert!(plan::churn(before, after) <= max_share + 1e-6);
        }
        assert!(plan::churn(&seen[0], seen.last().unwrap()) > 3.0 * max_share);
    }

    /// The store writes a version but the reply is lost. A writer that repeated the step from
    /// memory would shift callers by two steps.
    #[test]
    fn a_lost_reply_does_not_step_twice() {
        let (store, scenario) = (standin::Memory::default(), Scenario::new());
        let mut writer = writer("a", store.clone());
        scenario.tick(&mut writer, policy::Moment::ZERO).unwrap();
        for s in 1..14 {
            let due = stored(&store).version;
            if s == 12 {
                store.set_faults(standin::Faults {
                    lose_write_replies: 1,
                    ..standin::Faults::default()
                });
            }
            let _ = scenario.tick(&mut writer, S * s);
            assert!(stored(&store).version <= due + 1);
        }
        store.set_faults(standin::Faults::default());
        let before = stored(&store);
        scenario.tick(&mut writer, S * 20).unwrap();
        assert_eq!(stored(&store), before, "the written step takes effect once");
    }

    /// The store is restored from an older copy. Nodes ignore versions below the newest they have
    /// received, so reused numbers would leave them without updates for as many versions.
    #[test]
    fn a_restored_store_does_not_revert_the_plan() {
        let (store, mut scenario) = (standin::Memory::default(), Scenario::new());
        let mut writer = writer("a", store.clone());
        scenario.tick(&mut writer, policy::Moment::ZERO).unwrap();
        scenario.known = stored(&store);
        scenario.known.version = 500;
        for s in 1..40 {
            scenario.tick(&mut writer, S * s).unwrap();
        }
        assert!(stored(&store).version > 500);
    }

    #[test]
    fn the_last_version_stays_during_an_outage() {
        let (store, scenario) = (standin::Memory::default(), Scenario::new());
        let mut writer = writer("a", store.clone());
        scenario.tick(&mut writer, policy::Moment::ZERO).unwrap();
        let before = stored(&store);
        store.set_faults(standin::Faults {
            down: true,
            ..standin::Faults::default()
        });
        for s in 1..40 {
            assert!(matches!(
                scenario.tick(&mut writer, S * s),
                Ok(None) | Err(_)
            ));
        }
        assert!(!writer.is_writer(), "its lease has expired");
        store.set_faults(standin::Faults::default());
        assert_eq!(stored(&store), before);
    }
}
