//! Headroom that a receiving availability zone lends to senders.

use std::collections;
use std::time;

use super::policy;
use crate::id;

key! {
    /// One grant: the process that gave it and its number there.
    pub struct GrantId {
        /// The start of the process that gave it. A later start knows nothing of it.
        pub incarnation: id::Incarnation,
        /// Its number in that process.
        pub number: u64,
    }
}

data! {
    /// Leave to send work of one service across, short and on the receiver's terms.
    pub struct Grant {
        /// Its name.
        pub id: GrantId,
        /// The service it is for.
        pub service: id::ServiceId,
        /// The availability zone that lends.
        pub az: id::AzId,
        /// The entry VM that lends, which alone honours it.
        pub vm: id::VmId,
        /// Requests that may be in hand there at a time.
        pub slots: u32,
        /// Requests a second that may be sent.
        pub per_s: f64,
        /// How long it lasts.
        pub ttl: time::Duration,
    }
}

/// A grant at its sender, with the time when the sender stops using it.
#[derive(Clone, Debug)]
pub struct Held {
    /// The grant.
    pub grant: Grant,
    /// When the sender stops using it: counted from when it asked, so that it is never later than
    /// when the receiver stops honouring it.
    pub until: policy::Moment,
}

/// The grants that a sender holds, one for each availability zone.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    held: collections::BTreeMap<id::AzId, Held>,
}

impl Wallet {
    /// Takes a grant in. `asked` is when it was asked for.
    pub fn put(&mut self, asked: policy::Moment, grant: Grant) {
        let until = asked + grant.ttl;
        let az = grant.az.clone();
        match self.held.get(&az) {
            Some(old) if old.until > until => {}
            _ => {
                self.held.insert(az, Held { grant, until });
            }
        }
    }

    /// The live grant for an availability zone.
    pub fn live(&self, now: policy::Moment, az: &id::AzId) -> Option<&Grant> {
        let held = self.held.get(az)?;
        (now < held.until).then_some(&held.grant)
    }

    /// The availability zones with a live grant.
    pub fn azs(&self, now: policy::Moment) -> impl Iterator<Item = &id::AzId> {
        let live = move |held: &Held| now < held.until;
        self.held
            .iter()
            .filter(move |(_, held)| live(held))
            .map(|(az, _)| az)
    }

    /// Drops what has expired.
    pub fn tick(&mut self, now: policy::Moment) {
        self.held.retain(|_, held| now < held.until);
    }
}
