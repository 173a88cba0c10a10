//! The headers of the callers' side, and how their values are read.

use std::time;

use hyper::{HeaderMap, header};

/// The key under which a non-idempotent request runs at most once.
pub const KEY: &str = "idempotency-key";
/// The ticket prefix under which a caller's own key stands.
pub const TICKET: &str = "bulrushwind-ticket";
/// How long the caller waits, in milliseconds.
pub const TIMEOUT: &str = "bulrushwind-timeout-ms";
/// What became of the request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "bulrushwind-outcome";
/// The number of an attempt; a backend server that knows the header sends it back.
pub const REQUEST: &str = "bulrushwind-request";
/// The name under which operators find a request in logs and by `/explain`.
pub const REQUEST_ID: &str = "bulrushwind-request-id";
/// A backend server's word about itself.
pub const LOAD: &str = "bulrushwind-load";
/// The availability zone of the entry VM that sent a request across.
pub const ORIGIN_AZ: &str = "bulrushwind-origin-az";
/// The grant under which a request was sent across.
pub const GRANT: &str = "bulrushwind-grant";
/// The entry VM that passed a request on to the home of its key.
pub const VIA: &str = "bulrushwind-via";

/// The longest patience that a caller may state.
pub const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// The text of a header, or `None` where it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The caller's patience. `Ok(None)` where the caller does not say; `Err` with the bad text.
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

/// Whether a header belongs to one connection and must not be passed on.
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

/// Copies the headers that travel from end to end. Names listed in `Connection` stay behind too.
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
    fn headers_of_one_connection_stay_behind() {
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
