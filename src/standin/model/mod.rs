//! A queueing model of one service of one deployment, in virtual time.
//!
//! The model drives real [`crate::decisions::policy::Policy`] values with fixed arrivals and counts
//! the results for callers, so that two policies can be compared under the same load and faults. It
//! does not simulate a cluster in detail: there is one event queue, a backend server is a set of
//! slots behind a FIFO queue, and messages have fixed delays. The model reads no clock and seeds
//! all randomness, so every run gives the same results.

pub mod best;
pub mod load;
pub mod patterns;
pub mod run;
mod server;
pub mod table;
pub mod tally;

use std::path;
use std::time;

use crate::id;
use crate::settings;

/// An operation of the service and its share of all requests.
#[derive(Clone, Debug)]
pub struct Op {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Worth of one answer.
    pub worth: u32,
    /// Mean processing time on a backend server.
    pub typical: time::Duration,
    /// Timeout of the caller.
    pub timeout: time::Duration,
    /// Share of all requests; the shares add up to 1.
    pub share: f64,
}

/// An availability zone.
#[derive(Clone, Debug)]
pub struct Az {
    /// Identifier of the availability zone.
    pub id: id::AzId,
    /// Index of the region.
    pub region: usize,
    /// Number of backend servers.
    pub backends: usize,
}

/// One service of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in result tables.
    pub name: &'static str,
    /// Availability zones, grouped by region.
    pub azs: Vec<Az>,
    /// Number of regions.
    pub regions: usize,
    /// Number of entry VMs in each availability zone.
    pub vms_per_az: usize,
    /// Number of slots of each backend server.
    pub slots: u32,
    /// Number of queued requests from which a backend server sheds load.
    pub backlog: usize,
    /// Operations of the service.
    pub ops: Vec<Op>,
    /// One-way delay between an entry VM and a backend server.
    pub local_delay: time::Duration,
    /// One-way delay between availability zones of a region.
    pub az_delay: time::Duration,
    /// One-way delay between regions.
    pub region_delay: time::Duration,
    /// One-way delay between callers and entry VMs.
    pub client_delay: time::Duration,
    /// Maximum share of a region's slots that steering may use.
    pub max_load: f64,
    /// Maximum share of the traffic that may shift in one step.
    pub shift_cap: f64,
    /// Length of one step.
    pub shift_step: time::Duration,
    /// Capacity of the link between two regions, in bytes per second.
    pub link_bytes_per_s: u64,
}

/// The example service to model, with the figures that its settings do not contain.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// The directory under `examples/`.
    pub deployment: &'static str,
    /// Name of the service.
    pub service: &'static str,
    /// Total number of backend servers.
    pub backends: usize,
    /// Share of the requests of each operation, in the order of the settings.
    pub shares: &'static [f64],
    /// One-way delay between availability zones of a region, in microseconds.
    pub az_delay_us: u64,
    /// One-way delay between callers and entry VMs, in microseconds.
    pub client_delay_us: u64,
}

/// The booking ledger of the `cooperative` example.
pub const LEDGER: Source = Source {
    deployment: "cooperative",
    service: "ledger",
    backends: 12,
    shares: &[0.2, 0.1, 0.7],
    az_delay_us: 1_000,
    client_delay_us: 8_000,
};

/// The payout approvals of the `claims` example.
pub const PAYOUT: Source = Source {
    deployment: "claims",
    service: "payout",
    backends: 12,
    shares: &[0.2, 0.8],
    az_delay_us: 1_500,
    client_delay_us: 1_000,
};

/// One-way delay between an entry VM and a backend server in the same availability zone.
const LOCAL_DELAY: time::Duration = time::Duration::from_micros(100);

/// Entry VMs in each availability zone: 12 in total, the size of the largest deployment in use.
const VMS_PER_AZ: usize = 2;

impl Deployment {
    /// Reads a deployment from the example settings. `root` is the package directory. Fails if the
    /// settings cannot be read.
    pub fn read(root: &path::Path, src: &Source) -> Result<Self, settings::Error> {
        let all = settings::Settings::read(&root.join("examples").join(src.deployment))?;
        let service = all
            .service(src.service)
            .expect("the example declares the service");
        let region_azs: Vec<_> = all
            .regions()
            .enumerate()
            .flat_map(|(region, r)| r.azs.iter().map(move |az| (region, az)))
            .collect();
        let total = region_azs.len();
        let azs = region_azs
            .into_iter()
            .enumerate()
            .map(|(i, (region, az))| Az {
                id: az.clone(),
                region,
                backends: src.backends / total + usize::from(i < src.backends % total),
            })
            .collect();
        let ops = service.operations.iter().zip(src.shares);
        let link = all.links().next().expect("the example declares links");
        let region = all.regions().next().expect("the example declares regions");
        Ok(Self {
            name: src.deployment,
            azs,
            regions: all.regions().count(),
            vms_per_az: VMS_PER_AZ,
            slots: service.slots,
            backlog: service.connections as usize,
            ops: ops.map(|(op, share)| read_op(op, *share)).collect(),
            local_delay: LOCAL_DELAY,
            az_delay: time::Duration::from_micros(src.az_delay_us),
            region_delay: time::Duration::from_secs_f64(link.one_way_ms / 1e3),
            client_delay: time::Duration::from_micros(src.client_delay_us),
            max_load: region.max_load,
            shift_cap: service.shift_cap,
            shift_step: time::Duration::from_millis(service.shift_step_ms),
            link_bytes_per_s: link.bytes_per_s,
        })
    }

    /// Total number of slots of all backend servers.
    pub fn total_slots(&self) -> f64 {
        let backends: usize = self.azs.iter().map(|az| az.backends).sum();
        backends as f64 * f64::from(self.slots)
    }

    /// Requests per second that occupy every slot.
    pub fn capacity(&self) -> f64 {
        let mean: f64 = self
            .ops
            .iter()
            .map(|op| op.share * op.typical.as_secs_f64())
            .sum();
        self.total_slots() / mean
    }
}

fn read_op(op: &settings::Operation, share: f64) -> Op {
    Op {
        idempotent: op.idempotent,
        worth: op.worth,
        typical: time::Duration::from_secs_f64(op.typical_ms / 1e3),
        timeout: time::Duration::from_millis(op.patience_ms),
        share,
    }
}
