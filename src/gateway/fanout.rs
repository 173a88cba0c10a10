//! Feeding followers: other entry VMs hear from this one what is known of the platform's store.

use std::time;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::broadcast;
use tokio::task;

use super::mirror::Mirror;
use crate::coordination::mirror as order;
use crate::protocol::mirror;
use crate::transport;

/// The pause after a connection could not be accepted.
const RETRY: time::Duration = time::Duration::from_millis(250);

impl Mirror {
    /// Feeds followers until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let mirror = self.clone();
                    task::spawn_local(async move {
                        // A follower that leaves or is too slow dials again, or another VM.
                        if let Err(err) = mirror.feed(stream).await {
                            slog::debug!(mirror.cx.log, "follower lost"; "why" => %err);
                        }
                    });
                }
                Err(err) => {
                    slog::warn!(self.cx.log, "cannot accept a connection"; "error" => %err);
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    /// Waits until what is known is current, for as long as the follower waits. Refused at once, it would
    /// ask again and again and be late by half of that pause.
    async fn await_current(
        &self,
        news: &mut broadcast::Receiver<Bytes>,
        wait_ms: u64,
        link: &mut transport::mirror::Link,
    ) {
        let until = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            tokio::select! {
                _ = news.recv() => {}
                () = link.closed() => return,
                () = tokio::time::sleep_until(until) => return,
            }
            if self.is_fresh() {
                return;
            }
        }
    }

    /// What changed since a revision, or a snapshot where that is no longer known.
    fn delta_since(&self, since: u64) -> Result<Bytes, mirror::Error> {
        let delta = self.records.borrow().delta_since(since);
        match delta {
            Some(delta) => Ok(mirror::encode(&delta)?.into()),
            None => self.snapshot(),
        }
    }

    /// All that is known, encoded once for all followers that come before it changes.
    ///
    /// When all VMs start at once, a copy for each follower would fill a small VM's memory.
    fn snapshot(&self) -> Result<Bytes, mirror::Error> {
        let records = self.records.borrow();
        let mut snapshot = self.snapshot.borrow_mut();
        if snapshot.0 != records.version() || snapshot.1.is_empty() {
            *snapshot = (
                records.version(),
                mirror::encode(&records.snapshot())?.into(),
            );
        }
        Ok(snapshot.1.clone())
    }

    fn is_fresh(&self) -> bool {
        let age = self.cx.store_age();
        self.current.get() && age.is_some_and(|age| age <= order::MAX_LEADER_STALENESS)
    }

    async fn feed(&self, stream: tokio::net::TcpStream) -> Result<(), transport::mirror::Error> {
        let mut link = transport::mirror::Link::accept(stream).await?;
        let ask: mirror::Ask = link.receive(order::SILENCE_TIMEOUT).await?;
        let mut news = self.news.subscribe();
        if ask.fresh && !self.is_fresh() {
            self.await_current(&mut news, ask.wait_ms, &mut link).await;
        }
        if ask.fresh && !self.is_fresh() {
            link.send(mirror::encode(&mirror::Message::NotReading)?.into())
                .await?;
            link.closed().await;
            return Ok(());
        }
        link.send(self.delta_since(ask.since)?).await?;
        if !ask.fresh {
            link.closed().await;
            return Ok(());
        }
        loop {
            let message = tokio::select! {
                message = news.recv() => message,
                () = link.closed() => return Ok(()),
            };
            let Ok(message) = message else {
                return Err(transport::mirror::Error::Timeout);
            };
            link.send(message).await?;
        }
    }
}
