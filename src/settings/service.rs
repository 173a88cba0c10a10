//! Services, their operations and their objectives.

use crate::id;

data! {
    /// A service that backend servers run.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Its name, the first part of callers' paths.
        pub name: id::ServiceId,
        /// The availability zones that run it.
        pub azs: Vec<id::AzId>,
        /// Requests that one backend server works on at a time.
        pub slots: u32,
        /// Connections that one backend server bears.
        pub connections: u32,
        /// The largest share of the service's traffic that may move between places in one step,
        /// above 0 and at most 1.
        #[serde(default = "default_shift_cap")]
        pub shift_cap: f64,
        /// How long one step lasts, in milliseconds.
        #[serde(default = "default_shift_step_ms")]
        pub shift_step_ms: u64,
        /// The longest body of a request or an answer, in bytes.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: usize,
        /// What callers can ask of it. The first that matches counts.
        #[serde(rename = "operation")]
        pub operations: Vec<Operation>,
        /// What its owners promise.
        #[serde(default)]
        pub objective: Objective,
    }

    /// One kind of request.
    #[serde(deny_unknown_fields)]
    pub struct Operation {
        /// Its name in metrics and logs.
        pub name: String,
        /// The HTTP method.
        pub method: String,
        /// The path under the service, matched as a prefix.
        pub path: String,
        /// Whether running it twice equals running it once.
        pub idempotent: bool,
        /// What one answer counts.
        pub worth: u32,
        /// How long a caller waits for it where the caller does not say, in milliseconds.
        pub patience_ms: u64,
        /// How long a backend server usually works on it, in milliseconds.
        pub typical_ms: f64,
    }

    /// What the owners of a service promise.
    #[serde(deny_unknown_fields)]
    pub struct Objective {
        /// The share of requests that are answered, below 1.
        pub answered: f64,
        /// The share of answers that come within `latency_ms`, below 1.
        pub in_time: f64,
        /// The latency that counts as in time, in milliseconds.
        pub latency_ms: u64,
    }
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            answered: 0.999,
            in_time: 0.99,
            latency_ms: 500,
        }
    }
}

impl Service {
    /// The operation that a request asks for. `path` starts behind the service's name.
    pub fn operation(&self, method: &str, path: &str) -> Option<(usize, &Operation)> {
        self.operations
            .iter()
            .enumerate()
            .find(|(_, op)| op.method == method && path.starts_with(op.path.as_str()))
    }
}

fn default_shift_cap() -> f64 {
    0.2
}

fn default_shift_step_ms() -> u64 {
    10_000
}

fn default_max_body_bytes() -> usize {
    1 << 20
}
