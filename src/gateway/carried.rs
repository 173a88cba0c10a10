//! What this VM carries, and which entry VMs callers are told for it.

use std::collections;
use std::net;
use std::rc;

use super::Gateway;
use crate::decisions::{entry_selection, policy};
use crate::id;
use crate::transport::callers;

/// What this VM carried since a moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Carried {
    requests: u64,
    bytes: u64,
    since: policy::Moment,
}

/// Which entry VMs callers are told, by their region, worked out anew when anything changes.
///
/// Sorting all VMs for each look-up would cost more with each VM.
#[derive(Debug, Default)]
pub(super) struct Told {
    seen: Seen,
    fronts: collections::HashMap<Option<id::RegionId>, rc::Rc<[net::SocketAddr]>>,
    hashes: collections::HashMap<Option<id::RegionId>, rc::Rc<[u64]>>,
}

/// What the lists were worked out from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Seen {
    /// The version of the entry VMs that are known.
    version: u64,
    /// Whether this VM is busy, and whether it can serve callers.
    busy: bool,
    ready: bool,
}

impl Told {
    fn refresh(&mut self, seen: Seen) {
        if self.seen != seen {
            *self = Self {
                seen,
                ..Self::default()
            };
        }
    }
}

impl Gateway {
    /// Where a caller of a region connects.
    pub fn entries_for(&self, region: Option<&str>) -> rc::Rc<[net::SocketAddr]> {
        let mut regions = self.cfg.regions.values();
        let region = region.and_then(|text| regions.find(|r| r.as_str() == text));
        let mut told = self.told.borrow_mut();
        told.refresh(self.seen());
        if let Some(fronts) = told.fronts.get(&region.cloned()) {
            return fronts.clone();
        }
        let fronts = self.fronts_in(region);
        told.fronts.insert(region.cloned(), fronts.clone());
        fronts
    }

    fn seen(&self) -> Seen {
        Seen {
            version: self.entries.borrow().version(),
            busy: self.is_busy(),
            ready: self.is_ready(),
        }
    }

    fn fronts_in(&self, region: Option<&id::RegionId>) -> rc::Rc<[net::SocketAddr]> {
        let near = |az: &id::AzId| region.is_some() && self.cfg.regions.get(az) == region;
        let entries = self.entries.borrow();
        let others = entries
            .to_tell(near, |vm, _, entry| (vm.clone(), entry.front))
            .filter(|entry| entry.value.0 != self.cfg.vm);
        // This VM answers, so it runs, whatever the store can say of it at the moment. Until it knows
        // what to do with requests, callers that keep its name would be refused for as long.
        let own = self.is_ready().then(|| entry_selection::Candidate {
            in_region: near(&self.cfg.az),
            az: &self.cfg.az,
            requests_per_s: self.cfg.capacity.requests_per_s(),
            busy: self.is_busy(),
            hash: self.own_hash,
            value: (self.cfg.vm.clone(), self.cfg.front),
        });
        let told = entry_selection::select(self.cfg.thresholds.told, others.chain(own));
        told.into_iter().map(|(_, front)| front).collect()
    }

    /// The hashes of the names of the entry VMs that the callers of a region are told.
    pub(super) fn told_in(&self, region: Option<&id::RegionId>) -> rc::Rc<[u64]> {
        let mut told = self.told.borrow_mut();
        told.refresh(self.seen());
        if let Some(hashes) = told.hashes.get(&region.cloned()) {
            return hashes.clone();
        }
        let hashes: rc::Rc<[u64]> = self.hashes_in(region, 0).into();
        told.hashes.insert(region.cloned(), hashes.clone());
        hashes
    }

    /// The same with so many more that are next in line.
    pub(super) fn hashes_in(&self, region: Option<&id::RegionId>, more: usize) -> Vec<u64> {
        let near = |az: &id::AzId| self.cfg.regions.get(az) == region;
        let entries = self.entries.borrow();
        let all = entries.to_tell(near, |_, hash, _| hash);
        entry_selection::select(self.cfg.thresholds.told + more, all)
    }

    /// Whether callers of its region are sent to others, and would be to further ones before this VM.
    pub fn stands_by(&self) -> bool {
        /// How many are next in line: they must be registered no longer than those before them.
        const NEXT: usize = 6;
        let in_line = self.hashes_in(self.region.as_ref(), NEXT);
        !in_line.contains(&self.own_hash)
    }

    /// Whether this VM has little room for more callers.
    pub fn is_busy(&self) -> bool {
        self.busy.get().get()
    }

    /// Counts an answer.
    pub(super) fn carried(&self, answer: &callers::Answer) {
        let bytes = match &answer.body {
            callers::Body::Whole(body) => body.len() as u64,
            callers::Body::Pieces { length, .. } => length.unwrap_or_default(),
        };
        let mut carried = self.carried.get();
        carried.requests += 1;
        carried.bytes += bytes;
        self.carried.set(carried);
    }

    /// Works out whether this VM is busy, and whether it has the callers of its region alone.
    pub(super) fn step_carried(&self) {
        let now = self.now();
        let carried = self.carried.take();
        let span = now.saturating_sub(carried.since).as_secs_f64().max(0.01);
        self.carried.set(Carried {
            since: now,
            ..Carried::default()
        });
        let a_second = |count: u64| count as f64 / span;
        let used =
            (self.cfg.capacity).utilization(a_second(carried.requests), a_second(carried.bytes));
        let mut busy = self.busy.get();
        if busy.update(used) {
            slog::info!(self.log, "capacity in use"; "busy" => busy.get(), "used" => used, "requests" => carried.requests, "bytes" => carried.bytes, "span_s" => span);
        }
        self.busy.set(busy);
        self.alone
            .set(self.told_in(self.region.as_ref())[..] == [self.own_hash]);
    }
}
