//! Connections to backend servers through other entry VMs.
//!
//! A VM that cannot reach a backend server asks another one to connect to it, and then sends its
//! requests over that connection as over one of its own. The other VM passes bytes on and decides
//! nothing about requests. It connects only to backend servers that it knows itself, and never
//! through a third VM, so no connection goes round in circles.

use std::collections;
use std::net;
use std::time;

use metrics::counter;

use super::connecting::{CONNECT_TIMEOUT, Connection, Target, Via};
use super::{Cx, Gateway};
use crate::decisions::{peer_selection, policy};
use crate::id;
use crate::metrics as metric_names;
use crate::protocol::{mirror as codec, relay, routes};
use crate::transport::{memory, mirror as links, socket, upstream};

/// How long the other VMs may take together to open a connection: one that cannot, and then four round
/// trips across the widest link (0.11 s each).
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// VMs that may be asked for one connection. Most of a region may say at once that they cannot help.
const MAX_CANDIDATES: usize = 8;

/// Tunnels that a VM carries at most, each with two connections.
const MAX_TUNNELS: usize = 512;

/// How long a VM that cannot help now is not asked.
const UNABLE_SKIP_TIME: time::Duration = time::Duration::from_secs(1);

/// How long a VM that does not answer is not asked.
pub(super) const UNRESPONSIVE_SKIP_TIME: time::Duration = time::Duration::from_secs(2);

/// Which VMs are asked first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// The nearest, in an order that lasts, so that tunnels can be used again.
    Lasting,
    /// The nearest, in an order that varies: those asked first may be cut off as well and, without
    /// knowing it, say that the backend server cannot be reached.
    Varying,
    /// Any, since all VMs of a region may be cut off.
    Anywhere,
}

/// Why no other VM has opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refused {
    /// None could be asked, or none of those asked can carry connections.
    NoPeer,
    /// The backend server cannot be reached from others either.
    Unreachable,
}

/// Why one VM has not opened a connection.
#[derive(Debug)]
enum AskError {
    Link(links::Error),
    Answer(relay::OpenAnswer),
}

impl From<links::Error> for AskError {
    fn from(err: links::Error) -> Self {
        Self::Link(err)
    }
}

/// An entry VM that can be asked.
#[derive(Clone, Debug)]
struct Peer {
    via: Via,
    addr: net::SocketAddr,
    link_timeout: time::Duration,
}

/// VMs that are not asked for some time.
#[derive(Clone, Debug, Default)]
pub(super) struct SkippedPeers(collections::HashMap<id::VmId, policy::Moment>);

impl SkippedPeers {
    fn skip(&mut self, now: policy::Moment, vm: &id::VmId, period: time::Duration) {
        self.0.retain(|_, until| *until > now);
        self.0.insert(vm.clone(), now + period);
    }

    fn contains(&self, now: policy::Moment, vm: &id::VmId) -> bool {
        self.0.get(vm).is_some_and(|until| *until > now)
    }
}

/// Memory of a tunnel: a buffer for each direction.
const TUNNEL_BYTES: usize = 8 << 10;

/// Counts a tunnel that this VM carries.
struct CarriedTunnel<'a> {
    cx: &'a Cx,
    _charge: memory::Charge,
}

impl<'a> CarriedTunnel<'a> {
    fn new(cx: &'a Cx) -> Self {
        cx.tunnels.set(cx.tunnels.get() + 1);
        let mut charge = cx.memory.charge(memory::Owner::Tunnels);
        charge.set(TUNNEL_BYTES);
        Self {
            cx,
            _charge: charge,
        }
    }
}

impl Drop for CarriedTunnel<'_> {
    fn drop(&mut self) {
        self.cx.tunnels.set(self.cx.tunnels.get() - 1);
    }
}

impl Gateway {
    /// Connects to a backend server through another VM. At most `max_tries` VMs try to reach it.
    pub(super) async fn connect_through_peer(
        &self,
        to: &Target<'_>,
        order: Order,
        max_tries: usize,
    ) -> Result<Connection, Refused> {
        // Boxed, so that it takes no memory in each request that needs no other VM.
        let asked = Box::pin(self.ask_peers(to, order, max_tries));
        let opened = tokio::time::timeout(OPEN_TIMEOUT, asked).await;
        let opened = opened.unwrap_or(Err(Refused::NoPeer));
        if opened.is_ok() && !self.is_cut_off() {
            self.check_links();
        }
        opened
    }

    async fn ask_peers(
        &self,
        to: &Target<'_>,
        order: Order,
        max_tries: usize,
    ) -> Result<Connection, Refused> {
        let mut unreachable_from = Vec::new();
        let mut tries = 0;
        for peer in self.peers_for(to, order) {
            if tries == max_tries {
                break;
            }
            let vm = &peer.via.vm;
            match self.ask(&peer, to.backend).await {
                Ok(wire) => {
                    // Those before it are probably cut off themselves.
                    for vm in &unreachable_from {
                        self.skip_peer(vm, UNABLE_SKIP_TIME);
                    }
                    let via = Some(peer.via);
                    return Ok(Connection { wire, via });
                }
                Err(AskError::Answer(relay::OpenAnswer::Unreachable)) => {
                    unreachable_from.push(vm.clone());
                    tries += 1;
                }
                // It may not know a backend server that has just started.
                Err(AskError::Answer(relay::OpenAnswer::NotListed)) => {}
                Err(AskError::Answer(_)) => self.skip_peer(vm, UNABLE_SKIP_TIME),
                Err(AskError::Link(err)) => {
                    self.skip_peer(vm, UNRESPONSIVE_SKIP_TIME);
                    self.pool.borrow_mut().drop_through(vm);
                    self.log_unresponsive(vm, &err);
                    tries += 1;
                }
            }
        }
        match unreachable_from.is_empty() {
            true => Err(Refused::NoPeer),
            false => Err(Refused::Unreachable),
        }
    }

    /// The first VMs to ask for a connection to a backend server.
    fn peers_for(&self, to: &Target<'_>, order: Order) -> Vec<Peer> {
        let backends = self.backends.borrow();
        let Some(backend) = backends.get(to.backend) else {
            return Vec::new();
        };
        let (now, skipped) = (self.now(), self.skipped_peers.borrow());
        let entries = self.entries.borrow();
        let candidates = entries.iter().filter_map(|(vm, hash, entry)| {
            let addr = entry.peer_addr?;
            let region = self.cfg.regions.get(&entry.az);
            let is_own_region = region == self.region.as_ref();
            let is_excluded =
                *vm == self.cfg.vm || skipped.contains(now, vm) || !to.regions.includes(region);
            if is_excluded {
                return None;
            }
            let distance = match is_own_region {
                _ if order == Order::Anywhere => peer_selection::Distance::Elsewhere,
                true if entry.az == self.cfg.az || entry.az == backend.listed.az => {
                    peer_selection::Distance::OnTheWay
                }
                true => peer_selection::Distance::SameRegion,
                false if region == backend.region.as_ref() => {
                    peer_selection::Distance::BackendRegion
                }
                false => peer_selection::Distance::Elsewhere,
            };
            let value = (vm, region, addr, self.link_timeout(&entry.az));
            Some(peer_selection::Candidate {
                distance,
                busy: entry.busy,
                hash,
                value,
            })
        });
        let among_equals = match order {
            Order::Lasting => self.own_hash,
            Order::Varying | Order::Anywhere => self.jitter().to_bits(),
        };
        peer_selection::select(among_equals, MAX_CANDIDATES, candidates)
            .into_iter()
            .map(|(vm, region, addr, link_timeout)| Peer {
                via: Via {
                    vm: vm.clone(),
                    region: region.cloned(),
                    opened: time::Instant::now(),
                },
                addr,
                link_timeout,
            })
            .collect()
    }

    /// Asks a VM to connect to a backend server.
    async fn ask(&self, peer: &Peer, backend: &id::VmId) -> Result<socket::Wire, AskError> {
        let opened = self.request_tunnel(peer, backend).await;
        let ended = match &opened {
            Ok(_) => relay::OpenAnswer::Opened.as_str(),
            Err(AskError::Answer(answer)) => answer.as_str(),
            Err(AskError::Link(_)) => "no answer",
        };
        counter!(metric_names::TUNNEL_REQUESTS, "ended" => ended).increment(1);
        opened
    }

    async fn request_tunnel(
        &self,
        peer: &Peer,
        backend: &id::VmId,
    ) -> Result<socket::Wire, AskError> {
        let purpose = links::Purpose::Tunnel;
        let mut link = links::Link::open_for(purpose, peer.addr, peer.link_timeout).await?;
        let request = relay::OpenRequest {
            backend: backend.clone(),
        };
        let sent = time::Instant::now();
        let message = codec::encode(&request).map_err(links::Error::from)?;
        link.send(message.into()).await?;
        let answer: relay::OpenAnswer = link.receive(CONNECT_TIMEOUT + peer.link_timeout).await?;
        if answer != relay::OpenAnswer::Opened {
            return Err(AskError::Answer(answer));
        }
        let (stream, held) = link.into_stream();
        let mut wire = socket::Wire::new(stream, held);
        wire.round_trip = sent.elapsed();
        wire.reset_on_close();
        Ok(wire)
    }

    /// Whether an entry VM accepts links. One that is no longer listed counts as if it did: in a planned
    /// stop it still ends the requests that it carries.
    pub(super) async fn answers_peers(&self, vm: &id::VmId) -> bool {
        let (addr, timeout) = {
            let entries = self.entries.borrow();
            let Some(entry) = entries.get(vm) else {
                return true;
            };
            let Some(addr) = entry.peer_addr else {
                return true;
            };
            (addr, self.link_timeout(&entry.az))
        };
        let link = links::Link::open_for(links::Purpose::Tunnel, addr, timeout);
        link.await.is_ok()
    }

    /// How long opening a link to a VM of an availability zone may take.
    fn link_timeout(&self, az: &id::AzId) -> time::Duration {
        match self.cfg.regions.get(az) == self.region.as_ref() {
            true => links::SAME_AZ_OPEN_TIMEOUT,
            false => links::OPEN_TIMEOUT,
        }
    }

    pub(super) fn skip_peer(&self, vm: &id::VmId, period: time::Duration) {
        let now = self.now();
        self.skipped_peers.borrow_mut().skip(now, vm, period);
    }

    fn log_unresponsive(&self, vm: &id::VmId, err: &links::Error) {
        if let Some(left_out) = self.log_limiter.admit("tunnel", self.now()) {
            slog::info!(self.log, "entry VM does not open a tunnel"; "vm" => %vm, "error" => %err, "left_out" => left_out);
        }
    }

    /// Opens and carries a tunnel for another VM.
    pub(super) async fn serve_tunnel(&self, mut link: links::Link) -> Result<(), links::Error> {
        let request: relay::OpenRequest = link.receive(links::OPEN_TIMEOUT).await?;
        let _carried = CarriedTunnel::new(self);
        let opened = self.open_for_peer(&request.backend).await;
        let answer = match &opened {
            Ok(_) => relay::OpenAnswer::Opened,
            Err(answer) => *answer,
        };
        link.send(codec::encode(&answer)?.into()).await?;
        let Ok((wire, addr)) = opened else {
            return Ok(());
        };
        let to = Target {
            backend: &request.backend,
            addr,
            regions: routes::AllowedRegions::default(),
        };
        let stall = upstream::Stall::default();
        let (stream, _held) = link.into_stream();
        // The other VM still reads frames until it has received the answer, and sends first.
        stream.readable().await?;
        let links_hang = self.links_hang.notified();
        let failed = async {
            tokio::select! {
                () = links_hang => {}
                () = self.until_unreachable(&to, true, &stall) => {}
            }
        };
        let answered = || self.record_contact(None);
        let (server, _server_held) = wire.into_stream();
        socket::splice(stream, server, stall.clone(), failed, answered).await;
        Ok(())
    }

    async fn open_for_peer(
        &self,
        backend: &id::VmId,
    ) -> Result<(socket::Wire, net::SocketAddr), relay::OpenAnswer> {
        if self.is_stopping() {
            return Err(relay::OpenAnswer::Stopping);
        }
        if self.is_cut_off() {
            return Err(relay::OpenAnswer::CutOff);
        }
        if self.tunnels.get() > MAX_TUNNELS || !self.memory.admits(TUNNEL_BYTES) {
            return Err(relay::OpenAnswer::Busy);
        }
        let addr = {
            let backends = self.backends.borrow();
            let known = backends.get(backend);
            known
                .map(|b| b.listed.addr)
                .ok_or(relay::OpenAnswer::NotListed)?
        };
        let opened = self.open(addr).await;
        match opened {
            Ok(_) => self.record_connected(),
            Err(_) => self.check_links_after_failure(),
        }
        match opened {
            Ok(wire) => Ok((wire, addr)),
            Err(_) => Err(relay::OpenAnswer::Unreachable),
        }
    }
}
