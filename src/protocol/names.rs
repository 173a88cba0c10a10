//! Names of the header fields of requests and answers that a deployment can configure.

use super::{headers, stated};

/// The names of the fields; a deployment may configure them.
#[derive(Clone, Copy, Debug)]
pub struct Names {
    /// Id of a request; backend servers echo it.
    pub id: &'static str,
    /// The sender's timeout, in milliseconds.
    pub timeout_ms: &'static str,
    /// Incarnation of the backend server to which the request is addressed.
    pub instance: &'static str,
    /// Present if the backend server did not run the request.
    pub not_run: &'static str,
    /// Present on every complete answer of a backend server.
    pub proof: &'static str,
    /// In-flight requests, queued requests and slots, and the pace in percent of the usual duration
    /// of work if the service states it, separated by commas.
    pub load: &'static str,
    /// Requests per second that a backend server accepts from all entry VMs together.
    pub rate_limit: &'static str,
    /// `1` in all answers of a backend server that leaves.
    pub leaving: &'static str,
    /// Name of the cookie that identifies the object of a request.
    pub object_cookie: &'static str,
    /// A customer's key. It is never sent to backend servers.
    pub key: &'static str,
    /// Name of the customer, for backend servers. A value that the caller sets is ignored.
    pub customer: &'static str,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            id: headers::REQUEST_ID,
            timeout_ms: headers::TIMEOUT,
            instance: "bulrushwind-instance",
            not_run: "bulrushwind-shed",
            proof: headers::REQUEST,
            load: headers::LOAD,
            rate_limit: "bulrushwind-rate-limit",
            leaving: "bulrushwind-leaving",
            object_cookie: "bulrushwind-object",
            key: "bulrushwind-key",
            customer: "bulrushwind-customer",
        }
    }
}

impl Names {
    /// Whether a field identifies the customer. Case and the difference between underscore and hyphen
    /// are ignored, because many servers treat such spellings as equal.
    pub fn identifies_customer(&self, field: &[u8]) -> bool {
        let matches_name = |name: &str| {
            let normalize = |b: &u8| match b {
                b'_' => b'-',
                b => b.to_ascii_lowercase(),
            };
            name.len() == field.len()
                && name
                    .as_bytes()
                    .iter()
                    .map(normalize)
                    .eq(field.iter().map(normalize))
        };
        matches_name(self.key) || matches_name(self.customer)
    }
}

/// The value of a cookie in a `Cookie` field.
pub fn cookie<'a>(field: &'a str, name: &str) -> Option<&'a str> {
    field.split(';').find_map(|pair| {
        let (key, value) = pair.trim().split_once('=')?;
        (key == name).then_some(value)
    })
}

/// The load that an answer reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests in work.
    pub running: u32,
    /// Requests in the backend server's queue.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
    /// The current duration of work relative to the usual; 1: as usual.
    pub pace: stated::Stated<f64>,
}

impl Load {
    /// Whether a request would run at once.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.slots && self.waiting == 0
    }
}

/// Parses the load that an answer reports. Values after the fourth are ignored, so that a backend
/// server of a later version can add some.
pub fn parse_load(value: &[u8]) -> Option<Load> {
    let parts = value.split(|b| *b == b',');
    // One that is no text is invalid by itself and leaves the others valid.
    let mut parts = parts.map(|part| str::from_utf8(part).unwrap_or_default().trim());
    let mut count = || parts.next()?.parse().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    Some(Load {
        running,
        waiting,
        slots,
        pace: parts.next().map_or(stated::Stated::Absent, parse_pace),
    })
}

/// Parses a pace in percent.
fn parse_pace(text: &str) -> stated::Stated<f64> {
    /// Work a hundred times as long as usual; more is a fault of the report.
    const MAX_PERCENT: f64 = 10_000.0;
    match stated::decimal(text) {
        Some(percent) if (1.0..=MAX_PERCENT).contains(&percent) => {
            stated::Stated::Value(percent / 100.0)
        }
        _ => stated::Stated::Invalid,
    }
}
