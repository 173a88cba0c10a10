//! Opens connections to backend servers: directly, or through another entry VM where that fails
//! although the backend server can be reached. Finds out when this VM is cut off from all backend
//! servers, and when it no longer is.
//!
//! Only the way of the connection changes. The request's placement, attempts, quota and rates are
//! decided by the VM that received it, as for a direct connection.

use std::io;
use std::net;
use std::time;

use futures_util::future;
use rand::seq::IteratorRandom;
use tokio::task;

use super::{Gateway, reading, tunnels};
use crate::decisions::reachability;
use crate::id;
use crate::protocol::routes;
use crate::transport::socket;

/// Connect timeout: a round trip across the widest link (0.11 s), as much again, and a margin.
pub(super) const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// How long a connection may take before another VM is asked too: more than a round trip across the
/// widest link, and short enough that the request is still in time.
const PEER_HEAD_START: time::Duration = time::Duration::from_millis(175);

/// Other VMs that try to open one connection.
const MAX_PEER_TRIES: usize = 2;

/// The same while this VM is cut off and needs one of them.
const MAX_PEER_TRIES_CUT_OFF: usize = 3;

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The address refused or reset it.
    Refused,
    /// Nothing answered in time.
    TimedOut,
    /// It broke after it was opened.
    Broke,
    /// This VM has no free file descriptors.
    NoDescriptors,
    /// This VM could not open it for another reason.
    Local,
    /// This VM is cut off, and the other VMs that it asked cannot reach the backend server.
    Unreachable,
    /// This VM is cut off, and no other VM can carry its connections.
    CutOff,
}

impl ConnectError {
    /// The error as a log value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::TimedOut => "timed out",
            Self::Broke => "broke before the send",
            Self::NoDescriptors => "no file descriptors",
            Self::Local => "not opened by this VM",
            Self::Unreachable => "not reached by other VMs",
            Self::CutOff => "cut off",
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(err: io::Error) -> Self {
        if reading::is_shortage(&err) {
            return Self::NoDescriptors;
        }
        match err.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Self::Refused,
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => Self::TimedOut,
            _ => Self::Local,
        }
    }
}

/// The entry VM that a connection goes through.
#[derive(Clone, Debug)]
pub struct Via {
    /// Its name.
    pub vm: id::VmId,
    /// Its region.
    pub region: Option<id::RegionId>,
    /// When the connection was opened.
    pub opened: time::Instant,
}

/// A connection to a backend server.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub wire: socket::Wire,
    /// The entry VM that it goes through; `None`: it is direct.
    pub via: Option<Via>,
}

/// The backend server to connect to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target<'a> {
    pub(super) backend: &'a id::VmId,
    pub(super) addr: net::SocketAddr,
    /// The regions that the bytes of the connection may pass.
    pub(super) regions: routes::AllowedRegions<'a>,
}

/// How long a connection through another VM is kept while this VM is not cut off: its own link to the
/// backend server may work again.
const MAX_DETOUR_AGE: time::Duration = time::Duration::from_secs(5);

impl Gateway {
    /// Keeps a connection for further requests. `stated` is the keep-alive timeout that the backend
    /// server stated.
    pub(super) fn keep(
        &self,
        backend: &id::VmId,
        connection: Connection,
        stated: Option<time::Duration>,
    ) {
        let is_current = |via: &Via| self.is_cut_off() || via.opened.elapsed() < MAX_DETOUR_AGE;
        if connection.via.as_ref().is_none_or(is_current) {
            self.pool.borrow_mut().put(backend, connection, stated);
        }
    }

    /// Whether this VM is cut off from all backend servers.
    pub fn is_cut_off(&self) -> bool {
        self.reachability.borrow().is_cut_off()
    }

    /// Whether connections to backend servers may have begun to hang a moment ago.
    pub(super) fn may_links_hang(&self) -> bool {
        let reachability = self.reachability.borrow();
        !reachability.is_cut_off() && !reachability.has_recent_contact(self.now())
    }

    /// Opens a direct connection. Without free file descriptors it makes room and tries again.
    pub(super) async fn open(&self, addr: net::SocketAddr) -> Result<socket::Wire, ConnectError> {
        let source = self.cfg.backend_source;
        let started = self.now();
        let until = started + CONNECT_TIMEOUT;
        let opened = loop {
            match socket::Wire::connect_from(source, addr, CONNECT_TIMEOUT).await {
                Err(err) if reading::is_shortage(&err) && self.now() < until => {
                    self.make_room();
                    tokio::time::sleep(reading::SHORTAGE_RETRY_DELAY).await;
                }
                opened => break opened.map_err(ConnectError::from),
            }
        };
        let wire = opened.inspect_err(|err| {
            if matches!(err, ConnectError::TimedOut | ConnectError::Refused) {
                self.reachability.borrow_mut().not_connected(started);
            }
        })?;
        // The bytes of an abandoned send may still be in transit behind a network partition. After
        // an orderly close they arrive when the partition heals: 7 s late in one case, at a backend
        // server whose availability zone was evacuated. A reset discards them.
        wire.reset_on_close();
        Ok(wire)
    }

    /// Connects to a backend server.
    pub(super) async fn connect(&self, to: &Target<'_>) -> Result<Connection, ConnectError> {
        if self.is_cut_off() {
            let (order, max_tries) = (tunnels::Order::Lasting, MAX_PEER_TRIES_CUT_OFF);
            let through_peer = self.connect_through_peer(to, order, max_tries).await;
            return through_peer.map_err(ConnectError::from);
        }
        let started = self.now();
        let order = tunnels::Order::Varying;
        let direct = self.open(to.addr);
        tokio::pin!(direct);
        match tokio::time::timeout(PEER_HEAD_START, &mut direct).await {
            Ok(Ok(wire)) => return Ok(self.connected(wire)),
            // The links work, so the backend server itself has failed.
            Ok(Err(err)) if self.reachability.borrow().connected_since(started) => return Err(err),
            Ok(Err(err)) => {
                let through_peer = self.connect_through_peer(to, order, MAX_PEER_TRIES).await;
                return through_peer.map_err(|refused| self.reason(err, refused));
            }
            Err(_) => {}
        }
        // Usually the backend server itself has failed. But a network failure may affect only new
        // connections, so the links are checked.
        if self.reachability.borrow().contact_since(started) {
            let own = direct.await.map(|wire| self.connected(wire));
            return own.inspect_err(|_| self.check_links_after_failure());
        }
        let through_peer = self.connect_through_peer(to, order, MAX_PEER_TRIES);
        tokio::pin!(through_peer);
        tokio::select! {
            biased;
            own = &mut direct => match own {
                Ok(wire) => Ok(self.connected(wire)),
                Err(err) if self.reachability.borrow().contact_since(started) => {
                    self.check_links_after_failure();
                    Err(err)
                }
                Err(err) => through_peer.await.map_err(|refused| self.reason(err, refused)),
            },
            other = &mut through_peer => match other {
                Ok(connection) => Ok(connection),
                Err(refused) => direct
                    .await
                    .map(|wire| self.connected(wire))
                    .map_err(|err| self.reason(err, refused)),
            },
        }
    }

    /// Why there is neither a direct connection nor one through another VM. The other VMs may be cut
    /// off too, so the links are checked.
    fn reason(&self, direct: ConnectError, refused: tunnels::Refused) -> ConnectError {
        self.check_links_after_failure();
        match refused {
            tunnels::Refused::NoPeer if self.is_cut_off() => ConnectError::CutOff,
            tunnels::Refused::NoPeer | tunnels::Refused::Unreachable => direct,
        }
    }

    /// Records a new direct connection.
    pub(super) fn connected(&self, wire: socket::Wire) -> Connection {
        self.record_connected();
        Connection { wire, via: None }
    }

    /// Records that this VM could open a connection to a backend server.
    pub(super) fn record_connected(&self) {
        let now = self.now();
        let ended = self.reachability.borrow_mut().connected(now);
        let Some(cut) = ended else {
            return;
        };
        self.pool.borrow_mut().drop_relayed();
        slog::info!(self.log, "backend servers reachable again"; "cut_off_ms" => now.saturating_sub(cut.unconnected_since).as_millis() as u64);
    }

    /// Records an answer of a backend server on a connection.
    pub(super) fn record_contact(&self, via: Option<&Via>) {
        match via {
            Some(via) => self.record_carrier_contact(&via.vm),
            None => self.reachability.borrow_mut().answered(self.now()),
        }
    }

    /// Checks the links to the backend servers if no sign of life shows that they work.
    pub(super) fn check_links_if_due(&self) {
        let in_progress = self.requests_in_progress() + self.carried_tunnels();
        let now = self.now();
        if self.reachability.borrow().needs_check(now, in_progress) {
            self.check_links();
        }
    }

    /// Checks the links after a connection to a backend server has failed, unless a recent one shows
    /// that they work.
    pub(super) fn check_links_after_failure(&self) {
        let now = self.now();
        if self.reachability.borrow().needs_check_after_failure(now) {
            self.check_links();
        }
    }

    /// Checks the links to the backend servers in the background, one check at a time.
    pub(super) fn check_links(&self) {
        if self.checking_links.replace(true) {
            return;
        }
        let cx = self.clone();
        task::spawn_local(async move {
            cx.sample_links().await;
            cx.checking_links.set(false);
        });
    }

    async fn sample_links(&self) {
        let started = self.now();
        let sampled = self.sampled_backends();
        let checks = sampled.iter().map(|(id, addr)| self.check_link(id, *addr));
        let results = future::join_all(checks).await;
        let count = |is: fn(&LinkState) -> bool| results.iter().filter(|state| is(state)).count();
        let sample = reachability::Sample {
            started,
            connected: count(|state| *state == LinkState::Up),
            reached_by_peers: count(|state| matches!(state, LinkState::PeersOnly { .. })),
            timed_out: results.iter().all(LinkState::has_timed_out),
        };
        let cut = self.reachability.borrow_mut().sampled(&sample);
        if let Some(cut) = cut {
            self.begin_cut(&cut);
        }
    }

    /// Backend servers whose links are checked.
    fn sampled_backends(&self) -> Vec<(id::VmId, net::SocketAddr)> {
        let now = self.now();
        let (backends, evacuated) = (self.backends.borrow(), self.evacuated.borrow());
        backends
            .iter()
            .filter(|b| !b.is_leaving(now) && !evacuated.contains(&b.listed.az))
            .map(|b| (b.id.clone(), b.listed.addr))
            .sample(&mut rand::rng(), reachability::SAMPLE_SIZE)
    }

    /// Checks one link. A new direct connection is kept for requests.
    async fn check_link(&self, backend: &id::VmId, addr: net::SocketAddr) -> LinkState {
        let started = self.now();
        let err = match self.open(addr).await {
            Ok(wire) => {
                let connection = self.connected(wire);
                self.keep(backend, connection, None);
                return LinkState::Up;
            }
            Err(err) => err,
        };
        let timed_out = err == ConnectError::TimedOut;
        if self.is_cut_off() || self.reachability.borrow().connected_since(started) {
            return LinkState::Down { timed_out };
        }
        let to = Target {
            backend,
            addr,
            regions: routes::AllowedRegions::default(),
        };
        let order = tunnels::Order::Anywhere;
        let through_peer = self.connect_through_peer(&to, order, MAX_PEER_TRIES);
        match through_peer.await {
            Ok(_) => LinkState::PeersOnly { timed_out },
            Err(_) => LinkState::Down { timed_out },
        }
    }

    /// Takes back what was concluded about backend servers from failures of this VM's own links.
    fn begin_cut(&self, cut: &reachability::Cut) {
        slog::warn!(self.log, "cut off from backend servers; connecting through other entry VMs"; "hangs" => cut.hangs, "silent_ms" => self.now().saturating_sub(cut.since).as_millis() as u64);
        for backend in self.backends.borrow_mut().iter_mut() {
            backend.health.take_back_ejection(cut.since);
            backend.health.take_back_unreachable(cut.failing_since);
        }
        self.crashes.borrow_mut().forget_broken(cut.since);
        // Of the open connections only those still work that were used since.
        let proven_since = self.start + cut.unconnected_since;
        self.pool.borrow_mut().drop_direct_idle_before(proven_since);
        if cut.hangs {
            self.links_hang.notify_waiters();
        }
    }
}

/// The state of the link to a sampled backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// This VM can connect to it.
    Up,
    /// Only other VMs can.
    PeersOnly { timed_out: bool },
    /// Neither this VM nor those that it asked can.
    Down { timed_out: bool },
}

impl LinkState {
    fn has_timed_out(&self) -> bool {
        match self {
            Self::Up => false,
            Self::PeersOnly { timed_out } | Self::Down { timed_out } => *timed_out,
        }
    }
}

impl From<tunnels::Refused> for ConnectError {
    fn from(refused: tunnels::Refused) -> Self {
        match refused {
            tunnels::Refused::NoPeer => Self::CutOff,
            tunnels::Refused::Unreachable => Self::Unreachable,
        }
    }
}
