//! Links from entry VMs to backend servers that can be cut in several ways.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Packets of open and of new connections are lost.
    Hangs,
    /// Open connections are reset and new ones refused.
    Resets,
    /// Open connections work and new ones are refused.
    RefusesNew,
    /// Open connections work and packets of new ones are lost.
    HangsNew,
}

impl Cut {
    /// The ways of which a server's sources can be cut off; new connections always hang there.
    pub(crate) const ALL: [Self; 3] = [Self::Hangs, Self::Resets, Self::RefusesNew];
}

/// A link from one VM to one backend server, with an address of its own.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) addr: net::SocketAddr,
    to: net::SocketAddr,
    cut: watch::Sender<Option<Cut>>,
    accept_task: cell::RefCell<Option<task::JoinHandle<()>>>,
    /// Number of connections that were accepted.
    accepted: rc::Rc<cell::Cell<usize>>,
}

/// An instruction that returns a constant as the number of bytes to keep (`BPF_RET | BPF_K`).
fn keep(bytes: u32) -> socket2::SockFilter {
    const RETURN: u16 = 0x06;
    socket2::SockFilter::new(RETURN, 0, 0, bytes)
}

/// Makes the system drop all packets that arrive for a socket.
pub(crate) fn drop_packets(socket: &socket2::Socket) {
    socket.attach_filter(&[keep(0)]).unwrap();
}

/// Makes the system drop packets that arrive for a socket from these sources.
fn drop_packets_from<'a>(
    socket: &socket2::Socket,
    sources: impl Iterator<Item = &'a net::Ipv4Addr>,
) {
    /// `BPF_LD | BPF_W | BPF_ABS`, and the offset of the source in the IP header.
    const LOAD: u16 = 0x20;
    const SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;
    /// `BPF_JMP | BPF_JEQ | BPF_K`.
    const JUMP_IF_EQUAL: u16 = 0x15;
    let mut program = vec![socket2::SockFilter::new(LOAD, 0, 0, SOURCE_OFFSET)];
    for source in sources {
        program.push(socket2::SockFilter::new(
            JUMP_IF_EQUAL,
            0,
            1,
            source.to_bits(),
        ));
        program.push(keep(0));
    }
    program.push(keep(u32::MAX));
    socket.attach_filter(&program).unwrap();
}

/// A connection that a server has accepted.
#[derive(Debug)]
struct Accepted {
    source: net::IpAddr,
    socket: socket2::Socket,
    serving: Option<task::AbortHandle>,
}

/// The connections of a server by their source. New connections of a source that is cut off always
/// hang, since a filter cannot refuse them.
#[derive(Debug)]
pub(crate) struct Sources {
    listener: Option<socket2::Socket>,
    accepted: collections::BTreeMap<u64, Accepted>,
    next_id: u64,
    cut: collections::BTreeSet<net::Ipv4Addr>,
}

impl Sources {
    pub(crate) fn listen(listener: &TcpListener) -> Self {
        Self {
            listener: Some(socket2::SockRef::from(listener).try_clone().unwrap()),
            accepted: collections::BTreeMap::new(),
            next_id: 0,
            cut: collections::BTreeSet::new(),
        }
    }

    /// Closes the listener.
    pub(crate) fn close(&mut self) {
        self.listener = None;
    }

    /// Adds a connection. Returns its id.
    pub(crate) fn add(&mut self, source: net::IpAddr, stream: &TcpStream) -> u64 {
        let accepted = Accepted {
            source,
            socket: clone(stream),
            serving: None,
        };
        self.next_id += 1;
        self.accepted.insert(self.next_id, accepted);
        self.next_id
    }

    /// Sets the task that serves a connection.
    pub(crate) fn set_serving(&mut self, id: u64, serving: task::AbortHandle) {
        if let Some(accepted) = self.accepted.get_mut(&id) {
            accepted.serving = Some(serving);
        }
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&mut self, id: u64) {
        self.accepted.remove(&id);
    }

    pub(crate) fn cut(&mut self, source: net::Ipv4Addr, way: Cut) {
        self.cut.insert(source);
        self.update_listener();
        let is_cut = |one: &Accepted| one.source == net::IpAddr::V4(source);
        for one in self.accepted.values().filter(|one| is_cut(one)) {
            match way {
                Cut::Hangs => drop_packets(&one.socket),
                Cut::Resets => {
                    // Fails only if the socket is already closed.
                    let _ = one.socket.set_linger(Some(time::Duration::ZERO));
                    if let Some(serving) = &one.serving {
                        serving.abort();
                    }
                }
                Cut::RefusesNew | Cut::HangsNew => {}
            }
        }
        if way == Cut::Resets {
            self.accepted.retain(|_, one| !is_cut(one));
        }
    }

    pub(crate) fn restore(&mut self, source: net::Ipv4Addr) {
        self.cut.remove(&source);
        self.update_listener();
        for one in self.accepted.values() {
            if one.source == net::IpAddr::V4(source) {
                // Fails if the socket has no filter.
                let _ = one.socket.detach_filter();
            }
        }
    }

    fn update_listener(&self) {
        if let Some(listener) = &self.listener {
            drop_packets_from(listener, self.cut.iter());
        }
    }
}

impl Link {
    pub(crate) fn start(to: net::SocketAddr) -> Self {
        let listener = super::listen();
        let link = Self {
            addr: listener.local_addr().unwrap(),
            to,
            cut: watch::channel(None).0,
            accept_task: cell::RefCell::default(),
            accepted: rc::Rc::default(),
        };
        link.accept(listener);
        link
    }

    /// Number of connections that were opened over the link so far.
    pub(crate) fn accepted(&self) -> usize {
        self.accepted.get()
    }

    fn accept(&self, listener: TcpListener) {
        let (to, cut) = (self.to, self.cut.subscribe());
        let accepted = self.accepted.clone();
        let accept_task = task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.set(accepted.get() + 1);
                task::spawn_local(pass(stream, to, cut.clone()));
            }
        });
        self.stop_accepting();
        *self.accept_task.borrow_mut() = Some(accept_task);
    }

    fn stop_accepting(&self) {
        if let Some(accept_task) = self.accept_task.borrow_mut().take() {
            accept_task.abort();
        }
    }

    /// Cuts the link. It takes effect once the other tasks have run.
    pub(crate) async fn cut(&self, way: Cut) {
        self.stop_accepting();
        self.cut.send_replace(Some(way));
        self.settle().await;
        if matches!(way, Cut::Hangs | Cut::HangsNew) {
            let listener = self.listen_again().await;
            drop_packets(&socket2::SockRef::from(&listener));
            self.accept(listener);
        }
    }

    pub(crate) async fn restore(&self) {
        self.stop_accepting();
        self.settle().await;
        self.accept(self.listen_again().await);
        self.cut.send_replace(None);
    }

    /// Lets aborted tasks drop their sockets.
    async fn settle(&self) {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }

    async fn listen_again(&self) -> TcpListener {
        let bound = net::TcpListener::bind(self.addr).unwrap();
        bound.set_nonblocking(true).unwrap();
        TcpListener::from_std(bound).unwrap()
    }
}

async fn pass(mut from: TcpStream, to: net::SocketAddr, mut cut: watch::Receiver<Option<Cut>>) {
    let Ok(mut to) = TcpStream::connect(to).await else {
        return reset(&from);
    };
    let (from_socket, to_socket) = (clone(&from), clone(&to));
    let copy = tokio::io::copy_bidirectional(&mut from, &mut to);
    tokio::pin!(copy);
    loop {
        let way = tokio::select! {
            copied = &mut copy => match copied {
                Ok(_) => return,
                Err(_) => Some(Cut::Resets),
            },
            _ = cut.changed() => *cut.borrow_and_update(),
        };
        match way {
            Some(Cut::Hangs) => {
                drop_packets(&from_socket);
                // An error means that the test is over.
                let _ = cut.wait_for(Option::is_none).await;
                from_socket.detach_filter().unwrap();
            }
            Some(Cut::Resets) => {
                for socket in [&from_socket, &to_socket] {
                    // Fails only if the socket is already closed.
                    let _ = socket.set_linger(Some(time::Duration::ZERO));
                }
                return;
            }
            Some(Cut::RefusesNew | Cut::HangsNew) | None => {}
        }
    }
}

fn clone(stream: &TcpStream) -> socket2::Socket {
    socket2::SockRef::from(stream).try_clone().unwrap()
}

fn reset(stream: &TcpStream) {
    // Fails only if the socket is already closed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}
