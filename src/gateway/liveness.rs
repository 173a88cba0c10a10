//! Finds out that a backend server is gone which takes nothing of a long request. One that lives and
//! reads nothing keeps its request, however long; only the request's own time ends it.

use std::time;

use super::Gateway;
use super::connecting::{ConnectError, Target};
use crate::transport::upstream;

/// How long a backend server may take nothing and give no sign of life until it is checked.
const QUIET: time::Duration = time::Duration::from_millis(800);

/// Connections that are tried before a backend server counts as gone, each for the connect timeout. A
/// few lost packets do not make it look gone.
const TRIES: usize = 4;

impl Gateway {
    /// Waits until a backend server is gone to which a request is being sent on a connection.
    pub(super) async fn gone(&self, to: &Target<'_>, is_direct: bool, stall: &upstream::Stall) {
        loop {
            stall.lasts(QUIET).await;
            if !self.lives(to, is_direct).await {
                return;
            }
            stall.note_life();
        }
    }

    /// Whether a backend server answers on the way of a connection: directly, or through another VM.
    /// A new connection is kept for requests.
    async fn lives(&self, to: &Target<'_>, is_direct: bool) -> bool {
        for _ in 0..TRIES {
            let opened = match is_direct {
                true => self.open(to.addr).await.map(|wire| self.connected(wire)),
                false => self.connect(to).await,
            };
            match opened {
                Ok(connection) => {
                    self.keep(to.backend, connection, None);
                    return true;
                }
                Err(ConnectError::TimedOut | ConnectError::Unreachable) => {}
                // It was refused, or nothing was tried.
                Err(_) => return true,
            }
        }
        false
    }
}
