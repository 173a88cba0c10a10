//! Which entry VMs a look-up names, worked out ahead for each region.
//!
//! A fleet is far too large to be sorted, or named whole, at each look-up. The order of
//! availability zones is the same for all callers of a region and is kept; what is left at a
//! look-up is a pick inside each zone.

use std::collections;
use std::hash;
use std::hash::Hasher;
use std::net;

use super::fleet;
use crate::coordination::store;
use crate::protocol::lookup;
use crate::{id, settings};

/// The most entry VMs that one look-up names. All of today's fleets; enough to survive the loss
/// of a few, and an answer stays below 1 kB.
pub const MOST: usize = 12;

/// The most of them in one availability zone, so that a zone can be lost.
pub const MOST_OF_AZ: usize = 3;

/// The entry VMs of an availability zone, with a fixed number each.
#[derive(Clone, Debug)]
struct Zone {
    number: u64,
    vms: Vec<(u64, lookup::EntryVm)>,
}

/// Zones that are equally near.
type Tier = Vec<Zone>;

/// The entry VMs in the order of their nearness to each region.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    near: collections::HashMap<id::RegionId, Vec<Tier>>,
    /// For callers whose region is not known: nearest to the entry VM that was asked.
    rest: Vec<Tier>,
}

/// The order in which zones are named: by each field in turn, the smallest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    distance: Distance,
    other_az: bool,
}

/// How far a region is from a caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    /// The caller's own region.
    Near,
    /// Over a link with this one-way delay, in microseconds.
    Link(u64),
    /// No link to it is declared.
    Unknown,
}

impl Directory {
    /// Works out what look-ups at an entry VM in `az` name. A leaving VM is not named, and neither
    /// is one that a drain covers at this time.
    pub fn new(
        fleet: &fleet::Fleet,
        settings: &settings::Settings,
        az: &id::AzId,
        now_s: u64,
    ) -> Self {
        let mut zones: collections::BTreeMap<&id::AzId, Zone> = collections::BTreeMap::new();
        let named = fleet
            .entries()
            .filter(|vm| vm.state == store::VmState::Live && !fleet::drained(vm, settings, now_s));
        for vm in named {
            let zone = zones.entry(&vm.az).or_insert_with(|| Zone {
                number: number(vm.az.as_str()),
                vms: Vec::new(),
            });
            let entry = lookup::EntryVm {
                vm: vm.id.clone(),
                az: vm.az.clone(),
                addr: vm.addr,
            };
            zone.vms.push((number(vm.id.as_str()), entry));
        }
        let own = settings.region_of(az).map(|region| &region.name);
        let near = settings.regions().map(|region| {
            let tiers = tiers(&zones, settings, az, Some(&region.name));
            (region.name.clone(), tiers)
        });
        Self {
            near: near.collect(),
            rest: tiers(&zones, settings, az, own),
        }
    }

    /// The entry VMs that a caller should use, nearest region first. In the caller's region the
    /// availability zone that was asked comes first: the caller has just reached it, also where a
    /// partition hides the others.
    ///
    /// Within a place the order follows the caller's address. In one order for all, every caller
    /// would use the first VM and none the second; in an order by chance, a caller's connections
    /// and tickets would spread over all of them. A VM that comes or goes moves only the callers
    /// that it gets or had.
    pub fn name(&self, caller: net::IpAddr, region: Option<&id::RegionId>) -> Vec<lookup::EntryVm> {
        let tiers = region.and_then(|region| self.near.get(region));
        let mut hasher = hash::DefaultHasher::new();
        hash::Hash::hash(&caller, &mut hasher);
        let caller = hasher.finish();
        let mut found = Vec::with_capacity(MOST);
        for tier in tiers.unwrap_or(&self.rest) {
            let mut zones: Vec<&Zone> = tier.iter().collect();
            zones.sort_by_key(|zone| weight(caller, zone.number));
            for zone in zones {
                if found.len() >= MOST {
                    return found;
                }
                first_of(zone, caller, &mut found);
            }
        }
        found
    }
}

/// Adds the first few entry VMs of a zone, in the caller's order.
fn first_of(zone: &Zone, caller: u64, found: &mut Vec<lookup::EntryVm>) {
    let most = MOST_OF_AZ.min(MOST - found.len());
    let mut first: Vec<(u64, &lookup::EntryVm)> = Vec::with_capacity(most + 1);
    for (number, vm) in &zone.vms {
        let weight = weight(caller, *number);
        if first.len() == most && first[most - 1].0 <= weight {
            continue;
        }
        let at = first.partition_point(|(other, _)| *other <= weight);
        first.insert(at, (weight, vm));
        first.truncate(most);
    }
    found.extend(first.into_iter().map(|(_, vm)| vm.clone()));
}

fn tiers(
    zones: &collections::BTreeMap<&id::AzId, Zone>,
    settings: &settings::Settings,
    asked: &id::AzId,
    caller: Option<&id::RegionId>,
) -> Vec<Tier> {
    let mut tiers: collections::BTreeMap<Rank, Tier> = collections::BTreeMap::new();
    for (az, zone) in zones {
        let region = settings.region_of(az).map(|region| &region.name);
        let rank = Rank {
            distance: distance(settings, caller, region),
            other_az: *az != asked,
        };
        tiers.entry(rank).or_default().push(zone.clone());
    }
    tiers.into_values().collect()
}

fn distance(
    settings: &settings::Settings,
    from: Option<&id::RegionId>,
    to: Option<&id::RegionId>,
) -> Distance {
    let (Some(from), Some(to)) = (from, to) else {
        return Distance::Unknown;
    };
    if from == to {
        return Distance::Near;
    }
    let link = settings
        .links()
        .find(|link| link.from == *from && link.to == *to);
    link.map_or(Distance::Unknown, |link| {
        Distance::Link((link.one_way_ms * 1000.0) as u64)
    })
}

/// A fixed number for a name.
fn number(name: &str) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    hash::Hash::hash(name, &mut hasher);
    hasher.finish()
}

/// A number that is fixed for a caller and a place, and spread evenly over both (the finalizer of
/// splitmix64).
fn weight(caller: u64, place: u64) -> u64 {
    let mut mixed = caller ^ place;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[cfg(test)]
mod tests {
    use std::net;
    use std::path;

    use super::*;

    fn cooperative() -> settings::Settings {
        settings::Settings::read(path::Path::new("examples/cooperative")).unwrap()
    }

    fn fleet(settings: &settings::Settings) -> fleet::Fleet {
        let azs = settings.regions().flat_map(|region| &region.azs);
        let vms = azs.flat_map(|az| (0..2).map(move |i| (az, i)));
        fleet::Fleet::new(vms.map(|(az, i)| entry_vm(az, i)).collect())
    }

    fn entry_vm(az: &id::AzId, i: u32) -> store::Vm {
        let addr = net::SocketAddr::from(([127, 0, 0, 1], 1));
        store::Vm {
            id: format!("entry-{az}-{i}").as_str().into(),
            az: az.clone(),
            addr,
            role: store::VmRole::Entry { peers: addr },
            state: store::VmState::Live,
        }
    }

    fn named(caller: [u8; 4], region: &str, az: &str) -> Vec<lookup::EntryVm> {
        let settings = cooperative();
        let directory = Directory::new(&fleet(&settings), &settings, &az.into(), 0);
        directory.name(caller.into(), Some(&region.into()))
    }

    #[test]
    fn the_callers_region_comes_first_and_in_it_the_zone_that_was_asked() {
        let found = named([10, 0, 0, 1], "khovd", "khovd-b");
        assert_eq!(found.len(), 12);
        assert!(found[..2].iter().all(|vm| vm.az.as_str() == "khovd-b"));
        assert!(found[2..4].iter().all(|vm| vm.az.as_str() == "khovd-a"));
        let found = named([10, 0, 0, 1], "khovd", "ub-a");
        assert!(
            found[..4]
                .iter()
                .all(|vm| vm.az.as_str().starts_with("khovd"))
        );
    }

    /// A thousand entry VMs stand in the fleet. Named all, an answer would be 60 kB, a few million
    /// times a second; named from one zone only, a caller could go nowhere when that zone is lost.
    #[test]
    fn a_large_fleet_is_named_in_part_and_over_several_zones() {
        let settings = cooperative();
        let mut vms = Vec::new();
        for az in settings.regions().flat_map(|region| &region.azs) {
            vms.extend((0..170).map(|i| entry_vm(az, i)));
        }
        let directory = Directory::new(&fleet::Fleet::new(vms), &settings, &"ub-a".into(), 0);
        let found = directory.name([10, 0, 0, 1].into(), Some(&"ulaanbaatar".into()));
        assert_eq!(found.len(), MOST);
        let azs: collections::BTreeSet<_> = found.iter().map(|vm| &vm.az).collect();
        assert_eq!(azs.len(), MOST / MOST_OF_AZ);
    }

    /// Two entry VMs stand in each availability zone. If every caller were told the same one
    /// first, that one would carry all of them, and its callers would wait while the other idles.
    #[test]
    fn callers_spread_over_the_entry_vms_of_a_zone() {
        let mut first = collections::BTreeMap::new();
        for i in 0..=255 {
            let found = named([10, 0, 0, i], "dornod", "dornod-a");
            *first.entry(found[0].vm.clone()).or_insert(0) += 1;
            assert_eq!(found, named([10, 0, 0, i], "dornod", "dornod-a"));
        }
        assert_eq!(first.len(), 2);
        assert!(first.values().all(|count| *count > 90), "{first:?}");
    }
}
