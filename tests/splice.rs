//! Passing the bytes of two connections on.

use std::future;
use std::io;
use std::time;

use bulrushwind::transport::{socket, upstream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

/// A client, a server, and the two connections between them that are passed on.
struct Ends {
    client: TcpStream,
    server: TcpStream,
    splice: task::JoinHandle<()>,
}

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dialled = TcpStream::connect(listener.local_addr().unwrap()).await;
    (dialled.unwrap(), listener.accept().await.unwrap().0)
}

impl Ends {
    async fn start() -> Self {
        let (client, from) = connection().await;
        let (to, server) = connection().await;
        let stall = upstream::Stall::default();
        let splice = socket::splice(from, to, stall, future::pending(), || ());
        let splice = task::spawn_local(splice);
        Self {
            client,
            server,
            splice,
        }
    }

    /// Part of an answer has reached the client.
    async fn after_part_of_an_answer() -> Self {
        let mut ends = Self::start().await;
        ends.server.write_all(b"part").await.unwrap();
        let mut part = [0; 4];
        ends.client.read_exact(&mut part).await.unwrap();
        ends
    }

    /// Resets the server's connection. Returns the client.
    fn reset_server(self) -> TcpStream {
        let server = socket2::SockRef::from(&self.server);
        server.set_linger(Some(time::Duration::ZERO)).unwrap();
        self.client
    }
}

fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let limited = async { tokio::time::timeout(time::Duration::from_secs(20), test()).await };
    let local = task::LocalSet::new();
    local.block_on(&runtime, limited).expect("the test ends");
}

async fn read_to_end(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut read = Vec::new();
    stream.read_to_end(&mut read).await.map(|_| read)
}

#[test]
fn an_orderly_end_is_passed_on() {
    run_test(|| async {
        let mut ends = Ends::start().await;
        ends.server.write_all(b"whole").await.unwrap();
        ends.server.shutdown().await.unwrap();
        assert_eq!(read_to_end(&mut ends.client).await.unwrap(), b"whole");
    });
}

/// An answer that ends with its connection would look complete although it was reset.
#[test]
fn a_reset_is_passed_on() {
    run_test(|| async {
        let ends = Ends::after_part_of_an_answer().await;
        assert!(read_to_end(&mut ends.reset_server()).await.is_err());
    });
}

/// An answer that ends with its connection would look complete when the process between dies.
#[test]
fn an_abrupt_end_in_between_is_a_reset() {
    run_test(|| async {
        let mut ends = Ends::after_part_of_an_answer().await;
        ends.splice.abort();
        assert!(read_to_end(&mut ends.client).await.is_err());
        assert!(read_to_end(&mut ends.server).await.is_err());
    });
}

/// The end of a server whose failure shows first in a write would look orderly.
#[test]
fn a_failure_that_shows_in_a_write_is_a_reset() {
    /// Which direction notices the failure first is random.
    const TRIES: usize = 20;
    run_test(|| async {
        for _ in 0..TRIES {
            let ends = Ends::after_part_of_an_answer().await;
            let mut client = ends.reset_server();
            client.write_all(b"more").await.unwrap();
            assert!(read_to_end(&mut client).await.is_err());
        }
    });
}
