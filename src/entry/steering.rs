//! Global steering on one entry VM: availability zones for look-ups, grants, loads and the plan.
//!
//! [`crate::decisions`] decides; this module supplies settings, loads and messages, and sends the
//! results. Its locks are taken one at a time, after an executor's lock and never before it.

use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crossbeam::channel;
use hyper::HeaderMap;
use parking_lot::Mutex;

use super::{Core, MakePolicy, executor};
use crate::coordination::{grants as exchange, loads, peers, plan_writer, store};
use crate::decisions::{caps, cross_az, drain, grants, links, plan, policy};
use crate::protocol::{headers, peer};
use crate::state::fleet;
use crate::transport::server;
use crate::{id, settings};
use policy::Policy;

/// Interval at which grant requests, loads and waiting requests are processed.
pub(super) const STEERING_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Steering state of this entry VM.
pub(super) struct Steering {
    grant_issuers: sync::Arc<exchange::GrantIssuers>,
    grant_requester: Mutex<exchange::GrantRequester>,
    loads: Mutex<loads::LoadTable>,
    demand: Mutex<loads::Demand>,
    applied_plan: Mutex<plan::AppliedPlan>,
    links: cross_az::SharedLinks,
    last_report_at: Mutex<policy::Moment>,
    waiting: Mutex<WaitingRequests>,
    max_answer_bytes: Mutex<collections::BTreeMap<id::ServiceId, f64>>,
}

/// Requests under a valid grant that wait for a free slot, and the time when each started to wait.
#[derive(Default)]
struct WaitingRequests {
    reqs: Vec<server::Request>,
    since: collections::HashMap<u64, policy::Moment>,
}

/// Factor by which the maximum answer size decays with each answer. The slow decay overestimates a
/// link's usage rather than underestimating it.
const ANSWER_SIZE_DECAY: f64 = 0.99;

/// Maximum number of requests that wait for a free slot.
const MAX_WAITING_REQUESTS: usize = 256;

impl Steering {
    pub(super) fn new(vm: &id::VmId, az: &id::AzId, incarnation: id::Incarnation) -> Self {
        Self {
            grant_issuers: sync::Arc::default(),
            grant_requester: Mutex::default(),
            loads: Mutex::new(loads::LoadTable::new(vm.clone(), az.clone(), incarnation)),
            demand: Mutex::default(),
            applied_plan: Mutex::default(),
            links: cross_az::SharedLinks::default(),
            last_report_at: Mutex::default(),
            waiting: Mutex::default(),
            max_answer_bytes: Mutex::default(),
        }
    }

    /// Admits a request from another entry VM under the grant in its headers.
    pub(super) fn admit(
        &self,
        now: policy::Moment,
        service: &id::ServiceId,
        headers: &HeaderMap,
    ) -> Result<exchange::Admitted, grants::Refused> {
        let named = headers::text(headers, headers::GRANT).and_then(exchange::parse_grant);
        let (from, grant) = named.ok_or(grants::Refused::NoGrant)?;
        self.grant_issuers.admit(now, service, &from, grant)
    }

    /// Records the size of an answer of a service.
    pub(super) fn record_answer_size(&self, service: &id::ServiceId, bytes: usize) {
        let mut max_answer_bytes = self.max_answer_bytes.lock();
        let max_bytes = max_answer_bytes.entry(service.clone()).or_insert(0.0);
        *max_bytes = (*max_bytes * ANSWER_SIZE_DECAY).max(bytes as f64);
    }

    /// Expected answer size in bytes; link usage includes it before the answer arrives.
    pub(super) fn expected_answer_bytes(&self, service: &id::ServiceId) -> u64 {
        self.max_answer_bytes
            .lock()
            .get(service)
            .map_or(0, |bytes| *bytes as u64)
    }

    /// How long a request has waited for a free slot.
    pub(super) fn time_waited(&self, now: policy::Moment, req: u64) -> time::Duration {
        let since = self.waiting.lock().since.get(&req).copied();
        since.map_or(time::Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether a request that has waited for `waited` may wait longer.
    pub(super) fn may_wait(&self, waited: time::Duration) -> bool {
        waited < cross_az::MAX_SLOT_WAIT && self.waiting.lock().reqs.len() < MAX_WAITING_REQUESTS
    }

    /// Queues a request until the next tick.
    pub(super) fn enqueue_waiting(&self, now: policy::Moment, req: server::Request) {
        let mut waiting = self.waiting.lock();
        waiting.since.entry(req.id).or_insert(now);
        waiting.reqs.push(req);
    }

    /// Removes a request's waiting time.
    pub(super) fn remove_waiting_time(&self, req: u64) {
        self.waiting.lock().since.remove(&req);
    }

    /// Takes all waiting requests for another admission check.
    pub(super) fn take_waiting(&self) -> Vec<server::Request> {
        std::mem::take(&mut self.waiting.lock().reqs)
    }

    /// Records the demand of a caller's request.
    pub(super) fn record_demand(
        &self,
        service: &id::ServiceId,
        region: Option<&id::RegionId>,
        work: time::Duration,
    ) {
        self.demand.lock().record(service, region, work);
    }

    /// A caller's availability zones in the plan's order, the assigned one first. Empty without a
    /// known plan; look-ups then return the nearest entry VMs.
    pub(super) fn az_order(
        &self,
        now: policy::Moment,
        settings: &settings::Settings,
        service: &settings::Service,
        region: &id::RegionId,
        caller_hash: u64,
    ) -> Vec<id::AzId> {
        let max_share = caps::Config::of(service).version_share();
        let mut applied_plan = self.applied_plan.lock();
        if applied_plan.newest().version == 0 {
            return Vec::new();
        }
        let weights = applied_plan
            .advance(now, settings, service, max_share)
            .get(region);
        weights.map_or_else(Vec::new, |weights| plan::rank_azs(weights, caller_hash))
    }
}

/// FNV-1a hash of a caller's address, identical on every VM and in every version.
pub(super) fn caller_hash(addr: net::IpAddr) -> u64 {
    let fnv1a = |bytes: &[u8]| {
        bytes.iter().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        })
    };
    match addr {
        net::IpAddr::V4(v4) => fnv1a(&v4.octets()),
        net::IpAddr::V6(v6) => fnv1a(&v6.octets()),
    }
}

/// Starts the steering threads, which handle peers' messages, report loads, request grants and
/// compete for the plan writer's role. They end when the process's core is dropped.
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
    let ticks = channel::tick(STEERING_INTERVAL);
    loop {
        channel::select! {
            recv(inbox) -> received => {
                let (Ok((from, message)), Some(peers)) = (received, peers) else {
                    // Without links, only the ticks remain; the sleep avoids a busy loop.
                    thread::sleep(STEERING_INTERVAL);
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

/// Handles a peer's message. Returns false for a message that steering does not handle.
pub(super) fn handle<M: MakePolicy>(
    core: &sync::Arc<Core<M>>,
    peers: &peers::Peers,
    from: &id::VmId,
    message: &peer::Message,
) -> bool {
    let (now, steering) = (core.now(), &core.steering);
    match message {
        peer::Message::Work(work) => {
            let mut loads = steering.loads.lock();
            loads.receive_work(now, from.clone(), work.clone());
        }
        peer::Message::Loads(loads) => {
            if steering.loads.lock().receive_loads(now, loads) {
                peers.send_to_az(&core.cfg.az, message);
            }
        }
        peer::Message::AskGrant(request) => {
            if let Some(granted) = steering.grant_issuers.answer_request(now, from, request) {
                peers.send(from, &peer::Message::Granted(granted));
            }
        }
        peer::Message::Granted(granted) => {
            let executor = core.executors.load().get(&granted.grant.service).cloned();
            if let Some(executor) = executor {
                executor.with_cross_az(|cross_az| {
                    cross_az.set_grant(granted.asked, granted.grant.clone());
                });
            }
        }
        peer::Message::Plan(plan) => accept_plan(core, peers, plan, from),
        peer::Message::Bans(bans) => apply_bans(core, now, from, bans),
        _ => return false,
    }
    true
}

/// Sends a service's quarantined fingerprints to all linked entry VMs. Otherwise a request that has
/// crashed backend servers of this VM could crash as many again through each other entry VM.
fn send_bans<P: Policy>(
    executor: &executor::Executor<P>,
    now: policy::Moment,
    peers: &peers::Peers,
    service: &id::ServiceId,
) {
    let entries = executor.with_policy(|policy| policy.bans(now));
    for entries in entries.chunks(peer::MAX_BANS) {
        let bans = peer::Bans {
            service: service.clone(),
            entries: entries.to_vec(),
        };
        peers.send_to_all(None, &peer::Message::Bans(bans));
    }
}

fn apply_bans<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    from: &id::VmId,
    bans: &peer::Bans,
) {
    let executor = core.executors.load().get(&bans.service).cloned();
    let Some(executor) = executor else { return };
    for entry in bans.entries.iter().take(peer::MAX_BANS) {
        executor.with_policy(|policy| policy.ban(now, *entry));
        core.observer
            .record_received_ban(now, &bans.service, from, entry);
    }
}

/// Applies a version of the plan and, if it is new, sends it to peers.
fn accept_plan<M: MakePolicy>(
    core: &Core<M>,
    peers: &peers::Peers,
    plan: &plan::Plan,
    from: &id::VmId,
) {
    let is_new = core
        .steering
        .applied_plan
        .lock()
        .offer(sync::Arc::new(plan.clone()));
    if is_new && *from == core.cfg.vm {
        peers.send_to_all(None, &peer::Message::Plan(plan.clone()));
    } else if is_new {
        peers.send_to_az(&core.cfg.az, &peer::Message::Plan(plan.clone()));
    }
}

/// Processes grant requests and loads every [`STEERING_INTERVAL`]. `peers`: `None` without links.
pub(super) fn tick<M: MakePolicy>(core: &sync::Arc<Core<M>>, peers: Option<&peers::Peers>) {
    let now = core.now();
    let settings = core.shared.settings.load_full();
    let fleet = core.shared.fleet.load_full();
    let drained = drain::remaining_share_by_az(&settings, executor::wall_clock_s() as f64);
    set_links(core, now, &settings, &fleet);
    let report_due = {
        let mut last_report_at = core.steering.last_report_at.lock();
        let due = now >= *last_report_at + loads::REPORT_INTERVAL;
        if due {
            *last_report_at = now;
            core.steering.demand.lock().end_window(now);
        }
        due
    };
    let mut rows = Vec::new();
    for service in settings.services() {
        let Some(executor) = core.executors.load().get(&service.name).cloned() else {
            continue;
        };
        if let Some(peers) = peers {
            send_bans(&executor, now, peers, &service.name);
        }
        let routes = routes(core, &settings, service, &drained);
        let cfg = cross_az::Config {
            caps: caps::Config::of(service),
            max_load: max_load(core, &settings),
        };
        let status = executor.with_cross_az(|cross_az| {
            cross_az.set_config(cfg);
            cross_az.set_routes(routes);
            cross_az.set_links(core.steering.links.clone());
            (cross_az.local_load(), cross_az.grant_requests(now))
        });
        let Some((load, reqs)) = status else { continue };
        let row = work_row(core, &executor, service, load);
        set_load(core, now, &settings, &fleet, service, load, &row);
        rows.push(row);
        if let Some(peers) = peers {
            send_grant_requests(core, now, peers, &service.name, &reqs);
        }
    }
    if report_due {
        send_reports(core, now, peers, rows);
    }
}

fn max_load<M: MakePolicy>(core: &Core<M>, settings: &settings::Settings) -> f64 {
    let region = settings.region_of(&core.cfg.az);
    region.map_or(cross_az::Config::default().max_load, |region| {
        region.max_load
    })
}

/// Number of entry VMs listed in `azs`. Includes leaving ones, which still send requests.
fn entries_in(fleet: &fleet::Fleet, azs: &[id::AzId]) -> u32 {
    fleet.entries().filter(|vm| azs.contains(&vm.az)).count() as u32
}

fn set_links<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    settings: &settings::Settings,
    fleet: &fleet::Fleet,
) {
    let Some(local_region) = settings.region_of(&core.cfg.az) else {
        return;
    };
    let mut shared = core.steering.links.lock();
    let mut declared = Vec::new();
    for region in settings.regions().filter(|r| r.name != local_region.name) {
        let between = |a: &id::RegionId, b: &id::RegionId| {
            let mut links = settings.links();
            let link = links.find(|link| link.from == *a && link.to == *b);
            link.map(|link| link.bytes_per_s)
        };
        let outbound = between(&local_region.name, &region.name);
        let (Some(outbound), Some(inbound)) = (outbound, between(&region.name, &local_region.name))
        else {
            continue;
        };
        let members = entries_in(fleet, &local_region.azs) + entries_in(fleet, &region.azs);
        shared.set(now, &region.name, outbound.min(inbound), members.max(1));
        declared.push(region.name.clone());
    }
    links::Links::retain(&mut shared, |region| declared.contains(region));
}

/// The other availability zones that may receive a service's requests, without draining ones.
fn routes<M: MakePolicy>(
    core: &Core<M>,
    settings: &settings::Settings,
    service: &settings::Service,
    drained: &collections::BTreeMap<id::AzId, f64>,
) -> Vec<cross_az::Route> {
    let Some(local_region) = settings.region_of(&core.cfg.az) else {
        return Vec::new();
    };
    let is_open = |az: &&id::AzId| **az != core.cfg.az && !drained.contains_key(*az);
    let others = service.azs.iter().filter(is_open);
    others
        .filter_map(|az| {
            let region = settings.region_of(az)?;
            let same_region = region.name == local_region.name;
            let mut links = settings.links();
            let link = links.find(|l| l.from == local_region.name && l.to == region.name);
            let ms = if same_region {
                INTRA_REGION_ONE_WAY_MS
            } else {
                link?.one_way_ms
            };
            Some(cross_az::Route {
                az: az.clone(),
                region: (!same_region).then(|| region.name.clone()),
                one_way: time::Duration::from_secs_f64(ms / 1e3),
            })
        })
        .collect()
}

/// Assumed one-way delay between availability zones of one region, which the settings do not give.
const INTRA_REGION_ONE_WAY_MS: f64 = 2.0;

fn work_row<M: MakePolicy>(
    core: &Core<M>,
    executor: &executor::Executor<M::Policy>,
    service: &settings::Service,
    local_load: cross_az::LocalLoad,
) -> peer::WorkRow {
    peer::WorkRow {
        service: service.name.clone(),
        slots: local_load.slots,
        in_hand: executor.pending(),
        in_use: local_load.in_use,
        demand: core.steering.demand.lock().by_region(&service.name),
    }
}

fn set_load<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    settings: &settings::Settings,
    fleet: &fleet::Fleet,
    service: &settings::Service,
    local_load: cross_az::LocalLoad,
    row: &peer::WorkRow,
) {
    let listed_members = entries_in(fleet, std::slice::from_ref(&core.cfg.az));
    let (reporting_members, az_in_flight) = {
        let loads = core.steering.loads.lock();
        (loads.members(), loads.az_in_flight(&service.name))
    };
    let issuer = grants::Issuer {
        service: service.name.clone(),
        az: core.cfg.az.clone(),
        vm: core.cfg.vm.clone(),
        incarnation: core.incarnation,
    };
    let granted_in_flight = core.steering.grant_issuers.in_flight(&service.name);
    let load = grants::Load {
        slots: local_load.slots,
        max_load: max_load(core, settings),
        // An empty list has not been read yet, so the number of members is unknown.
        members: if listed_members == 0 {
            0
        } else {
            listed_members.max(reporting_members)
        },
        local_requests: row.in_hand.saturating_sub(granted_in_flight),
        az_in_flight: az_in_flight.max(local_load.in_flight + local_load.queued),
        service_time: core.steering.demand.lock().mean_service_time(&service.name),
    };
    core.steering.grant_issuers.set_load(now, &issuer, load);
}

fn send_grant_requests<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    peers: &peers::Peers,
    service: &id::ServiceId,
    grant_requests: &[cross_az::GrantRequest],
) {
    let linked: Vec<_> = peers.linked().into_iter().map(|l| (l.vm, l.az)).collect();
    let mut grant_requester = core.steering.grant_requester.lock();
    let messages =
        grant_requester.due_requests(now, service, grant_requests, &linked, &core.cfg.vm);
    drop(grant_requester);
    for (to, message) in messages {
        peers.send(&to, &message);
    }
}

fn send_reports<M: MakePolicy>(
    core: &Core<M>,
    now: policy::Moment,
    peers: Option<&peers::Peers>,
    rows: Vec<peer::WorkRow>,
) {
    let work = peer::Work { rows };
    let report = {
        let mut table = core.steering.loads.lock();
        table.set_own_work(now, work.clone());
        table.next_report()
    };
    let Some(peers) = peers else { return };
    peers.send_to_az(&core.cfg.az, &peer::Message::Work(work));
    if let Some(loads) = report {
        peers.send_to_all(None, &peer::Message::Loads(loads));
    }
}

/// Competes for the plan writer's role and writes the plan while it has it, until the process ends.
pub(super) fn write_plan<M: MakePolicy, S: store::Store>(
    core: &sync::Weak<Core<M>>,
    platform: S,
    peers: Option<&peers::Peers>,
) {
    let Some(vm) = core.upgrade().map(|core| core.cfg.vm.clone()) else {
        return;
    };
    let mut writer = plan_writer::Writer::new(plan_writer::Config::default(), vm, platform);
    while let Some(core) = core.upgrade() {
        tick_writer(&core, &mut writer, peers);
        drop(core);
        thread::sleep(PLAN_WRITER_INTERVAL);
    }
    writer.stop();
}

const PLAN_WRITER_INTERVAL: time::Duration = time::Duration::from_millis(500);

fn tick_writer<M: MakePolicy, S: store::Store>(
    core: &Core<M>,
    writer: &mut plan_writer::Writer<S>,
    peers: Option<&peers::Peers>,
) {
    let now = core.now();
    let (is_reporter, summaries) = {
        let table = core.steering.loads.lock();
        (table.is_reporter(), table.summaries(now))
    };
    let known_plan = core.steering.applied_plan.lock().newest().clone();
    let settings = core.shared.settings.load_full();
    // Only one VM per availability zone competes, so that store calls do not grow with the fleet.
    if !is_reporter || settings.services().next().is_none() {
        return;
    }
    let inputs = plan_writer::Inputs {
        settings: &settings,
        summaries: &summaries,
        now_s: executor::wall_clock_s() as f64,
        known: &known_plan,
    };
    match writer.tick(now, &inputs) {
        Ok(Some(plan)) => match peers {
            Some(peers) => accept_plan(core, peers, &plan, &core.cfg.vm),
            None => {
                core.steering.applied_plan.lock().offer(plan);
            }
        },
        Ok(None) => {}
        Err(err) => slog::warn!(core.log, "the plan stands as it is"; "error" => err.to_string()),
    }
}
