//! Headers that callers and entry VMs exchange, and the parsing of their values.

use std::time;

use hyper::{HeaderMap, header};

/// The key under which a non-idempotent request runs at most once.
pub const KEY: &str = "idempotency-key";
/// The ticket that is prefixed to a key which the caller chose itself.
pub const TICKET: &str = "bulrushwind-ticket";
/// The caller's timeout, in milliseconds.
pub const TIMEOUT: &str = "bulrushwind-timeout-ms";
/// Outcome of the request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "bulrushwind-outcome";
/// Number of an attempt; a backend server that supports the header echoes it.
pub const REQUEST: &str = "bulrushwind-request";
/// The id by which operators find a request in logs and with `/explain`.
pub const REQUEST_ID: &str = "bulrushwind-request-id";
/// Load reported by a backend server.
pub const LOAD: &str = "bulrushwind-load";
/// Availability zone of the entry VM that forwarded a request to another availability zone.
pub const ORIGIN_AZ: &str = "bulrushwind-origin-az";
/// The grant under which a request was forwarded to another availability zone.
pub const GRANT: &str = "bulrushwind-grant";
/// The entry VM that forwarded a request to the VM that issued the ticket of its key.
pub const VIA: &str = "bulrushwind-via";

/// Maximum timeout that a caller may specify.
pub const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// The text of a header; `None` if it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses the caller's timeout: `Ok(None)` if the header is absent, `Err` with an invalid value.
pub fn timeout(headers: &HeaderMap) -> Result<Option<time::Duration>, String> {
    let Some(value) = headers.get(TIMEOUT) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
    let Ok(ms) = text.trim().parse() else {
        return Err(text);
    };
    let timeout = time::Duration::from_millis(ms);
    if timeout.is_zero() || timeout > MAX_TIMEOUT {
        return Err(text);
    }
    Ok(Some(timeout))
}

/// Whether a header applies to one connection only and must not be forwarded.
pub fn is_hop_by_hop(name: &header::HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "host"
            | "expect"
    )
}

/// Copies the end-to-end headers. Leaves out the headers that `Connection` lists.
pub fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut to = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        if !is_hop_by_hop(name) && !listed.iter().any(|l| l == name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
    to
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hop_by_hop_headers_are_not_forwarded() {
        let mut from = HeaderMap::new();
        from.insert("connection", "close, X-Private".parse().unwrap());
        from.insert("x-private", "1".parse().unwrap());
        from.insert("x-public", "1".parse().unwrap());
        let to = end_to_end(&from);
        assert_eq!(to.len(), 1);
        assert!(to.contains_key("x-public"));
    }

    #[test]
    fn a_timeout_is_a_number_of_milliseconds() {
        let mut headers = HeaderMap::new();
        assert_eq!(timeout(&headers), Ok(None));
        headers.insert(TIMEOUT, "250".parse().unwrap());
        let expected = time::Duration::from_millis(250);
        assert_eq!(timeout(&headers), Ok(Some(expected)));
        for bad in ["0", "-1", "soon", "600001"] {
            headers.insert(TIMEOUT, bad.parse().unwrap());
            assert_eq!(timeout(&headers), Err(bad.to_owned()));
        }
    }
}
