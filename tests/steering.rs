//! Property tests: shifted traffic stays within its limits under restarts, lag and reordering.

use std::collections;
use std::path;
use std::sync;
use std::time;

use bulrushwind::decisions::{caps, grants, links, plan, policy};
use bulrushwind::{id, settings};
use proptest::prelude::*;
use proptest::test_runner;

const MS: policy::Moment = policy::Moment::from_millis(1);

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

/// The times at which requests arrived at one sender and were shifted, in milliseconds.
#[derive(Default)]
struct Trace {
    arrived: Vec<u32>,
    moved: Vec<u32>,
}

fn within(times: &[u32], from: u32, to: u32) -> usize {
    times.iter().filter(|t| (from..to).contains(*t)).count()
}

/// Simulates arrivals at 12 senders, each of which tries to shift all of its requests.
fn simulate_senders(cfg: &caps::Config, arrivals: &[(usize, u32)], restarts: &[u32]) -> Vec<Trace> {
    let mut senders: Vec<_> = (0..12)
        .map(|_| (caps::Caps::new(cfg.clone()), Trace::default()))
        .collect();
    let mut now = 0;
    for (i, (sender, gap)) in arrivals.iter().enumerate() {
        now += gap;
        let (caps, trace) = &mut senders[sender % 12];
        if restarts.contains(&(i as u32)) {
            *caps = caps::Caps::new(cfg.clone());
        }
        caps.arrived(MS * now);
        trace.arrived.push(now);
        if caps.allows(MS * now, 1) {
            caps.moved(MS * now);
            trace.moved.push(now);
        }
    }
    senders.into_iter().map(|(_, trace)| trace).collect()
}

proptest! {
    #![proptest_config(fixed(64))]

    /// Guards against senders that together exceed the shift cap when all try to move all of their
    /// traffic, which is uneven and comes in bursts, and processes restart.
    #[test]
    fn the_sum_of_shifts_keeps_the_cap(
        arrivals in proptest::collection::vec((0_usize..40, prop_oneof![Just(0_u32), 0..5_u32, Just(400)]), 500..3_000),
        restarts in proptest::collection::vec(0_u32..3_000, 0..10),
        cap in 0.05_f64..1.0,
        step in 500_u32..4_000,
    ) {
        // Numbers from 12 on map to the first four senders, which get most of the traffic.
        let arrivals: Vec<_> = arrivals
            .into_iter()
            .map(|(s, gap)| (if s >= 12 { s % 4 } else { s }, gap))
            .collect();
        let cfg = caps::Config { cap, step: MS * step, ..caps::Config::default() };
        let traces = simulate_senders(&cfg, &arrivals, &restarts);
        for trace in &traces {
            for end in &trace.moved {
                let from = (end + 1).saturating_sub(step);
                let moved = within(&trace.moved, from, end + 1) as f64;
                let arrived = within(&trace.arrived, from, end + 1) as f64;
                prop_assert!(moved <= cap * arrived, "{moved} of {arrived} at {end}");
            }
        }
        let last = arrivals.iter().map(|(_, gap)| gap).sum::<u32>();
        for from in (0..last).step_by(step as usize / 3) {
            let sum = |pick: fn(&Trace) -> &Vec<u32>| -> usize {
                traces.iter().map(|t| within(pick(t), from, from + step)).sum()
            };
            let (moved, arrived) = (sum(|t| &t.moved), sum(|t| &t.arrived));
            // Each sender may still hold two tokens from before the window.
            prop_assert!(moved as f64 <= cfg.sender_share() * arrived as f64 + 24.0);
        }
    }

    /// Guards against overcommitted backend servers: several entry VMs of one availability zone
    /// grant their slots while local load changes and reports lag.
    #[test]
    fn the_sum_of_grants_stays_within_headroom(
        members in 1_usize..5,
        events in proptest::collection::vec((0_usize..5, 0_u8..4, 0_u32..12, 0_u32..700), 50..600),
        lag in 0_usize..20,
    ) {
        let (slots, max_load) = (60_u32, 0.9);
        let limit = f64::from(slots) * max_load;
        let mut granters: Vec<_> = (0..members).map(granter).collect();
        let mut local_requests = vec![0_u32; members];
        let mut held: Vec<(usize, id::VmId, grants::GrantId)> = Vec::new();
        let mut seen = vec![0_u32];
        let mut now = 20_000;
        let share = (limit / members as f64) as u32;
        for (who, what, number, gap) in events {
            now += gap;
            let who = who % members;
            let sender = id::VmId::from(format!("sender-{}", number % 4).as_str());
            let total: u32 = local_requests.iter().sum::<u32>() + held.len() as u32;
            seen.push(total);
            granters[who].set_load(MS * now, grants::Load {
                slots,
                max_load,
                members: members as u32,
                local_requests: local_requests[who],
                az_in_flight: seen[seen.len().saturating_sub(1 + lag)],
                service_time: MS * 20,
            });
            match what {
                0 => local_requests[who] = (number * 3).min(share),
                1 => { granters[who].request_grant(MS * now, &sender, 10_000.0); }
                2 => {
                    let grant = granters[who].request_grant(MS * now, &sender, 10_000.0);
                    for grant in grant.iter().cycle().take(5) {
                        if granters[who].admit(MS * now, &sender, grant.id).is_ok() {
                            held.push((who, sender.clone(), grant.id));
                            let over = |who: usize| {
                                let in_hand = local_requests[who] + granters[who].in_flight();
                                (f64::from(in_hand) - limit / members as f64).max(0.0)
                            };
                            prop_assert!(over(who) == 0.0, "one entry VM lets in over its share");
                            // With lagging reports, only later local callers may exceed the limit.
                            let over_limit = if lag == 0 { 0.0 } else { (0..members).map(over).sum() };
                            let all = local_requests.iter().sum::<u32>() + held.len() as u32;
                            prop_assert!(f64::from(all) <= limit + over_limit, "{all} in hand");
                        }
                    }
                }
                _ => if !held.is_empty() {
                    let (who, _, grant) = held.swap_remove(number as usize % held.len());
                    granters[who].done(grant);
                },
            }
            if what == 1 || what == 2 {
                let granted: u32 = granters.iter().map(grants::Granter::granted_slots).sum();
                prop_assert!(f64::from(granted) <= limit, "{granted} granted");
                let max_slots = granters[who].headroom().max(f64::from(granters[who].in_flight()));
                let granted = f64::from(granters[who].granted_slots());
                // Grants issued before the local load grew expire within their lifetime.
                prop_assert!(granted <= max_slots || granted <= limit / members as f64, "{granted} of {max_slots}");
            }
        }
    }

    #[test]
    fn a_link_carries_no_more_than_its_limit(
        senders in 1_usize..9,
        requests in proptest::collection::vec((0_usize..9, 0_u32..20, 1_u64..200_000), 100..800),
    ) {
        let limit = 1_000_000;
        let to = id::RegionId::from("b");
        let mut fleet: Vec<_> = (0..senders).map(|_| links::Links::new(links::Config::default())).collect();
        for links in &mut fleet {
            links.set(policy::Moment::ZERO, &to, limit, senders as u32);
        }
        let (mut now, mut sent) = (0, Vec::new());
        for (who, gap, bytes) in requests {
            now += gap;
            let links = &mut fleet[who % senders];
            if links.allows(MS * now, &to, bytes) {
                links.take(MS * now, &to, bytes);
                sent.push((now, bytes));
            }
        }
        for (end, _) in &sent {
            let window = (end + 1).saturating_sub(1_000)..end + 1;
            let bytes: u64 = sent.iter().filter(|(t, _)| window.contains(t)).map(|(_, b)| b).sum();
            prop_assert!(bytes <= limit, "{bytes} bytes in the second before {end}");
        }
    }

    /// Guards against plans and steps that move callers into a region without free capacity, when
    /// summaries are old, wrong or missing and availability zones drain.
    #[test]
    fn no_plan_overloads_a_region(
        rows in proptest::collection::vec((0_u32..30, 0.0_f64..40.0, 0_u64..15, 0.0_f64..1.2), 6),
        stray in 0.0_f64..20.0,
    ) {
        let settings = cooperative();
        let service = settings.service("ledger").unwrap();
        let cfg = plan::Config::default();
        let mut summaries = Vec::new();
        let mut capacity_shares = collections::BTreeMap::new();
        for (az, (slots, demand, age, part)) in service.azs.iter().zip(&rows) {
            let region = &settings.region_of(az).unwrap().name;
            let mut by_region = collections::BTreeMap::from([(region.clone(), *demand)]);
            *by_region.entry("khovd".into()).or_default() += stray;
            summaries.push(plan::Summary {
                az: az.clone(),
                service: service.name.clone(),
                slots: *slots,
                in_use: *demand,
                demand: by_region,
                age: time::Duration::from_secs(*age),
            });
            capacity_shares.insert(az.clone(), *part);
        }
        let now = plan::initial_weights(&settings, service);
        let inputs = plan::Inputs { settings: &settings, service, summaries: &summaries, capacity_shares: &capacity_shares, current: &now };
        let target = plan::target(&cfg, &inputs);
        check_plan(&settings, &inputs, &target)?;
        let start = plan::initial_weights(&settings, service);
        let mut now = start.clone();
        for _ in 0..60 {
            let Some(next) = plan::step(&cfg, &now, &target, 0.05) else { break };
            for (region, weights) in &next {
                prop_assert!(plan::churn(&now[region], weights) <= 0.05 + 1e-6);
            }
            check_plan(&settings, &inputs, &next)?;
            now = next;
        }
    }

    /// Guards against a node that exceeds the bound per step, or does not end at the newest
    /// version, when versions arrive late, twice, out of order or not at all.
    #[test]
    fn versions_in_any_order_move_a_bounded_share(
        versions in proptest::collection::vec((1_u64..50, 0_u64..40), 1..60),
        shares in proptest::collection::vec(0.01_f64..1.0, 50),
    ) {
        let settings = cooperative();
        let service = settings.service("ledger").unwrap();
        let version = |number: u64| {
            let share = shares[number as usize];
            let weights = [("khovd-a".into(), share), ("ub-a".into(), 1.0 - share)].into();
            let by_region: plan::WeightsByRegion = [("khovd".into(), weights)].into();
            sync::Arc::new(plan::Plan {
                version: number,
                services: [(service.name.clone(), by_region)].into(),
            })
        };
        let mut applied = plan::AppliedPlan::default();
        let mut now = policy::Moment::ZERO;
        let mut seen = vec![(now, applied.advance(now, &settings, service, 0.05)["khovd"].clone())];
        let mut newest = 0;
        for (number, gap) in versions {
            now += time::Duration::from_secs(gap) / 4;
            prop_assert_eq!(applied.offer(version(number)), number > newest);
            newest = newest.max(number);
            seen.push((now, applied.advance(now, &settings, service, 0.05)["khovd"].clone()));
        }
        let step = time::Duration::from_millis(service.shift_step_ms);
        for (i, (early, before)) in seen.iter().enumerate() {
            let soon = seen[i..].iter().take_while(|(late, _)| *late < *early + step);
            for (_, after) in soon {
                prop_assert!(plan::churn(before, after) <= 0.05 + 1e-6);
            }
        }
        for _ in 0..100 {
            now += step;
            applied.advance(now, &settings, service, 0.05);
        }
        let end = &applied.advance(now, &settings, service, 0.05)["khovd"];
        let goal = &version(newest).services[&service.name]["khovd"];
        prop_assert!(plan::churn(end, goal) < 1e-6);
    }

    /// Guards against needless moves: if all callers fit into the nearest region that has backend
    /// servers, the plan must send them there like the naive policy.
    #[test]
    fn without_overload_the_plan_matches_the_naive_policy(
        demand in proptest::collection::vec(0.1_f64..1.3, 6),
        lost in proptest::option::of(0_usize..3),
    ) {
        let settings = cooperative();
        let service = settings.service("ledger").unwrap();
        let regions: Vec<_> = settings.regions().collect();
        let lost_region = lost.map(|i| regions[i].name.clone());
        let summaries: Vec<_> = service.azs.iter().zip(&demand).map(|(az, demand)| {
            let region = &settings.region_of(az).unwrap().name;
            plan::Summary {
                az: az.clone(),
                service: service.name.clone(),
                in_use: *demand,
                slots: if lost_region.as_ref() == Some(region) { 0 } else { 6 },
                demand: [(region.clone(), *demand)].into(),
                age: time::Duration::ZERO,
            }
        }).collect();
        let capacity_shares = collections::BTreeMap::new();
        let now = plan::initial_weights(&settings, service);
        let inputs = plan::Inputs { settings: &settings, service, summaries: &summaries, capacity_shares: &capacity_shares, current: &now };
        let target = plan::target(&plan::Config::default(), &inputs);
        for region in &regions {
            let naive = naive_region(&settings, &region.name, lost_region.as_ref());
            let there: f64 = target[&region.name]
                .iter()
                .filter(|(az, _)| settings.region_of(az).unwrap().name == naive)
                .map(|(_, weight)| weight)
                .sum();
            prop_assert!((there - 1.0).abs() < 1e-9, "{there} of {} to {naive}", region.name);
        }
    }
}

fn naive_region(
    settings: &settings::Settings,
    home: &id::RegionId,
    lost_region: Option<&id::RegionId>,
) -> id::RegionId {
    if lost_region != Some(home) {
        return home.clone();
    }
    let mut links: Vec<_> = settings.links().filter(|l| l.from == *home).collect();
    links.sort_by(|a, b| {
        (a.one_way_ms, &a.to)
            .partial_cmp(&(b.one_way_ms, &b.to))
            .unwrap()
    });
    links[0].to.clone()
}

fn granter(number: usize) -> grants::Granter {
    let issuer = grants::Issuer {
        service: "s".into(),
        az: "a".into(),
        vm: format!("a{number}").as_str().into(),
        incarnation: id::Incarnation(number as u64),
    };
    grants::Granter::new(grants::Config::default(), policy::Moment::ZERO, issuer)
}

fn cooperative() -> settings::Settings {
    settings::Settings::read(path::Path::new("examples/cooperative")).unwrap()
}

/// Checks that weights sum to 1 and that regions serving other regions' callers keep their limit.
fn check_plan(
    settings: &settings::Settings,
    inputs: &plan::Inputs<'_>,
    plan: &plan::WeightsByRegion,
) -> Result<(), TestCaseError> {
    let lost_after = plan::Config::default().lost_after;
    let known = || inputs.summaries.iter().filter(|s| s.age < lost_after);
    for weights in plan.values() {
        let sum: f64 = weights.values().sum();
        prop_assert!((sum - 1.0).abs() < 1e-6, "{sum}");
    }
    for region in settings.regions() {
        let limit: f64 = known()
            .filter(|s| region.azs.contains(&s.az))
            .map(|s| f64::from(s.slots) * region.max_load * inputs.capacity_shares[&s.az].min(1.0))
            .sum();
        let (mut own, mut foreign) = (0.0, 0.0);
        for (from, weights) in plan {
            let demand: f64 = known().filter_map(|s| s.demand.get(from)).sum();
            let here = weights.iter().filter(|(az, _)| region.azs.contains(az));
            let load = demand * here.map(|(_, weight)| weight).sum::<f64>();
            *(if *from == region.name {
                &mut own
            } else {
                &mut foreign
            }) += load;
        }
        let within = foreign < 1e-6 || own + foreign <= limit + 1e-6;
        prop_assert!(
            within,
            "{}: {own} own, {foreign} foreign, limit {limit}",
            region.name
        );
    }
    Ok(())
}
