//! Model of a backend server: slots behind a queue, cold starts, crashes, and delayed load reports.

use std::collections;
use std::time;

use crate::decisions::policy;
use crate::id;

/// Factor by which the first request on a cold backend server takes longer.
const COLD_FACTOR: f64 = 4.0;

/// Decay constant of the cold-start slowdown, in requests served.
const COLD_DECAY_REQUESTS: f64 = 150.0;

/// Work that occupies a slot or waits in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Job {
    /// An attempt at a request, by its index.
    Attempt(usize),
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
    pub(super) slowdown: f64,
    pub(super) fail_fast: bool,
    pub(super) false_reports: bool,
    pub(super) leaving: Option<policy::Moment>,
    pub(super) snapshot: policy::Report,
    served_since_cold: Option<u32>,
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
            slowdown: 1.0,
            fail_fast: false,
            false_reports: false,
            leaving: None,
            snapshot: policy::Report {
                in_flight: 0,
                queued: 0,
                leaving: false,
            },
            served_since_cold: None,
        }
    }

    pub(super) fn make_cold(&mut self) {
        self.served_since_cold = Some(0);
    }

    /// Processing time of the next request, given its `work` on a warm, healthy backend server.
    pub(super) fn processing_time(&mut self, work: time::Duration) -> time::Duration {
        let mut factor = self.slowdown;
        if let Some(served_since_cold) = &mut self.served_since_cold {
            factor *= 1.0
                + (COLD_FACTOR - 1.0)
                    * (-f64::from(*served_since_cold) / COLD_DECAY_REQUESTS).exp();
            *served_since_cold += 1;
        }
        work.mul_f64(factor)
    }

    /// Updates the load report that is attached to answers.
    pub(super) fn refresh_report(&mut self) {
        self.snapshot = policy::Report {
            in_flight: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            leaving: self.leaving.is_some(),
        };
    }

    pub(super) fn report(&self) -> policy::Report {
        if !self.false_reports {
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
        self.served_since_cold = Some(0);
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.waiting));
        lost
    }
}
