//! Property test of the longest-prefix table against a linear scan of every block.

use std::net;

use bulrushwind::state::lookup;
use proptest::prelude::*;
use proptest::test_runner;

const CASES: u32 = 400;

fn scan(blocks: &[lookup::Block], addr: net::IpAddr) -> Option<u16> {
    let mut best: Option<&lookup::Block> = None;
    for block in blocks {
        let longer = best.is_none_or(|b| b.net.prefix_len() <= block.net.prefix_len());
        if block.net.contains(&addr) && longer {
            best = Some(block);
        }
    }
    best.map(|block| block.target)
}

/// Blocks with few distinct high bits, so that they nest, adjoin and repeat.
fn block() -> impl Strategy<Value = lookup::Block> {
    let v4 = (any::<u32>(), 0u8..=32, 0u16..20).prop_map(|(bits, len, target)| {
        let addr = net::Ipv4Addr::from(bits & 0xc300_c003);
        let net = ipnet::Ipv4Net::new(addr, len).unwrap().trunc();
        lookup::Block {
            net: net.into(),
            target,
        }
    });
    let v6 = (any::<u16>(), 0u8..=128, 0u16..20).prop_map(|(bits, len, target)| {
        let addr = net::Ipv6Addr::from((u128::from(bits & 0xc003) << 112) | u128::from(bits & 3));
        let net = ipnet::Ipv6Net::new(addr, len).unwrap().trunc();
        lookup::Block {
            net: net.into(),
            target,
        }
    });
    prop_oneof![3 => v4, 1 => v6]
}

/// The addresses at and next to both ends of each block, where boundary errors show.
fn probes(blocks: &[lookup::Block]) -> Vec<net::IpAddr> {
    let mut probes = Vec::new();
    for block in blocks {
        match block.net {
            ipnet::IpNet::V4(net) => {
                for end in [u32::from(net.network()), u32::from(net.broadcast())] {
                    for addr in [end, end.wrapping_add(1), end.wrapping_sub(1)] {
                        probes.push(net::Ipv4Addr::from(addr).into());
                    }
                }
            }
            ipnet::IpNet::V6(net) => {
                for end in [u128::from(net.network()), u128::from(net.broadcast())] {
                    for addr in [end, end.wrapping_add(1), end.wrapping_sub(1)] {
                        let addr = net::Ipv6Addr::from(addr);
                        // A mapped IPv4 address is looked up as IPv4.
                        if addr.to_ipv4_mapped().is_none() {
                            probes.push(addr.into());
                        }
                    }
                }
            }
        }
    }
    probes
}

/// A wrong result for an address at a block's boundary sends callers to a distant region; the only
/// symptom is higher latency for these callers.
#[test]
fn agrees_with_a_scan_of_every_block() {
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    runner
        .run(&prop::collection::vec(block(), 0..60), |blocks| {
            let table = lookup::Table::build(&blocks);
            for addr in probes(&blocks) {
                prop_assert_eq!(table.find(addr), scan(&blocks, addr), "{}", addr);
            }
            Ok(())
        })
        .unwrap();
}
