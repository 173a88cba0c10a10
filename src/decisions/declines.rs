//! Detects a service whose backend servers refuse requests although they have free slots.
//!
//! Load pattern: a fault behind a service makes all its backend servers refuse part of their
//! requests, whether busy or idle. If each refusal counts as overload, it pauses a backend server
//! and lowers its limit, and soon most requests find none that accepts them. The symptom is
//! refusals for lack of room while slots are free.
//!
//! A refusal that reports free slots and an empty queue is not overload. If one of many backend
//! servers sends such refusals, pausing it is right, because others answer. If most do, pausing
//! them only removes capacity, and the next one is as likely to answer as any other.

/// The weight of one send in the moving average, which covers about the last twenty sends.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The ratio of refusals despite room above which they are attributed to the service and not to
/// single backend servers. A third: operators replace at most that many at once.
const SERVICE_WIDE_RATIO: f64 = 0.33;

/// The ratio of a service's sends that are refused although there is room.
#[derive(Clone, Copy, Debug, Default)]
pub struct Declines {
    ratio: f64,
}

impl Declines {
    /// Records a send that was answered, or refused despite room.
    pub fn sent(&mut self, declined: bool) {
        self.ratio += (f64::from(u8::from(declined)) - self.ratio) * SAMPLE_WEIGHT;
    }

    /// Whether refusals despite room affect the service as a whole.
    pub fn is_service_wide(&self) -> bool {
        self.ratio > SERVICE_WIDE_RATIO
    }
}
