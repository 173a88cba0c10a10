//! Model of a backend server: slots behind a queue, cold starts, crashes, and delayed load reports.

use std::collections;
use std::time;

use crate::decisions::policy;
use crate::id;

/// Factor by which the first request on a cold backend server takes longer.
const COLD_FACTOR: f64 = 4.0;

/// Decay constant of the cold-start slowdown, in requests served.
const COLD_REQUESTS: f64 = 150.0;

/// Work that occupies a slot or waits in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Job {
    /// An attempt at a request, by its index.
    Send(usize),
    /// A probe from an entry VM, by the VM's index.
    Probe(usize),
}

#[derive(Debug)]
pub(super) struct Server {
    pub(super) id: id::VmId,
    pub(super) az: usize,
    pub(super) slots: usize,
    pub(super) backlog: usize,
    pub(super) running: Vec<Job>,
    pub(super) waiting: collections::VecDeque<Job>,
    pub(super) up: bool,
    pub(super) epoch: u32,
    pub(super) slow: f64,
    pub(super) fail_fast: bool,
    pub(super) lies: bool,
    pub(super) leaving: Option<policy::Moment>,
    pub(super) snapshot: policy::Report,
    served: Option<u32>,
}

impl Server {
    pub(super) fn new(id: id::VmId, az: usize, slots: u32, backlog: usize) -> Self {
        Self {
            id,
            az,
            slots: slots as usize,
            backlog,
            running: Vec::new(),
            waiting: collections::VecDeque::new(),
            up: true,
            epoch: 0,
            slow: 1.0,
            fail_fast: false,
            lies: false,
            leaving: None,
            snapshot: policy::Report {
                in_flight: 0,
                queued: 0,
                leaving: false,
            },
            served: None,
        }
    }

    pub(super) fn chill(&mut self) {
        self.served = Some(0);
    }

    /// Processing time of the next request, given its `work` on a warm, healthy backend server.
    pub(super) fn time_for(&mut self, work: time::Duration) -> time::Duration {
        let mut factor = self.slow;
        if let Some(served) = &mut self.served {
            factor *= 1.0 + (COLD_FACTOR - 1.0) * (-f64::from(*served) / COLD_REQUESTS).exp();
            *served += 1;
        }
        work.mul_f64(factor)
    }

    /// Updates the load report that is attached to answers.
    pub(super) fn refresh(&mut self) {
        self.snapshot = policy::Report {
            in_flight: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            leaving: self.leaving.is_some(),
        };
    }

    pub(super) fn report(&self) -> policy::Report {
        if !self.lies {
            return self.snapshot;
        }
        policy::Report {
            in_flight: 0,
            queued: 0,
            leaving: false,
        }
    }

    /// Stops the backend server and returns the running and queued jobs, which are lost.
    pub(super) fn crash(&mut self) -> Vec<Job> {
        self.up = false;
        self.epoch += 1;
        self.served = Some(0);
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.waiting));
        lost
    }
}
