//! Detects that a backend server became unreachable while a long request is sent to it. One that is alive
//! and does not read keeps its request until the request's deadline.

use std::time;

use super::Gateway;
use super::connecting::{ConnectError, Target};
use crate::transport::upstream;

/// How long a backend server may neither read nor show activity before it is checked.
const QUIET: time::Duration = time::Duration::from_millis(800);

/// Connection attempts before a backend server counts as unreachable, each with the connect timeout.
/// Several attempts tolerate packet loss.
const TRIES: usize = 4;

impl Gateway {
    /// Waits until a backend server is unreachable to which a request is being sent.
    pub(super) async fn until_unreachable(
        &self,
        to: &Target<'_>,
        is_direct: bool,
        stall: &upstream::Stall,
    ) {
        loop {
            stall.lasts(QUIET).await;
            if !self.is_reachable(to, is_direct).await {
                return;
            }
            stall.record_activity();
        }
    }

    /// Whether a backend server accepts or refuses a new connection on the same route: directly, or through
    /// another VM. A new connection is added to the pool.
    async fn is_reachable(&self, to: &Target<'_>, is_direct: bool) -> bool {
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
                // A refusal shows that the machine is reachable; other errors are local.
                Err(_) => return true,
            }
        }
        false
    }
}
