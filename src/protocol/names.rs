//! Names of the header fields of requests and answers that a deployment can configure.

use super::headers;

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
    /// In-flight requests, queued requests and slots, separated by commas.
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

/// Parses the load that an answer reports: in-flight requests, queued requests and slots.
pub fn parse_load(text: &str) -> Option<(u32, u32, u32)> {
    let mut parts = text.split(',').map(|part| part.trim().parse().ok());
    Some((parts.next()??, parts.next()??, parts.next()??))
}
