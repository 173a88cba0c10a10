//! Queries entry VMs through their operator listeners, with limits on time, size and concurrency.

use std::io::Read;
use std::net;
use std::time;

use super::Context;
use crate::coordination::store;
use crate::error;
use crate::protocol::operators;
use store::Store;

/// Timeout for one entry VM's answer.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest answer to read. An unrelated process on the address could send an endless one.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Maximum number of entry VMs queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// One entry VM's answer.
#[derive(Debug)]
pub struct Answer<T> {
    /// The queried address.
    pub addr: net::SocketAddr,
    /// The answer, or the error.
    pub result: Result<T, error::Error>,
}

/// Operator listener addresses of all entry VMs.
pub fn addresses(cx: &Context) -> Result<Vec<net::SocketAddr>, error::Error> {
    if !cx.deployment.entries.is_empty() {
        return Ok(cx.deployment.entries.clone());
    }
    let port = cx.deployment.operators_port.ok_or_else(|| {
        error::Error::Config(
            "no operator listener address is configured; set `operators_port` or `entries` in deployment.toml, BULRUSHWIND_ENTRIES or --entry"
                .to_owned(),
        )
    })?;
    let vms = cx.store()?.vms()?;
    let entries = vms
        .iter()
        .filter(|vm| matches!(vm.role, store::VmRole::Entry { .. }));
    Ok(entries
        .map(|vm| net::SocketAddr::new(vm.addr.ip(), port))
        .collect())
}

/// Queries the status at every address.
pub fn statuses(addrs: &[net::SocketAddr]) -> Vec<Answer<operators::Status>> {
    query_all(addrs, |addr| {
        let body = get(addr, "/status", "operators'")?;
        serde_json::from_slice(&body).map_err(|err| error::Error::Entry {
            addr: addr.to_string(),
            reason: format!("not a status: {err}"),
            listener: "operators'",
        })
    })
}

/// Queries every address with limited concurrency; answers are in the order of `addrs`.
pub fn query_all<T: Send>(
    addrs: &[net::SocketAddr],
    query: impl Fn(net::SocketAddr) -> Result<T, error::Error> + Sync,
) -> Vec<Answer<T>> {
    let mut answers = Vec::new();
    for chunk in addrs.chunks(MAX_CONCURRENT_REQUESTS) {
        std::thread::scope(|scope| {
            let threads: Vec<_> = chunk
                .iter()
                .map(|addr| (*addr, scope.spawn(|| query(*addr))))
                .collect();
            for (addr, thread) in threads {
                let result = thread.join().expect("a query does not panic");
                answers.push(Answer { addr, result });
            }
        });
    }
    answers
}

/// Sends a GET request to an entry VM and returns the body. Only a success status is accepted.
pub fn get(
    addr: net::SocketAddr,
    path: &str,
    listener: &'static str,
) -> Result<Vec<u8>, error::Error> {
    let fault = |reason: String| error::Error::Entry {
        addr: addr.to_string(),
        reason,
        listener,
    };
    let res = attohttpc::get(format!("http://{addr}{path}"))
        .timeout(REQUEST_TIMEOUT)
        .connect_timeout(REQUEST_TIMEOUT)
        .follow_redirects(false)
        .send()
        .map_err(|err| fault(err.to_string()))?;
    let status = res.status();
    let mut body = Vec::new();
    res.split()
        .2
        .take(MAX_ANSWER_BYTES)
        .read_to_end(&mut body)
        .map_err(|err| fault(err.to_string()))?;
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        return Err(fault(format!("answered {status}: {}", text.trim())));
    }
    Ok(body)
}
