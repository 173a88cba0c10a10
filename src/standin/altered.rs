//! The naive policy with a change that a test chooses.

use crate::decisions::{naive, policy, quarantine};
use crate::{config, entry, id, settings};
use policy::{Action, Policy};

/// What a test changes.
pub trait Change: Clone + Send + Sync + 'static {
    /// A request arrives.
    fn arrive(
        &mut self,
        naive: &mut naive::Naive,
        now: policy::Moment,
        req: policy::Arrival,
        out: &mut Vec<Action>,
    );

    /// What other entry VMs are told.
    fn bans(&self) -> Vec<quarantine::Ban> {
        Vec::new()
    }
}

/// The naive policy with a change.
#[derive(Debug)]
pub struct Altered<C> {
    naive: naive::Naive,
    change: C,
}

/// Builds the naive policy with a change.
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
