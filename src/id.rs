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

impl VmId {
    /// A name of letters, digits and `-._~:`. `None` for any other text, which may be no valid field value.
    pub fn parse(text: &str) -> Option<Self> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~:".contains(&b);
        let is_name = !text.is_empty() && text.bytes().all(is_allowed);
        is_name.then(|| text.into())
    }
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
