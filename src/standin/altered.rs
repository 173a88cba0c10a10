//! The naive routing policy with its arrival handling replaced by a test.

use crate::decisions::{naive, policy, quarantine};
use crate::{config, entry, id, settings};
use policy::{Action, Policy};

/// Replacement behaviour that a test supplies.
pub trait Change: Clone + Send + Sync + 'static {
    /// Handles a request's arrival, optionally through the `naive` policy.
    fn arrive(
        &mut self,
        naive: &mut naive::Naive,
        now: policy::Moment,
        req: policy::Arrival,
        out: &mut Vec<Action>,
    );

    /// The quarantine bans to send to other entry VMs.
    fn bans(&self) -> Vec<quarantine::Ban> {
        Vec::new()
    }
}

/// A naive policy whose arrivals and bans come from a [`Change`].
#[derive(Debug)]
pub struct Altered<C> {
    naive: naive::Naive,
    change: C,
}

/// Builds an [`Altered`] policy for each service.
#[derive(Clone, Debug)]
pub struct Make<C>(pub C);

impl<C: Change> entry::MakePolicy for Make<C> {
    type Policy = Altered<C>;

    fn make(
        &self,
        _cfg: &config::Config,
        _settings: &settings::Settings,
        _service: &settings::Service,
    ) -> Altered<C> {
        Altered {
            naive: naive::Naive::new(naive::Config::default()),
            change: self.0.clone(),
        }
    }
}

impl<C: Change> Policy for Altered<C> {
    fn arrive(&mut self, now: policy::Moment, req: policy::Arrival, out: &mut Vec<Action>) {
        self.change.arrive(&mut self.naive, now, req, out);
    }

    fn bans(&mut self, _now: policy::Moment) -> Vec<quarantine::Ban> {
        self.change.bans()
    }

    fn ended(
        &mut self,
        now: policy::Moment,
        req: policy::RequestId,
        at: &policy::Destination,
        how: policy::AttemptOutcome,
        report: Option<policy::Report>,
        out: &mut Vec<Action>,
    ) {
        self.naive.ended(now, req, at, how, report, out);
    }

    fn caller_gone(&mut self, now: policy::Moment, req: policy::RequestId, out: &mut Vec<Action>) {
        self.naive.caller_gone(now, req, out);
    }

    fn tick(&mut self, now: policy::Moment, out: &mut Vec<Action>) {
        self.naive.tick(now, out);
    }

    fn set_backends(
        &mut self,
        now: policy::Moment,
        backends: &[policy::Backend],
        out: &mut Vec<Action>,
    ) {
        self.naive.set_backends(now, backends, out);
    }

    fn report(
        &mut self,
        now: policy::Moment,
        from: &id::VmId,
        report: Option<policy::Report>,
        out: &mut Vec<Action>,
    ) {
        self.naive.report(now, from, report, out);
    }
}
