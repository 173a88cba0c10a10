//! Reserves a backend server for a request, or says why none can take it now. Requests for one
//! object go to the few servers that cache it. Full, cold and failing ones get fewer, to recover.

use std::rc;
use std::time;

use metrics::counter;
use tokio::sync;

use super::{Gateway, attempt, pace};
use crate::decisions::{affinity, backend_rate, ejection, policy, precedence, shares};
use crate::id;
use crate::metrics as metric_names;
use crate::protocol::routes;
use crate::state::backends;

/// What a request requires of a backend server.
#[derive(Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a id::ServiceId,
    /// The hash of the request's object, if it has one.
    pub key: Option<u64>,
    /// Whether the request is to run in another region.
    pub remote: bool,
    /// The regions where the request may run.
    pub homes: routes::AllowedRegions<'a>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request may try a backend server that was ejected.
    pub may_try: bool,
    /// Whether other requests of the service have a higher priority.
    pub low_priority: bool,
    /// Its claim, and the first among the expected retries; `None`: retries are not scheduled.
    pub claim: Option<(precedence::Claim, Option<precedence::Claim>)>,
    /// Whether its customer is above its share of a service that is short of capacity.
    pub above_share: bool,
    /// Whether an idle backend server refused the request: the next one is to have its object cached.
    pub prefers_warm: bool,
    /// Backend servers that the request was already sent to.
    pub tried: &'a [id::VmId],
}

/// One run of a backend server, from a start until the next under the same name.
#[derive(Clone, Debug)]
pub struct Run {
    /// The backend server's name.
    pub id: id::VmId,
    /// The name of the run, see [`backends::Backend::incarnation_name`].
    pub name: String,
    ended: rc::Rc<sync::Notify>,
}

impl Run {
    /// Whether this is the backend server's current run.
    pub fn is_of(&self, known: &backends::Backend) -> bool {
        rc::Rc::ptr_eq(&self.ended, known.ended())
    }

    /// Waits until a newer run of the backend server is known.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

/// A request's slot at a backend server, released on drop.
#[derive(Debug)]
pub struct Reservation {
    cx: Gateway,
    /// The reserved backend server's run.
    pub run: Run,
    /// The backend server's address.
    pub addr: std::net::SocketAddr,
    /// Whether the backend server is in another region.
    pub remote: bool,
    /// Whether the request's object is new there, as far as this VM knows.
    pub new_object: bool,
    /// Requests running or queued there at the time, as far as this VM knows.
    pub ahead: f64,
    /// Why it was chosen, if requests of its service are placed by pace.
    pub placed_by: Option<pace::Placed>,
    /// The service, if its throughput is measured.
    service: Option<id::ServiceId>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(service) = &self.service {
            self.cx
                .with_service(service, |state| state.throughput.ended());
        }
        let mut backends = self.cx.backends.borrow_mut();
        let known = backends.get_mut(&self.run.id);
        if let Some(backend) = known.filter(|b| self.run.is_of(b)) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
            if self.new_object {
                backend.warming.request_ended();
            }
            self.cx.waiting.note_room(backend.hash);
        }
    }
}

/// Why no backend server takes the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No backend server is usable.
    NoBackend,
    /// The backend servers that may have the object cached are full; others would answer late.
    Full,
    /// The object is new there, and other new objects use the slots allowed for them.
    Cold,
}

impl PlacementError {
    /// Whether backend servers take more as soon as running requests end.
    pub fn is_lack_of_room(self) -> bool {
        self != Self::NoBackend
    }

    /// The reason as a log and metric value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoBackend => "no usable backend server",
            Self::Full => "all backend servers are full",
            Self::Cold => "its object is cold and others are before it",
        }
    }
}

/// Backend servers that may get a request.
struct Candidates<'a> {
    /// Whether any can serve the request, now or soon.
    any_usable: bool,
    /// Those to choose from now.
    eligible: Vec<&'a backends::Backend>,
}

impl Gateway {
    /// Reserves a slot at a backend server that takes the request now.
    pub fn reserve(&self, need: &Need<'_>) -> Result<Reservation, PlacementError> {
        let now = self.now();
        let chosen = self.choose(need, now);
        if chosen == Err(PlacementError::Full) && !need.low_priority && !need.above_share {
            self.with_service(need.service, |state| state.precedence.refused(now));
        }
        let chosen = chosen?;
        let cfg = &self.cfg.thresholds.warming;
        let cold = self.with_service(need.service, |state| state.cold_lateness.caches_cold(cfg));
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&chosen) else {
            return Err(PlacementError::NoBackend);
        };
        let slots = f64::from(backend.listed.slots);
        let takes = |key| backend.warming.admits(cfg, slots, key);
        if cold && !need.key.is_none_or(takes) {
            return Err(PlacementError::Cold);
        }
        let new_object = need
            .key
            .is_some_and(|key| backend.warming.request_started(now, key));
        let ahead = backend.load(now);
        let placed_by = self.explain_choice(need.service, backend, new_object);
        backend.in_flight += 1;
        if backend.stated.rate_limit.get().is_some() {
            let service = self.labels.label(need.service.as_str());
            counter!(metric_names::RATE_LIMITED_SENDS, "service" => service).increment(1);
        }
        if backend.health.probe_due(now) {
            slog::info!(self.log, "ejected backend server on trial"; "backend" => %chosen, "service" => %need.service);
            backend
                .health
                .probed(&self.cfg.thresholds.ejection, now, true);
        }
        backend.stated.pace.sent(now);
        let service = self.waiting.is_on().then(|| need.service.clone());
        if service.is_some() {
            self.with_service(need.service, |state| state.throughput.sent(now));
        }
        Ok(Reservation {
            cx: self.clone(),
            run: Run {
                id: chosen,
                name: backend.incarnation_name(),
                ended: backend.ended().clone(),
            },
            addr: backend.listed.addr,
            remote: backend.region != self.region,
            new_object,
            ahead,
            placed_by,
            service,
        })
    }
}

impl Gateway {
    fn choose(&self, need: &Need<'_>, now: policy::Moment) -> Result<id::VmId, PlacementError> {
        let chosen = self
            .sides(need)
            .into_iter()
            .find_map(|side| self.choose_on(side, need, now));
        chosen.unwrap_or(Err(PlacementError::NoBackend))
    }

    /// The sides, which are sets of regions, in order of preference. If one has no usable backend
    /// server, the next serves the request.
    fn sides<'a>(&'a self, need: &Need<'a>) -> Vec<backends::RegionScope<'a>> {
        let mut sides = match need.homes.is_unrestricted() {
            true => vec![backends::RegionScope::Remote],
            false => self.other_allowed_regions(&need.homes),
        };
        let near = if need.remote { sides.len() } else { 0 };
        sides.insert(near, backends::RegionScope::Local);
        sides
    }

    /// The shortlist on the first side that has any backend server.
    pub(super) fn first_shortlist(&self, need: &Need<'_>) -> Vec<id::VmId> {
        let mut sides = self.sides(need).into_iter();
        let shortlist = sides.find_map(|side| {
            let shortlist = self.shortlist(side, need);
            (!shortlist.is_empty()).then_some(shortlist)
        });
        shortlist.unwrap_or_default()
    }

    /// The other regions where a request may run. Each has its own order of backend servers per
    /// object, whose length follows from the region's size. In one order for all other regions, a
    /// small region would keep each object at many backend servers, and its caches would hold none.
    fn other_allowed_regions<'a>(
        &'a self,
        homes: &routes::AllowedRegions<'a>,
    ) -> Vec<backends::RegionScope<'a>> {
        let own = self.region.as_ref();
        let named = match homes.route.is_empty() {
            true => homes.customer,
            false => homes.route,
        };
        named
            .iter()
            .filter(|region| Some(*region) != own && homes.includes(Some(region)))
            .map(backends::RegionScope::Only)
            .collect()
    }

    /// Chooses a backend server on one side; `None` if none there is usable.
    fn choose_on(
        &self,
        side: backends::RegionScope<'_>,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> Option<Result<id::VmId, PlacementError>> {
        let shortlist = self.shortlist(side, need);
        let backends = self.backends.borrow();
        let region_backends = backends.count_in_scope(need.service, side);
        let listed = shortlist.iter().filter_map(|name| backends.get(name));
        let eligible = self.find_eligible(listed, need, now).eligible;
        if eligible.len() >= affinity::SMALL_REGION_REPLICAS {
            return Some(self.pick(&eligible, region_backends, need, now));
        }
        let all = self.find_eligible(backends.in_scope(need.service, side), need, now);
        all.any_usable
            .then(|| self.pick(&all.eligible, region_backends, need, now))
    }

    /// The shortlist to choose from first: the head of the object's order, or a random sample.
    fn shortlist(&self, side: backends::RegionScope<'_>, need: &Need<'_>) -> Vec<id::VmId> {
        let by_object = self.cfg.thresholds.placement.by_object;
        let mut backends = self.backends.borrow_mut();
        match need.key.filter(|_| by_object) {
            Some(key) => backends.preferred(need.service, side, key),
            None => backends.sample(need.service, side, self.jitter().to_bits()),
        }
    }

    /// Filters the backend servers to choose from now.
    fn find_eligible<'a>(
        &self,
        backends: impl Iterator<Item = &'a backends::Backend>,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> Candidates<'a> {
        let mut any_usable = false;
        let eligible = backends
            .filter(|b| self.may_serve(b, need, now) && !self.has_no_capacity(b, now))
            .inspect(|_| any_usable = true)
            .filter(|b| self.is_eligible(b, need, now))
            .collect();
        Candidates {
            any_usable,
            eligible,
        }
    }

    fn pick(
        &self,
        eligible: &[&backends::Backend],
        region_backends: usize,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> Result<id::VmId, PlacementError> {
        let limit = &self.cfg.thresholds.limit;
        let may_wait = self.waiting.is_on();
        let (senders, typical) = match may_wait {
            true => (self.local_senders(), self.typical_time(need.service)),
            false => (0, time::Duration::ZERO),
        };
        let part = self.cfg.thresholds.placement.low_priority_factor;
        let is_full = |b: &backends::Backend, load_per_slot| {
            let (own, sole) = (b.in_flight as usize, self.is_sole_entry.get());
            let limit = b.limit.shared(limit, now, sole);
            own >= limit
                || need.above_share && shares::leaves_rest(own, limit, part, load_per_slot)
                || may_wait && !self.queue_allows(b, senders, typical, now)
        };
        let candidates: Vec<affinity::Candidate> = eligible
            .iter()
            .map(|b| (b, f64::from(b.listed.slots), b.load(now)))
            .map(|(b, slots, load)| affinity::Candidate {
                hash: b.hash,
                slots,
                load,
                full: is_full(b, load / slots.max(1.0)),
                recently_sent: need
                    .key
                    .is_some_and(|key| b.warming.sent_recently(now, key)),
                recent_objects: b.warming.object_count(),
            })
            .collect();
        let reserved = match need.claim {
            // Where requests wait, none leaves room for others: the queue orders them.
            _ if may_wait => 0.0,
            Some((own, expected)) => self.with_service(need.service, |state| {
                state.precedence.reserved_share(now, own, expected)
            }),
            None if need.low_priority
                && self.with_service(need.service, |state| state.precedence.yields(now)) =>
            {
                1.0
            }
            None => 0.0,
        };
        let reserved = match need.above_share && !may_wait {
            true => reserved.max(self.reserved_by_excess(need)),
            false => reserved,
        };
        let request = affinity::PlacementRequest {
            key: need.key,
            tie: self.jitter().to_bits(),
            region_backends,
            low_priority: reserved > 0.0,
        };
        let cfg = self.cfg.thresholds.placement.reserving(reserved);
        let warm = need
            .prefers_warm
            .then(|| affinity::pick_warm(&cfg, &request, &candidates));
        let chosen = match self.pace_of(need.service) {
            _ if let Some(Some(warm)) = warm => Some(warm),
            None => affinity::pick(&cfg, &request, &candidates),
            Some(pace_cfg) => {
                let paces = eligible.iter().map(|b| b.work_pace.get(pace_cfg, now));
                let paces: Vec<f64> = paces.collect();
                affinity::pick_by_pace(&cfg, pace_cfg, &request, &candidates, &paces)
            }
        };
        chosen
            .map(|i| eligible[i].id.clone())
            .ok_or(PlacementError::Full)
    }

    /// The share of the reserved capacity that a request of a customer above its share leaves free.
    fn reserved_by_excess(&self, need: &Need<'_>) -> f64 {
        let has_several_ranks = self
            .table()
            .is_some_and(|table| table.has_several_ranks(need.service));
        precedence::reserved_by_excess(need.low_priority, has_several_ranks)
    }

    /// Whether a backend server may get the request now.
    pub(super) fn can_take(
        &self,
        b: &backends::Backend,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> bool {
        self.may_serve(b, need, now) && self.is_eligible(b, need, now)
    }

    /// The mean time from a send to its answer.
    fn typical_time(&self, service: &id::ServiceId) -> time::Duration {
        let mean_s = self.with_service(service, |state| state.mean_latency_s);
        time::Duration::from_secs_f64(mean_s)
    }

    /// What a request requires of a backend server.
    pub(super) fn need<'a>(
        &self,
        job: &'a attempt::Job,
        key: Option<u64>,
        remote: bool,
        low_priority: bool,
        tried: &'a [id::VmId],
    ) -> Need<'a> {
        let idempotent = job.route.idempotent;
        Need {
            service: &job.service,
            key,
            remote,
            homes: job.homes(),
            idempotent,
            may_try: self.with_service(&job.service, |state| {
                state.trials.admit(self.now(), idempotent)
            }),
            low_priority,
            claim: None,
            above_share: false,
            prefers_warm: false,
            tried,
        }
    }

    /// Whether a backend server can serve the request, now or soon.
    pub(super) fn may_serve(
        &self,
        b: &backends::Backend,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> bool {
        if b.is_leaving(now) || self.evacuated.borrow().contains(&b.listed.az) {
            return false;
        }
        if !need.homes.is_unrestricted() && !need.homes.includes(b.region.as_ref()) {
            return false;
        }
        if need.tried.contains(&b.id) {
            return false;
        }
        !b.health.is_ejected() || (need.may_try && b.health.trial_due(now, need.idempotent))
    }

    /// Whether a backend server's stated rate limit is near zero and it is not this VM's turn to send to it.
    /// It provides no capacity, so another region serves the request.
    fn has_no_capacity(&self, b: &backends::Backend, now: policy::Moment) -> bool {
        let is_due = || self.wait_for(b, now).is_some_and(|wait| wait.is_zero());
        b.stated.rate_limit.is_near_zero() && !is_due()
    }

    /// Whether a backend server can be chosen now. One that is paused, whose rate is limited or that
    /// is on trial can only if it takes the request at once; meanwhile other backend servers serve
    /// its objects.
    fn is_eligible(&self, b: &backends::Backend, need: &Need<'_>, now: policy::Moment) -> bool {
        let on_trial = b.health.state() != ejection::State::Active;
        if on_trial && (b.in_flight > 0 || !need.may_try) {
            return false;
        }
        self.wait_for(b, now).is_some_and(|wait| wait.is_zero())
    }

    /// The time until this VM may send to a backend server, by what that has said and its rate;
    /// `None` if this VM may not send to it at all.
    fn wait_for(&self, b: &backends::Backend, now: policy::Moment) -> Option<time::Duration> {
        let paced = b.stated.pace.wait(now, self.send_frequency(b, now))?;
        Some(paced.max(b.stated.withdrawal.pause_left(now)))
    }

    /// The time until this VM may send to one of a service's usable backend servers in its region;
    /// zero if none is usable.
    pub(super) fn wait_for_service(&self, service: &id::ServiceId) -> time::Duration {
        let now = self.now();
        let (backends, evacuated) = (self.backends.borrow(), self.evacuated.borrow());
        let usable = |b: &&backends::Backend| {
            let active = b.health.state() == ejection::State::Active;
            active && !b.is_leaving(now) && !evacuated.contains(&b.listed.az)
        };
        let mut shortest = time::Duration::MAX;
        for b in backends
            .in_scope(service, backends::RegionScope::Local)
            .filter(usable)
        {
            let wait = self.wait_for(b, now).unwrap_or(time::Duration::MAX);
            shortest = shortest.min(wait);
            // No other can be sooner, and a service may have a thousand.
            if shortest.is_zero() {
                break;
            }
        }
        match shortest {
            time::Duration::MAX => time::Duration::ZERO,
            wait => wait,
        }
    }

    /// How often this VM may send to a backend server.
    fn send_frequency(
        &self,
        b: &backends::Backend,
        now: policy::Moment,
    ) -> backend_rate::Frequency {
        let cold = b
            .is_cold(now)
            .then(|| backend_rate::Limit::Cold(self.cold_rate(&b.listed.service)));
        let stated = b.stated.rate_limit.get().map(backend_rate::Limit::Stated);
        if cold.is_none() && stated.is_none() {
            return backend_rate::Frequency::Unlimited;
        }
        let local = self.advertised_hashes(b.region.as_ref());
        let senders = backend_rate::Senders {
            this_vm: self.own_hash,
            local: &local,
            total: self.advertised_total(),
        };
        let limits = cold.into_iter().chain(stated);
        limits
            .map(|limit| limit.frequency(b.hash, &senders))
            .max()
            .unwrap_or(backend_rate::Frequency::Unlimited)
    }

    fn cold_rate(&self, service: &id::ServiceId) -> f64 {
        /// Requests per second if the routes state no rate; one harms no backend server.
        const DEFAULT_RATE_PER_S: f64 = 1.0;
        self.table
            .borrow()
            .as_ref()
            .and_then(|table| Some(table.services.get(service)?.cold_requests_per_s))
            .filter(|rate| *rate > 0.0)
            .unwrap_or(DEFAULT_RATE_PER_S)
    }
}
