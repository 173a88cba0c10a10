//! Links from one entry VM to one backend server that can be cut in several ways.

use std::cell;
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
}

impl Cut {
    pub(crate) const ALL: [Self; 3] = [Self::Hangs, Self::Resets, Self::RefusesNew];
}

/// A link with an address of its own.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) addr: net::SocketAddr,
    to: net::SocketAddr,
    cut: watch::Sender<Option<Cut>>,
    accept_task: cell::RefCell<Option<task::JoinHandle<()>>>,
    /// Number of connections that were accepted.
    accepted: rc::Rc<cell::Cell<usize>>,
}

/// Makes the system drop all packets that arrive for a socket.
fn drop_packets(socket: &socket2::Socket) {
    /// `BPF_RET | BPF_K`: returns a constant as the number of bytes to keep.
    const RETURN: u16 = 0x06;
    let program = [socket2::SockFilter::new(RETURN, 0, 0, 0)];
    socket.attach_filter(&program).unwrap();
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
        if way == Cut::Hangs {
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
            Some(Cut::RefusesNew) | None => {}
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
