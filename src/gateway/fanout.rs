//! Sends the store's records to followers: entry VMs that do not read the store. Each follower gets
//! a snapshot or a delta first and then each change. It is refused while this VM's records are old.

use std::time;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::broadcast;

use super::mirror::Mirror;
use crate::coordination::mirror as follow_order;
use crate::protocol::mirror;
use crate::transport::{self, memory};

/// Pause after a failed `accept`.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

impl Mirror {
    /// Serves other entry VMs until the process ends: followers, and VMs that are cut off from
    /// backend servers.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if !self.cx.admit_link() {
                        continue;
                    }
                    let mirror = self.clone();
                    self.cx.memory.spawn(memory::Owner::Links, async move {
                        // A disconnected or slow follower reconnects, here or to another VM.
                        if let Err(err) = mirror.serve_peer(stream).await {
                            slog::debug!(mirror.cx.log, "entry VM disconnected"; "why" => %err);
                        }
                    });
                }
                Err(err) => {
                    self.cx.record_accept_failure(&err);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits for current records, at most as long as the follower waits. If refused at once, the
    /// follower would retry repeatedly and be late by half its retry pause.
    async fn await_current(
        &self,
        updates: &mut broadcast::Receiver<Bytes>,
        wait_ms: u64,
        link: &mut transport::mirror::Link,
    ) {
        let until = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            tokio::select! {
                _ = updates.recv() => {}
                () = link.wait_closed() => return,
                () = tokio::time::sleep_until(until) => return,
            }
            if self.is_fresh() {
                return;
            }
        }
    }

    /// The changes since a revision, or a snapshot if removals since then are no longer known.
    fn delta_since(&self, since: mirror::Position) -> Result<Bytes, mirror::Error> {
        let unconfirmed = self.unconfirmed.borrow().records();
        let delta = self.records.borrow().delta_since(since, &unconfirmed);
        match delta {
            Some(delta) => Ok(mirror::encode(&delta)?.into()),
            None => self.snapshot(),
        }
    }

    /// All records, encoded once for all followers until the next change: when all VMs start at
    /// once, a copy per follower would fill a small VM's memory.
    fn snapshot(&self) -> Result<Bytes, mirror::Error> {
        let version = self.snapshot_version();
        let mut snapshot = self.snapshot.borrow_mut();
        if snapshot.0 != version || snapshot.1.is_empty() {
            let unconfirmed = self.unconfirmed.borrow().records();
            let message = self.records.borrow().snapshot(unconfirmed);
            *snapshot = (version, mirror::encode(&message)?.into());
        }
        Ok(snapshot.1.clone())
    }

    fn is_fresh(&self) -> bool {
        let age = self.cx.store_age();
        self.current.get() && age.is_some_and(|age| age <= follow_order::MAX_LEADER_STALENESS)
    }

    async fn serve_peer(
        &self,
        stream: tokio::net::TcpStream,
    ) -> Result<(), transport::mirror::Error> {
        let (mut link, purpose) = transport::mirror::Link::accept(stream).await?;
        if purpose == transport::mirror::Purpose::Tunnel {
            return self.cx.serve_tunnel(link).await;
        }
        let ask: mirror::FollowRequest = link.receive(follow_order::SILENCE_TIMEOUT).await?;
        let mut updates = self.updates.subscribe();
        if ask.fresh && !self.is_fresh() {
            self.await_current(&mut updates, ask.wait_ms, &mut link)
                .await;
        }
        let since = mirror::Position {
            epoch: ask.epoch,
            revision: ask.since,
        };
        // The follower has seen a later epoch of the store than this VM.
        let is_behind = since.epoch > self.records.borrow().position().epoch;
        if ask.fresh && (is_behind || !self.is_fresh()) {
            link.send(mirror::encode(&mirror::Message::NotReading)?.into())
                .await?;
            link.wait_closed().await;
            return Ok(());
        }
        self.send(&mut link, self.delta_since(since)?).await?;
        if !ask.fresh {
            link.wait_closed().await;
            return Ok(());
        }
        loop {
            let message = tokio::select! {
                message = updates.recv() => message,
                () = link.wait_closed() => return Ok(()),
            };
            let Ok(message) = message else {
                return Err(transport::mirror::Error::Timeout);
            };
            self.send(&mut link, message).await?;
        }
    }

    /// Sends a message, of which the link holds a copy until it is sent.
    async fn send(
        &self,
        link: &mut transport::mirror::Link,
        message: Bytes,
    ) -> Result<(), transport::mirror::Error> {
        let mut charge = self.cx.memory.charge(memory::Owner::Links);
        charge.set(message.len());
        link.send(message).await
    }
}
