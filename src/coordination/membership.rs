//! Maintains the set of VMs from the platform's list, which lags, and the links to peers.
//!
//! The list reports the death or the stop of an entry VM late. A link shows both at once, but only
//! for linked VMs, and a broken link may be this VM's own fault. So [`View::vms`] returns the list
//! and marks an entry VM as leaving if it announced its stop or if its link has been down for
//! [`LINK_LOST_TIMEOUT`]. Otherwise look-ups would name a dead entry VM until the list caught up,
//! and callers would wait for their timeouts. If most links are down, the fault is more likely
//! local, and the list stays as it is.
//!
//! A restarted VM has a larger incarnation, which voids announcements of earlier ones. A VM that
//! was paused or partitioned reconnects its links. An empty list is ignored as a fault of the
//! platform.
//!
//! Links cost memory and messages, so a process keeps few of them regardless of the fleet's size.
//! In its own availability zone it links to all entry VMs, or in a large zone to [`AZ_FANOUT`]
//! chosen by hash plus the next one by name, which connects the zone as a ring. It also keeps a few
//! links to each other zone; in a zone with more than [`LINKS_PER_REMOTE_AZ`] VMs only some do so.

use std::collections;
use std::hash::{Hash, Hasher};
use std::time;

use super::{peers, store};
use crate::decisions::policy;
use crate::id;

/// The greatest number of entry VMs of an availability zone that all link to each other.
pub const MAX_FULL_MESH_VMS: usize = 12;

/// Links that each entry VM opens in a larger availability zone. Links carry messages both ways.
pub const AZ_FANOUT: usize = 6;

/// How many entry VMs of an availability zone link to another zone, and how many links each opens.
pub const LINKS_PER_REMOTE_AZ: usize = 2;

/// How long a link may be down before its VM counts as lost. A process restarts in less time, and a
/// broken link is dialled again several times.
pub const LINK_LOST_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The VMs that this process knows.
#[derive(Debug)]
pub struct View {
    vm: id::VmId,
    az: id::AzId,
    rows: Vec<store::Vm>,
    hash: u64,
    peers: collections::BTreeMap<id::VmId, Peer>,
    leaving: collections::BTreeMap<id::VmId, id::Incarnation>,
    lost: collections::BTreeSet<id::VmId>,
}

#[derive(Debug)]
struct Peer {
    incarnation: id::Incarnation,
    az: id::AzId,
    down_since: Option<policy::Moment>,
}

impl View {
    /// The view of an entry VM that knows no other VM yet.
    pub fn new(vm: id::VmId, az: id::AzId) -> Self {
        Self {
            vm,
            az,
            rows: Vec::new(),
            hash: 0,
            peers: collections::BTreeMap::new(),
            leaving: collections::BTreeMap::new(),
            lost: collections::BTreeSet::new(),
        }
    }

    /// Replaces the platform's list. False: the list is unchanged or empty.
    pub fn set_list(&mut self, mut rows: Vec<store::Vm>) -> bool {
        rows.sort_by(|a, b| a.id.cmp(&b.id));
        let hash = hash_of(&rows);
        if rows.is_empty() || hash == self.hash {
            return false;
        }
        let listed: collections::BTreeSet<_> = rows.iter().map(|vm| &vm.id).collect();
        self.peers
            .retain(|vm, peer| peer.down_since.is_none() || listed.contains(vm));
        self.leaving.retain(|vm, _| listed.contains(vm));
        self.rows = rows;
        self.hash = hash;
        true
    }

    /// Updates the open links. True: the set of lost VMs changed.
    pub fn set_links(&mut self, now: policy::Moment, links: &[peers::Linked]) -> bool {
        for (vm, peer) in &mut self.peers {
            let open = links.iter().any(|link| link.vm == *vm);
            peer.down_since = (!open).then(|| peer.down_since.unwrap_or(now));
        }
        for link in links {
            let peer = Peer {
                incarnation: link.incarnation,
                az: link.az.clone(),
                down_since: None,
            };
            self.peers.insert(link.vm.clone(), peer);
            if self
                .leaving
                .get(&link.vm)
                .is_some_and(|i| *i < link.incarnation)
            {
                self.leaving.remove(&link.vm);
            }
        }
        let lost = self.lost_vms(now);
        let changed = lost != self.lost;
        self.lost = lost;
        changed
    }

    /// Records a VM's announced stop. False: recorded before, or the VM has restarted since.
    pub fn mark_leaving(&mut self, vm: &id::VmId, incarnation: id::Incarnation) -> bool {
        let restarted = self
            .peers
            .get(vm)
            .is_some_and(|p| p.incarnation > incarnation);
        !restarted && self.leaving.insert(vm.clone(), incarnation) != Some(incarnation)
    }

    /// A hash of the platform's list, to compare with other processes. 0: no list yet.
    pub fn list_hash(&self) -> u64 {
        self.hash
    }

    /// The platform's list, unchanged.
    pub fn list(&self) -> &[store::Vm] {
        &self.rows
    }

    /// The list, with entry VMs marked as leaving if they are lost or announced their stop.
    pub fn vms(&self) -> Vec<store::Vm> {
        let mut rows = self.rows.clone();
        for row in &mut rows {
            let leaves = self.lost.contains(&row.id) || self.leaving.contains_key(&row.id);
            if is_entry(row) && leaves {
                row.state = store::VmState::Leaving;
            }
        }
        rows
    }

    /// The entry VMs that this VM should link to.
    pub fn targets(&self) -> Vec<peers::Target> {
        let mut wanted = collections::BTreeSet::new();
        let azs = self.entries_by_az();
        let empty = Vec::new();
        let local_vms = azs.get(&self.az).unwrap_or(&empty);
        wanted.extend(self.targets_in_az(local_vms));
        for (az, vms) in &azs {
            if *az != self.az && self.links_to_az(az, local_vms) {
                wanted.extend(select_by_hash(self.vm.as_str(), vms, LINKS_PER_REMOTE_AZ));
            }
        }
        wanted.remove(&self.vm);
        self.rows
            .iter()
            .filter(|row| wanted.contains(&row.id))
            .filter_map(target)
            .collect()
    }

    /// Whether messages are forwarded inside the availability zone: not all VMs are linked.
    pub fn needs_relay(&self) -> bool {
        self.local_entries().count() > MAX_FULL_MESH_VMS
    }

    /// The number of entry VMs on the list, including this one.
    pub fn entry_count(&self) -> usize {
        self.rows.iter().filter(|row| is_entry(row)).count()
    }

    /// Whether the list has other entry VMs in this availability zone but none is linked.
    pub fn is_isolated(&self) -> bool {
        let others = self.local_entries().filter(|row| row.id != self.vm).count();
        let linked = self
            .peers
            .values()
            .any(|p| p.down_since.is_none() && p.az == self.az);
        others > 0 && !linked
    }

    fn local_entries(&self) -> impl Iterator<Item = &store::Vm> {
        self.rows
            .iter()
            .filter(|row| is_entry(row) && row.az == self.az)
    }

    fn entries_by_az(&self) -> collections::BTreeMap<id::AzId, Vec<id::VmId>> {
        let mut azs = collections::BTreeMap::<_, Vec<_>>::new();
        for row in self.rows.iter().filter(|row| is_entry(row)) {
            azs.entry(row.az.clone()).or_default().push(row.id.clone());
        }
        azs
    }

    fn targets_in_az(&self, local_vms: &[id::VmId]) -> Vec<id::VmId> {
        if local_vms.len() <= MAX_FULL_MESH_VMS {
            return local_vms.to_vec();
        }
        let mut wanted = select_by_hash(self.vm.as_str(), local_vms, AZ_FANOUT);
        let next = local_vms.iter().find(|vm| **vm > self.vm);
        wanted.extend(next.or(local_vms.first()).cloned());
        wanted
    }

    /// Whether this VM is one of those that link its availability zone to another.
    fn links_to_az(&self, az: &id::AzId, local_vms: &[id::VmId]) -> bool {
        local_vms.len() <= LINKS_PER_REMOTE_AZ
            || select_by_hash(az.as_str(), local_vms, LINKS_PER_REMOTE_AZ).contains(&self.vm)
    }

    /// Entry VMs whose links have been down for [`LINK_LOST_TIMEOUT`]; none if most links are down.
    fn lost_vms(&self, now: policy::Moment) -> collections::BTreeSet<id::VmId> {
        let lost: collections::BTreeSet<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                peer.down_since
                    .is_some_and(|at| now >= at + LINK_LOST_TIMEOUT)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        if 2 * lost.len() > self.peers.len() {
            return collections::BTreeSet::new();
        }
        lost
    }
}

fn is_entry(vm: &store::Vm) -> bool {
    matches!(vm.role, store::VmRole::Entry { .. })
}

fn target(vm: &store::Vm) -> Option<peers::Target> {
    match vm.role {
        // Port 0: the VM does not listen for peers.
        store::VmRole::Entry { peers } if peers.port() != 0 => Some(peers::Target {
            vm: Some(vm.id.clone()),
            addr: peers,
        }),
        _ => None,
    }
}

/// Selects `count` VMs by rendezvous hashing with `salt`: each salt selects other VMs, and a
/// selection changes little when VMs join or leave.
fn select_by_hash(salt: &str, vms: &[id::VmId], count: usize) -> Vec<id::VmId> {
    let mut ranked: Vec<_> = vms.iter().filter(|vm| vm.as_str() != salt).collect();
    ranked.sort_by_key(|vm| hash_of(&(salt, vm.as_str())));
    ranked.truncate(count);
    ranked.into_iter().cloned().collect()
}

/// Equal in all processes of one version, because this hasher has fixed keys.
fn hash_of<T: Hash>(value: &T) -> u64 {
    let mut hasher = collections::hash_map::DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(az: usize, n: usize) -> store::Vm {
        let addr = "127.0.0.1:1".parse().unwrap();
        store::Vm {
            id: name(az, n),
            az: format!("az-{az}").as_str().into(),
            addr,
            role: store::VmRole::Entry { peers: addr },
            state: store::VmState::Live,
        }
    }

    fn name(az: usize, n: usize) -> id::VmId {
        format!("entry-{az}-{n}").as_str().into()
    }

    fn fleet(azs: usize, per_az: usize) -> Vec<store::Vm> {
        (0..azs)
            .flat_map(|az| (0..per_az).map(move |n| entry(az, n)))
            .collect()
    }

    fn view(rows: Vec<store::Vm>) -> View {
        let mut view = View::new(name(0, 0), "az-0".into());
        view.set_list(rows);
        view
    }

    fn link(n: usize, incarnation: u64) -> peers::Linked {
        peers::Linked {
            vm: name(0, n),
            az: "az-0".into(),
            incarnation: id::Incarnation(incarnation),
        }
    }

    fn state(view: &View, vm: &id::VmId) -> store::VmState {
        let rows = view.vms();
        rows.iter().find(|row| row.id == *vm).unwrap().state
    }

    /// The fleet grows to thousands of VMs. If each linked to all others, heartbeats and memory
    /// would grow with the fleet and exceed the cost of the callers' requests.
    #[test]
    fn links_stay_few_and_connect_a_growing_fleet() {
        assert_eq!(view(fleet(6, 2)).targets().len(), 11, "12 VMs: all");
        for (azs, per_az) in [(10, 20), (14, 40)] {
            let rows = fleet(azs, per_az);
            let mut degree = collections::BTreeMap::<id::VmId, usize>::new();
            let mut graph = collections::BTreeMap::<id::VmId, Vec<id::VmId>>::new();
            for row in &rows {
                let mut view = View::new(row.id.clone(), row.az.clone());
                view.set_list(rows.clone());
                for target in view.targets() {
                    let vm = target.vm.unwrap();
                    *degree.entry(vm.clone()).or_default() += 1;
                    *degree.entry(row.id.clone()).or_default() += 1;
                    graph.entry(vm.clone()).or_default().push(row.id.clone());
                    graph.entry(row.id.clone()).or_default().push(vm);
                }
            }
            assert!(*degree.values().max().unwrap() <= 30, "{degree:?}");
            let mut seen = collections::BTreeSet::from([name(0, 0)]);
            let mut todo = vec![name(0, 0)];
            while let Some(vm) = todo.pop() {
                for next in &graph[&vm] {
                    if seen.insert(next.clone()) {
                        todo.push(next.clone());
                    }
                }
            }
            assert_eq!(seen.len(), rows.len(), "all are connected");
        }
    }

    /// An entry VM ends while the platform's list still has it as live. Look-ups that still name it
    /// make callers wait for a timeout.
    #[test]
    fn a_dead_entry_vm_is_marked_before_the_list_shows_it() {
        let mut view = view(fleet(1, 4));
        let at = policy::Moment::from_secs;
        view.set_links(at(1), &[link(1, 1), link(2, 1), link(3, 1)]);
        assert!(!view.set_links(at(2), &[link(2, 1), link(3, 1)]));
        assert_eq!(state(&view, &name(0, 1)), store::VmState::Live);
        assert!(view.set_links(at(6), &[link(2, 1), link(3, 1)]));
        assert_eq!(state(&view, &name(0, 1)), store::VmState::Leaving);
        view.set_links(at(7), &[link(1, 2), link(2, 1), link(3, 1)]);
        assert_eq!(state(&view, &name(0, 1)), store::VmState::Live);
    }

    /// This VM loses all its links. If it counted the peers as dead, its look-ups would name only
    /// itself, and every caller of its region would connect to it.
    #[test]
    fn a_vm_without_links_keeps_the_list() {
        let mut view = view(fleet(1, 4));
        let at = policy::Moment::from_secs;
        view.set_links(at(1), &[link(1, 1), link(2, 1), link(3, 1)]);
        view.set_links(at(2), &[]);
        assert_eq!(state(&view, &name(0, 1)), store::VmState::Live);
    }

    /// An entry VM stops as planned and restarts under the same address. Peers that apply the old
    /// announcement to the new process would never use it again.
    #[test]
    fn a_restart_voids_an_announced_stop() {
        let mut view = view(fleet(1, 4));
        let at = policy::Moment::from_secs;
        view.set_links(at(1), &[link(1, 1), link(2, 1)]);
        assert!(view.mark_leaving(&name(0, 1), id::Incarnation(1)));
        assert_eq!(state(&view, &name(0, 1)), store::VmState::Leaving);
        view.set_links(at(2), &[link(1, 2), link(2, 1)]);
        assert_eq!(state(&view, &name(0, 1)), store::VmState::Live);
        assert!(
            !view.mark_leaving(&name(0, 1), id::Incarnation(1)),
            "late announcement"
        );
    }

    /// The platform returns an empty list. If it were applied, no caller would be served.
    #[test]
    fn an_empty_list_is_ignored() {
        let mut view = view(fleet(1, 4));
        assert!(!view.set_list(Vec::new()));
        assert_eq!(view.list().len(), 4);
    }
}
