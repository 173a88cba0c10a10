//! Ends requests and connections of callers that make no progress while others need what they hold.
//!
//! [`decisions::memory`](crate::decisions::memory) selects them. Memory: while the process's account is nearly used
//! up, connections are shed until half of it is free. File descriptors: a new caller gets the place of
//! a slow one if no connection is idle. Room at backend servers: where a request finds none, streamed
//! uploads that have stopped keep at most a quarter of what is in flight at the service.

use std::rc;
use std::time;

use metrics::{counter, gauge};

use super::Gateway;
use crate::decisions::memory as policy;
use crate::id;
use crate::metrics as metric_names;
use crate::transport::{callers, memory};

/// The time between two searches while memory is short.
const SHED_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// A request whose body is streamed.
#[derive(Debug)]
pub(super) struct Upload {
    service: id::ServiceId,
    caller: rc::Weak<callers::Cancellation>,
}

impl Gateway {
    /// Sheds callers without progress whenever memory is short, until the process ends.
    pub(super) async fn shed_slow_callers(self) {
        loop {
            self.memory.wait_short().await;
            let excess = self.memory.excess();
            let slow = self.slow_connections();
            let waiting = slow.len();
            let shed = policy::select_slowest(slow, excess);
            if let Some(left_out) = self.log_limiter.admit_rarely("memory", self.now()) {
                slog::warn!(self.log, "memory for callers is short"; "used" => self.memory.total(), "excess" => excess, "slow" => waiting, "shed" => shed.len(), "left_out" => left_out);
            }
            for connection in shed {
                connection.shed();
            }
            tokio::time::sleep(SHED_INTERVAL).await;
        }
    }

    /// All connections whose callers are waited for.
    fn slow_connections(&self) -> Vec<policy::Slow<rc::Rc<crate::transport::idle::Slot>>> {
        let now = time::Instant::now();
        let mut slow = self.reading.connections().slow(now);
        slow.extend(self.reading.operators().slow(now));
        slow
    }

    /// Notes a request whose body is streamed.
    pub(super) fn add_upload(
        &self,
        service: &id::ServiceId,
        caller: &rc::Rc<callers::Cancellation>,
    ) {
        let mut uploads = self.uploads.borrow_mut();
        uploads.retain(|upload| upload.caller.strong_count() > 0);
        uploads.push(Upload {
            service: service.clone(),
            caller: rc::Rc::downgrade(caller),
        });
    }

    /// Ends uploads of a service whose callers make no progress, since another request finds no room there.
    pub(super) fn end_stalled_uploads(&self, service: &id::ServiceId) {
        let uploads = self.uploads.borrow();
        if uploads.is_empty() {
            return;
        }
        let now = time::Instant::now();
        let of_service = uploads.iter().filter(|upload| upload.service == *service);
        let stalled = of_service.filter_map(|upload| {
            let caller = upload.caller.upgrade()?;
            let since = caller.stalled_since.get()?;
            Some((now.saturating_duration_since(since), caller))
        });
        let stalled = stalled.collect();
        let backends = self.backends.borrow();
        let in_flight: u32 = backends.of_service(service).map(|b| b.in_flight).sum();
        let mut ended = 0;
        for caller in policy::select_stalled(stalled, in_flight as usize) {
            caller.stalled_since.set(None);
            caller.end_stalled();
            ended += 1;
        }
        if ended == 0 {
            return;
        }
        let label = self.labels.label(service.as_str());
        counter!(metric_names::STALLED_UPLOADS, "service" => label).increment(ended);
        if let Some(left_out) = self.log_limiter.admit("stalled", self.now()) {
            slog::info!(self.log, "stalled uploads ended to make room"; "service" => %service, "ended" => ended, "in_flight" => in_flight, "left_out" => left_out);
        }
    }

    /// The memory that callers make this process hold, in bytes.
    pub fn caller_memory(&self) -> usize {
        self.memory.total()
    }

    /// Sets the gauges of memory by owner.
    pub(super) fn set_memory_gauges(&self) {
        for owner in memory::Owner::ALL {
            gauge!(metric_names::CALLER_MEMORY, "owner" => owner.as_str())
                .set(self.memory.used(*owner) as f64);
        }
    }
}
