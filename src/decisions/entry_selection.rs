//! Selects the entry VMs whose addresses a caller receives.
//!
//! Load pattern: a region with more entry VMs than its requests need, of several sizes. If callers
//! spread over all of them, each VM sees a small part of a backend server's load: it takes one with
//! ten requests for idle, and opens a new connection for many requests, which costs a round trip
//! (0.11 s between regions). The symptoms are late answers while other backend servers are idle, and
//! less goodput when VMs are added.
//!
//! Callers therefore receive few VMs of their region, those with the largest capacity, from different
//! zones. VMs in the caller's own zone are not preferred: the zones of a region are a millisecond
//! apart. Each VM publishes whether it is busy, and each busy VM in the list adds one more; all VMs
//! compute the same list from this without further messages. A region without VMs gets those of any
//! region.

use std::cmp;
use std::collections;

use crate::id;

/// Default number of VMs in the list that are not busy. Two, because after the loss of a VM or its
/// zone the other one still answers until the lease of the lost one has expired.
pub const DEFAULT_VM_COUNT: usize = 2;

/// Maximum number of VMs in one list. More would only make answers longer.
pub const MAX_VM_COUNT: usize = 64;

/// Utilization of processor or link above which a VM becomes busy. Half, because callers arrive in
/// bursts and those of a lost VM are added.
const BUSY_ABOVE_RATIO: f64 = 0.5;

/// Utilization at or below which a busy VM stops being busy. When the load of one busy VM is shared
/// with a second one, each has half of [`BUSY_ABOVE_RATIO`] and must stay busy.
const IDLE_BELOW_RATIO: f64 = 0.2;

/// Processor time per request, in seconds of one core, with a reserve for large answers.
const REQUEST_CORE_S: f64 = 0.000_2;

/// Typical size of an answer.
const TYPICAL_ANSWER_BYTES: f64 = 5_000.0;

/// Capacity of a VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capacity {
    /// Number of cores, possibly fractional; 0 if unknown.
    pub cores: f64,
    /// Link bandwidth in Mbit/s; 0 if unknown.
    pub link_mbps: f64,
}

impl Capacity {
    /// Bytes per second of a link of 1 Mbit/s.
    const BYTES_PER_S_PER_MBPS: f64 = 1e6 / 8.0;

    /// Typical requests per second that the VM can serve; 0 if its capacity is unknown.
    pub fn requests_per_s(&self) -> u32 {
        let by_cores = self.cores / REQUEST_CORE_S;
        let by_link = self.link_mbps * Self::BYTES_PER_S_PER_MBPS / TYPICAL_ANSWER_BYTES;
        let known = [by_cores, by_link].into_iter().filter(|n| *n > 0.0);
        known.reduce(f64::min).unwrap_or_default() as u32
    }

    /// Utilization of processor or link, whichever is larger.
    pub fn utilization(&self, requests_per_s: f64, bytes_per_s: f64) -> f64 {
        let ratio = |used: f64, total: f64| if total > 0.0 { used / total } else { 0.0 };
        let processor = ratio(requests_per_s * REQUEST_CORE_S, self.cores);
        processor.max(ratio(
            bytes_per_s,
            self.link_mbps * Self::BYTES_PER_S_PER_MBPS,
        ))
    }
}

/// Whether a VM is busy, with hysteresis on its utilization.
#[derive(Clone, Copy, Debug, Default)]
pub struct Busy(bool);

impl Busy {
    /// Returns whether the VM is busy.
    pub fn get(self) -> bool {
        self.0
    }

    /// Updates the state from the current utilization. Returns whether the state has changed.
    pub fn update(&mut self, utilization: f64) -> bool {
        let threshold = if self.0 {
            IDLE_BELOW_RATIO
        } else {
            BUSY_ABOVE_RATIO
        };
        let busy = utilization > threshold;
        std::mem::replace(&mut self.0, busy) != busy
    }
}

/// An entry VM that may be in a caller's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a, T> {
    /// Whether it is in the caller's region.
    pub in_region: bool,
    /// Its availability zone.
    pub az: &'a id::AzId,
    /// Typical requests per second that it can serve.
    pub requests_per_s: u32,
    /// Whether it reports that it is busy.
    pub busy: bool,
    /// Hash of its name; orders VMs of equal capacity the same way on all VMs.
    pub hash: u64,
    /// The value that the selection returns for this VM.
    pub value: T,
}

/// Selects the entry VMs for a caller so that `not_busy_count` of them are not busy, if there are
/// that many.
pub fn select<'a, T>(not_busy_count: usize, all: impl Iterator<Item = Candidate<'a, T>>) -> Vec<T> {
    let mut not_busy_missing = not_busy_count;
    let is_needed = |candidate: &Candidate<'_, T>| {
        let is_missing = not_busy_missing > 0;
        not_busy_missing -= usize::from(is_missing && !candidate.busy);
        is_missing
    };
    rank_candidates(all)
        .into_iter()
        .take_while(is_needed)
        .take(MAX_VM_COUNT)
        .map(|candidate| candidate.value)
        .collect()
}

/// Orders the VMs of the region, or all VMs if it has none: first the largest of each zone, then the
/// second largest of each, and so on.
fn rank_candidates<'a, T>(all: impl Iterator<Item = Candidate<'a, T>>) -> Vec<Candidate<'a, T>> {
    let mut all: Vec<Candidate<'a, T>> = all.collect();
    if all.iter().any(|candidate| candidate.in_region) {
        all.retain(|candidate| candidate.in_region);
    }
    all.sort_by_key(|candidate| (cmp::Reverse(candidate.requests_per_s), candidate.hash));
    let mut ranks_by_az: collections::HashMap<&id::AzId, usize> = collections::HashMap::new();
    let mut ranked: Vec<(usize, Candidate<'a, T>)> = Vec::with_capacity(all.len());
    for candidate in all {
        let rank = ranks_by_az.entry(candidate.az).or_default();
        ranked.push((*rank, candidate));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
