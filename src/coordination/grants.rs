//! Exchanges grants of capacity between availability zones and admits requests by them.
//!
//! A sender requests a grant from one entry VM of the receiving availability zone, which grants
//! part of its own share. While there is demand, the sender renews grants before they expire. The
//! receiver answers only requests that it grants, and admits requests only by its own record,
//! [`GrantIssuers`]. A lost, late or duplicate message costs at most one lifetime of a grant.

use std::collections;
use std::sync;
use std::time;

use parking_lot::Mutex;

use crate::decisions::{cross_az, grants, policy};
use crate::id;
use crate::protocol::peer;

/// Interval of the grant requests to one availability zone for one service. Several fit into a
/// grant's lifetime, so that a lost message does not stop the spill to that availability zone.
pub const GRANT_REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The issuers of grants of one entry VM, one for each service. Its lock is a leaf: no other lock
/// is taken while it is held.
#[derive(Debug, Default)]
pub struct GrantIssuers {
    by_service: Mutex<collections::BTreeMap<id::ServiceId, grants::Granter>>,
}

/// A request admitted under a grant. Dropping it marks the request as ended.
#[derive(Debug)]
pub struct Admitted {
    issuers: sync::Arc<GrantIssuers>,
    service: id::ServiceId,
    grant: grants::GrantId,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut granters = self.issuers.by_service.lock();
        if let Some(granter) = granters.get_mut(&self.service) {
            granter.done(self.grant);
        }
    }
}

impl GrantIssuers {
    /// Updates the load of the availability zone. The first call creates the service's issuer.
    pub fn set_load(&self, now: policy::Moment, issuer: &grants::Issuer, load: grants::Load) {
        let mut granters = self.by_service.lock();
        let granter = granters.entry(issuer.service.clone()).or_insert_with(|| {
            grants::Granter::new(grants::Config::default(), now, issuer.clone())
        });
        granter.set_load(now, load);
        granter.tick(now);
    }

    /// Answers a grant request. `None`: nothing is granted.
    pub fn answer_request(
        &self,
        now: policy::Moment,
        from: &id::VmId,
        request: &peer::AskGrant,
    ) -> Option<peer::Granted> {
        let mut granters = self.by_service.lock();
        let grant = granters
            .get_mut(&request.service)?
            .request_grant(now, from, request.per_s)?;
        Some(peer::Granted {
            grant,
            asked: request.asked,
        })
    }

    /// Admits a request by its grant. On an error the request was refused and has not run.
    pub fn admit(
        self: &sync::Arc<Self>,
        now: policy::Moment,
        service: &id::ServiceId,
        from: &id::VmId,
        grant: grants::GrantId,
    ) -> Result<Admitted, grants::Refused> {
        let mut granters = self.by_service.lock();
        let granter = granters.get_mut(service).ok_or(grants::Refused::NoGrant)?;
        granter.admit(now, from, grant)?;
        Ok(Admitted {
            issuers: self.clone(),
            service: service.clone(),
            grant,
        })
    }

    /// In-flight requests of a service that were admitted under grants.
    pub fn in_flight(&self, service: &id::ServiceId) -> u32 {
        let granters = self.by_service.lock();
        granters.get(service).map_or(0, grants::Granter::in_flight)
    }
}

/// Requests grants for one entry VM.
#[derive(Debug, Default)]
pub struct GrantRequester {
    last_requested: collections::BTreeMap<(id::ServiceId, id::AzId), policy::Moment>,
}

impl GrantRequester {
    /// The due grant requests of a service, each with the entry VM to send it to. `linked` are the
    /// linked entry VMs; an availability zone without any gets no request.
    pub fn due_requests(
        &mut self,
        now: policy::Moment,
        service: &id::ServiceId,
        requests: &[cross_az::GrantRequest],
        linked: &[(id::VmId, id::AzId)],
        this_vm: &id::VmId,
    ) -> Vec<(id::VmId, peer::Message)> {
        let mut messages = Vec::new();
        for request in requests {
            let key = (service.clone(), request.az.clone());
            let last = self.last_requested.get(&key);
            if last.is_some_and(|last| now < *last + GRANT_REQUEST_INTERVAL) {
                continue;
            }
            let candidates: Vec<_> = linked.iter().filter(|(_, az)| *az == request.az).collect();
            let Some((vm, _)) = pick_issuer(&candidates, this_vm) else {
                continue;
            };
            self.last_requested.insert(key, now);
            let message = peer::Message::AskGrant(peer::AskGrant {
                service: service.clone(),
                per_s: request.per_s,
                asked: now,
            });
            messages.push((vm.clone(), message));
        }
        messages
    }
}

/// Picks the entry VM to request grants from: the same one as long as it is linked, since only the
/// issuer of a grant renews it. The senders' names spread the requests over all entry VMs.
fn pick_issuer<'a>(
    candidates: &[&'a (id::VmId, id::AzId)],
    this_vm: &id::VmId,
) -> Option<&'a (id::VmId, id::AzId)> {
    let hash = |vm: &id::VmId| {
        let bytes = this_vm.as_str().bytes().chain(vm.as_str().bytes());
        bytes.fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
    };
    candidates.iter().copied().min_by_key(|(vm, _)| hash(vm))
}

/// Encodes the grant of a request as text.
pub fn format_grant(from: &id::VmId, grant: grants::GrantId) -> String {
    format!("{};{:x};{}", from, grant.incarnation.0, grant.number)
}

/// Decodes the sender and the grant from the output of [`format_grant`].
pub fn parse_grant(text: &str) -> Option<(id::VmId, grants::GrantId)> {
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

    fn issuers() -> sync::Arc<GrantIssuers> {
        let issuers = sync::Arc::new(GrantIssuers::default());
        let issuer = grants::Issuer {
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
        issuers.set_load(policy::Moment::ZERO, &issuer, load);
        issuers.set_load(S * 10, &issuer, load);
        issuers
    }

    #[test]
    fn a_request_becomes_a_grant_that_its_issuer_admits() {
        let issuers = issuers();
        let request = cross_az::GrantRequest {
            az: "b".into(),
            per_s: 50.0,
        };
        let linked = [("b1".into(), "b".into()), ("c1".into(), "c".into())];
        let mut requester = GrantRequester::default();
        let messages =
            requester.due_requests(S * 10, &"s".into(), &[request], &linked, &"a1".into());
        let [(to, peer::Message::AskGrant(ask))] = &messages[..] else {
            panic!("{messages:?}");
        };
        assert_eq!(*to, "b1".into());
        let granted = issuers.answer_request(S * 10, &"a1".into(), ask).unwrap();
        let text = format_grant(&"a1".into(), granted.grant.id);
        let (from, grant) = parse_grant(&text).unwrap();
        let admitted = issuers.admit(S * 11, &"s".into(), &from, grant).unwrap();
        assert_eq!(issuers.in_flight(&"s".into()), 1);
        drop(admitted);
        assert_eq!(issuers.in_flight(&"s".into()), 0);
        let other = issuers.admit(S * 11, &"s".into(), &"a2".into(), grant);
        assert_eq!(other.unwrap_err(), grants::Refused::NoGrant);
    }

    #[test]
    fn malformed_grants_are_refused() {
        for text in ["", "a1", "a1;x;1", "a1;1;", ";;", "a1;1;-1"] {
            assert_eq!(parse_grant(text), None, "{text}");
        }
        assert!(parse_grant("odd;name;1f;2").is_some());
    }
}
