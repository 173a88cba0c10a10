//! Measures this VM's load, and selects the entry VMs that are advertised to callers: those of the
//! callers' region with capacity left, so that no VM is overloaded.

use std::collections;
use std::net;
use std::rc;

use super::Gateway;
use crate::decisions::{entry_selection, policy, resend};
use crate::id;
use crate::transport::callers;

/// Requests and bytes answered since a moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TrafficCounts {
    requests: u64,
    bytes: u64,
    since: policy::Moment,
}

/// The entry VMs advertised to callers, by the callers' region, cached until an input changes:
/// sorting all VMs at each look-up would cost more with each VM.
#[derive(Debug, Default)]
pub(super) struct AdvertisedCache {
    inputs: CacheInputs,
    fronts: collections::HashMap<Option<id::RegionId>, rc::Rc<[net::SocketAddr]>>,
    hashes: collections::HashMap<Option<id::RegionId>, rc::Rc<[u64]>>,
    /// The number of entry VMs advertised to the callers of any region, and whether this is one.
    total: Option<(usize, bool)>,
}

/// The inputs from which the cached lists were computed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct CacheInputs {
    /// The version of the entry VM list.
    version: u64,
    /// Whether this VM is busy, and whether it can serve callers.
    busy: bool,
    ready: bool,
}

impl AdvertisedCache {
    fn refresh(&mut self, inputs: CacheInputs) {
        if self.inputs != inputs {
            *self = Self {
                inputs,
                ..Self::default()
            };
        }
    }
}

impl Gateway {
    /// The addresses advertised to a caller of a region.
    pub fn entries_for(&self, region: Option<&str>) -> rc::Rc<[net::SocketAddr]> {
        let mut regions = self.cfg.regions.values();
        let region = region.and_then(|text| regions.find(|r| r.as_str() == text));
        let mut cache = self.advertised.borrow_mut();
        cache.refresh(self.cache_inputs());
        if let Some(fronts) = cache.fronts.get(&region.cloned()) {
            return fronts.clone();
        }
        let fronts = self.select_fronts(region);
        cache.fronts.insert(region.cloned(), fronts.clone());
        fronts
    }

    fn cache_inputs(&self) -> CacheInputs {
        CacheInputs {
            version: self.entries.borrow().version(),
            busy: self.is_busy(),
            ready: self.is_ready(),
        }
    }

    fn select_fronts(&self, region: Option<&id::RegionId>) -> rc::Rc<[net::SocketAddr]> {
        let near = |az: &id::AzId| region.is_some() && self.cfg.regions.get(az) == region;
        let entries = self.entries.borrow();
        let others = entries
            .candidates(near, |vm, _, entry| (vm.clone(), entry.caller_addr))
            .filter(|entry| entry.value.0 != self.cfg.vm);
        // This VM is running even if the store's entry for it is missing. Until it is ready it is
        // left out: callers that cache its address would be refused for as long.
        let own = self.is_ready().then(|| entry_selection::Candidate {
            in_region: near(&self.cfg.az),
            az: &self.cfg.az,
            requests_per_s: self.cfg.capacity.requests_per_s(),
            busy: self.is_busy(),
            hash: self.own_hash,
            value: (self.cfg.vm.clone(), self.cfg.front),
        });
        let selected =
            entry_selection::select(self.cfg.thresholds.advertised_vms, others.chain(own));
        selected.into_iter().map(|(_, front)| front).collect()
    }

    /// Hashes of the names of the entry VMs advertised to a region's callers.
    pub(super) fn advertised_hashes(&self, region: Option<&id::RegionId>) -> rc::Rc<[u64]> {
        let mut cache = self.advertised.borrow_mut();
        cache.refresh(self.cache_inputs());
        if let Some(hashes) = cache.hashes.get(&region.cloned()) {
            return hashes.clone();
        }
        let hashes: rc::Rc<[u64]> = self.selection_hashes(region, 0).into();
        cache.hashes.insert(region.cloned(), hashes.clone());
        hashes
    }

    /// The number of entry VMs advertised to the callers of any region.
    pub(super) fn advertised_total(&self) -> usize {
        self.advertised_anywhere().0
    }

    /// The number of entry VMs advertised to the callers of any region, and whether this is one.
    fn advertised_anywhere(&self) -> (usize, bool) {
        let known = {
            let mut cache = self.advertised.borrow_mut();
            cache.refresh(self.cache_inputs());
            cache.total
        };
        known.unwrap_or_else(|| {
            let vms: collections::HashSet<u64> = self
                .cfg
                .regions
                .values()
                .flat_map(|region| self.advertised_hashes(Some(region)).to_vec())
                .collect();
            let total = (vms.len(), vms.contains(&self.own_hash));
            self.advertised.borrow_mut().total = Some(total);
            total
        })
    }

    /// Updates what the bound on second sends needs to know of the advertised VMs.
    pub(super) fn update_fleet_view(&self) {
        let (total, is_advertised) = self.advertised_anywhere();
        let (listed, mut fleet_view) = (self.entries.borrow().len(), self.fleet_view.get());
        let advertised = match is_advertised {
            true if self.is_view_current() => resend::Advertised::Yes,
            true => resend::Advertised::ByOldView,
            false => resend::Advertised::No,
        };
        fleet_view.update(&self.cfg.resend, self.now(), advertised, total, listed);
        self.fleet_view.set(fleet_view);
    }

    /// Hashes of the advertised entry VMs and of the `more` next ones in the order of selection.
    pub(super) fn selection_hashes(&self, region: Option<&id::RegionId>, more: usize) -> Vec<u64> {
        let near = |az: &id::AzId| self.cfg.regions.get(az) == region;
        let entries = self.entries.borrow();
        let all = entries.candidates(near, |_, hash, _| hash);
        entry_selection::select(self.cfg.thresholds.advertised_vms + more, all)
    }

    /// Whether this VM is neither advertised to its region's callers nor among the next ones in the
    /// order of selection.
    pub fn is_spare(&self) -> bool {
        /// VMs next in the order. Their leases must be as short as those of advertised VMs.
        const STANDBY_COUNT: usize = 6;
        let selected = self.selection_hashes(self.region.as_ref(), STANDBY_COUNT);
        !selected.contains(&self.own_hash)
    }

    /// Whether this VM has little capacity left for more callers.
    pub fn is_busy(&self) -> bool {
        self.busy.get().get()
    }

    pub(super) fn count_answer(&self, answer: &callers::Answer) {
        let bytes = match &answer.body {
            callers::Body::Whole(body) => body.len() as u64,
            callers::Body::Pieces { length, .. } => length.unwrap_or_default(),
        };
        let mut counts = self.traffic_counts.get();
        counts.requests += 1;
        counts.bytes += bytes;
        self.traffic_counts.set(counts);
    }

    /// Updates whether this VM is busy, and whether it is the only one advertised in its region.
    pub(super) fn update_busy(&self) {
        let now = self.now();
        let counts = self.traffic_counts.take();
        let span = now.saturating_sub(counts.since).as_secs_f64().max(0.01);
        self.traffic_counts.set(TrafficCounts {
            since: now,
            ..TrafficCounts::default()
        });
        let per_second = |count: u64| count as f64 / span;
        let is_short = self.is_short_of_descriptors();
        let used = match is_short {
            true => 1.0,
            false => (self.cfg.capacity)
                .utilization(per_second(counts.requests), per_second(counts.bytes)),
        };
        let mut busy = self.busy.get();
        if busy.update(used) {
            slog::info!(self.log, "capacity in use"; "busy" => busy.get(), "used" => used, "short_of_descriptors" => is_short, "requests" => counts.requests, "bytes" => counts.bytes, "span_s" => span);
        }
        self.busy.set(busy);
        self.is_sole_entry
            .set(self.advertised_hashes(self.region.as_ref())[..] == [self.own_hash]);
        if self.fleet_view.get().is_due(self.now()) {
            self.update_fleet_view();
        }
    }
}
