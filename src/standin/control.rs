//! How tests and the example change a stand-in store that runs as a process of its own.

use std::io;
use std::net;
use std::time;

use super::store;
use crate::coordination::store as platform;
use crate::id;

/// The path of these calls, beside the store's own wire.
pub const PATH: &str = "/control";

data! {
    /// A change of the stand-in store.
    #[serde(rename_all = "snake_case", tag = "control")]
    pub enum Control {
        /// Puts a VM on the list, or changes its row.
        PutVm {
            /// The row.
            vm: platform::Vm,
        },
        /// Takes a VM off the list.
        RemoveVm {
            /// Its name.
            vm: id::VmId,
        },
        /// Switches faults on and off.
        Faults {
            /// Every call is refused.
            down: bool,
            /// Every call takes this much longer, in milliseconds.
            delay_ms: u64,
            /// So many of the next writes take effect but their reply is lost.
            lose_write_replies: u32,
        },
    }
}

/// Makes a change.
pub fn perform(memory: &store::Memory, control: Control) {
    match control {
        Control::PutVm { vm } => memory.put_vm(vm),
        Control::RemoveVm { vm } => memory.remove_vm(&vm),
        Control::Faults {
            down,
            delay_ms,
            lose_write_replies,
        } => memory.set_faults(store::Faults {
            down,
            delay: time::Duration::from_millis(delay_ms),
            lose_write_replies,
            ..store::Faults::default()
        }),
    }
}

/// Asks the stand-in store at `addr` for a change.
pub fn send(addr: net::SocketAddr, control: &Control) -> io::Result<()> {
    attohttpc::post(format!("http://{addr}{PATH}"))
        .text(serde_json::to_string(control)?)
        .send()
        .and_then(attohttpc::Response::error_for_status)
        .map_err(io::Error::other)?;
    Ok(())
}
