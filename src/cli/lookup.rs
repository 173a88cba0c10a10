//! Shows the answer that callers get to a look-up of a service.

use std::net;

use super::{Context, args, entries};
use crate::coordination::store;
use crate::protocol::target;
use crate::{error, exit_codes};
use store::Store;

/// Queries entry VMs one by one until one answers. Fails with the last error.
pub fn run(cx: &Context, args: &args::Lookup) -> Result<exit_codes::ExitCode, error::Error> {
    let path = target::Target::new("/lookup").segment(args.service.as_str());
    let mut last_error = error::Error::Config(
        "the platform lists no entry VM; give the address of a caller listener with --at"
            .to_owned(),
    );
    for addr in addresses(cx, args)? {
        match entries::get(addr, path.as_str(), "callers'") {
            Ok(body) => return print(cx, addr, &body),
            Err(err) => last_error = err,
        }
    }
    Err(last_error)
}

fn addresses(cx: &Context, args: &args::Lookup) -> Result<Vec<net::SocketAddr>, error::Error> {
    if let Some(at) = args.at {
        return Ok(vec![at]);
    }
    let vms = cx.store()?.vms()?;
    let entries = vms
        .iter()
        .filter(|vm| matches!(vm.role, store::VmRole::Entry { .. }));
    Ok(entries.map(|vm| vm.addr).collect())
}

fn print(
    cx: &Context,
    addr: net::SocketAddr,
    body: &[u8],
) -> Result<exit_codes::ExitCode, error::Error> {
    let answer: serde_json::Value =
        serde_json::from_slice(body).map_err(|err| error::Error::Entry {
            addr: addr.to_string(),
            reason: format!("not a look-up's answer: {err}"),
            listener: "callers'",
        })?;
    cx.out.json(&answer);
    cx.out.line(&format!("asked {addr}"));
    let rows = answer.as_object().into_iter().flatten();
    for (name, value) in rows {
        cx.out.line(&format!("{name}: {value}"));
    }
    Ok(exit_codes::ExitCode::Success)
}
