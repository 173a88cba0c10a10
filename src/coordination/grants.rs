//! Asking for grants, giving them, and honouring them.
//!
//! A sender asks one entry VM of the receiving availability zone, which lends from its own share;
//! its grants are asked for again before they run out, as long as there is demand. The receiver
//! answers only what it lends, and keeps the only record that counts ([`Lenders`]): what a sender
//! believes decides nothing. A message that is lost, late or doubled costs a grant's time at most.

use std::collections;
use std::sync;
use std::time;

use parking_lot::Mutex;

use crate::decisions::{cross_az, grants, policy};
use crate::id;
use crate::protocol::peer;

/// How often one availability zone is asked for one service. Several times in a grant's life, so
/// that a lost message does not end the spill.
pub const ASK_EVERY: time::Duration = time::Duration::from_millis(500);

/// The lending sides of one entry VM, one for each service. Its lock is a leaf: nothing else is
/// locked while it is held.
#[derive(Debug, Default)]
pub struct Lenders {
    by_service: Mutex<collections::BTreeMap<id::ServiceId, grants::Granter>>,
}

/// A request that was let in under a grant. Dropping it ends it.
#[derive(Debug)]
pub struct Admitted {
    lenders: sync::Arc<Lenders>,
    service: id::ServiceId,
    grant: grants::GrantId,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut all = self.lenders.by_service.lock();
        if let Some(granter) = all.get_mut(&self.service) {
            granter.done(self.grant);
        }
    }
}

impl Lenders {
    /// Takes in the state of the availability zone; the first call makes the service's lender.
    pub fn set_load(&self, now: policy::Moment, lender: &grants::Issuer, load: grants::Load) {
        let mut all = self.by_service.lock();
        let granter = all.entry(lender.service.clone()).or_insert_with(|| {
            grants::Granter::new(grants::Config::default(), now, lender.clone())
        });
        granter.set_load(now, load);
        granter.tick(now);
    }

    /// Answers a wish.
    pub fn ask(
        &self,
        now: policy::Moment,
        from: &id::VmId,
        wish: &peer::AskGrant,
    ) -> Option<peer::Granted> {
        let mut all = self.by_service.lock();
        let grant = all
            .get_mut(&wish.service)?
            .request_grant(now, from, wish.per_s)?;
        Some(peer::Granted {
            grant,
            asked: wish.asked,
        })
    }

    /// Lets a request in that names a grant. The error says why it is refused; it has not run.
    pub fn admit(
        self: &sync::Arc<Self>,
        now: policy::Moment,
        service: &id::ServiceId,
        from: &id::VmId,
        grant: grants::GrantId,
    ) -> Result<Admitted, grants::Refused> {
        let mut all = self.by_service.lock();
        let granter = all.get_mut(service).ok_or(grants::Refused::NoGrant)?;
        granter.admit(now, from, grant)?;
        Ok(Admitted {
            lenders: self.clone(),
            service: service.clone(),
            grant,
        })
    }

    /// Requests of a service in hand under grants.
    pub fn in_hand(&self, service: &id::ServiceId) -> u32 {
        let all = self.by_service.lock();
        all.get(service).map_or(0, grants::Granter::in_flight)
    }
}

/// The asking side of one entry VM.
#[derive(Debug, Default)]
pub struct Asker {
    asked: collections::BTreeMap<(id::ServiceId, id::AzId), policy::Moment>,
}

impl Asker {
    /// The messages that a service's wishes make, each with the entry VM that it goes to.
    /// `linked` are the entry VMs that are linked now; a zone without any cannot be asked.
    pub fn ask(
        &mut self,
        now: policy::Moment,
        service: &id::ServiceId,
        wishes: &[cross_az::GrantRequest],
        linked: &[(id::VmId, id::AzId)],
        me: &id::VmId,
    ) -> Vec<(id::VmId, peer::Message)> {
        let mut messages = Vec::new();
        for wish in wishes {
            let key = (service.clone(), wish.az.clone());
            let asked = self.asked.get(&key);
            if asked.is_some_and(|asked| now < *asked + ASK_EVERY) {
                continue;
            }
            let there: Vec<_> = linked.iter().filter(|(_, az)| *az == wish.az).collect();
            let Some((vm, _)) = pick(&there, me) else {
                continue;
            };
            self.asked.insert(key, now);
            let message = peer::Message::AskGrant(peer::AskGrant {
                service: service.clone(),
                per_s: wish.per_s,
                asked: now,
            });
            messages.push((vm.clone(), message));
        }
        messages
    }
}

/// The entry VM that a sender asks: always the same as long as it is linked, since a grant is
/// renewed only by the one that gave it, and spread over all of them by the senders' names.
fn pick<'a>(there: &[&'a (id::VmId, id::AzId)], me: &id::VmId) -> Option<&'a (id::VmId, id::AzId)> {
    let hash = |vm: &id::VmId| {
        let both = me.as_str().bytes().chain(vm.as_str().bytes());
        both.fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
    };
    there.iter().copied().min_by_key(|(vm, _)| hash(vm))
}

/// The text in which a request names its grant.
pub fn to_text(from: &id::VmId, grant: grants::GrantId) -> String {
    format!("{};{:x};{}", from, grant.incarnation.0, grant.number)
}

/// Reads what [`to_text`] wrote: the sender and the grant.
pub fn from_text(text: &str) -> Option<(id::VmId, grants::GrantId)> {
    let mut parts = text.rsplitn(3, ';');
    let number = parts.next()?.parse().ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let from = parts.next()?;
    let grant = grants::GrantId {
        incarnation: id::Incarnation(incarnation),
        number,
    };
    Some((from.into(), grant))
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: policy::Moment = policy::Moment::from_secs(1);

    fn lenders() -> sync::Arc<Lenders> {
        let lenders = sync::Arc::new(Lenders::default());
        let lender = grants::Issuer {
            service: "s".into(),
            az: "b".into(),
            vm: "b1".into(),
            incarnation: id::Incarnation(7),
        };
        let load = grants::Load {
            slots: 20,
            max_load: 0.9,
            members: 1,
            local_requests: 0,
            az_in_flight: 0,
            service_time: S / 50,
        };
        lenders.set_load(policy::Moment::ZERO, &lender, load);
        lenders.set_load(S * 10, &lender, load);
        lenders
    }

    #[test]
    fn a_wish_becomes_a_grant_that_is_honoured_by_its_giver() {
        let lenders = lenders();
        let wish = cross_az::GrantRequest {
            az: "b".into(),
            per_s: 50.0,
        };
        let linked = [("b1".into(), "b".into()), ("c1".into(), "c".into())];
        let mut asker = Asker::default();
        let messages = asker.ask(S * 10, &"s".into(), &[wish], &linked, &"a1".into());
        let [(to, peer::Message::AskGrant(ask))] = &messages[..] else {
            panic!("{messages:?}");
        };
        assert_eq!(*to, "b1".into());
        let granted = lenders.ask(S * 10, &"a1".into(), ask).unwrap();
        let text = to_text(&"a1".into(), granted.grant.id);
        let (from, grant) = from_text(&text).unwrap();
        let admitted = lenders.admit(S * 11, &"s".into(), &from, grant).unwrap();
        assert_eq!(lenders.in_hand(&"s".into()), 1);
        drop(admitted);
        assert_eq!(lenders.in_hand(&"s".into()), 0);
        let other = lenders.admit(S * 11, &"s".into(), &"a2".into(), grant);
        assert_eq!(other.unwrap_err(), grants::Refused::NoGrant);
    }

    #[test]
    fn a_grant_that_is_no_grant_is_refused() {
        for text in ["", "a1", "a1;x;1", "a1;1;", ";;", "a1;1;-1"] {
            assert_eq!(from_text(text), None, "{text}");
        }
        assert!(from_text("odd;name;1f;2").is_some());
    }
}
