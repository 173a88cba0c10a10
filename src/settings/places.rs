//! Regions, availability zones, links and planned drains.

use crate::id;

data! {
    /// A region and what it can bear.
    #[serde(deny_unknown_fields)]
    pub struct Region {
        /// Its name.
        pub name: id::RegionId,
        /// Its availability zones.
        pub azs: Vec<id::AzId>,
        /// The load that no steering decision may exceed, as a share of the region's slots, above
        /// 0 and at most 1.
        #[serde(default = "default_max_load")]
        pub max_load: f64,
    }

    /// The link from one region to another, in one direction.
    #[serde(deny_unknown_fields)]
    pub struct Link {
        /// Where it starts.
        pub from: id::RegionId,
        /// Where it ends.
        pub to: id::RegionId,
        /// One-way delay, in milliseconds.
        pub one_way_ms: f64,
        /// What it carries, in bytes a second.
        pub bytes_per_s: u64,
    }

    /// Callers' addresses that lie in one region.
    #[serde(deny_unknown_fields)]
    pub struct ClientBlock {
        /// The block of addresses.
        pub block: ipnet::IpNet,
        /// The region that is nearest to them.
        pub region: id::RegionId,
    }

    /// A drain that was planned ahead.
    #[serde(deny_unknown_fields)]
    pub struct Drain {
        /// What is drained.
        pub target: DrainTarget,
        /// When it begins, in seconds since 1970.
        pub start_s: u64,
        /// How long the traffic takes to leave, in seconds. The shift caps may make it longer.
        #[serde(default = "default_ramp_s")]
        pub ramp_s: u64,
        /// When the target takes traffic again, in seconds since 1970. Absent: until the drain is
        /// taken out of the settings.
        #[serde(default)]
        pub end_s: Option<u64>,
    }

    /// What a drain empties.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum DrainTarget {
        /// A whole region.
        Region(id::RegionId),
        /// One availability zone.
        Az(id::AzId),
        /// One VM, entry VM or backend server.
        Vm(id::VmId),
    }

    /// What a deployment weighs most where two aims pull apart.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Prefer {
        /// A late answer is the worst.
        #[default]
        Latency,
        /// An overfull region is the worst.
        Headroom,
    }
}

fn default_max_load() -> f64 {
    0.9
}

fn default_ramp_s() -> u64 {
    60
}
