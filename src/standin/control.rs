//! Control calls by which tests and examples change a stand-in store in another process.

use std::io;
use std::net;
use std::time;

use super::store;
use crate::coordination::store as platform;
use crate::id;

/// HTTP path of the control calls, separate from the store's own protocol.
pub const PATH: &str = "/control";

data! {
    /// A change to the stand-in store.
    #[serde(rename_all = "snake_case", tag = "control")]
    pub enum Control {
        /// Adds a VM to the list or replaces its row.
        PutVm {
            /// The row.
            vm: platform::Vm,
        },
        /// Removes a VM from the list.
        RemoveVm {
            /// The VM's name.
            vm: id::VmId,
        },
        /// Replaces the set of active faults.
        Faults {
            /// Every call is refused.
            down: bool,
            /// Delay added to every call, in milliseconds.
            delay_ms: u64,
            /// Number of upcoming writes that take effect but whose reply is lost.
            lose_write_replies: u32,
        },
    }
}

/// Applies a change to the store.
pub fn apply(memory: &store::Memory, control: Control) {
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

/// Sends a change to the stand-in store at `addr`.
pub fn send(addr: net::SocketAddr, control: &Control) -> io::Result<()> {
    attohttpc::post(format!("http://{addr}{PATH}"))
        .text(serde_json::to_string(control)?)
        .send()
        .and_then(attohttpc::Response::error_for_status)
        .map_err(io::Error::other)?;
    Ok(())
}
