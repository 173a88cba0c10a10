//! Names of declared objects, VMs and customers, and the incarnation of a process.

name! {
    /// A service that operators declare.
    ServiceId;
    /// A region.
    RegionId;
    /// An availability zone.
    AzId;
    /// A VM, either an entry VM or a backend server.
    VmId;
    /// A customer.
    CustomerId;
    /// A team, which owns one subtree of the settings.
    TeamId;
}

key! {
    /// Identifies one start of a process. A restart at the same address gets a larger value.
    pub struct Incarnation(pub u64);
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
