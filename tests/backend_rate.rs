//! Rates that backend servers state in their answers, kept by entry VMs in virtual time.

use std::time;

use bulrushwind::decisions::{affinity, backend_rate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The entry VMs advertised to callers: `local` of them to callers of the backend server's region.
struct Fleet {
    vms: Vec<u64>,
    local: usize,
}

impl Fleet {
    fn new(total: usize, local: usize) -> Self {
        let hash = |n: usize| affinity::hash(format!("vm-{n}").as_bytes());
        Self {
            vms: (0..total).map(hash).collect(),
            local,
        }
    }

    fn frequency(&self, vm: usize, backend: u64, rate: f64) -> backend_rate::Frequency {
        let senders = backend_rate::Senders {
            this_vm: self.vms[vm],
            local: &self.vms[..self.local],
            total: self.vms.len(),
        };
        backend_rate::Limit::Stated(rate).frequency(backend, &senders)
    }

    /// The times at which all VMs together send, in milliseconds. Each learns of the rate within a
    /// second and has a request at any time.
    fn sends(&self, rate: f64, seed: u64) -> Vec<u64> {
        const LENGTH_MS: u64 = 60_000;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let backend = rng.random();
        let mut sends = Vec::new();
        for vm in 0..self.vms.len() {
            let frequency = self.frequency(vm, backend, rate);
            let mut pace = backend_rate::Pace::default();
            let told = rng.random_range(0..1000);
            let now = |ms| time::Duration::from_millis(10_000 + ms);
            pace.sent(now(told));
            pace.begin(now(told), rng.random());
            for ms in (told..LENGTH_MS).step_by(10) {
                if pace.ready(now(ms), frequency) {
                    pace.sent(now(ms));
                    sends.push(ms);
                }
            }
        }
        sends.sort_unstable();
        sends
    }
}

/// Most sends in any window of this length.
fn most_in_window(sends: &[u64], window_ms: u64) -> usize {
    let within = |i: usize| sends[i..].partition_point(|at| *at < sends[i] + window_ms);
    (0..sends.len()).map(within).max().unwrap_or_default()
}

/// Guards against VMs that each keep to a stated rate, and together send a multiple of it.
#[test]
fn vms_told_of_a_rate_keep_to_it_together() {
    for (total, local) in [(1, 1), (2, 2), (6, 2), (24, 2), (66, 6), (200, 20)] {
        let fleet = Fleet::new(total, local);
        for rate in [0.0, 0.3, 1.0, 1.4, 1.9, 4.5, 20.0] {
            for seed in 0..4 {
                let most = most_in_window(&fleet.sends(rate, seed), 4000);
                let allowed = 1.5 * rate * 4.0 + 5.0;
                assert!(
                    most as f64 <= allowed,
                    "{total} VMs, {rate} a second: {most} in 4 s, allowed {allowed}"
                );
            }
        }
    }
}

/// Guards against a limited backend server that gets hardly anything although it accepts more.
#[test]
fn most_of_a_stated_rate_is_used() {
    for (total, local) in [(1, 1), (6, 2), (24, 2), (66, 6)] {
        let fleet = Fleet::new(total, local);
        for rate in [1.0, 1.9, 4.5, 20.0] {
            let sent = fleet.sends(rate, 1).len() as f64 / 60.0;
            assert!(sent >= 0.7 * rate, "{total} VMs, {rate} a second: {sent}");
        }
    }
}

/// Guards against a VM that never sends and so never learns that a limit has ended.
#[test]
fn every_vm_sends_to_a_limited_backend_server_now_and_then() {
    for rate in [0.0, 1e-300, 0.3, 1.4, 20.0] {
        let fleet = Fleet::new(24, 2);
        for vm in 0..24 {
            let frequency = fleet.frequency(vm, 7, rate);
            let longest = time::Duration::from_secs_f64(24.0 / (rate.max(0.25) * 0.25));
            assert!(frequency <= backend_rate::Frequency::Every(longest));
        }
    }
}

/// Guards against VMs of a backend server's own region that go on sparing it long after its limit
/// has ended: callers of the region are refused meanwhile.
#[test]
fn both_vms_of_a_small_region_send_every_few_seconds() {
    let fleet = Fleet::new(6, 2);
    for backend in 0..50 {
        for vm in 0..2 {
            let frequency = fleet.frequency(vm, backend, 1.4);
            assert!(frequency <= backend_rate::Frequency::Every(time::Duration::from_secs(2)));
        }
    }
}

/// Guards against a huge stated rate that starves a backend server or overflows.
#[test]
fn a_huge_stated_rate_does_not_limit() {
    let fleet = Fleet::new(24, 2);
    for rate in [1e9, 1e300, f64::MAX] {
        for vm in 0..24 {
            let frequency = fleet.frequency(vm, 7, rate);
            assert!(frequency < backend_rate::Frequency::Every(time::Duration::from_millis(1)));
        }
    }
}

/// Guards against an invalid value that ends a limit at once, or keeps it for good.
#[test]
fn invalid_values_end_a_limit_after_a_while() {
    let at = time::Duration::from_secs;
    let mut limit = backend_rate::StatedLimit::default();
    limit.stated(at(100), Some(2.0));
    limit.invalid(at(105));
    assert_eq!(limit.get(), Some(2.0));
    limit.invalid(at(110));
    assert_eq!(limit.get(), None);
    limit.stated(at(111), Some(2.0));
    limit.stated(at(112), None);
    assert_eq!(limit.get(), None);
}
