//! Finds out whether a backend server crashed when the connection of a request to it broke.

use tokio::task;

use super::cluster_state::Crash;
use super::connecting::{ConnectError, Target};
use super::{Gateway, attempt, placement};
use crate::decisions::{crashes, policy};
use crate::protocol::routes;
use crate::transport::upstream;

impl Gateway {
    /// Infers from a send's outcome whether the backend server crashed.
    pub(super) fn detect_crash(
        &self,
        job: &attempt::Job,
        at: &placement::Run,
        outcome: &attempt::Outcome,
    ) {
        match outcome {
            attempt::Outcome::Unknown(upstream::Failure::Lost) => {
                let mut crashes = self.crashes.borrow_mut();
                let now = self.now();
                let since = now.saturating_sub(crashes::CONFIRM_AFTER);
                let is_due = crashes.broke_since(since, &at.name);
                crashes.connection_broke(now, job.fingerprint, &at.name);
                if !is_due {
                    task::spawn_local(self.clone().confirm_crash(at.clone(), now));
                }
            }
            // A connection that hangs or that this VM cannot open shows nothing of the process.
            attempt::Outcome::NotRun(attempt::NotRun::NoConnection(ConnectError::Refused)) => {
                let crashed = self
                    .crashes
                    .borrow_mut()
                    .connection_refused(self.now(), &at.name);
                self.record_run_crash(&at.name, crashed);
            }
            _ => {}
        }
    }

    /// Finds out whether a backend server whose connection broke has crashed. With few requests no other
    /// one would connect to it before it is back. A connection that opens is kept for requests.
    async fn confirm_crash(self, at: placement::Run, broke_at: policy::Moment) {
        tokio::time::sleep(crashes::CONFIRM_AFTER).await;
        if !self.crashes.borrow().broke_since(broke_at, &at.name) {
            return;
        }
        let addr = {
            let backends = self.backends.borrow();
            let known = backends.get(&at.id).filter(|b| at.is_of(b));
            let Some(backend) = known else {
                return;
            };
            backend.listed.addr
        };
        let to = Target {
            backend: &at.id,
            addr,
            regions: routes::AllowedRegions::default(),
        };
        match self.connect(&to).await {
            Ok(connection) => self.keep(&at.id, connection, None),
            Err(ConnectError::Refused) => {
                let now = self.now();
                let crashed = self.crashes.borrow_mut().connection_refused(now, &at.name);
                self.record_run_crash(&at.name, crashed);
            }
            // This shows nothing of the process.
            Err(_) => {}
        }
    }

    /// Records that a run of a backend server crashed with these requests in flight.
    pub(super) fn record_run_crash(&self, run: &str, fingerprints: Vec<u64>) {
        let crashed: Vec<Crash> = fingerprints
            .into_iter()
            .map(|fingerprint| Crash {
                fingerprint,
                run: run.to_owned(),
            })
            .collect();
        for crash in &crashed {
            self.apply_crash_report(crash, true);
        }
        self.queue_crash_reports(crashed);
    }
}
