//! How the VMs split a customer's quota.

/// A customer's quota and usage as known to this VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaState {
    /// Fleet-wide target for the admitted requests per window.
    pub target: f64,
    /// Requests that this VM admitted in the current window.
    pub own_used: f64,
    /// Requests that peers admitted in the window, as reported or estimated.
    pub peers_used: f64,
    /// This VM's share of the fleet's demand.
    pub share: f64,
    /// Number of VMs that admit requests, including this one.
    pub admitting_vms: usize,
    /// Number of entry VMs.
    pub vm_count: usize,
}

impl QuotaState {
    /// Requests that the fleet may still admit.
    pub(super) fn remaining(&self) -> f64 {
        self.target - self.own_used - self.peers_used
    }

    /// Whether the remaining quota outlasts the propagation delay of reports even in a surge.
    pub(super) fn is_ample(&self) -> bool {
        const AMPLE_SHARE: f64 = 0.2;
        self.remaining() >= self.target * AMPLE_SHARE
    }
}

/// How the VMs split a customer's quota. Each VM computes a cap on its own admissions.
pub trait Sharing {
    /// Whether the policy depends on reports of peers.
    const USES_REPORTS: bool = true;

    /// Number of requests that this VM may admit in the current window.
    fn cap(state: &QuotaState) -> f64;
}

/// Splits the remaining quota by recent demand, on top of what the VM has already admitted.
#[derive(Clone, Copy, Debug)]
pub struct ByDemand;

impl Sharing for ByDemand {
    fn cap(s: &QuotaState) -> f64 {
        /// Share of the remaining quota admitted per cap. Peers' concurrent admissions become known
        /// only two or three caps later.
        const MAX_SHARE_PER_CAP: f64 = 0.4;
        /// Number of caps until the peers' concurrent admissions are known.
        const REPORT_DELAY_CAPS: f64 = 2.0;
        let remaining = s.remaining();
        if remaining <= 0.0 {
            return s.own_used + remaining * s.share;
        }
        // A VM without recent demand may use its equal part of what the fleet can admit until reports
        // arrive, in whole requests: requests of small customers arrive irregularly.
        let equal_part = (remaining / REPORT_DELAY_CAPS / s.admitting_vms as f64).floor();
        s.own_used + f64::max(remaining * s.share * MAX_SHARE_PER_CAP, equal_part)
    }
}

/// Gives each VM the whole remaining quota that it knows of.
#[derive(Clone, Copy, Debug)]
pub struct UntilFull;

impl Sharing for UntilFull {
    fn cap(s: &QuotaState) -> f64 {
        s.target - s.peers_used
    }
}

/// Gives each VM the same part of the quota regardless of demand. Needs no reports.
#[derive(Clone, Copy, Debug)]
pub struct Evenly;

impl Sharing for Evenly {
    const USES_REPORTS: bool = false;

    fn cap(s: &QuotaState) -> f64 {
        s.target / s.vm_count.max(1) as f64
    }
}
