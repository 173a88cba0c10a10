//! Baseline policy for comparison: round robin, no limit on the requests at a backend server, three
//! retries. It handles no load pattern and is the reference in differential tests and load models.

use std::collections;
use std::time;

use super::policy;
use crate::id;
use policy::{Action, AttemptOutcome, Destination, Policy, Refusal, RequestOutcome};

/// Time after which a refused caller may retry.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Retry settings of the baseline.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Attempts after the first.
    pub retries: u32,
    /// Also retry non-idempotent requests of unknown outcome, which can cause duplicate runs.
    pub retry_unknown: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            retries: 3,
            retry_unknown: false,
        }
    }
}

#[derive(Debug)]
struct Pending {
    req: policy::Arrival,
    retries_left: u32,
    maybe_run: bool,
}

/// Sends each request at once, round robin.
#[derive(Debug, Default)]
pub struct Naive {
    cfg: Config,
    backends: Vec<id::VmId>,
    next: usize,
    pending: collections::HashMap<policy::RequestId, Pending>,
}

impl Naive {
    /// Creates a policy without backend servers.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    fn send(&mut self, id: policy::RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        if self.backends.is_empty() {
            return self.settle(id, Refusal::NoBackend, out);
        }
        self.next = (self.next + 1) % self.backends.len();
        out.push(Action::Send {
            req: id,
            to: Destination::Backend(self.backends[self.next].clone()),
            deadline: pending.req.deadline,
        });
    }

    fn settle(&mut self, id: policy::RequestId, why: Refusal, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let fate = if pending.maybe_run {
            RequestOutcome::Unknown {
                retry_after: RETRY_AFTER,
            }
        } else {
            RequestOutcome::NotRun {
                why,
                retry_after: RETRY_AFTER,
            }
        };
        out.push(Action::Settle { req: id, fate });
    }
}

impl Policy for Naive {
    fn arrive(&mut self, _now: policy::Moment, req: policy::Arrival, out: &mut Vec<Action>) {
        let id = req.id;
        let pending = Pending {
            req,
            retries_left: self.cfg.retries,
            maybe_run: false,
        };
        self.pending.insert(id, pending);
        self.send(id, out);
    }

    fn ended(
        &mut self,
        now: policy::Moment,
        req: policy::RequestId,
        _at: &Destination,
        how: AttemptOutcome,
        _report: Option<policy::Report>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&req) else {
            return;
        };
        if matches!(how, AttemptOutcome::Answered | AttemptOutcome::Failed) {
            self.pending.remove(&req);
            let fate = RequestOutcome::Answer;
            return out.push(Action::Settle { req, fate });
        }
        let may_have_run = !matches!(how, AttemptOutcome::Shed | AttemptOutcome::NotSent);
        pending.maybe_run |= may_have_run && !pending.req.idempotent;
        let may_resend = pending.req.idempotent || !pending.maybe_run || self.cfg.retry_unknown;
        if may_resend && pending.retries_left > 0 && now < pending.req.deadline {
            pending.retries_left -= 1;
            return self.send(req, out);
        }
        pending.maybe_run |= may_have_run;
        self.settle(req, Refusal::Shed, out);
    }

    fn caller_gone(
        &mut self,
        _now: policy::Moment,
        _req: policy::RequestId,
        _out: &mut Vec<Action>,
    ) {
    }

    fn tick(&mut self, _now: policy::Moment, _out: &mut Vec<Action>) {}

    fn set_backends(
        &mut self,
        _now: policy::Moment,
        backends: &[policy::Backend],
        _out: &mut Vec<Action>,
    ) {
        self.backends = backends
            .iter()
            .filter(|b| !b.leaving)
            .map(|b| b.id.clone())
            .collect();
    }

    fn report(
        &mut self,
        _now: policy::Moment,
        _from: &id::VmId,
        _report: Option<policy::Report>,
        _out: &mut Vec<Action>,
    ) {
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn arrival(idempotent: bool) -> policy::Arrival {
        policy::Arrival {
            id: policy::RequestId(1),
            caller: policy::CallerId(1),
            fingerprint: policy::Fingerprint(1),
            origin: policy::Origin::Caller,
            idempotent,
            worth: 1,
            typical: time::Duration::from_millis(5),
            deadline: time::Duration::from_secs(1),
            bytes: 100,
        }
    }

    fn naive() -> Naive {
        let mut naive = Naive::new(Config::default());
        let backends = ["a", "b"].map(|id| policy::Backend {
            id: id.into(),
            slots: 3,
            leaving: false,
        });
        naive.set_backends(policy::Moment::ZERO, &backends, &mut Vec::new());
        naive
    }

    /// A backend server crashes during a booking. A second run could bill one bay to two members.
    #[test]
    fn a_lost_booking_is_not_sent_again() {
        let (mut naive, mut out) = (naive(), Vec::new());
        naive.arrive(policy::Moment::ZERO, arrival(false), &mut out);
        let Some(Action::Send { req, to, .. }) = out.pop() else {
            panic!("nothing was sent");
        };
        let now = time::Duration::from_millis(1);
        naive.ended(now, req, &to, AttemptOutcome::Lost, None, &mut out);
        let settled = matches!(
            out[..],
            [Action::Settle {
                fate: RequestOutcome::Unknown { .. },
                ..
            }]
        );
        assert!(settled, "{out:?}");
    }

    #[test]
    fn a_lost_read_is_sent_elsewhere() {
        let (mut naive, mut out) = (naive(), Vec::new());
        naive.arrive(policy::Moment::ZERO, arrival(true), &mut out);
        let Some(Action::Send { req, to, .. }) = out.pop() else {
            panic!("nothing was sent");
        };
        let now = time::Duration::from_millis(1);
        naive.ended(now, req, &to, AttemptOutcome::Lost, None, &mut out);
        assert!(matches!(&out[..], [Action::Send { to: next, .. }] if *next != to));
    }
}
