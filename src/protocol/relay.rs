//! Messages with which an entry VM asks another one to connect to a backend server for it.

use crate::id;

data! {
    /// The first message on a link for a tunnel, sent by the VM that needs it.
    pub struct OpenRequest {
        /// The backend server to connect to, which the other VM must know from the store.
        pub backend: id::VmId,
    }

    /// The answer. After [`OpenAnswer::Opened`] the link carries the bytes of the connection.
    #[derive(Copy, Eq)]
    pub enum OpenAnswer {
        /// The connection is open.
        Opened,
        /// The backend server could not be reached.
        Unreachable,
        /// The other VM does not know the backend server.
        NotListed,
        /// The other VM reaches no backend servers itself.
        CutOff,
        /// The other VM carries as many tunnels as it can.
        Busy,
        /// The other VM is about to stop.
        Stopping,
    }
}

impl OpenAnswer {
    /// The answer as a log and metric value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Unreachable => "unreachable",
            Self::NotListed => "not listed",
            Self::CutOff => "cut off",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
        }
    }
}
