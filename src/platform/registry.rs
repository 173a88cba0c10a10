//! Writes this VM's entry and crash reports to the platform's store.

use std::time;

use crate::gateway::{cluster_state, registering};
use crate::id;
use crate::protocol::mirror;
use crate::state::entries;

use super::{decode, names, store};

/// The store as one entry VM writes to it.
#[derive(Debug)]
pub struct Registry {
    key: String,
    client: store::Client,
}

impl Registry {
    /// A registry for a VM of an availability zone in the store at `addr`.
    pub fn new(addr: std::net::SocketAddr, az: &id::AzId, vm: &id::VmId) -> Self {
        Self {
            key: format!("{}{vm}", names::registration_prefix(az)),
            client: store::Client::new(addr),
        }
    }
}

impl registering::Registry for Registry {
    type Error = store::Error;

    fn record(&self, entry: &entries::Entry) -> Result<mirror::Record, store::Error> {
        Ok(mirror::Record {
            key: self.key.clone(),
            value: Some(decode::encode_entry(entry)?.into()),
        })
    }

    async fn lease(&mut self, ttl: time::Duration) -> Result<u64, store::Error> {
        self.client.lease(ttl).await
    }

    async fn renew(&mut self, lease: u64) -> Result<bool, store::Error> {
        match self.client.renew(lease).await {
            Ok(()) => Ok(true),
            Err(store::Error::Condition(_)) => Ok(false),
            Err(err) => Err(err),
        }
    }

    async fn end(&mut self, lease: u64) -> Result<(), store::Error> {
        self.client.end_lease(lease).await
    }

    async fn publish(&mut self, entry: &entries::Entry, lease: u64) -> Result<(), store::Error> {
        let value = decode::encode_entry(entry)?;
        self.client.put(&self.key, &value, lease).await
    }

    async fn publish_crashes(
        &mut self,
        crashes: &[cluster_state::Crash],
        lease: u64,
    ) -> Result<(), store::Error> {
        let keys: Vec<String> = crashes.iter().map(decode::crash_key).collect();
        for batch in keys.chunks(store::MAX_PUTS_PER_CALL) {
            self.client.put_all(batch, b"", lease).await?;
        }
        Ok(())
    }
}
