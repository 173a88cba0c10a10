//! Reads long lists in parallel ranges, simulated without a network.

use bulrushwind::coordination::list_ranges;
use rand::{RngExt, SeedableRng};

/// Keys per page.
const PAGE_SIZE: usize = 200;

/// The result of reading one list.
struct Read {
    /// The keys read, in the order of the ranges.
    keys: Vec<String>,
    /// Sequential round trips: the first page and then the pages of the longest range.
    rounds: usize,
    /// The total number of pages.
    pages: usize,
}

/// One page of a sorted list after a key, and whether more keys follow.
fn page<'a>(list: &'a [String], after: &str) -> (&'a [String], bool) {
    let from = list.partition_point(|key| key.as_str() <= after);
    let rest = &list[from..];
    (&rest[..rest.len().min(PAGE_SIZE)], rest.len() > PAGE_SIZE)
}

fn read(prefix: &str, list: &[String]) -> Read {
    let (first, more) = page(list, "");
    let mut read = Read {
        keys: first.to_vec(),
        rounds: 1,
        pages: 1,
    };
    if !more {
        return read;
    }
    let keys: Vec<&str> = first.iter().map(String::as_str).collect();
    let range_starts = list_ranges::range_starts(prefix, &keys);
    let starts = std::iter::once(first[first.len() - 1].clone()).chain(range_starts.clone());
    let mut ends = range_starts.into_iter();
    let mut longest = 0;
    for start in starts {
        let end = ends.next();
        let mut after = start;
        let mut rounds = 0;
        loop {
            let (found, more) = page(list, &after);
            rounds += 1;
            let beyond = |key: &String| end.as_ref().is_some_and(|end| key > end);
            read.keys
                .extend(found.iter().filter(|key| !beyond(key)).cloned());
            match found.last() {
                Some(last) if more && !beyond(last) => after = last.clone(),
                _ => break,
            }
        }
        longest = longest.max(rounds);
        read.pages += rounds;
    }
    read.rounds += longest;
    read
}

fn random_keys(count: usize, seed: u64) -> Vec<String> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let key = |n: u32| format!("servers/i-{n:08x}");
    let mut list: Vec<String> = (0..count).map(|_| key(rng.random())).collect();
    list.sort_unstable();
    list.dedup();
    list
}

/// Guards against a start that reads fifty pages in sequence, each from a distant region.
#[test]
fn sequential_round_trips_grow_slowly_with_the_list() {
    for (count, rounds, overhead) in [
        (447, 3, 1.4),
        (3_000, 5, 1.8),
        (10_002, 6, 1.8),
        (20_004, 7, 1.6),
        (44_000, 11, 1.5),
    ] {
        for seed in 0..5 {
            let list = random_keys(count, seed);
            let read = read("servers/", &list);
            assert_eq!(read.keys, list);
            assert!(read.rounds <= rounds, "{count}: {} rounds", read.rounds);
            let min_pages = count.div_ceil(PAGE_SIZE) as f64;
            assert!(
                read.pages as f64 <= min_pages * overhead + 1.0,
                "{count}: {} pages of {min_pages}",
                read.pages
            );
        }
    }
}

/// Guards against lost keys if keys are not evenly spread: numbered keys, mixed formats, keys that
/// differ only in their last digits, or keys exactly at the start of a range.
#[test]
fn every_key_is_read_once_for_any_key_distribution() {
    let numbered = (0..3_000).map(|n| format!("servers/vm-{n:05}"));
    let clustered = (0..3_000).map(|n| format!("servers/i-0000{n:04x}"));
    let mixed_formats = random_keys(2_000, 3)
        .into_iter()
        .chain((0..500).map(|n| format!("servers/zz/{n}")));
    let multibyte = (0..1_500).map(|n| format!("servers/é{n}"));
    let nested = (0..700).map(|n| format!("servers/{}", "a".repeat(n + 1)));
    let lists: [Vec<String>; 5] = [
        numbered.collect(),
        clustered.collect(),
        mixed_formats.collect(),
        multibyte.collect(),
        nested.collect(),
    ];
    for mut list in lists {
        list.sort_unstable();
        assert_eq!(read("servers/", &list).keys, list);
    }
    let list = random_keys(10_002, 9);
    let keys: Vec<&str> = list.iter().map(String::as_str).take(PAGE_SIZE).collect();
    let mut on_range_starts = [list.clone(), list_ranges::range_starts("servers/", &keys)].concat();
    on_range_starts.sort_unstable();
    assert_eq!(read("servers/", &on_range_starts).keys, on_range_starts);
}
