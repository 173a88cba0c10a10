//! Decides how long an entry VM's registration lasts between renewals.
//!
//! Load: a fleet of a thousand VMs constantly renews a thousand leases, and each renewal costs
//! money. Callers are sent to few VMs; if one of these fails, answers to look-ups must soon stop
//! naming it. The other VMs are on standby: callers are sent to them only when the active VMs are
//! busy or gone. So their leases may be as long as operators allow a dead VM to be named.

use std::time;

/// The lease of a VM that callers are sent to now or next.
const ACTIVE_LEASE: time::Duration = time::Duration::from_secs(3);

/// The usual maximum time from the end of a lease until no VM names its holder.
const MAX_LOOKUP_LAG: time::Duration = time::Duration::from_secs(3);

/// Renewals per lease: two may fail before the lease ends.
const RENEWALS_PER_LEASE: u32 = 3;

/// The length of the lease, where `max_dead_named` is how long a dead VM may still be named.
pub fn lease_ttl(on_standby: bool, max_dead_named: time::Duration) -> time::Duration {
    match on_standby {
        true => max_dead_named
            .saturating_sub(MAX_LOOKUP_LAG)
            .max(ACTIVE_LEASE),
        false => ACTIVE_LEASE,
    }
}

/// The interval between renewals of a lease.
pub fn renewal_interval(lease_ttl: time::Duration) -> time::Duration {
    lease_ttl / RENEWALS_PER_LEASE
}
