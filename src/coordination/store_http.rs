//! Calls the platform's store over HTTP: a POST of a JSON [`Call`], answered by a JSON [`Reply`].
//!
//! A call that could not be sent did not take effect. A write that was sent but got no valid reply
//! may have; it returns [`store::Error::Unknown`].

use std::net;
use std::time;

use super::store;
use store::Store;

/// The timeout of any call except a watch.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How much the timeout of a watch exceeds its wait.
const WATCH_SLACK: time::Duration = time::Duration::from_secs(2);

data! {
    /// A call to the store.
    #[serde(rename_all = "snake_case", tag = "call")]
    pub enum Call {
        /// Reads one key.
        Get {
            /// The key to read.
            key: String,
        },
        /// Reads everything under a prefix.
        List {
            /// The common prefix of the keys to read.
            prefix: String,
        },
        /// Writes one key under a condition.
        CompareAndSwap {
            /// The key to write.
            key: String,
            /// The expected revision of the key.
            expect: store::Revision,
            /// The new value.
            value: Vec<u8>,
            /// The lease that the key depends on.
            lease: Option<store::LeaseId>,
        },
        /// Waits for writes.
        Watch {
            /// The common prefix of the watched keys.
            prefix: String,
            /// Return only writes after this revision.
            after: store::Revision,
            /// The longest wait, in milliseconds.
            wait_ms: u64,
        },
        /// Takes a lease.
        Grant {
            /// The time until it expires unless renewed, in milliseconds.
            ttl_ms: u64,
        },
        /// Renews a lease.
        Renew {
            /// The lease to renew.
            lease: store::LeaseId,
        },
        /// Gives up a lease.
        Revoke {
            /// The lease to end.
            lease: store::LeaseId,
        },
        /// Reads the list of VMs.
        Vms,
    }

    /// The store's reply to a [`Call`].
    #[serde(rename_all = "snake_case", tag = "reply", content = "body")]
    pub enum Reply {
        /// Reply to `Get`.
        Entry(Option<store::Entry>),
        /// Reply to `List`.
        Snapshot(store::Snapshot),
        /// Reply to `CompareAndSwap`: the new revision.
        Written(store::Revision),
        /// Reply to `Watch`.
        Watch(store::Watch),
        /// Reply to `Grant`.
        Lease(store::LeaseId),
        /// Reply to `Renew` and `Revoke`.
        Done,
        /// Reply to `Vms`.
        Vms(Vec<store::Vm>),
        /// The key has another revision than expected.
        Conflict {
            /// The key.
            key: String,
            /// Its current revision.
            now: store::Revision,
        },
        /// The lease does not exist.
        LeaseGone,
        /// The value, of this many bytes, is too large.
        TooLarge(usize),
        /// The store accepts no calls now, for this reason.
        Unavailable(String),
    }
}

/// A client of the store. It reuses connections.
#[derive(Debug)]
pub struct Client {
    agent: ureq::Agent,
    url: String,
}

impl Client {
    /// A client of the store at `addr`. It connects on the first call.
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
        let body = serde_json::to_vec(call).expect("every call can be encoded as JSON");
        let sent = self
            .agent
            .post(&self.url)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send(&body);
        let mut res = sent.map_err(|err| call_error(call, &err))?;
        let text = res
            .body_mut()
            .read_to_vec()
            .map_err(|err| call_error(call, &err))?;
        let reply = serde_json::from_slice(&text)
            .map_err(|err| store::Error::Unknown(format!("invalid reply: {err}")))?;
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
            other => Err(unexpected_reply(&other)),
        }
    }

    fn list(&self, prefix: &str) -> Result<store::Snapshot, store::Error> {
        let prefix = prefix.to_owned();
        match self.call(&Call::List { prefix }, CALL_TIMEOUT)? {
            Reply::Snapshot(snapshot) => Ok(snapshot),
            other => Err(unexpected_reply(&other)),
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
            other => Err(unexpected_reply(&other)),
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
            other => Err(unexpected_reply(&other)),
        }
    }

    fn grant(&self, ttl: time::Duration) -> Result<store::LeaseId, store::Error> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        match self.call(&Call::Grant { ttl_ms }, CALL_TIMEOUT)? {
            Reply::Lease(lease) => Ok(lease),
            other => Err(unexpected_reply(&other)),
        }
    }

    fn renew(&self, lease: store::LeaseId) -> Result<(), store::Error> {
        match self.call(&Call::Renew { lease }, CALL_TIMEOUT)? {
            Reply::Done => Ok(()),
            other => Err(unexpected_reply(&other)),
        }
    }

    fn revoke(&self, lease: store::LeaseId) -> Result<(), store::Error> {
        match self.call(&Call::Revoke { lease }, CALL_TIMEOUT)? {
            Reply::Done => Ok(()),
            other => Err(unexpected_reply(&other)),
        }
    }

    fn vms(&self) -> Result<Vec<store::Vm>, store::Error> {
        match self.call(&Call::Vms, CALL_TIMEOUT)? {
            Reply::Vms(vms) => Ok(vms),
            other => Err(unexpected_reply(&other)),
        }
    }
}

/// Only calls that failed to connect are known not to have reached the store.
fn call_error(call: &Call, err: &ureq::Error) -> store::Error {
    let not_sent = matches!(
        err,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound
    ) || matches!(err, ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused);
    let is_write = matches!(call, Call::CompareAndSwap { .. } | Call::Grant { .. });
    if is_write && !not_sent {
        store::Error::Unknown(err.to_string())
    } else {
        store::Error::Unavailable(err.to_string())
    }
}

fn unexpected_reply(reply: &Reply) -> store::Error {
    store::Error::Unknown(format!("unexpected kind of reply: {reply:?}"))
}
