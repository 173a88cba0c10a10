//! The entry VMs that a look-up returns, precomputed for every change of the settings or the fleet.
//!
//! A look-up returns a bounded number of VMs: a few per availability zone, nearest region first,
//! so that callers can still reach another region when a whole region is lost. The cost of a
//! look-up grows with the number of returned VMs and not with the size of the fleet.

use std::collections;
use std::hash;
use std::hash::Hasher;
use std::net;

use super::fleet;
use crate::coordination::store;
use crate::protocol::lookup;
use crate::{id, settings};

/// VMs returned per availability zone. With two, a caller has another VM when one is down.
const MAX_VMS_PER_AZ: usize = 2;

/// VMs returned in total: enough for every availability zone of the nearest two regions, at the
/// current and the expected size of regions.
const MAX_VMS: usize = 16;

/// A caller's look-up of entry VMs.
#[derive(Clone, Copy, Debug)]
pub struct LookupQuery<'a> {
    /// The caller's address.
    pub caller: net::IpAddr,
    /// The region nearest to the caller, if known.
    pub region: Option<&'a id::RegionId>,
    /// The availability zone of the entry VM that received the look-up.
    pub az: &'a id::AzId,
    /// Availability zones that precede all others, in this order.
    pub preferred_azs: &'a [id::AzId],
}

/// The entry VMs of each availability zone, and the zones by distance from each region.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    azs: collections::BTreeMap<id::AzId, Vec<lookup::EntryVm>>,
    orders: collections::BTreeMap<id::RegionId, Vec<ZoneDistance>>,
    unknown_region: Vec<ZoneDistance>,
}

/// An availability zone and its distance.
#[derive(Clone, Debug)]
struct ZoneDistance {
    distance: Distance,
    az: id::AzId,
}

/// The distance of a region from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    /// The caller's own region.
    Near,
    /// Reached over a link with this one-way delay, in microseconds.
    Link(u64),
    /// The settings declare no link to the region.
    Unknown,
}

impl Directory {
    /// Builds the directory of a fleet. It omits VMs that are shutting down and VMs that a drain
    /// covers at `now_s`, in seconds since 1970.
    pub fn build(settings: &settings::Settings, fleet: &fleet::Fleet, now_s: u64) -> Self {
        let mut azs: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for vm in fleet.entries() {
            if vm.state != store::VmState::Live || fleet::drained(vm, settings, now_s) {
                continue;
            }
            azs.entry(vm.az.clone()).or_default().push(lookup::EntryVm {
                vm: vm.id.clone(),
                az: vm.az.clone(),
                addr: vm.addr,
            });
        }
        let order = |from: Option<&id::RegionId>| {
            let row = |az: &id::AzId| ZoneDistance {
                distance: distance(settings, from, az),
                az: az.clone(),
            };
            let mut rows: Vec<_> = azs.keys().map(row).collect();
            rows.sort_by_key(|row| row.distance);
            rows
        };
        let regions = settings.regions();
        let orders = regions.map(|region| (region.name.clone(), order(Some(&region.name))));
        Self {
            orders: orders.collect(),
            unknown_region: order(None),
            azs,
        }
    }

    /// The entry VMs that a caller should use, in order: the preferred zones, then the others by
    /// distance. In the caller's region the zone that received the look-up comes first, because
    /// the caller has just reached it, even if a partition cuts off the other zones.
    ///
    /// Zones and VMs of equal rank are ordered by a hash of the caller's address. With one fixed
    /// order all callers would use the first VM and leave the second idle. With a random order,
    /// each caller's connections and tickets would spread over all VMs.
    pub fn select(&self, query: &LookupQuery<'_>) -> Vec<lookup::EntryVm> {
        let mut selected = Vec::with_capacity(MAX_VMS);
        for az in query.preferred_azs {
            self.add_az(az, query.caller, &mut selected);
        }
        let order = query.region.and_then(|region| self.orders.get(region));
        let mut rest = order.unwrap_or(&self.unknown_region).as_slice();
        while let Some(row) = rest.first() {
            if selected.len() >= MAX_VMS {
                break;
            }
            let tied = rest.partition_point(|other| other.distance == row.distance);
            let (nearest, farther) = rest.split_at(tied);
            self.add_equidistant(nearest, query, &mut selected);
            rest = farther;
        }
        selected.truncate(MAX_VMS);
        selected
    }

    fn add_equidistant(
        &self,
        rows: &[ZoneDistance],
        query: &LookupQuery<'_>,
        selected: &mut Vec<lookup::EntryVm>,
    ) {
        let mut azs: Vec<_> = rows
            .iter()
            .filter(|row| !query.preferred_azs.contains(&row.az))
            .map(|row| {
                let is_other = row.az != *query.az || row.distance != Distance::Near;
                (
                    (is_other, caller_hash(query.caller, row.az.as_str())),
                    &row.az,
                )
            })
            .collect();
        azs.sort_unstable_by_key(|(rank, _)| *rank);
        for (_, az) in azs {
            if selected.len() >= MAX_VMS {
                return;
            }
            self.add_az(az, query.caller, selected);
        }
    }

    fn add_az(&self, az: &id::AzId, caller: net::IpAddr, selected: &mut Vec<lookup::EntryVm>) {
        let Some(vms) = self.azs.get(az) else {
            return;
        };
        // Rotating the list by the caller's hash takes constant time for any size of the zone.
        let start = caller_hash(caller, az.as_str()) % vms.len() as u64;
        let start = usize::try_from(start).unwrap_or(0);
        let rotated = vms[start..].iter().chain(&vms[..start]);
        selected.extend(rotated.take(MAX_VMS_PER_AZ).cloned());
    }
}

fn distance(settings: &settings::Settings, from: Option<&id::RegionId>, to: &id::AzId) -> Distance {
    let to = settings.region_of(to).map(|region| &region.name);
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

/// A hash of a caller and a name, evenly distributed over both.
fn caller_hash(caller: net::IpAddr, name: &str) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    hash::Hash::hash(&(caller, name), &mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use std::path;

    use super::*;

    fn cooperative() -> settings::Settings {
        settings::Settings::read(path::Path::new("examples/cooperative")).unwrap()
    }

    fn directory(settings: &settings::Settings, per_az: usize) -> Directory {
        let azs = settings.regions().flat_map(|region| &region.azs);
        let vms = azs.flat_map(|az| (0..per_az).map(move |i| (az, i)));
        let vms = vms.map(|(az, i)| {
            let addr = net::SocketAddr::from(([127, 0, 0, 1], 1));
            store::Vm {
                id: format!("entry-{az}-{i}").as_str().into(),
                az: az.clone(),
                addr,
                role: store::VmRole::Entry { peers: addr },
                state: store::VmState::Live,
            }
        });
        Directory::build(settings, &fleet::Fleet::new(vms.collect()), 0)
    }

    fn lookup_vms(per_az: usize, caller: [u8; 4], region: &str, az: &str) -> Vec<lookup::EntryVm> {
        directory(&cooperative(), per_az).select(&LookupQuery {
            caller: caller.into(),
            region: Some(&region.into()),
            az: &az.into(),
            preferred_azs: &[],
        })
    }

    #[test]
    fn the_callers_region_and_the_receiving_zone_come_first() {
        let found = lookup_vms(2, [10, 0, 0, 1], "khovd", "khovd-b");
        assert_eq!(found.len(), 12);
        assert!(found[..2].iter().all(|vm| vm.az.as_str() == "khovd-b"));
        assert!(found[2..4].iter().all(|vm| vm.az.as_str() == "khovd-a"));
        let found = lookup_vms(2, [10, 0, 0, 1], "khovd", "ub-a");
        let in_khovd = |vm: &lookup::EntryVm| vm.az.as_str().starts_with("khovd");
        assert!(found[..4].iter().all(in_khovd));
    }

    #[test]
    fn preferred_zones_are_returned_once() {
        let directory = directory(&cooperative(), 2);
        let first = ["dornod-a".into()];
        let found = directory.select(&LookupQuery {
            caller: [10, 0, 0, 1].into(),
            region: Some(&"khovd".into()),
            az: &"khovd-a".into(),
            preferred_azs: &first,
        });
        assert_eq!(found.len(), 12);
        assert!(found[..2].iter().all(|vm| vm.az == first[0]));
        assert!(found[2..4].iter().all(|vm| vm.az.as_str() == "khovd-a"));
    }

    /// When a whole region is lost, callers whose list held only that region could reach no VM.
    #[test]
    fn a_large_region_leaves_room_for_another() {
        let found = lookup_vms(100, [10, 0, 0, 1], "khovd", "khovd-b");
        let elsewhere = found
            .iter()
            .filter(|vm| !vm.az.as_str().starts_with("khovd"));
        assert!(elsewhere.count() >= 4);
        assert!(found.len() <= MAX_VMS);
    }

    /// If every caller got the same VM of a zone first, that VM would carry the load of all callers
    /// while the zone's other VM would be idle.
    #[test]
    fn callers_spread_over_the_entry_vms_of_a_zone() {
        let mut first = collections::BTreeMap::new();
        for i in 0..=255 {
            let found = lookup_vms(2, [10, 0, 0, i], "dornod", "dornod-a");
            *first.entry(found[0].vm.clone()).or_insert(0) += 1;
            assert_eq!(found, lookup_vms(2, [10, 0, 0, i], "dornod", "dornod-a"));
        }
        assert_eq!(first.len(), 2);
        assert!(first.values().all(|count| *count > 90), "{first:?}");
    }
}
