//! Steering on one entry VM: where look-ups send callers, what goes across, what is let in.
//!
//! The decisions are those of [`crate::decisions`]; this module feeds them with settings, loads and
//! messages. Its locks are leaves, taken one at a time and after a desk's lock, never before it.

use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crossbeam::channel;
use hyper::HeaderMap;
use parking_lot::Mutex;

use super::{Core, MakePolicy, desk};
use crate::coordination::{grants as exchange, loads, peers, plan_writer, store};
use crate::decisions::{caps, cross_az, drain, grants, links, plan, policy};
use crate::protocol::{headers, peer};
use crate::state::fleet;
use crate::transport::server;
use crate::{id, settings};
use policy::Policy;

/// How often wishes and loads are looked at.
pub(super) const EVERY: time::Duration = time::Duration::from_millis(100);

/// What steering knows on this entry VM.
pub(super) struct Steer {
    lenders: sync::Arc<exchange::GrantIssuers>,
    asker: Mutex<exchange::GrantRequester>,
    loads: Mutex<loads::LoadTable>,
    demand: Mutex<loads::Demand>,
    applied: Mutex<plan::AppliedPlan>,
    links: cross_az::SharedLinks,
    told: Mutex<policy::Moment>,
    held: Mutex<Held>,
    answers: Mutex<collections::BTreeMap<id::ServiceId, f64>>,
}

/// Requests under a live grant that wait for room, and since when each does.
#[derive(Default)]
struct Held {
    reqs: Vec<server::Request>,
    since: collections::HashMap<u64, policy::Moment>,
}

/// What remains of the longest answer with each that comes. A link is rather counted too full.
const ANSWER_FADE: f64 = 0.99;

/// Requests that may wait for room at a time.
const MAX_HELD: usize = 256;

impl Steer {
    pub(super) fn new(vm: &id::VmId, az: &id::AzId, incarnation: id::Incarnation) -> Self {
        Self {
            lenders: sync::Arc::default(),
            asker: Mutex::default(),
            loads: Mutex::new(loads::LoadTable::new(vm.clone(), az.clone(), incarnation)),
            demand: Mutex::default(),
            applied: Mutex::default(),
            links: cross_az::SharedLinks::default(),
            told: Mutex::default(),
            held: Mutex::default(),
            answers: Mutex::default(),
        }
    }

    /// Lets a request in that another entry VM sent under the grant that it names.
    pub(super) fn admit(
        &self,
        now: policy::Moment,
        service: &id::ServiceId,
        headers: &HeaderMap,
    ) -> Result<exchange::Admitted, grants::Refused> {
        let named = headers::text(headers, headers::GRANT).and_then(exchange::parse_grant);
        let (from, grant) = named.ok_or(grants::Refused::NoGrant)?;
        self.lenders.admit(now, service, &from, grant)
    }

    /// An answer of a service came.
    pub(super) fn answered(&self, service: &id::ServiceId, bytes: usize) {
        let mut answers = self.answers.lock();
        let longest = answers.entry(service.clone()).or_insert(0.0);
        *longest = (*longest * ANSWER_FADE).max(bytes as f64);
    }

    /// The bytes that an answer of a service is expected to have: links count them before it comes.
    pub(super) fn answer_bytes(&self, service: &id::ServiceId) -> u64 {
        self.answers
            .lock()
            .get(service)
            .map_or(0, |bytes| *bytes as u64)
    }

    /// How long a request has waited for room so far.
    pub(super) fn waited(&self, now: policy::Moment, req: u64) -> time::Duration {
        let since = self.held.lock().since.get(&req).copied();
        since.map_or(time::Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether a request that has waited so long may wait on.
    pub(super) fn may_wait(&self, waited: time::Duration) -> bool {
        waited < cross_az::MAX_SLOT_WAIT && self.held.lock().reqs.len() < MAX_HELD
    }

    /// Keeps a request until time passes.
    pub(super) fn hold(&self, now: policy::Moment, req: server::Request) {
        let mut held = self.held.lock();
        held.since.entry(req.id).or_insert(now);
        held.reqs.push(req);
    }

    /// A request waits no longer.
    pub(super) fn forget(&self, req: u64) {
        self.held.lock().since.remove(&req);
    }

    /// The requests that wait, to be looked at again.
    pub(super) fn release(&self) -> Vec<server::Request> {
        std::mem::take(&mut self.held.lock().reqs)
    }

    /// A caller brought work.
    pub(super) fn count(
        &self,
        service: &id::ServiceId,
        region: Option<&id::RegionId>,
        work: time::Duration,
    ) {
        self.demand.lock().record(service, region, work);
    }

    /// The availability zones for one caller, its own first. None before a plan is known: then the
    /// nearest are as good as any.
    pub(super) fn order(
        &self,
        now: policy::Moment,
        settings: &settings::Settings,
        service: &settings::Service,
        region: &id::RegionId,
        caller: u64,
    ) -> Vec<id::AzId> {
        let most = caps::Config::of(service).version_share();
        let mut applied = self.applied.lock();
        if applied.newest().version == 0 {
            return Vec::new();
        }
        let weights = applied.advance(now, settings, service, most).get(region);
        weights.map_or_else(Vec::new, |weights| plan::rank_azs(weights, caller))
    }
}

/// A number for a caller's address, the same on every node and in every version.
pub(super) fn caller_number(addr: net::IpAddr) -> u64 {
    let hash = |bytes: &[u8]| {
        bytes.iter().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        })
    };
    match addr {
        net::IpAddr::V4(v4) => hash(&v4.octets()),
        net::IpAddr::V6(v6) => hash(&v6.octets()),
    }
}

/// Starts what steering does beside requests: it reads messages, tells loads, asks for grants and
/// contends for writing the plan. The threads end with the process's core.
pub(super) fn start<M: MakePolicy, S: store::Store>(
    core: &sync::Arc<Core<M>>,
    peers: Option<sync::Arc<peers::Peers>>,
    inbox: channel::Receiver<peers::Received>,
    platform: S,
) {
    let (weak, links) = (sync::Arc::downgrade(core), peers.clone());
    thread::spawn(move || run(&weak, links.as_deref(), &inbox));
    let weak = sync::Arc::downgrade(core);
    thread::spawn(move || write_plan(&weak, platform, peers.as_deref()));
}

fn run<M: MakePolicy>(
    core: &sync::Weak<Core<M>>,
    peers: Option<&peers::Peers>,
    inbox: &channel::Receiver<peers::Received>,
) {
    let ticks = channel::tick(EVERY);
    loop {
        channel::select! {
            recv(inbox) -> received => {
                let (Ok((from, message)), Some(peers)) = (received, peers) else {
                    // The links are gone; time alone still passes.
                    thread::sleep(EVERY);
                    continue;
                };
                let Some(core) = core.upgrade() else { return };
                handle(&core, peers, &from, &message);
            }
            recv(ticks) -> _ => {
                let Some(core) = core.upgrade() else { return };
                tick(&core, peers);
            }
        }
    }
}

/// Takes in a message. False: it is none of ours.
pub(super) fn handle<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    peers: &peers::Peers,
    from: &id::VmId,
    message: &peer::Message,
) -> bool {
    let (now, steer) = (core.now(), &core.steer);
    match message {
        peer::Message::Work(work) => {
            let mut loads = steer.loads.lock();
            loads.receive_work(now, from.clone(), work.clone());
        }
        peer::Message::Loads(loads) => {
            if steer.loads.lock().receive_loads(now, loads) {
                peers.send_to_az(&core.cfg.az, message);
            }
        }
        peer::Message::AskGrant(wish) => {
            if let Some(granted) = steer.lenders.answer_request(now, from, wish) {
                peers.send(from, &peer::Message::Granted(granted));
            }
        }
        peer::Message::Granted(granted) => {
            let desk = core.desks.load().get(&granted.grant.service).cloned();
            if let Some(desk) = desk {
                desk.with_cross_az(|cross_az| {
                    cross_az.set_grant(granted.asked, granted.grant.clone());
                });
            }
        }
        peer::Message::Plan(plan) => offer(core, peers, plan, from),
        peer::Message::Bans(bans) => take_bans(core, now, from, bans),
        _ => return false,
    }
    true
}

/// A request that crashed backend servers here would crash as many more behind each other entry
/// VM that it is sent through, so every VM that is linked is told.
fn tell_bans<P: Policy>(
    desk: &desk::Desk<P>,
    now: policy::Moment,
    peers: &peers::Peers,
    service: &id::ServiceId,
) {
    let entries = desk.with_policy(|policy| policy.bans(now));
    for entries in entries.chunks(peer::MAX_BANS) {
        let bans = peer::Bans {
            service: service.clone(),
            entries: entries.to_vec(),
        };
        peers.send_to_all(None, &peer::Message::Bans(bans));
    }
}

fn take_bans<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    from: &id::VmId,
    bans: &peer::Bans,
) {
    let desk = core.desks.load().get(&bans.service).cloned();
    let Some(desk) = desk else { return };
    for entry in bans.entries.iter().take(peer::MAX_BANS) {
        desk.with_policy(|policy| policy.ban(now, *entry));
        core.observer.told_of_ban(now, &bans.service, from, entry);
    }
}

/// Takes a version of the plan in and passes it on if it is new.
fn offer<M: MakePolicy>(core: &Core<M>, peers: &peers::Peers, plan: &plan::Plan, from: &id::VmId) {
    let news = core
        .steer
        .applied
        .lock()
        .offer(sync::Arc::new(plan.clone()));
    if news && *from == core.cfg.vm {
        peers.send_to_all(None, &peer::Message::Plan(plan.clone()));
    } else if news {
        peers.send_to_az(&core.cfg.az, &peer::Message::Plan(plan.clone()));
    }
}

/// Looks at wishes and loads. Called every [`EVERY`]; `peers` is absent where there are no links.
pub(super) fn tick<M: MakePolicy>(core: &sync::Arc<Core<M>>, peers: Option<&peers::Peers>) {
    let now = core.now();
    let settings = core.shared.settings.load_full();
    let fleet = core.shared.fleet.load_full();
    let drained = drain::remaining_share_by_az(&settings, desk::wall_clock_s() as f64);
    set_links(core, now, &settings, &fleet);
    let tells = {
        let mut told = core.steer.told.lock();
        let due = now >= *told + loads::REPORT_INTERVAL;
        if due {
            *told = now;
            core.steer.demand.lock().end_window(now);
        }
        due
    };
    let mut rows = Vec::new();
    for service in settings.services() {
        let Some(desk) = core.desks.load().get(&service.name).cloned() else {
            continue;
        };
        if let Some(peers) = peers {
            tell_bans(&desk, now, peers, &service.name);
        }
        let routes = routes(core, &settings, service, &drained);
        let cfg = cross_az::Config {
            caps: caps::Config::of(service),
            max_load: max_load(core, &settings),
        };
        let told = desk.with_cross_az(|cross_az| {
            cross_az.set_config(cfg);
            cross_az.set_routes(routes);
            cross_az.set_links(core.steer.links.clone());
            (cross_az.local_load(), cross_az.grant_requests(now))
        });
        let Some((own, wishes)) = told else { continue };
        let row = row(core, &desk, service, own);
        set_load(core, now, &settings, &fleet, service, own, &row);
        rows.push(row);
        if let Some(peers) = peers {
            ask(core, now, peers, &service.name, &wishes);
        }
    }
    if tells {
        tell(core, now, peers, rows);
    }
}

fn max_load<M: MakePolicy>(core: &Core<M>, settings: &settings::Settings) -> f64 {
    let region = settings.region_of(&core.cfg.az);
    region.map_or(cross_az::Config::default().max_load, |region| {
        region.max_load
    })
}

/// Entry VMs of some availability zones by the platform's list, leaving ones too: they still send.
fn entries_in(fleet: &fleet::Fleet, azs: &[id::AzId]) -> u32 {
    fleet.entries().filter(|vm| azs.contains(&vm.az)).count() as u32
}

fn set_links<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    settings: &settings::Settings,
    fleet: &fleet::Fleet,
) {
    let Some(own) = settings.region_of(&core.cfg.az) else {
        return;
    };
    let mut shared = core.steer.links.lock();
    let mut declared = Vec::new();
    for region in settings.regions().filter(|r| r.name != own.name) {
        let between = |a: &id::RegionId, b: &id::RegionId| {
            let mut links = settings.links();
            let link = links.find(|link| link.from == *a && link.to == *b);
            link.map(|link| link.bytes_per_s)
        };
        let there = between(&own.name, &region.name);
        let (Some(there), Some(back)) = (there, between(&region.name, &own.name)) else {
            continue;
        };
        let members = entries_in(fleet, &own.azs) + entries_in(fleet, &region.azs);
        shared.set(now, &region.name, there.min(back), members.max(1));
        declared.push(region.name.clone());
    }
    links::Links::retain(&mut shared, |region| declared.contains(region));
}

/// The other availability zones that may take a service's callers, without those that a drain
/// empties.
fn routes<M: MakePolicy>(
    core: &Core<M>,
    settings: &settings::Settings,
    service: &settings::Service,
    drained: &collections::BTreeMap<id::AzId, f64>,
) -> Vec<cross_az::Route> {
    let Some(own) = settings.region_of(&core.cfg.az) else {
        return Vec::new();
    };
    let open = |az: &&id::AzId| **az != core.cfg.az && !drained.contains_key(*az);
    let others = service.azs.iter().filter(open);
    others
        .filter_map(|az| {
            let region = settings.region_of(az)?;
            let near = region.name == own.name;
            let mut links = settings.links();
            let link = links.find(|l| l.from == own.name && l.to == region.name);
            let ms = if near { NEAR_MS } else { link?.one_way_ms };
            Some(cross_az::Route {
                az: az.clone(),
                region: (!near).then(|| region.name.clone()),
                one_way: time::Duration::from_secs_f64(ms / 1e3),
            })
        })
        .collect()
}

/// One-way delay that is assumed between availability zones of one region: the settings have none.
const NEAR_MS: f64 = 2.0;

fn row<M: MakePolicy>(
    core: &Core<M>,
    desk: &desk::Desk<M::Policy>,
    service: &settings::Service,
    own: cross_az::LocalLoad,
) -> peer::WorkRow {
    peer::WorkRow {
        service: service.name.clone(),
        slots: own.slots,
        in_hand: desk.pending(),
        in_use: own.in_use,
        demand: core.steer.demand.lock().by_region(&service.name),
    }
}

fn set_load<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    settings: &settings::Settings,
    fleet: &fleet::Fleet,
    service: &settings::Service,
    own: cross_az::LocalLoad,
    row: &peer::WorkRow,
) {
    let listed = entries_in(fleet, std::slice::from_ref(&core.cfg.az));
    let (heard, in_hand) = {
        let loads = core.steer.loads.lock();
        (loads.members(), loads.az_in_flight(&service.name))
    };
    let lender = grants::Issuer {
        service: service.name.clone(),
        az: core.cfg.az.clone(),
        vm: core.cfg.vm.clone(),
        incarnation: core.incarnation,
    };
    let lent = core.steer.lenders.in_flight(&service.name);
    let load = grants::Load {
        slots: own.slots,
        max_load: max_load(core, settings),
        // A list that was never read tells nothing of the others.
        members: if listed == 0 { 0 } else { listed.max(heard) },
        local_requests: row.in_hand.saturating_sub(lent),
        az_in_flight: in_hand.max(own.in_flight + own.queued),
        service_time: core.steer.demand.lock().mean_service_time(&service.name),
    };
    core.steer.lenders.set_load(now, &lender, load);
}

fn ask<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    peers: &peers::Peers,
    service: &id::ServiceId,
    wishes: &[cross_az::GrantRequest],
) {
    let linked: Vec<_> = peers.linked().into_iter().map(|l| (l.vm, l.az)).collect();
    let mut asker = core.steer.asker.lock();
    let messages = asker.due_requests(now, service, wishes, &linked, &core.cfg.vm);
    drop(asker);
    for (to, message) in messages {
        peers.send(&to, &message);
    }
}

fn tell<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    peers: Option<&peers::Peers>,
    rows: Vec<peer::WorkRow>,
) {
    let work = peer::Work { rows };
    let told = {
        let mut table = core.steer.loads.lock();
        table.set_own_work(now, work.clone());
        table.next_report()
    };
    let Some(peers) = peers else { return };
    peers.send_to_az(&core.cfg.az, &peer::Message::Work(work));
    if let Some(loads) = told {
        peers.send_to_all(None, &peer::Message::Loads(loads));
    }
}

/// Contends for writing the plan, or writes it, until the process ends.
pub(super) fn write_plan<M: MakePolicy, S: store::Store>(
    core: &sync::Weak<Core<M>>,
    platform: S,
    peers: Option<&peers::Peers>,
) {
    let Some(me) = core.upgrade().map(|core| core.cfg.vm.clone()) else {
        return;
    };
    let mut writer = plan_writer::Writer::new(plan_writer::Config::default(), me, platform);
    while let Some(core) = core.upgrade() {
        look(&core, &mut writer, peers);
        drop(core);
        thread::sleep(WRITER_EVERY);
    }
    writer.stop();
}

const WRITER_EVERY: time::Duration = time::Duration::from_millis(500);

fn look<M: MakePolicy, S: store::Store>(
    core: &Core<M>,
    writer: &mut plan_writer::Writer<S>,
    peers: Option<&peers::Peers>,
) {
    let now = core.now();
    let (tells, summaries) = {
        let table = core.steer.loads.lock();
        (table.is_reporter(), table.summaries(now))
    };
    let known = core.steer.applied.lock().newest().clone();
    let settings = core.shared.settings.load_full();
    // One of each availability zone contends, so that the store's calls do not grow with VMs.
    if !tells || settings.services().next().is_none() {
        return;
    }
    let inputs = plan_writer::Inputs {
        settings: &settings,
        summaries: &summaries,
        now_s: desk::wall_clock_s() as f64,
        known: &known,
    };
    match writer.tick(now, &inputs) {
        Ok(Some(plan)) => match peers {
            Some(peers) => offer(core, peers, &plan, &core.cfg.vm),
            None => {
                core.steer.applied.lock().offer(plan);
            }
        },
        Ok(None) => {}
        Err(err) => slog::warn!(core.log, "the plan stands as it is"; "error" => err.to_string()),
    }
}
