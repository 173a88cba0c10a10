//! Settings for regions, availability zones, links and scheduled drains.

use crate::id;

data! {
    /// A region, with its load limit.
    #[serde(deny_unknown_fields)]
    pub struct Region {
        /// Its name.
        pub name: id::RegionId,
        /// Its availability zones.
        pub azs: Vec<id::AzId>,
        /// Load limit for steering decisions: a share of the region's slots, above 0 and at most 1.
        #[serde(default = "default_max_load")]
        pub max_load: f64,
    }

    /// The link from one region to another, in one direction.
    #[serde(deny_unknown_fields)]
    pub struct Link {
        /// Source region.
        pub from: id::RegionId,
        /// Destination region.
        pub to: id::RegionId,
        /// One-way delay, in milliseconds.
        pub one_way_ms: f64,
        /// Capacity, in bytes per second.
        pub bytes_per_s: u64,
    }

    /// A block of caller addresses, assigned to a region.
    #[serde(deny_unknown_fields)]
    pub struct ClientBlock {
        /// The address block.
        pub block: ipnet::IpNet,
        /// The region nearest to these callers.
        pub region: id::RegionId,
    }

    /// A scheduled drain.
    #[serde(deny_unknown_fields)]
    pub struct Drain {
        /// The region, availability zone or VM to drain.
        pub target: DrainTarget,
        /// Start time, in seconds since the Unix epoch.
        pub start_s: u64,
        /// Time over which traffic moves away, in seconds. The shift caps may extend it.
        #[serde(default = "default_ramp_s")]
        pub ramp_s: u64,
        /// End time, in seconds since the Unix epoch, when traffic may return. Absent: the drain
        /// lasts until it is removed from the settings.
        #[serde(default)]
        pub end_s: Option<u64>,
    }

    /// Target of a drain.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum DrainTarget {
        /// A whole region.
        Region(id::RegionId),
        /// One availability zone.
        Az(id::AzId),
        /// One VM: an entry VM or a backend server.
        Vm(id::VmId),
    }

    /// Which goal takes precedence when latency and headroom conflict.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Prefer {
        /// Prefer low latency to headroom.
        #[default]
        Latency,
        /// Prefer headroom in each region to low latency.
        Headroom,
    }
}

fn default_max_load() -> f64 {
    0.9
}

fn default_ramp_s() -> u64 {
    60
}
