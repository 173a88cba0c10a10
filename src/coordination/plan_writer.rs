//! The one process that writes the steering plan, picked by a lease.
//!
//! The lease only saves work: what keeps the plan sound is the compare-and-swap on the version that
//! a new one was computed from. A writer that was paused past its lease, and wakes in the middle of
//! a write, fails on the revision. Two writers that both believe they hold the lease write
//! one chain of versions, and every node steps along it by its own bound in its own time
//! ([`plan::AppliedPlan`]), so that even twice the versions move no caller faster.
//!
//! With the store down nothing is written and the last version holds. A store that was restored
//! from an older state shows an older version than the nodes have: the next one is then numbered
//! and computed from what this node has, so that no node waits for numbers that it has passed.
//!
//! Only readers of settings contend, so that the calls grow with availability zones and not with
//! nodes: a contender reads one key every [`Config::retry`], the writer reads one key every
//! [`Config::every`] and renews its lease.

use std::collections;
use std::sync;
use std::time;

use super::store;
use crate::decisions::{caps, drain, plan, policy};
use crate::{id, settings};

/// The key that the writer holds under its lease.
pub const WRITER_KEY: &str = "steering/writer";

/// The key of the plan.
pub const PLAN_KEY: &str = "steering/plan";

/// How the plan is written.
#[derive(Clone, Debug)]
pub struct Config {
    /// How long the lease lasts. Ten seconds without a writer cost one step of the plan at most.
    pub ttl: time::Duration,
    /// How often the writer looks whether a new version is due.
    pub every: time::Duration,
    /// How often a contender looks whether there is a writer.
    pub retry: time::Duration,
    /// How the plan trusts summaries.
    pub plan: plan::Config,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ttl: time::Duration::from_secs(10),
            every: time::Duration::from_secs(2),
            retry: time::Duration::from_secs(5),
            plan: plan::Config::default(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: store::LeaseId,
    // Counted from before the call that took or renewed it.
    renewed: policy::Moment,
}

/// A contender for the writer's role on one node.
#[derive(Debug)]
pub struct Writer<S> {
    cfg: Config,
    me: id::VmId,
    store: S,
    lease: Option<Lease>,
    next_look: policy::Moment,
    // Since when each service's weights are as they are, as far as this process saw.
    since: collections::BTreeMap<id::ServiceId, (plan::WeightsByRegion, policy::Moment)>,
}

/// What a new version is computed from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The settings in force.
    pub settings: &'a settings::Settings,
    /// The last summaries.
    pub summaries: &'a [plan::Summary],
    /// The time of day, in seconds since 1970, which drains are dated by.
    pub now_s: f64,
    /// The newest version that this node knows.
    pub known: &'a plan::Plan,
}

impl<S: store::Store> Writer<S> {
    /// A contender that does not hold the role.
    pub fn new(cfg: Config, me: id::VmId, store: S) -> Self {
        Self {
            cfg,
            me,
            store,
            lease: None,
            next_look: policy::Moment::ZERO,
            since: collections::BTreeMap::new(),
        }
    }

    /// Whether this process holds the role as far as it knows.
    pub fn is_writer(&self) -> bool {
        self.lease.is_some()
    }

    /// Contends for the role, or does its work. Returns the plan that the store holds where it
    /// looked. Fails with what the store answered; the last version then holds.
    pub fn tick(
        &mut self,
        now: policy::Moment,
        inputs: &Inputs<'_>,
    ) -> Result<Option<sync::Arc<plan::Plan>>, store::Error> {
        if now < self.next_look {
            return Ok(None);
        }
        let lapsed = |lease: Lease| now >= lease.renewed + self.cfg.ttl;
        if self.lease.is_some_and(lapsed) {
            self.lease = None;
        }
        self.next_look = now + self.cfg.retry;
        let held = match self.lease {
            Some(lease) => self.renew(now, lease)?,
            None => self.contend(now)?,
        };
        let Some((plan, revision)) = self.read()? else {
            return Ok(None);
        };
        if !held {
            return Ok(Some(sync::Arc::new(plan)));
        }
        self.next_look = now + self.cfg.every;
        let base = if plan.version >= inputs.known.version {
            plan
        } else {
            inputs.known.clone()
        };
        match self.next(now, &base, inputs) {
            Some(next) => self.write(next, revision).map(Some),
            None => Ok(Some(sync::Arc::new(base))),
        }
    }

    /// Gives the role up, so that another can take it at once.
    pub fn stop(&mut self) {
        if let Some(lease) = self.lease.take() {
            // If this fails, the lease lapses by itself.
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
        let me = self.me.as_str().as_bytes();
        let none = store::Revision(0);
        match self.store.compare_and_swap(WRITER_KEY, none, me, Some(id)) {
            Ok(_) => {
                self.lease = Some(Lease { id, renewed: now });
                Ok(true)
            }
            Err(store::Error::Conflict { .. }) => {
                let _ = self.store.revoke(id);
                Ok(false)
            }
            Err(err) => {
                // The write may stand. The lease is let lapse or given up, and its key with it.
                let _ = self.store.revoke(id);
                Err(err)
            }
        }
    }

    /// The plan in the store. `None`: a version of ours that this one cannot read wrote it, and
    /// writing over it would turn an upgrade back.
    fn read(&self) -> Result<Option<(plan::Plan, store::Revision)>, store::Error> {
        let Some(entry) = self.store.get(PLAN_KEY)? else {
            return Ok(Some((plan::Plan::default(), store::Revision(0))));
        };
        let plan = serde_json::from_slice(&entry.value).ok();
        Ok(plan.map(|plan| (plan, entry.revision)))
    }

    fn next(
        &mut self,
        now: policy::Moment,
        base: &plan::Plan,
        inputs: &Inputs<'_>,
    ) -> Option<plan::Plan> {
        let left = drain::remaining_share_by_az(inputs.settings, inputs.now_s);
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
                    capacity_shares: &left,
                    current: &current,
                },
            );
            let most = caps::Config::of(service).version_share();
            if let Some(weights) = plan::step(&self.cfg.plan, &current, &target, most) {
                next.services.insert(service.name.clone(), weights);
                changed = true;
            }
        }
        next.version = base.version + 1;
        changed.then_some(next)
    }

    /// Whether a service's weights have stood for a whole step, as far as this process saw. One
    /// that just became writer does not know when its predecessor stepped, so it waits a step.
    fn step_is_due(
        &mut self,
        now: policy::Moment,
        service: &settings::Service,
        current: &plan::WeightsByRegion,
    ) -> bool {
        let step = time::Duration::from_millis(service.shift_step_ms);
        match self.since.get(&service.name) {
            Some((seen, since)) if seen == current => now >= *since + step,
            _ => {
                let seen = (current.clone(), now);
                self.since.insert(service.name.clone(), seen);
                false
            }
        }
    }

    fn write(
        &self,
        next: plan::Plan,
        revision: store::Revision,
    ) -> Result<sync::Arc<plan::Plan>, store::Error> {
        let value = serde_json::to_vec(&next).expect("a plan holds only what JSON can");
        // No lease on this key: the plan outlives its writer.
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

    /// Summaries in which khovd has fallen silent.
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

    struct Play {
        settings: settings::Settings,
        summaries: Vec<plan::Summary>,
        known: plan::Plan,
    }

    impl Play {
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

    fn away(plan: &plan::Plan) -> f64 {
        let khovd = &plan.services["ledger"]["khovd"];
        khovd
            .iter()
            .filter(|(az, _)| !az.as_str().contains("khovd"))
            .map(|(_, weight)| weight)
            .sum()
    }

    #[test]
    fn one_writes_and_the_others_follow() {
        let (store, play) = (standin::Memory::default(), Play::new());
        let mut fleet = ["a", "b", "c"].map(|name| writer(name, store.clone()));
        for s in 0..60 {
            for writer in &mut fleet {
                play.tick(writer, S * s).unwrap();
            }
        }
        assert_eq!(fleet.iter().filter(|w| w.is_writer()).count(), 1);
        let plan = stored(&store);
        let most = caps::Config::of(play.settings.service("ledger").unwrap()).version_share();
        assert!(plan.version >= 4, "{}", plan.version);
        assert!(away(&plan) <= most * (plan.version - 1) as f64 + 1e-6);
        assert!(away(&plan) >= most * 3.0, "{}", away(&plan));
    }

    /// A store that hands the writer's process a pause in the middle of its write.
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

    /// A writer's process is paused between its read and its write. Its lease lapses, a second
    /// writer goes on, and the first wakes and writes what it had computed. If that took effect,
    /// callers would jump back and forth between places.
    #[test]
    fn a_writer_that_wakes_past_its_lease_changes_nothing() {
        let (store, play) = (standin::Memory::default(), Play::new());
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
        let woken = play.tick(&mut paused, S);
        assert!(
            matches!(woken, Err(store::Error::Conflict { .. })),
            "{woken:?}"
        );
        assert_eq!(stored(&store).version, 77);
    }

    /// The lease is gone at the store while its holder has not noticed, and a second process took
    /// it: two write. Were each to step at its own pace, callers would move twice as fast.
    #[test]
    fn two_writers_move_no_caller_faster() {
        let (store, play) = (standin::Memory::default(), Play::new());
        let mut first = writer("a", store.clone());
        play.tick(&mut first, policy::Moment::ZERO).unwrap();
        let lease = first.lease.unwrap();
        store.revoke(lease.id).unwrap();
        let mut second = writer("b", store.clone());
        let service = play.settings.service("ledger").unwrap();
        let most = caps::Config::of(service).version_share();
        let mut applied = plan::AppliedPlan::default();
        let mut seen = Vec::new();
        for s in 0..120 {
            // The first keeps believing.
            first.lease = Some(Lease {
                renewed: S * s,
                ..lease
            });
            for writer in [&mut first, &mut second] {
                if let Ok(Some(plan)) = play.tick(writer, S * s) {
                    applied.offer(plan);
                }
            }
            let weights = applied.advance(S * s, &play.settings, service, most);
            seen.push(weights["khovd"].clone());
        }
        assert!(second.is_writer());
        let step = service.shift_step_ms as usize / 1_000;
        for (before, after) in seen.iter().zip(&seen[step - 1..]) {
            assert!(plan::churn(before, after) <= most + 1e-6);
        }
        assert!(plan::churn(&seen[0], seen.last().unwrap()) > 3.0 * most);
    }

    /// The store writes a version and loses its reply. A writer that took it for lost and wrote
    /// the step again from memory would have moved callers by two steps.
    #[test]
    fn a_lost_reply_does_not_step_twice() {
        let (store, play) = (standin::Memory::default(), Play::new());
        let mut writer = writer("a", store.clone());
        play.tick(&mut writer, policy::Moment::ZERO).unwrap();
        for s in 1..14 {
            let due = stored(&store).version;
            if s == 12 {
                store.set_faults(standin::Faults {
                    lose_write_replies: 1,
                    ..standin::Faults::default()
                });
            }
            let _ = play.tick(&mut writer, S * s);
            assert!(stored(&store).version <= due + 1);
        }
        store.set_faults(standin::Faults::default());
        let before = stored(&store);
        play.tick(&mut writer, S * 20).unwrap();
        assert_eq!(stored(&store), before, "the step that was written counts");
    }

    /// The platform brings its store back from an hour-old copy. Nodes keep the newest version they
    /// know; numbers that start over would leave them deaf to the plan for as many versions.
    #[test]
    fn a_restored_store_does_not_turn_the_plan_back() {
        let (store, mut play) = (standin::Memory::default(), Play::new());
        let mut writer = writer("a", store.clone());
        play.tick(&mut writer, policy::Moment::ZERO).unwrap();
        play.known = stored(&store);
        play.known.version = 500;
        for s in 1..40 {
            play.tick(&mut writer, S * s).unwrap();
        }
        assert!(stored(&store).version > 500);
    }

    #[test]
    fn an_outage_leaves_the_last_version() {
        let (store, play) = (standin::Memory::default(), Play::new());
        let mut writer = writer("a", store.clone());
        play.tick(&mut writer, policy::Moment::ZERO).unwrap();
        let before = stored(&store);
        store.set_faults(standin::Faults {
            down: true,
            ..standin::Faults::default()
        });
        for s in 1..40 {
            assert!(matches!(play.tick(&mut writer, S * s), Ok(None) | Err(_)));
        }
        assert!(!writer.is_writer(), "its lease is past");
        store.set_faults(standin::Faults::default());
        assert_eq!(stored(&store), before);
    }
}
