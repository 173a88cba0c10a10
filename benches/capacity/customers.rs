//! Cost of customers: look-up by key, counting requests against quotas, and memory.

use std::fs;
use std::hint;
use std::time;

use bulrushwind::decisions::quota::{self, ByDemand, Ledger};
use bulrushwind::protocol::customers::{Customer, Customers, KeyDigest, Quota};

use super::best_of;

/// Customer counts: the current deployment's 84, up to about a thousand times as many.
const CUSTOMER_COUNTS: [usize; 3] = [84, 10_000, 100_000];

/// Number of requests per measurement.
const REQUEST_COUNT: usize = 100_000;

fn key(i: usize, n: usize) -> String {
    format!("customer-{i}-key-{n}-qrh4jcda9r")
}

fn customers(count: usize) -> Customers {
    let customer = |i: usize| Customer {
        name: format!("customer-{i}").as_str().into(),
        priority: Some(1),
        quota: Some(Quota {
            rate: 100.0,
            burst: 100.0,
        }),
        regions: Vec::new(),
    };
    let keys = |i| {
        (0..2)
            .map(|n| KeyDigest::of(key(i, n).as_bytes()))
            .collect()
    };
    Customers::new((0..count).map(|i| (customer(i), keys(i)))).expect("they are distinct")
}

/// Resident memory of this process in bytes, or 0 if the system does not report it.
fn resident() -> usize {
    const PAGE_BYTES: usize = 4096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Measures finding a request's customer and admitting it against the quota, by customer count.
pub(super) fn admission() {
    println!("customers   ns/key without   ns/key found   ns/request counted   MB kept");
    for count in CUSTOMER_COUNTS {
        let before = resident();
        let all = customers(count);
        let kept = resident().saturating_sub(before) as f64 / 1e6;
        let keys: Vec<String> = (0..1000).map(|n| key(n * 7919 % count, n % 2)).collect();
        let ns_per_request = |seconds: f64| seconds / REQUEST_COUNT as f64 * 1e9;
        let baseline = best_of(3, || {
            for n in 0..REQUEST_COUNT {
                hint::black_box(keys[n % keys.len()].as_bytes());
            }
        });
        let found = best_of(3, || {
            for n in 0..REQUEST_COUNT {
                let digest = KeyDigest::of(keys[n % keys.len()].as_bytes());
                hint::black_box(all.find_by_key(digest));
            }
        });
        let counted = best_of(3, || count_requests(count));
        println!(
            "{count:9}   {:14.1}   {:12.1}   {:18.1}   {kept:7.1}",
            ns_per_request(baseline),
            ns_per_request(found),
            ns_per_request(counted)
        );
    }
}

/// Counts requests of all customers in turn, with usage reports of eight other VMs on 84 customers.
fn count_requests(customers: usize) {
    let limit = quota::Limit {
        rate: 1e6,
        burst: 1e6,
    };
    let mut ledger = Ledger::<ByDemand>::new(quota::Bound::default(), time::Duration::ZERO, 0);
    let report = quota::UsageReport {
        used: 10.0,
        admitted_per_s: 2.0,
        demand: 2.0,
    };
    let now = time::Duration::from_secs(60);
    for vm in 0..8 {
        ledger.apply_report(now, 1_000_000 + vm, 0, (0..84).map(|c| (c, report)), true);
    }
    for n in 0..REQUEST_COUNT {
        let now = now + time::Duration::from_micros(n as u64 * 3);
        let customer = (n % customers) as quota::NameHash;
        let _ = hint::black_box(ledger.admit(now, customer, limit, 0.5));
    }
}
