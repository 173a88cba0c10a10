//! The platform's list of VMs as the request path reads it.

use std::collections;
use std::hash;
use std::hash::Hasher;
use std::net;

use crate::coordination::store;
use crate::protocol::lookup;
use crate::{id, settings};

/// The VMs that are there, by what they do. Replaced whole when the list changes.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    vms: collections::BTreeMap<id::VmId, store::Vm>,
}

impl Fleet {
    /// The fleet of a list.
    pub fn new(vms: Vec<store::Vm>) -> Self {
        let vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
        Self { vms }
    }

    /// One VM.
    pub fn vm(&self, vm: &id::VmId) -> Option<&store::Vm> {
        self.vms.get(vm)
    }

    /// The backend servers of a service in one availability zone.
    pub fn backends<'a>(
        &'a self,
        service: &'a id::ServiceId,
        az: &'a id::AzId,
    ) -> impl Iterator<Item = &'a store::Vm> {
        self.vms.values().filter(move |vm| {
            vm.az == *az
                && matches!(&vm.role, store::VmRole::Backend { service: of } if of == service)
        })
    }

    /// The entry VMs.
    pub fn entries(&self) -> impl Iterator<Item = &store::Vm> {
        self.vms
            .values()
            .filter(|vm| matches!(vm.role, store::VmRole::Entry { .. }))
    }

    /// The addresses that requests may go to.
    pub fn addrs(&self) -> collections::HashSet<net::SocketAddr> {
        self.vms.values().map(|vm| vm.addr).collect()
    }

    /// The entry VMs that a caller should use, nearest region first. In the caller's region the
    /// availability zone that was asked comes first: the caller has just reached it, also where a
    /// partition hides the others. A leaving VM is not named, and neither is one that a drain
    /// covers.
    ///
    /// Within a place the order follows the caller's address. In one order for all, every caller
    /// would use the first VM and none the second; in an order by chance, a caller's connections
    /// and tickets would spread over all of them.
    pub fn look_up(
        &self,
        asks: &Asks<'_>,
        settings: &settings::Settings,
        now_s: u64,
    ) -> Vec<lookup::EntryVm> {
        let mut found: Vec<_> = self
            .entries()
            .filter(|vm| vm.state == store::VmState::Live && !drained(vm, settings, now_s))
            .map(|vm| {
                let region = settings.region_of(&vm.az).map(|region| &region.name);
                let rank = Rank {
                    distance: distance(settings, asks.region, region),
                    other_az: vm.az != *asks.az,
                    az: weight(asks.caller, vm.az.as_str()),
                    vm: weight(asks.caller, vm.id.as_str()),
                };
                (rank, vm)
            })
            .collect();
        found.sort_by_key(|(rank, _)| *rank);
        let entry = |vm: &store::Vm| lookup::EntryVm {
            vm: vm.id.clone(),
            az: vm.az.clone(),
            addr: vm.addr,
        };
        found.into_iter().map(|(_, vm)| entry(vm)).collect()
    }
}

/// Who asks for entry VMs, and where.
#[derive(Clone, Copy, Debug)]
pub struct Asks<'a> {
    /// The caller's address.
    pub caller: net::IpAddr,
    /// The region that the caller is nearest to, where that is known.
    pub region: Option<&'a id::RegionId>,
    /// The availability zone of the entry VM that was asked.
    pub az: &'a id::AzId,
}

/// The order in which entry VMs are named: by each field in turn, the smallest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    distance: Distance,
    other_az: bool,
    az: u64,
    vm: u64,
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

/// A number that is fixed for a caller and a name, and spread evenly over both.
fn weight(caller: net::IpAddr, name: &str) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    hash::Hash::hash(&(caller, name), &mut hasher);
    hasher.finish()
}

/// Whether a drain in the settings covers a VM itself at this time.
pub fn drained(vm: &store::Vm, settings: &settings::Settings, now_s: u64) -> bool {
    settings.drains().any(|drain| {
        let begun = drain.start_s <= now_s;
        let over = drain.end_s.is_some_and(|end| end <= now_s);
        let covers = matches!(&drain.target, settings::DrainTarget::Vm(of) if *of == vm.id);
        covers && begun && !over
    })
}

#[cfg(test)]
mod tests {
    use std::path;

    use super::*;

    fn cooperative() -> settings::Settings {
        settings::Settings::read(path::Path::new("examples/cooperative")).unwrap()
    }

    fn fleet(settings: &settings::Settings) -> Fleet {
        let azs = settings.regions().flat_map(|region| &region.azs);
        let vms = azs.flat_map(|az| (0..2).map(move |i| (az, i)));
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
        Fleet::new(vms.collect())
    }

    fn named(caller: [u8; 4], region: &str, az: &str) -> Vec<lookup::EntryVm> {
        let settings = cooperative();
        let asks = Asks {
            caller: caller.into(),
            region: Some(&region.into()),
            az: &az.into(),
        };
        fleet(&settings).look_up(&asks, &settings, 0)
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
