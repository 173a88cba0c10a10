//! What customers cost: finding one by its key, counting its requests, and keeping all of them.

use std::fs;
use std::hint;
use std::time;

use bulrushwind::decisions::quota::{self, ByDemand, Ledger};
use bulrushwind::protocol::customers::{Customer, Customers, KeyDigest, Quota};

use super::best_of;

/// Customers of today's deployment, and a thousand times as many.
const SIZES: [usize; 3] = [84, 10_000, 100_000];

/// Requests of one measurement.
const REQUESTS: usize = 100_000;

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

/// Resident memory of this process, in bytes; 0 where the system does not say.
fn resident() -> usize {
    const PAGE: usize = 4096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}

/// Finding who asks, and whether its quota leaves one more, by the number of customers.
pub(super) fn who_asks() {
    println!("customers   ns/key without   ns/key found   ns/request counted   MB kept");
    for count in SIZES {
        let before = resident();
        let all = customers(count);
        let kept = resident().saturating_sub(before) as f64 / 1e6;
        let keys: Vec<String> = (0..1000).map(|n| key(n * 7919 % count, n % 2)).collect();
        let each = |seconds: f64| seconds / REQUESTS as f64 * 1e9;
        let without = best_of(3, || {
            for n in 0..REQUESTS {
                hint::black_box(keys[n % keys.len()].as_bytes());
            }
        });
        let found = best_of(3, || {
            for n in 0..REQUESTS {
                let digest = KeyDigest::of(keys[n % keys.len()].as_bytes());
                hint::black_box(all.find_by_key(digest));
            }
        });
        let counted = best_of(3, || count_requests(count));
        println!(
            "{count:9}   {:14.1}   {:12.1}   {:18.1}   {kept:7.1}",
            each(without),
            each(found),
            each(counted)
        );
    }
}

/// Counts requests of all customers in turn, with eight other VMs that tell of 84 of them.
fn count_requests(customers: usize) {
    let limit = quota::Limit {
        rate: 1e6,
        burst: 1e6,
    };
    let mut ledger = Ledger::<ByDemand>::new(quota::Bound::default(), time::Duration::ZERO, 0);
    let told = quota::UsageReport {
        used: 10.0,
        rate_per_s: 2.0,
        demand: 2.0,
    };
    let now = time::Duration::from_secs(60);
    for vm in 0..8 {
        ledger.apply_report(now, 1_000_000 + vm, 0, (0..84).map(|c| (c, told)), true);
    }
    for n in 0..REQUESTS {
        let now = now + time::Duration::from_micros(n as u64 * 3);
        let customer = (n % customers) as quota::NameHash;
        let _ = hint::black_box(ledger.admit(now, customer, limit, 0.5));
    }
}
