//! How many second sends all entry VMs make together.
//!
//! Load pattern: backend servers that fail or refuse, under load. Each VM that retries by its own
//! rule adds to the load just when there is least room, and a fleet of them multiplies it. One
//! notices it as arrivals at a service that are a multiple of its callers' requests.
//!
//! The bound holds for the fleet: a share of the requests of a sliding window, and a fixed extra.
//! The share each VM takes from its own requests; of the extra it takes its part by the number of
//! VMs. So the sum keeps the bound without a message. What one VM leaves unused is lost to the
//! others, which is the price.

use std::collections;
use std::time;

use super::policy;

/// The bound on second sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Second sends for each request.
    pub share: f64,
    /// Second sends beyond that share, over all VMs in a window.
    pub extra: f64,
    /// The window.
    pub window: time::Duration,
    /// What of the bound is used. The rest covers VMs that have just come or gone, which others
    /// count differently for a few seconds, and requests on their way at the window's edge.
    pub used: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            share: 0.1,
            extra: 20.0,
            window: time::Duration::from_secs(10),
            used: 0.75,
        }
    }
}

/// How finely the window slides: in this many steps.
const STEPS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    step: u64,
    requests: f64,
    second: f64,
}

/// One service's requests and second sends on this VM.
#[derive(Clone, Debug, Default)]
pub struct Resends {
    counts: collections::VecDeque<Count>,
}

impl Resends {
    fn count(&mut self, bound: &Bound, now: policy::Moment) -> &mut Count {
        let width = (bound.window / STEPS).max(time::Duration::from_millis(1));
        let step = (now.as_nanos() / width.as_nanos()) as u64;
        while let Some(first) = self.counts.front()
            && first.step + u64::from(STEPS) < step
        {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|c| c.step != step) {
            self.counts.push_back(Count {
                step,
                ..Count::default()
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }

    /// A caller's request came.
    pub fn request(&mut self, bound: &Bound, now: policy::Moment) {
        self.count(bound, now).requests += 1.0;
    }

    /// Takes one second send, if the bound leaves one. `vms` take part in the extra.
    pub fn take(&mut self, bound: &Bound, now: policy::Moment, vms: usize) -> bool {
        self.count(bound, now);
        let requests: f64 = self.counts.iter().map(|c| c.requests).sum();
        let second: f64 = self.counts.iter().map(|c| c.second).sum();
        let own = bound.share * requests + bound.extra / vms.max(1) as f64;
        if second + 1.0 > own * bound.used {
            return false;
        }
        self.count(bound, now).second += 1.0;
        true
    }
}
