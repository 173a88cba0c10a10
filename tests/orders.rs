//! Tests of cached preference orders while backend servers come and go.

use bulrushwind::decisions::{affinity, orders};
use bulrushwind::id;
use bulrushwind::state::backends;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn hash(n: u32) -> u64 {
    affinity::hash(&n.to_le_bytes())
}

fn weight(n: u32) -> f64 {
    f64::from(1 + n % 3)
}

/// An object's complete order, computed without the cache.
fn complete_order(key: u64, members: &[u32]) -> Vec<u32> {
    let mut order = members.to_vec();
    let rank = |n: &u32| affinity::rank(key, hash(*n), weight(*n));
    order.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    order
}

/// A release replaces backend servers one by one under load. If a cached order differed from a
/// recomputed one, VMs that started at different times would send an object to different backend
/// servers, and callers would reach cold caches.
#[test]
fn a_cached_order_equals_a_recomputed_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(31);
    for round in 0..20_u32 {
        let mut cached = orders::PreferenceOrders::default();
        let mut members: Vec<u32> = Vec::new();
        for step in 0..400_u32 {
            let comes = members.len() < 3 || rng.random_range(0..100) < 51;
            if comes {
                let n = round * 1000 + step;
                cached.add(&n, hash(n), weight(n));
                members.push(n);
            } else {
                let gone = members.swap_remove(rng.random_range(0..members.len()));
                cached.remove(&gone);
            }
            let key = hash(rng.random_range(0..12));
            let first: Vec<u32> = cached.first(key).copied().collect();
            assert!(first.len() >= members.len().min(4), "step {step}");
            assert_eq!(
                first,
                complete_order(key, &members)[..first.len()],
                "step {step}"
            );
        }
    }
}

#[test]
fn samples_cover_all_backend_servers() {
    let mut cached = orders::PreferenceOrders::default();
    (0..50_u32).for_each(|n| cached.add(&n, hash(n), 1.0));
    let mut seen = std::collections::BTreeSet::new();
    for tie in 0..200 {
        let drawn: Vec<u32> = cached.sample(tie, 16).copied().collect();
        assert_eq!(drawn.len(), 16);
        seen.extend(drawn);
    }
    assert_eq!(seen.len(), 50);
    let all: Vec<u32> = cached.sample(7, 64).copied().collect();
    assert_eq!(all.len(), 50);
}

fn listed(slots: u32) -> backends::Listed {
    backends::Listed {
        service: "archive".into(),
        addr: "10.1.0.1:80".parse().unwrap(),
        az: "az".into(),
        slots,
        leaving: false,
        cold_until: std::time::Duration::ZERO,
        incarnation: None,
    }
}

/// An operator gives a backend server more slots while it has requests. Its rank must follow, and
/// its in-flight count must stay: if reset, the VM would send more requests than it accepts.
#[test]
fn changed_slots_change_the_rank_and_keep_the_state() {
    let name = |n: u32| id::VmId::from(format!("backend-{n}").as_str());
    let mut all = backends::Backends::new(Some("region".into()));
    for n in 0..20 {
        all.put(&name(n), listed(3), Some("region".into()));
    }
    let service = "archive".into();
    let count_first = |all: &mut backends::Backends| {
        let first =
            |key| all.preferred(&service, backends::RegionScope::Local, hash(key))[0].clone();
        (0..300)
            .map(first)
            .filter(|first| *first == name(7))
            .count()
    };
    let before = count_first(&mut all);
    all.get_mut(&name(7)).unwrap().in_flight = 2;
    assert!(!all.put(&name(7), listed(30), Some("region".into())));
    assert_eq!(all.get(&name(7)).unwrap().in_flight, 2);
    let after = count_first(&mut all);
    assert!(after > before * 3, "{before} {after}");
    all.put(&name(7), listed(30), Some("other".into()));
    assert_eq!(count_first(&mut all), 0);
    assert_eq!(
        all.preferred(&service, backends::RegionScope::Remote, 1),
        [name(7)]
    );
}

/// A request may run in only one of two other regions. Its object needs an order for that region
/// alone: in a common order, nearly all first positions would be in the other region.
#[test]
fn each_other_region_has_its_own_order() {
    let mut all = backends::Backends::new(Some("own".into()));
    let service = id::ServiceId::from("archive");
    let name = |n: usize| id::VmId::from(format!("backend-{n}").as_str());
    let region = |n: usize| id::RegionId::from(["own", "small", "large", "large"][n % 4]);
    for n in 0..80 {
        all.put(&name(n), listed(3), Some(region(n)));
    }
    let (small, large) = (region(1), region(2));
    assert_eq!(
        all.count_in_scope(&service, backends::RegionScope::Only(&small)),
        20
    );
    assert_eq!(
        all.count_in_scope(&service, backends::RegionScope::Only(&large)),
        40
    );
    for key in 0..50 {
        let first = all.preferred(&service, backends::RegionScope::Only(&small), key);
        assert!(first.len() >= 2);
        let lies_there = |vm| all.get(vm).unwrap().region.as_ref() == Some(&small);
        assert!(first.iter().all(lies_there));
    }
    // A removed backend server leaves both orders; one with changed slots stays in both.
    all.remove(&name(1));
    all.put(&name(5), listed(6), Some(small.clone()));
    assert_eq!(
        all.count_in_scope(&service, backends::RegionScope::Only(&small)),
        19
    );
    assert_eq!(
        all.count_in_scope(&service, backends::RegionScope::Remote),
        59
    );
    let unknown = id::RegionId::from("nowhere");
    assert!(
        all.preferred(&service, backends::RegionScope::Only(&unknown), 1)
            .is_empty()
    );
}
