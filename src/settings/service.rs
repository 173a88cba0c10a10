//! Settings for services, their operations and their objectives.

use crate::id;

data! {
    /// A service that backend servers run.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name; the first segment of the path in callers' requests.
        pub name: id::ServiceId,
        /// Availability zones with backend servers of this service.
        pub azs: Vec<id::AzId>,
        /// Requests that one backend server processes concurrently.
        pub slots: u32,
        /// Connections that one backend server supports.
        pub connections: u32,
        /// Largest share of the service's traffic that may move between availability zones in one
        /// step, above 0 and at most 1.
        #[serde(default = "default_shift_cap")]
        pub shift_cap: f64,
        /// Duration of one step, in milliseconds.
        #[serde(default = "default_shift_step_ms")]
        pub shift_step_ms: u64,
        /// Largest request or answer body, in bytes.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: usize,
        /// Operations, in matching order: the first match applies.
        #[serde(rename = "operation")]
        pub operations: Vec<Operation>,
        /// Service-level objective.
        #[serde(default)]
        pub objective: Objective,
    }

    /// One type of request to a service.
    #[serde(deny_unknown_fields)]
    pub struct Operation {
        /// Name in metrics and logs.
        pub name: String,
        /// The HTTP method.
        pub method: String,
        /// Path prefix after the service name.
        pub path: String,
        /// Whether the operation is idempotent, so that it may run more than once.
        pub idempotent: bool,
        /// Value of one answer; under overload, higher value per second of work is served first.
        pub worth: u32,
        /// Default timeout when the caller specifies none, in milliseconds.
        pub patience_ms: u64,
        /// Typical processing time on a backend server, in milliseconds.
        pub typical_ms: f64,
    }

    /// A service-level objective.
    #[serde(deny_unknown_fields)]
    pub struct Objective {
        /// Share of requests to be answered, below 1.
        pub answered: f64,
        /// Share of answers to arrive within `latency_ms`, below 1.
        pub in_time: f64,
        /// Latency objective, in milliseconds.
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
    /// Index and settings of the operation that matches. `path` excludes the service name.
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
