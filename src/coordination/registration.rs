//! Decides how long an entry VM's registration lasts between renewals.
//!
//! Load: a fleet of a thousand VMs constantly renews a thousand leases, and each renewal costs
//! money. Callers are sent to few VMs; if one of these dies, answers to look-ups must soon stop
//! naming it. The other VMs are on standby: callers are sent to them only when the active VMs are
//! busy or gone. So their leases may be as long as operators allow a dead VM to be named.

use std::time;

/// The lease of a VM that callers are sent to now or next.
const IN_LINE: time::Duration = time::Duration::from_secs(3);

/// The usual maximum time from the end of a lease until no VM names its holder.
const KNOWN: time::Duration = time::Duration::from_secs(3);

/// Renewals per lease: two may fail before the lease ends.
const RENEWALS: u32 = 3;

/// The length of the lease, where `named` is how long a dead VM may still be named.
pub fn lease(stands_by: bool, named: time::Duration) -> time::Duration {
    match stands_by {
        true => named.saturating_sub(KNOWN).max(IN_LINE),
        false => IN_LINE,
    }
}

/// The interval between renewals of a lease.
pub fn renewal(lease: time::Duration) -> time::Duration {
    lease / RENEWALS
}
