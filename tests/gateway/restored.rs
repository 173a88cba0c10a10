//! Entry VMs that read or follow a store which returns from older copies of its contents.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use bulrushwind::coordination::unconfirmed;
use bulrushwind::decisions::entry_selection;
use bulrushwind::gateway::{self, cluster_state, mirror as following};
use bulrushwind::logging;
use bulrushwind::protocol::mirror;
use bulrushwind::state::entries;
use bulrushwind::transport::socket;
use bytes::Bytes;
use tokio::task;

use super::harness::{LONG, run_test};
use super::support::proxy;

/// Time within which writers write again.
const HOLD: time::Duration = time::Duration::from_secs(5);

type Values = collections::BTreeMap<String, Bytes>;

#[derive(Clone, Debug, Default)]
struct Contents {
    values: Values,
    changes: Vec<(u64, mirror::Record)>,
    position: mirror::Position,
}

/// A store in memory that can be copied and restored.
#[derive(Clone, Debug, Default)]
struct Store(rc::Rc<cell::RefCell<Contents>>);

impl Store {
    fn write(&self, key: &str, value: Option<&str>) {
        let mut contents = self.0.borrow_mut();
        contents.position.revision += 1;
        let value = value.map(|text| Bytes::from(text.to_owned()));
        match value.clone() {
            Some(value) => contents.values.insert(key.to_owned(), value),
            None => contents.values.remove(key),
        };
        let record = mirror::Record {
            key: key.to_owned(),
            value,
        };
        let revision = contents.position.revision;
        contents.changes.push((revision, record));
    }

    fn copy(&self) -> Contents {
        self.0.borrow().clone()
    }

    fn restore(&self, copy: Contents) {
        let epoch = self.0.borrow().position.epoch + 1;
        let mut contents = self.0.borrow_mut();
        *contents = copy;
        contents.position.epoch = epoch;
    }
}

/// One VM's access to the store, and what is in force on the VM.
#[derive(Clone, Debug, Default)]
struct Access {
    store: Store,
    is_cut: rc::Rc<cell::Cell<bool>>,
    lists: rc::Rc<cell::Cell<usize>>,
    in_force: rc::Rc<cell::RefCell<Values>>,
}

impl Access {
    fn check(&self) -> Result<(), &'static str> {
        match self.is_cut.get() {
            true => Err("cut off"),
            false => Ok(()),
        }
    }
}

impl following::Source for Access {
    type Error = &'static str;

    async fn read(&mut self, _stale: bool) -> Result<following::Changes, Self::Error> {
        self.check()?;
        self.lists.set(self.lists.get() + 1);
        let contents = self.store.0.borrow();
        let records = contents.values.iter().map(|(key, value)| mirror::Record {
            key: key.clone(),
            value: Some(value.clone()),
        });
        Ok((records.collect(), contents.position))
    }

    async fn read_zone(&mut self) -> Result<Vec<mirror::Record>, Self::Error> {
        self.check()?;
        Ok(Vec::new())
    }

    async fn watch(
        &mut self,
        after: mirror::Position,
        wait: time::Duration,
    ) -> Result<following::Changes, following::ReadError<Self::Error>> {
        tokio::time::sleep(wait.min(time::Duration::from_millis(30))).await;
        self.check().map_err(following::ReadError::Failed)?;
        let contents = self.store.0.borrow();
        let now = contents.position;
        if after.epoch != now.epoch || after.revision > now.revision {
            return Err(following::ReadError::Gap);
        }
        let changes = contents.changes.iter();
        let changes = changes.filter(|(revision, _)| *revision > after.revision);
        Ok((changes.map(|(_, record)| record.clone()).collect(), now))
    }

    fn apply(&self, record: &mirror::Record) -> cluster_state::Effect {
        let mut in_force = self.in_force.borrow_mut();
        let before = match record.value.clone() {
            Some(value) => in_force.insert(record.key.clone(), value),
            None => in_force.remove(&record.key),
        };
        cluster_state::Effect::from(before != record.value)
    }

    fn hold(&self, key: &str) -> unconfirmed::Hold {
        unconfirmed::Hold {
            lasts: HOLD,
            leased: key.starts_with("leased"),
        }
    }
}

/// An entry VM with the proxy through which others follow it.
struct Vm {
    access: Access,
    cx: gateway::Gateway,
    mirror: following::Mirror,
    link: proxy::Proxy,
    name: String,
    link_mbps: u32,
}

impl Vm {
    fn new(store: &Store, name: &str, link_mbps: u32) -> Self {
        let cfg = gateway::Config {
            vm: name.into(),
            az: "az".into(),
            regions: [("az".into(), "region".into())].into(),
            capacity: entry_selection::Capacity {
                link_mbps: f64::from(link_mbps),
                ..entry_selection::Capacity::default()
            },
            ..gateway::Config::default()
        };
        let cx = gateway::Gateway::new(cfg, logging::silent());
        let mirror = following::Mirror::new(cx.clone());
        let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let link = proxy::Proxy::start(listener.local_addr().unwrap());
        task::spawn_local(mirror.clone().serve(listener));
        let access = Access {
            store: store.clone(),
            ..Access::default()
        };
        Self {
            access,
            cx,
            mirror,
            link,
            name: name.to_owned(),
            link_mbps,
        }
    }

    fn entry(&self) -> entries::Entry {
        entries::Entry {
            caller_addr: self.link.addr,
            peer_addr: Some(self.link.addr),
            az: "az".into(),
            link_mbps: self.link_mbps,
            requests_per_s: 0,
            busy: false,
            near_limits: Vec::new(),
        }
    }

    fn start(&self) {
        let run = self.mirror.clone().run(self.access.clone(), Vec::new());
        task::spawn_local(run);
    }

    fn has(&self, key: &str, value: &str) -> bool {
        let in_force = self.access.in_force.borrow();
        in_force.get(key).is_some_and(|held| held == value)
    }

    fn lacks(&self, key: &str) -> bool {
        !self.access.in_force.borrow().contains_key(key)
    }
}

/// Starts VMs that know each other. The first reads the store and the others follow it.
async fn start<const N: usize>(store: &Store) -> [Vm; N] {
    let vms: [Vm; N] = std::array::from_fn(|n| {
        let link_mbps = u32::try_from(N - n).unwrap();
        Vm::new(store, &format!("vm-{n}"), link_mbps)
    });
    for vm in &vms {
        for other in &vms {
            vm.cx
                .update_entry(&other.name.as_str().into(), other.entry());
        }
    }
    for vm in &vms {
        vm.start();
        until("it has the records", || vm.has("a", "1")).await;
    }
    vms
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let started = time::Instant::now();
    while !holds() {
        assert!(started.elapsed() < LONG, "never: {what}");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Guards against VMs that differ for good because they learnt of a return in different ways.
#[test]
fn vms_that_read_follow_or_were_cut_off_agree_after_returns_in_a_row() {
    run_test(|| async {
        let store = Store::default();
        store.write("a", Some("1"));
        store.write("taken back", Some("1"));
        let [reader, follower, cut] = &start(&store).await;
        let copy = store.copy();
        store.write("taken back", None);
        store.write("lost", Some("1"));
        store.write("leased lost", Some("1"));
        for vm in [reader, follower, cut] {
            until("the changes arrive", || {
                vm.has("leased lost", "1") && vm.lacks("taken back")
            })
            .await;
        }
        cut.access.is_cut.set(true);
        reader.link.set(proxy::Fault::Resets);
        follower.link.set(proxy::Fault::Resets);
        for n in ["1", "2"] {
            store.restore(copy.clone());
            store.write("a", Some(&format!("2{n}")));
            until("the reader has it", || reader.has("a", &format!("2{n}"))).await;
            until("the follower has it", || {
                follower.has("a", &format!("2{n}"))
            })
            .await;
        }
        for vm in [reader, follower] {
            assert!(vm.has("lost", "1") && vm.has("leased lost", "1"));
            assert!(vm.lacks("taken back"));
        }
        store.write("lost", Some("3"));
        store.write("taken back", None);
        cut.access.is_cut.set(false);
        reader.link.set(proxy::Fault::None);
        follower.link.set(proxy::Fault::None);
        for vm in [reader, follower, cut] {
            until("it has what was written again", || {
                vm.has("lost", "3") && vm.has("a", "22")
            })
            .await;
            until("what was not written again goes", || {
                vm.lacks("leased lost")
            })
            .await;
            assert!(vm.lacks("taken back"));
        }
    });
}

/// Guards against a record that stays for good on a follower whose leader dies while it waits.
#[test]
fn a_follower_that_loses_its_leader_after_a_return_decides_alone() {
    run_test(|| async {
        let store = Store::default();
        store.write("a", Some("1"));
        let [reader, follower, other] = &start(&store).await;
        let copy = store.copy();
        store.write("leased lost", Some("1"));
        store.write("lost", Some("1"));
        until("the follower has it", || follower.has("lost", "1")).await;
        until("the other has it", || other.has("lost", "1")).await;
        store.restore(copy);
        store.write("a", Some("2"));
        until("the follower hears of it", || follower.has("a", "2")).await;
        reader.link.set(proxy::Fault::Resets);
        reader.access.is_cut.set(true);
        assert!(follower.has("lost", "1") && follower.has("leased lost", "1"));
        store.write("lost", Some("2"));
        for vm in [follower, other] {
            until("it has what was written again", || vm.has("lost", "2")).await;
            until("what was not written again goes", || {
                vm.lacks("leased lost")
            })
            .await;
        }
    });
}

/// Guards against a VM that starts while a restored store lacks what its leader still holds, and never gets
/// what is written again unchanged.
#[test]
fn a_vm_that_starts_after_a_return_gets_what_is_written_again() {
    for follows_first in [true, false] {
        run_test(|| async {
            let store = Store::default();
            store.write("a", Some("1"));
            let copy = store.copy();
            let leader = Vm::new(&store, "vm-0", 2);
            leader.start();
            store.write("lost", Some("1"));
            until("it has the record", || leader.has("lost", "1")).await;
            store.restore(copy);
            store.write("other", Some("1"));
            until("it knows of the return", || leader.has("other", "1")).await;
            let late = Vm::new(&store, "vm-1", 1);
            late.start();
            until("the late one reads", || late.has("other", "1")).await;
            assert!(leader.has("lost", "1") && late.lacks("lost"));
            late.access.is_cut.set(true);
            let follow = async || {
                for vm in [&leader, &late] {
                    late.cx.update_entry(&vm.name.as_str().into(), vm.entry());
                }
                store.write("followed", Some("1"));
                until("it follows", || late.has("followed", "1")).await;
            };
            if follows_first {
                follow().await;
            }
            store.write("lost", Some("1"));
            store.write("other", Some("2"));
            until("it is written again", || leader.has("other", "2")).await;
            if !follows_first {
                follow().await;
            }
            until("the late one has it", || late.has("lost", "1")).await;
        });
    }
}

/// Guards against leases that end right after a return although their holders had renewed them.
#[test]
fn the_end_of_a_lease_right_after_a_return_removes_nothing_at_once() {
    run_test(|| async {
        let store = Store::default();
        store.write("a", Some("1"));
        store.write("leased", Some("1"));
        let vms = start::<3>(&store).await;
        store.restore(store.copy());
        store.write("leased", None);
        store.write("a", Some("2"));
        for vm in &vms {
            until("it hears of the return", || vm.has("a", "2")).await;
            assert!(vm.has("leased", "1"), "{}", vm.name);
        }
        store.write("leased", Some("2"));
        for vm in &vms {
            until("it is written again", || vm.has("leased", "2")).await;
        }
        tokio::time::sleep(HOLD).await;
        store.write("a", Some("3"));
        for vm in &vms {
            until("it has a later change", || vm.has("a", "3")).await;
            assert!(vm.has("leased", "2"), "{}", vm.name);
        }
    });
}

/// Guards against a whole list for each VM, and for each call, after a return.
#[test]
fn a_return_costs_the_store_one_list() {
    run_test(|| async {
        let store = Store::default();
        store.write("a", Some("1"));
        let vms = start::<3>(&store).await;
        let lists = || vms.iter().map(|vm| vm.access.lists.get()).sum::<usize>();
        let copy = store.copy();
        (0..40).for_each(|n| store.write("b", Some(&n.to_string())));
        for vm in &vms {
            until("it has the changes", || vm.has("b", "39")).await;
        }
        let before = lists();
        store.restore(copy);
        store.write("a", Some("2"));
        for vm in &vms {
            until("it has the later change", || vm.has("a", "2")).await;
        }
        assert_eq!(lists() - before, 1);
    });
}

/// Guards against a whole list for each VM that has lost its leader when the store returns.
#[test]
fn vms_without_a_leader_follow_the_few_that_read_a_restored_store() {
    const VMS: usize = 48;
    run_test(|| async {
        let store = Store::default();
        store.write("a", Some("1"));
        let vms = start::<VMS>(&store).await;
        let lists = || vms.iter().map(|vm| vm.access.lists.get()).sum::<usize>();
        let before = lists();
        vms.iter().for_each(|vm| vm.access.is_cut.set(true));
        tokio::time::sleep(time::Duration::from_secs(4)).await;
        store.restore(store.copy());
        store.write("a", Some("2"));
        vms.iter().for_each(|vm| vm.access.is_cut.set(false));
        for vm in &vms {
            until("it has the later change", || vm.has("a", "2")).await;
        }
        let read = lists() - before;
        assert!(read <= VMS / 8, "{read} lists for {VMS} VMs");
    });
}
