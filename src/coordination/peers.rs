//! Keeps the links to other entry processes and sends and receives messages over them.
//!
//! tokio is confined to this file within coordination: a small runtime carries the links and
//! exchanges messages with other threads over channels. Sending never blocks; received messages go
//! to a crossbeam channel. If the channel is full, messages are dropped and counted.
//!
//! Lock order: `links`, then `diallers`; neither is held while a message is handled.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use rand::RngExt;

use crate::id;
use crate::metrics as metric_names;
use crate::protocol::{hello, peer};
use crate::transport::peer as link;

/// The most received messages that wait to be handled.
const MAX_RECEIVED_MESSAGES: usize = 8192;

/// The most connections in the handshake. Each may hold one message in memory.
const MAX_HANDSHAKES: usize = 32;

/// The most linked peers, whichever side dialled.
const MAX_LINKS: usize = 256;

/// The most links per peer. Both sides may have dialled at the same moment.
const MAX_LINKS_PER_PEER: usize = 2;

/// The backoff after the first failed dial. It doubles up to [`MAX_BACKOFF`], with jitter.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// The longest backoff between two dials. A VM that recovers is linked again within this time.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(3);

/// How long the peer with the greater name waits for the other peer to dial.
const DIAL_YIELD_DELAY: time::Duration = time::Duration::from_millis(300);

/// How often a dialler checks whether its peer is still linked.
const LINK_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

data! {
    /// An entry VM that this process should link to.
    #[derive(Eq)]
    pub struct Target {
        /// Its name. None: accept any VM at this address, to discover the fleet.
        pub vm: Option<id::VmId>,
        /// The address on which it listens for peers.
        pub addr: net::SocketAddr,
    }

    /// A linked entry VM.
    #[derive(Eq)]
    pub struct Linked {
        /// Its name.
        pub vm: id::VmId,
        /// Its availability zone.
        pub az: id::AzId,
        /// The incarnation of its process.
        pub incarnation: id::Incarnation,
    }

    /// Counters over all links since the start.
    #[derive(Eq, Default)]
    pub struct Counts {
        /// Messages sent.
        pub sent: u64,
        /// Bytes of messages sent, without framing.
        pub sent_bytes: u64,
        /// Messages received.
        pub received: u64,
        /// Bytes of messages received, without framing.
        pub received_bytes: u64,
        /// Messages dropped because a queue was full.
        pub dropped: u64,
        /// Messages and connections refused.
        pub refused: u64,
    }
}

/// A message and the VM that sent it.
pub type Received = (id::VmId, peer::Message);

/// The links of this process. They are closed on drop.
pub struct Peers {
    shared: sync::Arc<Shared>,
    runtime: Option<tokio::runtime::Runtime>,
    addr: net::SocketAddr,
}

struct Shared {
    me: link::LocalIdentity,
    links: parking_lot::Mutex<collections::BTreeMap<id::VmId, Vec<OpenLink>>>,
    diallers: parking_lot::Mutex<collections::BTreeMap<net::SocketAddr, Dialler>>,
    counts: parking_lot::Mutex<Counts>,
    tx: crossbeam::channel::Sender<Received>,
    log: slog::Logger,
}

struct OpenLink {
    az: id::AzId,
    incarnation: id::Incarnation,
    queue: sync::Arc<link::Queue>,
}

struct Dialler {
    vm: Option<id::VmId>,
    task: tokio::task::JoinHandle<()>,
}

impl Peers {
    /// Listens for peers; returns the links and received messages. Fails if it cannot bind.
    pub fn start(
        me: link::LocalIdentity,
        listen: net::SocketAddr,
        log: &slog::Logger,
    ) -> io::Result<(Self, crossbeam::channel::Receiver<Received>)> {
        let (tx, rx) = crossbeam::channel::bounded(MAX_RECEIVED_MESSAGES);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("peers")
            .enable_all()
            .build()?;
        let listener = runtime.block_on(tokio::net::TcpListener::bind(listen))?;
        let addr = listener.local_addr()?;
        let shared = sync::Arc::new(Shared {
            me,
            links: parking_lot::Mutex::default(),
            diallers: parking_lot::Mutex::default(),
            counts: parking_lot::Mutex::default(),
            tx,
            log: log.clone(),
        });
        runtime.spawn(accept(shared.clone(), listener));
        let peers = Self {
            shared,
            runtime: Some(runtime),
            addr,
        };
        Ok((peers, rx))
    }

    /// The address on which this process listens for peers.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Sets the entry VMs to keep links to. Links that peers opened stay.
    pub fn set_targets(&self, targets: &[Target]) {
        let Some(runtime) = &self.runtime else { return };
        let mut diallers = self.shared.diallers.lock();
        diallers.retain(|addr, dialler| {
            let keep = targets
                .iter()
                .any(|t| t.addr == *addr && t.vm == dialler.vm);
            if !keep {
                dialler.task.abort();
            }
            keep
        });
        for target in targets {
            let own = target.vm.as_ref() == Some(&self.shared.me.vm) || target.addr == self.addr;
            if own || diallers.contains_key(&target.addr) {
                continue;
            }
            let task = runtime.spawn(keep_dialling(self.shared.clone(), target.clone()));
            let vm = target.vm.clone();
            diallers.insert(target.addr, Dialler { vm, task });
        }
    }

    /// Sends to one peer. False: the peer is not linked.
    pub fn send(&self, to: &id::VmId, message: &peer::Message) -> bool {
        self.send_where(message, |vm, _| vm == to) > 0
    }

    /// Sends to every linked peer of an availability zone and returns their number.
    pub fn send_to_az(&self, az: &id::AzId, message: &peer::Message) -> usize {
        self.send_where(message, |_, open| open.az == *az)
    }

    /// Sends to every linked peer except `except` and returns their number.
    pub fn send_to_all(&self, except: Option<&id::VmId>, message: &peer::Message) -> usize {
        self.send_where(message, |vm, _| Some(vm) != except)
    }

    /// Sends to every linked peer of this VM's availability zone except `except` and returns their
    /// number.
    pub fn send_to_own_az(&self, except: Option<&id::VmId>, message: &peer::Message) -> usize {
        let az = &self.shared.me.az;
        self.send_where(message, |vm, open| open.az == *az && Some(vm) != except)
    }

    /// The linked peers.
    pub fn linked(&self) -> Vec<Linked> {
        let links = self.shared.links.lock();
        links
            .iter()
            .filter_map(|(vm, open)| {
                let newest = open.last()?;
                Some(Linked {
                    vm: vm.clone(),
                    az: newest.az.clone(),
                    incarnation: newest.incarnation,
                })
            })
            .collect()
    }

    /// Counters over all links since the start.
    pub fn counts(&self) -> Counts {
        self.shared.counts.lock().clone()
    }

    fn send_where<F: Fn(&id::VmId, &OpenLink) -> bool>(
        &self,
        message: &peer::Message,
        wanted: F,
    ) -> usize {
        let links = self.shared.links.lock();
        let mut queues = Vec::new();
        for (vm, open) in links.iter() {
            if let Some(newest) = open.last().filter(|newest| wanted(vm, newest)) {
                queues.push(newest.queue.clone());
            }
        }
        drop(links);
        if queues.is_empty() {
            return 0;
        }
        let bytes = bytes::Bytes::from(peer::encode(message));
        for queue in &queues {
            self.shared
                .count_sent(bytes.len(), queue.push(bytes.clone()));
        }
        queues.len()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Shared {
    /// Serves one link until it breaks.
    async fn serve(&self, link: link::Link) {
        let hello = link.hello.clone();
        let Some(queue) = self.register(&hello) else {
            return;
        };
        let guard = LinkGuard {
            shared: self,
            vm: &hello.vm,
            queue: &queue,
        };
        slog::info!(self.log, "linked"; "peer" => %hello.vm, "incarnation" => %hello.incarnation);
        let err = link
            .run(&queue, |bytes| self.receive(&hello.vm, bytes))
            .await;
        slog::info!(self.log, "link ended"; "peer" => %hello.vm, "why" => %err);
        drop(guard);
    }

    /// Registers a link. None: a later incarnation is linked, or there are too many links.
    fn register(&self, hello: &hello::Hello) -> Option<sync::Arc<link::Queue>> {
        let mut links = self.links.lock();
        if links.len() >= MAX_LINKS && !links.contains_key(&hello.vm) {
            drop(links);
            self.refuse("too many links", &hello.vm);
            return None;
        }
        let open_links = links.entry(hello.vm.clone()).or_default();
        if open_links.iter().any(|o| o.incarnation > hello.incarnation) {
            drop(links);
            self.refuse("a later process of this VM is linked", &hello.vm);
            return None;
        }
        // The process behind these links has ended; messages queued for it would be lost.
        open_links.retain(|o| {
            let same = o.incarnation == hello.incarnation;
            if !same {
                o.queue.close();
            }
            same
        });
        if open_links.len() >= MAX_LINKS_PER_PEER {
            open_links.remove(0).queue.close();
        }
        let queue = sync::Arc::new(link::Queue::default());
        open_links.push(OpenLink {
            az: hello.az.clone(),
            incarnation: hello.incarnation,
            queue: queue.clone(),
        });
        Some(queue)
    }

    fn receive(&self, from: &id::VmId, bytes: &[u8]) {
        self.count_received(bytes.len());
        match peer::decode(bytes) {
            Ok(message) => {
                if self.tx.try_send((from.clone(), message)).is_err() {
                    self.count_dropped("inbox", 1);
                }
            }
            Err(err) => self.refuse(&err.to_string(), from),
        }
    }

    fn refuse(&self, why: &str, from: &id::VmId) {
        self.counts.lock().refused += 1;
        metrics::counter!(metric_names::PEER_REFUSED).increment(1);
        slog::warn!(self.log, "refused a message or connection"; "peer" => %from, "why" => why);
    }

    fn count_sent(&self, len: usize, dropped: usize) {
        let mut counts = self.counts.lock();
        counts.sent += 1;
        counts.sent_bytes += len as u64;
        drop(counts);
        metrics::counter!(metric_names::PEER_BYTES, "direction" => "sent").increment(len as u64);
        if dropped > 0 {
            self.count_dropped("link", dropped);
        }
    }

    fn count_received(&self, len: usize) {
        let mut counts = self.counts.lock();
        counts.received += 1;
        counts.received_bytes += len as u64;
        drop(counts);
        metrics::counter!(metric_names::PEER_BYTES, "direction" => "received")
            .increment(len as u64);
    }

    fn count_dropped(&self, queue: &'static str, dropped: usize) {
        self.counts.lock().dropped += dropped as u64;
        metrics::counter!(metric_names::PEER_DROPPED, "queue" => queue).increment(dropped as u64);
    }

    fn is_linked(&self, vm: &id::VmId) -> bool {
        self.links.lock().contains_key(vm)
    }
}

/// Removes a link from the table when its task ends or is aborted.
struct LinkGuard<'a> {
    shared: &'a Shared,
    vm: &'a id::VmId,
    queue: &'a sync::Arc<link::Queue>,
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        let mut links = self.shared.links.lock();
        if let Some(open_links) = links.get_mut(self.vm) {
            open_links.retain(|o| !sync::Arc::ptr_eq(&o.queue, self.queue));
            if open_links.is_empty() {
                links.remove(self.vm);
            }
        }
    }
}

async fn accept(shared: sync::Arc<Shared>, listener: tokio::net::TcpListener) {
    let handshakes = sync::Arc::new(tokio::sync::Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = handshakes.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, addr)) = listener.accept().await else {
            // The process is out of file descriptors, so an immediate retry would fail, too.
            tokio::time::sleep(LINK_CHECK_INTERVAL).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let accepted = link::accept(stream, &shared.me).await;
            drop(permit);
            match accepted {
                Ok(link) => shared.serve(link).await,
                Err(err) => {
                    shared.refuse(&err.to_string(), &addr.to_string().as_str().into());
                }
            }
        });
    }
}

async fn keep_dialling(shared: sync::Arc<Shared>, target: Target) {
    let mut vm = target.vm.clone();
    if vm.as_ref().is_some_and(|vm| shared.me.vm > *vm) {
        tokio::time::sleep(DIAL_YIELD_DELAY + jitter(DIAL_YIELD_DELAY)).await;
    }
    let mut backoff = MIN_BACKOFF;
    loop {
        if vm.as_ref().is_some_and(|vm| shared.is_linked(vm)) {
            backoff = MIN_BACKOFF;
            tokio::time::sleep(LINK_CHECK_INTERVAL).await;
            continue;
        }
        match link::dial(target.addr, &shared.me).await {
            Ok(link) if target.vm.as_ref().is_none_or(|vm| link.hello.vm == *vm) => {
                backoff = MIN_BACKOFF;
                vm = Some(link.hello.vm.clone());
                shared.serve(link).await;
            }
            Ok(link) => shared.refuse("another VM answered than the one dialled", &link.hello.vm),
            Err(err) => {
                let addr = target.addr;
                slog::debug!(shared.log, "dial failed, retrying"; "addr" => %addr, "why" => %err);
            }
        }
        tokio::time::sleep(backoff / 2 + jitter(backoff)).await;
        backoff = MAX_BACKOFF.min(backoff * 2);
    }
}

/// A random part of `span`, so that peers of a dead VM do not all dial at once.
fn jitter(span: time::Duration) -> time::Duration {
    span.mul_f64(rand::rng().random())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::logging;

    use std::cell;
    use std::thread;

    const SECRET: &str = "0101010101010101010101010101010101010101010101010101010101010101";
    const OTHER_SECRET: &str = "0202020202020202020202020202020202020202020202020202020202020202";

    fn local_vm(vm: &str, incarnation: u64, secret: &str) -> link::LocalIdentity {
        link::LocalIdentity {
            vm: vm.into(),
            az: "az-1".into(),
            incarnation: id::Incarnation(incarnation),
            secrets: hello::Secrets::parse(&[secret]).unwrap(),
        }
    }

    fn start(me: link::LocalIdentity) -> (Peers, crossbeam::channel::Receiver<Received>) {
        Peers::start(me, "127.0.0.1:0".parse().unwrap(), &logging::silent()).unwrap()
    }

    fn target(peers: &Peers) -> Target {
        Target {
            vm: Some(peers.shared.me.vm.clone()),
            addr: peers.addr(),
        }
    }

    fn wait_until<F: Fn() -> bool>(what: &str, holds: F) {
        for _ in 0..3_000 {
            if holds() {
                return;
            }
            thread::sleep(time::Duration::from_millis(10));
        }
        panic!("timed out after 30 s: {what}");
    }

    fn want(key: &str) -> peer::Message {
        peer::Message::Want(vec![key.to_owned()])
    }

    #[test]
    fn two_processes_exchange_messages() {
        let (a, a_rx) = start(local_vm("a", 1, SECRET));
        let (b, b_rx) = start(local_vm("b", 1, SECRET));
        a.set_targets(&[target(&b)]);
        b.set_targets(&[target(&a)]);
        wait_until("linked", || a.linked().len() + b.linked().len() == 2);
        assert!(a.send(&"b".into(), &want("x")));
        assert_eq!(b.send_to_az(&"az-1".into(), &want("y")), 1);
        assert_eq!(b_rx.recv().unwrap(), ("a".into(), want("x")));
        assert_eq!(a_rx.recv().unwrap(), ("b".into(), want("y")));
        assert!(!a.send(&"c".into(), &want("x")));
    }

    /// A VM's process is killed and restarts under the same address. If its peers do not link to it
    /// again by themselves, the availability zone loses an entry VM for good.
    #[test]
    fn a_restarted_peer_is_linked_again() {
        let (a, _a_rx) = start(local_vm("a", 1, SECRET));
        let (b, _b_rx) = start(local_vm("b", 1, SECRET));
        let addr = b.addr();
        a.set_targets(&[target(&b)]);
        wait_until("linked", || a.linked().len() == 1);
        drop(b);
        wait_until("unlinked", || a.linked().is_empty());
        let restarted = cell::RefCell::new(None);
        wait_until("the address is free", || {
            let started = Peers::start(local_vm("b", 2, SECRET), addr, &logging::silent());
            *restarted.borrow_mut() = started.ok();
            restarted.borrow().is_some()
        });
        let (_b, b_rx) = restarted.into_inner().unwrap();
        wait_until("linked again", || {
            a.linked()
                .iter()
                .any(|l| l.incarnation == id::Incarnation(2))
        });
        a.send(&"b".into(), &want("x"));
        assert_eq!(b_rx.recv().unwrap(), ("a".into(), want("x")));
    }

    /// A process with another secret or another protocol connects. Its messages must be ignored,
    /// and it must not block connections of other peers.
    #[test]
    fn a_peer_without_the_secret_is_refused_and_counted() {
        let (a, a_rx) = start(local_vm("a", 1, SECRET));
        let (outsider, _rx) = start(local_vm("s", 1, OTHER_SECRET));
        outsider.set_targets(&[target(&a)]);
        let mut raw = net::TcpStream::connect(a.addr()).unwrap();
        io::Write::write_all(&mut raw, b"GET / HTTP/1.1\r\n\r\n").unwrap();
        wait_until("refused", || a.counts().refused >= 2);
        assert!(a.linked().is_empty() && a_rx.is_empty());

        let (b, _b_rx) = start(local_vm("b", 1, SECRET));
        b.set_targets(&[target(&a)]);
        wait_until("linked", || !a.linked().is_empty());
    }

    /// A linked peer sends an invalid message. The refusal is counted, and the link stays because
    /// later messages may be valid.
    #[test]
    fn a_malformed_message_is_counted_and_the_link_stays() {
        let (a, a_rx) = start(local_vm("a", 1, SECRET));
        let (b, _b_rx) = start(local_vm("b", 1, SECRET));
        b.set_targets(&[target(&a)]);
        wait_until("linked", || a.linked().len() + b.linked().len() == 2);
        let queue = b.shared.links.lock()["a"][0].queue.clone();
        queue.push(bytes::Bytes::from_static(b"no cbor"));
        b.send(&"a".into(), &want("x"));
        assert_eq!(a_rx.recv().unwrap(), ("b".into(), want("x")));
        assert_eq!(a.counts().refused, 1);
    }
}
