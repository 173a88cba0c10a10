//! Finding a backend server for a request, or a place in line, or that neither is worth it.

use std::time;

use super::{Cx, Gateway, waiting};
use crate::decisions::{affinity, cold, ejection, policy};
use crate::id;
use crate::state::backends;

/// How often one that waits looks again without being told: loads that others report fade, and
/// a pause after a refusal ends, without anybody telling.
const LOOK: time::Duration = time::Duration::from_millis(40);

/// What a request needs of a backend server.
#[derive(Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a id::ServiceId,
    /// The hash of its object.
    pub key: Option<u64>,
    /// Whether another region serves it.
    pub away: bool,
    /// The regions that may serve it; empty: all.
    pub regions: &'a [id::RegionId],
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The rank of its route.
    pub priority: u32,
    /// Backend servers that it has been sent to.
    pub tried: &'a [id::VmId],
}

/// A request's hold on a backend server, given up when dropped.
#[derive(Debug)]
pub struct Seat {
    cx: Gateway,
    /// The backend server.
    pub id: id::VmId,
    /// Its address.
    pub addr: std::net::SocketAddr,
    service: id::ServiceId,
    /// Whether it lies in another region.
    pub far: bool,
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(backend) = self.cx.backends.borrow_mut().get_mut(&self.id) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        self.cx.waiting.borrow_mut().wake(&self.service);
    }
}

/// Why there is no backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nowhere {
    /// None is usable at all.
    NoBackend,
    /// All are full, for longer than it is worth waiting.
    Full,
}

impl Nowhere {
    /// A short name, for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoBackend => "no usable backend server",
            Self::Full => "all backend servers are full",
        }
    }
}

impl Gateway {
    /// Waits for a backend server until the given moment.
    pub async fn place(&self, need: &Need<'_>, until: policy::Moment) -> Result<Seat, Nowhere> {
        let line = waiting::Line {
            service: need.service.clone(),
            away: need.away,
        };
        let place = self.waiting.borrow_mut().place(need.priority);
        loop {
            let ahead = self.waiting.borrow().ahead(&line, place);
            if ahead == 0 {
                match self.try_place(need) {
                    Ok(seat) => return Ok(seat),
                    Err(Nowhere::NoBackend) => return Err(Nowhere::NoBackend),
                    Err(Nowhere::Full) => {}
                }
            }
            let now = self.now();
            if now >= until || self.wait_ahead(need, ahead) > until - now {
                return Err(Nowhere::Full);
            }
            let told = self.waiting.borrow_mut().stand(&line, place);
            let _leave = Leave {
                cx: self,
                line: &line,
                place,
            };
            let look = self.instant(until.min(now + LOOK));
            tokio::select! {
                _ = told => {}
                () = tokio::time::sleep_until(look) => {}
            }
        }
    }

    /// A backend server that takes the request now.
    pub fn try_place(&self, need: &Need<'_>) -> Result<Seat, Nowhere> {
        let now = self.now();
        let chosen = {
            let backends = self.backends.borrow();
            self.choose(&backends, need, now)?
        };
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&chosen) else {
            return Err(Nowhere::NoBackend);
        };
        backend.in_flight += 1;
        if backend.health.due(now) {
            backend.health.probed(&self.cfg.ejection, now, true);
        }
        if backend.is_cold(now) {
            backend.pace.sent(now, self.cold_rate(need.service));
        }
        Ok(Seat {
            cx: self.clone(),
            id: chosen,
            addr: backend.listed.addr,
            service: need.service.clone(),
            far: backend.region != self.region,
        })
    }
}

/// Leaves the line however the wait ends.
struct Leave<'a> {
    cx: &'a Cx,
    line: &'a waiting::Line,
    place: waiting::Place,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.cx.waiting.borrow_mut().leave(self.line, self.place);
    }
}

impl Cx {
    fn choose(
        &self,
        all: &backends::Backends,
        need: &Need<'_>,
        now: policy::Moment,
    ) -> Result<id::VmId, Nowhere> {
        let (own, others): (Vec<_>, Vec<_>) = all
            .of(need.service)
            .filter(|b| self.may_serve(b, need, now))
            .partition(|b| b.region == self.region);
        // A region without any usable backend server has its callers served elsewhere, and so
        // has a share whose regions elsewhere are all out.
        let (first, second) = match need.away {
            true => (others, own),
            false => (own, others),
        };
        let usable = match first.is_empty() {
            true => second,
            false => first,
        };
        if usable.is_empty() {
            return Err(Nowhere::NoBackend);
        }
        let ready: Vec<&backends::Backend> = usable
            .into_iter()
            .filter(|b| self.takes_now(b, need, now))
            .collect();
        let candidates: Vec<affinity::Candidate> = ready
            .iter()
            .map(|b| affinity::Candidate {
                hash: b.hash,
                slots: f64::from(b.listed.slots),
                load: b.load(now),
                weight: f64::from(b.listed.slots),
            })
            .collect();
        let tie = need.key.unwrap_or_else(|| self.jitter().to_bits());
        affinity::pick(&self.cfg.affinity, need.key, tie, &candidates)
            .map(|i| ready[i].id.clone())
            .ok_or(Nowhere::Full)
    }

    /// Whether a backend server counts as one that can serve the request, now or soon.
    fn may_serve(&self, b: &backends::Backend, need: &Need<'_>, now: policy::Moment) -> bool {
        if b.listed.leaving || self.evacuated.borrow().contains(&b.listed.az) {
            return false;
        }
        if !need.regions.is_empty() && !b.region.as_ref().is_some_and(|r| need.regions.contains(r))
        {
            return false;
        }
        if need.tried.contains(&b.id) {
            return false;
        }
        let out = matches!(b.health.state(), ejection::State::Out { .. });
        !out || (b.health.due(now) && need.idempotent)
    }

    /// Whether it may be sent a request just now.
    fn takes_now(&self, b: &backends::Backend, need: &Need<'_>, now: policy::Moment) -> bool {
        let on_trial = b.health.state() != ejection::State::In;
        if on_trial && (b.in_flight > 0 || !need.idempotent) {
            return false;
        }
        if b.in_flight as usize >= b.limit.get(now) {
            return false;
        }
        if !b.is_cold(now) {
            return true;
        }
        b.pace.ready(now) && self.owns_cold(b)
    }

    fn owns_cold(&self, b: &backends::Backend) -> bool {
        let near = self.entries.borrow().hashes_in(&b.listed.az);
        if near.is_empty() {
            let all: Vec<u64> = self
                .entries
                .borrow()
                .iter()
                .map(|(vm, _)| affinity::hash(vm.as_str().as_bytes()))
                .collect();
            return cold::owns(b.hash, self.own_hash, &all);
        }
        self.cfg.az == b.listed.az && cold::owns(b.hash, self.own_hash, &near)
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

    /// How long those ahead in line will take, at the pace of the last answers.
    fn wait_ahead(&self, need: &Need<'_>, ahead: usize) -> time::Duration {
        let slots: f64 = self
            .backends
            .borrow()
            .of(need.service)
            .filter(|b| (b.region == self.region) != need.away)
            .map(|b| f64::from(b.listed.slots))
            .sum();
        let vms = self.entries.borrow().len().max(1) as f64;
        let own = (slots / vms).max(1.0);
        let work = self.with_desk(need.service, |desk| desk.work);
        time::Duration::from_secs_f64(work * ahead as f64 / own)
    }
}
