//! The platform's store over HTTP: one POST of a JSON [`Call`] and one JSON [`Reply`].
//!
//! A call that could not be sent did not take effect. A call that was sent and brought no reply
//! may have: only then is the error [`store::Error::Unknown`], and only for writes.

use std::net;
use std::time;

use super::store;
use store::Store;

/// How long a call other than a watch may take.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// What a watch may take beyond its own wait.
const WATCH_SLACK: time::Duration = time::Duration::from_secs(2);

data! {
    /// A call to the store.
    #[serde(rename_all = "snake_case", tag = "call")]
    pub enum Call {
        /// Reads one key.
        Get {
            /// The key.
            key: String,
        },
        /// Reads everything under a prefix.
        List {
            /// The prefix.
            prefix: String,
        },
        /// Writes one key under a condition.
        CompareAndSwap {
            /// The key.
            key: String,
            /// The revision that the key must still have.
            expect: store::Revision,
            /// The value.
            value: Vec<u8>,
            /// The lease that the key hangs on.
            lease: Option<store::LeaseId>,
        },
        /// Waits for writes.
        Watch {
            /// The prefix.
            prefix: String,
            /// Only writes after this revision.
            after: store::Revision,
            /// How long to wait, in milliseconds.
            wait_ms: u64,
        },
        /// Takes a lease.
        Grant {
            /// How long it lasts unless renewed, in milliseconds.
            ttl_ms: u64,
        },
        /// Renews a lease.
        Renew {
            /// The lease.
            lease: store::LeaseId,
        },
        /// Gives up a lease.
        Revoke {
            /// The lease.
            lease: store::LeaseId,
        },
        /// Reads the list of VMs.
        Vms,
    }

    /// The store's answer to a [`Call`].
    #[serde(rename_all = "snake_case", tag = "reply", content = "body")]
    pub enum Reply {
        /// To `Get`.
        Entry(Option<store::Entry>),
        /// To `List`.
        Snapshot(store::Snapshot),
        /// To `CompareAndSwap`.
        Written(store::Revision),
        /// To `Watch`.
        Watch(store::Watch),
        /// To `Grant`.
        Lease(store::LeaseId),
        /// To `Renew` and `Revoke`.
        Done,
        /// To `Vms`.
        Vms(Vec<store::Vm>),
        /// The key had another revision.
        Conflict {
            /// The key.
            key: String,
            /// Its revision now.
            now: store::Revision,
        },
        /// The lease is gone.
        LeaseGone,
        /// The value is too large.
        TooLarge(usize),
        /// The store takes no calls.
        Unavailable(String),
    }
}

/// A client of the store. Connections are kept and used again.
#[derive(Debug)]
pub struct Client {
    agent: ureq::Agent,
    url: String,
}

impl Client {
    /// A client of the store at `addr`. Connects on the first call.
    pub fn new(addr: net::SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            url: format!("http://{addr}/v1"),
        }
    }

    fn call(&self, call: &Call, timeout: time::Duration) -> Result<Reply, store::Error> {
        let body = serde_json::to_vec(call).expect("a call has only values that JSON can hold");
        let sent = self
            .agent
            .post(&self.url)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send(&body);
        let mut res = sent.map_err(|err| lost(call, &err))?;
        let text = res
            .body_mut()
            .read_to_vec()
            .map_err(|err| lost(call, &err))?;
        let reply = serde_json::from_slice(&text)
            .map_err(|err| store::Error::Unknown(format!("garbled reply: {err}")))?;
        match reply {
            Reply::Conflict { key, now } => Err(store::Error::Conflict { key, now }),
            Reply::LeaseGone => Err(store::Error::LeaseGone),
            Reply::TooLarge(len) => Err(store::Error::TooLarge(len)),
            Reply::Unavailable(why) => Err(store::Error::Unavailable(why)),
            reply => Ok(reply),
        }
    }
}

impl Store for Client {
    fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        let key = key.to_owned();
        match self.call(&Call::Get { key }, CALL_TIMEOUT)? {
            Reply::Entry(entry) => Ok(entry),
            other => Err(unexpected(&other)),
        }
    }

    fn list(&self, prefix: &str) -> Result<store::Snapshot, store::Error> {
        let prefix = prefix.to_owned();
        match self.call(&Call::List { prefix }, CALL_TIMEOUT)? {
            Reply::Snapshot(snapshot) => Ok(snapshot),
            other => Err(unexpected(&other)),
        }
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expect: store::Revision,
        value: &[u8],
        lease: Option<store::LeaseId>,
    ) -> Result<store::Revision, store::Error> {
        let call = Call::CompareAndSwap {
            key: key.to_owned(),
            expect,
            value: value.to_owned(),
            lease,
        };
        match self.call(&call, CALL_TIMEOUT)? {
            Reply::Written(revision) => Ok(revision),
            other => Err(unexpected(&other)),
        }
    }

    fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Watch, store::Error> {
        let call = Call::Watch {
            prefix: prefix.to_owned(),
            after,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        match self.call(&call, wait + WATCH_SLACK)? {
            Reply::Watch(watch) => Ok(watch),
            other => Err(unexpected(&other)),
        }
    }

    fn grant(&self, ttl: time::Duration) -> Result<store::LeaseId, store::Error> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        match self.call(&Call::Grant { ttl_ms }, CALL_TIMEOUT)? {
            Reply::Lease(lease) => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    fn renew(&self, lease: store::LeaseId) -> Result<(), store::Error> {
        match self.call(&Call::Renew { lease }, CALL_TIMEOUT)? {
            Reply::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    fn revoke(&self, lease: store::LeaseId) -> Result<(), store::Error> {
        match self.call(&Call::Revoke { lease }, CALL_TIMEOUT)? {
            Reply::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    fn vms(&self) -> Result<Vec<store::Vm>, store::Error> {
        match self.call(&Call::Vms, CALL_TIMEOUT)? {
            Reply::Vms(vms) => Ok(vms),
            other => Err(unexpected(&other)),
        }
    }
}

/// Only a refused connection is known not to have reached the store.
fn lost(call: &Call, err: &ureq::Error) -> store::Error {
    let not_sent = matches!(
        err,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound
    ) || matches!(err, ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused);
    let writes = matches!(call, Call::CompareAndSwap { .. } | Call::Grant { .. });
    if writes && !not_sent {
        store::Error::Unknown(err.to_string())
    } else {
        store::Error::Unavailable(err.to_string())
    }
}

fn unexpected(reply: &Reply) -> store::Error {
    store::Error::Unknown(format!("a reply of another kind: {reply:?}"))
}
