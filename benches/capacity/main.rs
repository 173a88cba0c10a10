//! Time and memory costs that grow with the fleet, at several sizes, with a fitted slope.
//!
//! `cargo bench --bench capacity` prints one table per part. docs/CAPACITY.md uses the slopes.

mod customers;
mod gateway;

use std::hint;
use std::net;
use std::time;

use bulrushwind::coordination::store;
use bulrushwind::decisions::{cross_az, dispatch, policy};
use bulrushwind::protocol::peer;
use bulrushwind::settings::{envelope, keys};
use bulrushwind::{id, settings, state};
use policy::Policy;
use rand::{RngExt, SeedableRng};
use state::{directory, fleet, lookup};

/// Seed of all generated data, so that every run measures the same work.
const SEED: u64 = 20;

/// Sizes of the largest expected deployment.
const CLIENT_BLOCK_COUNT: usize = 1_300_000;
const SITE_COUNT: u16 = 800;
const VM_COUNT: usize = 4_400;

fn main() {
    customers::admission();
    look_ups();
    vm_list();
    directory();
    settings_change();
    signing();
    peer_messages();
    decisions();
    gateway::placements();
    gateway::entry_selection();
}

/// Least-squares fit of a line to measured points.
#[derive(Default)]
struct Fit {
    points: Vec<(f64, f64)>,
}

impl Fit {
    fn add(&mut self, x: f64, y: f64) {
        self.points.push((x, y));
    }

    fn slope(&self) -> f64 {
        let n = self.points.len() as f64;
        let mean_x = self.points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = self.points.iter().map(|p| p.1).sum::<f64>() / n;
        let dot = |f: fn(f64, f64) -> f64| -> f64 {
            self.points
                .iter()
                .map(|p| f(p.0 - mean_x, p.1 - mean_y))
                .sum()
        };
        dot(|x, y| x * y) / dot(|x, _| x * x)
    }
}

/// Shortest time of several runs, in seconds: the cost of the work with the least interference.
fn best_of<T>(runs: usize, mut work: impl FnMut() -> T) -> f64 {
    let mut best = f64::INFINITY;
    for _ in 0..runs {
        let start = time::Instant::now();
        hint::black_box(work());
        best = best.min(start.elapsed().as_secs_f64());
    }
    best
}

fn generate_blocks(count: usize, rng: &mut rand_chacha::ChaCha8Rng) -> Vec<lookup::Block> {
    let mut blocks = Vec::with_capacity(count);
    while blocks.len() < count {
        // Prefix lengths as in routing tables: mostly /24, some shorter that contain other blocks.
        let len = match rng.random_range(0..10u8) {
            0 => rng.random_range(12..20),
            1..=3 => rng.random_range(20..24),
            _ => 24,
        };
        let addr = net::Ipv4Addr::from(rng.random::<u32>());
        let net = ipnet::Ipv4Net::new(addr, len)
            .expect("a length under 33")
            .trunc();
        let target = rng.random_range(0..SITE_COUNT);
        blocks.push(lookup::Block {
            net: net.into(),
            target,
        });
    }
    blocks
}

fn look_ups() {
    println!("look-up table: client blocks to {SITE_COUNT} sites");
    println!("   blocks    build ms     table MB   bytes/block   ns/look-up   look-ups/s");
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let (mut bytes, mut build) = (Fit::default(), Fit::default());
    for count in [10_000, 40_000, 160_000, 640_000, CLIENT_BLOCK_COUNT] {
        let blocks = generate_blocks(count, &mut rng);
        let build_s = best_of(3, || lookup::Table::build(&blocks));
        let table = lookup::Table::build(&blocks);
        let addrs: Vec<net::IpAddr> = (0..200_000)
            .map(|_| net::Ipv4Addr::from(rng.random::<u32>()).into())
            .collect();
        let find_s = best_of(5, || {
            let found = addrs.iter().filter_map(|addr| table.find(*addr));
            found.map(u64::from).sum::<u64>()
        });
        let ns = find_s / addrs.len() as f64 * 1e9;
        bytes.add(count as f64, table.bytes() as f64);
        build.add(count as f64, build_s);
        println!(
            "{count:9} {:11.1} {:12.2} {:13.1} {ns:12.0} {:12.0}",
            build_s * 1e3,
            table.bytes() as f64 / 1e6,
            table.bytes() as f64 / count as f64,
            1e9 / ns,
        );
    }
    println!(
        "slope: {:.1} bytes a block, {:.0} ns of building a block\n",
        bytes.slope(),
        build.slope() * 1e9
    );
}

fn generate_vm(i: usize) -> store::Vm {
    let az = format!("region-{}-{}", i % 11, i % 4);
    let addr = net::SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 8080));
    store::Vm {
        id: format!("entry-{az}-{i}").as_str().into(),
        az: az.as_str().into(),
        addr,
        role: store::VmRole::Entry { peers: addr },
        state: store::VmState::Live,
    }
}

fn vm_list() {
    println!("the platform's list of VMs, as the wire brings it");
    println!("     VMs    bytes/VM    parse us");
    let (mut bytes, mut cpu) = (Fit::default(), Fit::default());
    for count in [50, 500, 2_000, VM_COUNT] {
        let list: Vec<_> = (0..count).map(generate_vm).collect();
        let text = serde_json::to_vec(&list).expect("VMs can be JSON");
        let parse = || serde_json::from_slice::<Vec<store::Vm>>(&text).expect("it was printed");
        let parse_s = best_of(20, parse);
        bytes.add(count as f64, text.len() as f64);
        cpu.add(count as f64, parse_s);
        println!(
            "{count:8} {:11.0} {:11.0}",
            text.len() as f64 / count as f64,
            parse_s * 1e6
        );
    }
    println!(
        "slope: {:.0} bytes and {:.2} us a VM\n",
        bytes.slope(),
        cpu.slope() * 1e6
    );
}

/// Settings with the regions and availability zones of the largest expected deployment.
fn generate_places() -> settings::Settings {
    let region = |i: usize| settings::Region {
        name: format!("region-{i}").as_str().into(),
        azs: (0..4)
            .map(|z| format!("region-{i}-{z}").as_str().into())
            .collect(),
        max_load: 0.9,
    };
    let link = |from: usize, to: usize| settings::Link {
        from: format!("region-{from}").as_str().into(),
        to: format!("region-{to}").as_str().into(),
        one_way_ms: 20.0 + (from * 7 + to * 3) as f64,
        bytes_per_s: 1_000_000,
    };
    let pairs = (0..11).flat_map(|from| (0..11).map(move |to| (from, to)));
    let team = settings::Team {
        regions: (0..11).map(region).collect(),
        links: pairs
            .filter(|(a, b)| a != b)
            .map(|(a, b)| link(a, b))
            .collect(),
        ..settings::Team::default()
    };
    let mut settings = settings::Settings::default();
    settings.teams.insert(settings::PLACES_TEAM.into(), team);
    settings
}

fn directory() {
    println!("which entry VMs a look-up names");
    println!("     VMs    build us   ns/look-up   look-ups/s");
    let settings = generate_places();
    let (region, az) = ("region-3".into(), "region-3-1".into());
    let mut cpu = Fit::default();
    for count in [50, 500, 2_000, VM_COUNT] {
        let fleet = fleet::Fleet::new((0..count).map(generate_vm).collect());
        let build_s = best_of(10, || directory::Directory::build(&settings, &fleet, 0));
        let directory = directory::Directory::build(&settings, &fleet, 0);
        let look_ups = 20_000_u32;
        let name_s = best_of(5, || {
            let query = |i: u32| directory::LookupQuery {
                caller: net::Ipv4Addr::from(i).into(),
                region: Some(&region),
                az: &az,
                preferred_azs: &[],
            };
            (0..look_ups)
                .map(|i| directory.select(&query(i)).len())
                .sum::<usize>()
        });
        let ns = name_s / f64::from(look_ups) * 1e9;
        cpu.add(count as f64, build_s);
        println!(
            "{count:8} {:11.0} {ns:12.0} {:12.0}",
            build_s * 1e6,
            1e9 / ns
        );
    }
    println!("slope: {:.2} us of building a VM\n", cpu.slope() * 1e6);
}

fn settings_change() {
    println!("a change of a team's settings: text, parse, check");
    println!("services  text bytes    parse us    check us");
    let (mut bytes, mut cpu) = (Fit::default(), Fit::default());
    let root = std::path::Path::new("examples/cooperative");
    let base = settings::Settings::read(root).expect("the example is sound");
    let model = base.service("ledger").expect("the example has a ledger");
    for count in [1, 10, 100, 1_000] {
        let services = (0..count).map(|i| settings::Service {
            name: format!("service-{i}").as_str().into(),
            ..model.clone()
        });
        let team = settings::Team {
            services: services.collect(),
            ..settings::Team::default()
        };
        let text = team.to_toml();
        let parse_s = best_of(5, || settings::Team::parse("bench", &text));
        let mut all = base.clone();
        all.teams.insert("bench".into(), team);
        let check_s = best_of(5, || all.check());
        bytes.add(f64::from(count), text.len() as f64);
        cpu.add(f64::from(count), parse_s + check_s);
        println!(
            "{count:8} {:11} {:11.0} {:11.0}",
            text.len(),
            parse_s * 1e6,
            check_s * 1e6
        );
    }
    println!(
        "slope: {:.0} bytes and {:.1} us a service\n",
        bytes.slope(),
        cpu.slope() * 1e6
    );
}

fn signing() {
    println!("a signed change: checked by every process that takes it");
    println!("text bytes     sign us   verify us");
    let key = keys::SecretKey::generate();
    let root = keys::SecretKey::generate();
    let team = id::TeamId::from("bench");
    let team_key = keys::TeamKey {
        public: key.public(),
        holder: "bench".to_owned(),
        until: None,
    };
    let ring = keys::KeyRing::sign(team.clone(), 1, vec![team_key], &root)
        .and_then(|ring| ring.verify(&team, &[root.public()], None))
        .expect("the ring is sound");
    let mut cpu = Fit::default();
    for len in [1_000, 10_000, 100_000, 900_000] {
        let text = "x".repeat(len);
        let change = envelope::ChangeId::random();
        let sign = || envelope::Envelope::sign(team.clone(), 1, change.clone(), text.clone(), &key);
        let sign_s = best_of(10, sign);
        let signed = sign();
        let verify_s = best_of(10, || signed.verify(&team, &ring));
        cpu.add(len as f64, verify_s);
        println!("{len:10} {:11.0} {:11.0}", sign_s * 1e6, verify_s * 1e6);
    }
    println!("slope: {:.2} ns of verifying a byte\n", cpu.slope() * 1e9);
}

fn peer_messages() {
    println!("messages between entry processes");
    println!("message                      bytes   encode us   decode us");
    let alive = peer::Message::Alive(peer::Alive {
        vm: "entry-region-3-1-1234".into(),
        incarnation: id::Incarnation(u64::MAX / 3),
        counter: 3,
        phase: 2,
        seq: 100_000,
        list: u64::MAX / 7,
        store_up: true,
    });
    peer_message("heartbeat", &alive);
    for services in [3, 30, 300] {
        let row = |i: usize| peer::WorkRow {
            service: format!("service-{i}").as_str().into(),
            slots: 36,
            in_hand: 20,
            in_use: 3.0,
            demand: (0..11)
                .map(|r| (format!("region-{r}").as_str().into(), 1.5))
                .collect(),
        };
        let work = peer::Work {
            rows: (0..services).map(row).collect(),
        };
        let message = peer::Message::Work(work);
        peer_message(&format!("work of {services} services"), &message);
    }
    let mut bytes = Fit::default();
    for count in [50, 500, VM_COUNT] {
        let list = peer::VmList {
            reader: "entry-region-3-1-1234".into(),
            rows: (0..count).map(generate_vm).collect(),
        };
        let len = peer_message(&format!("list of {count} VMs"), &peer::Message::Vms(list));
        bytes.add(count as f64, len as f64);
    }
    println!("slope: {:.0} bytes a VM\n", bytes.slope());
}

fn peer_message(name: &str, message: &peer::Message) -> usize {
    let bytes = peer::encode(message);
    let encode_s = best_of(20, || peer::encode(message));
    let decode_s = best_of(20, || peer::decode(&bytes));
    println!(
        "{name:24} {:9} {:11.1} {:11.1}",
        bytes.len(),
        encode_s * 1e6,
        decode_s * 1e6
    );
    bytes.len()
}

fn decisions() {
    println!("one request's decisions: let in, placed, ended");
    println!("backends   us/request");
    let mut cpu = Fit::default();
    for count in [6, 24, 96] {
        let cross_az = cross_az::CrossAzRouter::new(cross_az::Config::default(), "az".into());
        let mut dispatch = dispatch::Dispatch::new(dispatch::Config::default(), cross_az);
        let mut out = Vec::new();
        let backends: Vec<_> = (0..count)
            .map(|i| policy::Backend {
                id: format!("backend-{i}").as_str().into(),
                slots: 3,
                leaving: false,
            })
            .collect();
        dispatch.set_backends(policy::Moment::ZERO, &backends, &mut out);
        out.clear();
        let requests = 20_000;
        let (mut id, mut now) = (0, time::Duration::from_secs(60));
        let run_s = best_of(3, || {
            for _ in 0..requests {
                id += 1;
                now += time::Duration::from_micros(200);
                serve_one(&mut dispatch, now, id, &mut out);
            }
        });
        let us = run_s / f64::from(requests) * 1e6;
        cpu.add(f64::from(count), us);
        println!("{count:8} {us:12.2}");
    }
    println!("slope: {:.3} us a backend server\n", cpu.slope());
}

/// Admits one request and completes each resulting attempt with an answer.
fn serve_one(
    dispatch: &mut dispatch::Dispatch,
    now: policy::Moment,
    id: u64,
    out: &mut Vec<policy::Action>,
) {
    let arrival = policy::Arrival {
        id: policy::RequestId(id),
        caller: policy::CallerId(id % 100),
        fingerprint: policy::Fingerprint(id),
        origin: policy::Origin::Caller,
        idempotent: true,
        worth: 1,
        typical: time::Duration::from_millis(1),
        deadline: now + time::Duration::from_secs(1),
        bytes: 500,
    };
    dispatch.arrive(now, arrival, out);
    let report = Some(policy::Report {
        in_flight: 1,
        queued: 0,
        leaving: false,
    });
    while let Some(action) = out.pop() {
        if let policy::Action::Send { req, to, .. } = action {
            let after = now + time::Duration::from_millis(1);
            dispatch.ended(
                after,
                req,
                &to,
                policy::AttemptOutcome::Answered,
                report,
                out,
            );
        }
    }
}
