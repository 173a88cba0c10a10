//! Finding a backend server for a request, or a place in line, or that neither is worth it.

use std::rc;

use tokio::sync;

use super::Gateway;
use crate::decisions::{affinity, cold, ejection, policy};
use crate::id;
use crate::protocol::routes;
use crate::state::backends;

/// What a request needs of a backend server.
#[derive(Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a id::ServiceId,
    /// The hash of its object.
    pub key: Option<u64>,
    /// Whether another region serves it.
    pub away: bool,
    /// Where it may run.
    pub homes: routes::Homes<'a>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it ranks behind others of the service.
    pub behind: bool,
    /// Backend servers that it has been sent to.
    pub tried: &'a [id::VmId],
}

/// One run of a backend server, from a start to the next under the same name.
#[derive(Clone, Debug)]
pub struct Run {
    /// The backend server.
    pub id: id::VmId,
    /// The name of the run, see [`backends::Backend::run_name`].
    pub name: String,
    ended: rc::Rc<sync::Notify>,
}

impl Run {
    /// Whether it is the one that is known now.
    pub fn is_of(&self, known: &backends::Backend) -> bool {
        rc::Rc::ptr_eq(&self.ended, known.ended())
    }

    /// Waits until another run of it is known to have begun.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

/// A request's hold on a backend server, given up when dropped.
#[derive(Debug)]
pub struct Seat {
    cx: Gateway,
    /// The run of the backend server that it is with.
    pub run: Run,
    /// Its address.
    pub addr: std::net::SocketAddr,
    /// Whether it lies in another region.
    pub far: bool,
    /// Whether the request's object is new there, as far as this VM knows.
    pub new: bool,
    /// Requests that ran or waited there before it, as far as known.
    pub ahead: f64,
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut backends = self.cx.backends.borrow_mut();
        let known = backends.get_mut(&self.run.id);
        if let Some(backend) = known.filter(|b| self.run.is_of(b)) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
            if self.new {
                backend.warming.request_ended();
            }
        }
    }
}

/// Why there is no backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nowhere {
    /// None is usable at all.
    NoBackend,
    /// Those that may have the object warm are full, so that it would be late.
    Full,
    /// Its object is new there, and others that are hold the slots that these may have.
    Cold,
}

impl Nowhere {
    /// A short name, for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoBackend => "no usable backend server",
            Self::Full => "all backend servers are full",
            Self::Cold => "its object is cold and others are before it",
        }
    }
}

/// Backend servers that may get a request.
struct InOrder<'a> {
    /// Whether any can serve it, now or soon.
    usable: bool,
    /// Those that have a place in the order of objects.
    in_order: Vec<&'a backends::Backend>,
}

impl Gateway {
    /// A backend server that takes the request now.
    pub fn place(&self, need: &Need<'_>) -> Result<Seat, Nowhere> {
        let now = self.now();
        let chosen = self.choose(need, now);
        if chosen == Err(Nowhere::Full) && !need.behind {
            self.with_desk(need.service, |desk| desk.precedence.urgent_refused(now));
        }
        let chosen = chosen?;
        let cfg = &self.cfg.thresholds.warming;
        let cold = self.with_desk(need.service, |desk| desk.late.caches_cold(cfg));
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&chosen) else {
            return Err(Nowhere::NoBackend);
        };
        let slots = f64::from(backend.listed.slots);
        let takes = |key| backend.warming.admits(cfg, slots, key);
        if cold && !need.key.is_none_or(takes) {
            return Err(Nowhere::Cold);
        }
        let new = need
            .key
            .is_some_and(|key| backend.warming.request_started(now, key));
        let ahead = backend.load(now);
        backend.in_flight += 1;
        if backend.health.probe_due(now) {
            backend
                .health
                .probed(&self.cfg.thresholds.ejection, now, true);
        }
        if backend.is_cold(now) {
            backend.pace.sent(now, self.cold_rate(need.service));
        }
        Ok(Seat {
            cx: self.clone(),
            run: Run {
                id: chosen,
                name: backend.run_name(),
                ended: backend.ended().clone(),
            },
            addr: backend.listed.addr,
            far: backend.region != self.region,
            new,
            ahead,
        })
    }
}

impl Gateway {
    fn choose(&self, need: &Need<'_>, now: policy::Moment) -> Result<id::VmId, Nowhere> {
        // A region without any usable backend server has its callers served elsewhere, and so
        // has a share whose regions elsewhere are all out.
        let mut sides = match need.homes.are_open() {
            true => vec![backends::Side::Far],
            false => self.homes_elsewhere(&need.homes),
        };
        let near = if need.away { sides.len() } else { 0 };
        sides.insert(near, backends::Side::Near);
        let chosen = sides
            .into_iter()
            .find_map(|side| self.choose_on(side, need, now));
        chosen.unwrap_or(Err(Nowhere::NoBackend))
    }

    /// The other regions in which a request may run. Each has an order of its own for each object, with
    /// as many places as the region is large: taken for a part of all other regions, a small one would
    /// be asked to keep each object at many backend servers, and none of its caches would hold any.
    fn homes_elsewhere<'a>(&'a self, homes: &routes::Homes<'a>) -> Vec<backends::Side<'a>> {
        let own = self.region.as_ref();
        let named = match homes.route.is_empty() {
            true => homes.customer,
            false => homes.route,
        };
        named
            .iter()
            .filter(|region| Some(*region) != own && homes.allow(Some(region)))
            .map(backends::Side::In)
            .collect()
    }

    /// The backend server on one side; `None` where none there is usable.
    fn choose_on(
        &self,
        side: backends::Side<'_>,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> Option<Result<id::VmId, Nowhere>> {
        let few = self.few(side, need);
        let backends = self.backends.borrow();
        let region_backends = backends.count_on(need.service, side);
        let listed = few.iter().filter_map(|name| backends.get(name));
        let in_order = self.in_order(listed, need, now).in_order;
        if in_order.len() >= affinity::SMALL_REGION_REPLICAS {
            return Some(self.pick(&in_order, region_backends, need, now));
        }
        let all = self.in_order(backends.on(need.service, side), need, now);
        all.usable
            .then(|| self.pick(&all.in_order, region_backends, need, now))
    }

    /// Those among which the choice lies as a rule: the first of the object's order, or some drawn
    /// at random.
    fn few(&self, side: backends::Side<'_>, need: &Need<'_>) -> Vec<id::VmId> {
        let by_object = self.cfg.thresholds.placement.by_object;
        let mut backends = self.backends.borrow_mut();
        match need.key.filter(|_| by_object) {
            Some(key) => backends.first(need.service, side, key),
            None => backends.some(need.service, side, self.jitter().to_bits()),
        }
    }

    /// Those that have a place in the order of objects now.
    fn in_order<'a>(
        &self,
        backends: impl Iterator<Item = &'a backends::Backend>,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> InOrder<'a> {
        let mut usable = false;
        let in_order = backends
            .filter(|b| self.may_serve(b, need, now))
            .inspect(|_| usable = true)
            .filter(|b| self.has_place(b, need, now))
            .collect();
        InOrder { usable, in_order }
    }

    fn pick(
        &self,
        in_order: &[&backends::Backend],
        region_backends: usize,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> Result<id::VmId, Nowhere> {
        let limit = &self.cfg.thresholds.limit;
        let candidates: Vec<affinity::Candidate> = in_order
            .iter()
            .map(|b| affinity::Candidate {
                hash: b.hash,
                slots: f64::from(b.listed.slots),
                load: b.load(now),
                full: b.in_flight as usize >= b.limit.shared(limit, now, self.alone.get()),
                recently_sent: need
                    .key
                    .is_some_and(|key| b.warming.sent_recently(now, key)),
                recent_objects: b.warming.object_count(),
            })
            .collect();
        let request = affinity::PlacementRequest {
            key: need.key,
            tie: self.jitter().to_bits(),
            region_backends,
            low_priority: need.behind
                && self.with_desk(need.service, |desk| desk.precedence.yields(now)),
        };
        affinity::pick(&self.cfg.thresholds.placement, &request, &candidates)
            .map(|i| in_order[i].id.clone())
            .ok_or(Nowhere::Full)
    }

    /// Whether a backend server counts as one that can serve the request, now or soon.
    fn may_serve(&self, b: &backends::Backend, need: &Need<'_>, now: policy::Moment) -> bool {
        if b.listed.leaving || self.evacuated.borrow().contains(&b.listed.az) {
            return false;
        }
        if !need.homes.are_open() && !need.homes.allow(b.region.as_ref()) {
            return false;
        }
        if need.tried.contains(&b.id) {
            return false;
        }
        let out = matches!(b.health.state(), ejection::State::Ejected { .. });
        !out || (b.health.probe_due(now) && need.idempotent)
    }

    /// Whether it has a place in the order of objects just now. One that is cold or on trial has
    /// one only for a request that it takes at once: its objects go elsewhere meanwhile.
    fn has_place(&self, b: &backends::Backend, need: &Need<'_>, now: policy::Moment) -> bool {
        let on_trial = b.health.state() != ejection::State::Active;
        if on_trial && (b.in_flight > 0 || !need.idempotent) {
            return false;
        }
        !b.is_cold(now) || (b.pace.ready(now) && self.owns_cold(b))
    }

    /// Whether this VM is the one that sends to a cold backend server. Only those that callers of
    /// its region are told have requests for it.
    fn owns_cold(&self, b: &backends::Backend) -> bool {
        cold::owns(b.hash, self.own_hash, &self.told_in(b.region.as_ref()))
    }

    fn cold_rate(&self, service: &id::ServiceId) -> f64 {
        /// Where the routes do not say: one each second does no harm to any backend server.
        const UNKNOWN: f64 = 1.0;
        self.table
            .borrow()
            .as_ref()
            .and_then(|table| Some(table.services.get(service)?.cold_rate))
            .filter(|rate| *rate > 0.0)
            .unwrap_or(UNKNOWN)
    }
}
