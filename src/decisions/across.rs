//! What a sender may send to other availability zones, for one service on one entry VM.
//!
//! [`Across`] is owned by the policy of the service and asked only when the own availability zone
//! cannot take a request in time. Without a live grant nothing is sent across.
//!
//! The policy calls [`Across::arrived`] for each request that a caller brought to this VM: the
//! caps are a share of these. For each `Some` of [`Across::choose`] it calls [`Across::ended`]
//! once.

use super::{grants, policy};
use crate::id;

/// Thresholds of one sender.
#[derive(Clone, Debug, Default)]
pub struct Config {}

/// One sender's view of the other availability zones.
#[derive(Debug)]
pub struct Across {
    own: id::AzId,
    wallet: grants::Wallet,
}

impl Across {
    /// A sender in the availability zone `own`, without grants yet.
    pub fn new(_cfg: Config, own: id::AzId) -> Self {
        Self {
            own,
            wallet: grants::Wallet::default(),
        }
    }

    /// A caller brought a request to this VM.
    pub fn arrived(&mut self, _now: policy::Moment) {}

    /// Picks the availability zone that takes a request that the own one cannot, and counts the
    /// attempt. `None`: nowhere; the request waits or is refused.
    pub fn choose(
        &mut self,
        now: policy::Moment,
        _worth: u32,
        _bytes: u64,
        deadline: policy::Moment,
    ) -> Option<id::AzId> {
        if deadline <= now {
            return None;
        }
        let mut azs = self.wallet.azs(now).filter(|az| **az != self.own);
        azs.next().cloned()
    }

    /// An attempt that [`Self::choose`] counted ended.
    pub fn ended(
        &mut self,
        _now: policy::Moment,
        _az: &id::AzId,
        _how: policy::Ended,
        _bytes: u64,
    ) {
    }

    /// Time passed.
    pub fn tick(&mut self, now: policy::Moment) {
        self.wallet.tick(now);
    }

    /// The state of the own availability zone as this VM sees it.
    pub fn own_load(&mut self, _now: policy::Moment, _slots: u32, _in_flight: u32, _queued: u32) {}

    /// A grant came in. `asked` is when this VM asked for it.
    pub fn set_grant(&mut self, asked: policy::Moment, grant: grants::Grant) {
        self.wallet.put(asked, grant);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_goes_across_without_a_grant() {
        let mut across = Across::new(Config::default(), "a".into());
        let now = policy::Moment::from_secs(5);
        across.arrived(now);
        assert_eq!(across.choose(now, 1, 100, now * 2), None);
    }
}
